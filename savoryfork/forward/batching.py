"""Schedules pieces of stage work into batched calls to targets.

One coordinator host schedules the stage work of all hosts. A call has a fixed cost of 150 ms
whatever its size, so calls for single requests would waste batch capacity, and hosts that send
independently would collide in a target's queue. Central scheduling fills each call as far as the
load allows and orders work across all callers.

* In a burst, work is ordered by priority; work that can no longer be on time and has no results yet
  waits behind all other work.
* If inputs are large (16 pieces that each read 480 KB), a request stays in the zone of its inputs
  unless waiting for a target there makes it late.
* A piece is sent only to a target with enough free space for its result.
* Of targets that cost the same, the one that has had no call for the longest time is chosen, so
  that work, results and what is learned of targets spread over all of them.
* A request whose pieces may crash their target gets calls of its own, so that a crash tells which
  request caused it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from savoryfork.forward.model import BatchLimits

# Cost weights, as fractions of the value of an ordinary request: a megabyte that crosses zones (its
# price on the users' sites), an answer that becomes late, and a millisecond.
COST_PER_CROSS_ZONE_MB = 0.048
LATE_COST = 1.5
COST_PER_MS = 0.0004

# Assumed wait until a target without space for a result has space again.
RESULT_SPACE_WAIT_MS = 100.0


class Task(NamedTuple):
    """The waiting pieces of one stage of one request, as the scheduler sees them.

    `due_at` is when the stage must finish for the whole request to be on time. `late` is True if
    the request is not expected to be on time, `has_results` if a stage of it has finished. Each
    piece reads `input_bytes`, keyed by the zone that produced them. Results of `result_bytes` each
    are needed in `zone`; None means any zone. The pieces of an `isolated` task share no call with
    those of others, and are sent in one call at a time.
    """

    id: int
    priority: int
    due_at: float
    late: bool
    has_results: bool
    pieces: int
    result_bytes: int
    zone: str | None
    input_bytes: Mapping[str, float]
    isolated: bool = False
    over_share: bool = False


class TargetStatus(NamedTuple):
    """The scheduling state of one target.

    `free_at` is when its current call is expected to end. `slowdown` is the ratio of observed to
    declared call duration, `used_at` when its last call ended.
    """

    name: str
    zone: str
    free_at: float
    free_result_bytes: float
    slowdown: float
    used_at: float = 0.0


class Allocation(NamedTuple):
    """A number of pieces of a task to include in one call."""

    task: int
    pieces: int


class OrderKey(NamedTuple):
    """The sort key of a task in the queue; lower goes first."""

    late: bool
    priority: int
    over_share: bool
    due_at: float
    id: int


def call_ms(limits: BatchLimits, pieces: int) -> float:
    """Returns the declared duration of a call."""
    return limits.call_ms + pieces * limits.piece_ms


def order_key(task: Task, limits: BatchLimits, now: float) -> OrderKey:
    """Returns a sort key: work that can be on time or has results first, then by urgency."""
    late = task.late or now + call_ms(limits, min(task.pieces, limits.batch)) > task.due_at
    return OrderKey(
        late and not task.has_results, task.priority, task.over_share, task.due_at, task.id
    )


def cross_zone_bytes(task: Task, zone: str) -> float:
    """Returns the bytes that cross zones if a target in `zone` runs all pieces of a task."""
    if not task.input_bytes and task.zone in (None, zone):
        return 0.0
    read = sum(size for input_zone, size in task.input_bytes.items() if input_zone != zone)
    written = task.result_bytes if task.zone is not None and task.zone != zone else 0
    return task.pieces * (read + written)


class Candidate:
    """A target during assignment: the contents of its next call, and the pieces queued for it."""

    def __init__(self, target: TargetStatus, limits: BatchLimits, now: float) -> None:
        self.target = target
        self.limits = limits
        self.idle = target.free_at <= now
        self.allocations: list[Allocation] = []
        self.filled = 0
        self.closed = False
        self.free_result_bytes = target.free_result_bytes
        self.queued = 0.0
        self.full_call_ms = call_ms(limits, limits.batch)

    def max_pieces(self, task: Task, pieces: int) -> int:
        """Returns how many of the pieces fit the batch limit and the free result space.

        Nothing is added to a call with an isolated task, nor such a task to another call.
        """
        if self.closed or (task.isolated and self.filled):
            return 0
        space = min(pieces, self.limits.batch - self.filled)
        if task.result_bytes:
            space = min(space, int(max(0.0, self.free_result_bytes) // task.result_bytes))
        return space

    def pieces_to_start(self, task: Task, pieces: int) -> int:
        """Returns how many pieces can go into a call that starts now.

        A task is split only if it is larger than a full batch or than a target's result space.
        """
        if not self.idle:
            return 0
        space = self.max_pieces(task, pieces)
        if space >= pieces:
            return pieces
        splits = pieces > self.limits.batch or pieces * task.result_bytes > self.limits.room_bytes
        return space if splits else 0

    def expected_finish_at(self, task: Task, pieces: int, now: float) -> float:
        """Returns when this target is expected to finish the pieces."""
        call_pieces = min(pieces, self.limits.batch)
        if self.idle and self.pieces_to_start(task, pieces):
            return now + call_ms(self.limits, self.filled + call_pieces) * self.target.slowdown
        start = max(now, self.target.free_at)
        if self.idle:
            start = now + (
                call_ms(self.limits, self.filled) if self.filled else RESULT_SPACE_WAIT_MS
            )
        wait = self.queued / self.limits.batch * self.full_call_ms
        return start + (wait + call_ms(self.limits, call_pieces)) * self.target.slowdown

    def cost(self, task: Task, pieces: int, now: float) -> float:
        """Returns the cost of running the pieces on this target."""
        finish_at = self.expected_finish_at(task, pieces, now)
        late = LATE_COST if finish_at > task.due_at and not task.late else 0.0
        cross_zone_cost = cross_zone_bytes(task, self.target.zone) / 1e6 * COST_PER_CROSS_ZONE_MB
        return cross_zone_cost + late + COST_PER_MS * (finish_at - now)

    def add(self, task: Task, pieces: int) -> None:
        """Adds pieces to the next call."""
        self.allocations.append(Allocation(task.id, pieces))
        self.filled += pieces
        self.closed = task.isolated
        self.free_result_bytes -= pieces * task.result_bytes


def assign(
    tasks: Iterable[Task], targets: Sequence[TargetStatus], limits: BatchLimits, now: float
) -> dict[str, list[Allocation]]:
    """Returns the calls to start now, by target.

    Each task, in queue order, is assigned to its cheapest target, busy ones included. It is sent if
    that target is idle, and waits otherwise.
    """
    candidates = [Candidate(target, limits, now) for target in targets]
    for task in sorted(tasks, key=lambda task: order_key(task, limits, now)):
        if not any(candidate.idle and candidate.filled < limits.batch for candidate in candidates):
            break
        left = task.pieces
        while left:
            best = min(
                candidates,
                key=lambda candidate: (
                    candidate.cost(task, left, now),
                    candidate.target.used_at,
                    candidate.target.name,
                ),
            )
            count = best.pieces_to_start(task, left)
            if not count:
                best.queued += left
                break
            best.add(task, count)
            left -= count
            if task.isolated:
                break
    return {
        candidate.target.name: candidate.allocations
        for candidate in candidates
        if candidate.allocations
    }
