"""Messages between forwarding hosts: typed values in MessagePack over grpclib."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase

from savoryfork.forward.cells import UNDIVIDED, Cell
from savoryfork.forward.knowledge import Update
from savoryfork.forward.members import Member
from savoryfork.forward.model import StagePlan
from savoryfork.peers import serve_unary

MessageHandler = Callable[[Any], Awaitable[Any]]

PREFIX = "/savoryfork.Forward/"


class SyncRequest(NamedTuple):
    """Long poll for updates, with the sender's state and its view of the other members.

    It is answered on a change or after `wait_ms`. `config_next` and `targets_next` are the next
    offsets that the sender needs. `loads` is its outstanding work on engines: (prompt tokens,
    requests) by name.
    """

    sender: Member
    config_next: int
    targets_next: int
    wait_ms: float
    members: list[Member]
    loads: dict[str, tuple[float, float]]


class SyncReply(NamedTuple):
    """Updates that the sender lacks; `loads` is the sum over the other hosts."""

    sender: Member
    members: list[Member]
    config: Update
    targets: Update
    loads: dict[str, tuple[float, float]]


class WorkRequest(NamedTuple):
    """The stages of one request, for its coordinator.

    Times are relative to the time of sending; by `aim_ms` the stages must have ended for the
    request to meet its latency objective. `zone` is where the results are needed, `cell` the
    partition of the targets to use.
    """

    request_id: str
    plans: tuple[StagePlan, ...]
    pieces: tuple[int, ...]
    key: str
    priority: int
    remaining_ms: float
    aim_ms: float
    zone: str | None
    cell: Cell = UNDIVIDED


class StageResult(NamedTuple):
    """A result and the target that stores it."""

    handle: str
    address: str
    zone: str


class WorkReply(NamedTuple):
    """The results of the final stages, ordered by piece, or the failure.

    `failure` is the value of a `StageFailure`; `retry_ms` is the retry-after of a refused request.
    """

    results: dict[int, list[StageResult]]
    failure: str | None = None
    stage: int = -1
    retry_ms: float = 0.0


class FreeRequest(NamedTuple):
    """Results of a service to be freed."""

    service: str
    results: list[StageResult]


class Done(NamedTuple):
    """Acknowledges a call."""

    ok: bool = True


class MessageCodec(CodecBase):
    """Encodes MessagePack; decodes it with validation against the message's type."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        return msgspec.msgpack.decode(data, type=message_type)


METHODS: dict[str, tuple[Any, Any]] = {
    "Sync": (SyncRequest, SyncReply),
    "RunStages": (WorkRequest, WorkReply),
    "Free": (FreeRequest, Done),
}


class ForwardStub:
    """Client stub with one method per call, for `PeerClient`."""

    def __init__(self, channel: Channel) -> None:
        for name, (request, reply) in METHODS.items():
            setattr(self, name, UnaryUnaryMethod(channel, PREFIX + name, request, reply))


class ForwardService:
    """Dispatches each call to its handler."""

    def __init__(self, handlers: dict[str, MessageHandler]) -> None:
        self.handlers = handlers

    def __mapping__(self) -> dict[str, Handler]:
        def handler(name: str) -> Handler:
            async def call(stream: Any) -> None:
                await serve_unary(stream, self.handlers[name])

            return Handler(call, Cardinality.UNARY_UNARY, *METHODS[name])

        return {PREFIX + name: handler(name) for name in METHODS}
