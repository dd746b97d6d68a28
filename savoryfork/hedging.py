"""Hedge delay, and the budgets that limit hedges and retries."""

from __future__ import annotations

from savoryfork.util.bucket import RatioBudget

HEDGE_RATIO = 0.05
RETRY_RATIO = 0.10

# Initial retry budget of a host that has just started.
RETRY_RESERVE = 3.0

# A call is hedged once its slowdown (actual / expected time) exceeds this quantile of recent ones,
# and at least MIN_SLOWDOWN. At the 95 % quantile, ordinary calls used up the budget before
# stragglers needed it.
SLOWDOWN_QUANTILE = 0.99
MIN_SLOWDOWN = 2.5
MIN_OBSERVATIONS = 16


class Budgets:
    """The hedge and retry budgets of one service. Hedges and retries earn no budget."""

    def __init__(self) -> None:
        self.hedges = RatioBudget(HEDGE_RATIO, 0.0, 20.0)
        self.retries = RatioBudget(RETRY_RATIO, RETRY_RESERVE, 40.0)
        self.extra = 0

    def record_call(self) -> None:
        """Records a call; the next call after each `spend` is the extra call it allowed."""
        if self.extra:
            self.extra -= 1
            return
        self.hedges.deposit()
        self.retries.deposit()

    def spend_hedge(self) -> bool:
        """Spends one hedge; returns False if the budget is exhausted."""
        return self.spend(self.hedges)

    def spend_retry(self) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        return self.spend(self.retries)

    def spend(self, budget: RatioBudget) -> bool:
        """Spends from one budget and allows one extra call."""
        if not budget.take():
            return False
        self.extra += 1
        return True


def delay_ms(
    expected_ms: float, slowdown: float, observations: int, remaining_ms: float, lower_ms: float
) -> float | None:
    """Returns the hedge delay: expected time x slowdown quantile, at least MIN_SLOWDOWN.

    None with too few observations, or if a hedge sent then could not meet the deadline.

    >>> delay_ms(100.0, 4.0, 50, 1000.0, 50.0), delay_ms(100.0, 4.0, 50, 440.0, 50.0)
    (400.0, None)
    """
    if observations < MIN_OBSERVATIONS:
        return None
    delay = expected_ms * max(MIN_SLOWDOWN, slowdown)
    return delay if delay + lower_ms <= remaining_ms else None
