"""`python -m soak --seed=N`: one run; prints a line of JSON, exits with 1 if a promise broke."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from pathlib import Path
from typing import Any

from absl import app, flags

from soak import faults, promises
from soak.callers import Callers
from soak.site import READY_S, Site

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "what happens in the run follows from it")
flags.DEFINE_float("seconds", 10.0, "time in which faults begin")
flags.DEFINE_integer("faults", 14, "how many faults are drawn")
flags.DEFINE_integer("hosts", 3, "forwarding hosts")
flags.DEFINE_integer("callers", 12, "callers that send all the time")
flags.DEFINE_string("folder", "run/soak", "where settings and logs of the hosts are kept")

# After the last fault and once all hosts are ready again, requests must be served within this (the
# platform asks for 12 s), and callers then send for a while.
RECOVERY_S = 4.0
CALM_S = 2.0


async def play() -> dict[str, Any]:
    """Plays one run and gives its result."""
    seed, seconds = FLAGS.seed, FLAGS.seconds
    folder = Path(FLAGS.folder) / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    plan = faults.plan(seed, seconds, FLAGS.faults)
    async with Site(FLAGS.hosts, folder) as site:
        callers = Callers(site, seed, FLAGS.callers)
        sending = asyncio.create_task(callers.run())
        began = asyncio.get_running_loop().time()
        strikes = []
        for fault in plan:
            await asyncio.sleep(began + fault.at_s - asyncio.get_running_loop().time())
            strikes.append(asyncio.create_task(site.strike(fault)))
        await asyncio.gather(*strikes)
        async with asyncio.timeout(READY_S):
            await asyncio.gather(*(site.until_ready(host) for host in site.hosts))
        await asyncio.sleep(RECOVERY_S)
        callers.calm = True
        await asyncio.sleep(CALM_S)
        callers.ending = True
        await sending
        runs: Counter[str] = Counter()
        for _, replica in site.replicas:
            runs.update(replica.run_counts)
        seen = [request for _, replica in site.replicas for request in replica.received]
        broken = promises.check(callers.attempts, runs, seen, site.revoked)
        broken += [promises.Break("exit", None, text) for text in site.exits]
    statuses = Counter(str(attempt.status) for attempt in callers.attempts)
    return {
        "seed": seed,
        "faults": [f"{fault.at_s} {fault.kind} {fault.victim} {fault.for_s}" for fault in plan],
        "attempts": len(callers.attempts),
        "statuses": dict(statuses),
        "broken": [str(item) for item in broken[:20]],
    }


def main(argv: list[str]) -> int:
    """Plays and prints."""
    result = asyncio.run(play())
    print(json.dumps(result))
    return 1 if result["broken"] else 0


if __name__ == "__main__":
    app.run(main)
