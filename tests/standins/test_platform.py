"""Tests for the platform stand-in."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import pytest

from savoryfork.util.topic import LogClient, LogRestored, LogUnavailable, OffsetExpired, era_of
from standins.platform import Platform, PlatformSettings
from tests.standins import Client, serve, until


async def set_faults(client: Client, **fields: Any) -> None:
    response = await client.post("/control/faults", json=fields)
    assert response.status == 200, await response.text()


def log_client(client: Client, timeout_ms: float = 2000) -> LogClient:
    return LogClient(client.session, str(client.make_url("/")), timeout_ms)


def values(platform: Platform) -> list[Any]:
    return [record["value"] for record in platform.topic("t").records]


class TestLog:
    async def test_append_is_read_by_a_waiting_reader(self) -> None:
        """Guards against a long poll that misses an append or splits its records."""
        async with serve(Platform(PlatformSettings()).app()) as client:
            log = log_client(client)
            reading = asyncio.create_task(log.read("t", 0, 10, wait_ms=5000))
            assert await log.append("t", [{"a": 1}, {"a": 2}]) == 0
            page = await asyncio.wait_for(reading, 2)
            assert [r.offset for r in page.records] == [0, 1]
            assert (page.start, page.end) == (0, 2)

    async def test_retention_expires_offsets(self) -> None:
        """Guards against an expired offset being answered with later records."""
        async with serve(Platform(PlatformSettings(retention_records=2)).app()) as client:
            log = log_client(client)
            await log.append("t", [{"n": n} for n in range(5)])
            with pytest.raises(OffsetExpired) as expired:
                await log.read("t", 2, 10)
            assert (expired.value.start, expired.value.end) == (3, 5)
            await set_faults(client, retention_ms=-1000)
            page = await log.read("t", 5, 10)
            assert (page.records, page.start, page.end) == ([], 5, 5)

    async def test_older_copy_ends_a_long_poll_and_starts_an_era(self) -> None:
        """Guards against a stand-in whose restored log can't be told from one that only waits."""
        async with serve(Platform(PlatformSettings()).app()) as client:
            log = log_client(client)
            await log.append("t", [{"n": n} for n in range(5)])
            reading = asyncio.create_task(log.read("t", 5, 10, wait_ms=5000))
            await asyncio.sleep(0.05)
            await client.post("/control/restore", json={"lost": {"t": 2}})
            with pytest.raises(LogRestored) as restored:
                await asyncio.wait_for(reading, 2)
            assert era_of(restored.value.end) == len(restored.value.eras) == 1
            assert await log.append("t", [{"n": "new"}]) == 3
            records = (await log.read("t", 2, 10)).records
            assert [(era_of(r.offset), r.value["n"]) for r in records] == [(0, 2), (1, "new")]

    async def test_lost_answer_leaves_the_records(self) -> None:
        """Guards against a lost answer that also drops the append."""
        platform = Platform(PlatformSettings())
        async with serve(platform.app()) as client:
            await set_faults(client, lose_answers=1)
            with pytest.raises(LogUnavailable):
                await log_client(client).append("t", [{"a": 1}])
            assert values(platform) == [{"a": 1}]
            assert await log_client(client).append("t", [{"a": 2}]) == 1

    @pytest.mark.parametrize("mode", ["hold", "close"])
    async def test_delayed_append_is_stored_after_the_client_timed_out(self, mode: str) -> None:
        """Guards against a delayed append being cancelled with its client."""
        platform = Platform(PlatformSettings())
        async with serve(platform.app()) as client:
            await set_faults(client, delay_append_ms=200, delay_mode=mode)
            with pytest.raises(LogUnavailable):
                await log_client(client, timeout_ms=50).append("t", [{"a": 1}])
            assert values(platform) == []
            await until(lambda: values(platform) == [{"a": 1}])

    @pytest.mark.parametrize("mode", ["refuse", "hang"])
    async def test_outage(self, mode: str) -> None:
        """Guards against an outage that lets appends or long polls through."""
        platform = Platform(PlatformSettings())
        async with serve(platform.app()) as client:
            log = log_client(client, timeout_ms=100)
            polling = asyncio.create_task(log.read("t", 0, 10, wait_ms=300))
            await until(lambda: "t" in platform.topics)
            await set_faults(client, down=True, down_mode=mode)
            with pytest.raises(LogUnavailable):
                await polling
            with pytest.raises(LogUnavailable):
                await log.append("t", [{"a": 1}])
            assert values(platform) == []
            await set_faults(client, down=False)
            assert await log.append("t", [{"a": 2}]) == 0

    async def test_append_rate(self) -> None:
        """Guards against an append rate that is not enforced, or that also limits reads."""
        async with serve(Platform(PlatformSettings()).app()) as client:
            await set_faults(client, appends_per_s=1)
            body = {"records": [{}]}
            statuses = [
                (await client.post("/topics/t/records", json=body)).status for _ in range(3)
            ]
            assert statuses == [200, 429, 429]
            assert (await client.get("/topics/t/records?from=0")).status == 200

    async def test_unknown_fault_is_refused(self) -> None:
        """Guards against ignoring a misspelt fault, whose test would then inject nothing."""
        async with serve(Platform(PlatformSettings()).app()) as client:
            assert (await client.post("/control/faults", json={"dwon": True})).status == 400


class TestHosts:
    async def test_changes_show_after_the_lag(self) -> None:
        """Guards against a host list that is fresher than the lag, or stale for longer."""
        platform = Platform(PlatformSettings())
        entry = {
            "name": "a",
            "service": "s",
            "address": "127.0.0.1:1",
            "availability_zone": "z",
            "incarnation": "i",
        }

        async def listed(client: aiohttp.test_utils.TestClient) -> str:
            return (await (await client.get("/hosts")).json())["hosts"][0]["state"]

        async with serve(platform.app()) as client:
            await client.put("/control/hosts", json={"hosts": [{**entry, "state": "live"}]})
            await set_faults(client, hosts_lag_ms=60_000)
            await client.put("/control/hosts", json={"hosts": [{**entry, "state": "leaving"}]})
            assert await listed(client) == "live"
            await set_faults(client, hosts_lag_ms=0)
            assert await listed(client) == "leaving"


class TestWeights:
    async def test_downloads_are_limited(self) -> None:
        """Guards against a weight store without a rate limit."""
        settings = PlatformSettings(weights_per_minute=6, weights_ms=0)
        async with serve(Platform(settings).app()) as client:
            assert (await client.get("/weights/m")).status == 200
            refused = await client.get("/weights/m")
            assert refused.status == 429
            assert 1 <= int(refused.headers["Retry-After"]) <= 10
