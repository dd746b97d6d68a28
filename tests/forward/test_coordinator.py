"""Admission under overload: work runs on time, runs late, is refused, or is refused later."""

from __future__ import annotations

import asyncio

import pytest

from savoryfork.forward.cells import UNDIVIDED, Cell
from savoryfork.forward.coordinator import Coordinator
from savoryfork.forward.messages import StageResult, WorkRequest
from savoryfork.forward.metrics import ForwardMetrics
from savoryfork.forward.model import BatchLimits, StagePlan
from savoryfork.forward.work import StageFailure, Work

LIMITS = BatchLimits(1, 20, 150.0, 6.4, 350_000.0, 4_000.0)
PLANS = (StagePlan("invoicing", (), 6_000),)


class FakePool:
    """A pool without calls in progress."""

    def __init__(self) -> None:
        self.limits = LIMITS
        self.tasks: dict[int, object] = {}

    def waiting_count(self) -> int:
        return 0

    def started_count(self) -> int:
        return 0


class FakePools:
    """Four idle targets; stages finish once `release` is set."""

    def __init__(self) -> None:
        self.time = 0.0
        self.registry = self
        self.fake = FakePool()
        self.release = asyncio.Event()
        self.refused: list[Work] = []
        self.freed: list[str] = []
        self.free_share = 1.0

    def now(self) -> float:
        return self.time

    def pool(self, service: str, cell: Cell) -> FakePool:
        return self.fake

    def usable(self, *_: object) -> list[int]:
        return [0, 1, 2, 3]

    def free_at(self, pool: FakePool, target: int, now: float) -> float:
        return now

    def slowdown(self, pool: FakePool, target: int) -> float:
        return 1.0

    def limits(self, service: str) -> BatchLimits:
        return LIMITS

    async def run(self, work: Work, stage: int, due_at: float) -> StageFailure | None:
        await self.release.wait()
        if work in self.refused:
            return StageFailure.OVERLOADED
        work.results[stage] = [StageResult("h", "a", "z")]
        return None

    def free(self, service: str, results: list[StageResult]) -> None:
        self.freed.append(service)

    def free_result_share(self, service: str, cell: Cell) -> float:
        return self.free_share

    def refuse(self, work: Work) -> None:
        self.refused.append(work)


@pytest.fixture
def coordinator():
    return Coordinator(FakePools(), ForwardMetrics())


def request(number: int, priority: int = 1, aim_ms: float = 1_300.0) -> WorkRequest:
    return WorkRequest(str(number), PLANS, (16,), "k", priority, 6_000.0, aim_ms, None)


async def start(coordinator: Coordinator, count: int, **changes: float) -> list[asyncio.Task]:
    tasks = [asyncio.create_task(coordinator.handle(request(n, **changes))) for n in range(count)]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return tasks


class TestBurst:
    async def test_a_burst_beyond_capacity_is_refused_at_once(self, coordinator):
        """60 requests of 16 pieces at once, for targets that serve 18 requests a second."""
        tasks = await start(coordinator, 60)
        active = list(coordinator.active.values())
        on_time = [work for work in active if not work.late]
        assert 12 <= len(on_time) <= 24
        refused = [task.result() for task in tasks if task.done()]
        assert len(refused) == 60 - len(active) > 0
        assert {reply.failure for reply in refused} == {"overloaded"}
        assert all(reply.retry_ms >= 300 for reply in refused)
        coordinator.pools.release.set()
        await asyncio.gather(*tasks)

    async def test_urgent_work_is_on_time_behind_less_urgent_work(self, coordinator):
        tasks = await start(coordinator, 40, priority=2)
        urgent = await start(coordinator, 1, priority=0)
        assert not list(coordinator.active.values())[-1].late
        coordinator.pools.release.set()
        await asyncio.gather(*tasks, *urgent)

    async def test_short_objective_is_on_time_behind_work_with_a_long_one(self, coordinator):
        """Guards against a prediction by priority alone: all workspaces had the same priority, so
        work with a long path and a short objective was refused behind a burst of work that it goes
        before, and one kind lost nearly all of its requests."""
        tasks = await start(coordinator, 40, aim_ms=3_000.0)
        short = await start(coordinator, 1, aim_ms=1_500.0)
        assert [w.late for w in coordinator.active.values() if w.aim_at == 1_500.0] == [False]
        coordinator.pools.release.set()
        await asyncio.gather(*tasks, *short)

    async def test_long_objective_is_judged_by_what_will_overtake_it(self, coordinator):
        """Guards against work that is accepted as on time and then overtaken until it is late."""
        tasks = await start(coordinator, 14, aim_ms=1_500.0)
        accepted = len([work for work in coordinator.active.values() if not work.late])
        alone = Coordinator(FakePools(), ForwardMetrics())
        tasks += await start(alone, 60, aim_ms=3_000.0)
        tasks += await start(coordinator, 60, aim_ms=3_000.0)
        on_time = [
            len([work for work in c.active.values() if not work.late]) for c in (coordinator, alone)
        ]
        assert accepted > 10 and on_time[0] - accepted < on_time[1] - accepted
        coordinator.pools.release.set()
        alone.pools.release.set()
        await asyncio.gather(*tasks)

    async def test_observed_delays_make_admission_stricter(self, coordinator):
        for _ in range(48):
            coordinator.delays.add(600.0)
        tasks = await start(coordinator, 60)
        assert len([w for w in coordinator.active.values() if not w.late]) <= 10
        coordinator.pools.release.set()
        await asyncio.gather(*tasks)


class TestRefuseUnreachableWork:
    async def test_unstarted_work_is_refused_while_its_caller_still_waits(self, coordinator):
        """Work due at 1.3 s has not started by then, and bursts of on-time work arrive after it.

        Such work used to be kept until just before its caller's timeout, and was then refused.
        """
        pools = coordinator.pools
        first = await start(coordinator, 12)
        work = next(iter(coordinator.active.values()))
        for other in coordinator.active.values():
            other.started = other is not work
        pools.time = 1_700.0
        later = await start(coordinator, 12, aim_ms=1_300.0)
        pools.time = 2_600.0
        later += await start(coordinator, 12, aim_ms=1_300.0)
        await coordinator.refuse_unreachable_work()
        assert work in pools.refused and work.retry_ms > 0
        pools.release.set()
        replies = await asyncio.gather(*first, *later)
        assert replies[0].failure == "overloaded"

    @pytest.mark.parametrize("change", ["targets have left", "service was removed"])
    async def test_work_of_a_service_that_has_gone_is_refused(self, coordinator, change):
        """Guards against a review that fails on one request and leaves out all others.

        An infinite expectation could not be logged, and a service that a new configuration no
        longer has was an assertion; the work then waited until its deadline.
        """
        pools = coordinator.pools
        tasks = await start(coordinator, 3)
        works = list(coordinator.active.values())
        pools.time = 1_700.0
        if change == "targets have left":
            pools.usable = lambda *_: []
        else:
            pools.pool = lambda *_: None
        await coordinator.refuse_unreachable_work()
        assert pools.refused == works
        pools.release.set()
        replies = await asyncio.gather(*tasks)
        assert {reply.failure for reply in replies} == {"overloaded"}

    async def test_request_for_a_cell_without_targets_is_refused(self, coordinator):
        """Guards against an internal error when the targets of a service are in other cells."""
        coordinator.pools.free_at = None  # not called without targets
        coordinator.pools.usable = lambda *arguments: [] if len(arguments) == 2 else [0]
        assert (await coordinator.handle(request(1))).failure == "overloaded"

    async def test_started_work_is_never_refused(self, coordinator):
        tasks = await start(coordinator, 20)
        for work in coordinator.active.values():
            work.started = True
        coordinator.pools.time = 5_900.0
        await coordinator.refuse_unreachable_work()
        assert coordinator.pools.refused == []
        coordinator.pools.release.set()
        await asyncio.gather(*tasks)

    async def test_a_service_without_targets_fails_with_no_targets(self, coordinator):
        coordinator.pools.usable = lambda *_: []
        reply = await coordinator.handle(request(1))
        assert reply.failure == "no_targets"


class TestBranches:
    """A request with a long chain of stages beside a stage with large results."""

    PLANS = (
        StagePlan("large", (), 3_000_000),
        StagePlan("small", (), 8_000),
        StagePlan("middle", (1,), 60_000),
        StagePlan("last", (2,), 6_000),
    )

    async def order(self, free_share: float) -> tuple[list[str], list[str]]:
        """Returns the services in the order in which they start and in which they are freed."""
        pools = FakePools()
        pools.free_share = free_share
        coordinator = Coordinator(pools, ForwardMetrics())
        started: list[str] = []

        async def run(work: Work, stage: int, due_at: float) -> StageFailure | None:
            started.append(work.plans[stage].service)
            await asyncio.sleep(0.06)
            work.results[stage] = [StageResult("h", "a", "z")]
            return None

        pools.run = run
        pieces = (1, 1, 8, 16)
        reply = await coordinator.handle(
            WorkRequest("r", self.PLANS, pieces, "k", 1, 6_000.0, 3_000.0, None)
        )
        assert sorted(reply.results) == [0, 3]
        return started, pools.freed

    async def test_large_results_are_made_when_the_other_branch_is_nearly_done(self):
        """Guards against space that is taken for a second by results nobody can use yet.

        On a day of atlas-tringle with rolling restarts, results of 3 MB were kept for 1.0 s while
        the other branch ran, and calls to their targets were half empty for lack of space.
        """
        started, _ = await self.order(free_share=0.2)
        assert started.index("large") > started.index("middle")

    async def test_nothing_waits_while_there_is_space(self):
        started, _ = await self.order(free_share=0.8)
        assert set(started[:2]) == {"large", "small"}

    async def test_results_are_freed_when_their_last_use_has_ended(self):
        """Guards against inputs that are kept until unrelated stages have ended."""
        _, freed = await self.order(free_share=0.2)
        assert freed == ["small", "middle"]

    async def test_service_that_leaves_the_configuration_fails_its_stage(self):
        """Guards against an internal error for a stage whose service was removed meanwhile."""
        pools = FakePools()
        pools.free_share = 0.2
        coordinator = Coordinator(pools, ForwardMetrics())

        async def run(work: Work, stage: int, due_at: float) -> StageFailure | None:
            pools.pool = lambda *_: None
            return StageFailure.NO_TARGETS

        pools.run = run
        reply = await coordinator.handle(
            WorkRequest("r", self.PLANS, (1, 1, 8, 16), "k", 1, 6_000.0, 3_000.0, None)
        )
        assert reply.failure == "no_targets"
        pools.time = 100.0
        assert coordinator.outlook("large", UNDIVIDED).free_share == 1.0
