"""Forwards a request to a target and returns its answer, at most once if it can't be repeated."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TypeVar

from savoryfork.errors import ErrorKind, Ran, ServiceError
from savoryfork.forward import relay, silence
from savoryfork.forward.budget import RetryBudget
from savoryfork.forward.connection import Connection, Connections, TargetError
from savoryfork.forward.crashes import CrashMonitor
from savoryfork.forward.gate import Gate
from savoryfork.forward.health import CERTAIN_FAULT, LIKELY_FAULT, HealthTracker
from savoryfork.forward.model import (
    AnswerHead,
    Repeat,
    Routing,
    Target,
)
from savoryfork.forward.quarantine import Verdict
from savoryfork.forward.run import (
    DEFAULT_RETRY_MS,
    NOT_EXECUTED_STATUSES,
    Attempt,
    NextTarget,
    Offer,
    Run,
    shared_parts_label,
)
from savoryfork.forward.selection import TargetSelector
from savoryfork.forward.signals import TargetSignals
from savoryfork.forward.silence import Decision, MoveOptions
from savoryfork.forward.stages import Stages
from savoryfork.forward.wire import Wire
from savoryfork.forward.work import StageError, StageFailure, Work
from savoryfork.util import logs

log = logging.getLogger(__name__)

T = TypeVar("T")


# Most targets that one request is offered to, including those that refuse it.
MAX_OFFERS = 4


# A request that can't be repeated reuses a pooled connection only within this share of its idle
# timeout.
NON_REPEATABLE_IDLE_SHARE = 0.5


# An engine with a free slot fetches the inputs of a request on arrival. Targets of some stages have
# room for the results of only seven requests, so these are released before the first event.
INPUT_FETCH_MS = 40.0


# Minimum remaining time for which an attempt is started.
MIN_ATTEMPT_MS = 20.0

# Reason of an attempt that was not sent since this host may not send to its cold target now.
COLD = "cold"

# Outcomes of an offer without a complete answer by the deadline: the target was too slow, or the
# caller did not read the answer.
TIMEOUT = "timeout"
CALLER_NOT_READING = "caller not reading"

# Urgency sent to engines for priority 0; their scale is 0 to 9 with 5 as the default.
TOP_URGENCY = 3


class Forwarder:
    """Forwards requests from this host."""

    def __init__(
        self,
        gate: Gate,
        selector: TargetSelector,
        health: HealthTracker,
        connections: Connections,
        stages: Stages,
        wire: Wire,
        budget: Callable[[str], RetryBudget],
        crashes: CrashMonitor,
        signals: TargetSignals,
    ) -> None:
        self.gate = gate
        self.follower = gate.follower
        self.registry = self.follower.registry
        self.selector = selector
        self.health = health
        self.connections = connections
        self.stages = stages
        self.wire = wire
        self.budget = budget
        self.crashes = crashes
        self.signals = signals

    def now(self) -> float:
        """Returns the suspend-aware time in milliseconds."""
        return self.follower.now()

    # Requests.

    async def forward(self, run: Run) -> None:
        """Serves one request; raises ServiceError if no target's answer can be delivered."""
        self.gate.admit(run)
        assert run.route is not None
        self.budget(run.service).record_request(self.now())
        try:
            self.crashes.admit(run)
            await self.try_targets(run)
        except ServiceError:
            if run.failed_answer is None or run.response_started:
                raise
            answer, body = run.failed_answer
            await self.deliver(run, answer, body)
        finally:
            self.drop_next_target(run)
            self.release_inputs(run)
            self.crashes.forget(run)

    async def try_targets(self, run: Run) -> None:
        """Offers the request to targets until its caller has a final answer."""
        assert run.route is not None
        while True:
            if run.next_target is None and self.needs_stages(run):
                if not self.has_targets_left(run):
                    raise self.no_target_error(run)
                await self.run_stages(run)
            target = self.choose_target(run)
            if target is None:
                raise self.no_target_error(run)
            if await self.attempt(run, target):
                return

    def needs_stages(self, run: Run) -> bool:
        """Returns whether stages must run before the request can be sent."""
        assert run.route is not None
        return bool(run.route.stages) and run.work is None and any(run.request.pieces or ())

    def has_targets_left(self, run: Run) -> bool:
        """Returns whether the request can be offered again, maybe to a target that it left."""
        return bool(self.selector.candidates(run) or self.silent_targets(run))

    def silent_targets(self, run: Run) -> list[Target]:
        """Returns the targets that a request left while silent and that may get it again."""
        now = self.now()
        current = [target for target in run.silent_targets if self.registry.is_current(target)]
        unblocked = self.registry.push_backs.unblocked(current, now)
        return list(self.registry.warmups.open_targets(unblocked, now))

    def choose_target(self, run: Run) -> Target | None:
        """Returns the target of the next attempt, or None if there is none.

        A target that was left while silent may be sound, so the request goes back to it if nothing
        else is left.
        """
        if run.next_target is not None:
            return run.next_target.target
        target = self.selector.choose(run) if len(run.offers) < MAX_OFFERS else None
        if target is None:
            run.silent_targets = self.silent_targets(run)
            if run.silent_targets:
                target = run.silent_targets.pop()
        return target

    async def run_stages(self, run: Run) -> None:
        """Runs the stages that precede the request; raises ServiceError if one fails."""
        assert run.route is not None
        self.gate.check_key(run, self.gate.current_catalog())
        self.crashes.check(run, sending=False)
        engine = self.selector.likely_engine(run)
        work = Work(
            run.id,
            run.route.stages,
            run.request.pieces or (),
            run.request.piece_key,
            run.priority,
            run.first_event_by if not run.response_started else run.deadline_at,
            run.aim_at - self.selector.expected_first_event_ms(run, engine),
            engine.zone if engine is not None else None,
            fingerprint=run.fingerprint(),
            workspace=run.workspace.name if run.workspace is not None else "",
        )
        try:
            await self.stages.run(work)
        except StageError as error:
            if error.failure is StageFailure.QUARANTINED:
                raise self.crashes.request_refusal(run) from error
            kind = {
                StageFailure.LATE: ErrorKind.DEADLINE_UNREACHABLE,
                StageFailure.OVERLOADED: ErrorKind.OVERLOADED,
            }.get(error.failure, ErrorKind.NO_TARGETS)
            if error.retry_ms:
                run.retry_ms = error.retry_ms
            raise ServiceError(
                kind,
                f"stage {error.stage}: {error.failure.value}",
                ran=Ran.UNKNOWN if run.possible_executions else Ran.NO,
                stage=str(error.stage),
            ) from error
        run.work = work
        run.stages_done_at = self.now()

    def release_inputs(self, run: Run) -> None:
        """Releases the inputs once the target has fetched them or they are no longer needed."""
        if run.work is not None:
            for stage in run.work.final_stages():
                results = run.work.results.get(stage, [])
                self.stages.release(
                    run.work.coordinator_address, run.work.plans[stage].service, results
                )
            run.work = None

    def no_target_error(self, run: Run) -> ServiceError:
        """Returns the error for a request that has no target left to try."""
        if run.possible_executions:
            return ServiceError(ErrorKind.ANSWER_INCOMPLETE, "no target returned a complete answer")
        targets = self.registry.usable(run.service)
        push_backs = self.registry.push_backs
        now = self.now()
        open_targets = push_backs.open_targets(targets, self.selector.outstanding, now)
        if targets and not open_targets:
            run.retry_ms = push_backs.caller_retry_ms(targets, run.id, now)
            return ServiceError(
                ErrorKind.OVERLOADED, "all targets push back requests of this host; try again later"
            )
        warmups = self.registry.warmups
        if open_targets and not warmups.open_targets(open_targets, now):
            run.retry_ms = warmups.caller_retry_ms(open_targets, run.id, now)
            return ServiceError(
                ErrorKind.OVERLOADED, "all targets of this host are warming up; try again later"
            )
        return ServiceError(
            ErrorKind.NO_TARGETS, "no target available for the request; try again later"
        )

    # Attempts.

    async def attempt(self, run: Run, target: Target) -> bool:
        """Tries the request on one target; returns True if the caller has its final answer."""
        assert run.route is not None
        now = self.now()
        self.gate.check_key(run, self.gate.current_catalog())
        if run.deadline_at - now < MIN_ATTEMPT_MS:
            raise self.deadline_error(run)
        run.tried_targets.add(target.name)
        run.attempt = Attempt(target)
        self.health.begin_probe(target, now)
        mark_prefilled = self.selector.begin_attempt(run, target)
        connection: Connection | None = None
        try:
            share = 1.0 if run.repeatable() else NON_REPEATABLE_IDLE_SHARE
            async with asyncio.timeout(max(0.0, run.deadline_at - now) / 1000):
                if run.next_target is not None:
                    connection, run.next_target = run.next_target.connection, None
                else:
                    connection = await self.connections.open(target.address, now, share=share)
                self.check_sendable(run, target)
                run.attempt.connection = connection
                self.send(run, target, connection)
                return await self.answer(run, target, connection, mark_prefilled)
        except TargetError as error:
            broken_off = connection is not None and connection.ended_by_peer()
            return await self.after_failure(run, target, error, broken_off)
        except TimeoutError:
            outcome = CALLER_NOT_READING if run.waiting_for_caller else TIMEOUT
            run.offers.append(Offer(target.name, outcome))
            if run.repeatable() and not run.waiting_for_caller:
                peers = self.registry.usable(run.service)
                self.health.record_failure(target, peers, LIKELY_FAULT, "timeout", self.now())
            raise self.deadline_error(run) from None
        finally:
            if run.input_release_timer is not None:
                # The next target has not fetched the inputs yet.
                run.input_release_timer.cancel()
            self.selector.add_outstanding(target, -1)
            mark_prefilled()
            if connection is not None and (connection.busy or run.attempt.sent_at is None):
                connection.abort()

    def check_sendable(self, run: Run, target: Target, *, sending: bool = True) -> None:
        """Rechecks the key, the prompt and the target, which may have changed since the choice."""
        self.gate.check_key(run, self.gate.current_catalog())
        self.crashes.check(run, sending=sending)
        if not self.registry.is_current(target):
            raise TargetError("left", sent=False)
        if self.registry.push_backs.is_blocked(target, self.now()):
            raise TargetError("pushed back", sent=False)
        # The last check, as it counts the request as sent.
        warmups = self.registry.warmups
        if not (
            warmups.try_send(target, self.now())
            if sending
            else warmups.open_targets([target], self.now())
        ):
            raise TargetError(COLD, sent=False)

    def send(self, run: Run, target: Target, connection: Connection) -> None:
        """Writes the request."""
        assert run.route is not None
        routing = Routing(
            target=target,
            remaining_ms=run.deadline_at - self.now(),
            workspace=run.workspace.name if run.workspace is not None else None,
            urgency=TOP_URGENCY + run.priority if run.request.prompt is not None else None,
            inputs=run.work.input_handles() if run.work is not None else (),
            last_event_id=run.last_event,
        )
        connection.send(*self.wire.request_call(run.request, routing, run.body))
        assert run.attempt is not None
        run.attempt.sent_at = self.now()
        self.selector.record_sent(run)
        if run.work is not None and self.selector.has_free_slot(target):
            run.input_release_timer = asyncio.get_running_loop().call_later(
                INPUT_FETCH_MS / 1000, self.release_inputs, run
            )

    async def answer(
        self, run: Run, target: Target, connection: Connection, mark_prefilled: Callable[[], None]
    ) -> bool:
        """Reads the target's answer and relays it to the caller; raises TargetError."""
        assert run.route is not None
        watch = relay.SilenceWatch(
            (lambda: self.review_silence(run, target)) if self.may_move(run) else None
        )
        head = await watch.read(connection.read_head, silence.first_event_silence_ms(run.route))
        assert run.attempt is not None
        run.attempt.head_at = self.now()
        answer = self.wire.decode_answer(head.status, head.headers)
        if answer.request_id is not None and answer.request_id != run.request.id:
            raise TargetError("answer to another request", sent=True)
        self.signals.observe(target, answer)
        if head.status == 200 and run.route.repeat is Repeat.STREAM:
            await self.stream(run, target, connection, answer, mark_prefilled, watch)
            return True
        body = await connection.read_body()
        self.return_connection(run, connection, answer)
        return await self.buffered(run, target, answer, body)

    def return_connection(self, run: Run, connection: Connection, answer: AnswerHead) -> None:
        """Pools a connection for other calls, or closes it.

        A faulty target may write an answer once more, as that of the next call. The id tells them
        apart, but not for an answer without one, nor for a refusal, whose request may come again.
        """
        if run.attempt is not None:
            run.attempt.connection = None
        if answer.not_run or answer.request_id is None or answer.leaving:
            connection.abort()
        else:
            self.connections.release_connection(connection, self.now(), answer.idle_s)

    async def buffered(self, run: Run, target: Target, answer: AnswerHead, body: bytes) -> bool:
        """Relays an answer that has been read in full, or returns False for another attempt."""
        now = self.now()
        run.offers.append(Offer(target.name, str(answer.status)))
        if answer.wrong_target:
            self.registry.mark_misdirected(target)
            return self.offer_again(run, ErrorKind.NO_TARGETS)
        if answer.not_run:
            return self.refused_by_target(run, target, answer)
        run.possible_executions += 1
        if answer.status in NOT_EXECUTED_STATUSES and not run.repeatable():
            # Callers read this status as a guarantee that nothing ran, which the target did not
            # give.
            raise ServiceError(
                ErrorKind.ANSWER_INCOMPLETE,
                f"status {answer.status}, but the target may have run the request",
            )
        if answer.status >= 500:
            self.health.record_failure(
                target, self.registry.usable(run.service), LIKELY_FAULT / 4, "5xx", now
            )
            run.failed_answer = (answer, body)
            if self.may_repeat(run):
                return False
        else:
            self.health.record_success(target, now)
            if answer.status < 300:
                self.selector.record_answer(run)
                self.crashes.record_completion(run)
        await self.deliver(run, answer, body)
        return True

    def refused_by_target(self, run: Run, target: Target, answer: AnswerHead) -> bool:
        """Handles an answer by which the target guarantees that the request did not run."""
        self.selector.record_refusal(run)
        if answer.status == 409:
            # The target reports a missing input, so the stages are run again.
            self.release_inputs(run)
            run.tried_targets.discard(target.name)
        if answer.retry_after_s is not None and answer.push_back_s is None:
            run.retry_ms = max(DEFAULT_RETRY_MS, answer.retry_after_s * 1000)
        return self.offer_again(run, ErrorKind.OVERLOADED)

    def offer_again(self, run: Run, kind: ErrorKind) -> bool:
        """Permits another attempt for a request that did not run, or raises ServiceError.

        Returns False, as `attempt` does if the request has no final answer yet.
        """
        if not self.has_targets_left(run):
            raise self.no_target_error(run)
        hosts = len(self.follower.members.alive(self.now()))
        if len(run.offers) < MAX_OFFERS and self.budget(run.service).try_spend(self.now(), hosts):
            return False
        if run.possible_executions:
            raise self.no_target_error(run)
        raise ServiceError(kind, "targets at capacity; try again later")

    def may_repeat(self, run: Run) -> bool:
        """Returns whether the request may run on another target, and if so spends a retry."""
        assert run.route is not None
        if not run.repeatable() or run.possible_executions >= run.route.max_targets:
            return False
        if not self.has_targets_left(run):
            return False
        if run.deadline_at - self.now() < MIN_ATTEMPT_MS:
            return False
        hosts = len(self.follower.members.alive(self.now()))
        return self.budget(run.service).try_spend(self.now(), hosts)

    async def deliver(self, run: Run, answer: AnswerHead, body: bytes) -> None:
        """Sends a complete answer; raises TargetError if the head of one was already sent."""
        if run.response_started:
            raise TargetError(f"status {answer.status} in a resumed stream", sent=True)
        run.response_started = True
        await run.response_writer.send_response(answer.status, answer.headers, body)

    def record_attempt_failure(self, run: Run, target: Target, error: TargetError) -> None:
        """Records an attempt without a complete answer."""
        self.record_failed_offer(run, target, error)
        self.log_broken_attempt(run, error)
        if error.sent:
            run.possible_executions += 1

    def record_failed_offer(self, run: Run, target: Target, error: TargetError) -> None:
        """Records a failed offer, and charges it to the health of the target.

        Silence was charged when it was noticed.
        """
        run.offers.append(Offer(target.name, error.reason))
        if error.reason not in ("left", "pushed back", COLD, relay.SILENT):
            self.signals.observe_failure(target, error)
            peers = self.registry.usable(run.service)
            weight = CERTAIN_FAULT if error.certain else LIKELY_FAULT
            self.health.record_failure(target, peers, weight, error.reason, self.now())

    def log_broken_attempt(self, run: Run, error: TargetError) -> None:
        """Logs and counts how far an attempt had come that ended without a complete answer."""
        attempt = run.attempt
        if attempt is None or attempt.sent_at is None:
            return
        self.follower.metrics.broken_attempts.inc(
            {"service": run.service, "progress": attempt.progress().value}
        )
        logs.event(
            log,
            "attempt_broken",
            request=run.id,
            target=attempt.target.name,
            service=run.service,
            reason=error.reason,
            after_ms=round(self.now() - attempt.sent_at),
            progress=attempt.progress().value,
            events=attempt.events,
            parts=shared_parts_label(run.request),
            fingerprint=f"{run.fingerprint():x}",
        )

    async def after_failure(
        self, run: Run, target: Target, error: TargetError, broken_off: bool
    ) -> bool:
        """Returns False if a failed attempt may be retried; raises ServiceError otherwise.

        `broken_off` is True if the target closed the connection.
        """
        if run.attempt is not None and run.attempt.cancelled:
            run.offers.append(Offer(target.name, "cancelled"))
            run.possible_executions += 1
            raise self.crashes.refusal(run, Verdict.REFUSED) from error
        if error.reason == COLD:
            # Another request was sent there first. This one was not offered to the target.
            run.tried_targets.discard(target.name)
            return False
        self.record_attempt_failure(run, target, error)
        if broken_off and await self.crashes.record_loss(run):
            raise ServiceError(
                ErrorKind.ANSWER_INCOMPLETE, "the target crashed, maybe on the request"
            ) from error
        if error.reason == relay.SILENT:
            run.silent_targets.append(target)
        if run.next_target is not None or not error.sent or self.may_repeat(run):
            return False
        raise ServiceError(
            ErrorKind.ANSWER_INCOMPLETE, f"the target returned no complete answer: {error.reason}"
        ) from error

    # Silent targets.

    def may_move(self, run: Run) -> bool:
        """Returns whether a request may leave a target that has begun to answer it."""
        return run.route is not None and run.route.repeat is Repeat.STREAM and run.repeatable()

    async def review_silence(self, run: Run, target: Target) -> Decision:
        """Decides whether a request leaves its silent target, and prepares the move.

        Nothing is given up for a move that can't be made: stages are run, the other target is
        connected to and the retry is spent while the silent target may still go on.
        """
        attempt = run.attempt
        assert attempt is not None
        self.drop_next_target(run)
        if attempt.silence is None:
            peers = self.registry.usable(run.service)
            self.health.record_failure(target, peers, LIKELY_FAULT, relay.SILENT, self.now())
        decision = silence.decide_move(self.move_options(run))
        if decision is Decision.MOVE:
            run.next_target = await self.prepare_move(run)
            if run.next_target is None:
                decision = Decision.STAY_UNPREPARED
        if decision is not attempt.silence:
            attempt.silence = decision
            self.follower.metrics.silent_targets.inc(
                {"service": run.service, "decision": decision.value}
            )
            logs.event(
                log,
                "target_silent",
                request=run.id,
                target=target.name,
                service=run.service,
                decision=decision.value,
                events=attempt.events,
                left_ms=round(run.deadline_at - self.now()),
            )
        return decision

    def move_options(self, run: Run) -> MoveOptions:
        """Returns what a request could use for a move away from its silent target now."""
        assert run.route is not None
        now = self.now()
        hosts = len(self.follower.members.alive(now))
        expected_ms = self.selector.expected_first_event_ms(run, self.selector.likely_engine(run))
        return MoveOptions(
            targets_left=run.route.max_targets - run.possible_executions - 1,
            offers_left=MAX_OFFERS - len(run.offers) - 1,
            candidates=len(self.selector.candidates(run)),
            retries_left=self.budget(run.service).remaining(now, hosts),
            left_ms=run.deadline_at - now,
            needed_ms=max(MIN_ATTEMPT_MS, expected_ms),
            permitted=self.is_permitted(run),
        )

    def is_permitted(self, run: Run) -> bool:
        """Returns whether the key and the prompt of a request would be accepted now."""
        try:
            self.gate.check_key(run, self.gate.current_catalog())
            self.crashes.check(run, sending=False)
        except ServiceError:
            return False
        return True

    async def prepare_move(self, run: Run) -> NextTarget | None:
        """Returns another target that is ready for the request, or None; spends the retry."""
        try:
            if self.needs_stages(run):
                await self.run_stages(run)
            target = self.selector.choose(run)
            return None if target is None else await self.prepare_target(run, target)
        except ServiceError as error:
            logs.event(log, "move_not_prepared", request=run.id, reason=str(error))
            return None

    async def prepare_target(self, run: Run, target: Target) -> NextTarget | None:
        """Connects to a target and spends the retry; returns None if either fails.

        The target stays a candidate until it is ready or has failed: the silent one may break off
        meanwhile, and the request then goes on without this move.
        """
        connection: Connection | None = None
        ready = False
        try:
            connection = await self.connections.open(target.address, self.now())
            self.check_sendable(run, target, sending=False)
            hosts = len(self.follower.members.alive(self.now()))
            ready = self.budget(run.service).try_spend(self.now(), hosts)
        except TargetError as error:
            run.tried_targets.add(target.name)
            logs.event(log, "move_not_prepared", request=run.id, reason=error.reason)
            self.record_failed_offer(run, target, error)
        finally:
            if connection is not None and not ready:
                connection.abort()
        if connection is None or not ready:
            return None
        run.tried_targets.add(target.name)
        return NextTarget(target, connection)

    def drop_next_target(self, run: Run) -> None:
        """Gives up a prepared move, as the silent target went on or the request has ended."""
        if run.next_target is not None:
            run.next_target.connection.abort()
            run.tried_targets.discard(run.next_target.target.name)
            run.next_target = None

    def deadline_error(self, run: Run) -> ServiceError:
        """Returns the error for a request that has passed its deadline."""
        if run.possible_executions or any(
            offer.outcome in (TIMEOUT, CALLER_NOT_READING) for offer in run.offers
        ):
            return ServiceError(
                ErrorKind.DEADLINE_EXCEEDED, "no answer before the deadline", ran=Ran.UNKNOWN
            )
        return ServiceError(
            ErrorKind.DEADLINE_UNREACHABLE, "too little time left before the deadline"
        )

    async def stream(
        self,
        run: Run,
        target: Target,
        connection: Connection,
        answer: AnswerHead,
        mark_prefilled: Callable[[], None],
        watch: relay.SilenceWatch,
    ) -> None:
        """Relays a stream to its end; raises TargetError if it breaks off."""

        def on_events() -> None:
            if run.events == 0:
                self.selector.record_first_event(run)
            if run.attempt is not None:
                run.attempt.silence = None
            self.drop_next_target(run)
            # The engine has processed the prompt and therefore fetched the inputs.
            mark_prefilled()
            self.release_inputs(run)
            self.crashes.record_events(run)

        await relay.relay_events(run, connection, answer, self.now, on_events, watch)
        self.return_connection(run, connection, answer)
        self.health.record_success(target, self.now())
        self.crashes.record_completion(run)
        run.offers.append(Offer(target.name, "200"))
        if not run.response_started:
            run.response_started = True
            await run.response_writer.send_response(answer.status, answer.headers, b"")
        else:
            await run.response_writer.finish_stream()
