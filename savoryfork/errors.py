"""Error kinds and the HTTP status and flags reported for each."""

from __future__ import annotations

import enum
from typing import Any, NamedTuple


class Ran(enum.StrEnum):
    """Reports whether a refused or failed request took effect."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(enum.StrEnum):
    """All kinds of errors that the system reports for a request."""

    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_PIPELINE = "unknown_pipeline"
    UNKNOWN_REQUEST = "unknown_request"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_KEY_INVALID = "idempotency_key_invalid"
    IDEMPOTENCY_KEY_EXPIRED = "idempotency_key_expired"
    IDEMPOTENCY_KEY_MISMATCH = "idempotency_key_mismatch"
    REQUEST_IN_PROGRESS = "request_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NOT_READY = "not_ready"
    STALE_CONFIGURATION = "stale_configuration"
    LOG_UNAVAILABLE = "log_unavailable"
    NO_TARGETS = "no_targets"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    STAGE_FAILED = "stage_failed"
    ACTION_REJECTED = "action_rejected"
    ANSWER_INCOMPLETE = "answer_incomplete"
    PUBLICATION_INVALID = "publication_invalid"
    PUBLICATION_CONFLICT = "publication_conflict"
    PUBLICATION_UNKNOWN = "publication_unknown"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """HTTP status and flags that a caller receives for an error kind."""

    status: int
    ran: Ran
    retry: bool


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.MALFORMED_REQUEST: Answer(400, Ran.NO, False),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Ran.NO, False),
    ErrorKind.BODY_TOO_SLOW: Answer(408, Ran.NO, True),
    ErrorKind.UNAUTHORIZED: Answer(401, Ran.NO, False),
    ErrorKind.UNKNOWN_PIPELINE: Answer(404, Ran.NO, False),
    ErrorKind.UNKNOWN_REQUEST: Answer(404, Ran.NO, False),
    ErrorKind.IDEMPOTENCY_KEY_REQUIRED: Answer(400, Ran.NO, False),
    ErrorKind.IDEMPOTENCY_KEY_INVALID: Answer(400, Ran.NO, False),
    ErrorKind.IDEMPOTENCY_KEY_EXPIRED: Answer(409, Ran.UNKNOWN, False),
    ErrorKind.IDEMPOTENCY_KEY_MISMATCH: Answer(409, Ran.NO, False),
    ErrorKind.REQUEST_IN_PROGRESS: Answer(409, Ran.UNKNOWN, True),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, Ran.UNKNOWN, False),
    ErrorKind.OVERLOADED: Answer(429, Ran.NO, True),
    ErrorKind.DEADLINE_UNREACHABLE: Answer(503, Ran.NO, True),
    ErrorKind.NOT_READY: Answer(503, Ran.NO, True),
    ErrorKind.STALE_CONFIGURATION: Answer(503, Ran.NO, True),
    ErrorKind.LOG_UNAVAILABLE: Answer(503, Ran.NO, True),
    ErrorKind.NO_TARGETS: Answer(503, Ran.NO, True),
    ErrorKind.PROMPT_QUARANTINED: Answer(503, Ran.NO, True),
    ErrorKind.REQUEST_QUARANTINED: Answer(503, Ran.NO, True),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, Ran.NO, True),
    ErrorKind.STAGE_FAILED: Answer(502, Ran.NO, True),
    ErrorKind.ACTION_REJECTED: Answer(422, Ran.YES, False),
    ErrorKind.ANSWER_INCOMPLETE: Answer(502, Ran.UNKNOWN, True),
    ErrorKind.PUBLICATION_INVALID: Answer(422, Ran.NO, False),
    ErrorKind.PUBLICATION_CONFLICT: Answer(409, Ran.NO, False),
    ErrorKind.PUBLICATION_UNKNOWN: Answer(502, Ran.UNKNOWN, True),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN, False),
}


class ServiceError(Exception):
    """A refusal or failure of one of the error kinds.

    `ran` overrides the value in `ANSWERS` for kinds where it depends on what was already sent: an
    idempotent run that reached a target reports `deadline_exceeded` with `ran` unknown.

    >>> error = ServiceError(ErrorKind.OVERLOADED, "the queue is full")
    >>> error.answer.status, error.ran.value, str(error)
    (429, 'no', 'the queue is full')
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        ran: Ran | None = None,
        stage: str | None = None,
        details: Any = None,
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.stage = stage
        self.details = details
        self.ran = ran if ran is not None else ANSWERS[kind].ran
        self.key_claimed = False

    @property
    def answer(self) -> Answer:
        """Returns the entry of `ANSWERS` for this error's kind."""
        return ANSWERS[self.kind]

    def allow_earlier_run(self) -> None:
        """Changes `ran` from no to unknown, for errors raised before the key's state was known.

        The refused request did not run, but an earlier one with the same idempotency key may have,
        and `ran` refers to the key. Errors that are not retryable are left unchanged, and so are
        errors of a run that had claimed the key (`key_claimed`).
        """
        if self.ran is Ran.NO and self.answer.retry and not self.key_claimed:
            self.ran = Ran.UNKNOWN

    def body(self, request_id: str) -> dict[str, Any]:
        """Returns the JSON body that reports this error to a caller or an operator."""
        error: dict[str, Any] = {
            "kind": self.kind.value,
            "message": str(self),
            "ran": self.ran.value,
            "retry": self.answer.retry,
            "request_id": request_id,
        }
        if self.stage is not None:
            error["stage"] = self.stage
        if self.details is not None:
            error["details"] = self.details
        return {"error": error}


class UserError(Exception):
    """A usage error on the command line: shown as a message without a traceback."""
