"""What callers and targets must never see; each check gives the cases that broke it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)

# Targets that one request may run on, by kind; streams are resumed once.
MOST_RUNS = {"book": 1, "view": 2, "chat": 2}

# Time beyond its deadline within which an undisturbed host has answered, and what this machine may
# add when it is busy.
LATE_S = 0.5
SLACK_S = 0.5

# Time in which a key that was taken away stops working on every host.
REVOCATION_S = 5.0

# The part of the requests after the last fault that must be served, as the platform's rules ask.
RECOVERED_SHARE = 0.25


class Attempt(NamedTuple):
    """One request as its caller saw it; `status` is None if no whole head of an answer came.

    `connected` is False if no connection was made. `disturbed` says that its host was killed,
    frozen or restarting, or this machine's loop paused, at some time during the request.
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
    """One broken promise."""

    promise: str
    attempt: Attempt | None
    detail: str


def check(
    attempts: Sequence[Attempt],
    runs: Mapping[str, int],
    seen: Iterable[Mapping[str, Any]],
    revoked: Mapping[str, float],
) -> list[Break]:
    """All broken promises of a run.

    `runs` counts the runs of each request id over all targets, `seen` are the requests that came to
    targets, `revoked` tells when a key was taken away for good.
    """
    found = [broken for a in attempts for broken in check_attempt(a, runs.get(a.id, 0), revoked)]
    known = {attempt.id for attempt in attempts}
    found += [Break("unasked", None, request_id) for request_id in runs if request_id not in known]
    keys = {attempt.key for attempt in attempts}
    for request in seen:
        if keys & set(request.get("headers", {}).values()):
            found.append(Break("key_passed_on", None, request["path"]))
    return found + check_recovery([attempt for attempt in attempts if attempt.calm])


def check_attempt(attempt: Attempt, ran: int, revoked: Mapping[str, float]) -> list[Break]:
    """The promises that one request alone can break."""
    found = []
    if attempt.status == 200 and attempt.whole and not attempt.right:
        found.append(Break("wrong_answer", attempt, "another content than its own"))
    if ran > MOST_RUNS[attempt.kind]:
        found.append(Break("ran_too_often", attempt, f"ran {ran} times"))
    if attempt.status in PROMISES and ran:
        found.append(Break("refused_but_ran", attempt, f"ran {ran} times"))
    gone_at = revoked.get(attempt.key)
    if ran and gone_at is not None and attempt.sent_at > gone_at + REVOCATION_S:
        late_s = attempt.sent_at - gone_at
        found.append(Break("revoked_key", attempt, f"{late_s:.2f} s after it was taken away"))
    took_s = attempt.ended_at - attempt.sent_at
    if not attempt.disturbed and took_s > attempt.deadline_s + LATE_S + SLACK_S:
        found.append(Break("late", attempt, f"took {took_s:.2f} s"))
    cut = attempt.connected and attempt.status is None and not attempt.disturbed
    if cut and took_s < attempt.deadline_s and ran:
        found.append(Break("cut", attempt, f"no answer after {took_s:.2f} s"))
    return found


def check_recovery(calm: Sequence[Attempt]) -> list[Break]:
    """After the last fault, requests are served."""
    served = sum(attempt.status == 200 and attempt.whole for attempt in calm)
    if served < RECOVERED_SHARE * len(calm) or not calm:
        others = Counter(
            f"{a.kind} at host {a.host}: {a.status if a.connected else 'no connection'}"
            for a in calm
            if a.status != 200
        )
        return [Break("recovery", None, f"{served} of {len(calm)} served; {dict(others)}")]
    return []
