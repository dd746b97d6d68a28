"""The burn report: attainment, burn rates, remaining budget, its consumers, and alarms."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Generator, Mapping, Sequence
from typing import NamedTuple, TypedDict

from savoryfork import defaults
from savoryfork.burn import LATENCY_BOUNDS_MS, MINUTE_MS
from savoryfork.burncheckpoint import load
from savoryfork.burntotals import LEVELS, LatencyKey, Totals, Window, run_to_completion
from savoryfork.pipeline import Configuration, Objective
from savoryfork.util.topic import LogClient

WINDOWS: dict[str, int] = {"5m": 5, "1h": 60, "6h": 360, "3d": 4_320, "30d": 43_200}
DAY_MINUTES = 1_440
TOP_SPENDERS = 5
PAIRS_PER_STEP = 500


class AlarmRule(NamedTuple):
    """Raises `name` if the burn rates over `long` and `short` both reach the threshold.

    The threshold is the burn rate that spends `budget_share` of the whole budget within `long`.
    The short window clears the alarm soon after its cause ends.
    """

    name: str
    long: str
    short: str
    budget_share: float


# The usual budget shares of multi-window burn-rate alarms: 2 % in an hour, 5 % in 6 hours, 10 % in
# 3 days. For an objective over 30 days the thresholds are 14.4, 6 and 1.
ALARM_RULES = (
    AlarmRule("fast_burn", "1h", "5m", 0.02),
    AlarmRule("fast_burn", "6h", "1h", 0.05),
    AlarmRule("slow_burn", "3d", "6h", 0.10),
)

# With fewer bad runs in the long window, a burn rate is not significant enough to page anybody.
ALARM_MIN_BAD = 10

# The burn rate can't exceed 1 / allowed share, which for a loose objective can be below the
# threshold. The alarm is then raised at this share of bad runs.
ALARM_MAX_BAD_SHARE = 0.9

# Keeps the burn rate finite for an objective of 1.0.
MIN_ALLOWED_SHARE = 1e-6


class WindowReport(TypedDict):
    """Counts and rates over one window.

    `attainment` and `burn_rate` are None without runs, or if `coarse`: the counts of some pair were
    collected over more time than the window covers.
    """

    total: int
    bad: int
    attainment: float | None
    burn_rate: float | None
    coarse: bool


class Spender(TypedDict):
    """Bad runs of one error kind at one stage ("" if none) and their share of all bad runs."""

    kind: str
    stage: str
    count: int
    share: float


class Alarm(TypedDict):
    """An alarm, the windows that raised it and the burn rate that both reached."""

    name: str
    windows: list[str]
    threshold: float


class StageLatency(TypedDict):
    """Upper bounds in milliseconds of the latency buckets that hold the percentiles of the last
    hour; None above the largest bound. `stage` "" is the whole run."""

    stage: str
    count: int
    p50_ms: int | None
    p95_ms: int | None
    p99_ms: int | None


class Point(TypedDict):
    """The burn rate over one time interval, for plots."""

    end_minute: int
    minutes: int
    burn_rate: float


class SeriesReport(TypedDict):
    """The report on a pipeline (`workspace` None) or on a pipeline in a workspace.

    `budget_left` is the unspent share of the budget of the objective's window: negative if
    overspent, None without runs.
    """

    pipeline: str
    workspace: str | None
    objective: float
    window_days: int
    windows: dict[str, WindowReport]
    budget_left: float | None
    spent_by: list[Spender]
    spent_by_1h: list[Spender]
    alarms: list[Alarm]
    latency: list[StageLatency]
    history: list[Point]


class BurnReport(TypedDict):
    """The whole report.

    `since_ms` is not None if older records were lost. `omitted` counts the pairs left out, which
    are those with the most remaining budget; `skipped` counts unreadable records.
    """

    now_ms: int
    since_ms: int | None
    skipped: int
    dropped: int
    omitted: int
    series: list[SeriesReport]


def allowed_share(objective: Objective) -> float:
    """Returns the share of runs that may be bad."""
    return max(1 - objective.attainment, MIN_ALLOWED_SHARE)


def burn_rate(total: int, bad: int, objective: Objective) -> float | None:
    """Returns bad share / allowed share; 1 spends the budget exactly in its window.

    >>> round(burn_rate(1000, 20, Objective(0.99, 30)), 6)
    2.0
    """
    return bad / total / allowed_share(objective) if total else None


def column_value(column: Sequence[int], index: int) -> int:
    """Returns a value of a column, 0 beyond its end."""
    return column[index] if index < len(column) else 0


class Sums(NamedTuple):
    """Counts of one series in each window; "budget" is the window of its objective."""

    total: dict[str, int]
    bad: dict[str, int]


def series_sums(windows: Mapping[str, Window], objective: Objective, index: int) -> Sums:
    """Returns the counts of one series in each window."""
    selected = {name: windows[name] for name in WINDOWS}
    selected["budget"] = windows[f"{objective.window_days}d"]
    return Sums(
        {name: column_value(window.total, index) for name, window in selected.items()},
        {name: column_value(window.bad, index) for name, window in selected.items()},
    )


def budget_left(sums: Sums, objective: Objective) -> float | None:
    """Returns the unspent share of the budget, relative to the bad runs allowed so far."""
    rate = burn_rate(sums.total["budget"], sums.bad["budget"], objective)
    return None if rate is None else 1 - rate


def threshold(rule: AlarmRule, objective: Objective) -> float:
    """Returns the burn rate at which a rule raises its alarm.

    >>> [round(threshold(rule, Objective(0.99, 30)), 6) for rule in ALARM_RULES]
    [14.4, 6.0, 1.0]
    """
    rate = rule.budget_share * objective.window_days * DAY_MINUTES / WINDOWS[rule.long]
    return min(rate, ALARM_MAX_BAD_SHARE / allowed_share(objective))


def alarms_of(sums: Sums, objective: Objective, coarse: Mapping[str, bool]) -> list[Alarm]:
    """Returns the alarms of a series. Rules with a coarse window are skipped."""
    found: list[Alarm] = []
    for rule in ALARM_RULES:
        if coarse[rule.long] or coarse[rule.short] or sums.bad[rule.long] < ALARM_MIN_BAD:
            continue
        limit = threshold(rule, objective)
        rates = [
            burn_rate(sums.total[name], sums.bad[name], objective)
            for name in (rule.long, rule.short)
        ]
        # The tolerance keeps rounding from deciding on a rate that equals the threshold.
        if all(rate is not None and rate >= limit * (1 - 1e-9) for rate in rates):
            found.append(Alarm(name=rule.name, windows=[rule.long, rule.short], threshold=limit))
    return found


def window_reports(
    sums: Sums, objective: Objective, coarse: Mapping[str, bool]
) -> dict[str, WindowReport]:
    """Computes attainment and burn rate over each window."""
    reports: dict[str, WindowReport] = {}
    for name in WINDOWS:
        total, bad = sums.total[name], sums.bad[name]
        known = total > 0 and not coarse[name]
        reports[name] = WindowReport(
            total=total,
            bad=bad,
            attainment=1 - bad / total if known else None,
            burn_rate=burn_rate(total, bad, objective) if known else None,
            coarse=coarse[name],
        )
    return reports


def spenders(window: Window, index: int, bad: int) -> list[Spender]:
    """Returns the error kinds and stages that spent the most budget, largest first."""
    entries = [(key[1:], n) for key, n in window.spent.items() if key[0] == index]
    entries.sort(key=lambda item: (-item[1], item[0]))
    return [
        Spender(kind=kind, stage=stage, count=n, share=n / bad)
        for (kind, stage), n in entries[:TOP_SPENDERS]
    ]


def percentile(counts: Mapping[int, int], share: float) -> int | None:
    """Returns the upper bound of the bucket that contains a percentile.

    >>> percentile({0: 50, 3: 49, 14: 1}, 0.95), percentile({15: 1}, 0.5)
    (8, None)
    """
    needed = share * sum(counts.values())
    reached = 0
    for index in sorted(counts):
        reached += counts[index]
        if reached >= needed:
            break
    return LATENCY_BOUNDS_MS[index] if index < len(LATENCY_BOUNDS_MS) else None


def latencies(counts: Counter[LatencyKey], pipeline: str) -> list[StageLatency]:
    """Computes the latency percentiles of each stage of a pipeline."""
    stages: dict[str, dict[int, int]] = {}
    for (name, stage, index), count in counts.items():
        if name == pipeline:
            stages.setdefault(stage, {})[index] = count
    return [
        StageLatency(
            stage=stage,
            count=sum(buckets.values()),
            p50_ms=percentile(buckets, 0.5),
            p95_ms=percentile(buckets, 0.95),
            p99_ms=percentile(buckets, 0.99),
        )
        for stage, buckets in sorted(stages.items())
    ]


def history(totals: Totals, index: int, objective: Objective) -> list[Point]:
    """Computes the burn rate of every bin with runs, oldest first."""
    points = []
    for level, start, bin_ in totals.bins():
        rate = burn_rate(column_value(bin_.total, index), column_value(bin_.bad, index), objective)
        if rate is not None:
            width = LEVELS[level].width
            points.append(Point(end_minute=start + width, minutes=width, burn_rate=rate))
    return points


def burn_report(
    totals: Totals,
    objectives: Mapping[str, Objective],
    now_ms: int,
    *,
    max_pairs: int = defaults.BURN_REPORT_PAIRS,
) -> BurnReport:
    """Returns the report of `report_steps`."""
    return run_to_completion(report_steps(totals, objectives, now_ms, max_pairs))


def report_steps(
    totals: Totals, objectives: Mapping[str, Objective], now_ms: int, max_pairs: int
) -> Generator[None, None, BurnReport]:
    """Reports on all series in `totals`; `now_ms` is Unix time.

    `objectives` maps pipelines to objectives; a pipeline that is no longer configured gets the
    default one. Of the (pipeline, workspace) pairs, `max_pairs` are reported: first those with
    alarms, then those with the least remaining budget. Yields between steps, since a report on
    42,000 pairs would block the event loop for too long.
    """
    now_minute = max(now_ms // MINUTE_MS, totals.newest)
    default = Objective()
    days = {objectives.get(name, default).window_days for name, _ in totals.series}
    lengths = {**{f"{n}d": n * DAY_MINUTES for n in days}, **WINDOWS}
    windows: dict[str, Window] = {}
    for name, length in lengths.items():
        windows[name] = yield from totals.window_steps(length, now_minute)
    exact = dict.fromkeys(WINDOWS, False)
    coarse = {name: windows[name].detail > length for name, length in WINDOWS.items()}
    selected: list[tuple[tuple[str, str], int, Sums, list[Alarm]]] = []
    pairs = []
    for pair, index in totals.series.items():
        if index % PAIRS_PER_STEP == 0:
            yield
        objective = objectives.get(pair[0], default)
        sums = series_sums(windows, objective, index)
        if not any(sums.total.values()):
            continue
        alarms = alarms_of(sums, objective, coarse if pair[1] else exact)
        entry = (pair, index, sums, alarms)
        if pair[1]:
            remaining = budget_left(sums, objective)
            pairs.append((not alarms, 1.0 if remaining is None else remaining, pair, entry))
        else:
            selected.append(entry)
    pairs.sort(key=lambda item: item[:3])
    selected.extend(item[3] for item in pairs[:max_pairs])
    series: list[SeriesReport] = []
    for (pipeline, workspace), index, sums, alarms in sorted(selected, key=lambda entry: entry[0]):
        objective = objectives.get(pipeline, default)
        yield
        budget_window = windows[f"{objective.window_days}d"]
        series.append(
            SeriesReport(
                pipeline=pipeline,
                workspace=workspace or None,
                objective=objective.attainment,
                window_days=objective.window_days,
                windows=window_reports(sums, objective, coarse if workspace else exact),
                budget_left=budget_left(sums, objective),
                spent_by=spenders(budget_window, index, sums.bad["budget"]),
                spent_by_1h=spenders(windows["1h"], index, sums.bad["1h"]),
                alarms=alarms,
                latency=[] if workspace else latencies(windows["1h"].latency, pipeline),
                history=history(totals, index, objective),
            )
        )
    return BurnReport(
        now_ms=now_ms,
        since_ms=None,
        skipped=0,
        dropped=totals.dropped,
        omitted=max(0, len(pairs) - max_pairs),
        series=series,
    )


def series_filter(workspace: str | None, pipeline: str | None) -> Callable[[str, str], bool]:
    """Returns a filter for the series of a report, including whole pipelines for comparison.

    >>> keep = series_filter("acme", None)
    >>> keep("chat", "acme"), keep("chat", ""), keep("chat", "other")
    (True, True, False)
    """

    def keep(name: str, owner: str) -> bool:
        if pipeline is not None and name != pipeline:
            return False
        return workspace is None or owner in ("", workspace)

    return keep


async def handle_burn(
    client: LogClient,
    configuration: Configuration,
    now_ms: int,
    workspace: str | None = None,
    pipeline: str | None = None,
) -> BurnReport:
    """Builds the response to `GET /operator/burn?workspace=…&pipeline=…`, ready for JSON.

    Reads the log up to its current end and caches nothing. Raises ServiceError log_unavailable.
    """
    fold = await load(client, series_filter(workspace, pipeline))
    objectives = {name: entry.objective for name, entry in configuration.pipelines.items()}
    steps = report_steps(fold.totals, objectives, now_ms, defaults.BURN_REPORT_PAIRS)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            report: BurnReport = stop.value
            break
        await asyncio.sleep(0)
    report["since_ms"] = fold.since_ms or None
    report["skipped"] = fold.skipped
    return report
