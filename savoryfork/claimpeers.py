"""Sends claim requests to the owners of a partition in turn."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from savoryfork import defaults
from savoryfork.board import Board
from savoryfork.claimowner import ClaimOwner, Reply, Status, decode_reply, topic_of
from savoryfork.peers import PeerUnavailable
from savoryfork.util import logs, rendezvous
from savoryfork.util.timer import Clock

log = logging.getLogger(__name__)

PeerCall = Callable[[str, str, Any, float], Awaitable[Any]]
LocalCall = Callable[[float], Awaitable[Reply]]
MessageFactory = Callable[[int], Any]

# An owner replies LOG_UNAVAILABLE this long before the call times out, because a time-out closes
# the connection for all calls to that host.
REPLY_MARGIN_MS = 50

MAX_OWNERS = 3
RANKING_TTL_MS = 500

# A shorter remaining time counts as none: a timer set to a rounding error may fire before the
# clock advances, and the caller would loop without progress.
MIN_WAIT_MS = 1.0


class AskResult(NamedTuple):
    """Result of a request; `doubtful` if an owner may have appended without reading it back."""

    reply: Reply | None
    doubtful: bool


class Owners:
    """Selects and calls the hosts that may serve a partition.

    `call` is `PeerClient.call`; `owner` serves requests for which this host selects itself.
    """

    def __init__(
        self, owner: ClaimOwner, board: Board, clock: Clock, host: str, call: PeerCall
    ) -> None:
        self.owner = owner
        self.board = board
        self.clock = clock
        self.host = host
        self.call = call
        self.rankings: dict[int, tuple[float, list[str]]] = {}
        self.backoff_until_ms: dict[str, float] = {}

    def ranked(self, partition: int) -> list[str]:
        """Returns the hosts to ask, best first; this host is always included.

        Hosts that are leaving, unreachable or in backoff after a failed call are skipped.
        """
        now = self.clock.monotonic_ms()
        cached = self.rankings.get(partition)
        if cached is None or cached[0] <= now:
            names = rendezvous.ranked(topic_of(partition), [self.host, *self.board.hosts])
            cached = self.rankings[partition] = (now + RANKING_TTL_MS, names)
        live = []
        for name in cached[1]:
            view = self.board.hosts.get(name)
            if name == self.host:
                live.append(name)
            elif view is not None and view.reachable and not view.leaving:
                live.extend([name] if self.backoff_until_ms.get(name, 0.0) <= now else [])
        chosen = live[:MAX_OWNERS]
        return chosen if self.host in chosen else [*chosen, self.host]

    async def ask(
        self,
        partition: int,
        until_ms: float,
        local: LocalCall,
        method: str,
        message: MessageFactory,
        wait_left_ms: Callable[[], int] = lambda: 0,
    ) -> AskResult:
        """Asks the owners in turn until one replies SETTLED or the time is up."""
        doubtful = False
        owners = self.ranked(partition)
        for name in owners:
            left_ms = until_ms - self.clock.monotonic_ms()
            if left_ms < MIN_WAIT_MS:
                break
            budget_ms = left_ms
            if name != owners[-1]:
                budget_ms = min(left_ms, defaults.CLAIM_ATTEMPT_MS + wait_left_ms())
            if name == self.host:
                reply = await local(budget_ms)
            else:
                reply = await self.ask_peer(name, method, message, budget_ms)
            if reply.status == Status.SETTLED:
                return AskResult(reply, doubtful)
            doubtful = doubtful or reply.status == Status.LOG_UNAVAILABLE
        return AskResult(None, doubtful)

    async def ask_peer(
        self, name: str, method: str, message: MessageFactory, budget_ms: float
    ) -> Reply:
        """Asks another host; one that fails is skipped for `defaults.CLAIM_PROBE_MS`."""
        view = self.board.hosts.get(name)
        if view is None:
            return Reply(Status.NOT_OWNER)
        request = message(int(max(1.0, budget_ms - REPLY_MARGIN_MS)))
        try:
            return decode_reply(await self.call(view.address, method, request, budget_ms))
        except PeerUnavailable as error:
            self.backoff_until_ms[name] = self.clock.monotonic_ms() + defaults.CLAIM_PROBE_MS
            logs.event(log, "claim_owner_failed", host=name, error=str(error))
            return Reply(Status.LOG_UNAVAILABLE)
