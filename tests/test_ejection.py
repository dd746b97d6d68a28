"""Tests of straggler ejection."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork import ejection
from savoryfork.ejection import Health

SLOWDOWNS = st.lists(st.tuples(st.floats(0.5, 100), st.booleans(), st.floats(0, 9)), max_size=30)


class TestCap:
    @settings(derandomize=True)
    @given(SLOWDOWNS)
    def test_share_and_floor_hold_from_any_state(self, items):
        """Too many ejections would send all load to a few targets and overload them."""
        healths = {
            f"t{i}": Health(ejected=out, failures=failures, failed_ms=1_000.0)
            for i, (_, out, failures) in enumerate(items)
        }
        slowdowns = {f"t{i}": slowdown for i, (slowdown, _, _) in enumerate(items)}
        healths |= ejection.review(healths, slowdowns, 1_000.0)
        out = sum(health.ejected for health in healths.values())
        assert out <= ejection.MAX_EJECTED_SHARE * len(healths)
        assert len(healths) - out >= min(len(healths), ejection.MIN_CANDIDATES)

    def test_worst_goes_first(self):
        """With room for one, the slowest must be the one that is ejected."""
        slowdowns = {"a": 4.0, "b": 20.0, "c": 1.0, "d": 1.0}
        changed = ejection.review(dict.fromkeys(slowdowns, Health()), slowdowns, 0.0)
        assert [name for name, health in changed.items() if health.ejected] == ["b"]


class TestEvidence:
    def test_age_counts_before_any_answer(self):
        """A target that stops answering must be seen without waiting for an answer."""
        assert ejection.pending_slowdown([(500.0, 50.0)]) >= ejection.EJECT_THRESHOLD

    def test_one_wrong_prediction_does_not_condemn(self):
        """One call that outgrew its prediction among many on time is no straggler."""
        pending = [(900.0, 100.0)] + [(50.0, 100.0)] * 7
        assert ejection.pending_slowdown(pending) < ejection.EJECT_THRESHOLD

    def test_general_slowdown_ejects_nobody(self):
        """When every target is slow, the load is the cause."""
        slowdowns = {f"t{i}": ejection.relative_slowdown(8.0, 8.0) for i in range(6)}
        assert not ejection.review(dict.fromkeys(slowdowns, Health()), slowdowns, 0.0)

    def test_refused_connection_ejects(self):
        """Calls must not go on to a dead target until it is reported."""
        dead = ejection.record_failure(Health(), ejection.FAILURE_LIMIT, 100.0)
        healths = {"a": dead, "b": Health(), "c": Health()}
        assert ejection.review(healths, dict.fromkeys(healths, 1.0), 100.0)["a"].ejected

    @settings(derandomize=True)
    @given(st.floats(1, 50), st.floats(0, 20_000))
    def test_pace_returns_towards_normal(self, slowdown, age):
        """Without observations old evidence must fade, but never past normal."""
        health = Health(slowdown=slowdown, slowdown_ms=0.0)
        assert 1.0 <= ejection.slowdown_at(health, age) <= slowdown


class TestReturn:
    def test_failed_probes_back_off_and_a_good_one_resets(self):
        """Probes into a target that stays slow must become rare; a good one brings it back."""
        health = Health(ejected=True)
        waits = []
        for _ in range(6):
            health = ejection.after_probe(health, False, 0.0)
            waits.append(health.probe_ms)
        assert waits == sorted(waits) and waits[-1] == ejection.MAX_PROBE_MS
        back = ejection.after_probe(health, True, 0.0)
        assert not back.ejected and back.backoff_ms == ejection.PROBE_MS

    def test_weight_rises_gradually(self):
        """A target that just came back must not get its full part at once."""
        back = ejection.readmitted(Health(ejected=True), 0.0)
        weights = [ejection.weight(back, 1.0, at) for at in (0.0, 500.0, 1_000.0)]
        assert weights[0] < 0.5 < weights[1] < weights[2] == 1.0
        assert ejection.weight(Health(ejected=True), 1.0, 0.0) == 0.0
