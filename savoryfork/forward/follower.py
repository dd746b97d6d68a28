"""Follows the store's two topics, directly or through another host, and maintains membership.

One host, the reader, reads the store for all; the others long-poll it or a host in between. A host
whose copy is stale reads the store itself, so the loss of a host or of its path to the store delays
updates but stops them nowhere.
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

# The key of the configuration within its topic.
CONFIGURATION_KEY = "config"

# Long poll of the configuration. Each answer confirms it as of the poll's start, so the last
# confirmation before an outage is up to two polls old. Keyed requests must be served for 0.6 of
# `key_revocation_ms` (5 s on the sheets) after the store is lost, so two polls must fit between
# that and the share for which a confirmation is trusted.
CONFIG_WAIT_MS = 750.0

# Pause between reads of the targets topic. A leaving target must get no new work after 2 s.
TARGETS_PERIOD_MS = 450.0

# Long poll between hosts, and the margin beyond it after which the other host is suspected.
SYNC_WAIT_MS = 400.0
SYNC_TIMEOUT_MARGIN_MS = 350.0

# Ages at which a host that follows another one falls back to reading the store itself.
CONFIG_STALE_MS = 3_000.0
TARGETS_STALE_MS = 1_300.0

# Delay after a failed read, and between checks of whether this host is the reader.
READ_RETRY_MS = 350.0
DUTY_CHECK_MS = 100.0

# A starting host tries to reach the seeds for this long before it serves without them, with this
# pause between tries.
JOIN_TIMEOUT_MS = 1_500.0
JOIN_RETRY_MS = 100.0

# Period of the membership exchange with a random host, in addition to the upstream host.
MEMBER_EXCHANGE_MS = 1_000.0


# An offset beyond all others, by which the sender asks for no entries.
NO_ENTRIES_OFFSET = 2**62


class Topic(enum.Enum):
    """The topics of the store."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"


class Store(Protocol):
    """Read access to the platform's store; `calls` counts the reads."""

    calls: int

    async def newest(self, topic: Topic) -> tuple[list[Entry], int]:
        """Returns the newest value of each key and the next offset. Raises LogUnavailable."""

    async def read(self, topic: Topic, offset: int, wait_ms: float) -> tuple[list[Entry], int, int]:
        """Returns the changes from an offset, the next offset and the end offset.

        Raises LogUnavailable, or OffsetExpired if the records are no longer retained.
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
        """Returns the suspend-aware time in milliseconds."""
        return self.clock.monotonic_ms()

    def config_age_ms(self) -> float:
        """Returns the time since the catalog was last confirmed to be the newest."""
        return self.tables[Topic.CONFIGURATION].age_ms(self.now())

    # Reading the store.

    async def run(self, topic: Topic) -> None:
        """Reads one topic whenever this host is the reader or its copy is stale."""
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
        """Reads one topic once; returns False if the store did not answer."""
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
        """Records whether a read was answered, and propagates a change of that to peers."""
        result = "answered" if ok else "failed"
        self.metrics.store_reads.inc({"register": topic.value, "result": result})
        was_ok = self.store_ok.get(topic, True)
        self.store_ok[topic] = ok
        all_ok = all(self.store_ok.values())
        if was_ok != ok:
            name = "store_regained" if ok else "store_lost"
            logs.event(log, name, logging.WARNING, topic=topic.value, reason=reason or None)
        if self.members.local.store_ok != all_ok:
            self.members.heartbeat(store_ok=all_ok)
            self.notify()

    def apply_entries(self, topic: Topic, new: list[Entry], source: str, age_ms: float) -> None:
        """Applies new entries of a topic and wakes the waiting syncs."""
        if not new:
            return
        if topic is Topic.CONFIGURATION:
            self.apply_catalog(new, source, age_ms)
        else:
            for target, change in self.registry.update(new, self.now()):
                logs.event(
                    log,
                    "target_" + change,
                    target=target.name,
                    service=target.service,
                    address=target.address,
                    source=source,
                    age_ms=round(age_ms),
                )
        self.notify()

    def apply_catalog(self, new: list[Entry], source: str, age_ms: float) -> None:
        """Puts a newer configuration into effect; the version never decreases."""
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
        """Wakes the sync requests that wait for changes."""
        self.changed.set()
        self.changed = asyncio.Event()

    # Synchronization with other hosts.

    async def run_sync(self) -> None:
        """Long-polls the upstream host for as long as this host runs."""
        while True:
            source = self.members.upstream(self.now())
            if source is None:
                await asyncio.sleep(DUTY_CHECK_MS / 1000)
            elif not await self.sync(source, SYNC_WAIT_MS):
                await asyncio.sleep(0.01)

    async def join(self) -> None:
        """Contacts the seeds at startup until all are members or JOIN_TIMEOUT_MS has passed."""
        until = self.now() + JOIN_TIMEOUT_MS
        while self.now() < until:
            await self.exchange_members()
            joined = {member.address for member in self.members.alive(self.now())}
            if joined.issuperset(self.members.seeds):
                break
            await asyncio.sleep(JOIN_RETRY_MS / 1000)
        self.joined = True
        logs.event(log, "joined", members=len(self.members.alive(self.now())))

    async def exchange_members(self) -> None:
        """Exchanges membership with the seeds that are not known yet and with one random host."""
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
        """Requests updates from one host; returns False if it did not answer."""
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
        for topic, update in self.updates_by_topic(reply):
            new = self.tables[topic].merge_update(update, requested_at)
            self.apply_entries(topic, new, address, now - requested_at + update.age_ms)
        self.shared_loads = {name: EngineLoad(*load) for name, load in reply.loads.items()}
        return True

    async def ping(self, address: str, timeout_ms: float) -> None:
        """Checks that a host answers; raises PeerUnavailable if it does not."""
        request = SyncRequest(
            self.members.heartbeat(), NO_ENTRIES_OFFSET, NO_ENTRIES_OFFSET, 0.0, [], {}
        )
        await self.peers.call(address, "Sync", request, timeout_ms)

    def updates_by_topic(self, reply: SyncReply) -> list[tuple[Topic, Update]]:
        """Returns the updates in a reply by topic."""
        return [(Topic.CONFIGURATION, reply.config), (Topic.TARGETS, reply.targets)]

    def record_peer_result(self, address: str, ok: bool, reason: str) -> None:
        """Records whether another host answered a call."""
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
        """Answers a peer as soon as there is something that it lacks, or after its wait."""
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
                pass  # nothing new, but the reply still confirms the entries that the peer has
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
        """Returns whether this host has entries that the requesting peer lacks."""
        return (
            self.tables[Topic.CONFIGURATION].last_change_offset >= request.config_next
            or self.tables[Topic.TARGETS].last_change_offset >= request.targets_next
        )

    def refresh_loads(self) -> None:
        """Drops the loads of failed hosts; the reader also merges the loads of all hosts."""
        alive = {member.address for member in self.members.alive(self.now())}
        self.peer_loads = {a: loads for a, loads in self.peer_loads.items() if a in alive}
        if self.members.upstream(self.now()) is None:
            merged = self.loads_excluding(self.members.local.address)
            self.shared_loads = {name: EngineLoad(*load) for name, load in merged.items()}

    def loads_excluding(self, address: str) -> dict[str, tuple[float, float]]:
        """Returns the outstanding work per target, summed over all hosts but one."""
        total: dict[str, tuple[float, float]] = {}
        local = {self.members.local.address: self.loads()}
        for host, loads in (self.peer_loads | local).items():
            if host == address:
                continue
            for name, (tokens, requests) in loads.items():
                subtotal = total.get(name, (0.0, 0.0))
                total[name] = (subtotal[0] + tokens, subtotal[1] + requests)
        return total

    async def expire(self) -> None:
        """Removes lapsed targets that did not re-register in time."""
        for target, change in self.registry.expire(self.now()):
            logs.event(log, "target_" + change, target=target.name, reason="lapsed")
