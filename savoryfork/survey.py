"""What a host takes the targets of a service to be doing: their load, pace and health."""

from __future__ import annotations

import statistics

from savoryfork import admission, ejection, routing
from savoryfork.board import Board, TargetView
from savoryfork.callstate import ServiceState, TargetState

# A service is surveyed at each tick, but not more often than this for each of its targets: a survey
# of 2,000 targets took 17 ms, which is far over the budget of 4 % of a core at every tick.
UPDATE_MS_PER_TARGET = 0.5


class TargetStats:
    """The targets as this host sees them, from load reports and from its own calls."""

    def __init__(self, board: Board) -> None:
        self.board = board
        self.targets: dict[tuple[str, str], TargetState] = {}

    def target(self, view: TargetView) -> TargetState:
        """The state of a target's incarnation."""
        key = (view.name, view.incarnation)
        found = self.targets.get(key)
        if found is None:
            found = self.targets[key] = TargetState()
        return found

    def load_of(
        self, state: ServiceState, view: TargetView, target: TargetState, now: float
    ) -> routing.Load:
        """The load of a target as this host knows it."""
        return routing.Load(
            own_calls=len(target.slots),
            own_at_report=target.own_calls_at(view.reported_ms),
            prefill_ms=target.prefill_ms,
            running=view.running,
            waiting=view.waiting,
            age_ms=max(0.0, now - view.reported_ms),
            slowdown=self.slowdown_of(target, now),
        )

    def slowdown_of(self, target: TargetState, now: float) -> float:
        """The pace of a target: that of ended intervals or of calls without an answer, if worse."""
        return max(ejection.slowdown_at(target.health, now), self.pending_slowdown(target, now))

    def pending_slowdown(self, target: TargetState, now: float) -> float:
        """The pace that the calls without an answer show."""
        return ejection.pending_slowdown(
            (now - s.last_activity_ms, s.expected_interval_ms) for s in target.slots
        )

    def prune(self) -> None:
        """Drops the states of targets that are gone and have no calls left."""
        current = {(view.name, view.incarnation) for view in self.board.targets.values()}
        for key in [k for k, t in self.targets.items() if k not in current and not t.slots]:
            del self.targets[key]

    def update(self, state: ServiceState, now: float) -> None:
        """Sums up the targets of a service."""
        views = self.board.targets_of(state.service.name)
        state.stats_due_ms = now + UPDATE_MS_PER_TARGET * len(views)
        if not views:
            state.slots = 0
            return
        hosts = 1 + sum(not host.leaving for host in self.board.hosts.values())
        others: list[float] = []
        for view in views:
            target = self.target(view)
            if view.waiting > 0 and view.reported_ms != target.sampled_report_ms:
                target.sampled_report_ms = view.reported_ms
                state.capacities.add(float(view.running))
            then = view.running + view.waiting - target.own_calls_at(view.reported_ms)
            state.max_running = max(state.max_running, view.running)
            others.append(max(0.0, float(then)))
        state.pool = routing.Pool(
            other_calls=statistics.fmean(others),
            call_ms=state.durations.quantile(0.5, admission.CALL_MS),
            # A report can show a call that waits only for the next step of a batch that is far from
            # full, so a target can do at least what it was seen to run.
            capacity=max(1.0, state.max_running, state.capacities.quantile(0.5, float("inf"))),
            hosts=hosts,
        )
        loads = [self.load_of(state, view, self.target(view), now) for view in views]
        in_use = [
            load
            for view, load in zip(views, loads, strict=True)
            if not self.target(view).health.ejected
        ]
        state.median_slowdown = statistics.median(load.slowdown for load in loads)
        state.load = statistics.fmean(routing.estimated_calls(load, state.pool) for load in loads)
        state.wait_ms = statistics.fmean(
            [routing.wait_ms(load, state.pool) for load in in_use or loads]
        )
        limit = state.service.max_inflight
        state.slots = sum(routing.limit(load, state.pool, limit) for load in in_use or loads)

    def update_ejections(self, state: ServiceState, now: float) -> None:
        """Ejects stragglers within the cap."""
        views = self.board.targets_of(state.service.name)
        states = {view.name: self.target(view) for view in views}
        paces = {
            name: ejection.relative_slowdown(self.slowdown_of(target, now), state.median_slowdown)
            for name, target in states.items()
        }
        healths = {name: target.health for name, target in states.items()}
        for name, health in ejection.review(healths, paces, now).items():
            states[name].health = health
        for name, target in states.items():
            if paces[name] < ejection.EJECT_THRESHOLD:
                continue
            for slot in target.slots:
                late = now - slot.last_activity_ms
                if late > ejection.EJECT_THRESHOLD * max(
                    slot.expected_interval_ms, ejection.JITTER_MS
                ):
                    slot.straggling.set()
