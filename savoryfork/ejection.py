"""Decides which targets are stragglers, and how they come back."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

# Weight of one observation in the pace of a target.
PACE_GAIN = 0.25

# Without new observations, the pace returns to normal with this time constant.
PACE_MEMORY_MS = 2_000.0

# Relative pace from which a target gets less work, and from which it is ejected. With 3.0, the
# prompts of long work in a shared batch ejected healthy targets at 80 % load.
SLOW = 2.0
EJECT = 5.0
LEAST_WEIGHT = 0.05

# At most this share of a service's targets is ejected, and at least FLOOR stay candidates: the
# others must be able to carry the load of the ejected ones.
MAX_EJECTED_SHARE = 0.34
FLOOR = 2

# Failures are halved after this time; at FAULT_LIMIT of them the target is ejected.
FAULT_HALF_LIFE_MS = 5_000.0
FAULT_LIMIT = 2.0

# First and longest time before an ejected target is probed, and the time over which a target
# that has come back reaches its full weight.
PROBE_MS = 1_000.0
MAX_PROBE_MS = 5_000.0
RETURN_MS = 1_000.0

# An interval shorter than this is no evidence: it is within the jitter of an event loop and of one
# step of an engine that has a long prompt in its batch.
JITTER_MS = 50.0


class Health(NamedTuple):
    """What is known of one incarnation of a target.

    `pace` is observed over expected time (1 is normal), last changed at `paced_ms`; `faults` a
    decaying count of failures, last changed at `faulted_ms`. An ejected target is probed at
    `probe_ms`, with `backoff_ms` until the next try; it came back last at `returned_ms`.
    """

    pace: float = 1.0
    paced_ms: float = 0.0
    faults: float = 0.0
    faulted_ms: float = 0.0
    ejected: bool = False
    probe_ms: float = 0.0
    backoff_ms: float = PROBE_MS
    returned_ms: float = -math.inf


def pace_at(health: Health, now_ms: float) -> float:
    """The pace, returned towards 1 for the time without observations."""
    age = max(0.0, now_ms - health.paced_ms)
    return 1.0 + (health.pace - 1.0) * math.exp(-age / PACE_MEMORY_MS)


def faults_at(health: Health, now_ms: float) -> float:
    """The decayed count of failures."""
    age = max(0.0, now_ms - health.faulted_ms)
    return health.faults * 0.5 ** (age / FAULT_HALF_LIFE_MS)


def observe(health: Health, took_ms: float, expected_ms: float, now_ms: float) -> Health:
    """Notes an interval that ended: the pace moves by `PACE_GAIN` towards took / expected."""
    ratio = max(took_ms, JITTER_MS) / max(expected_ms, JITTER_MS)
    before = pace_at(health, now_ms)
    return health._replace(pace=before + PACE_GAIN * (ratio - before), paced_ms=now_ms)


def fault(health: Health, weight: float, now_ms: float) -> Health:
    """Notes a failure; a connection that was refused weighs as much as the limit."""
    return health._replace(faults=faults_at(health, now_ms) + weight, faulted_ms=now_ms)


def pending_pace(pending: Iterable[tuple[float, float]]) -> float:
    """The pace that the calls without an answer show: sum of ages / sum of expected intervals.

    Each item is (time since the call last gave a sign, expected time until its next one). A sum
    is used so that one call that was predicted wrongly does not condemn the target.

    >>> pending_pace([]), pending_pace([(10.0, 40.0)]), pending_pace([(300.0, 40.0), (100.0, 40.0)])
    (1.0, 1.0, 4.0)
    """
    ages = expected = 0.0
    for age, interval in pending:
        ages += age
        expected += max(interval, JITTER_MS)
    return max(1.0, ages / expected) if expected else 1.0


def relative(pace: float, median: float) -> float:
    """The pace against the service's other targets; a general slowdown ejects nobody."""
    return pace / max(1.0, median)


def weight(health: Health, relative_pace: float, now_ms: float) -> float:
    """The chance with which a sampled target is considered: (SLOW / pace)^2, and a return ramp."""
    if health.ejected:
        return 0.0
    slow = min(1.0, (SLOW / relative_pace) ** 2)
    ramp = min(1.0, 0.2 + 0.8 * (now_ms - health.returned_ms) / RETURN_MS)
    return max(LEAST_WEIGHT, slow * ramp)


def most_ejected(targets: int) -> int:
    """How many of a service's targets may be ejected at once.

    >>> [most_ejected(n) for n in (1, 2, 3, 4, 6, 100)]
    [0, 0, 1, 1, 2, 34]
    """
    return max(0, min(int(targets * MAX_EJECTED_SHARE), targets - FLOOR))


def review(
    healths: Mapping[str, Health], paces: Mapping[str, float], now_ms: float
) -> dict[str, Health]:
    """Ejects the worst targets within the cap and returns the healths that changed.

    `paces` are relative. If the set of targets shrank so that more than the cap are ejected, the
    best of them come back at once.
    """
    allowed = most_ejected(len(healths))
    changed: dict[str, Health] = {}

    def badness(name: str) -> float:
        return paces[name] + EJECT * faults_at(healths[name], now_ms) / FAULT_LIMIT

    out = sorted((n for n, h in healths.items() if h.ejected), key=badness, reverse=True)
    for name in out[allowed:]:
        changed[name] = returned(healths[name], now_ms)
    room = allowed - len(out)
    if room > 0:
        worst = [n for n, h in healths.items() if not h.ejected and badness(n) >= EJECT]
        for name in sorted(worst, key=badness, reverse=True)[:room]:
            health = healths[name]
            changed[name] = health._replace(ejected=True, probe_ms=now_ms + health.backoff_ms)
    return changed


def returned(health: Health, now_ms: float) -> Health:
    """The target gets work again, gradually; its next ejection starts with the shortest wait."""
    return health._replace(
        ejected=False, returned_ms=now_ms, pace=1.0, faults=0.0, backoff_ms=PROBE_MS
    )


def probed(health: Health, good: bool, now_ms: float) -> Health:
    """The outcome of a probe: back to work, or out for twice as long."""
    if good:
        return returned(health, now_ms)
    backoff = min(MAX_PROBE_MS, 2 * health.backoff_ms)
    return health._replace(backoff_ms=backoff, probe_ms=now_ms + backoff)
