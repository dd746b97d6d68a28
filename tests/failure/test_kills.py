"""Idempotent requests get complete answers within their deadline when targets are killed."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from standins.launch import run_concurrently
from tests.failure.harness import (
    Client,
    Load,
    Outcome,
    RequestMix,
    Site,
    attainment,
    balanced,
    chat,
    count_failures,
    lookup,
    median_s,
    running,
    wait_until_true,
)

pytestmark = pytest.mark.asyncio(loop_scope="class")

# The deadline of the example pipelines.
DEADLINE_S = 10.0

CHOICES = [chat(), chat(stream=True, tokens=40), lookup()]


@pytest_asyncio.fixture(loop_scope="class", scope="class")
async def shared() -> AsyncIterator[tuple[Site, Client]]:
    """One deployment for all tests of a class."""
    async with running() as site_and_client:
        yield site_and_client


def check_outcomes(outcomes: list[Outcome], killed_s: float) -> None:
    """Checks that all requests sent after the kill, and 99 % of all, got the expected answer."""
    before = [o for o in outcomes if o.ended_s < killed_s]
    after = [o for o in outcomes if o.started_s > killed_s]
    print(
        f"{len(before)} requests before, p50 {median_s(before):.3f} s; {len(after)} after, "
        f"p50 {median_s(after):.3f} s, longest {max(o.duration_s for o in after):.3f} s; "
        f"attainment {attainment(outcomes):.4f}"
    )
    assert not [o.mismatch for o in outcomes if o.mismatch]
    assert max(o.duration_s for o in outcomes) <= DEADLINE_S
    assert not count_failures(o for o in outcomes if o.started_s > killed_s)
    assert attainment(outcomes) >= 0.99, count_failures(outcomes)


async def kill_while_running(site: Site, names: list[str]) -> None:
    """Kills each target while it runs a call."""
    deployment = site.deployment
    for name in names:

        async def is_running(name: str = name) -> bool:
            return (await deployment.state(name))["running"] > 0

        await wait_until_true(is_running, 5.0)
        deployment.kill(name)


class TestKilledTargets:
    async def test_killed_in_mid_stream_and_mid_call(self, shared: tuple[Site, Client]) -> None:
        """Guards against requests that fail because a target is killed during a call: a stream that
        is not resumed on another replica, and calls that are still sent to the dead target."""
        site, client = shared
        victims = ["savoryfork-pool-0", "encoders-0", "press-queue-0"]
        requests = RequestMix(CHOICES, seed=13)
        async with balanced(client) as balancer, Load(balancer.send, requests, workers=12) as load:
            await load.wait_for_more(60)
            await kill_while_running(site, victims)
            killed_s = time.monotonic()
            await load.wait_for_more(120)
        check_outcomes(load.outcomes, killed_s)
        stages = [stage for o in load.outcomes if o.succeeded for stage in o.answer["stages"]]
        assert any(stage["attempts"] > 1 for stage in stages)
        await run_concurrently(site.deployment.restart(name) for name in victims)

    async def test_availability_zone_lost(self, shared: tuple[Site, Client]) -> None:
        """Guards against requests that fail because all targets of an availability zone are killed
        at once; half of the targets of each service remain in the other zones."""
        site, client = shared
        deployment = site.deployment
        zone = deployment.spec.availability_zones[1]
        victims = [
            child.name
            for child in deployment.children.values()
            if child.availability_zone == zone and child.service != "savoryfork"
        ]
        assert len(victims) == len(deployment.spec.services)
        requests = RequestMix(CHOICES, seed=14)
        async with balanced(client) as balancer, Load(balancer.send, requests, workers=12) as load:
            await load.wait_for_more(60)
            for name in victims:
                deployment.kill(name)
            killed_s = time.monotonic()
            await load.wait_for_more(150)
        check_outcomes(load.outcomes, killed_s)
