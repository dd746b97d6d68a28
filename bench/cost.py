"""Measures cost by stage over real processes: the policy against the baselines.

Run with `python -m bench.cost`. For each policy, a new deployment (3 daemons, 3 engines, 2 of each
other service) serves the same arrivals: a fixed rate, with texts drawn by a fixed seed from a small
popular set, so that prompt prefixes repeat. The last line is JSON.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
import statistics
import time
from collections import Counter
from typing import Any, NamedTuple

import aiohttp

from standins.deployments import NASR
from standins.launch import ROOT, Deployment

POLICIES = ("adaptive", "round_robin", "least_outstanding")
SEEDS = (1, 2)
RATE_PER_S = 30.0
DURATION_S = 12.0
TEXTS = 40
WORKSPACE = "corniche-cafes"
PIPELINES = {"owner-chat": 0.5, "price-summary": 0.25, "menu-layout": 0.1, "proof-lookup": 0.15}
MAX_TOKENS = {"owner-chat": 32, "price-summary": 64, "menu-layout": 128, "proof-lookup": 1}
WORDS = ["menu", "lunch", "gloss", "matt", "price", "proof", "page", "fold", "trim", "ink", "order"]

# Allowed cost of the policy relative to the better baseline.
MAX_COST_RATIO = 1.05
ATTEMPTS = re.compile(r'savoryfork_attempts_total.*service="([\w-]+)"\} ([\d.]+)')


class Cost(NamedTuple):
    """Cost of one run for each answered request; `answered` is a share of the requests sent."""

    answered: float
    p50_ms: float
    p99_ms: float
    calls: dict[str, float]
    generated: float
    uncached_prompt: float


def draw_arrivals(seed: int) -> list[tuple[float, str, str]]:
    """Draws the arrival times in seconds, pipelines and texts of one run."""
    rng = random.Random(seed)
    texts = [" ".join(rng.choices(WORDS, k=rng.randrange(60, 600))) for _ in range(TEXTS)]
    weights = [1 / (rank + 1) for rank in range(TEXTS)]
    drawn, at = [], 0.0
    while (at := at + rng.expovariate(RATE_PER_S)) < DURATION_S:
        pipeline = rng.choices(list(PIPELINES), list(PIPELINES.values()))[0]
        drawn.append((at, pipeline, rng.choices(texts, weights)[0]))
    return drawn


async def send_request(
    deployment: Deployment, host: str, pipeline: str, text: str, took_ms: list[float]
) -> bool:
    """Sends one request and records its time; returns false if it was not answered in full."""
    url = f"{deployment.url(host)}/v1/workspaces/{WORKSPACE}/pipelines/{pipeline}/runs"
    headers = {"Authorization": f"Bearer nasr-{WORKSPACE}-caller-key"}
    body = {"input": {"text": text, "fields": {}}, "max_tokens": MAX_TOKENS[pipeline]}
    started = time.perf_counter()
    timeout = aiohttp.ClientTimeout(total=30)
    async with deployment.session.post(
        url, json=body, headers=headers, timeout=timeout
    ) as response:
        await response.read()
        took_ms.append((time.perf_counter() - started) * 1000)
        return response.status == 200


async def read_counters(deployment: Deployment) -> tuple[Counter[str], Counter[str]]:
    """Returns the daemons' counts of calls by service and the engines' counts of tokens."""
    calls: Counter[str] = Counter()
    for host in deployment.host_names:
        async with deployment.session.get(deployment.operator_url(host) + "/metrics") as response:
            for service, count in ATTEMPTS.findall(await response.text()):
                calls[service] += int(float(count))
    tokens: Counter[str] = Counter()
    for target in deployment.targets("savoryfork-pool"):
        tokens.update((await deployment.state(target))["totals"])
    return calls, tokens


async def measure_cost(policy: str, seed: int) -> Cost:
    """Measures one run of one policy."""
    async with Deployment(NASR.small(), host_settings={"policy": policy}) as deployment:
        await deployment.publish(ROOT / "examples" / "nasr")
        took_ms: list[float] = []
        tasks = []
        started = time.perf_counter()
        for number, (at, pipeline, text) in enumerate(draw_arrivals(seed)):
            await asyncio.sleep(max(0.0, started + at - time.perf_counter()))
            host = deployment.host_names[number % len(deployment.host_names)]
            tasks.append(
                asyncio.create_task(send_request(deployment, host, pipeline, text, took_ms))
            )
        answered = sum(await asyncio.gather(*tasks))
        calls, tokens = await read_counters(deployment)
        quantiles = statistics.quantiles(took_ms, n=100)
        return Cost(
            answered / len(tasks),
            round(quantiles[49], 1),
            round(quantiles[98], 1),
            {service: round(count / answered, 3) for service, count in sorted(calls.items())},
            round(tokens["generated"] / answered, 2),
            round((tokens["prompt"] - tokens["cached"]) / answered, 2),
        )


async def main() -> None:
    """Measures all policies and prints a row for each run, then the summary."""
    costs: dict[str, list[Cost]] = {policy: [] for policy in POLICIES}
    for seed in SEEDS:
        for policy in POLICIES:
            cost = await measure_cost(policy, seed)
            costs[policy].append(cost)
            print(json.dumps({"policy": policy, "seed": seed, **cost._asdict()}), flush=True)
    totals = {p: statistics.median(sum(c.calls.values()) for c in costs[p]) for p in POLICIES}
    uncached = {p: statistics.median(c.uncached_prompt for c in costs[p]) for p in POLICIES}
    for name, values in (("calls", totals), ("uncached prompt tokens", uncached)):
        best = min(values[policy] for policy in POLICIES[1:])
        verdict = "met   " if values["adaptive"] <= MAX_COST_RATIO * best else "MISSED"
        ratio = values["adaptive"] / best
        print(f"  {verdict} {name} per answered request {ratio:.3f} of the better baseline")
    row: dict[str, Any] = {
        "scenario": "cost-by-stage",
        "measure": "uncached prompt tokens per answered request",
        "unit": "tokens",
        "better": "lower",
        "baselines": {policy: uncached[policy] for policy in POLICIES[1:]},
        "policy": uncached["adaptive"],
        "runs": len(SEEDS),
        "seed": SEEDS[0],
    }
    print(json.dumps(row))


if __name__ == "__main__":
    asyncio.run(main())
