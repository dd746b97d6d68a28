"""The stage work of a large deployment is partitioned among several coordinators."""

from __future__ import annotations

import math
import random
from types import SimpleNamespace

import pytest

from savoryfork.forward import cells
from savoryfork.forward.cells import Cell
from savoryfork.forward.members import Member, Members
from savoryfork.forward.model import BatchLimits, ServiceInfo, Target
from savoryfork.forward.stages import Stages

SIZES = (17, 62, 74, 195, 320)
WEAK = (0.12, 0.2, 0.3, 0.45)
AMPLE = (0.5, 0.516, 1.0, 2.15)


def target(number: int) -> Target:
    return Target(f"t{number}", "s", f"10.0.0.{number}:1", f"z{number % 4}", number, 1, False)


class TestTargets:
    def test_each_target_is_in_one_cell_and_each_cell_spans_most_zones(self):
        """Coordinators that share a target would fill its slots and result space for each other.

        Calls would then be refused, and the accounting of free space would be wrong.
        """
        targets = [target(number) for number in range(8)]
        parts = [cells.targets_of(targets, Cell(number, 2)) for number in range(2)]
        assert sorted(parts[0] + parts[1]) == sorted(targets)
        assert all(len({t.zone for t in part}) >= 3 or len(part) == 4 for part in parts)

    def test_with_fewer_targets_than_cells_each_cell_uses_all(self):
        targets = [target(number) for number in range(2)]
        assert cells.targets_of(targets, Cell(2, 3)) == targets


class TestRequests:
    def test_cells_get_equal_parts_of_the_requests(self):
        """The cells of 82 hosts share 100 staged requests a second evenly.

        A single coordinator would need more than one core.
        """
        counts = [0, 0]
        for number in range(1_000):
            counts[cells.cell_of(f"request-{number}", cells.cell_count([1.0] * 82, 10)).number] += 1
        assert min(counts) > 400


class TestCount:
    """The number of cells by the strengths of the hosts and the targets of a service."""

    @pytest.mark.parametrize("hosts", SIZES)
    @pytest.mark.parametrize("strength", AMPLE)
    def test_ample_hosts_keep_their_division(self, hosts, strength):
        """Guards against small cells at full size, which fill batches poorly."""
        assert cells.cell_count([strength] * hosts, 1_000) == max(1, hosts // 30)

    @pytest.mark.parametrize("hosts", SIZES)
    @pytest.mark.parametrize("strength", WEAK)
    def test_weak_hosts_coordinate_no_more_than_they_can_carry(self, hosts, strength):
        """Guards against a coordinator of 0.12 of a core for 17 hosts, which served 0.563."""
        count = cells.cell_count([strength] * hosts, 1_000)
        assert count >= max(1, hosts // 30)
        carried = cells.hosts_per_cell(strength)
        assert hosts / count < carried + max(1, carried / count)

    def test_cells_of_the_trial(self):
        assert cells.cell_count([0.12] * 17, 8) == 3

    @pytest.mark.parametrize("hosts", SIZES)
    @pytest.mark.parametrize("strength", [*WEAK, *AMPLE])
    @pytest.mark.parametrize("targets", [1, 2, 8, 10])
    def test_never_more_cells_than_targets(self, hosts, strength, targets):
        """Guards against cells that share targets, and fill each other's slots and space."""
        assert 1 <= cells.cell_count([strength] * hosts, targets) <= targets

    @pytest.mark.parametrize("hosts", SIZES)
    def test_the_weakest_coordinator_counts_and_no_other_host(self, hosts):
        """Guards against small cells because of weak hosts that coordinate nothing."""
        strengths = [0.387] * (hosts // 2) + [2.15] * (hosts - hosts // 2)
        assert cells.cell_count(strengths, 1_000) == max(1, hosts // 30)

    def test_one_strong_host_does_not_make_weak_ones_coordinate_large_cells(self):
        """Guards against a second coordinator of 0.12 of a core for half of 62 hosts."""
        assert cells.cell_count([0.12] * 61 + [2.15], 100) == 12
        assert cells.cell_count([0.12] * 16 + [2.15], 100) == 1

    @pytest.mark.parametrize("hosts", SIZES)
    @pytest.mark.parametrize("strength", [*WEAK, *AMPLE])
    def test_added_hosts_never_make_fewer_cells(self, hosts, strength):
        """Guards against a division that gets worse when hosts are added at 0.75 of the number."""
        before = cells.cell_count([strength] * hosts, 10)
        grown = cells.cell_count([strength] * (hosts + math.ceil(0.75 * hosts)), 10)
        assert before <= grown <= 10

    @pytest.mark.parametrize("hosts", SIZES)
    def test_the_order_of_the_hosts_does_not_matter(self, hosts):
        """Guards against hosts that disagree, as each lists itself first."""
        rng = random.Random(hosts)
        strengths = [rng.choice([0.12, 0.3, 0.5, 2.15, math.nan, -1.0]) for _ in range(hosts)]
        count = cells.cell_count(strengths, 10)
        for _ in range(20):
            rng.shuffle(strengths)
            assert cells.cell_count(strengths, 10) == count

    @pytest.mark.parametrize(
        "strengths", [[], [0.0], [-1.0] * 40, [math.nan] * 40, [math.inf] * 40]
    )
    def test_odd_strengths_give_some_number(self, strengths):
        """Guards against an error for each request because of one host's entry."""
        assert 1 <= cells.cell_count(strengths, 10) <= 10


def follower_of(hosts: int, first: int, strength: float) -> SimpleNamespace:
    """Returns what `Stages` reads of the follower of a host that knows all others."""
    entries = [
        Member(f"10.0.0.{n}:7000", "z", 1, 0, False, True, strength=strength) for n in range(hosts)
    ]
    members = Members(entries[first], [])
    members.merge(entries, entries[first].address, 0.0)
    targets = {
        f"{service}-{n}": target(n)._replace(service=service)
        for service, count in (("a", 6), ("b", 10), ("plain", 1))
        for n in range(count)
    }
    limits = BatchLimits(1, 8, 150.0, 1.0, 0.0, 4_000.0)
    services = {
        "a": ServiceInfo("a", limits),
        "b": ServiceInfo("b", limits),
        "gone": ServiceInfo("gone", limits),
        "plain": ServiceInfo("plain"),
    }
    registry = SimpleNamespace(targets=targets, by_service={})
    return SimpleNamespace(
        members=members, registry=registry, catalog=SimpleNamespace(services=services)
    )


def stages_of(follower: SimpleNamespace) -> Stages:
    return Stages(follower, SimpleNamespace(pools=None), None, None)


class TestDivision:
    def test_all_hosts_agree_on_the_coordinators(self):
        """Guards against requests of a cell that reach different coordinators."""
        divisions = [stages_of(follower_of(62, n, 0.12)).division(0.0) for n in (0, 7, 61)]
        assert len({tuple(division.coordinators) for division in divisions}) == 1
        assert len(set(divisions[0].coordinators)) == 6

    def test_only_stage_services_with_targets_bound_the_number(self):
        """Guards against one cell because of a plain service, or a service without targets."""
        assert stages_of(follower_of(62, 0, 0.12)).smallest_service() == 6

    def test_targets_that_leave_do_not_change_the_division(self):
        """Guards against requests that change their coordinator with each restart of a target."""
        follower = follower_of(62, 0, 0.12)
        targets = follower.registry.targets
        targets["a-0"] = targets["a-0"]._replace(leaving=True)
        assert stages_of(follower).smallest_service() == 6

    def test_changes_of_hosts_targets_and_configuration_are_seen(self):
        """Guards against a division that is kept although what it was derived from changed."""
        follower = follower_of(62, 0, 0.12)
        stages = stages_of(follower)
        first = stages.division(0.0)
        assert stages.division(1.0) is first
        lost = first.coordinators[0]
        follower.members.record_failure(lost, 2.0)
        assert lost == "10.0.0.0:7000" or lost not in stages.division(2.0).coordinators
        del follower.registry.targets["a-0"]
        follower.registry.by_service = {}
        assert len(stages.division(2.0).coordinators) == 5
        follower.catalog = SimpleNamespace(services={})
        assert len(stages.division(2.0).coordinators) == 1

    def test_host_knows_its_own_cell(self):
        """Guards against a metric that names a cell for a host that coordinates none."""
        found = [stages_of(follower_of(62, n, 0.12)).coordinated_cell(0.0) for n in range(62)]
        assert sorted(cell for cell in found if cell >= 0) == list(range(6))
