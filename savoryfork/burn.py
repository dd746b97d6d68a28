"""Error budget counters of one host and the records that aggregate them on the log.

A host counts runs in minute buckets and appends each finished minute to topic `burn` as one record
`{schema, type: "minute", id, incarnation, minute, sequence, detail, data}`. `data` is the content
(`MinuteContent`) as base85 of compressed msgpack.

Size: counts per pipeline (at most 15) are in every record. Counts per (pipeline, workspace) are in
every record as long as a host has at most `BURN_RECORD_PAIRS` active pairs. With more, each pair
is sent once per `detail` minutes, in a slot given by its hash, and its counts are deferred until
then. `detail` is a power of two and equal on all hosts with similar load. Without slots a host at
the planned size would send nearly one entry per request, because 42,000 pairs spread over 320
hosts rarely repeat within a minute. Latency histograms have slots as well.

One host at the planned size (1,370 runs a minute, 2,800 workspaces, 15 pipelines of 6 stages, 1 %
bad) sends records of 1.2 KB with equal workspaces, 1.6 KB with a few large ones and at most
2.0 KB. That is 27 B/s of the 3 KB/s allowed, and 23 to 30 MB an hour from 320 hosts. A host with 5
workspaces and 4 pipelines of 4 stages sends 0.5 KB a minute.
"""

from __future__ import annotations

import asyncio
import base64
import bisect
import logging
import zlib
from collections import Counter
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
import xxhash

from savoryfork import defaults
from savoryfork.errors import ErrorKind
from savoryfork.util import logs
from savoryfork.util.timer import Clock
from savoryfork.util.topic import LogClient, LogUnavailable

log = logging.getLogger(__name__)

SCHEMA = 1
MINUTE_MS = 60_000

# Error kinds that are not counted at all: the caller sent a request that could not be served in any
# state of the system, or asked about a run that is counted on the host that runs it. Publications
# are not runs.
EXCLUDED_KINDS = frozenset(
    {
        ErrorKind.MALFORMED_REQUEST,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.BODY_TOO_SLOW,
        ErrorKind.UNAUTHORIZED,
        ErrorKind.UNKNOWN_PIPELINE,
        ErrorKind.UNKNOWN_REQUEST,
        ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
        ErrorKind.IDEMPOTENCY_KEY_INVALID,
        ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
        ErrorKind.IDEMPOTENCY_KEY_MISMATCH,
        ErrorKind.REQUEST_IN_PROGRESS,
        ErrorKind.PUBLICATION_INVALID,
        ErrorKind.PUBLICATION_CONFLICT,
        ErrorKind.PUBLICATION_UNKNOWN,
    }
)

# A definite rejection by a service is a complete answer, so it spends budget only if it is late.
ANSWERED_KINDS = frozenset({None, ErrorKind.ACTION_REJECTED})

# The kind that counts answers after the deadline.
LATE = "late"

# Upper bounds of the latency buckets in milliseconds; the last bucket is unbounded. Fixed buckets
# merge by addition and take a few bytes each; an encoded hdrhistogram takes more than the rest of
# a record for 15 pipelines of 6 stages.
LATENCY_BOUNDS_MS = tuple(2**exponent for exponent in range(15))

Pair = tuple[str, str]


class Tally:
    """Number of runs, and of bad runs by (error kind, stage); stage is "" if none is known."""

    __slots__ = ("bad", "spent", "total")

    def __init__(self) -> None:
        self.total = 0
        self.bad = 0
        self.spent: dict[tuple[str, str], int] = {}

    def count(self, kind: str | None, stage: str) -> None:
        """Counts one run; it is good if `kind` is None."""
        self.total += 1
        if kind is not None:
            self.bad += 1
            self.spent[kind, stage] = self.spent.get((kind, stage), 0) + 1

    def merge(self, other: Tally) -> None:
        """Adds the counts of another tally."""
        self.total += other.total
        self.bad += other.bad
        for key, count in other.spent.items():
            self.spent[key] = self.spent.get(key, 0) + count


class Bucket:
    """Counts of the minutes `first` to `minute` (Unix time in minutes).

    `latency` counts runs by (pipeline, stage, bucket index); stage "" is the whole run. `detail` is
    the number of minutes over which the counts of a pair may have been collected.
    """

    def __init__(self, minute: int) -> None:
        self.first = minute
        self.minute = minute
        self.pipelines: dict[str, Tally] = {}
        self.pairs: dict[Pair, Tally] = {}
        self.latency: Counter[tuple[str, str, int]] = Counter()
        self.detail = 1

    def merge(self, other: Bucket) -> None:
        """Adds a bucket of other minutes; the sum is attributed to the latest minute."""
        self.first = min(self.first, other.first)
        self.minute = max(self.minute, other.minute)
        self.detail = max(self.detail, other.detail, self.minute - self.first + 1)
        merge_tallies(self.pipelines, other.pipelines)
        merge_tallies(self.pairs, other.pairs)
        self.latency.update(other.latency)


def merge_tallies(into: dict[Any, Tally], other: Mapping[Any, Tally]) -> None:
    """Adds the tallies of `other`, key by key."""
    for key, tally in other.items():
        into.setdefault(key, Tally()).merge(tally)


def budget_kind(outcome: ErrorKind | None, answered_in_time: bool) -> str | None:
    """Returns the kind under which a run spends budget; None if it does not.

    >>> budget_kind(None, True), budget_kind(None, False), budget_kind(ErrorKind.OVERLOADED, True)
    (None, 'late', 'overloaded')
    """
    if outcome in ANSWERED_KINDS:
        return None if answered_in_time else LATE
    assert outcome is not None
    return outcome.value


class BurnRecorder:
    """Counts runs in memory, which is bounded by the number of pairs, not by elapsed time."""

    def __init__(
        self,
        record_pairs: int = defaults.BURN_RECORD_PAIRS,
        max_pairs: int = defaults.BURN_MAX_PAIRS,
    ) -> None:
        self.record_pairs = record_pairs
        self.max_pairs = max_pairs
        self.buckets: dict[int, Bucket] = {}
        self.deferred: dict[Pair, Tally] = {}
        self.deferred_latency: Counter[tuple[str, str, int]] = Counter()
        self.dropped = 0

    def record(
        self,
        workspace: str,
        pipeline: str,
        outcome: ErrorKind | None,
        stage: str | None,
        answered_in_time: bool,
        duration_ms: float,
        stage_ms: Mapping[str, float],
        now_wall_ms: float,
    ) -> None:
        """Counts one finished run. `stage` is the failed stage, `stage_ms` each stage's duration.

        Kinds in `EXCLUDED_KINDS` are ignored. `now_wall_ms` is Unix time.
        """
        if outcome in EXCLUDED_KINDS:
            return
        bucket = self.bucket(int(now_wall_ms // MINUTE_MS))
        kind = budget_kind(outcome, answered_in_time)
        bucket.pipelines.setdefault(pipeline, Tally()).count(kind, stage or "")
        pair = (pipeline, workspace)
        if pair in bucket.pairs or len(bucket.pairs) + len(self.deferred) < self.max_pairs:
            bucket.pairs.setdefault(pair, Tally()).count(kind, stage or "")
        else:
            self.dropped += 1
        for name, spent_ms in {**stage_ms, "": duration_ms}.items():
            index = bisect.bisect_left(LATENCY_BOUNDS_MS, spent_ms)
            bucket.latency[pipeline, name, index] += 1

    def bucket(self, minute: int) -> Bucket:
        """Returns the bucket of a minute, or the newest one if clock jumps caused too many."""
        if minute not in self.buckets and len(self.buckets) >= defaults.BURN_MAX_BUCKETS:
            minute = max(self.buckets)
        return self.buckets.setdefault(minute, Bucket(minute))

    def pop_finished(self, now_wall_ms: float, flush: bool = False) -> list[Bucket]:
        """Removes and returns finished minutes; `flush` adds the current one and all slots."""
        current = int(now_wall_ms // MINUTE_MS)
        finished = []
        for minute in sorted(self.buckets):
            if minute != current or flush:
                bucket = self.buckets.pop(minute)
                self.select_due(bucket, flush)
                finished.append(bucket)
        if flush and (self.deferred or self.deferred_latency):
            bucket = Bucket(current)
            self.select_due(bucket, flush)
            finished.append(bucket)
        return finished

    def select_due(self, bucket: Bucket, flush: bool) -> None:
        """Keeps the pairs and histograms that are due in a bucket and defers the others."""
        self.select_due_latency(bucket, flush)
        merge_tallies(self.deferred, bucket.pairs)
        detail = slot_count(len(self.deferred), self.record_pairs)
        bucket.detail = detail
        if detail == 1 or flush:
            bucket.pairs, self.deferred = self.deferred, {}
            return
        bucket.pairs = {}
        for pair in [p for p in self.deferred if slot_hash(p) % detail == bucket.minute % detail]:
            bucket.pairs[pair] = self.deferred.pop(pair)

    def select_due_latency(self, bucket: Bucket, flush: bool) -> None:
        """Keeps the histograms that are due, by slots of their own, and defers the others."""
        self.deferred_latency.update(bucket.latency)
        histograms = {key[:2] for key in self.deferred_latency}
        count = 1 if flush else slot_count(len(histograms), defaults.BURN_RECORD_HISTOGRAMS)
        due = {pair for pair in histograms if slot_hash(pair) % count == bucket.minute % count}
        bucket.latency = Counter()
        for key in [k for k in self.deferred_latency if k[:2] in due]:
            bucket.latency[key] = self.deferred_latency.pop(key)

    def defer_pairs(self, bucket: Bucket) -> None:
        """Defers the pairs of a bucket again, to bound the backlog during an outage."""
        merge_tallies(self.deferred, bucket.pairs)
        bucket.pairs = {}


def slot_count(count: int, limit: int) -> int:
    """Returns the smallest power of two that spreads `count` entries over slots of `limit`.

    >>> slot_count(128, 128), slot_count(129, 128), slot_count(600, 128)
    (1, 2, 8)
    """
    result = 1
    while result * limit < count:
        result *= 2
    return result


def slot_hash(pair: Pair) -> int:
    """Returns a hash that is the same on every host."""
    return xxhash.xxh3_64_intdigest("\x00".join(pair).encode())


class PipelineRow(NamedTuple):
    """Counts of one pipeline. `spent` holds (kind, stage, count) and `latency` holds (stage, index
    of the first bucket, counts)."""

    pipeline: str
    total: int
    bad: int
    spent: list[tuple[str, str, int]]
    latency: list[tuple[str, int, list[int]]]


class MinuteContent(NamedTuple):
    """The content of a minute record. Pairs are stored as four columns, in order of workspace;
    `pair_pipeline` indexes `names`, `pair_workspace` indexes `workspaces`. `spent` holds (row,
    kind, stage, count)."""

    pipelines: list[PipelineRow]
    names: list[str]
    workspaces: list[str]
    pair_pipeline: list[int]
    pair_workspace: list[int]
    pair_total: list[int]
    pair_bad: list[int]
    spent: list[tuple[int, str, str, int]]


def pack(content: Any, level: int = 9) -> str:
    """Encodes content as text for a record: msgpack, compressed by zlib, in base85.

    >>> msgspec.msgpack.decode(unpack(pack([1, "a"])))
    [1, 'a']
    """
    return base64.b85encode(zlib.compress(msgspec.msgpack.encode(content), level)).decode()


def unpack(data: str) -> bytes:
    """Returns the msgpack bytes of a packed text; raises ValueError or zlib.error if damaged."""
    return zlib.decompress(base64.b85decode(data))


def minute_content(bucket: Bucket) -> MinuteContent:
    """Builds the record content of a bucket, in an order that compresses well."""
    histograms: dict[Pair, dict[int, int]] = {}
    for (pipeline, stage, index), count in bucket.latency.items():
        histograms.setdefault((pipeline, stage), {})[index] = count
    latency: dict[str, list[tuple[str, int, list[int]]]] = {}
    for (pipeline, stage), counts in sorted(histograms.items()):
        first = min(counts)
        row = [counts.get(index, 0) for index in range(first, max(counts) + 1)]
        latency.setdefault(pipeline, []).append((stage, first, row))
    rows = [
        PipelineRow(name, tally.total, tally.bad, spent_rows(tally), latency.get(name, []))
        for name, tally in sorted(bucket.pipelines.items())
    ]
    pairs = sorted(bucket.pairs.items(), key=lambda item: (item[0][1], item[0][0]))
    names = sorted({pipeline for pipeline, _ in bucket.pairs})
    workspaces = sorted({workspace for _, workspace in bucket.pairs})
    name_index = {name: index for index, name in enumerate(names)}
    workspace_index = {name: index for index, name in enumerate(workspaces)}
    return MinuteContent(
        rows,
        names,
        workspaces,
        [name_index[pipeline] for (pipeline, _), _ in pairs],
        [workspace_index[workspace] for (_, workspace), _ in pairs],
        [tally.total for _, tally in pairs],
        [tally.bad for _, tally in pairs],
        [(row, *spent) for row, (_, tally) in enumerate(pairs) for spent in spent_rows(tally)],
    )


def spent_rows(tally: Tally) -> list[tuple[str, str, int]]:
    """Returns the bad runs of a tally as rows of (kind, stage, count)."""
    return [(kind, stage, count) for (kind, stage), count in sorted(tally.spent.items())]


def minute_record(bucket: Bucket, incarnation: str, sequence: int) -> dict[str, Any]:
    """Builds the log record of a bucket."""
    return {
        "schema": SCHEMA,
        "type": "minute",
        "id": f"{incarnation}:{bucket.minute}:{sequence}",
        "incarnation": incarnation,
        "minute": bucket.minute,
        "sequence": sequence,
        "detail": bucket.detail,
        "data": pack(minute_content(bucket)),
    }


class BurnController:
    """Appends the finished minutes of a recorder to the log, in order, one batch at a time.

    A batch whose response is lost is retried unchanged before anything newer is sent. Sequences of
    an incarnation therefore first appear in order, and the fold recognises a duplicate record by
    the highest sequence it has seen.
    """

    def __init__(
        self,
        client: LogClient,
        recorder: BurnRecorder,
        incarnation: str,
        clock: Clock,
    ) -> None:
        self.client = client
        self.recorder = recorder
        self.incarnation = incarnation
        self.clock = clock
        self.sequence = 0
        self.waiting: list[Bucket] = []
        self.batch: list[dict[str, Any]] = []
        self.lock = asyncio.Lock()

    async def tick(self) -> None:
        """Collects finished minutes and sends all waiting ones; call every `BURN_TICK_MS`."""
        async with self.lock:
            self.collect(flush=False)
            try:
                await self.send(defaults.LOG_TIMEOUT_MS)
            except LogUnavailable:
                logs.event(log, "burn_append_failed", logging.DEBUG, waiting=len(self.waiting))

    async def close(self, timeout_ms: float = defaults.BURN_FLUSH_MS) -> bool:
        """Sends everything including the current minute; returns False if the log did not take all.

        Call it after the last run has been recorded.
        """
        end_ms = self.clock.monotonic_ms() + timeout_ms
        async with self.lock:
            self.collect(flush=True)
            while self.batch or self.waiting:
                remaining_ms = end_ms - self.clock.monotonic_ms()
                if remaining_ms <= 0:
                    logs.event(log, "burn_flush_failed", logging.ERROR, waiting=len(self.waiting))
                    return False
                try:
                    await self.send(min(remaining_ms, defaults.LOG_TIMEOUT_MS))
                except LogUnavailable:
                    await asyncio.sleep(min(remaining_ms, 100) / 1000)
        return True

    def collect(self, flush: bool) -> None:
        """Moves finished minutes to `waiting`; merges adjacent ones if there are too many."""
        self.waiting.extend(self.recorder.pop_finished(self.clock.wall_ms(), flush))
        while len(self.waiting) > defaults.BURN_MAX_WAITING:
            self.merge_adjacent()

    def merge_adjacent(self) -> None:
        """Merges the two adjacent buckets that together span the fewest minutes."""
        index = min(
            range(len(self.waiting) - 1),
            key=lambda i: self.waiting[i + 1].minute - self.waiting[i].first,
        )
        merged = self.waiting[index]
        merged.merge(self.waiting.pop(index + 1))
        if len(merged.pairs) > self.recorder.record_pairs:
            self.recorder.defer_pairs(merged)

    async def send(self, timeout_ms: float) -> None:
        """Sends batches until none is waiting; raises LogUnavailable and keeps the failed batch."""
        while self.batch or self.waiting:
            if not self.batch:
                buckets = self.waiting[: defaults.BURN_BATCH_RECORDS]
                del self.waiting[: defaults.BURN_BATCH_RECORDS]
                for bucket in buckets:
                    self.sequence += 1
                    self.batch.append(minute_record(bucket, self.incarnation, self.sequence))
            await self.client.append(defaults.BURN_TOPIC, self.batch, timeout_ms)
            self.batch = []
