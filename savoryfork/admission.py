"""Work prediction, admission control and queue order."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from savoryfork.util.window import Window

HISTORY_SIZE = 64
RATE_WINDOW_SIZE = 128

# With fewer observations a prediction has no lower bound, so that a few calls cause no refusals.
MIN_OBSERVATIONS = 8

# Initial rates, used until the first observations.
PREFILL_MS_PER_TOKEN = 0.1
TOKEN_MS = 20.0
CALL_MS = 20.0

# Fixed cost of a prompt (scheduling, transfer), in prompt tokens.
PROMPT_OVERHEAD_TOKENS = 64

# Initial fraction of the prefill time that remains with a cached prefix, and the weight of one
# observation in its moving average.
PREFIX_FACTOR = 0.5
PREFIX_GAIN = 0.05

# Work is long above this multiple of the 5 % quantile of recent expected times. A low quantile
# protects short work even where it is only a small part of the calls.
LONG_FACTOR = 4.0
SHORT_QUANTILE = 0.05

# Maximum share of a target's slots for long work.
LONG_SHARE = 0.85

# Reduction of the queue key, in milliseconds of work per millisecond waited.
AGING_RATE = 4.0

# Safety margin on the predicted time per priority step, so that of two requests near the limit the
# one of lower priority is refused.
MARGIN_PER_PRIORITY = 0.03

# Demand is the work admitted within this window.
DEMAND_MS = 1_000.0

# Cap on the load of higher-priority work in the queueing formula, which nearer to 1 overstates a
# peak as short as DEMAND_MS.
MAX_HIGHER_PRIORITY_LOAD = 0.75

# From this queue length on, each workspace is limited to its fair share of the queue.
FAIR_QUEUE_LENGTH = 64


class Work(NamedTuple):
    """One stage call. Times are monotonic milliseconds.

    `priority` is 0 (first) to 9 (last). `prompt_tokens` and `max_tokens` are 0 for calls that are
    not generation. `deadline_ms` is the time by which the call must be finished, `prefix` a digest
    of the prompt's leading part ("" if none), `share` the fair-share weight of the workspace.
    """

    workspace: str
    pipeline: str
    stage: str
    priority: int
    prompt_tokens: int
    max_tokens: int
    deadline_ms: float
    prefix: str
    share: float


class Prediction(NamedTuple):
    """Predicted cost of a call on an idle target.

    `first_ms` is the time to first token (0 if the call is not generation), `rest_ms` the time
    after it, `lower_ms` a lower bound that few calls stay under, `tokens` the output length.
    """

    first_ms: float
    rest_ms: float
    lower_ms: float
    tokens: float

    @property
    def expected_ms(self) -> float:
        """Returns the expected duration of the whole call."""
        return self.first_ms + self.rest_ms


class WorkModel:
    """Statistics of recent calls of one service, used to predict work.

    Rates are lower quartiles: the upper observations include queueing time, which routing and
    admission add separately.
    """

    def __init__(self) -> None:
        self.prefill_rates: dict[int, Window] = {}
        self.token_times = Window(RATE_WINDOW_SIZE)
        self.expected_times = Window(4 * HISTORY_SIZE)
        self.slowdowns = Window(4 * HISTORY_SIZE)
        self.prefix_factor = PREFIX_FACTOR
        self.histories: dict[tuple[str, str, int], Window] = {}

    def history(self, work: Work) -> Window:
        """Returns output lengths (generation) or durations for prompts of similar length."""
        key = (work.pipeline, work.stage, work.prompt_tokens.bit_length() // 2)
        return self.histories.setdefault(key, Window(HISTORY_SIZE))

    def prefill_window(self, work: Work) -> Window:
        """Returns the observed prefill times per prompt token for similar prompt lengths."""
        return self.prefill_rates.setdefault(
            work.prompt_tokens.bit_length() // 2, Window(RATE_WINDOW_SIZE)
        )

    def prefill_ms(self, work: Work) -> float:
        """Returns the lower quartile of the prefill time per prompt token.

        For a prompt length without observations it is the minimum over all lengths: short prompts
        wait behind others, so their typical rate would overstate a long prompt.
        """
        window = self.prefill_window(work)
        if len(window) >= MIN_OBSERVATIONS:
            return window.quantile(0.25)
        rates = [w.quantile(0.0) for w in self.prefill_rates.values() if len(w)]
        return min(rates, default=PREFILL_MS_PER_TOKEN)

    def predict(self, work: Work) -> Prediction:
        """Predicts a call.

        Generation: first = prefill rate x (prompt + overhead), rest = token time x output, with
        the median output of the stage's history, at most `max_tokens`; without a history, half
        of `max_tokens`. Other calls: the median duration. The lower bound uses the window
        minima instead, and is 0 below `MIN_OBSERVATIONS` observations.
        """
        history = self.history(work)
        has_history = len(history) >= MIN_OBSERVATIONS
        if not work.max_tokens:
            lower = history.quantile(0.0) if has_history else 0.0
            return Prediction(0.0, history.quantile(0.5, CALL_MS), lower, 0.0)
        prompt = work.prompt_tokens + PROMPT_OVERHEAD_TOKENS
        tokens = min(work.max_tokens, history.quantile(0.5, work.max_tokens / 2))
        first = self.prefill_ms(work) * prompt
        rest = self.token_times.quantile(0.25, TOKEN_MS) * tokens
        lower = 0.0
        if has_history and len(self.token_times) >= MIN_OBSERVATIONS:
            least = min(work.max_tokens, history.quantile(0.0))
            lower = self.prefill_window(work).quantile(0.0) * prompt + self.token_times.quantile(
                0.0
            ) * (least - 1)
        return Prediction(first, rest, max(0.0, lower), tokens)

    def observe_call(
        self, work: Work, first_ms: float | None, total_ms: float, tokens: int, expected_ms: float
    ) -> None:
        """Records an answered call; `first_ms` is None if no first token was reported."""
        self.slowdowns.add(total_ms / max(1.0, expected_ms))
        if not work.max_tokens:
            self.history(work).add(total_ms)
            return
        self.history(work).add(float(max(1, tokens)))
        if first_ms is not None:
            self.prefill_window(work).add(first_ms / (work.prompt_tokens + PROMPT_OVERHEAD_TOKENS))
            if tokens > 1:
                self.token_times.add((total_ms - first_ms) / (tokens - 1))

    def observe_prefix(self, first_ms: float, predicted_ms: float) -> None:
        """Updates the prefill factor of cached prefixes from observed / predicted time."""
        factor = min(1.0, max(0.1, first_ms / max(1.0, predicted_ms)))
        self.prefix_factor += PREFIX_GAIN * (factor - self.prefix_factor)

    def is_long(self, expected_ms: float) -> bool:
        """Returns True if the work is many times longer than the short work of this service."""
        short_ms = self.expected_times.quantile(SHORT_QUANTILE)
        return len(self.expected_times) >= MIN_OBSERVATIONS and expected_ms > LONG_FACTOR * short_ms


def long_slots(limit: int) -> int:
    """Returns how many of a host's `limit` slots on a target may be held by long work.

    Rounded to nearest: where many hosts share a target, each has two or three slots, and reserving
    a whole one would exceed the share. There the bound over all targets applies.

    >>> [long_slots(limit) for limit in (1, 2, 3, 4, 16)]
    [1, 2, 3, 3, 14]
    """
    return max(1, round(limit * LONG_SHARE))


def long_share(targets: int, capacity: float, hosts: int) -> float:
    """Returns how many long calls each of `hosts` hosts may have on all `targets` together.

    The share of a host in one target's capacity is often below one call, so without coordination
    between hosts a bound per target cannot limit long work; a bound over all targets can.

    >>> long_share(6, 16.0, 8)
    10.2
    """
    return max(1.0, LONG_SHARE * capacity * targets / hosts)


def reserved_targets(targets: int) -> int:
    """Returns how many of a service's targets are reserved for short work.

    Free slots alone do not help short work where long prompts delay the whole batch.

    >>> [reserved_targets(n) for n in (1, 3, 4, 6, 100)]
    [0, 0, 1, 1, 15]
    """
    return round(targets * (1 - LONG_SHARE))


def queue_ms(ahead_ms: float, higher_priority_ms: float, slots: int, call_ms: float) -> float:
    """Estimates the queueing time: (one call + ahead / (1 - higher-priority load)) / slots.

    `ahead_ms` is the work that is served first, `higher_priority_ms` the higher-priority work
    admitted within `DEMAND_MS`: as much again is expected to arrive during the wait.

    >>> queue_ms(100.0, 0.0, 4, 20.0), queue_ms(100.0, 2_000.0, 4, 20.0)
    (30.0, 55.0)
    """
    slots = max(1, slots)
    higher_priority_load = min(MAX_HIGHER_PRIORITY_LOAD, higher_priority_ms / (DEMAND_MS * slots))
    return (call_ms + ahead_ms / (1 - higher_priority_load)) / slots


def rank(work: Work, expected_ms: float, arrived_ms: float) -> tuple[int, float]:
    """Returns the queue sort key: priority, then expected work minus `AGING_RATE` per ms waited.

    The aging term grows equally for all, so the key is the constant expected + AGING_RATE x
    arrival. Within a priority, a call is overtaken only by calls that arrive less than
    `expected_ms / AGING_RATE` after it, which bounds starvation.
    """
    return work.priority, expected_ms + AGING_RATE * arrived_ms


def exceeds_share(held: Mapping[str, int], shares: Mapping[str, float], workspace: str) -> bool:
    """Returns True if one more slot would take the workspace over its share of the held slots.

    `held` counts the slots per workspace, `shares` has the weights of all workspaces that hold or
    want one. A single workspace is never over its share.

    >>> exceeds_share({"a": 2, "b": 1}, {"a": 1.0, "b": 1.0}, "a")
    True
    >>> exceeds_share({"a": 2, "b": 1}, {"a": 3.0, "b": 1.0}, "a")
    False
    """
    if len(shares) < 2:
        return False
    part = shares[workspace] / sum(shares.values())
    return held.get(workspace, 0) + 1 > part * (sum(held.values()) + 1) + 1e-9


def may_queue(
    queued: Mapping[str, int], shares: Mapping[str, float], workspace: str, capacity: int
) -> bool:
    """Returns True if one more call of the workspace may join a queue of size `capacity`."""
    total = sum(queued.values())
    if total >= capacity:
        return False
    if total < FAIR_QUEUE_LENGTH:
        return True
    part = shares[workspace] / sum(shares.values())
    return queued.get(workspace, 0) < max(1.0, part * capacity)


def request_ms(stages: list[tuple[float, float]], priority: int) -> float:
    """Returns the predicted time from (wait, work) per stage, plus the margin for its priority."""
    return sum(wait + work for wait, work in stages) * (1 + MARGIN_PER_PRIORITY * priority)


def can_meet_deadline(now_ms: float, lower_ms: float, deadline_ms: float) -> bool:
    """Returns True if the call's lower bound still fits before its deadline."""
    return now_ms < deadline_ms and now_ms + lower_ms <= deadline_ms
