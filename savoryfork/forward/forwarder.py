"""Brings one request to a target and its answer back, at most once where it must be."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from savoryfork.errors import ErrorKind, Ran, ServiceError
from savoryfork.forward import catalog as catalogs
from savoryfork.forward import placement
from savoryfork.forward.budget import RepeatBudget
from savoryfork.forward.connection import Connection, Connections, TargetError
from savoryfork.forward.events import EventSplitter, EventTooLarge, number
from savoryfork.forward.follower import Follower
from savoryfork.forward.health import CERTAIN, LIKELY, HealthTracker
from savoryfork.forward.model import (
    AnswerHead,
    Catalog,
    Repeat,
    Routing,
    Target,
)
from savoryfork.forward.placement import EngineLoad
from savoryfork.forward.run import PROMISES, RETRY_MS, Offered, Run, patience_ms
from savoryfork.forward.stages import Stages
from savoryfork.forward.wire import Wire
from savoryfork.forward.work import StageError, StageFailure, Work

log = logging.getLogger(__name__)

T = TypeVar("T")

# Part of the time for the revocation of keys after which this host no longer trusts what it
# knows: a request is on its way to the target for some hundred ms after the check.
TRUSTED_SHARE = 0.86

# Targets that one request is offered to in all, with those that refused it.
MAX_OFFERS = 4

# A stream that may be resumed is moved when its target is silent for this long: beyond what a
# busy engine needs, within the patience of callers (2 s, or four times the aim).
FIRST_EVENT_AIMS = 1.5
FIRST_EVENT_MARGIN_MS = 500.0
GAP_FACTOR = 5.0
MIN_GAP_MS = 900.0

# A request that can't be repeated uses a kept connection only within this part of its idle time.
FRESH_SHARE = 0.5

# Time kept of the caller's for the way back.
RETURN_MS = 5.0

# An engine with a free slot fetches the inputs of a request as it arrives. Results of some stages
# have room for seven requests, so they are given up without waiting for the first event.
INPUT_FETCH_MS = 40.0

# Part of an engine's slots up to which it is taken to have a free one; counts are some hundred
# milliseconds old.
SLOT_SHARE = 0.75

# The least remaining time for which an attempt is worth starting.
LEAST_ATTEMPT_MS = 20.0

# Urgency of priority 0 at engines, whose ranks go from 0 to 9 with 5 as the default.
TOP_URGENCY = 3


class Forwarder:
    """Forwards requests from this host."""

    def __init__(
        self,
        follower: Follower,
        health: HealthTracker,
        connections: Connections,
        stages: Stages,
        wire: Wire,
        zone: str,
        revocation_ms: float,
        budget: Callable[[str], RepeatBudget],
    ) -> None:
        self.follower = follower
        self.registry = follower.registry
        self.health = health
        self.connections = connections
        self.stages = stages
        self.wire = wire
        self.zone = zone
        self.trusted_ms = 0.0
        self.set_revocation(revocation_ms)
        self.budget = budget
        self.running: dict[str, int] = {}
        self.unread: dict[str, float] = {}

    def now(self) -> float:
        """The suspend-aware time in milliseconds."""
        return self.follower.now()

    def set_revocation(self, revocation_ms: float) -> None:
        """Sets the time in which a revoked key must stop working."""
        self.trusted_ms = TRUSTED_SHARE * revocation_ms

    def own_loads(self) -> dict[str, tuple[float, float]]:
        """This host's outstanding work on engines."""
        return {
            name: (self.unread.get(name, 0.0), float(count))
            for name, count in self.running.items()
            if count
        }

    # Admission.

    def current_catalog(self) -> Catalog:
        """The configuration in effect; raises NOT_READY before the first one."""
        catalog = self.follower.catalog
        if catalog is None:
            raise ServiceError(ErrorKind.NOT_READY, "no configuration yet; try another host")
        return catalog

    def accept(self, run: Run) -> None:
        """Finds the route and the workspace; raises ServiceError for what is not to be served."""
        catalog = self.current_catalog()
        run.version = catalog.version
        run.config_age_ms = self.follower.config_age_ms()
        request = run.request
        path = request.path.decode("latin-1")
        route = catalogs.find_route(catalog, request.host, path)
        if route is None:
            self.check_trusted(run)
            raise ServiceError(ErrorKind.UNKNOWN_PIPELINE, "no route for this host and path")
        run.route = route
        allowed_ms = request.allowed_ms if request.allowed_ms is not None else route.timeout_ms
        allowed_ms = min(allowed_ms, route.timeout_ms)
        run.deadline_at = run.received_at + allowed_ms - RETURN_MS
        run.aim_at = run.received_at + route.aim_ms
        run.first_event_by = run.deadline_at
        if route.repeat is Repeat.STREAM:
            run.first_event_by = min(run.deadline_at, run.received_at + patience_ms(route))
        run.priority = route.priority
        self.check_key(run, catalog)
        if not request.id:
            raise ServiceError(ErrorKind.MALFORMED_REQUEST, "the request has no id")
        run.service = catalogs.choose_service(route, run.id)

    def check_trusted(self, run: Run) -> None:
        """Raises if this host's configuration may be out of date."""
        run.config_age_ms = self.follower.config_age_ms()
        if run.config_age_ms > self.trusted_ms:
            raise ServiceError(
                ErrorKind.STALE_CONFIGURATION,
                "this host has lost touch with the configuration; try another host",
            )

    def check_key(self, run: Run, catalog: Catalog) -> None:
        """Finds the workspace of the request's key; raises if it may not be used.

        Called again just before each sending: the key may have been taken away while the request
        waited, or the host may have been frozen.
        """
        if not catalog.keyed:
            return
        run.workspace = catalogs.workspace_of(catalog, run.request.key)
        if run.route is not None and run.route.anonymous:
            return
        self.check_trusted(run)
        if run.workspace is None:
            raise ServiceError(ErrorKind.UNAUTHORIZED, "the key is not known")
        if run.workspace.priority is not None:
            run.priority = run.workspace.priority

    # One request.

    async def forward(self, run: Run) -> None:
        """Serves one request; raises ServiceError if it gets no answer of a target."""
        self.accept(run)
        assert run.route is not None
        self.budget(run.service).note_request(self.now())
        try:
            await self.try_targets(run)
        except ServiceError:
            if run.failed_answer is None or run.begun:
                raise
            answer, body = run.failed_answer
            await self.deliver(run, answer, body)
        finally:
            self.release_inputs(run)

    async def try_targets(self, run: Run) -> None:
        """Offers the request to targets until its caller has a final answer."""
        assert run.route is not None
        while True:
            if run.route.stages and run.work is None and any(run.request.pieces):
                await self.run_stages(run)
            if await self.attempt(run, self.choose(run)):
                return

    async def run_stages(self, run: Run) -> None:
        """Does the stages before the request; raises ServiceError, the request being unsent."""
        assert run.route is not None
        work = Work(
            run.id,
            run.route.stages,
            run.request.pieces,
            run.request.piece_key,
            run.priority,
            run.first_event_by if not run.begun else run.deadline_at,
            run.aim_at - placement.engine_ms(run.request.prompt),
            self.wanted_zone(run),
        )
        try:
            await self.stages.run(work)
        except StageError as error:
            kind = {
                StageFailure.LATE: ErrorKind.DEADLINE_UNREACHABLE,
                StageFailure.OVERLOADED: ErrorKind.OVERLOADED,
            }.get(error.failure, ErrorKind.NO_TARGETS)
            if error.retry_ms:
                run.retry_ms = error.retry_ms
            raise ServiceError(
                kind,
                f"stage {error.stage}: {error.failure.value}",
                ran=Ran.UNKNOWN if run.may_have_run else Ran.NO,
                stage=str(error.stage),
            ) from error
        run.work = work
        run.staged_at = self.now()

    def wanted_zone(self, run: Run) -> str | None:
        """The zone of the engine that the request is likely to get."""
        targets = self.candidates(run)
        if not targets or run.request.prompt is None:
            return None
        costs = self.engine_costs(run, targets, {})
        best = min(targets, key=lambda target: costs[target.name])
        return best.zone

    def release_inputs(self, run: Run) -> None:
        """Gives up the inputs once the target has them, or once they are of no more use."""
        if run.work is not None:
            for stage in run.work.last():
                results = run.work.results.get(stage, [])
                self.stages.release(run.work.made_by, run.work.plans[stage].service, results)
            run.work = None

    # Choosing.

    def candidates(self, run: Run) -> list[Target]:
        """The targets that the request may be offered to."""
        usable = [t for t in self.registry.usable(run.service) if t.name not in run.tried]
        return self.health.usable(usable, self.now()) if usable else []

    def engine_costs(
        self, run: Run, targets: Sequence[Target], input_bytes: dict[str, float]
    ) -> dict[str, float]:
        """What a generation would cost on each engine."""
        loads = {}
        for target in targets:
            shared = self.follower.shared_loads.get(target.name, placement.NO_LOAD)
            loads[target.name] = EngineLoad(
                shared.prompt_tokens + self.unread.get(target.name, 0.0),
                shared.requests + self.running.get(target.name, 0),
            )
        return placement.engine_costs(targets, run.request.prompt, loads, input_bytes, self.zone)

    def choose(self, run: Run) -> Target:
        """The target for the next attempt; raises ServiceError if there is none."""
        targets = self.candidates(run)
        if not targets or len(run.offers) >= MAX_OFFERS:
            raise self.no_target(run)
        if run.request.prompt is not None:
            costs = self.engine_costs(run, targets, self.input_bytes(run))
        else:
            costs = placement.plain_costs(targets, self.running, self.zone, run.id)
        return min(targets, key=lambda target: costs[target.name])

    def input_bytes(self, run: Run) -> dict[str, float]:
        """Bytes of the inputs by the zone of the target that keeps them."""
        totals: dict[str, float] = {}
        if run.work is not None:
            for stage in run.work.last():
                for result in run.work.results.get(stage, []):
                    size = run.work.plans[stage].result_bytes
                    totals[result.zone] = totals.get(result.zone, 0.0) + size
        return totals

    def no_target(self, run: Run) -> ServiceError:
        """The error for a request that no target is left for."""
        if run.may_have_run:
            return ServiceError(ErrorKind.ANSWER_INCOMPLETE, "the targets gave no whole answer")
        return ServiceError(
            ErrorKind.NO_TARGETS, "no target takes the request now; try again later"
        )

    # Attempts.

    async def attempt(self, run: Run, target: Target) -> bool:
        """Offers the request to one target; True if the caller has its final answer."""
        assert run.route is not None
        now = self.now()
        if run.workspace is not None or not run.route.anonymous:
            self.check_key(run, self.current_catalog())
        if run.deadline_at - now < LEAST_ATTEMPT_MS:
            raise self.too_late(run)
        run.tried.add(target.name)
        self.health.begin_probe(target, now)
        self.hold(run, target, 1)
        unread = self.add_unread(run, target)
        connection: Connection | None = None
        try:
            share = 1.0 if run.repeatable() else FRESH_SHARE
            async with asyncio.timeout(max(0.0, run.deadline_at - now) / 1000):
                connection = await self.connections.open(target.address, now, share=share)
                self.check_sendable(run, target)
                self.send(run, target, connection)
                return await self.answer(run, target, connection, unread)
        except TargetError as error:
            self.note_failure(run, target, error)
            return await self.after_failure(run, error)
        except TimeoutError:
            run.offers.append(Offered(target.name, "timeout"))
            if run.repeatable():
                peers = self.registry.usable(run.service)
                self.health.record_failure(target, peers, LIKELY, "timeout", self.now())
            raise self.too_late(run) from None
        finally:
            if run.fetching is not None:
                # The next target has not fetched the inputs yet.
                run.fetching.cancel()
            self.hold(run, target, -1)
            unread()
            if connection is not None and connection.busy:
                connection.abort()

    def check_sendable(self, run: Run, target: Target) -> None:
        """Checks once more what may have changed while the connection was being made."""
        self.check_key(run, self.current_catalog())
        if not self.registry.current(target):
            raise TargetError("left", sent=False)

    def send(self, run: Run, target: Target, connection: Connection) -> None:
        """Writes the request."""
        assert run.route is not None
        routing = Routing(
            target=target,
            remaining_ms=run.deadline_at - self.now(),
            workspace=run.workspace.name if run.workspace is not None else None,
            urgency=TOP_URGENCY + run.priority if run.request.prompt is not None else None,
            inputs=run.work.inputs() if run.work is not None else (),
            last_event_id=run.last_event,
        )
        connection.send(*self.wire.request_call(run.request, routing, run.body))
        if run.work is not None and self.has_slot(target):
            run.fetching = asyncio.get_running_loop().call_later(
                INPUT_FETCH_MS / 1000, self.release_inputs, run
            )

    def has_slot(self, target: Target) -> bool:
        """Whether an engine is taken to have a free slot."""
        shared = self.follower.shared_loads.get(target.name, placement.NO_LOAD)
        return shared.requests + self.running.get(target.name, 0) < SLOT_SHARE * target.slots

    def hold(self, run: Run, target: Target, change: int) -> None:
        """Counts the requests outstanding at a target."""
        count = self.running.get(target.name, 0) + change
        if count:
            self.running[target.name] = count
        else:
            self.running.pop(target.name, None)

    def add_unread(self, run: Run, target: Target) -> Callable[[], None]:
        """Counts the prompt as unread until the returned function is called."""
        prompt = run.request.prompt
        if prompt is None:
            return lambda: None
        tokens = placement.unread_tokens(prompt, at_home=True)
        self.unread[target.name] = self.unread.get(target.name, 0.0) + tokens
        pending = [tokens]

        def read() -> None:
            if pending:
                left = self.unread.get(target.name, 0.0) - pending.pop()
                if left > 0:
                    self.unread[target.name] = left
                else:
                    self.unread.pop(target.name, None)

        return read

    async def answer(
        self, run: Run, target: Target, connection: Connection, unread: Callable[[], None]
    ) -> bool:
        """Reads the target's answer and passes it on; raises TargetError."""
        assert run.route is not None
        head_ms = self.first_event_limit(run)
        head = await self.within(connection.head, head_ms)
        answer = self.wire.decode_answer(head.status, head.headers)
        if answer.request_id is not None and answer.request_id != run.request.id:
            raise TargetError("foreign answer", sent=True)
        if head.status == 200 and run.route.repeat is Repeat.STREAM:
            await self.stream(run, target, connection, answer, unread)
            return True
        body = await connection.body()
        self.connections.give_back(connection, self.now(), answer.idle_s)
        return await self.buffered(run, target, answer, body)

    async def buffered(self, run: Run, target: Target, answer: AnswerHead, body: bytes) -> bool:
        """Passes on an answer that has been read, or decides for another attempt."""
        now = self.now()
        run.offers.append(Offered(target.name, str(answer.status)))
        if answer.wrong_target:
            self.registry.note_misdirected(target)
            return self.offer_again(run, ErrorKind.NO_TARGETS)
        if answer.not_run:
            return self.refused_by_target(run, target, answer)
        run.may_have_run += 1
        if answer.status in PROMISES and not run.repeatable():
            # A caller would take it as a promise that nothing ran, which the target did not give.
            raise ServiceError(
                ErrorKind.ANSWER_INCOMPLETE,
                f"status {answer.status} without a promise",
            )
        if answer.status >= 500:
            self.health.record_failure(
                target, self.registry.usable(run.service), LIKELY / 4, "5xx", now
            )
            run.failed_answer = (answer, body)
            if self.may_repeat(run):
                return False
        else:
            self.health.record_success(target, now)
        await self.deliver(run, answer, body)
        return True

    def refused_by_target(self, run: Run, target: Target, answer: AnswerHead) -> bool:
        """Handles an answer that says that the request did not run."""
        if answer.status == 409:
            # An input is gone: the stages are done again.
            self.release_inputs(run)
            run.tried.discard(target.name)
        if answer.retry_after_s is not None:
            run.retry_ms = max(RETRY_MS, answer.retry_after_s * 1000)
        return self.offer_again(run, ErrorKind.OVERLOADED)

    def offer_again(self, run: Run, kind: ErrorKind) -> bool:
        """Allows another offer of a request that did not run, or raises ServiceError.

        Returns False, as `attempt` does when the request goes on.
        """
        hosts = len(self.follower.members.alive(self.now()))
        if len(run.offers) < MAX_OFFERS and self.budget(run.service).take(self.now(), hosts):
            return False
        if run.may_have_run:
            raise self.no_target(run)
        raise ServiceError(kind, "the targets are full; try again later")

    def may_repeat(self, run: Run) -> bool:
        """Whether the request may run on one more target."""
        assert run.route is not None
        if not run.repeatable() or run.may_have_run >= run.route.max_targets:
            return False
        if not self.candidates(run) or run.deadline_at - self.now() < LEAST_ATTEMPT_MS:
            return False
        hosts = len(self.follower.members.alive(self.now()))
        return self.budget(run.service).take(self.now(), hosts)

    async def deliver(self, run: Run, answer: AnswerHead, body: bytes) -> None:
        """Gives the caller a whole answer, unless it already has the head of another."""
        if run.begun:
            raise TargetError(f"status {answer.status} in a resumed stream", sent=True)
        run.begun = True
        await run.delivery.whole(answer.status, answer.headers, body)

    def note_failure(self, run: Run, target: Target, error: TargetError) -> None:
        """Notes an attempt without a whole answer."""
        run.offers.append(Offered(target.name, error.reason))
        if error.reason != "left":
            peers = self.registry.usable(run.service)
            weight = LIKELY if error.sent else CERTAIN
            self.health.record_failure(target, peers, weight, error.reason, self.now())
        if error.sent:
            run.may_have_run += 1

    async def after_failure(self, run: Run, error: TargetError) -> bool:
        """Decides what follows a failed attempt; True if the caller has its final answer."""
        if not error.sent or self.may_repeat(run):
            return False
        raise ServiceError(
            ErrorKind.ANSWER_INCOMPLETE, f"the target gave no whole answer: {error.reason}"
        )

    def too_late(self, run: Run) -> ServiceError:
        """The error for a request whose time is over."""
        if run.may_have_run or any(offer.outcome == "timeout" for offer in run.offers):
            return ServiceError(ErrorKind.DEADLINE_EXCEEDED, "no answer in time", ran=Ran.UNKNOWN)
        return ServiceError(ErrorKind.DEADLINE_UNREACHABLE, "no time is left to run it")

    # Streams.

    def first_event_limit(self, run: Run) -> float | None:
        """How long a target may be silent before its first event, if the request can move."""
        if run.route is None or run.route.repeat is not Repeat.STREAM or not run.repeatable():
            return None
        return FIRST_EVENT_AIMS * run.route.aim_ms + FIRST_EVENT_MARGIN_MS

    async def within(self, step: Callable[[], Awaitable[T]], limit_ms: float | None) -> T:
        """Awaits one step of an answer; raises TargetError if it takes longer than the limit."""
        if limit_ms is None:
            return await step()
        try:
            async with asyncio.timeout(limit_ms / 1000) as scope:
                return await step()
        except TimeoutError:
            if scope.expired():
                raise TargetError("silent", sent=True) from None
            raise

    async def stream(
        self,
        run: Run,
        target: Target,
        connection: Connection,
        answer: AnswerHead,
        unread: Callable[[], None],
    ) -> None:
        """Passes on whole events as they arrive; raises TargetError if the stream breaks off."""
        assert run.route is not None
        splitter = EventSplitter()
        limit = self.first_event_limit(run)
        gap = max(MIN_GAP_MS, GAP_FACTOR * run.route.gap_ms)
        while True:
            data = await self.within(connection.data, limit)
            if data is None:
                break
            try:
                events = splitter.feed(data)
            except EventTooLarge:
                raise TargetError("event too large", sent=True) from None
            if events and run.first_event_at is None:
                run.first_event_at = self.now()
            if events:
                unread()
                self.take_inputs(run)
                if limit is not None:
                    limit = gap
            fresh = [e for e in events if not self.repeated(run, e.id)]
            if fresh:
                if not run.begun:
                    await run.delivery.begin(answer.status, answer.headers)
                    run.begun = True
                await run.delivery.part(b"".join(event.data for event in fresh))
                run.events += len(fresh)
                run.last_event = next(
                    (e.id for e in reversed(fresh) if e.id is not None), run.last_event
                )
        if splitter.rest:
            raise TargetError("ended within an event", sent=True)
        now = self.now()
        self.connections.give_back(connection, now, answer.idle_s)
        self.health.record_success(target, now)
        run.offers.append(Offered(target.name, "200"))
        if not run.begun:
            run.begun = True
            await run.delivery.whole(answer.status, answer.headers, b"")
        else:
            await run.delivery.end()

    def repeated(self, run: Run, event_id: bytes | None) -> bool:
        """Whether a resumed stream gives an event that the caller already has."""
        last, this = number(run.last_event), number(event_id)
        return last is not None and this is not None and this <= last

    def take_inputs(self, run: Run) -> None:
        """Gives up the inputs at the first event: the engine has read them."""
        self.release_inputs(run)
