"""Sends the stage work of requests to the coordinator host, and frees its results."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from typing import Any, NamedTuple

from savoryfork.forward import cells
from savoryfork.forward.cells import Cell
from savoryfork.forward.coordinator import Coordinator
from savoryfork.forward.follower import Follower
from savoryfork.forward.members import Members, View
from savoryfork.forward.messages import FreeRequest, StageResult, WorkReply, WorkRequest
from savoryfork.forward.model import Catalog
from savoryfork.forward.work import StageError, StageFailure, Work
from savoryfork.peers import PeerClient, PeerUnavailable
from savoryfork.util import logs
from savoryfork.util.background import BackgroundTasks

log = logging.getLogger(__name__)

# Interval and timeout of pings to a coordinator with calls in progress. Any answer counts as one:
# pings of 62 hosts took 0.04 of a core at a coordinator (0.15 ms each, four a second and host).
PING_INTERVAL_MS = 250.0
PING_TIMEOUT_MS = 500.0

COORDINATOR_DUTY = "stages"

# Maximum coordinators tried for one request: the first and its successors.
MAX_COORDINATORS = 3

# Extra time beyond the remaining time of a request for the coordinator's reply to arrive.
REPLY_MARGIN_MS = 200.0

FREE_TIMEOUT_MS = 500.0

# Delay during which results to free are collected into one call.
FREE_DELAY_MS = 10.0


class Division(NamedTuple):
    """The coordinators of all cells by number, and what they were derived from.

    `view`, `registered` and `catalog` are replaced with each change, so that their identity shows
    whether the division is still the current one.
    """

    coordinators: list[str]
    targets: int
    view: View
    registered: object
    catalog: Catalog | None


def coordinators(members: Members, targets: int, now: float) -> list[str]:
    """Returns the addresses of the coordinators of all cells, in the order of the cells.

    `targets` is the number of targets of the smallest stage service.
    """
    strengths = [member.strength for member in members.alive(now)]
    return members.shared_owners(COORDINATOR_DUTY, cells.cell_count(strengths, targets), now)


class Stages:
    """Runs stages on behalf of this host's callers."""

    def __init__(
        self,
        follower: Follower,
        coordinator: Coordinator,
        peers: PeerClient,
        background: BackgroundTasks,
    ) -> None:
        self.follower = follower
        self.coordinator = coordinator
        self.pools = coordinator.pools
        self.peers = peers
        self.background = background
        self.calls: dict[str, set[asyncio.Task[Any]]] = {}
        self.watchers: dict[str, asyncio.Task[None]] = {}
        self.answered_at: dict[str, float] = {}
        self.known_division: Division | None = None
        self.pending_frees: dict[tuple[str, str], list[StageResult]] = {}

    def now(self) -> float:
        """Returns the suspend-aware time in milliseconds."""
        return self.follower.now()

    async def run(self, work: Work) -> None:
        """Runs all stages on the coordinator, or on its successor if that does not respond.

        Stores the results of the final stages in `work`. Raises StageError.
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
                work.fingerprint,
                work.workspace,
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
        """Returns the cell of a request and the address of the coordinator of that cell."""
        owners = self.division(now).coordinators
        cell = cells.cell_of(request_id, len(owners))
        return cell, owners[cell.number]

    def division(self, now: float) -> Division:
        """Returns the division of the stage work by the hosts and targets known now."""
        members, registry = self.follower.members, self.follower.registry
        catalog, view = self.follower.catalog, members.view(now)
        known = self.known_division
        if (
            known is not None
            and known.view is view
            and known.registered is registry.by_service
            and known.catalog is catalog
        ):
            return known
        targets = self.smallest_service()
        owners = coordinators(members, targets, now)
        if known is None or len(known.coordinators) != len(owners):
            strengths = [member.strength for member in view.alive.values()]
            logs.event(
                log,
                "cells_changed",
                cells=len(owners),
                hosts=len(strengths),
                weakest=round(min(strengths), 3),
                strongest=round(max(strengths), 3),
                targets=targets,
            )
        found = Division(owners, targets, view, registry.by_service, catalog)
        self.known_division = found
        return found

    def smallest_service(self) -> int:
        """Returns the number of registered targets of the stage service that has the fewest.

        Targets that are leaving or evacuated count, so that a restart of each in turn does not
        change the division. Services without targets do not count: they run nothing.
        """
        catalog = self.follower.catalog
        registered = Counter(t.service for t in self.follower.registry.targets.values())
        services = catalog.services.values() if catalog is not None else ()
        return min(
            (
                registered[info.name]
                for info in services
                if info.batch is not None and registered[info.name]
            ),
            default=0,
        )

    def coordinated_cell(self, now: float) -> int:
        """Returns the number of the cell that this host coordinates; -1 if there is none."""
        owners = self.division(now).coordinators
        local = self.follower.members.local.address
        return owners.index(local) if local in owners else -1

    # Calls to coordinators.

    async def call_watched(
        self, coordinator_address: str, request: WorkRequest, timeout_ms: float
    ) -> WorkReply:
        """Calls a coordinator; raises PeerUnavailable if it stops answering pings."""
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
            reply: WorkReply = task.result()
            self.answered_at[coordinator_address] = self.now()
            return reply
        finally:
            calls.discard(task)
            task.cancel()

    async def watch(self, coordinator_address: str) -> None:
        """Pings a host that has sent no answer for PING_INTERVAL_MS, and cancels the calls to it if
        it does not answer; ends without calls."""
        checked_at = self.now()
        try:
            while self.calls.get(coordinator_address):
                heard_at = max(checked_at, self.answered_at.get(coordinator_address, 0.0))
                wait_ms = heard_at + PING_INTERVAL_MS - self.now()
                if wait_ms > 0:
                    await asyncio.sleep(wait_ms / 1000)
                    continue
                try:
                    await self.follower.ping(coordinator_address, PING_TIMEOUT_MS)
                except PeerUnavailable:
                    for task in list(self.calls.get(coordinator_address, ())):
                        task.cancel()
                checked_at = self.now()
        finally:
            self.watchers.pop(coordinator_address, None)
            self.answered_at.pop(coordinator_address, None)

    # Freeing results.

    def release(self, coordinator_address: str, service: str, results: list[StageResult]) -> None:
        """Frees results after a short delay, batched with those of other requests.

        `coordinator_address` is the host that had them produced, which accounts for their space.
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
        """Frees the collected results through the coordinator that had them produced."""
        results = self.pending_frees.pop((coordinator_address, service), [])
        if coordinator_address == self.follower.members.local.address:
            self.pools.free(service, results)
        else:
            self.background.spawn(
                self.send_free(coordinator_address, FreeRequest(service, results))
            )

    async def send_free(self, coordinator_address: str, request: FreeRequest) -> None:
        """Asks a coordinator to free results; frees them from this host if it is unavailable."""
        try:
            await self.peers.call(coordinator_address, "Free", request, FREE_TIMEOUT_MS)
        except PeerUnavailable as error:
            logs.event(log, "free_not_passed_on", owner=coordinator_address, error=str(error))
            self.pools.free(request.service, request.results)
