"""Sums the outstanding work on engines over all hosts along the tree of upstream hosts.

Each host reports to its upstream host the sum over itself and the hosts below it, and gets back the
sum over all others. A host's picture thus covers every host, whatever the depth of the tree, and is
older than the loads themselves by at most one long poll for each level up and down.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import xxhash

from savoryfork.forward.placement import NO_LOAD, EngineLoad

# Reports older than this are left out: their host has failed or follows another host now, where its
# work is already counted. Three long polls.
REPORT_TTL_MS = 1_200.0

# Names of engines whose hashes are kept.
MAX_CACHED_IDS = 8_192

# Prompt tokens are reported in units of this size.
TOKEN_UNIT = 64

# Largest number in a report; the sum over all hosts still fits into a message.
MAX_LOAD = 2**40

# Loads as sent: (units of prompt tokens, requests) by the hash of an engine's name.
LoadTable = dict[int, tuple[int, int]]


class Report(NamedTuple):
    """Loads received from another host, when, and how old they were at most."""

    loads: LoadTable
    at: float
    age_ms: float


@functools.lru_cache(maxsize=MAX_CACHED_IDS)
def engine_id(name: str) -> int:
    """Returns the 32-bit hash by which an engine is named in reports."""
    return xxhash.xxh32_intdigest(name.encode())


def encode_loads(loads: Mapping[str, tuple[float, float]]) -> LoadTable:
    """Returns a host's own loads as sent; loads are rounded, and empty ones left out.

    >>> list(encode_loads({"e1": (130.0, 2.0), "e2": (0.0, 0.0)}).values())
    [(2, 2)]
    """
    table = {}
    for name, (tokens, requests) in loads.items():
        row = (round(min(MAX_LOAD, tokens / TOKEN_UNIT)), round(min(MAX_LOAD, requests)))
        if any(row):
            table[engine_id(name)] = row
    return table


def add(tables: Iterable[LoadTable]) -> LoadTable:
    """Returns the sum of load tables.

    >>> add([{1: (1, 2)}, {1: (1, 0), 2: (0, 1)}])
    {1: (2, 2), 2: (0, 1)}
    """
    total: LoadTable = {}
    for table in tables:
        for engine, (tokens, requests) in table.items():
            known = total.get(engine, (0, 0))
            total[engine] = (known[0] + tokens, known[1] + requests)
    return total


class LoadTree:
    """This host's part of the tree: its own loads, the reports from below, and the one from above.

    `local` returns this host's own loads by engine: prompt tokens and requests. `total` is the sum
    over all other hosts, `total_age_ms` the age of its oldest part.
    """

    def __init__(self, local: Callable[[], Mapping[str, tuple[float, float]]]) -> None:
        self.local = local
        self.below: dict[str, Report] = {}
        self.above: Report | None = None
        self.total: LoadTable = {}
        self.total_age_ms = 0.0

    def record_below(self, address: str, loads: LoadTable, age_ms: float, now: float) -> None:
        """Records the report of a host that follows this one."""
        self.below[address] = Report(loads, now, age_ms)

    def record_above(self, loads: LoadTable, age_ms: float, requested_at: float) -> None:
        """Records the sum over all other hosts, as requested from the upstream host."""
        self.above = Report(loads, requested_at, age_ms)

    def expire(self, now: float, is_reader: bool) -> None:
        """Drops reports that are out of date; the reader has no host above it."""
        self.below = {a: r for a, r in self.below.items() if now - r.at <= REPORT_TTL_MS}
        if is_reader or (self.above is not None and now - self.above.at > REPORT_TTL_MS):
            self.above = None

    def reports(self, excluded: str | None, include_above: bool) -> list[Report]:
        """Returns the reports from below, except one host's, and the one from above."""
        found = [report for address, report in self.below.items() if address != excluded]
        if include_above and self.above is not None:
            found.append(self.above)
        return found

    def age_ms(self, reports: Iterable[Report], now: float) -> float:
        """Returns the age of the oldest report; 0 without any."""
        return max((report.age_ms + now - report.at for report in reports), default=0.0)

    def report_up(self, now: float) -> tuple[LoadTable, float]:
        """Returns the loads of this host and of those below it, with the age of the oldest."""
        reports = self.reports(None, include_above=False)
        tables = [report.loads for report in reports]
        return add([encode_loads(self.local()), *tables]), self.age_ms(reports, now)

    def report_down(self, address: str, now: float) -> tuple[LoadTable, float]:
        """Returns the loads of all hosts but `address` and those below it, with their age."""
        reports = self.reports(address, include_above=True)
        tables = [report.loads for report in reports]
        return add([encode_loads(self.local()), *tables]), self.age_ms(reports, now)

    def update_total(self, now: float, is_reader: bool) -> None:
        """Updates the sum over all other hosts, without reports that are out of date."""
        self.expire(now, is_reader)
        reports = self.reports(None, include_above=True)
        self.total = add(report.loads for report in reports)
        self.total_age_ms = self.age_ms(reports, now)

    def others(self, engine: str) -> EngineLoad:
        """Returns the load of all other hosts on an engine."""
        row = self.total.get(engine_id(engine))
        if row is None:
            return NO_LOAD
        return EngineLoad(float(row[0] * TOKEN_UNIT), float(row[1]))
