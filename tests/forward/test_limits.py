"""Bytes without end: memory stays bounded whatever targets, callers and the store send."""

from __future__ import annotations

import asyncio
import contextlib
import statistics
import sys
from pathlib import Path

import aiohttp
import pytest

from savoryfork.errors import ErrorKind, ServiceError
from savoryfork.forward.connection import Connection, Connections, TargetError
from savoryfork.forward.entry import read_body
from savoryfork.forward.events import EventSplitter, EventTooLarge
from savoryfork.forward.limits import DEFAULT_LIMITS, ReadLimits
from tests.forward.deployment import Deployment, until
from tests.forward.endless import ENDLESS, EVENTS, HEAD, PIECE, POURED, EndlessServer

# Kinds of endless answers that a read of an entire answer must refuse.
KINDS = [kind for kind in ENDLESS if kind not in ("bytes after the answer", "events")]

# Allowed growth of a host with fifty such targets at once, in bytes.
MAX_GROWTH_BYTES = 40_000_000

TOKENS = {"Token_Usage": "100,6", "Prefix_Hash": "aa:60,cc:10", "Model": "m"}

# Latency objective of plain requests on the users' sheets, in seconds.
AIM_S = 0.4


def reset_peak() -> int:
    """Sets the peak resident memory of this process to its present size and returns it.

    Without that, growth below the peak of an earlier test would go unnoticed.
    """
    Path("/proc/self/clear_refs").write_text("5")
    return peak_bytes()


def peak_bytes() -> int:
    """Returns the peak resident memory of this process since the last reset."""
    status = Path("/proc/self/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) * 1024


@pytest.fixture
async def endless():
    """Starts a server of a kind in its own process and returns its address."""
    processes = []

    async def start(kind: str) -> str:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.forward.endless",
            kind,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        processes.append(process)
        assert process.stdout is not None
        return (await process.stdout.readline()).decode().strip()

    yield start
    for process in processes:
        process.stdin.close()
        await process.wait()


async def send_request(address: str, limits: ReadLimits = DEFAULT_LIMITS) -> Connection:
    connection = await Connections(limits).open(address, 0.0)
    connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
    return connection


async def read_answer(connection: Connection) -> None:
    await connection.read_head()
    await connection.read_body()


class TestTargets:
    @pytest.mark.parametrize("kind", KINDS)
    async def test_endless_answer_closes_the_connection(self, kind):
        """Guards against a host that reads until its caller's time is up."""
        server = EndlessServer(*ENDLESS[kind])
        async with server as address, asyncio.timeout(5.0):
            connection = await send_request(address)
            with pytest.raises(TargetError) as error:
                await read_answer(connection)
            assert error.value.sent and connection.closed
            await until(lambda: server.closed_connections)

    @pytest.mark.parametrize("kind", KINDS)
    async def test_fifty_endless_targets_leave_memory_and_time_for_others(self, kind, endless):
        """Guards against a host that is killed for its memory, or too busy for other requests."""
        times = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(HEAD + b"Content-Length: 2\r\n\r\nok")
            writer.close()

        async def call_good_target(address: str) -> None:
            loop = asyncio.get_running_loop()
            while True:
                started = loop.time()
                connection = await send_request(address)
                try:
                    await read_answer(connection)
                finally:
                    connection.abort()
                times.append(loop.time() - started)

        address = await endless(kind)
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        good = asyncio.create_task(call_good_target(f"{ip}:{port}"))
        before = reset_peak()
        async with asyncio.timeout(20.0):
            connections = [await send_request(address) for _ in range(50)]
            results = await asyncio.gather(
                *(read_answer(connection) for connection in connections), return_exceptions=True
            )
        assert not good.done(), good  # no call to it failed
        good.cancel()
        await asyncio.gather(good, return_exceptions=True)
        server.close()
        await server.wait_closed()
        assert all(isinstance(result, TargetError) for result in results)
        assert peak_bytes() - before < MAX_GROWTH_BYTES
        assert times and max(times) < AIM_S

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
        server = EndlessServer(*ENDLESS["bytes after the answer"])
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
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        connection = await send_request(f"{ip}:{port}")
        assert (await connection.read_head()).status == 200
        assert await connection.read_body() == b"ok"
        server.close()

    async def test_whole_answers_on_one_connection_are_within_its_allowance(self):
        """Guards against a sound target that gets the share of a faulty one for large answers."""
        body = b"x" * 200_000
        ended = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
            writer.close()
            ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        connections = Connections()
        for _ in range(12):
            connection = await connections.open(f"{ip}:{port}", 0.0)
            connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
            await read_answer(connection)
            assert not connection.excess_bytes
            connections.release_connection(connection, 0.0, 5.0)
        assert connections.reused == 11
        connections.close()
        async with asyncio.timeout(5.0):
            await ended.wait()
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

    async def test_head_without_end_closes_the_connection(self):
        """Guards against a head of thousands of large headers, which the parser keeps."""
        async with Deployment() as deployment:
            ip, port = deployment.hosts[0].settings.caller_address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"POST /book/1 HTTP/1.1\r\nHost: a.example\r\n")
            sent = 0
            async with asyncio.timeout(5.0):
                with contextlib.suppress(ConnectionError):
                    while sent < 8_000_000:
                        writer.write(b"X-%d: " % sent + b"h" * 20_000 + b"\r\n")
                        await writer.drain()
                        sent += 20_000
                        await asyncio.sleep(0)
                with contextlib.suppress(ConnectionError):
                    assert await reader.read() == b""
            assert sent < 8_000_000
            writer.close()

    async def test_refusal_reaches_a_caller_that_still_sends(self):
        """Guards against a refusal whose connection is reset as the rest of a body arrives."""
        async with Deployment() as deployment:
            body = b"b" * 3_000_000  # above the default limit
            status, found, _ = await deployment.call("/book/1", content=body)
            assert status == 413 and b"body_too_large" in found

    async def test_bodies_of_tiny_chunks_leave_time_for_others(self):
        """Guards against callers whose bodies keep the host's loop: no other request was served."""
        async with Deployment() as deployment:
            address = deployment.hosts[0].settings.caller_address
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tests.forward.endless",
                "bodies",
                address,
                stdin=asyncio.subprocess.PIPE,
            )
            assert process.stdin is not None
            times = []
            loop = asyncio.get_running_loop()
            try:
                await asyncio.sleep(1.0)
                async with asyncio.timeout(10.0):
                    for _ in range(20):
                        started = loop.time()
                        assert (await deployment.call("/view/x"))[0] == 200
                        times.append(loop.time() - started)
            finally:
                process.stdin.close()
                await process.wait()
            assert statistics.median(times) < AIM_S / 4 and max(times) < AIM_S

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
            server = EndlessServer(*ENDLESS["events"])
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


class TestPouringEngines:
    """An engine sends well-formed parts of streams without end, beside a sound one."""

    @pytest.fixture
    async def deployment(self):
        # With fewer engines none is ejected.
        async with Deployment(replicas=4) as running:
            yield running

    async def replace_engine(self, deployment: Deployment, address: str) -> None:
        """Puts the address of a pouring server in the place of the first engine's."""
        engine = deployment.replicas["engine"][0]
        engine.address = address
        deployment.register("engine", engine)
        registry = deployment.hosts[0].follower.registry
        await until(lambda: address in {t.address for t in registry.usable("engine")})

    @pytest.mark.parametrize("kind", POURED)
    async def test_stream_goes_on_at_another_engine(self, deployment, kind, endless):
        """Guards against streams that end at the deadline, and an engine that stays in use."""
        await self.replace_engine(deployment, await endless(kind))
        health = deployment.hosts[0].health
        # The prefix decides which engine a stream is sent to first.
        for number in range(80):
            headers = {**TOKENS, "Prefix_Hash": f"a{number}:60,b{number}:10"}
            status, body, _ = await deployment.call(f"/chat/{number}", **headers)
            assert status == 200 and b"id: 6\n" in body
            if any(target.ejected for target in health.by_incarnation.values()):
                break
        assert [key[0] for key, h in health.by_incarnation.items() if h.ejected] == ["engine-0"]

    @pytest.mark.parametrize("kind", POURED)
    @pytest.mark.parametrize("tokens", [True, False], ids=["tokens", "no tokens"])
    async def test_other_requests_are_served(self, deployment, kind, tokens, endless):
        """Guards against a loop that is busy with such streams: requests took seconds."""
        address = await endless(kind)
        await self.replace_engine(deployment, address)
        headers = TOKENS if tokens else {}
        stopped = asyncio.Event()

        async def pour(number: int) -> None:
            while not stopped.is_set():
                with contextlib.suppress(aiohttp.ClientError):
                    await deployment.call(f"/ask/{number}", Deadline_Ms="1500", **headers)

        callers = [asyncio.create_task(pour(number)) for number in range(20)]
        times = []
        loop = asyncio.get_running_loop()
        for _ in range(60):
            started = loop.time()
            assert (await deployment.call("/view/x"))[0] == 200
            times.append(loop.time() - started)
            await asyncio.sleep(1 / 60)
        stopped.set()
        await asyncio.gather(*callers)
        assert statistics.median(times) < AIM_S / 4 and max(times) < AIM_S
