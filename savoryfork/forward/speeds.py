"""Learns from answers how fast the targets of a service are, together and each.

The operators' configuration does not say it, and deployments differ. Within one, 45 engines run at
0.6, 1.0 or 1.6 of the nominal speed, with noise, and each of 74 hosts gets an answer of a given
engine only every 10 to 30 s. So the speed of a service is learned from all answers, and that of a
target as a factor that counts as far as the answers show more than noise.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savoryfork.forward.departures import Incarnation, incarnation_of
from savoryfork.forward.model import Prompt, Target
from savoryfork.util.window import Window


class EngineSpeed(NamedTuple):
    """The speed of an engine: prompt tokens read per ms, the time to the first event without
    reading, and the latency that each other running request adds.
    """

    prefill_tokens_per_ms: float
    first_event_ms: float
    running_request_ms: float


# Assumed until enough answers were seen.
START_SPEED = EngineSpeed(50.0, 70.0, 4.0)

# Answers that are kept for an estimate, and how many it needs.
SAMPLES = 128
MIN_SAMPLES = 12

# A prompt with fewer own tokens than the first figure shows the time without reading, one with more
# than the second the time of reading.
SHORT_TOKENS = 300
LONG_TOKENS = 1_000

# Queueing only lengthens the time to the first event, so the estimates are the time that a tenth
# of the answers undercut, and the speed that a fifth of them exceed.
FIRST_EVENT_QUANTILE = 0.1
SPEED_QUANTILE = 0.8

# Part of the first event's time that reading must take to be told from the rest.
MIN_READING_SHARE = 0.3

# Weight of the latest answer of an engine or plain target in its mean, once there are several: the
# last 19 answers decide, so that one with a missed prefix does not.
REQUEST_SMOOTHING = 0.1

# Answers of a target count half after this time, so that a target that was slow for a while is
# tried again. What was learned over a shorter time fades as fast as it came: a warm-up takes
# seconds.
HALF_LIFE_MS = 60_000.0
MIN_HALF_LIFE_MS = 5_000.0

# Assumed variance of the logarithm of an answer's time, and how many answers it counts as. A missed
# prefix or an unknown queue changes the time to the first event by up to a factor of 1.5.
START_VARIANCE = 0.16
START_WEIGHT = 8

# Answers over which the variance is averaged.
VARIANCE_SAMPLES = 512

# An answer counts as at most this many times slower or faster than usual. Targets slow down by up
# to 5 times for some seconds, and a longer time shows a queue or a hang.
MAX_RATIO = 6.0

# Standard errors by which a single target must differ from its service for its own mean to count,
# and by which the differences between all targets must exceed noise. Of 91 equal targets, one in
# four times one differs by 3.
OWN_ERRORS = 3.0
SPREAD_ERRORS = 2.0

# Answers after which unusual ones are told from usual ones.
MIN_CENTER_SAMPLES = 8

# Time for which the comparison with the service is kept between answers; it takes some 50 us for
# 100 targets.
REFRESH_MS = 250.0

# Change of a target's factor since the last log line that gives another one.
LOGGED_CHANGE = 1.25


def own_tokens(prompt: Prompt) -> int:
    """Returns the tokens of the last part, which an engine has to read in any case."""
    return prompt.parts[-1].tokens if prompt.parts else prompt.input_tokens


class SpeedEstimator:
    """Estimates the speed of the engines of one service.

    >>> estimator = SpeedEstimator()
    >>> estimator.speed() == START_SPEED
    True
    """

    def __init__(self) -> None:
        self.first_event_ms = Window(SAMPLES)
        self.tokens_per_ms = Window(SAMPLES)

    def record(self, prompt: Prompt, first_event_ms: float) -> None:
        """Records the time from the sending of a request to the first event of its answer."""
        tokens = own_tokens(prompt)
        if tokens <= SHORT_TOKENS:
            self.first_event_ms.add(first_event_ms)
        elif tokens >= LONG_TOKENS:
            reading_ms = first_event_ms - self.speed().first_event_ms
            if reading_ms >= MIN_READING_SHARE * first_event_ms:
                self.tokens_per_ms.add(tokens / reading_ms)

    def speed(self) -> EngineSpeed:
        """Returns the estimate, or the start values where too few answers were seen."""
        speed = START_SPEED
        if len(self.first_event_ms) >= MIN_SAMPLES:
            first_event_ms = self.first_event_ms.quantile(FIRST_EVENT_QUANTILE)
            speed = speed._replace(first_event_ms=first_event_ms)
        if len(self.tokens_per_ms) >= MIN_SAMPLES:
            tokens_per_ms = self.tokens_per_ms.quantile(SPEED_QUANTILE)
            speed = speed._replace(prefill_tokens_per_ms=tokens_per_ms)
        return speed


class Answers(NamedTuple):
    """The answers of one incarnation of a target: the mean logarithm of their times as a ratio of
    the expected ones, how many answers it stands for, and the times of the first and last.
    """

    mean: float
    number: float
    first_at: float
    last_at: float

    def number_at(self, now: float) -> float:
        """Returns how many answers the mean stands for after a time without new ones."""
        half_life_ms = min(HALF_LIFE_MS, max(MIN_HALF_LIFE_MS, self.last_at - self.first_at))
        return float(self.number * 0.5 ** (max(0.0, now - self.last_at) / half_life_ms))


class Spread(NamedTuple):
    """The mean logarithm over a service's targets, and the variance of the targets around it."""

    center: float
    variance: float


NO_SPREAD = Spread(0.0, 0.0)


def spread_of(answers: Iterable[tuple[float, float]], noise: float) -> Spread:
    """Returns the spread of targets, given as (mean, count), whose answers vary by `noise`.

    The variance is the estimate of DerSimonian and Laird, reduced by what noise alone may show.

    >>> spread_of([(0.1, 4.0), (-0.1, 4.0)], 0.16)
    Spread(center=0.0, variance=0.0)
    >>> spread_of([(0.5, 40.0), (-0.5, 40.0)], 0.16).variance > 0.2
    True
    """
    rows = [row for row in answers if row[1] > 0]
    total = sum(count for _, count in rows)
    if not total:
        return NO_SPREAD
    center = sum(mean * count for mean, count in rows) / total
    freedom = len(rows) - 1
    if not freedom:
        return Spread(center, 0.0)
    excess = sum(count * (mean - center) ** 2 for mean, count in rows) / noise
    excess -= freedom + SPREAD_ERRORS * math.sqrt(2 * freedom)
    weight = (total - sum(count * count for _, count in rows) / total) / noise
    return Spread(center, max(0.0, excess / weight))


def credence(deviation: float, variance: float, spread: float) -> float:
    """Returns the part of a target's deviation from its service that is taken for its own.

    `variance` is that of the deviation by noise. If the targets differ anyway (`spread`), few
    answers suffice; a single odd target among equal ones needs as many as tell it from noise.

    >>> credence(0.5, 0.16, 0.0), credence(0.5, 0.16, 0.16), credence(0.5, 0.01, 0.0)
    (0.0, 0.5, 0.64)
    """
    pooled = spread / (spread + variance)
    own = 1.0 - OWN_ERRORS**2 * variance / deviation**2 if deviation else 0.0
    return max(0.0, pooled, own)


class Slowdowns:
    """How much slower than expected each target of a service answers.

    `smoothing` is the weight of the latest answer in a target's mean. A target without answers
    of its own is as slow as the service; its state is that of one incarnation.

    >>> fast, slow = (Target(n, "s", f"10.0.0.{n}:1", "z", 1, 4, False) for n in "12")
    >>> slowdowns = Slowdowns(REQUEST_SMOOTHING)
    >>> for second in range(60):
    ...     slowdowns.record(fast, 0.6, 1_000.0 * second)
    ...     slowdowns.record(slow, 1.7, 1_000.0 * second)
    >>> round(slowdowns.relative(fast), 1), round(slowdowns.relative(slow), 1)
    (0.6, 1.7)
    """

    def __init__(self, smoothing: float) -> None:
        self.smoothing = smoothing
        self.max_count = (2 - smoothing) / smoothing
        self.answers: dict[Incarnation, Answers] = {}
        self.factors: dict[Incarnation, float] = {}
        self.logged: dict[Incarnation, float] = {}
        self.noise = START_VARIANCE
        self.residuals = 0
        self.recorded = 0
        self.spread = NO_SPREAD
        self.refreshed_at = -math.inf

    def record(self, target: Target, ratio: float, now: float) -> None:
        """Records the time of a target's answer, as a ratio of the expected one."""
        if not (ratio > 0 and math.isfinite(ratio)):
            return
        key = incarnation_of(target)
        value = math.log(ratio)
        if self.recorded >= MIN_CENTER_SAMPLES:
            limit = math.log(MAX_RATIO)
            value = min(self.spread.center + limit, max(self.spread.center - limit, value))
        self.recorded += 1
        known = self.answers.get(key)
        if known is None:
            self.answers[key] = Answers(value, 1.0, now, now)
        else:
            count = known.number_at(now)
            self.record_noise((value - known.mean) ** 2 * count / (count + 1))
            weight = max(self.smoothing, 1 / (count + 1))
            self.answers[key] = Answers(
                known.mean + weight * (value - known.mean),
                min(self.max_count, count + 1),
                known.first_at,
                now,
            )
        if now - self.refreshed_at >= REFRESH_MS or self.recorded <= MIN_CENTER_SAMPLES:
            self.refresh(now)
        else:
            self.update_factor(key, now)

    def record_noise(self, squared: float) -> None:
        """Records how far an answer is from the earlier ones of its target.

        A target that becomes slower is not noise, so that a deviation counts as at most 3 errors.
        """
        self.residuals += 1
        weight = 1 / min(VARIANCE_SAMPLES, self.residuals + START_WEIGHT)
        self.noise += weight * (min(squared, OWN_ERRORS**2 * self.noise) - self.noise)

    def refresh(self, now: float) -> None:
        """Compares the targets with their service again; answers lose weight with time."""
        self.refreshed_at = now
        rows = [(answers.mean, answers.number_at(now)) for answers in self.answers.values()]
        self.spread = spread_of(rows, self.noise)
        for key in self.answers:
            self.update_factor(key, now)

    def update_factor(self, key: Incarnation, now: float) -> None:
        """Updates the factor of one target."""
        answers = self.answers[key]
        deviation = answers.mean - self.spread.center
        variance = self.noise / max(1e-6, answers.number_at(now))
        weight = credence(deviation, variance, self.spread.variance)
        self.factors[key] = math.exp(weight * deviation)

    def relative(self, target: Target) -> float:
        """Returns by how much a target is slower than its service."""
        return self.factors.get(incarnation_of(target), 1.0)

    def absolute(self, target: Target) -> float:
        """Returns by how much a target is slower than expected."""
        return math.exp(self.spread.center) * self.relative(target)

    def retain(self, targets: Iterable[Target], now: float) -> None:
        """Drops the state of all incarnations but the given ones; answers lose weight."""
        keys = {incarnation_of(target) for target in targets}
        for table in (self.answers, self.factors, self.logged):
            for key in [key for key in table if key not in keys]:
                del table[key]
        self.refresh(now)

    def changes(self) -> Mapping[Incarnation, float]:
        """Returns the factors that have changed notably since this was called last."""
        changed = {
            key: factor
            for key, factor in self.factors.items()
            if abs(math.log(factor / self.logged.get(key, 1.0))) >= math.log(LOGGED_CHANGE)
        }
        self.logged.update(changed)
        return changed
