"""Chooses targets for stage calls on one host and keeps the calls that wait for one."""

from __future__ import annotations

import asyncio
import enum
import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from savoryfork.board import Board, TargetView
from savoryfork.errors import ErrorKind, ServiceError
from savoryfork.pipeline import Pipeline, Service
from savoryfork.util.bucket import RatioBudget
from savoryfork.util.timer import Clock

MAX_QUEUE = 1_000


class Work(NamedTuple):
    """One stage call. Times are monotonic milliseconds.

    `priority` is 0 (first) to 9 (last). `prompt_tokens` and `max_tokens` are 0 for calls that are
    not generation. `deadline_ms` is the time by which the call must have ended, `prefix` a digest
    of the prompt's leading part ("" if none), `share` the fair-share weight of the workspace.
    """

    workspace: str
    pipeline: str
    stage: str
    priority: int
    prompt_tokens: int
    max_tokens: int
    deadline_ms: float
    prefix: str
    share: float


class CallResult(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    CONNECT_FAILED = "connect_failed"
    CANCELLED = "cancelled"
    MISMATCHED = "mismatched"


class Slot:
    """The right to make one call to one target, held until `Dispatcher.release`."""

    def __init__(self, target: TargetView, work: Work, started_ms: float) -> None:
        self.target = target
        self.work = work
        self.started_ms = started_ms
        self.released = False


class Waiter:
    """A call that waits for a slot."""

    def __init__(self, service: Service, work: Work, exclude: frozenset[str]) -> None:
        self.service = service
        self.work = work
        self.exclude = exclude
        self.future: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()


class Dispatcher:
    """Applies the decision modules on one host."""

    def __init__(self, board: Board, clock: Clock, rng: random.Random, policy: str) -> None:
        self.board = board
        self.clock = clock
        self.rng = rng
        self.policy = policy
        self.queues: dict[str, list[Waiter]] = {}
        self.outstanding: dict[tuple[str, str], int] = {}
        self.turn = 0
        self.hedges: dict[str, RatioBudget] = {}
        self.retries: dict[str, RatioBudget] = {}

    def admit(
        self, pipeline: Pipeline, services: Mapping[str, Service], work: Sequence[Work]
    ) -> None:
        """Refuses a request that has no targets or would wait in a full queue."""
        for stage in pipeline.stages:
            if not self.board.targets_of(stage.service):
                raise ServiceError(ErrorKind.NO_TARGETS, f"no target of {stage.service}")
            if len(self.queues.get(stage.service, ())) >= MAX_QUEUE:
                raise ServiceError(ErrorKind.OVERLOADED, f"the queue of {stage.service} is full")

    async def acquire(
        self, service: Service, work: Work, exclude: frozenset[str] = frozenset()
    ) -> Slot:
        """Waits for a slot; a waiter that is cancelled gives back whatever it was given."""
        self.hedges.setdefault(service.name, RatioBudget(0.05, 1.0, 20.0)).deposit()
        self.retries.setdefault(service.name, RatioBudget(0.10, 3.0, 40.0)).deposit()
        queue = self.queues.setdefault(service.name, [])
        waiter = Waiter(service, work, exclude)
        queue.append(waiter)
        self.pump(service.name)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            if waiter in queue:
                queue.remove(waiter)
            future = waiter.future
            if future.done() and not future.cancelled() and future.exception() is None:
                self.release(future.result(), CallResult.CANCELLED, 0)
            raise

    def pump(self, name: str) -> None:
        """Gives free slots to waiters, first come first served."""
        now = self.clock.monotonic_ms()
        targets = self.board.targets_of(name)
        for waiter in list(self.queues.get(name, ())):
            if waiter.future.done():
                self.queues[name].remove(waiter)
                continue
            if waiter.work.deadline_ms <= now:
                self.queues[name].remove(waiter)
                waiter.future.set_exception(
                    ServiceError(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed in the queue")
                )
                continue
            allowed = [t for t in targets if t.name not in waiter.exclude]
            if not allowed:
                self.queues[name].remove(waiter)
                waiter.future.set_exception(
                    ServiceError(ErrorKind.NO_TARGETS, f"no target of {name}")
                )
                continue
            for step in range(len(allowed)):
                target = allowed[(self.turn + step) % len(allowed)]
                key = (target.name, target.incarnation)
                if self.outstanding.get(key, 0) < waiter.service.max_inflight:
                    self.turn += step + 1
                    self.outstanding[key] = self.outstanding.get(key, 0) + 1
                    self.queues[name].remove(waiter)
                    waiter.future.set_result(Slot(target, waiter.work, now))
                    break

    def first_token(self, slot: Slot) -> None:
        """Notes that the first token of a generation arrived."""

    def progress(self, slot: Slot, tokens: int) -> None:
        """Notes how many tokens of a generation have arrived so far."""

    def release(self, slot: Slot, result: CallResult, output_tokens: int) -> None:
        """Ends a call; a second release of the same slot does nothing."""
        if slot.released:
            return
        slot.released = True
        key = (slot.target.name, slot.target.incarnation)
        self.outstanding[key] -= 1
        if not self.outstanding[key]:
            del self.outstanding[key]
        self.pump(slot.target.service)

    def hedge_delay_ms(self, service: Service, work: Work) -> float | None:
        """After how long without an answer a second call is worth sending; None for never."""
        return None

    def take_hedge(self, service: Service) -> bool:
        """Spends one hedge of the budget, if there is one."""
        budget = self.hedges.get(service.name)
        return budget is not None and budget.take()

    def take_retry(self, service: Service) -> bool:
        """Spends one retry of the budget, if there is one."""
        budget = self.retries.get(service.name)
        return budget is not None and budget.take()

    def tick(self) -> None:
        """Expires waiters and gives slots of targets that have become available."""
        for name in list(self.queues):
            self.pump(name)
