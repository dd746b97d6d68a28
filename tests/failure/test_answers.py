"""Every caller gets the complete answer to its own request, whatever the targets send."""

from __future__ import annotations

from collections.abc import AsyncIterator
from functools import partial

import pytest
import pytest_asyncio

from tests.failure.harness import (
    Client,
    Load,
    RequestMix,
    RunRequest,
    Site,
    attainment,
    balanced,
    chat,
    count_attempts,
    count_failures,
    lookup,
    reorder,
    running,
    runs_by_key,
    wait_until_true,
)

WORKSPACES = ("grand-hotels", "corniche-cafes", "koshary-chain", "sales-desk")
ENGINES = "savoryfork-pool"

# The errors allowed for a run whose targets fail more often than the budgets allow.
REFUSALS = {"stage_failed", "answer_incomplete", "deadline_exceeded", "overloaded"}

# A straggler is hedged after a multiple of its expected time; the hedge budget grows by one per
# 20 calls.
HEDGE_TIMEOUT_S = 20.0

pytestmark = pytest.mark.asyncio(loop_scope="class")


@pytest_asyncio.fixture(loop_scope="class", scope="class")
async def shared() -> AsyncIterator[tuple[Site, Client]]:
    """One deployment for all tests of a class."""
    async with running() as site_and_client:
        yield site_and_client


async def set_faults(site: Site, services: tuple[str, ...], **fields: float) -> None:
    """Sets faults on all targets of some services, each target with its own seed."""
    deployment = site.deployment
    for service in services:
        for index, name in enumerate(deployment.targets(service)):
            await deployment.faults(name, reset=True, seed=index, **fields)


async def hedge_won(site: Site, before: float) -> bool:
    """Returns True if an attempt was cancelled since because its hedge was answered first."""
    return await count_attempts(site.deployment, "cancelled") > before


async def clear_faults(site: Site) -> None:
    """Clears the faults of all targets."""
    await set_faults(site, tuple(service.name for service in site.deployment.spec.services))


class TestAnswers:
    async def test_crossed_late_and_duplicated_answers(self, shared: tuple[Site, Client]) -> None:
        """Guards against an answer with the content of another request: targets answer with the
        id and content of another call, send tokens twice, and one of them answers only after its
        hedge. Callers of four workspaces check every answer."""
        site, client = shared
        kinds = [chat(w) for w in WORKSPACES] + [chat(w, stream=True) for w in WORKSPACES]
        requests = RequestMix([*kinds, lookup("grand-hotels"), lookup("sales-desk")], seed=3)
        services = (ENGINES, "encoders", "retrievers", "press-queue", "invoicing")
        await set_faults(site, services, crossed=0.03, duplicate=0.5)
        await site.deployment.faults(f"{ENGINES}-0", slow_factor=6.0)
        async with balanced(client) as balancer, Load(balancer.send, requests, workers=24) as load:
            for _ in range(3):
                await load.wait_for_more(50)
                before = await count_attempts(site.deployment, "cancelled")
                await site.deployment.faults("encoders-0", freeze=True)
                await load.wait_for_more(25)
                # The other workers finish 25 requests in 0.3 s; on a busy machine this is before
                # the frozen target counts as a straggler.
                await wait_until_true(partial(hedge_won, site, before), HEDGE_TIMEOUT_S)
                await site.deployment.faults("encoders-0", freeze=False)
        await clear_faults(site)
        assert not [o.mismatch for o in load.outcomes if o.mismatch]
        assert {o.kind for o in load.outcomes} - {""} <= REFUSALS
        assert attainment(load.outcomes) >= 0.95, count_failures(load.outcomes)
        assert await count_attempts(site.deployment, "mismatched") >= 10
        # At least one per freeze: the answer of the frozen target arrived late and was discarded.
        assert await count_attempts(site.deployment, "cancelled") >= 3

    async def test_crossed_answers_to_actions(self, shared: tuple[Site, Client]) -> None:
        """Guards against an action that is repeated, or answered with the result of another
        action, because its target answered with the id of another call."""
        site, client = shared
        requests = RequestMix([reorder(w) for w in WORKSPACES[:3]], seed=4)
        await set_faults(site, ("orders",), crossed=0.1)
        async with balanced(client) as balancer, Load(balancer.send, requests, workers=8) as load:
            await load.wait_for_more(150)
        await clear_faults(site)
        assert not [o.mismatch for o in load.outcomes if o.mismatch]
        ran = await runs_by_key(site.deployment, "orders")
        kinds = {o.kind for o in load.outcomes}
        assert kinds == {"", "outcome_unknown"}
        for outcome in load.outcomes:
            assert ran[str(outcome.request.key)] == 1, outcome
            assert not outcome.kind or outcome.ran == "unknown"

    async def test_cut_streams_resume_on_another_replica(self, shared: tuple[Site, Client]) -> None:
        """Guards against tokens lost or repeated when a stream is cut and resumed elsewhere."""
        site, client = shared
        request = RunRequest("grand-hotels", "owner-chat", "", {}, stream=True, max_tokens=40)
        requests = RequestMix([request, request._replace(stream=False)], seed=5)
        await site.deployment.faults(f"{ENGINES}-0", cut_after_tokens=7)
        async with balanced(client) as balancer, Load(balancer.send, requests, workers=6) as load:
            await load.wait_for_more(60)
        await clear_faults(site)
        assert not [o.mismatch for o in load.outcomes if o.mismatch]
        assert attainment(load.outcomes) >= 0.99, count_failures(load.outcomes)
        stages = [stage for o in load.outcomes if o.succeeded for stage in o.answer["stages"]]
        assert any(stage["attempts"] > 1 for stage in stages)

    async def test_every_replica_cuts(self, shared: tuple[Site, Client]) -> None:
        """Guards against a truncated stream reported as complete when every replica cuts it."""
        site, client = shared
        request = RunRequest("grand-hotels", "owner-chat", "", {}, stream=True, max_tokens=90)
        requests = RequestMix([request, request._replace(stream=False)], seed=6)
        await set_faults(site, (ENGINES,), cut_after_tokens=1)
        async with balanced(client) as balancer, Load(balancer.send, requests, workers=6) as load:
            await load.wait_for_more(60)
        await clear_faults(site)
        assert {o.kind for o in load.outcomes} <= {"answer_incomplete", "stage_failed"}
        for outcome in load.outcomes:
            whole = site.expected(outcome.request).text
            assert whole and whole.startswith("".join(outcome.tokens))
            assert outcome.ran == "unknown"
