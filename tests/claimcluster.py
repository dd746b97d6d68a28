"""Cluster of hosts that share an in-memory log, for the claim tests."""

from __future__ import annotations

import asyncio
from typing import Any

from uuid6 import UUID

from savoryfork.board import Board, HostView, LogState
from savoryfork.claimowner import ClaimOwner, partition_of, topic_of
from savoryfork.claims import ClaimRequestData, Claims
from savoryfork.peers import PeerUnavailable
from savoryfork.util import rendezvous
from savoryfork.util.timer import Clock
from tests.fakelog import FakeClient, FakeLog

START_MS = 1_700_000_000_000


def loop_clock() -> Clock:
    """Returns a clock on the virtual time of the running loop."""
    loop = asyncio.get_running_loop()
    return Clock(lambda: loop.time() * 1000, lambda: START_MS + loop.time() * 1000)


def make_key(number: int, age_ms: float = 0) -> str:
    """Returns a UUIDv7 that is `age_ms` old at the start of a test."""
    return str(UUID(int=(int(START_MS - age_ms) << 80) | number, version=7))


class Host:
    """The claims of one daemon, with faults.

    Calls from other hosts block while `awake` is cleared and fail while `killed` is set. The
    replies of the next `lose_replies` calls are lost after the calls took effect.
    """

    def __init__(self, cluster: Cluster, name: str, incarnation: str) -> None:
        self.board = Board()
        self.board.log = LogState(True, 0.0)
        self.client = FakeClient(cluster.log)
        self.owner = ClaimOwner(self.client, cluster.clock)
        self.claims = Claims(self.owner, self.board, cluster.clock, name, incarnation, cluster.call)
        self.awake = asyncio.Event()
        self.awake.set()
        self.killed = False
        self.lose_replies = 0

    async def serve(self, method: str, request: Any) -> Any:
        """Handles a call, after the wait for `awake`, as a paused process would."""
        await self.awake.wait()
        reply = await getattr(self.owner, f"handle_{method.lower()}")(request)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise PeerUnavailable("the reply was lost")
        return reply


class Cluster:
    """Hosts that share a log and are each other's peers; addresses are host names."""

    def __init__(self, *names: str) -> None:
        self.clock = loop_clock()
        self.log = FakeLog(self.clock)
        self.hosts = {name: Host(self, name, f"{name}-1") for name in names}
        self.serving: set[asyncio.Future[Any]] = set()
        for name, host in self.hosts.items():
            host.board.hosts = {
                other: HostView(other, other, "az", "1") for other in names if other != name
            }

    async def call(self, address: str, method: str, request: Any, timeout_ms: float) -> Any:
        """Replaces PeerClient.call; the called host continues after a time-out."""
        host = self.hosts[address]
        await asyncio.sleep(0.001)
        if host.killed:
            raise PeerUnavailable("killed")
        serving = asyncio.ensure_future(host.serve(method, request))
        self.serving.add(serving)
        serving.add_done_callback(lambda done: done.cancelled() or done.exception())
        done, _ = await asyncio.wait({serving}, timeout=timeout_ms / 1000)
        if not done:
            raise PeerUnavailable("timeout")
        return serving.result()

    def request(self, key: str, digest: str = "d", within_ms: float = 10_000) -> ClaimRequestData:
        """Returns the claim request of a run with its deadline `within_ms` from now."""
        return ClaimRequestData("w", "p", key, digest, self.clock.monotonic_ms() + within_ms)

    def by_rank(self, key: str) -> list[Host]:
        """Returns the hosts in the order in which they are asked about a key."""
        topic = topic_of(partition_of("w", key))
        return [self.hosts[name] for name in rendezvous.ranked(topic, self.hosts)]

    async def tick(self) -> None:
        """Runs one tick of every live host."""
        for host in self.hosts.values():
            if not host.killed:
                await host.claims.tick()
                await host.owner.tick()

    async def stop(self) -> None:
        """Stops the readers of all hosts."""
        for host in self.hosts.values():
            await host.owner.stop()
