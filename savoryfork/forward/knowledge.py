"""Local copies of the store's two topics, their age, and the updates that hosts exchange.

Updates are merged by last writer wins: of two values of a key, the one with the higher offset is
kept. The age counts from the start of the store read that confirmed the entries, so a host that was
frozen, or that got them from another host, never underestimates it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

# Deleted keys are kept as tombstones, so that hosts that ask for changes learn of the deletion.
# Above this number of entries the tombstones are purged, and hosts behind that get a full update.
PURGE_THRESHOLD = 2_000


class Entry(NamedTuple):
    """The newest value of a key and its offset; an empty value is a tombstone."""

    offset: int
    key: str
    value: bytes


class Update(NamedTuple):
    """Entries that changed since some offset, or all of them if `full`.

    Everything before the offset `next` is included. `age_ms` is the time since the store confirmed
    this as its end offset, infinite if it never did.
    """

    next: int
    age_ms: float
    full: bool
    entries: list[Entry]


class TopicTable:
    """The newest entries of one topic, by key.

    `next_offset` is the offset to read from next, -1 before the first read; `confirmed_at` is the
    latest time at which the entries are known to have been complete. A host that is behind
    `full_sync_before` needs a full update.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.next_offset = -1
        self.confirmed_at = -math.inf
        self.full_sync_before = 0
        self.last_change_offset = -1

    def age_ms(self, now: float) -> float:
        """Returns the time since the entries were last known to be complete."""
        return now - self.confirmed_at

    def apply(self, entries: Iterable[Entry], next_offset: int) -> list[Entry]:
        """Applies changes and returns those that were new.

        A rewrite of an unchanged value is no change and is not propagated to other hosts.
        """
        new = []
        for entry in entries:
            known = self.entries.get(entry.key)
            if known is None or (known.offset < entry.offset and known.value != entry.value):
                self.entries[entry.key] = entry
                self.last_change_offset = max(self.last_change_offset, entry.offset)
                new.append(entry)
        self.next_offset = max(self.next_offset, next_offset)
        if len(self.entries) > PURGE_THRESHOLD:
            self.purge_tombstones()
        return new

    def apply_snapshot(self, entries: Iterable[Entry], next_offset: int) -> list[Entry]:
        """Applies a full snapshot as of `next_offset`; keys missing from it are deleted."""
        snapshot = list(entries)
        keys = {entry.key for entry in snapshot}
        deleted = [
            Entry(next_offset - 1, key, b"")
            for key, known in self.entries.items()
            if key not in keys and known.value and known.offset < next_offset
        ]
        return self.apply([*snapshot, *deleted], next_offset)

    def confirm(self, at: float) -> None:
        """Records that the entries were complete at time `at`."""
        self.confirmed_at = max(self.confirmed_at, at)

    def purge_tombstones(self) -> None:
        """Removes all tombstones; hosts behind this point get a full update from now on."""
        self.entries = {key: entry for key, entry in self.entries.items() if entry.value}
        self.full_sync_before = self.next_offset

    def changes_since(self, since: int, now: float) -> Update:
        """Returns the update for a host that has everything before the offset `since`."""
        full = since < self.full_sync_before
        found = [e for e in self.entries.values() if (e.value if full else e.offset >= since)]
        return Update(self.next_offset, self.age_ms(now), full, found)

    def merge_update(self, update: Update, replied_at: float) -> list[Entry]:
        """Merges an update from another host.

        The reply may have waited unread for long, so `replied_at` is not the time of its arrival
        but the earliest time at which it may have been sent: that of the request, plus the time
        for which the other host held it.
        """
        if update.next < self.next_offset or update.next < 0:
            return []
        new = (self.apply_snapshot if update.full else self.apply)(update.entries, update.next)
        self.confirm(replied_at - update.age_ms)
        return new
