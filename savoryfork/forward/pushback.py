"""Targets that turn requests away for a time, and how work returns to them afterwards.

A 503 with `Retry-After` means that the target wants nothing from this host for so long, whether or
not it says that the request did not run: that only decides what happens to the request. The time
counts from the receipt of the answer, which is later than the target's own start of it, and no
answer shortens it. Requests that were sent before may still arrive.

Other hosts are not told. The time holds between one host and one target, so telling it would let
one answer to one host take a target from all of them. Every host sends to all targets of a service
and learns the same from its first request, and the coordinator of stage work sends for all hosts,
so its own answers suffice there.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savoryfork.forward.departures import Incarnation, incarnation_of
from savoryfork.forward.model import Target
from savoryfork.util import rendezvous

# Longer times count as this long. An hour outlasts most incarnations of a target; values beyond it
# are mistakes such as a time of day, and would keep a target from work until this host restarts.
MAX_PUSH_BACK_MS = 3_600_000.0

# Requests in flight to a target from which it counts as recovered. After its time it gets one
# request at a time, and one more with each that it does not turn away.
RECOVERED_REQUESTS = 8

# A target that got no requests for this long after its time counts as recovered.
RECOVERY_MS = 10_000.0

# Targets that are remembered; those whose time ends first are dropped beyond it.
MAX_REMEMBERED = 1_024

# Bounds of the retry-after of callers that are refused because all targets push back. Their next
# try mostly reaches another host, with which the targets may be content, so it must not be far off.
MIN_CALLER_RETRY_MS = 300.0
MAX_CALLER_RETRY_MS = 2_500.0

# Share by which that time is lengthened at most, by the request's id, so that the callers that were
# refused in one moment do not return in one moment.
SPREAD_SHARE = 0.5


class PushBack(NamedTuple):
    """A target's wish to get nothing until a time, and the requests that it may have in flight
    then."""

    until: float
    allowed: int = 1


def spread_ms(retry_ms: float, request_id: str) -> float:
    """Returns a retry-after that differs between requests, never shorter than the given one.

    >>> 1_000.0 <= spread_ms(1_000.0, "a") != spread_ms(1_000.0, "b") <= 1_500.0
    True
    """
    share = rendezvous.score("retry", request_id) % 1_000 / 1_000
    return retry_ms * (1.0 + SPREAD_SHARE * share)


class PushBacks:
    """The targets that push back on this host; `received` counts their answers by service.

    >>> target = Target("t", "s", "10.0.0.1:80", "z", 1, 4, False)
    >>> push_backs = PushBacks()
    >>> push_backs.record(target, 2.0, now=1_000.0)
    True
    >>> [push_backs.is_open(target, 0, now) for now in (2_999.0, 3_000.0)]
    [False, True]
    >>> push_backs.is_open(target, 1, 3_000.0)
    False
    >>> push_backs.record_accepted(target, 3_100.0)
    >>> push_backs.is_open(target, 1, 3_100.0)
    True
    """

    def __init__(self) -> None:
        self.entries: dict[Incarnation, PushBack] = {}
        self.received: Counter[str] = Counter()

    def record(self, target: Target, retry_after_s: float, now: float) -> bool:
        """Records an answer that pushes back; returns True if the target did not before.

        A shorter time does not replace a longer one that has not ended.
        """
        key = incarnation_of(target)
        until = now + min(MAX_PUSH_BACK_MS, retry_after_s * 1000)
        known = self.entries.get(key)
        self.received[target.service] += 1
        blocked = known is not None and known.until > now
        self.entries[key] = PushBack(max(until, known.until) if known is not None else until)
        while len(self.entries) > MAX_REMEMBERED:
            del self.entries[min(self.entries, key=lambda key: self.entries[key].until)]
        return not blocked

    def record_accepted(self, target: Target, now: float) -> None:
        """Records that a target did not turn a request away, which allows one more in flight."""
        key = incarnation_of(target)
        known = self.entries.get(key)
        if known is None or known.until > now:
            return
        if known.allowed + 1 >= RECOVERED_REQUESTS:
            del self.entries[key]
        else:
            self.entries[key] = known._replace(allowed=known.allowed + 1)

    def blocked_until(self, target: Target) -> float:
        """Returns when a target's time ends; 0 if it does not push back."""
        if not self.entries:
            return 0.0
        known = self.entries.get(incarnation_of(target))
        return known.until if known is not None else 0.0

    def allowed(self, target: Target) -> float:
        """Returns how many requests a target may have in flight from this host after its time."""
        if not self.entries:
            return float("inf")
        known = self.entries.get(incarnation_of(target))
        return known.allowed if known is not None else float("inf")

    def is_blocked(self, target: Target, now: float) -> bool:
        """Returns whether a target wants nothing now."""
        return self.blocked_until(target) > now

    def is_open(self, target: Target, outstanding: int, now: float) -> bool:
        """Returns whether a target with so many requests in flight may get another one."""
        return not self.is_blocked(target, now) and outstanding < self.allowed(target)

    def unblocked(self, targets: Sequence[Target], now: float) -> list[Target]:
        """Returns the targets that do not push back now."""
        if not self.entries:
            return list(targets)
        return [target for target in targets if not self.is_blocked(target, now)]

    def open_targets(
        self, targets: Sequence[Target], outstanding: Mapping[str, int], now: float
    ) -> list[Target]:
        """Returns the targets that may get another request; `outstanding` is by their names."""
        if not self.entries:
            return list(targets)
        return [t for t in targets if self.is_open(t, outstanding.get(t.name, 0), now)]

    def earliest_end(self, targets: Sequence[Target]) -> float:
        """Returns when the first of some targets stops pushing back."""
        return min((self.blocked_until(target) for target in targets), default=0.0)

    def caller_retry_ms(self, targets: Sequence[Target], request_id: str, now: float) -> float:
        """Returns the retry-after of a request that all targets of its service push back."""
        wait_ms = self.earliest_end(targets) - now
        bounded = min(MAX_CALLER_RETRY_MS, max(MIN_CALLER_RETRY_MS, wait_ms))
        return spread_ms(bounded, request_id)

    def blocked_count(self, now: float) -> int:
        """Returns how many targets push back now."""
        return sum(entry.until > now for entry in self.entries.values())

    def expire(self, now: float) -> None:
        """Forgets the targets whose time ended long ago."""
        self.entries = {k: e for k, e in self.entries.items() if e.until + RECOVERY_MS > now}
