"""Running sums of a coordinator's unfinished and recent work, from which queues are predicted.

Load pattern: a burst leaves some hundred requests unfinished at a coordinator on a weak host. Each
admission looks at the pieces ahead twice, and each review once for every request that has not
started, so walks over all requests took half of the coordinator's processor time, most of it when
it had none to spare. The sums are updated when work is admitted, becomes late, finishes a stage or
ends; a look at them takes as many steps as there are priorities and due times.

Calls are ordered by due time within a priority. A kind with a long objective does not count as
ahead of one with a short objective, which would be refused behind hundreds that it goes before.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from savoryfork.forward.cells import Cell
from savoryfork.forward.work import Work

# Due times, and objectives, that differ by less than this count as equal.
DUE_STEP_MS = 50.0

# Later ones count as equal, so that one without end has a rank.
MAX_DUE_MS = 1e12

# The urgency of work, and the number of a step of due times, or of objectives; lower goes first.
Rank = tuple[tuple[int, bool], int]

# Pieces by service, for each rank.
Sums = dict[Rank, dict[str, int]]


def rank_of(work: Work, due_ms: float) -> Rank:
    """Returns the rank of work by its urgency and by when it is due."""
    return work.urgency(), int(max(-MAX_DUE_MS, min(MAX_DUE_MS, due_ms)) // DUE_STEP_MS)


class Unfinished(NamedTuple):
    """What work adds to the sums: `pieces` of the stages without results, by service.

    `yields` is True for late work without results, which waits behind all other work.
    """

    cell: Cell
    rank: Rank
    yields: bool
    pieces: dict[str, int]


class Arrival(NamedTuple):
    """Accepted work and its admission time."""

    at: float
    work: Work


def unfinished_of(work: Work) -> Unfinished:
    """Returns what work adds to the sums now."""
    pieces: dict[str, int] = {}
    for stage in work.nonempty_stages():
        if stage not in work.results:
            service = work.plans[stage].service
            pieces[service] = pieces.get(service, 0) + work.pieces[stage]
    rank = rank_of(work, work.aim_at)
    return Unfinished(work.cell, rank, work.late and not work.results, pieces)


def add_pieces(sums: Sums, rank: Rank, pieces: dict[str, int], sign: int) -> None:
    """Adds pieces to the sums of a rank, or takes them away if `sign` is -1.

    >>> sums = {}
    >>> rank = ((1, False), 20)
    >>> add_pieces(sums, rank, {"a": 3}, 1)
    >>> add_pieces(sums, rank, {"a": 2}, -1)
    >>> sums
    {((1, False), 20): {'a': 1}}
    """
    by_service = sums.setdefault(rank, {})
    for service, count in pieces.items():
        total = by_service.get(service, 0) + sign * count
        if total:
            by_service[service] = total
        else:
            by_service.pop(service, None)
    if not by_service:
        del sums[rank]


class Backlog:
    """The pieces of unfinished work by service, rank and whether it yields, for each cell."""

    def __init__(self) -> None:
        self.counted: dict[int, Unfinished] = {}
        self.sums: dict[Cell, Sums] = {}
        # Late work without results, which is compared one by one with other late work.
        self.yielding: dict[int, Work] = {}

    def update(self, work: Work) -> None:
        """Counts work as it is now: call it when work is admitted, late, or has a new result."""
        self.remove(work)
        new = unfinished_of(work)
        self.counted[id(work)] = new
        if new.yields:
            self.yielding[id(work)] = work
        elif new.pieces:
            add_pieces(self.sums.setdefault(new.cell, {}), new.rank, new.pieces, 1)

    def remove(self, work: Work) -> None:
        """Takes away what work added, if anything."""
        known = self.counted.pop(id(work), None)
        if known is None:
            return
        if known.yields:
            del self.yielding[id(work)]
        elif known.pieces:
            sums = self.sums[known.cell]
            add_pieces(sums, known.rank, known.pieces, -1)
            if not sums:
                del self.sums[known.cell]

    def pieces_ahead(self, work: Work, late: bool) -> dict[str, int]:
        """Returns the unfinished pieces that run before those of work, by service.

        Work that can be on time or has results goes before all late work, and otherwise by its
        priority and due time. Late work without results goes only before late work of a later
        priority, or of the same one that is due later.
        """
        ahead: dict[str, int] = {}
        rank = rank_of(work, work.aim_at)
        for other_rank, by_service in self.sums.get(work.cell, {}).items():
            if late or other_rank <= rank:
                for service, count in by_service.items():
                    ahead[service] = ahead.get(service, 0) + count
        own = self.counted.get(id(work))
        if own is not None and not own.yields:
            for service, count in own.pieces.items():
                ahead[service] -= count
        if late:
            order = (work.priority, work.aim_at)
            for key, other in self.yielding.items():
                if other is work or other.cell != work.cell:
                    continue
                if (other.priority, other.aim_at) <= order:
                    for service, count in self.counted[key].pieces.items():
                        ahead[service] = ahead.get(service, 0) + count
        return ahead


class Arrivals:
    """The pieces of the work accepted within a window, by service, rank and lateness.

    The rank is by the objective that the work had at its admission, as more of its kind will have.
    """

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self.recent: deque[Arrival] = deque()
        self.counted: dict[int, tuple[Rank, bool]] = {}
        self.sums: dict[tuple[Cell, bool], Sums] = {}

    def count(self, work: Work, rank: Rank, late: bool, sign: int) -> None:
        """Adds the pieces of work to the sums, or takes them away if `sign` is -1."""
        sums = self.sums.setdefault((work.cell, late), {})
        for stage in work.nonempty_stages():
            add_pieces(sums, rank, {work.plans[stage].service: work.pieces[stage]}, sign)
        if not sums:
            del self.sums[work.cell, late]

    def add(self, work: Work, now: float) -> None:
        """Counts work that was accepted now."""
        self.recent.append(Arrival(now, work))
        rank = rank_of(work, work.aim_at - now)
        self.counted[id(work)] = (rank, work.late)
        self.count(work, rank, work.late, 1)

    def update(self, work: Work) -> None:
        """Counts work as late from now on if it has become late."""
        known = self.counted.get(id(work))
        if known is not None and known[1] != work.late:
            rank, was_late = known
            self.count(work, rank, was_late, -1)
            self.count(work, rank, work.late, 1)
            self.counted[id(work)] = (rank, work.late)

    def expire(self, now: float) -> None:
        """Drops the work that was accepted before the window."""
        while self.recent and self.recent[0].at < now - self.window_ms:
            work = self.recent.popleft().work
            rank, late = self.counted.pop(id(work))
            self.count(work, rank, late, -1)

    def rates_ahead(self, work: Work, now: float, late: bool) -> dict[str, float]:
        """Returns the arrival rate of work that will run first, by service, in pieces per ms.

        All work that can be on time runs before late work, whatever its priority. Otherwise more
        urgent work does, and work of the same priority with a shorter objective.
        """
        self.expire(now)
        rank = rank_of(work, work.aim_at - now)
        ahead: dict[str, int] = {}
        for is_late in (False, True):
            for other_rank, by_service in self.sums.get((work.cell, is_late), {}).items():
                if other_rank < rank or (late and not is_late):
                    for service, count in by_service.items():
                        ahead[service] = ahead.get(service, 0) + count
        known = self.counted.get(id(work))
        if late and known is not None and not known[1]:
            for stage in work.nonempty_stages():
                ahead[work.plans[stage].service] -= work.pieces[stage]
        return {service: count / self.window_ms for service, count in ahead.items()}
