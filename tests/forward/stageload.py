"""Replays loads of stage work on a coordinator's decisions, in virtual time and without a network.

Admission, queue order and calls are those of the product; only the targets are simulated. A refused
caller returns once, as on the users' platform: it honours the retry-after up to a third of its
remaining time.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savoryfork.forward import batching
from savoryfork.forward.batching import TargetStatus, Task
from savoryfork.forward.cells import Cell
from savoryfork.forward.coordinator import Coordinator
from savoryfork.forward.messages import StageResult, WorkRequest
from savoryfork.forward.metrics import ForwardMetrics
from savoryfork.forward.model import BatchLimits, StagePlan
from savoryfork.forward.work import StageError, Work

# As in `host`.
REVIEW_MS = 100.0
RETRY_TIME_FRACTION = 1 / 3

# Stage services of wrekin: limits of a target, and number of targets.
SERVICES = {
    "scarce": (BatchLimits(1, 11, 150.0, 12.0, 1e12, 4_000.0), 10),
    "wide": (BatchLimits(1, 56, 150.0, 2.25, 1e12, 4_000.0), 8),
    "light": (BatchLimits(1, 91, 150.0, 1.37, 1e12, 4_000.0), 10),
}


class Kind(NamedTuple):
    """Requests of one priority; `aim_ms` is their objective, `deadline_ms` their caller's wait."""

    name: str
    priority: int
    per_s: float
    aim_ms: float
    deadline_ms: float
    plans: tuple[StagePlan, ...]
    pieces: tuple[int, ...]


class Request(NamedTuple):
    """One request of a replayed load."""

    at: float
    kind: Kind
    workspace: str
    number: int


class Outcome(NamedTuple):
    """How a request ended. `ended_at` is None if it was refused, `retry_ms` what a refusal said.

    `tries` is 2 for a request that was refused and came again.
    """

    request: Request
    ended_at: float | None
    tries: int
    retry_ms: float | None

    def served(self) -> bool:
        """Whether its stages were made within its deadline."""
        return self.ended_at is not None

    def on_time(self) -> bool:
        """Whether its stages were made within its objective."""
        return self.ended_at is not None and (
            self.ended_at <= self.request.at + self.request.kind.aim_ms
        )


class SimTask:
    """The waiting pieces and the results of one stage, as `StageTask` has them."""

    def __init__(self, number: int, work: Work, stage: int, due_at: float) -> None:
        self.number = number
        self.work = work
        self.stage = stage
        self.due_at = due_at
        self.pieces = work.pieces[stage]
        self.waiting = deque(range(self.pieces))
        self.results: dict[int, StageResult] = {}

    def to_batching_task(self) -> Task:
        """Returns the task as input for the scheduler."""
        work = self.work
        return Task(
            self.number,
            work.priority,
            self.due_at,
            work.late,
            bool(work.results),
            len(self.waiting),
            work.plans[self.stage].result_bytes,
            None,
            {},
            over_share=work.over_share,
        )


class SimPool:
    """The targets of one service, by when their call ends."""

    def __init__(self, limits: BatchLimits, targets: int) -> None:
        self.limits = limits
        self.free_at = [0.0] * targets
        self.tasks: dict[int, SimTask] = {}

    def waiting_count(self) -> int:
        """Returns the number of pieces that wait for a target."""
        return sum(len(task.waiting) for task in self.tasks.values())

    def started_count(self) -> int:
        """Returns the number of pieces in calls."""
        return sum(
            task.pieces - len(task.waiting) - len(task.results) for task in self.tasks.values()
        )


class SimPools:
    """What a coordinator sees of the targets."""

    def __init__(self, services: Mapping[str, tuple[BatchLimits, int]]) -> None:
        self.time = 0.0
        self.registry = self
        self.by_name = {name: SimPool(*service) for name, service in services.items()}
        self.refused: list[Work] = []

    def now(self) -> float:
        return self.time

    def pool(self, service: str, cell: Cell) -> SimPool:
        return self.by_name[service]

    def usable(self, of: str | SimPool, now: float = 0.0) -> list[int]:
        pool = self.by_name[of] if isinstance(of, str) else of
        return list(range(len(pool.free_at)))

    def target_status(self, pool: SimPool, target: int, now: float) -> TargetStatus:
        return TargetStatus(str(target), "z", pool.free_at[target], 1e12, 1.0)

    def free_at(self, pool: SimPool, target: int, now: float) -> float:
        return pool.free_at[target]

    def slowdown(self, pool: SimPool, target: int) -> float:
        return 1.0

    def limits(self, service: str) -> BatchLimits:
        return self.by_name[service].limits

    def refuse(self, work: Work) -> None:
        self.refused.append(work)


class Replay:
    """Runs requests through a coordinator's decisions."""

    def __init__(self) -> None:
        self.pools = SimPools(SERVICES)
        self.coordinator = Coordinator(self.pools, ForwardMetrics())
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, object]] = []
        self.requests: dict[int, tuple[Request, int]] = {}
        self.outcomes: list[Outcome] = []
        self.over_share_count = 0

    def at(self, time: float, event: object) -> None:
        """Schedules a function without arguments."""
        heapq.heappush(self.events, (time, next(self.numbers), event))

    def warm_up(self, kinds: Sequence[Kind], level: float) -> None:
        """Lets the coordinator have seen the usual load for the two minutes before the replay."""
        for workspace, share in WORKSPACES.items():
            for now in range(-120_000, 0, 250):
                for kind in kinds:
                    pieces = [
                        count
                        for plan, count in zip(kind.plans, kind.pieces, strict=True)
                        if plan.service == "scarce"
                    ]
                    limits, targets = SERVICES["scarce"]
                    piece_ms = batching.call_ms(limits, limits.batch) / limits.batch / targets
                    usual_ms = level * kind.per_s * share / 4 * sum(pieces) * piece_ms
                    self.coordinator.shares.record(workspace, usual_ms, now)

    async def run(self, requests: Sequence[Request]) -> list[Outcome]:
        """Returns how the requests ended."""
        for request in requests:
            self.at(request.at, lambda request=request: self.arrive(request, 1))
        next_review = REVIEW_MS
        while self.events:
            time, _, event = heapq.heappop(self.events)
            while next_review < time:
                self.pools.time = next_review
                await self.coordinator.refuse_unreachable_work()
                self.end_refused()
                next_review += REVIEW_MS
            self.pools.time = time
            event()
            self.end_refused()
        return sorted(self.outcomes, key=lambda outcome: outcome.request.at)

    def arrive(self, request: Request, tries: int) -> None:
        """Admits a request and starts its first stages, or has its caller return."""
        now = self.pools.time
        kind = request.kind
        message = WorkRequest(
            f"{request.number}-{tries}",
            kind.plans,
            kind.pieces,
            "k",
            kind.priority,
            request.at + kind.deadline_ms - now,
            request.at + kind.aim_ms - now,
            None,
            fingerprint=request.number + 1,
            workspace=request.workspace,
        )
        work = self.coordinator.work_of(message, now)
        self.requests[id(work)] = (request, tries)
        try:
            self.coordinator.admit(work, now)
        except StageError as error:
            self.refused(work, error.retry_ms)
            return
        finally:
            self.over_share_count += work.over_share
        self.coordinator.active[id(work)] = work
        self.coordinator.backlog.update(work)
        self.at(work.deadline_at, lambda: self.expire(work))
        self.start_stages(work)

    def refused(self, work: Work, retry_ms: float) -> None:
        """Ends a refused try; its caller returns once."""
        request, tries = self.requests.pop(id(work))
        now = self.pools.time
        if tries == 2:
            self.outcomes.append(Outcome(request, None, tries, retry_ms))
            return
        left_ms = request.at + request.kind.deadline_ms - now
        back_at = now + min(retry_ms, RETRY_TIME_FRACTION * left_ms)
        self.at(back_at, lambda: self.arrive(request, 2))

    def end_refused(self) -> None:
        """Ends work that the coordinator refused after its admission."""
        while self.pools.refused:
            work = self.pools.refused.pop(0)
            if self.coordinator.active.get(id(work)) is work:
                assert not work.started, "work that has run was refused"
                self.drop(work)
                self.refused(work, work.retry_ms)

    def expire(self, work: Work) -> None:
        """Ends work at its caller's deadline."""
        if self.coordinator.active.get(id(work)) is work:
            self.drop(work)
            request, tries = self.requests.pop(id(work))
            self.outcomes.append(Outcome(request, None, tries, None))

    def drop(self, work: Work) -> None:
        """Removes work and its waiting pieces."""
        del self.coordinator.active[id(work)]
        self.coordinator.backlog.remove(work)
        for pool in self.pools.by_name.values():
            pool.tasks = {n: task for n, task in pool.tasks.items() if task.work is not work}

    def start_stages(self, work: Work) -> None:
        """Queues the stages of work whose inputs are ready."""
        for stage in work.nonempty_stages():
            pool = self.pools.by_name[work.plans[stage].service]
            queued = any(t.work is work and t.stage == stage for t in pool.tasks.values())
            ready = all(dependency in work.results for dependency in work.dependencies(stage))
            if stage not in work.results and not queued and ready:
                due_at = work.aim_at - self.coordinator.downstream_ms(work, stage)
                number = next(self.numbers)
                pool.tasks[number] = SimTask(number, work, stage, due_at)
                self.dispatch(pool)

    def dispatch(self, pool: SimPool) -> None:
        """Starts the calls that the scheduler assigns to idle targets."""
        now = self.pools.time
        if all(free_at > now for free_at in pool.free_at):
            return
        tasks = [task.to_batching_task() for task in pool.tasks.values() if task.waiting]
        targets = [self.pools.target_status(pool, t, now) for t in self.pools.usable(pool)]
        for name, allocations in batching.assign(tasks, targets, pool.limits, now).items():
            batch = []
            for allocation in allocations:
                task = pool.tasks[allocation.task]
                task.work.started = True
                batch += [(task, task.waiting.popleft()) for _ in range(allocation.pieces)]
            end = now + batching.call_ms(pool.limits, len(batch))
            pool.free_at[int(name)] = end
            self.at(end, lambda batch=batch: self.end_call(pool, batch))

    def end_call(self, pool: SimPool, batch: list[tuple[SimTask, int]]) -> None:
        """Stores the results of a call and starts what needs them."""
        for task, piece in batch:
            task.results[piece] = StageResult("h", "a", "z")
            if len(task.results) == task.pieces and pool.tasks.pop(task.number, None):
                task.work.results[task.stage] = list(task.results.values())
                if id(task.work) in self.coordinator.active:
                    self.coordinator.backlog.update(task.work)
                self.advance(task.work)
        self.dispatch(pool)

    def advance(self, work: Work) -> None:
        """Goes on with work that has ended a stage."""
        if len(work.results) < len(work.nonempty_stages()):
            self.start_stages(work)
            return
        del self.coordinator.active[id(work)]
        self.coordinator.backlog.remove(work)
        if not work.late:
            self.coordinator.delays.add(self.pools.time - work.predicted_end_at)
        request, tries = self.requests.pop(id(work))
        self.outcomes.append(Outcome(request, self.pools.time, tries, None))


# The kinds of wrekin. Their pieces are assumed: the usual load takes 0.97 of the scarcest service,
# and requests of priority 1 nearly fill a call of it, so that those of priority 2 fit better.
URGENT = Kind(
    "urgent",
    0,
    43.9,
    1_035.0,
    6_212.0,
    (StagePlan("scarce", (), 1_000), StagePlan("wide", (0,), 1_000)),
    (1, 4),
)
LONG = Kind(
    "long",
    1,
    22.0,
    1_515.0,
    15_149.0,
    (
        StagePlan("scarce", (), 1_000),
        StagePlan("wide", (0,), 1_000),
        StagePlan("light", (1,), 1_000),
        StagePlan("scarce", (2,), 1_000),
    ),
    (10, 40, 40, 1),
)
ORDINARY = Kind(
    "ordinary",
    2,
    91.4,
    3_019.0,
    6_038.0,
    (StagePlan("scarce", (), 1_000), StagePlan("light", (0,), 1_000)),
    (1, 3),
)
KINDS = (URGENT, LONG, ORDINARY)

# Shares of the usual demand of 16 workspaces, of which a few are large.
WORKSPACES = {f"w{n}": (0.24, 0.16, 0.12, 0.08)[n] if n < 4 else 0.4 / 12 for n in range(16)}


class Burst(NamedTuple):
    """A multiple of the usual rate, from `start` to `end`; None selects all workspaces or kinds."""

    factor: float
    start: float
    end: float
    workspaces: tuple[str, ...] | None = None
    kinds: tuple[str, ...] | None = None

    def factor_at(self, at: float, workspace: str, kind: Kind) -> float:
        """Returns by how much the rate of a workspace's kind is multiplied at a time."""
        return (
            self.factor
            if self.start <= at < self.end
            and (self.workspaces is None or workspace in self.workspaces)
            and (self.kinds is None or kind.name in self.kinds)
            else 1.0
        )


def load(
    seed: int,
    duration_ms: float,
    bursts: Sequence[Burst] = (),
    kinds: Sequence[Kind] = KINDS,
    level: float = 1.0,
) -> list[Request]:
    """Returns requests at random times.

    Each workspace and kind has a random series of its own, and a burst adds requests to those of
    the usual load, so that the same requests of all others are in the load with and without it.
    """
    found: list[tuple[float, Kind, str]] = []
    for kind in kinds:
        for workspace, share in WORKSPACES.items():
            for part, usual in (("usual", True), ("burst", False)):
                series = random.Random(f"{seed} {kind.name} {workspace} {part}")
                top = 1.0 if usual else max([0.0, *(b.factor - 1.0 for b in bursts)])
                rate = level * kind.per_s * share * top / 1000
                at = series.expovariate(rate) if rate else duration_ms
                while at < duration_ms:
                    extra = max([0.0, *(b.factor_at(at, workspace, kind) - 1.0 for b in bursts)])
                    if usual or series.random() < extra / top:
                        found.append((at, kind, workspace))
                    at += series.expovariate(rate)
    return [
        Request(at, kind, workspace, number)
        for number, (at, kind, workspace) in enumerate(sorted(found, key=lambda f: f[0]))
    ]


def share_of(outcomes: Sequence[Outcome], test: str = "served") -> float:
    """Returns the share of outcomes that were served, or on time."""
    return sum(getattr(outcome, test)() for outcome in outcomes) / max(1, len(outcomes))
