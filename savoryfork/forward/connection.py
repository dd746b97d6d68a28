"""HTTP/1.1 connections to targets, with strict detection of incomplete responses.

h11 parses; this module decides whether a response is complete. aiohttp's client accepts a body
without a length as complete when its connection is reset, and retries idempotent requests by
itself, so it is not used for targets.

What a target sends is read only as fast as it is used, and `ReadLimits` bounds what is kept of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from collections import deque
from typing import NamedTuple, cast

import h11

from savoryfork.forward.limits import DEFAULT_LIMITS, MIN_CHUNK_BYTES, ReadLimits
from savoryfork.forward.model import Headers
from savoryfork.forward.turns import wait_for_turn
from savoryfork.util.bucket import TokenBucket
from savoryfork.util.timeouts import running_timeout

# Bytes that are handed to the parser at a time. It keeps what it has not parsed, so received data
# of hundreds of kilobytes must not be handed over at once.
PARSE_BYTES = 16_384

# Bytes after which a reader queues for another turn of the loop, if it did not have to wait in
# between. Shorter answers never queue. An event counts as MIN_EVENT_BYTES at least: a body of tiny
# chunks takes long to parse.
BYTES_PER_TURN = 32_768
MIN_EVENT_BYTES = 1_024

# What a response may send in a burst and per second before its reader counts as heavy. A whole
# answer has 256 KB; an engine sends some 60 events a second, each of which counts as 1,280 bytes.
ALLOWED_BURST_BYTES = 1_048_576.0
ALLOWED_BYTES_PER_S = 262_144.0

# A connection between zones takes about 10 ms; a powered-off target never answers.
CONNECT_TIMEOUT_MS = 350.0

# The kernel closes a connection whose sent bytes stay unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 3_000

# Share of a target's announced idle timeout for which an idle connection is kept, and the default
# for a target that announces none.
IDLE_TIMEOUT_SHARE = 0.8
DEFAULT_MAX_IDLE_MS = 700.0

# Maximum idle connections per address.
MAX_IDLE_PER_ADDRESS = 64


# Headers of which a response has one if its end shows without the close of its connection.
FRAMING_HEADERS = {b"content-length", b"transfer-encoding"}


# Bytes that the value of a header must not hold and that h11 lets through. An answer with them
# can't be passed on, so it counts as malformed.
CONTROL_CHARACTERS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


# Reason of a call to a port at which nothing listens, as that of a process that has ended.
REFUSED = f"connect: {ConnectionRefusedError.__name__}"


class TargetError(Exception):
    """A call without a complete response. `sent` is False if no byte of it was written.

    `certain` is True if only a fault of the target explains it. `ended_by_peer` is True for a stage
    call whose connection the target has closed or reset.
    """

    def __init__(self, reason: str, sent: bool, certain: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.certain = certain or not sent
        self.ended_by_peer = False


def new_allowance() -> TokenBucket:
    """Returns the full allowance of a response."""
    return TokenBucket(ALLOWED_BYTES_PER_S, ALLOWED_BURST_BYTES, 0.0)


class Head(NamedTuple):
    """Status and headers of a response, as received."""

    status: int
    headers: Headers


class Connection(asyncio.Protocol):
    """A connection that carries one call at a time.

    `framed` is False if the body of the current response ends with the connection.
    """

    def __init__(self, address: str, limits: ReadLimits = DEFAULT_LIMITS) -> None:
        self.address = address
        self.limits = limits
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=limits.head_bytes)
        self.received: deque[bytes] = deque()
        self.received_bytes = 0
        self.reading_paused = False
        self.bytes_in_turn = 0
        self.excess_bytes = 0
        self.allowance = new_allowance()
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.busy = False
        self.closed = False
        self.peer_closed = False
        self.error: Exception | None = None
        self.answered_early = False
        self.framed = True
        self.idle_since = 0.0
        self.max_idle_ms = DEFAULT_MAX_IDLE_MS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports do not derive from asyncio's classes.
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # not supported by every system
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        if not self.busy:
            # Bytes without a request to answer.
            self.abort()
            return
        self.received.append(data)
        self.received_bytes += len(data)
        if self.received_bytes > self.limits.buffer_bytes and not self.reading_paused:
            self.reading_paused = True
            assert self.transport is not None
            self.transport.pause_reading()
        self.wake()

    def eof_received(self) -> bool:
        if self.busy and not self.peer_closed:
            # h11 takes empty data as the end of the connection.
            self.received.append(b"")
        self.peer_closed = True
        self.wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.error = exc
        self.wake()

    def wake(self) -> None:
        """Wakes the call that waits for the next event."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def parse_received(self) -> bool:
        """Hands the next received bytes to the parser; returns False if there are none."""
        if not self.received:
            return False
        data = self.received.popleft()
        if len(data) > PARSE_BYTES:
            self.received.appendleft(data[PARSE_BYTES:])
            data = data[:PARSE_BYTES]
        self.received_bytes -= len(data)
        self.http.receive_data(data)
        if self.reading_paused and self.received_bytes <= self.limits.buffer_bytes // 2:
            self.reading_paused = False
            if not self.closed and self.transport is not None:
                self.transport.resume_reading()
        return True

    def abort(self) -> None:
        """Closes the connection immediately and drops what was received."""
        self.closed = True
        self.received.clear()
        self.received_bytes = 0
        if self.transport is not None:
            self.transport.abort()
        self.wake()

    def ended_by_peer(self) -> bool:
        """Returns whether the peer has closed or reset the connection."""
        return self.peer_closed or self.error is not None

    def send(self, method: bytes, path: bytes, headers: Headers, body: bytes) -> None:
        """Writes a complete request; raises TargetError if it can't be sent."""
        if self.closed or self.transport is None or self.transport.is_closing():
            raise TargetError("closed", sent=False)
        try:
            head = self.http.send(h11.Request(method=method, target=path, headers=headers))
            data = self.http.send(h11.Data(data=body)) if body else b""
            end = self.http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            self.abort()
            raise TargetError(f"unsendable: {error}", sent=False) from error
        self.busy = True
        # A large body is not copied once more.
        self.transport.writelines([part for part in (head, data, end) if part])

    async def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Returns the next event of the response; raises TargetError if it is incomplete."""
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                self.abort()
                raise TargetError(f"protocol: {error}"[:120], sent=True) from error
            if event is not h11.NEED_DATA:
                size = len(event.data) if isinstance(event, h11.Data) else 0
                await self.yield_turn(max(size, MIN_EVENT_BYTES))
                return event
            if self.parse_received():
                continue
            if self.closed:
                reason = type(self.error).__name__ if self.error is not None else "closed"
                raise TargetError(reason, sent=True)
            self.waiter = asyncio.get_running_loop().create_future()
            self.bytes_in_turn = 0
            try:
                await self.waiter
            finally:
                self.waiter = None

    async def yield_turn(self, size: int) -> None:
        """Queues for another turn after BYTES_PER_TURN bytes that needed no wait.

        Bytes beyond the allowance of a response count even if the reader had to wait for them.
        """
        self.bytes_in_turn += size
        if not self.allowance.take(asyncio.get_running_loop().time() * 1000, size):
            self.excess_bytes += size
        heavy = self.excess_bytes >= BYTES_PER_TURN
        if heavy or self.bytes_in_turn >= BYTES_PER_TURN:
            self.bytes_in_turn = 0
            if heavy:
                self.excess_bytes = 0
            await wait_for_turn(heavy)

    async def read_head(self) -> Head:
        """Returns the head of the response; skips a bounded number of informational responses."""
        interim_responses = 0
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Response):
                if self.transport is not None and self.transport.get_write_buffer_size():
                    # The target answered before it had read the entire request body.
                    self.answered_early = True
                if any(CONTROL_CHARACTERS.search(value) for _, value in event.headers):
                    self.abort()
                    raise TargetError("protocol: control character in a header", sent=True)
                names = {bytes(name).lower() for name, _ in event.headers}
                self.framed = bool(names & FRAMING_HEADERS)
                return Head(event.status_code, list(event.headers.raw_items()))
            if not isinstance(event, h11.InformationalResponse):
                self.abort()
                raise TargetError("closed before the response head", sent=True)
            interim_responses += 1
            if interim_responses > self.limits.interim_responses:
                self.abort()
                raise TargetError("too many informational responses", sent=True)

    async def read_chunk(self) -> bytes | None:
        """Returns the next chunk of the body, or None at its end."""
        event = await self.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        self.abort()
        raise TargetError("closed", sent=True)

    async def read_body(self) -> bytes:
        """Returns the remaining body; raises TargetError if it exceeds the limit of an answer."""
        body = bytearray()
        counted_bytes = 0
        while (part := await self.read_chunk()) is not None:
            body += part
            counted_bytes += max(len(part), MIN_CHUNK_BYTES)
            if counted_bytes > self.limits.answer_bytes:
                self.abort()
                raise TargetError("answer too large", sent=True)
        return bytes(body)

    def prepare_reuse(self) -> bool:
        """Resets the connection for another call; returns False if it can't be reused."""
        http = self.http
        if self.closed or self.peer_closed or self.answered_early:
            return False
        if self.received or http.trailing_data[0]:
            return False  # bytes after the response
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        self.allowance = new_allowance()
        self.excess_bytes = 0
        self.busy = False
        return True


class Connections:
    """Connection pool for all targets; counts `opened` and `reused` connections."""

    def __init__(self, limits: ReadLimits = DEFAULT_LIMITS) -> None:
        self.limits = limits
        self.idle: dict[str, list[Connection]] = {}
        self.opened = 0
        self.reused = 0

    def take_idle(self, address: str, now: float, share: float) -> Connection | None:
        """Takes the most recently used idle connection within `share` of its idle timeout.

        The target may have closed older ones, so they are closed.
        """
        idle = self.idle.get(address, [])
        while idle:
            connection = idle.pop()
            if (
                not connection.closed
                and now - connection.idle_since <= share * connection.max_idle_ms
            ):
                return connection
            connection.abort()
        return None

    async def open(self, address: str, now: float, *, share: float = 1.0) -> Connection:
        """Returns a connection to `address`; raises TargetError if none can be established.

        An idle connection is reused only within `share` of its idle timeout; 0 forces a new one.
        """
        reused_connection = self.take_idle(address, now, share)
        if reused_connection is not None:
            self.reused += 1
            return reused_connection
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with running_timeout(CONNECT_TIMEOUT_MS / 1000):
                _, connection = await loop.create_connection(
                    lambda: Connection(address, self.limits), ip, int(port)
                )
        except (TimeoutError, OSError) as error:
            raise TargetError(f"connect: {type(error).__name__}", sent=False) from error
        return connection

    def release_connection(self, connection: Connection, now: float, idle_s: float | None) -> None:
        """Returns a connection to the pool after its response was read, or closes it."""
        idle = self.idle.setdefault(connection.address, [])
        if len(idle) >= MAX_IDLE_PER_ADDRESS or idle_s == 0 or not connection.prepare_reuse():
            connection.abort()
            return
        if idle_s is not None:
            connection.max_idle_ms = IDLE_TIMEOUT_SHARE * idle_s * 1000
        connection.idle_since = now
        idle.append(connection)

    def close_idle(self, now: float) -> None:
        """Closes connections that exceeded their idle timeout."""
        for address, idle in list(self.idle.items()):
            expired = [c for c in idle if c.closed or now - c.idle_since > c.max_idle_ms]
            for connection in expired:
                idle.remove(connection)
                connection.abort()
            if not idle:
                del self.idle[address]

    def close_idle_to(self, address: str) -> None:
        """Closes the idle connections to an address, as they must not carry further calls."""
        for connection in self.idle.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self.idle.values():
            for connection in idle:
                connection.abort()
        self.idle.clear()
