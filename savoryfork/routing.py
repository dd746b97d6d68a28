"""Load-aware choice of a target for one call."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from savoryfork.util import rendezvous

# Candidates compared per call. Comparing all would send every host to the same target until the
# next load report; two or three random ones come close to the best without that herding.
SAMPLE_SIZE = 3

# Relative growth of the time per token with each further call in the batch; only used to rank
# targets.
SLOWDOWN_PER_CALL = 0.03

# Bounded-load factor: a target is over its bound above this multiple of the mean load, plus one.
AFFINITY_BOUND = 1.25
AFFINITY_CANDIDATES = 3

# Share of its capacity that a target may have queued in addition, so that it does not run idle
# until the next load report arrives.
QUEUE_SLACK = 0.125


class Load(NamedTuple):
    """The load of one target as known to this host.

    `own_calls` is the number of this host's outstanding calls, `own_at_report` the number at the
    time of the load report; `prefill_ms` is the expected time of this host's prompts without a
    first token. `running` and `waiting` were reported `age_ms` ago. `slowdown` is the target's
    estimated slowdown factor (1 is normal).
    """

    own_calls: int
    own_at_report: int
    prefill_ms: float
    running: int
    waiting: int
    age_ms: float
    slowdown: float


class Pool(NamedTuple):
    """Aggregate statistics of all targets of a service.

    `other_calls` is the mean number of calls of other hosts per target, `call_ms` the mean time of
    a call, `capacity` the calls that a target runs at once (inf while unknown), `hosts` the number
    of sending hosts.
    """

    other_calls: float
    call_ms: float
    capacity: float
    hosts: int


LoadLookup = Callable[[str], Load]


def estimated_other_calls(load: Load, pool: Pool) -> float:
    """Estimates the calls of other hosts on the target, corrected for the age of the report.

    At the time of the report: reported = running + waiting - own_at_report. As calls end and others
    start, the estimate decays to the mean: mean + (reported - mean) x exp(-age / call_ms).
    """
    reported = max(0.0, float(load.running + load.waiting - load.own_at_report))
    return pool.other_calls + (reported - pool.other_calls) * math.exp(
        -load.age_ms / max(1.0, pool.call_ms)
    )


def estimated_calls(load: Load, pool: Pool) -> float:
    """Estimates all calls on the target: this host's exact count plus those of other hosts."""
    return load.own_calls + estimated_other_calls(load, pool)


def wait_ms(load: Load, pool: Pool) -> float:
    """Estimates the queueing time: calls over capacity, served `capacity` at a time."""
    if math.isinf(pool.capacity):
        return 0.0
    beyond = max(0.0, estimated_calls(load, pool) + 1 - pool.capacity)
    return beyond / pool.capacity * pool.call_ms


def first_ms(load: Load, pool: Pool, prompt_ms: float) -> float:
    """Estimates the time to first token without slowdown: queueing, earlier prompts, own prompt."""
    return wait_ms(load, pool) + load.prefill_ms + prompt_ms


def completion_ms(load: Load, pool: Pool, prompt_ms: float, rest_ms: float) -> float:
    """Estimates the completion time: slowdown x (first + rest x (1 + SLOWDOWN_PER_CALL x load))."""
    batch_factor = 1 + SLOWDOWN_PER_CALL * estimated_calls(load, pool)
    return load.slowdown * (first_ms(load, pool, prompt_ms) + rest_ms * batch_factor)


def limit(load: Load, pool: Pool, max_inflight: int) -> int:
    """Returns the maximum number of calls of this host on the target.

    With unknown capacity this is `max_inflight`. Otherwise it follows from the room at the time of
    the report, room = capacity x (1 + QUEUE_SLACK) - running - waiting: hosts share free room
    equally, and reduce an excess in proportion to the calls they had.
    """
    if math.isinf(pool.capacity):
        return max_inflight
    total = load.running + load.waiting
    room = pool.capacity * (1 + QUEUE_SLACK) - total
    if room >= 0:
        part = math.ceil(room / pool.hosts)
    else:
        part = -math.ceil(-room * load.own_at_report / max(1, total))
    return max(1, min(max_inflight, load.own_at_report + part))


def affinity_target(
    prefix: str, names: Sequence[str], loads: Callable[[str], float], mean: float
) -> str | None:
    """Returns the prefix-affinity target by rendezvous hashing with bounded loads.

    It is the first of the `AFFINITY_CANDIDATES` top-ranked targets within its bound, None if none.
    """
    bound = AFFINITY_BOUND * mean + 1
    for name in rendezvous.ranked(prefix, names)[:AFFINITY_CANDIDATES]:
        if loads(name) <= bound:
            return name
    return None


def sample(
    names: Sequence[str], weights: Callable[[str], float], rng: random.Random, count: int
) -> list[str]:
    """Draws up to `count` distinct candidates; each draw is accepted with probability `weight`.

    If every draw is rejected, the candidates of highest weight are returned, so that only a weight
    of 0 excludes a target for certain.
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
    """Returns the candidate with the least expected completion; ties are broken at random."""
    return min(completions, key=lambda name: (completions[name], rng.random()))
