"""Data types of forwarding, independent of the wire format.

Times are milliseconds. Those that end in `_at` are readings of the host's suspend-aware clock;
all others are durations.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]


class Repeat(enum.Enum):
    """Whether the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class StagePlan(NamedTuple):
    """One stage of a route.

    Its inputs are the results of the stages `after`; each of its own results has `result_bytes`.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


class Route(NamedTuple):
    """Requests that share a host name and a path prefix.

    `services` pairs each service with its weight. `aim_ms` is the latency within which an answer
    earns full credit, `gap_ms` the longest pause between events with which a stream still does.
    `max_targets` bounds the number of targets that one request may run on.
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
    """Limits of a target of a stage service. It runs calls of up to `batch` pieces, one at a time.

    `room_bytes` is a target's capacity for results, `keep_ms` the time after which it drops an
    unused result.
    """

    slots: int
    batch: int
    call_ms: float
    piece_ms: float
    room_bytes: float
    keep_ms: float


class ServiceInfo(NamedTuple):
    """A service, with the limits of its targets if it runs stages.

    `cache_tokens` is the number of prompt tokens that an engine has memory for, 0 if not known.
    After its start a target is cold for `warmup_ms`; meanwhile it takes `cold_per_s` requests a
    second. There is no bound if either is 0.
    """

    name: str
    batch: BatchLimits | None = None
    cache_tokens: float = 0.0
    warmup_ms: float = 0.0
    cold_per_s: float = 0.0


class Workspace(NamedTuple):
    """The owner of a key. Its priority, if set, overrides that of the route."""

    name: str
    priority: int | None = None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take for a head or stay idle.

    The operators' configuration sets them; 0 where it doesn't.
    """

    header_bytes: int = 0
    body_bytes: int = 0
    header_ms: float = 0.0
    idle_ms: float = 0.0


class Catalog(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceInfo]
    keys: Mapping[str, Workspace]
    keyed: bool
    caller_limits: CallerLimits = CallerLimits()


class Target(NamedTuple):
    """One incarnation of a target; `start_unix_ms` distinguishes incarnations of the same name.

    `cold` is what its entry said when it last changed; see `warmup`.
    """

    name: str
    service: str
    address: str
    zone: str
    start_unix_ms: int
    slots: int
    leaving: bool
    cold: bool = False


class PromptPart(NamedTuple):
    """A part of a prompt that may be shared with other requests."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """The size of a prompt and its parts, in order.

    `output_tokens` is the maximum number of tokens to generate, None if the caller names none.
    """

    input_tokens: int
    parts: tuple[PromptPart, ...]
    output_tokens: int | None = None

    def shared_parts(self) -> tuple[str, ...]:
        """Returns the ids of the parts that other requests may have too: all but the last.

        >>> Prompt(10, (PromptPart("a", 6), PromptPart("b", 4))).shared_parts()
        ('a',)
        """
        return tuple(part.id for part in self.parts[:-1])


class CallerRequest(NamedTuple):
    """A request as a caller sent it. `headers` are those to forward.

    `pieces` is the number of pieces per stage, None if the caller's could not be read, `piece_key`
    the input of the stages that have no preceding ones. `allowed_ms` is the caller's timeout, None
    if it sent none.
    """

    id: bytes
    method: bytes
    path: bytes
    host: str
    headers: Headers
    key: str | None
    allowed_ms: float | None
    prompt: Prompt | None
    pieces: tuple[int, ...] | None
    piece_key: str


class Routing(NamedTuple):
    """Values that are added to a request when it is sent to a target."""

    target: Target
    remaining_ms: float
    workspace: str | None
    urgency: int | None
    inputs: tuple[str, ...]
    last_event_id: bytes | None


class AnswerHead(NamedTuple):
    """The head of a target's answer.

    `not_run` is the target's guarantee that it did not run the request; `wrong_target` means that
    another incarnation answered at the address; `leaving` that the target itself is leaving;
    `push_back_s` for how long it wants no requests from this host and `cold_ms` for how long it
    will be cold, None if it did not say so.
    """

    status: int
    headers: Headers
    request_id: bytes | None
    not_run: bool
    wrong_target: bool
    retry_after_s: float | None
    idle_s: float | None
    leaving: bool = False
    push_back_s: float | None = None
    cold_ms: float | None = None


class Piece(NamedTuple):
    """One piece of stage work; its input is either `key` or the results `inputs`."""

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
