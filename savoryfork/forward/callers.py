"""The connections of callers: how many a host keeps, and which of them it closes.

The load pattern: hundreds of connections that send nothing, or a head without its end, beside
ordinary callers. Each takes a descriptor and some memory until its time is up.
"""

from __future__ import annotations

import asyncio
import logging
import resource
import socket
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol, TypeVar

from aiohttp import web

from savoryfork.forward.model import CallerLimits
from savoryfork.util import logs
from savoryfork.util.background import BackgroundTasks

log = logging.getLogger(__name__)

# Share of a host's descriptors for callers. Each request in progress needs one for its target, and
# targets, other hosts and the store keep idle connections.
CALLERS_SHARE = 0.4

# The least number of callers' connections that a host accepts, whatever its descriptors.
LEAST_CONNECTIONS = 16

# A connection takes some 25 KB, and half as much again while a head arrives.
CONNECTION_BYTES = 40_000

# The largest number of connections that wait to be accepted.
MAX_BACKLOG = 1_024

# Connections accepted in one turn of the loop.
ACCEPTS_PER_TURN = 16

# What the kernel keeps of unread bytes, twice this. The loop reads all of them at once, up to
# 250 KB without this bound, before it can stop to read.
RECEIVE_BUFFER_BYTES = 32_768

# What a head may have, with the part of a body that arrives before the request begins. The largest
# head on the users' sheets has 16 KB, and the connection stops reading after 128 KB of a body.
MAX_HEAD_BYTES = 262_144

# Time beyond the operators' limits after which a connection is closed, as callers may use theirs.
GRACE_MS = 1_000.0


class ConnectionState(Protocol):
    """The state of a caller's connection that decides whether it is closed.

    `busy` is True while a request is in progress. `waiting_since` is when the present head began,
    or else when the connection was last used; `in_head` is True between the two. `used` is True
    once a request came.
    """

    busy: bool
    in_head: bool
    used: bool
    waiting_since: float


def max_connections(descriptors: int, budget: int) -> int:
    """Returns how many connections of callers a host keeps, by its descriptors and its budget.

    >>> max_connections(4_100, 60_000_000), max_connections(300, 60_000_000)
    (750, 120)
    """
    by_memory = budget // 2 // CONNECTION_BYTES
    return max(LEAST_CONNECTIONS, min(int(CALLERS_SHARE * descriptors), by_memory))


def backlog(descriptors: int) -> int:
    """Returns how many connections may wait to be accepted, which happens to all at once.

    >>> backlog(300), backlog(10_250)
    (37, 1024)
    """
    return min(MAX_BACKLOG, descriptors // 8)


def available_descriptors() -> int:
    """Returns how many descriptors the system lets this process open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


State = TypeVar("State", bound=ConnectionState)


def wait_limit_ms(state: ConnectionState, limits: CallerLimits) -> float:
    """Returns for how long a connection may wait for a request; 0 for any time."""
    if state.in_head:
        return limits.header_ms
    return 0.0 if state.used else limits.idle_ms


def overdue(states: Iterable[State], limits: CallerLimits, now: float) -> list[State]:
    """Returns the connections whose head takes too long, or that never sent anything."""
    found = []
    for state in states:
        limit_ms = 0.0 if state.busy else wait_limit_ms(state, limits)
        if limit_ms and now - state.waiting_since > limit_ms + GRACE_MS:
            found.append(state)
    return found


def least_useful(states: Sequence[State]) -> State | None:
    """Returns the connection to close for a new one; None if all have a request in progress.

    Those that never had a request go first, then those that wait longest.
    """
    waiting = [state for state in states if not state.busy]
    return min(waiting, key=lambda state: (state.used, state.waiting_since), default=None)


class CallerConnection(web.RequestHandler):
    """A connection of a caller; implements `ConnectionState`."""

    __slots__ = ("busy", "draining", "head_bytes", "in_head", "now", "used", "waiting_since")

    def __init__(
        self,
        manager: web.Server,
        now: Callable[[], float],
        loop: asyncio.AbstractEventLoop,
        **kwargs: Any,
    ) -> None:
        super().__init__(manager, loop=loop, **kwargs)
        self.now = now
        self.busy = False
        self.draining = False
        self.in_head = False
        self.head_bytes = 0
        self.used = False
        self.waiting_since = now()

    def data_received(self, data: bytes) -> None:
        if not self.busy and not self.draining:
            if not self.in_head:
                self.in_head = True
                self.head_bytes = 0
                self.waiting_since = self.now()
            self.head_bytes += len(data)
            if self.head_bytes > MAX_HEAD_BYTES:
                # The parser bounds each header and their number, but not their sum.
                logs.event(log, "head_too_large", bytes=self.head_bytes)
                self.abort()
                return
        super().data_received(data)

    def abort(self) -> None:
        """Closes the connection and drops what its caller has not read."""
        if self.transport is not None:
            self.transport.abort()

    def begin_request(self) -> None:
        """Records that a request is in progress."""
        self.busy = self.used = True
        self.in_head = False

    def end_request(self, body_read: bool) -> None:
        """Records that the request has ended; the rest of a body that was not read is discarded."""
        self.busy = False
        self.draining = not body_read
        self.waiting_since = self.now()


class CallerServer(web.Server):
    """An HTTP server that keeps at most `most` connections; `refused` and `closed` count the rest.

    A connection beyond that takes the place of the least useful one. `now` returns the time in ms.
    """

    def __init__(self, handler: Any, most: int, now: Callable[[], float], **kwargs: Any) -> None:
        super().__init__(handler, **kwargs)
        self.most = most
        self.now = now
        self.refused = 0
        self.closed = 0

    def __call__(self) -> web.RequestHandler:
        return CallerConnection(self, self.now, self._loop, **self._kwargs)

    def open_connections(self) -> list[CallerConnection]:
        """Returns the connections that are not being closed."""
        return [
            connection
            for connection in self.connections
            if isinstance(connection, CallerConnection)
            and connection.transport is not None
            and not connection.transport.is_closing()
        ]

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Takes a new connection in, and closes another one if there are too many."""
        if len(self.connections) >= self.most:
            self.make_room(transport)
        super().connection_made(handler, transport)

    def make_room(self, transport: asyncio.Transport) -> None:
        """Closes the least useful connection, or the new one if all others are in use."""
        connections = self.open_connections()
        if len(connections) < self.most:
            return
        worst = least_useful(connections)
        if worst is None:
            self.refused += 1
            transport.abort()
        else:
            self.closed += 1
            worst.abort()

    def close_overdue(self, limits: CallerLimits) -> int:
        """Closes the connections whose time is over; returns their number."""
        found = overdue(self.open_connections(), limits, self.now())
        self.closed += len(found)
        for connection in found:
            connection.abort()
        return len(found)


class CallerListener:
    """Accepts connections for a server, a few in each turn of the loop.

    The loop's own server accepts all that wait at once, before any of them can be closed.
    """

    def __init__(self, server: CallerServer, background: BackgroundTasks) -> None:
        self.server = server
        self.background = background
        self.socket: socket.socket | None = None

    def start(self, ip: str, port: int, most_waiting: int) -> None:
        """Begins to listen; raises OSError if the address can't be used."""
        listening = socket.create_server((ip, port), backlog=most_waiting)
        # Accepted connections inherit it.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.setblocking(False)
        self.socket = listening
        asyncio.get_running_loop().add_reader(listening.fileno(), self.accept)

    def accept(self) -> None:
        """Accepts the connections that wait, a few at most."""
        assert self.socket is not None
        for _ in range(ACCEPTS_PER_TURN):
            try:
                accepted, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # The caller has left already, or there is no descriptor for the connection.
                logs.event(log, "accept_failed", logging.WARNING, error=str(error))
                return
            accepted.setblocking(False)
            self.background.spawn(self.connect(accepted))

    async def connect(self, accepted: socket.socket) -> None:
        """Hands a connection to the server."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self.server, accepted)
        except OSError as error:
            accepted.close()
            logs.event(log, "accept_failed", logging.WARNING, error=str(error))

    async def stop(self) -> None:
        """Stops listening; open connections stay."""
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None
