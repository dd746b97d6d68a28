"""Tests for the owner of claim partitions."""

from __future__ import annotations

import asyncio

import pytest

from savoryfork import defaults
from savoryfork.claimowner import partition_of
from savoryfork.claims import Existing, Won
from savoryfork.errors import ServiceError
from savoryfork.proto import peer_pb2
from tests.claimcluster import Cluster, make_key


@pytest.mark.looptime
class TestClaimOwner:
    async def test_simultaneous_claims_share_appends(self) -> None:
        """Guards against one append per claim, which the log's rate limit does not allow."""
        cluster = Cluster("a")
        claims = cluster.hosts["a"].claims
        requests = [cluster.request(make_key(number)) for number in range(400)]
        results = await asyncio.gather(*(claims.claim(request) for request in requests))
        assert all(isinstance(result, Won) for result in results)
        assert cluster.log.appends <= 2 * defaults.CLAIM_PARTITIONS

    async def test_outage_before_the_first_read_leaves_nothing_to_release(self) -> None:
        """Guards against an accumulation of releases for claims that were never appended."""
        cluster = Cluster("a", "b", "c")
        cluster.log.down = True
        with pytest.raises(ServiceError):
            await cluster.hosts["a"].claims.claim(cluster.request(make_key(1)))
        assert cluster.hosts["a"].claims.pending() == 0

    async def test_outcome_is_answered_during_an_outage(self) -> None:
        """Guards against refusing a retry during an outage although its answer is known."""
        cluster = Cluster("a")
        claims = cluster.hosts["a"].claims
        request = cluster.request(make_key(1))
        won = await claims.claim(request)
        assert isinstance(won, Won)
        await claims.settle(request, won.claim, "done", "answer")
        cluster.log.down = True
        result = await claims.claim(request)
        assert isinstance(result, Existing) and result.state.answer == "answer"

    async def test_idle_partition_is_stopped_and_read_again(self) -> None:
        """Guards against idle readers that never stop and new ones that reply too early."""
        cluster = Cluster("a")
        host = cluster.hosts["a"]
        assert isinstance(await host.claims.claim(cluster.request(make_key(1))), Won)
        await asyncio.sleep(defaults.CLAIM_IDLE_MS / 1000 + 1)
        await cluster.tick()
        assert not host.owner.partitions
        assert isinstance(await host.claims.claim(cluster.request(make_key(1))), Existing)

    async def test_key_of_another_partition_is_refused(self) -> None:
        """Guards against records of one key in two topics, which have no common order."""
        owner = Cluster("a").hosts["a"].owner
        wrong = (partition_of("w", make_key(1)) + 1) % defaults.CLAIM_PARTITIONS
        request = peer_pb2.LookupRequest(partition=wrong, workspace="w", key=make_key(1))
        with pytest.raises(ValueError, match="partition"):
            await owner.handle_lookup(request)
