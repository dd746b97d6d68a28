"""Partitions the stage work of a large deployment into cells, each with its own coordinator.

Load pattern: all staged requests of a deployment reach its coordinators, and a burst doubles them.
A coordinator that has no processor time left answers late, so that its queue is predicted from what
was true some time ago, calls end late and pings fail. One host could not schedule the 100 staged
requests a second of 82 hosts; one of 17 hosts of 0.12 of a core each could not schedule theirs.
Each cell gets an equal part of the requests and of every service's targets. Larger cells fill
batches better, so there are only as many cells as the processors of their coordinators require.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from savoryfork.forward.members import STRONG_SHARE
from savoryfork.forward.model import Target
from savoryfork.util import rendezvous

# Hosts for which one coordinator of AMPLE_STRENGTH is enough: with 9 hosts and some 27 requests a
# second, no host of fri-calcare inc-8090 used more than 0.17 of a core. Larger cells are untested;
# cells of 5 and 12 hosts served far fewer requests where coordinators had 1.07 cores or more.
HOSTS_PER_CELL = 30
AMPLE_STRENGTH = 0.5

# Smaller cells are untested. With 0.12 of a core each, cells of 5 hosts served 0.896 of the
# requests, one cell of all 17 hosts 0.563 (trials, before the cost of a request was reduced).
MIN_HOSTS_PER_CELL = 5

# Processor time of a staged request at its coordinator, in ms of a core of ordinary speed. Without
# the system's part, bench.coordinator measures 0.4 for scheduling and 0.1 for logs, and 0.1 for
# calls to targets; messages between hosts and pings take some 0.5, as calculated from 0.15 for each
# end of a call. Other work on the same machine lengthens the sum of 1.1 by up to twice.
REQUEST_MS = 2.0

# Staged requests a second that each host brings in a burst, twice the usual 2.5 of wrekin, and the
# share of a coordinator's processor for them. The rest is for the requests of its own callers.
REQUESTS_PER_HOST = 5.1
COORDINATION_SHARE = 0.5


class Cell(NamedTuple):
    """One of `cells` partitions of the stage targets, numbered from 0."""

    number: int
    cells: int


# The only cell of an undivided deployment.
UNDIVIDED = Cell(0, 1)


def hosts_per_cell(strength: float) -> int:
    """Returns the hosts whose stage work one coordinator of a strength can carry.

    A strength that is not positive counts as none.

    >>> [hosts_per_cell(strength) for strength in (0.0, 0.12, 0.24, 0.39, 0.5, 2.15)]
    [5, 5, 11, 19, 30, 30]
    """
    if strength >= AMPLE_STRENGTH:
        return HOSTS_PER_CELL
    budget_ms = COORDINATION_SHARE * 1000 * strength if strength > 0.0 else 0.0
    carried = int(budget_ms / (REQUESTS_PER_HOST * REQUEST_MS))
    return min(HOSTS_PER_CELL, max(MIN_HOSTS_PER_CELL, carried))


def cell_count(strengths: Sequence[float], targets: int) -> int:
    """Returns the number of cells for hosts of some strengths.

    `targets` is the number of targets of the smallest stage service, which is never exceeded. The
    hosts below STRONG_SHARE of the strongest one coordinate only if there are more cells than
    others, so the weakest coordinator determines the size of the cells. It depends on no order, and
    hosts with the same membership and targets agree on it.

    >>> [cell_count([2.15] * hosts, 10) for hosts in (1, 12, 59, 60, 82, 300)]
    [1, 1, 1, 2, 2, 10]
    >>> [cell_count([0.12] * hosts, 10) for hosts in (4, 17, 62)], cell_count([0.12] * 17, 2)
    ([1, 3, 10], 2)
    >>> cell_count([0.387] * 40 + [2.15] * 34, 8)
    2
    """
    if not strengths or targets < 1:
        return 1
    # What is no number compares with nothing, and the order of the hosts would matter.
    valid = [strength if strength > 0.0 else 0.0 for strength in strengths]
    weakest = min(valid)
    min_strength = STRONG_SHARE * max(valid)
    strong = [strength for strength in valid if strength >= min_strength]
    for cells in range(1, min(targets, len(strengths)) + 1):
        coordinator = min(strong) if cells <= len(strong) else weakest
        if cells >= len(strengths) // hosts_per_cell(coordinator):
            return cells
    return min(targets, len(strengths))


def cell_of(request_id: str, count: int) -> Cell:
    """Returns the cell that runs the stages of a request.

    >>> cell_of("r1", 1)
    Cell(number=0, cells=1)
    """
    return Cell(rendezvous.score("cell", request_id) % count, count)


def targets_of(targets: Sequence[Target], cell: Cell) -> list[Target]:
    """Returns the targets of a service that a cell uses; all if there are fewer than cells.

    Consecutive targets in zone order go to different cells, so each cell has targets in most zones.
    """
    if len(targets) < cell.cells:
        return list(targets)
    ordered = sorted(targets, key=lambda target: (target.zone, target.name))
    return ordered[cell.number :: cell.cells]
