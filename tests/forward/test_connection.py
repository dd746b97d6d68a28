"""Incomplete, malformed or unexpected responses of targets are detected."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

import pytest
import uvloop

from savoryfork.forward.connection import Connection, Connections, TargetError
from tests.forward.deployment import until
from tests.streams import ConnectionHandler, StreamServer

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def request_head(reader: asyncio.StreamReader) -> bytes:
    return await reader.readuntil(b"\r\n\r\n")


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes the connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@pytest.fixture
async def target():
    """Returns a function that starts a server with a connection handler and gives its address."""
    servers = []

    async def start(serve: ConnectionHandler) -> str:
        server = StreamServer(serve)
        servers.append(server)
        return await server.start()

    yield start
    for server in servers:
        await server.stop()


async def exchange(connection: Connection, path: bytes = b"/", body: bytes = b"") -> bytes:
    headers = [(b"Host", b"h"), (b"Content-Length", str(len(body)).encode())]
    connection.send(b"POST", path, headers, body)
    await connection.read_head()
    return await connection.read_body()


class TestCompleteness:
    async def test_response_without_length_that_is_reset_is_incomplete(self, target):
        async def serve(reader, writer):
            await request_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf of it")
            await writer.drain()
            reset(writer)

        connection = await Connections().open(await target(serve), 0.0)
        with pytest.raises(TargetError) as error:
            await exchange(connection)
        assert error.value.sent

    async def test_response_without_length_that_is_closed_is_complete(self, target):
        async def serve(reader, writer):
            await request_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nall of it")
            writer.close()

        connection = await Connections().open(await target(serve), 0.0)
        assert await exchange(connection) == b"all of it"
        assert not connection.prepare_reuse()

    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Le",
            b"HTTP/1.1 000 OK\r\n\r\nbody",
            b"HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nbody",
            b"HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nbody",
            b"\x00\x01 nothing of the protocol\r\n\r\n",
            b"",
        ],
    )
    async def test_truncated_or_malformed_response_is_an_error(self, target, answer):
        async def serve(reader, writer):
            await request_head(reader)
            writer.write(answer)
            writer.close()

        connection = await Connections().open(await target(serve), 0.0)
        with pytest.raises(TargetError) as error:
            await exchange(connection)
        assert error.value.sent


class TestResetUploads:
    """A target answers without a length and resets the connection before it has read the body."""

    def answer_and_reset(self, listener: socket.socket) -> None:
        sock, _ = listener.accept()
        sock.recv(1)
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf of it")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    @pytest.mark.parametrize("upload_bytes", [10, 4_000_000])
    @pytest.mark.parametrize("pause_s", [0.0, 0.1])
    def test_part_of_an_answer_is_incomplete(self, upload_bytes, pause_s):
        """Guards against a reset that is read as the end of the body, on the loop of hosts.

        The target has a thread of its own, so that what it sends arrives at once after a pause.
        """

        async def upload(listener: socket.socket) -> None:
            answered = asyncio.create_task(asyncio.to_thread(self.answer_and_reset, listener))
            address = "{}:{}".format(*listener.getsockname())
            connection = await Connections().open(address, 0.0)
            call = asyncio.create_task(exchange(connection, body=b"x" * upload_bytes))
            asyncio.get_running_loop().call_soon(time.sleep, pause_s)
            with pytest.raises(TargetError) as error:
                await call
            assert error.value.sent
            await answered

        with (
            socket.create_server(("127.0.0.1", 0)) as listener,
            asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
        ):
            runner.run(upload(listener))


class TestReuse:
    async def test_idle_connection_is_reused(self, target):
        opened = []

        async def serve(reader, writer):
            opened.append(writer)
            while True:
                await request_head(reader)
                writer.write(OK)

        address, connections = await target(serve), Connections()
        for _ in range(2):
            connection = await connections.open(address, 0.0)
            assert await exchange(connection) == b"ok"
            connections.release_connection(connection, 0.0, 5.0)
        assert len(opened) == 1 and connections.reused == 1
        connections.close()

    @pytest.mark.parametrize("extra", [OK, b"rubbish"])
    async def test_bytes_after_response_close_the_connection(self, target, extra):
        async def serve(reader, writer):
            await request_head(reader)
            writer.write(OK + extra)
            await reader.read()

        connections = Connections()
        connection = await connections.open(await target(serve), 0.0)
        assert await exchange(connection) == b"ok"
        connections.release_connection(connection, 0.0, 5.0)
        assert connections.take_idle(connection.address, 0.0, 1.0) is None

    async def test_bytes_on_idle_connection_close_it(self, target):
        send_more = asyncio.Event()

        async def serve(reader, writer):
            await request_head(reader)
            writer.write(OK)
            await send_more.wait()
            writer.write(OK)
            await reader.read()

        connections = Connections()
        connection = await connections.open(await target(serve), 0.0)
        await exchange(connection)
        connections.release_connection(connection, 0.0, 5.0)
        send_more.set()
        await until(lambda: connection.closed, 2.0)
        assert connections.take_idle(connection.address, 0.0, 1.0) is None

    async def test_connection_is_not_reused_after_early_response(self, target):
        async def serve(reader, writer):
            await request_head(reader)
            writer.write(OK)
            await asyncio.Event().wait()

        connections = Connections()
        connection = await connections.open(await target(serve), 0.0)
        assert await exchange(connection, body=b"x" * 20_000_000) == b"ok"
        assert not connection.prepare_reuse()
        connection.abort()

    async def test_connection_is_not_reused_beyond_announced_idle_timeout(self, target):
        async def serve(reader, writer):
            while True:
                await request_head(reader)
                writer.write(OK)

        connections = Connections()
        connection = await connections.open(await target(serve), 0.0)
        await exchange(connection)
        connections.release_connection(connection, 0.0, 1.0)
        assert connections.take_idle(connection.address, 900.0, 1.0) is None

    async def test_non_repeatable_request_reuses_only_recent_connections(self, target):
        async def serve(reader, writer):
            while True:
                await request_head(reader)
                writer.write(OK)

        connections = Connections()
        connection = await connections.open(await target(serve), 0.0)
        await exchange(connection)
        connections.release_connection(connection, 0.0, 1.0)
        assert connections.take_idle(connection.address, 500.0, 0.5) is None

    async def test_reset_of_reused_connection_counts_as_sent(self, target):
        async def serve(reader, writer):
            await request_head(reader)
            writer.write(OK)
            await request_head(reader)
            reset(writer)

        connections = Connections()
        connection = await connections.open(await target(serve), 0.0)
        await exchange(connection)
        connections.release_connection(connection, 0.0, 5.0)
        reused = await connections.open(connection.address, 1.0)
        with pytest.raises(TargetError) as error:
            await exchange(reused)
        assert reused is connection and error.value.sent


class TestSending:
    async def test_refused_connection_counts_as_not_sent(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
        with pytest.raises(TargetError) as error:
            await Connections().open(address, 0.0)
        assert not error.value.sent

    async def test_path_is_sent_unchanged(self, target):
        seen = []

        async def serve(reader, writer):
            seen.append(await request_head(reader))
            writer.write(OK)

        connection = await Connections().open(await target(serve), 0.0)
        await exchange(connection, b"/a%2fb/../%C3%A9//;x?q=%20&&a=+")
        assert seen[0].startswith(b"POST /a%2fb/../%C3%A9//;x?q=%20&&a=+ HTTP/1.1\r\n")
        connection.abort()
