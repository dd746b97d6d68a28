"""An in-memory log with fault injection, for tests and benchmarks."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import msgspec

from savoryfork.util.bucket import TokenBucket
from savoryfork.util.timer import Clock
from savoryfork.util.topic import (
    LogClient,
    LogRestored,
    LogUnavailable,
    OffsetExpired,
    Page,
    Record,
    raw_offset,
    record_number,
)


class FakeLog:
    """Topics and injected faults. Records are copied through JSON, as on the wire."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.topics: dict[str, list[Record]] = {}
        self.starts: dict[str, int] = {}
        self.appended = asyncio.Condition()
        self.down = False
        self.latency_ms = 1.0
        self.lose_answers = 0
        self.hang_answers = 0
        self.append_delays_ms: list[float] = []
        self.delayed: set[asyncio.Future[None]] = set()
        self.appends = 0
        self.refuse_appends = False
        self.limit: TokenBucket | None = None
        self.limit_refuses = False
        self.eras: tuple[int, ...] = ()

    def append_records(self, topic: str, body: bytes) -> int:
        """Appends records at the log's current time."""
        retained = self.topics.setdefault(topic, [])
        first = self.starts.get(topic, 0) + len(retained)
        for index, value in enumerate(msgspec.json.decode(body)):
            number = record_number(len(self.eras), first + index)
            retained.append(Record(number, int(self.clock.wall_ms()), value))
        return first

    def copy(self) -> dict[str, list[Record]]:
        """Returns a copy of all records, for `restore`."""
        return {topic: list(records) for topic, records in self.topics.items()}

    async def restore(self, copy: dict[str, list[Record]], *, tells_era: bool = True) -> None:
        """Brings an older copy back; without `tells_era` the log reuses the numbers."""
        self.topics = {topic: list(records) for topic, records in copy.items()}
        if tells_era:
            self.eras = (*self.eras, int(self.clock.wall_ms()))
        async with self.appended:
            self.appended.notify_all()

    def trim(self, topic: str, start: int) -> None:
        """Drops the records before `start`."""
        self.starts[topic] = start
        retained = self.topics.get(topic, [])
        self.topics[topic] = [r for r in retained if raw_offset(r.offset) >= start]

    def values(self, kind: str | None = None) -> list[dict[str, Any]]:
        """Returns the values of all appended records by topic and offset."""
        found = [record.value for topic in self.topics.values() for record in topic]
        return [value for value in found if kind in (None, value["type"])]


class FakeClient(LogClient):
    """One host's client of the log."""

    def __init__(self, fake: FakeLog, timeout_ms: float = 2_000) -> None:
        self.fake = fake
        self.timeout_ms = timeout_ms
        self.cut_off = False
        self.on_availability = lambda available: None

    async def half_round_trip(self) -> None:
        """Delays by half a round trip; raises LogUnavailable while the log is unreachable."""
        await asyncio.sleep(self.fake.latency_ms / 2000)
        if self.fake.down or self.cut_off:
            self.on_availability(False)
            raise LogUnavailable("down")

    async def append(
        self, topic: str, records: Sequence[dict[str, Any]], timeout_ms: float | None = None
    ) -> int:
        body = msgspec.json.encode(list(records))
        try:
            async with asyncio.timeout((timeout_ms or self.timeout_ms) / 1000):
                return await self.append_body(topic, body)
        except TimeoutError as error:
            raise LogUnavailable("timeout") from error

    async def append_body(self, topic: str, body: bytes) -> int:
        """Appends with the injected faults."""
        await self.half_round_trip()
        fake = self.fake
        fake.appends += 1
        while fake.limit is not None and not fake.limit.take(fake.clock.monotonic_ms()):
            if fake.limit_refuses:
                raise LogUnavailable("over the limit")
            await asyncio.sleep(0.001)
        if fake.refuse_appends:
            raise LogUnavailable("refused")
        if fake.append_delays_ms:
            delayed = asyncio.ensure_future(
                self.append_later(topic, body, fake.append_delays_ms.pop(0))
            )
            fake.delayed.add(delayed)
            raise LogUnavailable("lost")
        first = fake.append_records(topic, body)
        async with fake.appended:
            fake.appended.notify_all()
        if fake.lose_answers > 0:
            fake.lose_answers -= 1
            raise LogUnavailable("answer lost")
        if fake.hang_answers > 0:
            fake.hang_answers -= 1
            await asyncio.sleep(3600)
        await self.half_round_trip()
        self.on_availability(True)
        return first

    async def append_later(self, topic: str, body: bytes, delay_ms: float) -> None:
        """Appends records after the client has received an error."""
        await asyncio.sleep(delay_ms / 1000)
        self.fake.append_records(topic, body)
        async with self.fake.appended:
            self.fake.appended.notify_all()

    async def read(self, topic: str, offset: int, limit: int, wait_ms: float = 0) -> Page:
        await self.half_round_trip()
        page = self.page(topic, offset, limit)
        if not page.records and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000), self.fake.appended:
                    await self.fake.appended.wait_for(lambda: self.page(topic, offset, 1).records)
            except TimeoutError:
                pass
            page = self.page(topic, offset, limit)
        await self.half_round_trip()
        self.on_availability(True)
        return page

    def page(self, topic: str, offset: int, limit: int) -> Page:
        """Returns the records from an offset on, without waiting."""
        retained = self.fake.topics.get(topic, [])
        start = self.fake.starts.get(topic, 0)
        end = record_number(len(self.fake.eras), start + len(retained))
        first = raw_offset(offset) - start
        if first < 0:
            raise OffsetExpired(start, end, self.fake.eras)
        if first > len(retained):
            raise LogRestored(start, end, self.fake.eras)
        return Page(retained[first : first + limit], start, end, self.fake.eras)
