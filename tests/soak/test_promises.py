"""Tests for the soak's checks: each violation must be reported, and nothing else."""

import pytest

from soak import faults
from soak.promises import Attempt, check

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
        ],
    )
    def test_effects_of_faults_are_allowed(self, changes):
        assert violations(GOOD._replace(**changes)) == []

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


class TestPlan:
    def test_same_seed_gives_the_same_faults(self):
        assert faults.plan(7, 10.0, 30) == faults.plan(7, 10.0, 30) != faults.plan(8, 10.0, 30)
        assert {fault.kind for seed in range(9) for fault in faults.plan(seed, 9.0, 20)} == set(
            faults.KINDS
        )
