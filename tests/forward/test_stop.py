"""Planned stops: every request that was read gets a final answer before the process ends."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import aiohttp
import pytest

from savoryfork.forward.gate import FINISH_MARGIN_MS
from savoryfork.forward.host import BALANCER_REMOVAL_MS, EXIT_RESERVE_MS, ForwardHost
from tests.forward.deployment import Deployment, configuration, until

TOKENS = {"Token_Usage": "100,6", "Prefix_Hash": "aa:60,bb:30,cc:10", "Model": "m"}
LONG_MS = "60000"

# The shortest grace period with some time between the last balancer probe and the end.
GRACE_S = (BALANCER_REMOVAL_MS + EXIT_RESERVE_MS) / 1000 + 0.5


@pytest.fixture
async def deployment():
    """A host with a short grace period, two replicas of each service and long route timeouts."""
    async with Deployment() as running:
        document = configuration(2)
        for route in document["routes"]:
            route["timeout_ms"] = 60_000
        running.store.put("keyed.op", "config", document)
        host = running.hosts[0]
        await until(lambda: host.follower.catalog.version == 2)
        host.settings = host.settings._replace(stop_grace_s=GRACE_S)
        yield running


class KeptConnection:
    """A connection of a caller, written by hand."""

    def __init__(self, deployment: Deployment) -> None:
        self.host = deployment.hosts[0]

    async def __aenter__(self) -> KeptConnection:
        ip, _, port = self.host.settings.caller_address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        return self

    async def __aexit__(self, *details: object) -> None:
        self.writer.close()

    def send_head(self, path: str, request_id: str, *lines: str) -> None:
        """Writes the head of a request with a body of 4 bytes."""
        fields = ["Host: a.example", f"Request-Id: {request_id}", "Key: k1", "Content-Length: 4"]
        text = "\r\n".join([f"POST {path} HTTP/1.1", *fields, *lines, "", ""])
        self.writer.write(text.encode())

    def send(self, path: str, request_id: str, *lines: str) -> None:
        """Writes a request."""
        self.send_head(path, request_id, *lines)
        self.writer.write(b"body")

    async def answer(self) -> tuple[int, bytes, float]:
        """Reads an answer; returns its status, its head and the seconds that it took."""
        started = time.monotonic()
        async with asyncio.timeout(5):
            head = await self.reader.readuntil(b"\r\n\r\n")
        return int(head.split()[1]), head.lower(), time.monotonic() - started


def runs(deployment: Deployment, request_id: str) -> int:
    """Returns how often a request was run."""
    replicas = [r for of_service in deployment.replicas.values() for r in of_service]
    return sum(replica.run_counts[request_id] for replica in replicas)


async def wait_stopped(host: ForwardHost) -> None:
    """Waits for the end of the stop."""
    await until(host.stopped.is_set, GRACE_S + 1)


class TestEndOfGrace:
    """Guards against requests that the exit of the process cuts without an answer."""

    @pytest.mark.parametrize(
        ("path", "headers", "status"),
        [
            ("/book/x", {}, 502),
            ("/view/x", {}, 502),
            ("/ask/x", TOKENS, 502),
            ("/chat/x", {"Pieces": "0,0", **TOKENS}, 502),
            ("/chat/x", {"Pieces": "1,8", "Piece_Key": "k", **TOKENS}, 503),
        ],
        ids=["non-idempotent", "idempotent", "stream", "resumable stream", "in its stages"],
    )
    async def test_request_still_running_gets_an_answer(self, deployment, path, headers, status):
        """The answer says truly whether the request may have run."""
        for replicas in deployment.replicas.values():
            for replica in replicas:
                replica.delay_s = 20.0
        host = deployment.hosts[0]
        call = asyncio.create_task(
            deployment.call(path, Request_Id="r", Deadline_Ms=LONG_MS, **headers)
        )
        await until(lambda: host.entry.inflight == 1)
        host.request_stop()
        await wait_stopped(host)
        async with asyncio.timeout(0.1):
            got, _, answer_headers = await call
        assert got == status and answer_headers["Connection"] == "close"
        assert ("Retry-After" in answer_headers) == (status == 503)
        assert (runs(deployment, "r") > 0) == (status == 502)

    async def test_stream_is_aborted_visibly(self, deployment, monkeypatch):
        monkeypatch.setattr("standins.replicas.EVENT_S", 1.0)
        host = deployment.hosts[0]
        headers = {**TOKENS, "Token_Usage": "100,60", "Deadline_Ms": LONG_MS}
        call = asyncio.create_task(deployment.call("/ask/x", Request_Id="r", **headers))
        await until(lambda: runs(deployment, "r") == 1)
        host.request_stop()
        await wait_stopped(host)
        async with asyncio.timeout(0.1):
            with pytest.raises(aiohttp.ClientPayloadError):
                await call

    async def test_body_that_never_ends_is_refused(self, deployment):
        host = deployment.hosts[0]
        async with KeptConnection(deployment) as caller:
            caller.send_head("/book/x", "r", f"Deadline-Ms: {LONG_MS}")
            await until(lambda: host.entry.inflight == 1)
            host.request_stop()
            await wait_stopped(host)
            assert (await caller.answer())[0] == 503

    async def test_answer_that_its_caller_has_not_read_is_sent(self, deployment):
        """Guards against an exit while a part of an answer waits in the process."""
        host = deployment.hosts[0]
        body = b"x" * 200_000
        for replica in deployment.replicas["plain"]:
            replica.status = 200
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.setblocking(False)
            ip, _, port = host.settings.caller_address.rpartition(":")
            loop = asyncio.get_running_loop()
            await loop.sock_connect(caller, (ip, int(port)))
            await until(lambda: bool(host.entry.transports()))
            for transport in host.entry.transports():
                transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096
                )
            head = "POST /book/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r\r\nKey: k1\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            await loop.sock_sendall(caller, head.encode() + body)
            await until(lambda: runs(deployment, "r") == 1)
            host.request_stop()
            received = 0
            while host.entry.inflight:
                received += len(await loop.sock_recv(caller, 4_096))
                await asyncio.sleep(0.001)
            # The request counts as done, but the process still holds a part of its answer.
            await asyncio.sleep(BALANCER_REMOVAL_MS / 1000 + 0.2)
            assert host.entry.unsent_bytes() and not host.stopped.is_set()
            async with asyncio.timeout(1):
                while received < len(body):
                    received += len(await loop.sock_recv(caller, 65_536))
                    await asyncio.sleep(0)
            await until(host.stopped.is_set, 0.2)
            assert not host.entry.unsent_bytes()


class TestLateRequests:
    """Guards against requests that are taken late in a stop and can't end within it."""

    @pytest.mark.parametrize(
        "lines", [(), (f"Deadline-Ms: {LONG_MS}",), ("Token-Usage: 100,6",)], ids=str
    )
    @pytest.mark.parametrize("path", ["/book/x", "/view/x", "/ask/x", "/chat/x"])
    async def test_long_request_on_a_kept_connection(self, deployment, path, lines):
        """Also without a deadline: the route's timeout counts then."""
        host = deployment.hosts[0]
        async with KeptConnection(deployment) as caller:
            drain(host, 2_600, 5_000)
            caller.send(path, "r", *lines)
            status, head, took_s = await caller.answer()
            assert status == 503 and took_s < 0.2 and not runs(deployment, "r")
            assert b"connection: close" in head and b"retry-after: 0.0" in head

    async def test_body_that_ends_late(self, deployment):
        """The time at which a request was read decides, not that of its head."""
        host = deployment.hosts[0]
        async with KeptConnection(deployment) as caller:
            drain(host, 2_400, 5_000)
            caller.send_head("/book/x", "r", f"Deadline-Ms: {LONG_MS}")
            await until(lambda: host.entry.inflight == 1)
            await asyncio.sleep(0.3)
            caller.writer.write(b"body")
            status, _, took_s = await caller.answer()
            assert status == 503 and took_s < 0.2 and not runs(deployment, "r")

    async def test_deadline_close_to_the_end(self, deployment):
        """Its answer at the deadline, by a late timer, would come after the end of the process."""
        host = deployment.hosts[0]
        async with KeptConnection(deployment) as caller:
            drain(host, 2_600, 2_000)
            caller.send("/book/x", "r", f"Deadline-Ms: {2_000 - FINISH_MARGIN_MS / 2:.0f}")
            assert (await caller.answer())[0] == 503 and not runs(deployment, "r")

    async def test_short_request_is_served(self, deployment):
        host = deployment.hosts[0]
        async with KeptConnection(deployment) as caller:
            drain(host, 2_600, 2_000)
            caller.send("/book/x", "r", "Deadline-Ms: 1000")
            assert (await caller.answer())[0] == 200 and runs(deployment, "r") == 1

    async def test_kept_connections_after_the_listener_closed(self, deployment):
        """A connection that was waiting to be accepted, or idle, is answered to the end."""
        host = deployment.hosts[0]
        async with KeptConnection(deployment) as short, KeptConnection(deployment) as long:
            for replica in deployment.replicas["plain"]:
                replica.delay_s = BALANCER_REMOVAL_MS / 1000 + 0.2
            held = asyncio.create_task(deployment.call("/book/x", Deadline_Ms=LONG_MS))
            await until(lambda: host.entry.inflight == 1)
            for replica in deployment.replicas["plain"]:
                replica.delay_s = 0.0
            host.request_stop()
            await asyncio.sleep(BALANCER_REMOVAL_MS / 1000 + 0.05)
            short.send("/book/x", "short", "Deadline-Ms: 150")
            long.send("/book/x", "long")
            answers = [(await caller.answer())[0] for caller in (short, long)]
            assert answers in ([200, 503], [503, 503]) and not runs(deployment, "long")
            assert runs(deployment, "short") == (answers[0] == 200)
            assert (await held)[0] == 200
            await wait_stopped(host)


class TestSignals:
    """Guards against a stop that another signal or an error shortens or hangs."""

    async def test_second_stop_and_reload_change_nothing(self, deployment):
        for replica in deployment.replicas["plain"]:
            replica.delay_s = 0.8
        host = deployment.hosts[0]
        call = asyncio.create_task(deployment.call("/book/x"))
        await until(lambda: host.entry.inflight == 1)
        started = time.monotonic()
        host.request_stop()
        await asyncio.sleep(0.2)
        deployment.reloaded = host.settings._replace(stop_grace_s=0.1)
        host.reload_settings()
        host.request_stop()
        assert (await call)[0] == 200
        await wait_stopped(host)
        assert BALANCER_REMOVAL_MS / 1000 <= time.monotonic() - started < GRACE_S

    async def test_stop_goes_on_if_other_hosts_cant_be_told(self, deployment, monkeypatch):
        """Guards against a stop that ends at an exception: SIGKILL would cut what is in hand."""

        async def fail() -> None:
            raise RuntimeError("unforeseen")

        host = deployment.hosts[0]
        monkeypatch.setattr(host.follower, "exchange_members", fail)
        host.request_stop()
        await wait_stopped(host)


class TestCoordinator:
    async def test_stages_at_a_stopping_coordinator_end(self):
        """Guards against stage work that a planned stop of another host loses."""
        async with Deployment(hosts=2) as deployment:
            first, second = deployment.hosts
            await until(lambda: len(first.members.alive(first.follower.now())) == 2)
            for replica in deployment.replicas["cave"]:
                replica.delay_s = 0.5
            owner = first.stages.coordinator_for("r", first.follower.now())[1]
            number = 1 if owner == first.settings.peer_address else 0
            coordinator = (first, second)[1 - number]
            headers: dict[str, Any] = {"Pieces": "1,8", "Piece_Key": "k", **TOKENS}
            call = asyncio.create_task(deployment.call("/chat/x", host=number, **headers))
            await until(lambda: bool(coordinator.stages.coordinator.active))
            coordinator.request_stop()
            assert (await call)[0] == 200
            await until(coordinator.stopped.is_set, 8)


def drain(host: ForwardHost, since_ms: float, left_ms: float) -> None:
    """Makes a host believe that it began to stop `since_ms` ago and has `left_ms` left."""
    now = host.follower.now()
    host.entry.stopping = True
    host.gate.start_draining(now - since_ms, now + left_ms)
