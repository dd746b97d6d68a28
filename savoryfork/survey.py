"""Estimates the load, slowdown and health of the targets of a service."""

from __future__ import annotations

import statistics

from savoryfork import admission, ejection, routing
from savoryfork.board import Board, TargetView
from savoryfork.callstate import ServiceState, TargetState

# Minimum interval between updates of a service, per target: an update of 2,000 targets took 17 ms,
# which at every tick is far over the budget of 4 % of a core.
UPDATE_MS_PER_TARGET = 0.5


class TargetStats:
    """Target states estimated from load reports and from this host's own calls."""

    def __init__(self, board: Board) -> None:
        self.board = board
        self.targets: dict[tuple[str, str], TargetState] = {}

    def target(self, view: TargetView) -> TargetState:
        """Returns the state of a target's incarnation, created on first use."""
        key = (view.name, view.incarnation)
        found = self.targets.get(key)
        if found is None:
            found = self.targets[key] = TargetState()
        return found

    def load_of(
        self, state: ServiceState, view: TargetView, target: TargetState, now: float
    ) -> routing.Load:
        """Returns the load of a target as known to this host."""
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
        """Returns a target's slowdown: of ended intervals or of pending calls, if larger."""
        return max(ejection.slowdown_at(target.health, now), self.pending_slowdown(target, now))

    def pending_slowdown(self, target: TargetState, now: float) -> float:
        """Returns the slowdown that pending calls indicate."""
        return ejection.pending_slowdown(
            (now - s.last_activity_ms, s.expected_interval_ms) for s in target.slots
        )

    def prune(self) -> None:
        """Drops the states of removed targets that have no calls in flight."""
        current = {(view.name, view.incarnation) for view in self.board.targets.values()}
        for key in [k for k, t in self.targets.items() if k not in current and not t.slots]:
            del self.targets[key]

    def update(self, state: ServiceState, now: float) -> None:
        """Updates the pool estimates of a service from the state of its targets."""
        views = self.board.targets_of(state.service.name)
        state.stats_due_ms = now + UPDATE_MS_PER_TARGET * len(views)
        if not views:
            state.slots = 0
            return
        hosts = 1 + sum(not host.leaving for host in self.board.hosts.values())
        other_calls: list[float] = []
        for view in views:
            target = self.target(view)
            if view.waiting > 0 and view.reported_ms != target.sampled_report_ms:
                target.sampled_report_ms = view.reported_ms
                state.capacities.add(float(view.running))
            count = view.running + view.waiting - target.own_calls_at(view.reported_ms)
            state.max_running = max(state.max_running, view.running)
            other_calls.append(max(0.0, float(count)))
        state.pool = routing.Pool(
            other_calls=statistics.fmean(other_calls),
            call_ms=state.durations.quantile(0.5, admission.CALL_MS),
            # A reported waiting call may only wait for the next step of a batch that is far from
            # full, so the capacity is at least the highest reported concurrency.
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
        """Ejects stragglers within the cap and flags their overdue calls."""
        views = self.board.targets_of(state.service.name)
        states = {view.name: self.target(view) for view in views}
        slowdowns = {
            name: ejection.relative_slowdown(self.slowdown_of(target, now), state.median_slowdown)
            for name, target in states.items()
        }
        healths = {name: target.health for name, target in states.items()}
        for name, health in ejection.review(healths, slowdowns, now).items():
            states[name].health = health
        for name, target in states.items():
            if slowdowns[name] < ejection.EJECT_THRESHOLD:
                continue
            for slot in target.slots:
                late = now - slot.last_activity_ms
                if late > ejection.EJECT_THRESHOLD * max(
                    slot.expected_interval_ms, ejection.JITTER_MS
                ):
                    slot.straggling.set()
