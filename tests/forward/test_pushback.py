"""Targets that push back get nothing for that time, then a few requests, then more."""

from __future__ import annotations

import asyncio
import logging

import pytest

from savoryfork.forward import pushback
from savoryfork.forward.model import Target
from savoryfork.forward.pushback import MAX_PUSH_BACK_MS, PushBacks
from savoryfork.platform import headers
from standins.replicas import Replica
from tests.forward.deployment import Deployment, until

TOKENS = {"Token_Usage": "100,6", "Prefix_Hash": "aa:60,bb:30,cc:10", "Model": "m"}
STAGED = {"Pieces": "1,2", "Piece_Key": "pk", **TOKENS}
TARGET = Target("t", "s", "10.0.0.1:80", "z", 1, 4, False)

# Requests that were sent before the answer may arrive this long after it.
SLACK_S = 0.5


class TestValue:
    @pytest.mark.parametrize(
        "found", ["", "-1", "nan", "inf", "-inf", "soon", "Sat, 05 Dec 2026 03:00:00 GMT", "0"]
    )
    def test_unusable_value_is_no_push_back(self, found):
        """Guards against a target that is kept from work by a value that means nothing."""
        answer = headers.decode_answer(503, [(b"Retry-After", found.encode())])
        assert not answer.push_back_s

    @pytest.mark.parametrize("status", [200, 429, 409, 500])
    def test_other_answers_are_no_push_back(self, status):
        """Guards against taking a limit of one caller, or a missing input, for one of the host."""
        assert headers.decode_answer(status, [(b"Retry-After", b"9")]).push_back_s is None

    def test_missing_value_is_no_push_back(self):
        assert headers.decode_answer(503, [(b"Not-Executed", b"1")]).push_back_s is None

    @pytest.mark.parametrize("seconds", [3_600.0, 86_400.0, 1_796_000_000.0])
    def test_time_is_kept_up_to_an_hour(self, seconds):
        """Guards against requests within a long time, and a target lost for good by a mistake."""
        push_backs = PushBacks()
        push_backs.record(TARGET, seconds, 0.0)
        assert push_backs.is_blocked(TARGET, MAX_PUSH_BACK_MS - 1.0)
        assert not push_backs.is_blocked(TARGET, MAX_PUSH_BACK_MS)


class TestTime:
    def test_later_answers_do_not_shorten_it(self):
        """Guards against requests within a longer time that an earlier answer set."""
        push_backs = PushBacks()
        push_backs.record(TARGET, 10.0, 0.0)
        push_backs.record(TARGET, 1.0, 100.0)
        push_backs.record_accepted(TARGET, 200.0)
        assert push_backs.is_blocked(TARGET, 9_999.0)

    def test_another_incarnation_is_open(self):
        """Guards against a new replica that pays for what its predecessor wanted."""
        push_backs = PushBacks()
        push_backs.record(TARGET, 10.0, 0.0)
        assert push_backs.is_open(TARGET._replace(start_unix_ms=2), 5, 1.0)

    def test_first_tries_after_it_are_few(self):
        """Guards against a host that sends all it has to a target as its time ends."""
        push_backs = PushBacks()
        push_backs.record(TARGET, 1.0, 0.0)
        allowed = []
        for _ in range(3):
            allowed.append(next(n for n in range(99) if not push_backs.is_open(TARGET, n, 1_000.0)))
            push_backs.record_accepted(TARGET, 1_000.0)
        assert allowed == [1, 2, 3]
        for _ in range(pushback.RECOVERED_REQUESTS):
            push_backs.record_accepted(TARGET, 1_000.0)
        assert push_backs.is_open(TARGET, 1_000, 1_000.0)

    def test_memory_is_bounded(self):
        push_backs = PushBacks()
        for number in range(2 * pushback.MAX_REMEMBERED):
            push_backs.record(TARGET._replace(name=f"t{number}"), 1.0, float(number))
        assert len(push_backs.entries) == pushback.MAX_REMEMBERED
        push_backs.expire(1e9)
        assert not push_backs.entries

    def test_callers_are_not_told_the_same_moment(self):
        """Guards against all refused callers that return at once, and against one sent far off."""
        push_backs = PushBacks()
        push_backs.record(TARGET, 1.0, 0.0)
        found = {push_backs.caller_retry_ms([TARGET], f"r{n}", 0.0) for n in range(50)}
        assert len(found) > 25 and min(found) >= 1_000.0 and max(found) <= 1_500.0
        push_backs.record(TARGET, 3_600.0, 0.0)
        assert push_backs.caller_retry_ms([TARGET], "r", 0.0) <= 1.5 * pushback.MAX_CALLER_RETRY_MS


def arrivals_in_time(replica: Replica, started: float, seconds: float) -> int:
    """Returns the requests that reached a replica between the slack and the end of its time."""
    return sum(started + SLACK_S < at < started + seconds for at in replica.arrivals)


class TestRequests:
    @pytest.mark.parametrize("marked", [True, False])
    async def test_nothing_reaches_a_replica_that_pushes_back(self, marked, caplog):
        """Guards against requests that a replica turned away for a time and gets all the same."""
        caplog.set_level(logging.INFO)
        async with Deployment() as deployment:
            first, second = deployment.replicas["plain"]
            first.push_back, first.push_back_mark = "1.5", marked
            while not first.arrivals:
                assert (await deployment.call("/view/x"))[0] == 200
            started = first.arrivals[0]
            loop = asyncio.get_running_loop()
            while loop.time() < started + 1.4:
                for path in ("/view/x", "/book/x"):
                    assert (await deployment.call(path))[0] == 200
            assert len(first.arrivals) == 1 and second.arrivals
            first.push_back = None
            await until(lambda: loop.time() > started + 1.6)
            while len(first.arrivals) < 2:
                assert (await deployment.call("/book/x"))[0] == 200
        lines = [r.msg for r in caplog.records if r.msg.get("event") == "target_pushed_back"]
        assert [x["target"] for x in lines] == [first.name]

    async def test_callers_are_refused_at_once_if_all_replicas_push_back(self):
        """Guards against offers, and the budget they take, that the replicas do not want."""
        async with Deployment() as deployment:
            replicas = deployment.replicas["plain"]
            for replica in replicas:
                replica.push_back = "2"
            await deployment.call("/view/x")
            started = asyncio.get_running_loop().time()
            assert all(len(replica.arrivals) == 1 for replica in replicas)
            for _ in range(5):
                status, body, found = await deployment.call("/view/x")
                assert status in (429, 503) and b"push back" in body
                assert 1.5 < float(found["Retry-After"]) < 3.1
            assert asyncio.get_running_loop().time() - started < 0.5
            assert all(len(replica.arrivals) == 1 for replica in replicas)

    async def test_one_that_is_free_decides_what_callers_are_told(self):
        """Guards against an hour in the answer to a caller that another replica would serve."""
        async with Deployment() as deployment:
            first, second = deployment.replicas["plain"]
            first.push_back, second.refuse = "3600", True
            while not first.arrivals:
                status, _, found = await deployment.call("/book/x")
            status, _, found = await deployment.call("/book/x")
            assert status == 503 and float(found["Retry-After"]) < 1.0

    async def test_first_request_after_the_time_goes_alone(self):
        """Guards against a burst at the end of the time that makes all replicas push back again."""
        async with Deployment() as deployment:
            replicas = deployment.replicas["plain"]
            for replica in replicas:
                replica.push_back = "0.6"
            await deployment.call("/view/x")
            for replica in replicas:
                replica.push_back, replica.delay_s = None, 1.0
                replica.arrivals.clear()
            await asyncio.sleep(0.7)
            calls = [asyncio.create_task(deployment.call("/view/x")) for _ in range(20)]
            await until(lambda: all(replica.arrivals for replica in replicas))
            await asyncio.sleep(0.2)
            assert [len(replica.arrivals) for replica in replicas] == [1, 1]
            statuses = [(await call)[0] for call in calls]
            assert statuses.count(200) == 2

    async def test_stages_do_not_run_for_engines_that_push_back(self):
        """Guards against stage work for a request that no engine will take."""
        async with Deployment() as deployment:
            registry = deployment.hosts[0].follower.registry
            now = deployment.hosts[0].follower.now()
            for replica in deployment.replicas["engine"]:
                registry.push_backs.record(registry.targets[replica.name], 5.0, now)
            status, _, found = await deployment.call("/chat/x", **STAGED)
            assert status in (429, 503) and float(found["Retry-After"]) >= 2.5
            assert not any(replica.batch_sizes for replica in deployment.replicas["cave"])

    async def test_broken_stream_is_not_resumed_at_a_replica_that_pushes_back(self):
        """Guards against resumptions that a replica has turned away."""
        async with Deployment() as deployment:
            host = deployment.hosts[0]
            registry = host.follower.registry
            first, second = deployment.replicas["engine"]
            first.break_after = second.break_after = 3
            task = asyncio.create_task(deployment.call("/chat/x", Pieces="1,2", **TOKENS))
            await until(lambda: first.run_counts or second.run_counts)
            other = second if first.run_counts else first
            registry.push_backs.record(registry.targets[other.name], 5.0, host.follower.now())
            await asyncio.gather(task, return_exceptions=True)
            assert not other.arrivals


class TestPieces:
    async def test_no_piece_reaches_a_stage_replica_that_pushes_back(self):
        """Guards against the retries of pieces, which take no budget when a replica refuses."""
        async with Deployment() as deployment:
            first, _ = deployment.replicas["cave"]
            first.push_back = "1.5"
            while not first.arrivals:
                assert (await deployment.call("/chat/x", **STAGED))[0] == 200
            started = first.arrivals[0]
            loop = asyncio.get_running_loop()
            while loop.time() < started + 1.4:
                assert (await deployment.call("/chat/x", **STAGED))[0] == 200
            assert arrivals_in_time(first, started, 1.5) == 0

    async def test_work_is_refused_at_once_if_all_stage_replicas_push_back(self):
        """Guards against pieces that wait for the caller's deadline."""
        async with Deployment() as deployment:
            for replica in deployment.replicas["cave"]:
                replica.push_back = "30"
            async with asyncio.timeout(1.0):
                for _ in range(3):
                    status, _, found = await deployment.call("/chat/x", **STAGED)
                    assert status in (429, 503) and float(found["Retry-After"]) >= 2.5
            assert all(len(replica.arrivals) <= 1 for replica in deployment.replicas["cave"])

    async def test_work_waits_for_a_short_push_back(self):
        """Guards against refusals where waiting a moment serves the request."""
        async with Deployment() as deployment:
            for replica in deployment.replicas["cave"]:
                replica.push_back = "0.3"
            task = asyncio.create_task(deployment.call("/chat/x", **STAGED))
            await until(lambda: all(r.arrivals for r in deployment.replicas["cave"]))
            for replica in deployment.replicas["cave"]:
                replica.push_back = None
            assert (await task)[0] == 200

    async def test_results_are_freed_after_the_time(self):
        """Guards against calls that free results at a replica that wants nothing."""
        async with Deployment() as deployment:
            engines = deployment.replicas["engine"]
            for replica in engines:
                replica.delay_s = 0.3
            task = asyncio.create_task(deployment.call("/chat/x", **STAGED))
            await until(lambda: any(engine.run_counts for engine in engines))
            (maker,) = [r for r in deployment.replicas["carri"] if r.batch_sizes]
            registry = deployment.hosts[0].follower.registry
            now = deployment.hosts[0].follower.now()
            registry.push_backs.record(registry.targets[maker.name], 1.2, now)
            count = len(maker.arrivals)
            assert (await task)[0] == 200
            await asyncio.sleep(0.4)
            assert len(maker.arrivals) == count and maker.held_results
            await until(lambda: not maker.held_results, 2.0)
