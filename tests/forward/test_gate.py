"""Which requests are admitted on routes that need no key."""

import asyncio
import math
from typing import Any

import pytest

from savoryfork.forward.deadlines import ChangeBounds
from tests.forward.deployment import Deployment, configuration, until
from tests.forward.test_connection import reset
from tests.forward.test_forwarder import Scripted, answer


@pytest.fixture
async def deployment():
    async with Deployment() as running:
        yield running


@pytest.fixture
async def scripted(deployment):
    scripted = Scripted(deployment)
    yield scripted
    for server in scripted.servers:
        server.close()


def tenants(deployment: Deployment) -> dict[str, str | None]:
    """Returns the tenant of each request that a plain replica has run, by its id."""
    received = [request["headers"] for r in deployment.replicas["plain"] for request in r.received]
    return {headers["Request-Id"]: headers.get("Tenant") for headers in received}


async def publish(deployment: Deployment, document: dict[str, Any]) -> None:
    """Writes a configuration and waits until the first host has it."""
    deployment.store.put("keyed.op", "config", document)
    follower = deployment.hosts[0].follower
    await until(lambda: follower.catalog.version == document["version"])


class TestAnonymousRoutes:
    async def test_key_in_force_gives_its_workspace_and_no_key_none(self, deployment):
        for request_id, keys in (("a", ("k1",)), ("b", ())):
            status, _, _ = await deployment.call("/open/x", keys=keys, Request_Id=request_id)
            assert status == 200
        assert tenants(deployment) == {"a": "w1", "b": None}

    @pytest.mark.parametrize("key", ["other", "k", "k1 k1", ""])
    async def test_key_that_no_workspace_holds_is_refused(self, deployment, key):
        """Guards against taking a key that is not understood for one that is absent."""
        assert (await deployment.call("/open/x", Key=key))[0] == 401
        assert tenants(deployment) == {}

    @pytest.mark.parametrize("path", ["/open/x", "/view/x"])
    @pytest.mark.parametrize("keys", [("k1", "other"), ("other", "k1"), ("k1", ""), ("k1", "k1")])
    async def test_request_with_several_keys_is_refused(self, deployment, path, keys):
        """Guards against the order of headers that decides which key counts."""
        assert (await deployment.call(path, keys=keys))[0] == 401
        assert tenants(deployment) == {}

    async def test_key_that_was_taken_away_is_refused(self, deployment):
        """Guards against a key that stays good on the routes that need none."""
        await publish(deployment, configuration(2, keys=("k2",)))
        assert (await deployment.call("/open/x", Request_Id="taken"))[0] == 401
        assert (await deployment.call("/open/x", Key="k2", Request_Id="new"))[0] == 200
        assert (await deployment.call("/open/x", keys=(), Request_Id="none"))[0] == 200
        assert tenants(deployment) == {"new": "w1", "none": None}

    async def test_keys_that_were_taken_away_with_all_workspaces_are_refused(self, deployment):
        """Guards against a configuration without workspaces that leaves every key good."""
        document = configuration(2)
        del document["tenants"]
        await publish(deployment, document)
        for path in ("/open/x", "/view/x"):
            assert (await deployment.call(path, Request_Id="taken"))[0] == 401
            assert (await deployment.call(path, keys=(), Request_Id=path))[0] == 200
        assert tenants(deployment) == {"/open/x": None, "/view/x": None}

    async def test_key_that_is_taken_away_before_a_second_attempt(self, scripted):
        """Guards against a repetition without the workspace for which the request was sent."""

        async def take_key_away(request, writer):
            await publish(scripted.deployment, configuration(2, keys=()))
            reset(writer)

        targets = await scripted.replace("plain", take_key_away, take_key_away)
        assert (await scripted.deployment.call("/open/x"))[0] == 401
        assert sum(len(target.received) for target in targets) == 1

    async def test_host_that_is_cut_off_does_not_vouch_for_a_key(self, deployment):
        """Guards against the rights of a key that was taken away while this host heard nothing."""
        host = deployment.hosts[0]
        host.gate.set_revocation(1_000.0)
        deployment.store.down = True
        await until(lambda: host.follower.config_age_ms() > host.gate.trusted_ms)
        for key in ("k1", "other"):
            status, _, headers = await deployment.call("/open/x", Key=key)
            assert status == 503 and float(headers["Retry-After"]) > 0
        assert tenants(deployment) == {}

    async def test_host_that_is_cut_off_serves_requests_without_a_key(self, deployment):
        """Guards against an outage of the store that stops what needs nothing from it."""
        host = deployment.hosts[0]
        host.gate.set_revocation(1_000.0)
        deployment.store.down = True
        await until(lambda: host.follower.config_age_ms() > host.gate.trusted_ms)
        assert (await deployment.call("/open/x", keys=(), Request_Id="a"))[0] == 200
        assert tenants(deployment) == {"a": None}

    async def test_host_that_has_never_trusted_its_configuration(self, deployment):
        """Guards against an infinite age in the log line of a request, which ended it with 500."""
        deployment.hosts[0].follower.config_age_ms = lambda: math.inf
        assert (await deployment.call("/open/x"))[0] == 503
        assert (await deployment.call("/view/x"))[0] == 503
        assert (await deployment.call("/open/x", keys=(), Request_Id="a"))[:2] == (200, b"done ")
        assert tenants(deployment) == {"a": None}

    async def test_frozen_host_does_not_vouch_for_a_key(self, deployment):
        """Guards against requests that are read as the host wakes, before any timer has fired."""
        host = deployment.hosts[0]
        host.gate.trusted_ms = -1.0
        calls = [deployment.call("/open/x") for _ in range(10)]
        assert {status for status, _, _ in await asyncio.gather(*calls)} == {503}
        assert tenants(deployment) == {}

    async def test_key_is_judged_again_before_a_second_attempt(self, scripted):
        """Guards against a repetition with the rights that the key had at admission."""
        host = scripted.deployment.hosts[0]

        async def lose_trust(request, writer):
            host.gate.trusted_ms = -1.0
            reset(writer)

        targets = await scripted.replace("plain", lose_trust, lose_trust)
        status, _, _ = await scripted.deployment.call("/open/x")
        assert status == 502 and sum(len(target.received) for target in targets) == 1

    async def test_key_that_belongs_to_another_workspace_by_now(self, scripted):
        """Guards against a second attempt for the workspace that held the key at the first one."""
        deployment = scripted.deployment
        follower = deployment.hosts[0].follower
        seen = []

        async def move_key(request, writer):
            seen.append(request.headers.get("tenant"))
            if len(seen) == 2:
                writer.write(answer("200 OK", request.id, b"done", "Response-Seal: s"))
                return
            document = configuration(2)
            document["tenants"] = [{"name": "w2", "api_keys": ["k1"]}]
            deployment.store.put("keyed.op", "config", document)
            await until(lambda: follower.catalog.version == 2)
            reset(writer)

        await scripted.replace("plain", move_key, move_key)
        assert (await deployment.call("/open/x"))[0] == 200
        assert seen == ["w1", "w2"]


class TestStageWork:
    async def test_stages_are_not_run_again_for_a_key_that_was_taken_away(self, scripted):
        """Guards against stage work for a request that is refused at its next send."""
        deployment = scripted.deployment

        async def lose_inputs(request, writer):
            await publish(deployment, configuration(2, keys=()))
            writer.write(answer("409 Gone", request.id, b"", "Not-Executed: 1"))

        await scripted.replace("engine", lose_inputs, lose_inputs)
        staged = {"Pieces": "1,2", "Piece_Key": "pk", "Token_Usage": "100,6"}
        status, _, _ = await deployment.call("/chat/x", **staged, Prefix_Hash="aa:60,cc:10")
        pieces = [piece for r in deployment.replicas["cave"] for piece in r.received]
        assert status == 401 and len(pieces) == 1

    async def test_request_whose_pieces_cannot_be_read_is_refused_at_once(self, scripted):
        """Guards against engines that are asked in turn for what each of them must refuse."""

        async def refuse(request, writer):
            writer.write(answer("400 Bad Request", request.id, b"", "Not-Executed: 1"))

        targets = await scripted.replace("engine", refuse, refuse)
        call = scripted.deployment.call
        assert (await call("/chat/x", Pieces="1,x", Piece_Key="pk"))[0] == 400
        assert not any(target.received for target in targets)


class TestDenials:
    """A host that may have missed a change says of nothing that it does not exist."""

    async def test_host_that_may_lack_a_version_denies_nothing(self, deployment):
        """Guards against a final answer to a key or a route that is new and in force elsewhere."""
        host = deployment.hosts[0]
        host.follower.bounds = ChangeBounds(configuration_ms=500.0)
        deployment.store.down = True
        await until(lambda: host.follower.config_age_ms() > 500.0)
        for path, key in (("/open/x", "new"), ("/view/x", "new"), ("/new/x", "k1")):
            status, _, headers = await deployment.call(path, Key=key)
            assert status == 503 and float(headers["Retry-After"]) > 0
        assert tenants(deployment) == {}

    async def test_what_such_a_host_knows_is_served(self, deployment):
        """Guards against an outage that ends the service of keys sooner than it must."""
        host = deployment.hosts[0]
        host.follower.bounds = ChangeBounds(configuration_ms=500.0)
        deployment.store.down = True
        await until(lambda: host.follower.config_age_ms() > 500.0)
        assert (await deployment.call("/open/x", Request_Id="a"))[0] == 200
        assert (await deployment.call("/view/x", Request_Id="b"))[0] == 200
        assert (await deployment.call("/open/x", keys=(), Request_Id="c"))[0] == 200
        assert host.unready_reason() is None
        assert tenants(deployment) == {"a": "w1", "b": "w1", "c": None}

    async def test_host_in_contact_with_the_store_denies_at_once(self, deployment):
        """Guards against callers that are told to come back with what will never be served."""
        for path, key, status in (("/open/x", "new", 401), ("/view/x", "new", 401)):
            assert (await deployment.call(path, Key=key))[0] == status
        assert (await deployment.call("/new/x"))[0] == 404


class TestPriority:
    @pytest.mark.parametrize("path", ["/open/x", "/view/x"])
    async def test_priority_of_the_workspace_precedes_that_of_the_route(self, deployment, path):
        """Guards against an urgent workspace that gets the route's priority on anonymous routes."""
        priorities = self.record_priorities(deployment)
        follower = deployment.hosts[0].follower
        document = configuration(2)
        document["tenants"][0]["priority"] = 3
        deployment.store.put("keyed.op", "config", document)
        await until(lambda: follower.catalog.version == 2)
        assert (await deployment.call(path))[0] == 200
        assert priorities[-1] == 3

    async def test_key_that_moves_to_a_workspace_without_a_priority(self, scripted):
        """Guards against a second attempt with the priority of the workspace before."""
        deployment = scripted.deployment
        follower = deployment.hosts[0].follower
        priorities = self.record_priorities(deployment)

        async def move_key(request, writer):
            deployment.store.put("keyed.op", "config", configuration(3))
            await until(lambda: follower.catalog.version == 3)
            reset(writer)

        document = configuration(2)
        document["tenants"][0]["priority"] = 3
        deployment.store.put("keyed.op", "config", document)
        await until(lambda: follower.catalog.version == 2)
        await scripted.replace("plain", move_key, move_key)
        await deployment.call("/view/x")
        assert priorities[0] == 3 and priorities[-1] == 1

    def record_priorities(self, deployment: Deployment) -> list[int]:
        """Returns a list to which each check before a send adds the priority of its request."""
        priorities: list[int] = []
        forwarder = deployment.hosts[0].forwarder
        check_sendable = forwarder.check_sendable

        def record(run, target, **details):
            check_sendable(run, target, **details)
            priorities.append(run.priority)

        forwarder.check_sendable = record
        return priorities
