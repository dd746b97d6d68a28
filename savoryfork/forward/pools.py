"""Carries out stage work: forms calls, sends them to targets, and keeps count of results."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from savoryfork.forward import batching
from savoryfork.forward.batching import Pick, Task
from savoryfork.forward.budget import RepeatBudget
from savoryfork.forward.connection import Connections, TargetError
from savoryfork.forward.health import CERTAIN, LIKELY, HealthTracker
from savoryfork.forward.messages import StageResult
from savoryfork.forward.model import BatchLimits, Piece, PieceFailure, PieceResult, Target
from savoryfork.forward.registry import Registry
from savoryfork.forward.wire import Wire
from savoryfork.forward.work import StageFailure, Work
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
LOOK_AGAIN_MS = 100.0

# What is left at least of a call without an answer.
LEAST_REST_MS = 1.0
ROOM_MS = 150.0

# Tries for one piece.
MAX_TRIES = 4

# Weight of one observation in a target's pace.
PACE_GAIN = 0.3

# Between two looks at the work that is left at a stop.
DRAIN_LOOK_MS = 100.0

# Results that are given up are named together, unless the target is short of room.
FREE_DELAY_MS = 15.0


class StageTask:
    """One stage of a request: the pieces that wait, and the results so far.

    `due_at` is when it must end for the request to be on time.
    """

    def __init__(self, number: int, work: Work, stage: int, due_at: float) -> None:
        self.number = number
        self.work = work
        self.stage = stage
        self.due_at = due_at
        self.plan = work.plans[stage]
        self.pieces = work.pieces[stage]
        inputs = [r for s in work.before(stage) for r in work.results[s]]
        self.inputs = tuple(result.handle for result in inputs)
        self.input_bytes: dict[str, float] = {}
        for before in work.before(stage):
            for result in work.results[before]:
                size = work.plans[before].result_bytes
                self.input_bytes[result.zone] = self.input_bytes.get(result.zone, 0.0) + size
        self.zone = work.zone if stage in work.last() else None
        self.waiting: deque[int] = deque(range(self.pieces))
        self.tries = [0] * self.pieces
        self.results: dict[int, StageResult] = {}
        self.future: asyncio.Future[StageFailure | None] = (
            asyncio.get_running_loop().create_future()
        )

    def view(self) -> Task:
        """The task as the order sees it."""
        return Task(
            self.number,
            self.work.priority,
            self.due_at,
            self.work.late,
            bool(self.work.results),
            len(self.waiting),
            self.plan.result_bytes,
            self.zone,
            self.input_bytes,
        )

    def end(self, failure: StageFailure | None) -> None:
        """Notes how the stage ended, unless that is known."""
        if not self.future.done():
            self.future.set_result(failure)


class PoolTarget:
    """What the pool's owner knows of one target. `calls` are those in progress."""

    def __init__(self) -> None:
        self.calls = 0
        self.ends_at = 0.0
        self.blocked_until = 0.0
        self.pace = 1.0
        self.stuck = False
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
        self.tasks: dict[int, StageTask] = {}
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
        health: HealthTracker,
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

    async def run(self, work: Work, stage: int, due_at: float) -> StageFailure | None:
        """Does the work of one stage; its results are put into `work`, or the failure returned."""
        now = self.now()
        service = work.plans[stage].service
        pool = self.pool(service)
        if pool is None or not self.registry.usable(service):
            return StageFailure.NO_TARGETS
        task = StageTask(next(self.numbers), work, stage, due_at)
        pool.tasks[task.number] = task
        for _ in range(task.pieces):
            pool.budget.note_request(now)
        self.pump(pool)
        failure: StageFailure | None = StageFailure.LATE
        done = False
        try:
            async with asyncio.timeout(max(0.0, work.deadline_at - now) / 1000):
                failure = await task.future
            done = failure is None
        except TimeoutError:
            pass  # the failure is LATE
        finally:
            pool.tasks.pop(task.number, None)
            if not done:
                self.free(service, list(task.results.values()))
        if done:
            work.results[stage] = [task.results[n] for n in range(task.pieces)]
        logs.event(
            log,
            "stage_done",
            request=work.request_id,
            stage=stage,
            service=service,
            pieces=task.pieces,
            late=work.late,
            due_ms=round(due_at - now),
            took_ms=round(self.now() - now),
            failure=failure.value if failure else None,
        )
        return failure

    # Sending.

    def pump(self, pool: Pool) -> None:
        """Starts the calls that are worth starting now."""
        now = self.now()
        tasks = [task.view() for task in pool.tasks.values() if task.waiting]
        if not tasks:
            return
        targets = {t.name: t for t in self.usable(pool, now)}
        statuses = [self.status(pool, target, now) for target in targets.values()]
        for name, picks in batching.assign(tasks, statuses, pool.limits, now).items():
            self.start(pool, targets[name], picks, now)
        if any(task.waiting for task in pool.tasks.values()):
            # A call that ends looks again by itself; this is for room, and for targets that return.
            self.wake_later(pool, LOOK_AGAIN_MS)

    def usable(self, pool: Pool, now: float) -> list[Target]:
        """The targets that may get work of a pool; those with a stuck call only if all have."""
        found = self.health.usable(self.registry.usable(pool.service), now)
        return [target for target in found if not pool.state(target).stuck] or found

    def status(self, pool: Pool, target: Target, now: float) -> batching.TargetStatus:
        """What is known of a target, for the decisions."""
        state = pool.state(target)
        free_at = state.blocked_until
        if state.calls >= pool.limits.slots:
            # A call that is overdue is expected to take as long again.
            overdue = max(0.0, now - state.ends_at)
            free_at = max(free_at, state.ends_at + overdue, now + LEAST_REST_MS) + overdue
        room = state.room(pool.limits, now)
        return batching.TargetStatus(target.name, target.zone, free_at, room, max(0.5, state.pace))

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
        batch: list[tuple[StageTask, int]] = []
        state = pool.state(target)
        reserved = 0.0
        for pick in picks:
            task = pool.tasks[pick.task]
            task.work.started = True
            for _ in range(pick.pieces):
                number = task.waiting.popleft()
                task.tries[number] += 1
                batch.append((task, number))
            reserved += pick.pieces * task.plan.result_bytes
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
        batch: list[tuple[StageTask, int]],
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
            state.stuck = False
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
            self.health.record_success(target, now)
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
        batch: list[tuple[StageTask, int]],
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

    def piece(self, task: StageTask, number: int, now: float) -> Piece:
        """One piece as it is sent."""
        work = task.work
        return Piece(
            work.request_id,
            task.stage,
            number,
            work.deadline_at - now,
            None if task.inputs else work.key,
            task.inputs,
        )

    def note_stuck(self, pool: Pool, target: Target, batch: list[tuple[StageTask, int]]) -> None:
        """Repeats elsewhere the pieces of a call that takes much longer than expected."""
        now = self.now()
        pool.state(target).stuck = True
        self.health.record_failure(
            target, self.registry.usable(pool.service), CERTAIN, "stuck", now
        )
        logs.event(log, "stage_call_stuck", target=target.name, pieces=len(batch))
        for task, number in batch:
            if self.open(pool, task) and number not in task.results:
                self.repeat(pool, task, number, now)
        self.pump(pool)

    def open(self, pool: Pool, task: StageTask) -> bool:
        """Whether a task still waits for results."""
        return task.number in pool.tasks and not task.future.done()

    def repeat(self, pool: Pool, task: StageTask, number: int, now: float) -> None:
        """Lets a piece wait once more, within the budget."""
        if number in task.waiting or number in task.results:
            return
        if task.tries[number] >= MAX_TRIES or not pool.budget.take(now, hosts=2):
            task.end(StageFailure.FAILED)
            return
        task.waiting.appendleft(number)

    def fail_call(
        self,
        pool: Pool,
        target: Target,
        batch: list[tuple[StageTask, int]],
        error: TargetError,
        now: float,
    ) -> None:
        """Notes a call without results and lets its pieces wait again."""
        if error.reason not in ("full", "wrong target"):
            weight = LIKELY if error.sent else CERTAIN
            peers = self.registry.usable(pool.service)
            self.health.record_failure(target, peers, weight, error.reason, now)
        for task, number in batch:
            if not self.open(pool, task):
                continue
            if error.sent:
                self.repeat(pool, task, number, now)
            else:
                task.tries[number] -= 1
                task.waiting.appendleft(number)

    def take_result(
        self,
        pool: Pool,
        target: Target,
        state: PoolTarget,
        task: StageTask,
        number: int,
        result: PieceResult,
    ) -> None:
        """Takes over what a target answered for one piece."""
        now = self.now()
        if isinstance(result, PieceFailure):
            if not self.open(pool, task):
                return
            if result is PieceFailure.LATE:
                task.end(StageFailure.LATE)
            elif result is PieceFailure.INPUT_GONE:
                task.end(StageFailure.INPUT_GONE)
            else:
                if result is PieceFailure.NO_ROOM:
                    state.blocked_until = now + ROOM_MS
                self.repeat(pool, task, number, now)
            return
        size = task.plan.result_bytes
        state.held[result] = (size, now + pool.limits.keep_ms)
        made = StageResult(result, target.address, target.zone)
        if not self.open(pool, task) or number in task.results:
            self.free(pool.service, [made])
            return
        task.results[number] = made
        if len(task.results) == task.pieces:
            task.end(None)

    def refuse(self, work: Work) -> None:
        """Ends the waiting stages of work that was not begun."""
        for pool in self.pools.values():
            for task in pool.tasks.values():
                if task.work is work:
                    task.end(StageFailure.OVERLOADED)

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

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine of this part in the background and logs it if it fails."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.ended)

    def ended(self, task: asyncio.Task[None]) -> None:
        """Forgets a background task; an exception in it is a bug."""
        self.background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error({"event": "pool_task_failed"}, exc_info=task.exception())
