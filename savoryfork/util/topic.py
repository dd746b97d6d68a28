"""Client and reader for the topics of the platform's append-only log.

The log may come back from an older copy: its newest records are gone and their offsets are given
out again. Each time its era rises by one, and every record keeps the era in which it was appended.
The rest of the program sees a number made of both, which is unique and only rises in a topic.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import aiohttp
import msgspec

from savoryfork.util import logs
from savoryfork.util.untrusted import JSON_TOKENS, UndecodableError, decode_json

log = logging.getLogger(__name__)

# Brackets around the value of a record: the response, its list of records, and the record.
VALUE_NESTING = 3


# Offsets of one era. 400 appends a second of up to 64 records take more than a year to use them up,
# and numbers of the first 9,007 eras are exact in JSON readers that use 64-bit floats.
ERA_SIZE = 10**12


def record_number(era: int, offset: int) -> int:
    """Returns the number of a record, which is its offset in a log that was never restored.

    >>> record_number(0, 57), record_number(2, 57)
    (57, 2000000000057)
    """
    return era * ERA_SIZE + offset


def raw_offset(number: int) -> int:
    """Returns the offset by which the log knows a record.

    >>> raw_offset(2000000000057)
    57
    """
    return number % ERA_SIZE


def era_of(number: int) -> int:
    """Returns the era in which a record was appended.

    >>> era_of(2000000000057)
    2
    """
    return number // ERA_SIZE


class Record(NamedTuple):
    """One record of a topic.

    `offset` is its number, see `record_number`; `time_ms` is the Unix time of its append.
    """

    offset: int
    time_ms: int
    value: dict[str, Any]


class Page(NamedTuple):
    """Records of one read.

    `start` is the oldest retained offset, without an era; `end` is the number of the next record.
    `eras` are the Unix times in milliseconds at which the log came back from an older copy.
    """

    records: list[Record]
    start: int
    end: int
    eras: tuple[int, ...] = ()


class LogUnavailable(Exception):
    """The log gave no valid response. After an append, the records may or may not be stored."""


class OffsetExpired(Exception):
    """The log doesn't have the requested offset; `start` is the oldest retained one."""

    def __init__(self, start: int, end: int, eras: tuple[int, ...] = ()) -> None:
        super().__init__(f"the log has offsets from {start} to {raw_offset(end)}")
        self.start = start
        self.end = end
        self.eras = eras


class LogRestored(OffsetExpired):
    """The requested offset is beyond the end: the log came back from an older copy."""


class RawRecord(msgspec.Struct):
    """A record with its value still encoded."""

    offset: int
    time_ms: int
    value: msgspec.Raw
    era: int = 0


class RawPage(msgspec.Struct):
    """The response body of a read."""

    records: list[RawRecord]
    start: int
    end: int
    eras: tuple[int, ...] = ()


class Bounds(msgspec.Struct):
    """The response body of a read of an offset that the log doesn't have."""

    start: int
    end: int
    eras: tuple[int, ...] = ()


def decode_value(value: bytes) -> Any | None:
    """Decodes the value of a record, with the same result on every host; None if invalid.

    >>> decode_value(b'{"a": 1}'), decode_value(b'{"a": "\\\\ud800"}')
    ({'a': 1}, None)
    """
    try:
        return decode_json(value)
    except UndecodableError:
        return None


def replace_undecodable_values(body: bytes) -> bytes:
    """Returns a read's response body with each value that can't be decoded replaced by `{}`."""
    parts = []
    depth = value_start = copied = 0
    for token in JSON_TOKENS.finditer(body):
        if token[0] in b"[{":
            if depth == VALUE_NESTING:
                value_start = token.start()
            depth += 1
        elif token[0] in b"]}":
            depth -= 1
            if depth == VALUE_NESTING and decode_value(body[value_start : token.end()]) is None:
                parts += [body[copied:value_start], b"{}"]
                copied = token.end()
    return b"".join([*parts, body[copied:]])


def decode_page(topic: str, body: bytes) -> Page:
    """Decodes the response body of a read; values that can't be decoded become empty.

    Folds ignore empty values, so that one bad record does not block the topic. Raises
    msgspec.DecodeError if the body is not a page.
    """
    try:
        page = msgspec.json.decode(body, type=RawPage)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        page = msgspec.json.decode(replace_undecodable_values(body), type=RawPage)
    records = []
    for raw in page.records:
        value = decode_value(bytes(raw.value))
        if not isinstance(value, dict) or not value:
            value = {}
            logs.event(log, "record_unreadable", logging.WARNING, topic=topic, offset=raw.offset)
        records.append(Record(record_number(raw.era, raw.offset), raw.time_ms, value))
    return Page(records, page.start, record_number(len(page.eras), page.end), page.eras)


class LogClient:
    """Reads and appends over HTTP; reports the log's availability through `on_availability`."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        timeout_ms: float,
        on_availability: Callable[[bool], None] = lambda available: None,
    ) -> None:
        self.session = session
        self.url = url.rstrip("/")
        self.timeout_ms = timeout_ms
        self.on_availability = on_availability

    async def append(
        self, topic: str, records: Sequence[dict[str, Any]], timeout_ms: float | None = None
    ) -> int:
        """Appends records atomically and returns the offset of the first, without its era.

        Raises LogUnavailable without a valid response; the records may still have been appended.
        """
        body = msgspec.json.encode({"records": list(records)})
        answer = await self.call("POST", topic, timeout_ms or self.timeout_ms, data=body)
        try:
            return int(decode_json(answer)["first_offset"])
        except (LookupError, TypeError, ValueError, OverflowError) as error:
            raise LogUnavailable(f"{topic}: the response to an append can't be decoded") from error

    async def read(self, topic: str, offset: int, limit: int, wait_ms: float = 0) -> Page:
        """Reads records from `offset`, a number or an offset, waiting `wait_ms` for the first.

        Raises OffsetExpired if the offset is no longer retained, LogRestored if it is beyond the
        end, else LogUnavailable.
        """
        raw = raw_offset(offset)
        params = {"from": str(raw), "limit": str(limit), "wait_ms": str(int(wait_ms))}
        try:
            answer = await self.call("GET", topic, self.timeout_ms + wait_ms, params=params)
        except OffsetExpired as error:
            if raw > raw_offset(error.end):
                raise LogRestored(error.start, error.end, error.eras) from error
            raise
        try:
            page = decode_page(topic, answer)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
            raise LogUnavailable(f"{topic}: the response to a read can't be decoded") from error
        if raw > raw_offset(page.end):
            raise LogRestored(page.start, page.end, page.eras)
        return page

    async def call(self, method: str, topic: str, timeout_ms: float, **kwargs: Any) -> bytes:
        """Makes one HTTP call; raises OffsetExpired, or LogUnavailable for any other failure."""
        url = f"{self.url}/topics/{topic}/records"
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                async with self.session.request(method, url, **kwargs) as response:
                    body = await response.read()
                    status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.on_availability(False)
            raise LogUnavailable(f"{topic}: {type(error).__name__}") from error
        if status == 410:
            self.on_availability(True)
            try:
                bounds = decode_json(body, Bounds)
            except UndecodableError as error:
                raise LogUnavailable(f"{topic}: the bounds of the log can't be decoded") from error
            end = record_number(len(bounds.eras), bounds.end)
            raise OffsetExpired(bounds.start, end, bounds.eras)
        if status != 200:
            self.on_availability(False)
            raise LogUnavailable(f"{topic}: the log responded with status {status}")
        self.on_availability(True)
        return body


class Fold:
    """State that is a pure function of a topic's records; see `publication` and `claims`.

    `position` is the number of the next record to apply. `apply` must ignore a record below it.
    `eras` are those of the log at the last read, as in `Page`.
    """

    position: int = 0
    eras: tuple[int, ...] = ()

    def advance(self, page: Page) -> bool:
        """Returns whether the records of the page's topic are all applied.

        If so, the position enters the era of the log, so that it is higher than every position of
        an earlier era, also while nothing has been appended in the new one.
        """
        if raw_offset(self.position) < raw_offset(page.end):
            return False
        self.position = max(self.position, page.end)
        return True

    def apply(self, record: Record) -> None:
        """Applies one record and advances `position` past it."""
        raise TypeError(f"{type(self).__name__} does not define apply")

    def recover(self, page: Page) -> bool:
        """Restarts from the newest usable checkpoint in a page that begins at the start of the log.

        Returns False and keeps the state if the page contains none.
        """
        return False

    def rebuild(self, page: Page) -> bool:
        """Restarts from all records of a log that came back from an older copy.

        Returns False and keeps the state if the page does not suffice.
        """
        return False


class TopicReader:
    """Follows one topic by long polling and applies its records to a fold.

    `caught_up` is set once the fold has reached the end of the log. Each applied page notifies
    `changed`. `start` is the oldest retained offset at the last read, `era` the log's era then.

    If the log came back from an older copy, the records from `position` on don't continue those
    that were applied, so the fold is rebuilt from all of them.
    """

    def __init__(
        self,
        client: LogClient,
        topic: str,
        fold: Fold,
        *,
        wait_ms: float,
        limit: int,
        retry_ms: float = 100,
        on_page: Callable[[], None] = lambda: None,
    ) -> None:
        self.client = client
        self.topic = topic
        self.fold = fold
        self.wait_ms = wait_ms
        self.limit = limit
        self.retry_ms = retry_ms
        self.on_page = on_page
        self.caught_up = asyncio.Event()
        self.changed = asyncio.Condition()
        self.expired = False
        self.start = 0
        self.era: int | None = None
        self.position = fold.position

    async def run(self) -> None:
        """Reads until cancelled; retries during an outage of the log."""
        while True:
            try:
                await self.step()
            except LogUnavailable:
                await asyncio.sleep(self.retry_ms / 1000)
            except OffsetExpired as error:
                await self.restart(error)

    async def step(self) -> None:
        """Reads one page and applies it to the fold."""
        wait_ms = self.wait_ms if self.caught_up.is_set() else 0
        try:
            page = await self.client.read(self.topic, self.fold.position, self.limit, wait_ms)
        except LogRestored as error:
            await self.follow_restored(error)
            return
        era = len(page.eras)
        # A host that has not noticed the restoration may have passed on records that are gone.
        moved = self.fold.position != self.position and era_of(self.fold.position) < era
        if moved or (self.era is not None and self.era < era):
            await self.follow_restored(LogRestored(page.start, page.end, page.eras))
            return
        self.era, self.start = era, page.start
        self.fold.eras = page.eras
        for record in page.records:
            self.fold.apply(record)
        if self.fold.advance(page):
            self.caught_up.set()
        self.position = self.fold.position
        if page.records:
            self.on_page()
            async with self.changed:
                self.changed.notify_all()

    async def read_retained(self, start: int) -> Page | None:
        """Reads all records from `start` on; returns None if the log can't be read."""
        records: list[Record] = []
        offset = start
        try:
            while True:
                page = await self.client.read(self.topic, offset, self.limit)
                records.extend(page.records)
                offset = records[-1].offset + 1 if records else offset
                if raw_offset(offset) >= raw_offset(page.end):
                    return Page(records, start, page.end, page.eras)
        except (LogUnavailable, OffsetExpired):
            await asyncio.sleep(self.retry_ms / 1000)
            return None

    async def restart(self, error: OffsetExpired) -> None:
        """Reads all retained records and restarts the fold from a checkpoint among them."""
        page = await self.read_retained(error.start)
        if page is None:
            return
        if self.fold.recover(page):
            self.expired = False
            self.on_page()
            return
        self.expired = True
        logs.event(log, "topic_expired", logging.ERROR, topic=self.topic, start=error.start)
        await asyncio.sleep(1)

    async def follow_restored(self, error: LogRestored) -> None:
        """Rebuilds the fold after the log came back from an older copy."""
        self.caught_up.clear()
        report_restored(self.topic, self.fold.position, error)
        page = await self.read_retained(error.start)
        if page is None:
            return
        if not self.fold.rebuild(page):
            logs.event(log, "topic_rebuild_failed", logging.ERROR, topic=self.topic)
            await asyncio.sleep(1)
            return
        self.era, self.start = len(page.eras), page.start
        self.fold.eras = page.eras
        if self.fold.advance(page):
            self.caught_up.set()
        self.position = self.fold.position
        self.on_page()
        async with self.changed:
            self.changed.notify_all()


def report_restored(topic: str, position: int, error: OffsetExpired) -> None:
    """Logs that a topic came back from an older copy."""
    logs.event(
        log,
        "topic_restored",
        logging.ERROR,
        topic=topic,
        position=raw_offset(position),
        end=raw_offset(error.end),
        era=len(error.eras),
    )
