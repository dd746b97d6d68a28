"""Tests of the dispatcher on one host."""

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


class Bench:
    """A dispatcher with targets a, b, c, ... and a clock that is set by hand."""

    def __init__(self, targets: int = 2, policy: str = "adaptive") -> None:
        self.now = 0.0
        self.board = Board()
        for name in "abcdefgh"[:targets]:
            self.board.targets[name] = TargetView(name, "s", "", "z", "1")
        clock = Clock(lambda: self.now, lambda: self.now)
        self.dispatcher = Dispatcher(self.board, clock, random.Random(1), policy)

    async def ask(self, work: Work = WORK) -> asyncio.Task[Slot]:
        """A call that has got as far as it can."""
        task = asyncio.ensure_future(self.dispatcher.acquire(SERVICE, work))
        await asyncio.sleep(0)
        return task

    async def teach(self, total_ms: float, count: int = 20, work: Work = WORK) -> None:
        """Lets calls of a length be answered."""
        for _ in range(count):
            slot = await self.dispatcher.acquire(SERVICE, work._replace(deadline_ms=1e9))
            self.now += 10
            self.dispatcher.calls.first_token(slot)
            self.now += total_ms - 10
            self.dispatcher.calls.release(slot, CallResult.ANSWERED, 50)


def held(bench: Bench) -> int:
    return sum(len(target.slots) for target in bench.dispatcher.target_stats.targets.values())


class TestSlots:
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["ask", "cancel", "end", "fail", "tick"]), st.integers(0, 20)
            ),
            max_size=60,
        ),
        st.sampled_from(["adaptive", "round_robin", "least_outstanding"]),
    )
    def test_none_leaks_and_none_is_given_twice(self, steps, policy):
        """A slot lost by a cancelled waiter would lower the capacity of the host for good."""

        async def scenario() -> None:
            bench = Bench(policy=policy)
            tasks: list[asyncio.Task[Slot]] = []
            for step, index in steps:
                bench.now += 37
                if step == "ask":
                    work = WORK._replace(priority=index % 10, workspace=f"w{index % 3}")
                    tasks.append(asyncio.ensure_future(bench.dispatcher.acquire(SERVICE, work)))
                elif step == "tick":
                    bench.dispatcher.tick()
                elif tasks:
                    task = tasks.pop(index % len(tasks))
                    if step != "cancel" and task.done():
                        result = CallResult.ANSWERED if step == "end" else CallResult.FAILED
                        bench.dispatcher.calls.release(task.result(), result, 3)
                    else:
                        if task.done():
                            bench.dispatcher.calls.release(task.result(), CallResult.CANCELLED, 0)
                        task.cancel()
                if index % 2:
                    await asyncio.sleep(0)
                for target in bench.dispatcher.target_stats.targets.values():
                    assert len(target.slots) <= SERVICE.max_inflight
            for task in tasks:
                if task.done():
                    bench.dispatcher.calls.release(task.result(), CallResult.ANSWERED, 3)
                task.cancel()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            state = bench.dispatcher.services.get("s")
            assert held(bench) == 0
            if state is not None:
                assert not state.queue and state.long == state.long_prefills == 0
                assert not +state.held and not +state.queued and not state.shares

        asyncio.run(scenario())

    async def test_slot_given_in_the_moment_of_cancelling_comes_back(self):
        """The waiter's future may be done before the waiter runs again and is cancelled."""
        bench = Bench(targets=1)
        slots = [(await bench.ask()).result() for _ in range(2)]
        waiting = await bench.ask()
        bench.dispatcher.calls.release(slots[0], CallResult.ANSWERED, 1)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert held(bench) == 1

    async def test_new_incarnation_starts_fresh(self):
        """Evidence against a process must not follow the process that replaced it."""
        bench = Bench(targets=3)
        slot = await bench.dispatcher.acquire(SERVICE, WORK)
        bench.dispatcher.calls.release(slot, CallResult.CONNECT_FAILED, 0)
        old = bench.dispatcher.target_stats.target(slot.target)
        assert old.health.ejected
        bench.board.targets[slot.target.name] = slot.target._replace(incarnation="2")
        bench.dispatcher.tick()
        assert old not in bench.dispatcher.target_stats.targets.values()
        fresh = bench.dispatcher.target_stats.target(bench.board.targets[slot.target.name])
        assert not fresh.health.ejected

    async def test_leaving_target_gets_nothing(self):
        """A target may turn leaving while calls wait."""
        bench = Bench()
        bench.board.targets["a"] = bench.board.targets["a"]._replace(leaving=True)
        assert {(await bench.ask()).result().target.name for _ in range(2)} == {"b"}
        assert not (await bench.ask()).done()


class TestQueue:
    async def test_priority_then_short(self):
        """Long or unimportant work must not be served first."""
        bench = Bench(targets=1)
        slots = [(await bench.ask()).result() for _ in range(2)]
        low = await bench.ask(WORK._replace(priority=9))
        long = await bench.ask(WORK._replace(prompt_tokens=5_000))
        short = await bench.ask(WORK)
        high = await bench.ask(WORK._replace(priority=0, prompt_tokens=9_000))
        for expected in (high, short, long, low):
            bench.dispatcher.calls.release(slots.pop(0), CallResult.CANCELLED, 0)
            await asyncio.sleep(0)
            assert expected.done()
            slots.append(expected.result())

    async def test_workspace_within_its_share_goes_first(self):
        """A workspace that floods the queue must not starve another one."""
        bench = Bench()
        slots = [(await bench.ask()).result() for _ in range(4)]
        flood = [await bench.ask() for _ in range(10)]
        other = await bench.ask(WORK._replace(workspace="x"))
        bench.dispatcher.calls.release(slots[0], CallResult.ANSWERED, 5)
        await asyncio.sleep(0)
        assert other.done() and not any(task.done() for task in flood)

    async def test_expires_by_the_lower_bound(self):
        """No attempt may start that cannot end before its deadline."""
        bench = Bench(targets=1)
        await bench.teach(1_000.0)
        slots = [await bench.dispatcher.acquire(SERVICE, WORK._replace(deadline_ms=1e9))]
        slots.append(await bench.dispatcher.acquire(SERVICE, WORK._replace(deadline_ms=1e9)))
        waiting = await bench.ask(WORK._replace(deadline_ms=bench.now + 1_200))
        bench.now += 500
        bench.dispatcher.tick()
        with pytest.raises(ServiceError) as caught:
            await waiting
        assert caught.value.kind is ErrorKind.DEADLINE_EXCEEDED
        assert held(bench) == 2

    async def test_long_work_leaves_a_slot(self):
        """Short work must find a slot however much long work waits."""
        bench = Bench()
        await bench.teach(100.0)
        long = WORK._replace(prompt_tokens=50_000, deadline_ms=1e9)
        taken = [await bench.ask(long) for _ in range(6)]
        assert 0 < sum(task.done() for task in taken) < 4
        assert (await bench.ask(WORK._replace(deadline_ms=1e9))).done()

    async def test_call_that_outgrows_its_prediction_counts_as_long(self):
        """A wrong prediction must not let long work in as short work."""
        bench = Bench(targets=1)
        small = WORK._replace(stage="tiny", max_tokens=2)
        await bench.teach(34.5, work=small)
        await bench.teach(34.5)
        slot = await bench.dispatcher.acquire(SERVICE, WORK._replace(deadline_ms=1e9))
        assert not slot.long
        state = bench.dispatcher.services["s"]
        before = state.long
        bench.dispatcher.calls.progress(slot, 99)
        assert state.underestimated == 1 and state.long == before + 1


class TestAdmission:
    def test_no_targets(self):
        """A request must not wait for a service that has no target."""
        bench = Bench(targets=0)
        with pytest.raises(ServiceError) as caught:
            bench.dispatcher.admit(PIPELINE, {"s": SERVICE}, [WORK])
        assert caught.value.kind is ErrorKind.NO_TARGETS

    async def test_unreachable_deadline_is_refused(self):
        """Work that cannot be done in time must not take capacity first and fail later."""
        bench = Bench()
        await bench.teach(1_000.0)
        bench.dispatcher.admit(PIPELINE, {"s": SERVICE}, [WORK._replace(deadline_ms=1e9)])
        tight = WORK._replace(deadline_ms=bench.now + 500)
        with pytest.raises(ServiceError) as caught:
            bench.dispatcher.admit(PIPELINE, {"s": SERVICE}, [tight])
        assert caught.value.kind is ErrorKind.DEADLINE_UNREACHABLE

    async def test_flood_of_low_priority_leaves_the_door_open_for_high(self):
        """At the crest the less important work must be refused first."""
        bench = Bench()
        await bench.teach(1_000.0)
        for _ in range(40):
            await bench.ask(WORK._replace(priority=8, deadline_ms=1e9))
        late = bench.now + 6_000
        with pytest.raises(ServiceError):
            work = WORK._replace(priority=8, deadline_ms=late)
            bench.dispatcher.admit(PIPELINE, {"s": SERVICE}, [work])
        work = WORK._replace(priority=0, deadline_ms=late)
        bench.dispatcher.admit(PIPELINE, {"s": SERVICE}, [work])


class TestStragglers:
    async def test_silent_target_is_ejected_and_probed_back(self):
        """A stuck target must lose its traffic before any answer, and get it back after."""
        bench = Bench(targets=4)
        await bench.teach(100.0)
        slot = await bench.dispatcher.acquire(SERVICE, WORK._replace(deadline_ms=1e9))
        bench.now += 2_000
        bench.dispatcher.tick()
        target = bench.dispatcher.target_stats.target(slot.target)
        assert target.health.ejected and slot.straggling.is_set()
        bench.dispatcher.calls.release(slot, CallResult.CANCELLED, 0)
        bench.now += ejection.MAX_PROBE_MS
        probe = await bench.dispatcher.acquire(SERVICE, WORK._replace(deadline_ms=1e9))
        assert probe.probe and probe.target.name == slot.target.name
        bench.now += 50
        bench.dispatcher.calls.first_token(probe)
        bench.dispatcher.calls.release(probe, CallResult.ANSWERED, 50)
        assert not target.health.ejected

    async def test_retry_excludes_and_hedge_needs_idempotence(self):
        """A non-idempotent call must never be hedged."""
        bench = Bench()
        await bench.teach(100.0)
        work = WORK._replace(deadline_ms=1e9)
        assert bench.dispatcher.hedge_delay_ms(SERVICE, work) is not None
        once = SERVICE._replace(idempotent=False)
        assert bench.dispatcher.hedge_delay_ms(once, work) is None
        slot = await bench.dispatcher.acquire(SERVICE, work, frozenset({"a"}))
        assert slot.target.name == "b"
        with pytest.raises(ServiceError) as caught:
            await bench.dispatcher.acquire(SERVICE, work, frozenset({"a", "b"}))
        assert caught.value.kind is ErrorKind.NO_TARGETS


def test_long_share_leaves_room() -> None:
    """Over all hosts long work must stay below the capacity of the targets."""
    for hosts in (1, 8, 32):
        assert hosts * admission.long_share(32, 16.0, hosts) < 32 * 16.0
