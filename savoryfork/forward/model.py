"""The values that forwarding works on, free of any names of a wire format.

Times are milliseconds. Those that end in `_at` are readings of the host's suspend-aware clock;
all others are durations.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]


class Repeat(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class StagePlan(NamedTuple):
    """One stage of a route: the pieces of `after` are its inputs; a result has `result_bytes`."""

    service: str
    after: tuple[int, ...]
    result_bytes: int


class Route(NamedTuple):
    """Requests that share a host name and a path prefix.

    `services` pairs each service with its weight. `aim_ms` is the time in which an answer earns
    full credit, `gap_ms` the longest pause between events for which a stream is on time.
    `max_targets` bounds the targets that one request may run on.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout_ms: float
    aim_ms: float
    priority: int
    services: tuple[tuple[str, float], ...]
    max_targets: int
    stages: tuple[StagePlan, ...] = ()
    anonymous: bool = False
    resumable: bool = False
    gap_ms: float = 0.0


class BatchLimits(NamedTuple):
    """How a target of a stage service works: calls of at most `batch` pieces, one at a time.

    `room_bytes` is the space for results of one target, `keep_ms` the time for which an unused
    result is kept.
    """

    slots: int
    batch: int
    call_ms: float
    piece_ms: float
    room_bytes: float
    keep_ms: float


class ServiceInfo(NamedTuple):
    """A service, and how its targets work if it does stage work."""

    name: str
    batch: BatchLimits | None = None


class Workspace(NamedTuple):
    """The owner of a key. A priority of its own goes before that of the route."""

    name: str
    priority: int | None = None


class Catalog(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceInfo]
    keys: Mapping[str, Workspace]
    keyed: bool


class Target(NamedTuple):
    """One incarnation of a target; `born` tells incarnations of one name apart."""

    name: str
    service: str
    address: str
    zone: str
    born: int
    slots: int
    leaving: bool


class PromptPart(NamedTuple):
    """A part of a prompt that may be shared with other requests."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """The size of a prompt and its parts, in order."""

    input_tokens: int
    parts: tuple[PromptPart, ...]


class CallerRequest(NamedTuple):
    """A request as a caller sent it. `headers` are those to pass on.

    `pieces` counts the pieces of each stage, `piece_key` goes to the stages without inputs.
    `allowed_ms` is the time that the caller will wait, None if it did not say.
    """

    id: bytes
    method: bytes
    path: bytes
    host: str
    headers: Headers
    key: str | None
    allowed_ms: float | None
    prompt: Prompt | None
    pieces: tuple[int, ...]
    piece_key: str


class Routing(NamedTuple):
    """What the system adds to a request for one target."""

    target: Target
    remaining_ms: float
    workspace: str | None
    urgency: int | None
    inputs: tuple[str, ...]
    last_event_id: bytes | None


class AnswerHead(NamedTuple):
    """The head of a target's answer.

    `not_run` is the target's promise that it did not run the request; `wrong_target` says that
    another incarnation has the address.
    """

    status: int
    headers: Headers
    request_id: bytes | None
    not_run: bool
    wrong_target: bool
    retry_after_s: float | None
    idle_s: float | None


class Piece(NamedTuple):
    """One piece of stage work: either `key` or `inputs` says what it works on."""

    request_id: str
    stage: int
    number: int
    remaining_ms: float
    key: str | None
    inputs: tuple[str, ...]


class PieceFailure(enum.Enum):
    """Why a target returned no result for a piece."""

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    ERROR = "error"


PieceResult = str | PieceFailure
