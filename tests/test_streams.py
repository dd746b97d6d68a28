"""The server of tests that work with raw connections."""

from __future__ import annotations

import asyncio

from tests.streams import StreamServer


class TestStop:
    async def test_stop_ends_waiting_handlers_and_their_connections(self):
        """Guards against streams that outlive the event loop.

        Their finalizers failed with `Event loop is closed` in a later test.
        """
        writers = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            await asyncio.Event().wait()

        server = StreamServer(serve)
        before = asyncio.all_tasks()
        ip, port = (await server.start()).split(":")
        _, writer = await asyncio.open_connection(ip, int(port))
        while not writers:  # noqa: ASYNC110 (set by the handler)
            await asyncio.sleep(0.01)
        await server.stop()
        assert asyncio.all_tasks() == before
        assert all(w.transport.is_closing() for w in writers)
        writer.close()
