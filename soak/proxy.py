"""A loopback proxy that delays, silences, cuts one way, or resets connections."""

from __future__ import annotations

import asyncio
import socket
import struct

CHUNK_BYTES = 65_536


class Proxy:
    """Passes connections on to one address; what it does to them can change at any time.

    `silent` holds back bytes of both directions, `deaf` only those towards the caller.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self.silent = False
        self.deaf = False
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listens on a free port and returns the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        ip, port = self.server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        return self.address

    async def stop(self) -> None:
        """Closes everything."""
        self.server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def heal(self) -> None:
        """Passes everything on again; what was held back is lost with its connections."""
        if self.silent or self.deaf:
            self.reset()
        self.delay_s, self.silent, self.deaf = 0.0, False, False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        ip, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self.pump(reader, far_writer, back=False), self.pump(far_reader, writer, back=True)
            )
        finally:
            self.writers -= {writer, far_writer}

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, back: bool
    ) -> None:
        """Copies one direction until its end."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not self.silent and not (back and self.deaf):
                    writer.write(data)
                    await writer.drain()
            writer.write_eof()
        except OSError:
            writer.transport.abort()  # a reset of one side is passed on as one
