"""Reads the records of a topic into its table, or the newest values where that can't be done."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from savoryfork.forward.knowledge import FIRST_ERA, Changes, Entry, TopicTable
from savoryfork.forward.topics import Store, StoreRead, Topic
from savoryfork.util import logs
from savoryfork.util.topic import LogUnavailable, OffsetExpired

log = logging.getLogger(__name__)


class RecentRecords(NamedTuple):
    """The records of a topic from the offset `start` up to `next`."""

    start: int
    entries: list[Entry]
    next: int


class TopicReader:
    """Reads topics of the store; `now` is the suspend-aware time in milliseconds."""

    def __init__(self, store: Store, now: Callable[[], float]) -> None:
        self.store = store
        self.now = now

    async def read_changes(
        self, topic: Topic, table: TopicTable, wait_ms: float
    ) -> tuple[Changes, int]:
        """Reads one topic once; returns what was new and the end offset.

        All newest values are read if the store was restored since the last read, as it gives out
        offsets again. Raises LogUnavailable.
        """
        era = table.era
        if table.next_offset >= 0:
            try:
                read = await self.read_records(topic, table, wait_ms)
                if read.era == era == table.era:
                    new = table.apply_records(read.entries, read.next, self.now())
                    return Changes(new), read.end
            except OffsetExpired:
                logs.event(log, "offset_expired", topic=topic.value, offset=table.next_offset)
        read = await self.store.newest(topic)
        if table.next_offset < 0:
            recent = await self.read_recent(topic, table, read)
            if table.next_offset < 0:
                return Changes(self.start_table(table, read, recent)), read.end
        if read.era < table.era:
            raise LogUnavailable(f"an answer of era {read.era} after one of era {table.era}")
        if read.era == table.era:
            return Changes(table.apply_snapshot(read.entries, read.next)), read.end
        new = table.start_era(read.era, read.entries, read.next, self.now())
        return Changes(new, restored=True), read.end

    async def read_records(self, topic: Topic, table: TopicTable, wait_ms: float) -> StoreRead:
        """Reads the records of a topic from where this host should go on.

        Raises LogUnavailable or OffsetExpired.
        """
        start = table.read_start()
        if start < table.next_offset:
            try:
                return await self.store.read(topic, start, 0.0)
            except OffsetExpired as error:
                logs.event(log, "history_expired", topic=topic.value, first=error.start)
                if start < error.start <= table.next_offset:
                    return await self.store.read(topic, error.start, 0.0)
        return await self.store.read(topic, table.next_offset, wait_ms)

    async def read_recent(
        self, topic: Topic, table: TopicTable, newest: StoreRead
    ) -> RecentRecords | None:
        """Reads the records that a table needs from before the end of a snapshot.

        A host that starts without them would not know of the latest deletions. Returns None if the
        table needs none or they can't be read.
        """
        count = table.recalled_records(len(newest.entries))
        if not count or newest.era > FIRST_ERA:
            return None  # after a restore they may be from before the copy
        start = first = max(0, newest.next - count)
        records: list[Entry] = []
        try:
            while first < newest.next:
                try:
                    read = await self.store.read(topic, first, 0.0)
                except OffsetExpired as error:
                    if not first < error.start < newest.next:
                        return None
                    start = first = error.start
                    records.clear()
                    continue
                if read.era != newest.era or read.next <= first:
                    return None
                records += read.entries
                first = read.next
        except LogUnavailable as error:
            logs.event(log, "history_unread", logging.WARNING, reason=str(error))
            return None
        return RecentRecords(start, records, first)

    def start_table(
        self, table: TopicTable, newest: StoreRead, recent: RecentRecords | None
    ) -> list[Entry]:
        """Applies the first snapshot; what is in the recent records is taken from these."""
        now = self.now()
        if recent is None:
            return table.start(newest.era, newest.entries, newest.next, now)
        older = [entry for entry in newest.entries if entry.offset < recent.start]
        new = table.start(newest.era, older, newest.next, now)
        return new + table.apply_records(recent.entries, recent.next, now)
