"""An in-memory log with faults, for tests and benchmarks of what is built on the log."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import msgspec

from savoryfork.util.bucket import TokenBucket
from savoryfork.util.timer import Clock
from savoryfork.util.topic import LogClient, LogUnavailable, OffsetExpired, Page, Record


class FakeLog:
    """The topics and the faults. Records are copied through JSON, as the wire would."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.topics: dict[str, list[Record]] = {}
        self.starts: dict[str, int] = {}
        self.grown = asyncio.Condition()
        self.down = False
        self.latency_ms = 1.0
        self.lose_answers = 0
        self.hang_answers = 0
        self.land_late_ms: list[float] = []
        self.late: set[asyncio.Future[None]] = set()
        self.appends = 0
        self.refuse_appends = False
        self.limit: TokenBucket | None = None
        self.limit_refuses = False

    def land(self, topic: str, body: bytes) -> int:
        """Adds records at the log's present time."""
        kept = self.topics.setdefault(topic, [])
        first = kept[-1].offset + 1 if kept else self.starts.get(topic, 0)
        for index, value in enumerate(msgspec.json.decode(body)):
            kept.append(Record(first + index, int(self.clock.wall_ms()), value))
        return first

    def trim(self, topic: str, start: int) -> None:
        """Drops the records before `start`."""
        self.starts[topic] = start
        self.topics[topic] = [r for r in self.topics.get(topic, []) if r.offset >= start]

    def values(self, kind: str | None = None) -> list[dict[str, Any]]:
        """All records that landed, by topic and offset."""
        found = [record.value for topic in self.topics.values() for record in topic]
        return [value for value in found if kind in (None, value["type"])]


class FakeClient(LogClient):
    """One host's connection to the log."""

    def __init__(self, fake: FakeLog, timeout_ms: float = 2_000) -> None:
        self.fake = fake
        self.timeout_ms = timeout_ms
        self.cut_off = False
        self.on_state = lambda available: None

    async def pass_wire(self) -> None:
        """Takes half a round trip; raises LogUnavailable while the log can't be reached."""
        await asyncio.sleep(self.fake.latency_ms / 2000)
        if self.fake.down or self.cut_off:
            self.on_state(False)
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
        """One append with the faults that are set."""
        await self.pass_wire()
        fake = self.fake
        fake.appends += 1
        while fake.limit is not None and not fake.limit.take(fake.clock.monotonic_ms()):
            if fake.limit_refuses:
                raise LogUnavailable("over the limit")
            await asyncio.sleep(0.001)
        if fake.refuse_appends:
            raise LogUnavailable("refused")
        if fake.land_late_ms:
            late = asyncio.ensure_future(self.land_later(topic, body, fake.land_late_ms.pop(0)))
            fake.late.add(late)
            raise LogUnavailable("lost")
        first = fake.land(topic, body)
        async with fake.grown:
            fake.grown.notify_all()
        if fake.lose_answers > 0:
            fake.lose_answers -= 1
            raise LogUnavailable("answer lost")
        if fake.hang_answers > 0:
            fake.hang_answers -= 1
            await asyncio.sleep(3600)
        await self.pass_wire()
        self.on_state(True)
        return first

    async def land_later(self, topic: str, body: bytes, delay_ms: float) -> None:
        """Lands records after the client has given up."""
        await asyncio.sleep(delay_ms / 1000)
        self.fake.land(topic, body)
        async with self.fake.grown:
            self.fake.grown.notify_all()

    async def read(self, topic: str, offset: int, limit: int, wait_ms: float = 0) -> Page:
        await self.pass_wire()
        page = self.page(topic, offset, limit)
        if not page.records and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000), self.fake.grown:
                    await self.fake.grown.wait_for(lambda: self.page(topic, offset, 1).records)
            except TimeoutError:
                pass
            page = self.page(topic, offset, limit)
        await self.pass_wire()
        self.on_state(True)
        return page

    def page(self, topic: str, offset: int, limit: int) -> Page:
        """The records from an offset on, as they are now."""
        kept = self.fake.topics.get(topic, [])
        start = self.fake.starts.get(topic, 0)
        end = kept[-1].offset + 1 if kept else start
        if offset < start:
            raise OffsetExpired(start, end)
        return Page(kept[offset - start : offset - start + limit], start, end)
