"""Requests that crash their targets and come again stop reaching targets."""

from __future__ import annotations

import asyncio
import itertools

import aiohttp
import pytest

from savoryfork.forward import crashes
from savoryfork.forward import quarantine as quarantines
from savoryfork.forward.host import ForwardHost
from savoryfork.forward.quarantine import Report
from savoryfork.forward.run import Run
from savoryfork.util.topic import LogUnavailable
from tests.forward.deployment import Deployment, until

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


def cut_from_store(monkeypatch: pytest.MonkeyPatch, host: ForwardHost) -> None:
    """Makes every call of one host to the store fail."""

    async def fail(*args: object) -> None:
        raise LogUnavailable("cut off")

    for name in ("newest", "read", "append"):
        monkeypatch.setattr(host.follower.store, name, fail)


class TestStoreAway:
    """What one host has seen is known to all others while the store does not take reports."""

    # Time within which all hosts know.
    KNOWN_S = 1.0

    @pytest.mark.parametrize("kind", KINDS)
    async def test_request_that_comes_again_at_each_host_stops_reaching_targets(
        self, kind, monkeypatch
    ):
        """Guards against hosts that each lose targets of their own before they refuse.

        Crashed targets stay down: without the store their next incarnation can't be told apart.
        """
        monkeypatch.setattr("tests.forward.deployment.RESTART_S", 60.0)
        async with Deployment(hosts=3, replicas=12) as deployment:
            traffic = Traffic(deployment)
            traffic.crash_on(kind + "bad")
            deployment.store.down = True
            statuses: list[int] = []
            for _ in range(9):
                statuses.append(await traffic.send(kind + "bad"))
                await asyncio.sleep(self.KNOWN_S / 2)
            assert traffic.arrivals(kind + "bad") <= CRASHES_BEFORE_BOUND
            assert statuses[-3:] == [503] * 3

    async def test_host_that_only_lost_the_store_tells_the_others(self, monkeypatch):
        """Guards against reports that wait at a host that is cut off from the store.

        The others append them, as it may end before it can.
        """
        async with Deployment(hosts=3, replicas=6) as deployment:
            traffic = Traffic(deployment)
            traffic.crash_on("/book/bad")
            cut_from_store(monkeypatch, deployment.hosts[0])
            for _ in range(3):
                await deployment.call("/book/bad")
            for host in deployment.hosts[1:]:
                await until(
                    lambda host=host: host.follower.quarantine.quarantined_requests(), self.KNOWN_S
                )
            await until(lambda: not deployment.hosts[0].crashes.waiting)
            reports = deployment.hosts[0].follower.quarantine.reports
            assert len(reports) == 3 and all(stored.was_read for stored in reports.values())

    async def test_host_that_starts_in_the_outage_learns_before_it_is_ready(self, monkeypatch):
        """Guards against a host that starts without the reports and lets targets crash again."""
        monkeypatch.setattr("tests.forward.deployment.RESTART_S", 60.0)
        async with Deployment(hosts=2, replicas=6) as deployment:
            traffic = Traffic(deployment)
            traffic.crash_on("/book/bad")
            deployment.store.down = True
            for _ in range(4):
                await deployment.call("/book/bad")
            known = deployment.hosts[1].follower.quarantine
            await until(known.quarantined_requests, self.KNOWN_S)
            seeds = deployment.hosts[0].settings.seed_peers
            port = deployment.hosts[0].settings.peer_address.rpartition(":")[2]
            started = await deployment.start_host(0, (f"127.0.0.2:{port}", *seeds))
            await until(lambda: started.unready_reason() is None)
            assert (await deployment.call("/book/bad", host=2))[0] == 503
            assert traffic.arrivals("/book/bad") == CRASHES_BEFORE_BOUND

    async def test_clearance_reaches_the_others(self):
        """Guards against hosts that refuse what another one has seen answered."""
        async with Deployment(hosts=2) as deployment:
            one, two = deployment.hosts
            deployment.store.down = True
            for name in ("t1", "t2", "t3"):
                one.crashes.report(Report(name, 1, (), False, 5), name)
            await until(lambda: two.follower.quarantine.quarantined_requests(), self.KNOWN_S)
            clearance = one.follower.quarantine.clear(5)
            one.crashes.append(*quarantines.clearance_entry(clearance))
            await until(lambda: not two.follower.quarantine.quarantined_requests(), self.KNOWN_S)

    async def test_deleted_report_does_not_come_back(self, monkeypatch):
        """Guards against a report that a host cut off from the store brings back for ever."""
        async with Deployment(hosts=2) as deployment:
            one, two = deployment.hosts
            cut_from_store(monkeypatch, one)
            report = Report("t1", 1, (), False, 5)
            one.crashes.report(report, "r")
            key, value = quarantines.report_entry(report, "r")
            for host in deployment.hosts:
                await until(
                    lambda host=host: (found := host.follower.quarantine.reports.get(key))
                    and found.was_read
                )
            two.crashes.append(key, b"")
            for host in deployment.hosts:
                await until(lambda host=host: key not in host.follower.quarantine.reports)
                assert not host.follower.crash_news.shared and not host.crashes.waiting
            # A host that has missed all of it tells the report once more.
            two.follower.crash_news.add(key, value, two.follower.now())
            two.follower.notify()
            await asyncio.sleep(self.KNOWN_S)
            for host in deployment.hosts:
                assert key not in host.follower.quarantine.reports


class TestStop:
    async def test_reports_are_appended_before_the_host_ends(self):
        """Guards against the loss of reports that wait at a host that stops as planned."""
        async with Deployment(hosts=2) as deployment:
            one, two = deployment.hosts
            report = Report("t1", 1, (7,), False, 5)
            one.background.spawn(one.crashes.report_bystander(report, "r"))
            await asyncio.sleep(0)
            await one.crashes.flush()
            await one.stop()
            await until(lambda: two.follower.quarantine.reports, 1.0)
