"""Tests for sending actions at most once, for hedging and for the accounting of runs."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest
from aiohttp import web

from savoryfork import defaults
from savoryfork.attempts import StageAttempts
from savoryfork.board import Board, TargetView
from savoryfork.burn import BurnRecorder
from savoryfork.calls import CallError, TargetClient
from savoryfork.callstate import CallResult
from savoryfork.errors import Ran, ServiceError
from savoryfork.metrics import Metrics
from savoryfork.pipeline import (
    ActionStage,
    Configuration,
    Objective,
    Pipeline,
    Service,
    Workspace,
)
from savoryfork.run import Run, RunRequest
from savoryfork.runner import Runner
from savoryfork.util.timer import Clock, TimerService
from tests.test_calls import target

STAGE = ActionStage("place", "orders", "place")


def make_run(deadline_ms: float, *, dedupes: bool) -> Run:
    """Returns a run of one action on a non-idempotent service."""
    service = Service("orders", "plain", False, False, dedupes, 8, "")
    pipeline = Pipeline("p", (STAGE,), 1_000, 1, Objective(0.9, 30))
    workspace = Workspace("w", (), ("p",), 1.0)
    configuration = Configuration(0, {"orders": service}, {"p": pipeline}, {"w": workspace})
    request = RunRequest(
        "r", workspace, pipeline, configuration, "", {}, None, 1, deadline_ms, "key", "digest"
    )
    return Run(request, lambda index, text: None)


class Targets:
    """A dispatcher that always returns the same target."""

    def __init__(self, view: Any) -> None:
        self.view = view
        self.calls = SimpleNamespace(release=lambda *args: None)

    async def acquire(self, *args: Any) -> Any:
        return SimpleNamespace(target=self.view)


def make_runner(client: TargetClient, view: Any, clock: Clock) -> Runner:
    """Returns a runner without claims."""
    board = Board()
    board.targets[view.name] = view
    timer = TimerService(clock, defaults.TIMER_TICK_MS)
    targets, claims = cast(Any, Targets(view)), cast(Any, None)
    return Runner(board, timer, targets, client, claims, BurnRecorder(), Metrics())


class TestAction:
    async def test_deadline_is_checked_before_the_first_byte(self) -> None:
        """Guards against an action sent after the deadline when the process was paused between the
        choice of a target and the connection to it."""
        calls = []

        async def answer(request: web.Request) -> web.Response:
            calls.append(request)
            return web.json_response({"result": 1})

        async with target(answer) as (client, view):
            run = make_run(client.clock.monotonic_ms(), dedupes=False)
            runner = make_runner(client, view, client.clock)
            slot = cast(Any, SimpleNamespace(target=view))
            with pytest.raises(CallError) as caught:
                await runner.attempt(run, STAGE, slot, None)
        assert caught.value.result is CallResult.CANCELLED and not caught.value.sent
        assert not calls and not run.action_sent

    async def test_unsent_attempt_does_not_hide_an_earlier_one(self) -> None:
        """Guards against reporting "not run" when the last attempt was not sent but an earlier one
        was, at a service that deduplicates keys."""
        failures = [
            (1_000.0, CallError("reset", CallResult.FAILED, sent=True)),
            (3_000.0, CallError("late", CallResult.CANCELLED, sent=False)),
        ]
        now_ms = 0.0

        async def attempt(run: Run, *args: Any) -> Any:
            nonlocal now_ms
            now_ms, error = failures.pop(0)
            run.action_sent = run.action_sent or error.sent
            raise error

        view = TargetView("orders-0", "orders", "127.0.0.1:9", "zone-a", "i")
        clock = Clock(lambda: now_ms, lambda: now_ms)
        runner = make_runner(cast(Any, None), view, clock)
        runner.attempt = attempt  # type: ignore[method-assign]
        run = make_run(2_000, dedupes=True)
        with pytest.raises(ServiceError) as caught:
            await runner.run_action(run, STAGE)
        assert caught.value.ran is Ran.UNKNOWN and run.action_sent and not failures


class FakeSlot:
    """A slot that a test can mark as straggling."""

    def __init__(self, target: Any) -> None:
        self.target = target
        self.straggling = asyncio.Event()


class HedgingRunner:
    """Calls to target `a` never end, calls to `b` return at once; the budget allows one hedge."""

    def __init__(self) -> None:
        self.slots: dict[str, Any] = {}
        self.ended: list[str] = []
        self.acquired = asyncio.Event()
        self.hedges = 0
        self.dispatcher = SimpleNamespace(
            hedge_delay_ms=lambda service, work: None,
            spend_hedge=self.spend_hedge,
            calls=SimpleNamespace(
                release=lambda slot, result, tokens: self.released.append(slot.target.name)
            ),
        )
        self.released: list[str] = []
        views = [SimpleNamespace(name=name) for name in ("a", "b")]
        self.board = SimpleNamespace(targets_of=lambda service: views)

    def spend_hedge(self, service: Any) -> bool:
        self.hedges += 1
        return self.hedges == 1

    def work(self, run: Any, stage: Any) -> None:
        return None

    async def acquire(self, run: Any, stage: Any, exclude: frozenset[str]) -> Any:
        name = "b" if "a" in exclude else "a"
        view = SimpleNamespace(name=name)
        self.slots[name] = FakeSlot(view)
        self.acquired.set()
        return self.slots[name]

    async def attempt(self, run: Any, stage: Any, slot: Any, stream: Any) -> Any:
        try:
            if slot.target.name == "a":
                await asyncio.Event().wait()
            return "answer"
        finally:
            self.ended.append(slot.target.name)


class TestHedge:
    async def test_straggler_is_hedged_at_once_and_cancelled(self) -> None:
        """Guards against waiting for a frozen target until the hedge delay, and against a losing
        attempt that is not cancelled."""
        runner = HedgingRunner()
        run = make_run(1e12, dedupes=False)
        stage = ActionStage("fetch", "orders", "fetch")
        attempts = StageAttempts(cast(Any, runner), run, stage)
        answer = asyncio.create_task(attempts.first_answer())
        async with asyncio.timeout(5):
            await runner.acquired.wait()
            assert runner.hedges == 0
            runner.slots["a"].straggling.set()
            assert await answer == ("answer", "b")
        assert runner.hedges == 1
        assert sorted(runner.ended) == ["a", "b"]

    async def test_attempt_cancelled_before_its_first_step_gives_its_slot_back(self) -> None:
        """Guards against leaked slots when a deadline passes just as an attempt starts."""
        runner = HedgingRunner()
        run = make_run(1e12, dedupes=False)
        attempts = StageAttempts(cast(Any, runner), run, ActionStage("fetch", "orders", "fetch"))
        await attempts.start()
        await attempts.cancel()
        await asyncio.sleep(0)
        assert runner.ended == []
        assert runner.released == ["a"]


class TestAccounting:
    async def test_run_whose_caller_left_is_not_counted_as_answered(self) -> None:
        """Guards against counting abandoned runs as answered in time in the attainment."""
        clock = Clock(lambda: 0.0, lambda: 0.0)
        runner = make_runner(
            cast(Any, None), SimpleNamespace(name="t", service="s", leaving=False), clock
        )
        run = make_run(1e12, dedupes=False)

        async def execute(run: Run) -> Any:
            await asyncio.Event().wait()

        runner.execute = execute  # type: ignore[method-assign]
        task = asyncio.create_task(runner.run(run.request, run.on_token))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait({task})
        counted = runner.metrics.runs.get_all()
        assert [labels["result"] for labels, _ in counted] == ["abandoned"]
        assert not runner.burn.buckets
