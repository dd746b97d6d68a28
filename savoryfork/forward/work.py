"""The stages of one request and their results."""

from __future__ import annotations

import enum
from collections.abc import Sequence

from savoryfork.forward import planning
from savoryfork.forward.cells import UNDIVIDED, Cell
from savoryfork.forward.messages import StageResult
from savoryfork.forward.model import StagePlan


class StageFailure(enum.Enum):
    """The reason why the stages of a request ended without all results."""

    LATE = "late"
    OVERLOADED = "overloaded"
    INPUT_GONE = "input_gone"
    NO_TARGETS = "no_targets"
    FAILED = "failed"
    QUARANTINED = "quarantined"


class StageError(Exception):
    """The stages of a request failed; the request itself was not sent."""

    def __init__(self, failure: StageFailure, stage: int, retry_ms: float) -> None:
        super().__init__(failure.value)
        self.failure = failure
        self.stage = stage
        self.retry_ms = retry_ms


class Work:
    """The stage work of one request.

    `aim_at` is when the stages must have finished for the request to be on time, `zone` where the
    results are needed. `coordinator_address` is the host that had the results produced. `late` is
    True if the request is not expected to be on time, `started` once a call was made for it. `cell`
    selects the targets that may be used. `freed` are the stages whose results have been freed.
    `fingerprint` is the hash by which the request is quarantined, 0 if its host sends none.
    `isolated` is True once a target has crashed in a call with its pieces. `workspace` is the name
    of the caller's workspace, `over_share` True if that had exceeded its share on admission,
    `capacity_ms` what the work takes of all capacity (see `shares`).
    """

    def __init__(
        self,
        request_id: str,
        plans: Sequence[StagePlan],
        pieces: Sequence[int],
        key: str,
        priority: int,
        deadline_at: float,
        aim_at: float,
        zone: str | None,
        cell: Cell = UNDIVIDED,
        fingerprint: int = 0,
        workspace: str = "",
    ) -> None:
        self.request_id = request_id
        self.plans = tuple(plans)
        self.pieces = tuple([*pieces, *[0] * len(plans)][: len(plans)])
        self.stages = [stage for stage, count in enumerate(self.pieces) if count]
        self.needed = {
            stage: planning.stage_dependencies(self.plans, self.pieces, stage)
            for stage in self.stages
        }
        self.last_stages = [stage for stage in self.stages if not self.dependents(stage)]
        self.key = key
        self.priority = priority
        self.deadline_at = deadline_at
        self.aim_at = aim_at
        self.zone = zone
        self.cell = cell
        self.fingerprint = fingerprint
        self.workspace = workspace
        self.over_share = False
        self.capacity_ms = 0.0
        self.isolated = False
        self.coordinator_address = ""
        self.late = False
        self.started = False
        self.predicted_end_at = 0.0
        self.retry_ms = 0.0
        self.results: dict[int, list[StageResult]] = {}
        self.freed: set[int] = set()

    def urgency(self) -> tuple[int, bool]:
        """Returns the order of urgency: by priority, then work of workspaces within their share."""
        return self.priority, self.over_share

    def nonempty_stages(self) -> list[int]:
        """Returns the stages that have pieces."""
        return self.stages

    def dependencies(self, stage: int) -> list[int]:
        """Returns the nonempty stages whose results a stage needs."""
        return self.needed[stage]

    def dependents(self, stage: int) -> list[int]:
        """Returns the nonempty stages that need the results of a stage."""
        return [later for later in self.stages if stage in self.needed[later]]

    def final_stages(self) -> list[int]:
        """Returns the nonempty stages whose results the target of the request needs."""
        return self.last_stages

    def input_handles(self) -> tuple[str, ...]:
        """Returns the result handles that the target of the request needs."""
        return tuple(r.handle for stage in self.final_stages() for r in self.results.get(stage, []))
