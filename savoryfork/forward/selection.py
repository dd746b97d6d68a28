"""Selects the target of each request and tracks this host's outstanding requests per target."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator, Mapping, Sequence

from savoryfork.forward import placement
from savoryfork.forward.follower import Follower
from savoryfork.forward.health import HealthTracker
from savoryfork.forward.model import Target
from savoryfork.forward.placement import EngineLoad, KnownCache, Preferences
from savoryfork.forward.prefixes import PrefixTable
from savoryfork.forward.run import Run
from savoryfork.forward.speeds import REQUEST_SMOOTHING, Slowdowns, SpeedEstimator
from savoryfork.util import logs

log = logging.getLogger(__name__)

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
        # By service, and whether the requests have prompts: their times are not comparable.
        self.slowdowns: dict[tuple[str, bool], Slowdowns] = {}
        self.prefixes: dict[str, PrefixTable] = {}
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
        loads = {target.name: self.load(target) for target in targets}
        costs = placement.engine_costs(
            targets,
            run.request.prompt,
            loads,
            input_bytes,
            self.zone,
            self.speed(run.service).speed(),
            self.preferences,
            self.slowdowns_of(run, targets),
            self.known_caches(run, targets, loads),
        )
        return self.registry.warmups.add_cold_costs(costs, targets, self.follower.now())

    def known_caches(
        self, run: Run, targets: Sequence[Target], loads: Mapping[str, EngineLoad]
    ) -> dict[str, KnownCache]:
        """Returns what is known of the engines' caches with regard to a request."""
        prompt = run.request.prompt
        if prompt is None:
            return {}
        return self.prefix_table(run.service).known(targets, prompt, loads, self.follower.now())

    def prefix_table(self, service: str) -> PrefixTable:
        """Returns what is known of the caches of a service's engines."""
        return self.prefixes.setdefault(service, PrefixTable(self.cache_tokens(service)))

    def cache_tokens(self, service: str) -> float:
        """Returns the tokens that an engine of a service holds; 0 if not known."""
        catalog = self.follower.catalog
        info = catalog.services.get(service) if catalog is not None else None
        return info.cache_tokens if info is not None else 0.0

    def load(self, target: Target) -> EngineLoad:
        """Returns the outstanding work of all hosts on an engine."""
        shared = self.follower.load_tree.others(target.name)
        return EngineLoad(
            shared.prompt_tokens + self.pending_prefill.get(target.name, 0.0),
            shared.requests + self.outstanding.get(target.name, 0),
        )

    def speed(self, service: str) -> SpeedEstimator:
        """Returns the estimator of the speed of a service's engines."""
        return self.speeds.setdefault(service, SpeedEstimator())

    def slowdown(self, run: Run) -> Slowdowns:
        """Returns how much slower than the service each target is for requests like this one."""
        key = (run.service, run.request.prompt is not None)
        return self.slowdowns.setdefault(key, Slowdowns(REQUEST_SMOOTHING))

    def slowdowns_of(self, run: Run, targets: Sequence[Target]) -> dict[str, float]:
        """Returns how much slower than the service each of the targets is, by name."""
        slowdown = self.slowdown(run)
        return {target.name: slowdown.relative(target) for target in targets}

    def expected_first_event_ms(self, run: Run, target: Target | None) -> float:
        """Returns the expected time from sending a request to an idle target to its first event.

        Without a target, that of the service counts.
        """
        speed = self.speed(run.service).speed()
        expected_ms = placement.expected_first_event_ms(run.request.prompt, speed)
        if target is None:
            return expected_ms
        return expected_ms * self.slowdown(run).relative(target)

    # Speeds.

    def begin_attempt(self, run: Run, target: Target) -> Callable[[], None]:
        """Counts an attempt as outstanding; see `add_pending_prefill` for what is returned.

        The time to its first event is predicted from the load before it. An engine without a free
        slot lets requests wait, so that their times do not show its speed.
        """
        prompt = run.request.prompt
        if prompt is None:
            self.add_outstanding(target, 1)
            return lambda: None
        assert run.attempt is not None
        load = self.load(target)
        table = self.prefix_table(run.service)
        found = table.known([target], prompt, {target.name: load}, self.follower.now())
        known = found.get(target.name, placement.UNKNOWN_CACHE)
        engines = self.registry.usable(run.service)
        on_preferred = placement.preferred_engine(engines, prompt) == target.name
        uncached = placement.uncached_tokens(prompt, on_preferred, known)
        run.attempt.uncached_tokens = uncached
        run.attempt.held_tokens = known.held_tokens
        if load.requests < target.slots:
            speed = self.speed(run.service).speed()
            run.attempt.expected_ms = placement.expected_first_event_ms(
                prompt, speed, load, uncached
            )
        self.add_outstanding(target, 1)
        return self.add_pending_prefill(target, uncached)

    def record_sent(self, run: Run) -> None:
        """Records that a prompt has been sent to an engine, which keeps its parts."""
        attempt, prompt = run.attempt, run.request.prompt
        if attempt is None or prompt is None:
            return
        cached = max(0.0, prompt.input_tokens - attempt.uncached_tokens)
        table = self.prefix_table(run.service)
        table.record(attempt.target, prompt, self.follower.now(), cached)
        tokens = self.follower.metrics.prompt_tokens
        held = min(cached, attempt.held_tokens)
        tokens.add({"service": run.service, "expected": "held"}, held)
        tokens.add({"service": run.service, "expected": "usual"}, cached - held)
        tokens.add({"service": run.service, "expected": "read"}, attempt.uncached_tokens)

    def record_refusal(self, run: Run) -> None:
        """Records that an engine has not run the request that was sent to it."""
        if run.attempt is not None and run.request.prompt is not None:
            self.prefix_table(run.service).forget(run.attempt.target, run.request.prompt)

    def record_first_event(self, run: Run) -> None:
        """Records the time to the first event of an engine's answer."""
        attempt, prompt = run.attempt, run.request.prompt
        if attempt is None or attempt.sent_at is None or prompt is None:
            return
        now = self.follower.now()
        took_ms = now - attempt.sent_at
        slowdown = self.slowdown(run)
        self.speed(run.service).record(prompt, took_ms / slowdown.relative(attempt.target))
        if attempt.expected_ms:
            slowdown.record(attempt.target, took_ms / attempt.expected_ms, now)

    def record_answer(self, run: Run) -> None:
        """Records the time of a complete answer to a request without a prompt.

        Only its ratio to the times of other targets counts, so that the expected time is 1 ms.
        """
        attempt = run.attempt
        if run.request.prompt is None and attempt is not None and attempt.sent_at is not None:
            now = self.follower.now()
            self.slowdown(run).record(attempt.target, now - attempt.sent_at, now)

    def run_housekeeping(self) -> None:
        """Drops the speeds of departed targets and logs those that have changed."""
        now = self.follower.now()
        for (service, prompts), slowdown in list(self.slowdowns.items()):
            targets = self.registry.of_service(service)
            slowdown.retain(targets, now)
            for incarnation, factor in slowdown.changes().items():
                logs.event(
                    log,
                    "target_speed",
                    target=incarnation.name,
                    service=service,
                    slowdown=round(factor, 2),
                    answers=round(slowdown.answers[incarnation].number_at(now), 1),
                )
            if not targets:
                del self.slowdowns[service, prompts]
                self.speeds.pop(service, None)
        hosts = len(self.follower.members.alive(now))
        for service, table in list(self.prefixes.items()):
            table.cache_tokens = self.cache_tokens(service)
            # A cold engine holds nothing, also if it has become cold without a restart.
            engines = self.registry.usable(service)
            warm = [t for t in engines if not self.registry.warmups.is_cold(t, now)]
            table.retain(warm, hosts, now)
            if not self.registry.of_service(service):
                del self.prefixes[service]

    def slowdown_bounds(self) -> Iterator[tuple[str, float, float]]:
        """Returns the lowest and the highest slowdown of the targets of each service."""
        for service in {service for service, _ in self.slowdowns}:
            tables = [self.slowdowns.get((service, prompts)) for prompts in (False, True)]
            factors = [f for table in tables if table is not None for f in table.factors.values()]
            if factors:
                yield service, min(factors), max(factors)

    def choose(self, run: Run) -> Target | None:
        """Returns the cheapest target for the next attempt, or None if there are no candidates."""
        targets = self.candidates(run)
        if not targets:
            return None
        costs = self.costs(run, targets)
        return min(targets, key=lambda target: costs[target.name])

    def costs(self, run: Run, targets: Sequence[Target]) -> dict[str, float]:
        """Returns the cost of running the request on each of the targets."""
        if run.request.prompt is not None:
            return self.engine_costs(run, targets, self.input_bytes(run))
        slowdowns = self.slowdowns_of(run, targets)
        costs = placement.load_costs(targets, self.outstanding, self.zone, run.id, slowdowns)
        return self.registry.warmups.add_cold_costs(costs, targets, self.follower.now())

    def likely_engine(self, run: Run) -> Target | None:
        """Returns the engine that the request will probably be sent to."""
        targets = self.candidates(run)
        if not targets or run.request.prompt is None:
            return None
        costs = self.engine_costs(run, targets, {})
        return min(targets, key=lambda target: costs[target.name])

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

    def add_pending_prefill(self, target: Target, tokens: float) -> Callable[[], None]:
        """Counts uncached tokens of a prompt as pending until the returned function is called."""
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
