"""A server in a process of its own whose answers do not end before the client closes."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
from collections.abc import Iterator

PIECE = b"x" * 65_536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = b"data: a b c\n\n" * 4_096

# Events and comments in one chunk of a stream.
PARTS = 1_024

# What each kind of endless answer starts with and repeats.
ENDLESS = {
    "chunked body": (CHUNKED, CHUNK),
    "body without a length": (HEAD + b"\r\n", PIECE),
    "body of a huge length": (HEAD + b"Content-Length: 99999999999999\r\n\r\n", PIECE),
    "tiny chunks": (CHUNKED, b"1\r\nx\r\n" * 8_192),
    "chunk header": (CHUNKED + b"10000;", PIECE),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n" * 8_192),
    "head": (HEAD, b"a: b\r\n" * 8_192),
    "status line": (b"HTTP/1.1 200 ", PIECE),
    "informational responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_048),
    "no answer": (b"", PIECE),
    "events": (CHUNKED, b"%x\r\n" % len(EVENTS) + EVENTS + b"\r\n"),
    "bytes after the answer": (HEAD + b"Content-Length: 2\r\n\r\nok", PIECE),
}

# Parts of streams that are well formed.
POURED = {
    "comments": b": x\n\n",
    "one event": b"id: 1\ndata: x\n\n",
    "events without ids": b"data: x\n\n",
    "rising ids": b"id: %d\ndata: x\n\n",
}


def pour(kind: str) -> Iterator[bytes]:
    """Yields the chunks of an endless stream of a kind."""
    part = POURED[kind]
    for first in itertools.count(1, PARTS):
        rising = b"%d" in part
        parts = [part % n if rising else part for n in range(first, first + PARTS)]
        data = b"".join(parts)
        yield b"%x\r\n%s\r\n" % (len(data), data)


class EndlessServer:
    """Answers every request with `start`, then `repeated` again and again.

    `poured` is the kind of an endless stream that is sent in place of `repeated`.
    """

    def __init__(self, start: bytes, repeated: bytes, poured: str | None = None) -> None:
        self.start = start
        self.repeated = repeated
        self.poured = poured
        self.sent_bytes = 0
        self.closed_connections = 0

    async def __aenter__(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        ip, port = self.server.sockets[0].getsockname()
        return f"{ip}:{port}"

    async def __aexit__(self, *details: object) -> None:
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.start)
            chunks = pour(self.poured) if self.poured else itertools.repeat(self.repeated)
            for chunk in chunks:
                writer.write(chunk)
                await writer.drain()
                self.sent_bytes += len(chunk)
        self.closed_connections += 1
        writer.close()


# Callers that send bodies at once.
CALLERS = 20

# Chunks of one byte.
TINY_CHUNKS = b"1\r\nx\r\n" * 8_192


async def pour_bodies(address: str) -> None:
    """Sends requests whose bodies do not end to a host, one after the other."""
    ip, _, port = address.rpartition(":")
    head = "POST /book/{} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {}\r\nKey: k1\r\n"
    for number in itertools.count():
        request = head.format(number, number) + "Transfer-Encoding: chunked\r\n\r\n"
        with contextlib.suppress(ConnectionError):
            _, writer = await asyncio.open_connection(ip, int(port))
            writer.write(request.encode())
            while not writer.transport.is_closing():
                writer.write(TINY_CHUNKS)
                await writer.drain()


async def call(address: str) -> None:
    """Sends endless bodies to a host until standard input ends."""
    callers = [asyncio.create_task(pour_bodies(address)) for _ in range(CALLERS)]
    await asyncio.to_thread(sys.stdin.read)
    for caller in callers:
        caller.cancel()


async def main(kind: str) -> None:
    """Serves until standard input ends; prints the address."""
    server = EndlessServer(CHUNKED, b"", kind) if kind in POURED else EndlessServer(*ENDLESS[kind])
    async with server as address:
        print(address, flush=True)
        await asyncio.to_thread(sys.stdin.read)


if __name__ == "__main__":
    kind = sys.argv[1]
    asyncio.run(call(sys.argv[2]) if kind == "bodies" else main(kind))
