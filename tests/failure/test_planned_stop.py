"""A planned stop cuts off no request."""

from __future__ import annotations

import asyncio
import signal

from standins.launch import Deployment
from tests.failure.harness import (
    Ask,
    Load,
    Mix,
    Outcome,
    balanced,
    chat,
    faults,
    keys_run,
    lookup,
    reorder,
    running,
    until,
)

# The balancer's delay and the time of the longest run, with room for a busy machine.
STOP_TIMEOUT_S = 12.0

# Longer than the balancer's delay: still running when the host would like to close.
LONG_STREAM = Ask("grand-hotels", "menu-layout", "", {}, stream=True, max_tokens=160)

CHOICES = [*2 * [chat(), chat(stream=True), reorder(), lookup()], LONG_STREAM]


async def stop_insistently(deployment: Deployment, name: str) -> int:
    """Sends SIGTERM again and again until the process has ended; returns its exit code."""
    exiting = asyncio.create_task(deployment.terminate(name, STOP_TIMEOUT_S))
    while not exiting.done():
        deployment.send(name, signal.SIGTERM)
        await asyncio.wait({exiting}, timeout=0.02)
    return await exiting


class TestPlannedStop:
    async def test_rolling_restart_under_load(self) -> None:
        """Guards against a restart that cuts off a request, runs one twice, or fails to end with
        exit code 0 because it was asked to stop again, also while it is ending."""
        asks = Mix(CHOICES, seed=1)
        async with running() as (site, client), balanced(client) as balancer:
            deployment = site.deployment
            async with Load(balancer.send, asks, workers=12) as load:
                await load.more(40)
                for name in deployment.host_names:
                    assert await stop_insistently(deployment, name) == 0
                    await deployment.restart(name)
                    await deployment.wait_ready(name)
                    await load.more(40)
            assert not faults(load.outcomes)
            sent = {o.ask.key for o in load.outcomes if o.ask.key}
            assert len(sent) > 20
            assert await keys_run(deployment, "orders") == dict.fromkeys(sent, 1)

    async def test_callers_that_do_not_poll_readiness(self) -> None:
        """Guards against a host that closes a kept-alive connection under a request: each caller
        sends one request after another until it is told that the connection will be closed."""
        asks = Mix(CHOICES, seed=2)
        async with running() as (site, client):
            deployment = site.deployment
            outcomes: list[Outcome] = []

            async def call_until_told() -> None:
                while True:
                    outcomes.append(await client.send("host-0", next(asks)))
                    if outcomes[-1].closing or outcomes[-1].kind:
                        return

            callers = [asyncio.create_task(call_until_told()) for _ in range(8)]
            await until(lambda: len(outcomes) >= 50, 20.0)
            assert await stop_insistently(deployment, "host-0") == 0
            async with asyncio.timeout(1):
                await asyncio.gather(*callers)
            assert not faults(outcomes)
            sent = {o.ask.key for o in outcomes if o.ask.key}
            assert await keys_run(deployment, "orders") == dict.fromkeys(sent, 1)
