"""The coordinator's state for one stage service: tasks, targets and their result space."""

from __future__ import annotations

import asyncio
import math
from collections import OrderedDict, deque
from collections.abc import Sequence

from savoryfork.forward import cells
from savoryfork.forward.batching import Task
from savoryfork.forward.budget import RetryBudget
from savoryfork.forward.cells import Cell
from savoryfork.forward.messages import StageResult
from savoryfork.forward.model import BatchLimits, PieceResult, Target
from savoryfork.forward.speeds import Slowdowns
from savoryfork.forward.work import StageFailure, Work

# Weight of the latest call in the mean logarithm of a target's slowdown. A target that takes five
# times as long is expected to be 1.9 times as slow after one call and 3.5 times after three.
SLOWDOWN_SMOOTHING = 0.4

# Handles that are remembered of each target, some ten calls of the largest batches.
MAX_RETURNED_HANDLES = 1_024


class PieceCounts:
    """The pieces of all tasks of a pool: all, those that wait and those with a result."""

    def __init__(self) -> None:
        self.pieces = 0
        self.waiting = 0
        self.done = 0


class StageTask:
    """One stage of a request: its waiting pieces, and its results so far.

    `due_at` is when it must finish for the request to be on time. `calls` counts the open calls
    with each piece, `attempts` all that may have run it. `counts` are those of its pool.
    """

    def __init__(self, number: int, work: Work, stage: int, due_at: float) -> None:
        self.number = number
        self.work = work
        self.stage = stage
        self.due_at = due_at
        self.plan = work.plans[stage]
        self.pieces = work.pieces[stage]
        inputs = [r for s in work.dependencies(stage) for r in work.results[s]]
        self.inputs = tuple(result.handle for result in inputs)
        self.input_bytes: dict[str, float] = {}
        for dependency in work.dependencies(stage):
            for result in work.results[dependency]:
                size = work.plans[dependency].result_bytes
                self.input_bytes[result.zone] = self.input_bytes.get(result.zone, 0.0) + size
        self.zone = work.zone if stage in work.final_stages() else None
        self.waiting: deque[int] = deque(range(self.pieces))
        self.attempts = [0] * self.pieces
        self.calls = [0] * self.pieces
        self.results: dict[int, StageResult] = {}
        self.counts = PieceCounts()
        self.future: asyncio.Future[StageFailure | None] = (
            asyncio.get_running_loop().create_future()
        )

    def count(self, counts: PieceCounts) -> None:
        """Counts the pieces in a pool from now on, and no longer in the one before."""
        for known, sign in ((self.counts, -1), (counts, 1)):
            known.pieces += sign * self.pieces
            known.waiting += sign * len(self.waiting)
            known.done += sign * len(self.results)
        self.counts = counts

    def take_piece(self) -> int:
        """Removes and returns the first waiting piece."""
        self.counts.waiting -= 1
        return self.waiting.popleft()

    def put_back(self, number: int) -> None:
        """Lets a piece wait again, before all others."""
        self.counts.waiting += 1
        self.waiting.appendleft(number)

    def add_result(self, number: int, result: StageResult) -> None:
        """Stores the result of a piece that has none."""
        self.counts.done += 1
        self.results[number] = result

    def to_batching_task(self, isolated: bool) -> Task:
        """Returns the task as input for the scheduler."""
        return Task(
            self.number,
            self.work.priority,
            self.due_at,
            self.work.late,
            bool(self.work.results),
            len(self.waiting),
            self.plan.result_bytes,
            self.zone,
            self.input_bytes,
            isolated,
            self.work.over_share,
        )

    def isolation_key(self) -> int | str:
        """Returns what identifies the request of the task, and others equal to it if known."""
        return self.work.fingerprint or self.work.request_id

    def finish(self, failure: StageFailure | None) -> None:
        """Sets the outcome of the stage, unless it is already set. None means success."""
        if not self.future.done():
            self.future.set_result(failure)


class TargetState:
    """The coordinator's view of one target.

    `calls` counts the calls in progress; the last one ended at `used_at`. `held` maps the handle of
    each result that the target keeps to its size and expiry time; `held_bytes` is the sum of the
    sizes, and none expires before `none_expires_before`. `returned` are the handles that it
    returned last.
    `no_room_since` is the first of its answers in a row that it has no space for a result.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.expected_end_at = 0.0
        self.used_at = 0.0
        self.blocked_until = 0.0
        self.no_room_since: float | None = None
        self.stuck = False
        self.held: dict[str, tuple[int, float]] = {}
        self.held_bytes = 0
        self.none_expires_before = math.inf
        self.returned: OrderedDict[str, None] = OrderedDict()
        self.reserved_bytes = 0.0

    def start_no_room(self, now: float) -> float:
        """Returns since when the target has had no space, which is now if it had until now."""
        if self.no_room_since is None:
            self.no_room_since = now
        return self.no_room_since

    def add_handles(self, results: Sequence[PieceResult]) -> bool:
        """Records the handles of an answer; returns False if the target returned one before."""
        handles = [result for result in results if isinstance(result, str)]
        if any(handle in self.returned for handle in handles) or len(set(handles)) < len(handles):
            return False
        self.returned.update(dict.fromkeys(handles))
        while len(self.returned) > MAX_RETURNED_HANDLES:
            self.returned.popitem(last=False)
        return True

    def hold(self, handle: str, size: int, expires_at: float) -> None:
        """Records a result that the target keeps."""
        self.release(handle)
        self.held[handle] = (size, expires_at)
        self.held_bytes += size
        self.none_expires_before = min(self.none_expires_before, expires_at)

    def release(self, handle: str) -> bool:
        """Removes a result; returns False if the target did not keep it."""
        known = self.held.pop(handle, None)
        if known is None:
            return False
        self.held_bytes -= known[0]
        return True

    def free_result_bytes(self, limits: BatchLimits, now: float) -> float:
        """Returns the bytes neither held by results nor reserved; drops expired results.

        >>> limits, state = BatchLimits(1, 8, 150.0, 1.0, 100.0, 4_000.0), TargetState()
        >>> state.hold("h1", 30, 1_000.0)
        >>> state.hold("h2", 20, 2_000.0)
        >>> [state.free_result_bytes(limits, now) for now in (0.0, 1_000.0, 2_000.0)]
        [50.0, 80.0, 100.0]
        """
        if self.none_expires_before <= now:
            for handle in [h for h, (_, expires_at) in self.held.items() if expires_at <= now]:
                self.release(handle)
            self.none_expires_before = min(
                (expires_at for _, expires_at in self.held.values()), default=math.inf
            )
        return limits.room_bytes - self.reserved_bytes - self.held_bytes


class Pool:
    """The tasks and targets of one service in one cell."""

    def __init__(self, service: str, cell: Cell, limits: BatchLimits, budget: RetryBudget) -> None:
        self.service = service
        self.cell = cell
        self.limits = limits
        self.budget = budget
        self.tasks: dict[int, StageTask] = {}
        self.counts = PieceCounts()
        self.targets: dict[tuple[str, int], TargetState] = {}
        self.slowdowns = Slowdowns(SLOWDOWN_SMOOTHING)
        self.retry_handle: asyncio.TimerHandle | None = None
        self.registered: list[Target] = []
        self.own_targets: list[Target] = []

    def add(self, task: StageTask) -> None:
        """Adds a task, whose pieces wait for targets."""
        self.tasks[task.number] = task
        task.count(self.counts)

    def remove(self, task: StageTask) -> None:
        """Removes a task that has ended."""
        if self.tasks.pop(task.number, None) is not None:
            task.count(PieceCounts())

    def targets_of_cell(self, registered: list[Target]) -> list[Target]:
        """Returns the targets that the pool's cell uses of a service's list in the registry.

        The registry makes a new list for each change, so the part of the last one is kept.
        """
        if registered is not self.registered:
            self.registered = registered
            self.own_targets = cells.targets_of(registered, self.cell)
        return self.own_targets

    def state(self, target: Target) -> TargetState:
        """Returns the state of a target's incarnation."""
        key = (target.address, target.start_unix_ms)
        state = self.targets.get(key)
        if state is None:
            state = self.targets[key] = TargetState()
        return state

    def is_idle(self, target: Target, now: float) -> bool:
        """Whether a target can get a call now."""
        state = self.state(target)
        return state.calls < self.limits.slots and state.blocked_until <= now

    def waiting_count(self) -> int:
        """Returns the number of pieces that wait for a target."""
        return self.counts.waiting

    def started_count(self) -> int:
        """Returns the number of pieces in calls, without those that wait again or have a result."""
        return self.counts.pieces - self.counts.waiting - self.counts.done

    def mark_freed(self, address: str, handles: Sequence[str]) -> bool:
        """Removes freed results, whichever incarnation of the target produced them.

        Returns whether this freed any space.
        """
        freed = 0
        for (target_address, _), state in self.targets.items():
            if target_address == address:
                freed += sum(state.release(handle) for handle in handles)
        return freed > 0

    def remove_departed_targets(self, known: Sequence[Target], now: float) -> None:
        """Drops the state of unregistered incarnations that have no call in progress."""
        current = {(target.address, target.start_unix_ms) for target in known}
        self.targets = {
            key: state for key, state in self.targets.items() if key in current or state.calls
        }
        self.slowdowns.retain(known, now)
