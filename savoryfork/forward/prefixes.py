"""Keeps which prompt parts each engine of a service probably still has cached.

Answers the load pattern of deployments whose prompts share long prefixes: 62 hosts that each see
one request in 62, 340 distinct parts of 3,780 tokens below 4 roots of 2,520, on 70 engines with
memory for 304,898 tokens. All hosts send a prefix to the engine that rendezvous hashing prefers for
it (`placement`), which remains the expectation where a host knows nothing. In bursts that engine is
busy and others read the prefix, too. For some seconds such a copy is worth as much as the first,
and the host that had it made sends further requests there without reading the part again.

What a host knows is what it has sent. It estimates what the other hosts have sent since from its
own requests, as callers are spread evenly over the hosts.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savoryfork.forward.departures import Incarnation, incarnation_of
from savoryfork.forward.model import Prompt, Target
from savoryfork.forward.placement import NO_LOAD, EngineLoad, KnownCache, uncached_tokens

# Time since its last use for which a cached part is expected to be there. Parts are of value for
# 8.2 to 9.8 s on the known deployments.
KEEP_MS = 8_000.0

# Tokens remembered of an engine if the configuration does not say how many it holds.
DEFAULT_CACHE_TOKENS = 200_000.0

# Parts remembered of an engine, and those of one prompt that are considered. Prompts have two to
# four parts; a host that sends an engine 8 requests per second uses some 130 in `KEEP_MS`.
MAX_PARTS = 256
MAX_DEPTH = 16

# Weight of the latest request in the mean memory that a request takes.
REQUEST_WEIGHT = 1 / 64


class Prefix(NamedTuple):
    """The first parts of a prompt: a key that includes those before the last, and their tokens."""

    key: str
    tokens: float


class CachedPart(NamedTuple):
    """A part that was sent to an engine: its tokens, when it was used last, and the tokens that
    this host had sent to the engine and to the service until then.
    """

    tokens: float
    used_at: float
    sent_to_engine: float
    sent_to_service: float


def shared_prefixes(prompt: Prompt) -> list[Prefix]:
    """Returns the prefixes of a prompt that other requests may share, shortest first.

    An engine can use a part only behind the same parts, so that the key names all of them.

    >>> from savoryfork.forward.model import PromptPart
    >>> parts = (PromptPart("a", 10), PromptPart("b", 20), PromptPart("own", 5))
    >>> [(prefix.key, prefix.tokens) for prefix in shared_prefixes(Prompt(35, parts))]
    [('a', 10.0), ('a b', 30.0)]
    """
    prefixes = []
    key, tokens = "", 0.0
    for part in prompt.parts[:-1][:MAX_DEPTH]:
        key = f"{key} {part.id}" if key else part.id
        tokens += part.tokens
        prefixes.append(Prefix(key, tokens))
    return prefixes


class EngineCache:
    """What this host knows of the cache of one incarnation of an engine.

    `parts` is in order of the last use. `sent_tokens` counts the tokens that the engine had to
    store for this host's requests. `empty_at` is when it is known to have been empty, None if this
    host has known it all the time.
    """

    def __init__(self, incarnation: Incarnation, empty_at: float | None) -> None:
        self.incarnation = incarnation
        self.empty_at = empty_at
        self.parts: OrderedDict[str, CachedPart] = OrderedDict()
        self.tokens = 0.0
        self.sent_tokens = 0.0

    def add(self, key: str, part: CachedPart, max_tokens: float) -> None:
        """Adds a part as the last used one; the least recently used give way."""
        self.remove(key)
        self.parts[key] = part
        self.tokens += part.tokens
        while self.parts and (self.tokens > max_tokens or len(self.parts) > MAX_PARTS):
            self.remove(next(iter(self.parts)))

    def remove(self, key: str) -> None:
        """Removes a part, if it is there."""
        part = self.parts.pop(key, None)
        if part is not None:
            self.tokens -= part.tokens

    def expire(self, now: float) -> None:
        """Removes the parts that were used too long ago."""
        while self.parts and now - next(iter(self.parts.values())).used_at > KEEP_MS:
            self.remove(next(iter(self.parts)))


class PrefixTable:
    """The caches of a service's engines as far as this host knows them.

    `cache_tokens` is the memory of an engine, 0 if it is not known. `hosts` and `engine_count` are
    the numbers over which the requests of the service are spread; `listed` is True once the
    engines are known.

    >>> from savoryfork.forward.model import PromptPart
    >>> engine = Target("e", "s", "10.0.0.1:1", "z", 1, 24, False)
    >>> prompt = Prompt(35, (PromptPart("a", 30), PromptPart("own", 5)))
    >>> table = PrefixTable()
    >>> table.record(engine, prompt, 0.0)
    >>> table.known([engine], prompt, {}, 10.0)["e"].held_tokens
    30.0
    >>> table.known([engine._replace(start_unix_ms=2)], prompt, {}, 10.0)
    {}
    """

    def __init__(self, cache_tokens: float = 0.0) -> None:
        self.cache_tokens = cache_tokens
        self.hosts = 1
        self.engine_count = 1
        self.listed = False
        self.engines: dict[str, EngineCache] = {}
        self.sent_tokens = 0.0
        self.request_tokens = 0.0

    def record(self, engine: Target, prompt: Prompt, now: float, cached: float = 0.0) -> None:
        """Records that a prompt is sent to an engine that has some of its tokens cached."""
        cache = self.engines.get(engine.name)
        incarnation = incarnation_of(engine)
        if cache is None or cache.incarnation != incarnation:
            empty_at = now if cache is not None else None
            cache = self.engines[engine.name] = EngineCache(incarnation, empty_at)
        stored = max(0.0, prompt.input_tokens - cached) + (prompt.output_tokens or 0)
        cache.sent_tokens += stored
        self.sent_tokens += stored
        weight = REQUEST_WEIGHT if self.request_tokens else 1.0
        self.request_tokens += weight * (stored - self.request_tokens)
        cache.expire(now)
        max_tokens = self.cache_tokens or DEFAULT_CACHE_TOKENS
        before = 0.0
        parts = []
        for prefix in shared_prefixes(prompt):
            tokens = prefix.tokens - before
            before = prefix.tokens
            parts.append((prefix.key, tokens))
        # A root is used by every prompt below it, so it is the last to be evicted.
        for key, tokens in reversed(parts):
            part = CachedPart(tokens, now, cache.sent_tokens, self.sent_tokens)
            cache.add(key, part, max_tokens)

    def forget(self, engine: Target, prompt: Prompt) -> None:
        """Removes the parts of a prompt that an engine has refused to run."""
        cache = self.engines.get(engine.name)
        if cache is not None and cache.incarnation == incarnation_of(engine):
            for prefix in shared_prefixes(prompt):
                cache.remove(prefix.key)

    def known(
        self,
        engines: Sequence[Target],
        prompt: Prompt,
        loads: Mapping[str, EngineLoad],
        now: float,
    ) -> dict[str, KnownCache]:
        """Returns what is known of the engines with regard to a prompt.

        Engines of which nothing is known are left out, those are expected to hold what rendezvous
        hashing lets all hosts send there.
        """
        prefixes = shared_prefixes(prompt)
        needed = uncached_tokens(prompt, on_preferred=True) + (prompt.output_tokens or 0)
        found = {}
        for engine in engines:
            load = loads.get(engine.name, NO_LOAD)
            running = min(load.requests, engine.slots) * self.request_tokens
            cache = self.engines.get(engine.name)
            if cache is not None and (
                cache.incarnation.start_unix_ms != engine.start_unix_ms
                or cache.incarnation.address != engine.address
            ):
                cache = None
            held, others_share, stored = 0.0, 1.0, 0.0
            if cache is not None:
                stored = cache.tokens
                if cache.parts:
                    held = self.held_tokens(cache, prefixes, running, now)
                if cache.empty_at is not None:
                    others_share = min(1.0, max(0.0, (now - cache.empty_at) / KEEP_MS))
            evicted = 0.0
            if self.cache_tokens:
                evicted = min(needed, running + stored + needed - self.cache_tokens)
            if held or others_share < 1.0 or evicted > 0.0:
                found[engine.name] = KnownCache(held, others_share, max(0.0, evicted))
        return found

    def held_tokens(
        self, cache: EngineCache, prefixes: Sequence[Prefix], running: float, now: float
    ) -> float:
        """Returns the tokens of the longest prefix that an engine probably still has cached.

        A part is evicted once the engine has stored as many tokens since its last use as running
        requests leave room for. What the other hosts have sent there is estimated.
        """
        held = 0.0
        room = (self.cache_tokens or DEFAULT_CACHE_TOKENS) - running
        others = (self.hosts - 1) / self.engine_count
        for prefix in prefixes:
            part = cache.parts.get(prefix.key)
            if part is None or now - part.used_at > KEEP_MS:
                break
            stored = cache.sent_tokens - part.sent_to_engine
            if stored + others * (self.sent_tokens - part.sent_to_service) > room:
                break
            held = prefix.tokens
        return held

    def retain(self, engines: Sequence[Target], hosts: int, now: float) -> None:
        """Updates the engines that get requests; others are expected to be empty on their return.

        An engine that is new among known ones has just started, or was evacuated, so that it
        holds nothing yet.
        """
        known, self.engines = self.engines, {}
        for engine in engines:
            cache = known.get(engine.name)
            incarnation = incarnation_of(engine)
            if cache is None or cache.incarnation != incarnation:
                cache = EngineCache(incarnation, now if self.listed else None)
            cache.expire(now)
            self.engines[engine.name] = cache
        self.listed = bool(engines)
        self.hosts = max(1, hosts)
        self.engine_count = max(1, len(engines))

    def held_parts(self) -> int:
        """Returns the number of parts that are remembered."""
        return sum(len(cache.parts) for cache in self.engines.values())
