"""The stage work of a large deployment is partitioned among several coordinators."""

from savoryfork.forward import cells
from savoryfork.forward.cells import Cell
from savoryfork.forward.model import Target


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
            counts[cells.cell_of(f"request-{number}", cells.cell_count(82)).number] += 1
        assert min(counts) > 400
