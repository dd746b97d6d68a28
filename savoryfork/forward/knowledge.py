"""Local copies of the store's topics, their age, and the updates that hosts exchange.

Updates are merged by last writer wins: of two values of a key, the one with the higher offset is
kept. The age counts from the start of the store read that confirmed the entries, so a host that was
frozen, or that got them from another host, never underestimates it.

A store that is restored from an older copy loses its newest records and gives out their offsets
again; its era rises. Offsets of different eras can't be compared, so entries of different eras are
compared by their revision, which their writers raise. What a host knew before a restore is kept
until something newer by that measure replaces it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

# Deleted keys are kept as tombstones, so that hosts that ask for changes learn of the deletion.
# Above this number of them tombstones are purged, and hosts behind that get a full update.
PURGE_THRESHOLD = 2_000

# An offset beyond all others, by which a requester asks for no entries.
NO_ENTRIES_OFFSET = 2**62

# Within this time after a restore writers write again what it has lost. Until then a read does not
# show that no newer version was written before the restore.
REWRITE_MS = 2_000.0

# Settle time of hosts whose entries were confirmed within MAX_GAP_MS before the restore. A key that
# was taken away unseen in that gap has a second or more left until it must stop working; with a
# longer settle time hosts would refuse keyed requests after a drill of 2 s.
RESTORE_SETTLE_MS = 400.0
MAX_GAP_MS = 4_000.0

# Age from which entries count as unconfirmed for long: reads no longer wait for changes.
TRUST_LOST_MS = 2_000.0

# The writer's own measure of how new a value is; a higher one is newer.
Revision = tuple[int, int]

UNKNOWN_REVISION: Revision = (0, 0)

# The era of a store that was never restored.
FIRST_ERA = 1


class Entry(NamedTuple):
    """The newest value of a key and its position; an empty value is a tombstone.

    `era` is that of the store in which the value was read.
    """

    offset: int
    key: str
    value: bytes
    era: int = 0
    revision: Revision = UNKNOWN_REVISION


class Position(NamedTuple):
    """What a host has of a topic: everything of an era before the offset `next`.

    `kept_digest` identifies its entries of former eras.
    """

    era: int
    next: int
    kept_digest: int = 0


# Asks for no entries.
NO_ENTRIES = Position(0, NO_ENTRIES_OFFSET)


class Update(NamedTuple):
    """Entries that changed since some offset, or all of them if `full`.

    Everything of the era `era` before the offset `next` is included. `age_ms` is the time since
    the store confirmed this as its end offset, infinite if it never did; `trusted_age_ms` is the
    time since the entries are known to have been the newest.
    """

    era: int
    next: int
    age_ms: float
    trusted_age_ms: float
    full: bool
    entries: list[Entry]


class Changes(NamedTuple):
    """Entries that were new to a table.

    `restored` is True if they came with a new era: the deletions among them are keys that the copy
    of the store lacks, which their writers may write again.
    """

    entries: list[Entry]
    restored: bool = False


class TopicTable:
    """The newest entries of one topic, by key.

    `next_offset` is the offset to read from next, -1 before the first read; `confirmed_at` is the
    latest time at which the entries are known to have been complete, `trusted_at` the latest one
    at which the store is known to have held nothing newer. A host that is behind
    `full_sync_before` needs a full update, as a snapshot does not tell which keys were deleted.
    `kept_keys` are the keys of entries of former eras, as the restored store has none that are as
    new. `era_start` is the offset at which this host began to follow the era: records from there on
    were written after the restore. `deletions` counts the tombstones stored since the last purge.

    `ordered` has the keys each of whose values has a higher revision than the one before, whatever
    happens to the store; if there are any, only these count for `trusted_at`. `keeps_missing` is
    True if keys that a restored store lacks stay.
    """

    def __init__(self, ordered: frozenset[str] = frozenset(), keeps_missing: bool = False) -> None:
        self.ordered = ordered
        self.keeps_missing = keeps_missing
        self.entries: dict[str, Entry] = {}
        self.deletions = 0
        self.kept_keys: set[str] = set()
        self.era = 0
        self.era_since = -math.inf
        self.settled_at = -math.inf
        self.era_start = 0
        self.next_offset = -1
        self.confirmed_at = -math.inf
        self.trusted_at = -math.inf
        self.full_sync_before = 0
        self.last_change_offset = -1

    def age_ms(self, now: float) -> float:
        """Returns the time since the entries were last known to be complete."""
        return now - self.confirmed_at

    def trusted_age_ms(self, now: float) -> float:
        """Returns the time since the entries were last known to be the newest."""
        return now - self.trusted_at

    # Changes.

    def put(self, entry: Entry) -> bool:
        """Stores an entry if it is newer; returns True if its value is new.

        A rewrite of an unchanged value is no change and is not propagated to other hosts.
        """
        known = self.entries.get(entry.key)
        if known is not None and known.value == entry.value:
            if entry.era >= known.era:
                revision = max(known.revision, entry.revision)
                offset = known.offset if entry.era == known.era else entry.offset
                self.store(entry._replace(offset=offset, revision=revision))
            return False
        if known is not None and not self.is_newer(entry, known):
            return False
        self.store(entry)
        if entry.era == self.era:
            self.last_change_offset = max(self.last_change_offset, entry.offset)
        return True

    def is_newer(self, entry: Entry, known: Entry) -> bool:
        """Returns whether an entry is newer than the known one of its key.

        >>> table = TopicTable()
        >>> known = Entry(9, "k", b"known", 1, (1, 5))
        >>> table.is_newer(Entry(3, "k", b"written again", 2, (1, 6)), known)
        True
        >>> table.is_newer(Entry(3, "k", b"from the copy", 2, (1, 4)), known)
        False
        """
        newer_era = entry.era > known.era
        if entry.era == known.era and entry.key not in self.ordered:
            return entry.offset > known.offset
        if entry.era != known.era and self.supersedes_former(entry if newer_era else known):
            return newer_era
        # A deletion comes after the last value.
        newness = entry.revision, not entry.value, entry.era, entry.offset
        return newness > (known.revision, not known.value, known.era, known.offset)

    def supersedes_former(self, entry: Entry) -> bool:
        """Returns whether an entry replaces those of former eras whatever their revisions.

        It does if it was written after the restore, or if it says that the restored store lacks
        the key. Hosts know different revisions of a value, as rewrites of an unchanged value are
        not propagated, and no record would ever delete an entry that comes back.
        """
        if entry.key in self.ordered or entry.era != self.era:
            return False
        return entry.offset >= self.era_start or not (entry.value or self.keeps_missing)

    def store(self, entry: Entry) -> None:
        """Stores an entry."""
        known = self.entries.get(entry.key)
        if not entry.value and (known is None or known.value):
            self.deletions += 1
        self.entries[entry.key] = entry
        if entry.era == self.era:
            self.kept_keys.discard(entry.key)
        else:
            self.kept_keys.add(entry.key)

    def apply(self, entries: Iterable[Entry], next_offset: int) -> list[Entry]:
        """Applies changes and returns those that were new."""
        new = [entry for entry in entries if self.put(entry)]
        self.next_offset = max(self.next_offset, next_offset)
        if self.deletions > PURGE_THRESHOLD:
            self.purge_tombstones()
        return new

    def apply_records(self, records: Iterable[Entry], next_offset: int, now: float) -> list[Entry]:
        """Applies records that were read from the log, as `apply` does.

        They were written after the restore with which the era began, so unless their key is
        ordered, they are at least as new as what this host knew before.
        """
        new = []
        for record in records:
            known = self.entries.get(record.key)
            if known is not None and record.key not in self.ordered:
                record = record._replace(revision=max(known.revision, record.revision))
            new += self.apply([record], next_offset)
        return new + self.apply([], next_offset)

    def apply_snapshot(self, entries: Iterable[Entry], next_offset: int) -> list[Entry]:
        """Applies a full snapshot as of `next_offset`; keys missing from it are deleted."""
        snapshot = list(entries)
        keys = {entry.key for entry in snapshot}
        deleted = [
            Entry(next_offset - 1, key, b"", self.era, known.revision)
            for key, known in self.entries.items()
            if key not in keys
            if (
                known.value and known.offset < next_offset
                if known.era == self.era
                else not (known.value and self.keeps_missing)
            )
        ]
        self.full_sync_before = max(self.full_sync_before, next_offset)
        return self.apply([*snapshot, *deleted], next_offset)

    def start(
        self, era: int, entries: Iterable[Entry], next_offset: int, now: float
    ) -> list[Entry]:
        """Applies the first full snapshot that a starting host gets; returns what was new.

        A store that was ever restored may have been restored just now.
        """
        since = now if era > FIRST_ERA else -math.inf
        return self.start_era(era, entries, next_offset, since)

    def start_era(
        self, era: int, entries: Iterable[Entry], next_offset: int, now: float
    ) -> list[Entry]:
        """Applies the first full snapshot of a store that was restored; returns what was new.

        Keys missing from it are deleted or stay, according to `keeps_missing`.
        """
        snapshot = list(entries)
        keys = {entry.key for entry in snapshot}
        self.era = era
        self.era_since = now
        gap_ms = self.trusted_age_ms(now)
        self.settled_at = now + (RESTORE_SETTLE_MS if gap_ms <= MAX_GAP_MS else REWRITE_MS)
        self.era_start = next_offset
        self.next_offset = next_offset
        self.full_sync_before = next_offset
        self.last_change_offset = next_offset - 1
        self.kept_keys = set(self.entries)
        absent = [
            Entry(next_offset - 1, key, b"", era, known.revision)
            for key, known in self.entries.items()
            if key not in keys and not (known.value and self.keeps_missing)
        ]
        return self.apply([*snapshot, *absent], next_offset)

    def purge_tombstones(self) -> None:
        """Removes tombstones; hosts behind this point get a full update from now on."""
        self.entries = {
            key: entry
            for key, entry in self.entries.items()
            if entry.value or self.remembers_deletion(entry)
        }
        self.deletions = 0
        self.full_sync_before = self.next_offset

    def remembers_deletion(self, entry: Entry) -> bool:
        """Returns whether a tombstone is still needed; hosts that get a full update get it, too."""
        return entry.era < self.era

    def confirm(self, at: float, trusted_at: float) -> None:
        """Records that the entries were complete at `at` and the newest ones at `trusted_at`.

        While entries are kept that the store lacks, it can't show that they are the newest.
        """
        self.confirmed_at = max(self.confirmed_at, at)
        if not self.lacks_newest():
            self.trusted_at = max(self.trusted_at, trusted_at)

    def confirm_read(self, at: float) -> None:
        """Records that a read of the store that began at `at` found nothing new."""
        self.confirm(at, -math.inf if self.settle_ms(at) else at)

    def settle_ms(self, now: float) -> float:
        """Returns the time until reads show again that nothing newer was written."""
        return max(0.0, self.settled_at - now)

    def poll_ms(self, wait_ms: float, now: float) -> float:
        """Returns how long a read of the store may wait for records, `wait_ms` at most.

        After a restore or an outage a read must begin as soon as it can show that the entries are
        the newest, and be answered at once: long polls would delay that by up to twice their time.
        If the store lacks the newest entries, only their writers can end that.
        """
        settle_ms = self.settle_ms(now)
        if settle_ms:
            return min(wait_ms, math.ceil(settle_ms))
        return wait_ms if self.lacks_newest() or self.trusted_age_ms(now) < TRUST_LOST_MS else 0.0

    def read_start(self) -> int:
        """Returns the offset from which this host should read the log."""
        return self.next_offset

    def recalled_records(self, keys: int) -> int:
        """Returns how many past records of so many keys a host reads as it starts to read."""
        return 0

    def lacks_newest(self) -> bool:
        """Returns whether the store lacks entries without which it can't be trusted."""
        if self.ordered:
            return not self.kept_keys.isdisjoint(self.ordered)
        return bool(self.kept_keys)

    # Updates between hosts.

    def kept(self) -> list[Entry]:
        """Returns the entries of former eras."""
        return [self.entries[key] for key in self.kept_keys]

    def position(self) -> Position:
        """Returns what this table has."""
        return Position(self.era, self.next_offset, digest(self.kept()))

    def has_changes_since(self, position: Position) -> bool:
        """Returns whether a host at a position lacks entries of this table's era."""
        if position.era != self.era:
            return position.era < self.era and position.next != NO_ENTRIES_OFFSET
        return self.next_offset >= 0 and self.last_change_offset >= position.next

    def changes_since(self, position: Position, now: float) -> Update:
        """Returns the update for a host that has everything before a position."""
        full = position.era != self.era or position.next < self.full_sync_before
        if position.next == NO_ENTRIES_OFFSET:
            full, found = False, []
        elif full:
            found = [e for e in self.entries.values() if e.value or self.remembers_deletion(e)]
        else:
            found = [
                entry
                for entry in self.entries.values()
                if entry.era == self.era and entry.offset >= position.next
            ]
            kept = self.kept()
            if digest(kept) != position.kept_digest:
                found += kept
        return Update(
            self.era, self.next_offset, self.age_ms(now), self.trusted_age_ms(now), full, found
        )

    def merge_update(self, update: Update, replied_at: float, now: float) -> Changes:
        """Merges an update from another host.

        The reply may have waited unread for long, so `replied_at` is not the time of its arrival
        but the earliest time at which it may have been sent: that of the request, plus the time
        for which the other host held it.
        """
        if update.next < 0:
            return Changes([])
        if self.next_offset < 0:
            new = Changes(self.start(update.era, update.entries, update.next, now))
        elif update.era > self.era:
            entries = self.start_era(update.era, update.entries, update.next, now)
            new = Changes(entries, restored=True)
        elif update.era < self.era or update.next < self.next_offset:
            # The other host is behind; only what it knows of former eras may be news. It may not
            # have heard that an entry was deleted.
            former = [
                entry
                for entry in update.entries
                if entry.era < self.era and (self.keeps_missing or entry.key in self.entries)
            ]
            return Changes(self.apply(former, self.next_offset))
        else:
            apply = self.apply_snapshot if update.full else self.apply
            new = Changes(apply(update.entries, update.next))
        self.confirm(replied_at - update.age_ms, replied_at - update.trusted_age_ms)
        return new


def digest(entries: Iterable[Entry]) -> int:
    """Returns a hash of the positions of entries; 0 if there are none."""
    lines = sorted(f"{entry.key} {entry.era} {entry.offset}" for entry in entries)
    return xxhash.xxh3_64_intdigest("\n".join(lines).encode()) >> 1 if lines else 0
