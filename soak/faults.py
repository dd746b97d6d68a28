"""Draws what happens in a run; the same seed gives the same faults at the same times."""

from __future__ import annotations

import random
from typing import NamedTuple

# The first fault comes when hosts have begun to serve; afterwards faults overlap freely.
FIRST_S = 1.0

HOST_FAULTS = ("kill", "stop", "freeze", "reload", "many_signals")
STORE_FAULTS = ("store_down", "store_silent", "store_reset")
TARGET_FAULTS = ("silent", "deaf", "reset", "delay", "refuse", "leave")
KINDS = (*HOST_FAULTS, *STORE_FAULTS, *TARGET_FAULTS, "rotate_keys")

# Longest duration of a fault in seconds, by kind; others happen at once.
LONGEST_S = {
    "freeze": 4.0,
    "store_down": 6.0,
    "store_silent": 6.0,
    "silent": 3.0,
    "deaf": 3.0,
    "delay": 3.0,
    "refuse": 2.0,
    "leave": 3.0,
}


class Fault(NamedTuple):
    """One fault: when it begins, how long it lasts, and which of the hosts or targets it hits."""

    at_s: float
    kind: str
    victim: int
    for_s: float


def plan(seed: int, seconds: float, count: int) -> list[Fault]:
    """The faults of a run, in order of time.

    >>> plan(1, 10.0, 12) == plan(1, 10.0, 12)
    True
    """
    rng = random.Random(seed)
    faults = []
    for _ in range(count):
        kind = rng.choice(KINDS)
        for_s = rng.uniform(0.2, LONGEST_S[kind]) if kind in LONGEST_S else 0.0
        at_s = rng.uniform(FIRST_S, seconds)
        faults.append(Fault(round(at_s, 3), kind, rng.randrange(1_000), round(for_s, 3)))
    return sorted(faults)
