"""Targets that say in their answers that they are leaving get no new work from any host."""

from __future__ import annotations

import asyncio
import logging

import pytest

from savoryfork.forward import departures
from savoryfork.forward.departures import (
    MAX_MARKS_SENT,
    MAX_UNREGISTERED_MARKS,
    SHARED_MS,
    DepartureExchange,
    DepartureNews,
    Departures,
    Incarnation,
    Source,
)
from savoryfork.forward.knowledge import Entry
from savoryfork.platform import headers
from savoryfork.platform.records import decode_target
from simulation.plane import ControlPlane
from standins.replicas import Replica
from tests.forward.deployment import Deployment, until
from tests.forward.test_registry import make_registry, value

TOKENS = {"Token_Usage": "100,6", "Prefix_Hash": "aa:60,bb:30,cc:10", "Model": "m"}
STAGED = {"Pieces": "1,2", "Piece_Key": "pk", **TOKENS}


def incarnation(number: int, born: int = 1) -> Incarnation:
    return Incarnation(f"t{number}", born, f"10.0.0.{number}:80")


class TestMark:
    @pytest.mark.parametrize("found", ["0", "", "true", "yes", "11", "1.0", "1, 1"])
    def test_other_values_are_no_mark(self, found):
        """Guards against taking out of use, for good, a target that wrote something else."""
        assert not headers.decode_answer(200, [(b"Server-Leaving", found.encode())]).leaving

    def test_mark_is_decoded_from_any_status(self):
        """Guards against marks that are read from successes only."""
        for status in (200, 404, 500, 503):
            assert headers.decode_answer(status, [(b"server-leaving", b" 1 ")]).leaving
        assert not headers.decode_answer(200, []).leaving

    def test_mark_of_another_incarnation_is_none(self):
        """Guards against a 421, which another incarnation writes, that marks the expected one."""
        assert not headers.decode_answer(421, [(b"Server-Leaving", b"1")]).leaving


class TestRegistry:
    def test_older_entry_does_not_bring_a_leaving_target_back(self):
        """Guards against work for a leaving target after an entry from before its answer."""
        registry = make_registry()
        target = registry.targets["t1"]
        registry.mark_leaving(target, Source.ANSWER, 0.0)
        assert len(registry.usable("s")) == 4 and not registry.is_current(target)
        registry.update([Entry(90, "t1", value("10.0.0.1:80"))], 1.0)
        assert len(registry.usable("s")) == 4 and not registry.is_current(target)

    @pytest.mark.parametrize("change", [{"born": 2}, {"address": "10.0.0.9:80"}])
    def test_another_incarnation_gets_work(self, change):
        """Guards against a name that stays out of use after its replica was replaced."""
        registry = make_registry()
        registry.mark_leaving(registry.targets["t1"], Source.ANSWER, 0.0)
        row = {"address": "10.0.0.1:80", **change}
        registry.update([Entry(90, "t1", value(**row))], 1.0)
        assert len(registry.usable("s")) == 5 and registry.is_current(registry.targets["t1"])

    def test_first_source_is_kept(self):
        """Guards against metrics that credit the store with what an answer said earlier."""
        registry = make_registry()
        target = registry.targets["t1"]
        registry.mark_leaving(target, Source.ANSWER, 5.0)
        registry.update([Entry(90, "t1", value("10.0.0.1:80", "draining"))], 9.0)
        found = registry.departures.find(target)
        assert (found.source, found.since) == (Source.ANSWER, 5.0)

    def test_entry_that_says_so_is_a_departure_from_the_store(self):
        registry = make_registry()
        registry.update([Entry(90, "t1", value("10.0.0.1:80", "draining"))], 9.0)
        found = registry.departures.find(registry.targets["t1"])
        assert (found.source, found.since) == (Source.STORE, 9.0)

    def test_mark_that_precedes_the_entry_counts_when_it_comes(self):
        """Guards against work for a target whose leaving peers told of before its entry came."""
        registry = make_registry()
        registry.departures.add(incarnation(7), Source.PEER, 0.0)
        registry.update([Entry(90, "t7", value("10.0.0.7:80"))], 1.0)
        assert len(registry.usable("s")) == 5


class TestBounds:
    def test_marks_of_targets_without_an_entry_are_bounded(self):
        """Guards against memory that grows with each replaced target."""
        marks = Departures()
        for number in range(2 * MAX_UNREGISTERED_MARKS):
            marks.add(incarnation(number), Source.ANSWER, float(number))
        marks.retain({incarnation(0)})
        assert len(marks.known) == MAX_UNREGISTERED_MARKS + 1
        assert incarnation(0) in marks.known and incarnation(1) not in marks.known

    def test_messages_are_bounded_and_tell_everything_in_turn(self):
        """Guards against marks that are dropped, or sent in one large message."""
        one, two = Departures(), Departures()
        count = 3 * MAX_MARKS_SENT + 1
        for number in range(count):
            one.add(incarnation(number), Source.ANSWER, 0.0)
        first, second = DepartureExchange(one), DepartureExchange(two)
        for _ in range(4):
            reply = first.reply_to("two", second.request_to("one", 1, 0.0), 0.0)
            assert len(reply.marks) <= MAX_MARKS_SENT
            second.merge_reply("one", 1, reply, 0.0)
        assert len(two.known) == count
        upwards = Departures()
        for _ in range(4):
            request = first.request_to("up", 1, 0.0)
            DepartureExchange(upwards).merge("one", request, 0.0)
            first.record_sent("up", 1, request)
        assert len(upwards.known) == count

    def test_old_marks_and_those_of_the_store_are_not_told(self):
        """Guards against a list that every new acquaintance gets in full for ever."""
        marks = Departures()
        marks.add(incarnation(1), Source.STORE, 0.0)
        marks.add(incarnation(2), Source.ANSWER, 0.0)
        exchange = DepartureExchange(marks)
        assert len(exchange.request_to("h", 1, SHARED_MS).marks) == 1
        assert not exchange.request_to("h", 1, SHARED_MS + 1.0).marks

    def test_host_that_restarts_is_told_again(self):
        """Guards against a restarted host that is taken to know what its former process knew."""
        marks = Departures()
        marks.add(incarnation(1), Source.ANSWER, 0.0)
        exchange = DepartureExchange(marks)
        exchange.record_sent("h", 1, exchange.request_to("h", 1, 0.0))
        assert not exchange.request_to("h", 1, 0.0).marks
        assert exchange.request_to("h", 2, 0.0).marks

    def test_host_that_restarts_is_told_what_it_reported(self):
        """Guards against a restarted host that the hosts it told do not tell in turn."""
        one, two = Departures(), Departures()
        one.add(incarnation(1), Source.ANSWER, 0.0)
        second = DepartureExchange(two)
        second.merge("one", DepartureExchange(one).request_to("two", 1, 0.0), 0.0)
        assert not second.reply_to("one", DepartureNews(0), 0.0).marks
        assert second.reply_to("one", DepartureNews(), 0.0).marks


async def unused(replica: Replica, deployment: Deployment, service: str) -> None:
    """Waits until a host does not use a replica."""
    registry = deployment.hosts[0].follower.registry
    await until(lambda: replica.name not in {t.name for t in registry.usable(service)}, 2.0)


class TestAnswers:
    @pytest.mark.parametrize("status", [200, 404, 500])
    async def test_replica_that_says_it_leaves_gets_no_more_requests(self, status, caplog):
        """Guards against requests to a leaving replica until the store says so, or for good if it
        never does."""
        caplog.set_level(logging.INFO)
        async with Deployment() as deployment:
            first, second = deployment.replicas["plain"]
            first.leaving, first.status = "1", status
            while not first.arrivals:
                await deployment.call("/book/x")
            for _ in range(10):
                await deployment.call("/book/x")
            assert len(first.arrivals) == 1 and second.arrivals
            # The entry is written again, as ready, a heartbeat later.
            deployment.register("plain", first)
            await asyncio.sleep(0.6)
            for _ in range(4):
                await deployment.call("/view/x")
            assert len(first.arrivals) == 1
        lines = [r.msg for r in caplog.records if r.msg.get("event") == "target_leaving"]
        assert [(x["target"], x["source"]) for x in lines] == [(first.name, "answer")]

    async def test_refusal_says_it_too(self):
        """Guards against marks that are read only from answers that are passed on."""
        async with Deployment() as deployment:
            first, _ = deployment.replicas["plain"]
            first.refuse, first.leaving = True, "1"
            for _ in range(10):
                assert (await deployment.call("/book/x"))[0] == 200
            assert first.refusals <= 1

    async def test_head_of_a_stream_says_it(self):
        """Guards against a mark that counts only once its stream has ended."""
        async with Deployment() as deployment:
            for replica in deployment.replicas["engine"]:
                replica.leaving = "1"
            task = asyncio.create_task(deployment.call("/ask/x", Token_Usage="100,100"))
            registry = deployment.hosts[0].follower.registry
            await until(lambda: len(registry.usable("engine")) == 1)
            assert not task.done()
            assert (await task)[0] == 200

    async def test_call_of_pieces_says_it(self):
        """Guards against pieces for a leaving stage replica."""
        async with Deployment() as deployment:
            first, second = deployment.replicas["cave"]
            first.leaving = second.leaving = "1"
            assert (await deployment.call("/chat/x", **STAGED))[0] == 200
            left = first if first.batch_sizes else second
            await unused(left, deployment, "cave")
            calls = len(left.batch_sizes)
            other = second if left is first else first
            other.leaving = None
            for _ in range(4):
                assert (await deployment.call("/chat/x", **STAGED))[0] == 200
            assert len(left.batch_sizes) == calls

    async def test_call_that_frees_results_says_it(self):
        """Guards against a mark that only a call without an expected incarnation bore."""
        async with Deployment() as deployment:
            makers = deployment.replicas["carri"]
            engines = deployment.replicas["engine"]
            for replica in engines:
                replica.delay_s = 0.3
            task = asyncio.create_task(deployment.call("/chat/x", **STAGED))
            await until(lambda: any(engine.run_counts for engine in engines))
            (maker,) = [replica for replica in makers if replica.batch_sizes]
            maker.leaving = "1"
            assert (await task)[0] == 200
            await unused(maker, deployment, "carri")

    async def test_other_incarnation_at_the_address_says_nothing_of_the_expected_one(self):
        """Guards against a mark of the wrong incarnation, which nothing would take back."""
        async with Deployment() as deployment:
            first, _ = deployment.replicas["plain"]
            registry = deployment.hosts[0].follower.registry
            target = registry.targets[first.name]
            first.name, first.leaving = "other", "1"
            while target.name not in registry.misdirected:
                assert (await deployment.call("/book/x"))[0] == 200
            assert not registry.departures.is_leaving(target)

    async def test_kept_connections_are_closed(self):
        """Guards against new work on idle connections to a leaving replica."""
        async with Deployment() as deployment:
            first, _ = deployment.replicas["plain"]
            connections = deployment.hosts[0].connections
            tasks = [asyncio.create_task(deployment.call("/book/x")) for _ in range(4)]
            await asyncio.gather(*tasks)
            first.leaving = "1"
            await unused_after_calls(first, deployment)
            assert not connections.idle.get(first.address)

    async def test_new_incarnation_gets_requests(self):
        """Guards against a replica under the same id that stays out of use after its restart."""
        async with Deployment() as deployment:
            first, _ = deployment.replicas["plain"]
            first.leaving = "1"
            await unused_after_calls(first, deployment)
            first.leaving = None
            first.born += 1
            deployment.register("plain", first)
            registry = deployment.hosts[0].follower.registry
            await until(lambda: len(registry.usable("plain")) == 2)

    async def test_callers_are_refused_at_once_if_all_replicas_leave(self):
        """Guards against stage work and waits for a request that no engine will take."""
        async with Deployment() as deployment:
            registry = deployment.hosts[0].follower.registry
            for replica in deployment.replicas["engine"]:
                target = registry.targets[replica.name]
                registry.mark_leaving(target, Source.ANSWER, 0.0)
            async with asyncio.timeout(0.5):
                status, body, found = await deployment.call("/chat/x", **STAGED)
            assert status == 503 and b"no_targets" in body and float(found["Retry-After"]) > 0
            assert not any(replica.batch_sizes for replica in deployment.replicas["cave"])

    async def test_pieces_that_wait_are_refused_at_once_if_all_replicas_leave(self):
        """Guards against a caller that is kept waiting until its deadline."""
        async with Deployment() as deployment:
            for replica in deployment.replicas["cave"]:
                replica.refuse, replica.leaving = True, "1"
            async with asyncio.timeout(1.0):
                status, body, _ = await deployment.call("/chat/x", **STAGED)
            assert status == 503 and b"no_targets" in body


async def unused_after_calls(replica: Replica, deployment: Deployment) -> None:
    """Sends requests until a host does not use a replica."""
    registry = deployment.hosts[0].follower.registry
    async with asyncio.timeout(3.0):
        while replica.name in {t.name for t in registry.usable("plain")}:
            await deployment.call("/book/x")


class TestHosts:
    async def test_other_hosts_learn_of_it(self):
        """Guards against hosts that send to a replica although another one knows that it leaves."""
        async with Deployment(hosts=3) as deployment:
            first, _ = deployment.replicas["plain"]
            hosts = deployment.hosts
            await until(lambda: all(len(h.members.alive(h.follower.now())) == 3 for h in hosts))
            first.leaving = "1"
            await unused_after_calls(first, deployment)
            for host in hosts:
                registry = host.follower.registry
                await until(lambda r=registry: len(r.usable("plain")) == 1, 2.0)
            found = hosts[1].follower.registry.departures
            target = hosts[1].follower.registry.targets[first.name]
            assert found.find(target).source is Source.PEER

    @pytest.mark.looptime
    async def test_marks_reach_60_hosts_and_cost_a_quiet_host_nothing(self):
        """Guards against marks that travel to one level of the tree only, or again and again."""
        async with ControlPlane(60) as plane:
            await asyncio.sleep(3.0)
            follower = plane.hosts[-1].follower
            target = decode_target("t1", value("10.0.0.1:80"))
            follower.record_leaving(target)
            known = [host.follower.registry.departures for host in plane.hosts]
            await plane.seconds_until(lambda: all(d.is_leaving(target) for d in known), 2.0)
            await asyncio.sleep(departures.SHARED_MS / 1000)
            plane.bytes.clear()
            await asyncio.sleep(5.0)
            rates = sorted(plane.bytes[host.address] / 5.0 for host in plane.hosts)
            assert rates[len(rates) // 2] <= 3_000.0
