"""Tests for `savoryfork.peers` over loopback."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from savoryfork.peers import PeerClient, PeerServer, PeerService, PeerUnavailable
from savoryfork.proto import peer_pb2
from tests.standins import until

KEY = "peer-key-of-this-test"


class Handlers:
    """Handlers that answer exchanges and claims once their events are set."""

    def __init__(self) -> None:
        self.waiting = 0
        self.claims = asyncio.Event()
        self.exchanges = asyncio.Event()

    async def exchange(self, request: Any) -> peer_pb2.ExchangeReply:
        await self.exchanges.wait()
        return peer_pb2.ExchangeReply(host="b")

    async def claim(self, request: Any) -> peer_pb2.ClaimReply:
        self.waiting += 1
        await self.claims.wait()
        return peer_pb2.ClaimReply(status="SETTLED")

    async def fail(self, request: Any) -> peer_pb2.ClaimReply:
        raise ValueError("a partition of another size")


def free_address() -> str:
    """Returns a loopback address without a listener."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class TestPeerClient:
    async def test_slow_exchange_leaves_claims_in_flight(self) -> None:
        """Guards against a slow exchange that closes the connection of a claim in flight, so that
        the owner counts as unreachable."""
        handlers = Handlers()
        service = PeerService(handlers.exchange, handlers.claim, handlers.claim, handlers.fail)
        address = free_address()
        server = PeerServer(address, [KEY], service)
        await server.start()
        client = PeerClient(KEY)
        try:
            claim = asyncio.create_task(client.call(address, "Claim", peer_pb2.ClaimRequest(), 5e3))
            await until(lambda: handlers.waiting == 1)
            with pytest.raises(PeerUnavailable, match="TimeoutError"):
                await client.call(address, "Exchange", peer_pb2.ExchangeRequest(), 30)
            # The next call has a connection of its own, in case the first one is dead.
            handlers.exchanges.set()
            reply = await client.call(address, "Exchange", peer_pb2.ExchangeRequest(), 2_000)
            assert reply.host == "b" and not claim.done()
            handlers.claims.set()
            assert (await claim).status == 0
            assert len(client.channels) == 1
        finally:
            client.close()
            await server.stop()

    async def test_error_answer_keeps_the_connection(self) -> None:
        """Guards against a new connection after every call that the other host refuses."""
        handlers = Handlers()
        service = PeerService(handlers.exchange, handlers.claim, handlers.claim, handlers.fail)
        address = free_address()
        server = PeerServer(address, [KEY], service)
        await server.start()
        client = PeerClient(KEY)
        try:
            with pytest.raises(PeerUnavailable):
                await client.call(address, "Lookup", peer_pb2.LookupRequest(), 2_000)
            assert list(client.channels) == [address]
        finally:
            client.close()
            await server.stop()

    async def test_dead_host_leaves_no_channel(self) -> None:
        """Guards against leaking channels to hosts that are gone."""
        client = PeerClient(KEY)
        for _ in range(3):
            with pytest.raises(PeerUnavailable):
                await client.call(free_address(), "Exchange", peer_pb2.ExchangeRequest(), 500)
        assert client.channels == {}
