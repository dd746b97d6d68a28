"""Requests that crash their targets and come again stop reaching targets."""

from __future__ import annotations

import asyncio
import itertools

import aiohttp
import pytest

from savoryfork.forward import crashes
from savoryfork.forward.quarantine import Report
from savoryfork.forward.run import Run
from tests.forward.deployment import Deployment

# The bound on hosts in touch: a request may not reach targets in more than three retries after its
# third crash is known.
CRASHES_BEFORE_BOUND = 3
REQUESTS_AFTER_BOUND = 3

REQUEST_GAP_S = 0.1

# A prompt whose shared parts are in other requests too.
PROMPT = {"Token_Usage": "100,6", "Prefix_Hash": "first:60,middle:30,own:10", "Model": "m"}

KINDS = ["/book/", "/view/", "/ask/", "/chat/"]


def headers_of(path: str) -> dict[str, str]:
    """Returns the headers of a request that make it a stream on the routes of engines."""
    return PROMPT if path.startswith(("/ask/", "/chat/")) else {}


class Traffic:
    """Sends requests of one kind to the hosts in turn."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.numbers = itertools.count()

    def crash_on(self, path: str, after: int = 0) -> None:
        """Makes every target crash on requests with a path, after some events of a stream."""
        for replica in itertools.chain(*self.deployment.replicas.values()):
            replica.crash_paths.add(path)
            replica.crash_after = after

    def arrivals(self, path: str) -> int:
        """Returns how many requests with a path have reached targets."""
        replicas = itertools.chain(*self.deployment.replicas.values())
        return sum(r.get("path") == path for replica in replicas for r in replica.received)

    async def send(self, path: str, content: bytes = b"body") -> int:
        """Sends one request to the next host; returns the status, or 0 if the answer breaks off."""
        host = next(self.numbers) % len(self.deployment.hosts)
        try:
            return (
                await self.deployment.call(path, host=host, content=content, **headers_of(path))
            )[0]
        except aiohttp.ClientError:
            return 0


class TestRequestThatComesAgain:
    @pytest.mark.parametrize("kind", KINDS)
    async def test_stops_reaching_targets_and_others_go_on(self, kind):
        """Guards against targets that crash one after the other under one request.

        The other requests are of the same caller and route, and their prompts have all its parts.
        """
        async with Deployment(hosts=3, replicas=4) as deployment:
            traffic = Traffic(deployment)
            traffic.crash_on(kind + "bad")
            sound: list[asyncio.Task[int]] = []
            crashing: list[int] = []
            for number in range(15):
                sound.append(asyncio.create_task(traffic.send(f"{kind}{number}")))
                crashing.append(await traffic.send(kind + "bad"))
                await asyncio.sleep(REQUEST_GAP_S)
            statuses = await asyncio.gather(*sound)
            assert 200 not in crashing
            assert traffic.arrivals(kind + "bad") <= CRASHES_BEFORE_BOUND + REQUESTS_AFTER_BOUND
            assert crashing[-5:] == [503] * 5
            assert statuses[-8:] == [200] * 8

    async def test_stops_reaching_engines_that_crash_after_their_first_events(self):
        """Guards against taking events for the proof that a request crashes no engine."""
        async with Deployment(hosts=3, replicas=4) as deployment:
            traffic = Traffic(deployment)
            traffic.crash_on("/chat/bad", after=3)
            sound: list[asyncio.Task[int]] = []
            for number in range(15):
                sound.append(asyncio.create_task(traffic.send(f"/chat/{number}")))
                assert await traffic.send("/chat/bad") != 200
                await asyncio.sleep(REQUEST_GAP_S)
            assert traffic.arrivals("/chat/bad") <= CRASHES_BEFORE_BOUND + REQUESTS_AFTER_BOUND
            assert await traffic.send("/chat/bad") == 503
            assert (await asyncio.gather(*sound))[-8:] == [200] * 8


class TestAnswers:
    async def test_request_that_is_answered_between_crashes_is_not_refused(self, monkeypatch):
        """Guards against refusing a popular request after three crashes that it did not cause.

        Many callers send the same request; one of them is on each target that crashes by itself.
        """
        async with Deployment(hosts=1, replicas=4) as deployment:
            (host,) = deployment.hosts
            traffic = Traffic(deployment)
            popular = None

            def note_fingerprint(run: Run) -> None:
                nonlocal popular
                popular = run.fingerprint()

            monkeypatch.setattr(host.crashes, "admit", note_fingerprint)
            assert await traffic.send("/view/popular") == 200
            monkeypatch.undo()
            for number in range(3):
                report = Report(f"e{number}", 1, (), False, popular)
                host.crashes.report(report, f"r{number}")
                if number == 0:  # the other two targets crash at once
                    assert await traffic.send("/view/popular") == 200
            assert await traffic.send("/view/popular") == 200
            assert not host.follower.quarantine.groups

    async def test_answered_requests_do_not_evict_answered_parts(self):
        """Guards against taking sound parts for unknown ones while some request is suspected."""
        async with Deployment(hosts=1, replicas=4) as deployment:
            (host,) = deployment.hosts
            quarantine = host.follower.quarantine
            for name in ("e1", "e2"):
                host.crashes.report(Report(name, 1, (), False, 1001), "r" + name)
            assert quarantine.requests
            known = len(quarantine.answered_at)
            traffic = Traffic(deployment)
            for number in range(10):
                assert await traffic.send(f"/view/{number}") == 200
            assert len(quarantine.answered_at) == known


class TestBystanders:
    async def test_request_that_ends_targets_before_its_head_is_known(self, monkeypatch):
        """Guards against missing a request that crashes targets on which others have just begun.

        On a busy engine some sound request has nearly always begun without an event.
        """
        monkeypatch.setattr(crashes, "BYSTANDER_DELAY_MS", 1.0)
        async with Deployment(hosts=1, replicas=1) as deployment:
            (host,) = deployment.hosts
            for number in range(3):
                sound = Report(f"e{number}", 1, (10 + number,), True, 100 + number)
                host.crashes.report(sound, f"sound{number}")
                lost = Report(f"e{number}", 1, (1,), False, 1001)
                await host.crashes.report_bystander(lost, f"lost{number}")
            assert host.follower.quarantine.quarantined_requests() == {1001}
            assert not host.follower.quarantine.quarantined_parts()
