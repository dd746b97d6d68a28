"""Applies what targets say of themselves in the heads of their answers."""

from __future__ import annotations

from savoryfork.forward.connection import Connections
from savoryfork.forward.follower import Follower
from savoryfork.forward.model import AnswerHead, Target


class TargetSignals:
    """Takes targets out of use that say in an answer that they are leaving.

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
