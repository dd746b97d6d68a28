"""Calls between entry hosts over grpclib, authenticated by a shared key."""

from __future__ import annotations

import asyncio
import hmac
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING, Any, Protocol

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream

from savoryfork.proto import peer_grpc, peer_pb2
from savoryfork.settings import split_address
from savoryfork.util.untrusted import UndecodableError

if TYPE_CHECKING:
    from grpclib._typing import IServable

log = logging.getLogger(__name__)

ExchangeHandler = Callable[[peer_pb2.ExchangeRequest], Awaitable[peer_pb2.ExchangeReply]]
ClaimHandler = Callable[[peer_pb2.ClaimRequest], Awaitable[peer_pb2.ClaimReply]]
LookupHandler = Callable[[peer_pb2.LookupRequest], Awaitable[peer_pb2.ClaimReply]]


class PeerUnavailable(Exception):
    """The other host did not answer; the call may or may not have been executed."""


class PeerCaller(Protocol):
    """The interface of PeerClient that controllers use."""

    async def call(self, address: str, method: str, request: Any, timeout_ms: float) -> Any:
        """Calls another host; raises PeerUnavailable if no answer came."""


class PeerService(peer_grpc.PeerBase):
    """Routes each call to its handler."""

    def __init__(
        self,
        exchange: ExchangeHandler,
        claim: ClaimHandler,
        settle: ClaimHandler,
        lookup: LookupHandler,
    ) -> None:
        self.exchange = exchange
        self.claim = claim
        self.settle = settle
        self.lookup = lookup

    async def Exchange(self, stream: Stream[Any, Any]) -> None:
        await serve_unary(stream, self.exchange)

    async def Claim(self, stream: Stream[Any, Any]) -> None:
        await serve_unary(stream, self.claim)

    async def Settle(self, stream: Stream[Any, Any]) -> None:
        await serve_unary(stream, self.settle)

    async def Lookup(self, stream: Stream[Any, Any]) -> None:
        await serve_unary(stream, self.lookup)


async def serve_unary(stream: Stream[Any, Any], handler: Callable[[Any], Awaitable[Any]]) -> None:
    """Serves one unary call."""
    request = await stream.recv_message()
    if request is not None:
        await stream.send_message(await handler(request))


class PeerServer:
    """Serves other hosts and rejects calls without an accepted key.

    If no keys are set, every call is accepted, for networks that only the system's hosts reach.
    """

    def __init__(
        self,
        address: str,
        keys: Sequence[str],
        service: IServable,
        codec: CodecBase | None = None,
    ) -> None:
        self.address = address
        self.accepted = [f"Bearer {key}".encode() for key in keys]
        self.server = Server([service], codec=codec)
        if keys:
            listen(self.server, RecvRequest, self.check_key)

    async def start(self) -> None:
        """Starts listening."""
        ip, port = split_address(self.address)
        await self.server.start(ip, port)

    async def stop(self) -> None:
        """Stops listening and closes open calls."""
        self.server.close()
        await self.server.wait_closed()

    async def check_key(self, request: RecvRequest) -> None:
        """Rejects a call whose key is not accepted."""
        presented = str(request.metadata.get("authorization", "")).encode()
        if not any([hmac.compare_digest(presented, key) for key in self.accepted]):
            raise GRPCError(Status.UNAUTHENTICATED, "unknown peer key")


class SharedChannel:
    """A channel and the number of calls in flight on it.

    A `retired` channel gets no new calls and is closed when its last call has ended.
    """

    def __init__(self, address: str, codec: CodecBase | None) -> None:
        ip, port = split_address(address)
        if not 0 < port < 65_536:
            raise ValueError("the port is out of range")
        self.channel = Channel(ip, port, codec=codec)
        self.calls = 0
        self.retired = False

    def end_call(self) -> None:
        """Releases one call and closes a retired channel after the last one."""
        self.calls -= 1
        if self.retired and not self.calls:
            self.channel.close()


class PeerClient:
    """Keeps one channel per host, opened on first use.

    After an unanswered call the next call opens a new connection, since the old one may be dead.
    Calls in flight on the old one continue, since one slow answer does not mean that they fail.
    """

    def __init__(
        self,
        key: str | None,
        stub: Callable[[Channel], Any] = peer_grpc.PeerStub,
        codec: CodecBase | None = None,
    ) -> None:
        self.metadata = {"authorization": f"Bearer {key}"} if key is not None else {}
        self.stub = stub
        self.codec = codec
        self.channels: dict[str, SharedChannel] = {}

    def channel_for(self, address: str) -> SharedChannel:
        """Returns the channel for new calls to the host at `address` (ip:port)."""
        shared = self.channels.get(address)
        if shared is None:
            shared = self.channels[address] = SharedChannel(address, self.codec)
        return shared

    async def call(self, address: str, method: str, request: Any, timeout_ms: float) -> Any:
        """Calls `method` of the host at `address`; raises PeerUnavailable if no answer came.

        An answer that can't be decoded is as good as none.
        """
        try:
            shared = self.channel_for(address)
        except ValueError as error:
            raise PeerUnavailable(f"{address[:100]}: {method}: not an address") from error
        shared.calls += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                unary = getattr(self.stub(shared.channel), method)
                return await unary(request, metadata=self.metadata)
        except GRPCError as error:
            # The host answered, so the connection is good.
            raise PeerUnavailable(f"{address}: {method}: {error.status.name}") from error
        except UndecodableError as error:
            raise PeerUnavailable(f"{address}: {method}: {error}") from error
        except (TimeoutError, OSError, ProtocolError, StreamTerminatedError) as error:
            self.retire(address, shared)
            raise PeerUnavailable(f"{address}: {method}: {type(error).__name__}") from error
        finally:
            shared.end_call()

    def retire(self, address: str, shared: SharedChannel) -> None:
        """Makes the next call open a new connection; calls in flight continue."""
        shared.retired = True
        if self.channels.get(address) is shared:
            del self.channels[address]

    def close(self) -> None:
        """Closes all channels."""
        channels, self.channels = self.channels, {}
        for shared in channels.values():
            shared.channel.close()
