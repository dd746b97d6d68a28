"""Tests for the hedge delay and the budgets."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork import hedging
from savoryfork.hedging import Budgets


class TestBudgets:
    @settings(derandomize=True)
    @given(st.lists(st.sampled_from(["call", "hedge", "retry"]), max_size=400))
    def test_never_exceeded(self, steps):
        """Guards against extra calls over budget, which multiply the load of slow targets."""
        budgets = Budgets()
        calls = hedges = retries = 0
        for step in steps:
            if step == "call":
                calls += 1
                budgets.record_call()
            elif step == "hedge" and budgets.spend_hedge():
                hedges += 1
                budgets.record_call()
            elif step == "retry" and budgets.spend_retry():
                retries += 1
                budgets.record_call()
            assert hedges <= hedging.HEDGE_RATIO * calls + 1e-6
            assert retries <= hedging.RETRY_RATIO * calls + hedging.RETRY_RESERVE + 1e-6


class TestDelay:
    @settings(derandomize=True)
    @given(st.floats(0, 1e5), st.floats(0, 20), st.floats(0, 1e5), st.floats(0, 1e4))
    def test_a_hedge_can_meet_the_deadline(self, expected, slowdown, remaining, lower):
        """Guards against wasted hedges that cannot end before the deadline."""
        delay = hedging.delay_ms(expected, slowdown, 100, remaining, lower)
        assert delay is None or (delay >= expected and delay + lower <= remaining)

    def test_none_with_few_observations(self):
        """Guards against hedging on the first calls, which do not show what is unusually slow."""
        assert hedging.delay_ms(10.0, 2.0, hedging.MIN_OBSERVATIONS - 1, 1e6, 0.0) is None
