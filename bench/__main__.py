"""Compares the policy with the baselines; the last lines are JSON, one per scenario."""

from __future__ import annotations

import concurrent.futures
import json
import time

from absl import app, flags

from bench import scenarios, virtual

FLAGS = flags.FLAGS
flags.DEFINE_multi_string("scenario", [], "Only these scenarios.")
flags.DEFINE_integer("runs", 3, "Runs per policy, each with a different seed.", lower_bound=1)
flags.DEFINE_integer("seed", 1, "The first seed.")
flags.DEFINE_integer("workers", 4, "Processes that run in parallel.", lower_bound=1)


def run_policy(scenario: str, setting: str, policy: str, seed: int) -> virtual.Result:
    """Runs one scenario under one policy; called in a worker process."""
    selected = next(s for s in scenarios.SCENARIOS if s.name == scenario)
    return virtual.run(selected.settings[setting](seed), selected.policies[policy], seed)


def main(argv: list[str]) -> None:
    """Runs the selected scenarios and prints their reports."""
    selected = [s for s in scenarios.SCENARIOS if not FLAGS.scenario or s.name in FLAGS.scenario]
    seeds = range(FLAGS.seed, FLAGS.seed + FLAGS.runs)
    started = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(FLAGS.workers) as pool:
        pending = {
            s.name: {
                setting: {
                    policy: [
                        pool.submit(run_policy, s.name, setting, policy, seed) for seed in seeds
                    ]
                    for policy in s.policies
                }
                for setting in s.settings
            }
            for s in selected
        }
        reports = []
        for scenario in selected:
            results = {
                setting: {name: [f.result() for f in runs] for name, runs in by_policy.items()}
                for setting, by_policy in pending[scenario.name].items()
            }
            report = scenario.evaluate(results, FLAGS.runs, FLAGS.seed)
            reports.append(report)
            print(f"{scenario.name}")
            for note in report.notes:
                print(f"  {note}")
            for check in report.checks:
                print(f"  {'met   ' if check.passed else 'MISSED'} {check.text}", flush=True)
    print(f"{time.monotonic() - started:.0f} s")
    for report in reports:
        print(json.dumps(report.row._asdict()))


if __name__ == "__main__":
    app.run(main)
