"""Computes the cost of running a request on each target.

Engines are compared by prefix cache, load and zone, other targets by load and zone:

* If many requests share prompt prefixes, a prefix is prefilled once, on the engine that rendezvous
  hashing prefers for it, unless that engine is much busier than others. An engine that is known
  to have the prefix, too, is as good (see `prefixes`).
* Engines of one service differ in speed (0.6 to 1.6 of the nominal one), so that all their times
  count by the slowdown of each.
* With inputs of several MB, an engine in the zone of the inputs is preferred.
* Targets that fail or hang for some seconds are ejected and probed (see `ejection`).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savoryfork.forward.model import Prompt, Target
from savoryfork.forward.speeds import EngineSpeed
from savoryfork.util import rendezvous

# Added latency of a target in another zone, so that of equal targets the local one is chosen.
CROSS_ZONE_MS = 2.0


class Preferences(NamedTuple):
    """How much latency is accepted to avoid other costs: ms for each megabyte of inputs from
    another zone, and for each thousand shared prompt tokens that another engine has read already.
    """

    cross_zone_ms_per_mb: float = 48.0
    repeated_ms_per_1000_tokens: float = 78.0


class EngineLoad(NamedTuple):
    """Outstanding work on an engine: prompt tokens still to be prefilled, and requests."""

    prompt_tokens: float
    requests: float


NO_LOAD = EngineLoad(0.0, 0.0)


class KnownCache(NamedTuple):
    """What a host knows of an engine's cache with regard to one prompt.

    `held_tokens` is the longest prefix that it had the engine read itself. Of what other hosts
    usually send there, `others_share` can be there already: an engine that has just started has
    nothing. `evicted_tokens` would have to be evicted for the request.
    """

    held_tokens: float
    others_share: float = 1.0
    evicted_tokens: float = 0.0


UNKNOWN_CACHE = KnownCache(0.0)

# Nothing is known of any cache.
NO_CACHES: Mapping[str, KnownCache] = {}

# Every target is as fast as its service.
NO_SLOWDOWNS: Mapping[str, float] = {}


def shared_part_id(prompt: Prompt) -> str | None:
    """Returns the id of the last prompt part that is shared with other requests, if any."""
    if len(prompt.parts) >= 2:
        return prompt.parts[-2].id
    return prompt.parts[0].id if prompt.parts else None


def usual_cached_tokens(prompt: Prompt, on_preferred: bool) -> float:
    """Returns the prompt tokens that are cached as all hosts place requests by rendezvous hashing.

    All shared parts are cached on the preferred engine, on others only the first part.
    """
    cached = (
        prompt.parts[:-1] if on_preferred else prompt.parts[:1] if len(prompt.parts) > 2 else ()
    )
    return float(sum(part.tokens for part in cached))


def uncached_tokens(prompt: Prompt, on_preferred: bool, known: KnownCache = UNKNOWN_CACHE) -> float:
    """Returns the prompt tokens that an engine must prefill.

    >>> from savoryfork.forward.model import PromptPart
    >>> prompt = Prompt(35, (PromptPart("a", 30), PromptPart("own", 5)))
    >>> uncached_tokens(prompt, True), uncached_tokens(prompt, False)
    (5.0, 35.0)
    >>> uncached_tokens(prompt, False, KnownCache(30.0)), uncached_tokens(
    ...     prompt, True, KnownCache(0.0, others_share=0.0)
    ... )
    (5.0, 35.0)
    """
    usual = usual_cached_tokens(prompt, on_preferred) * known.others_share
    return max(0.0, prompt.input_tokens - max(known.held_tokens, usual))


def preferred_engine(targets: Sequence[Target], prompt: Prompt | None) -> str | None:
    """Returns the engine that all hosts prefer for a prompt; None if it shares no part."""
    prefix_id = shared_part_id(prompt) if prompt is not None else None
    if prefix_id is None or not targets:
        return None
    return rendezvous.ranked(prefix_id, [target.name for target in targets])[0]


def expected_first_event_ms(
    prompt: Prompt | None,
    speed: EngineSpeed,
    load: EngineLoad = NO_LOAD,
    uncached: float | None = None,
) -> float:
    """Returns the expected time to the first event of a generation request behind other work.

    `uncached` is the number of tokens to prefill, that on the preferred engine if it is None.
    """
    if prompt is None:
        return 0.0
    if uncached is None:
        uncached = uncached_tokens(prompt, on_preferred=True)
    tokens = load.prompt_tokens + uncached
    return (
        speed.first_event_ms
        + tokens / speed.prefill_tokens_per_ms
        + speed.running_request_ms * load.requests
    )


def engine_costs(
    targets: Sequence[Target],
    prompt: Prompt | None,
    loads: Mapping[str, EngineLoad],
    input_bytes: Mapping[str, float],
    zone: str,
    speed: EngineSpeed,
    preferences: Preferences,
    slowdowns: Mapping[str, float] = NO_SLOWDOWNS,
    caches: Mapping[str, KnownCache] = NO_CACHES,
) -> dict[str, float]:
    """Returns the expected cost of a generation on each engine, in ms of latency.

    `input_bytes` maps the zone that produced inputs to their size, `slowdowns` the engines that
    are not as fast as `speed` to how much slower they are, `caches` those of which is known what
    they hold of the prompt.
    """
    preferred = preferred_engine(targets, prompt)
    total_bytes = sum(input_bytes.values())
    usual_uncached = uncached_tokens(prompt, True) if prompt is not None else 0.0
    costs = {}
    for target in targets:
        load = loads.get(target.name, NO_LOAD)
        known = caches.get(target.name, UNKNOWN_CACHE)
        uncached = prefix_miss = 0.0
        if prompt is not None:
            on_preferred = target.name == preferred
            uncached = uncached_tokens(prompt, on_preferred, known)
            # The copy on the preferred engine is the one that all hosts use, so that making it
            # costs no more than its time.
            prefix_miss = 0.0 if on_preferred else max(0.0, uncached - usual_uncached)
        cross_zone_mb = (total_bytes - input_bytes.get(target.zone, 0.0)) / 1e6
        time_ms = (
            speed.first_event_ms
            + (load.prompt_tokens + uncached + known.evicted_tokens) / speed.prefill_tokens_per_ms
            + speed.running_request_ms * load.requests
        ) * slowdowns.get(target.name, 1.0)
        costs[target.name] = (
            time_ms
            + (CROSS_ZONE_MS if target.zone != zone else 0.0)
            + preferences.cross_zone_ms_per_mb * cross_zone_mb
            + preferences.repeated_ms_per_1000_tokens * prefix_miss / 1000
        )
    return costs


def load_costs(
    targets: Sequence[Target],
    running: Mapping[str, int],
    zone: str,
    salt: str,
    slowdowns: Mapping[str, float] = NO_SLOWDOWNS,
) -> dict[str, float]:
    """Returns the relative cost of a request without a prompt on each target.

    The cost is the expected time of this host's running requests per slot and of the request
    itself, as far as targets differ, plus a penalty for another zone. `salt` breaks ties
    differently for each request, so that hosts do not all choose the same target.

    >>> targets = [Target(name, "s", "10.0.0.1:1", "z", 1, 4, False) for name in ("a", "b")]
    >>> costs = load_costs(targets, {"a": 2, "b": 1}, "z", "request", {"b": 2.0})
    >>> costs["a"] < costs["b"]
    True
    """
    slower = {target.name: slowdowns.get(target.name, 1.0) for target in targets}
    return {
        target.name: running.get(target.name, 0) / target.slots * slower[target.name]
        + (slower[target.name] - 1.0) / target.slots
        + (0.05 if target.zone != zone else 0.0)
        + 0.01 * rendezvous.score(salt, target.name) / 2**64
        for target in targets
    }
