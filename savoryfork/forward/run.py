"""One caller's request on its way: what is known of it, and the way back to its caller."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, Protocol

from savoryfork.forward.model import (
    AnswerHead,
    CallerRequest,
    Headers,
    Repeat,
    Route,
    Workspace,
)
from savoryfork.forward.work import Work

# Callers abandon a stream after a silence of the longest of these: so much, so many times the aim,
# so many times the longest pause that is on time.
MIN_STREAM_IDLE_MS = 2_000.0
STREAM_IDLE_AIM_FACTOR = 4.0
STREAM_IDLE_GAP_FACTOR = 8.0


def stream_idle_timeout_ms(route: Route) -> float:
    """How long the caller of a stream waits without an event."""
    return max(
        MIN_STREAM_IDLE_MS,
        STREAM_IDLE_AIM_FACTOR * route.aim_ms,
        STREAM_IDLE_GAP_FACTOR * route.gap_ms,
    )


# When a refused caller may come back, unless something better is known.
DEFAULT_RETRY_MS = 400.0

# Status codes by which callers understand that a request has not run.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class Delivery(Protocol):
    """The way back to the caller."""

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer."""

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Begins a stream."""

    async def write(self, data: bytes) -> None:
        """Sends a part of a stream."""

    async def finish_stream(self) -> None:
        """Ends a stream as complete."""

    def abort(self) -> None:
        """Ends a stream so that it can't be taken for complete."""


class Offer(NamedTuple):
    """Counts of what a request's targets did, for its log line."""

    target: str
    outcome: str


class Run:
    """The state of one request.

    `may_have_run` counts the targets that may have worked on it. `begun` is True once the caller
    has got the head of an answer; `last_event` is the id of the last event passed on.
    """

    def __init__(
        self,
        request: CallerRequest,
        body: bytes | None,
        delivery: Delivery,
        received_at: float,
    ) -> None:
        self.request = request
        self.body = body
        self.delivery = delivery
        self.received_at = received_at
        self.id = request.id.decode("latin-1")
        self.deadline_at = received_at
        self.aim_at = received_at
        self.first_event_by = received_at
        self.route: Route | None = None
        self.service = ""
        self.workspace: Workspace | None = None
        self.priority = 0
        self.version = -1
        self.config_age_ms = 0.0
        self.offers: list[Offer] = []
        self.tried: set[str] = set()
        self.possible_executions = 0
        self.response_started = False
        self.last_event: bytes | None = None
        self.events = 0
        self.work: Work | None = None
        self.input_release_timer: asyncio.TimerHandle | None = None
        self.stages_done_at: float | None = None
        self.first_event_at: float | None = None
        self.failed_answer: tuple[AnswerHead, bytes] | None = None
        self.retry_ms = DEFAULT_RETRY_MS

    def repeatable(self) -> bool:
        """Whether the request may run on more than one target."""
        route = self.route
        if route is None:
            return False
        return route.repeat is Repeat.IDEMPOTENT or (
            route.repeat is Repeat.STREAM and route.resumable
        )
