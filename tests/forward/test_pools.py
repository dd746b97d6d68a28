"""Calls to stage targets that refuse, hang, break or lose their room."""

from __future__ import annotations

import asyncio

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
