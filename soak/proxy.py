"""A loopback TCP proxy that can delay or drop traffic and reset connections."""

from __future__ import annotations

import asyncio
import socket
import struct

CHUNK_BYTES = 65_536


class Proxy:
    """Forwards connections to one address, with faults that can be changed at any time.

    `silent` drops the bytes of both directions, `deaf` only those from the target to the client.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self.silent = False
        self.deaf = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.connections: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listens on a free port and returns the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        ip, port = self.server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        return self.address

    async def stop(self) -> None:
        """Closes the listener, resets all connections and waits until they have ended."""
        self.server.close()
        self.reset()
        connections = list(self.connections)
        for connection in connections:
            connection.cancel()
        await asyncio.gather(*connections, return_exceptions=True)

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def clear_faults(self) -> None:
        """Ends all faults; connections that lost bytes are reset."""
        if self.silent or self.deaf:
            self.reset()
        self.delay_s, self.silent, self.deaf = 0.0, False, False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forwards one connection."""
        connection = asyncio.current_task()
        assert connection is not None
        self.connections.add(connection)
        connection.add_done_callback(self.connections.discard)
        ip, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except (OSError, asyncio.CancelledError) as error:
            writer.transport.abort()
            if isinstance(error, asyncio.CancelledError):
                raise
            return
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self.pump(reader, target_writer, to_client=False),
                self.pump(target_reader, writer, to_client=True),
            )
        finally:
            self.writers -= {writer, target_writer}
            # Both directions have ended, but a stream stays open until it is closed.
            writer.close()
            target_writer.close()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_client: bool
    ) -> None:
        """Copies one direction until end of file."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not self.silent and not (to_client and self.deaf):
                    writer.write(data)
                    await writer.drain()
            writer.write_eof()
        except OSError:
            writer.transport.abort()  # propagates a reset to the other side
