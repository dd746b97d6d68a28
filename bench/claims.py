"""Measures claims in one process against an in-memory log: `python -m bench.claims`.

The log has a round trip of 5 ms and takes 300 appends a second over all topics. Each line is one
JSON object. Latencies are those of `Claims.claim`, which a keyed run awaits before its first stage.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import time
import tracemalloc
import uuid
from collections.abc import Iterator
from typing import Any

import uvloop
from hdrh.histogram import HdrHistogram
from uuid6 import UUID

from savoryfork import defaults
from savoryfork.board import Board, LogState
from savoryfork.claimfold import ClaimFold
from savoryfork.claimowner import ClaimOwner, partition_of
from savoryfork.claims import ClaimRequestData, Claims, Won
from savoryfork.errors import ServiceError
from savoryfork.util.bucket import TokenBucket
from savoryfork.util.timer import system_clock
from savoryfork.util.topic import Record
from tests.fakelog import FakeClient, FakeLog

LATENCY_MS = 5.0
APPENDS_PER_S = 300.0
SECONDS = 4.0


def generate_keys(partitions: int) -> Iterator[str]:
    """Yields new keys that fall into the first `partitions` partitions.

    uuid7() never repeats a millisecond, so above 1,000 keys/s its times would be in the future.
    """
    while True:
        now_ms = int(time.time() * 1000)
        key = str(UUID(int=now_ms << 80 | secrets.randbits(76), version=7))
        if partition_of("w", key) < partitions:
            yield key


async def refuse_peer_call(address: str, method: str, request: Any, timeout_ms: float) -> Any:
    """Fails, as there are no other hosts."""
    raise AssertionError(f"call of {address}")


async def measure_latency(partitions: int, callers: int, refuses: bool) -> dict[str, Any]:
    """Measures `callers` that each claim new keys in turn; the first 0.5 s is not counted."""
    clock = system_clock()
    fake_log = FakeLog(clock)
    fake_log.latency_ms = LATENCY_MS
    fake_log.limit = TokenBucket(APPENDS_PER_S, APPENDS_PER_S / 20, clock.monotonic_ms())
    fake_log.limit_refuses = refuses
    board = Board()
    board.log = LogState(True, clock.monotonic_ms())
    owner = ClaimOwner(FakeClient(fake_log), clock)
    claims = Claims(owner, board, clock, "bench", "1", refuse_peer_call)
    histogram = HdrHistogram(1, 60_000_000, 3)
    counts = {"won": 0, "failed": 0}
    start_s = time.monotonic() + 0.5
    end_s = start_s + SECONDS
    new_keys = generate_keys(partitions)

    async def caller() -> None:
        while (now := time.monotonic()) < end_s:
            deadline_ms = clock.monotonic_ms() + 10_000
            request = ClaimRequestData("w", "p", next(new_keys), "0" * 64, deadline_ms)
            try:
                won = isinstance(await claims.claim(request), Won)
            except ServiceError:
                won = False
                await asyncio.sleep(0.01)
            if now >= start_s:
                counts["won" if won else "failed"] += 1
                if won:
                    histogram.record_value(int((time.monotonic() - now) * 1e6))

    running = [asyncio.ensure_future(caller()) for _ in range(callers)]
    await asyncio.sleep(0.5)
    cpu_s, appends = time.process_time(), fake_log.appends
    await asyncio.gather(*running)
    cpu_s, appends = time.process_time() - cpu_s, fake_log.appends - appends
    await claims.drain(5_000)
    await owner.stop()
    return {
        "scenario": "claims",
        "partitions": partitions,
        "callers": callers,
        "over_limit": "refused" if refuses else "delayed",
        "claims_per_s": round(counts["won"] / SECONDS),
        "failed": counts["failed"],
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "appends_per_s": round(appends / SECONDS),
        "cpu_us_per_claim": round(cpu_s / max(1, counts["won"]) * 1e6),
    }


def measure_memory(answer_bytes: int, key_count: int = 20_000) -> dict[str, Any]:
    """Measures the memory of a fold for each key with an outcome, without the records."""
    fold = ClaimFold()
    tracemalloc.start()
    for index, key in zip(range(key_count), generate_keys(defaults.CLAIM_PARTITIONS), strict=False):
        claim = str(uuid.uuid4())
        common = {"schema": 1, "workspace": "workspace-7", "key": key}
        first = {**common, "type": "claim", "id": claim, "pipeline": "booking"}
        first |= {"digest": uuid.uuid4().hex * 2, "claimant": "host-1/i", "deadline_ms": 1 << 40}
        last = {**common, "type": "outcome", "id": "o", "claim": claim, "state": "done"}
        last["answer"] = "a" * answer_bytes
        now = int(time.time() * 1000)
        fold.apply(Record(2 * index, now, first))
        fold.apply(Record(2 * index + 1, now, last))
        fold.recent.clear()
    del first, last, common
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "scenario": "memory",
        "answer_bytes": answer_bytes,
        "bytes_per_key": round(size / len(fold.entries)),
    }


def main() -> None:
    """Runs all scenarios."""
    for partitions, callers, refuses in (
        (1, 1, False),
        (1, 64, False),
        (1, 1024, False),
        (16, 16, False),
        (16, 64, False),
        (16, 1024, False),
        (16, 64, True),
        (16, 1024, True),
    ):
        print(json.dumps(uvloop.run(measure_latency(partitions, callers, refuses))), flush=True)
    for answer_bytes in (0, 500, 5_000):
        print(json.dumps(measure_memory(answer_bytes)), flush=True)


if __name__ == "__main__":
    main()
