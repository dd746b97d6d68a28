"""Request, answer and state of one run."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypedDict

from savoryfork.calls import (
    Scalar,
    StageInput,
)
from savoryfork.pipeline import (
    Configuration,
    Pipeline,
    Workspace,
)

TokenCallback = Callable[[int, str], None]


class RunRequest(NamedTuple):
    """One request, bound to the configuration in effect when it was admitted.

    `deadline_ms` is monotonic, `key` the idempotency key or None, `digest` the digest of the input.
    `first_attempt` is True if the caller declares that it sends the key for the first time.
    """

    request_id: str
    workspace: Workspace
    pipeline: Pipeline
    configuration: Configuration
    text: str
    fields: Mapping[str, Scalar]
    max_tokens: int | None
    priority: int
    deadline_ms: float
    key: str | None
    digest: str
    first_attempt: bool = False


class StageReport(TypedDict):
    """Report on a finished stage for the caller."""

    stage: str
    target: str
    attempts: int
    duration_ms: float


class RunAnswer(TypedDict):
    """The complete answer of a run."""

    request_id: str
    answer: dict[str, Any]
    stages: list[StageReport]
    config_offset: int


class Run:
    """The state of one run.

    `sent` is True once any attempt may have reached a target. `holds_key` is True once the run
    holds its key, so that no earlier run of the key can have taken effect. `final_answer` is the
    answer of a run under a claim whose outcome may not be recorded yet.
    """

    def __init__(self, request: RunRequest, on_token: TokenCallback) -> None:
        self.request = request
        self.on_token = on_token
        self.stage_input = StageInput(
            request.text,
            request.fields,
            max_tokens=request.max_tokens,
            priority=request.priority,
        )
        self.reports: list[StageReport] = []
        self.sent = False
        self.action_sent = False
        self.holds_key = False
        self.final_answer: RunAnswer | None = None
        self.stage: str | None = None

    def answer(self) -> RunAnswer:
        """Returns the complete answer, once every stage has ended."""
        answer: dict[str, Any] = {}
        if self.stage_input.generated:
            answer["text"] = self.stage_input.generated
        if self.stage_input.documents:
            answer["documents"] = [document._asdict() for document in self.stage_input.documents]
        if self.stage_input.action is not None:
            answer["action"] = self.stage_input.action
        return {
            "request_id": self.request.request_id,
            "answer": answer,
            "stages": self.reports,
            "config_offset": self.request.configuration.offset,
        }
