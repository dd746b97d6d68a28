"""Tests for work prediction, queue order, shares and admission."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork import admission
from savoryfork.admission import Work, WorkModel
from savoryfork.util.window import Window


def work(**changes: object) -> Work:
    base = Work("w", "p", "s", 5, 100, 100, 10_000.0, "", 1.0)
    return base._replace(**changes)  # type: ignore[arg-type]


class TestWindow:
    @settings(derandomize=True)
    @given(st.lists(st.floats(0, 1e6), min_size=1), st.integers(1, 8), st.floats(0, 1))
    def test_equals_sorting_the_last_values(self, values, size, q):
        """Guards against a wrong eviction that leaves old extremes in the quantiles."""
        window = Window(size)
        for value in values:
            window.add(value)
        last = sorted(values[-size:])
        assert window.quantile(q) == last[round(q * (len(last) - 1))]


class TestPrediction:
    @settings(derandomize=True)
    @given(st.lists(st.integers(1, 100), min_size=8, max_size=40), st.integers(10, 5_000))
    def test_lower_bound_is_below_expectation_and_all_observations(self, outputs, prompt):
        """Guards against a lower bound above a real duration, which refuses feasible calls."""
        model = WorkModel()
        item = work(prompt_tokens=prompt)
        totals = []
        for tokens in outputs:
            first = 50.0 + 0.1 * prompt
            totals.append(first + 20.0 * (tokens - 1))
            model.observe_call(item, first, totals[-1], tokens, 100.0)
        prediction = model.predict(item)
        assert prediction.lower_ms <= prediction.expected_ms + 1e-6
        assert prediction.lower_ms <= min(totals) + 1e-6
        assert prediction.tokens <= item.max_tokens

    def test_no_lower_bound_with_few_observations(self):
        """Guards against refusals by a host that has just started and has few observations."""
        model = WorkModel()
        model.observe_call(work(), 1_000.0, 5_000.0, 90, 100.0)
        assert model.predict(work()).lower_ms == 0.0

    def test_long_is_relative_to_short_work(self):
        """Guards against limiting long work when all work is equally long."""
        model = WorkModel()
        for _ in range(50):
            model.expected_times.add(10_000.0)
        assert not model.is_long(12_000.0)
        for _ in range(5):
            model.expected_times.add(500.0)
        assert model.is_long(10_000.0)


class TestOrder:
    @settings(derandomize=True)
    @given(st.integers(0, 9), st.floats(0, 60_000), st.floats(0, 60_000), st.floats(0, 1e5))
    def test_starvation_is_bounded_by_ageing(self, priority, expected, other, arrived):
        """Guards against starvation: no call arriving expected / AGING_RATE later may overtake."""
        late = arrived + expected / admission.AGING_RATE + 1.0
        item = work(priority=priority)
        assert admission.rank(item, expected, arrived) < admission.rank(item, other, late)

    def test_priority_comes_before_size(self):
        """Guards against a short low-priority call overtaking a long high-priority one."""
        first = admission.rank(work(priority=1), 9_000.0, 500.0)
        assert first < admission.rank(work(priority=2), 1.0, 0.0)


class TestShares:
    @settings(derandomize=True, max_examples=50)
    @given(st.lists(st.integers(1, 9), min_size=2, max_size=5), st.integers(10, 60))
    def test_slots_follow_the_weights(self, weights, slots):
        """Guards against unfair slots when all workspaces wait: each gets its weighted share."""
        shares = {f"w{i}": float(weight) for i, weight in enumerate(weights)}
        held = dict.fromkeys(shares, 0)
        for _ in range(slots):
            within = [w for w in shares if not admission.exceeds_share(held, shares, w)]
            held[(within or list(shares))[0]] += 1
        for name, weight in shares.items():
            assert abs(held[name] - slots * weight / sum(shares.values())) <= len(shares)

    def test_queue_is_shared_under_contention(self):
        """Guards against one workspace filling the queue."""
        shares = {"a": 1.0, "b": 1.0}
        assert not admission.may_queue({"a": 500}, shares, "a", 1_000)
        assert admission.may_queue({"a": 500}, shares, "b", 1_000)
        assert admission.may_queue({"a": 10}, shares, "a", 1_000)
        assert not admission.may_queue({"a": 500, "b": 500}, shares, "b", 1_000)


class TestAdmission:
    def test_lower_priority_is_refused_first(self):
        """Guards against refusing the higher priority of two equal requests near the limit."""
        stages = [(1_000.0, 500.0), (0.0, 300.0)]
        times = [admission.request_ms(stages, priority) for priority in range(10)]
        assert times == sorted(times) and times[0] < times[9]

    @settings(derandomize=True)
    @given(st.floats(0, 1e6), st.floats(0, 1e6), st.floats(0, 1e6))
    def test_nothing_starts_past_its_deadline(self, now, lower, deadline):
        """Guards against capacity spent on calls that cannot meet their deadline."""
        if admission.can_meet_deadline(now, lower, deadline):
            assert now < deadline and now + lower <= deadline
