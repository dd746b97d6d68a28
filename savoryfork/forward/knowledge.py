"""What a host knows of the store's two registers, how old that is, and what hosts tell each other.

Knowledge only grows: of two values of a key, the one with the higher offset holds. Its age counts
from the start of the store's read that confirmed it, so that a host that was frozen, or that took
the news from another host, never takes it for newer than it is.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

# Dropped keys are remembered so that a host that asks for changes learns of them. One that is
# further behind than this many gets everything.
PURGE_THRESHOLD = 2_000


class Entry(NamedTuple):
    """The newest value of a key and its offset; an empty value means that the key was dropped."""

    offset: int
    key: str
    value: bytes


class Update(NamedTuple):
    """Entries that changed since some offset, or all of them if `full`.

    Everything before the offset `next` is included. `age_ms` is the time since the store confirmed
    that this was its end, infinite if it never did.
    """

    next: int
    age_ms: float
    full: bool
    entries: list[Entry]


class TopicTable:
    """The newest entries of one topic. `next` is the offset to go on reading from, -1 before any.

    `confirmed_at` is the time as of which the entries are known to be complete.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.next_offset = -1
        self.confirmed_at = -math.inf
        self.full_sync_before = 0
        self.last_change_offset = -1

    def age_ms(self, now: float) -> float:
        """The time since the entries were last known to be complete."""
        return now - self.confirmed_at

    def apply(self, entries: Iterable[Entry], next_offset: int) -> list[Entry]:
        """Takes changes over and returns those that were new.

        A value that is written again as it was is no change: other hosts are not told of it.
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
        """Takes over a whole register as of `next_offset`: keys that are missing were dropped."""
        given = list(entries)
        names = {entry.key for entry in given}
        gone = [
            Entry(next_offset - 1, key, b"")
            for key, known in self.entries.items()
            if key not in names and known.value and known.offset < next_offset
        ]
        return self.apply([*given, *gone], next_offset)

    def confirm(self, at: float) -> None:
        """Notes that the entries were complete at a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def purge_tombstones(self) -> None:
        """Removes the marks of dropped keys; only whole registers can be given from here on."""
        self.entries = {key: entry for key, entry in self.entries.items() if entry.value}
        self.full_sync_before = self.next_offset

    def changes_since(self, since: int, now: float) -> Update:
        """What another host lacks that has everything before the offset `since`."""
        full = since < self.full_sync_before
        found = [e for e in self.entries.values() if (e.value if full else e.offset >= since)]
        return Update(self.next_offset, self.age_ms(now), full, found)

    def merge(self, update: Update, requested_at: float) -> list[Entry]:
        """Takes over what another host answered to a question asked at `requested_at`.

        The answer may have lain unread for long, so its age counts from the question.
        """
        if update.next < self.next_offset or update.next < 0:
            return []
        new = (self.apply_snapshot if update.full else self.apply)(update.entries, update.next)
        self.confirm(requested_at - update.age_ms)
        return new
