"""Follows the store's two registers, directly or through another host, and keeps the members.

One host reads the store for all; the others ask it, or a host between, with a long poll. A host
whose news is older than it should be reads the store itself, so the loss of a host or of a host's
path to the store delays news but stops it nowhere.
"""

from __future__ import annotations

import asyncio
import enum
import logging
import random
from collections.abc import Callable
from typing import Protocol

from savoryfork.forward.knowledge import Entry, TopicTable, Update
from savoryfork.forward.members import Members
from savoryfork.forward.messages import SyncReply, SyncRequest
from savoryfork.forward.metrics import ForwardMetrics
from savoryfork.forward.model import Catalog
from savoryfork.forward.placement import EngineLoad
from savoryfork.forward.registry import OUTAGE_MS, Registry
from savoryfork.forward.wire import Wire
from savoryfork.peers import PeerCaller, PeerUnavailable
from savoryfork.util import logs
from savoryfork.util.timer import Clock
from savoryfork.util.topic import LogUnavailable, OffsetExpired

log = logging.getLogger(__name__)

# The key of the configuration in its topic.
CONFIGURATION_KEY = "config"

# Long poll of the configuration. Each answer confirms it as of the poll's start, so the last
# confirmation before an outage is up to two polls old. Callers count on keyed requests for 0.6 of
# `key_revocation_ms` (5 s on the sheets) after the store is lost: two polls must fit between that
# and the part for which a confirmation is trusted.
CONFIG_WAIT_MS = 750.0

# Pause between reads of the targets' table. Targets that leave must get no work 2 s after.
TARGETS_PERIOD_MS = 450.0

# Long poll between hosts, and the time beyond it after which the other host counts as silent.
SYNC_WAIT_MS = 400.0
SYNC_TIMEOUT_MARGIN_MS = 350.0

# Ages from which a host that follows another one reads the store itself.
CONFIG_STALE_MS = 3_000.0
TARGETS_STALE_MS = 1_300.0

# After a failed read, and between looks at what is due.
READ_RETRY_MS = 350.0
DUTY_CHECK_MS = 100.0

# How long a host that starts tries to meet the seeds before it takes requests without them, and
# how often.
JOIN_TIMEOUT_MS = 1_500.0
JOIN_RETRY_MS = 100.0

# Exchange of members with one host at random, beside the one that is followed.
MEET_MS = 1_000.0


# An offset beyond every other: the sender asks for no entries.
NO_ENTRIES_OFFSET = 2**62


class Topic(enum.Enum):
    """The registers that the store keeps."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"


class Store(Protocol):
    """Reads of the platform's store; `calls` counts them."""

    calls: int

    async def newest(self, topic: Topic) -> tuple[list[Entry], int]:
        """The newest value of each key and the offset to go on from. Raises LogUnavailable."""

    async def read(self, topic: Topic, offset: int, wait_ms: float) -> tuple[list[Entry], int, int]:
        """Changes from an offset, the next offset and the end.

        Raises LogUnavailable, or OffsetExpired if the records are no longer kept.
        """


class Follower:
    """Keeps `catalog`, `registry` and `members` up to date."""

    def __init__(
        self,
        store: Store,
        wire: Wire,
        members: Members,
        peers: PeerCaller,
        clock: Clock,
        rng: random.Random,
        loads: Callable[[], dict[str, tuple[float, float]]],
        metrics: ForwardMetrics,
    ) -> None:
        self.store = store
        self.wire = wire
        self.members = members
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.loads = loads
        self.metrics = metrics
        self.tables = {topic: TopicTable() for topic in Topic}
        self.registry = Registry(wire.decode_target)
        self.catalog: Catalog | None = None
        self.changed = asyncio.Event()
        self.store_ok: dict[Topic, bool] = {}
        self.peer_loads: dict[str, dict[str, tuple[float, float]]] = {}
        self.shared_loads: dict[str, EngineLoad] = {}
        self.lost_peers: set[str] = set()
        self.joined = False

    def now(self) -> float:
        """The suspend-aware time in milliseconds."""
        return self.clock.monotonic_ms()

    def config_age_ms(self) -> float:
        """The time since the catalog was last known to be the newest."""
        return self.tables[Topic.CONFIGURATION].age_ms(self.now())

    # Reading the store.

    async def run(self, topic: Topic) -> None:
        """Reads one register whenever that is this host's duty or its news is too old."""
        wait_ms = CONFIG_WAIT_MS if topic is Topic.CONFIGURATION else 0.0
        stale_ms = CONFIG_STALE_MS if topic is Topic.CONFIGURATION else TARGETS_STALE_MS
        while True:
            now = self.now()
            reader = self.members.upstream(now) is None
            if not reader and self.tables[topic].age_ms(now) < stale_ms:
                await asyncio.sleep(DUTY_CHECK_MS / 1000)
                continue
            if not await self.read(topic, wait_ms if reader else 0.0):
                await asyncio.sleep(READ_RETRY_MS / 1000)
            elif topic is Topic.TARGETS:
                await asyncio.sleep(TARGETS_PERIOD_MS / 1000)

    async def read(self, topic: Topic, wait_ms: float) -> bool:
        """One read of a register; False if the store did not answer."""
        table = self.tables[topic]
        started = self.now()
        try:
            if table.next_offset < 0:
                entries, end = await self.store.newest(topic)
                new = table.apply_snapshot(entries, end)
            else:
                try:
                    entries, next_offset, end = await self.store.read(
                        topic, table.next_offset, wait_ms
                    )
                    new = table.apply(entries, next_offset)
                except OffsetExpired:
                    entries, end = await self.store.newest(topic)
                    new = table.apply_snapshot(entries, end)
        except LogUnavailable as error:
            self.record_store_result(topic, False, str(error))
            return False
        now = self.now()
        if table.age_ms(now) > OUTAGE_MS and table.confirmed_at > 0:
            self.registry.record_store_return(now)
        if table.next_offset >= end:
            table.confirm(started)
        self.record_store_result(topic, True, "")
        self.apply_entries(topic, new, "store", now - started)
        return True

    def record_store_result(self, topic: Topic, ok: bool, reason: str) -> None:
        """Notes whether a read got its answer, and tells others when that changes."""
        result = "answered" if ok else "failed"
        self.metrics.store_answers.inc({"register": topic.value, "result": result})
        before = self.store_ok.get(topic, True)
        self.store_ok[topic] = ok
        both = all(self.store_ok.values())
        if before != ok:
            name = "store_regained" if ok else "store_lost"
            logs.event(log, name, logging.WARNING, topic=topic.value, reason=reason or None)
        if self.members.local.store_ok != both:
            self.members.heartbeat(store_ok=both)
            self.notify()

    def apply_entries(self, topic: Topic, new: list[Entry], source: str, age_ms: float) -> None:
        """Puts new entries into force."""
        if not new:
            return
        if topic is Topic.CONFIGURATION:
            self.apply_catalog(new, source, age_ms)
        else:
            for target, what in self.registry.update(new, self.now()):
                logs.event(
                    log,
                    "target_" + what,
                    target=target.name,
                    service=target.service,
                    address=target.address,
                    source=source,
                    age_ms=round(age_ms),
                )
        self.notify()

    def apply_catalog(self, new: list[Entry], source: str, age_ms: float) -> None:
        """Puts a newer configuration into force; versions never fall."""
        for entry in new:
            if entry.key != CONFIGURATION_KEY or not entry.value:
                continue
            catalog = self.wire.decode_catalog(entry.value)
            if catalog is None or (self.catalog and catalog.version < self.catalog.version):
                continue
            self.catalog = catalog
            logs.event(
                log,
                "config_in_effect",
                version=catalog.version,
                offset=entry.offset,
                routes=sum(map(len, catalog.routes.values())),
                keys=len(catalog.keys),
                source=source,
                age_ms=round(age_ms),
            )

    def notify(self) -> None:
        """Wakes the hosts that wait for news."""
        self.changed.set()
        self.changed = asyncio.Event()

    # Other hosts.

    async def run_sync(self) -> None:
        """Asks the followed host for news for as long as the host runs."""
        while True:
            source = self.members.upstream(self.now())
            if source is None:
                await asyncio.sleep(DUTY_CHECK_MS / 1000)
            elif not await self.sync(source, SYNC_WAIT_MS):
                await asyncio.sleep(0.01)

    async def join(self) -> None:
        """Meets the seeds at the start, until each has answered or the time for that is over."""
        until = self.now() + JOIN_TIMEOUT_MS
        while self.now() < until:
            await self.exchange_members()
            met = {member.address for member in self.members.alive(self.now())}
            if met.issuperset(self.members.seeds):
                break
            await asyncio.sleep(JOIN_RETRY_MS / 1000)
        self.joined = True
        logs.event(log, "joined", members=len(self.members.alive(self.now())))

    async def exchange_members(self) -> None:
        """Exchanges members with the seeds that are not known yet and with one host at random."""
        now = self.now()
        self.refresh_loads()
        others = [
            m.address for m in self.members.alive(now) if m.address != self.members.local.address
        ]
        chosen = self.members.unknown_seeds(now)
        if others:
            chosen.append(self.rng.choice(others))
        await asyncio.gather(*(self.sync(address, 0.0) for address in chosen))

    async def sync(self, address: str, wait_ms: float) -> bool:
        """Asks one host for news; False if it did not answer."""
        requested_at = self.now()
        request = SyncRequest(
            sender=self.members.heartbeat(),
            config_next=self.tables[Topic.CONFIGURATION].next_offset,
            targets_next=self.tables[Topic.TARGETS].next_offset,
            wait_ms=wait_ms,
            members=self.members.recent(requested_at),
            loads=self.loads(),
        )
        try:
            reply = await self.peers.call(
                address, "Sync", request, wait_ms + SYNC_TIMEOUT_MARGIN_MS
            )
        except PeerUnavailable as error:
            self.record_peer_result(address, False, str(error))
            return False
        self.record_peer_result(address, True, "")
        now = self.now()
        self.members.merge([reply.sender, *reply.members], now)
        for topic, news in self.updates_by_topic(reply):
            new = self.tables[topic].merge(news, requested_at)
            self.apply_entries(topic, new, address, now - requested_at + news.age_ms)
        self.shared_loads = {name: EngineLoad(*load) for name, load in reply.loads.items()}
        return True

    async def ping(self, address: str, timeout_ms: float) -> None:
        """Asks a host whether it is there; raises PeerUnavailable if no answer came."""
        request = SyncRequest(
            self.members.heartbeat(), NO_ENTRIES_OFFSET, NO_ENTRIES_OFFSET, 0.0, [], {}
        )
        await self.peers.call(address, "Sync", request, timeout_ms)

    def updates_by_topic(self, reply: SyncReply) -> list[tuple[Topic, Update]]:
        """The news of a reply by topic."""
        return [(Topic.CONFIGURATION, reply.config), (Topic.TARGETS, reply.targets)]

    def record_peer_result(self, address: str, ok: bool, reason: str) -> None:
        """Notes whether another host answered."""
        if ok:
            self.members.mark_alive(address)
            if address in self.lost_peers:
                self.lost_peers.discard(address)
                logs.event(log, "peer_regained", peer=address)
            return
        self.members.mark_suspect(address, self.now())
        if address not in self.lost_peers:
            self.lost_peers.add(address)
            logs.event(log, "peer_lost", logging.WARNING, peer=address, reason=reason)

    async def handle_sync(self, request: SyncRequest) -> SyncReply:
        """Answers another host once there is something that it lacks, or after its wait."""
        now = self.now()
        self.members.merge([request.sender, *request.members], now)
        if request.config_next != NO_ENTRIES_OFFSET:
            self.peer_loads[request.sender.address] = request.loads
        if request.wait_ms > 0 and not self.has_newer_entries(request):
            changed = self.changed
            try:
                async with asyncio.timeout(min(request.wait_ms, SYNC_WAIT_MS) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass  # nothing new: the answer still confirms what the other host has
        now = self.now()
        self.refresh_loads()
        tables = self.tables
        return SyncReply(
            sender=self.members.heartbeat(),
            members=self.members.recent(now),
            config=tables[Topic.CONFIGURATION].changes_since(request.config_next, now),
            targets=tables[Topic.TARGETS].changes_since(request.targets_next, now),
            loads=self.loads_excluding(request.sender.address),
        )

    def has_newer_entries(self, request: SyncRequest) -> bool:
        """Whether this host has entries that the other one lacks."""
        return (
            self.tables[Topic.CONFIGURATION].last_change_offset >= request.config_next
            or self.tables[Topic.TARGETS].last_change_offset >= request.targets_next
        )

    def refresh_loads(self) -> None:
        """Forgets the loads of hosts that are gone."""
        alive = {member.address for member in self.members.alive(self.now())}
        self.peer_loads = {a: loads for a, loads in self.peer_loads.items() if a in alive}
        if self.members.upstream(self.now()) is None:
            merged = self.loads_excluding(self.members.local.address)
            self.shared_loads = {name: EngineLoad(*load) for name, load in merged.items()}

    def loads_excluding(self, address: str) -> dict[str, tuple[float, float]]:
        """The outstanding work of all hosts but one."""
        total: dict[str, tuple[float, float]] = {}
        own = {self.members.local.address: self.loads()}
        for host, loads in (self.peer_loads | own).items():
            if host == address:
                continue
            for name, (tokens, requests) in loads.items():
                before = total.get(name, (0.0, 0.0))
                total[name] = (before[0] + tokens, before[1] + requests)
        return total

    async def expire(self) -> None:
        """Removes targets whose lapsed entries did not come back."""
        for target, what in self.registry.expire(self.now()):
            logs.event(log, "target_" + what, target=target.name, reason="lapsed")
