"""Orders to engines while hosts are frozen or the log is down."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import pytest
import uuid6

from savoryfork import defaults
from standins.deployments import DeploymentSpec, ServiceSpec
from standins.launch import Deployment
from tests.failure.harness import (
    Client,
    Load,
    RequestMix,
    Site,
    chat,
    client_session,
    count_failures,
    operator_status,
    until,
    wait_for_peers,
    wait_until_true,
)

POOL, ENGINES = "pool", 3
SERVICE = f"service/{POOL}.json"

# A configuration is in effect within 8 s. Loading an engine takes up to four ticks: the order, its
# completion, and one each for a host and an engine delayed on a busy machine.
IN_EFFECT_S = 8.0
LOAD_S = 4 * defaults.ORDER_TICK_MS / 1000

# Time for another host to take over: the lease, its margins, the standby delay and a few ticks.
TAKEOVER_S = (
    defaults.LEASE_TTL_MS + 2 * defaults.LEASE_MARGIN_MS + defaults.ORDER_STANDBY_MS
) / 1000 + 4


class Rollout:
    """A deployment of one engine service whose declared version the tests change."""

    def __init__(self, deployment: Deployment, client: Client, checks_orders: bool) -> None:
        self.deployment = deployment
        self.client = client
        self.checks_orders = checks_orders
        self.base: dict[str, int] = {}

    async def publish(self, version: str, host: str) -> None:
        """Publishes a version through one host; others may be frozen."""
        document = {"kind": "service", "type": "engine", "model": "menu-1", "version": version}
        document["checks_orders"] = self.checks_orders
        body = {"id": str(uuid6.uuid7()), "base": self.base, "files": {SERVICE: document}}
        async with self.deployment.session.post(
            f"{self.deployment.operator_url(host)}/operator/publications",
            json=body,
            headers=self.deployment.operator_headers,
            timeout=aiohttp.ClientTimeout(total=15),
        ) as response:
            answer = await response.json()
            assert response.status == 200, answer
        self.base = {SERVICE: answer["offset"]}

    async def states(self) -> list[Any]:
        """Returns the states of all engines."""
        names = self.deployment.targets(POOL)
        return await asyncio.gather(*(self.deployment.state(name) for name in names))

    async def orders(self) -> list[Any]:
        """Returns all orders that arrived at any engine by time; `accepted` is False if refused."""
        orders = [order for state in await self.states() for order in state["orders"]]
        return sorted(orders, key=lambda order: order["time_ms"])

    async def wait_until_loaded(self, version: str, timeout_s: float) -> None:
        """Waits until every engine has loaded a version and has no pending order."""

        async def loaded() -> bool:
            states = await self.states()
            return all(s["models"]["menu-1"] == version and not s["pending"] for s in states)

        await wait_until_true(loaded, timeout_s)

    async def leases(self, kind: str) -> list[Any]:
        """Returns the values of the lease records of one type."""
        records = await self.deployment.records(defaults.LEASE_TOPIC)
        return [r["value"] for r in records if r["value"]["type"] == kind]

    async def holder(self) -> str:
        """Returns the name of the host that appended the last acquire record."""
        incarnation = (await self.leases("acquire"))[-1]["holder"]
        hosts = self.deployment.incarnations
        return next(name for name, known in hosts.items() if known == incarnation)


@asynccontextmanager
async def rollout(
    checks_orders: bool, *engine: str, weights: str = "240"
) -> AsyncIterator[Rollout]:
    """Starts three hosts and three engines that serve one pipeline, with version 1 declared."""
    service = ServiceSpec(POOL, "engine", ENGINES, model="menu-1", checks_orders=checks_orders)
    spec = DeploymentSpec("nasr", ("cai-a", "cai-b", "cai-c"), 3, (service,))
    digest = hashlib.sha256(b"nasr-grand-hotels-caller-key").hexdigest()
    stage = {"type": "generate", "name": "draft", "service": POOL, "max_tokens": 16}
    files = {
        SERVICE: {"kind": "service", "type": "engine", "model": "menu-1"},
        "pipeline/owner-chat.json": {"kind": "pipeline", "deadline_ms": 8_000, "stages": [stage]},
        "workspace/grand-hotels.json": {
            "kind": "workspace",
            "key_digests": [digest],
            "pipelines": ["owner-chat"],
        },
    }
    flags = {POOL: engine, "platform": [f"--weights_per_minute={weights}"]}
    async with Deployment(spec, flags=flags) as deployment, client_session() as session:
        await deployment.wait_ready()
        await wait_for_peers(deployment)
        site = Site(deployment, files)
        await site.publish("host-0")
        rollout_site = Rollout(deployment, Client(site, session), checks_orders)
        rollout_site.base = {SERVICE: 0}
        yield rollout_site


class TestRollout:
    async def test_new_version_reaches_every_engine_within_the_weight_stores_rate(self) -> None:
        """Guards against a version that is never loaded, engines that all load at once, and orders
        that ignore the Retry-After of the weight store."""
        # The store allows one download every 6 s, with a burst of one.
        async with rollout(False, weights="10") as site:
            loading: list[int] = []
            started = asyncio.get_running_loop().time()
            await site.publish("2", "host-0")

            async def loaded() -> bool:
                states = await site.states()
                loading.append(sum(s["pending"] > 0 for s in states))
                return all(s["models"]["menu-1"] == "2" for s in states)

            await wait_until_true(loaded, IN_EFFECT_S + ENGINES * (6 + LOAD_S))
            elapsed = asyncio.get_running_loop().time() - started
            assert max(loading) == 1
            requests = (await site.deployment.state("platform"))["requests"]
            # Each load is refused at most once before the store allows the next download.
            assert ENGINES <= requests["GET /weights/{model}"] <= 2 * ENGINES, elapsed
            assert [order["kind"] for order in await site.orders()] == ["load_model"] * ENGINES

            async def released() -> bool:
                return bool(await site.leases("release"))

            await wait_until_true(released, LOAD_S)
            assert len(await site.leases("acquire")) == 1


class TestFrozenHolder:
    @pytest.mark.parametrize("checks_orders", [True, False])
    async def test_holder_that_resumes_after_its_lease(self, checks_orders: bool) -> None:
        """Guards against a host that is frozen past its lease, resumes and reverts engines to the
        version that was declared before."""
        async with rollout(checks_orders, "--load_ms=1500") as site:
            deployment = site.deployment
            await site.publish("2", "host-0")
            await wait_until_true(site.orders, IN_EFFECT_S)
            frozen = await site.holder()
            deployment.stop(frozen)
            other = next(name for name in deployment.host_names if name != frozen)
            await site.publish("3", other)
            old_fencing = (await site.orders())[0]["fencing"]

            async def taken_over() -> bool:
                return any(order["fencing"] > old_fencing for order in await site.orders())

            await wait_until_true(taken_over, TAKEOVER_S)
            # A holder that still relied on its old lease would now revert these engines.
            await site.wait_until_loaded("3", ENGINES * (LOAD_S + 1.5))
            deployment.cont(frozen)

            async def up_to_date() -> bool:
                at = (await operator_status(deployment, frozen))["config"]["offset"]
                return bool(at == site.base[SERVICE])

            await wait_until_true(up_to_date, IN_EFFECT_S)

            async def released() -> bool:
                incarnation = deployment.incarnations[frozen]
                return any(r["holder"] != incarnation for r in await site.leases("release"))

            await wait_until_true(released, LOAD_S)
            await site.wait_until_loaded("3", LOAD_S)
            orders = await site.orders()
            fencing = [order["fencing"] for order in orders if order["accepted"]]
            assert fencing == sorted(fencing) and len(set(fencing)) == 2, orders
            if checks_orders:
                stale_order = {
                    "kind": "load_model",
                    "model": "menu-1",
                    "version": "2",
                    "fencing": old_fencing,
                }
                for name in deployment.targets(POOL):
                    with pytest.raises(aiohttp.ClientResponseError, match="409"):
                        await deployment.call("POST", deployment.url(name) + "/orders", stale_order)


class TestLogOutage:
    async def test_no_order_without_the_log_and_serving_goes_on(self) -> None:
        """Guards against a holder that keeps sending orders while the log is down, when it cannot
        detect that it was replaced, and against serving that depends on the lease."""
        # Engines without a weight store keep loading in the outage, so the next order would be due
        # immediately.
        async with rollout(False, "--platform_url=", "--load_ms=400") as site:
            deployment = site.deployment
            await site.publish("2", "host-0")
            await wait_until_true(site.orders, IN_EFFECT_S)
            holder = await site.holder()
            await deployment.faults("platform", down=True)
            before = await site.orders()
            assert len(before) < ENGINES

            def lease_lost_logged() -> bool:
                return "event=lease_lost" in deployment.stderr(holder)

            send = site.client.send
            host = next(name for name in deployment.host_names if name != holder)
            requests = RequestMix([chat(), chat(stream=True)], seed=3)
            async with Load(lambda request: send(host, request), requests, workers=2) as load:
                await until(lease_lost_logged, TAKEOVER_S)
                await load.wait_for_more(10)
                during = await site.orders()
                await deployment.faults("platform", down=False)
                await site.wait_until_loaded("2", TAKEOVER_S + ENGINES * LOAD_S)
            assert not count_failures(load.outcomes)
            # One order may have been in flight when the log went down.
            assert len(during) <= len(before) + 1 and len(during) < ENGINES, (before, during)
