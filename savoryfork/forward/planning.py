"""Predicts when the stages of a request end, and decides whether they are begun.

Load pattern answered: a burst brings more requests than the narrowest stage can do in time. First
come, first served would let every request wait until it is late. Here a request is begun only if
it is expected to be on time behind all work of its urgency that was accepted before it. One that
is not is done late, with what capacity is left, if that will surely be within its deadline;
otherwise it is refused at once, before anything is done for it.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savoryfork.forward.batching import call_ms
from savoryfork.forward.model import BatchLimits, StagePlan

# Part of the remaining time within which a late request must be expected to end: urgent work that
# comes later goes before it.
LATE_TIME_FRACTION = 0.5

# Least and longest time after which a refused caller is asked back.
MIN_RETRY_MS = 300.0
MAX_RETRY_MS = 2_500.0


# The least part of a service that work gets beside more urgent work.
MIN_RATE_FRACTION = 0.25


class ServiceQueue(NamedTuple):
    """The accepted work of one stage service.

    `free_at` is when the first target becomes free. `ahead` counts the pieces that are to be made
    before those of the request in question, waiting ones and those of later stages. `arriving` is
    the rate in pieces a millisecond of more urgent work that has come lately and will go first.
    """

    limits: BatchLimits
    targets: int
    free_at: float
    pieces_ahead: float
    slowdown: float
    arrival_rate: float = 0.0


class AdmissionDecision(enum.Enum):
    """What becomes of a request."""

    ON_TIME = "on_time"
    LATE = "late"
    REFUSED = "refused"


def stage_dependencies(plans: Sequence[StagePlan], pieces: Sequence[int], stage: int) -> list[int]:
    """The stages with pieces whose results a stage needs."""
    return [s for s in plans[stage].after if s < len(pieces) and pieces[s]]


def expected_start_at(queue: ServiceQueue, now: float) -> float:
    """When a new piece of the service gets its turn."""
    if queue.targets == 0:
        return float("inf")
    full = call_ms(queue.limits, queue.limits.batch) * queue.slowdown
    rate = queue.limits.batch * queue.targets / full
    rate_left = max(MIN_RATE_FRACTION * rate, rate - queue.arrival_rate)
    return max(now, queue.free_at) + queue.pieces_ahead / rate_left


def expected_finish_at(
    plans: Sequence[StagePlan],
    pieces: Sequence[int],
    queues: Mapping[str, ServiceQueue],
    now: float,
) -> float:
    """When the last stage is expected to end. Queues of later stages drain meanwhile."""
    ends: dict[int, float] = {}
    for stage, plan in enumerate(plans):
        if not pieces[stage]:
            continue
        queue = queues[plan.service]
        ready = max((ends[s] for s in stage_dependencies(plans, pieces, stage)), default=now)
        call_duration_ms = (
            call_ms(queue.limits, min(pieces[stage], queue.limits.batch)) * queue.slowdown
        )
        ends[stage] = max(ready, expected_start_at(queue, now)) + call_duration_ms
    return max(ends.values(), default=now)


def can_finish_late(late_at: float, deadline_at: float, now: float) -> bool:
    """Whether late work that is expected to end at `late_at` will surely end in time."""
    return late_at <= now + LATE_TIME_FRACTION * (deadline_at - now)


def decide_admission(
    on_time_at: float, late_at: float, due_at: float, deadline_at: float, now: float
) -> AdmissionDecision:
    """What becomes of a request whose stages must end by `due_at` to be on time.

    `on_time_at` is the expected end behind accepted work of its urgency, `late_at` behind all work.

    >>> decide_admission(5.0, 9.0, due_at=6.0, deadline_at=100.0, now=0.0).value
    'on_time'
    >>> decide_admission(7.0, 9.0, due_at=6.0, deadline_at=100.0, now=0.0).value
    'late'
    >>> decide_admission(7.0, 90.0, due_at=6.0, deadline_at=100.0, now=0.0).value
    'refused'
    """
    if on_time_at <= due_at:
        return AdmissionDecision.ON_TIME
    if can_finish_late(late_at, deadline_at, now):
        return AdmissionDecision.LATE
    return AdmissionDecision.REFUSED


def retry_ms(late_at: float, now: float) -> float:
    """When a refused caller may come back: once the present work is done."""
    return min(MAX_RETRY_MS, max(MIN_RETRY_MS, late_at - now))
