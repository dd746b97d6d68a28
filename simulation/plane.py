"""Followers of many hosts over a simulated network in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections import Counter
from collections.abc import Sequence
from typing import Any

from savoryfork.forward.deadlines import ChangeBounds
from savoryfork.forward.follower import Follower
from savoryfork.forward.knowledge import Entry
from savoryfork.forward.members import Member, Members
from savoryfork.forward.messages import METHODS, MessageCodec
from savoryfork.forward.metrics import ForwardMetrics
from savoryfork.forward.topics import StoreRead, Topic
from savoryfork.peers import PeerUnavailable
from savoryfork.platform.store import normalize_entries
from savoryfork.platform.wire import PlatformWire
from savoryfork.util.background import BackgroundTasks
from savoryfork.util.timer import Clock
from savoryfork.util.topic import LogUnavailable, OffsetExpired

CODEC = MessageCodec()

# One way between hosts, and the time of a read of the store.
LATENCY_S = 0.002
STORE_S = 0.004
EXCHANGE_PERIOD_S = 1.0


class Store:
    """The log of all topics; `down` makes every read fail, `era` rises with each restore.

    Records before the offset `first` of a topic have expired.
    """

    def __init__(self) -> None:
        self.logs: dict[Topic, list[Entry]] = {topic: [] for topic in Topic}
        self.first = dict.fromkeys(Topic, 0)
        self.down = False
        self.era = 1
        self.calls = 0
        self.changed = asyncio.Event()

    def copy(self) -> dict[Topic, list[Entry]]:
        return {topic: list(entries) for topic, entries in self.logs.items()}

    def restore(self, copy: dict[Topic, list[Entry]]) -> None:
        """Goes back to a copy: newer records are lost and their offsets are given out again."""
        self.logs = {topic: list(entries) for topic, entries in copy.items()}
        self.era += 1
        self.notify()

    def put(self, topic: Topic, key: str, value: bytes) -> None:
        self.logs[topic].append(Entry(len(self.logs[topic]), key, value))
        self.notify()

    def notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def newest(self, topic: Topic) -> StoreRead:
        self.calls += 1
        await asyncio.sleep(STORE_S)
        if self.down:
            raise LogUnavailable("down")
        newest = {entry.key: entry for entry in self.logs[topic]}
        end = len(self.logs[topic])
        live = [entry for entry in newest.values() if entry.value]
        entries = normalize_entries(topic, live, self.era, records=False)
        return StoreRead(entries, end, end, self.era)

    async def read(self, topic: Topic, offset: int, wait_ms: float) -> StoreRead:
        self.calls += 1
        await asyncio.sleep(STORE_S)
        if wait_ms and len(self.logs[topic]) == offset:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await self.changed.wait()
        if self.down:
            raise LogUnavailable("down")
        end = len(self.logs[topic])
        if not self.first[topic] <= offset <= end:
            raise OffsetExpired(self.first[topic], 0)
        entries = normalize_entries(topic, self.logs[topic][offset:], self.era, records=True)
        return StoreRead(entries, end, end, self.era)

    async def append(self, topic: Topic, entries: Sequence[tuple[str, bytes]]) -> None:
        await asyncio.sleep(STORE_S)
        if self.down:
            raise LogUnavailable("down")
        for key, value in entries:
            self.put(topic, key, value)


class Host:
    """One host's follower, its tasks and its own loads."""

    def __init__(self, plane: ControlPlane, number: int) -> None:
        self.plane = plane
        self.address = f"10.0.{number // 100}.{number % 100}:7000"
        self.loads: dict[str, tuple[float, float]] = {}
        self.tasks: list[asyncio.Task[Any]] = []
        self.rng = random.Random(number)

    def start(self, seeds: list[str]) -> None:
        clock = Clock(lambda: asyncio.get_running_loop().time() * 1000, lambda: 0.0)
        incarnation = next(self.plane.incarnations)
        local = Member(self.address, "zone-a", incarnation, 0, leaving=False, store_ok=False)
        self.members = Members(local, seeds)
        self.follower = Follower(
            self.plane.store,
            PlatformWire(),
            self.members,
            Network(self.plane, self.address),
            clock,
            self.rng,
            lambda: self.loads,
            ForwardMetrics(),
            BackgroundTasks(),
            ChangeBounds(),
        )
        self.plane.up[self.address] = self
        self.plane.dark.discard(self.address)
        self.tasks = [asyncio.create_task(self.run())]

    async def run(self) -> None:
        if not self.members.seeds:
            # Hosts do not start in step.
            await asyncio.sleep(self.rng.random() * 0.4)
            self.follower.joined.set()
        await asyncio.gather(
            *([self.follower.join()] if self.members.seeds else []),
            self.follower.run(Topic.CONFIGURATION),
            self.follower.run(Topic.TARGETS),
            self.follower.run(Topic.CRASHES),
            self.follower.run_sync(),
            self.exchange(),
        )

    async def exchange(self) -> None:
        while True:
            await self.follower.exchange_members()
            await asyncio.sleep(EXCHANGE_PERIOD_S)

    def stop(self) -> None:
        """Ends the host without notice."""
        self.plane.up.pop(self.address, None)
        for task in self.tasks:
            task.cancel()

    def lose_power(self) -> None:
        """Ends the host without notice; calls to it hang, as nothing refuses them."""
        self.stop()
        self.plane.dark.add(self.address)

    def known_requests(self, engine: str) -> float:
        """Returns the requests on an engine as this host sees them."""
        own = self.loads.get(engine, (0.0, 0.0))[1]
        return self.follower.load_tree.others(engine).requests + own


class Network:
    """Calls from one host to others; counts the bytes that each host sends and receives."""

    def __init__(self, plane: ControlPlane, caller: str) -> None:
        self.plane = plane
        self.caller = caller

    async def call(self, address: str, method: str, request: Any, timeout_ms: float) -> Any:
        plane = self.plane
        request_type, reply_type = METHODS[method]
        sent = CODEC.encode(request, request_type)
        plane.bytes[self.caller] += len(sent)
        plane.bytes[address] += len(sent)
        plane.calls[address] += 1
        until = asyncio.get_running_loop().time() + timeout_ms / 1000
        await asyncio.sleep(LATENCY_S)
        await self.hang_if_dark(address, until)
        if address not in plane.up or self.caller not in plane.up:
            raise PeerUnavailable(f"{address}: refused")
        host = plane.up[address]
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                reply = await host.follower.handle_sync(CODEC.decode(sent, request_type))
        except TimeoutError as error:
            raise PeerUnavailable(f"{address}: timeout") from error
        await self.hang_if_dark(address, until)
        if plane.up.get(address) is not host or self.caller not in plane.up:
            raise PeerUnavailable(f"{address}: reset")
        received = CODEC.encode(reply, reply_type)
        plane.bytes[address] += len(received)
        plane.bytes[self.caller] += len(received)
        await asyncio.sleep(LATENCY_S)
        return CODEC.decode(received, reply_type)

    async def hang_if_dark(self, address: str, until: float) -> None:
        """Waits until the call times out if the host that is called has lost power."""
        if address in self.plane.dark:
            await asyncio.sleep(max(0.0, until - asyncio.get_running_loop().time()))
            raise PeerUnavailable(f"{address}: timeout")


class ControlPlane:
    """Async context manager that runs a number of hosts, all of which know each other."""

    def __init__(self, hosts: int) -> None:
        self.store = Store()
        self.up: dict[str, Host] = {}
        self.dark: set[str] = set()
        self.bytes: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.incarnations = itertools.count(1)
        self.hosts = [Host(self, number) for number in range(hosts)]

    async def __aenter__(self) -> ControlPlane:
        for host in self.hosts:
            host.start([])
        entries = [host.members.local for host in self.hosts]
        for host in self.hosts:
            host.members.merge(entries, "start", 0.0)
        return self

    async def __aexit__(self, *details: object) -> None:
        for host in self.hosts:
            host.stop()

    def add(self, count: int, seeds: list[str]) -> None:
        """Starts more hosts, which know only the seeds."""
        for _ in range(count):
            host = Host(self, len(self.hosts))
            self.hosts.append(host)
            host.start(seeds)

    def live(self) -> list[Host]:
        """Returns the hosts that are up."""
        return list(self.up.values())

    def agreed(self) -> bool:
        """Whether every live host takes exactly the live hosts to be alive."""
        addresses = set(self.up)
        now = asyncio.get_running_loop().time() * 1000
        return all(set(h.members.view(now).alive) == addresses for h in self.live())

    async def seconds_until(self, condition: Any, limit_s: float) -> float:
        """Returns the time until a condition holds; raises TimeoutError after the limit."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not condition():
            if loop.time() - started > limit_s:
                raise TimeoutError(f"not within {limit_s} s")
            await asyncio.sleep(0.1)
        return loop.time() - started
