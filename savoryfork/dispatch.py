"""Admits requests on one host and keeps the stage calls that wait for a target."""

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

# An admitted run whose next call has not come after this multiple of the predicted time is taken
# to have ended.
EXPECTED_CALL_FACTOR = 2.0
EXPECTED_CALL_MARGIN_MS = 100.0

# An idle service is not surveyed at the ticks but when it is next used, at most this often. With 21
# services of 20 targets the ticks took 4.5 % of a core otherwise.
IDLE_SURVEY_MS = 100.0

# A slowdown above this is a matter of moments, not of the whole time of a request.
MAX_ADMISSION_SLOWDOWN = 1.5

# The quantile of the slowdowns of whole calls that bounds the slowdown at admission.
ADMISSION_QUANTILE = 0.9


class Dispatcher:
    """Applies the decision modules on one host.

    `policy` is `adaptive`, or one of the baselines `round_robin` and `least_outstanding`, which
    keep a first-come queue and refuse only when that is full.
    """

    def __init__(self, board: Board, clock: Clock, rng: random.Random, policy: str) -> None:
        if policy not in (ADAPTIVE, ROUND_ROBIN, LEAST_OUTSTANDING):
            raise ValueError(f"unknown policy {policy}: use adaptive, round_robin, ...")
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
        """The state of a service; its published settings are taken over at each call."""
        state = self.services.get(service.name)
        if state is None:
            state = self.services[service.name] = ServiceState(service)
            self.target_stats.update(state, self.clock.monotonic_ms())
        state.service = service
        if self.adaptive and state.idle():
            now = self.clock.monotonic_ms()
            if now >= state.survey_ms + IDLE_SURVEY_MS:
                self.target_stats.update(state, now)
                self.target_stats.update_ejections(state, now)
        return state

    # Admission.

    def admit(
        self, pipeline: Pipeline, services: Mapping[str, Service], work: Sequence[Work]
    ) -> None:
        """Decides whether a request is admitted; `work` has one item for each stage.

        Raises ServiceError: NO_TARGETS if a stage has no target, OVERLOADED if a queue is full or
        the workspace has its share of the places, DEADLINE_UNREACHABLE if the predicted end is
        past the deadline.
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
            busy = min(MAX_ADMISSION_SLOWDOWN, self.admission_slowdown(state)) * (
                1 + routing.SLOWDOWN_PER_CALL * state.load
            )
            wait = self.queue_ms(state, item, prediction, now) + state.wait_ms
            times.append((wait, prediction.first_ms + prediction.rest_ms * busy))
        if stages:
            self.check_deadline(now, times, stages[0][1])
        reach = 0.0
        for index, (stage, item) in enumerate(stages):
            state = self.state(services[stage.service])
            until = now + EXPECTED_CALL_FACTOR * reach + EXPECTED_CALL_MARGIN_MS
            entry = (until, sum(times[index][1:]), item.priority)
            state.expected_calls.setdefault((pipeline.name, stage.name), deque()).append(entry)
            state.admitted.append((now, entry[1], item.priority))
            rest = [(s.service, w) for s, w in stages[index + 1 :]]
            self.later_stages[pipeline.name, stage.name] = rest
            reach += sum(times[index])

    def admission_slowdown(self, state: ServiceState) -> float:
        """The slowdown of a service by which predictions at admission are stretched.

        The slowdown of targets also follows waits for a first token that are short beside the whole
        call: unchecked, it put 12 s on calls of 2.5 s and refused them. So it counts only as far
        as whole calls were slowed, and not at all on the evidence of a few calls.
        """
        if len(state.model.slowdowns) < admission.MIN_OBSERVATIONS:
            return 1.0
        return min(
            state.median_slowdown, max(1.0, state.model.slowdowns.quantile(ADMISSION_QUANTILE))
        )

    def check_deadline(self, now: float, times: list[tuple[float, float]], work: Work) -> None:
        """Refuses a request whose predicted time is longer than what its deadline leaves."""
        predicted = admission.request_ms(times, work.priority)
        if now + predicted > work.deadline_ms:
            raise ServiceError(
                ErrorKind.DEADLINE_UNREACHABLE,
                f"predicted to take {predicted:.0f} ms, which is past the deadline;"
                " allow more time or try again later",
            )

    def may_queue(self, state: ServiceState, work: Work) -> bool:
        """Whether the work may join the queue of a service."""
        if not self.adaptive:
            return len(state.queue) < MAX_QUEUE
        shares = {**state.shares, work.workspace: work.share}
        if admission.may_queue(state.queued, shares, work.workspace, MAX_QUEUE):
            return True
        return bool(state.queue) and state.queue[-1].work.priority > work.priority

    def queue_ms(
        self, state: ServiceState, work: Work, prediction: Prediction, now: float
    ) -> float:
        """Expected wait in this host's queue: work ahead of it divided by the slots."""
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
        above = sum(ms for _, ms, priority in state.admitted if priority < work.priority)
        return admission.queue_ms(ahead, above, slots, state.pool.call_ms)

    # The queue.

    async def acquire(
        self, service: Service, work: Work, exclude: frozenset[str] = frozenset()
    ) -> Slot:
        """Waits for a slot on a target whose name is not in `exclude`.

        Raises ServiceError: NO_TARGETS if no target is left, OVERLOADED if the queue is full or
        more important work took the place, DEADLINE_EXCEEDED once the call can no longer end in
        time. A waiter that is cancelled gives back whatever it was given.
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
            self.refuse(state, last, ErrorKind.OVERLOADED, "more important work took the place")
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
        """A waiter for the work, with its prediction and its place."""
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
        """Takes a cancelled waiter out of the queue, or gives back the slot it was just given."""
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
        """Removes a waiter and raises an error in it."""
        self.remove_waiter(state, waiter)
        if not waiter.future.done():
            waiter.future.set_exception(
                ServiceError(kind, f"{state.service.name}: {message}", stage=waiter.work.stage)
            )

    def expire(self, state: ServiceState, now: float) -> None:
        """Refuses waiters that can no longer end in time."""
        for waiter in list(state.queue):
            if waiter.future.done():
                self.remove_waiter(state, waiter)
            elif not admission.can_meet_deadline(now, waiter.lower_ms, waiter.work.deadline_ms):
                self.refuse(
                    state, waiter, ErrorKind.DEADLINE_EXCEEDED, "too late to end by the deadline"
                )

    def fill_slots(self, state: ServiceState) -> None:
        """Gives free slots to waiters until there is none left or nobody can use one."""
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
                    state, waiter, ErrorKind.DEADLINE_EXCEEDED, "too late to end by the deadline"
                )
                continue
            allowed = {view.name: view for view in views if view.name not in waiter.exclude}
            if not allowed:
                self.refuse(state, waiter, ErrorKind.NO_TARGETS, "no target is left")
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
        """The next waiter: by priority, workspaces within their share first, then by rank."""
        over: Waiter | None = None
        for waiter in state.queue:
            if waiter in blocked or (long_blocked and waiter.long and not waiter.exclude):
                continue
            if not self.adaptive:
                return waiter
            if over is not None and waiter.work.priority > over.work.priority:
                return over
            if not admission.exceeds_share(state.held, state.shares, waiter.work.workspace):
                return waiter
            over = over or waiter
        return over

    # Extra calls.

    def hedge_delay_ms(self, service: Service, work: Work) -> float | None:
        """After how long without a whole answer a second call is worth sending.

        None to send none: the service is not idempotent, calls wait for slots, or there is too
        little evidence or time.
        """
        state = self.state(service)
        if not self.adaptive or not service.idempotent or state.queue:
            return None
        now = self.clock.monotonic_ms()
        prediction = state.model.predict(work)
        slow = state.model.slowdowns.quantile(hedging.SLOWDOWN_QUANTILE)
        left = work.deadline_ms - now
        evidence = len(state.model.slowdowns)
        return hedging.delay_ms(prediction.expected_ms, slow, evidence, left, prediction.lower_ms)

    def spend_hedge(self, service: Service) -> bool:
        """Spends one hedge of the budget, if there is one."""
        return self.adaptive and self.state(service).budgets.spend_hedge()

    def spend_retry(self, service: Service) -> bool:
        """Spends one retry of the budget, if there is one."""
        return self.state(service).budgets.spend_retry()

    # Periodic work.

    def tick(self) -> None:
        """Ages what is known, reviews ejections, expires waiters and fills free slots."""
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
            if self.adaptive and now >= state.survey_ms:
                self.target_stats.update(state, now)
                self.target_stats.update_ejections(state, now)
            self.expire(state, now)
            self.fill_slots(state)
