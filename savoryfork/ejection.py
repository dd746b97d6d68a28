"""Straggler detection: ejects slow or failing targets and readmits them after a probe."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

# Weight of one observation in the moving average of the slowdown.
SLOWDOWN_GAIN = 0.25

# Without new observations, the slowdown decays to 1 with this time constant.
SLOWDOWN_DECAY_MS = 2_000.0

# Relative slowdown above which a target gets less work, and above which it is ejected. An ejection
# threshold of 3.0 ejected healthy targets at 80 % load, because of long prompts in a shared batch.
SLOW_THRESHOLD = 2.0
EJECT_THRESHOLD = 5.0
MIN_WEIGHT = 0.05

# At most this share of a service's targets is ejected, and at least MIN_CANDIDATES are kept: the
# others must be able to carry the load of the ejected ones.
MAX_EJECTED_SHARE = 0.34
MIN_CANDIDATES = 2

# Half-life of the failure count. A target whose count reaches FAILURE_LIMIT is ejected.
FAILURE_HALF_LIFE_MS = 5_000.0
FAILURE_LIMIT = 2.0

# First and longest delay before an ejected target is probed, and the time over which a readmitted
# target ramps up to its full weight.
PROBE_MS = 1_000.0
MAX_PROBE_MS = 5_000.0
READMIT_RAMP_MS = 1_000.0

# Shorter intervals are not evidence: they are within the jitter of the event loop and of one engine
# step with a long prompt in the batch.
JITTER_MS = 50.0


class Health(NamedTuple):
    """Health of one incarnation of a target.

    `slowdown` is observed over expected time (1 is normal), last updated at `slowdown_ms`;
    `failures` is a decaying count, last updated at `failed_ms`. An ejected target is probed at
    `probe_ms`, then after `backoff_ms`. It was last readmitted at `readmitted_ms`.
    """

    slowdown: float = 1.0
    slowdown_ms: float = 0.0
    failures: float = 0.0
    failed_ms: float = 0.0
    ejected: bool = False
    probe_ms: float = 0.0
    backoff_ms: float = PROBE_MS
    readmitted_ms: float = -math.inf


def slowdown_at(health: Health, now_ms: float) -> float:
    """Returns the slowdown, decayed towards 1 since the last observation."""
    age = max(0.0, now_ms - health.slowdown_ms)
    return 1.0 + (health.slowdown - 1.0) * math.exp(-age / SLOWDOWN_DECAY_MS)


def failures_at(health: Health, now_ms: float) -> float:
    """Returns the decayed failure count."""
    age = max(0.0, now_ms - health.failed_ms)
    return health.failures * 0.5 ** (age / FAILURE_HALF_LIFE_MS)


def record_interval(health: Health, took_ms: float, expected_ms: float, now_ms: float) -> Health:
    """Records a finished interval in the moving average of took / expected."""
    ratio = max(took_ms, JITTER_MS) / max(expected_ms, JITTER_MS)
    before = slowdown_at(health, now_ms)
    return health._replace(slowdown=before + SLOWDOWN_GAIN * (ratio - before), slowdown_ms=now_ms)


def record_failure(health: Health, weight: float, now_ms: float) -> Health:
    """Records a failure; a refused connection has weight `FAILURE_LIMIT`."""
    return health._replace(failures=failures_at(health, now_ms) + weight, failed_ms=now_ms)


def pending_slowdown(pending: Iterable[tuple[float, float]]) -> float:
    """Returns the slowdown shown by pending calls: sum of ages / sum of expected intervals.

    Each item is (time since the last activity of the call, expected interval until the next).
    Sums are used so that one wrong prediction does not eject the target.

    >>> pending_slowdown([]), pending_slowdown([(10.0, 40.0)])
    (1.0, 1.0)
    >>> pending_slowdown([(300.0, 40.0), (100.0, 40.0)])
    4.0
    """
    ages = expected = 0.0
    for age, interval in pending:
        ages += age
        expected += max(interval, JITTER_MS)
    return max(1.0, ages / expected) if expected else 1.0


def relative_slowdown(slowdown: float, median: float) -> float:
    """Returns the slowdown relative to the median, so that a general slowdown ejects no target."""
    return slowdown / max(1.0, median)


def weight(health: Health, relative_to_median: float, now_ms: float) -> float:
    """Returns the probability of keeping a sampled target.

    It is (SLOW_THRESHOLD / slowdown)^2, times a ramp after readmission.
    """
    if health.ejected:
        return 0.0
    slow = min(1.0, (SLOW_THRESHOLD / relative_to_median) ** 2)
    ramp = min(1.0, 0.2 + 0.8 * (now_ms - health.readmitted_ms) / READMIT_RAMP_MS)
    return max(MIN_WEIGHT, slow * ramp)


def max_ejected(targets: int) -> int:
    """Returns how many of a service's targets may be ejected at once.

    >>> [max_ejected(n) for n in (1, 2, 3, 4, 6, 100)]
    [0, 0, 1, 1, 2, 34]
    """
    return max(0, min(int(targets * MAX_EJECTED_SHARE), targets - MIN_CANDIDATES))


def review(
    healths: Mapping[str, Health], slowdowns: Mapping[str, float], now_ms: float
) -> dict[str, Health]:
    """Ejects the worst targets within the cap and returns the healths that changed.

    `slowdowns` are relative to the median. If the set of targets shrank so that more than the cap
    are ejected, the best of them are readmitted immediately.
    """
    allowed = max_ejected(len(healths))
    changed: dict[str, Health] = {}

    def severity(name: str) -> float:
        return (
            slowdowns[name] + EJECT_THRESHOLD * failures_at(healths[name], now_ms) / FAILURE_LIMIT
        )

    ejected_names = sorted((n for n, h in healths.items() if h.ejected), key=severity, reverse=True)
    for name in ejected_names[allowed:]:
        changed[name] = readmitted(healths[name], now_ms)
    room = allowed - len(ejected_names)
    if room > 0:
        worst = [n for n, h in healths.items() if not h.ejected and severity(n) >= EJECT_THRESHOLD]
        for name in sorted(worst, key=severity, reverse=True)[:room]:
            health = healths[name]
            changed[name] = health._replace(ejected=True, probe_ms=now_ms + health.backoff_ms)
    return changed


def readmitted(health: Health, now_ms: float) -> Health:
    """Readmits a target with a gradual ramp, and resets its probe backoff."""
    return health._replace(
        ejected=False, readmitted_ms=now_ms, slowdown=1.0, failures=0.0, backoff_ms=PROBE_MS
    )


def after_probe(health: Health, good: bool, now_ms: float) -> Health:
    """Readmits the target after a good probe, otherwise doubles its backoff."""
    if good:
        return readmitted(health, now_ms)
    backoff = min(MAX_PROBE_MS, 2 * health.backoff_ms)
    return health._replace(backoff_ms=backoff, probe_ms=now_ms + backoff)
