"""Chooses targets for stage calls on one host and keeps the calls that wait for one."""

from __future__ import annotations

import asyncio
import enum
import random
import statistics
from collections import Counter, deque
from collections.abc import Mapping, Sequence

from sortedcontainers import SortedKeyList

from savoryfork import admission, ejection, hedging, routing
from savoryfork.admission import Prediction, Work, WorkModel
from savoryfork.board import Board, TargetView
from savoryfork.errors import ErrorKind, ServiceError
from savoryfork.pipeline import Pipeline, Service
from savoryfork.util import rendezvous
from savoryfork.util.timer import Clock
from savoryfork.util.window import Window

__all__ = ["CallResult", "Dispatcher", "Slot", "Work"]

ADAPTIVE = "adaptive"
ROUND_ROBIN = "round_robin"
LEAST_OUTSTANDING = "least_outstanding"

MAX_QUEUE = 1_000

# Changes of the own outstanding calls that are kept per target, to look up how many there were
# when a load report was taken.
TIMELINE = 256

# An admitted run whose next call has not come after this multiple of the predicted time is taken
# to have ended.
EXPECTED_CALL_FACTOR = 2.0
EXPECTED_CALL_MARGIN_MS = 100.0

# Long prompts that a host has in process at once, at least: an engine processes one after the
# other, so more only delay short work. With 1, the p99 of long work was 1.27 of the baseline's,
# with 2 it was 1.14 (bench, short-behind-long).
LONG_PROMPTS = 2

# An idle service is not surveyed at the ticks but when it is next used, at most this often. With 21
# services of 20 targets the ticks took 4.5 % of a core otherwise.
IDLE_SURVEY_MS = 100.0

# A service is surveyed at each tick, but not more often than this for each of its targets: a survey
# of 2,000 targets took 17 ms, which is far over the budget of 4 % of a core at every tick.
SURVEY_MS_PER_TARGET = 0.5

# A pace above this is a matter of moments, not of the whole time of a request.
MOST_PACE = 1.5

# The quantile of the slowdowns of whole calls that bounds the pace at admission.
ADMISSION_QUANTILE = 0.9

# A probe goes only with a call that has this many times its expected time left.
PROBE_SLACK = 4.0
PROBE_GOOD = 2.0


class CallResult(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    CONNECT_FAILED = "connect_failed"
    CANCELLED = "cancelled"
    MISMATCHED = "mismatched"


class Slot:
    """The right to make one call to one target, held until `Dispatcher.release`.

    `next_ms` is the expected time from `last_ms`, the last sign of the call, to the next one;
    `tokens` counts the tokens that have arrived. `straggling` is set once the call itself shows
    that its target is a straggler, so that a hedge is worth sending before its delay.
    """

    def __init__(
        self, target: TargetView, work: Work, started_ms: float, prediction: Prediction, long: bool
    ) -> None:
        self.target = target
        self.work = work
        self.started_ms = started_ms
        self.prediction = prediction
        self.long = long
        self.outgrown = False
        self.probe = False
        self.at_home = False
        self.released = False
        self.first_ms: float | None = None
        self.last_ms = started_ms
        self.next_ms = prediction.expected_ms
        self.tokens = 0
        self.marked_tokens = 0
        self.straggling = asyncio.Event()


class Waiter:
    """A call that waits for a slot; `lower_ms` includes the later stages of its pipeline."""

    def __init__(
        self,
        work: Work,
        exclude: frozenset[str],
        prediction: Prediction,
        lower_ms: float,
        key: tuple[int, float],
        long: bool,
    ) -> None:
        self.work = work
        self.exclude = exclude
        self.prediction = prediction
        self.lower_ms = lower_ms
        self.key = key
        self.long = long
        self.future: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()


class TargetState:
    """What this host remembers of one incarnation of a target."""

    def __init__(self) -> None:
        self.slots: set[Slot] = set()
        self.long = 0
        self.prefill_ms = 0.0
        self.health = ejection.Health()
        self.probing = False
        self.timeline: deque[tuple[float, int]] = deque(maxlen=TIMELINE)
        self.reported_ms = -1.0
        self.surveyed_ms = -1.0
        self.own_then = 0

    def note(self, now_ms: float) -> None:
        """Remembers the number of own calls from now on."""
        self.timeline.append((now_ms, len(self.slots)))

    def own_at(self, at_ms: float) -> int:
        """How many own calls were outstanding at a time."""
        if at_ms != self.reported_ms:
            self.reported_ms = at_ms
            self.own_then = next((n for at, n in reversed(self.timeline) if at <= at_ms), 0)
        return self.own_then


class ServiceState:
    """What this host knows of one service."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.model = WorkModel()
        self.budgets = hedging.Budgets()
        self.queue: SortedKeyList = SortedKeyList(key=lambda waiter: waiter.key)
        self.queued: Counter[str] = Counter()
        self.held: Counter[str] = Counter()
        self.shares: dict[str, float] = {}
        self.expected_calls: dict[tuple[str, str], deque[tuple[float, float, int]]] = {}
        self.offered: deque[tuple[float, float, int]] = deque()
        self.long = 0
        self.long_prefills = 0
        self.long_prefill_ms = 0.0
        self.most_running = 0
        self.kept: tuple[tuple[str, ...], frozenset[str]] = ((), frozenset())
        self.durations = Window(64)
        self.capacities = Window(16)
        self.pool = routing.Pool(0.0, admission.CALL_MS, float("inf"), 1)
        self.median_pace = 1.0
        self.load = 0.0
        self.wait_ms = 0.0
        self.slots = 0
        self.survey_ms = 0.0
        self.turn = 0
        self.started = 0
        self.outgrown = 0

    def idle(self) -> bool:
        """True if no call is outstanding or waiting."""
        return not self.queue and not any(self.held.values())


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
        self.targets: dict[tuple[str, str], TargetState] = {}
        self.later: dict[tuple[str, str], list[tuple[str, Work]]] = {}

    def state(self, service: Service) -> ServiceState:
        """The state of a service; its published settings are taken over at each call."""
        state = self.services.get(service.name)
        if state is None:
            state = self.services[service.name] = ServiceState(service)
            self.survey(state, self.clock.monotonic_ms())
        state.service = service
        if self.adaptive and state.idle():
            now = self.clock.monotonic_ms()
            if now >= state.survey_ms + IDLE_SURVEY_MS:
                self.survey(state, now)
                self.review(state, now)
        return state

    def target(self, view: TargetView) -> TargetState:
        """The state of a target's incarnation."""
        key = (view.name, view.incarnation)
        found = self.targets.get(key)
        if found is None:
            found = self.targets[key] = TargetState()
        return found

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
            if not self.has_place(self.state(services[stage.service]), item):
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
            busy = min(MOST_PACE, self.admission_pace(state)) * (1 + routing.CROWDING * state.load)
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
            state.offered.append((now, entry[1], item.priority))
            rest = [(s.service, w) for s, w in stages[index + 1 :]]
            self.later[pipeline.name, stage.name] = rest
            reach += sum(times[index])

    def admission_pace(self, state: ServiceState) -> float:
        """The pace of a service by which predictions at admission are stretched.

        The pace of targets also follows waits for a first token that are short beside the whole
        call: unchecked, it put 12 s on calls of 2.5 s and refused them. So it counts only as far
        as whole calls were slowed, and not at all on the evidence of a few calls.
        """
        if len(state.model.slowdowns) < admission.MIN_EVIDENCE:
            return 1.0
        return min(state.median_pace, max(1.0, state.model.slowdowns.quantile(ADMISSION_QUANTILE)))

    def check_deadline(self, now: float, times: list[tuple[float, float]], work: Work) -> None:
        """Refuses a request whose predicted time is longer than what its deadline leaves."""
        predicted = admission.request_ms(times, work.priority)
        if now + predicted > work.deadline_ms:
            raise ServiceError(
                ErrorKind.DEADLINE_UNREACHABLE,
                f"predicted to take {predicted:.0f} ms, which is past the deadline;"
                " allow more time or try again later",
            )

    def has_place(self, state: ServiceState, work: Work) -> bool:
        """Whether the work may join the queue of a service."""
        if not self.adaptive:
            return len(state.queue) < MAX_QUEUE
        shares = {**state.shares, work.workspace: work.share}
        if admission.place_allowed(state.queued, shares, work.workspace, MAX_QUEUE):
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
        while state.offered and state.offered[0][0] < now - admission.DEMAND_MS:
            state.offered.popleft()
        above = sum(ms for _, ms, priority in state.offered if priority < work.priority)
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
        state.budgets.call()
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
        self.pump(state)
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
        for name, later in self.later.get((work.pipeline, work.stage), ()):
            if name in self.services:
                lower += self.services[name].model.predict(later).lower_ms
        long = state.model.is_long(prediction.expected_ms)
        state.model.sizes.add(prediction.expected_ms)
        key = admission.rank(work, prediction.expected_ms, now)
        return Waiter(work, exclude, prediction, lower, key, long)

    def withdraw(self, state: ServiceState, waiter: Waiter) -> None:
        """Takes a cancelled waiter out of the queue, or gives back the slot it was just given."""
        future = waiter.future
        if future.done() and not future.cancelled():
            if future.exception() is None:
                self.release(future.result(), CallResult.CANCELLED, 0)
        elif waiter in state.queue:
            self.leave(state, waiter)
            self.pump(state)

    def leave(self, state: ServiceState, waiter: Waiter) -> None:
        """Removes a waiter from the queue."""
        state.queue.remove(waiter)
        state.queued[waiter.work.workspace] -= 1
        self.forget(state, waiter.work.workspace)

    def forget(self, state: ServiceState, workspace: str) -> None:
        """Drops the weight of a workspace that neither holds nor wants a slot."""
        if state.queued[workspace] <= 0 and state.held[workspace] <= 0:
            del state.queued[workspace]
            del state.held[workspace]
            state.shares.pop(workspace, None)

    def refuse(self, state: ServiceState, waiter: Waiter, kind: ErrorKind, message: str) -> None:
        """Removes a waiter and raises an error in it."""
        self.leave(state, waiter)
        if not waiter.future.done():
            waiter.future.set_exception(
                ServiceError(kind, f"{state.service.name}: {message}", stage=waiter.work.stage)
            )

    def expire(self, state: ServiceState, now: float) -> None:
        """Refuses waiters that can no longer end in time."""
        for waiter in list(state.queue):
            if waiter.future.done():
                self.leave(state, waiter)
            elif not admission.can_start(now, waiter.lower_ms, waiter.work.deadline_ms):
                self.refuse(
                    state, waiter, ErrorKind.DEADLINE_EXCEEDED, "too late to end by the deadline"
                )

    def pump(self, state: ServiceState) -> None:
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
                self.leave(state, waiter)
                continue
            if not admission.can_start(now, waiter.lower_ms, waiter.work.deadline_ms):
                self.refuse(
                    state, waiter, ErrorKind.DEADLINE_EXCEEDED, "too late to end by the deadline"
                )
                continue
            allowed = {view.name: view for view in views if view.name not in waiter.exclude}
            if not allowed:
                self.refuse(state, waiter, ErrorKind.NO_TARGETS, "no target is left")
                continue
            slot = self.place(state, waiter, allowed, now)
            if slot is not None:
                self.leave(state, waiter)
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
            if not admission.over_share(state.held, state.shares, waiter.work.workspace):
                return waiter
            over = over or waiter
        return over

    # Choice of a target.

    def place(
        self, state: ServiceState, waiter: Waiter, allowed: Mapping[str, TargetView], now: float
    ) -> Slot | None:
        """Starts the call on a target, or returns None if none has a slot for it."""
        if not self.adaptive:
            name = self.plain_choice(state, allowed)
            return self.start(state, waiter, allowed[name], 0.0, now) if name else None
        states = {name: self.target(view) for name, view in allowed.items()}
        loads: dict[str, routing.Load] = {}

        names = list(allowed)
        kept = self.kept(state, names)
        others = state.long_prefill_ms * (state.pool.hosts - 1) / max(1, len(names) - len(kept))

        def load(name: str) -> routing.Load:
            if name not in loads:
                found = self.load_of(state, allowed[name], states[name], now)
                if name not in kept:
                    found = found._replace(prefill_ms=found.prefill_ms + others)
                loads[name] = found
            return loads[name]

        def free(name: str) -> bool:
            limit = routing.limit(load(name), state.pool, state.service.max_inflight)
            target = states[name]
            room = len(target.slots) < limit
            if not room or not waiter.long:
                return room
            return name not in kept and target.long < admission.long_slots(limit)

        if waiter.long and not self.long_allowed(state, waiter, len(allowed)):
            return None

        open_ = all(target.health.ejected for target in states.values())

        def weight(name: str) -> float:
            if not free(name):
                return 0.0
            health = states[name].health
            if health.ejected:
                return ejection.LEAST_WEIGHT if open_ else 0.0
            pace = ejection.relative(load(name).pace, state.median_pace)
            return ejection.weight(health, pace, now)

        probe = self.probe_target(waiter, states, now)
        if probe is not None and not open_ and free(probe):
            slot = self.start(state, waiter, allowed[probe], 0.0, now)
            slot.probe = states[probe].probing = True
            return slot
        prediction = waiter.prediction
        candidates = routing.sample(names, weight, self.rng, routing.SAMPLES)
        if kept and not waiter.long:
            candidates += routing.sample(
                [n for n in kept if n not in candidates], weight, self.rng, 1
            )
        if not candidates:
            return None
        costs = {
            name: routing.completion_ms(
                load(name), state.pool, prediction.first_ms, prediction.rest_ms
            )
            for name in candidates
        }
        home = self.home(state, waiter.work, names, load)
        if home is not None and weight(home) > 0:
            prompt = prediction.first_ms * state.model.prefix_factor
            costs[home] = routing.completion_ms(load(home), state.pool, prompt, prediction.rest_ms)
        name = routing.choose(costs, self.rng)
        prompt = prediction.first_ms * (state.model.prefix_factor if name == home else 1.0)
        first = routing.first_ms(load(name), state.pool, prompt)
        return self.start(state, waiter, allowed[name], first, now, name == home)

    def long_allowed(self, state: ServiceState, waiter: Waiter, targets: int) -> bool:
        """Whether long work is within its bounds over all targets of the service.

        A capacity that no report has shown yet counts as a little more than was seen running.
        """
        pool = state.pool
        capacity = min(pool.capacity, max(state.service.max_inflight, 1.5 * state.most_running))
        if state.long + 1 > admission.long_share(targets, capacity, pool.hosts):
            return False
        bound = max(LONG_PROMPTS, targets // pool.hosts)
        return waiter.prediction.first_ms == 0 or state.long_prefills < bound

    def kept(self, state: ServiceState, names: list[str]) -> frozenset[str]:
        """The targets kept free of long work: the same ones on every host, by rendezvous.

        Other hosts are taken to have as much long work elsewhere as this one.
        """
        key = tuple(names)
        if state.kept[0] != key:
            count = admission.reserved(len(names))
            order = rendezvous.ranked(f"{state.service.name}/short", names)
            state.kept = key, frozenset(order[:count])
        return state.kept[1]

    def plain_choice(self, state: ServiceState, allowed: Mapping[str, TargetView]) -> str | None:
        """The baselines: the next target in turn, or the one with the least own calls."""
        names = list(allowed)
        counts = {name: len(self.target(view).slots) for name, view in allowed.items()}
        turn = state.held.total() if self.policy == LEAST_OUTSTANDING else state.started
        names = names[turn % len(names) :] + names[: turn % len(names)]
        names = [name for name in names if counts[name] < state.service.max_inflight]
        if self.policy == LEAST_OUTSTANDING:
            return min(names, key=lambda name: (counts[name], self.rng.random()), default=None)
        return names[0] if names else None

    def load_of(
        self, state: ServiceState, view: TargetView, target: TargetState, now: float
    ) -> routing.Load:
        """The load of a target as this host knows it."""
        return routing.Load(
            own=len(target.slots),
            own_then=target.own_at(view.reported_ms),
            prefill_ms=target.prefill_ms,
            running=view.running,
            waiting=view.waiting,
            age_ms=max(0.0, now - view.reported_ms),
            pace=self.pace_of(target, now),
        )

    def pace_of(self, target: TargetState, now: float) -> float:
        """The pace of a target: that of ended intervals or of calls without an answer, if worse."""
        return max(ejection.pace_at(target.health, now), self.pending(target, now))

    def pending(self, target: TargetState, now: float) -> float:
        """The pace that the calls without an answer show."""
        return ejection.pending_pace((now - s.last_ms, s.next_ms) for s in target.slots)

    def home(
        self, state: ServiceState, work: Work, names: list[str], load: routing.Lookup
    ) -> str | None:
        """The target that should have the prefix in its cache."""
        if not work.prefix:
            return None
        return routing.home(
            work.prefix, names, lambda name: routing.load_now(load(name), state.pool), state.load
        )

    def probe_target(
        self, waiter: Waiter, states: Mapping[str, TargetState], now: float
    ) -> str | None:
        """An ejected target that is due for a probe, if the call can afford to be the probe."""
        left = waiter.work.deadline_ms - now
        if waiter.long or left < PROBE_SLACK * waiter.prediction.expected_ms:
            return None
        for name, target in states.items():
            health = target.health
            if not health.ejected or target.probing or now < health.probe_ms:
                continue
            pending = self.pending(target, now)
            if pending < ejection.SLOW:
                return name
        return None

    # Calls.

    def start(
        self,
        state: ServiceState,
        waiter: Waiter,
        view: TargetView,
        first_ms: float,
        now: float,
        at_home: bool = False,
    ) -> Slot:
        """Notes a call that starts now."""
        slot = Slot(view, waiter.work, now, waiter.prediction, waiter.long)
        slot.at_home = at_home
        if waiter.prediction.first_ms:
            slot.next_ms = first_ms or waiter.prediction.first_ms
        target = self.target(view)
        target.slots.add(slot)
        target.long += slot.long
        state.long += slot.long
        if slot.long and slot.prediction.first_ms > 0:
            state.long_prefills += 1
            state.long_prefill_ms += slot.prediction.first_ms
        target.prefill_ms += waiter.prediction.first_ms
        target.note(now)
        state.held[waiter.work.workspace] += 1
        state.started += 1
        return slot

    def first_token(self, slot: Slot) -> None:
        """Notes that the first token of a generation arrived."""
        if slot.released or slot.first_ms is not None:
            return
        now = self.clock.monotonic_ms()
        slot.first_ms = now - slot.started_ms
        target = self.target(slot.target)
        state = self.services[slot.target.service]
        self.end_prefill(state, target, slot)
        target.health = ejection.observe(target.health, slot.first_ms, slot.next_ms, now)
        if slot.at_home:
            state.model.learn_prefix(slot.first_ms, slot.prediction.first_ms)
        slot.last_ms = now
        slot.tokens = slot.marked_tokens = 1
        slot.next_ms = self.token_ms(state)

    def end_prefill(self, state: ServiceState, target: TargetState, slot: Slot) -> None:
        """The prompt of a call is no longer being processed."""
        target.prefill_ms = max(0.0, target.prefill_ms - slot.prediction.first_ms)
        if slot.long and not slot.outgrown and slot.prediction.first_ms > 0:
            state.long_prefills -= 1
            state.long_prefill_ms = max(0.0, state.long_prefill_ms - slot.prediction.first_ms)
            self.pump(state)

    def token_ms(self, state: ServiceState) -> float:
        """The usual time between tokens at the present load."""
        usual = state.model.token.quantile(0.5, admission.TOKEN_MS)
        return usual * (1 + routing.CROWDING * max(0.0, state.load))

    def progress(self, slot: Slot, tokens: int) -> None:
        """Notes that `tokens` tokens of a generation have arrived in all."""
        if slot.released:
            return
        if slot.first_ms is None:
            self.first_token(slot)
        slot.tokens = tokens
        if tokens > slot.prediction.tokens and not slot.outgrown:
            self.outgrow(slot)
        expected = (tokens - slot.marked_tokens) * slot.next_ms
        if expected < ejection.JITTER_MS:
            return
        now = self.clock.monotonic_ms()
        target = self.target(slot.target)
        target.health = ejection.observe(target.health, now - slot.last_ms, expected, now)
        slot.last_ms = now
        slot.marked_tokens = tokens

    def outgrow(self, slot: Slot) -> None:
        """A call that is longer than predicted counts as long work from then on."""
        slot.outgrown = True
        state = self.services[slot.target.service]
        state.outgrown += 1
        grown = slot.prediction.first_ms + 2 * slot.prediction.rest_ms
        if self.adaptive and not slot.long and state.model.is_long(grown):
            slot.long = True
            self.target(slot.target).long += 1
            state.long += 1

    def release(self, slot: Slot, result: CallResult, output_tokens: int) -> None:
        """Ends a call; a second release of the same slot does nothing."""
        if slot.released:
            return
        slot.released = True
        now = self.clock.monotonic_ms()
        state = self.services[slot.target.service]
        target = self.target(slot.target)
        target.slots.discard(slot)
        target.long -= slot.long
        state.long -= slot.long
        if slot.first_ms is None:
            self.end_prefill(state, target, slot)
        target.note(now)
        state.held[slot.work.workspace] -= 1
        self.forget(state, slot.work.workspace)
        took = now - slot.started_ms
        if result is CallResult.ANSWERED:
            expected = slot.prediction.expected_ms
            if not slot.work.max_tokens:
                target.health = ejection.observe(target.health, took, expected, now)
            state.durations.add(took)
            state.model.learn(slot.work, slot.first_ms, took, output_tokens, expected)
        elif result is CallResult.CONNECT_FAILED:
            target.health = ejection.fault(target.health, ejection.FAULT_LIMIT, now)
        elif result is not CallResult.CANCELLED:
            target.health = ejection.fault(target.health, 1.0, now)
        if slot.probe:
            self.end_probe(slot, target, result, took, now)
        if self.adaptive and result is not CallResult.ANSWERED:
            self.review(state, now)
        self.pump(state)

    def end_probe(
        self, slot: Slot, target: TargetState, result: CallResult, took: float, now: float
    ) -> None:
        """Judges a probe by its time; a cancelled one only counts if it was too slow already."""
        target.probing = False
        if not target.health.ejected:
            return
        slow = took > PROBE_GOOD * max(slot.prediction.expected_ms, ejection.JITTER_MS)
        if result is CallResult.CANCELLED and not slow:
            return
        good = result is CallResult.ANSWERED and not slow
        target.health = ejection.probed(target.health, good, now)

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
        slow = state.model.slowdowns.quantile(hedging.SLOW_QUANTILE)
        left = work.deadline_ms - now
        evidence = len(state.model.slowdowns)
        return hedging.delay_ms(prediction.expected_ms, slow, evidence, left, prediction.lower_ms)

    def take_hedge(self, service: Service) -> bool:
        """Spends one hedge of the budget, if there is one."""
        return self.adaptive and self.state(service).budgets.take_hedge()

    def take_retry(self, service: Service) -> bool:
        """Spends one retry of the budget, if there is one."""
        return self.state(service).budgets.take_retry()

    # Periodic work.

    def tick(self) -> None:
        """Ages what is known, reviews ejections, expires waiters and fills free slots."""
        now = self.clock.monotonic_ms()
        current = {(view.name, view.incarnation) for view in self.board.targets.values()}
        for key in [k for k, t in self.targets.items() if k not in current and not t.slots]:
            del self.targets[key]
        for state in self.services.values():
            for key, entries in list(state.expected_calls.items()):
                while entries and entries[0][0] <= now:
                    entries.popleft()
                if not entries:
                    del state.expected_calls[key]
            if state.idle():
                continue
            if self.adaptive and now >= state.survey_ms:
                self.survey(state, now)
                self.review(state, now)
            self.expire(state, now)
            self.pump(state)

    def survey(self, state: ServiceState, now: float) -> None:
        """Sums up the targets of a service."""
        views = self.board.targets_of(state.service.name)
        state.survey_ms = now + SURVEY_MS_PER_TARGET * len(views)
        if not views:
            state.slots = 0
            return
        hosts = 1 + sum(not host.leaving for host in self.board.hosts.values())
        others: list[float] = []
        for view in views:
            target = self.target(view)
            if view.waiting > 0 and view.reported_ms != target.surveyed_ms:
                target.surveyed_ms = view.reported_ms
                state.capacities.add(float(view.running))
            then = view.running + view.waiting - target.own_at(view.reported_ms)
            state.most_running = max(state.most_running, view.running)
            others.append(max(0.0, float(then)))
        state.pool = routing.Pool(
            others=statistics.fmean(others),
            call_ms=state.durations.quantile(0.5, admission.CALL_MS),
            # A report can show a call that waits only for the next step of a batch that is far from
            # full, so a target can do at least what it was seen to run.
            capacity=max(1.0, state.most_running, state.capacities.quantile(0.5, float("inf"))),
            hosts=hosts,
        )
        loads = [self.load_of(state, view, self.target(view), now) for view in views]
        in_use = [
            load
            for view, load in zip(views, loads, strict=True)
            if not self.target(view).health.ejected
        ]
        state.median_pace = statistics.median(load.pace for load in loads)
        state.load = statistics.fmean(routing.load_now(load, state.pool) for load in loads)
        state.wait_ms = statistics.fmean(
            [routing.wait_ms(load, state.pool) for load in in_use or loads]
        )
        limit = state.service.max_inflight
        state.slots = sum(routing.limit(load, state.pool, limit) for load in in_use or loads)

    def review(self, state: ServiceState, now: float) -> None:
        """Ejects stragglers within the cap."""
        views = self.board.targets_of(state.service.name)
        states = {view.name: self.target(view) for view in views}
        paces = {
            name: ejection.relative(self.pace_of(target, now), state.median_pace)
            for name, target in states.items()
        }
        healths = {name: target.health for name, target in states.items()}
        for name, health in ejection.review(healths, paces, now).items():
            states[name].health = health
        for name, target in states.items():
            if paces[name] < ejection.EJECT:
                continue
            for slot in target.slots:
                late = now - slot.last_ms
                if late > ejection.EJECT * max(slot.next_ms, ejection.JITTER_MS):
                    slot.straggling.set()
