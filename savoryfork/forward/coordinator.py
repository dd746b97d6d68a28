"""Coordinates the stage work of all hosts on one of them: admits requests and runs their stages."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import NamedTuple

from savoryfork.forward import planning
from savoryfork.forward.backlog import Arrivals, Backlog
from savoryfork.forward.batching import call_ms
from savoryfork.forward.cells import Cell
from savoryfork.forward.messages import WorkReply, WorkRequest
from savoryfork.forward.metrics import ForwardMetrics
from savoryfork.forward.model import BatchLimits
from savoryfork.forward.planning import AdmissionDecision, ServiceQueue
from savoryfork.forward.pools import Pools
from savoryfork.forward.shares import Shares, capacity_share
from savoryfork.forward.work import StageError, StageFailure, Work
from savoryfork.util import logs
from savoryfork.util.window import Window

log = logging.getLogger(__name__)


# Window for the arrival rate of more urgent work, which predicts its future rate: bursts last
# seconds.
ARRIVAL_WINDOW_MS = 1_000.0


# Safety margin of admission: this quantile of the delays beyond prediction of the last accepted
# requests. Predictions leave out waits for a target in the preferred zone.
DELAY_SAMPLES = 48
DELAY_QUANTILE = 0.6


# Interval at which a stage that waits for other branches of its request is reviewed.
START_CHECK_MS = 25.0


# The queue of a service that has left the configuration and has no targets: nothing starts there.
GONE_QUEUE = ServiceQueue(BatchLimits(0, 1, 0.0, 0.0, 0.0, 0.0), 0, 0.0, 0.0, 1.0)


def rounded_ms(duration_ms: float) -> int | None:
    """Returns a duration for a log line; None for one without end, as without any target.

    >>> rounded_ms(1.6), rounded_ms(math.inf)
    (2, None)
    """
    return round(duration_ms) if math.isfinite(duration_ms) else None


class StartedQueue(NamedTuple):
    """A service's queue without the pieces ahead, as of `at`; `started` pieces are in calls.

    Decisions on several requests at the same time share it.
    """

    at: float
    queue: ServiceQueue
    started: int


class Outlook(NamedTuple):
    """The expected wait of a new piece of a service behind all waiting ones, and the free share of
    its targets' result space, as of `at`.
    """

    at: float
    wait_ms: float
    free_share: float


class Coordinator:
    """Runs the stages of requests on the pools of this host.

    The requesting hosts agree on the coordinator. For a moment after a change there may be two,
    which only makes the order and the batching of calls worse.
    """

    def __init__(self, pools: Pools, metrics: ForwardMetrics) -> None:
        self.pools = pools
        self.metrics = metrics
        self.active: dict[int, Work] = {}
        self.backlog = Backlog()
        self.arrivals = Arrivals(ARRIVAL_WINDOW_MS)
        self.delays = Window(DELAY_SAMPLES)
        self.shares = Shares()
        self.outlooks: dict[tuple[str, Cell], Outlook] = {}
        self.started_queues: dict[tuple[str, Cell], StartedQueue] = {}

    async def handle(self, request: WorkRequest) -> WorkReply:
        """Runs the stages of a request for another host or for this one."""
        now = self.pools.now()
        work = self.work_of(request, now)
        try:
            self.admit(work, now)
            await self.run(work)
        except StageError as error:
            return WorkReply({}, error.failure.value, error.stage, error.retry_ms)
        return WorkReply({stage: work.results[stage] for stage in work.final_stages()})

    def work_of(self, request: WorkRequest, now: float) -> Work:
        """Returns the work that a message asks for."""
        return Work(
            request.request_id,
            request.plans,
            request.pieces,
            request.key,
            request.priority,
            now + request.remaining_ms,
            now + request.aim_ms,
            request.zone,
            request.cell,
            request.fingerprint,
            request.workspace,
        )

    # Admission.

    def admit(self, work: Work, now: float) -> None:
        """Admits the work as on time or late; raises StageError if it is refused."""
        for stage in work.nonempty_stages():
            service = work.plans[stage].service
            pool = self.pools.pool(service, work.cell)
            if pool is None or not self.pools.registry.usable(service):
                raise StageError(StageFailure.NO_TARGETS, stage, 0.0)
        work.over_share = self.shares.is_over(work.workspace, now)
        on_time_queues = self.queues(work, now, late=False)
        work.capacity_ms = capacity_share(work.plans, work.pieces, on_time_queues)
        on_time_at = planning.expected_finish_at(work.plans, work.pieces, on_time_queues, now)
        late_at = self.expected_finish_at(work, now, late=True)
        margin_ms = self.delays.quantile(DELAY_QUANTILE)
        due_at = work.aim_at - margin_ms
        if on_time_at > due_at >= now + self.min_duration_ms(work):
            self.shares.record_shortage(now)
        if work.over_share:
            # It gets what all others leave, whatever their priority.
            on_time_at = max(on_time_at, late_at)
        decision = planning.decide_admission(on_time_at, late_at, due_at, work.deadline_at, now)
        work.predicted_end_at = on_time_at
        logs.event(
            log,
            "work_" + decision.value,
            request=work.request_id,
            priority=work.priority,
            workspace=work.workspace or None,
            over_share=work.over_share or None,
            pieces=",".join(map(str, work.pieces)),
            expected_ms=rounded_ms(on_time_at - now),
            margin_ms=round(margin_ms),
            expected_late_ms=rounded_ms(late_at - now),
            due_ms=round(work.aim_at - now),
            left_ms=round(work.deadline_at - now),
            active=len(self.active),
        )
        self.metrics.stage_work.inc({"decision": decision.value})
        if work.over_share:
            self.metrics.over_share_work.inc({"decision": decision.value})
        if decision is AdmissionDecision.REFUSED:
            retry_ms = planning.refusal_retry_ms(late_at, work.request_id, now)
            raise StageError(StageFailure.OVERLOADED, work.nonempty_stages()[0], retry_ms)
        work.late = decision is AdmissionDecision.LATE
        self.arrivals.add(work, now)
        self.shares.record(work.workspace, work.capacity_ms, now)

    async def refuse_unreachable_work(self) -> None:
        """Refuses unstarted work that is no longer expected to finish within its deadline.

        More urgent work may have arrived, or targets may have left. Nothing has run for the request
        yet, so its caller can retry elsewhere or later.
        """
        now = self.pools.now()
        self.arrivals.expire(now)
        for work in list(self.active.values()):
            if work.started or now <= work.aim_at - self.min_duration_ms(work):
                continue
            self.mark_late(work)
            end = self.expected_finish_at(work, now, late=True)
            if not planning.can_finish_late(end, work.deadline_at, now):
                work.retry_ms = planning.refusal_retry_ms(end, work.request_id, now)
                logs.event(
                    log,
                    "work_given_up",
                    request=work.request_id,
                    priority=work.priority,
                    expected_ms=rounded_ms(end - now),
                    left_ms=round(work.deadline_at - now),
                )
                self.metrics.stage_work.inc({"decision": "given_up"})
                self.shares.record(work.workspace, -work.capacity_ms, now)
                self.pools.refuse(work)

    def min_duration_ms(self, work: Work) -> float:
        """Returns the expected duration of all stages without queueing."""
        entry_stages = [stage for stage in work.nonempty_stages() if not work.dependencies(stage)]
        return max(
            (self.stage_ms(work, s) + self.downstream_ms(work, s) for s in entry_stages),
            default=0.0,
        )

    def expected_finish_at(self, work: Work, now: float, late: bool) -> float:
        """Returns when the work is expected to finish if it is queued as late or as on time."""
        queues = self.queues(work, now, late)
        return planning.expected_finish_at(work.plans, work.pieces, queues, now)

    def mark_late(self, work: Work) -> None:
        """Counts work as late from now on."""
        if not work.late:
            work.late = True
            self.backlog.update(work)
            self.arrivals.update(work)

    def queues(self, work: Work, now: float, late: bool) -> dict[str, ServiceQueue]:
        """Returns the queues that the work would join, by service, with the work ahead of it."""
        arrival_rates = self.arrivals.rates_ahead(work, now, late)
        pieces_ahead = self.backlog.pieces_ahead(work, late)
        by_service = {}
        for stage in work.nonempty_stages():
            service = work.plans[stage].service
            if service not in by_service:
                queue = self.queue(service, work.cell, pieces_ahead.get(service, 0), now)
                by_service[service] = queue._replace(arrival_rate=arrival_rates.get(service, 0.0))
        return by_service

    def queue(self, service: str, cell: Cell, pieces_ahead: float, now: float) -> ServiceQueue:
        """Returns the queue of one service in a cell, given the unfinished pieces ahead."""
        known = self.started_queues.get((service, cell))
        if known is None or known.at != now:
            known = self.started_queues[service, cell] = self.started_queue(service, cell, now)
        return known.queue._replace(pieces_ahead=max(0.0, pieces_ahead - known.started))

    def started_queue(self, service: str, cell: Cell, now: float) -> StartedQueue:
        """Returns the queue of one service without the pieces ahead."""
        pool = self.pools.pool(service, cell)
        if pool is None:
            return StartedQueue(now, GONE_QUEUE, 0)
        targets = self.pools.usable(pool, now)
        slowdowns = sorted(self.pools.slowdown(pool, target) for target in targets) or [1.0]
        queue = ServiceQueue(
            pool.limits,
            len(targets),
            min((self.pools.free_at(pool, target, now) for target in targets), default=now),
            0.0,
            slowdowns[len(slowdowns) // 2],
        )
        return StartedQueue(now, queue, pool.started_count())

    # Stage execution.

    async def run(self, work: Work) -> None:
        """Runs all stages; the results of the final ones stay in `work`. Raises StageError.

        Results of other stages are freed once the stages that need them have ended. If the work
        fails or its caller leaves, all results are freed.
        """
        self.active[id(work)] = work
        self.backlog.update(work)
        tasks: dict[int, asyncio.Task[None]] = {}
        for stage in sorted(work.nonempty_stages()):
            tasks[stage] = asyncio.create_task(self.run_stage(work, stage, tasks))
        done = False
        try:
            await asyncio.gather(*tasks.values())
            done = True
            if not work.late:
                self.delays.add(self.pools.now() - work.predicted_end_at)
        finally:
            del self.active[id(work)]
            self.backlog.remove(work)
            for task in tasks.values():
                task.cancel()
            keep = set(work.final_stages()) if done else set()
            for stage in work.results:
                if stage not in keep:
                    self.free_results(work, stage)

    async def run_stage(self, work: Work, stage: int, tasks: dict[int, asyncio.Task[None]]) -> None:
        """Runs one stage once the stages it depends on have ended; raises StageError.

        `tasks` are the tasks of all stages of the work.
        """
        for dependency in work.dependencies(stage):
            # Shielded: cancelling a stage must not cancel the stages that it waits for.
            await asyncio.shield(tasks[dependency])
        while not self.may_start(work, stage):
            others = [task for s, task in tasks.items() if s != stage and not task.done()]
            if not others:
                break
            await asyncio.wait(others, timeout=START_CHECK_MS / 1000)
        failure = await self.pools.run(work, stage, work.aim_at - self.downstream_ms(work, stage))
        if failure is not None:
            raise StageError(failure, stage, work.retry_ms)
        if id(work) in self.active:
            self.backlog.update(work)
        for dependency in work.dependencies(stage):
            if all(later in work.results for later in work.dependents(dependency)):
                self.free_results(work, dependency)

    def free_results(self, work: Work, stage: int) -> None:
        """Frees the results of a stage, unless that was done before."""
        if stage not in work.freed:
            work.freed.add(stage)
            self.pools.free(work.plans[stage].service, work.results[stage])

    def may_start(self, work: Work, stage: int) -> bool:
        """Whether a stage starts now; see `planning.may_start`."""
        if stage not in work.final_stages():
            return True
        others = [s for s in work.nonempty_stages() if s != stage and s not in work.results]
        others_ms = max(
            (self.stage_ms(work, s) + self.downstream_ms(work, s) for s in others), default=0.0
        )
        own_ms = self.stage_ms(work, stage)
        if not others or others_ms <= own_ms:
            return True
        outlook = self.outlook(work.plans[stage].service, work.cell)
        return planning.may_start(own_ms + outlook.wait_ms, others_ms, outlook.free_share)

    def outlook(self, service: str, cell: Cell) -> Outlook:
        """Returns the outlook of a service, computed once for all stages that are reviewed."""
        now = self.pools.now()
        known = self.outlooks.get((service, cell))
        if known is None or now - known.at >= START_CHECK_MS:
            known = Outlook(now, 0.0, 1.0)
            pool = self.pools.pool(service, cell)
            # A new configuration may no longer have the service; its stages fail when they start.
            if pool is not None:
                queue = self.queue(service, cell, pool.waiting_count(), now)
                wait_ms = planning.expected_start_at(queue, now) - now
                known = Outlook(now, wait_ms, self.pools.free_result_share(service, cell))
            self.outlooks[service, cell] = known
        return known

    def downstream_ms(self, work: Work, stage: int) -> float:
        """Returns the expected time from the end of a stage to the final one, without queueing."""
        longest = 0.0
        for later in work.nonempty_stages():
            if stage in work.dependencies(later):
                longest = max(longest, self.stage_ms(work, later) + self.downstream_ms(work, later))
        return longest

    def stage_ms(self, work: Work, stage: int) -> float:
        """Returns the declared duration of one call with the pieces of a stage."""
        limits = self.pools.limits(work.plans[stage].service)
        return call_ms(limits, min(work.pieces[stage], limits.batch)) if limits else 0.0
