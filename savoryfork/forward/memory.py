"""Bounds the memory that all callers together take of a host.

The load pattern: many callers that the operators don't control send bodies of legal size at the
same time, most of them stop just short of the end and stay open, or they don't read their answers.
Each of them is within the limits of a request; their sum ended a process. Ordinary callers with
small requests come beside them and must be served.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

MB = 1_000_000

# A process without callers takes some 60 MB; a busy coordinator of 74 hosts takes more.
PROCESS_BYTES = 100 * MB

# The least budget, for several bodies of the largest legal size on the users' sheets (4 MiB).
LEAST_BUDGET_BYTES = 32 * MB

# The budget of a host whose settings do not name its memory.
DEFAULT_BUDGET_BYTES = 256 * MB

# What a request takes besides its body: parser, task, headers, and bytes that wait to be read.
REQUEST_BYTES = 65_536

# The parts of a body are joined at its end, and the heap keeps holes where they were.
BODY_FACTOR = 2

# A share of the budget is kept for requests whose bodies have up to SMALL_BYTES.
SMALL_BYTES = 131_072
SMALL_SHARE = 0.25

# A request without progress for this long is evicted first when memory is short. Callers send a
# body without pauses; a lost packet is sent again after 0.2 s or more.
STALLED_MS = 1_000.0


class Reservation:
    """The memory of one request: `size` bytes, last changed at `progress_at`.

    `evict` ends the request. `evictable` is False while a target runs the request, when its
    progress does not depend on its caller. A `small` one, whose body has a length of up to
    SMALL_BYTES, may use the whole budget.
    """

    def __init__(self, evict: Callable[[], None], now: float) -> None:
        self.evict = evict
        self.size = 0
        self.progress_at = now
        self.evictable = True
        self.small = True


class Usage(NamedTuple):
    """What a budget has done since the start: requests evicted, and requests for more refused."""

    evicted: int
    refused: int


class MemoryBudget:
    """The budget of one host; sizes are in bytes.

    If it is used up, the requests that stalled longest are evicted; if none has stalled, the one
    that asks for more is refused.

    >>> budget = MemoryBudget(4_000_000)
    >>> evicted = []
    >>> first = budget.open(lambda: evicted.append("first"), now=0.0)
    >>> budget.grow(first, 2_900_000, now=0.0)
    True
    >>> second = budget.open(lambda: evicted.append("second"), now=100.0)
    >>> budget.grow(second, 2_900_000, now=100.0), budget.grow(second, 2_000, now=100.0)
    (False, True)
    >>> budget.grow(second, 2_900_000, now=1_200.0), evicted
    (True, ['first'])
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self.reservations: dict[int, Reservation] = {}
        self.usage = Usage(0, 0)

    def open(self, evict: Callable[[], None], now: float) -> Reservation:
        """Returns a new reservation for a request, which `evict` must end."""
        reservation = Reservation(evict, now)
        self.reservations[id(reservation)] = reservation
        return reservation

    def grow(self, reservation: Reservation, size: int, now: float) -> bool:
        """Adds bytes to a reservation; returns False if there is no room for them."""
        if not self.make_room(reservation, size, now):
            self.usage = self.usage._replace(refused=self.usage.refused + 1)
            return False
        self.add(reservation, size, now)
        return True

    def add(self, reservation: Reservation, size: int, now: float) -> None:
        """Adds bytes that are in memory already, as those of an answer."""
        if id(reservation) in self.reservations:
            reservation.size += size
            self.reserved_bytes += size
        reservation.progress_at = now

    def close(self, reservation: Reservation) -> None:
        """Gives back what a reservation has; further calls change nothing."""
        if self.reservations.pop(id(reservation), None) is not None:
            self.reserved_bytes -= reservation.size
            reservation.size = 0

    def room(self, reservation: Reservation) -> int:
        """Returns the bytes left for a reservation."""
        share = 1.0 if reservation.small else 1.0 - SMALL_SHARE
        return int(share * self.limit_bytes) - self.reserved_bytes

    def make_room(self, reservation: Reservation, size: int, now: float) -> bool:
        """Evicts stalled requests, longest first, until there is room; returns whether there is."""
        if size <= self.room(reservation):
            return True
        stalled = [
            other
            for other in self.reservations.values()
            if other is not reservation
            and other.evictable
            and now - other.progress_at >= STALLED_MS
        ]
        for other in sorted(stalled, key=lambda other: other.progress_at):
            self.close(other)
            self.usage = self.usage._replace(evicted=self.usage.evicted + 1)
            other.evict()
            if size <= self.room(reservation):
                return True
        return False


def budget_bytes(memory_mb: float | None) -> int:
    """Returns the budget of a host with this much memory; None if its settings don't say it.

    >>> [budget_bytes(memory_mb) // MB for memory_mb in (None, 100.0, 160.0, 552.0)]
    [256, 32, 60, 452]
    """
    if memory_mb is None:
        return DEFAULT_BUDGET_BYTES
    return max(LEAST_BUDGET_BYTES, int(memory_mb * MB) - PROCESS_BYTES)
