"""Tests for straggler ejection."""

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
        """Guards against too many ejections, which overload the remaining targets."""
        healths = {
            f"t{i}": Health(ejected=is_ejected, failures=failures, failed_ms=1_000.0)
            for i, (_, is_ejected, failures) in enumerate(items)
        }
        slowdowns = {f"t{i}": slowdown for i, (slowdown, _, _) in enumerate(items)}
        healths |= ejection.review(healths, slowdowns, 1_000.0)
        count = sum(health.ejected for health in healths.values())
        assert count <= ejection.MAX_EJECTED_SHARE * len(healths)
        assert len(healths) - count >= min(len(healths), ejection.MIN_CANDIDATES)

    def test_worst_is_ejected_first(self):
        """Guards against ejecting a less slow target when the cap allows only one."""
        slowdowns = {"a": 4.0, "b": 20.0, "c": 1.0, "d": 1.0}
        changed = ejection.review(dict.fromkeys(slowdowns, Health()), slowdowns, 0.0)
        assert [name for name, health in changed.items() if health.ejected] == ["b"]


class TestDetection:
    def test_age_counts_before_any_answer(self):
        """Guards against a hung target that is not detected because it never answers."""
        assert ejection.pending_slowdown([(500.0, 50.0)]) >= ejection.EJECT_THRESHOLD

    def test_one_wrong_prediction_does_not_eject(self):
        """Guards against ejection for one call that exceeded its prediction among many on time."""
        pending = [(900.0, 100.0)] + [(50.0, 100.0)] * 7
        assert ejection.pending_slowdown(pending) < ejection.EJECT_THRESHOLD

    def test_general_slowdown_ejects_no_target(self):
        """Guards against ejections when high load slows all targets."""
        slowdowns = {f"t{i}": ejection.relative_slowdown(8.0, 8.0) for i in range(6)}
        assert not ejection.review(dict.fromkeys(slowdowns, Health()), slowdowns, 0.0)

    def test_refused_connection_ejects(self):
        """Guards against calls to a dead target until the platform reports it."""
        dead = ejection.record_failure(Health(), ejection.FAILURE_LIMIT, 100.0)
        healths = {"a": dead, "b": Health(), "c": Health()}
        assert ejection.review(healths, dict.fromkeys(healths, 1.0), 100.0)["a"].ejected

    @settings(derandomize=True)
    @given(st.floats(1, 50), st.floats(0, 20_000))
    def test_slowdown_decays_towards_normal(self, slowdown, age):
        """Guards against a slowdown that does not decay, or decays below normal."""
        health = Health(slowdown=slowdown, slowdown_ms=0.0)
        assert 1.0 <= ejection.slowdown_at(health, age) <= slowdown


class TestReturn:
    def test_failed_probes_back_off_and_a_good_one_resets(self):
        """Guards against frequent probes of a target that stays slow, and a backoff never reset."""
        health = Health(ejected=True)
        waits = []
        for _ in range(6):
            health = ejection.after_probe(health, False, 0.0)
            waits.append(health.probe_ms)
        assert waits == sorted(waits) and waits[-1] == ejection.MAX_PROBE_MS
        back = ejection.after_probe(health, True, 0.0)
        assert not back.ejected and back.backoff_ms == ejection.PROBE_MS

    def test_weight_rises_gradually(self):
        """Guards against full load on a target that was just readmitted."""
        back = ejection.readmitted(Health(ejected=True), 0.0)
        weights = [ejection.weight(back, 1.0, at) for at in (0.0, 500.0, 1_000.0)]
        assert weights[0] < 0.5 < weights[1] < weights[2] == 1.0
        assert ejection.weight(Health(ejected=True), 1.0, 0.0) == 0.0
