"""Calls to stage targets that refuse, hang, break or lose their room."""

from __future__ import annotations

import asyncio

from savoryfork.forward.cells import UNDIVIDED
from savoryfork.forward.host import ForwardHost
from savoryfork.forward.messages import StageResult
from tests.forward.deployment import Deployment, until

TOKENS = {"Token_Usage": "100,2", "Prefix_Hash": "aa:60,bb:30,cc:10", "Model": "m"}


class TestFaults:
    async def test_a_target_that_is_full_costs_a_request_nothing(self):
        """Two coordinators for a moment after a change: pieces were failed after four refusals."""
        async with Deployment() as deployment:
            cave = deployment.replicas["cave"]
            for replica in cave:
                replica.refuse = True
            task = asyncio.create_task(deployment.call("/chat/x", Pieces="1,8", **TOKENS))
            await until(lambda: sum(replica.refusals for replica in cave) > 4)
            for replica in cave:
                replica.refuse = False
            assert (await task)[0] == 200

    async def test_a_call_that_hangs_is_repeated_elsewhere(self):
        async with Deployment() as deployment:
            first, second = deployment.replicas["cave"]
            first.delay_s = second.delay_s = 1.5
            task = asyncio.create_task(deployment.call("/chat/x", Pieces="1,8", **TOKENS))
            await until(lambda: bool(first.calls or second.calls))
            other = second if first.calls else first
            other.delay_s = 0.0
            status, _, _ = await asyncio.wait_for(task, 1.4)
            assert status == 200 and other.calls

    async def test_results_that_came_twice_are_given_up(self):
        async with Deployment() as deployment:
            first, second = deployment.replicas["cave"]
            first.delay_s = second.delay_s = 0.5
            task = asyncio.create_task(deployment.call("/chat/x", Pieces="1,8", **TOKENS))
            await until(lambda: bool(first.calls or second.calls))
            (second if first.calls else first).delay_s = 0.0
            assert (await task)[0] == 200
            await until(lambda: not first.held and not second.held)

    async def test_work_of_a_caller_that_left_is_dropped(self):
        async with Deployment() as deployment:
            for replica in deployment.replicas["cave"]:
                replica.delay_s = 0.3
            task = asyncio.create_task(deployment.call("/chat/x", Pieces="4,8", **TOKENS))
            pools = deployment.hosts[0].pools
            await until(lambda: any(pool.tasks for pool in pools.pools.values()))
            task.cancel()
            await until(lambda: not any(pool.tasks for pool in pools.pools.values()), 0.5)
            makers = deployment.replicas["cave"]
            await until(lambda: any(r.calls for r in makers) and not any(r.held for r in makers))
            assert not any(replica.calls for replica in deployment.replicas["carri"])


class TestRoom:
    async def test_results_of_an_earlier_coordinator_leave_the_count_of_room_right(self):
        """A host that had not called a target yet gave up results there for an earlier
        coordinator. What it gave up later was then not counted as free, so after each change of
        coordinator a target with room for ten requests served ten in four seconds."""
        async with Deployment() as deployment:
            pools = deployment.hosts[0].pools
            for replica in deployment.replicas["cave"]:
                pools.free("cave", [StageResult("old", replica.address, "z")])
            for _ in range(3):
                status, _, _ = await deployment.call("/chat/x", Pieces="1,8", **TOKENS)
                assert status == 200
            await until(lambda: not held(deployment.hosts[0]), 1.0)

    async def test_results_are_given_up_at_the_host_that_had_them_made(self):
        """After a change of coordinator, results were given up at the new one, and the old one
        counted their room as taken until they would have expired."""
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
            await until(lambda: any(r.ran for r in deployment.replicas["engine"]))
            for host in deployment.hosts:
                host.stages.coordinator_for = lambda *_: (UNDIVIDED, other.settings.peer_address)
            assert (await task)[0] == 200
            await until(lambda: not held(maker), 1.0)


def held(host: ForwardHost) -> list[str]:
    """The results that a host takes to be kept by targets."""
    pools = host.pools.pools.values()
    return [handle for pool in pools for state in pool.targets.values() for handle in state.held]
