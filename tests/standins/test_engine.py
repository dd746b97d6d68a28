"""Tests for the engine stand-in."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp

from standins import text
from standins.engine import Engine, EngineSettings
from tests.standins import Client, serve, until

FAST = EngineSettings(
    model="m", step_ms=2, step_per_sequence_ms=0, report_lag_ms=0, events_lag_ms=0, load_ms=0
)


def start_completion(
    client: Client, attempt: str, prompt: str, max_tokens: int, **fields: Any
) -> Any:
    body = {"prompt": prompt, "max_tokens": max_tokens, "stream": True, **fields}
    return client.post("/v1/completions", json=body, headers={"X-Attempt-Id": attempt})


async def read_events(response: aiohttp.ClientResponse) -> list[Any]:
    lines = (await response.text()).splitlines()
    data = [line.removeprefix("data: ") for line in lines if line]
    return [item if item == "[DONE]" else json.loads(item) for item in data]


async def run_completion(
    client: Client, attempt: str, prompt: str, max_tokens: int, **fields: Any
) -> Any:
    return await read_events(await start_completion(client, attempt, prompt, max_tokens, **fields))


def joined_text(events: list[Any]) -> str:
    return "".join(event["text"] for event in events if "text" in event)


class TestCompletions:
    async def test_streams_the_whole_text_in_one_batch(self) -> None:
        """Guards against sequences that wait for each other or receive others' tokens."""
        engine = Engine(FAST)
        async with serve(engine.app()) as client:
            prompts = [f"prompt {n}" for n in range(8)]
            found = await asyncio.gather(*(run_completion(client, p, p, 20) for p in prompts))
            for prompt, stream in zip(prompts, found, strict=True):
                assert joined_text(stream) == text.answer("m", prompt, 20)
                end = {"attempt": prompt, "finish_reason": "stop", "tokens": 20}
                assert stream[-2:] == [end, "[DONE]"]
                assert {event["attempt"] for event in stream[:-1]} == {prompt}
            assert engine.steps < 8 * 20

    async def test_resume_continues_the_text(self) -> None:
        """Guards against a resumed stream that repeats or skips a token."""
        async with serve(Engine(FAST).app()) as client:
            found = await run_completion(client, "a", "p", 10, resume_from=6)
            assert [e["index"] for e in found[:-2]] == [6, 7, 8, 9]
            assert text.answer("m", "p", 6) + joined_text(found) == text.answer("m", "p", 10)

    async def test_cut_stream_has_no_end(self) -> None:
        """Guards against a truncated stream that ends like a complete one."""
        engine = Engine(FAST)
        async with serve(engine.app()) as client:
            await client.post("/control/faults", json={"cut_after_tokens": 3})
            found = await run_completion(client, "a", "p", 50)
            assert [event["index"] for event in found] == [0, 1, 2]
            await until(lambda: not engine.running)

    async def test_delete_and_disconnect_free_the_batch(self) -> None:
        """Guards against cancelled sequences that stay in the batch."""
        engine = Engine(FAST)
        async with serve(engine.app()) as client:
            deleted, closed = await start_completion(
                client, "a", "p", 10_000
            ), await start_completion(client, "b", "q", 10_000)
            assert len(engine.running) + len(engine.waiting) == 2
            assert (await client.delete("/v1/completions/a")).status == 200
            found = await read_events(deleted)
            assert found[-1]["finish_reason"] == "cancelled"
            closed.close()
            await until(lambda: not engine.running and not engine.waiting)
            assert engine.cancelled == 2

    async def test_better_priority_preempts_a_running_sequence(self) -> None:
        """Guards against urgent work waiting behind long work, and preemption that loses tokens."""
        engine = Engine(FAST._replace(max_batch=1))
        async with serve(engine.app()) as client:
            slow = asyncio.create_task(run_completion(client, "slow", "p", 60, priority=9))
            await until(lambda: engine.running)
            assert joined_text(
                await run_completion(client, "fast", "q", 3, priority=0)
            ) == text.answer("m", "q", 3)
            assert not slow.done()
            assert joined_text(await slow) == text.answer("m", "p", 60)
            assert engine.pauses == 1

    async def test_crossed_and_duplicate(self) -> None:
        """Guards against injected faults that leave the answer correct."""
        async with serve(Engine(FAST).app()) as client:
            await client.post("/control/faults", json={"crossed": 1.0, "duplicate": 1.0})
            response = await start_completion(client, "a", "p", 3)
            found = await read_events(response)
            assert response.headers["X-Attempt-Id"] != "a"
            assert [e["index"] for e in found[:-2]] == [0, 0, 1, 1, 2, 2]
            assert text.answer("m", "p", 3) != "".join(e["text"] for e in found[:-2:2])

    async def test_freeze_holds_all_answers(self) -> None:
        """Guards against a frozen engine that still answers."""
        engine = Engine(FAST)
        async with serve(engine.app()) as client:
            await client.post("/control/faults", json={"freeze": True})
            call = asyncio.create_task(run_completion(client, "a", "p", 2))
            steps = engine.steps
            done, _ = await asyncio.wait([call], timeout=0.1)
            assert not done and engine.steps == steps
            await client.post("/control/faults", json={"freeze": False})
            assert joined_text(await asyncio.wait_for(call, 5)) == text.answer("m", "p", 2)

    async def test_draining_refuses_new_work_and_finishes_old(self) -> None:
        """Guards against a drain that cuts off a stream or admits new work."""
        engine = Engine(FAST)
        async with serve(engine.app()) as client:
            old = await start_completion(client, "a", "p", 30)
            await client.post("/control/drain")
            refused = await start_completion(client, "b", "q", 1)
            assert (refused.status, refused.headers["X-Target-State"]) == (503, "draining")
            assert joined_text(await read_events(old)) == text.answer("m", "p", 30)


class TestCache:
    async def test_cached_prefix_is_not_prefilled(self) -> None:
        """Guards against a cache that saves no prefill or exceeds its capacity."""
        engine = Engine(FAST._replace(cache_blocks=4))
        async with serve(engine.app()) as client:
            for expected in (0, 48):
                body = {"prompt": "w " * 50, "max_tokens": 1}
                response = await client.post(
                    "/v1/completions", json=body, headers={"X-Attempt-Id": "a"}
                )
                assert (await response.json())["usage"]["cached_tokens"] == expected
            await run_completion(client, "b", "x " * 64, 1)
            assert len(engine.cache.entries) == 4
            kinds = [event["kind"] for event in engine.cache.events]
            assert kinds == ["stored", "stored", "removed"]


class TestOrders:
    async def test_stale_fencing_number(self) -> None:
        """Guards against an engine that checks orders and accepts a stale fencing number, or that
        does not check and refuses one."""
        for checks, status in ((True, 409), (False, 202)):
            engine = Engine(FAST._replace(checks_orders=checks))
            async with serve(engine.app()) as client:
                new = {"kind": "set_role", "role": "decode", "fencing": 7}
                assert (await client.post("/orders", json=new)).status == 202
                old = {"kind": "load_model", "model": "n", "fencing": 6}
                assert (await client.post("/orders", json=old)).status == status
                await until(lambda e=engine: e.role == "decode" and len(e.tasks) == 1)
                assert ("n" in engine.loaded) is not checks
