"""Quantiles over a sliding window of observations."""

from __future__ import annotations

from collections import deque

from sortedcontainers import SortedList


class Window:
    """The last `size` observations, in order of arrival and sorted by value.

    >>> window = Window(4)
    >>> for value in (9.0, 1.0, 2.0, 3.0, 4.0):
    ...     window.add(value)
    >>> window.quantile(0.0), window.quantile(0.5), window.quantile(1.0), len(window)
    (1.0, 3.0, 4.0, 4)
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.arrivals: deque[float] = deque()
        self.values: SortedList = SortedList()

    def __len__(self) -> int:
        return len(self.arrivals)

    def add(self, value: float) -> None:
        """Adds an observation and evicts the oldest when the window is full."""
        if len(self.arrivals) == self.size:
            self.values.remove(self.arrivals.popleft())
        self.arrivals.append(value)
        self.values.add(value)

    def quantile(self, q: float, default: float = 0.0) -> float:
        """Returns the nearest-rank quantile, or `default` if there are no observations."""
        if not self.arrivals:
            return default
        return float(self.values[round(q * (len(self.values) - 1))])
