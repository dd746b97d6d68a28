"""Generates the faults of a run; the same seed gives the same faults at the same times."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

# Faults begin once the hosts serve requests; they may overlap.
FIRST_FAULT_S = 1.0

HOST_FAULTS = ("kill", "stop", "freeze", "reload", "many_signals")
STORE_FAULTS = ("store_down", "store_silent", "store_reset")
TARGET_FAULTS = ("silent", "deaf", "reset", "delay", "refuse", "leave")
BASIC_KINDS = (*HOST_FAULTS, *STORE_FAULTS, *TARGET_FAULTS, "rotate_keys")
KINDS = (*BASIC_KINDS, "restored", "pause", "odd_entries")

# Maximum duration in seconds by fault kind; other kinds have no duration.
MAX_DURATION_S = {
    "freeze": 4.0,
    "store_down": 6.0,
    "store_silent": 6.0,
    "silent": 3.0,
    "deaf": 3.0,
    "delay": 3.0,
    "refuse": 2.0,
    "leave": 3.0,
    "restored": 3.0,
    "pause": 3.0,
    "odd_entries": 3.0,
}


class Fault(NamedTuple):
    """One fault; `selector`, modulo their number, selects the affected host or target."""

    start_s: float
    kind: str
    selector: int
    duration_s: float


def plan(seed: int, seconds: float, count: int, kinds: Sequence[str] = KINDS) -> list[Fault]:
    """Returns the faults of a run, of the given kinds, ordered by start time.

    >>> plan(1, 10.0, 12) == plan(1, 10.0, 12)
    True
    """
    rng = random.Random(seed)
    faults = []
    for _ in range(count):
        kind = rng.choice(kinds)
        duration_s = rng.uniform(0.2, MAX_DURATION_S[kind]) if kind in MAX_DURATION_S else 0.0
        start_s = rng.uniform(FIRST_FAULT_S, seconds)
        faults.append(Fault(round(start_s, 3), kind, rng.randrange(1_000), round(duration_s, 3)))
    return sorted(faults)
