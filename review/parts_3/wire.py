"""HTTP/1.1 as clients and replicas speak it, on plain streams."""

from __future__ import annotations

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """A request or an answer: its first line, headers (lowercase names) and body.

    `complete` is False for an answer that ended early.
    """

    line: str
    headers: dict[str, str]
    body: bytes
    complete: bool = True

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.line.split()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads the first line and the headers; raises EOFError if the connection ends."""
    line = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
    headers: dict[str, str] = {}
    while (row := (await reader.readuntil(b"\r\n")).decode("latin-1").strip()) != "":
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Reads a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readuntil(b"\r\n")) != b"\r\n":
            pass
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a request or an answer with a framed body."""
    line, headers = await read_head(reader)
    return Message(line, headers, await read_body(reader, headers))


def encode(line: str, headers: dict[str, str], body: bytes | None = None) -> bytes:
    """Encodes a message; a body gets a length."""
    rows = [line, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*rows, "", ""]).encode("latin-1") + (body or b"")


class Client:
    """A client's kept connection to one host."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(
        self, line: str, headers: dict[str, str], body: bytes | None, timeout_s: float
    ) -> Message | None:
        """Sends a request; returns its answer, or None if the connection ended without one."""
        try:
            async with asyncio.timeout(timeout_s):
                if self.writer is None:
                    ip, _, port = self.address.rpartition(":")
                    self.reader, self.writer = await asyncio.open_connection(ip, int(port))
                assert self.reader is not None
                self.writer.write(encode(line, headers, body))
                answer = await read_message(self.reader)
        except (OSError, EOFError, TimeoutError):
            self.close()
            return None
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
