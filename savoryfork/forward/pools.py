"""Runs stage work: forms batched calls, sends them to targets and tracks the results they keep."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence

from savoryfork.forward import batching
from savoryfork.forward.batching import Allocation
from savoryfork.forward.budget import RetryBudget
from savoryfork.forward.cells import Cell
from savoryfork.forward.connection import Connections, TargetError
from savoryfork.forward.crashes import CrashMonitor
from savoryfork.forward.freeing import ResultFreer
from savoryfork.forward.health import CERTAIN_FAULT, LIKELY_FAULT, HealthTracker
from savoryfork.forward.messages import StageResult
from savoryfork.forward.metrics import ForwardMetrics
from savoryfork.forward.model import BatchLimits, Piece, PieceFailure, PieceResult, Target
from savoryfork.forward.pool import Pool, StageTask, TargetState
from savoryfork.forward.registry import Registry
from savoryfork.forward.signals import TargetSignals
from savoryfork.forward.wire import Wire
from savoryfork.forward.work import StageFailure, Work
from savoryfork.util import logs
from savoryfork.util.background import BackgroundTasks
from savoryfork.util.timer import Clock

log = logging.getLogger(__name__)

# A call is retried on another target after this multiple of its expected duration, plus the margin.
# Targets slow down by up to 5 times for some seconds.
STUCK_FACTOR = 2.5
STUCK_MARGIN_MS = 150.0

# Timeout after which a call is abandoned and its connection closed.
CALL_TIMEOUT_MS = 4_000.0

# Backoff for a target that refused a call because it was full.
FULL_BACKOFF_MS = 120.0

# Backoff for a target that a call did not reach. Such a call fails at once and uses up no attempt,
# so without a pause it would be repeated until the deadline where no other target is left.
UNREACHED_BACKOFF_MS = 50.0

# Delay before waiting pieces are dispatched again.
DISPATCH_RETRY_MS = 100.0

# Minimum expected remaining time of a call without an answer.
MIN_REMAINING_MS = 1.0

# Backoff for a target that had no space for results, and the longest one. It grows while the target
# stays full, so that waiting for it becomes dearer than another zone.
NO_ROOM_BACKOFF_MS = 150.0
MAX_NO_ROOM_BACKOFF_MS = 1_200.0

# Maximum attempts for one piece.
MAX_ATTEMPTS = 4

# Requests lost in calls that a coordinator remembers, some crashes of the largest batches.
MAX_LOST_REQUESTS = 512

# Interval between checks for remaining work during shutdown.
DRAIN_POLL_MS = 100.0


def no_room_backoff_ms(since: float, now: float) -> float:
    """Returns for how long a target gets no pieces that has had no space since a time.

    It is expected to stay full for as long again as it has been.

    >>> [no_room_backoff_ms(0.0, now) for now in (0.0, 150.0, 300.0, 9_000.0)]
    [150.0, 150.0, 300.0, 1200.0]
    """
    return min(MAX_NO_ROOM_BACKOFF_MS, max(NO_ROOM_BACKOFF_MS, now - since))


class Pools:
    """All pools of this host.

    The requesting hosts decide which host coordinates a pool.
    """

    def __init__(
        self,
        registry: Registry,
        health: HealthTracker,
        connections: Connections,
        wire: Wire,
        clock: Clock,
        configured_limits: Callable[[str], BatchLimits | None],
        budget: Callable[[str], RetryBudget],
        background: BackgroundTasks,
        metrics: ForwardMetrics,
        signals: TargetSignals,
        crashes: CrashMonitor,
    ) -> None:
        self.registry = registry
        self.health = health
        self.connections = connections
        self.wire = wire
        self.clock = clock
        self.configured_limits = configured_limits
        self.known_limits: dict[str, BatchLimits] = {}
        self.budget = budget
        self.pools: dict[tuple[str, Cell], Pool] = {}
        self.task_numbers = itertools.count()
        # The fingerprints of requests that were lost in a call and have not been made since.
        self.lost_in_calls: OrderedDict[int, None] = OrderedDict()
        # The open call with pieces of each isolated request.
        self.isolated_calls: dict[int | str, list[tuple[StageTask, int]]] = {}
        self.background = background
        self.metrics = metrics
        self.signals = signals
        self.crashes = crashes
        self.result_freer = ResultFreer(
            connections, wire, clock, background, self.mark_freed, registry, signals
        )

    def now(self) -> float:
        """Returns the suspend-aware time in milliseconds."""
        return self.clock.monotonic_ms()

    def limits(self, service: str) -> BatchLimits | None:
        """Returns the limits of a service's targets; None if the service runs no stage work.

        A service that has left the configuration keeps its last limits while its targets are there,
        for the work that was admitted before.
        """
        limits = self.configured_limits(service)
        if limits is not None:
            self.known_limits[service] = limits
        elif not self.registry.of_service(service):
            self.known_limits.pop(service, None)
        return self.known_limits.get(service)

    def pool(self, service: str, cell: Cell) -> Pool | None:
        """Returns the pool of a service in a cell; None if the service runs no stage work."""
        limits = self.limits(service)
        if limits is None:
            return None
        pool = self.pools.get((service, cell))
        if pool is None:
            pool = Pool(service, cell, limits, self.budget(service))
            self.pools[service, cell] = pool
        pool.limits = limits
        return pool

    async def run(self, work: Work, stage: int, due_at: float) -> StageFailure | None:
        """Runs one stage and stores its results in `work`, or returns the failure."""
        now = self.now()
        service = work.plans[stage].service
        pool = self.pool(service, work.cell)
        if pool is None or not self.registry.usable(service):
            return StageFailure.NO_TARGETS
        task = StageTask(next(self.task_numbers), work, stage, due_at)
        pool.add(task)
        for _ in range(task.pieces):
            pool.budget.record_request(now)
        self.dispatch(pool)
        failure: StageFailure | None = StageFailure.LATE
        done = False
        try:
            async with asyncio.timeout(max(0.0, work.deadline_at - now) / 1000):
                failure = await task.future
            done = failure is None
        except TimeoutError:
            pass  # the failure is LATE
        finally:
            pool.remove(task)
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

    # Dispatch.

    def dispatch(self, pool: Pool) -> None:
        """Starts the calls that the scheduler assigns to idle targets."""
        now = self.now()
        if not pool.waiting_count():
            return
        if self.limits(pool.service) is None or self.registry.all_leaving(pool.service):
            self.refuse_waiting(pool)
            return
        self.refuse_quarantined_work(pool)
        usable = self.usable(pool, now)
        if self.registry.push_backs.entries:
            self.refuse_pushed_back_work(pool, usable, now)
        if any(pool.is_idle(target, now) for target in usable):
            targets = {target.name: target for target in usable}
            tasks = self.sendable_tasks(pool)
            statuses = [self.target_status(pool, target, now) for target in usable]
            for name, allocations in batching.assign(tasks, statuses, pool.limits, now).items():
                self.start_call(pool, targets[name], allocations, now)
        if pool.waiting_count():
            # The end of a call dispatches again; this covers result space that becomes free and
            # targets that return.
            self.schedule_dispatch(pool, DISPATCH_RETRY_MS)

    def refuse_waiting(self, pool: Pool) -> None:
        """Fails the tasks that wait for a service whose targets are gone or leave."""
        for task in pool.tasks.values():
            if task.waiting:
                task.finish(StageFailure.NO_TARGETS)

    def sendable_tasks(self, pool: Pool) -> list[batching.Task]:
        """Returns the waiting tasks for the scheduler.

        Of equal isolated requests one call is open at a time, over all pools: if each call crashes
        its target, the crashes come one after the other until the request is quarantined.
        """
        tasks = []
        held: set[int | str] = set(self.isolated_calls)
        for task in pool.tasks.values():
            if not task.waiting or task.future.done():
                continue
            isolated = self.is_isolated(task.work)
            if isolated:
                key = task.isolation_key()
                if key in held:
                    continue
                held.add(key)
            tasks.append(task.to_batching_task(isolated))
        return tasks

    def refuse_quarantined_work(self, pool: Pool) -> None:
        """Fails the tasks of requests on which targets crash."""
        if not self.crashes.quarantine.requests:
            return
        for task in pool.tasks.values():
            if task.waiting and self.crashes.is_quarantined(task.work.fingerprint):
                task.finish(StageFailure.QUARANTINED)

    def is_isolated(self, work: Work) -> bool:
        """Returns whether a request may crash its targets, so that its pieces are sent alone.

        Requests that were lost with their engine once are not isolated: they come again all at
        once, and a call for each of them would use up the stage targets.
        """
        lost = work.fingerprint in self.lost_in_calls
        return work.isolated or lost or work.fingerprint in self.crashes.quarantine.requests

    def refuse_pushed_back_work(self, pool: Pool, targets: list[Target], now: float) -> None:
        """Refuses waiting pieces that would be too late after the earliest push-back."""
        push_backs = self.registry.push_backs
        if not targets or push_backs.unblocked(targets, now):
            return
        end = push_backs.earliest_end(targets) + batching.call_ms(pool.limits, 1)
        for task in pool.tasks.values():
            if task.waiting and end > task.work.deadline_at and not task.future.done():
                request_id = task.work.request_id
                task.work.retry_ms = push_backs.caller_retry_ms(targets, request_id, now)
                task.finish(StageFailure.OVERLOADED)

    def usable(self, pool: Pool, now: float) -> list[Target]:
        """Returns the healthy targets of a pool; those with a stuck call only if all have one.

        Those that push back, and cold ones to which other hosts send, are returned only if all are
        like that; their status says until when.
        """
        targets = pool.targets_of_cell(self.registry.usable(pool.service))
        targets = self.registry.push_backs.unblocked(targets, now) or targets
        targets = list(self.registry.warmups.assigned(targets, now)) or targets
        available = self.health.usable(targets, now)
        return [target for target in available if not pool.state(target).stuck] or available

    def free_at(self, pool: Pool, target: Target, now: float) -> float:
        """Returns when a target is expected to take a call; a time that has passed if it does."""
        state = pool.state(target)
        push_backs = self.registry.push_backs
        free_at = max(
            state.blocked_until,
            push_backs.blocked_until(target),
            self.registry.warmups.open_at(target, now),
        )
        if state.calls >= min(pool.limits.slots, push_backs.allowed(target)):
            # An overdue call is expected to take as long again as it is overdue.
            overdue = max(0.0, now - state.expected_end_at)
            free_at = (
                max(free_at, state.expected_end_at + overdue, now + MIN_REMAINING_MS) + overdue
            )
        return free_at

    def slowdown(self, pool: Pool, target: Target) -> float:
        """Returns the ratio of observed to declared call duration of a target."""
        return max(0.5, pool.slowdowns.absolute(target))

    def target_status(self, pool: Pool, target: Target, now: float) -> batching.TargetStatus:
        """Returns the status of a target for the scheduler."""
        return batching.TargetStatus(
            target.name,
            target.zone,
            self.free_at(pool, target, now),
            pool.state(target).free_result_bytes(pool.limits, now),
            self.slowdown(pool, target),
            pool.state(target).used_at,
        )

    def free_result_share(self, service: str, cell: Cell) -> float:
        """Returns the free share of the result space of a service's targets in a cell."""
        pool = self.pool(service, cell)
        if pool is None or pool.limits.room_bytes <= 0:
            return 1.0
        now = self.now()
        free = [
            pool.state(target).free_result_bytes(pool.limits, now)
            for target in self.usable(pool, now)
        ]
        return sum(free) / (pool.limits.room_bytes * len(free)) if free else 1.0

    def schedule_dispatch(self, pool: Pool, delay_ms: float) -> None:
        """Dispatches again after a delay, unless that is already scheduled."""
        if pool.retry_handle is None:
            loop = asyncio.get_running_loop()

            def retry() -> None:
                pool.retry_handle = None
                self.dispatch(pool)

            pool.retry_handle = loop.call_later(delay_ms / 1000, retry)

    def start_call(
        self, pool: Pool, target: Target, allocations: list[Allocation], now: float
    ) -> None:
        """Starts a call with the allocated pieces."""
        batch: list[tuple[StageTask, int]] = []
        state = pool.state(target)
        reserved_bytes = 0.0
        for allocation in allocations:
            task = pool.tasks[allocation.task]
            task.work.started = True
            for _ in range(allocation.pieces):
                number = task.take_piece()
                task.attempts[number] += 1
                task.calls[number] += 1
                batch.append((task, number))
            if self.is_isolated(task.work):
                self.isolated_calls[task.isolation_key()] = batch
            reserved_bytes += allocation.pieces * task.plan.result_bytes
        state.calls += 1
        state.reserved_bytes += reserved_bytes
        expected_ms = batching.call_ms(pool.limits, len(batch)) * max(
            1.0, pool.slowdowns.absolute(target)
        )
        state.expected_end_at = now + expected_ms
        self.health.begin_probe(target, now)
        self.background.spawn(self.call(pool, target, state, batch, reserved_bytes, expected_ms))

    async def call(
        self,
        pool: Pool,
        target: Target,
        state: TargetState,
        batch: list[tuple[StageTask, int]],
        reserved_bytes: float,
        expected_ms: float,
    ) -> None:
        """Performs one call, then handles its results or its failure."""
        started = self.now()
        loop = asyncio.get_running_loop()
        stuck_timer = loop.call_later(
            (STUCK_FACTOR * expected_ms + STUCK_MARGIN_MS) / 1000,
            self.handle_stuck_call,
            pool,
            target,
            batch,
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
        except Exception:
            # A fault of this host; without a result its pieces would wait for their deadline.
            logs.failure(log, "stage_call_failed", target=target.name, service=pool.service)
            error = TargetError("internal", sent=True)
        finally:
            stuck_timer.cancel()
            state.calls -= 1
            state.stuck = False
            state.reserved_bytes -= reserved_bytes
            for task, number in batch:
                task.calls[number] -= 1
            if error is None or not error.ended_by_peer:
                self.end_isolated_call(batch)
        now = self.now()
        state.used_at = now
        duration_ms = now - started
        logs.event(
            log,
            "stage_call",
            target=target.name,
            service=pool.service,
            pieces=len(batch),
            requests=len({task.number for task, _ in batch}),
            waiting=pool.waiting_count(),
            room_kb=round(state.free_result_bytes(pool.limits, now) / 1000),
            took_ms=round(duration_ms),
            error=error.reason if error else None,
        )
        self.metrics.stage_call(pool.service, error.reason if error else "answered", duration_ms)
        if error is None:
            ratio = duration_ms / max(1.0, batching.call_ms(pool.limits, len(batch)))
            pool.slowdowns.record(target, ratio, now)
            self.health.record_success(target, now)
            for task, _ in batch:
                self.lost_in_calls.pop(task.work.fingerprint, None)
            for (task, number), result in zip(batch, results, strict=True):
                self.handle_result(pool, target, state, task, number, result)
        else:
            self.record_call_failure(pool, target, error, now)
            try:
                if error.ended_by_peer:
                    await self.record_crash(pool, target, batch)
            finally:
                self.end_isolated_call(batch)
                self.requeue_call(pool, batch, error)
        self.dispatch(pool)

    def end_isolated_call(self, batch: list[tuple[StageTask, int]]) -> None:
        """Lets the next call start with pieces of an isolated request."""
        calls = self.isolated_calls
        self.isolated_calls = {key: open for key, open in calls.items() if open is not batch}

    async def exchange(
        self,
        pool: Pool,
        target: Target,
        state: TargetState,
        batch: list[tuple[StageTask, int]],
    ) -> list[PieceResult]:
        """Sends the call and returns its results; raises TargetError."""
        connection = await self.connections.open(target.address, self.now())
        reusable = False
        try:
            if not self.registry.is_current(target):
                raise TargetError("left", sent=False)
            if self.registry.push_backs.is_blocked(target, self.now()):
                raise TargetError("pushed back", sent=False)
            if any(self.crashes.is_quarantined(task.work.fingerprint) for task, _ in batch):
                raise TargetError("quarantined", sent=False)
            now = self.now()
            if not self.registry.warmups.try_send(target, now):
                raise TargetError("cold", sent=False)
            pieces = [self.make_piece(task, number, now) for task, number in batch]
            connection.send(*self.wire.pieces_call(target, pieces))
            head = await connection.read_head()
            answer = self.wire.decode_answer(head.status, head.headers)
            self.signals.observe(target, answer)
            body = await connection.read_body()
            results = self.wire.decode_results(body, len(batch)) if answer.status == 200 else None
            if results is not None and not state.add_handles(results):
                raise TargetError("results of another call", sent=True)
            # The answer of a call carries no id: only new handles show that it is not an earlier
            # one, written once more.
            made = results is not None and all(isinstance(result, str) for result in results)
            if made and not answer.leaving:
                self.connections.release_connection(connection, self.now(), answer.idle_s)
                reusable = True
        except TargetError as error:
            error.ended_by_peer = connection.ended_by_peer()
            raise
        finally:
            if not reusable:
                connection.abort()
        if answer.wrong_target:
            self.registry.mark_misdirected(target)
            raise TargetError("wrong target", sent=False)
        if answer.not_run:
            state.blocked_until = self.now() + FULL_BACKOFF_MS
            raise TargetError("full", sent=False)
        if results is None:
            raise TargetError(f"status {answer.status}", sent=True)
        return results

    def make_piece(self, task: StageTask, number: int, now: float) -> Piece:
        """Returns a piece in the form sent to a target."""
        work = task.work
        return Piece(
            work.request_id,
            task.stage,
            number,
            work.deadline_at - now,
            None if task.inputs else work.key,
            task.inputs,
        )

    def handle_stuck_call(
        self, pool: Pool, target: Target, batch: list[tuple[StageTask, int]]
    ) -> None:
        """Retries on other targets the pieces of a call that exceeds its expected duration."""
        now = self.now()
        pool.state(target).stuck = True
        self.end_isolated_call(batch)
        self.health.record_failure(
            target, self.registry.usable(pool.service), CERTAIN_FAULT, "stuck", now
        )
        logs.event(log, "stage_call_stuck", target=target.name, pieces=len(batch))
        for task, number in batch:
            if self.is_open(pool, task) and number not in task.results:
                self.requeue(pool, task, number, now)
        self.dispatch(pool)

    def is_open(self, pool: Pool, task: StageTask) -> bool:
        """Whether a task still needs results."""
        return task.number in pool.tasks and not task.future.done()

    def requeue(self, pool: Pool, task: StageTask, number: int, now: float) -> None:
        """Queues a piece for a retry, if attempts and retry budget are left.

        Otherwise its task fails, unless another call with the piece is open: that may be slow only.
        """
        if number in task.waiting or number in task.results:
            return
        if task.attempts[number] >= MAX_ATTEMPTS or not pool.budget.try_spend(now, hosts=2):
            if not task.calls[number]:
                task.finish(StageFailure.FAILED)
            return
        task.put_back(number)

    def return_piece(self, task: StageTask, number: int) -> None:
        """Queues a piece again that its target did not run, unless a repeat is queued or done."""
        task.attempts[number] -= 1
        if number not in task.waiting and number not in task.results:
            task.put_back(number)

    def record_call_failure(
        self, pool: Pool, target: Target, error: TargetError, now: float
    ) -> None:
        """Charges a failed call to the health of its target."""
        unsent = ("full", "wrong target", "left", "pushed back", "cold", "quarantined")
        if error.reason not in unsent:
            self.signals.observe_failure(target, error)
            weight = LIKELY_FAULT if error.sent else CERTAIN_FAULT
            peers = self.registry.usable(pool.service)
            self.health.record_failure(target, peers, weight, error.reason, now)
            if not error.sent:
                state = pool.state(target)
                state.blocked_until = max(state.blocked_until, now + UNREACHED_BACKOFF_MS)

    async def record_crash(
        self, pool: Pool, target: Target, batch: list[tuple[StageTask, int]]
    ) -> None:
        """Reports the requests of a call that ended with a crash of its target.

        Their pieces are repeated apart from each other: a sound request that was lost together
        with the cause of the crash would be lost with it again.
        """
        requests = {task.work.fingerprint: task.work.request_id for task, _ in batch}
        if await self.crashes.record_stage_loss(target, pool.service, requests):
            for task, _ in batch:
                task.work.isolated = True
            self.lost_in_calls.update(dict.fromkeys(r for r in requests if r))
            while len(self.lost_in_calls) > MAX_LOST_REQUESTS:
                self.lost_in_calls.popitem(last=False)

    def requeue_call(
        self, pool: Pool, batch: list[tuple[StageTask, int]], error: TargetError
    ) -> None:
        """Queues the pieces of a failed call again.

        Pieces that the target did not receive, or refused to run, do not use up an attempt.
        """
        now = self.now()
        for task, number in batch:
            if not self.is_open(pool, task):
                continue
            if error.sent:
                self.requeue(pool, task, number, now)
            else:
                self.return_piece(task, number)

    def handle_result(
        self,
        pool: Pool,
        target: Target,
        state: TargetState,
        task: StageTask,
        number: int,
        result: PieceResult,
    ) -> None:
        """Handles the result or failure that a target returned for one piece."""
        now = self.now()
        if isinstance(result, PieceFailure):
            if not self.is_open(pool, task):
                return
            if result is PieceFailure.LATE:
                task.finish(StageFailure.LATE)
            elif result is PieceFailure.INPUT_GONE:
                task.finish(StageFailure.INPUT_GONE)
            elif result is PieceFailure.NO_ROOM:
                # The target has not run the piece.
                state.blocked_until = now + no_room_backoff_ms(state.start_no_room(now), now)
                self.return_piece(task, number)
            else:
                self.requeue(pool, task, number, now)
            return
        state.no_room_since = None
        size = task.plan.result_bytes
        state.hold(result, size, now + pool.limits.keep_ms)
        stage_result = StageResult(result, target.address, target.zone)
        if not self.is_open(pool, task) or number in task.results:
            self.free(pool.service, [stage_result])
            return
        task.add_result(number, stage_result)
        if len(task.results) == task.pieces:
            task.finish(None)

    def update_gauges(self) -> None:
        """Updates the gauges of waiting pieces and held results."""
        waiting: Counter[str] = Counter()
        held: Counter[str] = Counter()
        for pool in self.pools.values():
            waiting[pool.service] += pool.waiting_count()
            held[pool.service] += sum(len(state.held) for state in pool.targets.values())
        for service, count in waiting.items():
            self.metrics.waiting_pieces.set({"service": service}, count)
            self.metrics.held_results.set({"service": service}, held[service])

    def refuse(self, work: Work) -> None:
        """Fails the open stages of work that has not started, as overloaded."""
        for pool in self.pools.values():
            for task in pool.tasks.values():
                if task.work is work:
                    task.finish(StageFailure.OVERLOADED)

    def free(self, service: str, results: Sequence[StageResult]) -> None:
        """Frees results on the targets that keep them."""
        for result in results:
            self.result_freer.free(service, result)

    def mark_freed(self, service: str, address: str, handles: Sequence[str]) -> None:
        """Updates the free space of a target that has freed results, and dispatches again."""
        for pool in self.pools.values():
            if pool.service == service and pool.mark_freed(address, handles):
                self.dispatch(pool)

    def remove_departed_targets(self) -> None:
        """Drops the state of departed targets and services, and pools without tasks and targets."""
        now = self.now()
        for service in list(self.known_limits):
            self.limits(service)
        for pool in self.pools.values():
            pool.remove_departed_targets(self.registry.of_service(pool.service), now)
        self.pools = {key: p for key, p in self.pools.items() if p.tasks or p.targets}

    async def wait_drained(self) -> None:
        """Waits until all tasks have ended."""
        while any(pool.tasks for pool in self.pools.values()):
            waiting = [t.future for pool in self.pools.values() for t in pool.tasks.values()]
            await asyncio.wait(waiting, timeout=DRAIN_POLL_MS / 1000)
            await asyncio.sleep(0)
