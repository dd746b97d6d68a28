"""Merges evidence about targets and other entry hosts from several delayed sources."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

from savoryfork.board import Board, HostView, TargetView
from savoryfork.util import logs
from savoryfork.util.timer import Clock

log = logging.getLogger(__name__)

ENTRY_SERVICE = "savoryfork"

# Delay before a target that left the host list is removed. A truncated list must not empty a
# service at once, while a target that is gone refuses connections anyway.
REMOVAL_DELAY_MS = 30_000

# Evidence that only this host has seen, so it is pushed to the other hosts at once.
LOCAL_SOURCES = frozenset({"answer", "load_poll"})

# Leaving marks are kept for longer than any lag of the host list.
LEAVING_RETENTION_MS = 600_000


class HostEntry(NamedTuple):
    """One row of the platform's host list."""

    name: str
    service: str
    address: str
    availability_zone: str
    incarnation: str
    state: str


class LoadReport(NamedTuple):
    """A target's report of its own load; `tokens` are those it still has to process."""

    running: int
    waiting: int
    tokens: int


class Membership:
    """The only writer of the board's targets and hosts.

    A leaving mark is sticky for a (target, incarnation): the first source that reports it is
    believed, and a stale source that still lists the target as live does not clear it. A new
    incarnation starts without the mark. Replaced incarnations are not accepted again, so that a
    stale host list can't bring back the address of a process that is gone.
    """

    def __init__(self, board: Board, clock: Clock, own_name: str) -> None:
        self.board = board
        self.clock = clock
        self.own_name = own_name
        self.leaving: dict[tuple[str, str], float] = {}
        self.replaced: dict[tuple[str, str], float] = {}
        self.missing_since: dict[str, float] = {}
        self.listed_ms: float | None = None
        self.on_local_leaving: Callable[[], None] = lambda: None

    def apply_host_list(self, entries: Iterable[HostEntry]) -> None:
        """Applies one response of the platform's host list."""
        now = self.clock.monotonic_ms()
        self.listed_ms = now
        seen = set()
        for entry in entries:
            seen.add(entry.name)
            self.missing_since.pop(entry.name, None)
            if entry.service == ENTRY_SERVICE:
                self.apply_host(entry)
            else:
                self.apply_target(entry)
        self.remove_unlisted(seen, now)

    def entries(self) -> list[HostEntry]:
        """Returns the known targets and other hosts as rows of a host list."""
        rows = [
            HostEntry(
                view.name,
                view.service,
                view.address,
                view.availability_zone,
                view.incarnation,
                "leaving" if view.leaving else "live",
            )
            for view in self.board.targets.values()
        ]
        rows += [
            HostEntry(
                view.name,
                ENTRY_SERVICE,
                view.address,
                view.availability_zone,
                view.incarnation,
                "leaving" if view.leaving else "live",
            )
            for view in self.board.hosts.values()
        ]
        return rows

    def apply_target(self, entry: HostEntry) -> None:
        """Adds or updates one target."""
        known = self.board.targets.get(entry.name)
        if (entry.name, entry.incarnation) in self.replaced:
            return
        if known is None or known.incarnation != entry.incarnation:
            if known is not None:
                self.replaced[(known.name, known.incarnation)] = self.clock.monotonic_ms()
            known = TargetView(
                entry.name,
                entry.service,
                entry.address,
                entry.availability_zone,
                entry.incarnation,
                leaving=(entry.name, entry.incarnation) in self.leaving,
            )
            logs.event(log, "target_seen", target=entry.name, incarnation=entry.incarnation)
        self.board.targets[entry.name] = known._replace(
            address=entry.address, availability_zone=entry.availability_zone
        )
        if entry.state == "leaving":
            self.mark_leaving(entry.name, entry.incarnation, "host_list")

    def apply_host(self, entry: HostEntry) -> None:
        """Adds or updates one entry host other than this one."""
        if entry.name == self.own_name:
            return
        known = self.board.hosts.get(entry.name)
        if known is None or known.incarnation != entry.incarnation:
            known = HostView(entry.name, entry.address, entry.availability_zone, entry.incarnation)
        self.board.hosts[entry.name] = known._replace(
            address=entry.address, leaving=entry.state == "leaving"
        )

    def remove_unlisted(self, seen: set[str], now: float) -> None:
        """Removes targets and hosts missing from the host list, and expired marks."""
        for name in [*self.board.targets, *self.board.hosts]:
            if name in seen:
                continue
            since = self.missing_since.setdefault(name, now)
            if now - since >= REMOVAL_DELAY_MS:
                self.board.targets.pop(name, None)
                self.board.hosts.pop(name, None)
                self.missing_since.pop(name)
        for marks in (self.leaving, self.replaced):
            for key in [
                key for key, marked_ms in marks.items() if now - marked_ms > LEAVING_RETENTION_MS
            ]:
                del marks[key]

    def mark_leaving(self, target: str, incarnation: str, source: str) -> bool:
        """Marks one incarnation of a target as leaving; returns False if it was already."""
        if (target, incarnation) in self.leaving:
            return False
        self.leaving[(target, incarnation)] = self.clock.monotonic_ms()
        known = self.board.targets.get(target)
        if known is not None and known.incarnation == incarnation:
            self.board.targets[target] = known._replace(leaving=True)
        logs.event(log, "target_leaving", target=target, incarnation=incarnation, source=source)
        if source in LOCAL_SOURCES:
            self.on_local_leaving()
        return True

    def leaving_marks(self) -> list[tuple[str, str]]:
        """Returns the leaving marks to send to other hosts, newest first."""
        return sorted(self.leaving, key=lambda key: self.leaving[key], reverse=True)

    def update_load(self, target: str, incarnation: str, report: LoadReport) -> None:
        """Stores a target's load report unless it is of another incarnation."""
        known = self.board.targets.get(target)
        if known is None or known.incarnation != incarnation:
            return
        self.board.targets[target] = known._replace(
            running=report.running,
            waiting=report.waiting,
            tokens=report.tokens,
            reported_ms=self.clock.monotonic_ms(),
        )

    def update_peer(self, host: str, config_offset: int, config_position: int) -> None:
        """Stores another host's configuration offsets and marks it reachable."""
        known = self.board.hosts.get(host)
        if known is not None:
            self.board.hosts[host] = known._replace(
                answered_ms=self.clock.monotonic_ms(),
                config_offset=config_offset,
                config_position=config_position,
                reachable=True,
            )

    def mark_unreachable(self, host: str) -> None:
        """Marks a host that did not answer as unreachable."""
        known = self.board.hosts.get(host)
        if known is not None:
            self.board.hosts[host] = known._replace(reachable=False)
