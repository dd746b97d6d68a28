"""Decides when a second call is worth sending, and bounds the extra calls."""

from __future__ import annotations

from savoryfork.util.bucket import RatioBudget

HEDGE_RATIO = 0.05
RETRY_RATIO = 0.10

# A host that has just started may retry this often before its calls have earned a retry.
RETRY_RESERVE = 3.0

# The slowdown (actual over expected) that a call must exceed: a high quantile of recent ones,
# never less than MIN_SLOWDOWN. At the 95 % quantile, calls of ordinary length spent the budget
# before a straggler needed it.
SLOWDOWN_QUANTILE = 0.99
MIN_SLOWDOWN = 2.5
MIN_OBSERVATIONS = 16


class Budgets:
    """The hedge and retry budgets of one service. Extra calls earn nothing."""

    def __init__(self) -> None:
        self.hedges = RatioBudget(HEDGE_RATIO, 0.0, 20.0)
        self.retries = RatioBudget(RETRY_RATIO, RETRY_RESERVE, 40.0)
        self.extra = 0

    def record_call(self) -> None:
        """Notes a call; the next call after each `take` is the extra one it allowed."""
        if self.extra:
            self.extra -= 1
            return
        self.hedges.deposit()
        self.retries.deposit()

    def spend_hedge(self) -> bool:
        """Spends one hedge, if there is one."""
        return self.spend(self.hedges)

    def spend_retry(self) -> bool:
        """Spends one retry, if there is one."""
        return self.spend(self.retries)

    def spend(self, budget: RatioBudget) -> bool:
        """Spends from one budget and expects one extra call."""
        if not budget.take():
            return False
        self.extra += 1
        return True


def delay_ms(
    expected_ms: float, slow: float, evidence: int, remaining_ms: float, lower_ms: float
) -> float | None:
    """After how long without a whole answer to hedge: expected x the slow quantile.

    None if there is too little evidence, or if a call sent then could not end in time.

    >>> delay_ms(100.0, 4.0, 50, 1000.0, 50.0), delay_ms(100.0, 4.0, 50, 440.0, 50.0)
    (400.0, None)
    """
    if evidence < MIN_OBSERVATIONS:
        return None
    delay = expected_ms * max(MIN_SLOWDOWN, slow)
    return delay if delay + lower_ms <= remaining_ms else None
