"""Tests for the claims of an entry host against an in-memory log with faults."""

from __future__ import annotations

import asyncio

import pytest
from uuid6 import UUID

from savoryfork import defaults
from savoryfork.board import Board, HostView, LogState
from savoryfork.claimowner import ClaimOwner
from savoryfork.claims import ClaimRequestData, Claims, Existing, Won
from savoryfork.errors import ErrorKind, ServiceError
from savoryfork.peers import PeerUnavailable
from savoryfork.util.timer import Clock
from tests.fakelog import FakeClient, FakeLog

START_MS = 1_700_000_000_000


def loop_clock() -> Clock:
    """A clock that follows the virtual time of the running loop."""
    loop = asyncio.get_running_loop()
    return Clock(lambda: loop.time() * 1000, lambda: START_MS + loop.time() * 1000)


def make_key(number: int, age_ms: float = 0) -> str:
    """A UUIDv7 that is `age_ms` old at the start of a test."""
    return str(UUID(int=(int(START_MS - age_ms) << 80) | number, version=7))


class Host:
    """One daemon's claims; `frozen` and `killed` act on calls from other hosts."""

    def __init__(self, cluster: Cluster, name: str, incarnation: str) -> None:
        self.board = Board()
        self.board.log = LogState(True, 0.0)
        self.client = FakeClient(cluster.log)
        self.owner = ClaimOwner(self.client, cluster.clock)
        self.claims = Claims(self.owner, self.board, cluster.clock, name, incarnation, cluster.call)
        self.frozen = self.killed = False


class Cluster:
    """Hosts that share a log and see each other under their names as addresses."""

    def __init__(self, *names: str) -> None:
        self.clock = loop_clock()
        self.log = FakeLog(self.clock)
        self.hosts = {name: Host(self, name, f"{name}-1") for name in names}
        for name, host in self.hosts.items():
            host.board.hosts = {
                other: HostView(other, other, "az", "1") for other in names if other != name
            }

    async def call(self, address: str, method: str, request: object, timeout_ms: float) -> object:
        host = self.hosts[address]
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await asyncio.sleep(0.001)
                if host.killed:
                    raise PeerUnavailable("killed")
                if host.frozen:
                    await asyncio.sleep(3600)
                return await getattr(host.owner, f"handle_{method.lower()}")(request)
        except TimeoutError as error:
            raise PeerUnavailable("timeout") from error

    def request(self, key: str, digest: str = "d", within_ms: float = 10_000) -> ClaimRequestData:
        return ClaimRequestData("w", "p", key, digest, self.clock.monotonic_ms() + within_ms)


@pytest.mark.looptime
class TestSingleHost:
    async def test_second_request_finds_the_first_and_its_answer(self) -> None:
        """Guards against running a retried request again."""
        cluster = Cluster("a")
        claims = cluster.hosts["a"].claims
        request = cluster.request(make_key(1))
        won = await claims.claim(request)
        assert isinstance(won, Won)
        running = await claims.claim(request)
        assert isinstance(running, Existing) and running.state.state == "running"
        assert await claims.settle(request, won.claim, "done", {"answer": {"action": 7}})
        done = await claims.claim(request)
        assert isinstance(done, Existing)
        assert (done.state.state, done.state.answer) == ("done", {"answer": {"action": 7}})

    async def test_release_frees_the_key(self) -> None:
        """Guards against a key that stays held by a run that never took effect."""
        cluster = Cluster("a")
        claims = cluster.hosts["a"].claims
        request = cluster.request(make_key(1))
        won = await claims.claim(request)
        assert isinstance(won, Won)
        await claims.release(request, won.claim)
        assert claims.pending() == 0
        state = await claims.lookup("w", request.key, 0)
        assert state is not None and state.state == "released"
        assert isinstance(await claims.claim(request), Won)

    async def test_another_request_under_the_key_is_refused(self) -> None:
        """Guards against answering a request with another request's answer."""
        cluster = Cluster("a")
        claims = cluster.hosts["a"].claims
        await claims.claim(cluster.request(make_key(1)))
        with pytest.raises(ServiceError) as caught:
            await claims.claim(cluster.request(make_key(1), digest="other"))
        assert caught.value.kind == ErrorKind.IDEMPOTENCY_KEY_MISMATCH

    @pytest.mark.parametrize(
        ("key", "kind"),
        [
            (make_key(1), None),
            (make_key(1).upper(), ErrorKind.IDEMPOTENCY_KEY_INVALID),
            ("0b3c1c1e-7a52-4b1e-9d9f-1f2a3b4c5d6e", ErrorKind.IDEMPOTENCY_KEY_INVALID),
            ("", ErrorKind.IDEMPOTENCY_KEY_INVALID),
            (make_key(1, -defaults.CLOCK_SKEW_MS - 1000), ErrorKind.IDEMPOTENCY_KEY_INVALID),
            (make_key(1, defaults.DEDUPLICATION_WINDOW_MS + 1), ErrorKind.IDEMPOTENCY_KEY_EXPIRED),
        ],
    )
    async def test_keys_outside_the_window_are_refused(
        self, key: str, kind: ErrorKind | None
    ) -> None:
        """Guards against accepting a key whose state may have been forgotten."""
        claims = Cluster("a").hosts["a"].claims
        if kind is None:
            return claims.check_key(key)
        with pytest.raises(ServiceError) as caught:
            claims.check_key(key)
        assert caught.value.kind == kind
