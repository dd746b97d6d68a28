"""Replicates the configuration and leaving marks between hosts, and follows the config topic."""

from __future__ import annotations

import asyncio
import functools
import logging
import random
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec
import uuid6

from savoryfork import defaults
from savoryfork.board import Board, HostView
from savoryfork.membership import ENTRY_SERVICE, HostEntry, Membership
from savoryfork.peers import PeerCaller, PeerUnavailable
from savoryfork.proto import peer_pb2
from savoryfork.publication import ConfigFold
from savoryfork.settings import Settings
from savoryfork.util import logs
from savoryfork.util.timer import Clock
from savoryfork.util.topic import (
    LogClient,
    LogUnavailable,
    Record,
    TopicReader,
    era_of,
    raw_offset,
)

log = logging.getLogger(__name__)

T = TypeVar("T")

# A position beyond every offset, sent to request no records.
NO_RECORDS_WANTED = 2**63 - 1

# Size limit of one reply; a host that is further behind sends another request at once.
REPLY_BYTES = 262_144
MAX_PULL_ROUNDS = 64

# Concurrent calls when exchanging with all hosts.
EXCHANGE_CONCURRENCY = 16
PROPAGATION_RETRY_MS = 200

# Batches leaving marks, so that a lost availability zone causes few large messages instead of many
# small ones.
PUSH_DELAY_MS = 100

# A host without contact for this long may have missed marks that are no longer relayed.
RESYNC_AFTER_MS = 5_000


class ConfigController:
    """Folds the config topic and writes the board's configuration sections.

    `run` reads for the lifetime of the process; `tick`, once a second, writes checkpoints.
    `config_ready` is set once the log has been read to its end or another host's complete
    configuration has been adopted, and is never cleared.
    """

    def __init__(
        self, board: Board, fold: ConfigFold, client: LogClient, clock: Clock, rng: random.Random
    ) -> None:
        self.board = board
        self.fold = fold
        self.client = client
        self.clock = clock
        self.rng = rng
        self.reader = TopicReader(
            client,
            defaults.CONFIG_TOPIC,
            fold,
            wait_ms=defaults.LOG_POLL_WAIT_MS,
            limit=defaults.LOG_READ_LIMIT,
            on_page=self.refresh,
        )
        self.changed = asyncio.Event()
        self.checkpoint_seen = -1
        self.checkpoint_seen_ms = clock.monotonic_ms()
        self.checkpoint_due_ms: float | None = None

    async def run(self) -> None:
        """Reads the topic until cancelled or until a record of a newer schema version."""
        watcher = asyncio.get_running_loop().create_task(self.watch_caught_up())
        try:
            while self.fold.stopped_at is None:
                reading = asyncio.get_running_loop().create_task(self.reader.run())
                stopped = asyncio.get_running_loop().create_task(
                    self.wait_for(lambda: self.fold.stopped_at, None)
                )
                try:
                    await asyncio.wait({reading, stopped}, return_when=asyncio.FIRST_COMPLETED)
                finally:
                    reading.cancel()
                    stopped.cancel()
                    results = await asyncio.gather(reading, stopped, return_exceptions=True)
                if isinstance(results[0], Exception):
                    log.error("event=config_reader_failed", exc_info=results[0])
                    await asyncio.sleep(1)
        finally:
            watcher.cancel()

    async def watch_caught_up(self) -> None:
        """Refreshes the board once caught up; an empty log has no page that would do so."""
        await self.reader.caught_up.wait()
        self.refresh()

    def refresh(self) -> None:
        """Writes the fold's state to the board and wakes the tasks that wait for a change."""
        board, fold = self.board, self.fold
        if fold.configuration.offset > board.configuration.offset and not fold.lost:
            board.configuration = fold.configuration
            logs.event(
                log,
                "config_in_effect",
                offset=fold.configuration.offset,
                workspaces=len(fold.configuration.workspaces),
                pipelines=len(fold.configuration.pipelines),
            )
        board.config_position = max(board.config_position, fold.position)
        if self.reader.caught_up.is_set():
            self.mark_ready("log")
        self.changed.set()
        self.changed = asyncio.Event()

    def mark_ready(self, source: str) -> None:
        """Marks the configuration as complete."""
        if not self.board.config_ready:
            self.board.config_ready = True
            logs.event(log, "config_ready", source=source, position=self.fold.position)

    # Publications that the log lost.

    async def repeat_lost(self) -> None:
        """Appends publications again that the log lost when it came back from an older copy.

        One at a time, as a later one may be based on the new number of an earlier one. All hosts
        that hold them do so, at the random phases of their ticks; the fold ignores repeated ids.
        """
        fold = self.fold
        for publication_id in sorted(fold.lost, key=lambda known: fold.lost[known].offset):
            if publication_id not in fold.lost or not self.reader.caught_up.is_set():
                continue
            record = fold.record_to_repeat(publication_id)
            try:
                await self.client.append(defaults.CONFIG_TOPIC, [record])
            except LogUnavailable:
                return
            logs.event(log, "publication_repeated", logging.WARNING, id=publication_id)
            await self.wait_for(
                functools.partial(self.settled, publication_id), defaults.LOG_TIMEOUT_MS
            )

    def settled(self, publication_id: str) -> bool | None:
        """Returns True if the log has a verdict of a publication that it lost, else None."""
        return True if publication_id not in self.fold.lost else None

    async def wait_for(self, probe: Callable[[], T | None], timeout_ms: float | None) -> T | None:
        """Waits until `probe` returns a value other than None; returns None on timeout."""
        try:
            async with asyncio.timeout(None if timeout_ms is None else max(0, timeout_ms) / 1000):
                while (found := probe()) is None:
                    await self.changed.wait()
                return found
        except TimeoutError:
            return probe()

    # Checkpoints.

    def checkpoint_delay_ms(self) -> float | None:
        """Returns the maximum delay of the next checkpoint, None if none is needed.

        The log's retention is unknown until it has dropped records. From then on, a checkpoint is
        due when a quarter of the retained records is not yet covered by one.
        """
        fold = self.fold
        if raw_offset(fold.position) == 0 or fold.stopped_at is not None:
            return None
        if not (self.board.config_ready and self.board.log.available):
            return None
        now = self.clock.monotonic_ms()
        if fold.checkpoint_through > self.checkpoint_seen:
            self.checkpoint_seen, self.checkpoint_seen_ms = fold.checkpoint_through, now
            self.checkpoint_due_ms = None
        uncovered = fold.position - 1 - fold.checkpoint_through
        retained = raw_offset(fold.position) - self.reader.start
        if self.reader.start > 0 and uncovered >= max(8, retained // 2):
            return defaults.CHECKPOINT_URGENT_DELAY_MS
        interval = defaults.CHECKPOINT_EVERY_RECORDS
        if self.reader.start > 0:
            interval = min(interval, max(8, retained // 4))
        if uncovered >= interval or now - self.checkpoint_seen_ms >= defaults.CHECKPOINT_EVERY_MS:
            return defaults.CHECKPOINT_DELAY_MS
        return None

    async def tick(self) -> None:
        """Repeats lost publications, then writes a checkpoint after a random delay unless another
        host has written one.
        """
        if self.fold.lost:
            await self.repeat_lost()
        delay_ms = self.checkpoint_delay_ms()
        now = self.clock.monotonic_ms()
        if delay_ms is None:
            self.checkpoint_due_ms = None
            return
        latest = now + delay_ms
        if self.checkpoint_due_ms is None or self.checkpoint_due_ms > latest:
            self.checkpoint_due_ms = now + self.rng.uniform(0, delay_ms)
        if now >= self.checkpoint_due_ms:
            self.checkpoint_due_ms = None
            await self.write_checkpoint()

    async def write_checkpoint(self) -> None:
        """Appends a checkpoint; a lost or duplicate one is harmless."""
        record = self.fold.checkpoint(str(uuid6.uuid7()))
        try:
            await self.client.append(defaults.CONFIG_TOPIC, [record])
        except LogUnavailable:
            return
        logs.event(log, "config_checkpoint", through=record["through"])


class Gossip:
    """Exchanges positions, missing records and leaving marks with other hosts.

    `tick` runs once a second on the timer; `handle` serves other hosts. Marks are relayed for a
    limited time after this host received them; a host that was out of contact requests all of
    them by sending one empty mark.
    """

    def __init__(
        self,
        board: Board,
        controller: ConfigController,
        membership: Membership,
        client: PeerCaller,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        incarnation: str,
    ) -> None:
        self.board = board
        self.controller = controller
        self.fold = controller.fold
        self.membership = membership
        self.client = client
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.incarnation = incarnation
        self.send_counts: dict[tuple[str, str], int] = {}
        self.not_relayed: set[tuple[str, str]] = set()
        self.last_contact_ms: float | None = None
        self.pulling: asyncio.Task[None] | None = None
        self.pushing: asyncio.Task[None] | None = None
        self.push_wanted = False

    # Server side.

    async def handle(self, request: peer_pb2.ExchangeRequest) -> peer_pb2.ExchangeReply:
        """Serves an Exchange call."""
        wants_all = any(not mark.target for mark in request.leaving)
        position = min(request.config_position, NO_RECORDS_WANTED)
        peer_position = position
        if position == NO_RECORDS_WANTED:
            view = self.board.hosts.get(request.host)
            peer_position = view.config_position if view is not None else 0
        self.membership.update_peer(
            request.host, self.decode_offset(request.config_offset), peer_position
        )
        self.apply_marks(request.leaving, request.host)
        reply = peer_pb2.ExchangeReply(
            host=self.settings.host,
            incarnation=self.incarnation,
            config_position=self.fold.position,
            config_offset=self.fold.configuration.offset + 1,
            # A host that starts must not take over a configuration that lacks what the log lost.
            ready=self.board.config_ready and not self.fold.lost,
        )
        received = {(mark.target, mark.incarnation) for mark in request.leaving}
        reply.leaving.extend(self.select_marks(received, all_marks=wants_all))
        if request.hosts_wanted:
            own_entry = HostEntry(
                self.settings.host,
                ENTRY_SERVICE,
                self.settings.peer_address,
                self.settings.availability_zone,
                self.incarnation,
                "live",
            )
            reply.hosts = msgspec.json.encode([own_entry, *self.membership.entries()])
        if position < self.fold.position:
            self.add_records(reply, position)
        elif self.fold.position < position < NO_RECORDS_WANTED:
            self.start_pull(request.host)
        return reply

    @staticmethod
    def decode_offset(offset: int) -> int:
        """Decodes an offset, sent plus one so that "none yet" is 0 and takes no byte."""
        return offset - 1

    def add_records(self, reply: peer_pb2.ExchangeReply, position: int) -> None:
        """Adds the records from `position` on, or a snapshot if they are no longer kept.

        The records of a newer era may not continue those that the requester has.
        """
        same_era = era_of(position) == era_of(self.fold.position)
        records = self.fold.records_from(position, REPLY_BYTES) if same_era else None
        if records is None:
            reply.snapshot = self.fold.snapshot()
            return
        for record in records:
            reply.records.add(
                offset=record.offset, time_ms=max(0, int(record.time_ms)), value=record.value
            )

    def start_pull(self, host: str) -> None:
        """Starts to fetch records from a host that is ahead."""
        view = self.board.hosts.get(host)
        if view is None or self.fold.stopped_at is not None:
            return
        if self.pulling is None or self.pulling.done():
            self.pulling = asyncio.get_running_loop().create_task(self.pull(view.address, host))

    # Client side.

    def build_request(
        self, want_records: bool, all_marks: bool = False
    ) -> peer_pb2.ExchangeRequest:
        """Builds a request for leaving marks and, with `want_records`, for missing records."""
        want_records = want_records and self.fold.stopped_at is None
        request = peer_pb2.ExchangeRequest(
            host=self.settings.host,
            incarnation=self.incarnation,
            config_position=self.fold.position if want_records else NO_RECORDS_WANTED,
            config_offset=self.fold.configuration.offset + 1,
            hosts_wanted=self.needs_host_list(),
        )
        request.leaving.extend(self.select_marks(set()))
        if all_marks:
            request.leaving.add()
        return request

    async def exchange(
        self, address: str, host: str, *, want_records: bool = True, all_marks: bool = False
    ) -> peer_pb2.ExchangeReply | None:
        """Exchanges with one host; returns None if it did not answer."""
        request = self.build_request(want_records, all_marks)
        try:
            reply = await self.client.call(address, "Exchange", request, defaults.PEER_TIMEOUT_MS)
        except PeerUnavailable:
            self.membership.mark_unreachable(host)
            return None
        self.last_contact_ms = self.clock.monotonic_ms()
        self.apply_hosts(reply)
        self.membership.update_peer(
            reply.host, self.decode_offset(reply.config_offset), reply.config_position
        )
        self.apply_marks(reply.leaving, reply.host, relay=not all_marks)
        self.apply_configuration(reply)
        return reply

    def needs_host_list(self) -> bool:
        """Returns True if neither the platform nor another host has supplied a host list."""
        return not self.board.hosts and self.membership.listed_ms is None

    def apply_hosts(self, reply: peer_pb2.ExchangeReply) -> None:
        """Adopts another host's list while the platform's can't be read."""
        if not reply.hosts or not self.needs_host_list():
            return
        try:
            entries = msgspec.json.decode(reply.hosts, type=list[HostEntry])
        except msgspec.MsgspecError:
            logs.event(log, "peer_hosts_unreadable", logging.WARNING, host=reply.host)
            return
        self.membership.apply_host_list(entries)
        logs.event(log, "hosts_from_peer", host=reply.host, entries=len(entries))

    def apply_configuration(self, reply: peer_pb2.ExchangeReply) -> None:
        """Folds the records or the snapshot of a reply."""
        before = self.fold.position
        if reply.snapshot:
            self.fold.install_snapshot(reply.snapshot)
        for message in reply.records:
            try:
                value = msgspec.json.decode(message.value)
            except (msgspec.MsgspecError, RecursionError):
                logs.event(log, "peer_record_unreadable", logging.WARNING, host=reply.host)
                break
            self.fold.apply(Record(message.offset, message.time_ms, value))
        if self.fold.position > before or self.fold.stopped_at is not None:
            self.controller.refresh()

    async def pull(self, address: str, host: str) -> None:
        """Exchanges with one host until this host has caught up with it."""
        for _ in range(MAX_PULL_ROUNDS):
            before = self.fold.position
            reply = await self.exchange(address, host)
            if reply is None or reply.config_position <= self.fold.position:
                return
            if self.fold.position == before:
                return

    async def tick(self) -> None:
        """Exchanges with a few random hosts."""
        now = self.clock.monotonic_ms()
        resync = self.last_contact_ms is None or now - self.last_contact_ms > RESYNC_AFTER_MS
        self.prune_marks()
        if self.needs_host_list():
            await self.exchange_all(self.bootstrap_hosts().values(), want_records=False)
        if not self.board.config_ready and self.log_unreadable():
            await self.bootstrap()
        chosen = self.sample_hosts(defaults.EXCHANGE_FANOUT)
        replies = await asyncio.gather(
            *(
                self.exchange(view.address, view.name, all_marks=resync and index == 0)
                for index, view in enumerate(chosen)
            )
        )
        for view, reply in zip(chosen, replies, strict=True):
            if reply is not None and reply.config_position > self.fold.position:
                self.start_pull(view.name)

    def sample_hosts(self, count: int) -> list[HostView]:
        """Returns up to `count` random hosts that are not leaving."""
        live = self.live_hosts()
        return self.rng.sample(live, min(count, len(live)))

    def live_hosts(self) -> list[HostView]:
        """Returns the other hosts that are not leaving, ordered by name."""
        return [view for _, view in sorted(self.board.hosts.items()) if not view.leaving]

    def log_unreadable(self) -> bool:
        """Returns True if the configuration can't currently be read from the log."""
        return not self.board.log.available or self.controller.reader.expired

    async def exchange_all(
        self, views: Iterable[HostView], *, want_records: bool
    ) -> list[tuple[HostView, peer_pb2.ExchangeReply]]:
        """Exchanges with all given hosts with bounded concurrency; returns their replies."""
        permits = asyncio.Semaphore(EXCHANGE_CONCURRENCY)

        async def exchange_one(view: HostView) -> tuple[HostView, peer_pb2.ExchangeReply | None]:
            async with permits:
                return view, await self.exchange(view.address, view.name, want_records=want_records)

        replies = await asyncio.gather(*(exchange_one(view) for view in views))
        return [(view, reply) for view, reply in replies if reply is not None]

    async def bootstrap(self) -> bool:
        """Adopts the configuration of the most advanced host; returns True on success.

        Only hosts whose configuration is complete are considered. If the most advanced one does
        not answer again, no other is used: the next tick retries with all hosts.
        """
        if self.fold.stopped_at is not None:
            return False
        candidates = self.bootstrap_hosts()
        replies = await self.exchange_all(candidates.values(), want_records=False)
        ready = [(reply.config_position, view.name) for view, reply in replies if reply.ready]
        if not ready:
            return False
        position, name = max(ready)
        if self.fold.position < position:
            await self.pull(candidates[name].address, name)
        if self.fold.position < position:
            return False
        self.controller.mark_ready("peer")
        self.controller.refresh()
        return True

    def bootstrap_hosts(self) -> dict[str, HostView]:
        """Returns known hosts by name, and seed peers that are not among them by address."""
        hosts = dict(self.board.hosts)
        known = {self.settings.peer_address, *(view.address for view in hosts.values())}
        for address in self.settings.seed_peers:
            if address not in known:
                hosts[address] = HostView(address, address, "", "")
        return hosts

    async def wait_propagated(
        self, offset: int, deadline_ms: float
    ) -> tuple[dict[str, int], list[str]]:
        """Waits until every live host reports `offset`, by the monotonic `deadline_ms`.

        An exchange makes a host that is behind fetch the records. Returns the reported offsets by
        host, and the names of the live hosts that did not reach `offset`.
        """
        reported = {self.settings.host: self.board.configuration.offset}
        while True:
            pending = []
            for view in self.live_hosts():
                if view.config_offset >= offset:
                    reported[view.name] = view.config_offset
                elif reported.get(view.name, -1) < offset:
                    pending.append(view)
            remaining_ms = deadline_ms - self.clock.monotonic_ms()
            if not pending or remaining_ms <= 0:
                return reported, [view.name for view in pending]
            try:
                async with asyncio.timeout(remaining_ms / 1000):
                    for view, reply in await self.exchange_all(pending, want_records=True):
                        reported[view.name] = self.decode_offset(reply.config_offset)
                    if any(reported.get(view.name, -1) < offset for view in pending):
                        await asyncio.sleep(PROPAGATION_RETRY_MS / 1000)
            except TimeoutError:
                continue

    # Leaving marks.

    def apply_marks(
        self, marks: Iterable[peer_pb2.Leaving], host: str, *, relay: bool = True
    ) -> None:
        """Applies another host's marks and pushes new ones at once unless `relay` is false."""
        new = False
        for mark in marks:
            if mark.target and self.membership.mark_leaving(mark.target, mark.incarnation, host):
                if relay:
                    new = True
                else:
                    self.not_relayed.add((mark.target, mark.incarnation))
        if new:
            self.start_push()

    def select_marks(
        self, known: set[tuple[str, str]], *, all_marks: bool = False
    ) -> list[peer_pb2.Leaving]:
        """Returns the marks to send: least often sent first, then newest first."""
        oldest = self.clock.monotonic_ms() - defaults.LEAVING_RELAY_MS
        marked_ms = self.membership.leaving
        keys = [
            key
            for key in self.membership.leaving_marks()
            if key not in known
            and (all_marks or (marked_ms[key] >= oldest and key not in self.not_relayed))
        ]
        if not all_marks:
            # `sorted` is stable, so the newest stay first among equals.
            keys = sorted(keys, key=lambda key: self.send_counts.get(key, 0))
        chosen = keys[: defaults.LEAVING_PER_EXCHANGE]
        for key in chosen:
            self.send_counts[key] = self.send_counts.get(key, 0) + 1
        return [peer_pb2.Leaving(target=target, incarnation=inc) for target, inc in chosen]

    def prune_marks(self) -> None:
        """Drops the state of marks that membership no longer holds."""
        known = self.membership.leaving
        self.send_counts = {key: count for key, count in self.send_counts.items() if key in known}
        self.not_relayed &= known.keys()

    def start_push(self) -> None:
        """Starts a push, or schedules another after the one in progress."""
        self.push_wanted = True
        if self.pushing is None or self.pushing.done():
            self.pushing = asyncio.get_running_loop().create_task(self.push_while_wanted())

    async def push_while_wanted(self) -> None:
        """Pushes marks in batches while new ones arrive."""
        while self.push_wanted:
            await asyncio.sleep(PUSH_DELAY_MS / 1000)
            self.push_wanted = False
            await self.push_leaving()

    async def push_leaving(self) -> None:
        """Sends recent marks to a few random hosts at once.

        Each host that receives a mark for the first time does the same. Exchanges once a second
        alone would need about five rounds for 320 hosts, longer than the limit of 3 s.
        """
        await asyncio.gather(
            *(
                self.exchange(view.address, view.name, want_records=False)
                for view in self.sample_hosts(defaults.EXCHANGE_FANOUT)
            )
        )

    async def stop(self) -> None:
        """Cancels the pull and the push in progress."""
        tasks = [task for task in (self.pulling, self.pushing) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
