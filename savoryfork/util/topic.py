"""Client and reader for the topics of the platform's append-only log."""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import aiohttp
import msgspec

from savoryfork.util import logs

log = logging.getLogger(__name__)

# A record nested deeper than this has no effect. The decoder's own limit depends on how deep the
# stack is at the call, so it would differ between hosts.
MAX_NESTING = 100

BRACKETS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)

# Brackets that enclose the value of a record: the answer, its list of records, and the record.
VALUE_NESTING = 3


class Record(NamedTuple):
    """One record of a topic; `time_ms` is the log's Unix time of the append."""

    offset: int
    time_ms: int
    value: dict[str, Any]


class Page(NamedTuple):
    """Records of one read; `start` is the oldest offset kept, `end` the next one to be given."""

    records: list[Record]
    start: int
    end: int


class LogUnavailable(Exception):
    """The log did not answer. After an append, the records may or may not have landed."""


class OffsetExpired(Exception):
    """The offset asked for is older than the log's retention; `start` is the oldest one kept."""

    def __init__(self, start: int, end: int) -> None:
        super().__init__(f"the log starts at offset {start}")
        self.start = start
        self.end = end


class RawRecord(msgspec.Struct):
    """A record whose value is not decoded yet."""

    offset: int
    time_ms: int
    value: msgspec.Raw


class RawPage(msgspec.Struct):
    """The body of a read's answer."""

    records: list[RawRecord]
    start: int
    end: int


def nesting(value: bytes) -> int:
    """How deep a JSON text is nested; needs no recursion itself.

    >>> nesting(b'{"a": [1, "[["]}')
    2
    """
    depth = deepest = 0
    for token in BRACKETS.finditer(value):
        if token[0] in b"[{":
            depth += 1
            deepest = max(deepest, depth)
        elif token[0] in b"]}":
            depth -= 1
    return deepest


def decode_value(value: bytes) -> Any | None:
    """The value of a record, None if it can't be read; the same on every host.

    >>> decode_value(b'{"a": 1}'), decode_value(b'{"a": "\\\\ud800"}')
    ({'a': 1}, None)
    """
    brackets = value.count(b"[") + value.count(b"{")
    if brackets > MAX_NESTING and nesting(value) > MAX_NESTING:
        return None
    try:
        return msgspec.json.decode(value)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return None


def without_unreadable(body: bytes) -> bytes:
    """The body of a read's answer with an empty object for each value that can't be read."""
    parts = []
    depth = begin = copied = 0
    for token in BRACKETS.finditer(body):
        if token[0] in b"[{":
            if depth == VALUE_NESTING:
                begin = token.start()
            depth += 1
        elif token[0] in b"]}":
            depth -= 1
            if depth == VALUE_NESTING and decode_value(body[begin : token.end()]) is None:
                parts += [body[copied:begin], b"{}"]
                copied = token.end()
    return b"".join([*parts, body[copied:]])


def decode_page(topic: str, body: bytes) -> Page:
    """Decodes the answer to a read; a record that can't be read gets an empty value.

    An empty value has no effect on any fold, so that one bad record does not stop the topic.
    Raises msgspec.DecodeError if the answer is not of the form of a page.
    """
    try:
        page = msgspec.json.decode(body, type=RawPage)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        page = msgspec.json.decode(without_unreadable(body), type=RawPage)
    records = []
    for raw in page.records:
        value = decode_value(bytes(raw.value))
        if not isinstance(value, dict) or not value:
            value = {}
            logs.event(log, "record_unreadable", logging.WARNING, topic=topic, offset=raw.offset)
        records.append(Record(raw.offset, raw.time_ms, value))
    return Page(records, page.start, page.end)


class LogClient:
    """Reads and appends over HTTP. `on_availability` is told whether each call got an answer."""

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
        """Appends records in one step and returns the offset of the first.

        Raises LogUnavailable if no answer came, in which case they may have landed all the same.
        """
        body = msgspec.json.encode({"records": list(records)})
        answer = await self.call("POST", topic, timeout_ms or self.timeout_ms, data=body)
        try:
            return int(msgspec.json.decode(answer)["first_offset"])
        except (msgspec.DecodeError, LookupError, TypeError, ValueError) as error:
            raise LogUnavailable(f"{topic}: the answer to an append can't be read") from error

    async def read(self, topic: str, offset: int, limit: int, wait_ms: float = 0) -> Page:
        """Reads from `offset` on, waiting up to `wait_ms` for a first record.

        Raises OffsetExpired if the offset is no longer kept, LogUnavailable if no answer came.
        """
        params = {"from": str(offset), "limit": str(limit), "wait_ms": str(int(wait_ms))}
        answer = await self.call("GET", topic, self.timeout_ms + wait_ms, params=params)
        try:
            return decode_page(topic, answer)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
            raise LogUnavailable(f"{topic}: the answer to a read can't be read") from error

    async def call(self, method: str, topic: str, timeout_ms: float, **kwargs: Any) -> bytes:
        """One HTTP call; every failure but an expired offset is LogUnavailable."""
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
            gone = msgspec.json.decode(body)
            raise OffsetExpired(gone["start"], gone["end"])
        if status != 200:
            self.on_availability(False)
            raise LogUnavailable(f"{topic}: the log answered {status}")
        self.on_availability(True)
        return body


class Fold:
    """State that is a pure function of a topic's records; see `publication` and `claims`.

    `position` is the offset of the next record to apply. `apply` must ignore a record below it.
    """

    position: int = 0

    def apply(self, record: Record) -> None:
        """Applies one record and moves `position` past it."""
        raise TypeError(f"{type(self).__name__} does not define apply")

    def recover(self, page: Page) -> bool:
        """Restarts from the newest usable checkpoint in a page that begins at the log's start.

        Returns False if the page holds none, so that the state stays as it is.
        """
        return False


class TopicReader:
    """Follows one topic into a fold by long polls, for as long as it runs.

    `caught_up` is set once everything that was in the log at the first answer has been applied.
    Each applied page wakes the tasks that wait in `changed`. `start` is the oldest offset that the
    log kept at the last answer.
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
        """Reads until cancelled; outages of the log are waited out."""
        while True:
            try:
                await self.step()
            except LogUnavailable:
                await asyncio.sleep(self.retry_ms / 1000)
            except OffsetExpired as gone:
                await self.restart(gone)

    async def step(self) -> None:
        """One read, applied to the fold."""
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

    async def restart(self, gone: OffsetExpired) -> None:
        """Looks for a usable checkpoint among everything that the log still keeps."""
        records: list[Record] = []
        offset = gone.start
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
        if self.fold.recover(Page(records, gone.start, offset)):
            self.expired = False
            self.on_page()
            return
        self.expired = True
        logs.event(log, "topic_expired", logging.ERROR, topic=self.topic, start=gone.start)
        await asyncio.sleep(1)
