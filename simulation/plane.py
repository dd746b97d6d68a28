"""Followers of many hosts over a simulated network and store in virtual time.

The parts that follow the store and keep the list of hosts are those of the product, as they run in
production; only the store, the calls between hosts and the clock are simulated.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections import Counter
from collections.abc import Sequence
from typing import Any, Self, TypeVar

from savoryfork.forward.deadlines import ChangeBounds
from savoryfork.forward.follower import Follower
from savoryfork.forward.knowledge import Entry
from savoryfork.forward.members import Member, Members
from savoryfork.forward.messages import METHODS, MessageCodec
from savoryfork.forward.metrics import ForwardMetrics
from savoryfork.forward.topics import StoreRead, Topic
from savoryfork.peers import PeerUnavailable
from savoryfork.platform import store as platform_store
from savoryfork.platform.store import normalize_entries
from savoryfork.platform.wire import PlatformWire
from savoryfork.util.background import BackgroundTasks
from savoryfork.util.timer import Clock
from savoryfork.util.topic import LogUnavailable, OffsetExpired

CODEC = MessageCodec()

T = TypeVar("T")

# One way between hosts, and the time of a read of the store.
LATENCY_S = 0.002
STORE_S = 0.004
EXCHANGE_PERIOD_S = 1.0
EXPIRY_PERIOD_S = 0.5

# A read of a store that does not answer is given up after this time.
STORE_TIMEOUT_S = platform_store.READ_TIMEOUT_MS / 1000

DEFAULT_BOUNDS = ChangeBounds()

# The other end of the paths between hosts and the store.
STORE = "store"


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
        self.first = {topic: min(self.first[topic], len(log)) for topic, log in self.logs.items()}
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


class StoreAccess:
    """The store as one host reaches it; implements `topics.Store`."""

    def __init__(self, plane: ControlPlane, caller: str) -> None:
        self.plane = plane
        self.caller = caller
        self.calls = 0

    async def newest(self, topic: Topic) -> StoreRead:
        """Returns the newest value of each key. Raises LogUnavailable."""
        await self.send()
        return await self.receive(await self.plane.store.newest(topic))

    async def read(self, topic: Topic, offset: int, wait_ms: float) -> StoreRead:
        """Returns the records from an offset on. Raises LogUnavailable or OffsetExpired."""
        await self.send()
        return await self.receive(await self.plane.store.read(topic, offset, wait_ms))

    async def append(self, topic: Topic, entries: Sequence[tuple[str, bytes]]) -> None:
        """Appends a value for each key. Raises LogUnavailable."""
        await self.send()
        await self.plane.store.append(topic, entries)
        await self.receive(None)

    async def send(self) -> None:
        """Waits until a request is at the store; raises LogUnavailable if it does not get there."""
        self.calls += 1
        plane = self.plane
        await plane.until_thawed(self.caller)
        if plane.refused[self.caller]:
            await asyncio.sleep(STORE_S)
            raise LogUnavailable("refused")
        await self.pass_path(self.caller, STORE)

    async def receive(self, answer: T) -> T:
        """Waits until an answer is at the host, and returns it; raises LogUnavailable if lost."""
        await self.pass_path(STORE, self.caller)
        await self.plane.until_thawed(self.caller)
        return answer

    async def pass_path(self, source: str, destination: str) -> None:
        """Passes one way between host and store; raises LogUnavailable after the time-out."""
        if not self.plane.connects(source, destination):
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise LogUnavailable("timeout")
        await asyncio.sleep(self.plane.store_delay_s)


class Host:
    """One host's follower, its tasks and its own loads."""

    def __init__(self, plane: ControlPlane, number: int) -> None:
        self.plane = plane
        self.address = f"10.0.{number // 100}.{number % 100}:7000"
        self.loads: dict[str, tuple[float, float]] = {}
        self.tasks: list[asyncio.Task[Any]] = []
        self.rng = random.Random(number)
        self.thawed = asyncio.Event()

    def start(self, seeds: list[str]) -> None:
        clock = Clock(lambda: asyncio.get_running_loop().time() * 1000, lambda: 0.0)
        incarnation = next(self.plane.incarnations)
        local = Member(self.address, "zone-a", incarnation, 0, leaving=False, store_ok=False)
        self.members = Members(local, seeds)
        self.follower = Follower(
            StoreAccess(self.plane, self.address),
            PlatformWire(),
            self.members,
            Network(self.plane, self.address),
            clock,
            self.rng,
            lambda: self.loads,
            ForwardMetrics(),
            BackgroundTasks(),
            self.plane.bounds,
        )
        self.thawed.set()
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
            self.expire(),
        )

    async def exchange(self) -> None:
        while True:
            await self.follower.exchange_members()
            await asyncio.sleep(EXCHANGE_PERIOD_S)

    async def expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            await self.follower.expire()

    def stop(self) -> None:
        """Ends the host without notice."""
        self.plane.up.pop(self.address, None)
        for task in self.tasks:
            task.cancel()

    def lose_power(self) -> None:
        """Ends the host without notice; calls to it hang, as nothing refuses them."""
        self.stop()
        self.plane.dark.add(self.address)

    def freeze(self) -> None:
        """Holds back everything that the host sends or receives until `thaw`."""
        self.thawed.clear()

    def thaw(self) -> None:
        """Ends a freeze."""
        self.thawed.set()

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
        await plane.until_thawed(self.caller)
        until = asyncio.get_running_loop().time() + timeout_ms / 1000
        await asyncio.sleep(plane.delay_s())
        await self.hang_unless(plane.connects(self.caller, address), address, until)
        await self.hang_if_dark(address, until)
        await self.wait_for_host(address, until)
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
        await self.wait_for_host(address, until)
        await self.hang_unless(plane.connects(address, self.caller), address, until)
        await asyncio.sleep(plane.delay_s())
        await plane.until_thawed(self.caller)
        return CODEC.decode(received, reply_type)

    async def hang_if_dark(self, address: str, until: float) -> None:
        """Waits until the call times out if the host that is called has lost power."""
        await self.hang_unless(address not in self.plane.dark, address, until)

    async def hang_unless(self, condition: bool, address: str, until: float) -> None:
        """Waits until the call times out unless a condition holds. Raises PeerUnavailable."""
        if not condition:
            await asyncio.sleep(max(0.0, until - asyncio.get_running_loop().time()))
            raise PeerUnavailable(f"{address}: timeout")

    async def wait_for_host(self, address: str, until: float) -> None:
        """Waits until the host that is called is not frozen. Raises PeerUnavailable."""
        try:
            async with asyncio.timeout_at(until):
                await self.plane.until_thawed(address)
        except TimeoutError as error:
            raise PeerUnavailable(f"{address}: timeout") from error


class ControlPlane:
    """Async context manager that runs a number of hosts, all of which know each other.

    `cut` counts the cuts of each path from one address to another, and `refused` the reasons for
    which the store turns a host away. `store_delay_s` is the time of a message to or from the store
    beside its work.
    """

    def __init__(self, hosts: int, bounds: ChangeBounds = DEFAULT_BOUNDS) -> None:
        self.bounds = bounds
        self.cut: Counter[tuple[str, str]] = Counter()
        self.refused: Counter[str] = Counter()
        self.store_delay_s = 0.0
        self.store = Store()
        self.up: dict[str, Host] = {}
        self.dark: set[str] = set()
        self.bytes: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.incarnations = itertools.count(1)
        self.hosts = [Host(self, number) for number in range(hosts)]

    async def __aenter__(self) -> Self:
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

    def delay_s(self) -> float:
        """Returns the time of a message from one host to another."""
        return LATENCY_S

    def connects(self, source: str, destination: str) -> bool:
        """Returns whether messages pass from one address to another."""
        return not self.cut[source, destination]

    async def until_thawed(self, address: str) -> None:
        """Waits while a host is frozen."""
        if host := self.up.get(address):
            await host.thawed.wait()

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
