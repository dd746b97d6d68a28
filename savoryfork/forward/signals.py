"""Applies what targets say of themselves in the heads of their answers."""

from __future__ import annotations

import logging

from savoryfork.forward.connection import REFUSED, Connections, TargetError
from savoryfork.forward.follower import Follower
from savoryfork.forward.model import AnswerHead, Target
from savoryfork.util import logs

log = logging.getLogger(__name__)


class TargetSignals:
    """Takes targets out of use that say in an answer that they are leaving, or want nothing for a
    time.

    The mark is read from the head, so that a stream says it as it begins, and counts whatever the
    rest of the answer is. An answer to another request is not read: it may be older than the
    connection's target, or no answer at all, and nothing would take a wrong mark back.
    """

    def __init__(self, follower: Follower, connections: Connections) -> None:
        self.follower = follower
        self.connections = connections

    def observe(self, target: Target, answer: AnswerHead) -> None:
        """Applies the head of an answer that belongs to a request to a target."""
        if answer.leaving and self.follower.record_leaving(target):
            self.connections.close_idle_to(target.address)
        push_backs = self.follower.registry.push_backs
        now = self.follower.now()
        if not answer.wrong_target and self.follower.registry.warmups.record_answer(
            target, answer.cold_ms, now
        ):
            self.log_cold(target, "answer", now)
        if answer.push_back_s is not None:
            if push_backs.record(target, answer.push_back_s, now):
                logs.event(
                    log,
                    "target_pushed_back",
                    target=target.name,
                    service=target.service,
                    address=target.address,
                    source="answer",
                    retry_after_s=answer.push_back_s,
                    for_ms=round(push_backs.blocked_until(target) - now),
                    not_run=answer.not_run,
                )
        elif not answer.not_run and not answer.wrong_target:
            push_backs.record_accepted(target, now)

    def observe_failure(self, target: Target, error: TargetError) -> None:
        """Applies a failed call: a target that refuses connections may come back cold."""
        now = self.follower.now()
        if error.reason == REFUSED and self.follower.registry.warmups.record_refused(target, now):
            self.log_cold(target, "refused", now)

    def log_cold(self, target: Target, source: str, now: float) -> None:
        """Logs that a target is taken for cold."""
        logs.event(
            log,
            "target_cold",
            target=target.name,
            service=target.service,
            address=target.address,
            source=source,
            for_ms=round(self.follower.registry.warmups.cold_until(target) - now),
        )
