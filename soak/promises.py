"""Checks what callers and targets saw in a run against the guarantees; returns violations."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence, Set
from typing import Any, NamedTuple

# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)

# Maximum number of targets that may run one request, by kind; streams are resumed once.
MAX_RUNS = {"book": 1, "view": 2, "chat": 2, "open": 2}

# A key that no configuration ever holds.
NEVER_HELD_KEY = "key-never-held"

# Final refusals by a host, which no caller without a key gets on a route that needs none.
DENIALS = (401, 403, 404)

# An undisturbed host responds at most this long after the deadline.
DEADLINE_GRACE_S = 0.5

# Additional allowance for a busy machine.
BUSY_ALLOWANCE_S = 0.5

# A revoked key stops working on every host within this time.
KEY_REVOCATION_S = 5.0

# A published key works on every undisturbed host within this time, while the store is there.
CONFIG_APPLY_S = 5.0

# Fraction of the requests after the last fault that the platform's rules require to be served.
MIN_SERVED_SHARE = 0.25


class Attempt(NamedTuple):
    """One request as its caller saw it; `status` is None without a complete response head.

    `key` is None if it had none. `connected` is False if connecting failed. `disturbed` is True if,
    during the request, its host was killed, frozen or restarting, or the event loop of this process
    was delayed. `incarnation` is the start of the host's process, None if it was restarted during
    the request.
    """

    id: str
    kind: str
    host: int
    key: str | None
    sent_at: float
    ended_at: float
    deadline_s: float
    status: int | None
    right: bool
    whole: bool
    connected: bool
    disturbed: bool
    calm: bool
    incarnation: float | None = None


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
    keys = {attempt.key for attempt in attempts if attempt.key is not None}
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
    if ran and attempt.key == NEVER_HELD_KEY:
        violations.append(Break("unknown_key", attempt, f"ran {ran} times"))
    if attempt.key is None and attempt.status in DENIALS:
        violations.append(Break("denied", attempt, f"status {attempt.status} without a key"))
    revoked_at = revoked.get(attempt.key) if attempt.key is not None else None
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


def check_incarnations(
    attempts: Sequence[Attempt], runs: Mapping[str, int], revoked: Mapping[str, float]
) -> list[Break]:
    """Returns where one incarnation of a host went back to an older configuration.

    That is, where it refused a key that it had served and that is still valid, or ran a request
    with a key that it had refused since the key was revoked.
    """
    violations = []
    served: dict[tuple[int, float, str], float] = {}
    refused: dict[tuple[int, float, str], float] = {}
    for attempt in sorted(attempts, key=lambda a: a.ended_at):
        if attempt.incarnation is None:
            continue
        scope = (attempt.host, attempt.incarnation, attempt.key or "")
        revoked_at = revoked.get(attempt.key or "", math.inf)
        ran = runs.get(attempt.id, 0) > 0
        if attempt.status == 200 and attempt.whole:
            served.setdefault(scope, attempt.ended_at)
        if attempt.status == 401 and attempt.sent_at > revoked_at:
            refused.setdefault(scope, attempt.ended_at)
        valid = attempt.ended_at < revoked_at
        if attempt.status == 401 and valid and served.get(scope, math.inf) < attempt.sent_at:
            violations.append(Break("went_back", attempt, "a valid key that was served before"))
        if ran and refused.get(scope, math.inf) < attempt.sent_at:
            violations.append(Break("went_back", attempt, "a revoked key that was refused before"))
    return violations


def check_applied(
    attempts: Sequence[Attempt],
    published: Mapping[str, float],
    revoked: Mapping[str, float],
    outages: Sequence[tuple[float, float]],
) -> list[Break]:
    """Returns the requests with a valid key that a host refused too long after it was published.

    `published` has the time of each key, `outages` the times at which the store was disturbed.
    """
    violations = []
    for attempt in attempts:
        key = attempt.key
        if key is None or key not in published:
            continue
        since = attempt.sent_at - CONFIG_APPLY_S
        valid = published[key] < since and attempt.ended_at < revoked.get(key, math.inf)
        reached = not any(began <= attempt.ended_at and since <= ended for began, ended in outages)
        if attempt.status == 401 and valid and reached and not attempt.disturbed:
            age_s = attempt.sent_at - published[key]
            violations.append(
                Break("not_applied", attempt, f"{age_s:.2f} s after its key was published")
            )
    return violations


def check_pauses(attempts: Sequence[Attempt], broken_off: Set[str]) -> list[Break]:
    """Returns the streams that were cut because their sound target was silent for a moment.

    `broken_off` are the requests whose host left their target during such a pause.
    """
    return [
        Break("silence", attempt, "cut while its target was silent")
        for attempt in attempts
        if attempt.id in broken_off
        and attempt.status == 200
        and not attempt.whole
        and not attempt.disturbed
        and attempt.ended_at - attempt.sent_at < attempt.deadline_s
    ]


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
