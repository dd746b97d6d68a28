"""The calls between forwarding hosts: typed values in MessagePack over grpclib."""

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
    """What a host has, and what it knows of others; answered when there is news or after `wait_ms`.

    `loads` holds the sender's outstanding work on engines: (prompt tokens, requests) by name.
    """

    sender: Member
    config_next: int
    targets_next: int
    wait_ms: float
    members: list[Member]
    loads: dict[str, tuple[float, float]]


class SyncReply(NamedTuple):
    """What the answering host has beyond that; `loads` is the sum over the other hosts."""

    sender: Member
    members: list[Member]
    config: Update
    targets: Update
    loads: dict[str, tuple[float, float]]


class WorkRequest(NamedTuple):
    """The stages of one request, for the host that gathers stage work.

    Times are those left at the sending; `aim_ms` is when the stages must have ended for the
    request to be on time. `zone` is where the results are wanted, `cell` the part of the targets
    to be used.
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
    """One result and the target that keeps it."""

    handle: str
    address: str
    zone: str


class WorkReply(NamedTuple):
    """The results of the last stages in order of piece, or why there are none.

    `failure` is the value of a `StageFailure`; `retry_ms` is when a refused request may come back.
    """

    results: dict[int, list[StageResult]]
    failure: str | None = None
    stage: int = -1
    retry_ms: float = 0.0


class FreeRequest(NamedTuple):
    """Results of a service that are no longer needed."""

    service: str
    results: list[StageResult]


class Done(NamedTuple):
    """Says that a call was carried out."""

    ok: bool = True


class MessageCodec(CodecBase):
    """MessagePack, checked against the message's type."""

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
    """One method for each call; used by `PeerClient`."""

    def __init__(self, channel: Channel) -> None:
        for name, (request, reply) in METHODS.items():
            setattr(self, name, UnaryUnaryMethod(channel, PREFIX + name, request, reply))


class ForwardService:
    """Passes each call to the part that answers it."""

    def __init__(self, handlers: dict[str, MessageHandler]) -> None:
        self.handlers = handlers

    def __mapping__(self) -> dict[str, Handler]:
        def handler(name: str) -> Handler:
            async def call(stream: Any) -> None:
                await serve_unary(stream, self.handlers[name])

            return Handler(call, Cardinality.UNARY_UNARY, *METHODS[name])

        return {PREFIX + name: handler(name) for name in METHODS}
