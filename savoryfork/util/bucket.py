"""Token buckets and ratio budgets."""

from __future__ import annotations


class TokenBucket:
    """Allows `rate_per_s` events a second with bursts up to `burst`.

    >>> bucket = TokenBucket(rate_per_s=10.0, burst=2.0, now_ms=0.0)
    >>> [bucket.take(0.0), bucket.take(0.0), bucket.take(0.0), bucket.take(100.0)]
    [True, True, False, True]
    """

    def __init__(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.updated_ms = now_ms

    def take(self, now_ms: float, amount: float = 1.0) -> bool:
        """Takes `amount` tokens if available; returns whether it did."""
        elapsed_s = max(0.0, now_ms - self.updated_ms) / 1000
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        self.updated_ms = max(self.updated_ms, now_ms)
        if self.tokens + 1e-9 < amount:
            return False
        self.tokens -= amount
        return True


class RatioBudget:
    """Allows extra calls up to a ratio of the regular ones, plus a reserve for low traffic.

    >>> budget = RatioBudget(ratio=0.5, reserve=0.0, cap=10.0)
    >>> budget.deposit(), budget.take(), budget.deposit(), budget.take(), budget.take()
    (None, False, None, True, False)
    """

    def __init__(self, ratio: float, reserve: float, cap: float) -> None:
        self.ratio = ratio
        self.cap = cap
        self.balance = reserve

    def deposit(self) -> None:
        """Records one regular call."""
        self.balance = min(self.cap, self.balance + self.ratio)

    def take(self) -> bool:
        """Spends one extra call if the budget allows it; returns whether it did."""
        if self.balance + 1e-9 < 1.0:
            return False
        self.balance -= 1.0
        return True
