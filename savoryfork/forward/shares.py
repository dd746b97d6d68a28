"""Fair shares of stage work between workspaces, while its targets can't do all that is asked for.

Load pattern: one workspace, or two, at 7.5 times their usual rate for 6.5 s. Admission takes work
in the order of its arrival, so the workspace that sends most would get most of the capacity, and
all others would be refused as often as it is.

A workspace is over its share with twice its usual rate, or an equal part of the capacity if that is
more. An equal part alone would refuse the work of a workspace that is always large, since demand is
skewed. Only work that is admitted counts, so a burst of all workspaces alike leaves each near its
share. The state is local to a coordinator; a new one begins with equal parts.
"""

from __future__ import annotations

import itertools
import math
from collections import OrderedDict
from collections.abc import Mapping, Sequence

from savoryfork.forward.batching import call_ms
from savoryfork.forward.model import StagePlan
from savoryfork.forward.planning import ServiceQueue

# Time constants of what a workspace has had lately and of what it usually gets. A flood of 6.5 s
# raises the usual rate by less than a tenth of its excess.
RECENT_MS = 1_500.0
USUAL_MS = 90_000.0

# A usual rate is trusted as if it had been observed for at least this long, so that the first
# requests after the start of a coordinator are not taken for a workspace's usual rate.
MIN_USUAL_MS = 20_000.0

# A workspace is active for this long after it got something; they are counted again after COUNT_MS,
# as a count over 2,800 takes longer than a decision.
ACTIVE_MS = 5_000.0
COUNT_MS = 250.0

# Multiple of its usual rate from which a workspace's work stands back. With a smaller one, random
# arrivals and the usual wave of demand would be taken for a flood.
OVER_SHARE = 2.0

# What a workspace has had counts up to this multiple of its bound, so that it is back within it
# soon after a flood, also if idle capacity let it have much more.
MAX_COUNTED = 3.0

# Time for which a shortage is remembered after the last request that found no capacity.
SHORTAGE_MS = 2_000.0

# Workspaces that are remembered; the least recently active are dropped beyond it. Deployments have
# up to 2,800, which take 0.5 MB.
MAX_WORKSPACES = 2_800


def capacity_share(
    plans: Sequence[StagePlan], pieces: Sequence[int], queues: Mapping[str, ServiceQueue]
) -> float:
    """Returns the time in ms for which the work takes up all targets of its scarcest service.

    >>> from savoryfork.forward.model import BatchLimits
    >>> queue = ServiceQueue(BatchLimits(1, 10, 150.0, 5.0, 0.0, 0.0), 4, 0.0, 0.0, 1.0)
    >>> capacity_share((StagePlan("s", (), 0), StagePlan("s", (0,), 0)), (2, 4), {"s": queue})
    30.0
    """
    taken: dict[str, float] = {}
    for plan, count in zip(plans, pieces, strict=False):
        queue = queues.get(plan.service)
        if count and queue is not None and queue.targets:
            piece_ms = call_ms(queue.limits, queue.limits.batch) * queue.slowdown
            piece_ms /= queue.limits.batch * queue.targets
            taken[plan.service] = taken.get(plan.service, 0.0) + count * piece_ms
    return max(taken.values(), default=0.0)


class Usage:
    """What one workspace has had: decaying sums of capacity in ms, as of `at`."""

    __slots__ = ("at", "recent", "usual")

    def __init__(self, now: float) -> None:
        self.at = now
        self.recent = 0.0
        self.usual = 0.0

    def advance(self, now: float) -> None:
        """Lets the sums decay until now."""
        self.recent, self.usual = self.decayed(now)
        self.at = now

    def decayed(self, now: float) -> tuple[float, float]:
        """Returns the sums as of now: the recent one and the usual one."""
        passed = max(0.0, now - self.at)
        return (
            self.recent * math.exp(-passed / RECENT_MS),
            self.usual * math.exp(-passed / USUAL_MS),
        )


class Shares:
    """What each workspace has had lately, and usually, of the capacity for stage work.

    Nothing is over its share without a shortage, and a workspace alone may use everything.

    >>> shares = Shares()
    >>> for now in range(0, 60_000, 20):
    ...     shares.record("small", 1.0, now)
    ...     shares.record("large", 8.0, now)
    >>> for now in range(60_000, 64_000, 20):
    ...     shares.record("small", 11.0, now)
    ...     shares.record("large", 8.0, now)
    >>> shares.is_over("small", 64_000), shares.is_over("large", 64_000)
    (False, False)
    >>> shares.record_shortage(64_000)
    >>> shares.is_over("small", 64_000), shares.is_over("large", 64_000)
    (True, False)
    >>> shares.is_over("small", 66_001)
    False
    """

    def __init__(self) -> None:
        self.usages: OrderedDict[str, Usage] = OrderedDict()
        self.started_at: float | None = None
        self.shortage_at = -math.inf
        self.counted_at = -math.inf
        self.count = 0

    def record_shortage(self, now: float) -> None:
        """Records that a request found too little capacity."""
        self.shortage_at = now

    def is_short(self, now: float) -> bool:
        """Whether there has been a shortage within the last `SHORTAGE_MS`."""
        return now - self.shortage_at <= SHORTAGE_MS

    def record(self, workspace: str, capacity_ms: float, now: float) -> None:
        """Counts work that is admitted or, with a negative amount, work that is given up."""
        if self.started_at is None:
            self.started_at = now
        usage = self.usages.get(workspace)
        if usage is None:
            usage = self.usages[workspace] = Usage(now)
            while len(self.usages) > MAX_WORKSPACES:
                self.usages.popitem(last=False)
        self.usages.move_to_end(workspace)
        usage.advance(now)
        usage.usual = max(0.0, usage.usual + capacity_ms)
        most = MAX_COUNTED * self.bound(usage, now) * RECENT_MS
        usage.recent = min(most, max(0.0, usage.recent + capacity_ms))

    def bound(self, usage: Usage, now: float) -> float:
        """Returns the part of the capacity beyond which a workspace is over its share."""
        assert self.started_at is not None
        observed_ms = max(MIN_USUAL_MS, now - self.started_at)
        usual = usage.decayed(now)[1] / (USUAL_MS * (1.0 - math.exp(-observed_ms / USUAL_MS)))
        return max(OVER_SHARE * usual, 1.0 / self.active_count(now))

    def active_count(self, now: float) -> int:
        """Returns the number of workspaces that got something lately, at least 1."""
        if now - self.counted_at >= COUNT_MS:
            earliest = now - ACTIVE_MS
            active = itertools.takewhile(
                lambda usage: usage.at >= earliest, reversed(self.usages.values())
            )
            self.counted_at, self.count = now, sum(1 for _ in active)
        return max(1, self.count)

    def is_over(self, workspace: str, now: float) -> bool:
        """Whether a workspace has exceeded its share while there is a shortage."""
        usage = self.usages.get(workspace)
        if usage is None or not self.is_short(now) or self.active_count(now) == 1:
            return False
        return usage.decayed(now)[0] / RECENT_MS > self.bound(usage, now)
