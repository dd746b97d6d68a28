"""Runs the stages of a request: each through the host that owns the pool of its service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from typing import Any

from savoryfork.forward.follower import Follower
from savoryfork.forward.messages import FreeRequest, StageReply, StageRequest, StageResult
from savoryfork.forward.model import StagePlan
from savoryfork.forward.pools import Pools, StageFailure
from savoryfork.peers import PeerClient, PeerUnavailable
from savoryfork.util import logs

log = logging.getLogger(__name__)

# While work lies at another host, that host is asked this often whether it is there.
WATCH_MS = 250.0
WATCH_TIMEOUT_MS = 500.0

# Owners that are tried for one stage: the first and those that would own the pool after it.
MAX_OWNERS = 3

# Time beyond a stage's own for its answer to arrive.
REPLY_MARGIN_MS = 200.0

FREE_TIMEOUT_MS = 500.0
FREE_DELAY_MS = 10.0


class StageError(Exception):
    """The stages of a request did not give all results; the request itself was not sent."""

    def __init__(self, failure: StageFailure, stage: int, retry_ms: float) -> None:
        super().__init__(failure.value)
        self.failure = failure
        self.stage = stage
        self.retry_ms = retry_ms


class StageWork:
    """One request's stages: what they are, how urgent, and until when."""

    def __init__(
        self,
        request_id: str,
        plans: Sequence[StagePlan],
        pieces: Sequence[int],
        key: str,
        priority: int,
        deadline_at: float,
        aim_at: float,
        zone: str | None,
    ) -> None:
        self.request_id = request_id
        self.plans = plans
        self.pieces = [*pieces, *[0] * len(plans)][: len(plans)]
        self.key = key
        self.priority = priority
        self.deadline_at = deadline_at
        self.aim_at = aim_at
        self.zone = zone
        self.results: dict[int, list[StageResult]] = {}

    def present(self) -> list[int]:
        """The stages that have pieces."""
        return [stage for stage, count in enumerate(self.pieces) if count]

    def before(self, stage: int) -> list[int]:
        """The present stages whose results a stage needs."""
        return [s for s in self.plans[stage].after if s < len(self.pieces) and self.pieces[s]]

    def last(self) -> list[int]:
        """The present stages whose results the target of the request needs."""
        needed = {s for stage in self.present() for s in self.before(stage)}
        return [stage for stage in self.present() if stage not in needed]

    def inputs(self) -> tuple[str, ...]:
        """The handles that the target of the request needs."""
        return tuple(r.handle for stage in self.last() for r in self.results.get(stage, []))


class Stages:
    """Runs stages on behalf of this host's callers."""

    def __init__(self, follower: Follower, pools: Pools, peers: PeerClient) -> None:
        self.follower = follower
        self.pools = pools
        self.peers = peers
        self.calls: dict[str, set[asyncio.Task[Any]]] = {}
        self.watchers: dict[str, asyncio.Task[None]] = {}
        self.unneeded: dict[str, list[StageResult]] = {}

    def now(self) -> float:
        """The suspend-aware time in milliseconds."""
        return self.follower.now()

    async def run(self, work: StageWork) -> None:
        """Runs all stages; the results of the last ones stay in `work`. Raises StageError.

        Results are given up as soon as the stages that use them have ended, and all of them if the
        work fails or its caller leaves.
        """
        tasks: dict[int, asyncio.Task[list[StageResult]]] = {}
        for stage in sorted(work.present()):
            before = [tasks[s] for s in work.before(stage) if s in tasks]
            tasks[stage] = asyncio.create_task(self.run_stage(work, stage, before))
        done = False
        try:
            await asyncio.gather(*tasks.values())
            done = True
        finally:
            for task in tasks.values():
                task.cancel()
            keep = set(work.last()) if done else set()
            for stage, results in work.results.items():
                if stage not in keep:
                    self.give_up(work.plans[stage].service, results)

    async def run_stage(
        self, work: StageWork, stage: int, before: list[asyncio.Task[list[StageResult]]]
    ) -> list[StageResult]:
        """Runs one stage once the stages before it have ended."""
        # Shielded: a stage that is cancelled must not cancel the others that it waits for.
        given = [await asyncio.shield(task) for task in before]
        inputs = tuple(result.handle for results in given for result in results)
        reply = await self.ask(work, stage, inputs)
        if reply.failure is not None:
            raise StageError(StageFailure(reply.failure), stage, reply.retry_ms)
        work.results[stage] = reply.results
        return reply.results

    def rest_ms(self, work: StageWork, stage: int) -> float:
        """Expected time from the end of a stage to the first event, without any waiting."""
        later = [s for s in work.present() if stage in work.before(s)]
        times = [0.0]
        for s in later:
            limits = self.pools.limits(work.plans[s].service)
            if limits is not None:
                pieces = min(work.pieces[s], limits.batch)
                own = limits.call_ms + pieces * limits.piece_ms
                times.append(own + self.rest_ms(work, s))
        return max(times)

    async def ask(self, work: StageWork, stage: int, inputs: tuple[str, ...]) -> StageReply:
        """Has one stage done by the owner of its pool, or by the next one if that is silent."""
        plan = work.plans[stage]
        reply = StageReply([], StageFailure.FAILED.value)
        for _ in range(MAX_OWNERS):
            now = self.now()
            remaining = work.deadline_at - now
            if remaining <= 0:
                return StageReply([], StageFailure.LATE.value)
            request = StageRequest(
                service=plan.service,
                request_id=work.request_id,
                stage=stage,
                pieces=work.pieces[stage],
                key=None if inputs else work.key,
                inputs=inputs,
                priority=work.priority,
                remaining_ms=remaining,
                aim_ms=work.aim_at - now,
                rest_ms=self.rest_ms(work, stage),
                result_bytes=plan.result_bytes,
                zone=work.zone,
            )
            owner = self.owner(plan.service, now)
            if owner == self.follower.members.own.address:
                return await self.pools.run(request)
            try:
                return await self.call_watched(owner, request, remaining + REPLY_MARGIN_MS)
            except PeerUnavailable as error:
                self.follower.note_peer(owner, False, str(error))
                logs.event(
                    log,
                    "stage_owner_silent",
                    logging.WARNING,
                    request=work.request_id,
                    stage=stage,
                    owner=owner,
                )
        return reply

    def owner(self, service: str, now: float) -> str:
        """The host that gathers the work of a service."""
        return self.follower.members.owners("pool-" + service, now)[0]

    # Calls to owners.

    async def call_watched(
        self, owner: str, request: StageRequest, timeout_ms: float
    ) -> StageReply:
        """A call that ends with PeerUnavailable soon after its host falls silent."""
        task = asyncio.create_task(self.peers.call(owner, "RunStage", request, timeout_ms))
        calls = self.calls.setdefault(owner, set())
        calls.add(task)
        if owner not in self.watchers:
            self.watchers[owner] = asyncio.create_task(self.watch(owner))
        try:
            await asyncio.wait([task])
            if task.cancelled():
                raise PeerUnavailable(f"{owner}: silent")
            return task.result()
        finally:
            calls.discard(task)
            task.cancel()

    async def watch(self, owner: str) -> None:
        """Cancels the calls to a host when it stops answering; ends when there are none."""
        try:
            while self.calls.get(owner):
                await asyncio.sleep(WATCH_MS / 1000)
                if not self.calls.get(owner):
                    return
                try:
                    await self.follower.ping(owner, WATCH_TIMEOUT_MS)
                except PeerUnavailable:
                    for task in list(self.calls.get(owner, ())):
                        task.cancel()
        finally:
            self.watchers.pop(owner, None)

    # Giving results up.

    def give_up(self, service: str, results: list[StageResult]) -> None:
        """Lets the results go soon, together with those of other requests."""
        if not results:
            return
        if service not in self.unneeded:
            asyncio.get_running_loop().call_later(FREE_DELAY_MS / 1000, self.flush, service)
        self.unneeded.setdefault(service, []).extend(results)

    def flush(self, service: str) -> None:
        """Tells the owner of the pool which results are no longer needed."""
        results = self.unneeded.pop(service, [])
        owner = self.owner(service, self.now())
        if owner == self.follower.members.own.address:
            self.pools.free(service, results)
        else:
            self.pools.spawn(self.send_free(owner, FreeRequest(service, results)))

    async def send_free(self, owner: str, request: FreeRequest) -> None:
        """Passes results to be given up to the pool's owner, or gives them up from here."""
        try:
            await self.peers.call(owner, "Free", request, FREE_TIMEOUT_MS)
        except PeerUnavailable as error:
            logs.event(log, "free_not_passed_on", owner=owner, error=str(error))
            self.pools.free(request.service, request.results)
