"""Decides which pieces of stage work go to which target next.

One host, the pool's owner, gathers the pieces of a service from all hosts. It answers a load in
which a call costs 150 ms whatever it holds: calls of single requests fill neither the batch nor
the target, and hosts that send alone collide in its queue. With everything in one place, each
call is as full as the load allows and the order holds over all callers.

Load patterns answered:

* a burst of one kind beside the others: the most urgent kind goes first, and within a kind the
  oldest that can still be on time; what is late already waits behind all that is not;
* large results (3 MB) of a service in several zones: pieces of one request stay together in the
  zone where the engine is expected, unless another target would stand idle;
* little room for results: a piece is sent only where its result fits.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from savoryfork.forward.model import BatchLimits

# Results smaller than this go anywhere: carrying them over costs less than waiting.
LARGE_RESULT_BYTES = 500_000

# How much longer a large result may wait for a target of its zone, per rank of urgency.
ZONE_PATIENCE_MS = 60.0


class Task(NamedTuple):
    """The open pieces of one stage of one request, as the order sees them.

    `aim_at` is the time until which the whole request is on time, `rest_ms` the expected time from
    the end of this stage to its first event.
    """

    id: int
    priority: int
    arrived_at: float
    aim_at: float
    rest_ms: float
    pieces: int
    result_bytes: int
    zone: str | None


class Pick(NamedTuple):
    """So many pieces of a task for one call."""

    task: int
    pieces: int


class OrderKey(NamedTuple):
    """The place of a task in the queue; lower goes first."""

    late: bool
    priority: int
    arrived_at: float


def call_ms(limits: BatchLimits, pieces: int) -> float:
    """Expected duration of a call."""
    return limits.call_ms + pieces * limits.piece_ms


def order_key(task: Task, limits: BatchLimits, now: float) -> OrderKey:
    """On-time work by urgency and age, then what can no longer be on time."""
    least_ms = call_ms(limits, min(task.pieces, limits.batch)) + task.rest_ms
    return OrderKey(now + least_ms > task.aim_at, task.priority, task.arrived_at)


def is_foreign(task: Task, zone: str) -> bool:
    """Whether a target in `zone` would make a large result that has to cross zones."""
    return task.zone is not None and task.zone != zone and task.result_bytes >= LARGE_RESULT_BYTES


def choose(
    tasks: Iterable[Task], zone: str, limits: BatchLimits, room_bytes: float, now: float
) -> list[Pick]:
    """The pieces of the next call to an idle target in `zone` with `room_bytes` free.

    Tasks whose large results belong to another zone come after all others of their lateness.
    """
    ordered = sorted(
        tasks,
        key=lambda task: (
            order_key(task, limits, now).late,
            is_foreign(task, zone) and now - task.arrived_at < ZONE_PATIENCE_MS,
            order_key(task, limits, now),
        ),
    )
    picks: list[Pick] = []
    left = limits.batch
    for task in ordered:
        if left == 0:
            break
        fits = int(room_bytes // task.result_bytes) if task.result_bytes else left
        count = min(left, task.pieces, fits)
        if count > 0:
            picks.append(Pick(task.id, count))
            left -= count
            room_bytes -= count * task.result_bytes
    return picks


def wait_ms(
    tasks: Sequence[Task], priority: int, limits: BatchLimits, targets: int, busy_ms: float
) -> float:
    """Expected wait of a new task: what is ahead of it over the rate of all targets.

    `busy_ms` is the sum of the times until the calls in progress end.
    """
    if targets == 0:
        return float("inf")
    ahead = sum(task.pieces for task in tasks if task.priority <= priority)
    full_ms = call_ms(limits, limits.batch)
    return (busy_ms + ahead / limits.batch * full_ms) / targets
