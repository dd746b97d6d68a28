"""Checkpoints of the burn totals, and loading the totals on demand.

Hosts don't follow topic `burn`: at the planned size it grows faster than a host's read budget. A
report starts from the newest usable checkpoint and reads all later records, at most about 75
minutes of them.

A checkpoint consists of parts in topic `burn-parts`, followed by one header in topic
`burn-checkpoints`, `{schema, type: "checkpoint", id, through, digest, parts: [offset]}`. Headers
have a topic of their own so that a host needs to read only a few bytes to find out whether an
hour's checkpoint exists. `through` is the last included offset of `burn`, `digest` covers all
parts.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
import sys
import uuid
from array import array
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec
import xxhash

from savoryfork import defaults
from savoryfork.burn import SCHEMA, Pair, pack, unpack
from savoryfork.burntotals import Bin, BurnFold, SeriesFilter, keep_all
from savoryfork.errors import ErrorKind, ServiceError
from savoryfork.util import logs
from savoryfork.util.timer import Clock
from savoryfork.util.topic import (
    LogClient,
    LogUnavailable,
    OffsetExpired,
    Record,
    era_of,
    raw_offset,
)

log = logging.getLogger(__name__)

MAX_HEADERS_READ = 64
LOAD_ATTEMPTS = 3

# zlib level. Level 9 takes 16 s for a full checkpoint and blocks the event loop for 1.1 s.
PART_COMPRESSION = 1


class Meta(NamedTuple):
    """The first part: everything but the bins."""

    series: list[Pair]
    newest: int
    since_ms: int
    dropped: int
    skipped: int
    seen: dict[str, tuple[int, int]]


class BinPart(NamedTuple):
    """One bin; columns are little-endian 32-bit numbers."""

    level: int
    start: int
    detail: int
    total: bytes
    bad: bytes
    spent: list[tuple[int, str, str, int]]
    latency: list[tuple[str, str, int, int]]


class DamagedCheckpoint(Exception):
    """Raised for a checkpoint whose parts are missing or don't match its digest."""


def column_to_bytes(column: array[int], order: list[int]) -> bytes:
    """Encodes the values of the series in `order` as little-endian 32-bit numbers."""
    size = len(column)
    result = array("I", [column[index] if index < size else 0 for index in order])
    if sys.byteorder == "big":
        result.byteswap()
    return result.tobytes()


def column_from_bytes(data: bytes, order: list[int]) -> array[int]:
    """Decodes a column written by `column_to_bytes`, restricted to the rows in `order`."""
    column = array("I")
    column.frombytes(data)
    if sys.byteorder == "big":
        column.byteswap()
    return array("I", [column[index] for index in order])


def checkpoint_parts(fold: BurnFold) -> Iterator[str | None]:
    """Yields the parts of a checkpoint one at a time, since packing all at once would block the
    event loop. None is a step without a part.

    Series without runs in the last 30 days are omitted.
    """
    fold.prune_incarnations()
    totals = fold.totals
    used: set[int] = set()
    for _, _, bin_ in totals.bins():
        used.update(itertools.compress(itertools.count(), bin_.total))
        yield None
    series = sorted((pair, index) for pair, index in totals.series.items() if index in used)
    order = [index for _, index in series]
    new_index = {index: position for position, index in enumerate(order)}
    yield pack(
        Meta(
            [pair for pair, _ in series],
            totals.newest,
            fold.since_ms,
            totals.dropped,
            fold.skipped,
            fold.seen,
        )
    )
    part: list[BinPart] = []
    for level, start, bin_ in totals.bins():
        part.append(
            BinPart(
                level,
                start,
                bin_.detail,
                column_to_bytes(bin_.total, order),
                column_to_bytes(bin_.bad, order),
                sorted((new_index[k[0]], k[1], k[2], n) for k, n in bin_.spent.items()),
                sorted((*key, count) for key, count in bin_.latency.items()),
            )
        )
        if len(part) * len(order) >= defaults.BURN_PART_CELLS:
            yield pack(part, PART_COMPRESSION)
            part = []
    if part:
        yield pack(part, PART_COMPRESSION)


class Restorer:
    """Rebuilds a fold from the parts of a checkpoint, added in order."""

    def __init__(self, keep: SeriesFilter) -> None:
        self.fold = BurnFold(keep)
        self.digest = xxhash.xxh3_128()
        self.order: list[int] | None = None
        self.new_index: dict[int, int] = {}

    def add(self, data: str) -> None:
        """Adds the next part."""
        self.digest.update(data.encode())
        if self.order is None:
            self.add_meta(msgspec.msgpack.decode(unpack(data), type=Meta))
            return
        for part in msgspec.msgpack.decode(unpack(data), type=list[BinPart]):
            bin_ = self.fold.totals.levels[part.level].setdefault(part.start, Bin())
            bin_.detail = part.detail
            bin_.total = column_from_bytes(part.total, self.order)
            bin_.bad = column_from_bytes(part.bad, self.order)
            for index, kind, stage, count in part.spent:
                if index in self.new_index:
                    bin_.spent[self.new_index[index], kind, stage] = count
            for pipeline, stage, bucket, count in part.latency:
                if self.fold.keep(pipeline, ""):
                    bin_.latency[pipeline, stage, bucket] = count

    def add_meta(self, meta: Meta) -> None:
        """Restores everything but the bins and selects the series to keep."""
        kept = [(index, pair) for index, pair in enumerate(meta.series) if self.fold.keep(*pair)]
        self.order = [index for index, _ in kept]
        self.new_index = {index: position for position, index in enumerate(self.order)}
        totals = self.fold.totals
        totals.series = {pair: position for position, (_, pair) in enumerate(kept)}
        totals.pipelines = {i for (_, owner), i in totals.series.items() if not owner}
        totals.newest, totals.dropped = meta.newest, meta.dropped
        self.fold.since_ms, self.fold.skipped = meta.since_ms, meta.skipped
        self.fold.seen = dict(meta.seen)


async def topic_bounds(client: LogClient, topic: str) -> tuple[int, int]:
    """Returns the oldest retained offset of a topic, without an era, and its next number."""
    try:
        page = await client.read(topic, 0, 1)
    except OffsetExpired as expired:
        return expired.start, expired.end
    return page.start, page.end


async def read_headers(client: LogClient) -> list[Record]:
    """Reads the newest records of the header topic, oldest first."""
    topic = defaults.BURN_CHECKPOINT_TOPIC
    start, end = await topic_bounds(client, topic)
    offset = max(start, raw_offset(end) - MAX_HEADERS_READ)
    records: list[Record] = []
    while offset < raw_offset(end):
        page = await client.read(topic, offset, MAX_HEADERS_READ)
        if not page.records:
            break
        records.extend(page.records)
        offset = raw_offset(page.records[-1].offset) + 1
    return records


def is_usable(record: Record, start: int) -> bool:
    """Returns whether a record is a checkpoint of records that the log still has or continues.

    A checkpoint that was being written while the log came back from an older copy covers records
    that are gone; its `through` is of an earlier era than its header.
    """
    if not is_checkpoint(record):
        return False
    through = int(record.value["through"])
    return raw_offset(through) + 1 >= start and era_of(through) == era_of(record.offset)


def is_checkpoint(record: Record) -> bool:
    """Returns whether a record is a checkpoint header of a supported schema."""
    return record.value.get("schema") == SCHEMA and record.value.get("type") == "checkpoint"


async def restore(client: LogClient, header: dict[str, Any], keep: SeriesFilter) -> BurnFold:
    """Restores the fold of one checkpoint; raises DamagedCheckpoint if it can't be used."""
    restorer = Restorer(keep)
    try:
        for offset in header["parts"]:
            page = await client.read(defaults.BURN_PART_TOPIC, int(offset), 1)
            restorer.add(page.records[0].value["data"])
            await asyncio.sleep(0)
        if restorer.digest.hexdigest() != header["digest"] or restorer.order is None:
            raise DamagedCheckpoint("the digest does not match")
        restorer.fold.position = int(header["through"]) + 1
    except (LogUnavailable, DamagedCheckpoint):
        raise
    except Exception as error:
        raise DamagedCheckpoint(f"{type(error).__name__}: {error}") from error
    return restorer.fold


async def load_once(client: LogClient, keep: SeriesFilter) -> BurnFold:
    """Attempts `load` once; raises OffsetExpired if records expire before they are read."""
    start, end = await topic_bounds(client, defaults.BURN_TOPIC)
    fold: BurnFold | None = None
    for record in reversed(await read_headers(client)):
        if not is_usable(record, start):
            continue
        try:
            fold = await restore(client, record.value, keep)
            break
        except DamagedCheckpoint as error:
            logs.event(
                log, "burn_checkpoint_skipped", logging.ERROR, at=record.offset, reason=str(error)
            )
    incomplete = fold is None and start > 0
    if fold is None:
        fold = BurnFold(keep)
        fold.position = start
    while raw_offset(fold.position) < raw_offset(end):
        page = await client.read(defaults.BURN_TOPIC, fold.position, defaults.BURN_READ_LIMIT)
        if not page.records:
            break
        if incomplete and not fold.since_ms:
            fold.since_ms = page.records[0].time_ms
        for record in page.records:
            fold.apply(record)
            await asyncio.sleep(0)
    # A checkpoint of this fold then names the era in which it is written.
    fold.position = max(fold.position, end)
    return fold


async def load(client: LogClient, keep: SeriesFilter = keep_all) -> BurnFold:
    """Loads the totals up to the current end of the log.

    Without a usable checkpoint they start with the oldest retained record, whose time is
    `since_ms`.
    Raises ServiceError log_unavailable if the log does not answer.
    """
    for _ in range(LOAD_ATTEMPTS):
        try:
            return await load_once(client, keep)
        except OffsetExpired:
            continue
        except LogUnavailable as error:
            raise ServiceError(
                ErrorKind.LOG_UNAVAILABLE,
                f"the burn records can't be read ({error}); try again when the log answers",
            ) from error
    raise ServiceError(
        ErrorKind.LOG_UNAVAILABLE,
        "burn records expired faster than they could be read; lengthen the topic's retention",
    )


async def save(client: LogClient, fold: BurnFold) -> None:
    """Appends a checkpoint; raises LogUnavailable. Readers ignore parts without a header."""
    checkpoint_id = uuid.uuid4().hex
    through = fold.position - 1
    digest = xxhash.xxh3_128()
    offsets = []
    size = 0
    for number, data in enumerate(checkpoint_parts(fold)):
        await asyncio.sleep(0)
        if data is None:
            continue
        digest.update(data.encode())
        size += len(data)
        record = {"schema": SCHEMA, "type": "part", "id": f"{checkpoint_id}:{number}", "data": data}
        offsets.append(await client.append(defaults.BURN_PART_TOPIC, [record]))
    header = {
        "schema": SCHEMA,
        "type": "checkpoint",
        "id": checkpoint_id,
        "through": through,
        "digest": digest.hexdigest(),
        "parts": offsets,
    }
    await client.append(defaults.BURN_CHECKPOINT_TOPIC, [header])
    logs.event(log, "burn_checkpoint", through=through, parts=len(offsets), bytes=size)


class CheckpointController:
    """Writes an hourly checkpoint unless another host has written it.

    Each host waits for a random delay and then appends an intent. The host with the earliest intent
    in the log writes the checkpoint, the others retry after a delay. Duplicates are harmless, but
    each of 320 hosts would read an hour of records.
    """

    def __init__(self, client: LogClient, clock: Clock, random_source: random.Random) -> None:
        self.client = client
        self.clock = clock
        self.random = random_source
        self.due_ms = clock.wall_ms() + self.delay_ms()

    def delay_ms(self) -> float:
        """Returns a random delay that spreads the attempts of the hosts."""
        return self.random.uniform(0, defaults.BURN_CHECKPOINT_DELAY_MS)

    async def tick(self) -> None:
        """Writes a checkpoint if one is due; call every `BURN_TICK_MS`."""
        if self.clock.wall_ms() < self.due_ms:
            return
        self.due_ms = self.clock.wall_ms() + self.delay_ms()
        try:
            if await self.append_intent():
                fold = await load(self.client)
                if fold.position:
                    await save(self.client, fold)
        except (LogUnavailable, OffsetExpired, ServiceError) as error:
            logs.event(log, "burn_checkpoint_failed", logging.WARNING, reason=str(error))

    async def append_intent(self) -> bool:
        """Appends an intent unless a checkpoint is recent; returns whether it is the first."""
        records = await read_headers(self.client)
        if self.is_recent_or_in_progress(records):
            return False
        intent = {"schema": SCHEMA, "type": "intent", "id": uuid.uuid4().hex}
        await self.client.append(defaults.BURN_CHECKPOINT_TOPIC, [intent])
        recent = self.recent_intents(await read_headers(self.client))
        return bool(recent) and recent[0].value["id"] == intent["id"]

    def is_recent_or_in_progress(self, records: list[Record]) -> bool:
        """Returns whether a checkpoint is recent or being written.

        If one is recent, schedules the next attempt.
        """
        for record in reversed(records):
            if is_checkpoint(record):
                next_ms = record.time_ms + defaults.BURN_CHECKPOINT_MINUTES * 60_000
                if next_ms > self.clock.wall_ms():
                    self.due_ms = next_ms + self.delay_ms()
                    return True
                break
        return bool(self.recent_intents(records))

    def recent_intents(self, records: list[Record]) -> list[Record]:
        """Returns the intents that no checkpoint has followed and that have not timed out."""
        last = max((r.offset for r in records if is_checkpoint(r)), default=-1)
        oldest_ms = self.clock.wall_ms() - defaults.BURN_CHECKPOINT_CLAIM_MS
        return [
            r
            for r in records
            if r.value.get("type") == "intent" and r.offset > last and r.time_ms >= oldest_ms
        ]
