"""Tells where a request would go now, and why, without sending it.

Nothing is changed and no target is called, so it can be asked of a host in service at any time. The
answer holds for this host and this moment: other hosts have other requests outstanding.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, TypedDict

from savoryfork.errors import ServiceError
from savoryfork.forward.forwarder import Forwarder
from savoryfork.forward.model import CallerRequest, Headers, Target
from savoryfork.forward.run import Run

# Where hosts answer it, beside their metrics.
PATH = "/preview"


class PreviewRequest(NamedTuple):
    """The request that is asked about, as its caller would send it."""

    method: str
    path: str
    headers: list[tuple[str, str]]


class TargetPreview(TypedDict):
    """A target of the request's service: its cost in ms of latency if it may get the request, else
    the reason why not. `rank` is 1 for the target that would be chosen; 0 for those left out.
    """

    target: str
    zone: str
    rank: int
    cost: float | None
    reason: str


class Preview(TypedDict):
    """What would become of a request; `refusal` is set if no target would get it now."""

    route: str
    service: str
    workspace: str
    priority: int
    aim_ms: float
    refusal: str
    coordinator: str
    cell: str
    targets: list[TargetPreview]


class NoResponse:
    """Takes the place of a caller's response; implements `run.ResponseWriter`."""

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends nothing."""

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Sends nothing."""

    async def write(self, data: bytes) -> None:
        """Sends nothing."""

    async def finish_stream(self) -> None:
        """Sends nothing."""

    def abort(self) -> None:
        """Ends nothing."""


def exclusion_reason(forwarder: Forwarder, target: Target, now: float) -> str:
    """Returns why a target gets no request now; empty if it may get one."""
    registry = forwarder.registry
    push_backs = registry.push_backs
    if target.zone in registry.evacuated:
        return "its zone is evacuated"
    if target.leaving or registry.departures.is_leaving(target):
        return "it is leaving"
    if target.name in registry.misdirected:
        return "another target answered at its address"
    if push_backs.is_blocked(target, now):
        return f"it pushes back for {push_backs.blocked_until(target) - now:.0f} ms"
    if not push_backs.is_open(target, forwarder.selector.outstanding.get(target.name, 0), now):
        return "it has pushed back and gets one request at a time"
    open_at = registry.warmups.open_at(target, now)
    if open_at > now:
        return f"it is cold, and this host may send to it in {open_at - now:.0f} ms"
    health = forwarder.health.get(target)
    if health.ejected and now < health.probe_ms:
        return f"it is ejected, next probe in {health.probe_ms - now:.0f} ms"
    return "another one is left out for its sake"


def rank_targets(
    forwarder: Forwarder, run: Run, all_targets: Sequence[Target], now: float
) -> list[TargetPreview]:
    """Returns the targets in the order in which they would be tried, then those left out."""
    candidates = forwarder.selector.candidates(run)
    costs = forwarder.selector.costs(run, candidates)
    ordered = sorted(candidates, key=lambda target: costs[target.name])
    chosen = [
        TargetPreview(
            target=target.name, zone=target.zone, rank=n, cost=costs[target.name], reason=""
        )
        for n, target in enumerate(ordered, 1)
    ]
    names = {target.name for target in candidates}
    left_out = [
        TargetPreview(
            target=target.name,
            zone=target.zone,
            rank=0,
            cost=None,
            reason=exclusion_reason(forwarder, target, now),
        )
        for target in all_targets
        if target.name not in names
    ]
    return chosen + left_out


def preview(forwarder: Forwarder, request: CallerRequest) -> Preview:
    """Returns where a request would go from this host now."""
    now = forwarder.now()
    run = Run(request, None, NoResponse(), now)
    found = Preview(
        route="",
        service="",
        workspace="",
        priority=0,
        aim_ms=0.0,
        refusal="",
        coordinator="",
        cell="",
        targets=[],
    )
    try:
        forwarder.gate.admit(run)
    except ServiceError as error:
        found["refusal"] = f"{error.kind.value}: {error}"
    if run.route is None or not run.service:
        return found
    found["route"] = run.route.name
    found["service"] = run.service
    found["workspace"] = run.workspace.name if run.workspace is not None else ""
    found["priority"] = run.priority
    found["aim_ms"] = run.aim_at - now
    if forwarder.needs_stages(run):
        cell, address = forwarder.stages.coordinator_for(run.id, now)
        found["cell"] = f"{cell.number + 1} of {cell.cells}"
        found["coordinator"] = address
    found["targets"] = rank_targets(forwarder, run, forwarder.registry.of_service(run.service), now)
    if not found["refusal"] and not forwarder.selector.candidates(run):
        refusal = forwarder.no_target_error(run)
        found["refusal"] = f"{refusal.kind.value}: {refusal}"
    return found
