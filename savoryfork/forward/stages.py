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
PING_INTERVAL_MS = 250.0
PING_TIMEOUT_MS = 500.0

COORDINATOR_DUTY = "stages"

# Coordinators that are tried for one request: the first and those that come after it.
MAX_COORDINATORS = 3

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
        self.pending_frees: dict[tuple[str, str], list[StageResult]] = {}

    def now(self) -> float:
        """The suspend-aware time in milliseconds."""
        return self.follower.now()

    async def run(self, work: Work) -> None:
        """Has all stages done by the coordinator, or by the next one if that is silent.

        The results of the last stages are put into `work`. Raises StageError.
        """
        for _ in range(MAX_COORDINATORS):
            now = self.now()
            remaining = work.deadline_at - now
            if remaining <= 0:
                break
            cell, coordinator_address = self.coordinator_for(work.request_id, now)
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
            if coordinator_address == self.follower.members.local.address:
                reply = await self.coordinator.handle(request)
            else:
                try:
                    reply = await self.call_watched(
                        coordinator_address, request, remaining + REPLY_MARGIN_MS
                    )
                except PeerUnavailable as error:
                    self.follower.record_peer_result(coordinator_address, False, str(error))
                    logs.event(
                        log,
                        "coordinator_silent",
                        logging.WARNING,
                        request=work.request_id,
                        owner=coordinator_address,
                    )
                    continue
            if reply.failure is not None:
                raise StageError(StageFailure(reply.failure), reply.stage, reply.retry_ms)
            work.results = reply.results
            work.coordinator_address = coordinator_address
            return
        raise StageError(StageFailure.LATE, -1, 0.0)

    def coordinator_for(self, request_id: str, now: float) -> tuple[Cell, str]:
        """The cell that does the stages of a request, and the host that gathers its work."""
        members = self.follower.members
        cell = cells.cell_of(request_id, cells.cell_count(len(members.alive(now))))
        return cell, members.shared_owners(COORDINATOR_DUTY, cell.cells, now)[cell.number]

    # Calls to owners.

    async def call_watched(
        self, coordinator_address: str, request: WorkRequest, timeout_ms: float
    ) -> WorkReply:
        """A call that ends with PeerUnavailable soon after its host falls silent."""
        task = asyncio.create_task(
            self.peers.call(coordinator_address, "RunStages", request, timeout_ms)
        )
        calls = self.calls.setdefault(coordinator_address, set())
        calls.add(task)
        if coordinator_address not in self.watchers:
            self.watchers[coordinator_address] = asyncio.create_task(
                self.watch(coordinator_address)
            )
        try:
            await asyncio.wait([task])
            if task.cancelled():
                raise PeerUnavailable(f"{coordinator_address}: silent")
            return task.result()
        finally:
            calls.discard(task)
            task.cancel()

    async def watch(self, coordinator_address: str) -> None:
        """Cancels the calls to a host when it stops answering; ends when there are none."""
        try:
            while self.calls.get(coordinator_address):
                await asyncio.sleep(PING_INTERVAL_MS / 1000)
                if not self.calls.get(coordinator_address):
                    return
                try:
                    await self.follower.ping(coordinator_address, PING_TIMEOUT_MS)
                except PeerUnavailable:
                    for task in list(self.calls.get(coordinator_address, ())):
                        task.cancel()
        finally:
            self.watchers.pop(coordinator_address, None)

    # Giving results up.

    def release(self, coordinator_address: str, service: str, results: list[StageResult]) -> None:
        """Lets the results go soon, together with those of other requests.

        `owner` is the host that had them made: it counts the room that they take.
        """
        if not results:
            return
        key = (coordinator_address, service)
        if key not in self.pending_frees:
            asyncio.get_running_loop().call_later(
                FREE_DELAY_MS / 1000, self.flush, coordinator_address, service
            )
        self.pending_frees.setdefault(key, []).extend(results)

    def flush(self, coordinator_address: str, service: str) -> None:
        """Tells the owner of the pool which results are no longer needed."""
        results = self.pending_frees.pop((coordinator_address, service), [])
        if coordinator_address == self.follower.members.local.address:
            self.pools.free(service, results)
        else:
            self.background.spawn(
                self.send_free(coordinator_address, FreeRequest(service, results))
            )

    async def send_free(self, coordinator_address: str, request: FreeRequest) -> None:
        """Passes results to be given up to the pool's owner, or gives them up from here."""
        try:
            await self.peers.call(coordinator_address, "Free", request, FREE_TIMEOUT_MS)
        except PeerUnavailable as error:
            logs.event(log, "free_not_passed_on", owner=coordinator_address, error=str(error))
            self.pools.free(request.service, request.results)
