"""Messages between forwarding hosts: typed values in MessagePack over grpclib."""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase

from savoryfork.forward.cells import UNDIVIDED, Cell
from savoryfork.forward.crashnews import CrashNews
from savoryfork.forward.departures import DepartureNews
from savoryfork.forward.knowledge import Position, Update
from savoryfork.forward.loads import LoadTable
from savoryfork.forward.members import Member
from savoryfork.forward.model import StagePlan
from savoryfork.peers import serve_unary
from savoryfork.util.untrusted import UndecodableError, decode_msgpack

MessageHandler = Callable[[Any], Awaitable[Any]]

PREFIX = "/savoryfork.Forward/"

# First byte of a message.
PLAIN = b"\x00"
COMPRESSED = b"\x01"

# Smaller messages gain nothing from compression.
COMPRESS_ABOVE_BYTES = 2_048
COMPRESSION_LEVEL = 3

# Far above the largest configuration, below the memory of a host.
MAX_MESSAGE_BYTES = 33_554_432


class SyncRequest(NamedTuple):
    """Long poll for updates, with what has changed at the sender.

    It is answered on a change or after `wait_ms`. `config_position`, `targets_position` and
    `crashes_position` are what the sender has of each topic. `members` are entries that may be new
    to the receiver. `members_known` is the revision of the receiver's membership that the sender
    has, -1 if none; with `members_digest` the sender asks for all entries if its own list has
    another digest. `loads` is the outstanding work on engines of the sender and the hosts below
    it, at most `loads_age_ms` old; only long polls carry it. `departures` are the leaving targets
    and `crash_news` the crash reports that the sender has not told the receiver of.
    """

    sender: Member
    config_position: Position
    targets_position: Position
    wait_ms: float
    members: list[Member]
    members_known: int
    members_digest: int | None
    loads: LoadTable
    loads_age_ms: float
    crashes_position: Position
    departures: DepartureNews = DepartureNews()
    crash_news: CrashNews = CrashNews()


class SyncReply(NamedTuple):
    """Updates that the sender lacks, up to `members_revision` of the membership.

    `held_ms` is the time that the request waited for its reply; the age of the updates does not
    count it. `loads` is the outstanding work on engines of all hosts but the requesting one and
    those below it.
    """

    sender: Member
    held_ms: float
    members: list[Member]
    members_revision: int
    config: Update
    targets: Update
    loads: LoadTable
    loads_age_ms: float
    crashes: Update
    departures: DepartureNews = DepartureNews()
    crash_news: CrashNews = CrashNews()


class WorkRequest(NamedTuple):
    """The stages of one request, for its coordinator.

    Times are relative to the time of sending; by `aim_ms` the stages must have ended for the
    request to meet its latency objective. `zone` is where the results are needed, `cell` the
    partition of the targets to use. `fingerprint` names the request in crash reports, 0 if the
    sender computes none. `workspace` is the name of the caller's workspace, empty for a caller
    without a key.
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
    fingerprint: int = 0
    workspace: str = ""


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


class MessageTooLarge(UndecodableError):
    """A message exceeds MAX_MESSAGE_BYTES when decompressed."""


class MessageCodec(CodecBase):
    """Encodes MessagePack; decodes it with validation against the message's type.

    Raises UndecodableError for a message that is malformed or of another type.

    Large messages are compressed: a configuration with thousands of routes shrinks to a twentieth,
    and weak hosts have links of 5 Mbit/s. The first byte tells which form follows.

    >>> codec = MessageCodec()
    >>> request = FreeRequest("s", [StageResult("h" * 9_000, "a", "z")])
    >>> encoded = codec.encode(request, FreeRequest)
    >>> len(encoded) < 200, codec.decode(encoded, FreeRequest) == request
    (True, True)
    >>> codec.bytes["FreeRequest", "sent"] == len(encoded)
    True
    """

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        # Bytes by name of the message's type and by direction.
        self.bytes: Counter[tuple[str, str]] = Counter()

    def encode(self, message: Any, message_type: Any) -> bytes:
        data = PLAIN + msgspec.msgpack.encode(message)
        if len(data) > COMPRESS_ABOVE_BYTES:
            data = COMPRESSED + zlib.compress(data[1:], COMPRESSION_LEVEL)
        self.bytes[message_type.__name__, "sent"] += len(data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        self.bytes[message_type.__name__, "received"] += len(data)
        body = data[1:]
        if data[:1] == COMPRESSED:
            decompressor = zlib.decompressobj()
            try:
                body = decompressor.decompress(body, MAX_MESSAGE_BYTES)
            except zlib.error as error:
                raise UndecodableError(f"not compressed: {error}") from error
            if decompressor.unconsumed_tail:
                raise MessageTooLarge(f"over {MAX_MESSAGE_BYTES} bytes")
        return decode_msgpack(body, message_type)


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
