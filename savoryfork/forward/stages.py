"""Has the stages of a request done by the host that gathers stage work."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from savoryfork.forward import cells
from savoryfork.forward.cells import Cell
from savoryfork.forward.coordinator import Coordinator
from savoryfork.forward.follower import Follower
from savoryfork.forward.messages import FreeRequest, StageResult, WorkReply, WorkRequest
from savoryfork.forward.work import StageError, StageFailure, Work
from savoryfork.peers import PeerClient, PeerUnavailable
from savoryfork.util import logs
from savoryfork.util.background import Background

log = logging.getLogger(__name__)

# While work lies at another host, that host is asked this often whether it is there.
WATCH_MS = 250.0
WATCH_TIMEOUT_MS = 500.0

COORDINATOR_DUTY = "stages"

# Coordinators that are tried for one request: the first and those that come after it.
MAX_OWNERS = 3

# Time beyond a stage's own for its answer to arrive.
REPLY_MARGIN_MS = 200.0

FREE_TIMEOUT_MS = 500.0
FREE_DELAY_MS = 10.0


class Stages:
    """Runs stages on behalf of this host's callers."""

    def __init__(
        self,
        follower: Follower,
        coordinator: Coordinator,
        peers: PeerClient,
        background: Background,
    ) -> None:
        self.follower = follower
        self.coordinator = coordinator
        self.pools = coordinator.pools
        self.peers = peers
        self.background = background
        self.calls: dict[str, set[asyncio.Task[Any]]] = {}
        self.watchers: dict[str, asyncio.Task[None]] = {}
        self.unneeded: dict[tuple[str, str], list[StageResult]] = {}

    def now(self) -> float:
        """The suspend-aware time in milliseconds."""
        return self.follower.now()

    async def run(self, work: Work) -> None:
        """Has all stages done by the coordinator, or by the next one if that is silent.

        The results of the last stages are put into `work`. Raises StageError.
        """
        for _ in range(MAX_OWNERS):
            now = self.now()
            remaining = work.deadline_at - now
            if remaining <= 0:
                break
            cell, owner = self.owner(work.request_id, now)
            request = WorkRequest(
                work.request_id,
                work.plans,
                work.pieces,
                work.key,
                work.priority,
                remaining,
                work.aim_at - now,
                work.zone,
                cell,
            )
            if owner == self.follower.members.local.address:
                reply = await self.coordinator.handle(request)
            else:
                try:
                    reply = await self.call_watched(owner, request, remaining + REPLY_MARGIN_MS)
                except PeerUnavailable as error:
                    self.follower.record_peer_result(owner, False, str(error))
                    logs.event(
                        log,
                        "coordinator_silent",
                        logging.WARNING,
                        request=work.request_id,
                        owner=owner,
                    )
                    continue
            if reply.failure is not None:
                raise StageError(StageFailure(reply.failure), reply.stage, reply.retry_ms)
            work.results = reply.results
            work.made_by = owner
            return
        raise StageError(StageFailure.LATE, -1, 0.0)

    def owner(self, request_id: str, now: float) -> tuple[Cell, str]:
        """The cell that does the stages of a request, and the host that gathers its work."""
        members = self.follower.members
        cell = cells.cell_of(request_id, cells.cell_count(len(members.alive(now))))
        return cell, members.shared_owners(COORDINATOR_DUTY, cell.cells, now)[cell.number]

    # Calls to owners.

    async def call_watched(self, owner: str, request: WorkRequest, timeout_ms: float) -> WorkReply:
        """A call that ends with PeerUnavailable soon after its host falls silent."""
        task = asyncio.create_task(self.peers.call(owner, "RunStages", request, timeout_ms))
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

    def release(self, owner: str, service: str, results: list[StageResult]) -> None:
        """Lets the results go soon, together with those of other requests.

        `owner` is the host that had them made: it counts the room that they take.
        """
        if not results:
            return
        key = (owner, service)
        if key not in self.unneeded:
            asyncio.get_running_loop().call_later(FREE_DELAY_MS / 1000, self.flush, owner, service)
        self.unneeded.setdefault(key, []).extend(results)

    def flush(self, owner: str, service: str) -> None:
        """Tells the owner of the pool which results are no longer needed."""
        results = self.unneeded.pop((owner, service), [])
        if owner == self.follower.members.local.address:
            self.pools.free(service, results)
        else:
            self.background.spawn(self.send_free(owner, FreeRequest(service, results)))

    async def send_free(self, owner: str, request: FreeRequest) -> None:
        """Passes results to be given up to the pool's owner, or gives them up from here."""
        try:
            await self.peers.call(owner, "Free", request, FREE_TIMEOUT_MS)
        except PeerUnavailable as error:
            logs.event(log, "free_not_passed_on", owner=owner, error=str(error))
            self.pools.free(request.service, request.results)
