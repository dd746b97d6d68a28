"""Totals of all hosts over 30 days, aggregated from topic `burn`.

Counts are kept in five levels of time bins, each as wide as the next shorter window needs: a
minute, five minutes, an hour, six hours, three days. A bin holds columns of 32-bit numbers indexed
by series, because a Python object per count would need more than 20 times the memory.

With all 42,000 pairs of the planned size active in every bin, the totals take 32 MB on the host
that writes the hourly checkpoint or answers a report on all workspaces, and a checkpoint takes
4.9 MB in 48 parts of at most 0.2 MB. Together with the host's own counters (12 MB with as many
pairs) this exceeds the 32 MB for control work. Memory is proportional to the active pairs, and a
report on one workspace holds only the series of that workspace.

A series is a (pipeline, workspace) pair; workspace "" is the pipeline over all workspaces.
"""

from __future__ import annotations

import operator
import zlib
from array import array
from collections import Counter
from collections.abc import Callable, Generator, Iterator
from typing import NamedTuple, TypeVar, cast

import msgspec

from savoryfork import defaults
from savoryfork.burn import SCHEMA, MinuteContent, Pair, unpack
from savoryfork.util.topic import Fold, Record

T = TypeVar("T")


def run_to_completion(steps: Generator[None, None, T]) -> T:
    """Runs a generator that yields between its steps and returns its result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return cast(T, stop.value)


class Level(NamedTuple):
    """Bins of `width` minutes, kept for `span` minutes before they move to the next level."""

    width: int
    span: int


LEVELS = (
    Level(1, 10),
    Level(5, 65),
    Level(60, 420),
    Level(360, 4_680),
    Level(4_320, 47_520),
)

SeriesFilter = Callable[[str, str], bool]

# Latency is reported for the last hour only, so wider bins don't keep it.
LAST_LATENCY_LEVEL = 1

SpentKey = tuple[int, str, str]
LatencyKey = tuple[str, str, int]


class Bin:
    """Counts of one time interval; `spent` is keyed by (series, kind, stage)."""

    def __init__(self) -> None:
        self.total = array("I")
        self.bad = array("I")
        self.spent: Counter[SpentKey] = Counter()
        self.latency: Counter[LatencyKey] = Counter()
        self.detail = 1

    def add(self, series: int, total: int, bad: int) -> None:
        """Adds to the counts of one series."""
        missing = series + 1 - len(self.total)
        if missing > 0:
            self.total.extend([0] * missing)
            self.bad.extend([0] * missing)
        self.total[series] += total
        self.bad[series] += bad

    def merge(self, other: Bin) -> None:
        """Adds another bin."""
        self.total = add_columns(self.total, other.total)
        self.bad = add_columns(self.bad, other.bad)
        self.spent.update(other.spent)
        self.detail = max(self.detail, other.detail)

    def trim(self, pipelines: set[int]) -> None:
        """Keeps all `spent` entries of pipelines, and of pairs only the largest up to the limit."""
        if len(self.spent) <= 2 * defaults.BURN_MAX_SPENDERS:
            return
        pair_items = [item for item in self.spent.items() if item[0][0] not in pipelines]
        pair_items.sort(key=lambda item: (-item[1], item[0]))
        for key, _ in pair_items[defaults.BURN_MAX_SPENDERS :]:
            del self.spent[key]


def add_columns(left: array[int], right: array[int]) -> array[int]:
    """Returns the sum of two columns, as long as the longer one.

    >>> add_columns(array("I", [1, 2]), array("I", [10])).tolist()
    [11, 2]
    """
    if len(left) < len(right):
        left, right = right, left
    result = array(left.typecode, map(operator.add, left, right))
    result.extend(left[len(right) :])
    return result


class Window(NamedTuple):
    """Sums over a time interval that ends now; columns are indexed by series."""

    total: array[int]
    bad: array[int]
    spent: Counter[SpentKey]
    latency: Counter[LatencyKey]
    detail: int


class Totals:
    """Counts of all series by time. `newest` is the latest log minute seen.

    The bin of a count depends only on its minute and on `newest`, so equal records in any order
    and with any checkpoints in between give equal totals. Once a bin has more than
    `BURN_MAX_SPENDERS` entries, the pairs that keep error kinds can differ; counts stay exact.
    """

    def __init__(self) -> None:
        self.series: dict[Pair, int] = {}
        self.levels: list[dict[int, Bin]] = [{} for _ in LEVELS]
        self.pipelines: set[int] = set()
        self.newest = 0
        self.dropped = 0

    def series_index(self, pair: Pair) -> int | None:
        """Returns the index of a series, assigned on first use; None for a pair over the limit."""
        index = self.series.get(pair)
        if index is None:
            if pair[1] and len(self.series) >= defaults.BURN_MAX_PAIRS:
                self.dropped += 1
                return None
            index = self.series[pair] = len(self.series)
            if not pair[1]:
                self.pipelines.add(index)
        return index

    def advance(self, minute: int) -> None:
        """Sets the newest minute and merges bins past their span into the next level."""
        if minute <= self.newest:
            return
        self.newest = minute
        for index, level in enumerate(LEVELS):
            for start in [s for s in self.levels[index] if self.is_past_span(level, s)]:
                bin_ = self.levels[index].pop(start)
                target = self.bin_for(start)
                if target is not None:
                    target.merge(bin_)
                    if index < LAST_LATENCY_LEVEL:
                        target.latency.update(bin_.latency)
                    target.trim(self.pipelines)

    def is_past_span(self, level: Level, start: int) -> bool:
        """Returns whether a bin is older than the span of its level."""
        return start + level.width <= self.newest + 1 - level.span

    def bin_for(self, minute: int) -> Bin | None:
        """Returns the bin for counts of a minute; None if the minute is past the last level."""
        for index, level in enumerate(LEVELS):
            start = minute - minute % level.width
            if not self.is_past_span(level, start):
                return self.levels[index].setdefault(start, Bin())
        return None

    def add(self, minute: int, content: MinuteContent, detail: int, keep: SeriesFilter) -> None:
        """Adds the content of one record."""
        bin_ = self.bin_for(minute)
        if bin_ is None:
            return
        bin_.detail = max(bin_.detail, detail)
        keep_latency = not self.is_past_span(
            LEVELS[LAST_LATENCY_LEVEL], minute - minute % LEVELS[LAST_LATENCY_LEVEL].width
        )
        for row in content.pipelines:
            if not keep(row.pipeline, ""):
                continue
            series = self.series_index((row.pipeline, ""))
            assert series is not None
            bin_.add(series, row.total, row.bad)
            for kind, stage, count in row.spent:
                bin_.spent[series, kind, stage] += count
            for stage, first, counts in row.latency:
                for index, count in enumerate(counts, first):
                    if count and keep_latency:
                        bin_.latency[row.pipeline, stage, index] += count
        rows: list[int | None] = []
        for name, workspace, total, bad in zip(
            content.pair_pipeline,
            content.pair_workspace,
            content.pair_total,
            content.pair_bad,
            strict=True,
        ):
            pair = (content.names[name], content.workspaces[workspace])
            pair_series = self.series_index(pair) if keep(*pair) else None
            rows.append(pair_series)
            if pair_series is not None:
                bin_.add(pair_series, total, bad)
        for row_index, kind, stage, count in content.spent:
            pair_series = rows[row_index]
            if pair_series is not None:
                bin_.spent[pair_series, kind, stage] += count
        bin_.trim(self.pipelines)

    def bins(self) -> Iterator[tuple[int, int, Bin]]:
        """Yields all bins as (level, start, bin), oldest first."""
        found = [
            (start, index, bin_)
            for index, bins in enumerate(self.levels)
            for start, bin_ in bins.items()
        ]
        for start, index, bin_ in sorted(found, key=lambda item: item[:2]):
            yield index, start, bin_

    def window(self, minutes: int, now_minute: int) -> Window:
        """Returns the sums of `window_steps`."""
        return run_to_completion(self.window_steps(minutes, now_minute))

    def window_steps(self, minutes: int, now_minute: int) -> Generator[None, None, Window]:
        """Sums every bin that overlaps the last `minutes` minutes, including the current one.

        The sum may therefore extend further back by up to one bin: not at all for 5 minutes, up to
        5 minutes for an hour, up to an hour for 6 hours, 6 hours for 3 days, 3 days for 30 days.
        """
        since = now_minute + 1 - minutes
        total, bad = array("Q"), array("Q")
        spent: Counter[SpentKey] = Counter()
        latency: Counter[LatencyKey] = Counter()
        detail = 1
        for index, start, bin_ in self.bins():
            if start + LEVELS[index].width <= since or start > now_minute:
                continue
            total = add_columns(total, array("Q", bin_.total))
            bad = add_columns(bad, array("Q", bin_.bad))
            spent.update(bin_.spent)
            latency.update(bin_.latency)
            detail = max(detail, bin_.detail)
            yield
        return Window(total, bad, spent, latency, detail)


def keep_all(pipeline: str, workspace: str) -> bool:
    """Accepts every series; the default filter of a fold."""
    return True


class BurnFold(Fold):
    """Merges the minute records of all hosts.

    `keep(pipeline, workspace)` selects the series to hold. `since_ms` is the log time before which
    records may be missing, 0 if none is. `seen` maps an incarnation to its highest sequence and
    the log minute of that record; incarnations without records for `BURN_INCARNATION_MINUTES`
    are dropped.
    """

    def __init__(self, keep: SeriesFilter = keep_all) -> None:
        self.keep = keep
        self.position = 0
        self.since_ms = 0
        self.totals = Totals()
        self.seen: dict[str, tuple[int, int]] = {}
        self.skipped = 0

    def apply(self, record: Record) -> None:
        """Applies one record; ignores one that is a duplicate, damaged or of a newer schema."""
        if record.offset < self.position:
            return
        self.position = record.offset + 1
        value = record.value
        if value.get("schema") != SCHEMA or value.get("type") != "minute":
            self.skipped += 1
            return
        now_minute = record.time_ms // 60_000
        try:
            content = msgspec.msgpack.decode(unpack(value["data"]), type=MinuteContent)
            incarnation, sequence = str(value["incarnation"]), int(value["sequence"])
            minute, detail = min(int(value["minute"]), now_minute), int(value["detail"])
        except (KeyError, TypeError, ValueError, zlib.error, msgspec.MsgspecError):
            self.skipped += 1
            return
        if sequence <= self.seen.get(incarnation, (0, 0))[0]:
            return
        self.seen[incarnation] = (sequence, now_minute)
        self.totals.advance(now_minute)
        self.totals.add(minute, content, detail, self.keep)

    def prune_incarnations(self) -> None:
        """Drops incarnations silent for so long that no duplicate of their records can follow."""
        oldest = self.totals.newest - defaults.BURN_INCARNATION_MINUTES
        self.seen = {name: entry for name, entry in self.seen.items() if entry[1] >= oldest}
