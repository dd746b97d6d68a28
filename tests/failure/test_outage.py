"""A slow or missing platform: idempotent work goes on, other work is refused as not run."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio

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
    keys_run,
    lookup,
    median_s,
    reorder,
    running,
    status_of,
    until,
    until_true,
)

OUTAGE_S = 15.0
REFUSAL_BOUND_S = 2.0
RESUME_BOUND_S = 5.0
READY_BOUND_S = 5.0

HANGING = {"down": True, "down_mode": "hang"}
REFUSING = {"down": True, "down_mode": "refuse"}
SLOW = {"latency_ms": 5_000}

pytestmark = pytest.mark.asyncio(loop_scope="class")


@pytest_asyncio.fixture(loop_scope="class", scope="class")
async def shared() -> AsyncIterator[tuple[Site, Client]]:
    """One deployment for all tests of a class."""
    async with running() as site_and_client:
        yield site_and_client


def between(outcomes: list[Outcome], first_s: float, last_s: float) -> list[Outcome]:
    """The outcomes of the requests that were sent in an interval."""
    return [o for o in outcomes if first_s <= o.started_s < last_s]


class TestOutage:
    @pytest.mark.parametrize("outage", [HANGING, REFUSING, SLOW], ids=["hang", "refuse", "slow"])
    async def test_work_during_an_outage(
        self, shared: tuple[Site, Client], outage: dict[str, Any]
    ) -> None:
        """Guards against an outage of the log that slows or fails idempotent work, that keeps
        callers of other work waiting or runs what it answered as not run, and against work that
        stays refused when the log is back."""
        site, client = shared
        deployment = site.deployment
        repeatable = Mix([chat(), chat(stream=True), lookup()], seed=10)
        once = Mix([reorder()], seed=11)
        async with (
            balanced(client) as balancer,
            Load(balancer.send, repeatable, workers=8) as plain,
            Load(balancer.send, once, workers=2) as keyed,
        ):
            await plain.more(100)
            await keyed.more(30)
            down_s = time.monotonic()
            await deployment.faults("platform", **outage)
            while time.monotonic() < down_s + OUTAGE_S:
                await plain.more(20)
            up_s = time.monotonic()
            await deployment.faults("platform", reset=True, down=False)
            await until(lambda: any(o.good and o.started_s > up_s for o in keyed.outcomes), 15)
            resumed_s = next(o.ended_s for o in keyed.outcomes if o.good and o.started_s > up_s)
            await plain.more(100)
            await keyed.more(30)
        ended_s = time.monotonic()
        before = between(plain.outcomes, 0, down_s)
        during = between(plain.outcomes, down_s, up_s)
        after = between(plain.outcomes, up_s, ended_s)
        print(
            f"{outage}: requests {len(before)} {len(during)} {len(after)}, attainment "
            f"{attainment(before):.4f} {attainment(during):.4f} {attainment(after):.4f}, "
            f"p50 {median_s(before):.3f} {median_s(during):.3f} {median_s(after):.3f} s"
        )
        assert attainment(during) >= 0.99, faults(during)
        assert attainment(before) >= 0.99 and attainment(after) >= 0.99
        assert median_s(during) <= 1.5 * median_s(before)

        refused = [o for o in keyed.outcomes if not o.good]
        print(
            f"refused {len(refused)}, longest {max(o.took_s for o in refused):.3f} s, "
            f"resumed after {resumed_s - up_s:.3f} s, "
            f"first refusal after {refused[0].started_s - down_s:.3f} s"
        )
        assert {(o.kind, o.ran) for o in refused} == {("log_unavailable", "no")}
        assert max(o.took_s for o in refused) <= REFUSAL_BOUND_S
        assert resumed_s - up_s <= RESUME_BOUND_S
        late = [o for o in refused if o.started_s > resumed_s + RESUME_BOUND_S]
        assert not late
        ran = await keys_run(deployment, "orders")
        assert not [o for o in refused if ran[str(o.ask.key)]]
        assert not [o for o in keyed.outcomes if o.good and ran[str(o.ask.key)] != 1]


class TestStartDuringOutage:
    async def test_a_host_starts_from_its_peers(self) -> None:
        """Guards against a replaced host that can't serve until the platform is back, or that says
        it is ready without a configuration; and against a planned stop that fails meanwhile."""
        asks = Mix([chat(), chat(stream=True), lookup()], seed=12)
        async with running() as (site, client), balanced(client) as balancer:
            deployment = site.deployment
            await deployment.faults("platform", **HANGING)
            async with Load(balancer.send, asks, workers=8) as load:
                await load.more(30)
                assert await deployment.terminate("host-2") == 0
                await deployment.restart("host-2", list_host=False)
                await deployment.wait_ready("host-2", timeout_s=READY_BOUND_S)
                await until(
                    lambda: any(o.host == "host-2" and o.good for o in load.outcomes[-20:]), 5.0
                )
            assert not faults(load.outcomes)
            for name in deployment.host_names:
                deployment.kill(name)
            await deployment.restart("host-2", list_host=False)
            started_s = time.monotonic()

            async def waited() -> bool:
                assert await status_of(deployment, "host-2") == 503
                return time.monotonic() > started_s + READY_BOUND_S

            await until_true(waited, 2 * READY_BOUND_S)
            await deployment.faults("platform", reset=True, down=False)
            await deployment.wait_ready("host-2", timeout_s=READY_BOUND_S)
