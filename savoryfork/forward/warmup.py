"""Which hosts may send requests to a cold target, and how often.

A target is cold for some seconds after its start. Until it is warm it takes few requests a second
and crashes well above that rate. The load pattern: a target returns without load, so every host
prefers it at once: 62 hosts with 157 requests a second, for a target that takes 8.9.

No messages pass. Every host computes the same few senders for a target from the membership, and
each sender keeps a minimum interval between its requests. Two groups of hosts that do not see each
other choose senders of their own, so the senders of one view get half of the bound.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from savoryfork.forward.departures import incarnation_of
from savoryfork.forward.members import Members
from savoryfork.forward.model import ServiceInfo, Target
from savoryfork.forward.pushback import MAX_CALLER_RETRY_MS, MIN_CALLER_RETRY_MS, spread_ms
from savoryfork.util import rendezvous

# Sets of senders that may be active in one second: those of two groups that disagree, or those
# before and after the loss of many hosts.
VIEWS = 2

# The bound holds in any second in which requests arrive. The margin covers requests that are
# delayed on their way and arrive closer together than they were sent.
WINDOW_MS = 1_000.0
JITTER_MS = 100.0

# A target that refuses connections has probably ended, and may return before its new entry is
# read. It counts as cold for this long, and for its warm-up, from the last refusal on; a host that
# gets no entries takes it for sound again afterwards.
RESTART_MS = 5_000.0

# A cold target counts as this many times as costly as a warm one. Not measured: an idle warm target
# is preferred to it, and it to a warm one with twice the work.
COLD_COST = 2.0


class ColdBound(NamedTuple):
    """Requests that all hosts together may send to a cold target in any second.

    They are `overage` times the service's `cold_per_s`, plus `slack`.
    """

    overage: float = 1.5
    slack: float = 5.0

    def per_second(self, cold_per_s: float) -> float:
        """Returns the bound for a service.

        >>> round(ColdBound().per_second(8.9), 2)
        18.35
        """
        return cold_per_s * self.overage + self.slack


class SendPlan(NamedTuple):
    """How many hosts may send to a cold target, and the least time between requests of one."""

    senders: int
    interval_ms: float


def send_plan(hosts: int, cold_per_s: float, bound: ColdBound) -> SendPlan:
    """Returns the plan for a view of so many hosts that may send.

    In any second its senders send at most their share of the bound, and on average no more than
    `cold_per_s`. Many senders with long intervals are preferred to few with short ones: each host
    gets only a part of the callers' requests.

    >>> send_plan(62, 8.9, ColdBound())
    SendPlan(senders=9, interval_ms=1100.0)
    >>> send_plan(2, 8.9, ColdBound())
    SendPlan(senders=2, interval_ms=275.0)
    >>> send_plan(62, 0.5, ColdBound(1.0, 0.0))
    SendPlan(senders=0, interval_ms=inf)
    """
    share = int(bound.per_second(cold_per_s) / VIEWS)
    senders = min(hosts, share)
    if senders < 1:
        return SendPlan(0, math.inf)
    in_window = share // senders
    interval_ms = max((WINDOW_MS + JITTER_MS) / in_window, senders * 1_000.0 / cold_per_s)
    return SendPlan(senders, interval_ms)


class Senders:
    """Decides whether the local host may send to a cold target.

    The hosts that may send are those without a failure mark: such a mark needs two failed calls by
    a host in contact with others, so a host that is cut off keeps its view. For targets of stage
    services they are the coordinators, in the order of their cells, since no other host sends
    stage calls. A host that has just joined may not know the others, and one that was restarted
    does not know what it sent before, so it waits for a second first.
    """

    def __init__(
        self,
        members: Members,
        coordinators: Callable[[Members, float], Sequence[str]],
        joined_at: Callable[[], float],
        bound: ColdBound,
    ) -> None:
        self.members = members
        self.coordinators = coordinators
        self.joined_at = joined_at
        self.bound = bound
        self.revision = -1
        self.intervals: dict[tuple[str, ServiceInfo], float | None] = {}

    def interval_ms(self, target: Target, info: ServiceInfo, now: float) -> float | None:
        """Returns the least time between requests of this host; None if it may not send any."""
        if now < self.joined_at() + WINDOW_MS + JITTER_MS:
            return None
        if self.revision != self.members.revision:
            self.revision = self.members.revision
            self.intervals = {}
        key = (target.name, info)
        if key not in self.intervals:
            self.intervals[key] = self.find_interval_ms(target, info, now)
        return self.intervals[key]

    def find_interval_ms(self, target: Target, info: ServiceInfo, now: float) -> float | None:
        """Computes what `interval_ms` returns."""
        unsuspected = self.members.unsuspected()
        if info.batch is not None:
            order = list(self.coordinators(unsuspected, now))
        else:
            hosts = (m.address for m in unsuspected.alive(now) if not m.leaving)
            order = rendezvous.ranked(f"cold-{target.name}", hosts)
        plan = send_plan(len(order), info.cold_per_s, self.bound)
        return plan.interval_ms if self.members.local.address in order[: plan.senders] else None


class ColdSpan(NamedTuple):
    """The belief that a target is cold for `left_ms` from `since` on, its warm-up at most.

    If it is only `suspected` to restart, it is for RESTART_MS more. `sent_at` is when this host
    last sent it a request.
    """

    target: Target
    since: float
    left_ms: float
    suspected: bool = False
    sent_at: float = -math.inf


class Warmups:
    """The cold targets as this host knows them, by name.

    Another incarnation of a name continues the interval between the requests of this host.

    `info` returns the service of a name, `interval_ms` the least time between requests of this host
    to a target, None if it may not send any. `sent` counts requests to cold targets, `held` those
    that were not sent since another one had just been.

    >>> warmups = Warmups()
    >>> warmups.info = lambda service: ServiceInfo(service, warmup_ms=3_000.0, cold_per_s=8.9)
    >>> warmups.interval_ms = lambda target, info, now: 500.0
    >>> target = Target("t", "s", "10.0.0.1:80", "z", 1, 4, False, cold=True)
    >>> warmups.record_entry(None, target, 0.0)
    'cold'
    >>> [warmups.try_send(target, now) for now in (0.0, 400.0, 500.0, 900.0, 3_000.0)]
    [True, False, True, False, True]
    """

    def __init__(self) -> None:
        self.info: Callable[[str], ServiceInfo | None] = lambda service: None
        self.interval_ms: Callable[[Target, ServiceInfo, float], float | None] = (
            lambda target, info, now: None
        )
        self.spans: dict[str, ColdSpan] = {}
        self.sent = 0
        self.held = 0

    def bounded_info(self, service: str) -> ServiceInfo | None:
        """Returns a service if there is a bound for its cold targets."""
        info = self.info(service)
        bounded = info is not None and info.cold_per_s > 0 and info.warmup_ms > 0
        return info if bounded else None

    # Observations.

    def begin(self, target: Target, since: float, left_ms: float, suspected: bool = False) -> bool:
        """Records that a target is cold; returns False if it was known to be."""
        known = self.spans.get(target.name)
        sent_at = known.sent_at if known is not None else -math.inf
        was_cold = self.is_cold(target, since)
        self.spans[target.name] = ColdSpan(target, since, left_ms, suspected, sent_at)
        return not was_cold

    def record_entry(self, known: Target | None, target: Target, now: float) -> str | None:
        """Records a target's entry after the `known` one; returns "cold" or "warm" if it changed.

        The time for which an entry says so is not used: a host may read it late, and only the
        change between cold and warm is propagated. The warm-up counts from now.
        """
        if self.info(target.service) and not self.bounded_info(target.service):
            return None
        changed = known is None or incarnation_of(known) != incarnation_of(target)
        if target.cold and (changed or (known is not None and not known.cold)):
            began = self.begin(target, now, math.inf)
            return "cold" if began and self.bounded_info(target.service) else None
        if not target.cold and (changed or (known is not None and known.cold)):
            was_cold = self.is_cold(target, now)
            self.spans.pop(target.name, None)
            return "warm" if was_cold else None
        return None

    def record_answer(self, target: Target, cold_ms: float | None, now: float) -> bool:
        """Records the time that a target's answer gives; returns True if it was taken for warm.

        An answer without it ends no warm-up, and shows that a target suspected to restart is back.
        """
        if cold_ms is None:
            span = self.spans.get(target.name)
            if span is not None and span.suspected and self.is_cold(target, now):
                self.begin(target, now, math.inf)
            return False
        if not self.bounded_info(target.service):
            return False
        if cold_ms <= 0:
            self.spans.pop(target.name, None)
            return False
        return self.begin(target, now, cold_ms)

    def record_refused(self, target: Target, now: float) -> bool:
        """Records that a target refused a connection; returns True if it was taken for warm."""
        if not self.bounded_info(target.service):
            return False
        return self.begin(target, now, math.inf, suspected=True)

    def expire(self, registered: Mapping[str, Target], now: float) -> list[Target]:
        """Forgets targets that are gone or warm; returns those whose warm-up time has passed."""
        if not self.spans:
            return []
        ended = []
        for name, span in list(self.spans.items()):
            if name not in registered:
                del self.spans[name]
            elif self.info(span.target.service) and not self.is_cold(span.target, now):
                del self.spans[name]
                if self.bounded_info(span.target.service):
                    ended.append(span.target)
        return ended

    # Decisions.

    def cold_until(self, target: Target) -> float:
        """Returns when a target is warm; 0 if it is, or if there is no bound for its service."""
        span = self.spans.get(target.name)
        info = self.bounded_info(target.service) if span is not None else None
        if span is None or info is None:
            return 0.0
        restart_ms = RESTART_MS if span.suspected else 0.0
        return span.since + restart_ms + min(span.left_ms, info.warmup_ms)

    def is_cold(self, target: Target, now: float) -> bool:
        """Returns whether a target is cold."""
        return self.cold_until(target) > now

    def open_at(self, target: Target, now: float) -> float:
        """Returns when this host may send to a target; 0 if it may now."""
        if target.name not in self.spans:
            return 0.0
        until = self.cold_until(target)
        if until <= now:
            return 0.0
        info = self.bounded_info(target.service)
        interval_ms = self.interval_ms(target, info, now) if info is not None else None
        if interval_ms is None:
            return until
        at = self.spans[target.name].sent_at + interval_ms
        return min(at, until) if at > now else 0.0

    def try_send(self, target: Target, now: float) -> bool:
        """Returns whether a request may be sent to a target now, and counts it as sent if so."""
        if not self.is_cold(target, now):
            return True
        if self.open_at(target, now) > now:
            self.held += 1
            return False
        self.spans[target.name] = self.spans[target.name]._replace(sent_at=now)
        self.sent += 1
        return True

    def open_targets(self, targets: Sequence[Target], now: float) -> Sequence[Target]:
        """Returns the targets that this host may send to now."""
        if not self.spans:
            return targets
        return [target for target in targets if self.open_at(target, now) <= now]

    def assigned(self, targets: Sequence[Target], now: float) -> Sequence[Target]:
        """Returns the warm targets and the cold ones that this host may send to, now or soon."""
        if not self.spans:
            return targets
        return [target for target in targets if not self.is_withheld(target, now)]

    def is_withheld(self, target: Target, now: float) -> bool:
        """Returns whether a target is cold and other hosts may send to it."""
        if not self.is_cold(target, now):
            return False
        info = self.bounded_info(target.service)
        return info is not None and self.interval_ms(target, info, now) is None

    def add_cold_costs(
        self, costs: dict[str, float], targets: Iterable[Target], now: float
    ) -> dict[str, float]:
        """Returns the costs of targets by name, raised for the cold ones."""
        if not self.spans:
            return costs
        cold = {target.name for target in targets if self.is_cold(target, now)}
        return {name: cost * (COLD_COST if name in cold else 1.0) for name, cost in costs.items()}

    def caller_retry_ms(self, targets: Sequence[Target], request_id: str, now: float) -> float:
        """Returns the retry-after of a request if this host may not send to any of its targets."""
        wait_ms = min((self.open_at(target, now) for target in targets), default=0.0) - now
        bounded = min(MAX_CALLER_RETRY_MS, max(MIN_CALLER_RETRY_MS, wait_ms))
        return spread_ms(bounded, request_id)

    def cold_count(self, now: float) -> int:
        """Returns how many targets are cold."""
        return sum(self.is_cold(span.target, now) for span in self.spans.values())
