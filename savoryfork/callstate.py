"""State of calls, targets and services in the dispatcher."""

from __future__ import annotations

import asyncio
import enum
from collections import Counter, deque

from sortedcontainers import SortedKeyList

from savoryfork import admission, ejection, hedging, routing
from savoryfork.admission import Prediction, Work, WorkModel
from savoryfork.board import TargetView
from savoryfork.pipeline import Service
from savoryfork.util.window import Window

# Length of the per-target history of this host's outstanding calls, used to look up their number at
# the time of a load report.
TIMELINE = 256


class CallResult(enum.Enum):
    """Outcome of an attempt."""

    ANSWERED = "answered"
    FAILED = "failed"
    CONNECT_FAILED = "connect_failed"
    CANCELLED = "cancelled"
    MISMATCHED = "mismatched"


class Slot:
    """A slot for one call to one target, held until `CallTracker.release`.

    `expected_interval_ms` is the expected time from `last_activity_ms` to the next activity of the
    call; `tokens` counts the tokens received. `straggling` is set once the call itself shows that
    its target is a straggler, so that a hedge is sent before its regular delay.
    """

    def __init__(
        self, target: TargetView, work: Work, started_ms: float, prediction: Prediction, long: bool
    ) -> None:
        self.target = target
        self.work = work
        self.started_ms = started_ms
        self.prediction = prediction
        self.long = long
        self.underestimated = False
        self.probe = False
        self.prefix_cached = False
        self.released = False
        self.first_ms: float | None = None
        self.last_activity_ms = started_ms
        self.expected_interval_ms = prediction.expected_ms
        self.tokens = 0
        self.observed_tokens = 0
        self.straggling = asyncio.Event()


class Waiter:
    """A call waiting for a slot; `lower_ms` includes the later stages of its pipeline."""

    def __init__(
        self,
        work: Work,
        exclude: frozenset[str],
        prediction: Prediction,
        lower_ms: float,
        key: tuple[int, float],
        long: bool,
    ) -> None:
        self.work = work
        self.exclude = exclude
        self.prediction = prediction
        self.lower_ms = lower_ms
        self.key = key
        self.long = long
        self.future: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()


class TargetState:
    """State of one incarnation of a target on this host."""

    def __init__(self) -> None:
        self.slots: set[Slot] = set()
        self.long = 0
        self.prefill_ms = 0.0
        self.health = ejection.Health()
        self.probing = False
        self.timeline: deque[tuple[float, int]] = deque(maxlen=TIMELINE)
        self.reported_ms = -1.0
        self.sampled_report_ms = -1.0
        self.own_at_report = 0

    def record_count(self, now_ms: float) -> None:
        """Records the current number of this host's calls."""
        self.timeline.append((now_ms, len(self.slots)))

    def own_calls_at(self, at_ms: float) -> int:
        """Returns how many of this host's calls were outstanding at a time."""
        if at_ms != self.reported_ms:
            self.reported_ms = at_ms
            self.own_at_report = next((n for at, n in reversed(self.timeline) if at <= at_ms), 0)
        return self.own_at_report


class ServiceState:
    """State of one service on this host."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.model = WorkModel()
        self.budgets = hedging.Budgets()
        self.queue: SortedKeyList = SortedKeyList(key=lambda waiter: waiter.key)
        self.queued: Counter[str] = Counter()
        self.held: Counter[str] = Counter()
        self.shares: dict[str, float] = {}
        self.expected_calls: dict[tuple[str, str], deque[tuple[float, float, int]]] = {}
        self.admitted: deque[tuple[float, float, int]] = deque()
        self.long = 0
        self.long_prefills = 0
        self.long_prefill_ms = 0.0
        self.max_running = 0
        self.reserved: tuple[tuple[str, ...], frozenset[str]] = ((), frozenset())
        self.durations = Window(64)
        self.capacities = Window(16)
        self.pool = routing.Pool(0.0, admission.CALL_MS, float("inf"), 1)
        self.median_slowdown = 1.0
        self.load = 0.0
        self.wait_ms = 0.0
        self.slots = 0
        self.stats_due_ms = 0.0
        self.turn = 0
        self.started = 0
        self.underestimated = 0

    def idle(self) -> bool:
        """Returns True if no call is outstanding or waiting."""
        return not self.queue and not any(self.held.values())

    def forget(self, workspace: str) -> None:
        """Drops the share of a workspace that has no held slots and no waiters."""
        if self.queued[workspace] <= 0 and self.held[workspace] <= 0:
            del self.queued[workspace]
            del self.held[workspace]
            self.shares.pop(workspace, None)
