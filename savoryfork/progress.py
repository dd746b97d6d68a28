"""Tracks calls in progress and updates target health and work statistics from them."""

from __future__ import annotations

from collections.abc import Callable

from savoryfork import admission, ejection, routing
from savoryfork.board import TargetView
from savoryfork.callstate import CallResult, ServiceState, Slot, TargetState, Waiter
from savoryfork.choice import Choice
from savoryfork.survey import TargetStats
from savoryfork.util.timer import Clock

# A probe fails if it takes more than this multiple of its expected time.
MAX_PROBE_SLOWDOWN = 2.0


class CallTracker:
    """Tracks calls in progress; calls `on_capacity_freed` when a service has capacity again."""

    def __init__(
        self,
        target_stats: TargetStats,
        clock: Clock,
        services: dict[str, ServiceState],
        adaptive: bool,
        on_capacity_freed: Callable[[ServiceState], None],
    ) -> None:
        self.target_stats = target_stats
        self.clock = clock
        self.services = services
        self.adaptive = adaptive
        self.on_capacity_freed = on_capacity_freed

    def start(
        self, state: ServiceState, waiter: Waiter, view: TargetView, choice: Choice, now: float
    ) -> Slot:
        """Registers a call that starts now and returns its slot."""
        slot = Slot(view, waiter.work, now, waiter.prediction, waiter.long)
        slot.prefix_cached = choice.prefix_cached
        slot.probe = choice.probe
        if waiter.prediction.first_ms:
            slot.expected_interval_ms = choice.first_ms or waiter.prediction.first_ms
        target = self.target_stats.target(view)
        target.slots.add(slot)
        if slot.probe:
            target.probing = True
        target.long += slot.long
        state.long += slot.long
        if slot.long and slot.prediction.first_ms > 0:
            state.long_prefills += 1
            state.long_prefill_ms += slot.prediction.first_ms
        target.prefill_ms += waiter.prediction.first_ms
        target.record_count(now)
        state.held[waiter.work.workspace] += 1
        state.started += 1
        return slot

    def first_token(self, slot: Slot) -> None:
        """Records the first token of a generation."""
        if slot.released or slot.first_ms is not None:
            return
        now = self.clock.monotonic_ms()
        slot.first_ms = now - slot.started_ms
        target = self.target_stats.target(slot.target)
        state = self.services[slot.target.service]
        self.end_prefill(state, target, slot)
        target.health = ejection.record_interval(
            target.health, slot.first_ms, slot.expected_interval_ms, now
        )
        if slot.prefix_cached:
            state.model.observe_prefix(slot.first_ms, slot.prediction.first_ms)
        slot.last_activity_ms = now
        slot.tokens = slot.observed_tokens = 1
        slot.expected_interval_ms = self.token_ms(state)

    def end_prefill(self, state: ServiceState, target: TargetState, slot: Slot) -> None:
        """Ends the prefill phase of a call in the accounting."""
        target.prefill_ms = max(0.0, target.prefill_ms - slot.prediction.first_ms)
        if slot.long and not slot.underestimated and slot.prediction.first_ms > 0:
            state.long_prefills -= 1
            state.long_prefill_ms = max(0.0, state.long_prefill_ms - slot.prediction.first_ms)
            self.on_capacity_freed(state)

    def token_ms(self, state: ServiceState) -> float:
        """Estimates the time between tokens at the current load."""
        median_ms = state.model.token_times.quantile(0.5, admission.TOKEN_MS)
        return median_ms * (1 + routing.SLOWDOWN_PER_CALL * max(0.0, state.load))

    def progress(self, slot: Slot, tokens: int) -> None:
        """Records that `tokens` tokens of a generation have arrived in total."""
        if slot.released:
            return
        if slot.first_ms is None:
            self.first_token(slot)
        slot.tokens = tokens
        if tokens > slot.prediction.tokens and not slot.underestimated:
            self.mark_underestimated(slot)
        expected = (tokens - slot.observed_tokens) * slot.expected_interval_ms
        if expected < ejection.JITTER_MS:
            return
        now = self.clock.monotonic_ms()
        target = self.target_stats.target(slot.target)
        target.health = ejection.record_interval(
            target.health, now - slot.last_activity_ms, expected, now
        )
        slot.last_activity_ms = now
        slot.observed_tokens = tokens

    def mark_underestimated(self, slot: Slot) -> None:
        """Marks a call that exceeded its prediction; it may count as long work from then on."""
        slot.underestimated = True
        state = self.services[slot.target.service]
        state.underestimated += 1
        revised_ms = slot.prediction.first_ms + 2 * slot.prediction.rest_ms
        if self.adaptive and not slot.long and state.model.is_long(revised_ms):
            slot.long = True
            self.target_stats.target(slot.target).long += 1
            state.long += 1

    def release(self, slot: Slot, result: CallResult, output_tokens: int) -> None:
        """Ends a call and frees its slot; a second release has no effect."""
        if slot.released:
            return
        slot.released = True
        now = self.clock.monotonic_ms()
        state = self.services[slot.target.service]
        target = self.target_stats.target(slot.target)
        target.slots.discard(slot)
        target.long -= slot.long
        state.long -= slot.long
        if slot.first_ms is None:
            self.end_prefill(state, target, slot)
        target.record_count(now)
        state.held[slot.work.workspace] -= 1
        state.forget(slot.work.workspace)
        took_ms = now - slot.started_ms
        if result is CallResult.ANSWERED:
            expected = slot.prediction.expected_ms
            if not slot.work.max_tokens:
                target.health = ejection.record_interval(target.health, took_ms, expected, now)
            state.durations.add(took_ms)
            state.model.observe_call(slot.work, slot.first_ms, took_ms, output_tokens, expected)
        elif result is CallResult.CONNECT_FAILED:
            target.health = ejection.record_failure(target.health, ejection.FAILURE_LIMIT, now)
        elif result is not CallResult.CANCELLED:
            target.health = ejection.record_failure(target.health, 1.0, now)
        if slot.probe:
            self.end_probe(slot, target, result, took_ms, now)
        if self.adaptive and result is not CallResult.ANSWERED:
            self.target_stats.update_ejections(state, now)
        self.on_capacity_freed(state)

    def end_probe(
        self, slot: Slot, target: TargetState, result: CallResult, took_ms: float, now: float
    ) -> None:
        """Evaluates a probe by its duration; a cancelled one counts only if already too slow."""
        target.probing = False
        if not target.health.ejected:
            return
        slow = took_ms > MAX_PROBE_SLOWDOWN * max(slot.prediction.expected_ms, ejection.JITTER_MS)
        if result is CallResult.CANCELLED and not slow:
            return
        good = result is CallResult.ANSWERED and not slow
        target.health = ejection.after_probe(target.health, good, now)
