"""An in-memory log with fault injection, for tests and benchmarks."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import msgspec

from savoryfork.util.bucket import TokenBucket
from savoryfork.util.timer import Clock
from savoryfork.util.topic import LogClient, LogUnavailable, OffsetExpired, Page, Record


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

    def append_records(self, topic: str, body: bytes) -> int:
        """Appends records at the log's current time."""
        retained = self.topics.setdefault(topic, [])
        first = retained[-1].offset + 1 if retained else self.starts.get(topic, 0)
        for index, value in enumerate(msgspec.json.decode(body)):
            retained.append(Record(first + index, int(self.clock.wall_ms()), value))
        return first

    def trim(self, topic: str, start: int) -> None:
        """Drops the records before `start`."""
        self.starts[topic] = start
        self.topics[topic] = [r for r in self.topics.get(topic, []) if r.offset >= start]

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
        end = retained[-1].offset + 1 if retained else start
        if offset < start:
            raise OffsetExpired(start, end)
        return Page(retained[offset - start : offset - start + limit], start, end)
