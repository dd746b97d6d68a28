"""In-memory fakes of the log and the network between hosts."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import msgspec

from savoryfork.board import Board, HostView, LogState
from savoryfork.gossip import ConfigController, Gossip
from savoryfork.membership import Membership
from savoryfork.peers import PeerUnavailable
from savoryfork.publication import ConfigFold
from savoryfork.settings import Settings
from savoryfork.util.timer import Clock
from savoryfork.util.topic import (
    LogRestored,
    LogUnavailable,
    OffsetExpired,
    Page,
    Record,
    raw_offset,
    record_number,
)


class FakeLog:
    """One topic of the log with fault injection."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.start = 0
        self.time_ms = 0
        self.down = False
        self.lose_answers = 0
        self.reads_down = False
        self.eras: tuple[int, ...] = ()

    @property
    def end(self) -> int:
        """The number of the next record."""
        return record_number(len(self.eras), self.start + len(self.records))

    def restore(self, count: int) -> None:
        """Comes back from an older copy, which has the first `count` retained records."""
        self.records = self.records[:count]
        self.eras = (*self.eras, 0)

    def add(self, value: Any) -> int:
        offset = self.end
        decoded = msgspec.json.decode(msgspec.json.encode(value))
        self.records.append(Record(offset, self.time_ms, decoded))
        return offset

    def retain(self, count: int) -> None:
        dropped = max(0, len(self.records) - count)
        self.records, self.start = self.records[dropped:], self.start + dropped

    async def append(self, topic: str, records: Any, timeout_ms: float | None = None) -> int:
        if self.down:
            raise LogUnavailable(topic)
        first = self.start + len(self.records)
        for record in records:
            self.add(record)
        if self.lose_answers:
            self.lose_answers -= 1
            raise LogUnavailable(topic)
        return first

    async def read(self, topic: str, offset: int, limit: int, wait_ms: float = 0) -> Page:
        await asyncio.sleep(0.002 if wait_ms else 0)
        if self.down or self.reads_down:
            raise LogUnavailable(topic)
        index = raw_offset(offset) - self.start
        if index < 0:
            raise OffsetExpired(self.start, self.end, self.eras)
        if index > len(self.records):
            raise LogRestored(self.start, self.end, self.eras)
        return Page(self.records[index : index + limit], self.start, self.end, self.eras)


class FakeClock:
    """A manual clock."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000.0

    def clock(self) -> Clock:
        return Clock(lambda: self.now_ms, lambda: self.now_ms)


class FakeHost:
    """The configuration controller, membership and gossip of one host."""

    def __init__(self, name: str, network: FakeNetwork, log: FakeLog, clock: Clock) -> None:
        settings = Settings(
            name, "zone-1", "", "", f"{name}:1", "", ("k" * 16,), {"rosa": "rosa-operator-key"}
        )
        rng = random.Random(name)
        self.board = Board()
        self.board.log = LogState(True, 0.0)
        self.fold = ConfigFold()
        self.controller = ConfigController(self.board, self.fold, log, clock, rng)
        self.membership = Membership(self.board, clock, name)
        self.gossip = Gossip(
            self.board, self.controller, self.membership, network, settings, clock, rng, f"i-{name}"
        )
        self.settings = settings

    async def read_log(self) -> None:
        """Reads the log to its end."""
        self.controller.reader.caught_up.clear()
        while not self.controller.reader.caught_up.is_set():
            try:
                await self.controller.reader.step()
            except OffsetExpired as gone:
                await self.controller.reader.restart(gone)
        self.controller.refresh()


class FakeNetwork:
    """Passes serialized messages between hosts and counts calls and bytes."""

    def __init__(self, names: list[str], log: FakeLog, clock: Clock) -> None:
        self.unreachable: set[str] = set()
        self.calls = 0
        self.sent_bytes = 0
        self.hosts = {name: FakeHost(name, self, log, clock) for name in names}
        for host in self.hosts.values():
            host.board.hosts = {
                name: HostView(name, f"{name}:1", "zone-1", f"i-{name}")
                for name in names
                if name != host.settings.host
            }

    async def call(self, address: str, method: str, request: Any, timeout_ms: float) -> Any:
        await asyncio.sleep(0)
        name = address.partition(":")[0]
        if name in self.unreachable or request.host in self.unreachable:
            raise PeerUnavailable(address)
        self.calls += 1
        data = request.SerializeToString()
        reply = await self.hosts[name].gossip.handle(type(request).FromString(data))
        self.sent_bytes += len(data) + len(reply.SerializeToString())
        return type(reply).FromString(reply.SerializeToString())

    async def tick(self) -> None:
        """Runs one tick of every reachable host and waits for the resulting tasks."""
        await asyncio.gather(
            *(h.gossip.tick() for n, h in self.hosts.items() if n not in self.unreachable)
        )
        await self.settle()

    async def settle(self) -> None:
        """Waits until no host has a pull or push in progress."""
        async with asyncio.timeout(10):
            while tasks := [
                task
                for host in self.hosts.values()
                for task in (host.gossip.pulling, host.gossip.pushing)
                if task is not None and not task.done()
            ]:
                await asyncio.wait(tasks)
