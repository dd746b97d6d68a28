"""Pieces of stage work that crash their targets stop reaching targets; others are served."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

import aiohttp

from savoryfork.forward.messages import WorkRequest
from savoryfork.forward.model import StagePlan
from savoryfork.forward.pools import MAX_ATTEMPTS
from standins.replicas import Replica
from tests.forward.deployment import Deployment, until

# Crashes after which no host in touch sends anything of a request.
CRASHES_BEFORE_BOUND = 3

REQUEST_GAP_S = 0.1

PROMPT = {"Token_Usage": "100,2", "Prefix_Hash": "first:60,middle:30,own:10", "Model": "m"}

# Requests beside each crashing one: more than there are targets, so that calls hold several.
SOUND_PER_ROUND = 12

ROUNDS = 10

# Long enough for the later requests of a round to arrive while all targets are busy.
CALL_DELAY_S = 0.1

# The stages of the route of `Deployment`.
PLANS = (StagePlan("cave", (), 8_000), StagePlan("carri", (0,), 60_000))


def stage_targets(deployment: Deployment) -> list[Replica]:
    """Returns the targets of the first stage."""
    return deployment.replicas["cave"]


def arrivals(deployment: Deployment, key: str) -> int:
    """Returns how many pieces with a key have reached targets."""
    return sum(e.get("key") == key for r in stage_targets(deployment) for e in r.received)


async def send(deployment: Deployment, host: int, name: str) -> int:
    """Sends the request of a name to a host; returns the status, or 0 if the answer breaks off."""
    headers = {**PROMPT, "Pieces": "1,2", "Piece_Key": name}
    try:
        return (await deployment.call(f"/chat/{name}", host=host, **headers))[0]
    except aiohttp.ClientError:
        return 0


class TestPieceThatCrashesTargets:
    async def test_stops_reaching_targets_and_others_go_on(self):
        """Guards against stage targets that crash one after the other under one request.

        Requests of the same caller and route, with the same prompt parts, share its calls. Without
        the bound each coming of the request ends as many targets as a piece has attempts.
        """
        async with Deployment(hosts=3, replicas=5) as deployment:
            targets = stage_targets(deployment)
            for replica in targets:
                replica.crash_keys.add("bad")
                replica.delay_s = CALL_DELAY_S
            hosts = itertools.cycle(range(3))
            crashing: list[int] = []
            sound: list[int] = []
            for number in range(ROUNDS):
                names = [f"sound-{number}-{n}" for n in range(SOUND_PER_ROUND)]
                names.insert(SOUND_PER_ROUND // 2, "bad")
                calls = []
                for name in names:
                    if name == "bad":
                        # The targets are busy, so it waits and shares a call with the next ones.
                        await until(lambda: sum(len(r.batch_sizes) for r in targets) >= 5)
                    calls.append(asyncio.create_task(send(deployment, next(hosts), name)))
                statuses = dict(zip(names, await asyncio.gather(*calls), strict=True))
                crashing.append(statuses.pop("bad"))
                sound += statuses.values()
                await asyncio.sleep(REQUEST_GAP_S)
            crashed_batches = [size for r in targets for size in r.crashed_batches]
            assert max(crashed_batches) > 1, "no call was shared"
            assert arrivals(deployment, "bad") <= CRASHES_BEFORE_BOUND
            assert len(crashed_batches) <= CRASHES_BEFORE_BOUND
            assert crashing == [503] * ROUNDS
            assert sound == [200] * len(sound)

    async def test_first_coming_is_refused_after_its_third_crash(self):
        """Guards against a failure that callers read as one of the targets, and repeat."""
        async with Deployment(hosts=3, replicas=5) as deployment:
            for replica in stage_targets(deployment):
                replica.crash_keys.add("bad")
            headers = {**PROMPT, "Pieces": "1,2", "Piece_Key": "bad"}
            status, body, answer_headers = await deployment.call("/chat/bad", **headers)
            assert status == 503 and b"request_quarantined" in body
            assert float(answer_headers["Retry-After"]) >= 1.0
            assert arrivals(deployment, "bad") == CRASHES_BEFORE_BOUND

    async def test_equal_requests_crash_targets_one_after_the_other(self):
        """Guards against equal requests that end one target each before the third crash."""
        async with Deployment(hosts=3, replicas=5) as deployment:
            targets = stage_targets(deployment)
            for replica in targets:
                replica.crash_keys.add("bad")
            first = asyncio.create_task(send(deployment, 0, "bad"))
            await until(
                lambda: any(host.crashes.quarantine.reported_requests for host in deployment.hosts)
            )
            others = [send(deployment, number % 3, "bad") for number in range(9)]
            statuses = await asyncio.gather(first, *others)
            assert statuses == [503] * 10
            assert sum(replica.crashes for replica in targets) == CRASHES_BEFORE_BOUND

    async def test_pieces_of_hosts_that_send_no_fingerprint_are_repeated_as_before(self):
        """Guards against an unknown request that is taken for the cause, or never ends."""
        async with Deployment(hosts=1, replicas=5) as deployment:
            (host,) = deployment.hosts
            targets = stage_targets(deployment)
            for replica in targets:
                replica.crash_keys.add("bad")
            request = WorkRequest("r", PLANS, (1, 2), "bad", 1, 2_000.0, 1_000.0, None)
            reply = await host.stages.coordinator.handle(request)
            assert reply.failure == "failed" and not host.crashes.quarantine.reports
            assert sum(replica.crashes for replica in targets) == MAX_ATTEMPTS
            sound = request._replace(request_id="s", key="sound")
            assert (await host.stages.coordinator.handle(sound)).failure is None


class TestReports:
    async def test_target_that_only_breaks_a_call_off_accuses_nobody(self):
        """Guards against refusing requests because connections are cut."""
        async with Deployment(hosts=1, replicas=3) as deployment:
            (host,) = deployment.hosts
            targets = stage_targets(deployment)
            for replica in targets:
                replica.on_crash = reset_connection_of(replica, deployment)
            for _ in range(4):
                for replica in targets:
                    replica.crashing_calls = 1
                assert await send(deployment, 0, "sound") == 200
            assert sum(replica.crashes for replica in targets) >= 4
            assert not host.crashes.quarantine.reports


def reset_connection_of(replica: Replica, deployment: Deployment) -> Callable[[], Awaitable[None]]:
    """Returns a fault that resets the connections of a replica, which goes on listening."""

    async def reset() -> None:
        for runner in deployment.runners:
            if replica.address in [f"{ip}:{port}" for ip, port in runner.addresses]:
                assert runner.server is not None
                for connection in runner.server.connections:
                    if connection.transport is not None:
                        connection.transport.abort()

    return reset


class TestTargetsThatCrashByThemselves:
    async def test_requests_are_served_elsewhere_and_not_refused_later(self):
        """Guards against blaming requests for crashes that came by themselves.

        The requests come again, as they do from a page that is loaded again.
        """
        async with Deployment(hosts=3, replicas=5) as deployment:
            targets = stage_targets(deployment)
            hosts = itertools.cycle(range(3))
            names = [f"sound-{n}" for n in range(SOUND_PER_ROUND)]
            for _ in range(3):
                for replica in targets[:2]:
                    replica.crashing_calls = 1
                calls = [send(deployment, next(hosts), name) for name in names]
                assert await asyncio.gather(*calls) == [200] * len(names)
                await asyncio.sleep(0.6)
            assert sum(replica.crashes for replica in targets) >= 2
            for host in deployment.hosts:
                assert not host.crashes.quarantine.quarantined_requests()
