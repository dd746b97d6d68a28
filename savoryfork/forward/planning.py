"""Admission control: predicts when the stages of a request finish and decides whether to run them.

Under a burst beyond the capacity of the bottleneck stage, first-come-first-served queueing would
make every request late. A request is therefore accepted only if it is expected to be on time behind
all accepted work of the same or higher priority. Otherwise it runs late on spare capacity if it is
safely within its deadline, or is refused before any work is done for it.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savoryfork.forward.batching import call_ms
from savoryfork.forward.model import BatchLimits, StagePlan
from savoryfork.util import rendezvous

# Fraction of the remaining time within which a late request must be expected to finish, since
# more urgent work that arrives later goes first.
LATE_TIME_FRACTION = 0.5

# Bounds of the retry-after of refused requests.
MIN_RETRY_MS = 300.0
MAX_RETRY_MS = 2_500.0

# Share by which the retry-after of a refused request is lengthened at most.
RETRY_SPREAD = 0.25


# Minimum fraction of a service's throughput that work gets despite more urgent arrivals.
MIN_RATE_FRACTION = 0.25


# Share of a service's result space above which its stages start without regard to when their
# results are needed.
ROOMY_SHARE = 0.5

# A stage starts this long before it has to, as its other branches may be faster than expected.
START_MARGIN_MS = 100.0


class ServiceQueue(NamedTuple):
    """The queue of one stage service, as a given request would join it.

    `free_at` is when the first target becomes free. `pieces_ahead` counts the unfinished pieces
    that run first, including those of later stages. `slowdown` is the ratio of observed to declared
    call duration. `arrival_rate` is the recent rate, in pieces per millisecond, of work that will
    run first.
    """

    limits: BatchLimits
    targets: int
    free_at: float
    pieces_ahead: float
    slowdown: float
    arrival_rate: float = 0.0


class AdmissionDecision(enum.Enum):
    """The admission decision for a request."""

    ON_TIME = "on_time"
    LATE = "late"
    REFUSED = "refused"


def stage_dependencies(plans: Sequence[StagePlan], pieces: Sequence[int], stage: int) -> list[int]:
    """Returns the stages with pieces whose results a stage needs."""
    return [s for s in plans[stage].after if s < len(pieces) and pieces[s]]


def expected_start_at(queue: ServiceQueue, now: float) -> float:
    """Returns when a new piece of the service is expected to start."""
    if queue.targets == 0:
        return float("inf")
    full_call_ms = call_ms(queue.limits, queue.limits.batch) * queue.slowdown
    rate = queue.limits.batch * queue.targets / full_call_ms
    rate_left = max(MIN_RATE_FRACTION * rate, rate - queue.arrival_rate)
    return max(now, queue.free_at) + queue.pieces_ahead / rate_left


def expected_finish_at(
    plans: Sequence[StagePlan],
    pieces: Sequence[int],
    queues: Mapping[str, ServiceQueue],
    now: float,
) -> float:
    """Returns when the last stage is expected to finish.

    Queues of later stages drain while earlier stages run.
    """
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


def may_start(own_ms: float, others_ms: float, free_share: float) -> bool:
    """Whether a final stage starts now, or later to keep its results for a shorter time.

    Its results stay on their target until the request is sent, which needs those of the other
    final stages, too. If a stage with results of 3 MB starts with a request whose other stages
    take a second more, a target with space for six of them serves six requests a second at most.
    `own_ms` is the stage's expected wait and call, `others_ms` what the other branches still need,
    `free_share` the free share of the service's result space.

    >>> may_start(200.0, 700.0, free_share=0.8), may_start(200.0, 700.0, free_share=0.2)
    (True, False)
    >>> may_start(200.0, 290.0, free_share=0.2)
    True
    """
    return free_share >= ROOMY_SHARE or others_ms <= own_ms + START_MARGIN_MS


def can_finish_late(late_at: float, deadline_at: float, now: float) -> bool:
    """Whether late work expected to finish at `late_at` is safely within its deadline."""
    return late_at <= now + LATE_TIME_FRACTION * (deadline_at - now)


def decide_admission(
    on_time_at: float, late_at: float, due_at: float, deadline_at: float, now: float
) -> AdmissionDecision:
    """Decides on a request whose stages must finish by `due_at` to be on time.

    `on_time_at` is the expected finish behind accepted work of the same or higher priority,
    `late_at` the one behind all accepted work.

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
    """Returns the retry-after of a refused request: the time until the current work is done."""
    return min(MAX_RETRY_MS, max(MIN_RETRY_MS, late_at - now))


def refusal_retry_ms(end_at: float, request_id: str, now: float) -> float:
    """Returns the retry-after of a refused request: the time until the shortage ends.

    `end_at` is when the request would finish behind all other work, at the present arrival rate.
    Requests are told times that differ by up to `RETRY_SPREAD`, so that those refused in one moment
    do not return in one moment.

    >>> 1_000.0 <= refusal_retry_ms(1_000.0, "a", 0.0) <= 1_250.0
    True
    >>> MAX_RETRY_MS <= refusal_retry_ms(9_000.0, "a", 0.0) <= 1.25 * MAX_RETRY_MS
    True
    """
    wait_ms = retry_ms(end_at, now)
    share = rendezvous.score("shortage", request_id) % 1_000 / 1_000
    return wait_ms * (1.0 + RETRY_SPREAD * share)
