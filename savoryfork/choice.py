"""Target selection for one call."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import NamedTuple

from savoryfork import admission, ejection, routing
from savoryfork.admission import Work
from savoryfork.board import TargetView
from savoryfork.callstate import ServiceState, TargetState, Waiter
from savoryfork.survey import TargetStats
from savoryfork.util import rendezvous

# Minimum limit on concurrent long prompts per host: an engine prefills one after the other, so more
# only delay short work. With 1, the p99 of long work was 1.27 times the baseline's, with 2 it was
# 1.14 times (bench, short-behind-long).
LONG_PROMPTS = 2

# A probe call needs this multiple of its expected time until its deadline.
PROBE_SLACK = 4.0


class Choice(NamedTuple):
    """The target chosen for a call.

    `first_ms` is the expected time to the first token, 0 if unknown. `prefix_cached` is True if the
    target should have the prefix in its cache, `probe` if the call probes an ejected target.
    """

    name: str
    first_ms: float
    prefix_cached: bool = False
    probe: bool = False


class TargetChooser:
    """Adaptive selection by load, slowdown, health and cached prefixes."""

    def __init__(self, target_stats: TargetStats, rng: random.Random) -> None:
        self.target_stats = target_stats
        self.rng = rng

    def choose(
        self, state: ServiceState, waiter: Waiter, allowed: Mapping[str, TargetView], now: float
    ) -> Choice | None:
        """Returns the target for a call; None if no target has a free slot for it."""
        states = {name: self.target_stats.target(view) for name, view in allowed.items()}
        loads: dict[str, routing.Load] = {}

        names = list(allowed)
        reserved = self.reserved_targets(state, names)
        others_prefill_ms = (
            state.long_prefill_ms * (state.pool.hosts - 1) / max(1, len(names) - len(reserved))
        )

        def load(name: str) -> routing.Load:
            if name not in loads:
                found = self.target_stats.load_of(state, allowed[name], states[name], now)
                if name not in reserved:
                    found = found._replace(prefill_ms=found.prefill_ms + others_prefill_ms)
                loads[name] = found
            return loads[name]

        def has_slot(name: str) -> bool:
            limit = routing.limit(load(name), state.pool, state.service.max_inflight)
            target = states[name]
            room = len(target.slots) < limit
            if not room or not waiter.long:
                return room
            return name not in reserved and target.long < admission.long_slots(limit)

        if waiter.long and not self.long_allowed(state, waiter, len(allowed)):
            return None

        all_ejected = all(target.health.ejected for target in states.values())

        def weight(name: str) -> float:
            if not has_slot(name):
                return 0.0
            health = states[name].health
            if health.ejected:
                return ejection.MIN_WEIGHT if all_ejected else 0.0
            slowdown = ejection.relative_slowdown(load(name).slowdown, state.median_slowdown)
            return ejection.weight(health, slowdown, now)

        probe = self.probe_target(waiter, states, now)
        if probe is not None and not all_ejected and has_slot(probe):
            return Choice(probe, 0.0, probe=True)
        prediction = waiter.prediction
        candidates = routing.sample(names, weight, self.rng, routing.SAMPLE_SIZE)
        if reserved and not waiter.long:
            candidates += routing.sample(
                [n for n in reserved if n not in candidates], weight, self.rng, 1
            )
        if not candidates:
            return None
        costs = {
            name: routing.completion_ms(
                load(name), state.pool, prediction.first_ms, prediction.rest_ms
            )
            for name in candidates
        }
        affinity = self.affinity_target(state, waiter.work, names, load)
        if affinity is not None and weight(affinity) > 0:
            prompt = prediction.first_ms * state.model.prefix_factor
            costs[affinity] = routing.completion_ms(
                load(affinity), state.pool, prompt, prediction.rest_ms
            )
        name = routing.choose(costs, self.rng)
        prompt = prediction.first_ms * (state.model.prefix_factor if name == affinity else 1.0)
        first_ms = routing.first_ms(load(name), state.pool, prompt)
        return Choice(name, first_ms, prefix_cached=name == affinity)

    def long_allowed(self, state: ServiceState, waiter: Waiter, targets: int) -> bool:
        """Returns True if long work is within its bounds over all targets of the service.

        A capacity not yet shown by a report is assumed to be slightly above the most calls seen.
        """
        pool = state.pool
        capacity = min(pool.capacity, max(state.service.max_inflight, 1.5 * state.max_running))
        if state.long + 1 > admission.long_share(targets, capacity, pool.hosts):
            return False
        bound = max(LONG_PROMPTS, targets // pool.hosts)
        return waiter.prediction.first_ms == 0 or state.long_prefills < bound

    def reserved_targets(self, state: ServiceState, names: list[str]) -> frozenset[str]:
        """Returns the targets reserved for short work; by rendezvous, the same on every host.

        `choose` assumes that other hosts have as much long work on the rest as this host.
        """
        key = tuple(names)
        if state.reserved[0] != key:
            count = admission.reserved_targets(len(names))
            order = rendezvous.ranked(f"{state.service.name}/short", names)
            state.reserved = key, frozenset(order[:count])
        return state.reserved[1]

    def affinity_target(
        self, state: ServiceState, work: Work, names: list[str], load: routing.LoadLookup
    ) -> str | None:
        """Returns the target that should have the prefix in its cache."""
        if not work.prefix:
            return None
        return routing.affinity_target(
            work.prefix,
            names,
            lambda name: routing.estimated_calls(load(name), state.pool),
            state.load,
        )

    def probe_target(
        self, waiter: Waiter, states: Mapping[str, TargetState], now: float
    ) -> str | None:
        """Returns an ejected target due for a probe, if the call has enough time for one."""
        remaining_ms = waiter.work.deadline_ms - now
        if waiter.long or remaining_ms < PROBE_SLACK * waiter.prediction.expected_ms:
            return None
        for name, target in states.items():
            health = target.health
            if not health.ejected or target.probing or now < health.probe_ms:
                continue
            pending = self.target_stats.pending_slowdown(target, now)
            if pending < ejection.SLOW_THRESHOLD:
                return name
        return None


class BaselineChooser:
    """Baselines: round robin, or the target with the fewest calls of this host."""

    def __init__(self, target_stats: TargetStats, rng: random.Random, least: bool) -> None:
        self.target_stats = target_stats
        self.rng = rng
        self.least = least

    def choose(
        self, state: ServiceState, waiter: Waiter, allowed: Mapping[str, TargetView], now: float
    ) -> Choice | None:
        """Returns the target for a call; None if no target has a free slot for it."""
        names = list(allowed)
        counts = {name: len(self.target_stats.target(view).slots) for name, view in allowed.items()}
        turn = state.held.total() if self.least else state.started
        names = names[turn % len(names) :] + names[: turn % len(names)]
        names = [name for name in names if counts[name] < state.service.max_inflight]
        if self.least:
            names.sort(key=lambda name: (counts[name], self.rng.random()))
        return Choice(names[0], 0.0) if names else None
