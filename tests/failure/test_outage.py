"""With the platform slow or down, idempotent runs succeed and others are refused as not run."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

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
    readyz_status,
    reorder,
    running,
    runs_by_key,
    until,
    wait_until_true,
)

OUTAGE_S = 15.0
REFUSAL_BOUND_S = 2.0
RESUME_BOUND_S = 5.0
READY_BOUND_S = 3.0

HANGING = {"down": True, "down_mode": "hang"}
REFUSING = {"down": True, "down_mode": "refuse"}
SLOW = {"latency_ms": 5_000}


def between(outcomes: list[Outcome], first_s: float, last_s: float) -> list[Outcome]:
    """Returns the outcomes of the requests sent in an interval."""
    return [o for o in outcomes if first_s <= o.started_s < last_s]


pytestmark = pytest.mark.asyncio(loop_scope="class")


@pytest_asyncio.fixture(loop_scope="class", scope="class")
async def shared() -> AsyncIterator[tuple[Site, Client]]:
    """One deployment for all tests of a class."""
    async with running() as site_and_client:
        yield site_and_client


class TestOutage:
    async def test_work_during_an_outage(self, shared: tuple[Site, Client]) -> None:
        """Guards against a log outage that slows or fails idempotent runs, delays the refusal of
        other runs or runs them after an answer "not run", and against refusals that continue after
        the outage. The platform first hangs, then refuses connections, then is slow."""
        idempotent_requests = RequestMix([chat(), chat(stream=True), lookup()], seed=10)
        keyed_requests = RequestMix([reorder()], seed=11)
        site, client = shared
        deployment = site.deployment
        async with (
            balanced(client) as balancer,
            Load(balancer.send, idempotent_requests, workers=8) as plain,
            Load(balancer.send, keyed_requests, workers=2) as keyed,
        ):
            await plain.wait_for_more(60)
            await keyed.wait_for_more(30)
            down_s = time.monotonic()
            for number, outage in enumerate((HANGING, REFUSING, SLOW), 1):
                await deployment.faults("platform", **{"reset": True, "down": False, **outage})
                while time.monotonic() < down_s + OUTAGE_S * number / 3:
                    await plain.wait_for_more(5)
            up_s = time.monotonic()
            await deployment.faults("platform", reset=True)
            await until(lambda: any(o.succeeded and o.started_s > up_s for o in keyed.outcomes), 15)
            await plain.wait_for_more(60)
            await keyed.wait_for_more(30)
            await keyed.finish()
            ran = await runs_by_key(deployment, "orders")
        refused = [o for o in keyed.outcomes if not o.succeeded]
        resumed_s = min(o.ended_s for o in keyed.outcomes if o.succeeded and o.started_s > up_s)
        before = between(plain.outcomes, 0, down_s)
        during = between(plain.outcomes, down_s, up_s)
        after = between(plain.outcomes, up_s, time.monotonic())
        for name, outcomes in (("before", before), ("during", during), ("after", after)):
            print(
                f"{name}: {len(outcomes)} requests, attainment {attainment(outcomes):.4f}, "
                f"p50 {median_s(outcomes):.3f} s"
            )
            assert attainment(outcomes) >= 0.99, count_failures(outcomes)
        assert median_s(during) <= 1.5 * median_s(before)
        print(
            f"refused {len(refused)}, longest {max(o.duration_s for o in refused):.3f} s, "
            f"resumed after {resumed_s - up_s:.3f} s, "
            f"longest answer {max(o.duration_s for o in keyed.outcomes if o.succeeded):.3f} s"
        )
        assert {(o.kind, o.ran) for o in refused} == {("log_unavailable", "no")}
        assert max(o.duration_s for o in keyed.outcomes) <= REFUSAL_BOUND_S
        assert resumed_s - up_s <= RESUME_BOUND_S
        assert max(o.started_s for o in refused) - up_s <= RESUME_BOUND_S
        assert not [o for o in refused if ran[str(o.request.key)]]
        assert not [o for o in keyed.outcomes if o.succeeded and ran[str(o.request.key)] != 1]

    async def test_a_host_starts_from_its_peers(self, shared: tuple[Site, Client]) -> None:
        """Guards against a host that, replaced while the platform is down, does not serve until it
        is back or reports ready without a configuration, and against a planned stop that fails in
        the outage."""
        requests = RequestMix([chat(), chat(stream=True), lookup()], seed=12)
        site, client = shared
        deployment = site.deployment
        await deployment.faults("platform", **REFUSING)
        async with balanced(client) as balancer, Load(balancer.send, requests, workers=8) as load:
            await load.wait_for_more(30)
            assert await deployment.terminate("host-2") == 0
            await deployment.restart("host-2", list_host=False)
            await deployment.wait_ready("host-2", timeout_s=READY_BOUND_S)
            await until(
                lambda: any(o.host == "host-2" and o.succeeded for o in load.outcomes[-20:]), 5.0
            )
        assert not count_failures(load.outcomes)
        for name in deployment.host_names:
            deployment.kill(name)
        await deployment.restart("host-2", list_host=False)
        started_s = time.monotonic()

        async def bound_passed() -> bool:
            assert await readyz_status(deployment, "host-2") == 503
            return time.monotonic() > started_s + READY_BOUND_S

        await wait_until_true(bound_passed, 3 * READY_BOUND_S)
        await deployment.faults("platform", reset=True, down=False)
        await deployment.wait_ready("host-2", timeout_s=READY_BOUND_S)
