"""HTTP server for callers: receives requests, relays answers and records outcomes."""

from __future__ import annotations

import asyncio
import functools
import logging
import math
from collections.abc import Callable

import aiohttp
import msgspec
from aiohttp import web

from savoryfork.errors import ErrorKind, Ran, ServiceError
from savoryfork.forward.callers import CallerConnection, CallerServer
from savoryfork.forward.forwarder import Forwarder
from savoryfork.forward.gate import stopping_error
from savoryfork.forward.limits import ReadLimits
from savoryfork.forward.memory import (
    BODY_FACTOR,
    REQUEST_BYTES,
    SMALL_BYTES,
    MemoryBudget,
    Reservation,
)
from savoryfork.forward.metrics import ForwardMetrics
from savoryfork.forward.model import CallerLimits, Headers
from savoryfork.forward.run import NOT_EXECUTED_STATUSES, Run, shared_parts_label
from savoryfork.forward.wire import Wire
from savoryfork.util import logs

log = logging.getLogger(__name__)

# Above the largest limit on the users' sheets (16 KB).
MAX_LINE_BYTES = 32_768

# Headers of a request. The limit of the operators is that on their bytes together; the shortest
# header takes four of them.
MAX_HEADERS = 4_096

# Received bytes of a body that wait to be read, for each connection.
READ_BUFFER_BYTES = 32_768

# The largest body if neither the settings nor the operators' configuration say it.
DEFAULT_BODY_BYTES = 1_048_576

# What a received part of a body takes at least.
MIN_PART_BYTES = 128

# Must exceed the idle timeout of callers' connections (15 s on the sheets), or a request could race
# with the server closing its connection.
KEEP_ALIVE_S = 75.0

MAY_HAVE_RUN_STATUS = 502

# Lower bound of the Retry-After header.
MIN_RETRY_AFTER_S = 0.05

# How long the rest of a refused body is read and discarded, so that its caller sees the refusal
# instead of a reset.
LINGERING_S = 1.0

# Time for an interrupted answer to reach its caller. A caller that does not read would otherwise
# keep the connection and its buffer for good.
ABORT_FLUSH_MS = 1_000.0


# Interval at which a stopping host checks whether its answers were sent.
SENT_POLL_MS = 10.0


def reserve_nothing(size: int) -> None:
    """Takes any part of a body."""


async def read_body(
    content: aiohttp.StreamReader,
    max_bytes: int,
    timeout_ms: float,
    reserve: Callable[[int], None] = reserve_nothing,
) -> bytes:
    """Reads a caller's body; raises ServiceError if it is too large or takes too long.

    `reserve` is called with the size of each part, and raises ServiceError if it can't be kept.
    """
    # Parts are joined once: a buffer that grows would be moved, and leave holes in the heap.
    parts: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            while part := await content.readany():
                size += len(part)
                if size > max_bytes:
                    raise ServiceError(
                        ErrorKind.BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes"
                    )
                reserve(len(part))
                parts.append(part)
    except TimeoutError:
        raise ServiceError(
            ErrorKind.BODY_TOO_SLOW, f"no complete body within {timeout_ms:.0f} ms"
        ) from None
    return b"".join(parts)


def interrupted_error(run: Run) -> ServiceError:
    """Returns the error for a request that did not end before this host has to."""
    if run.may_have_run():
        return ServiceError(
            ErrorKind.ANSWER_INCOMPLETE, "this host stopped before the target had answered"
        )
    return stopping_error(run)


class CallerResponse:
    """Writes the answer to one request; implements `run.Delivery`."""

    def __init__(
        self,
        request: web.BaseRequest,
        close_connection: bool,
        reserve_answer: Callable[[int], None],
    ) -> None:
        self.request = request
        self.close_connection = close_connection
        self.reserve_answer = reserve_answer
        self.response: web.StreamResponse | None = None

    def add_headers(self, response: web.StreamResponse, headers: Headers) -> None:
        """Adds a target's headers unchanged."""
        for name, value in headers:
            response.headers.add(name.decode("latin-1"), value.decode("latin-1"))
        if self.close_connection:
            response.force_close()

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete answer."""
        self.reserve_answer(len(body))
        response = web.Response(status=status, body=body)
        self.add_headers(response, headers)
        self.response = response
        await response.prepare(self.request)
        await response.write_eof()

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Sends the head of a streamed answer."""
        response = web.StreamResponse(status=status)
        self.add_headers(response, headers)
        response.enable_chunked_encoding()
        self.response = response
        await response.prepare(self.request)

    async def write(self, data: bytes) -> None:
        """Sends a chunk of a stream."""
        assert self.response is not None
        await self.response.write(data)

    async def finish_stream(self) -> None:
        """Ends a complete stream."""
        assert self.response is not None
        await self.response.write_eof()

    def caller_left(self) -> bool:
        """Returns whether the caller's connection is closed."""
        transport = self.request.transport
        return transport is None or transport.is_closing()

    def abort(self) -> None:
        """Closes the connection, which marks the answer as incomplete."""
        transport = self.request.transport
        if transport is not None:
            transport.close()
            asyncio.get_running_loop().call_later(ABORT_FLUSH_MS / 1000, transport.abort)


class EntryServer:
    """Handles the requests of callers on this host."""

    def __init__(
        self,
        forwarder: Forwarder,
        wire: Wire,
        metrics: ForwardMetrics,
        limits: ReadLimits,
        budget: MemoryBudget,
        most_connections: int,
    ) -> None:
        self.forwarder = forwarder
        self.wire = wire
        self.metrics = metrics
        self.limits = limits
        self.budget = budget
        self.most_connections = most_connections
        self.inflight = 0
        self.stopping = False
        self.idle = asyncio.Event()
        self.idle.set()
        self.bounds: set[asyncio.Timeout] = set()
        self.web_server: CallerServer | None = None

    def server(self) -> CallerServer:
        """Returns the HTTP server for the callers' port."""
        self.web_server = CallerServer(
            self.handle,
            self.most_connections,
            self.forwarder.now,
            handler_cancellation=True,
            auto_decompress=False,
            keepalive_timeout=KEEP_ALIVE_S,
            lingering_time=LINGERING_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADERS,
            read_bufsize=READ_BUFFER_BYTES,
            access_log=None,
        )
        return self.web_server

    # Stopping.

    async def wait_idle(self) -> None:
        """Waits until no request is in flight."""
        while self.inflight:
            await self.idle.wait()

    def interrupt(self) -> None:
        """Ends every request in flight now, each with the answer that is true for it."""
        now = asyncio.get_running_loop().time()
        for bound in self.bounds:
            if not bound.expired():
                bound.reschedule(now)

    def transports(self) -> list[asyncio.Transport]:
        """Returns the transports of all connections of callers."""
        connections = self.web_server.connections if self.web_server is not None else []
        return [c.transport for c in connections if c.transport is not None]

    def unsent_bytes(self) -> int:
        """Returns the size of what the system has not yet taken from this process."""
        return sum(transport.get_write_buffer_size() for transport in self.transports())

    async def wait_sent(self) -> None:
        """Waits until the system has taken all answers, which then outlive this process."""
        while self.unsent_bytes():  # noqa: ASYNC110 (transports tell nobody)
            await asyncio.sleep(SENT_POLL_MS / 1000)

    def caller_limits(self) -> CallerLimits:
        """Returns what the operators' configuration lets callers do."""
        catalog = self.forwarder.follower.catalog
        return catalog.caller_limits if catalog is not None else CallerLimits()

    def max_body_bytes(self) -> int:
        """Returns the largest body that a caller may send."""
        return self.limits.request_bytes or self.caller_limits().body_bytes or DEFAULT_BODY_BYTES

    def close_overdue(self) -> None:
        """Closes connections whose callers take too long for a head, or send nothing."""
        if self.web_server is None:
            return
        count = self.web_server.close_overdue(self.caller_limits())
        if count:
            logs.event(log, "overdue_connections_closed", count=count)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request and counts it as in flight until its answer ends."""
        self.inflight += 1
        self.idle.clear()
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        connection.begin_request()
        reservation = self.budget.open(connection.abort, self.forwarder.now())
        try:
            return await self.serve(request, reservation)
        finally:
            self.budget.close(reservation)
            connection.end_request(request.content.at_eof())
            self.inflight -= 1
            if not self.inflight:
                self.idle.set()

    def reserve(self, reservation: Reservation, size: int) -> None:
        """Takes room for what a caller sends; raises ServiceError if there is none."""
        if not self.budget.grow(reservation, size, self.forwarder.now()):
            raise ServiceError(
                ErrorKind.OVERLOADED, "this host has no memory for the request; try again later"
            )

    def reserve_answer(self, reservation: Reservation, size: int) -> None:
        """Counts an answer that its caller is to read; it is kept even if there is no room."""
        now = self.forwarder.now()
        reservation.evictable = True
        self.budget.make_room(reservation, size, now)
        self.budget.add(reservation, size, now)

    async def read_request_body(
        self, request: web.BaseRequest, allowed_ms: float | None, reservation: Reservation
    ) -> bytes:
        """Reads the body of a request within the limits of time, size and memory."""
        reservation.small = 0 <= (request.content_length or -1) <= SMALL_BYTES

        def reserve(size: int) -> None:
            self.reserve(reservation, BODY_FACTOR * max(size, MIN_PART_BYTES))

        body_ms = self.limits.request_body_ms
        if allowed_ms is not None:
            body_ms = min(body_ms, allowed_ms)
        return await read_body(request.content, self.max_body_bytes(), body_ms, reserve)

    async def serve(self, request: web.BaseRequest, reservation: Reservation) -> web.StreamResponse:
        """Reads and forwards a request, and answers errors itself."""
        received_at = self.forwarder.now()
        headers = [(bytes(name), bytes(value)) for name, value in request.raw_headers]
        decoded = self.wire.decode_request(request.method, request.raw_path, headers)
        reply = CallerResponse(
            request, self.stopping, functools.partial(self.reserve_answer, reservation)
        )
        run = Run(decoded, None, reply, received_at)
        error: ServiceError | None = None
        abandoned = False
        bound = asyncio.timeout(None)
        try:
            async with bound:
                self.bounds.add(bound)
                self.reserve(reservation, REQUEST_BYTES)
                if request.body_exists:
                    run.body = await self.read_request_body(
                        request, decoded.allowed_ms, reservation
                    )
                reservation.evictable = False  # it no longer waits for its caller
                await self.forwarder.forward(run)
        except ServiceError as failure:
            error = failure
        except asyncio.CancelledError:
            abandoned = True
            raise
        except Exception as failure:
            abandoned = isinstance(failure, ConnectionError) and reply.caller_left()
            if bound.expired():
                error = interrupted_error(run)
            elif not abandoned:
                logs.failure(log, "request_failed", request=run.id)
                ran = Ran.UNKNOWN if run.offers else Ran.NO
                error = ServiceError(ErrorKind.INTERNAL, "internal error", ran=ran)
        finally:
            self.bounds.discard(bound)
            self.record_outcome(run, error, abandoned)
        if error is not None:
            if run.response_started:
                reply.abort()
            else:
                return self.error_response(run, error, request.content.at_eof())
        assert reply.response is not None or abandoned
        return reply.response or web.Response(status=499)

    def error_response(self, run: Run, error: ServiceError, body_read: bool) -> web.Response:
        """Returns this host's own error response to a request."""
        status = error.answer.status
        if run.possible_executions and error.ran is Ran.NO:
            # The error is about this attempt; an earlier one may have run.
            error.ran = Ran.UNKNOWN
        if run.possible_executions or (
            error.ran is Ran.UNKNOWN and status in NOT_EXECUTED_STATUSES
        ):
            status = MAY_HAVE_RUN_STATUS if status in NOT_EXECUTED_STATUSES else status
        response = web.Response(
            status=status,
            body=msgspec.json.encode(error.body(run.id)),
            content_type="application/json",
        )
        if run.id:
            response.headers[self.wire.request_id_header] = run.id
        if status in NOT_EXECUTED_STATUSES:
            response.headers["Retry-After"] = f"{max(MIN_RETRY_AFTER_S, run.retry_ms / 1000):.2f}"
        if self.stopping or not body_read:
            response.force_close()
        return response

    def record_outcome(self, run: Run, error: ServiceError | None, abandoned: bool) -> None:
        """Writes the request's log line and its metrics."""
        now = self.forwarder.now()
        took_ms = now - run.received_at
        outcome = "abandoned" if abandoned else error.kind.value if error else "answered"
        route = run.route
        self.metrics.request(outcome, route.repeat.value if route else "none", took_ms)
        if run.first_event_at is not None:
            self.metrics.first_event(run.first_event_at - run.received_at)
        logs.event(
            log,
            "request_done",
            request=run.id,
            outcome=outcome,
            reason=str(error) if error else None,
            route=route.name if route else None,
            service=run.service or None,
            workspace=run.workspace.name if run.workspace else None,
            parts=shared_parts_label(run.request),
            held_tokens=round(run.attempt.held_tokens) or None if run.attempt else None,
            read_tokens=round(run.attempt.uncached_tokens) or None if run.attempt else None,
            priority=run.priority,
            config_version=run.version,
            config_age_ms=round(run.config_age_ms) if math.isfinite(run.config_age_ms) else None,
            offers=",".join(f"{o.target}:{o.outcome}" for o in run.offers) or None,
            took_ms=round(took_ms),
            staged_ms=round(run.stages_done_at - run.received_at) if run.stages_done_at else None,
            first_event_ms=(
                round(run.first_event_at - run.received_at) if run.first_event_at else None
            ),
            aim_ms=round(run.aim_at - run.received_at),
            left_ms=round(run.deadline_at - now),
            events=run.events or None,
        )
