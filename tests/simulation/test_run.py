"""The simulation finds faults that are put in, and none in the product."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from savoryfork.forward.deadlines import ChangeBounds
from savoryfork.forward.gate import Gate
from savoryfork.forward.knowledge import TopicTable
from savoryfork.forward.registry import Registry
from simulation.disruptions import Freeze, HistoryLost, PeerCut, PowerLoss, StoreCut, StoreDown
from simulation.run import play, shrink

ROOT = Path(__file__).parents[2]

# Time limit of the seeded runs, also on a busy machine.
TIMEOUT_S = 400.0

FIRST_LOST = PowerLoss(3.0, (0, 1, 2, 3, 4), 0.0, 0.0)
ISOLATED = (
    StoreCut(0.5, (0, 1), 8.0, refused=False),
    PeerCut(0.5, (0, 1), 8.0, one_way=False),
)


# Runs with one plan: which keys, targets and zones change, and when, differs from seed to seed.
SEEDS = range(1, 7)


def promises(hosts, *plan):
    """Returns the promises that some of the runs with a plan break."""
    return {found.promise for seed in SEEDS for found in play(seed, hosts, plan).broken}


@pytest.mark.usefixtures("quiet_logs")
class TestFaults:
    """Guards against a simulation that sees nothing."""

    @pytest.mark.parametrize(
        "plan", [pytest.param((FIRST_LOST,), id="lost"), pytest.param(ISOLATED, id="isolated")]
    )
    def test_nothing_is_broken_without_a_fault(self, plan):
        assert promises(9, *plan) == set()

    def test_copy_without_a_deadline(self, monkeypatch):
        monkeypatch.setattr(ChangeBounds, "deadline_ms", lambda bounds, topic: 60_000.0)
        assert "CONFIG" in promises(9, FIRST_LOST)

    def test_removal_that_is_not_read(self, monkeypatch):
        monkeypatch.setattr(Registry, "drop", lambda *details: [])
        monkeypatch.setattr(Registry, "may_get_work", lambda self, target: True)
        assert "DRAIN" in promises(3)

    def test_evacuation_that_is_not_read(self, monkeypatch):
        monkeypatch.setattr(Registry, "set_evacuated", lambda *details: [])
        assert "EVAC" in promises(3)

    def test_key_that_is_trusted_for_too_long(self, monkeypatch):
        monkeypatch.setattr(Gate, "check_age", lambda *details: None)
        assert "keys" in promises(9, *ISOLATED)

    def test_age_that_does_not_count_while_frozen(self, monkeypatch):
        monkeypatch.setattr(TopicTable, "trusted_age_ms", lambda *details: 0.0)
        assert "keys" in promises(9, Freeze(0.5, (0, 1, 2), 0.0, 7.0))

    def test_denial_by_an_old_configuration(self, monkeypatch):
        monkeypatch.setattr(Gate, "denial_ms", lambda gate: gate.trusted_ms)
        assert "DENIED" in promises(9, *ISOLATED)


@pytest.mark.usefixtures("quiet_logs")
class TestReplay:
    def test_same_run_again(self):
        """Guards against a seed that cannot be traced."""
        plan = [FIRST_LOST, HistoryLost(2.0)]
        assert play(3, 9, plan) == play(3, 9, plan)

    def test_fewest_disruptions(self, monkeypatch):
        monkeypatch.setattr(ChangeBounds, "deadline_ms", lambda bounds, topic: 60_000.0)
        plan = [HistoryLost(0.5), FIRST_LOST, StoreDown(9.0, 0.2)]
        smallest = shrink(play(1, 9, plan))
        assert smallest.broken and len(smallest.plan) == 1
        assert len(smallest.plan[0].ranks) <= len(FIRST_LOST.ranks)


class TestSeeds:
    def test_no_promise_is_broken(self):
        """Guards against an order of losses, changes and reads that nobody has thought of."""
        command = [sys.executable, "-m", "simulation", "--seed=1", "--count=40"]
        command += ["--hosts=3,9,9,24", "--jobs=2"]
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
        )
        lines = [json.loads(line) for line in done.stdout.splitlines() if line.startswith("{")]
        assert len(lines) == 40 and not any(line["broken"] for line in lines), done.stdout[-3000:]
        assert done.returncode == 0

    def test_sweep_prints_its_points_and_a_plot(self):
        """Guards against a plot by functions that the library does not have."""
        command = [sys.executable, "-m", "simulation", "--sweep", "--hosts=3"]
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
        )
        assert done.returncode == 0, done.stderr[-2000:]
        points = [line for line in done.stdout.splitlines() if line.startswith("{")]
        assert len(points) == 6 and "3 hosts" in done.stdout
