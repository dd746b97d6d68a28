"""Divides the stage work of a large deployment among several coordinators.

Load pattern answered: 82 hosts send 100 staged requests a second. One coordinator's decisions take
some milliseconds of a core for each request, and more the longer its queues are, so one host can't
make them all. Each cell gets an equal part of every service's targets and of the requests, and a
coordinator of its own; up to 59 hosts form one cell, in which calls are as full as can be.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from savoryfork.forward.model import Target
from savoryfork.util import rendezvous

# Hosts for which one coordinator is enough: with 9 hosts and some 27 requests a second, no host of
# fri-calcare inc-8090 used more than 0.17 of a core. Larger cells were not measured.
HOSTS_PER_CELL = 30


class Cell(NamedTuple):
    """One of `cells` parts of the stage targets, numbered from 0."""

    number: int
    cells: int


# The only cell of a deployment that is not divided.
UNDIVIDED = Cell(0, 1)


def cell_count(hosts: int) -> int:
    """The number of cells for so many hosts.

    >>> [cell_count(hosts) for hosts in (1, 12, 59, 60, 82, 300)]
    [1, 1, 1, 2, 2, 10]
    """
    return max(1, hosts // HOSTS_PER_CELL)


def cell_of(request_id: str, count: int) -> Cell:
    """The cell that does the stages of a request.

    >>> cell_of("r1", 1)
    Cell(number=0, cells=1)
    """
    return Cell(rendezvous.score("cell", request_id) % count, count)


def targets_of(targets: Sequence[Target], cell: Cell) -> list[Target]:
    """The targets of a service that a cell uses; all of them if there are too few for each.

    Consecutive targets in order of zone go to different cells, so each cell has some in most zones.
    """
    if len(targets) < cell.cells:
        return list(targets)
    ordered = sorted(targets, key=lambda target: (target.zone, target.name))
    return ordered[cell.number :: cell.cells]
