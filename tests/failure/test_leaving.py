"""A target that is leaving gets no new work after 3 s, and one that returns is used again."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio

from standins.launch import run_concurrently
from tests.failure.harness import (
    Client,
    Load,
    Mix,
    Site,
    balanced,
    chat,
    faults,
    lookup,
    running,
    until,
    until_true,
)

LEAVING_BOUND_S = 3.0

# The host list is polled once a second.
RETURN_BOUND_S = 4.0

# So many requests go without a call to a target before it counts as left alone; each of them
# would have reached one of the few targets with a chance of about a half.
QUIET = 60

pytestmark = pytest.mark.asyncio(loop_scope="class")

LAGGING = {"hosts_lag_ms": 60_000}
DOWN = {"down": True, "down_mode": "refuse"}
HANGING = {"down": True, "down_mode": "hang"}


@pytest_asyncio.fixture(loop_scope="class", scope="class")
async def shared() -> AsyncIterator[tuple[Site, Client]]:
    """One deployment for all tests of a class."""
    async with running() as site_and_client:
        yield site_and_client


async def work_of(site: Site, name: str) -> int:
    """How many calls have come to a target, those included that it refused while draining."""
    state = await site.deployment.state(name)
    return state["calls"] + state["refused_draining"]


async def last_work_s(site: Site, names: list[str], load: Load) -> float:
    """How long from now the targets still got work, as seen when `QUIET` requests in a row, on any
    host, have ended without a call to one of them."""
    started_s = time.monotonic()
    last_s, work, ended = started_s, [0], 0
    while len(load.outcomes) < ended + QUIET:
        now = [await work_of(site, name) for name in names]
        if now != work:
            last_s, work, ended = time.monotonic(), now, len(load.outcomes)
        assert last_s - started_s <= LEAVING_BOUND_S, "the targets still get work"
        await asyncio.sleep(0.02)
    return last_s - started_s


def noted_by(site: Site, host: str, target: str) -> str:
    """From which source a host learned that the target leaves; empty if it did not learn it."""
    mark = f"target={target} incarnation={site.deployment.incarnations[target]} source="
    _, found, rest = site.deployment.stderr(host).partition(mark)
    return rest.split()[0] if found else ""


class TestLeaving:
    @pytest.mark.parametrize("platform", [{}, LAGGING, DOWN, HANGING])
    async def test_no_new_work_after_the_bound(
        self, shared: tuple[Site, Client], platform: dict[str, Any]
    ) -> None:
        """Guards against hosts that go on sending to a draining target because the host list is
        late or not there, and against a failed request because of the drain."""
        site, client = shared
        deployment = site.deployment
        asks = Mix([chat(), lookup()], seed=7)
        await deployment.faults("platform", reset=True, **platform)
        leaving = ["encoders-1", "savoryfork-pool-1", "press-queue-1"]
        async with balanced(client) as balancer, Load(balancer.send, asks, workers=12) as load:
            await load.more(30)
            for name in leaving:
                await deployment.drain(name)
            assert await last_work_s(site, leaving, load) <= LEAVING_BOUND_S
        assert not faults(load.outcomes)
        await deployment.faults("platform", reset=True, down=False)
        await run_concurrently(deployment.restart(name) for name in leaving)
        await self.until_used(site, client, leaving)

    async def until_used(self, site: Site, client: Client, names: list[str]) -> None:
        """Waits until new incarnations at the same addresses get work again."""
        started_s = time.monotonic()
        asks = Mix([chat(), lookup()], seed=8)
        async with balanced(client) as balancer, Load(balancer.send, asks, workers=12) as load:
            for name in names:

                async def used(name: str = name) -> bool:
                    return (await site.deployment.state(name))["calls"] > 0

                left_s = started_s + RETURN_BOUND_S - time.monotonic()
                await until_true(used, left_s)
        assert not faults(load.outcomes)

    async def test_one_host_has_seen_the_answer(self, shared: tuple[Site, Client]) -> None:
        """Guards against hosts that learn of a draining target only by their own calls: with the
        platform down, the one host that sends passes the mark on at once."""
        site, client = shared
        deployment = site.deployment
        target = "retrievers-1"
        await deployment.faults("platform", **DOWN)
        asks = Mix([chat(tokens=4)], seed=9)
        sources: dict[str, str] = {}

        def all_know() -> bool:
            for host in deployment.host_names:
                sources[host] = noted_by(site, host, target)
            return all(sources.values())

        async with Load(lambda ask: client.send("host-0", ask), asks, workers=4) as load:
            await load.more(10)
            await deployment.drain(target, list_leaving=False)
            await until(all_know, LEAVING_BOUND_S)
        assert not faults(load.outcomes)
        assert sources["host-0"] in ("answer", "load_poll")
        assert "host-0" in sources.values(), sources
        await deployment.faults("platform", reset=True, down=False)
        await deployment.restart(target)
        await self.until_used(site, client, [target])
