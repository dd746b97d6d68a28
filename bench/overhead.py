"""Measures the latency and processor time that a daemon adds to direct calls of the targets.

Run with `python -m bench.overhead`. The same pipeline (encode, retrieve, rerank, generate) is
called alternately through one daemon and stage by stage directly at the targets, with the same
processes in the same run.
"""

from __future__ import annotations

import asyncio
import json
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import psutil
from hdrh.histogram import HdrHistogram

from standins.deployments import NASR
from standins.launch import ROOT, Deployment

TEXT = "Summarise the price changes of the lunch menu since the last proof. " * 4
WORKSPACE = "corniche-cafes"
PIPELINE = "price-summary"
MAX_TOKENS = 16
TOP_K = 20
TOP_N = 6
ROUNDS = 4
REQUESTS_PER_ROUND = 150
WARM_UP = 30

Call = Callable[[], Awaitable[None]]


async def call_stage(
    session: aiohttp.ClientSession, url: str, body: dict[str, Any], stream: bool = False
) -> Any:
    """Calls one stage directly at a target."""
    headers = {"X-Attempt-Id": uuid.uuid4().hex, "X-Deadline-Ms": "10000", "X-Priority": "5"}
    async with session.post(url, json=body, headers=headers) as response:
        data = await response.read()
        if response.status != 200:
            raise RuntimeError(f"{url} answered {response.status}: {data[:200]!r}")
        return data if stream else json.loads(data)


class Direct:
    """Calls the stages of the pipeline directly, with the targets in round robin."""

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        self.deployment = deployment
        self.session = session
        self.run_number = 0

    def url(self, service: str) -> str:
        """Returns the base URL of the next target of a service."""
        names = self.deployment.targets(service)
        return self.deployment.url(names[self.run_number % len(names)])

    async def call(self) -> None:
        """Runs the pipeline once."""
        self.run_number += 1
        encoded = await call_stage(
            self.session, self.url("encoders") + "/v1/embeddings", {"input": TEXT}
        )
        vector = encoded["data"][0]["embedding"]
        found = await call_stage(
            self.session,
            self.url("retrievers") + "/v1/search",
            {"vector": vector, "query": TEXT, "top_k": TOP_K},
        )
        texts = [document["text"] for document in found["documents"]]
        ranked = await call_stage(
            self.session,
            self.url("rerankers") + "/v1/rerank",
            {"query": TEXT, "documents": texts, "top_n": TOP_N},
        )
        kept = [texts[row["index"]] for row in ranked["results"]]
        body = {"prompt": "\n".join([*kept, TEXT]), "max_tokens": MAX_TOKENS, "stream": True}
        await call_stage(
            self.session, self.url("savoryfork-pool") + "/v1/completions", body, stream=True
        )


class ViaDaemon:
    """Calls the pipeline through a daemon."""

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        route = f"/v1/workspaces/{WORKSPACE}/pipelines/{PIPELINE}/runs"
        self.url = deployment.url("host-0") + route
        self.headers = {"Authorization": f"Bearer nasr-{WORKSPACE}-caller-key"}
        self.session = session

    async def call(self) -> None:
        """Runs the pipeline once."""
        body = {"input": {"text": TEXT}, "max_tokens": MAX_TOKENS}
        async with self.session.post(self.url, json=body, headers=self.headers) as response:
            data = await response.read()
            if response.status != 200:
                raise RuntimeError(f"the daemon answered {response.status}: {data[:200]!r}")


async def measure(call: Call, count: int, concurrency: int, histogram: HdrHistogram) -> None:
    """Makes `count` calls, `concurrency` at a time; records their latency in microseconds."""
    remaining = count

    async def worker() -> None:
        nonlocal remaining
        while remaining > 0:
            remaining -= 1
            started = time.perf_counter()
            await call()
            histogram.record_value(int((time.perf_counter() - started) * 1e6))

    await asyncio.gather(*(worker() for _ in range(concurrency)))


def new_histogram() -> HdrHistogram:
    """Returns a histogram of microseconds up to one minute."""
    return HdrHistogram(1, 60_000_000, 3)


async def compare(deployment: Deployment, concurrency: int) -> dict[str, Any]:
    """Measures direct calls and calls through the daemon in alternating rounds."""
    results = {"direct": new_histogram(), "through": new_histogram()}
    daemon = psutil.Process(deployment.pid("host-0"))
    cpu_s = wall_s = 0.0
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        calls = {
            "direct": Direct(deployment, session).call,
            "through": ViaDaemon(deployment, session).call,
        }
        for call in calls.values():
            await measure(call, WARM_UP, concurrency, new_histogram())
        for _ in range(ROUNDS):
            for name, call in calls.items():
                before, started = daemon.cpu_times(), time.perf_counter()
                await measure(call, REQUESTS_PER_ROUND, concurrency, results[name])
                after = daemon.cpu_times()
                if name == "through":
                    cpu_s += after.user + after.system - before.user - before.system
                    wall_s += time.perf_counter() - started
    row: dict[str, Any] = {"concurrency": concurrency, "requests": ROUNDS * REQUESTS_PER_ROUND}
    for name, histogram in results.items():
        for percentile in (50, 99):
            value = histogram.get_value_at_percentile(percentile) / 1000
            row[f"{name}_p{percentile}_ms"] = round(value, 2)
    for percentile in (50, 99):
        added = row[f"through_p{percentile}_ms"] - row[f"direct_p{percentile}_ms"]
        row[f"added_p{percentile}_ms"] = round(added, 2)
    row["cpu_ms_per_request"] = round(cpu_s * 1000 / row["requests"], 2)
    row["cpu_share_of_a_core"] = round(cpu_s / wall_s, 3)
    row["rss_mb"] = round(daemon.memory_info().rss / 1e6, 1)
    return row


async def main() -> None:
    """Prints one JSON row for each concurrency."""
    spec = NASR.small()
    async with Deployment(spec, hosts=1) as deployment:
        await deployment.publish(ROOT / "examples" / "nasr")
        idle = psutil.Process(deployment.pid("host-0"))
        before = idle.cpu_times()
        await asyncio.sleep(5)
        after = idle.cpu_times()
        idle_share = (after.user + after.system - before.user - before.system) / 5
        print(json.dumps({"idle_share_of_a_core": round(idle_share, 4)}))
        for concurrency in (1, 8, 16):
            print(json.dumps(await compare(deployment, concurrency)))


if __name__ == "__main__":
    asyncio.run(main())
