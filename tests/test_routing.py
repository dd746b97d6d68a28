"""Tests for the choice of a target."""

from __future__ import annotations

import math
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork import routing
from savoryfork.routing import Load, Pool

POOL = Pool(other_calls=4.0, call_ms=500.0, capacity=16.0, hosts=8)
LOADS = st.builds(
    Load,
    own_calls=st.integers(0, 8),
    own_at_report=st.integers(0, 8),
    prefill_ms=st.floats(0, 1_000),
    running=st.integers(0, 16),
    waiting=st.integers(0, 50),
    age_ms=st.floats(0, 10_000),
    slowdown=st.floats(1, 20),
)


def naive_completion(load: Load, pool: Pool, prompt: float, rest: float) -> float:
    """Computes the completion time step by step, independently of the implementation."""
    reported = load.running + load.waiting - load.own_at_report
    if reported < 0:
        reported = 0
    weight = math.exp(-load.age_ms / pool.call_ms)
    total = load.own_calls + weight * reported + (1 - weight) * pool.other_calls
    beyond = total + 1 - pool.capacity
    wait = beyond / pool.capacity * pool.call_ms if beyond > 0 else 0.0
    return load.slowdown * (
        wait + load.prefill_ms + prompt + rest * (1 + routing.SLOWDOWN_PER_CALL * total)
    )


class TestCompletion:
    @settings(derandomize=True)
    @given(LOADS, st.floats(0, 1e3), st.floats(0, 1e4))
    def test_equals_the_naive_version(self, load, prompt, rest):
        """Guards against deviations from the documented formula."""
        found = routing.completion_ms(load, POOL, prompt, rest)
        assert math.isclose(found, naive_completion(load, POOL, prompt, rest), rel_tol=1e-9)

    def test_old_report_has_no_weight(self):
        """Guards against a stale load report that keeps attracting or repelling calls."""
        idle = Load(0, 0, 0.0, 0, 0, 60_000.0, 1.0)
        busy = idle._replace(running=16, waiting=40)
        assert math.isclose(
            routing.estimated_calls(idle, POOL), routing.estimated_calls(busy, POOL)
        )
        assert routing.estimated_calls(idle._replace(own_calls=3), POOL) > routing.estimated_calls(
            busy, POOL
        )


class TestLimit:
    @settings(derandomize=True)
    @given(LOADS, st.integers(1, 32))
    def test_stays_within_bounds(self, load, most):
        """Guards against a limit of 0, from which a target would never get calls again."""
        assert 1 <= routing.limit(load, POOL, most) <= most

    def test_excess_lowers_the_limit(self):
        """Guards against hosts that keep their calls on a target whose queue grows."""
        load = Load(6, 6, 0.0, 16, 32, 0.0, 1.0)
        assert routing.limit(load, POOL, 8) < 6


class TestSample:
    @settings(derandomize=True)
    @given(st.lists(st.floats(0, 1), max_size=12), st.integers(1, 4), st.integers(0, 99))
    def test_finds_every_usable_target_and_no_other(self, weights, count, seed):
        """Guards against calls to a target of weight 0, and missing the only usable one."""
        by_name = {f"t{i}": weight for i, weight in enumerate(weights)}
        drawn = routing.sample(list(by_name), by_name.__getitem__, random.Random(seed), count)
        assert all(by_name[name] > 0 for name in drawn)
        assert len(set(drawn)) == len(drawn) <= count
        assert bool(drawn) == any(weight > 0 for weight in weights)

    def test_spreads_hosts_that_see_the_same(self):
        """Guards against herding: hosts with the same stale report choosing the same target."""
        names = [f"t{i}" for i in range(12)]
        costs = {name: float(i) for i, name in enumerate(names)}
        chosen = []
        for host in range(320):
            rng = random.Random(host)
            drawn = routing.sample(names, lambda name: 1.0, rng, routing.SAMPLE_SIZE)
            chosen.append(routing.choose({name: costs[name] for name in drawn}, rng))
        assert max(chosen.count(name) for name in names) <= 320 * routing.SAMPLE_SIZE / 12 * 1.3


class TestAffinityTarget:
    @settings(derandomize=True)
    @given(st.lists(st.integers(0, 50), min_size=1, max_size=12), st.text(max_size=5))
    def test_is_never_over_its_bound(self, loads, prefix):
        """Guards against a popular prefix overloading one target."""
        by_name = {f"t{i}": float(n) for i, n in enumerate(loads)}
        mean = sum(loads) / len(loads)
        found = routing.affinity_target(prefix, list(by_name), by_name.__getitem__, mean)
        assert found is None or by_name[found] <= routing.AFFINITY_BOUND * mean + 1

    def test_moves_little_when_a_target_leaves(self):
        """Guards against the loss of one target moving the prefixes of the others."""
        names = [f"t{i}" for i in range(6)]
        for key in range(50):
            before = routing.affinity_target(str(key), names, lambda name: 0.0, 0.0)
            after = routing.affinity_target(str(key), names[1:], lambda name: 0.0, 0.0)
            assert before in (after, "t0")
