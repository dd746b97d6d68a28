"""Tests for the service stand-in."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from standins import text
from standins.service import Service, ServiceSettings
from tests.standins import Client, serve, until

FAST = ServiceSettings(service_ms=1, report_lag_ms=0)


def run_action(client: Client, key: str, **fields: Any) -> Any:
    headers = {"X-Attempt-Id": f"attempt-{key}", "Idempotency-Key": key}
    return client.post("/v1/actions/book", json={"fields": fields}, headers=headers)


async def ledger_keys(client: Client) -> list[str]:
    ledger = await (await client.get("/ledger")).json()
    return [entry["key"] for entry in ledger["actions"]]


class TestLedger:
    async def test_runs_every_call_unless_it_dedupes(self) -> None:
        """Guards against a stand-in that hides a repeated action from the failure tests."""
        for dedupes, expected in ((False, ["k", "k"]), (True, ["k"])):
            async with serve(Service(FAST._replace(dedupes=dedupes)).app()) as client:
                answers = [await (await run_action(client, "k", slot=3)).json() for _ in range(2)]
                assert await ledger_keys(client) == expected
                assert answers[1]["repeated"] is dedupes
                assert answers[0]["result"]["fields"] == {"slot": 3}

    async def test_dropped_answer_and_closed_connection_still_run(self) -> None:
        """Guards against an action that is lost because its answer was not delivered."""
        service = Service(FAST._replace(service_ms=50))
        async with serve(service.app()) as client:
            await client.post("/control/faults", json={"drop_answers": 1})
            with pytest.raises(aiohttp.ClientError):
                await run_action(client, "dropped")
            call = asyncio.create_task(run_action(client, "closed"))
            await until(lambda: service.running)
            call.cancel()
            await until(lambda: len(service.ledger.entries) == 2)
            assert await ledger_keys(client) == ["dropped", "closed"]

    async def test_refusals_and_failures_do_not_run(self) -> None:
        """Guards against a refused or failed call in the ledger."""
        async with serve(Service(FAST).app()) as client:
            assert (await run_action(client, "a", refuse=True)).status == 422
            await client.post("/control/faults", json={"fail_rate": 1.0})
            assert (await run_action(client, "b")).status == 500
            assert await ledger_keys(client) == []

    async def test_file_is_shared_and_survives(self, tmp_path: Path) -> None:
        """Guards against losing the actions of a killed replica."""
        settings = FAST._replace(ledger_file=str(tmp_path / "ledger"), dedupes=True)
        async with serve(Service(settings._replace(name="a")).app()) as client:
            await run_action(client, "k")
        async with serve(Service(settings._replace(name="b")).app()) as client:
            assert (await (await run_action(client, "k")).json())["repeated"]
            await run_action(client, "l")
            assert await ledger_keys(client) == ["l"]
        async with serve(Service(settings._replace(name="a")).app()) as client:
            assert await ledger_keys(client) == ["k"]


class TestPools:
    async def test_answers_match_the_text_module(self) -> None:
        """Guards against answers that a test can't compute from the text module."""
        headers = {"X-Attempt-Id": "a"}

        async def call(kind: str, path: str, body: Any) -> Any:
            async with serve(Service(FAST._replace(kind=kind)).app()) as client:
                response = await client.post(path, json=body, headers=headers)
                assert response.headers["X-Attempt-Id"] == "a"
                assert response.headers["endpoint-load-metrics"].startswith("JSON {")
                return await response.json()

        embedded = await call("encoder", "/v1/embeddings", {"input": "p"})
        assert embedded["data"][0]["embedding"] == text.embedding("p")
        found = await call("retriever", "/v1/search", {"vector": [0.1], "query": "p", "top_k": 5})
        documents = found["documents"]
        assert documents == [d._asdict() for d in text.documents("p", 5)]
        ranked = await call(
            "reranker", "/v1/rerank", {"query": "p", "documents": documents, "top_n": 2}
        )
        best = max(range(5), key=lambda i: text.relevance("p", documents[i]["text"]))
        assert ranked["results"][0]["index"] == best and len(ranked["results"]) == 2

    async def test_concurrency_is_bounded(self) -> None:
        """Guards against a service without a queue, which would never be overloaded."""
        service = Service(FAST._replace(concurrency=2, max_waiting=1, service_ms=50, jitter=0))
        async with serve(service.app()) as client:
            answers = await asyncio.gather(*(run_action(client, str(n)) for n in range(5)))
            assert sorted(answer.status for answer in answers) == [200, 200, 200, 429, 429]
