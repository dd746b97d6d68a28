"""Soft owner of claim partitions: batches appends, reads them back and replies from the fold."""

from __future__ import annotations

import asyncio
import enum
import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
import xxhash

from savoryfork import defaults
from savoryfork.claimfold import (
    EXPIRED,
    LOST,
    RELEASED,
    RUNNING,
    ClaimFold,
    Entry,
    KeyId,
    KeyState,
    outcome_settled,
    release_settled,
)
from savoryfork.proto import peer_pb2
from savoryfork.util import logs
from savoryfork.util.timer import Clock
from savoryfork.util.topic import (
    LogClient,
    LogRestored,
    LogUnavailable,
    OffsetExpired,
    TopicReader,
    report_restored,
)

log = logging.getLogger(__name__)

# Delay before a failed append is retried, unless its records have been read by then.
APPEND_RETRY_MS = 100

# Delay before claims that the log lost and that could not be appended again are tried once more.
REPEAT_RETRY_MS = 1_000

EXPIRED_STATE = KeyState(EXPIRED, "", "", "", "", 0, 0, None)
LOST_STATE = KeyState(LOST, "", "", "", "", 0, 0, None)


class Status(enum.IntEnum):
    """As in peer.proto. Only NOT_OWNER guarantees that nothing was appended."""

    SETTLED = 0
    LOG_UNAVAILABLE = 1
    NOT_OWNER = 2


class Reply(NamedTuple):
    """An owner's reply; `state` is None if no claim of the key has won."""

    status: Status
    state: KeyState | None = None


class Queued(NamedTuple):
    """A record to be appended, unless `until_ms` (monotonic) has passed."""

    record: dict[str, Any]
    size: int
    until_ms: float


def partition_of(workspace: str, key: str) -> int:
    """Returns the partition that holds the records of a key."""
    return xxhash.xxh3_64_intdigest(f"{workspace}\x00{key}".encode()) % defaults.CLAIM_PARTITIONS


def topic_of(partition: int) -> str:
    """Returns the topic of a partition."""
    return f"claims-{partition}"


class ClaimReader(TopicReader):
    """Follows a claims topic; restarts at the oldest record after falling behind retention.

    `on_restored` is called when the log came back from an older copy.
    """

    on_restored: Callable[[], None] = staticmethod(lambda: None)

    async def restart(self, error: OffsetExpired) -> None:
        """Rebuilds the fold from the retained records; the fold tracks which keys they cover."""
        assert isinstance(self.fold, ClaimFold)
        self.caught_up.clear()
        self.fold.restart(error.start)

    async def follow_restored(self, error: LogRestored) -> None:
        """Reads the topic again from its start; the partition then repeats what the log lost."""
        assert isinstance(self.fold, ClaimFold)
        self.caught_up.clear()
        report_restored(self.topic, self.fold.position, error)
        self.fold.restart_restored(error)
        self.era, self.position = len(error.eras), self.fold.position
        self.on_restored()


class Partition:
    """One partition while this host serves it.

    Records that arrive while an append is in flight, or within the linger time, are batched into
    the next one. A record is confirmed only once the reader has applied it.
    """

    def __init__(self, number: int, client: LogClient, clock: Clock) -> None:
        self.topic = topic_of(number)
        self.client = client
        self.clock = clock
        self.fold = ClaimFold()
        self.reader = ClaimReader(
            client,
            self.topic,
            self.fold,
            wait_ms=defaults.LOG_POLL_WAIT_MS,
            limit=defaults.LOG_READ_LIMIT,
            on_page=self.on_page,
        )
        self.reader.on_restored = self.start_repeating
        self.last_used_ms = clock.monotonic_ms()
        self.queue: list[Queued] = []
        self.unconfirmed: dict[str, asyncio.Future[None]] = {}
        self.watchers: dict[KeyId, list[asyncio.Future[None]]] = {}
        self.unread_ids: set[str] = set()
        self.batch_read = asyncio.Event()
        self.appender: asyncio.Task[None] | None = None
        self.repeater: asyncio.Task[None] | None = None
        self.task = asyncio.get_running_loop().create_task(self.reader.run(), name=self.topic)

    def on_page(self) -> None:
        """Wakes the waiters for the records and keys of the page."""
        for record_id, key_id in self.fold.recent:
            landed = self.unconfirmed.pop(record_id, None)
            if landed is not None and not landed.done():
                landed.set_result(None)
            for watcher in self.watchers.pop(key_id, ()):
                if not watcher.done():
                    watcher.set_result(None)
            self.unread_ids.discard(record_id)
        self.fold.recent.clear()
        if not self.unread_ids:
            self.batch_read.set()

    def start_repeating(self) -> None:
        """Starts to append claims again that the log lost, unless that is going on."""
        if self.repeater is None or self.repeater.done():
            self.repeater = asyncio.get_running_loop().create_task(self.repeat_lost())

    async def repeat_lost(self) -> None:
        """Appends claims and outcomes again that the log lost, until they are read back."""
        while True:
            await self.reader.caught_up.wait()
            records = self.fold.records_to_repeat()
            if not records:
                self.fold.entries_before = {}
                return
            logs.event(
                log, "claims_repeated", logging.WARNING, topic=self.topic, records=len(records)
            )
            until_ms = self.clock.monotonic_ms() + defaults.CLAIM_TIMEOUT_MS
            landed = await asyncio.gather(
                *(
                    self.append(record, len(msgspec.json.encode(record)), until_ms)
                    for record in records
                )
            )
            if not all(landed):
                await asyncio.sleep(REPEAT_RETRY_MS / 1000)

    async def caught_up(self, until_ms: float) -> bool:
        """Waits until the reader has caught up since its last start; False on time-out."""
        if self.reader.caught_up.is_set():
            return True
        return await self.wait_until(until_ms, self.reader.caught_up.wait())

    async def refresh(self, until_ms: float) -> bool:
        """Waits until the fold has reached the current end of the log; False on failure."""
        try:
            async with asyncio.timeout(self.left_ms(until_ms) / 1000):
                page = await self.client.read(self.topic, self.fold.position, 1)
                while self.fold.position < page.end:
                    async with self.reader.changed:
                        if self.fold.position < page.end:
                            await self.reader.changed.wait()
        except (TimeoutError, LogUnavailable, OffsetExpired):
            return False
        return self.reader.caught_up.is_set()

    async def append(self, record: dict[str, Any], size: int, until_ms: float) -> bool:
        """Appends a record and waits until it has been read back; False on time-out."""
        landed = self.unconfirmed.get(record["id"])
        if landed is None:
            landed = self.unconfirmed[record["id"]] = asyncio.get_running_loop().create_future()
            self.queue.append(Queued(record, size, until_ms))
            if self.appender is None or self.appender.done():
                self.appender = asyncio.get_running_loop().create_task(self.append_queued())
        try:
            return await self.wait_until(until_ms, asyncio.shield(landed))
        finally:
            if self.unconfirmed.get(record["id"]) is landed:
                del self.unconfirmed[record["id"]]

    async def append_queued(self) -> None:
        """Appends until the queue is empty, one batch at a time."""
        while self.queue:
            await asyncio.sleep(defaults.CLAIM_LINGER_MS / 1000)
            batch = self.next_batch()
            if batch and not await self.append_batch(batch):
                self.queue[:0] = [item for item in batch if item.record["id"] in self.unread_ids]

    def next_batch(self) -> list[Queued]:
        """Takes records from the queue up to the batch limits; drops those past their deadline."""
        now = self.clock.monotonic_ms()
        batch: list[Queued] = []
        taken = size = 0
        for item in self.queue:
            if batch and size + item.size > defaults.CLAIM_BATCH_BYTES:
                break
            taken += 1
            if now < item.until_ms and item.record["id"] in self.unconfirmed:
                batch.append(item)
                size += item.size
            if len(batch) == defaults.CLAIM_BATCH_RECORDS:
                break
        del self.queue[:taken]
        return batch

    async def append_batch(self, batch: list[Queued]) -> bool:
        """Makes one append; False if it failed and some of its records have not been read back.

        An append whose response is lost ends as soon as its records have been read back.
        """
        self.unread_ids = {item.record["id"] for item in batch}
        self.batch_read.clear()
        longest_ms = max(item.until_ms for item in batch)
        timeout_ms = self.left_ms(longest_ms) + 1
        records = [item.record for item in batch]
        call = asyncio.ensure_future(self.client.append(self.topic, records, timeout_ms))
        read = asyncio.ensure_future(self.batch_read.wait())
        try:
            await asyncio.wait({call, read}, return_when=asyncio.FIRST_COMPLETED)
            error = call.exception() if call.done() else None
            if error is None:
                return True
            if not isinstance(error, LogUnavailable):
                logs.event(
                    log, "claim_append_failed", logging.ERROR, topic=self.topic, error=repr(error)
                )
            await asyncio.wait({read}, timeout=APPEND_RETRY_MS / 1000)
            return read.done()
        finally:
            read.cancel()
            call.cancel()
            await asyncio.gather(read, call, return_exceptions=True)

    async def watch(self, key_id: KeyId, until_ms: float) -> bool:
        """Waits for the next record of a key; False on time-out."""
        changed = asyncio.get_running_loop().create_future()
        self.watchers.setdefault(key_id, []).append(changed)
        try:
            return await self.wait_until(until_ms, changed)
        finally:
            watchers = self.watchers.get(key_id, [])
            if changed in watchers:
                watchers.remove(changed)
                if not watchers:
                    del self.watchers[key_id]

    async def wait_until(self, until_ms: float, awaitable: Any) -> bool:
        """Awaits `awaitable` until a monotonic time; False on time-out."""
        try:
            async with asyncio.timeout(self.left_ms(until_ms) / 1000):
                await awaitable
        except TimeoutError:
            return False
        return True

    def left_ms(self, until_ms: float) -> float:
        """Returns the time until `until_ms`, at least 0."""
        return max(0.0, until_ms - self.clock.monotonic_ms())

    async def stop(self) -> None:
        """Stops reading and appending."""
        tasks = [t for t in (self.task, self.appender, self.repeater) if t is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class ClaimOwner:
    """Serves claim partitions to this host and to its peers.

    Any host may serve any partition at any time, since every reply is based on records read back
    from the log.
    """

    def __init__(self, client: LogClient, clock: Clock) -> None:
        self.client = client
        self.clock = clock
        self.partitions: dict[int, Partition] = {}

    def partition(self, number: int) -> Partition:
        """Returns the partition; starts its reader if needed."""
        found = self.partitions.get(number)
        if found is None or found.task.done():
            if found is not None and not found.task.cancelled():
                logs.event(
                    log,
                    "claim_reader_failed",
                    logging.ERROR,
                    topic=found.topic,
                    error=repr(found.task.exception()),
                )
            found = self.partitions[number] = Partition(number, self.client, self.clock)
        found.last_used_ms = self.clock.monotonic_ms()
        return found

    async def tick(self) -> None:
        """Stops partitions unused for `defaults.CLAIM_IDLE_MS`; to be called periodically."""
        now = self.clock.monotonic_ms()
        for number, partition in list(self.partitions.items()):
            idle = not (
                partition.unconfirmed or partition.watchers or partition.fold.entries_before
            )
            if idle and now - partition.last_used_ms >= defaults.CLAIM_IDLE_MS:
                del self.partitions[number]
                await partition.stop()

    async def stop(self) -> None:
        """Stops serving."""
        partitions, self.partitions = list(self.partitions.values()), {}
        for partition in partitions:
            await partition.stop()

    async def claim(self, record: dict[str, Any], size: int, budget_ms: float) -> Reply:
        """Claims a key; the claim has won if the state is running and its claim is the record's id.

        If the key is held already, replies without an append, from a fold that has read
        everything up to the end of the log as of the request.
        """
        until_ms = self.clock.monotonic_ms() + budget_ms
        key_id = (record["workspace"], record["key"])
        partition = self.partition(partition_of(*key_id))
        fold = partition.fold
        if not await partition.caught_up(until_ms):
            return Reply(Status.NOT_OWNER)
        entry = fold.get(*key_id)
        if entry is not None and entry.state == RUNNING and entry.claim != record["id"]:
            if not await partition.refresh(until_ms):
                return Reply(Status.NOT_OWNER)
            entry = fold.get(*key_id)
        held = entry is not None and entry.state not in ("", RELEASED)
        decided = entry is not None and entry.is_decided(record["id"])
        if not (held or decided or fold.expired(record["key"]) or fold.lost(record["key"])):
            # An empty fold is not refused: the append itself shows from when it is complete.
            if not fold.complete(record["key"]) and fold.now_ms:
                return Reply(Status.NOT_OWNER)
            if not await partition.append(record, size, until_ms):
                return Reply(Status.LOG_UNAVAILABLE)
        return await self.reply(partition, key_id, until_ms)

    async def settle(self, record: dict[str, Any], size: int, budget_ms: float) -> Reply:
        """Appends a release or an outcome; SETTLED once it is read back or would change nothing.

        The state is expired if the key is past the window, in which case nothing is appended.
        """
        until_ms = self.clock.monotonic_ms() + budget_ms
        key_id = (record["workspace"], record["key"])
        partition = self.partition(partition_of(*key_id))
        if not await partition.caught_up(until_ms):
            return Reply(Status.NOT_OWNER)
        if partition.fold.expired(record["key"]):
            return Reply(Status.SETTLED, EXPIRED_STATE)
        settled = release_settled if record["type"] == "release" else outcome_settled
        if settled(partition.fold.get(*key_id), record["claim"]):
            return Reply(Status.SETTLED)
        landed = await partition.append(record, size, until_ms)
        return Reply(Status.SETTLED if landed else Status.LOG_UNAVAILABLE)

    async def lookup(self, workspace: str, key: str, wait_ms: float, budget_ms: float) -> Reply:
        """Returns the state of a key, waiting up to `wait_ms` while its run has not ended.

        `budget_ms` bounds the time to read up to the end of the log as of the request.
        """
        now = self.clock.monotonic_ms()
        key_id = (workspace, key)
        partition = self.partition(partition_of(workspace, key))
        fold = partition.fold
        if not await partition.caught_up(now + budget_ms):
            return Reply(Status.LOG_UNAVAILABLE)
        entry = fold.get(workspace, key)
        if entry is None or entry.state in ("", RELEASED, RUNNING):
            if not await partition.refresh(now + budget_ms):
                return Reply(Status.LOG_UNAVAILABLE)
            while (entry := fold.get(workspace, key)) is not None and entry.state == RUNNING:
                if not await partition.watch(key_id, now + wait_ms):
                    break
        until_ms = max(now + budget_ms, self.clock.monotonic_ms() + defaults.CLAIM_ATTEMPT_MS)
        return await self.reply(partition, key_id, until_ms)

    async def reply(self, partition: Partition, key_id: KeyId, until_ms: float) -> Reply:
        """Builds the reply for a key from the current fold."""
        workspace, key = key_id
        if not await partition.caught_up(until_ms):
            return Reply(Status.LOG_UNAVAILABLE)
        if partition.fold.expired(key):
            return Reply(Status.SETTLED, EXPIRED_STATE)
        if not partition.fold.complete(key):
            return Reply(Status.LOG_UNAVAILABLE)
        entry = partition.fold.get(workspace, key)
        free = entry is None or entry.state in ("", RELEASED)
        if free and partition.fold.lost(key):
            return Reply(Status.SETTLED, LOST_STATE)
        state = entry.view() if entry is not None else None
        if entry is not None and state is not None and entry.answer_offset >= 0:
            found, answer = await self.stored_answer(partition, entry, until_ms)
            if not found:
                return Reply(Status.LOG_UNAVAILABLE)
            state = state._replace(answer=answer)
        return Reply(Status.SETTLED, state)

    async def stored_answer(
        self, partition: Partition, entry: Entry, until_ms: float
    ) -> tuple[bool, Any]:
        """Reads a large answer from the log; returns whether it was found, and the answer."""
        offset = entry.answer_offset
        try:
            async with asyncio.timeout(partition.left_ms(until_ms) / 1000):
                page = await self.client.read(partition.topic, offset, 1)
        except (TimeoutError, LogUnavailable, OffsetExpired):
            return False, None
        if not page.records or page.records[0].offset != offset:
            return False, None
        return True, page.records[0].value["answer"]

    async def handle_claim(self, request: peer_pb2.ClaimRequest) -> peer_pb2.ClaimReply:
        """Handles a peer's Claim."""
        record = decode(request)
        return encode(await self.claim(record, len(request.record), request.budget_ms))

    async def handle_settle(self, request: peer_pb2.ClaimRequest) -> peer_pb2.ClaimReply:
        """Handles a peer's Settle."""
        record = decode(request)
        return encode(await self.settle(record, len(request.record), request.budget_ms))

    async def handle_lookup(self, request: peer_pb2.LookupRequest) -> peer_pb2.ClaimReply:
        """Handles a peer's Lookup."""
        check_partition(request.partition, request.workspace, request.key)
        budget_ms = defaults.CLAIM_ATTEMPT_MS
        return encode(await self.lookup(request.workspace, request.key, request.wait_ms, budget_ms))


def check_partition(partition: int, workspace: str, key: str) -> None:
    """Raises ValueError if a peer maps the key to another partition.

    Records of one key in two topics would have no common order.
    """
    if partition != partition_of(workspace, key):
        raise ValueError(f"partition {partition} does not hold this key")


def decode(request: peer_pb2.ClaimRequest) -> dict[str, Any]:
    """Decodes the record of a request."""
    record = msgspec.json.decode(request.record)
    check_partition(request.partition, record["workspace"], record["key"])
    return record


def encode(reply: Reply) -> peer_pb2.ClaimReply:
    """Encodes a reply as a message."""
    state = b"" if reply.state is None else msgspec.json.encode(reply.state)
    return peer_pb2.ClaimReply(status=reply.status.name, state=state)


def decode_reply(message: peer_pb2.ClaimReply) -> Reply:
    """Decodes the reply in a message."""
    state = msgspec.json.decode(message.state, type=KeyState) if message.state else None
    return Reply(Status(message.status), state)
