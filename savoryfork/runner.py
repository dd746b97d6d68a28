"""Runs a pipeline for one request: its stages, the deadline and the claim."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
import uuid
from typing import Any

from savoryfork import defaults
from savoryfork.admission import Work
from savoryfork.attempts import StageAttempts
from savoryfork.board import Board
from savoryfork.burn import BurnRecorder
from savoryfork.calls import (
    ActionRejected,
    Attempt,
    CallError,
    StageInput,
    TargetClient,
    TokenStream,
    generation_prompt,
)
from savoryfork.callstate import CallResult, Slot
from savoryfork.claims import ClaimRequestData, Claims, Existing, KeyState, outcome_overdue
from savoryfork.dispatch import Dispatcher
from savoryfork.errors import ErrorKind, Ran, ServiceError
from savoryfork.metrics import Metrics
from savoryfork.pipeline import (
    ActionStage,
    GenerateStage,
    Stage,
    needs_claim,
    non_idempotent,
)
from savoryfork.run import Run, RunAnswer, RunRequest, TokenCallback
from savoryfork.util import logs
from savoryfork.util.timer import TimerService

log = logging.getLogger(__name__)

# Approximate characters per token, used only for cost estimates.
CHARS_PER_TOKEN = 4
PREFIX_CHARS = 512


class Runner:
    """Runs requests on this host and records their outcome."""

    def __init__(
        self,
        board: Board,
        timer: TimerService,
        dispatcher: Dispatcher,
        client: TargetClient,
        claims: Claims,
        burn: BurnRecorder,
        metrics: Metrics,
    ) -> None:
        self.board = board
        self.timer = timer
        self.clock = timer.clock
        self.dispatcher = dispatcher
        self.client = client
        self.claims = claims
        self.burn = burn
        self.metrics = metrics
        self.inflight = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.background: set[asyncio.Task[Any]] = set()

    async def run(self, request: RunRequest, on_token: TokenCallback) -> RunAnswer:
        """Runs one request to its end, with metrics and logs. Raises ServiceError."""
        run = Run(request, on_token)
        started_ms = self.clock.monotonic_ms()
        self.inflight += 1
        self.idle.clear()
        kind: ErrorKind | None = None
        abandoned = False
        try:
            return await self.execute(run)
        except ServiceError as error:
            kind = error.kind
            if not self.excludes_earlier_run(run):
                error.allow_earlier_run()
            raise
        except asyncio.CancelledError:
            abandoned = True
            raise
        except Exception as error:
            kind = ErrorKind.INTERNAL
            logs.failure(log, "run_failed", request=request.request_id)
            ran = Ran.NO if self.excludes_earlier_run(run) and not run.sent else Ran.UNKNOWN
            raise ServiceError(kind, "internal error", ran=ran) from error
        finally:
            self.inflight -= 1
            if not self.inflight:
                self.idle.set()
            if abandoned:
                self.record_abandoned(run)
            else:
                self.record_end(run, kind, self.clock.monotonic_ms() - started_ms)

    def record_abandoned(self, run: Run) -> None:
        """Counts a run whose caller disconnected; it counts neither as answered nor as failed."""
        request = run.request
        workspace, pipeline = request.workspace.name, request.pipeline.name
        self.metrics.runs.inc({"workspace": workspace, "pipeline": pipeline, "result": "abandoned"})
        logs.event(
            log,
            "run_abandoned",
            request=request.request_id,
            workspace=workspace,
            pipeline=pipeline,
            stage=run.stage,
        )

    @staticmethod
    def excludes_earlier_run(run: Run) -> bool:
        """True if no earlier request with the same key can have run."""
        request = run.request
        return request.key is None or run.holds_key or request.first_attempt

    def record_end(self, run: Run, kind: ErrorKind | None, duration_ms: float) -> None:
        """Records the end of a run in the metrics, the burn report and the log."""
        request = run.request
        result = kind.value if kind else "answered"
        workspace, pipeline = request.workspace.name, request.pipeline.name
        self.metrics.runs.inc({"workspace": workspace, "pipeline": pipeline, "result": result})
        if kind is None:
            self.metrics.run_seconds.observe({"pipeline": pipeline}, duration_ms / 1000)
        self.burn.record(
            workspace,
            pipeline,
            kind,
            run.stage if kind else None,
            kind is None and self.clock.monotonic_ms() <= request.deadline_ms,
            duration_ms,
            {report["stage"]: report["duration_ms"] for report in run.reports},
            self.clock.wall_ms(),
        )
        logs.event(
            log,
            "run_ended",
            request=request.request_id,
            workspace=workspace,
            pipeline=pipeline,
            stage=run.stage if kind else None,
            error=kind.value if kind else None,
            duration_ms=round(duration_ms, 1),
            config_offset=request.configuration.offset,
        )

    async def execute(self, run: Run) -> RunAnswer:
        """Admits a run and executes it, under a claim if the pipeline needs one."""
        request = run.request
        self.dispatcher.admit(
            request.pipeline,
            request.configuration.services,
            [self.work(run, stage) for stage in request.pipeline.stages],
        )
        if needs_claim(request.pipeline, request.configuration):
            return await self.run_claimed(run)
        await self.run_stages(run)
        return run.answer()

    async def run_claimed(self, run: Run) -> RunAnswer:
        """Runs a request whose action may happen at most once."""
        request = run.request
        assert request.key is not None
        data = ClaimRequestData(
            request.workspace.name,
            request.pipeline.name,
            request.key,
            request.digest,
            request.deadline_ms,
        )
        claimed = await self.claims.claim(data)
        if isinstance(claimed, Existing):
            self.metrics.claims.inc({"result": "existing"})
            return await self.existing_answer(run, claimed.state)
        run.holds_key = True
        self.metrics.claims.inc({"result": "won"})
        # The action and its outcome continue after the caller disconnects or the deadline passes.
        task = asyncio.create_task(self.run_under_claim(run, data, claimed.claim))
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        task.add_done_callback(lambda t: t.cancelled() or t.exception())
        remaining_s = max(0.0, request.deadline_ms - self.clock.monotonic_ms()) / 1000
        done, _ = await asyncio.wait([task], timeout=remaining_s)
        if done:
            return task.result()
        if run.final_answer is not None:
            return run.final_answer
        if run.action_sent:
            raise ServiceError(
                ErrorKind.OUTCOME_UNKNOWN,
                "the action was sent and has not been answered yet; query the request's status",
                stage=run.stage,
            )
        # The stages stop at the deadline by themselves and release the claim.
        return await task

    async def run_under_claim(self, run: Run, data: ClaimRequestData, claim: str) -> RunAnswer:
        """Runs the stages under a claim, then records the outcome or releases the claim."""
        try:
            await self.run_stages(run)
        except ActionRejected as error:
            await self.settle(data, claim, "rejected", error.details)
            raise rejected(error.details, run.stage) from error
        except ServiceError as error:
            if run.action_sent:
                await self.settle(data, claim, "unknown", None)
                if error.kind == ErrorKind.OUTCOME_UNKNOWN:
                    raise
                raise ServiceError(
                    ErrorKind.OUTCOME_UNKNOWN, str(error), stage=run.stage
                ) from error
            await self.claims.release(data, claim)
            raise
        except BaseException:
            if run.action_sent:
                await asyncio.shield(self.settle(data, claim, "unknown", None))
            else:
                await asyncio.shield(self.claims.release(data, claim))
            raise
        answer = run.final_answer = run.answer()
        await self.settle(data, claim, "done", answer)
        return answer

    async def settle(self, data: ClaimRequestData, claim: str, state: str, answer: Any) -> None:
        """Records an outcome, in the background if the log does not confirm it in time."""
        landed = await self.claims.settle(data, claim, state, answer)
        self.metrics.claims.inc({"result": state if landed else f"{state}_pending"})

    async def existing_answer(self, run: Run, state: KeyState) -> RunAnswer:
        """Returns the answer of the run that holds or held the key, waiting within the deadline."""
        request = run.request
        assert request.key is not None
        if state.state == "running":
            wait_ms = request.deadline_ms - self.clock.monotonic_ms() - 50
            overdue_ms = state.deadline_wall_ms + defaults.CLAIM_OVERDUE_AFTER_MS
            wait_ms = max(0.0, min(wait_ms, overdue_ms - self.clock.wall_ms()))
            latest = await self.claims.lookup(request.workspace.name, request.key, wait_ms)
            state = latest or state
        if state.state == "done" and state.answer is not None:
            return state.answer
        if state.state == "done":
            raise ServiceError(
                ErrorKind.OUTCOME_UNKNOWN,
                "the request ran; its answer was too large to store",
                ran=Ran.YES,
            )
        if state.state == "rejected":
            raise rejected(state.answer, None)
        if state.state == "unknown":
            raise ServiceError(ErrorKind.OUTCOME_UNKNOWN, "an earlier run's outcome is unknown")
        if outcome_overdue(state, self.clock.wall_ms()):
            raise ServiceError(
                ErrorKind.OUTCOME_UNKNOWN, "an earlier run of this key recorded no outcome in time"
            )
        raise ServiceError(
            ErrorKind.REQUEST_IN_PROGRESS, "another run of this key is in progress; retry later"
        )

    async def run_stages(self, run: Run) -> None:
        """Runs the stages in order, each on the output of the previous one."""
        at_most_once = non_idempotent(run.request.pipeline, run.request.configuration)
        for stage in run.request.pipeline.stages:
            run.stage = stage.name
            if isinstance(stage, ActionStage) and at_most_once:
                await self.run_action(run, stage)
            else:
                await self.run_repeatable(run, stage)

    def work(self, run: Run, stage: Stage) -> Work:
        """Returns the description of a stage call for the dispatcher."""
        request = run.request
        prompt_tokens, max_tokens, prefix = 0, 0, ""
        if isinstance(stage, GenerateStage):
            prompt = generation_prompt(run.stage_input)
            prompt_tokens = max(1, len(prompt) // CHARS_PER_TOKEN)
            max_tokens = min(stage.max_tokens, request.max_tokens or stage.max_tokens)
            prefix = hashlib.blake2b(prompt[:PREFIX_CHARS].encode(), digest_size=8).hexdigest()
        return Work(
            request.workspace.name,
            request.pipeline.name,
            stage.name,
            request.priority,
            prompt_tokens,
            max_tokens,
            request.deadline_ms,
            prefix,
            request.workspace.share,
        )

    async def run_repeatable(self, run: Run, stage: Stage) -> None:
        """Runs a stage that may be retried, until it succeeds or the deadline passes."""
        started_ms = self.clock.monotonic_ms()
        deadline_s = (run.request.deadline_ms - started_ms) / 1000
        attempts = StageAttempts(self, run, stage)
        try:
            async with asyncio.timeout(max(0.0, deadline_s)):
                run.stage_input, target = await attempts.first_answer()
        except TimeoutError as error:
            raise ServiceError(
                ErrorKind.DEADLINE_EXCEEDED,
                f"the deadline passed in stage {stage.name}",
                ran=self.ran_status(run),
                stage=stage.name,
            ) from error
        self.report(run, stage, target, attempts.count, started_ms)

    def ran_status(self, run: Run) -> Ran:
        """Returns `ran` for the error of a failed run."""
        if non_idempotent(run.request.pipeline, run.request.configuration):
            return Ran.UNKNOWN if run.action_sent else Ran.NO
        return Ran.UNKNOWN if run.sent else Ran.NO

    def report(self, run: Run, stage: Stage, target: str, attempts: int, started_ms: float) -> None:
        """Records a finished stage in the metrics and the run's reports."""
        duration_ms = self.clock.monotonic_ms() - started_ms
        self.metrics.stage_seconds.observe(
            {"pipeline": run.request.pipeline.name, "stage": stage.name}, duration_ms / 1000
        )
        run.reports.append(
            {
                "stage": stage.name,
                "target": target,
                "attempts": attempts,
                "duration_ms": round(duration_ms, 1),
            }
        )

    async def run_action(self, run: Run, stage: ActionStage) -> None:
        """Sends an action at most once; only an attempt that was not sent is retried.

        A service that deduplicates idempotency keys is also retried after other failures.
        """
        started_ms = self.clock.monotonic_ms()
        service = run.request.configuration.services[stage.service]
        exclude: frozenset[str] = frozenset()
        count = 0
        sent_before = False
        while True:
            try:
                slot = await self.acquire(run, stage, exclude)
                count += 1
                run.stage_input = await self.attempt(run, stage, slot, None)
            except CallError as error:
                sent_before = sent_before or error.sent
                if service.dedupes and self.clock.monotonic_ms() < run.request.deadline_ms:
                    exclude = self.next_exclude(run, stage, exclude, slot.target.name)
                    await asyncio.sleep(0.02 * min(count, 10))
                    continue
                if sent_before:
                    run.action_sent = True
                    raise ServiceError(
                        ErrorKind.OUTCOME_UNKNOWN,
                        f"the action was sent and got no usable answer: {error}",
                        stage=stage.name,
                    ) from error
                run.action_sent = False
                if error.result is CallResult.CANCELLED and not error.draining:
                    raise ServiceError(
                        ErrorKind.DEADLINE_EXCEEDED, str(error), ran=Ran.NO, stage=stage.name
                    ) from error
                exclude = self.next_exclude(run, stage, exclude, slot.target.name)
                if count >= defaults.MAX_UNSENT_ATTEMPTS:
                    raise ServiceError(
                        ErrorKind.STAGE_FAILED, str(error), ran=Ran.NO, stage=stage.name
                    ) from error
                continue
            self.report(run, stage, slot.target.name, count, started_ms)
            return

    def next_exclude(
        self, run: Run, stage: Stage, exclude: frozenset[str], failed: str
    ) -> frozenset[str]:
        """Adds a failed target to the excluded ones; excludes none if no target would be left."""
        names = {target.name for target in self.board.targets_of(stage.service)}
        wider = exclude | {failed}
        return wider if names - wider else frozenset()

    async def acquire(self, run: Run, stage: Stage, exclude: frozenset[str]) -> Slot:
        """Acquires a slot on a target within the deadline."""
        service = run.request.configuration.services[stage.service]
        remaining_s = (run.request.deadline_ms - self.clock.monotonic_ms()) / 1000
        try:
            async with asyncio.timeout(max(0.0, remaining_s)):
                return await self.dispatcher.acquire(service, self.work(run, stage), exclude)
        except TimeoutError as error:
            raise ServiceError(
                ErrorKind.DEADLINE_EXCEEDED,
                f"no target of {stage.service} was free before the deadline",
                ran=self.ran_status(run),
                stage=stage.name,
            ) from error
        except ServiceError as error:
            error.stage = stage.name
            error.ran = self.ran_status(run)
            raise

    async def attempt(
        self, run: Run, stage: Stage, slot: Slot, stream: TokenStream | None
    ) -> StageInput:
        """Makes one attempt with a slot and releases the slot."""
        action = isinstance(stage, ActionStage)
        result = CallResult.CANCELLED
        tokens_before = len(stream.tokens) if stream else 0

        def before_send() -> None:
            if action:
                self.check_deadline(run)
                run.action_sent = True
            run.sent = True

        call = Attempt(
            uuid.uuid4().hex,
            slot.target,
            run.request.deadline_ms,
            run.request.key if action else None,
            stream,
            before_send,
            lambda: self.dispatcher.calls.first_token(slot),
            lambda tokens: self.dispatcher.calls.progress(slot, tokens - tokens_before),
        )
        try:
            next_input = await self.client.attempt(stage, run.stage_input, call)
            result = CallResult.ANSWERED
            return next_input
        except ActionRejected:
            result = CallResult.ANSWERED
            raise
        except CallError as error:
            result = error.result
            logs.event(
                log,
                "attempt_failed",
                logging.WARNING,
                request=run.request.request_id,
                workspace=run.request.workspace.name,
                pipeline=run.request.pipeline.name,
                stage=stage.name,
                target=slot.target.name,
                result=result.value,
                reason=str(error),
            )
            raise
        finally:
            tokens = len(stream.tokens) - tokens_before if stream else 0
            self.dispatcher.calls.release(slot, result, tokens)
            self.metrics.attempts.inc({"service": stage.service, "result": result.value})
            if tokens:
                self.metrics.tokens.add({"stage": stage.name}, tokens)

    def check_deadline(self, run: Run) -> None:
        """Raises CallError after the deadline, so that a paused process sends no late action."""
        if self.clock.monotonic_ms() >= run.request.deadline_ms:
            raise CallError(
                "the deadline passed before the action was sent", CallResult.CANCELLED, sent=False
            )

    async def drain(self, timeout_ms: float) -> None:
        """Waits until no run is in progress and all outcomes are recorded, up to `timeout_ms`."""
        until_ms = self.clock.monotonic_ms() + timeout_ms
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000):
                await self.idle.wait()
        if self.background:
            left_ms = max(0.0, until_ms - self.clock.monotonic_ms())
            await asyncio.wait(self.background, timeout=left_ms / 1000)
        await self.claims.drain(max(0.0, until_ms - self.clock.monotonic_ms()))


def rejected(details: Any, stage: str | None) -> ServiceError:
    """Returns the error for an action that the service rejected."""
    return ServiceError(
        ErrorKind.ACTION_REJECTED, "the service rejected the action", stage=stage, details=details
    )
