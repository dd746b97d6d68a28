"""A server of tests whose handlers and connections end with it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class StreamServer:
    """Serves each connection on loopback with a handler.

    Closing an asyncio server closes only its listener. A handler that still waits then keeps its
    stream open until after the loop has closed.
    """

    def __init__(self, handler: ConnectionHandler) -> None:
        self.handler = handler
        self.open: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def start(self) -> str:
        """Listens on a free port; returns the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        ip, port = self.server.sockets[0].getsockname()
        return f"{ip}:{port}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Runs the handler; its connection stays open when it returns."""
        task = asyncio.current_task()
        assert task is not None
        self.open[task] = writer
        await self.handler(reader, writer)

    async def stop(self) -> None:
        """Closes the listener, aborts all connections and ends their handlers."""
        self.server.close()
        for task, writer in self.open.items():
            writer.transport.abort()
            task.cancel()
        await asyncio.gather(*self.open, return_exceptions=True)
        # The transports close their sockets in the next turn of the loop.
        await asyncio.sleep(0)
