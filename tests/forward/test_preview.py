"""A preview tells where a request would go, and changes nothing."""

from __future__ import annotations

import asyncio

import pytest

from savoryfork.forward.departures import Source
from savoryfork.ui import main
from tests.forward.deployment import Deployment, until

PARTS = "aa:60,bb:30,cc:10"
HEADERS = {"Host": "a.example", "Key": "k1", "Request-Id": "r1"}
STAGED = {"Pieces": "1,2", "Piece-Key": "pk", "Token-Usage": "100,6", "Prefix-Hash": PARTS}


@pytest.fixture
async def deployment():
    async with Deployment() as running:
        yield running


async def ask(deployment: Deployment, path: str, **headers: str) -> dict:
    settings = deployment.hosts[0].settings
    ip = settings.caller_address.rpartition(":")[0]
    url = f"http://{ip}:{settings.internal_ports[0]}/preview"
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    asked = ["POST", path, list({**HEADERS, **named}.items())]
    async with deployment.session.post(url, json=asked) as response:
        assert response.status == 200
        return await response.json()


class TestPreview:
    async def test_it_names_the_engine_that_then_gets_the_request(self, deployment):
        """Guards against an answer by other rules than those of the request itself."""
        tokens = {"Token_Usage": "100,6", "Prefix_Hash": PARTS, "Model": "m"}
        found = await ask(deployment, "/ask/1", **tokens)
        chosen = found["targets"][0]
        assert found["service"] == "engine" and chosen["rank"] == 1 and chosen["cost"] > 0
        assert not any(replica.received for replica in deployment.replicas["engine"])
        assert (await deployment.call("/ask/1", Request_Id="r1", **tokens))[0] == 200
        ran = [r.name for r in deployment.replicas["engine"] if r.run_counts]
        assert ran == [chosen["target"]]

    async def test_it_says_why_targets_are_left_out(self, deployment):
        """Guards against an operator who can't see why a target gets nothing."""
        registry = deployment.hosts[0].follower.registry
        registry.mark_leaving(registry.targets["plain-0"], Source.ANSWER, 0.0)
        found = await ask(deployment, "/view/1")
        assert [(t["target"], t["rank"], t["reason"]) for t in found["targets"]] == [
            ("plain-1", 1, ""),
            ("plain-0", 0, "it is leaving"),
        ]
        deployment.store.put("keyed.op", "evacuate/z", {})
        await until(lambda: registry.evacuated == {"z"})
        found = await ask(deployment, "/view/1")
        assert found["refusal"].startswith("no_targets")
        assert {t["reason"] for t in found["targets"]} == {"its zone is evacuated"}

    async def test_staged_request_names_its_coordinator(self, deployment):
        """Guards against a preview that ignores the stages before the request."""
        found = await ask(
            deployment, "/chat/1", **{k.replace("-", "_"): v for k, v in STAGED.items()}
        )
        assert found["cell"] == "1 of 1"
        assert found["coordinator"] == deployment.hosts[0].settings.peer_address

    async def test_refusals_and_malformed_questions(self, deployment):
        """Guards against a question that ends the handler, or a refusal that is not shown."""
        assert (await ask(deployment, "/nowhere/1"))["refusal"].startswith("unknown_pipeline")
        assert (await ask(deployment, "/view/1", Key="none"))["refusal"].startswith("unauthorized")
        settings = deployment.hosts[0].settings
        ip = settings.caller_address.rpartition(":")[0]
        url = f"http://{ip}:{settings.internal_ports[0]}/preview"
        for body in (b"", b"{", b"[1]", b"[" * 5_000):
            async with deployment.session.post(url, data=body) as response:
                assert response.status == 400


class TestCommand:
    async def test_command_prints_the_order_of_the_targets(self, deployment, capsys):
        """Guards against a command that does not reach the host, or prints nothing of use."""
        settings = deployment.hosts[0].settings
        url = f"http://127.0.0.1:{settings.internal_ports[0]}"
        arguments = [f"--header={name}: {value}" for name, value in HEADERS.items()]
        code = await asyncio.to_thread(main, ["preview", url, "GET", "/view/1", *arguments])
        printed = capsys.readouterr().out
        assert code == 0 and "service plain" in printed and "  1. plain-" in printed

    def test_wrong_usage(self, capsys):
        """Guards against a traceback for a missing argument or an unreachable host."""
        assert main(["preview", "http://127.0.0.1:9"]) == 2
        assert main(["preview", "http://127.0.0.1:9", "GET", "/", "--header=x"]) == 2
        assert main(["preview", "http://127.0.0.1:9", "GET", "/"]) == 2
