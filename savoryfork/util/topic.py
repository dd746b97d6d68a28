"""Client and reader for the topics of the platform's append-only log."""

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


class Record(NamedTuple):
    """One record of a topic; `time_ms` is the Unix time at which the log appended it."""

    offset: int
    time_ms: int
    value: dict[str, Any]


class Page(NamedTuple):
    """Records of one read; `start` is the oldest retained offset, `end` the next to be assigned."""

    records: list[Record]
    start: int
    end: int


class LogUnavailable(Exception):
    """The log gave no valid response. After an append, the records may or may not be stored."""


class OffsetExpired(Exception):
    """The requested offset is no longer retained; `start` is the oldest retained one."""

    def __init__(self, start: int, end: int) -> None:
        super().__init__(f"the log starts at offset {start}")
        self.start = start
        self.end = end


class RawRecord(msgspec.Struct):
    """A record with its value still encoded."""

    offset: int
    time_ms: int
    value: msgspec.Raw


class RawPage(msgspec.Struct):
    """The response body of a read."""

    records: list[RawRecord]
    start: int
    end: int


class Bounds(msgspec.Struct):
    """The response body of a read whose offset is no longer retained."""

    start: int
    end: int


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
        records.append(Record(raw.offset, raw.time_ms, value))
    return Page(records, page.start, page.end)


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
        """Appends records atomically and returns the offset of the first.

        Raises LogUnavailable without a valid response; the records may still have been appended.
        """
        body = msgspec.json.encode({"records": list(records)})
        answer = await self.call("POST", topic, timeout_ms or self.timeout_ms, data=body)
        try:
            return int(decode_json(answer)["first_offset"])
        except (LookupError, TypeError, ValueError, OverflowError) as error:
            raise LogUnavailable(f"{topic}: the response to an append can't be decoded") from error

    async def read(self, topic: str, offset: int, limit: int, wait_ms: float = 0) -> Page:
        """Reads records from `offset` on, waiting up to `wait_ms` for the first.

        Raises OffsetExpired if the offset is no longer retained, else LogUnavailable.
        """
        params = {"from": str(offset), "limit": str(limit), "wait_ms": str(int(wait_ms))}
        answer = await self.call("GET", topic, self.timeout_ms + wait_ms, params=params)
        try:
            return decode_page(topic, answer)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
            raise LogUnavailable(f"{topic}: the response to a read can't be decoded") from error

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
            raise OffsetExpired(bounds.start, bounds.end)
        if status != 200:
            self.on_availability(False)
            raise LogUnavailable(f"{topic}: the log responded with status {status}")
        self.on_availability(True)
        return body


class Fold:
    """State that is a pure function of a topic's records; see `publication` and `claims`.

    `position` is the offset of the next record to apply. `apply` must ignore a record below it.
    """

    position: int = 0

    def apply(self, record: Record) -> None:
        """Applies one record and advances `position` past it."""
        raise TypeError(f"{type(self).__name__} does not define apply")

    def recover(self, page: Page) -> bool:
        """Restarts from the newest usable checkpoint in a page that begins at the start of the log.

        Returns False and keeps the state if the page contains none.
        """
        return False


class TopicReader:
    """Follows one topic by long polling and applies its records to a fold.

    `caught_up` is set once the fold has reached the end of the log. Each applied page notifies
    `changed`. `start` is the oldest retained offset at the last read.
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
        page = await self.client.read(self.topic, self.fold.position, self.limit, wait_ms)
        self.start = page.start
        for record in page.records:
            self.fold.apply(record)
        if self.fold.position >= page.end:
            self.caught_up.set()
        if page.records:
            self.on_page()
            async with self.changed:
                self.changed.notify_all()

    async def restart(self, error: OffsetExpired) -> None:
        """Reads all retained records and restarts the fold from a checkpoint among them."""
        records: list[Record] = []
        offset = error.start
        try:
            while True:
                page = await self.client.read(self.topic, offset, self.limit)
                records.extend(page.records)
                offset = records[-1].offset + 1 if records else offset
                if offset >= page.end:
                    break
        except (LogUnavailable, OffsetExpired):
            await asyncio.sleep(self.retry_ms / 1000)
            return
        if self.fold.recover(Page(records, error.start, offset)):
            self.expired = False
            self.on_page()
            return
        self.expired = True
        logs.event(log, "topic_expired", logging.ERROR, topic=self.topic, start=error.start)
        await asyncio.sleep(1)
