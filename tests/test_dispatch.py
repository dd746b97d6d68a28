"""Tests for the dispatcher of one host."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork import admission, ejection
from savoryfork.admission import Work
from savoryfork.board import Board, TargetView
from savoryfork.callstate import CallResult, Slot
from savoryfork.dispatch import Dispatcher
from savoryfork.errors import ErrorKind, ServiceError
from savoryfork.pipeline import GenerateStage, Pipeline, Service
from savoryfork.util.timer import Clock

SERVICE = Service("s", "engine", max_inflight=2)
PIPELINE = Pipeline("p", (GenerateStage("g", "s", 100),), 10_000)
WORK = Work("w", "p", "g", 5, 100, 100, 10_000.0, "", 1.0)


class DispatcherHarness:
    """A dispatcher with targets a, b, c, ... and a manual clock."""

    def __init__(self, targets: int = 2, policy: str = "adaptive") -> None:
        self.now = 0.0
        self.board = Board()
        for name in "abcdefgh"[:targets]:
            self.board.targets[name] = TargetView(name, "s", "", "z", "1")
        clock = Clock(lambda: self.now, lambda: self.now)
        self.dispatcher = Dispatcher(self.board, clock, random.Random(1), policy)

    async def start(self, work: Work = WORK) -> asyncio.Task[Slot]:
        """Starts a call and runs it until it has a slot or waits."""
        task = asyncio.ensure_future(self.dispatcher.acquire(SERVICE, work))
        await asyncio.sleep(0)
        return task

    async def observe(self, total_ms: float, count: int = 20, work: Work = WORK) -> None:
        """Answers calls of the given duration, as observations for predictions."""
        for _ in range(count):
            slot = await self.dispatcher.acquire(SERVICE, work._replace(deadline_ms=1e9))
            self.now += 10
            self.dispatcher.calls.first_token(slot)
            self.now += total_ms - 10
            self.dispatcher.calls.release(slot, CallResult.ANSWERED, 50)


def held(harness: DispatcherHarness) -> int:
    return sum(len(target.slots) for target in harness.dispatcher.target_stats.targets.values())


class TestSlots:
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["start", "cancel", "end", "fail", "tick"]), st.integers(0, 20)
            ),
            max_size=60,
        ),
        st.sampled_from(["adaptive", "round_robin", "least_outstanding"]),
    )
    def test_none_leaks_and_none_is_assigned_twice(self, steps, policy):
        """Guards against slots lost by cancelled waiters, which lower the capacity permanently."""

        async def scenario() -> None:
            harness = DispatcherHarness(policy=policy)
            tasks: list[asyncio.Task[Slot]] = []
            for step, index in steps:
                harness.now += 37
                if step == "start":
                    work = WORK._replace(priority=index % 10, workspace=f"w{index % 3}")
                    tasks.append(asyncio.ensure_future(harness.dispatcher.acquire(SERVICE, work)))
                elif step == "tick":
                    harness.dispatcher.tick()
                elif tasks:
                    task = tasks.pop(index % len(tasks))
                    if step != "cancel" and task.done():
                        result = CallResult.ANSWERED if step == "end" else CallResult.FAILED
                        harness.dispatcher.calls.release(task.result(), result, 3)
                    else:
                        if task.done():
                            harness.dispatcher.calls.release(task.result(), CallResult.CANCELLED, 0)
                        task.cancel()
                if index % 2:
                    await asyncio.sleep(0)
                for target in harness.dispatcher.target_stats.targets.values():
                    assert len(target.slots) <= SERVICE.max_inflight
            for task in tasks:
                if task.done():
                    harness.dispatcher.calls.release(task.result(), CallResult.ANSWERED, 3)
                task.cancel()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            state = harness.dispatcher.services.get("s")
            assert held(harness) == 0
            if state is not None:
                assert not state.queue and state.long == state.long_prefills == 0
                assert not +state.held and not +state.queued and not state.shares

        asyncio.run(scenario())

    async def test_slot_assigned_during_cancellation_is_released(self):
        """Guards against a slot leak when a waiter is cancelled after its future was resolved."""
        harness = DispatcherHarness(targets=1)
        slots = [(await harness.start()).result() for _ in range(2)]
        waiting = await harness.start()
        harness.dispatcher.calls.release(slots[0], CallResult.ANSWERED, 1)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert held(harness) == 1

    async def test_new_incarnation_starts_fresh(self):
        """Guards against an ejection that carries over to the next incarnation of a target."""
        harness = DispatcherHarness(targets=3)
        slot = await harness.dispatcher.acquire(SERVICE, WORK)
        harness.dispatcher.calls.release(slot, CallResult.CONNECT_FAILED, 0)
        old = harness.dispatcher.target_stats.target(slot.target)
        assert old.health.ejected
        harness.board.targets[slot.target.name] = slot.target._replace(incarnation="2")
        harness.dispatcher.tick()
        assert old not in harness.dispatcher.target_stats.targets.values()
        fresh = harness.dispatcher.target_stats.target(harness.board.targets[slot.target.name])
        assert not fresh.health.ejected

    async def test_leaving_target_gets_nothing(self):
        """Guards against calls to a target that starts leaving while calls wait."""
        harness = DispatcherHarness()
        harness.board.targets["a"] = harness.board.targets["a"]._replace(leaving=True)
        assert {(await harness.start()).result().target.name for _ in range(2)} == {"b"}
        assert not (await harness.start()).done()


class TestQueue:
    async def test_priority_then_short(self):
        """Guards against long or low-priority work being served first."""
        harness = DispatcherHarness(targets=1)
        slots = [(await harness.start()).result() for _ in range(2)]
        low = await harness.start(WORK._replace(priority=9))
        long = await harness.start(WORK._replace(prompt_tokens=5_000))
        short = await harness.start(WORK)
        high = await harness.start(WORK._replace(priority=0, prompt_tokens=9_000))
        for expected in (high, short, long, low):
            harness.dispatcher.calls.release(slots.pop(0), CallResult.CANCELLED, 0)
            await asyncio.sleep(0)
            assert expected.done()
            slots.append(expected.result())

    async def test_workspace_within_its_share_goes_first(self):
        """Guards against a workspace that floods the queue and starves another one."""
        harness = DispatcherHarness()
        slots = [(await harness.start()).result() for _ in range(4)]
        flood = [await harness.start() for _ in range(10)]
        other = await harness.start(WORK._replace(workspace="x"))
        harness.dispatcher.calls.release(slots[0], CallResult.ANSWERED, 5)
        await asyncio.sleep(0)
        assert other.done() and not any(task.done() for task in flood)

    async def test_expires_by_the_lower_bound(self):
        """Guards against attempts that start although they cannot meet their deadline."""
        harness = DispatcherHarness(targets=1)
        await harness.observe(1_000.0)
        slots = [await harness.dispatcher.acquire(SERVICE, WORK._replace(deadline_ms=1e9))]
        slots.append(await harness.dispatcher.acquire(SERVICE, WORK._replace(deadline_ms=1e9)))
        waiting = await harness.start(WORK._replace(deadline_ms=harness.now + 1_200))
        harness.now += 500
        harness.dispatcher.tick()
        with pytest.raises(ServiceError) as caught:
            await waiting
        assert caught.value.kind is ErrorKind.DEADLINE_EXCEEDED
        assert held(harness) == 2

    async def test_long_work_leaves_a_slot(self):
        """Guards against long work taking all slots while short work arrives."""
        harness = DispatcherHarness()
        await harness.observe(100.0)
        long = WORK._replace(prompt_tokens=50_000, deadline_ms=1e9)
        taken = [await harness.start(long) for _ in range(6)]
        assert 0 < sum(task.done() for task in taken) < 4
        assert (await harness.start(WORK._replace(deadline_ms=1e9))).done()

    async def test_call_that_exceeds_its_prediction_counts_as_long(self):
        """Guards against long work that counts as short because of a wrong prediction."""
        harness = DispatcherHarness(targets=1)
        small = WORK._replace(stage="tiny", max_tokens=2)
        await harness.observe(34.5, work=small)
        await harness.observe(34.5)
        slot = await harness.dispatcher.acquire(SERVICE, WORK._replace(deadline_ms=1e9))
        assert not slot.long
        state = harness.dispatcher.services["s"]
        before = state.long
        harness.dispatcher.calls.progress(slot, 99)
        assert state.underestimated == 1 and state.long == before + 1


class TestAdmission:
    def test_no_targets(self):
        """Guards against a request that waits for a service without targets."""
        harness = DispatcherHarness(targets=0)
        with pytest.raises(ServiceError) as caught:
            harness.dispatcher.admit(PIPELINE, {"s": SERVICE}, [WORK])
        assert caught.value.kind is ErrorKind.NO_TARGETS

    async def test_unreachable_deadline_is_refused(self):
        """Guards against capacity spent on requests that cannot meet their deadline."""
        harness = DispatcherHarness()
        await harness.observe(1_000.0)
        harness.dispatcher.admit(PIPELINE, {"s": SERVICE}, [WORK._replace(deadline_ms=1e9)])
        tight = WORK._replace(deadline_ms=harness.now + 500)
        with pytest.raises(ServiceError) as caught:
            harness.dispatcher.admit(PIPELINE, {"s": SERVICE}, [tight])
        assert caught.value.kind is ErrorKind.DEADLINE_UNREACHABLE

    async def test_high_priority_is_admitted_during_a_low_priority_flood(self):
        """Guards against refusing high-priority work before low-priority work at peak load."""
        harness = DispatcherHarness()
        await harness.observe(1_000.0)
        for _ in range(40):
            await harness.start(WORK._replace(priority=8, deadline_ms=1e9))
        late = harness.now + 6_000
        with pytest.raises(ServiceError):
            work = WORK._replace(priority=8, deadline_ms=late)
            harness.dispatcher.admit(PIPELINE, {"s": SERVICE}, [work])
        work = WORK._replace(priority=0, deadline_ms=late)
        harness.dispatcher.admit(PIPELINE, {"s": SERVICE}, [work])


class TestStragglers:
    async def test_hung_target_is_ejected_and_readmitted_by_a_probe(self):
        """Guards against a hung target that keeps its traffic, or is never readmitted."""
        harness = DispatcherHarness(targets=4)
        await harness.observe(100.0)
        slot = await harness.dispatcher.acquire(SERVICE, WORK._replace(deadline_ms=1e9))
        harness.now += 2_000
        harness.dispatcher.tick()
        target = harness.dispatcher.target_stats.target(slot.target)
        assert target.health.ejected and slot.straggling.is_set()
        harness.dispatcher.calls.release(slot, CallResult.CANCELLED, 0)
        harness.now += ejection.MAX_PROBE_MS
        probe = await harness.dispatcher.acquire(SERVICE, WORK._replace(deadline_ms=1e9))
        assert probe.probe and probe.target.name == slot.target.name
        harness.now += 50
        harness.dispatcher.calls.first_token(probe)
        harness.dispatcher.calls.release(probe, CallResult.ANSWERED, 50)
        assert not target.health.ejected

    async def test_retry_excludes_and_hedge_needs_idempotence(self):
        """Guards against hedging a non-idempotent call, and retrying on an excluded target."""
        harness = DispatcherHarness()
        await harness.observe(100.0)
        work = WORK._replace(deadline_ms=1e9)
        assert harness.dispatcher.hedge_delay_ms(SERVICE, work) is not None
        once = SERVICE._replace(idempotent=False)
        assert harness.dispatcher.hedge_delay_ms(once, work) is None
        slot = await harness.dispatcher.acquire(SERVICE, work, frozenset({"a"}))
        assert slot.target.name == "b"
        with pytest.raises(ServiceError) as caught:
            await harness.dispatcher.acquire(SERVICE, work, frozenset({"a", "b"}))
        assert caught.value.kind is ErrorKind.NO_TARGETS


def test_long_share_leaves_room() -> None:
    """Guards against long work of all hosts together filling the capacity of the targets."""
    for hosts in (1, 8, 32):
        assert hosts * admission.long_share(32, 16.0, hosts) < 32 * 16.0
