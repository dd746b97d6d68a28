"""Reads and writes HTTP/1.1 messages on plain connections."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

MAX_HEAD_BYTES = 65_536


class Message(NamedTuple):
    """A request or a response; `first` is its first line, the names of headers are lowercase."""

    first: str
    headers: dict[str, str]
    body: bytes

    def status(self) -> int:
        """Returns the status of a response."""
        return int(self.first.split()[1])


def encode(first: str, headers: Iterable[tuple[str, str]], body: bytes | None = None) -> bytes:
    """Encodes a message; without a body it has no length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


def encode_chunk(data: bytes) -> bytes:
    """Encodes one chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Reads a chunked body to its end."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message; raises IncompleteReadError if the connection ends before."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


async def call(port: int, request: bytes, timeout_s: float) -> Message | str:
    """Sends a request on a new connection; returns the response, or how the connection ended."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=MAX_HEAD_BYTES)
    except OSError as error:
        return f"no connection: {type(error).__name__}"
    try:
        writer.write(request)
        async with asyncio.timeout(timeout_s):
            return await read_message(reader)
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        return f"no answer: {type(error).__name__}"
    finally:
        writer.close()
