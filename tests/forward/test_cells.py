"""The stage work of a large deployment is divided among several coordinators."""

from savoryfork.forward import cells
from savoryfork.forward.cells import Cell
from savoryfork.forward.model import Target


def target(number: int) -> Target:
    return Target(f"t{number}", "s", f"10.0.0.{number}:1", f"z{number % 4}", number, 1, False)


class TestTargets:
    def test_each_target_has_one_cell_and_each_cell_most_zones(self):
        """Two coordinators that use one target refuse each other's calls and lose its room."""
        targets = [target(number) for number in range(8)]
        parts = [cells.targets_of(targets, Cell(number, 2)) for number in range(2)]
        assert sorted(parts[0] + parts[1]) == sorted(targets)
        assert all(len({t.zone for t in part}) >= 3 or len(part) == 4 for part in parts)

    def test_a_cell_without_a_target_of_its_own_uses_all(self):
        targets = [target(number) for number in range(2)]
        assert cells.targets_of(targets, Cell(2, 3)) == targets


class TestRequests:
    def test_cells_get_equal_parts_of_the_requests(self):
        """82 hosts, 100 staged requests a second: one coordinator would need more than a core."""
        counts = [0, 0]
        for number in range(1_000):
            counts[cells.cell_of(f"request-{number}", cells.cell_count(82)).number] += 1
        assert min(counts) > 400
