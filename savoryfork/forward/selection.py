"""Selects the target of each request and tracks this host's outstanding requests per target."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from savoryfork.forward import placement
from savoryfork.forward.follower import Follower
from savoryfork.forward.health import HealthTracker
from savoryfork.forward.model import Target
from savoryfork.forward.placement import EngineLoad, Preferences
from savoryfork.forward.run import Run
from savoryfork.forward.speeds import SpeedEstimator

# An engine counts as having a free slot below this share of its slots. The margin covers load
# counts that are some hundred milliseconds old.
FREE_SLOT_SHARE = 0.75


class TargetSelector:
    """Selects targets by shared and local load, cached prompt prefixes and zone distance."""

    def __init__(
        self, follower: Follower, health: HealthTracker, zone: str, preferences: Preferences
    ) -> None:
        self.follower = follower
        self.registry = follower.registry
        self.health = health
        self.zone = zone
        self.preferences = preferences
        self.speeds: dict[str, SpeedEstimator] = {}
        self.outstanding: dict[str, int] = {}
        self.pending_prefill: dict[str, float] = {}

    # Selection.

    def candidates(self, run: Run) -> list[Target]:
        """Returns the healthy targets that the request has not been offered to yet.

        Those that push back, and cold ones to which this host may not send now, are left out also
        if no others remain.
        """
        now = self.follower.now()
        usable = [t for t in self.registry.usable(run.service) if t.name not in run.tried_targets]
        willing = self.registry.push_backs.open_targets(usable, self.outstanding, now)
        found = self.registry.warmups.open_targets(willing, now)
        return self.health.usable(found, now) if found else []

    def engine_costs(
        self, run: Run, targets: Sequence[Target], input_bytes: dict[str, float]
    ) -> dict[str, float]:
        """Returns the estimated cost of a generation on each engine."""
        loads = {}
        for target in targets:
            shared = self.follower.load_tree.others(target.name)
            loads[target.name] = EngineLoad(
                shared.prompt_tokens + self.pending_prefill.get(target.name, 0.0),
                shared.requests + self.outstanding.get(target.name, 0),
            )
        costs = placement.engine_costs(
            targets,
            run.request.prompt,
            loads,
            input_bytes,
            self.zone,
            self.speed(run.service).speed(),
            self.preferences,
        )
        return self.registry.warmups.add_cold_costs(costs, targets, self.follower.now())

    def speed(self, service: str) -> SpeedEstimator:
        """Returns the estimator of the speed of a service's engines."""
        return self.speeds.setdefault(service, SpeedEstimator())

    def expected_first_event_ms(self, run: Run) -> float:
        """Returns the expected time from sending a request to its first event."""
        return placement.expected_first_event_ms(
            run.request.prompt, self.speed(run.service).speed()
        )

    def choose(self, run: Run) -> Target | None:
        """Returns the cheapest target for the next attempt, or None if there are no candidates."""
        targets = self.candidates(run)
        if not targets:
            return None
        if run.request.prompt is not None:
            costs = self.engine_costs(run, targets, self.input_bytes(run))
        else:
            costs = placement.load_costs(targets, self.outstanding, self.zone, run.id)
            costs = self.registry.warmups.add_cold_costs(costs, targets, self.follower.now())
        return min(targets, key=lambda target: costs[target.name])

    def preferred_zone(self, run: Run) -> str | None:
        """Returns the zone of the engine that the request will probably be sent to."""
        targets = self.candidates(run)
        if not targets or run.request.prompt is None:
            return None
        costs = self.engine_costs(run, targets, {})
        best = min(targets, key=lambda target: costs[target.name])
        return best.zone

    def input_bytes(self, run: Run) -> dict[str, float]:
        """Returns the bytes of the request's inputs by zone of the targets that store them."""
        totals: dict[str, float] = {}
        if run.work is not None:
            for stage in run.work.final_stages():
                for result in run.work.results.get(stage, []):
                    size = run.work.plans[stage].result_bytes
                    totals[result.zone] = totals.get(result.zone, 0.0) + size
        return totals

    # Load accounting.

    def local_loads(self) -> dict[str, tuple[float, float]]:
        """Returns the pending prompt tokens and outstanding requests of this host by target."""
        return {
            name: (self.pending_prefill.get(name, 0.0), float(count))
            for name, count in self.outstanding.items()
            if count
        }

    def has_free_slot(self, target: Target) -> bool:
        """Returns whether an engine probably has a free slot."""
        shared = self.follower.load_tree.others(target.name)
        return (
            shared.requests + self.outstanding.get(target.name, 0) < FREE_SLOT_SHARE * target.slots
        )

    def add_outstanding(self, target: Target, change: int) -> None:
        """Adds `change` to the number of requests outstanding at a target."""
        count = self.outstanding.get(target.name, 0) + change
        if count:
            self.outstanding[target.name] = count
        else:
            self.outstanding.pop(target.name, None)

    def add_pending_prefill(self, run: Run, target: Target) -> Callable[[], None]:
        """Counts the prompt's uncached tokens as pending until the returned function is called."""
        prompt = run.request.prompt
        if prompt is None:
            return lambda: None
        tokens = placement.uncached_tokens(prompt, on_preferred=True)
        self.pending_prefill[target.name] = self.pending_prefill.get(target.name, 0.0) + tokens
        pending = [tokens]

        def mark_prefilled() -> None:
            if pending:
                left = self.pending_prefill.get(target.name, 0.0) - pending.pop()
                if left > 0:
                    self.pending_prefill[target.name] = left
                else:
                    self.pending_prefill.pop(target.name, None)

        return mark_prefilled
