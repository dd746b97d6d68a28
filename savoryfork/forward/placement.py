"""Computes the cost of running a request on each target.

Engines are compared by prefix cache, load and zone, other targets by load and zone:

* If many requests share prompt prefixes, a prefix is prefilled once, on the engine that rendezvous
  hashing prefers for it, unless that engine is much busier than others.
* With inputs of several MB, an engine in the zone of the inputs is preferred.
* Targets that fail or hang for some seconds are ejected and probed (see `ejection`).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savoryfork.forward.model import Prompt, Target
from savoryfork.util import rendezvous

# Prefill throughput of an engine, from the deployment sheets.
PREFILL_TOKENS_PER_MS = 51.1

# Added latency of a request of ordinary length for each other running request.
MS_PER_RUNNING_REQUEST = 4.0

# Cost weights, as fractions of the value of an ordinary request: a millisecond of latency, a
# megabyte of inputs from another zone, and a thousand shared tokens that another engine has
# prefilled recently. The last two are the prices on the users' sites; the factor 0.3 is the share
# of requests whose prefix is still in the window in which prefilling it again is charged.
COST_PER_MS = 0.001
COST_PER_CROSS_ZONE_MB = 0.048
PREFIX_MISS_COST_PER_1000_TOKENS = 0.26 * 0.3

# Added latency of a target in another zone, so that of equal targets the local one is chosen.
CROSS_ZONE_MS = 2.0

# Time to the first event of an ordinary request, without prefill.
BASE_FIRST_EVENT_MS = 70.0


class EngineLoad(NamedTuple):
    """Outstanding work on an engine: prompt tokens still to be prefilled, and requests."""

    prompt_tokens: float
    requests: float


NO_LOAD = EngineLoad(0.0, 0.0)


def shared_part_id(prompt: Prompt) -> str | None:
    """Returns the id of the last prompt part that is shared with other requests, if any."""
    if len(prompt.parts) >= 2:
        return prompt.parts[-2].id
    return prompt.parts[0].id if prompt.parts else None


def uncached_tokens(prompt: Prompt, on_preferred: bool) -> float:
    """Returns the prompt tokens that an engine must prefill.

    All shared parts are cached on the preferred engine, on others only the first part.
    """
    cached = (
        prompt.parts[:-1] if on_preferred else prompt.parts[:1] if len(prompt.parts) > 2 else ()
    )
    return max(0.0, prompt.input_tokens - sum(part.tokens for part in cached))


def expected_first_event_ms(prompt: Prompt | None) -> float:
    """Returns the expected time to the first event of a generation request."""
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
    """Returns the expected cost of a generation on each engine.

    `input_bytes` maps the zone that produced inputs to their size.
    """
    names = [target.name for target in targets]
    prefix_id = shared_part_id(prompt) if prompt is not None else None
    preferred = rendezvous.ranked(prefix_id, names)[0] if prefix_id is not None and names else None
    total_bytes = sum(input_bytes.values())
    costs = {}
    for target in targets:
        load = loads.get(target.name, NO_LOAD)
        uncached = prefix_miss = 0.0
        if prompt is not None:
            uncached = uncached_tokens(prompt, target.name == preferred)
            prefix_miss = uncached - uncached_tokens(prompt, True)
        cross_zone_mb = (total_bytes - input_bytes.get(target.zone, 0.0)) / 1e6
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
    """Returns the relative cost of a request without a prompt on each target.

    The cost is this host's running requests per slot, plus a penalty for another zone. `salt`
    breaks ties differently for each request, so that hosts do not all choose the same target.
    """
    return {
        target.name: running.get(target.name, 0) / target.slots
        + (0.05 if target.zone != zone else 0.0)
        + 0.01 * rendezvous.score(salt, target.name) / 2**64
        for target in targets
    }
