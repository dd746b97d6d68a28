"""Follows the topics of the store, directly or through another host, and maintains membership.

One host, the reader, reads the store for all; the others long-poll it or a host in between. Each
host has a deadline of its own for the age of its copy (`deadlines`), at which it reads the store
itself, so the loss of other hosts delays a change by no more than that.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable, Sequence

from savoryfork.forward.crashnews import CrashNewsExchange, NewsEntry
from savoryfork.forward.deadlines import ChangeBounds
from savoryfork.forward.departures import (
    DepartureExchange,
    Incarnation,
    Source,
    incarnation_of,
)
from savoryfork.forward.evacuation import evacuated_zones
from savoryfork.forward.knowledge import (
    NO_ENTRIES,
    TRUST_LOST_MS,
    Changes,
    Entry,
    TopicTable,
    Update,
)
from savoryfork.forward.loads import LoadTable, LoadTree
from savoryfork.forward.members import CONTACT_MS, Member, Members
from savoryfork.forward.messages import SyncReply, SyncRequest
from savoryfork.forward.metrics import ForwardMetrics
from savoryfork.forward.model import Catalog, Target
from savoryfork.forward.quarantine import Quarantine, is_stored
from savoryfork.forward.registry import OUTAGE_MS, Registry
from savoryfork.forward.sequenced import SequencedTable
from savoryfork.forward.topicreader import TopicReader
from savoryfork.forward.topics import CONFIGURATION_KEY, Store, Topic
from savoryfork.forward.wire import Wire
from savoryfork.peers import PeerCaller, PeerUnavailable
from savoryfork.util import logs
from savoryfork.util.background import BackgroundTasks
from savoryfork.util.supervise import skip_failing
from savoryfork.util.timer import Clock
from savoryfork.util.topic import LogUnavailable

log = logging.getLogger(__name__)

# Longest long poll of the configuration; see `config_wait_ms`. Each answer confirms it as of the
# poll's start, so the reader's copy is up to two polls old, and the others' little older, as
# confirmations are passed on at once. Keyed requests must be served for 0.6 of `key_revocation_ms`
# (5 s on the sheets) after the store is lost, so two polls must fit between that and the share for
# which a confirmation is trusted.
MAX_CONFIG_WAIT_MS = 750.0
MIN_CONFIG_WAIT_MS = 50.0

# Long poll of the crash reports, which have the longest deadline.
CRASHES_WAIT_MS = 750.0

# A host wakes the syncs that wait for it when its copy is confirmed as of a time this much later.
# Random exchanges, which bring slightly later confirmations, wake none.
CONFIRMATION_STEP_MS = 100.0

# Pause between reads of the targets topic. A leaving target must get no new work after 2 s.
TARGETS_PERIOD_MS = 450.0

# Long poll between hosts, and the margin beyond it after which the other host is suspected.
SYNC_WAIT_MS = 400.0
SYNC_TIMEOUT_MARGIN_MS = 350.0

# Time for a confirmation to pass through the levels of the tree.
PROPAGATION_MS = 50.0

# Wait of a sync that pushes news to the upstream host while a long poll of it is open.
PUSH_WAIT_MS = 1.0

# Delay after a failed read, and between checks of whether this host is the reader.
READ_RETRY_MS = 350.0

# As above for crash reports: every host reads the topic itself if only its partition is down.
CRASHES_RETRY_MS = 1_000.0

# The longest delay after failed reads of a host that is in contact with others and not the reader.
# In an outage all hosts read the store themselves: 74 of them made 500 calls a second. The reader
# goes on every READ_RETRY_MS and tells the others when the store is back.
MAX_RETRY_MS = 2_800.0
DUTY_CHECK_MS = 100.0

# A starting host tries to reach the seeds for this long before it serves without them, with this
# pause between tries.
JOIN_TIMEOUT_MS = 1_500.0
JOIN_RETRY_MS = 100.0

# After a host was found to have failed, hosts are probed this many at a time for this long: others
# have probably failed with it.
PROBES_DURING_FAILURES = 4
FAILURE_BURST_MS = 4_000.0

# Delay before a host that did not answer is called again; longer than `members.CONFIRM_MS`.
CONFIRM_DELAY_MS = 650.0

# Share of the exchanges that also try a failed host.
FAILED_PROBE_SHARE = 0.3


def config_wait_ms(deadline_ms: float) -> float:
    """Returns the long poll of the configuration for the deadline of its copies.

    A copy that is two polls old stays below the deadline while one sync times out and is made again
    with another host. The deadlines of deployments give polls just below a whole number of syncs,
    so few syncs are made only for the confirmations.

    >>> [config_wait_ms(deadline_ms) for deadline_ms in (600.0, 1500.0, 2250.0, 3000.0)]
    [50.0, 350.0, 725.0, 750.0]
    """
    spare_ms = deadline_ms - SYNC_WAIT_MS - SYNC_TIMEOUT_MARGIN_MS - PROPAGATION_MS
    return min(MAX_CONFIG_WAIT_MS, max(MIN_CONFIG_WAIT_MS, spare_ms / 2))


def first_retry_ms(topic: Topic) -> float:
    """Returns the delay after the first failed read."""
    return CRASHES_RETRY_MS if topic is Topic.CRASHES else READ_RETRY_MS


def retry_ms(topic: Topic, failures: int, alone: bool, deadline_ms: float) -> float:
    """Returns the delay after a number of failed reads in a row.

    `alone` is True for the reader, and for a host that hears of the store's return from nobody.
    The others may lose those that they would hear it from, so no delay exceeds the deadline.

    >>> [retry_ms(Topic.TARGETS, failures, False, 3000.0) for failures in (1, 2, 3, 4, 90)]
    [350.0, 700.0, 1400.0, 2800.0, 2800.0]
    >>> retry_ms(Topic.TARGETS, 90, False, 1500.0), retry_ms(Topic.TARGETS, 90, True, 1500.0)
    (1500.0, 350.0)
    """
    first_ms = first_retry_ms(topic)
    if alone:
        return first_ms
    return float(min(MAX_RETRY_MS, deadline_ms, first_ms * 2 ** min(failures - 1, 8)))


class Follower:
    """Keeps `catalog`, `registry`, `quarantine` and `members` up to date."""

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
        background: BackgroundTasks,
        bounds: ChangeBounds,
    ) -> None:
        self.store = store
        self.reader = TopicReader(store, self.now)
        self.wire = wire
        self.members = members
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.background = background
        self.bounds = bounds
        self.targets_table = SequencedTable()
        self.tables: dict[Topic, TopicTable] = {
            Topic.CONFIGURATION: TopicTable(frozenset({CONFIGURATION_KEY}), keeps_missing=True),
            Topic.TARGETS: self.targets_table,
            Topic.CRASHES: TopicTable(keeps_missing=True),
        }
        self.registry = Registry(skip_failing(wire.decode_target, "target"))
        self.decode_catalog = skip_failing(wire.decode_catalog, "configuration")
        self.decode_evacuation = wire.decode_evacuation
        self.departures = DepartureExchange(self.registry.departures)
        self.catalog: Catalog | None = None
        self.quarantine = Quarantine(rng.random())
        self.crash_news = CrashNewsExchange()
        self.changed = asyncio.Event()
        self.store_ok: dict[Topic, bool] = {}
        self.load_tree = LoadTree(loads)
        self.sent_revisions: dict[str, int] = {}
        self.received_revisions: dict[str, tuple[int, int]] = {}
        self.last_failure_found_at = -math.inf
        self.lost_peers: set[str] = set()
        self.confirming: set[str] = set()
        self.pushing: set[str] = set()
        self.joined = asyncio.Event()
        self.joined_at = math.inf
        # Called after changes of the crash reports.
        self.on_crash_reports: Callable[[], None] = lambda: None

    def now(self) -> float:
        """Returns the suspend-aware time in milliseconds."""
        return self.clock.monotonic_ms()

    def config_age_ms(self) -> float:
        """Returns the time since the catalog was last known to be the newest."""
        return self.tables[Topic.CONFIGURATION].trusted_age_ms(self.now())

    # Reading the store.

    async def run(self, topic: Topic) -> None:
        """Reads one topic whenever this host is the reader or its copy has reached its deadline."""
        # Before it has joined, every host takes itself for the reader.
        await self.joined.wait()
        joined_at = self.now()
        failures = 0
        while True:
            now = self.now()
            upstream = self.members.upstream(now)
            deadline_ms = self.bounds.deadline_ms(topic)
            age_ms = self.copy_age_ms(topic, joined_at, now)
            if upstream is not None and age_ms < deadline_ms:
                failures = 0
                self.offer_as_reader(upstream)
                await asyncio.sleep(DUTY_CHECK_MS / 1000)
                continue
            if upstream is not None and not failures:
                logs.event(
                    log,
                    "copy_overdue",
                    topic=topic.value,
                    age_ms=round(age_ms),
                    upstream=upstream,
                )
            if not await self.read(topic, self.wait_ms(topic) if upstream is None else 0.0):
                failures += 1
                alone = upstream is None or self.now() - self.members.contact_at > CONTACT_MS
                await self.wait_for_retry(topic, retry_ms(topic, failures, alone, deadline_ms))
                continue
            failures = 0
            if topic is Topic.TARGETS:
                await asyncio.sleep(TARGETS_PERIOD_MS / 1000)

    def offer_as_reader(self, upstream: str) -> None:
        """Tells the other hosts that they may follow this one, once it has a copy from others.

        A host that reads the store tells them so by the result of its first read.
        """
        if self.members.local.store_ok or self.store_ok:
            return
        copied = (Topic.CONFIGURATION, Topic.TARGETS)
        if all(self.tables[topic].next_offset >= 0 for topic in copied):
            self.members.update_local(store_ok=True)
            # From now on this host may follow nobody.
            self.background.spawn(self.push(upstream))

    def wait_ms(self, topic: Topic) -> float:
        """Returns how long the reader's reads of a topic wait for new records."""
        if topic is Topic.CONFIGURATION:
            return config_wait_ms(self.bounds.deadline_ms(topic))
        return CRASHES_WAIT_MS if topic is Topic.CRASHES else 0.0

    def copy_age_ms(self, topic: Topic, joined_at: float, now: float) -> float:
        """Returns the age of a topic's copy, or the time since joining if there is none yet."""
        age_ms = self.tables[topic].age_ms(now)
        return age_ms if math.isfinite(age_ms) else now - joined_at

    async def wait_for_retry(self, topic: Topic, delay_ms: float) -> None:
        """Waits after a failed read, until this host becomes the reader at the latest."""
        first_ms = first_retry_ms(topic)
        await asyncio.sleep(first_ms / 1000)
        for _ in range(int((delay_ms - first_ms) / DUTY_CHECK_MS)):
            if self.members.level(self.now()) == 0:
                return
            await asyncio.sleep(DUTY_CHECK_MS / 1000)

    async def read(self, topic: Topic, wait_ms: float) -> bool:
        """Reads one topic once; returns False if the store did not answer."""
        table = self.tables[topic]
        started = self.now()
        try:
            changes, end = await self.reader.read_changes(
                topic, table, table.poll_ms(wait_ms, started)
            )
        except LogUnavailable as error:
            self.record_store_result(topic, False, str(error))
            return False
        now = self.now()
        back = table.age_ms(now) > OUTAGE_MS and table.confirmed_at > 0
        if back and topic is not Topic.CRASHES:
            self.registry.record_store_return(now)
        confirmed_at, trusted_age_ms = table.confirmed_at, table.trusted_age_ms(now)
        if table.next_offset >= end:
            table.confirm_read(started)
        self.propagate_confirmation(topic, confirmed_at)
        self.propagate_trust(table, trusted_age_ms)
        self.record_store_result(topic, True, "")
        self.apply_entries(topic, changes, "store", now - started)
        return True

    def record_store_result(self, topic: Topic, ok: bool, reason: str) -> None:
        """Records whether a read was answered, and propagates a change of that to peers."""
        result = "answered" if ok else "failed"
        self.metrics.store_reads.inc({"register": topic.value, "result": result})
        if topic is Topic.CRASHES:
            if not ok:
                logs.event(log, "crash_reports_unread", reason=reason)
            return
        was_ok = self.store_ok.get(topic, True)
        self.store_ok[topic] = ok
        all_ok = all(self.store_ok.values())
        if was_ok != ok:
            name = "store_regained" if ok else "store_lost"
            logs.event(log, name, logging.WARNING, topic=topic.value, reason=reason or None)
        if self.members.local.store_ok != all_ok:
            self.members.update_local(store_ok=all_ok)
            self.notify()

    def apply_entries(self, topic: Topic, changes: Changes, source: str, age_ms: float) -> None:
        """Applies new entries of a topic and wakes the waiting syncs."""
        if changes.restored:
            self.record_restore(topic, changes, source)
        new = changes.entries
        if not new:
            return
        if topic is Topic.CONFIGURATION:
            self.apply_catalog(new, source, age_ms)
            self.apply_evacuations(source, age_ms)
        elif topic is Topic.CRASHES:
            self.discard_stored_news()
            self.quarantine.update(new, self.now())
            self.on_crash_reports()
        else:
            for target, change in self.registry.update(new, self.now(), changes.restored):
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

    def record_restore(self, topic: Topic, changes: Changes, source: str) -> None:
        """Logs that a topic was restored from an older copy, and wakes the waiting syncs."""
        table = self.tables[topic]
        logs.event(
            log,
            "store_restored",
            logging.WARNING,
            topic=topic.value,
            era=table.era,
            next_offset=table.next_offset,
            changed=len(changes.entries),
            kept=len(table.kept_keys),
            source=source,
        )
        self.notify()

    def record_leaving(self, target: Target) -> bool:
        """Records that a target's answer said it is leaving, and tells the other hosts.

        Returns False if that was known.
        """
        if not self.registry.mark_leaving(target, Source.ANSWER, self.now()):
            return False
        self.log_leaving(target, Source.ANSWER, None, 0.0)
        self.notify()
        self.push_news(None)
        return True

    def record_reported_leaving(self, reported: list[Incarnation], peer: str) -> None:
        """Takes targets out of use of which another host has told that they are leaving."""
        if not reported:
            return
        self.registry.reindex()
        for incarnation in reported:
            target = self.registry.targets.get(incarnation.name)
            departure = self.registry.departures.find(target) if target is not None else None
            if target is not None and departure is not None:
                self.log_leaving(target, departure.source, peer, self.now() - departure.since)
        self.notify()
        self.push_news(peer)

    def share_crash_entries(self, entries: Sequence[tuple[str, bytes]]) -> None:
        """Tells the other hosts entries of the topic of crash reports that the store lacks."""
        known = self.tables[Topic.CRASHES].entries
        now = self.now()
        added = [
            self.crash_news.add(key, value, now)
            for key, value in entries
            if value and not is_stored(key, value, known.get(key))
        ]
        if any(added):
            self.notify()
            self.push_news(None)

    def discard_stored_news(self) -> None:
        """Ends the entries to tell that the topic has, or had and has deleted since."""
        known = self.tables[Topic.CRASHES].entries
        for key, value in list(self.crash_news.shared):
            if is_stored(key, value, known.get(key)):
                self.crash_news.discard(key, value)

    def record_crash_news(self, reported: list[NewsEntry], peer: str) -> None:
        """Counts crash reports and clearances that another host has told before the topic does.

        Those that the topic has, or had and has deleted since, are ignored.
        """
        self.discard_stored_news()
        new = [e for e in reported if (e.key, e.value) in self.crash_news.shared]
        if not new:
            return
        logs.event(log, "crash_reports_told", peer=peer, count=len(new))
        self.quarantine.update_unread([(entry.key, entry.value) for entry in new], self.now())
        self.on_crash_reports()
        self.notify()
        self.push_news(peer)

    def log_leaving(self, target: Target, source: Source, peer: str | None, age_ms: float) -> None:
        """Logs that a target was taken out of use by an answer, of this host or another one."""
        logs.event(
            log,
            "target_leaving",
            target=target.name,
            service=target.service,
            address=target.address,
            source=source.value,
            peer=peer,
            age_ms=round(age_ms),
        )

    def apply_catalog(self, new: list[Entry], source: str, age_ms: float) -> None:
        """Puts a newer configuration into effect; the version never decreases."""
        for entry in new:
            if entry.key != CONFIGURATION_KEY or not entry.value:
                continue
            catalog = self.decode_catalog(entry.value)
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

    def apply_evacuations(self, source: str, age_ms: float) -> None:
        """Takes the targets of evacuated zones out of use, and those of other zones back in."""
        entries = self.tables[Topic.CONFIGURATION].entries.values()
        zones = evacuated_zones(entries, self.decode_evacuation)
        for zone, evacuated in self.registry.set_evacuated(zones):
            count = len(self.registry.of_zone(zone))
            logs.event(
                log,
                "zone_evacuated" if evacuated else "zone_returned",
                logging.INFO if count else logging.WARNING,
                zone=zone,
                targets=count,
                source=source,
                age_ms=round(age_ms),
            )

    def propagate_confirmation(self, topic: Topic, former_at: float) -> None:
        """Wakes the waiting syncs if the configuration is confirmed as of a later time.

        A confirmation thus takes no longer than a change to reach the lowest hosts of the tree. The
        syncs carry those of the other topics along.
        """
        later_ms = self.tables[topic].confirmed_at - former_at
        if topic is Topic.CONFIGURATION and later_ms >= CONFIRMATION_STEP_MS:
            self.notify()

    def propagate_trust(self, table: TopicTable, former_age_ms: float) -> None:
        """Wakes the waiting syncs if entries are trusted again that were not confirmed for long."""
        if former_age_ms > TRUST_LOST_MS >= table.trusted_age_ms(self.now()):
            self.notify()

    def notify(self) -> None:
        """Wakes the sync requests that wait for changes."""
        self.changed.set()
        self.changed = asyncio.Event()

    def push_news(self, source: str | None) -> None:
        """Tells the upstream host news from this host (None) or another one at once.

        The long poll that waits for it began before, and would delay news at each level of the tree
        by up to SYNC_WAIT_MS.
        """
        upstream = self.members.upstream(self.now())
        if upstream is not None and upstream != source and upstream not in self.pushing:
            self.pushing.add(upstream)
            self.background.spawn(self.push(upstream))

    async def push(self, upstream: str) -> None:
        """Syncs with the upstream host without waiting for changes."""
        try:
            await self.sync(upstream, PUSH_WAIT_MS)
        finally:
            self.pushing.discard(upstream)

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
        self.joined_at = self.now()
        self.joined.set()
        logs.event(log, "joined", members=len(self.members.alive(self.now())))

    async def exchange_members(self) -> None:
        """Compares the membership with random hosts, which also detects failed ones.

        Also calls the seeds that are not known yet, the hosts whose last call failed, and now and
        then a failed host, which may be reachable again.
        """
        now = self.now()
        self.members.expire(now)
        others = [
            m.address for m in self.members.alive(now) if m.address != self.members.local.address
        ]
        chosen = set(self.members.unknown_seeds(now)) | set(self.members.unconfirmed())
        many_fail = now - self.last_failure_found_at < FAILURE_BURST_MS
        probes = PROBES_DURING_FAILURES if many_fail else 1
        chosen.update(self.rng.sample(others, min(probes, len(others))))
        failed = self.members.failed()
        if failed and self.rng.random() < FAILED_PROBE_SHARE:
            chosen.add(self.rng.choice(failed))
        await asyncio.gather(*(self.sync(address, 0.0) for address in chosen))

    async def sync(self, address: str, wait_ms: float) -> bool:
        """Requests updates from one host; returns False if it did not answer.

        Without a wait it also compares the entire membership. Only long polls carry loads.
        """
        requested_at = self.now()
        members = self.members
        revision = members.revision
        changed = members.changes_since(self.sent_revisions.get(address, revision), address)
        known = members.known.get(address)
        if known is not None and known.failed and known not in changed:
            changed.append(known)  # a failed host that is reachable again must cancel its mark
        incarnation, received = self.received_revisions.get(address, (-1, -1))
        if not wait_ms or known is None or known.incarnation != incarnation:
            received = -1
        loads: LoadTable = {}
        loads_age_ms = 0.0
        if wait_ms:
            self.load_tree.expire(requested_at, is_reader=False)
            loads, loads_age_ms = self.load_tree.report_up(requested_at)
        request = SyncRequest(
            sender=members.local,
            config_position=self.tables[Topic.CONFIGURATION].position(),
            targets_position=self.tables[Topic.TARGETS].position(),
            wait_ms=wait_ms,
            members=changed,
            members_known=received,
            members_digest=members.digest() if received < 0 else None,
            loads=loads,
            loads_age_ms=loads_age_ms,
            crashes_position=self.tables[Topic.CRASHES].position(),
            departures=self.departures.request_to(
                address, known.incarnation if known is not None else -1, requested_at
            ),
            crash_news=self.crash_news.request_to(
                address,
                known.incarnation if known is not None else -1,
                requested_at,
                push=wait_ms > 0,
            ),
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
        members.merge([reply.sender, *reply.members], address, now)
        self.sent_revisions[address] = revision
        self.received_revisions[address] = (reply.sender.incarnation, reply.members_revision)
        self.departures.record_sent(address, reply.sender.incarnation, request.departures)
        reported = self.departures.merge_reply(
            address, reply.sender.incarnation, reply.departures, now
        )
        self.record_reported_leaving(reported, address)
        self.crash_news.record_sent(address, reply.sender.incarnation, request.crash_news)
        news = self.crash_news.merge_reply(address, reply.sender.incarnation, reply.crash_news, now)
        self.record_crash_news(news, address)
        # The reply was sent at this time or later; it may have waited unread since.
        replied_at = requested_at + reply.held_ms
        for topic, update in self.updates_by_topic(reply):
            table = self.tables[topic]
            confirmed_at, trusted_age_ms = table.confirmed_at, table.trusted_age_ms(now)
            changes = table.merge_update(update, replied_at, now)
            self.propagate_confirmation(topic, confirmed_at)
            self.propagate_trust(table, trusted_age_ms)
            self.apply_entries(topic, changes, address, now - replied_at + update.age_ms)
        if wait_ms:
            self.load_tree.record_above(reply.loads, reply.loads_age_ms, replied_at)
            self.refresh_loads()
        return True

    async def ping(self, address: str, timeout_ms: float) -> None:
        """Checks that a host answers; raises PeerUnavailable if it does not."""
        request = SyncRequest(
            sender=self.members.local,
            config_position=NO_ENTRIES,
            targets_position=NO_ENTRIES,
            wait_ms=0.0,
            members=[],
            members_known=-1,
            members_digest=None,
            loads={},
            loads_age_ms=0.0,
            crashes_position=NO_ENTRIES,
        )
        await self.peers.call(address, "Sync", request, timeout_ms)

    def updates_by_topic(self, reply: SyncReply) -> list[tuple[Topic, Update]]:
        """Returns the updates in a reply by topic."""
        return [
            (Topic.CRASHES, reply.crashes),
            (Topic.CONFIGURATION, reply.config),
            (Topic.TARGETS, reply.targets),
        ]

    def record_peer_result(self, address: str, ok: bool, reason: str) -> None:
        """Records whether another host answered a call."""
        now = self.now()
        if ok:
            self.members.record_answer(address, now)
            if address in self.lost_peers:
                self.lost_peers.discard(address)
                logs.event(log, "peer_regained", peer=address)
            return
        marked = self.members.record_failure(address, now)
        if not marked and address in self.members.unconfirmed():
            asyncio.get_running_loop().call_later(
                CONFIRM_DELAY_MS / 1000, self.confirm_failure, address
            )
        if marked:
            self.last_failure_found_at = now
            logs.event(log, "member_failed", logging.WARNING, peer=address, reason=reason)
        if address not in self.lost_peers:
            self.lost_peers.add(address)
            logs.event(log, "peer_lost", logging.WARNING, peer=address, reason=reason)

    def confirm_failure(self, address: str) -> None:
        """Calls a host again whose last call failed, unless it has answered since."""
        if address in self.members.unconfirmed() and address not in self.confirming:
            self.confirming.add(address)
            self.background.spawn(self.call_again(address))

    async def call_again(self, address: str) -> None:
        """Calls a host; if that fails again, the failure is recorded as confirmed."""
        try:
            await self.sync(address, 0.0)
        finally:
            self.confirming.discard(address)

    async def handle_sync(self, request: SyncRequest) -> SyncReply:
        """Answers a peer as soon as there is something that it lacks, or after its wait."""
        received_at = now = self.now()
        members = self.members
        sender = request.sender.address
        members.contact_at = now
        members.merge([request.sender, *request.members], sender, now)
        reported = self.departures.merge(sender, request.departures, now)
        self.record_reported_leaving(reported, sender)
        self.record_crash_news(self.crash_news.merge(sender, request.crash_news, now), sender)
        if request.wait_ms > 0:
            self.load_tree.record_below(sender, request.loads, request.loads_age_ms, now)
        if request.wait_ms > 0 and not self.has_newer_entries(request):
            changed = self.changed
            try:
                async with asyncio.timeout(min(request.wait_ms, SYNC_WAIT_MS) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass  # nothing new, but the reply still confirms the entries that the peer has
        now = self.now()
        self.refresh_loads()
        loads: LoadTable = {}
        loads_age_ms = 0.0
        if request.wait_ms > 0:
            loads, loads_age_ms = self.load_tree.report_down(sender, now)
        tables = self.tables
        return SyncReply(
            sender=members.local,
            held_ms=now - received_at,
            members=self.members_for(request),
            members_revision=members.revision,
            config=tables[Topic.CONFIGURATION].changes_since(request.config_position, now),
            targets=tables[Topic.TARGETS].changes_since(request.targets_position, now),
            loads=loads,
            loads_age_ms=loads_age_ms,
            crashes=tables[Topic.CRASHES].changes_since(request.crashes_position, now),
            departures=self.departures.reply_to(sender, request.departures, now),
            crash_news=self.crash_news.reply_to(sender, request.crash_news, now),
        )

    def members_for(self, request: SyncRequest) -> list[Member]:
        """Returns the entries to send to a host: what changed, or all if the lists differ."""
        members = self.members
        sender = request.sender.address
        if request.members_known >= 0:
            found = members.changes_since(request.members_known, sender)
        elif request.members_digest is not None and request.members_digest != members.digest():
            found = members.entries()
        else:
            found = []
        known = members.known.get(sender)
        if known is not None and known.failed and known not in found:
            found = [*found, known]  # the sender must cancel the mark
        return found

    def has_newer_entries(self, request: SyncRequest) -> bool:
        """Returns whether this host has entries that the requesting peer lacks."""
        return (
            self.tables[Topic.CONFIGURATION].has_changes_since(request.config_position)
            or self.tables[Topic.TARGETS].has_changes_since(request.targets_position)
            or self.tables[Topic.CRASHES].has_changes_since(request.crashes_position)
            or self.departures.has_unsent(
                request.departures.revision, request.sender.address, self.now()
            )
            or self.crash_news.has_unsent(request.crash_news, request.sender.address, self.now())
        )

    def refresh_loads(self) -> None:
        """Updates the outstanding work of all other hosts on each engine."""
        now = self.now()
        self.load_tree.update_total(now, is_reader=self.members.upstream(now) is None)

    async def expire(self) -> None:
        """Removes lapsed targets that did not re-register in time, and drops what is not needed."""
        registered = set(map(incarnation_of, self.registry.targets.values()))
        self.registry.departures.retain(registered)
        self.registry.push_backs.expire(self.now())
        self.departures.retain(set(self.members.known))
        self.crash_news.retain(set(self.members.known))
        dropped = self.crash_news.expire(self.quarantine.likely_keys(), self.now())
        if dropped:
            logs.event(log, "crash_reports_expired", count=len(dropped))
            self.quarantine.drop_unread(dropped)
            self.on_crash_reports()
        for target, change in self.registry.expire(self.now()):
            logs.event(log, "target_" + change, target=target.name, reason="lapsed")
        for target in self.registry.warmups.expire(self.registry.targets, self.now()):
            logs.event(log, "target_warm", target=target.name, service=target.service)
        for entry in self.targets_table.pop_new_held():
            known = self.targets_table.entries.get(entry.key)
            logs.event(
                log,
                "late_write_held",
                target=entry.key,
                offset=entry.offset,
                start_unix_ms=entry.revision[0],
                sequence=entry.revision[1],
                known=known.revision[1] if known is not None else None,
            )
