"""Streams of targets that fall silent: what their callers receive, and what is decided on them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from savoryfork.forward.model import Repeat, Route
from savoryfork.forward.quarantine import Verdict
from savoryfork.forward.run import stream_idle_timeout_ms
from savoryfork.forward.silence import (
    Decision,
    MoveOptions,
    decide_move,
    event_silence_ms,
    first_event_silence_ms,
)
from standins.replicas import Replica
from tests.forward.deployment import Deployment, configuration, until
from tests.forward.test_forwarder import EVENT, Scripted, chunk, stream_head

EVENTS = 8
TOKENS = {"Token_Usage": f"100,{EVENTS}", "Prefix_Hash": "aa:60,bb:30,cc:10", "Model": "m"}
STAGES = {"Pieces": "1,8", "Piece_Key": "pk"}

# A sound target may send nothing for about a second; callers wait for 2 s on this route.
SOUND_SILENCE_S = 1.3
PATIENCE_S = 2.0

# A silence after which another target is looked for, and one that lasts longer than any request.
LONG_SILENCE_S = 1.8
DEAD_S = 30.0

# The bound on two targets that work on one request is 0.4 s.
MAX_OVERLAP_S = 0.2


def route_to_another_service(config: dict[str, Any]) -> None:
    next(r for r in config["routes"] if r["name"] == "chat")["service"] = "plain"


def without_route_and_service(config: dict[str, Any]) -> None:
    config["routes"] = [r for r in config["routes"] if r.get("service") != "engine"]
    config["services"] = [s for s in config["services"] if s["name"] == "plain"]


def without_key(config: dict[str, Any]) -> None:
    config["tenants"][0]["api_keys"] = ["k2"]


CHANGES: dict[str, Callable[[dict[str, Any]], None]] = {
    "route": route_to_another_service,
    "service": without_route_and_service,
    "key": without_key,
}


async def change_configuration(deployment: Deployment, name: str) -> None:
    """Puts a changed configuration in force; "nothing" leaves it as it is."""
    if name == "nothing":
        return
    config = configuration(2)
    CHANGES[name](config)
    deployment.store.put("keyed.op", "config", config)
    await until(lambda: deployment.hosts[0].follower.catalog.version == 2)


def event_ids(body: bytes) -> list[int]:
    return [int(line[4:]) for line in body.splitlines() if line.startswith(b"id: ")]


def fall_silent(deployment: Deployment, after: int, silence_s: float) -> None:
    """Makes the engines fall silent."""
    for replica in deployment.replicas["engine"]:
        replica.silent_after = after
        replica.silence_s = silence_s


async def fallen_silent(deployment: Deployment) -> None:
    """Waits until an engine has fallen silent."""
    await until(lambda: any(r.silences for r in deployment.replicas["engine"]))


def by_use(deployment: Deployment) -> tuple[Replica, Replica]:
    """Returns the engine that works on the request and the other one."""
    first, second = deployment.replicas["engine"]
    return (first, second) if first.run_counts else (second, first)


async def obstruct(deployment: Deployment, obstacle: str) -> None:
    """Makes a move to the second engine impossible."""
    host = deployment.hosts[0]
    second = by_use(deployment)[1]
    if obstacle == "budget":
        host.retry_budget("engine").set_bounds(0.0, 0.0, 10_000.0)
    elif obstacle == "port":
        second.address = deployment.ports.address()
        deployment.register("engine", second)
    elif obstacle == "stages":
        for replica in deployment.replicas["cave"]:
            deployment.register("cave", replica, "draining")
    else:
        host.crashes.quarantine.verdict = lambda *_: Verdict.REFUSED


async def longest_pause(deployment: Deployment) -> tuple[float, bytes]:
    """Reads a stream; returns the longest pause between its parts in seconds, and the body."""
    loop = asyncio.get_running_loop()
    headers = {"Host": "a.example", "Request-Id": "r", "Key": "k1", "Deadline-Ms": "3000"}
    headers |= {name.replace("_", "-"): value for name, value in TOKENS.items()}
    body, pause_s, last = b"", 0.0, loop.time()
    async with deployment.session.post(deployment.url("/chat/x"), headers=headers) as response:
        async for part in response.content.iter_any():
            pause_s, last = max(pause_s, loop.time() - last), loop.time()
            body += part
    return pause_s, body


class TestSoundTargets:
    @pytest.mark.parametrize("after", [0, 3])
    @pytest.mark.parametrize("meanwhile", ["nothing", *CHANGES])
    @pytest.mark.parametrize("engines", [1, 2])
    async def test_stream_of_a_silent_target_is_delivered_whole(self, engines, meanwhile, after):
        """Guards against giving up a sound target when no other one can take the request.

        A stream that its caller had begun to read was broken off after a pause of 0.9 s if there
        was one engine only, or if the caller's key had been revoked meanwhile.
        """
        async with Deployment(replicas=engines) as deployment:
            fall_silent(deployment, after, SOUND_SILENCE_S)
            task = asyncio.create_task(deployment.call("/chat/x", **STAGES, **TOKENS))
            await fallen_silent(deployment)
            await change_configuration(deployment, meanwhile)
            status, body, _ = await task
            assert status == 200 and event_ids(body) == list(range(1, EVENTS + 1))

    async def test_stream_goes_back_if_another_target_refuses_it(self):
        """Guards against a lost stream whose next target is full, though its first one is sound."""
        async with Deployment(replicas=2) as deployment:
            fall_silent(deployment, 3, DEAD_S)
            task = asyncio.create_task(deployment.call("/chat/x", Request_Id="r", **TOKENS))
            await fallen_silent(deployment)
            first, second = by_use(deployment)
            second.refuse = True
            _, body, _ = await task
            assert event_ids(body) == list(range(1, EVENTS + 1))
            assert second.refusals == 1 and first.run_counts["r"] == 2

    @pytest.mark.parametrize("change", ["draining", "push-back"])
    async def test_no_retry_is_spent_on_a_silent_target_that_gets_nothing(self, change):
        """Guards against a retry for a target that has left or pushes back since it was left."""
        async with Deployment(replicas=2) as deployment:
            fall_silent(deployment, 3, DEAD_S)
            host = deployment.hosts[0]
            task = asyncio.create_task(deployment.call("/chat/x", Request_Id="r", **TOKENS))
            await fallen_silent(deployment)
            first, second = by_use(deployment)
            second.refuse = True
            registry = host.follower.registry
            target = registry.targets[first.name]
            if change == "draining":
                deployment.register("engine", first, "draining")
                await until(lambda: not registry.is_current(target))
            else:
                registry.push_backs.record(target, 60.0, host.follower.now())
            with pytest.raises(aiohttp.ClientPayloadError):
                await task
            assert second.refusals == 1 and first.run_counts["r"] == 1
            assert len(host.retry_budget("engine").retries) == 1

    @pytest.mark.parametrize("obstacle", ["budget", "port", "stages", "quarantine"])
    async def test_stream_stays_if_the_move_fails(self, obstacle):
        """Guards against giving up a sound target for a move that turns out to be impossible."""
        async with Deployment(replicas=2) as deployment:
            fall_silent(deployment, 3, LONG_SILENCE_S)
            task = asyncio.create_task(
                deployment.call("/chat/x", Request_Id="r", **STAGES, **TOKENS)
            )
            await fallen_silent(deployment)
            await obstruct(deployment, obstacle)
            _, body, _ = await task
            assert event_ids(body) == list(range(1, EVENTS + 1))
            first, second = by_use(deployment)
            assert first.run_counts["r"] == 1 and not second.run_counts

    async def test_target_of_a_dropped_move_stays_a_candidate(self, monkeypatch):
        """Guards against a target that is ruled out since a move to it was once dropped."""
        async with Deployment(replicas=2) as deployment:
            fall_silent(deployment, 3, LONG_SILENCE_S)
            forwarder = deployment.hosts[0].forwarder
            prepare_target, runs = forwarder.prepare_target, []

            async def record_and_prepare(run, target):
                runs.append(run)
                return await prepare_target(run, target)

            async def hang(*_, **__):
                await asyncio.sleep(DEAD_S)

            monkeypatch.setattr(forwarder, "prepare_target", record_and_prepare)
            task = asyncio.create_task(deployment.call("/chat/x", **TOKENS))
            await fallen_silent(deployment)
            monkeypatch.setattr(forwarder.connections, "open", hang)
            _, body, _ = await task
            assert event_ids(body) == list(range(1, EVENTS + 1))
            assert runs[0].tried_targets == {by_use(deployment)[0].name}

    async def test_target_that_breaks_off_during_a_move_does_not_rule_out_the_next_one(
        self, monkeypatch
    ):
        """Guards against a stream lost because its only other target was still being connected to.

        The silent target broke its stream off while the move to the other one was being prepared,
        which did not count as a candidate for so long.
        """
        opened = []

        async def script(request, writer):
            writer.write(stream_head(request, "Transfer-Encoding: chunked"))
            if "last-event-id" in request.headers:
                writer.write(chunk(EVENT % 3) + chunk(b""))
                return
            writer.write(chunk(EVENT % 1) + chunk(EVENT % 2))
            monkeypatch.setattr(connections, "open", open_slowly)
            await until(lambda: opened)
            writer.transport.abort()

        async with Deployment() as deployment:
            connections = deployment.hosts[0].connections
            open_connection = connections.open

            async def open_slowly(address, *args, **options):
                opened.append(address)
                if len(opened) == 1:
                    await asyncio.sleep(DEAD_S)
                return await open_connection(address, *args, **options)

            scripted = Scripted(deployment)
            await scripted.replace("engine", script, script)
            # Without shared parts: the loss of a stream with them is first checked for a crash.
            tokens = {**TOKENS, "Prefix_Hash": "aa:100"}
            _, body, _ = await deployment.call("/chat/x", **tokens)
            assert event_ids(body) == [1, 2, 3]
            for server in scripted.servers:
                server.close()

    async def test_streams_beyond_the_retry_budget_stay(self, monkeypatch):
        """Guards against leaving a target with many streams for which there are few retries."""
        async with Deployment(replicas=2) as deployment:
            fall_silent(deployment, 3, LONG_SILENCE_S)
            deployment.hosts[0].retry_budget("engine").set_bounds(0.0, 1.5, 10_000.0)
            calls = [deployment.call("/chat/x", **TOKENS) for _ in range(6)]
            answers = await asyncio.gather(*calls)
            assert [event_ids(body) for _, body, _ in answers] == [[*range(1, EVENTS + 1)]] * 6
            runs = sum(sum(r.run_counts.values()) for r in deployment.replicas["engine"])
            assert runs == 7

    async def test_stream_that_stays_does_not_hold_a_probe(self, caplog):
        """Guards against a review that keeps a suspected prompt from all other requests.

        Reviews asked whether the prompt may be sent in the way in which a send does, which makes
        the request the probe of its parts. A stream that had begun kept them until its end.
        """
        caplog.set_level("INFO")
        async with Deployment(replicas=2) as deployment:
            fall_silent(deployment, 3, LONG_SILENCE_S)
            host = deployment.hosts[0]
            host.retry_budget("engine").set_bounds(0.0, 0.0, 10_000.0)
            task = asyncio.create_task(deployment.call("/chat/x", **TOKENS))
            await fallen_silent(deployment)
            host.crashes.quarantine.verdict = lambda *_: Verdict.PROBE
            host.crashes.quarantine.watched = lambda parts: parts
            await until(lambda: any(r.msg["event"] == "target_silent" for r in caplog.records))
            assert not host.crashes.probes
            _, body, _ = await task
            assert event_ids(body) == list(range(1, EVENTS + 1))


class TestDeadTargets:
    async def test_stream_moves_before_its_caller_gives_up(self):
        """Guards against waiting for a dead target while another one could go on."""
        async with Deployment(replicas=2) as deployment:
            fall_silent(deployment, 3, DEAD_S)
            task = asyncio.create_task(longest_pause(deployment))
            pause_s, body = await task
            assert event_ids(body) == list(range(1, EVENTS + 1))
            assert pause_s < PATIENCE_S

    async def test_stream_moves_once_a_target_is_there(self):
        """Guards against a decision to stay that is not reviewed."""
        async with Deployment(replicas=1) as deployment:
            fall_silent(deployment, 3, DEAD_S)
            task = asyncio.create_task(deployment.call("/chat/x", **TOKENS))
            await fallen_silent(deployment)
            await asyncio.sleep(SOUND_SILENCE_S + 0.5)
            await deployment.add_replica("engine", "engine-1")
            _, body, _ = await task
            assert event_ids(body) == list(range(1, EVENTS + 1))

    async def test_stream_without_another_target_ends_at_its_deadline(self):
        """Guards against a caller that is kept for good, or whose stream seems complete."""
        async with Deployment(replicas=1) as deployment:
            fall_silent(deployment, 3, DEAD_S)
            started = asyncio.get_running_loop().time()
            with pytest.raises(aiohttp.ClientPayloadError):
                await deployment.call("/chat/x", **TOKENS)
            assert 2.8 < asyncio.get_running_loop().time() - started < 3.4
            assert not deployment.hosts[0].selector.outstanding

    async def test_stream_without_a_first_event_is_refused_at_its_deadline(self):
        async with Deployment(replicas=1) as deployment:
            fall_silent(deployment, 0, DEAD_S)
            assert (await deployment.call("/chat/x", **TOKENS))[0] == 504

    async def test_two_targets_do_not_work_at_the_same_time(self, caplog):
        """Guards against a stream that goes on elsewhere while its first target still works."""
        caplog.set_level("INFO")
        times: dict[str, float] = {}
        loop = asyncio.get_running_loop()

        async def script(request, writer):
            writer.write(stream_head(request, "Transfer-Encoding: chunked"))
            if "last-event-id" in request.headers:
                times["moved"] = loop.time()
                writer.write(chunk(EVENT % 3) + chunk(b""))
                return
            writer.write(chunk(EVENT % 1) + chunk(EVENT % 2))
            await request.reader.read()
            times["left"] = loop.time()

        async with Deployment() as deployment:
            scripted = Scripted(deployment)
            await scripted.replace("engine", script, script)
            _, body, _ = await deployment.call("/chat/x", Request_Id="r", **TOKENS)
            assert event_ids(body) == [1, 2, 3]
            await until(lambda: len(times) == 2)
            assert abs(times["left"] - times["moved"]) < MAX_OVERLAP_S
            for server in scripted.servers:
                server.close()
        (line,) = [r.msg for r in caplog.records if r.msg["event"] == "target_silent"]
        assert (line["request"], line["decision"], line["events"]) == ("r", "move", 2)


FREE = MoveOptions(
    targets_left=1,
    offers_left=1,
    candidates=1,
    retries_left=1.0,
    left_ms=300.0,
    needed_ms=300.0,
    permitted=True,
)


class TestDecisions:
    """Guards against a move without one of the things that it needs."""

    @pytest.mark.parametrize(
        ("lack", "decision"),
        [
            ({}, Decision.MOVE),
            ({"targets_left": 0}, Decision.STAY_ATTEMPTS),
            ({"offers_left": 0}, Decision.STAY_ATTEMPTS),
            ({"candidates": 0}, Decision.STAY_TARGETS),
            ({"retries_left": 0.99}, Decision.STAY_BUDGET),
            ({"left_ms": 299.0}, Decision.STAY_TIME),
            ({"permitted": False}, Decision.STAY_FORBIDDEN),
        ],
    )
    def test_move_needs_all_of_its_means(self, lack, decision):
        assert decide_move(FREE._replace(**lack)) is decision

    @given(st.floats(50.0, 30_000.0), st.floats(0.0, 5_000.0))
    def test_bounds_leave_time_to_resume(self, aim_ms, gap_ms):
        """Guards against bounds below a sound pause, or too near to when callers give up."""
        route = Route("r", "h", "/", Repeat.STREAM, 1.0, aim_ms, 0, (("a", 1.0),), 2, gap_ms=gap_ms)
        patience_ms = stream_idle_timeout_ms(route)
        assert SOUND_SILENCE_S * 1000 < event_silence_ms(route) <= 0.75 * patience_ms
        assert SOUND_SILENCE_S * 1000 < first_event_silence_ms(route) <= 0.75 * patience_ms
