"""A planned stop interrupts no request."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from standins.launch import Deployment
from tests.failure.harness import (
    Client,
    Load,
    Outcome,
    RequestMix,
    RunRequest,
    Site,
    balanced,
    chat,
    count_failures,
    lookup,
    reorder,
    running,
    runs_by_key,
    until,
)

# The balancer's delay and the duration of the longest run, with a margin for a busy machine.
STOP_TIMEOUT_S = 12.0

# Longer than the balancer's delay, so it is still running when the host is ready to close.
LONG_STREAM = RunRequest("grand-hotels", "menu-layout", "", {}, stream=True, max_tokens=160)

CHOICES = [*2 * [chat(), chat(stream=True), reorder(), lookup()], LONG_STREAM]


async def terminate_repeatedly(deployment: Deployment, name: str) -> int:
    """Sends SIGTERM repeatedly until the process has ended; returns its exit code."""
    exiting = asyncio.create_task(deployment.terminate(name, STOP_TIMEOUT_S))
    while not exiting.done():
        deployment.send(name, signal.SIGTERM)
        await asyncio.wait({exiting}, timeout=0.02)
    return await exiting


pytestmark = pytest.mark.asyncio(loop_scope="class")


@pytest_asyncio.fixture(loop_scope="class", scope="class")
async def shared() -> AsyncIterator[tuple[Site, Client]]:
    """One deployment for all tests of a class."""
    async with running() as site_and_client:
        yield site_and_client


class TestPlannedStop:
    async def test_rolling_restart_under_load(self, shared: tuple[Site, Client]) -> None:
        """Guards against a restart that interrupts a request, runs one twice, or does not exit with
        code 0 because further SIGTERMs arrive during the stop."""
        requests = RequestMix(CHOICES, seed=1)
        site, client = shared
        deployment = site.deployment
        async with balanced(client) as balancer, Load(balancer.send, requests, workers=12) as load:
            await load.wait_for_more(15)
            for name in deployment.host_names:
                assert await terminate_repeatedly(deployment, name) == 0
                await deployment.restart(name)
                await deployment.wait_ready(name)
                await load.wait_for_more(15)
        assert not count_failures(load.outcomes)
        sent = {o.request.key for o in load.outcomes if o.request.key}
        assert len(sent) > 10
        ran = await runs_by_key(deployment, "orders")
        assert set(ran.values()) == {1} and sent <= ran.keys()

    async def test_callers_that_do_not_poll_readiness(self, shared: tuple[Site, Client]) -> None:
        """Guards against a host that closes a kept-alive connection during a request: each caller
        sends requests until an answer announces that the connection will be closed."""
        requests = RequestMix(CHOICES, seed=2)
        site, client = shared
        deployment = site.deployment
        outcomes: list[Outcome] = []

        async def send_until_closing() -> None:
            while True:
                outcomes.append(await client.send("host-0", next(requests)))
                if outcomes[-1].closing or outcomes[-1].kind:
                    return

        callers = [asyncio.create_task(send_until_closing()) for _ in range(8)]
        await until(lambda: len(outcomes) >= 50, 20.0)
        assert await terminate_repeatedly(deployment, "host-0") == 0
        async with asyncio.timeout(1):
            await asyncio.gather(*callers)
        assert not count_failures(outcomes)
        sent = {o.request.key for o in outcomes if o.request.key}
        ran = await runs_by_key(deployment, "orders")
        assert set(ran.values()) == {1} and sent <= ran.keys()
