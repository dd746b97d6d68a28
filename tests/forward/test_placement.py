"""Placement with the figures of differing deployments, none of which is in the code."""

from __future__ import annotations

import random

import pytest

from savoryfork.forward import placement
from savoryfork.forward.model import Prompt, PromptPart, Target
from savoryfork.forward.placement import EngineLoad, Preferences
from savoryfork.forward.speeds import MIN_SAMPLES, START_SPEED, SpeedEstimator

# Prompt tokens a ms and ms to the first event of three kinds of engines.
DEPLOYMENTS = [(51.1, 30.0), (64.2, 20.0), (12.0, 90.0)]


def prompt(shared: int, own: int) -> Prompt:
    return Prompt(shared + own, (PromptPart("s", shared), PromptPart("o", own)))


def engine(name: str, zone: str = "z1") -> Target:
    return Target(name, "engine", "10.0.0.1:1", zone, 1, 64, False)


def estimator_of(tokens_per_ms: float, first_event_ms: float) -> SpeedEstimator:
    """Returns an estimator that has seen answers of engines with and without queues."""
    rng = random.Random(3)
    estimator = SpeedEstimator()
    for _ in range(200):
        own = rng.choice([150, 1_500, 4_000])
        queue_ms = rng.choice([0.0, 0.0, 0.0, 40.0, 200.0])
        estimator.record(prompt(6_000, own), first_event_ms + own / tokens_per_ms + queue_ms)
    return estimator


class TestSpeed:
    @pytest.mark.parametrize(("tokens_per_ms", "first_event_ms"), DEPLOYMENTS)
    def test_speed_is_learned_beside_queues(self, tokens_per_ms, first_event_ms):
        """Guards against a prediction with the speed of another deployment's engines."""
        speed = estimator_of(tokens_per_ms, first_event_ms).speed()
        assert speed.prefill_tokens_per_ms == pytest.approx(tokens_per_ms, rel=0.15)
        assert speed.first_event_ms == pytest.approx(first_event_ms, abs=20.0)

    def test_few_answers_change_nothing(self):
        estimator = SpeedEstimator()
        for _ in range(MIN_SAMPLES - 1):
            estimator.record(prompt(0, 100), 5.0)
        assert estimator.speed() == START_SPEED


class TestCosts:
    @pytest.mark.parametrize(("tokens_per_ms", "first_event_ms"), DEPLOYMENTS)
    def test_queue_that_outweighs_the_cached_prefix_moves_the_request(
        self, tokens_per_ms, first_event_ms
    ):
        """Guards against a hot prefix that keeps one engine overloaded: the load at which a
        request moves follows from the speed of the deployment's engines."""
        speed = estimator_of(tokens_per_ms, first_event_ms).speed()
        engines = [engine("e1"), engine("e2")]
        request = prompt(5_000, 1_000)
        idle = placement.engine_costs(engines, request, {}, {}, "z1", speed, Preferences())
        preferred = min(idle, key=lambda name: idle[name])
        other = next(e.name for e in engines if e.name != preferred)
        for queue_tokens, expected in ((1_000.0, preferred), (40_000.0, other)):
            loads = {preferred: EngineLoad(queue_tokens, 0.0)}
            costs = placement.engine_costs(engines, request, loads, {}, "z1", speed, Preferences())
            assert min(costs, key=lambda name: costs[name]) == expected

    def test_large_inputs_prefer_their_zone_as_far_as_set(self):
        engines = [engine("e1", "z1"), engine("e2", "z2")]
        inputs = {"z2": 6e6}
        for ms_per_mb, expected in ((0.0, "e1"), (50.0, "e2")):
            preferences = Preferences(cross_zone_ms_per_mb=ms_per_mb)
            costs = placement.engine_costs(
                engines, None, {}, inputs, "z1", START_SPEED, preferences
            )
            assert min(costs, key=lambda name: costs[name]) == expected
