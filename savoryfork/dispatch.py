"""Admission and queueing of stage calls on one host."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Mapping, Sequence

from savoryfork import admission, hedging, routing
from savoryfork.admission import Prediction, Work
from savoryfork.board import Board
from savoryfork.callstate import CallResult, ServiceState, Slot, Waiter
from savoryfork.choice import BaselineChooser, TargetChooser
from savoryfork.errors import ErrorKind, ServiceError
from savoryfork.pipeline import Pipeline, Service
from savoryfork.progress import CallTracker
from savoryfork.survey import TargetStats
from savoryfork.util.timer import Clock

ADAPTIVE = "adaptive"
ROUND_ROBIN = "round_robin"
LEAST_OUTSTANDING = "least_outstanding"

MAX_QUEUE = 1_000

# An admitted run whose next call has not arrived after this multiple of the predicted time, plus
# the margin, is assumed to have ended.
EXPECTED_CALL_FACTOR = 2.0
EXPECTED_CALL_MARGIN_MS = 100.0

# Statistics of an idle service are updated on use instead of at every tick, at most at this
# interval. With 21 services of 20 targets, updates at every tick took 4.5 % of a core.
IDLE_STATS_INTERVAL_MS = 100.0

# Cap on the slowdown used at admission: higher values are transient and do not last for a request.
MAX_ADMISSION_SLOWDOWN = 1.5

# Quantile of the slowdowns of whole calls that bounds the slowdown at admission.
ADMISSION_QUANTILE = 0.9


class Dispatcher:
    """Admits requests, queues their stage calls and assigns targets to them.

    `policy` is `adaptive`, or one of the baselines `round_robin` and `least_outstanding`, which
    use a FIFO queue and refuse only when it is full.
    """

    def __init__(self, board: Board, clock: Clock, rng: random.Random, policy: str) -> None:
        if policy not in (ADAPTIVE, ROUND_ROBIN, LEAST_OUTSTANDING):
            raise ValueError(
                f"unknown policy {policy}: use adaptive, round_robin or least_outstanding"
            )
        self.board = board
        self.clock = clock
        self.rng = rng
        self.policy = policy
        self.adaptive = policy == ADAPTIVE
        self.services: dict[str, ServiceState] = {}
        self.target_stats = TargetStats(board)
        self.calls = CallTracker(
            self.target_stats, clock, self.services, self.adaptive, self.fill_slots
        )
        self.chooser: TargetChooser | BaselineChooser
        if self.adaptive:
            self.chooser = TargetChooser(self.target_stats, rng)
        else:
            self.chooser = BaselineChooser(
                self.target_stats, rng, least=policy == LEAST_OUTSTANDING
            )
        self.later_stages: dict[tuple[str, str], list[tuple[str, Work]]] = {}

    def state(self, service: Service) -> ServiceState:
        """Returns the state of a service, with its currently published settings."""
        state = self.services.get(service.name)
        if state is None:
            state = self.services[service.name] = ServiceState(service)
            self.target_stats.update(state, self.clock.monotonic_ms())
        state.service = service
        if self.adaptive and state.idle():
            now = self.clock.monotonic_ms()
            if now >= state.stats_due_ms + IDLE_STATS_INTERVAL_MS:
                self.target_stats.update(state, now)
                self.target_stats.update_ejections(state, now)
        return state

    # Admission.

    def admit(
        self, pipeline: Pipeline, services: Mapping[str, Service], work: Sequence[Work]
    ) -> None:
        """Decides whether a request is admitted; `work` has one item for each stage.

        Raises ServiceError: NO_TARGETS if a stage has no target, OVERLOADED if a queue is full or
        the workspace is over its share of it, DEADLINE_UNREACHABLE if the predicted end is past
        the deadline.
        """
        now = self.clock.monotonic_ms()
        calls = {item.stage: item for item in work}
        stages = [(stage, calls[stage.name]) for stage in pipeline.stages if stage.name in calls]
        for stage, _ in stages:
            if not self.board.targets_of(stage.service):
                raise ServiceError(
                    ErrorKind.NO_TARGETS,
                    f"service {stage.service} has no live target; try again later",
                    stage=stage.name,
                )
        for stage, item in stages:
            if not self.may_queue(self.state(services[stage.service]), item):
                raise ServiceError(
                    ErrorKind.OVERLOADED,
                    f"the queue for {stage.service} is full; try again later",
                    stage=stage.name,
                )
        if not self.adaptive:
            return
        times: list[tuple[float, float]] = []
        for stage, item in stages:
            state = self.state(services[stage.service])
            prediction = state.model.predict(item)
            slowdown = min(MAX_ADMISSION_SLOWDOWN, self.admission_slowdown(state)) * (
                1 + routing.SLOWDOWN_PER_CALL * state.load
            )
            wait = self.queue_ms(state, item, prediction, now) + state.wait_ms
            times.append((wait, prediction.first_ms + prediction.rest_ms * slowdown))
        if stages:
            self.check_deadline(now, times, stages[0][1])
        elapsed_ms = 0.0
        for index, (stage, item) in enumerate(stages):
            state = self.state(services[stage.service])
            until = now + EXPECTED_CALL_FACTOR * elapsed_ms + EXPECTED_CALL_MARGIN_MS
            entry = (until, sum(times[index][1:]), item.priority)
            state.expected_calls.setdefault((pipeline.name, stage.name), deque()).append(entry)
            state.admitted.append((now, entry[1], item.priority))
            rest = [(s.service, w) for s, w in stages[index + 1 :]]
            self.later_stages[pipeline.name, stage.name] = rest
            elapsed_ms += sum(times[index])

    def admission_slowdown(self, state: ServiceState) -> float:
        """Returns the slowdown factor applied to predictions at admission.

        The slowdown of targets also reflects waits for a first token that are short compared with
        the whole call: unbounded, it added 12 s to calls of 2.5 s and refused them. So it is
        bounded by the slowdown of whole calls, and is 1 while there are few observations.
        """
        if len(state.model.slowdowns) < admission.MIN_OBSERVATIONS:
            return 1.0
        return min(
            state.median_slowdown, max(1.0, state.model.slowdowns.quantile(ADMISSION_QUANTILE))
        )

    def check_deadline(self, now: float, times: list[tuple[float, float]], work: Work) -> None:
        """Raises DEADLINE_UNREACHABLE if the predicted time exceeds the remaining time."""
        predicted = admission.request_ms(times, work.priority)
        if now + predicted > work.deadline_ms:
            raise ServiceError(
                ErrorKind.DEADLINE_UNREACHABLE,
                f"predicted time of {predicted:.0f} ms exceeds the deadline;"
                " allow more time or try again later",
            )

    def may_queue(self, state: ServiceState, work: Work) -> bool:
        """Returns True if the work may join the queue of a service."""
        if not self.adaptive:
            return len(state.queue) < MAX_QUEUE
        shares = {**state.shares, work.workspace: work.share}
        if admission.may_queue(state.queued, shares, work.workspace, MAX_QUEUE):
            return True
        return bool(state.queue) and state.queue[-1].work.priority > work.priority

    def queue_ms(
        self, state: ServiceState, work: Work, prediction: Prediction, now: float
    ) -> float:
        """Estimates the queueing time on this host: work ahead divided by the slots."""
        key = admission.rank(work, prediction.expected_ms, now)
        ahead = 0.0
        long = state.model.is_long(prediction.expected_ms)
        for waiter in state.queue:
            if waiter.key > key:
                break
            if long or not waiter.long:
                ahead += waiter.prediction.expected_ms
        for entries in state.expected_calls.values():
            ahead += sum(ms for until, ms, p in entries if until > now and p <= work.priority)
        held = sum(state.held.values())
        slots = max(state.slots, held)
        free = slots - held
        if not state.queue and free > 0 and ahead < free * state.pool.call_ms:
            return 0.0
        while state.admitted and state.admitted[0][0] < now - admission.DEMAND_MS:
            state.admitted.popleft()
        higher_priority_ms = sum(
            ms for _, ms, priority in state.admitted if priority < work.priority
        )
        return admission.queue_ms(ahead, higher_priority_ms, slots, state.pool.call_ms)

    # The queue.

    async def acquire(
        self, service: Service, work: Work, exclude: frozenset[str] = frozenset()
    ) -> Slot:
        """Waits for a slot on a target whose name is not in `exclude`.

        Raises ServiceError: NO_TARGETS if no target is left, OVERLOADED if the queue is full or
        work of higher priority displaced the call, DEADLINE_EXCEEDED once the call can no longer
        meet its deadline. A cancelled waiter releases its slot if it got one.
        """
        now = self.clock.monotonic_ms()
        state = self.state(service)
        state.budgets.record_call()
        expected = state.expected_calls.get((work.pipeline, work.stage))
        if expected:
            expected.popleft()
        waiter = self.waiter(state, work, exclude, now)
        if len(state.queue) >= MAX_QUEUE:
            last = state.queue[-1]
            if not self.adaptive or last.key <= waiter.key:
                raise ServiceError(ErrorKind.OVERLOADED, f"the queue for {service.name} is full")
            self.refuse(
                state,
                last,
                ErrorKind.OVERLOADED,
                "displaced from the queue by work of higher priority",
            )
        state.queue.add(waiter)
        state.queued[work.workspace] += 1
        state.shares[work.workspace] = work.share
        self.fill_slots(state)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self.withdraw(state, waiter)
            raise

    def waiter(
        self, state: ServiceState, work: Work, exclude: frozenset[str], now: float
    ) -> Waiter:
        """Creates a waiter with its prediction and its queue key."""
        if not self.adaptive:
            state.turn += 1
            prediction = Prediction(0.0, 0.0, 0.0, 0.0)
            return Waiter(work, exclude, prediction, 0.0, (0, float(state.turn)), False)
        prediction = state.model.predict(work)
        lower = prediction.lower_ms
        for name, later in self.later_stages.get((work.pipeline, work.stage), ()):
            if name in self.services:
                lower += self.services[name].model.predict(later).lower_ms
        long = state.model.is_long(prediction.expected_ms)
        state.model.expected_times.add(prediction.expected_ms)
        key = admission.rank(work, prediction.expected_ms, now)
        return Waiter(work, exclude, prediction, lower, key, long)

    def withdraw(self, state: ServiceState, waiter: Waiter) -> None:
        """Removes a cancelled waiter from the queue, or releases the slot it was just assigned."""
        future = waiter.future
        if future.done() and not future.cancelled():
            if future.exception() is None:
                self.calls.release(future.result(), CallResult.CANCELLED, 0)
        elif waiter in state.queue:
            self.remove_waiter(state, waiter)
            self.fill_slots(state)

    def remove_waiter(self, state: ServiceState, waiter: Waiter) -> None:
        """Removes a waiter from the queue."""
        state.queue.remove(waiter)
        state.queued[waiter.work.workspace] -= 1
        state.forget(waiter.work.workspace)

    def refuse(self, state: ServiceState, waiter: Waiter, kind: ErrorKind, message: str) -> None:
        """Removes a waiter and fails it with a ServiceError."""
        self.remove_waiter(state, waiter)
        if not waiter.future.done():
            waiter.future.set_exception(
                ServiceError(kind, f"{state.service.name}: {message}", stage=waiter.work.stage)
            )

    def expire(self, state: ServiceState, now: float) -> None:
        """Refuses waiters that can no longer meet their deadline."""
        for waiter in list(state.queue):
            if waiter.future.done():
                self.remove_waiter(state, waiter)
            elif not admission.can_meet_deadline(now, waiter.lower_ms, waiter.work.deadline_ms):
                self.refuse(
                    state, waiter, ErrorKind.DEADLINE_EXCEEDED, "the deadline can no longer be met"
                )

    def fill_slots(self, state: ServiceState) -> None:
        """Assigns free slots to waiters until none is left or no waiter can use one."""
        if not state.queue:
            return
        now = self.clock.monotonic_ms()
        views = self.board.targets_of(state.service.name)
        blocked: set[Waiter] = set()
        long_blocked = False
        while True:
            waiter = self.pick(state, blocked, long_blocked)
            if waiter is None:
                return
            if waiter.future.done():
                self.remove_waiter(state, waiter)
                continue
            if not admission.can_meet_deadline(now, waiter.lower_ms, waiter.work.deadline_ms):
                self.refuse(
                    state, waiter, ErrorKind.DEADLINE_EXCEEDED, "the deadline can no longer be met"
                )
                continue
            allowed = {view.name: view for view in views if view.name not in waiter.exclude}
            if not allowed:
                self.refuse(
                    state,
                    waiter,
                    ErrorKind.NO_TARGETS,
                    "no target is available: all are excluded or gone",
                )
                continue
            choice = self.chooser.choose(state, waiter, allowed, now)
            if choice is not None:
                slot = self.calls.start(state, waiter, allowed[choice.name], choice, now)
                self.remove_waiter(state, waiter)
                waiter.future.set_result(slot)
            elif waiter.exclude:
                blocked.add(waiter)
            elif waiter.long:
                long_blocked = True
            else:
                return

    def pick(self, state: ServiceState, blocked: set[Waiter], long_blocked: bool) -> Waiter | None:
        """Returns the next waiter by priority, then workspaces within their share, then rank."""
        over_share: Waiter | None = None
        for waiter in state.queue:
            if waiter in blocked or (long_blocked and waiter.long and not waiter.exclude):
                continue
            if not self.adaptive:
                return waiter
            if over_share is not None and waiter.work.priority > over_share.work.priority:
                return over_share
            if not admission.exceeds_share(state.held, state.shares, waiter.work.workspace):
                return waiter
            over_share = over_share or waiter
        return over_share

    # Hedges and retries.

    def hedge_delay_ms(self, service: Service, work: Work) -> float | None:
        """Returns the delay without a complete answer after which to hedge.

        None if the call must not be hedged: the service is not idempotent, calls are queued, or
        there are too few observations or too little time.
        """
        state = self.state(service)
        if not self.adaptive or not service.idempotent or state.queue:
            return None
        now = self.clock.monotonic_ms()
        prediction = state.model.predict(work)
        slowdown = state.model.slowdowns.quantile(hedging.SLOWDOWN_QUANTILE)
        left = work.deadline_ms - now
        observations = len(state.model.slowdowns)
        return hedging.delay_ms(
            prediction.expected_ms, slowdown, observations, left, prediction.lower_ms
        )

    def spend_hedge(self, service: Service) -> bool:
        """Spends one hedge from the budget; returns False if it is exhausted."""
        return self.adaptive and self.state(service).budgets.spend_hedge()

    def spend_retry(self, service: Service) -> bool:
        """Spends one retry from the budget; returns False if it is exhausted."""
        return self.state(service).budgets.spend_retry()

    # Periodic work.

    def tick(self) -> None:
        """Prunes stale state, updates ejections, expires waiters and fills free slots."""
        now = self.clock.monotonic_ms()
        self.target_stats.prune()
        for state in self.services.values():
            for key, entries in list(state.expected_calls.items()):
                while entries and entries[0][0] <= now:
                    entries.popleft()
                if not entries:
                    del state.expected_calls[key]
            if state.idle():
                continue
            if self.adaptive and now >= state.stats_due_ms:
                self.target_stats.update(state, now)
                self.target_stats.update_ejections(state, now)
            self.expire(state, now)
            self.fill_slots(state)
