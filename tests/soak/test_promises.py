"""Tests for the soak's checks: each violation must be reported, and nothing else."""

import pytest

from soak import faults
from soak.promises import (
    NEVER_HELD_KEY,
    Attempt,
    check,
    check_applied,
    check_incarnations,
    check_pauses,
)

GOOD = Attempt(
    id="r1",
    kind="book",
    host=0,
    key="k",
    sent_at=100.0,
    ended_at=100.1,
    deadline_s=3.0,
    status=200,
    right=True,
    whole=True,
    connected=True,
    disturbed=False,
    calm=True,
)


def violations(
    attempt: Attempt, ran: int = 1, revoked: dict[str, float] | None = None
) -> list[str]:
    """Returns the violations of a run with this request and a served one after the last fault."""
    attempts = [GOOD._replace(id="r0", key="other"), attempt]
    return [b.promise for b in check(attempts, {"r0": 1, attempt.id: ran}, [], revoked or {})]


class TestOneRequest:
    def test_served_request_violates_nothing(self):
        assert violations(GOOD) == []

    @pytest.mark.parametrize(
        ("changes", "ran", "promise"),
        [
            ({"right": False}, 1, "wrong_answer"),
            ({}, 2, "ran_too_often"),
            ({"kind": "view"}, 3, "ran_too_often"),
            ({"status": 503}, 1, "refused_but_ran"),
            ({"status": 504, "ended_at": 104.5}, 0, "late"),
            ({"status": None, "whole": False}, 1, "cut"),
            ({"kind": "open", "key": NEVER_HELD_KEY}, 1, "unknown_key"),
            ({"kind": "open", "key": None, "status": 401}, 0, "denied"),
        ],
    )
    def test_violation_is_reported(self, changes, ran, promise):
        assert violations(GOOD._replace(**changes), ran) == [promise]

    @pytest.mark.parametrize(
        "changes",
        [
            {"status": 504, "ended_at": 104.5, "disturbed": True},
            {"status": None, "whole": False, "disturbed": True},
            {"status": None, "whole": False, "connected": False},
            {"status": 502},
            {"kind": "open", "key": None},
        ],
    )
    def test_effects_of_faults_are_allowed(self, changes):
        assert violations(GOOD._replace(**changes)) == []

    def test_key_that_was_never_held_is_refused(self):
        refused = GOOD._replace(kind="open", key=NEVER_HELD_KEY, status=401)
        assert violations(refused, ran=0) == []

    def test_revoked_key_runs_only_within_the_revocation_time(self):
        assert violations(GOOD, revoked={"k": 95.5}) == []
        assert violations(GOOD, revoked={"k": 94.9}) == ["revoked_key"]


class TestWholeRun:
    def test_run_without_a_request(self):
        found = check([GOOD], {"r1": 1, "stranger": 1}, [], {})
        assert [b.promise for b in found] == ["unasked"]

    def test_key_forwarded_to_a_target(self):
        seen = [{"path": "/book/x", "headers": {"Key": "k"}}]
        assert [b.promise for b in check([GOOD], {"r1": 1}, seen, {})] == ["key_passed_on"]

    def test_too_few_requests_served_after_the_faults(self):
        refused = GOOD._replace(status=503)
        assert [b.promise for b in check([refused], {}, [], {})] == ["recovery"]


class TestConfiguration:
    def test_valid_key_that_was_served_before(self):
        """Guards against a soak that overlooks a host that forgets a configuration."""
        served = GOOD._replace(incarnation=1.0)
        refused = served._replace(id="r2", status=401, sent_at=101.0, ended_at=101.1)
        found = check_incarnations([served, refused], {"r1": 1}, {})
        assert [b.promise for b in found] == ["went_back"]
        other = refused._replace(incarnation=2.0)
        assert check_incarnations([served, other], {"r1": 1}, {"k": 200.0}) == []
        assert check_incarnations([served, refused], {"r1": 1}, {"k": 100.5}) == []

    def test_revoked_key_that_was_refused_before(self):
        """Guards against a soak that overlooks a key that comes back within the time to revoke."""
        refused = GOOD._replace(id="r0", status=401, incarnation=1.0)
        ran = GOOD._replace(sent_at=101.0, ended_at=101.1, incarnation=1.0)
        found = check_incarnations([refused, ran], {"r1": 1}, {"k": 99.0})
        assert [b.promise for b in found] == ["went_back"]
        assert check_incarnations([refused, ran], {"r1": 1}, {"k": 100.05}) == []

    @pytest.mark.parametrize(
        ("published", "outages", "count"),
        [(94.0, [], 1), (96.0, [], 0), (94.0, [(90.0, 96.0)], 0), (94.0, [(90.0, 94.5)], 1)],
    )
    def test_published_key_that_is_refused(self, published, outages, count):
        """Guards against a soak that overlooks a configuration that never takes effect."""
        refused = GOOD._replace(status=401)
        assert len(check_applied([refused], {"k": published}, {}, outages)) == count

    def test_stream_cut_while_its_target_was_silent(self):
        """Guards against a soak that overlooks streams of sound targets that were cut."""
        cut = GOOD._replace(kind="chat", whole=False, right=False)
        assert [b.promise for b in check_pauses([cut], {"r1"})] == ["silence"]
        assert check_pauses([cut], set()) == check_pauses([GOOD], {"r1"}) == []


class TestPlan:
    def test_same_seed_gives_the_same_faults(self):
        assert faults.plan(7, 10.0, 30) == faults.plan(7, 10.0, 30) != faults.plan(8, 10.0, 30)
        assert {fault.kind for seed in range(9) for fault in faults.plan(seed, 9.0, 20)} == set(
            faults.KINDS
        )
