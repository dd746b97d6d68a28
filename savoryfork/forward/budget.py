"""Bounds the retries to a service over all hosts without coordination between them."""

from __future__ import annotations

from collections import deque

# Share of the platform's limit that is used. The margin covers moments in which hosts disagree
# about how many hosts there are.
USABLE_SHARE = 0.7


class RetryBudget:
    """This host's share of a service's retries in a sliding window.

    Every host may retry `ratio` of its own requests plus an equal share of the common reserve, so
    the total stays within the limit without communication.

    >>> budget = RetryBudget(ratio=0.2, reserve=4.0, window_ms=1000.0)
    >>> [budget.try_spend(0.0, hosts=2) for _ in range(3)], budget.try_spend(1001.0, hosts=2)
    ([True, False, False], True)
    """

    def __init__(self, ratio: float, reserve: float, window_ms: float) -> None:
        self.set_bounds(ratio, reserve, window_ms)
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def set_bounds(self, ratio: float, reserve: float, window_ms: float) -> None:
        """Sets the platform's limits; requests and retries already counted are kept."""
        self.ratio = ratio
        self.reserve = reserve
        self.window_ms = window_ms

    def record_request(self, now: float) -> None:
        """Counts the first attempt of a request."""
        self.requests.append(now)

    def remaining(self, now: float, hosts: int) -> float:
        """Returns the number of retries that this host may still send in the current window."""
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_ms:
                times.popleft()
        share = self.reserve / max(1, hosts) + self.ratio * len(self.requests)
        return USABLE_SHARE * share - len(self.retries)

    def try_spend(self, now: float, hosts: int) -> bool:
        """Spends one retry and returns True if the budget allows it."""
        if self.remaining(now, hosts) < 1.0:
            return False
        self.retries.append(now)
        return True
