"""Callers out of control do not end a host: its memory and descriptors stay within its machine's.

The crowd and the bounds are those with which the tests failed before hosts had a budget for what
callers make them hold.
"""

from __future__ import annotations

import asyncio
import uuid
from pathlib import Path

import aiohttp
import pytest

from soak.site import HostProcess, Site
from tests.forward import crowds
from tests.forward.crowds import Crowd

# The machine of the host in these tests. A host without callers takes some 60 MB.
MEMORY_MB = 140
DESCRIPTORS = 300

# Callers in a crowd that sends bodies, and in one that only holds connections.
SENDERS = 150
HOLDERS = 600

# Within it an ordinary caller must be answered; only against tests without end.
ANSWER_LIMIT_S = 60.0


def peak_bytes(host: HostProcess) -> int:
    """Returns the peak resident memory of a host's process."""
    assert host.process is not None
    status = Path(f"/proc/{host.process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) * 1024


def descriptors(host: HostProcess) -> int:
    """Returns the open descriptors of a host's process."""
    assert host.process is not None
    return len(list(Path(f"/proc/{host.process.pid}/fd").iterdir()))


@pytest.fixture
async def site(tmp_path):
    settings = {"memory_mb": MEMORY_MB, "max_descriptors": DESCRIPTORS}
    async with Site(1, tmp_path, settings) as running:
        yield running


async def send_ordinary(site: Site) -> int:
    """Sends a request of an ordinary caller; returns its status, 0 without an answer."""
    headers = {"Host": "a.example", "Key": "key-0", "Deadline-Ms": "3000"}
    headers["Request-Id"] = uuid.uuid4().hex
    url = f"http://{site.hosts[0].callers}/book/1"
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=b"b" * 2_000, headers=headers) as response,
        ):
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


class TestCrowds:
    @pytest.mark.parametrize(
        "parts",
        [crowds.whole_body, crowds.complete_body, crowds.body_in_parts, crowds.unread_answer],
    )
    async def test_senders(self, site, parts):
        """Guards against a host that runs out of memory by many bodies or answers of legal size."""
        await self.check(site, SENDERS, parts)

    @pytest.mark.parametrize("parts", [crowds.half_head, crowds.nothing])
    async def test_holders(self, site, parts):
        """Guards against a host that runs out of descriptors by connections without a request."""
        await self.check(site, HOLDERS, parts)

    async def test_single_request_within_the_limits_is_served(self, site):
        """Guards against a budget that refuses the largest legal body to a caller in calm."""
        headers = {"Host": "a.example", "Key": "key-0", "Deadline-Ms": "3000"}
        headers["Token-Usage"] = "10,2"  # a short answer, which does not repeat the body
        url = f"http://{site.hosts[0].callers}/book/1"
        body = b"b" * site.limits["max_body_bytes"]
        for chunked in (False, True):
            data = aiohttp.AsyncIterablePayload(in_parts(body)) if chunked else body
            headers["Request-Id"] = f"r{chunked}"
            async with site.session.post(url, data=data, headers=headers) as response:
                assert response.status == 200

    async def check(self, site: Site, count: int, parts) -> None:
        """Lets a crowd send, and an ordinary caller beside it once it has sent everything."""
        host = site.hosts[0]
        found: list[int] = []
        sampling = asyncio.create_task(crowds.keep_sampling(lambda: descriptors(host), found))
        async with Crowd(host.callers, count, parts) as crowd:
            await crowd.send()
            await crowds.until_answered(lambda: send_ordinary(site), ANSWER_LIMIT_S)
        await crowds.until_answered(lambda: send_ordinary(site), ANSWER_LIMIT_S)
        sampling.cancel()
        assert site.unexpected_exits == []
        assert peak_bytes(host) < MEMORY_MB * 1_000_000
        assert max(found) < DESCRIPTORS


async def in_parts(body: bytes):
    """Yields a body in parts."""
    for start in range(0, len(body), crowds.PART_BYTES):
        yield body[start : start + crowds.PART_BYTES]
