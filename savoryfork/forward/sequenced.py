"""A topic whose writers number the values of their keys, and whose writes may take effect late.

The store may execute a write that got no answer seconds later, after newer writes of the same key.
A deleted key must not come back that way, while a writer whose key only expired brings it back with
its next value. The number in a value tells the two apart: an expired key comes back with a higher
one.

Only the host that reads the log sees every number, since values that differ in nothing else are not
propagated. It judges a value when it reads it, and a deletion carries the highest number that it
has seen. A host that starts to read the log reads its most recent part first, to learn the numbers
and deletions that it was not told.

The load pattern behind the bounds: 2,000 keys, each written every 1.2 s, of which a few are deleted
a minute, or all of them within a second if the store was away.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from savoryfork.forward.knowledge import (
    FIRST_ERA,
    UNKNOWN_REVISION,
    Changes,
    Entry,
    Revision,
    TopicTable,
    Update,
)

# Numbers by which a late value is behind at most. Writers write every 1.2 s and late writes are
# executed within seconds. A known number that is further ahead is that of another writer.
MAX_BEHIND = 64

# Time for which a deletion is remembered. Late writes of a key are executed within seconds of its
# deletion.
REMEMBER_MS = 30_000.0

# Deletions that are remembered at most, some 400 bytes each; the oldest ones are dropped first.
MAX_REMEMBERED = 4_096

# A value that was held back as late is taken over if the store still has it after this time. Late
# writes are executed up to 6 s after the deletion, and a key without a writer expires 3.6 s later.
HOLD_MS = 15_000.0

# A key that was deleted without a value for this long has expired. Writers write every 1.2 s and
# delete their keys shortly after a write; keys expire after 3.6 s.
EXPIRED_MS = 2_400.0

# Records that are read again per key when a host starts to read the log, which cover some 10 s, and
# their limit, 2 MB in two calls.
RECALLED_PER_KEY = 10
MIN_RECALLED = 256
MAX_RECALLED = 8_192


def is_late(entry: Entry, known: Entry) -> bool:
    """Returns whether a value was written before the known one, or before the known deletion.

    >>> live, deletion = Entry(5, "k", b"v", 1, (100, 7)), Entry(6, "k", b"", 1, (100, 7))
    >>> written = Entry(9, "k", b"other", 1, (100, 7))
    >>> is_late(written, live), is_late(written, deletion)
    (False, True)
    >>> is_late(written._replace(revision=(100, 8)), deletion)
    False
    >>> is_late(written, live._replace(revision=(100, 10**15)))
    False
    """
    if not entry.value or entry.revision == UNKNOWN_REVISION or entry.era != known.era:
        return False
    start, number = entry.revision
    known_start, known_number = known.revision
    if start > known_start:
        return False
    # A later start counts anew, so its number tells how long ago the earlier one ended.
    behind = known_number - number if start == known_start else known_number
    return (1 if known.value else 0) <= behind <= MAX_BEHIND


class Held(NamedTuple):
    """A late value, and the time since which the store has it."""

    entry: Entry
    since: float


class SequencedTable(TopicTable):
    """The newest entries of a topic whose values have revisions that their writers raise.

    `held` are values that took effect late, `new_held` those of them that are not reported yet.
    `deleted_at` has the keys whose deletion is remembered, `heard_at` the time at which this host
    read the last value of a key from the log. This host has read the log itself up to the offset
    `read_offset`; -1 if it has read nothing.

    >>> table = SequencedTable()
    >>> entry = Entry(0, "k", b"v", 1, (100, 7))
    >>> [e.value for e in table.start_era(1, [entry], 1, now=0.0)]
    [b'v']
    >>> [e.value for e in table.apply_records([Entry(1, "k", b"", 1)], 2, now=100.0)]
    [b'']
    >>> table.apply_records([entry._replace(offset=2, revision=(100, 5))], 3, now=200.0)
    []
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.held: dict[str, Held] = {}
        self.new_held: list[Entry] = []
        self.deleted_at: dict[str, float] = {}
        self.heard_at: dict[str, float] = {}
        self.read_offset = -1
        self.reviewed_offset = -1

    # Changes.

    def put(self, entry: Entry) -> bool:
        known = self.entries.get(entry.key)
        if known is not None and known.era == entry.era and entry.offset < known.offset:
            if entry.value and entry.revision > known.revision:
                self.entries[entry.key] = known._replace(revision=entry.revision)
            return False
        if known is not None and known.value != entry.value and is_late(entry, known):
            self.hold(entry)
            return False
        changed = super().put(entry)
        if entry.era == self.era:
            self.held.pop(entry.key, None)
        if not entry.value:
            self.heard_at.pop(entry.key, None)
            self.deleted_at.pop(entry.key, None)  # so that the order is that of time
            self.deleted_at[entry.key] = self.now
        elif changed:
            self.deleted_at.pop(entry.key, None)
        return changed

    def hold(self, entry: Entry) -> None:
        """Holds back a late value; the time counts from the first one of its key."""
        held = self.held.get(entry.key)
        if held is None:
            self.new_held.append(entry)
        self.held[entry.key] = Held(entry, held.since if held is not None else self.now)

    def start_era(
        self, era: int, entries: Iterable[Entry], next_offset: int, now: float
    ) -> list[Entry]:
        self.now = now
        self.held.clear()
        self.heard_at.clear()
        self.read_offset = self.reviewed_offset = -1
        return super().start_era(era, entries, next_offset, now)

    def apply_records(self, records: Iterable[Entry], next_offset: int, now: float) -> list[Entry]:
        self.now = now
        was_away = EXPIRED_MS <= self.age_ms(now) < math.inf
        if was_away:
            # What expired meanwhile may not be deleted yet.
            self.held = {key: held._replace(since=now) for key, held in self.held.items()}
        new = []
        for record in records:
            if record.value:
                self.heard_at[record.key] = now
            else:
                expired = was_away or self.silent_ms(record.key) >= EXPIRED_MS
                record = record._replace(revision=self.deletion_revision(record.key, expired))
            new += self.apply([record], next_offset)
        self.read_offset = max(self.read_offset, next_offset)
        return new + self.review()

    def silent_ms(self, key: str) -> float:
        """Returns the time since this host read a value of a key; infinite if it never did."""
        return self.now - self.heard_at.get(key, -math.inf)

    def deletion_revision(self, key: str, expired: bool) -> Revision:
        """Returns the revision that a value must exceed to come after the deletion of its key.

        The writer of an expired key may not have got the answer to its last write, and then writes
        the same number once more.
        """
        known = self.entries.get(key)
        if known is None or known.revision == UNKNOWN_REVISION:
            return UNKNOWN_REVISION
        start, number = known.revision
        return (start, number - 1) if known.value and expired else known.revision

    def merge_update(self, update: Update, replied_at: float, now: float) -> Changes:
        self.now = now
        changes = super().merge_update(update, replied_at, now)
        return changes._replace(entries=changes.entries + self.review())

    def review(self) -> list[Entry]:
        """Forgets old deletions, and takes over the held values that the store still has.

        Their writers do write; other hosts take them over too, as their revision is raised above
        that of the deletion. They hear of it, since its offset is one that they have not got yet.
        """
        for key in list(self.deleted_at):
            expired = self.now - self.deleted_at[key] > REMEMBER_MS
            if not expired and len(self.deleted_at) <= MAX_REMEMBERED:
                break
            del self.deleted_at[key]
        if self.next_offset <= self.reviewed_offset:
            return []
        self.reviewed_offset = self.next_offset
        released = []
        for key, (entry, since) in self.held.items():
            if self.now - since >= HOLD_MS:
                start, number = self.entries[key].revision
                offset = max(entry.offset, self.next_offset - 1)
                released.append(entry._replace(offset=offset, revision=(start, number + 1)))
        return [entry for entry in released if self.put(entry)]

    def remembers_deletion(self, entry: Entry) -> bool:
        remembered = entry.key in self.deleted_at or entry.key in self.held
        return remembered or super().remembers_deletion(entry)

    def pop_new_held(self) -> list[Entry]:
        """Returns the values held back since the last call, one for each key."""
        new, self.new_held = self.new_held, []
        return new

    # Reading the log.

    def read_start(self) -> int:
        """Returns the offset to read from: `next_offset`, or before it to learn the numbers.

        Records from before a restore are not read again, as the copy may lack newer ones.
        """
        if self.read_offset >= self.next_offset:
            return self.next_offset
        oldest = self.next_offset - self.recalled_records(len(self.entries))
        era_start = self.era_start if self.era > FIRST_ERA else 0
        return min(self.next_offset, max(era_start, self.read_offset, oldest))

    def recalled_records(self, keys: int) -> int:
        """Returns how many past records of so many keys a host reads as it starts to read.

        >>> table = SequencedTable()
        >>> [table.recalled_records(keys) for keys in (0, 30, 2_000)]
        [256, 300, 8192]
        """
        return min(MAX_RECALLED, max(MIN_RECALLED, RECALLED_PER_KEY * keys))
