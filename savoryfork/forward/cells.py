"""Partitions the stage work of a large deployment into cells, each with its own coordinator.

A coordinator needs some milliseconds of CPU per request, and more as its queues grow, so one host
can't schedule the 100 staged requests a second of 82 hosts. Each cell gets an equal part of the
requests and of every service's targets. Up to 59 hosts form one cell, which fills batches best.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from savoryfork.forward.model import Target
from savoryfork.util import rendezvous

# Hosts for which one coordinator is enough: with 9 hosts and some 27 requests a second, no host of
# fri-calcare inc-8090 used more than 0.17 of a core. Larger cells are untested.
HOSTS_PER_CELL = 30


class Cell(NamedTuple):
    """One of `cells` partitions of the stage targets, numbered from 0."""

    number: int
    cells: int


# The only cell of an undivided deployment.
UNDIVIDED = Cell(0, 1)


def cell_count(hosts: int) -> int:
    """Returns the number of cells for a number of hosts.

    >>> [cell_count(hosts) for hosts in (1, 12, 59, 60, 82, 300)]
    [1, 1, 1, 2, 2, 10]
    """
    return max(1, hosts // HOSTS_PER_CELL)


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
