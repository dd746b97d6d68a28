"""The proxy that injects faults leaves nothing open."""

from __future__ import annotations

import asyncio

import pytest

from soak.proxy import Proxy
from tests.forward.deployment import until


@pytest.fixture
async def proxy():
    """A proxy to a server that answers `ok` at the end of what it reads."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.write(b"ok")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    proxy = Proxy(f"{ip}:{port}")
    await proxy.start()
    yield proxy
    await proxy.stop()
    server.close()


async def connect(proxy: Proxy) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection through a proxy."""
    ip, port = proxy.address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    await until(lambda: len(proxy.writers) == 2)
    return reader, writer


class TestClosing:
    async def test_connection_that_both_sides_ended_is_closed(self, proxy):
        """Guards against streams that stay open until the exit of the process.

        Their finalizers then wrote `Event loop is closed` to standard error, 96 times in one soak.
        """
        reader, writer = await connect(proxy)
        writers = list(proxy.writers)
        writer.write_eof()
        assert await reader.read() == b"ok"
        writer.close()
        await until(lambda: not proxy.writers)
        assert all(stream.transport.is_closing() for stream in writers)

    async def test_stop_ends_open_connections(self, proxy):
        """Guards against connections that go on after the deployment has stopped."""
        before = asyncio.all_tasks()
        _, writer = await connect(proxy)
        writers = list(proxy.writers)
        forwarding = {
            task for task in asyncio.all_tasks() - before if "Proxy.serve" in repr(task.get_coro())
        }
        assert len(forwarding) == 1
        await proxy.stop()
        assert all(task.done() for task in forwarding)
        assert all(stream.transport.is_closing() for stream in writers)
        writer.close()
