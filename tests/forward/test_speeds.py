"""The speed of each target: replayed engines of different speeds, and noise alone."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter

import pytest

from savoryfork.forward import placement
from savoryfork.forward.model import Prompt, PromptPart, Target
from savoryfork.forward.placement import EngineLoad, Preferences
from savoryfork.forward.pool import SLOWDOWN_SMOOTHING
from savoryfork.forward.speeds import REQUEST_SMOOTHING, Slowdowns, SpeedEstimator

SPEEDS = (0.6, 1.0, 1.6)
ZONES = ("z1", "z2", "z3")

# Of an engine of nominal speed: prompt tokens read per ms, ms to the first event without reading,
# ms that each running request adds, and ms of an answer after its first event.
TOKENS_PER_MS = 56.6
FIRST_EVENT_MS = 60.0
RUNNING_REQUEST_MS = 2.0
ANSWER_MS = 500.0


def engine(number: int, start_unix_ms: int = 1) -> Target:
    zone = ZONES[number % 3]
    return Target(f"e{number}", "s", f"10.0.0.{number}:1", zone, start_unix_ms, 48, False)


class Host:
    """What one host has learned; `each` is False for an estimate of the service alone."""

    def __init__(self, zone: str, each: bool) -> None:
        self.zone = zone
        self.each = each
        self.estimator = SpeedEstimator()
        self.slowdowns = Slowdowns(REQUEST_SMOOTHING)

    def record(self, target: Target, prompt: Prompt, load: EngineLoad, ms: float, now: float):
        factor = self.slowdowns.relative(target) if self.each else 1.0
        expected = placement.expected_first_event_ms(prompt, self.estimator.speed(), load)
        self.estimator.record(prompt, ms / factor)
        if self.each:
            self.slowdowns.record(target, ms / expected, now)


class Outcome:
    """The requests that each engine got, and the times to the first event."""

    def __init__(self) -> None:
        self.requests: Counter[str] = Counter()
        self.times: list[float] = []

    def quantile(self, q: float) -> float:
        return sorted(self.times)[int(q * (len(self.times) - 1))]


def replay(speeds: list[float], each: bool, hosts: int, per_s: float, seconds: int) -> Outcome:
    """Serves requests of hosts whose demand differs by zone, on engines that read in sequence.

    The first third of the time is not counted: hosts learn the service's speed in it.
    """
    rng = random.Random(11)
    engines = [engine(number) for number in range(len(speeds))]
    zones = rng.choices(ZONES, (6, 3, 1), k=hosts)
    front = [Host(zone, each) for zone in zones]
    busy_until = [0.0] * len(engines)
    pending: dict[str, float] = {}
    running: dict[str, float] = {}
    ends: list[tuple[float, int, object]] = []
    outcome = Outcome()
    now, number = 0.0, 0
    while now < 1000 * seconds:
        now += rng.expovariate(per_s * (1 + 0.5 * math.sin(now / 8_000)) / 1000)
        while ends and ends[0][0] <= now:
            heapq.heappop(ends)[2]()  # type: ignore[operator]
        host = rng.choice(front)
        own = rng.choice((150, 1_800, 1_800, 2_890))
        prompt = Prompt(
            6_300 + own,
            (PromptPart(f"p{rng.randrange(340)}", 6_300), PromptPart(f"o{number}", own)),
        )
        loads = {
            e.name: EngineLoad(pending.get(e.name, 0.0), running.get(e.name, 0.0)) for e in engines
        }
        costs = placement.engine_costs(
            engines,
            prompt,
            loads,
            {},
            host.zone,
            host.estimator.speed(),
            Preferences(),
            {e.name: host.slowdowns.relative(e) for e in engines},
        )
        index = min(range(len(engines)), key=lambda n: costs[engines[n].name])
        target = engines[index]
        tokens = placement.uncached_tokens(prompt, True)
        noise = rng.lognormvariate(0.0, 0.2)
        reading = (tokens / TOKENS_PER_MS + RUNNING_REQUEST_MS) / speeds[index] * noise
        start = max(now, busy_until[index])
        busy_until[index] = start + reading
        first_at = start + reading + FIRST_EVENT_MS / speeds[index] * noise
        pending[target.name] = pending.get(target.name, 0.0) + tokens
        running[target.name] = running.get(target.name, 0.0) + 1

        def first_event(
            host=host,
            target=target,
            prompt=prompt,
            load=loads[target.name],
            tokens=tokens,
            sent_at=now,
            at=first_at,
        ):
            pending[target.name] -= tokens
            host.record(target, prompt, load, at - sent_at, at)

        def end(name=target.name):
            running[name] -= 1

        heapq.heappush(ends, (first_at, 2 * number, first_event))
        heapq.heappush(ends, (first_at + ANSWER_MS / speeds[index], 2 * number + 1, end))
        number += 1
        if now > 1000 * seconds / 3:
            outcome.requests[target.name] += 1
            outcome.times.append(first_at - now)
    return outcome


class TestReplay:
    def test_faster_engines_get_more_and_waits_get_shorter(self):
        """Guards against a placement that expects an engine of 0.6 to be as fast as one of 1.6."""
        speeds = [SPEEDS[number % 7 % 3] for number in range(15)]
        service = replay(speeds, each=False, hosts=10, per_s=300, seconds=45)
        each = replay(speeds, each=True, hosts=10, per_s=300, seconds=45)
        shares = []
        for speed in SPEEDS:
            names = [f"e{number}" for number, other in enumerate(speeds) if other == speed]
            shares.append(sum(each.requests[name] for name in names) / len(names))
        assert shares[0] < shares[1] < shares[2]
        assert each.quantile(0.99) < 0.7 * service.quantile(0.99)
        assert each.quantile(1.0) < 0.8 * service.quantile(1.0)

    def test_equal_engines_are_used_as_before(self):
        """Guards against requests that move because of noise."""
        service = replay([1.0] * 15, each=False, hosts=10, per_s=300, seconds=45)
        each = replay([1.0] * 15, each=True, hosts=10, per_s=300, seconds=45)
        assert each.quantile(0.99) == pytest.approx(service.quantile(0.99), rel=0.05)
        for name, count in service.requests.items():
            assert each.requests[name] == pytest.approx(count, rel=0.05)


def answered(speeds: list[float], answers: int, seed: int, noise: float = 0.3) -> Slowdowns:
    """Returns what a host learns that gets an answer of each engine every 20 s."""
    rng = random.Random(seed)
    slowdowns = Slowdowns(REQUEST_SMOOTHING)
    for turn in range(answers):
        for number, speed in enumerate(speeds):
            ratio = 1.3 / speed * rng.lognormvariate(0.0, noise)
            slowdowns.record(engine(number), ratio, 20_000.0 * turn + 100.0 * number)
    return slowdowns


class TestSlowdowns:
    @pytest.mark.parametrize("seed", range(20))
    def test_noise_moves_no_engine(self, seed):
        slowdowns = answered([1.0] * 45, 6, seed)
        factors = sorted(abs(math.log(slowdowns.relative(engine(n)))) for n in range(45))
        assert factors[-3] < 0.05 and factors[-1] < 0.3

    @pytest.mark.parametrize("seed", range(20))
    def test_few_answers_tell_engines_that_differ(self, seed):
        """Each of 74 hosts gets some answers a minute from each of 45 engines."""
        speeds = [SPEEDS[number % 3] for number in range(45)]
        slowdowns = answered(speeds, 4, seed)
        means = [
            sum(slowdowns.relative(engine(n)) for n in range(first, 45, 3)) / 15
            for first in range(3)
        ]
        assert means[0] > 1.35 and 0.8 < means[1] < 1.2 and means[2] < 0.8

    def test_one_slow_engine_among_equal_ones_is_found(self):
        slowdowns = Slowdowns(REQUEST_SMOOTHING)
        rng = random.Random(5)
        for turn in range(60):
            for number in range(45):
                ratio = (1.67 if number == 7 else 1.0) * rng.lognormvariate(0.0, 0.3)
                slowdowns.record(engine(number), ratio, 1_000.0 * turn)
        assert slowdowns.relative(engine(7)) > 1.3
        assert max(slowdowns.relative(engine(n)) for n in range(45) if n != 7) < 1.15

    def test_another_incarnation_starts_as_its_service(self):
        """Guards against a restarted engine that is taken for as slow as the one before."""
        slowdowns = answered([SPEEDS[number % 3] for number in range(45)], 6, 1)
        assert slowdowns.relative(engine(0)) > 1.3
        assert slowdowns.relative(engine(0, start_unix_ms=2)) == 1.0

    def test_engine_that_was_slow_as_it_started_is_tried_again(self):
        """Guards against an engine that is avoided for minutes after a warm-up of 3 s, as nothing
        that is sent there could show that it is warm."""
        slowdowns = answered([1.0] * 15, 6, 1, noise=0.1)
        now, started = 200_000.0, engine(3, start_unix_ms=2)
        for step in range(8):
            slowdowns.record(started, 1.3 * 4, now + 400.0 * step)
        assert slowdowns.relative(started) > 2.0
        targets = [engine(number) for number in range(15) if number != 3]
        slowdowns.retain([*targets, started], now + 60_000.0)
        assert slowdowns.relative(started) < 1.1

    def test_state_is_bounded_by_the_registered_targets(self):
        slowdowns = answered([SPEEDS[number % 3] for number in range(45)], 6, 1)
        slowdowns.changes()
        slowdowns.retain([engine(0), engine(1, start_unix_ms=2)], 200_000.0)
        for table in (slowdowns.answers, slowdowns.factors, slowdowns.logged):
            assert len(table) <= 1

    def test_log_lines_only_for_notable_changes(self):
        slowdowns = answered([SPEEDS[number % 3] for number in range(45)], 6, 1)
        assert 15 <= len(slowdowns.changes()) <= 45
        assert not slowdowns.changes()

    @pytest.mark.parametrize("ratio", [0.0, -1.0, math.inf, math.nan])
    def test_odd_ratio_is_ignored(self, ratio):
        """Guards against a clock that stands still between the two readings of an answer."""
        slowdowns = answered([1.0] * 3, 6, 1)
        slowdowns.record(engine(0), ratio, 200_000.0)
        assert 0.5 < slowdowns.relative(engine(0)) < 2.0

    def test_stage_target_that_slows_down_is_noticed_at_once(self):
        """Targets slow down by up to 5 times for some seconds, and calls take 200 ms."""
        slowdowns = Slowdowns(SLOWDOWN_SMOOTHING)
        rng = random.Random(3)
        for turn in range(40):
            for number in range(12):
                ratio = 5.0 if number == 4 and turn >= 38 else rng.uniform(1.0, 1.1)
                slowdowns.record(engine(number), ratio, 200.0 * turn)
        assert slowdowns.absolute(engine(4)) > 1.8
        assert all(slowdowns.absolute(engine(n)) < 1.4 for n in range(12) if n != 4)


class TestPlainRequests:
    def test_expected_time_decides(self):
        """Guards against plain targets of 0.6 that get as many requests as those of 1.6."""
        targets = [engine(0)._replace(zone="z1", slots=6), engine(1)._replace(zone="z1", slots=6)]
        slowdowns = {"e0": 1.67, "e1": 0.63}
        running: Counter[str] = Counter()
        for number in range(12):
            costs = placement.load_costs(targets, running, "z1", str(number), slowdowns)
            running[min(costs, key=lambda name: costs[name])] += 1
        assert 2 * running["e0"] < running["e1"] < 4 * running["e0"]

    def test_equal_targets_cost_as_before(self):
        targets = [engine(number) for number in range(4)]
        costs = placement.load_costs(targets, {"e1": 6}, "z1", "request")
        assert costs["e1"] - 6 / 48 < 0.07 and 0.05 <= costs["e2"] < 0.07
