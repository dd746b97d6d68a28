"""Table of known targets, and the subset that a host uses."""

from __future__ import annotations

import heapq
from collections.abc import Iterator, MutableMapping
from typing import NamedTuple

from savoryfork.util import rendezvous


class TargetView(NamedTuple):
    """One target as seen by this host. Times are monotonic milliseconds of this host.

    `running`, `waiting` and `tokens` are from the last load report, taken at `reported_ms`.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    incarnation: str
    leaving: bool = False
    running: int = 0
    waiting: int = 0
    tokens: int = 0
    reported_ms: float = 0.0


class TargetTable(MutableMapping[str, TargetView]):
    """All known targets by name, indexed by service.

    A host uses at most `subset_size` targets of a service, chosen by rendezvous hashing. Without
    subsets, 320 hosts would keep 640,000 connections to 2,000 targets. Subsets are stable: adding
    or removing a target changes at most one entry of each.

    >>> table = TargetTable("host-0", subset_size=1)
    >>> for name in ("a", "b", "c"):
    ...     table[name] = TargetView(name, "s", "127.0.0.1:1", "z", "1")
    >>> len(table), len(table.usable("s"))
    (3, 1)
    """

    def __init__(self, host: str = "", subset_size: int = 0) -> None:
        self.host = host
        self.subset_size = subset_size
        self.views: dict[str, TargetView] = {}
        self.names: dict[str, set[str]] = {}
        self.subsets: dict[str, list[str]] = {}

    def __getitem__(self, name: str) -> TargetView:
        return self.views[name]

    def __setitem__(self, name: str, view: TargetView) -> None:
        known = self.views.get(name)
        self.views[name] = view
        if known is not None and known.service != view.service:
            self.remove_from_index(name, known.service)
        if known is None or (known.service, known.leaving) != (view.service, view.leaving):
            self.names.setdefault(view.service, set()).add(name)
            self.subsets.pop(view.service, None)

    def __delitem__(self, name: str) -> None:
        self.remove_from_index(name, self.views.pop(name).service)

    def __iter__(self) -> Iterator[str]:
        return iter(self.views)

    def __len__(self) -> int:
        return len(self.views)

    def remove_from_index(self, name: str, service: str) -> None:
        """Removes a target from the index of a service."""
        self.names[service].discard(name)
        self.subsets.pop(service, None)

    def usable(self, service: str) -> list[TargetView]:
        """Returns the targets of a service that get new work from this host, sorted by name."""
        subset = self.subsets.get(service)
        if subset is None:
            subset = self.subsets[service] = self.choose(service)
        return [self.views[name] for name in subset]

    def choose(self, service: str) -> list[str]:
        """Returns the names of the targets in the subset."""
        live = [name for name in self.names.get(service, ()) if not self.views[name].leaving]
        if self.subset_size and len(live) > self.subset_size:
            live = heapq.nlargest(
                self.subset_size, live, key=lambda name: rendezvous.score(self.host, name)
            )
        return sorted(live)
