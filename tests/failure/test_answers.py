"""Each caller gets the whole answer to its own request, whatever the targets send."""

from __future__ import annotations

from collections.abc import AsyncIterator
from functools import partial

import pytest
import pytest_asyncio

from tests.failure.harness import (
    Ask,
    Client,
    Load,
    Mix,
    Site,
    attainment,
    attempts,
    balanced,
    chat,
    faults,
    keys_run,
    lookup,
    reorder,
    running,
    until_true,
)

WORKSPACES = ("grand-hotels", "corniche-cafes", "koshary-chain", "sales-desk")
ENGINES = "savoryfork-pool"

# Everything that a run may end with if its targets fail more often than the budgets allow.
REFUSALS = {"stage_failed", "answer_incomplete", "deadline_exceeded", "overloaded"}

# A straggler is hedged after some multiple of its expected time; the hedge budget grows by one for
# every 20 calls.
LOST_HEDGE_S = 20.0

pytestmark = pytest.mark.asyncio(loop_scope="class")


@pytest_asyncio.fixture(loop_scope="class", scope="class")
async def shared() -> AsyncIterator[tuple[Site, Client]]:
    """One deployment for all tests of a class."""
    async with running() as site_and_client:
        yield site_and_client


async def set_faults(site: Site, services: tuple[str, ...], **fields: float) -> None:
    """Sets faults of all targets of some services, each with a seed of its own."""
    deployment = site.deployment
    for service in services:
        for index, name in enumerate(deployment.targets(service)):
            await deployment.faults(name, reset=True, seed=index, **fields)


async def lost_hedge(site: Site, before: float) -> bool:
    """Whether an attempt has been cancelled since, because its hedge was answered first."""
    return await attempts(site.deployment, "cancelled") > before


async def clear_faults(site: Site) -> None:
    """Clears the faults of all targets."""
    await set_faults(site, tuple(service.name for service in site.deployment.spec.services))


class TestAnswers:
    async def test_crossed_late_and_duplicated_answers(self, shared: tuple[Site, Client]) -> None:
        """Guards against another request's content in an answer: targets answer with another
        call's id and content, send tokens twice, and one of them answers only after the hedge
        has been answered. Callers of four workspaces compare every answer."""
        site, client = shared
        kinds = [chat(w) for w in WORKSPACES] + [chat(w, stream=True) for w in WORKSPACES]
        asks = Mix([*kinds, lookup("grand-hotels"), lookup("sales-desk")], seed=3)
        services = (ENGINES, "encoders", "retrievers", "press-queue", "invoicing")
        await set_faults(site, services, crossed=0.03, duplicate=0.5)
        await site.deployment.faults(f"{ENGINES}-0", slow_factor=6.0)
        async with balanced(client) as balancer, Load(balancer.send, asks, workers=24) as load:
            for _ in range(3):
                await load.more(50)
                before = await attempts(site.deployment, "cancelled")
                await site.deployment.faults("encoders-0", freeze=True)
                await load.more(25)
                # The other workers finish 25 requests in 0.3 s, on a busy machine before the
                # frozen target counts as a straggler.
                await until_true(partial(lost_hedge, site, before), LOST_HEDGE_S)
                await site.deployment.faults("encoders-0", freeze=False)
        await clear_faults(site)
        assert not [o.wrong for o in load.outcomes if o.wrong]
        assert {o.kind for o in load.outcomes} - {""} <= REFUSALS
        assert attainment(load.outcomes) >= 0.95, faults(load.outcomes)
        assert await attempts(site.deployment, "mismatched") >= 10
        # Hedges that lost, one in each freeze: their answers came late and went nowhere.
        assert await attempts(site.deployment, "cancelled") >= 3

    async def test_crossed_answers_to_actions(self, shared: tuple[Site, Client]) -> None:
        """Guards against an action that is repeated, or answered with another action's result,
        because its own answer was crossed."""
        site, client = shared
        asks = Mix([reorder(w) for w in WORKSPACES[:3]], seed=4)
        await set_faults(site, ("orders",), crossed=0.1)
        async with balanced(client) as balancer, Load(balancer.send, asks, workers=8) as load:
            await load.more(150)
        await clear_faults(site)
        assert not [o.wrong for o in load.outcomes if o.wrong]
        ran = await keys_run(site.deployment, "orders")
        kinds = {o.kind for o in load.outcomes}
        assert kinds == {"", "outcome_unknown"}
        for outcome in load.outcomes:
            assert ran[str(outcome.ask.key)] == 1, outcome
            assert not outcome.kind or outcome.ran == "unknown"

    async def test_cut_streams_resume_on_another_replica(self, shared: tuple[Site, Client]) -> None:
        """Guards against tokens that are lost or repeated where a stream is cut and resumed."""
        site, client = shared
        ask = Ask("grand-hotels", "owner-chat", "", {}, stream=True, max_tokens=40)
        asks = Mix([ask, ask._replace(stream=False)], seed=5)
        await site.deployment.faults(f"{ENGINES}-0", cut_after_tokens=7)
        async with balanced(client) as balancer, Load(balancer.send, asks, workers=6) as load:
            await load.more(60)
        await clear_faults(site)
        assert not [o.wrong for o in load.outcomes if o.wrong]
        assert attainment(load.outcomes) >= 0.99, faults(load.outcomes)
        stages = [stage for o in load.outcomes if o.good for stage in o.answer["stages"]]
        assert any(stage["attempts"] > 1 for stage in stages)

    async def test_every_replica_cuts(self, shared: tuple[Site, Client]) -> None:
        """Guards against a cut stream that passes for a whole answer when no replica ends one."""
        site, client = shared
        ask = Ask("grand-hotels", "owner-chat", "", {}, stream=True, max_tokens=90)
        asks = Mix([ask, ask._replace(stream=False)], seed=6)
        await set_faults(site, (ENGINES,), cut_after_tokens=1)
        async with balanced(client) as balancer, Load(balancer.send, asks, workers=6) as load:
            await load.more(60)
        await clear_faults(site)
        assert {o.kind for o in load.outcomes} <= {"answer_incomplete", "stage_failed"}
        for outcome in load.outcomes:
            whole = site.expected(outcome.ask).text
            assert whole and whole.startswith("".join(outcome.tokens))
            assert outcome.ran == "unknown"
