"""Retries and hedges of one repeatable stage."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from savoryfork import defaults
from savoryfork.calls import (
    CallError,
    StageInput,
    Superseded,
    TokenStream,
)
from savoryfork.callstate import CallResult, Slot
from savoryfork.errors import ErrorKind, ServiceError
from savoryfork.pipeline import (
    GenerateStage,
    Stage,
)
from savoryfork.run import Run

if TYPE_CHECKING:
    from savoryfork.runner import Runner


class StageAttempts:
    """The attempts of one repeatable stage: sequential retries, and concurrent hedges."""

    def __init__(self, runner: Runner, run: Run, stage: Stage) -> None:
        self.runner = runner
        self.run = run
        self.stage = stage
        self.service = run.request.configuration.services[stage.service]
        self.stream = TokenStream(run.on_token) if isinstance(stage, GenerateStage) else None
        self.exclude: frozenset[str] = frozenset()
        self.count = 0
        self.free_retries = defaults.MAX_UNSENT_ATTEMPTS
        self.tasks: dict[asyncio.Task[StageInput], Slot] = {}
        self.hedged: set[Slot] = set()

    async def first_answer(self) -> tuple[StageInput, str]:
        """Returns the first complete answer and its target; cancels all other attempts."""
        try:
            await self.start()
            hedge_ms = self.runner.dispatcher.hedge_delay_ms(
                self.service, self.runner.work(self.run, self.stage)
            )
            while True:
                done = await self.wait(hedge_ms)
                hedge_ms = None
                if not done:
                    await self.hedge()
                    continue
                # Complete answers come first, so that no failure of the same moment is retried.
                for task in sorted(done, key=lambda task: task.exception() is not None):
                    slot = self.tasks.pop(task)
                    error = task.exception()
                    if error is None:
                        return task.result(), slot.target.name
                    await self.handle_failure(error, slot)
        finally:
            await self.cancel()

    async def wait(self, hedge_ms: float | None) -> set[asyncio.Task[StageInput]]:
        """Waits for attempts to end; returns an empty set if it is time to hedge instead.

        That is after `hedge_ms`, or as soon as the dispatcher detects that the target of the only
        attempt is a straggler. Each attempt causes at most one hedge.
        """
        slots = [slot for slot in self.tasks.values() if slot not in self.hedged]
        watch = None
        if len(self.tasks) == 1 and slots and self.can_hedge():
            watch = asyncio.create_task(slots[0].straggling.wait())
        try:
            ends: list[asyncio.Task[Any]] = [*self.tasks, *([watch] if watch else [])]
            timeout = hedge_ms / 1000 if hedge_ms is not None else None
            done, _ = await asyncio.wait(ends, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        finally:
            if watch is not None:
                watch.cancel()
        finished = {task for task in self.tasks if task in done}
        if not finished:
            self.hedged.update(slots)
        return finished

    def can_hedge(self) -> bool:
        """Returns False once tokens are delivered: a second attempt could only repeat them."""
        return self.stream is None or not self.stream.tokens

    async def start(self) -> None:
        """Acquires a slot on a target that has not failed this stage, and starts an attempt."""
        self.start_attempt(await self.runner.acquire(self.run, self.stage, self.exclude))

    def start_attempt(self, slot: Slot) -> None:
        """Starts an attempt on an acquired slot."""
        self.count += 1
        task = asyncio.create_task(self.runner.attempt(self.run, self.stage, slot, self.stream))
        # A task that is cancelled before its first step never runs the attempt, which would release
        # the slot; a second release has no effect.
        task.add_done_callback(lambda ended: self.release(slot))
        self.tasks[task] = slot

    def release(self, slot: Slot) -> None:
        """Releases the slot of an ended attempt."""
        self.runner.dispatcher.calls.release(slot, CallResult.CANCELLED, 0)

    async def hedge(self) -> None:
        """Starts a second attempt on another target if the budget allows it."""
        if not self.can_hedge():
            return
        busy = {slot.target.name for slot in self.tasks.values()}
        names = {t.name for t in self.runner.board.targets_of(self.stage.service)}
        if not names - busy - self.exclude:
            return
        if not self.runner.dispatcher.spend_hedge(self.service):
            return
        acquire = asyncio.create_task(
            self.runner.acquire(self.run, self.stage, self.exclude | busy)
        )
        started = False
        try:
            await asyncio.wait([acquire, *self.tasks], return_when=asyncio.FIRST_COMPLETED)
            if acquire.done() and acquire.exception() is None:
                started = True
                self.start_attempt(acquire.result())
        finally:
            if not started:
                acquire.cancel()
                acquire.add_done_callback(self.release_unused)

    def release_unused(self, acquire: asyncio.Task[Slot]) -> None:
        """Releases a slot that was acquired after the stage no longer needed it."""
        if not acquire.cancelled() and acquire.exception() is None:
            self.release(acquire.result())

    async def handle_failure(self, error: BaseException, slot: Slot) -> None:
        """Retries a failed attempt within the budgets, unless another attempt is running."""
        if isinstance(error, Superseded) and self.tasks:
            return
        if not isinstance(error, CallError | Superseded):
            raise error
        self.exclude = self.runner.next_exclude(
            self.run, self.stage, self.exclude, slot.target.name
        )
        if isinstance(error, CallError) and error.draining:
            self.runner.client.membership.mark_leaving(
                slot.target.name, slot.target.incarnation, "answer"
            )
        if self.tasks:
            return
        unsent = isinstance(error, CallError) and not error.sent
        if unsent and self.free_retries > 0:
            self.free_retries -= 1
        elif not self.runner.dispatcher.spend_retry(self.service):
            kind = ErrorKind.ANSWER_INCOMPLETE if self.partial() else ErrorKind.STAGE_FAILED
            raise ServiceError(
                kind,
                f"stage {self.stage.name} failed: {error}",
                ran=self.runner.ran_status(self.run),
                stage=self.stage.name,
            ) from error
        await self.start()

    def partial(self) -> bool:
        """Returns True if tokens of an incomplete answer were delivered."""
        return self.stream is not None and bool(self.stream.tokens)

    async def cancel(self) -> None:
        """Cancels the running attempts and discards their answers."""
        tasks, self.tasks = list(self.tasks), {}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
