"""Tests for the operator HTTP interface."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestClient, TestServer

from savoryfork import defaults
from savoryfork.board import HostView, LogState
from savoryfork.operator import OperatorInterface, operator_app
from savoryfork.util.timer import system_clock
from tests.fakes import FakeHost, FakeLog, FakeNetwork
from tests.test_files import ASK, ENC, files

KEY = {"Authorization": "Bearer rosa-operator-key"}


async def placeholder_handler(request: web.Request) -> web.Response:
    return web.Response(text="placeholder")


class Deployment:
    """Hosts that share one log, and the operator port of the first."""

    def __init__(self, names: list[str]) -> None:
        self.log = FakeLog()
        clock = system_clock()
        self.network = FakeNetwork(names, self.log, clock)
        self.host: FakeHost = self.network.hosts[names[0]]
        interface = OperatorInterface(
            self.host.board,
            self.host.controller,
            self.host.gossip,
            self.log,
            self.host.settings,
            clock,
            "incarnation-1",
            self.refresh_hosts,
        )
        self.listed_hosts: dict[str, HostView] = {}
        self.server = TestServer(
            operator_app(interface, metrics=placeholder_handler, burn=placeholder_handler)
        )

    async def refresh_hosts(self) -> None:
        """Adds `listed_hosts` to the known hosts, like a poll of the host list."""
        self.host.board.hosts.update(self.listed_hosts)


@contextlib.asynccontextmanager
async def deployment(names: tuple[str, ...] = ("h1", "h2", "h3")) -> AsyncIterator[Deployment]:
    """Runs the hosts' log readers and the operator port."""
    cluster = Deployment(list(names))
    readers = [asyncio.create_task(h.controller.run()) for h in cluster.network.hosts.values()]
    await cluster.server.start_server()
    try:
        yield cluster
    finally:
        for task in readers:
            task.cancel()
        await asyncio.gather(*readers, return_exceptions=True)
        await cluster.server.close()


async def publish(cluster: Deployment, number: int, base: Any, changed: Any) -> tuple[int, Any]:
    """Publishes and returns status and body."""
    body = {"id": f"publication-{number}", "base": base, "files": changed}
    url = cluster.server.make_url("/operator/publications")
    async with ClientSession() as session, session.post(url, json=body, headers=KEY) as answer:
        return answer.status, await answer.json()


class TestOperator:
    @pytest.mark.parametrize("credentials", [{}, {"Authorization": "Bearer wrong"}])
    async def test_only_operators_are_served(self, credentials: dict[str, str]) -> None:
        """Guards against access to the configuration without an operator's key."""
        async with deployment(("h1",)) as cluster, TestClient(cluster.server) as client:
            for path in ("config", "status", "burn"):
                answer = await client.get(f"/operator/{path}", headers=credentials)
                assert answer.status == 401
            answer = await client.post("/operator/publications", headers=credentials, data=b"{}")
            assert answer.status == 401
            assert (await client.get("/metrics")).status == 200

    async def test_success_means_in_effect_on_every_host(self) -> None:
        """Guards against reporting success before the other hosts have the version."""
        async with deployment() as cluster:
            status, body = await publish(cluster, 1, {}, files())
            assert (status, body["verdict"], body["missing"]) == (200, "accepted", [])
            assert body["hosts"] == dict.fromkeys(["h1", "h2", "h3"], body["offset"])
            for host in cluster.network.hosts.values():
                assert host.board.configuration.offset == body["offset"]

    async def test_a_newly_listed_host_is_waited_for(self) -> None:
        """Guards against success while the host does not know the other hosts yet."""
        async with deployment() as cluster:
            cluster.listed_hosts = dict(cluster.host.board.hosts)
            cluster.host.board.hosts.clear()
            status, body = await publish(cluster, 1, {}, files())
            assert (status, sorted(body["hosts"])) == (200, ["h1", "h2", "h3"])

    async def test_a_lost_response_is_resolved_by_reading(self) -> None:
        """Guards against a reported failure, or a second effect, after a lost response."""
        async with deployment() as cluster:
            cluster.log.lose_answers = 2
            status, body = await publish(cluster, 1, {}, files())
            assert (status, body["verdict"]) == (200, "accepted")
            again, repeated = await publish(cluster, 1, {}, files())
            assert (again, repeated["offset"]) == (200, body["offset"])
            status, body = await publish(cluster, 1, {}, {ENC: files()[ENC]})
            assert (status, body["error"]["kind"]) == (409, "publication_conflict")

    async def test_unknown_is_answered_if_nothing_can_be_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against reporting "not run" for a publication that may have been appended."""
        monkeypatch.setattr(defaults, "PUBLISH_WAIT_MS", 300)
        async with deployment(("h1",)) as cluster:
            cluster.log.lose_answers, cluster.log.reads_down = 9, True
            status, body = await publish(cluster, 1, {}, files())
            assert (status, body["error"]["kind"]) == (502, "publication_unknown")
            assert body["error"]["ran"] == "unknown"
            cluster.log.reads_down = False
            status, body = await publish(cluster, 1, {}, files())
            assert (status, body["verdict"]) == (200, "accepted")

    async def test_racing_operators_have_one_winner(self) -> None:
        """Guards against a concurrent publication that silently reverts an earlier one."""
        async with deployment() as cluster:
            _, first = await publish(cluster, 1, {}, files())
            base = {ENC: first["offset"]}
            changes = [{ENC: {**files()[ENC], "max_inflight": n}} for n in (1, 2, 3)]
            answers = await asyncio.gather(
                *(publish(cluster, 2 + n, base, change) for n, change in enumerate(changes))
            )
            assert sorted(status for status, _ in answers) == [200, 409, 409]
            winner = next(body["offset"] for status, body in answers if status == 200)
            for status, body in answers:
                if status == 409:
                    expected = {"file": ENC, "base": first["offset"], "current": winner}
                    assert body["error"]["details"] == [expected]

    async def test_invalid_files_are_reported(self) -> None:
        """Guards against a rejection that does not identify the invalid value."""
        async with deployment(("h1",)) as cluster:
            broken = files() | {ENC: {"kind": "service", "type": "engine", "model": "m"}}
            status, body = await publish(cluster, 1, {}, broken)
            assert (status, body["error"]["kind"]) == (422, "publication_invalid")
            assert [(p["file"], p["path"]) for p in body["error"]["details"]] == [
                (ASK, "stages/0/service")
            ]
            status, body = await publish(cluster, 2, {}, {ENC: {"kind": "service"}})
            assert status == 422
            assert cluster.log.records[-1].value["id"] == "publication-1"

    @pytest.mark.parametrize("data", [b"{", b"[]", b'{"id": 1}', b"[" * 100_000])
    async def test_malformed_bodies_are_refused(self, data: bytes) -> None:
        """Guards against a malformed body that is reported as an internal error."""
        async with deployment(("h1",)) as cluster, TestClient(cluster.server) as client:
            answer = await client.post("/operator/publications", headers=KEY, data=data)
            assert (answer.status, (await answer.json())["error"]["ran"]) == (400, "no")

    async def test_refuses_at_once_while_the_log_is_down(self) -> None:
        """Guards against publications that wait for their whole timeout in a known outage."""
        async with deployment(("h1",)) as cluster:
            cluster.host.board.log = LogState(False, 0.0)
            status, body = await publish(cluster, 1, {}, files())
            assert (status, body["error"]["kind"]) == (503, "log_unavailable")
            assert cluster.log.records == []
