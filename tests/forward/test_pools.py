"""Calls to stage targets that refuse, hang, or run out of result space."""

from __future__ import annotations

import asyncio
import copy
from typing import Any

from savoryfork.forward.cells import UNDIVIDED
from savoryfork.forward.connection import TargetError
from savoryfork.forward.host import ForwardHost
from savoryfork.forward.messages import StageResult
from standins.replicas import Replica
from tests.forward.deployment import Deployment, configuration, until

TOKENS = {"Token_Usage": "100,2", "Prefix_Hash": "aa:60,bb:30,cc:10", "Model": "m"}


def entry_of(replica: Replica, zone: str) -> dict[str, Any]:
    """Returns the entry of a stage replica in a zone."""
    row = {"service": "carri", "address": replica.address, "zone": zone, "state": "ready"}
    return {**row, "slots": 4, "born": replica.born}


class TestFaults:
    async def test_refusals_of_full_targets_do_not_fail_a_request(self):
        """Refusals must not use up the attempts of a piece.

        With two coordinators for a moment after a change, pieces failed after four refusals.
        """
        async with Deployment() as deployment:
            cave = deployment.replicas["cave"]
            for replica in cave:
                replica.refuse = True
            task = asyncio.create_task(deployment.call("/chat/x", Pieces="1,8", **TOKENS))
            await until(lambda: sum(replica.refusals for replica in cave) > 4)
            for replica in cave:
                replica.refuse = False
            assert (await task)[0] == 200

    async def test_a_call_that_hangs_is_retried_on_another_target(self):
        async with Deployment() as deployment:
            first, second = deployment.replicas["cave"]
            first.delay_s = second.delay_s = 1.5
            task = asyncio.create_task(deployment.call("/chat/x", Pieces="1,8", **TOKENS))
            await until(lambda: bool(first.batch_sizes or second.batch_sizes))
            other = second if first.batch_sizes else first
            other.delay_s = 0.0
            status, _, _ = await asyncio.wait_for(task, 1.4)
            assert status == 200 and other.batch_sizes

    async def test_call_that_fails_by_a_fault_of_the_host_is_retried(self, monkeypatch):
        """Guards against pieces that nobody calls again, whose request waits for its deadline."""
        async with Deployment() as deployment:
            wire = deployment.hosts[0].wire
            decode, failures = wire.decode_results, [RecursionError()]

            def fail_once(*arguments):
                if failures:
                    raise failures.pop()
                return decode(*arguments)

            monkeypatch.setattr(wire, "decode_results", fail_once)
            call = deployment.call("/chat/x", Pieces="1,8", **TOKENS)
            assert (await asyncio.wait_for(call, 1.0))[0] == 200 and not failures

    async def test_piece_leaves_a_target_that_stays_full(self):
        """Guards against a piece that waits for a full target until its caller has left.

        The other target is in another zone, and moving the result there costs more than a wait.
        """
        async with Deployment() as deployment:
            config = copy.deepcopy(configuration(2))
            config["routes"][2]["stages"][1]["payload_bytes"] = 2_900_000
            config["services"][3]["pieces"]["headroom_mb"] = 22
            deployment.store.put("keyed.op", "config", config)
            full, other = deployment.replicas["carri"]
            full.no_room = True
            deployment.store.put("keyed.servers", other.name, entry_of(other, "y"))
            registry = deployment.hosts[0].follower.registry
            await until(
                lambda: deployment.hosts[0].follower.catalog.version == 2
                and {t.zone for t in registry.usable("carri")} == {"y", "z"}
            )
            call = deployment.call("/chat/x", Pieces="1,1", **TOKENS)
            assert (await asyncio.wait_for(call, 1.5))[0] == 200
            assert full.batch_sizes and len(full.batch_sizes) <= 5

    async def test_duplicate_results_are_freed(self):
        async with Deployment() as deployment:
            first, second = deployment.replicas["cave"]
            first.delay_s = second.delay_s = 0.5
            task = asyncio.create_task(deployment.call("/chat/x", Pieces="1,8", **TOKENS))
            await until(lambda: bool(first.batch_sizes or second.batch_sizes))
            (second if first.batch_sizes else first).delay_s = 0.0
            assert (await task)[0] == 200
            await until(lambda: not first.held_results and not second.held_results)

    async def test_work_of_a_disconnected_caller_is_cancelled(self):
        async with Deployment() as deployment:
            for replica in deployment.replicas["cave"]:
                replica.delay_s = 0.3
            task = asyncio.create_task(deployment.call("/chat/x", Pieces="4,8", **TOKENS))
            pools = deployment.hosts[0].pools
            await until(lambda: any(pool.tasks for pool in pools.pools.values()))
            task.cancel()
            await until(lambda: not any(pool.tasks for pool in pools.pools.values()), 0.5)
            makers = deployment.replicas["cave"]
            await until(
                lambda: any(r.batch_sizes for r in makers)
                and not any(r.held_results for r in makers)
            )
            assert not any(replica.batch_sizes for replica in deployment.replicas["carri"])


async def remove_stages(deployment: Deployment) -> None:
    """Puts a configuration in force without the stage services and the route that uses them."""
    config = configuration(2)
    config["routes"] = [r for r in config["routes"] if r["name"] != "chat"]
    config["services"] = [s for s in config["services"] if s["name"] in ("plain", "engine")]
    deployment.store.put("keyed.op", "config", config)
    await until(lambda: deployment.hosts[0].follower.catalog.version == 2)


class TestRemovedServices:
    async def test_work_in_hand_ends_with_its_answer(self):
        """Guards against refusing admitted work whose later stage has left the configuration."""
        async with Deployment() as deployment:
            cave = deployment.replicas["cave"]
            for replica in cave:
                replica.delay_s = 0.3
            task = asyncio.create_task(deployment.call("/chat/x", Pieces="1,8", **TOKENS))
            await until(lambda: any(replica.batch_sizes for replica in cave))
            await remove_stages(deployment)
            assert (await task)[0] == 200

    async def test_work_without_targets_is_refused_at_once(self):
        """Guards against work that waits until its deadline for targets that will not come."""
        async with Deployment() as deployment:
            cave = deployment.replicas["cave"]
            for replica in cave:
                replica.refuse = True
            loop = asyncio.get_running_loop()
            started = loop.time()
            task = asyncio.create_task(deployment.call("/chat/x", Pieces="1,8", **TOKENS))
            await until(lambda: any(replica.refusals for replica in cave))
            await remove_stages(deployment)
            for replica in cave:
                deployment.store.put("keyed.servers", replica.name, None)
            status, _, headers = await task
            assert status == 503 and float(headers["Retry-After"]) > 0
            assert loop.time() - started < 1.5


class TestSlowCalls:
    """Guards against failing a stage for lack of a repeat while a call with its piece is open."""

    async def test_slow_call_counts_if_no_retry_is_left(self):
        async with Deployment() as deployment:
            for replica in deployment.replicas["cave"]:
                replica.delay_s = 0.9
            deployment.hosts[0].retry_budget("cave").set_bounds(0.0, 0.0, 10_000.0)
            assert (await deployment.call("/chat/x", Pieces="1,8", **TOKENS))[0] == 200

    async def test_slow_call_counts_if_its_repeat_fails_and_no_retry_is_left(self):
        async with Deployment() as deployment:
            host, cave = deployment.hosts[0], deployment.replicas["cave"]
            for replica in cave:
                replica.delay_s = 0.9
            # One retry, for the call that is overdue.
            host.retry_budget("cave").set_bounds(0.0, 3.0, 10_000.0)
            exchange, calls = host.pools.exchange, []

            async def fail_repeat(*args):
                calls.append(args)
                if len(calls) == 2:
                    raise TargetError("closed", sent=True)
                return await exchange(*args)

            host.pools.exchange = fail_repeat
            assert (await deployment.call("/chat/x", Pieces="1,1", **TOKENS))[0] == 200
            assert len(calls) > 1


class TestOverdueCalls:
    async def test_piece_of_an_overdue_call_without_space_is_queued_once(self):
        """Guards against a piece that runs twice in one call.

        It waited for its repeat when its first target answered that it had no space, which queued
        it once more.
        """
        async with Deployment(replicas=1) as deployment:
            (cave,) = deployment.replicas["cave"]
            cave.delay_s, cave.no_room = 0.7, True
            task = asyncio.create_task(
                deployment.call("/chat/x", Pieces="1,8", Deadline_Ms="6000", **TOKENS)
            )
            await until(lambda: cave.batch_sizes)
            await asyncio.sleep(0.6)
            cave.delay_s = 0.0
            await until(lambda: cave.batch_sizes[1:])
            cave.no_room = False
            assert (await task)[0] == 200
            assert set(cave.batch_sizes) == {1}


class TestUnreachableTargets:
    async def test_only_target_that_refuses_connections_is_not_called_in_a_loop(self):
        """Guards against a piece that is offered again at once, as it never reached its target.

        If no other target was left, one request opened thousands of connections until its deadline.
        """
        async with Deployment(replicas=1) as deployment:
            host, (cave,) = deployment.hosts[0], deployment.replicas["cave"]
            cave.address = deployment.ports.address()
            deployment.register("cave", cave)
            registry = host.follower.registry
            await until(lambda: registry.usable("cave")[0].address == cave.address)
            opened = host.connections.opened
            status, _, _ = await deployment.call("/chat/x", Pieces="1,8", **TOKENS)
            assert status == 503
            assert host.connections.opened - opened < 100


class TestResultSpace:
    async def test_targets_without_space_do_not_fail_a_request(self):
        """A new coordinator does not know the results that an earlier one had produced.

        Its pieces used to fail after four answers without space, although none of them had run.
        """
        async with Deployment() as deployment:
            cave = deployment.replicas["cave"]
            for replica in cave:
                replica.no_room = True
            task = asyncio.create_task(deployment.call("/chat/x", Pieces="1,8", **TOKENS))
            await until(lambda: sum(len(replica.batch_sizes) for replica in cave) > 4)
            for replica in cave:
                replica.no_room = False
            assert (await task)[0] == 200

    async def test_freeing_results_of_an_earlier_coordinator_keeps_the_free_space_correct(self):
        """A host freed results of an earlier coordinator on a target that it had not called yet.

        Results that it freed there later were not counted as free space, so after each change of
        coordinator a target with space for ten requests served only ten in four seconds.
        """
        async with Deployment() as deployment:
            pools = deployment.hosts[0].pools
            for replica in deployment.replicas["cave"]:
                pools.free("cave", [StageResult("old", replica.address, "z")])
            for _ in range(3):
                status, _, _ = await deployment.call("/chat/x", Pieces="1,8", **TOKENS)
                assert status == 200
            await until(lambda: not held(deployment.hosts[0]), 1.0)

    async def test_results_are_freed_through_the_coordinator_that_had_them_produced(self):
        """After a change of coordinator, results were freed through the new one.

        The old one then counted their space as used until they would have expired.
        """
        async with Deployment(hosts=2) as deployment:
            first = deployment.hosts[0]
            address = first.stages.coordinator_for("r", first.stages.now())[1]
            maker, other = sorted(
                deployment.hosts, key=lambda host: host.settings.peer_address != address
            )
            for replica in deployment.replicas["engine"]:
                replica.delay_s = 0.3
            number = deployment.hosts.index(other)
            task = asyncio.create_task(
                deployment.call("/chat/x", host=number, Pieces="1,8", **TOKENS)
            )
            await until(lambda: any(r.run_counts for r in deployment.replicas["engine"]))
            for host in deployment.hosts:
                host.stages.coordinator_for = lambda *_: (UNDIVIDED, other.settings.peer_address)
            assert (await task)[0] == 200
            await until(lambda: not held(maker), 1.0)


def held(host: ForwardHost) -> list[str]:
    """Returns the handles of the results that a host believes targets to keep."""
    pools = host.pools.pools.values()
    return [handle for pool in pools for state in pool.targets.values() for handle in state.held]
