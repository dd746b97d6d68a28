"""The state of one request in flight, and the interface for its response."""

from __future__ import annotations

import asyncio
import enum
from typing import NamedTuple, Protocol

import xxhash

from savoryfork.forward.connection import Connection
from savoryfork.forward.model import (
    AnswerHead,
    CallerRequest,
    Headers,
    Repeat,
    Route,
    Target,
    Workspace,
)
from savoryfork.forward.silence import Decision
from savoryfork.forward.work import Work

# Callers abandon a stream without events for the longest of these: a minimum, a multiple of the
# route's latency objective, and a multiple of its maximum on-time gap between events.
MIN_STREAM_IDLE_MS = 2_000.0
STREAM_IDLE_AIM_FACTOR = 4.0
STREAM_IDLE_GAP_FACTOR = 8.0


def stream_idle_timeout_ms(route: Route) -> float:
    """Returns the time without an event after which callers abandon a stream of the route."""
    return max(
        MIN_STREAM_IDLE_MS,
        STREAM_IDLE_AIM_FACTOR * route.aim_ms,
        STREAM_IDLE_GAP_FACTOR * route.gap_ms,
    )


# Parts of a prompt that a log line names at most.
MAX_LOGGED_PARTS = 12


def shared_parts_label(request: CallerRequest) -> str | None:
    """Returns the shared parts of a request's prompt for its log lines; None without any."""
    if request.prompt is None:
        return None
    return ",".join(request.prompt.shared_parts()[:MAX_LOGGED_PARTS]) or None


# Default retry-after of refused requests.
DEFAULT_RETRY_MS = 400.0

# Status codes that tell callers that a request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class ResponseWriter(Protocol):
    """Sends the response to the caller."""

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response."""

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Starts a streamed response."""

    async def write(self, data: bytes) -> None:
        """Sends a chunk of a stream."""

    async def finish_stream(self) -> None:
        """Ends a complete stream."""

    def abort(self) -> None:
        """Aborts a stream so that the caller can't take it for complete."""


class Offer(NamedTuple):
    """The outcome of offering a request to one target, for the log line of the request."""

    target: str
    outcome: str


class NextTarget(NamedTuple):
    """A target that can take a request from a silent one, with a connection to it.

    The retry has been spent.
    """

    target: Target
    connection: Connection


class Progress(enum.Enum):
    """How far the answer of an attempt has come."""

    NO_HEAD = "no_head"
    NO_EVENT = "no_event"
    EVENTS = "events"


def fingerprint(request: CallerRequest, workspace: str, body: bytes | None) -> int:
    """Returns the 63-bit hash of what a request and its repetitions have in common.

    These are its method, host, path, caller and body; its id differs each time that it comes.
    """
    digest = xxhash.xxh3_64()
    for field in (request.method, request.path, request.host.encode(), workspace.encode()):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(body or b"")
    return digest.intdigest() >> 1


class Attempt:
    """The progress of a request at one target; `events` counts the events that it sent.

    `connection` is set until the answer was read. `answered` is True once the target has surely
    written on the prompt; `cancelled` once this host has closed the connection because targets
    crash on it. `silence` is the last decision on a silent target, None while it is not.
    `expected_ms` is the time to the first event that an engine of ordinary speed would take, 0 if
    nothing was expected. `uncached_tokens` is how much of the prompt the engine is expected to
    read, `held_tokens` how much of it this host knows to be cached there.
    """

    def __init__(self, target: Target) -> None:
        self.target = target
        self.connection: Connection | None = None
        self.answered = False
        self.cancelled = False
        self.sent_at: float | None = None
        self.head_at: float | None = None
        self.events = 0
        self.silence: Decision | None = None
        self.expected_ms = 0.0
        self.uncached_tokens = 0.0
        self.held_tokens = 0.0

    def progress(self) -> Progress:
        """Returns how far the answer has come."""
        if self.events:
            return Progress.EVENTS
        return Progress.NO_EVENT if self.head_at is not None else Progress.NO_HEAD


class Run:
    """The state of one request.

    `possible_executions` counts the targets that may have executed it. `response_started` is True
    once response headers were sent to the caller. `last_event` is the id of the last event sent.
    `attempt` is the latest attempt, `parts` the ids of the shared parts of the prompt.
    `waiting_for_caller` is True while events wait for the caller to read. `next_target` is ready to
    take the request from a silent one; `silent_targets` are those that it has left, maybe sound.
    """

    def __init__(
        self,
        request: CallerRequest,
        body: bytes | None,
        response_writer: ResponseWriter,
        received_at: float,
    ) -> None:
        self.request = request
        self.body = body
        self.response_writer = response_writer
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
        self.tried_targets: set[str] = set()
        self.possible_executions = 0
        self.response_started = False
        self.waiting_for_caller = False
        self.last_event: bytes | None = None
        self.events = 0
        self.work: Work | None = None
        self.input_release_timer: asyncio.TimerHandle | None = None
        self.stages_done_at: float | None = None
        self.attempt: Attempt | None = None
        self.next_target: NextTarget | None = None
        self.silent_targets: list[Target] = []
        self.parts: tuple[int, ...] = ()
        self.known_fingerprint: int | None = None
        self.first_event_at: float | None = None
        self.failed_answer: tuple[AnswerHead, bytes] | None = None
        self.retry_ms = DEFAULT_RETRY_MS

    def fingerprint(self) -> int:
        """Returns the request's fingerprint; bodies are large, so it is computed when needed."""
        if self.known_fingerprint is None:
            workspace = self.workspace.name if self.workspace is not None else ""
            self.known_fingerprint = fingerprint(self.request, workspace, self.body)
        return self.known_fingerprint

    def may_have_run(self) -> bool:
        """Whether a target may have run the request, or runs it now."""
        if self.possible_executions:
            return True
        attempt = self.attempt
        if attempt is None or attempt.sent_at is None:
            return False
        return attempt.connection is not None  # else its answer was read, and was a refusal

    def repeatable(self) -> bool:
        """Whether the request may run on more than one target."""
        route = self.route
        if route is None:
            return False
        return route.repeat is Repeat.IDEMPOTENT or (
            route.repeat is Repeat.STREAM and route.resumable
        )
