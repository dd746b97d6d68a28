"""`python -m simulation --seed=N`: a line of JSON a run; exits with 1 if a promise was broken."""

from __future__ import annotations

import concurrent.futures
import functools
import itertools
import json
import logging
import os
import sys
import time
from collections.abc import Iterator, Sequence
from typing import Any

import plotext
from absl import app, flags

from simulation.disruptions import DEFAULT_KINDS, KINDS, PowerLoss, draw_plan
from simulation.run import Result, play, shrink

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "seed of the first run")
flags.DEFINE_integer("count", 1, "number of runs, with one seed each")
flags.DEFINE_list("hosts", ["9"], "numbers of hosts, taken in turn")
flags.DEFINE_list("kinds", list(DEFAULT_KINDS), "kinds of disruptions, of " + ", ".join(KINDS))
flags.DEFINE_integer("jobs", 1, "processes that play runs")
flags.DEFINE_bool("shrink", True, "reduce the first broken run to the fewest disruptions")
flags.DEFINE_bool("sweep", False, "plot the age of what hosts know against hosts that lose power")

# When the hosts of a sweep lose power, after the start of the changes.
SWEEP_AT_S = 3.0

# Hosts without power in a sweep, as shares of all.
SWEEP_SHARES = (0.0, 0.1, 0.25, 0.5, 0.75, 0.9)


def describe(result: Result) -> dict[str, Any]:
    """Returns the figures of a run for its line of JSON."""
    return {
        "seed": result.seed,
        "hosts": result.hosts,
        "disruptions": [type(disruption).__name__ for disruption in result.plan],
        "broken": [found._asdict() for found in result.broken],
        "max_lag_s": round(result.max_lag_s, 3),
        "reads_per_s": round(result.reads_per_s, 2),
        "bytes_per_s": round(result.bytes_per_s),
    }


def play_seed(kinds: Sequence[str], seed: int, hosts: int) -> Result:
    """Plays the run of a seed."""
    logging.disable(logging.CRITICAL)  # the hosts' own lines; the timeline tells what happened
    return play(seed, hosts, draw_plan(seed, hosts, kinds))


def play_all(seeds: Sequence[int], sizes: Sequence[int]) -> Iterator[Result]:
    """Plays the runs of some seeds, the sizes in turn, in the order of the seeds."""
    turns = list(itertools.islice(itertools.cycle(sizes), len(seeds)))
    run = functools.partial(play_seed, FLAGS.kinds)
    if FLAGS.jobs == 1:
        yield from map(run, seeds, turns)
        return
    with concurrent.futures.ProcessPoolExecutor(FLAGS.jobs) as pool:
        yield from pool.map(run, seeds, turns)


def print_timeline(result: Result) -> None:
    """Prints the disruptions of a run, and what happened when."""
    print(f"seed {result.seed}, {result.hosts} hosts: {len(result.plan)} disruption(s)")
    for at_s, text in result.timeline:
        print(f"{at_s:8.2f} s  {text}")


def sweep(sizes: Sequence[int]) -> None:
    """Plots the greatest age of the configuration against the number of hosts without power."""
    figure = plotext.figure
    figure.clear()
    figure.theme("colorless")
    figure.plot_size(90, 24)
    for hosts in sizes:
        lost = [round(share * hosts) for share in SWEEP_SHARES]
        lags = []
        for count in lost:
            plan = [PowerLoss(SWEEP_AT_S, tuple(range(count)), 0.0, 0.0)] if count else []
            lags.append(play(FLAGS.seed, hosts, plan).max_lag_s)
            print(json.dumps({"hosts": hosts, "lost": count, "max_lag_s": round(lags[-1], 3)}))
        signal = figure.signal(list(SWEEP_SHARES), lags)
        signal.lines()
        signal.label(f"{hosts} hosts")
        figure.draw(signal)
    figure.title("greatest age of the configuration (s) against the share of hosts without power")
    print(plotext.uncolorize(figure.build()))


def main(argv: list[str]) -> int:
    """Plays the runs and returns the exit code."""
    sizes = [int(hosts) for hosts in FLAGS.hosts]
    if FLAGS.sweep:
        logging.disable(logging.CRITICAL)
        sweep(sizes)
        return 0
    started_at = time.monotonic()
    broken: list[Result] = []
    host_seconds = 0.0
    for result in play_all(range(FLAGS.seed, FLAGS.seed + FLAGS.count), sizes):
        print(json.dumps(describe(result)), flush=True)
        host_seconds += result.hosts * result.seconds
        if result.broken:
            broken.append(result)
    if broken and FLAGS.shrink:
        logging.disable(logging.CRITICAL)
        print_timeline(shrink(broken[0]))
    took_s = time.monotonic() - started_at
    print(
        f"{FLAGS.count} runs, {len(broken)} broken: {[result.seed for result in broken]}; "
        f"{host_seconds / took_s:.0f} simulated host-seconds a second"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != "0":
        # Sets of addresses are iterated in the order of their hashes, which must not change.
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        arguments = [sys.executable, "-m", "simulation", *sys.argv[1:]]
        os.execve(sys.executable, arguments, environment)
    app.run(main)
