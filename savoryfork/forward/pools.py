"""Carries out stage work for all hosts on the services whose pools this host owns."""

from __future__ import annotations

import asyncio
import enum
import itertools
import logging
from collections import deque
from collections.abc import Callable

from savoryfork.forward import batching
from savoryfork.forward.batching import Pick, Task
from savoryfork.forward.budget import RepeatBudget
from savoryfork.forward.connection import Connections, TargetError
from savoryfork.forward.health import CERTAIN, LIKELY, HealthBook
from savoryfork.forward.messages import StageReply, StageRequest, StageResult
from savoryfork.forward.model import BatchLimits, Piece, PieceFailure, PieceResult, Target
from savoryfork.forward.registry import Registry
from savoryfork.forward.wire import Wire
from savoryfork.util import logs
from savoryfork.util.timer import Clock

log = logging.getLogger(__name__)

# A call that takes this many times its expected duration is repeated elsewhere; targets slow down
# by up to 5 for some seconds.
STUCK_FACTOR = 2.5
STUCK_MARGIN_MS = 150.0

# After that the call is given up and its connection closed.
CALL_TIMEOUT_MS = 4_000.0

# A target that refused because it was full, or had no room, is left alone for this long.
FULL_MS = 120.0
ROOM_MS = 150.0

# Tries for one piece.
MAX_TRIES = 4

# Weight of one observation in a target's pace.
PACE_GAIN = 0.3

# Between two looks at the work that is left at a stop.
DRAIN_LOOK_MS = 100.0

# Results that are given up are named together, unless the target is short of room.
FREE_DELAY_MS = 15.0


class StageFailure(enum.Enum):
    """Why the work of a stage ended without all of its results."""

    LATE = "late"
    OVERLOADED = "overloaded"
    INPUT_GONE = "input_gone"
    NO_TARGETS = "no_targets"
    FAILED = "failed"


class OpenTask:
    """A stage of a request in a pool: the pieces that wait, and the results so far."""

    def __init__(self, number: int, request: StageRequest, now: float) -> None:
        self.number = number
        self.request = request
        self.arrived_at = now
        self.deadline_at = now + request.remaining_ms
        self.aim_at = now + request.aim_ms
        self.zone = request.zone
        self.waiting: deque[int] = deque(range(request.pieces))
        self.tries = [0] * request.pieces
        self.results: dict[int, StageResult] = {}
        self.future: asyncio.Future[StageReply] = asyncio.get_running_loop().create_future()

    def view(self) -> Task:
        """The task as the order sees it."""
        return Task(
            self.number,
            self.request.priority,
            self.arrived_at,
            self.aim_at,
            self.request.rest_ms,
            len(self.waiting),
            self.request.result_bytes,
            self.zone,
        )

    def finish(self, reply: StageReply) -> None:
        """Gives the answer, unless there is one."""
        if not self.future.done():
            self.future.set_result(reply)

    def end_of(self, failure: StageFailure, retry_ms: float = 0.0) -> None:
        """Ends the task without all results."""
        self.finish(StageReply([], failure.value, retry_ms))


class PoolTarget:
    """What the pool's owner knows of one target. `calls` are those in progress."""

    def __init__(self) -> None:
        self.calls = 0
        self.ends_at = 0.0
        self.blocked_until = 0.0
        self.pace = 1.0
        self.held: dict[str, tuple[int, float]] = {}
        self.reserved = 0.0
        self.freed: list[str] = []

    def room(self, limits: BatchLimits, now: float) -> float:
        """Bytes for results that are not taken up."""
        for handle in [h for h, (_, until) in self.held.items() if until <= now]:
            del self.held[handle]
        return limits.room_bytes - self.reserved - sum(size for size, _ in self.held.values())


class Pool:
    """The work of one service."""

    def __init__(self, service: str, limits: BatchLimits, budget: RepeatBudget) -> None:
        self.service = service
        self.limits = limits
        self.budget = budget
        self.tasks: dict[int, OpenTask] = {}
        self.targets: dict[tuple[str, int], PoolTarget] = {}
        self.wake_handle: asyncio.TimerHandle | None = None

    def state(self, target: Target) -> PoolTarget:
        """The state of a target's incarnation."""
        return self.targets.setdefault((target.address, target.born), PoolTarget())


class Pools:
    """All pools of this host. Whether this host should own one is decided by those who ask it."""

    def __init__(
        self,
        registry: Registry,
        health: HealthBook,
        connections: Connections,
        wire: Wire,
        clock: Clock,
        limits: Callable[[str], BatchLimits | None],
        budget: Callable[[str], RepeatBudget],
    ) -> None:
        self.registry = registry
        self.health = health
        self.connections = connections
        self.wire = wire
        self.clock = clock
        self.limits = limits
        self.budget = budget
        self.pools: dict[str, Pool] = {}
        self.numbers = itertools.count()
        self.background: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """The suspend-aware time in milliseconds."""
        return self.clock.monotonic_ms()

    def pool(self, service: str) -> Pool | None:
        """The pool of a service; None if it takes no stage work."""
        limits = self.limits(service)
        if limits is None:
            return None
        pool = self.pools.get(service)
        if pool is None:
            pool = self.pools[service] = Pool(service, limits, self.budget(service))
        pool.limits = limits
        return pool

    async def run(self, request: StageRequest) -> StageReply:
        """Does the work of one stage of one request."""
        now = self.now()
        pool = self.pool(request.service)
        if pool is None or not self.registry.usable(request.service):
            return StageReply([], StageFailure.NO_TARGETS.value)
        task = OpenTask(next(self.numbers), request, now)
        pool.tasks[task.number] = task
        for _ in range(request.pieces):
            pool.budget.note_request(now)
        self.pump(pool)
        reply = None
        try:
            async with asyncio.timeout(request.remaining_ms / 1000):
                reply = await task.future
        except TimeoutError:
            reply = StageReply([], StageFailure.LATE.value)
        finally:
            pool.tasks.pop(task.number, None)
            if reply is None or reply.failure is not None:
                self.free(request.service, list(task.results.values()))
        logs.event(
            log,
            "stage_done",
            request=request.request_id,
            stage=request.stage,
            service=request.service,
            pieces=request.pieces,
            took_ms=round(self.now() - now),
            failure=reply.failure,
        )
        return reply

    # Sending.

    def pump(self, pool: Pool) -> None:
        """Starts calls for as long as a target is idle and something fits."""
        now = self.now()
        while True:
            tasks = [task.view() for task in pool.tasks.values() if task.waiting]
            if not tasks:
                return
            idle = self.idle_targets(pool, now)
            if not idle:
                self.wake_later(pool, FULL_MS)
                return
            head = min(tasks, key=lambda task: batching.order_key(task, pool.limits, now))
            idle.sort(
                key=lambda t: (
                    batching.is_foreign(head, t.zone),
                    pool.state(t).pace,
                    t.name,
                )
            )
            for target in idle:
                room = pool.state(target).room(pool.limits, now)
                picks = batching.choose(tasks, target.zone, pool.limits, room, now)
                if picks:
                    self.start(pool, target, picks, now)
                    break
            else:
                self.wake_later(pool, ROOM_MS)
                return

    def idle_targets(self, pool: Pool, now: float) -> list[Target]:
        """Targets without a call that may get one."""
        usable = self.health.usable(self.registry.usable(pool.service), now)
        found = []
        for target in usable:
            state = pool.state(target)
            if not state.calls and state.blocked_until <= now:
                found.append(target)
        return found

    def wake_later(self, pool: Pool, delay_ms: float) -> None:
        """Looks again later, for room or a target that comes back."""
        if pool.wake_handle is None:
            loop = asyncio.get_running_loop()

            def wake() -> None:
                pool.wake_handle = None
                self.pump(pool)

            pool.wake_handle = loop.call_later(delay_ms / 1000, wake)

    def start(self, pool: Pool, target: Target, picks: list[Pick], now: float) -> None:
        """Starts a call for the picked pieces."""
        batch: list[tuple[OpenTask, int]] = []
        state = pool.state(target)
        reserved = 0.0
        for pick in picks:
            task = pool.tasks[pick.task]
            for _ in range(pick.pieces):
                number = task.waiting.popleft()
                task.tries[number] += 1
                batch.append((task, number))
            reserved += pick.pieces * task.request.result_bytes
            if task.waiting and task.request.result_bytes >= batching.LARGE_RESULT_BYTES:
                task.zone = target.zone
        state.calls += 1
        state.reserved += reserved
        expected = batching.call_ms(pool.limits, len(batch)) * max(1.0, state.pace)
        state.ends_at = now + expected
        self.health.begin_probe(target, now)
        self.spawn(self.call(pool, target, state, batch, reserved, expected))

    async def call(
        self,
        pool: Pool,
        target: Target,
        state: PoolTarget,
        batch: list[tuple[OpenTask, int]],
        reserved: float,
        expected: float,
    ) -> None:
        """One call and what follows from its answer."""
        started = self.now()
        loop = asyncio.get_running_loop()
        stuck = loop.call_later(
            (STUCK_FACTOR * expected + STUCK_MARGIN_MS) / 1000, self.note_stuck, pool, target, batch
        )
        error: TargetError | None = None
        results: list[PieceResult] = []
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / 1000):
                results = await self.exchange(pool, target, state, batch)
        except TimeoutError:
            error = TargetError("timeout", sent=True)
        except TargetError as failure:
            error = failure
        finally:
            stuck.cancel()
            state.calls -= 1
            state.reserved -= reserved
        now = self.now()
        took = now - started
        logs.event(
            log,
            "stage_call",
            target=target.name,
            service=pool.service,
            pieces=len(batch),
            requests=len({task.number for task, _ in batch}),
            waiting=sum(len(task.waiting) for task in pool.tasks.values()),
            took_ms=round(took),
            error=error.reason if error else None,
        )
        if error is None:
            ratio = took / max(1.0, batching.call_ms(pool.limits, len(batch)))
            state.pace += PACE_GAIN * (ratio - state.pace)
            self.health.good(target, now)
            for (task, number), result in zip(batch, results, strict=True):
                self.take_result(pool, target, state, task, number, result)
        else:
            self.fail_call(pool, target, batch, error, now)
        self.pump(pool)

    async def exchange(
        self,
        pool: Pool,
        target: Target,
        state: PoolTarget,
        batch: list[tuple[OpenTask, int]],
    ) -> list[PieceResult]:
        """Sends the call and reads its results; raises TargetError."""
        connection = await self.connections.open(target.address, self.now())
        kept = False
        try:
            now = self.now()
            pieces = [self.piece(task, number, now) for task, number in batch]
            connection.send(*self.wire.pieces_call(target, pieces))
            head = await connection.head()
            answer = self.wire.decode_answer(head.status, head.headers)
            body = await connection.body()
            self.connections.give_back(connection, self.now(), answer.idle_s)
            kept = True
        finally:
            if not kept:
                connection.abort()
        if answer.wrong_target:
            self.registry.note_misdirected(target)
            raise TargetError("wrong target", sent=False)
        if answer.not_run:
            state.blocked_until = self.now() + FULL_MS
            raise TargetError("full", sent=False)
        results = self.wire.decode_results(body, len(batch)) if answer.status == 200 else None
        if results is None:
            raise TargetError(f"status {answer.status}", sent=True)
        return results

    def piece(self, task: OpenTask, number: int, now: float) -> Piece:
        """One piece as it is sent."""
        request = task.request
        return Piece(
            request.request_id,
            request.stage,
            number,
            task.deadline_at - now,
            request.key,
            request.inputs,
        )

    def note_stuck(self, pool: Pool, target: Target, batch: list[tuple[OpenTask, int]]) -> None:
        """Repeats elsewhere the pieces of a call that takes much longer than expected."""
        now = self.now()
        self.health.bad(target, self.registry.usable(pool.service), CERTAIN, "stuck", now)
        logs.event(log, "stage_call_stuck", target=target.name, pieces=len(batch))
        for task, number in batch:
            if self.open(pool, task) and number not in task.results:
                self.repeat(pool, task, number, now)
        self.pump(pool)

    def open(self, pool: Pool, task: OpenTask) -> bool:
        """Whether a task still waits for results."""
        return task.number in pool.tasks and not task.future.done()

    def repeat(
        self, pool: Pool, task: OpenTask, number: int, now: float, free: bool = False
    ) -> None:
        """Lets a piece wait once more, within the budget; `free` if no target has begun it."""
        if number in task.waiting or number in task.results:
            return
        if task.tries[number] >= MAX_TRIES or (not free and not pool.budget.take(now, hosts=2)):
            task.end_of(StageFailure.FAILED)
            return
        task.waiting.appendleft(number)

    def fail_call(
        self,
        pool: Pool,
        target: Target,
        batch: list[tuple[OpenTask, int]],
        error: TargetError,
        now: float,
    ) -> None:
        """Notes a call without results and lets its pieces wait again."""
        if error.reason not in ("full", "wrong target"):
            weight = LIKELY if error.sent else CERTAIN
            peers = self.registry.usable(pool.service)
            self.health.bad(target, peers, weight, error.reason, now)
        arrived = error.sent or error.reason in ("full", "wrong target")
        for task, number in batch:
            if self.open(pool, task):
                self.repeat(pool, task, number, now, free=not arrived)

    def take_result(
        self,
        pool: Pool,
        target: Target,
        state: PoolTarget,
        task: OpenTask,
        number: int,
        result: PieceResult,
    ) -> None:
        """Takes over what a target answered for one piece."""
        now = self.now()
        if isinstance(result, PieceFailure):
            if not self.open(pool, task):
                return
            if result is PieceFailure.LATE:
                task.end_of(StageFailure.LATE)
            elif result is PieceFailure.INPUT_GONE:
                task.end_of(StageFailure.INPUT_GONE)
            else:
                if result is PieceFailure.NO_ROOM:
                    state.blocked_until = now + ROOM_MS
                self.repeat(pool, task, number, now)
            return
        size = task.request.result_bytes
        state.held[result] = (size, now + pool.limits.keep_ms)
        made = StageResult(result, target.address, target.zone)
        if not self.open(pool, task) or number in task.results:
            self.free(pool.service, [made])
            return
        task.results[number] = made
        if len(task.results) == task.request.pieces:
            ordered = [task.results[n] for n in range(task.request.pieces)]
            task.finish(StageReply(ordered))

    # Giving results up.

    def free(self, service: str, results: list[StageResult]) -> None:
        """Gives results up at the targets that keep them."""
        pool = self.pool(service)
        if pool is None:
            return
        for result in results:
            born = next((b for a, b in pool.targets if a == result.address), 0)
            state = pool.targets.setdefault((result.address, born), PoolTarget())
            if not state.freed:
                asyncio.get_running_loop().call_later(
                    FREE_DELAY_MS / 1000, self.flush_freed, pool, result.address, state
                )
            state.freed.append(result.handle)

    def flush_freed(self, pool: Pool, address: str, state: PoolTarget) -> None:
        """Sends what has been given up at one target."""
        handles, state.freed = state.freed, []
        self.spawn(self.send_free(pool, address, state, handles))

    async def send_free(
        self, pool: Pool, address: str, state: PoolTarget, handles: list[str]
    ) -> None:
        """One call that gives results up; a failure only leaves them until they expire."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / 1000):
                connection = await self.connections.open(address, self.now())
                kept = False
                try:
                    connection.send(*self.wire.free_call(address, handles))
                    head = await connection.head()
                    answer = self.wire.decode_answer(head.status, head.headers)
                    await connection.body()
                    self.connections.give_back(connection, self.now(), answer.idle_s)
                    kept = True
                finally:
                    if not kept:
                        connection.abort()
        except (TimeoutError, TargetError) as error:
            logs.event(log, "free_failed", address=address, count=len(handles), error=str(error))
            return
        for handle in handles:
            state.held.pop(handle, None)
        self.pump(pool)

    async def drained(self) -> None:
        """Waits until no work of other hosts is left here."""
        while any(pool.tasks for pool in self.pools.values()):
            waiting = [t.future for pool in self.pools.values() for t in pool.tasks.values()]
            await asyncio.wait(waiting, timeout=DRAIN_LOOK_MS / 1000)
            await asyncio.sleep(0)

    def spawn(self, coroutine: object) -> None:
        """Runs a coroutine of this part in the background and logs it if it fails."""
        task = asyncio.get_running_loop().create_task(coroutine)  # type: ignore[arg-type]
        self.background.add(task)
        task.add_done_callback(self.ended)

    def ended(self, task: asyncio.Task[None]) -> None:
        """Forgets a background task; an exception in it is a bug."""
        self.background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error({"event": "pool_task_failed"}, exc_info=task.exception())
