"""Decides which pieces of stage work go to which target next.

One host gathers the stage work of all hosts. It answers a load in which a call costs 150 ms
whatever it holds: calls of single requests fill neither the batch nor the target, and hosts that
send alone collide in its queue. With everything in one place, each call is as full as the load
allows and the order holds over all callers.

Load patterns answered:

* a burst of one kind beside the others: urgent work goes first; what can no longer be on time and
  has not begun waits behind all that can;
* stages whose inputs are large (16 pieces that each read 480 KB): a request stays in the zone of
  its inputs as long as waiting for a target there does not make it late;
* little room for results: a piece is sent only where its result fits.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from savoryfork.forward.model import BatchLimits

# What the choice of a target weighs, in parts of the worth of an ordinary request: a megabyte that
# crosses zones (its price on the users' sites), an answer that becomes late, a millisecond.
COST_PER_CROSS_ZONE_MB = 0.048
LATE_COST = 1.5
COST_PER_MS = 0.0004

# How long a target without room for a result is taken to stay so.
RESULT_SPACE_WAIT_MS = 100.0


class Task(NamedTuple):
    """The open pieces of one stage of one request, as the order sees them.

    `due_at` is when the stage must end for the whole request to be on time. `late` says that the
    request was not expected to be on time when it came, `begun` that work was done for it already.
    Each piece reads the bytes of `input_bytes`, by zone of their maker. Results of `result_bytes`
    are wanted in `zone`, None if that makes no difference.
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


class TargetStatus(NamedTuple):
    """One target: when its present call is expected to end, and its room for results.

    `pace` is the observed duration of its calls over the declared one.
    """

    name: str
    zone: str
    free_at: float
    free_result_bytes: float
    slowdown: float


class Allocation(NamedTuple):
    """So many pieces of a task for one call."""

    task: int
    pieces: int


class OrderKey(NamedTuple):
    """The place of a task in the queue; lower goes first."""

    late: bool
    priority: int
    due_at: float
    id: int


def call_ms(limits: BatchLimits, pieces: int) -> float:
    """Expected duration of a call."""
    return limits.call_ms + pieces * limits.piece_ms


def order_key(task: Task, limits: BatchLimits, now: float) -> OrderKey:
    """Work that can be on time or has begun goes first, by urgency and by when it is due."""
    late = task.late or now + call_ms(limits, min(task.pieces, limits.batch)) > task.due_at
    return OrderKey(late and not task.has_results, task.priority, task.due_at, task.id)


def cross_zone_bytes(task: Task, zone: str) -> float:
    """Bytes that would cross zones if a target in `zone` made all pieces of a task."""
    read = sum(size for input_zone, size in task.input_bytes.items() if input_zone != zone)
    written = task.result_bytes if task.zone is not None and task.zone != zone else 0
    return task.pieces * (read + written)


class Candidate:
    """A target while work is being assigned: what its next call holds, and what waits for it."""

    def __init__(self, target: TargetStatus, limits: BatchLimits, now: float) -> None:
        self.target = target
        self.limits = limits
        self.idle = target.free_at <= now
        self.allocations: list[Allocation] = []
        self.filled = 0
        self.free_result_bytes = target.free_result_bytes
        self.queued = 0.0

    def max_pieces(self, task: Task, pieces: int) -> int:
        """How many of the pieces the next call has space and room for."""
        space = min(pieces, self.limits.batch - self.filled)
        if task.result_bytes:
            space = min(space, int(max(0.0, self.free_result_bytes) // task.result_bytes))
        return space

    def pieces_to_start(self, task: Task, pieces: int) -> int:
        """How many pieces go into a call that starts now.

        A task stays whole, unless it is larger than any call or than the room of the target.
        """
        if not self.idle:
            return 0
        space = self.max_pieces(task, pieces)
        if space >= pieces:
            return pieces
        splits = pieces > self.limits.batch or pieces * task.result_bytes > self.limits.room_bytes
        return space if splits else 0

    def expected_finish_at(self, task: Task, pieces: int, now: float) -> float:
        """When the pieces are expected to be done here."""
        call_pieces = min(pieces, self.limits.batch)
        if self.pieces_to_start(task, pieces):
            return now + call_ms(self.limits, self.filled + call_pieces) * self.target.slowdown
        start = max(now, self.target.free_at)
        if self.idle:
            start = now + (
                call_ms(self.limits, self.filled) if self.filled else RESULT_SPACE_WAIT_MS
            )
        full = call_ms(self.limits, self.limits.batch)
        wait = self.queued / self.limits.batch * full
        return start + (wait + call_ms(self.limits, call_pieces)) * self.target.slowdown

    def cost(self, task: Task, pieces: int, now: float) -> float:
        """What it costs to have the pieces made here."""
        finish_at = self.expected_finish_at(task, pieces, now)
        late = LATE_COST if finish_at > task.due_at and not task.late else 0.0
        cross_zone_cost = cross_zone_bytes(task, self.target.zone) / 1e6 * COST_PER_CROSS_ZONE_MB
        return cross_zone_cost + late + COST_PER_MS * (finish_at - now)

    def add(self, task: Task, pieces: int) -> None:
        """Puts pieces into the next call."""
        self.allocations.append(Allocation(task.id, pieces))
        self.filled += pieces
        self.free_result_bytes -= pieces * task.result_bytes


def assign(
    tasks: Iterable[Task], targets: Sequence[TargetStatus], limits: BatchLimits, now: float
) -> dict[str, list[Allocation]]:
    """The calls to start now, by target.

    Each task, in order, is given to the target where it costs least, busy ones included; it is sent
    if that target is idle, and waits otherwise.
    """
    candidates = [Candidate(target, limits, now) for target in targets]
    for task in sorted(tasks, key=lambda task: order_key(task, limits, now)):
        if not any(candidate.idle and candidate.filled < limits.batch for candidate in candidates):
            break
        left = task.pieces
        while left:
            best = min(
                candidates,
                key=lambda candidate: (candidate.cost(task, left, now), candidate.target.name),
            )
            count = best.pieces_to_start(task, left)
            if not count:
                best.queued += left
                break
            best.add(task, count)
            left -= count
    return {
        candidate.target.name: candidate.allocations
        for candidate in candidates
        if candidate.allocations
    }
