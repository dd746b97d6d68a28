"""Chooses targets for whole requests: engines by prompt cache, load and distance, others by load.

Load patterns answered:

* many requests about few subjects: the shared parts of a prompt are read once, on the engine that
  rendezvous hashing prefers for them, unless it is much busier than others;
* inputs of some MB: an engine in the zone of the inputs is preferred;
* targets that fail or hang for some seconds: they are ejected and probed (see `ejection`).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savoryfork.forward.model import Prompt, Target
from savoryfork.util import rendezvous

# Prompt tokens that an engine reads in a millisecond (deployment sheets: 51.1).
PREFILL_TOKENS_PER_MS = 51.1

# What one more running request adds to the time of a request of ordinary length.
MS_PER_RUNNING_REQUEST = 4.0

# What the choice weighs, in parts of the worth of an ordinary request: a millisecond, a megabyte of
# inputs from another zone, and a thousand shared tokens that another engine has read shortly
# before. The last two are their prices on the users' sites; three requests in ten find their
# subject still in the window in which reading it again is priced.
COST_PER_MS = 0.001
COST_PER_CROSS_ZONE_MB = 0.048
PREFIX_MISS_COST_PER_1000_TOKENS = 0.26 * 0.3

# What a request in another zone costs, so that equal targets are chosen nearby.
CROSS_ZONE_MS = 2.0

# From the sending of an ordinary request to its first event, without its prompt.
BASE_FIRST_EVENT_MS = 70.0


class EngineLoad(NamedTuple):
    """Outstanding work on an engine: prompt tokens not yet read, and requests."""

    prompt_tokens: float
    requests: float


NO_LOAD = EngineLoad(0.0, 0.0)


def shared_part_id(prompt: Prompt) -> str | None:
    """The last part of a prompt that other requests share: the one before their own."""
    if len(prompt.parts) >= 2:
        return prompt.parts[-2].id
    return prompt.parts[0].id if prompt.parts else None


def uncached_tokens(prompt: Prompt, on_preferred: bool) -> float:
    """Prompt tokens that an engine has to read: elsewhere only the first part is cached."""
    cached = (
        prompt.parts[:-1] if on_preferred else prompt.parts[:1] if len(prompt.parts) > 2 else ()
    )
    return max(0.0, prompt.input_tokens - sum(part.tokens for part in cached))


def expected_first_event_ms(prompt: Prompt | None) -> float:
    """Expected time from the sending of a generation to its first event."""
    if prompt is None:
        return 0.0
    return BASE_FIRST_EVENT_MS + uncached_tokens(prompt, on_preferred=True) / PREFILL_TOKENS_PER_MS


def engine_costs(
    targets: Sequence[Target],
    prompt: Prompt | None,
    loads: Mapping[str, EngineLoad],
    input_bytes: Mapping[str, float],
    zone: str,
) -> dict[str, float]:
    """Expected cost of a generation on each engine; `input_bytes` by zone of their maker."""
    names = [target.name for target in targets]
    prefix_id = shared_part_id(prompt) if prompt is not None else None
    preferred = rendezvous.ranked(prefix_id, names)[0] if prefix_id is not None and names else None
    total = sum(input_bytes.values())
    costs = {}
    for target in targets:
        load = loads.get(target.name, NO_LOAD)
        uncached = prefix_miss = 0.0
        if prompt is not None:
            uncached = uncached_tokens(prompt, target.name == preferred)
            prefix_miss = uncached - uncached_tokens(prompt, True)
        cross_zone_mb = (total - input_bytes.get(target.zone, 0.0)) / 1e6
        time_ms = (
            (load.prompt_tokens + uncached) / PREFILL_TOKENS_PER_MS
            + MS_PER_RUNNING_REQUEST * load.requests
            + (CROSS_ZONE_MS if target.zone != zone else 0.0)
        )
        costs[target.name] = (
            COST_PER_MS * time_ms
            + COST_PER_CROSS_ZONE_MB * cross_zone_mb
            + PREFIX_MISS_COST_PER_1000_TOKENS * prefix_miss / 1000
        )
    return costs


def load_costs(
    targets: Sequence[Target], running: Mapping[str, int], zone: str, salt: str
) -> dict[str, float]:
    """Relative cost of a plain request on each target: own requests per slot, then distance.

    `salt` breaks ties differently for each request, so that hosts do not all pick the same one.
    """
    return {
        target.name: running.get(target.name, 0) / target.slots
        + (0.05 if target.zone != zone else 0.0)
        + 0.01 * rendezvous.score(salt, target.name) / 2**64
        for target in targets
    }
