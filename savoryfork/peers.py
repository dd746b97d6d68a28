"""Calls between entry hosts over grpclib, authenticated by a shared key."""

from __future__ import annotations

import asyncio
import hmac
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream

from savoryfork.proto import peer_grpc, peer_pb2
from savoryfork.settings import split_address

log = logging.getLogger(__name__)

ExchangeHandler = Callable[[peer_pb2.ExchangeRequest], Awaitable[peer_pb2.ExchangeReply]]
ClaimHandler = Callable[[peer_pb2.ClaimRequest], Awaitable[peer_pb2.ClaimReply]]
LookupHandler = Callable[[peer_pb2.LookupRequest], Awaitable[peer_pb2.ClaimReply]]


class PeerUnavailable(Exception):
    """The other host did not answer. What it was asked for may or may not have happened."""


class PeerService(peer_grpc.PeerBase):
    """Passes each call to the part that answers it."""

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
        await answer(stream, self.exchange)

    async def Claim(self, stream: Stream[Any, Any]) -> None:
        await answer(stream, self.claim)

    async def Settle(self, stream: Stream[Any, Any]) -> None:
        await answer(stream, self.settle)

    async def Lookup(self, stream: Stream[Any, Any]) -> None:
        await answer(stream, self.lookup)


async def answer(stream: Stream[Any, Any], handler: Callable[[Any], Awaitable[Any]]) -> None:
    """Answers one unary call."""
    request = await stream.recv_message()
    if request is not None:
        await stream.send_message(await handler(request))


class PeerServer:
    """Listens for other hosts and refuses calls without one of the keys."""

    def __init__(self, address: str, keys: Sequence[str], service: PeerService) -> None:
        self.address = address
        self.accepted = [f"Bearer {key}".encode() for key in keys]
        self.server = Server([service])
        listen(self.server, RecvRequest, self.check_key)

    async def start(self) -> None:
        """Starts to listen."""
        ip, port = split_address(self.address)
        await self.server.start(ip, port)

    async def stop(self) -> None:
        """Stops listening and ends the calls that are still open."""
        self.server.close()
        await self.server.wait_closed()

    async def check_key(self, request: RecvRequest) -> None:
        """Refuses a call whose key is not accepted."""
        given = str(request.metadata.get("authorization", "")).encode()
        if not any([hmac.compare_digest(given, key) for key in self.accepted]):
            raise GRPCError(Status.UNAUTHENTICATED, "unknown peer key")


class PeerClient:
    """Keeps one channel to each other host, opened at its first use."""

    def __init__(self, key: str) -> None:
        self.metadata = {"authorization": f"Bearer {key}"}
        self.channels: dict[str, Channel] = {}

    def stub(self, address: str) -> peer_grpc.PeerStub:
        """The stub for the host at `address` (ip:port)."""
        channel = self.channels.get(address)
        if channel is None:
            ip, port = split_address(address)
            channel = self.channels[address] = Channel(ip, port)
        return peer_grpc.PeerStub(channel)

    async def call(self, address: str, method: str, request: Any, timeout_ms: float) -> Any:
        """Calls `method` of the host at `address`; raises PeerUnavailable if no answer came."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                unary = getattr(self.stub(address), method)
                return await unary(request, metadata=self.metadata)
        except (
            TimeoutError,
            OSError,
            GRPCError,
            ProtocolError,
            StreamTerminatedError,
        ) as error:
            self.drop(address)
            raise PeerUnavailable(f"{address}: {method}: {type(error).__name__}") from error

    def drop(self, address: str) -> None:
        """Forgets a channel, so that the next call opens a new connection."""
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Closes all channels."""
        for address in list(self.channels):
            self.drop(address)
