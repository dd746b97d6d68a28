"""Checks what callers and targets saw in a run against the guarantees; returns violations."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)

# Maximum number of targets that may run one request, by kind; streams are resumed once.
MAX_RUNS = {"book": 1, "view": 2, "chat": 2}

# An undisturbed host responds at most this long after the deadline.
DEADLINE_GRACE_S = 0.5

# Additional allowance for a busy machine.
BUSY_ALLOWANCE_S = 0.5

# A revoked key stops working on every host within this time.
KEY_REVOCATION_S = 5.0

# Fraction of the requests after the last fault that the platform's rules require to be served.
MIN_SERVED_SHARE = 0.25


class Attempt(NamedTuple):
    """One request as its caller saw it; `status` is None without a complete response head.

    `connected` is False if connecting failed. `disturbed` is True if, during the request, its host
    was killed, frozen or restarting, or the event loop of this process was delayed.
    """

    id: str
    kind: str
    host: int
    key: str
    sent_at: float
    ended_at: float
    deadline_s: float
    status: int | None
    right: bool
    whole: bool
    connected: bool
    disturbed: bool
    calm: bool


class Break(NamedTuple):
    """One violated guarantee."""

    promise: str
    attempt: Attempt | None
    detail: str


def check(
    attempts: Sequence[Attempt],
    runs: Mapping[str, int],
    received: Iterable[Mapping[str, Any]],
    revoked: Mapping[str, float],
) -> list[Break]:
    """Returns all violated guarantees of a run.

    `runs` counts the runs of each request id over all targets, `received` has the requests that
    reached targets, and `revoked` the revocation time of each revoked key.
    """
    violations = [
        broken for a in attempts for broken in check_attempt(a, runs.get(a.id, 0), revoked)
    ]
    known = {attempt.id for attempt in attempts}
    violations += [
        Break("unasked", None, request_id) for request_id in runs if request_id not in known
    ]
    keys = {attempt.key for attempt in attempts}
    for request in received:
        if keys & set(request.get("headers", {}).values()):
            violations.append(Break("key_passed_on", None, request["path"]))
    return violations + check_recovery([attempt for attempt in attempts if attempt.calm])


def check_attempt(attempt: Attempt, ran: int, revoked: Mapping[str, float]) -> list[Break]:
    """Returns the guarantees that one request violates by itself."""
    violations = []
    if attempt.status == 200 and attempt.whole and not attempt.right:
        violations.append(Break("wrong_answer", attempt, "the body is not the expected one"))
    if ran > MAX_RUNS[attempt.kind]:
        violations.append(Break("ran_too_often", attempt, f"ran {ran} times"))
    if attempt.status in NOT_RUN_STATUSES and ran:
        violations.append(Break("refused_but_ran", attempt, f"ran {ran} times"))
    revoked_at = revoked.get(attempt.key)
    if ran and revoked_at is not None and attempt.sent_at > revoked_at + KEY_REVOCATION_S:
        sent_after_s = attempt.sent_at - revoked_at
        violations.append(
            Break("revoked_key", attempt, f"sent {sent_after_s:.2f} s after the revocation")
        )
    took_s = attempt.ended_at - attempt.sent_at
    if not attempt.disturbed and took_s > attempt.deadline_s + DEADLINE_GRACE_S + BUSY_ALLOWANCE_S:
        violations.append(Break("late", attempt, f"took {took_s:.2f} s"))
    cut = attempt.connected and attempt.status is None and not attempt.disturbed
    if cut and took_s < attempt.deadline_s and ran:
        violations.append(
            Break("cut", attempt, f"connection closed without a response after {took_s:.2f} s")
        )
    return violations


def check_recovery(calm: Sequence[Attempt]) -> list[Break]:
    """Checks that enough requests are served after the last fault."""
    served = sum(attempt.status == 200 and attempt.whole for attempt in calm)
    if served < MIN_SERVED_SHARE * len(calm) or not calm:
        unserved = Counter(
            f"{a.kind} at host {a.host}: {a.status if a.connected else 'no connection'}"
            for a in calm
            if a.status != 200
        )
        return [Break("recovery", None, f"{served} of {len(calm)} served; {dict(unserved)}")]
    return []
