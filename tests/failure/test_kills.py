"""Killed targets: idempotent work is answered in full within its deadline."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from standins.launch import run_concurrently
from tests.failure.harness import (
    Client,
    Load,
    Mix,
    Outcome,
    Site,
    attainment,
    balanced,
    chat,
    faults,
    lookup,
    median_s,
    running,
    until_true,
)

pytestmark = pytest.mark.asyncio(loop_scope="class")

# The deadline of the pipelines of the example.
DEADLINE_S = 10.0

CHOICES = [chat(), chat(stream=True, tokens=40), lookup()]


@pytest_asyncio.fixture(loop_scope="class", scope="class")
async def shared() -> AsyncIterator[tuple[Site, Client]]:
    """One deployment for all tests of a class."""
    async with running() as site_and_client:
        yield site_and_client


def check(outcomes: list[Outcome], killed_s: float) -> None:
    """Whole answers only: to all requests sent after the kill, and to 99 in 100 altogether."""
    before = [o for o in outcomes if o.ended_s < killed_s]
    after = [o for o in outcomes if o.started_s > killed_s]
    print(
        f"{len(before)} requests before, p50 {median_s(before):.3f} s; {len(after)} after, "
        f"p50 {median_s(after):.3f} s, longest {max(o.took_s for o in after):.3f} s; "
        f"attainment {attainment(outcomes):.4f}"
    )
    assert not [o.wrong for o in outcomes if o.wrong]
    assert max(o.took_s for o in outcomes) <= DEADLINE_S
    assert not faults(o for o in outcomes if o.started_s > killed_s)
    assert attainment(outcomes) >= 0.99, faults(outcomes)


async def kill_at_work(site: Site, names: list[str]) -> None:
    """Kills each target at a moment when it works on a call."""
    deployment = site.deployment
    for name in names:

        async def works(name: str = name) -> bool:
            return (await deployment.state(name))["running"] > 0

        await until_true(works, 5.0)
        deployment.kill(name)


class TestKilledTargets:
    async def test_killed_in_mid_stream_and_mid_call(self, shared: tuple[Site, Client]) -> None:
        """Guards against a killed target that costs more than a retry: a stream that is not resumed
        on another replica, and calls that go on to a dead target."""
        site, client = shared
        victims = ["savoryfork-pool-0", "encoders-0", "press-queue-0"]
        asks = Mix(CHOICES, seed=13)
        async with balanced(client) as balancer, Load(balancer.send, asks, workers=12) as load:
            await load.more(60)
            await kill_at_work(site, victims)
            killed_s = time.monotonic()
            await load.more(120)
        check(load.outcomes, killed_s)
        stages = [stage for o in load.outcomes if o.good for stage in o.answer["stages"]]
        assert any(stage["attempts"] > 1 for stage in stages)
        await run_concurrently(site.deployment.restart(name) for name in victims)

    async def test_availability_zone_lost(self, shared: tuple[Site, Client]) -> None:
        """Guards against the loss of all targets of an availability zone at once: the other zones
        have half of the targets of each service and take the load."""
        site, client = shared
        deployment = site.deployment
        zone = deployment.spec.availability_zones[1]
        victims = [
            child.name
            for child in deployment.children.values()
            if child.availability_zone == zone and child.service != "savoryfork"
        ]
        assert len(victims) == len(deployment.spec.services)
        asks = Mix(CHOICES, seed=14)
        async with balanced(client) as balancer, Load(balancer.send, asks, workers=12) as load:
            await load.more(60)
            for name in victims:
                deployment.kill(name)
            killed_s = time.monotonic()
            await load.more(150)
        check(load.outcomes, killed_s)
