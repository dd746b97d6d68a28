"""`python -m soak --seed=N`: prints a line of JSON; exits with 1 if a guarantee was violated."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from pathlib import Path
from typing import Any

from absl import app, flags

from soak import faults, promises
from soak.callers import Callers
from soak.site import READY_TIMEOUT_S, Site

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "seed of the faults and of the callers")
flags.DEFINE_float("seconds", 10.0, "faults begin within this many seconds")
flags.DEFINE_integer("faults", 14, "number of faults")
flags.DEFINE_list("kinds", list(faults.KINDS), "kinds of faults")
flags.DEFINE_integer("hosts", 3, "forwarding hosts")
flags.DEFINE_integer("callers", 12, "concurrent callers")
flags.DEFINE_string("folder", "run/soak", "directory for the settings and logs of the hosts")

# Once all hosts are ready again after the last fault, requests must be served within this time; the
# platform requires 12 s.
RECOVERY_S = 4.0

# Period after recovery in which callers send requests without faults.
CALM_S = 2.0


async def run_soak() -> dict[str, Any]:
    """Executes one run and returns its result."""
    seed, seconds = FLAGS.seed, FLAGS.seconds
    folder = Path(FLAGS.folder) / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    plan = faults.plan(seed, seconds, FLAGS.faults, FLAGS.kinds)
    async with Site(FLAGS.hosts, folder) as site:
        callers = Callers(site, seed, FLAGS.callers)
        sending = asyncio.create_task(callers.run())
        started_at = asyncio.get_running_loop().time()
        injections = []
        for fault in plan:
            await asyncio.sleep(started_at + fault.start_s - asyncio.get_running_loop().time())
            injections.append(asyncio.create_task(site.inject(fault)))
        await asyncio.gather(*injections)
        async with asyncio.timeout(READY_TIMEOUT_S):
            await asyncio.gather(*(site.until_ready(host) for host in site.hosts))
        await asyncio.sleep(RECOVERY_S)
        callers.calm = True
        await asyncio.sleep(CALM_S)
        callers.stopping = True
        await sending
        runs: Counter[str] = Counter()
        for _, replica in site.replicas:
            runs.update(replica.run_counts)
        requests = [request for _, replica in site.replicas for request in replica.received]
        violations = promises.check(callers.attempts, runs, requests, site.revoked)
        violations += promises.check_incarnations(callers.attempts, runs, site.revoked)
        violations += promises.check_applied(
            callers.attempts, site.published, site.revoked, site.outages
        )
        violations += promises.check_pauses(callers.attempts, site.streams_broken_off())
        violations += [promises.Break("exit", None, text) for text in site.unexpected_exits]
        if site.odd_connections:
            text = f"{site.odd_connections} connections to addresses of odd entries"
            violations.append(promises.Break("odd_entry_used", None, text))
    statuses = Counter(str(attempt.status) for attempt in callers.attempts)
    return {
        "seed": seed,
        "faults": [
            f"{fault.start_s} {fault.kind} {fault.selector} {fault.duration_s}" for fault in plan
        ],
        "attempts": len(callers.attempts),
        "statuses": dict(statuses),
        "broken": [str(item) for item in violations[:20]],
    }


def main(argv: list[str]) -> int:
    """Executes one run, prints its result and returns the exit code."""
    result = asyncio.run(run_soak())
    print(json.dumps(result))
    return 1 if result["broken"] else 0


if __name__ == "__main__":
    app.run(main)
