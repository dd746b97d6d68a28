"""What a host learns of its targets from answers to real calls."""

from __future__ import annotations

from savoryfork.forward.model import Prompt, PromptPart
from tests.forward.deployment import Deployment, until

PROMPT = Prompt(100, (PromptPart("aa", 60), PromptPart("bb", 30), PromptPart("cc", 10)))
TOKENS = {"Token_Usage": "100,2", "Prefix_Hash": "aa:60,bb:30,cc:10", "Model": "m"}


class TestLearning:
    async def test_engine_that_read_a_prompt_is_known_to_hold_it(self):
        """Guards against answers whose time or parts are recorded for no engine, or another."""
        async with Deployment() as deployment:
            selector = deployment.hosts[0].selector
            for _ in range(3):
                assert (await deployment.call("/ask/x", **TOKENS))[0] == 200
            engines = selector.registry.usable("engine")
            table = selector.prefix_table("engine")
            assert table.cache_tokens == 100_000
            known = table.known(engines, PROMPT, {}, selector.follower.now())
            assert [cache.held_tokens for cache in known.values()] == [90.0]
            slowdowns = selector.slowdowns["engine", True]
            assert [key.name for key in slowdowns.answers] == list(known)
            assert not selector.pending_prefill and not selector.outstanding

    async def test_engines_that_refuse_a_prompt_hold_nothing_of_it(self):
        """Guards against requests that go to an engine for parts that it never got."""
        async with Deployment() as deployment:
            selector = deployment.hosts[0].selector
            for replica in deployment.replicas["engine"]:
                replica.refuse = True
            assert (await deployment.call("/ask/x", **TOKENS))[0] != 200
            assert selector.prefix_table("engine").held_parts() == 0

    async def test_plain_answers_are_learned_apart(self):
        async with Deployment() as deployment:
            selector = deployment.hosts[0].selector
            for _ in range(8):
                assert (await deployment.call("/view/x"))[0] == 200
            answers = selector.slowdowns["plain", False].answers
            assert {key.name for key in answers} <= {"plain-0", "plain-1"} and answers

    async def test_state_ends_with_the_target(self):
        """Guards against memory that grows with each target that comes and goes."""
        async with Deployment() as deployment:
            selector = deployment.hosts[0].selector
            assert (await deployment.call("/ask/x", **TOKENS))[0] == 200
            for replica in deployment.replicas["engine"]:
                deployment.store.put("keyed.servers", replica.name, None)
            await until(lambda: not selector.registry.of_service("engine"))
            selector.run_housekeeping()
            assert not selector.slowdowns and not selector.prefixes and not selector.speeds
