"""Callers out of control: they send much, or read nothing, and keep their connections open."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator

# Legal for the configuration of these tests, whose limit is 4 MiB.
BODY_BYTES = 1_000_000

# What most of them hold back of a body.
MISSING_BYTES = 10

PART_BYTES = 10_000
HALF_HEAD = b"POST /book/1 HTTP/1.1\r\nHost: a.example\r\nX-Filler: " + b"f" * 4_000
ANSWER_BYTES = 250_000


def head(number: int, *lines: bytes) -> bytes:
    """Returns the head of a request that runs at most once."""
    start = b"POST /book/%d HTTP/1.1\r\nHost: a.example\r\nRequest-Id: crowd-%d" % (number, number)
    return b"\r\n".join([start, b"Key: key-0", b"Deadline-Ms: 30000", *lines, b"", b""])


def whole_body(number: int) -> Iterator[bytes]:
    """A body with a length, all but its last bytes at once."""
    yield head(number, b"Content-Length: %d" % BODY_BYTES)
    yield b"b" * (BODY_BYTES - MISSING_BYTES)


def complete_body(number: int) -> Iterator[bytes]:
    """A body with a length, to its end."""
    yield head(number, b"Content-Length: %d" % BODY_BYTES)
    yield b"b" * BODY_BYTES


def body_in_parts(number: int) -> Iterator[bytes]:
    """A body in chunks, without its last one."""
    yield head(number, b"Transfer-Encoding: chunked")
    chunk = b"%x\r\n" % PART_BYTES + b"b" * PART_BYTES + b"\r\n"
    for _ in range(BODY_BYTES // PART_BYTES):
        yield chunk


def half_head(number: int) -> Iterator[bytes]:
    """The first part of a head."""
    yield HALF_HEAD


def nothing(number: int) -> Iterator[bytes]:
    """A connection only."""
    yield from ()


def unread_answer(number: int) -> Iterator[bytes]:
    """A request whose answer, of about its size, is not read."""
    yield head(number, b"Content-Length: %d" % ANSWER_BYTES) + b"b" * ANSWER_BYTES


class Crowd:
    """Callers that send at the same time and then keep their connections until the end."""

    def __init__(self, address: str, count: int, parts: Callable[[int], Iterator[bytes]]) -> None:
        ip, _, port = address.rpartition(":")
        self.address = ip, int(port)
        self.count = count
        self.parts = parts
        self.sockets: list[socket.socket] = []

    async def __aenter__(self) -> Crowd:
        return self

    async def __aexit__(self, *details: object) -> None:
        for caller in self.sockets:
            caller.close()

    async def send(self) -> None:
        """Lets all of them send what they have; a refusal or a closed connection ends one."""
        await asyncio.gather(*map(self.send_one, range(self.count)))

    async def send_one(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        caller = socket.socket()
        self.sockets.append(caller)
        caller.setblocking(False)
        if self.parts is unread_answer:
            # So that the system keeps little of what the caller does not read.
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        with contextlib.suppress(OSError):
            await loop.sock_connect(caller, self.address)
            for part in self.parts(number):
                # A host that has refused the caller may not read on.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(10.0):
                        await loop.sock_sendall(caller, part)


async def keep_sampling(measure: Callable[[], int], found: list[int]) -> None:
    """Appends a value to a list again and again until it is cancelled."""
    while True:
        found.append(measure())
        await asyncio.sleep(0.05)


Send = Callable[[], Awaitable[int]]


async def until_answered(send: Send, limit_s: float) -> None:
    """Repeats a request while it is refused, as callers do; raises TimeoutError after the limit."""
    async with asyncio.timeout(limit_s):
        while await send() != 200:  # noqa: ASYNC110 (the answer of another process)
            await asyncio.sleep(0.1)
