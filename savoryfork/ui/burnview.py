"""Renders a burn report as a table, as JSON or as a plot."""

from __future__ import annotations

import msgspec
import plotext

from savoryfork.burnreport import WINDOWS, BurnReport, SeriesReport, Spender

HEADINGS = ("PIPELINE", "WORKSPACE", "RUNS 30d", "ATTAINED", "LEFT", *WINDOWS, "ALARMS")


def format_number(value: float | None, form: str) -> str:
    """Formats a number; None becomes "-".

    >>> format_number(0.5, ".0%"), format_number(None, ".0%")
    ('50%', '-')
    """
    return "-" if value is None else format(value, form)


def format_spender(spender: Spender) -> str:
    """Formats one cause of budget consumption."""
    location = f" at {spender['stage']}" if spender["stage"] else ""
    return f"{spender['kind']}{location} {spender['count']} ({spender['share']:.0%})"


def table_row(series: SeriesReport) -> list[str]:
    """Returns the table cells of one series; the window columns hold burn rates."""
    full_window = series["windows"]["30d"]
    return [
        series["pipeline"],
        series["workspace"] or "(all)",
        str(full_window["total"]),
        format_number(full_window["attainment"], ".3%"),
        format_number(series["budget_left"], ".1%"),
        *(format_number(series["windows"][name]["burn_rate"], ".2f") for name in WINDOWS),
        ", ".join(f"{a['name']} ({'/'.join(a['windows'])})" for a in series["alarms"]) or "none",
    ]


def table(report: BurnReport) -> str:
    """Formats the report as text: a table of the series, then budget causes and latencies."""
    rows = [list(HEADINGS), *(table_row(series) for series in report["series"])]
    widths = [max(len(cells[i]) for cells in rows) for i in range(len(HEADINGS))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(cells, widths, strict=True)).rstrip()
        for cells in rows
    ]
    for series in report["series"]:
        if series["spent_by"]:
            name = f"{series['pipeline']} {series['workspace'] or '(all)'}"
            lines.append(
                f"{name}: budget spent by {', '.join(map(format_spender, series['spent_by']))}"
            )
        for latency in series["latency"]:
            bounds = [format_number(latency[key], "d") for key in ("p50_ms", "p95_ms", "p99_ms")]
            lines.append(
                f"{series['pipeline']} {latency['stage'] or '(whole run)'}: last hour"
                f" p50/p95/p99 at most {'/'.join(bounds)} ms of {latency['count']}"
            )
    return "\n".join([*lines, *notes(report)])


def notes(report: BurnReport) -> list[str]:
    """Returns notes on missing or incomplete data in the report."""
    lines = []
    if report["since_ms"] is not None:
        lines.append(f"Records before Unix time {report['since_ms'] // 1000} s may be missing.")
    if report["omitted"]:
        lines.append(f"{report['omitted']} workspaces omitted; name one with --workspace.")
    if report["dropped"]:
        lines.append(f"{report['dropped']} counts of workspaces dropped beyond the bound.")
    if report["skipped"]:
        lines.append(f"{report['skipped']} records could not be read; is this host out of date?")
    return lines


def as_json(report: BurnReport) -> str:
    """Formats the report as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(report), indent=2).decode()


def plot(report: BurnReport, width: int = 100, height: int = 25) -> str:
    """Plots the burn rates of the last 30 days as text without colours, one line per pipeline."""
    now_minute = report["now_ms"] / 60_000
    figure = plotext.figure
    figure.clear()
    figure.theme("colorless")
    figure.plot_size(width, height)
    for series in report["series"]:
        if series["workspace"] is None and series["history"]:
            hours = [(point["end_minute"] - now_minute) / 60 for point in series["history"]]
            rates = [point["burn_rate"] for point in series["history"]]
            signal = figure.signal(hours, rates)
            signal.lines()
            signal.label(series["pipeline"])
            figure.draw(signal)
    figure.title("burn rate")
    figure.label("hours from now")
    return str(plotext.uncolorize(figure.build()))
