"""Tests for the error kinds."""

from savoryfork.errors import ANSWERS, ErrorKind, Ran, ServiceError


class TestAnswers:
    def test_every_kind_has_an_answer(self) -> None:
        """Guards against an error kind whose report raises KeyError."""
        assert set(ANSWERS) == set(ErrorKind)

    def test_body_carries_the_override_of_ran(self) -> None:
        """Guards against reporting "not run" for a run that reached a target."""
        error = ServiceError(ErrorKind.DEADLINE_EXCEEDED, "too late", ran=Ran.UNKNOWN)
        assert error.body("r")["error"]["ran"] == "unknown"
