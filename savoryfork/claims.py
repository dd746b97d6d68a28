"""Entry-host side of at-most-once execution per idempotency key.

The entry host is the claimant. It may dispatch an action only after `Claims.claim` returned `Won`,
and then either releases the claim, if no byte of the action was sent, or settles it. No other host
takes over a claim, because only the claimant can know whether the action was sent.
"""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import Any, NamedTuple

import msgspec

from savoryfork import defaults
from savoryfork.board import Board
from savoryfork.claimfold import EXPIRED, LOST, RELEASED, RUNNING, KeyId, KeyState, key_time
from savoryfork.claimowner import ClaimOwner, partition_of
from savoryfork.claimpeers import MIN_WAIT_MS, AskResult, Owners, PeerCall
from savoryfork.errors import ErrorKind, Ran, ServiceError
from savoryfork.proto import peer_pb2
from savoryfork.util import logs
from savoryfork.util.timer import Clock

__all__ = [
    "ClaimRequestData",
    "Claims",
    "Existing",
    "KeyState",
    "Won",
    "omitted",
    "outcome_overdue",
]

log = logging.getLogger(__name__)

FLUSH_CONCURRENCY = 256


# The wait for an outcome ends this long before the deadline, so that the answer is still in time.
ANSWER_MARGIN_MS = 50


class ClaimRequestData(NamedTuple):
    """The run that claims a key; `deadline_ms` is its deadline in monotonic milliseconds."""

    workspace: str
    pipeline: str
    key: str
    digest: str
    deadline_ms: float


class Won(NamedTuple):
    """The claim won: this run holds the key and may dispatch."""

    claim: str


class Existing(NamedTuple):
    """The claim lost: another run holds or held the key."""

    state: KeyState


class PendingRecord(NamedTuple):
    """A release or outcome whose append is not confirmed; `landed` resolves when it is."""

    record: dict[str, Any]
    size: int
    landed: asyncio.Future[bool]


class Claims:
    """Claims keys for the runs of this host and settles the claims.

    `call` is `PeerClient.call`. `tick` must be subscribed to the timer with a period of
    `defaults.CLAIM_FLUSH_PERIOD_MS`; it retries appends that failed.
    """

    def __init__(
        self,
        owner: ClaimOwner,
        board: Board,
        clock: Clock,
        host: str,
        incarnation: str,
        call: PeerCall,
    ) -> None:
        self.owner = owner
        self.board = board
        self.clock = clock
        self.claimant = f"{host}/{incarnation}"
        self.owners = Owners(owner, board, clock, host, call)
        self.pending_records: dict[str, PendingRecord] = {}
        self.send_tasks: dict[str, asyncio.Task[None]] = {}
        self.open_releases: dict[KeyId, set[asyncio.Future[bool]]] = {}
        self.failures: dict[int, int] = {}
        self.next_probe_ms: dict[int, float] = {}

    def check_key(self, key: str) -> None:
        """Raises ServiceError unless the key is a UUIDv7 within the deduplication window."""
        try:
            parsed = uuid.UUID(key)
        except ValueError:
            parsed = None
        # Only the canonical spelling is accepted: other spellings would count as other keys.
        if parsed is None or parsed.version != 7 or str(parsed) != key:
            raise ServiceError(
                ErrorKind.IDEMPOTENCY_KEY_INVALID,
                "Idempotency-Key must be a UUID of version 7, in lower case with hyphens",
            )
        age_ms = self.clock.wall_ms() - key_time(key)
        if age_ms < -defaults.CLOCK_SKEW_MS:
            raise ServiceError(
                ErrorKind.IDEMPOTENCY_KEY_INVALID,
                "Idempotency-Key is in the future; generate it with a synchronized clock",
            )
        if age_ms > defaults.DEDUPLICATION_WINDOW_MS:
            raise expired_key()

    async def claim(self, request: ClaimRequestData) -> Won | Existing:
        """Claims the key of a run.

        Raises ServiceError LOG_UNAVAILABLE, IDEMPOTENCY_KEY_MISMATCH, IDEMPOTENCY_KEY_EXPIRED or
        DEADLINE_EXCEEDED. In each case this run must not dispatch, and any claim record that it
        may have appended is released in the background.
        """
        now = self.clock.monotonic_ms()
        if now >= request.deadline_ms:
            raise deadline_passed()
        partition = partition_of(request.workspace, request.key)
        self.refuse_during_outage(partition, now)
        until_ms = min(request.deadline_ms, now + defaults.CLAIM_TIMEOUT_MS)
        if not await self.wait_released((request.workspace, request.key), until_ms):
            raise self.count_failure(partition)
        while True:
            claim = str(uuid.uuid4())
            state = await self.claim_once(request, claim, partition, until_ms)
            if state.state == RUNNING and state.claim == claim:
                if self.clock.monotonic_ms() >= request.deadline_ms:
                    self.start_release(request, claim)
                    error = deadline_passed()
                    error.key_claimed = True
                    raise error
                return Won(claim)
            # The winning claim was released in the meantime: the key is free, so claim again.
            if state.state != RELEASED or self.clock.monotonic_ms() >= until_ms:
                break
        if state.state != RELEASED:
            check_same_request(request, state)
        return Existing(state)

    async def claim_once(
        self, request: ClaimRequestData, claim: str, partition: int, until_ms: float
    ) -> KeyState:
        """Appends one claim record; returns the state of the key after it."""
        left_ms = request.deadline_ms - self.clock.monotonic_ms()
        record = {
            "schema": 1,
            "type": "claim",
            "id": claim,
            "workspace": request.workspace,
            "pipeline": request.pipeline,
            "key": request.key,
            "digest": request.digest,
            "claimant": self.claimant,
            "deadline_ms": int(self.clock.wall_ms() + left_ms),
        }
        encoded = msgspec.json.encode(record)
        result = AskResult(None, True)
        try:
            result = await self.owners.ask(
                partition,
                until_ms,
                lambda budget_ms: self.owner.claim(record, len(encoded), budget_ms),
                "Claim",
                lambda budget_ms: peer_pb2.ClaimRequest(
                    partition=partition, record=encoded, budget_ms=budget_ms
                ),
            )
        finally:
            # Also on cancellation: the claim may be in the log already or be appended later.
            state = result.reply.state if result.reply is not None else None
            won = state is not None and state.state == RUNNING and state.claim == claim
            if result.doubtful and not won:
                self.start_release(request, claim)
        if result.reply is None:
            raise self.count_failure(partition)
        self.failures.pop(partition, None)
        if state is None:
            self.start_release(request, claim)
            raise ServiceError(
                ErrorKind.IDEMPOTENCY_KEY_INVALID,
                "Idempotency-Key is too far ahead of the clock of the platform's log",
            )
        if state.state == EXPIRED:
            self.start_release(request, claim)
            raise expired_key()
        if state.state == LOST:
            self.start_release(request, claim)
            raise lost_key()
        return state

    async def release(self, request: ClaimRequestData, claim: str) -> None:
        """Releases a claim whose action was not sent.

        Returns once the release is in the log or after `defaults.RELEASE_WAIT_MS`, after which it
        is retried in the background.
        """
        landed = self.start_release(request, claim)
        await asyncio.wait({landed}, timeout=defaults.RELEASE_WAIT_MS / 1000)

    def start_release(self, request: ClaimRequestData, claim: str) -> asyncio.Future[bool]:
        """Starts a release in the background; new claims of the key on this host wait for it."""
        landed = self.write(request, {"type": "release", "claim": claim})
        key_id = (request.workspace, request.key)
        releases = self.open_releases.setdefault(key_id, set())
        releases.add(landed)

        def discard(done: asyncio.Future[bool]) -> None:
            releases.discard(done)
            if not releases and self.open_releases.get(key_id) is releases:
                del self.open_releases[key_id]

        landed.add_done_callback(discard)
        return landed

    async def settle(
        self, request: ClaimRequestData, claim: str, state: str, answer: Any | None
    ) -> bool:
        """Stores the outcome of a claim: done, rejected or unknown.

        Returns True once the outcome is confirmed in the log; False after
        `defaults.OUTCOME_WAIT_MS` or `ANSWER_MARGIN_MS` before the run's deadline, after which it
        is retried in the background. An answer over the size limit is truncated, see `omitted`.
        """
        fields = {"type": "outcome", "claim": claim, "state": state, "answer": storable(answer)}
        landed = self.write(request, fields)
        left_ms = request.deadline_ms - self.clock.monotonic_ms() - ANSWER_MARGIN_MS
        wait_ms = max(0.0, min(defaults.OUTCOME_WAIT_MS, left_ms))
        await asyncio.wait({landed}, timeout=wait_ms / 1000)
        return landed.done() and landed.result()

    async def lookup(self, workspace: str, key: str, wait_ms: float) -> KeyState | None:
        """Returns the state of a key, or None if no claim of it has won.

        Waits for up to `wait_ms` while its run has not ended.

        Raises ServiceError LOG_UNAVAILABLE, IDEMPOTENCY_KEY_INVALID or IDEMPOTENCY_KEY_EXPIRED.
        """
        self.check_key(key)
        partition = partition_of(workspace, key)
        now = self.clock.monotonic_ms()
        end_ms = now + wait_ms

        def wait_left_ms() -> int:
            return int(max(0.0, end_ms - self.clock.monotonic_ms()))

        result = await self.owners.ask(
            partition,
            end_ms + defaults.CLAIM_TIMEOUT_MS,
            lambda budget_ms: self.owner.lookup(workspace, key, wait_left_ms(), budget_ms),
            "Lookup",
            lambda budget_ms: peer_pb2.LookupRequest(
                partition=partition, workspace=workspace, key=key, wait_ms=wait_left_ms()
            ),
            wait_left_ms,
        )
        if result.reply is None:
            raise log_unavailable()
        state = result.reply.state
        if state is not None and state.state == EXPIRED:
            raise expired_key()
        if state is not None and state.state == LOST:
            raise lost_key()
        return state

    def pending(self) -> int:
        """Returns the number of releases and outcomes not yet confirmed in the log."""
        return len(self.pending_records)

    async def drain(self, timeout_ms: float) -> None:
        """Writes pending records for at most `timeout_ms`."""
        until_ms = self.clock.monotonic_ms() + timeout_ms
        while (
            self.pending_records
            and (left_ms := until_ms - self.clock.monotonic_ms()) >= MIN_WAIT_MS
        ):
            await self.tick()
            wait_ms = min(left_ms, defaults.CLAIM_FLUSH_PERIOD_MS)
            await asyncio.wait(
                {pending.landed for pending in self.pending_records.values()},
                timeout=wait_ms / 1000,
            )
        if self.pending_records:
            logs.event(
                log, "claims_not_drained", logging.WARNING, pending=len(self.pending_records)
            )

    async def tick(self) -> None:
        """Retries pending records: all of them, or one as a probe during an outage."""
        limit = FLUSH_CONCURRENCY if self.board.log.available else 1
        for record_id in list(self.pending_records):
            if len(self.send_tasks) >= limit:
                break
            if record_id not in self.send_tasks:
                self.send(record_id)

    def write(self, request: ClaimRequestData, fields: dict[str, Any]) -> asyncio.Future[bool]:
        """Starts writing a release or an outcome and keeps it pending until it is in the log."""
        record = {
            "schema": 1,
            "id": str(uuid.uuid4()),
            "workspace": request.workspace,
            "key": request.key,
            **fields,
        }
        size = len(msgspec.json.encode(record))
        landed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.pending_records[record["id"]] = PendingRecord(record, size, landed)
        self.send(record["id"])
        return landed

    def send(self, record_id: str) -> None:
        """Starts one attempt to write a pending record."""
        task = asyncio.get_running_loop().create_task(
            self.send_once(self.pending_records[record_id])
        )
        self.send_tasks[record_id] = task
        task.add_done_callback(lambda done: self.send_tasks.pop(record_id, None))

    async def send_once(self, pending: PendingRecord) -> None:
        """Makes one attempt; a record whose key is past the window is dropped."""
        record = pending.record
        partition = partition_of(record["workspace"], record["key"])
        encoded = msgspec.json.encode(record)
        result = await self.owners.ask(
            partition,
            self.clock.monotonic_ms() + defaults.CLAIM_TIMEOUT_MS,
            lambda budget_ms: self.owner.settle(record, pending.size, budget_ms),
            "Settle",
            lambda budget_ms: peer_pb2.ClaimRequest(
                partition=partition, record=encoded, budget_ms=budget_ms
            ),
        )
        if result.reply is not None:
            # The partition accepts appends again, so close its circuit breaker.
            self.failures.pop(partition, None)
            del self.pending_records[record["id"]]
            state = result.reply.state
            pending.landed.set_result(state is None or state.state != EXPIRED)

    async def wait_released(self, key_id: KeyId, until_ms: float) -> bool:
        """Waits for pending releases of the key on this host; False on time-out."""
        while releases := self.open_releases.get(key_id):
            left_ms = until_ms - self.clock.monotonic_ms()
            if left_ms < MIN_WAIT_MS:
                return False
            await asyncio.wait(set(releases), timeout=left_ms / 1000)
        return True

    def count_failure(self, partition: int) -> ServiceError:
        """Counts an unanswered claim towards the partition's circuit breaker; returns the error."""
        self.failures[partition] = self.failures.get(partition, 0) + 1
        return log_unavailable()

    def refuse_during_outage(self, partition: int, now: float) -> None:
        """Raises LOG_UNAVAILABLE while the log is out or the partition's breaker is open.

        One claim is let through as a probe every `defaults.CLAIM_PROBE_MS`.
        """
        state = self.board.log
        out = not state.available and now - state.changed_ms >= defaults.LOG_OUTAGE_AFTER_MS
        # -1 is the probe schedule shared by all partitions during an outage of the log.
        scope = -1 if out else partition
        if not out and self.failures.get(partition, 0) < defaults.CLAIM_BREAKER_FAILURES:
            return
        if now < self.next_probe_ms.get(scope, 0.0):
            raise log_unavailable()
        self.next_probe_ms[scope] = now + defaults.CLAIM_PROBE_MS


def outcome_overdue(state: KeyState, wall_ms: float) -> bool:
    """True if a run has no outcome `defaults.CLAIM_OVERDUE_AFTER_MS` after its deadline.

    Its claimant may be gone or frozen, or still wait for the answer of the action.
    """
    end_ms = state.deadline_wall_ms + defaults.CLAIM_OVERDUE_AFTER_MS
    return state.state == RUNNING and wall_ms >= end_ms


def check_same_request(request: ClaimRequestData, state: KeyState) -> None:
    """Raises IDEMPOTENCY_KEY_MISMATCH if the key was claimed for another request."""
    if (request.pipeline, request.digest) != (state.pipeline, state.digest):
        raise ServiceError(
            ErrorKind.IDEMPOTENCY_KEY_MISMATCH,
            "Idempotency-Key was used for another request; use a new key for a new request",
        )


def storable(answer: Any) -> Any:
    """Returns an answer in the form in which it is stored.

    From an answer over `defaults.MAX_STORED_ANSWER_BYTES` the text and the documents, which can
    be long, are removed; the result of the action is kept. If it is still too large, nothing is
    kept. `omitted` lists the removed parts.
    """
    if answer is None or encoded_size(answer) <= defaults.MAX_STORED_ANSWER_BYTES:
        return answer
    parts = answer.get("answer") if isinstance(answer, dict) else None
    if isinstance(parts, dict):
        long = [name for name in ("text", "documents") if name in parts]
        rest = {name: value for name, value in parts.items() if name not in long}
        shorter = {**answer, "answer": rest, "omitted": long}
        if encoded_size(shorter) <= defaults.MAX_STORED_ANSWER_BYTES:
            return shorter
    return {"omitted": ["answer"]}


def encoded_size(answer: Any) -> int:
    """Returns the size of an answer as JSON, in bytes."""
    return len(msgspec.json.encode(answer))


def omitted(state: KeyState) -> list[str]:
    """Returns the parts of a stored answer that were too large to keep; empty if complete.

    >>> omitted(KeyState("done", "", "", "", "", 0, 0, {"answer": {}, "omitted": ["text"]}))
    ['text']
    """
    found = state.answer.get("omitted", []) if isinstance(state.answer, dict) else []
    return list(found)


def expired_key() -> ServiceError:
    """Returns the error for a key past the window, whose state may have been dropped."""
    return ServiceError(
        ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
        "Idempotency-Key is older than the deduplication window; check whether the request ran",
    )


def lost_key() -> ServiceError:
    """Returns the error for a key whose claim may be among the records that the log lost."""
    return ServiceError(
        ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
        "the platform's log lost records of the time of this Idempotency-Key; check whether the "
        "request ran, and use a new key for a new request",
    )


def log_unavailable() -> ServiceError:
    """Returns the error for a claim or lookup that the log did not answer."""
    return ServiceError(
        ErrorKind.LOG_UNAVAILABLE, "the platform's log is unavailable; retry with the same key"
    )


def deadline_passed() -> ServiceError:
    """Returns the error for a run whose deadline passed before it could dispatch."""
    return ServiceError(
        ErrorKind.DEADLINE_EXCEEDED,
        "the deadline passed before the run's key was claimed",
        ran=Ran.NO,
    )
