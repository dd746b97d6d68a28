"""Chooses a target for one call from what this host knows of the candidates."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from savoryfork.util import rendezvous

# How many candidates are compared. Comparing all would send every host to the same target until
# the next report; two or three random ones come close to the best without that.
SAMPLES = 3

# Growth of the time per token with each further call in the batch. It only has to order targets.
CROWDING = 0.03

# A target is over its bound if it has this many times the mean load, and one call more.
AFFINITY_BOUND = 1.25
AFFINITY_RANKS = 3

# Work that a target may have waiting beyond its capacity, so that it does not run idle while a
# report is on its way.
QUEUE_SLACK = 0.125


class Load(NamedTuple):
    """The load of one target as known to this host.

    `own` calls are outstanding now, `own_then` were when the report was taken; `prefill_ms` is
    the expected time of own prompts that have not given a first token. `running` and `waiting`
    are reported, `age_ms` ago. `pace` is the target's slowness (1 is normal).
    """

    own: int
    own_then: int
    prefill_ms: float
    running: int
    waiting: int
    age_ms: float
    pace: float


class Pool(NamedTuple):
    """What is known of all targets of a service together.

    `others` is the mean number of calls of other hosts on a target, `call_ms` the mean time of a
    call, `capacity` the calls that a target runs at once (inf while unknown), `hosts` the number
    of hosts that send.
    """

    others: float
    call_ms: float
    capacity: float
    hosts: int


Lookup = Callable[[str], Load]


def others_now(load: Load, pool: Pool) -> float:
    """Calls of other hosts on the target, corrected for the age of the report.

    At the time of the report they were then = running + waiting - own_then. As calls end and
    others begin, that tells less and less: mean + (then - mean) x exp(-age / call_ms).
    """
    then = max(0.0, float(load.running + load.waiting - load.own_then))
    return pool.others + (then - pool.others) * math.exp(-load.age_ms / max(1.0, pool.call_ms))


def load_now(load: Load, pool: Pool) -> float:
    """All calls on the target: own ones, known exactly, and those of other hosts."""
    return load.own + others_now(load, pool)


def wait_ms(load: Load, pool: Pool) -> float:
    """Expected wait at the target: calls beyond its capacity, served `capacity` at a time."""
    if math.isinf(pool.capacity):
        return 0.0
    beyond = max(0.0, load_now(load, pool) + 1 - pool.capacity)
    return beyond / pool.capacity * pool.call_ms


def first_ms(load: Load, pool: Pool, prompt_ms: float) -> float:
    """Expected time to the first token at normal pace: wait, own prompts before it, its own."""
    return wait_ms(load, pool) + load.prefill_ms + prompt_ms


def completion_ms(load: Load, pool: Pool, prompt_ms: float, rest_ms: float) -> float:
    """Expected completion: pace x (first + rest x (1 + CROWDING x load))."""
    crowd = 1 + CROWDING * load_now(load, pool)
    return load.pace * (first_ms(load, pool, prompt_ms) + rest_ms * crowd)


def limit(load: Load, pool: Pool, max_inflight: int) -> int:
    """How many calls this host may have on the target.

    With the capacity unknown, `max_inflight`. Otherwise the room of the target at the time of the
    report, room = capacity x (1 + QUEUE_SLACK) - running - waiting, is divided: of free room each
    host takes an equal part, of excess each gives back in proportion to what it had.
    """
    if math.isinf(pool.capacity):
        return max_inflight
    total = load.running + load.waiting
    room = pool.capacity * (1 + QUEUE_SLACK) - total
    if room >= 0:
        part = math.ceil(room / pool.hosts)
    else:
        part = -math.ceil(-room * load.own_then / max(1, total))
    return max(1, min(max_inflight, load.own_then + part))


def home(
    prefix: str, names: Sequence[str], loads: Callable[[str], float], mean: float
) -> str | None:
    """The target whose cache should hold the prefix: rendezvous hashing with bounded loads.

    The first of the `AFFINITY_RANKS` preferred targets that is within its bound; None if none is.
    """
    bound = AFFINITY_BOUND * mean + 1
    for name in rendezvous.ranked(prefix, names)[:AFFINITY_RANKS]:
        if loads(name) <= bound:
            return name
    return None


def sample(
    names: Sequence[str], weights: Callable[[str], float], rng: random.Random, count: int
) -> list[str]:
    """Draws up to `count` different candidates; each is kept with the chance of its weight.

    If every draw is turned away, all are looked at and those of highest weight are taken, so that
    only a weight of 0 keeps a target out for certain.
    """
    drawn: list[str] = []
    for _ in range(4 * count if names else 0):
        name = names[rng.randrange(len(names))]
        if name not in drawn and rng.random() < weights(name):
            drawn.append(name)
            if len(drawn) == count:
                return drawn
    if drawn:
        return drawn
    usable = [name for name in names if weights(name) > 0]
    return sorted(usable, key=weights, reverse=True)[:count]


def choose(completions: Mapping[str, float], rng: random.Random) -> str:
    """The candidate with the least expected completion; ties are broken at random."""
    return min(completions, key=lambda name: (completions[name], rng.random()))
