"""Measures what keeping requests from targets that they crash costs each request.

Run with `python -m bench.quarantine`. A host checks every request at its admission and before its
send. While no whole request is suspected, only the parts of its prompt are looked up; else its
body is hashed as well. The last line is JSON.
"""

from __future__ import annotations

import json
import random
import statistics
import time
from typing import Any, cast

from savoryfork.forward.crashes import CrashMonitor
from savoryfork.forward.follower import Follower
from savoryfork.forward.metrics import ForwardMetrics
from savoryfork.forward.model import CallerRequest, Prompt, PromptPart
from savoryfork.forward.quarantine import Quarantine, Report
from savoryfork.forward.run import ResponseWriter, Run
from savoryfork.util.background import BackgroundTasks

RUNS = 5
REQUESTS = 2_000
SEED = 1

# Bodies of requests with a prompt on the users' sheets, in bytes.
MIN_BODY, MAX_BODY = 18_000, 110_000

# Requests with a prompt that a host of the planned size receives: 7,300 a second over 320 hosts.
REQUESTS_PER_HOST_S = 7_300 / 320


class QuietFollower:
    """What a crash monitor uses of a follower, without a store or other hosts."""

    def __init__(self) -> None:
        self.quarantine = Quarantine()
        self.metrics = ForwardMetrics()

    def now(self) -> float:
        """Returns a fixed time."""
        return 0.0


def make_run(number: int, body: bytes) -> Run:
    """Returns a request with a prompt of four parts, three of them shared."""
    parts = tuple(PromptPart(f"part{number % 40}-{n}", 500) for n in range(4))
    request = CallerRequest(
        b"r%d" % number,
        b"POST",
        b"/chat/%d" % number,
        "a.example",
        [],
        "k1",
        None,
        Prompt(2_000, parts),
        (),
        "",
    )
    return Run(request, body, cast(ResponseWriter, None), 0.0)


def measure(suspected: bool) -> float:
    """Returns the processor time for each request, in microseconds, over its two checks."""
    follower = QuietFollower()
    monitor = CrashMonitor(cast(Follower, follower), BackgroundTasks())
    if suspected:
        for number in range(2):
            report = Report(f"e{number}", 1, (), False, 12345)
            follower.quarantine.add_local(f"report/{number}", report, 0.0)
    rng = random.Random(SEED)
    bodies = [rng.randbytes(rng.randrange(MIN_BODY, MAX_BODY)) for _ in range(50)]
    runs = [make_run(number, bodies[number % len(bodies)]) for number in range(REQUESTS)]
    started = time.process_time()
    for run in runs:
        monitor.admit(run)
        monitor.check(run)
        monitor.forget(run)
    return (time.process_time() - started) / REQUESTS * 1e6


def main() -> None:
    """Prints the cost with and without a suspected request, then the summary."""
    quiet = statistics.median(measure(False) for _ in range(RUNS))
    hashing = statistics.median(measure(True) for _ in range(RUNS))
    share = hashing * REQUESTS_PER_HOST_S / 1e4
    print(f"  {share:.3f} % of a core at {REQUESTS_PER_HOST_S:.0f} requests a second while hashing")
    row: dict[str, Any] = {
        "scenario": "quarantine",
        "measure": "processor time per request while a whole request is suspected",
        "unit": "us",
        "better": "lower",
        "baselines": {"nothing suspected": round(quiet, 2)},
        "policy": round(hashing, 2),
        "runs": RUNS,
        "seed": SEED,
    }
    print(json.dumps(row))


if __name__ == "__main__":
    main()
