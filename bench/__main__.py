"""Runs the scenarios: policy against baselines. The last lines are JSON, one per scenario."""

from __future__ import annotations

import concurrent.futures
import json
import time

from absl import app, flags

from bench import scenarios, virtual

FLAGS = flags.FLAGS
flags.DEFINE_multi_string("scenario", [], "Only these scenarios.")
flags.DEFINE_integer("runs", 3, "Runs per policy, each with a seed of its own.", lower_bound=1)
flags.DEFINE_integer("seed", 1, "The first seed.")
flags.DEFINE_integer("workers", 4, "Processes that run in parallel.", lower_bound=1)


def one(scenario: str, setting: str, policy: str, seed: int) -> virtual.Result:
    """One run, in a process of its own."""
    found = next(s for s in scenarios.SCENARIOS if s.name == scenario)
    return virtual.run(found.settings[setting](seed), found.policies[policy], seed)


def main(argv: list[str]) -> None:
    """Runs what the flags ask for."""
    chosen = [s for s in scenarios.SCENARIOS if not FLAGS.scenario or s.name in FLAGS.scenario]
    seeds = range(FLAGS.seed, FLAGS.seed + FLAGS.runs)
    began = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(FLAGS.workers) as pool:
        pending = {
            s.name: {
                setting: {
                    policy: [pool.submit(one, s.name, setting, policy, seed) for seed in seeds]
                    for policy in s.policies
                }
                for setting in s.settings
            }
            for s in chosen
        }
        reports = []
        for scenario in chosen:
            found = {
                setting: {name: [f.result() for f in runs] for name, runs in by_policy.items()}
                for setting, by_policy in pending[scenario.name].items()
            }
            report = scenario.judge(found, FLAGS.runs, FLAGS.seed)
            reports.append(report)
            print(f"{scenario.name}")
            for note in report.notes:
                print(f"  {note}")
            for check in report.checks:
                print(f"  {'met   ' if check.met else 'MISSED'} {check.text}", flush=True)
    print(f"{time.monotonic() - began:.0f} s")
    for report in reports:
        print(json.dumps(report.row._asdict()))


if __name__ == "__main__":
    app.run(main)
