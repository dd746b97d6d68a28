"""HTTP/1.1 connections to targets, on which no byte is taken for what it is not.

h11 parses; this module decides what an end means. aiohttp's client takes a body without a length
for whole when its connection is reset, and repeats idempotent requests by itself, so it is not
used towards targets.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import NamedTuple, cast

import h11

from savoryfork.forward.model import Headers

# Beyond the largest head that targets send.
MAX_HEAD_BYTES = 65_536

# A connection is established in about 10 ms between zones; a target without power never answers.
CONNECT_TIMEOUT_MS = 350.0

# Unacknowledged bytes for this long mean that the path is gone.
USER_TIMEOUT_MS = 3_000

# Part of a target's idle timeout for which a connection is kept, and the time for a target that
# announces none.
IDLE_SHARE = 0.8
DEFAULT_IDLE_MS = 700.0

# Idle connections kept to one address.
MAX_IDLE = 64


class TargetError(Exception):
    """A call without a whole answer. `sent` is False if no byte of it was written."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


class Head(NamedTuple):
    """The head of an answer as it came."""

    status: int
    headers: Headers


class Connection(asyncio.Protocol):
    """One connection; it carries one call at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.busy = False
        self.closed = False
        self.finished = False
        self.error: Exception | None = None
        self.early = False
        self.idle_since = 0.0
        self.idle_ms = DEFAULT_IDLE_MS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports do not derive from asyncio's classes.
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # the option is a safeguard that a system may not have
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        if not self.busy:
            # Bytes that belong to no request.
            self.abort()
            return
        self.http.receive_data(data)
        self.wake()

    def eof_received(self) -> bool:
        if self.busy and not self.finished:
            self.http.receive_data(b"")
        self.finished = True
        self.wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.error = exc
        self.wake()

    def wake(self) -> None:
        """Lets the call look for its next event."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def abort(self) -> None:
        """Closes the connection at once."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
        self.wake()

    def send(self, method: bytes, path: bytes, headers: Headers, body: bytes) -> None:
        """Writes a whole request; raises TargetError if it can't be sent as it is."""
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
        self.transport.write(b"".join(part for part in (head, data, end) if part))

    async def event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """The next event of the answer; raises TargetError if the answer is not whole."""
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                self.abort()
                raise TargetError(f"protocol: {error}"[:120], sent=True) from error
            if event is not h11.NEED_DATA:
                return event
            if self.closed:
                reason = type(self.error).__name__ if self.error is not None else "closed"
                raise TargetError(reason, sent=True)
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None

    async def head(self) -> Head:
        """The head of the answer; informational ones are passed over."""
        while True:
            event = await self.event()
            if isinstance(event, h11.Response):
                if self.transport is not None and self.transport.get_write_buffer_size():
                    # The target answered before it had read the whole body.
                    self.early = True
                return Head(event.status_code, list(event.headers.raw_items()))
            if not isinstance(event, h11.InformationalResponse):
                self.abort()
                raise TargetError("no answer", sent=True)

    async def data(self) -> bytes | None:
        """The next part of the body; None after the whole of it."""
        event = await self.event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        self.abort()
        raise TargetError("closed", sent=True)

    async def body(self) -> bytes:
        """The whole rest of the body."""
        parts = []
        while (part := await self.data()) is not None:
            parts.append(part)
        return b"".join(parts)

    def reusable(self) -> bool:
        """Makes the connection ready for another call, if nothing speaks against it."""
        http = self.http
        if self.closed or self.finished or self.early or http.trailing_data[0]:
            return False
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        self.busy = False
        return True


class Connections:
    """The connections of this host to all targets; `opened` and `reused` count them."""

    def __init__(self) -> None:
        self.idle: dict[str, list[Connection]] = {}
        self.opened = 0
        self.reused = 0

    def kept(self, address: str, now: float, share: float) -> Connection | None:
        """The youngest idle connection that is unlikely to have been closed by the target."""
        waiting = self.idle.get(address, [])
        while waiting:
            connection = waiting.pop()
            if not connection.closed and now - connection.idle_since <= share * connection.idle_ms:
                return connection
            connection.abort()
        return None

    async def open(self, address: str, now: float, *, share: float = 1.0) -> Connection:
        """A connection to `address`; raises TargetError if none can be made.

        A kept connection is used only within `share` of its idle time; 0 asks for a new one.
        """
        found = self.kept(address, now, share)
        if found is not None:
            self.reused += 1
            return found
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                _, connection = await loop.create_connection(
                    lambda: Connection(address), ip, int(port)
                )
        except (TimeoutError, OSError) as error:
            raise TargetError(f"connect: {type(error).__name__}", sent=False) from error
        return connection

    def give_back(self, connection: Connection, now: float, idle_s: float | None) -> None:
        """Keeps a connection whose answer has been read, or closes it."""
        waiting = self.idle.setdefault(connection.address, [])
        if len(waiting) >= MAX_IDLE or idle_s == 0 or not connection.reusable():
            connection.abort()
            return
        if idle_s is not None:
            connection.idle_ms = IDLE_SHARE * idle_s * 1000
        connection.idle_since = now
        waiting.append(connection)

    def close_idle(self, now: float) -> None:
        """Closes connections that have been idle for too long."""
        for address, waiting in list(self.idle.items()):
            late = [c for c in waiting if c.closed or now - c.idle_since > c.idle_ms]
            for connection in late:
                waiting.remove(connection)
                connection.abort()
            if not waiting:
                del self.idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for waiting in self.idle.values():
            for connection in waiting:
                connection.abort()
        self.idle.clear()
