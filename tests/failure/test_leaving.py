"""A draining target gets no new calls after 3 s, and a restarted one is used again."""

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
    RequestMix,
    Site,
    balanced,
    chat,
    count_failures,
    lookup,
    running,
    until,
    wait_until_true,
)

LEAVING_BOUND_S = 3.0

# The host list is polled once a second.
RETURN_BOUND_S = 4.0

# Requests in a row without a call to a target before it counts as unused; each of them would
# otherwise reach it with a probability of about one half.
QUIET_REQUESTS = 60

pytestmark = pytest.mark.asyncio(loop_scope="class")

LAGGING = {"hosts_lag_ms": 60_000}
DOWN = {"down": True, "down_mode": "refuse"}
HANGING = {"down": True, "down_mode": "hang"}


@pytest_asyncio.fixture(loop_scope="class", scope="class")
async def shared() -> AsyncIterator[tuple[Site, Client]]:
    """One deployment for all tests of a class."""
    async with running() as site_and_client:
        yield site_and_client


async def call_count(site: Site, name: str) -> int:
    """Returns the number of calls to a target, including those refused while draining."""
    state = await site.deployment.state(name)
    return state["calls"] + state["refused_draining"]


async def last_call_s(site: Site, names: list[str], load: Load) -> float:
    """Returns the seconds from now to the last call to one of the targets, once `QUIET_REQUESTS`
    requests in a row on any host have ended without one."""
    started_s = time.monotonic()
    last_s, counts, ended = started_s, [0], 0
    while len(load.outcomes) < ended + QUIET_REQUESTS:
        now = [await call_count(site, name) for name in names]
        if now != counts:
            last_s, counts, ended = time.monotonic(), now, len(load.outcomes)
        assert last_s - started_s <= LEAVING_BOUND_S, "draining targets still get calls"
        await asyncio.sleep(0.02)
    return last_s - started_s


async def unused_message(site: Site, name: str) -> str:
    """Describes what the platform and the hosts know of a target without calls."""
    deployment = site.deployment
    async with deployment.session.get(f"{deployment.platform_url}/hosts") as response:
        rows = [row for row in (await response.json())["hosts"] if row["name"] == name]
    lines = {
        host: [line for line in deployment.stderr(host).splitlines() if f"target={name} " in line]
        for host in deployment.host_names
    }
    lines = {host: found[-3:] for host, found in lines.items()}
    return (
        f"{name} got no call within {RETURN_BOUND_S} s; its incarnation is "
        f"{deployment.incarnations[name]}, the host list has {rows}, the hosts logged {lines}"
    )


def leaving_source(site: Site, host: str, target: str) -> str:
    """Returns the source from which a host learned that a target is leaving, empty if none."""
    prefix = f"target={target} incarnation={site.deployment.incarnations[target]} source="
    _, found, rest = site.deployment.stderr(host).partition(prefix)
    return rest.split()[0] if found else ""


class TestLeaving:
    @pytest.mark.parametrize("platform", [{}, LAGGING, DOWN, HANGING])
    async def test_no_new_work_after_the_bound(
        self, shared: tuple[Site, Client], platform: dict[str, Any]
    ) -> None:
        """Guards against hosts that keep sending to a draining target because the host list is
        stale or unavailable, and against requests that fail because of the drain."""
        site, client = shared
        deployment = site.deployment
        requests = RequestMix([chat(), lookup()], seed=7)
        await deployment.faults("platform", reset=True, **platform)
        leaving = ["encoders-1", "savoryfork-pool-1", "press-queue-1"]
        async with balanced(client) as balancer, Load(balancer.send, requests, workers=12) as load:
            await load.wait_for_more(30)
            for name in leaving:
                await deployment.drain(name)
            assert await last_call_s(site, leaving, load) <= LEAVING_BOUND_S
        assert not count_failures(load.outcomes)
        await deployment.faults("platform", reset=True, down=False)
        await run_concurrently(deployment.restart(name) for name in leaving)
        await self.wait_until_used(site, client, leaving)

    async def wait_until_used(self, site: Site, client: Client, names: list[str]) -> None:
        """Waits until new incarnations at the same addresses get calls again."""
        started_s = time.monotonic()
        requests = RequestMix([chat(), lookup()], seed=8)
        async with balanced(client) as balancer, Load(balancer.send, requests, workers=12) as load:
            for name in names:

                async def used(name: str = name) -> bool:
                    return (await site.deployment.state(name))["calls"] > 0

                remaining_s = started_s + RETURN_BOUND_S - time.monotonic()
                try:
                    await wait_until_true(used, remaining_s)
                except TimeoutError:
                    pytest.fail(await unused_message(site, name))
        assert not count_failures(load.outcomes)

    async def test_draining_propagates_from_one_host(self, shared: tuple[Site, Client]) -> None:
        """Guards against hosts that learn of a draining target only by their own calls: the
        platform is down and only one host sends calls, which must inform its peers within 3 s."""
        site, client = shared
        deployment = site.deployment
        target = "retrievers-1"
        await deployment.faults("platform", **DOWN)
        requests = RequestMix([chat(tokens=4)], seed=9)
        sources: dict[str, str] = {}

        def known_everywhere() -> bool:
            for host in deployment.host_names:
                sources[host] = leaving_source(site, host, target)
            return all(sources.values())

        async with Load(
            lambda request: client.send("host-0", request), requests, workers=4
        ) as load:
            await load.wait_for_more(10)
            await deployment.drain(target, list_leaving=False)
            await until(known_everywhere, LEAVING_BOUND_S)
        assert not count_failures(load.outcomes)
        assert sources["host-0"] in ("answer", "load_poll")
        assert "host-0" in sources.values(), sources
        await deployment.faults("platform", reset=True, down=False)
        await deployment.restart(target)
        await self.wait_until_used(site, client, [target])
