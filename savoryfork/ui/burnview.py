"""Renders a burn report as a table, as JSON or as a plot."""

from __future__ import annotations

import msgspec
import plotext

from savoryfork.burnreport import WINDOWS, BurnReport, SeriesReport, Spender

HEADINGS = ("PIPELINE", "WORKSPACE", "RUNS 30d", "ATTAINED", "LEFT", *WINDOWS, "ALARMS")


def number(value: float | None, form: str) -> str:
    """A number in a format, "-" if it is not known.

    >>> number(0.5, ".0%"), number(None, ".0%")
    ('50%', '-')
    """
    return "-" if value is None else format(value, form)


def spent(spender: Spender) -> str:
    """One spender as text."""
    place = f" at {spender['stage']}" if spender["stage"] else ""
    return f"{spender['kind']}{place} {spender['count']} ({spender['share']:.0%})"


def row(series: SeriesReport) -> list[str]:
    """The cells of one line; the columns of windows are burn rates."""
    whole = series["windows"]["30d"]
    return [
        series["pipeline"],
        series["workspace"] or "(all)",
        str(whole["total"]),
        number(whole["attainment"], ".3%"),
        number(series["budget_left"], ".1%"),
        *(number(series["windows"][name]["burn_rate"], ".2f") for name in WINDOWS),
        ", ".join(f"{a['name']} ({'/'.join(a['windows'])})" for a in series["alarms"]) or "none",
    ]


def table(report: BurnReport) -> str:
    """The report as text: one line for each series, then what spent its budget."""
    rows = [list(HEADINGS), *(row(series) for series in report["series"])]
    widths = [max(len(cells[i]) for cells in rows) for i in range(len(HEADINGS))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(cells, widths, strict=True)).rstrip()
        for cells in rows
    ]
    for series in report["series"]:
        if series["spent_by"]:
            name = f"{series['pipeline']} {series['workspace'] or '(all)'}"
            lines.append(f"{name}: budget spent by {', '.join(map(spent, series['spent_by']))}")
        for latency in series["latency"]:
            bounds = [number(latency[key], "d") for key in ("p50_ms", "p95_ms", "p99_ms")]
            lines.append(
                f"{series['pipeline']} {latency['stage'] or '(whole run)'}: last hour"
                f" p50/p95/p99 at most {'/'.join(bounds)} ms of {latency['count']}"
            )
    return "\n".join([*lines, *notes(report)])


def notes(report: BurnReport) -> list[str]:
    """What limits the report."""
    found = []
    if report["since_ms"] is not None:
        found.append(f"Records before Unix time {report['since_ms'] // 1000} s may be missing.")
    if report["omitted"]:
        found.append(f"{report['omitted']} workspaces omitted; name one with --workspace.")
    if report["dropped"]:
        found.append(f"{report['dropped']} counts of workspaces dropped beyond the bound.")
    if report["skipped"]:
        found.append(f"{report['skipped']} records could not be read; is this host out of date?")
    return found


def as_json(report: BurnReport) -> str:
    """The report as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(report), indent=2).decode()


def plot(report: BurnReport, width: int = 100, height: int = 25) -> str:
    """Burn rates over the last 30 days, a line for each pipeline, without colours."""
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
