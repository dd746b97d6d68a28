"""Bytes without end: memory stays bounded whatever targets, callers and the store send."""

from __future__ import annotations

import asyncio
import contextlib
import resource

import pytest

from savoryfork.errors import ErrorKind, ServiceError
from savoryfork.forward.connection import Connection, Connections, TargetError
from savoryfork.forward.entry import read_body
from savoryfork.forward.events import EventSplitter, EventTooLarge
from savoryfork.forward.limits import DEFAULT_LIMITS, ReadLimits
from tests.forward.deployment import Deployment, until

PIECE = b"x" * 65_536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
EVENTS = b"data: a b c\n\n" * 4_096

# What each kind of endless response starts with and repeats.
ENDLESS = {
    "chunked body": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "body without a length": (HEAD + b"\r\n", PIECE),
    "body of a huge length": (HEAD + b"Content-Length: 99999999999999\r\n\r\n", PIECE),
    "tiny chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 8_192),
    "chunk header": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n10000;", PIECE),
    "trailers": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n" * 8_192),
    "head": (HEAD, b"a: b\r\n" * 8_192),
    "status line": (b"HTTP/1.1 200 ", PIECE),
    "informational responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_048),
    "no answer": (b"", PIECE),
}

# Allowed growth of the process with fifty such targets at once, in bytes.
MAX_GROWTH_BYTES = 40_000_000


def peak_bytes() -> int:
    """Returns the peak resident memory of this process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


class EndlessServer:
    """Answers every request with bytes that do not end before the client closes."""

    def __init__(self, start: bytes, repeated: bytes) -> None:
        self.start = start
        self.repeated = repeated
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
            while True:
                writer.write(self.repeated)
                await writer.drain()
                self.sent_bytes += len(self.repeated)
        self.closed_connections += 1
        writer.close()


async def send_request(address: str, limits: ReadLimits = DEFAULT_LIMITS) -> Connection:
    connection = await Connections(limits).open(address, 0.0)
    connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
    return connection


async def read_answer(connection: Connection) -> None:
    await connection.read_head()
    await connection.read_body()


class TestTargets:
    @pytest.mark.parametrize("kind", ENDLESS)
    async def test_endless_answer_closes_the_connection(self, kind):
        """Guards against a host that reads until its caller's time is up."""
        server = EndlessServer(*ENDLESS[kind])
        async with server as address, asyncio.timeout(5.0):
            connection = await send_request(address)
            with pytest.raises(TargetError) as error:
                await read_answer(connection)
            assert error.value.sent and connection.closed
            await until(lambda: server.closed_connections)

    @pytest.mark.parametrize("kind", ENDLESS)
    async def test_fifty_endless_targets_leave_memory_and_time_for_others(self, kind):
        """Guards against a host that is killed for its memory, or too busy for other requests."""
        turns = [0.0]
        loop = asyncio.get_running_loop()

        async def measure_turns() -> None:
            last = loop.time()
            while True:
                await asyncio.sleep(0.005)
                now = loop.time()
                turns.append(now - last)
                last = now

        measuring = asyncio.create_task(measure_turns())
        before = peak_bytes()
        async with EndlessServer(*ENDLESS[kind]) as address, asyncio.timeout(20.0):
            connections = [await send_request(address) for _ in range(50)]
            results = await asyncio.gather(
                *(read_answer(connection) for connection in connections), return_exceptions=True
            )
        measuring.cancel()
        assert all(isinstance(result, TargetError) for result in results)
        # The server runs in the same process, with a write buffer for each connection.
        assert peak_bytes() - before < MAX_GROWTH_BYTES + 50 * 2 * len(ENDLESS[kind][1])
        assert max(turns) < 0.4

    async def test_unread_stream_stops_the_target(self):
        """Guards against a host that buffers a stream whose caller reads slowly."""
        server = EndlessServer(*ENDLESS["chunked body"])
        async with server as address:
            connection = await send_request(address)
            await connection.read_head()
            await until(lambda: connection.reading_paused)
            sent_bytes = -1
            while sent_bytes != server.sent_bytes:
                sent_bytes = server.sent_bytes
                await asyncio.sleep(0.1)
            assert connection.received_bytes < 1_000_000
            for _ in range(200):
                assert await connection.read_chunk()
            await until(lambda: server.sent_bytes > sent_bytes)
            connection.abort()

    async def test_bytes_after_the_response_are_not_kept(self):
        """Guards against a connection that collects what follows its response."""
        response = HEAD + b"Content-Length: 2\r\n\r\nok"
        server = EndlessServer(response, PIECE)
        async with server as address:
            connections = Connections()
            connection = await connections.open(address, 0.0)
            connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
            await read_answer(connection)
            connections.release_connection(connection, 0.0, 5.0)
            await until(lambda: server.closed_connections)
            assert connection.closed and not connection.received

    async def test_interim_responses_below_the_limit_are_skipped(self):
        """Guards against a limit that refuses ordinary informational responses."""
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n" * DEFAULT_LIMITS.interim_responses

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(interim + HEAD + b"Content-Length: 2\r\n\r\nok")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        connection = await send_request(f"{ip}:{port}")
        assert (await connection.read_head()).status == 200
        assert await connection.read_body() == b"ok"
        server.close()

    async def test_answer_up_to_the_limit_is_complete(self):
        """Guards against a limit that cuts off an answer of just the permitted size."""
        limits = ReadLimits(answer_bytes=200_000)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"\r\n" + b"x" * 200_000)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        connection = await send_request(f"{ip}:{port}", limits)
        await connection.read_head()
        assert len(await connection.read_body()) == 200_000
        server.close()


class TestEvents:
    def test_event_without_end_is_refused(self):
        """Guards against an event that collects the whole stream."""
        splitter = EventSplitter(1_000)
        assert len(splitter.feed(EVENTS)) == 4_096
        splitter.feed(b"d" * 900)
        with pytest.raises(EventTooLarge):
            splitter.feed(b"d" * 200)

    def test_event_in_countless_parts_is_refused(self):
        """Guards against an event of tiny chunks, which keeps the host busy."""
        splitter = EventSplitter(64 * 100)
        for _ in range(100):
            splitter.feed(b"d")
        with pytest.raises(EventTooLarge):
            splitter.feed(b"d")


class TestCallers:
    async def feed(self, parts: int, end: bool) -> asyncio.StreamReader:
        reader = asyncio.StreamReader(limit=2**24)
        for _ in range(parts):
            reader.feed_data(PIECE)
        if end:
            reader.feed_eof()
        return reader

    async def test_endless_body_is_refused_before_anything_runs(self):
        """Guards against a caller's body that fills the host."""
        async with Deployment() as deployment:

            async def endless():
                while True:
                    yield PIECE
                    await asyncio.sleep(0)

            headers = {"Host": "a.example", "Request-Id": "r1", "Key": "k1"}
            async with asyncio.timeout(5.0):
                async with deployment.session.post(
                    deployment.url("/book/1"), headers=headers, data=endless()
                ) as response:
                    assert response.status == 413
                    body = await response.json()
            assert body["error"]["kind"] == "body_too_large" and body["error"]["ran"] == "no"
            assert not any(replica.received for replica in deployment.replicas["plain"])

    async def test_slow_body_is_refused_within_the_callers_time(self):
        """Guards against a body that is waited for long after its caller has given up."""

        class Content:
            async def readany(self) -> bytes:
                await asyncio.sleep(0.05)
                return b"x"

        with pytest.raises(ServiceError) as error:
            await read_body(Content(), 1_000, 200.0)
        assert error.value.kind is ErrorKind.BODY_TOO_SLOW

    async def test_caller_that_does_not_read_does_not_charge_the_target(self):
        """Guards against a target that is ejected because a caller stopped reading."""
        async with Deployment() as deployment:
            host = deployment.hosts[0]
            server = EndlessServer(
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
                b"%x\r\n" % len(EVENTS) + EVENTS + b"\r\n",
            )
            async with server as address:
                for replica in deployment.replicas["engine"]:
                    replica.address = address
                    deployment.register("engine", replica)
                registry = host.follower.registry
                await until(lambda: {t.address for t in registry.usable("engine")} == {address})
                ip, port = host.settings.caller_address.rsplit(":", 1)
                _, writer = await asyncio.open_connection(ip, int(port), limit=1_024)
                writer.write(
                    b"POST /ask/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r2\r\nKey: k1\r\n"
                    b"Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
                )
                await until(lambda: server.sent_bytes)
                await until(lambda: not host.entry.inflight, 5.0)
                await until(lambda: server.closed_connections)
                assert not host.health.by_incarnation
                writer.close()
