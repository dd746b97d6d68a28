"""Tests of tables whose writers number their values."""

from savoryfork.forward import sequenced
from savoryfork.forward.knowledge import Entry, Position
from savoryfork.forward.sequenced import HOLD_MS, REMEMBER_MS, SequencedTable


def value(offset: int, number: int, start: int = 100, data: bytes = b"v") -> Entry:
    return Entry(offset, "k", data, 1, (start, number))


def deletion(offset: int) -> Entry:
    return Entry(offset, "k", b"", 1)


def table_with(*records: Entry) -> SequencedTable:
    """Returns a table that has read the records from the log, one after the other."""
    table = SequencedTable()
    table.start_era(1, [], records[0].offset, 0.0)
    for record in records:
        read(table, record, 1_000.0)
    return table


def read(table: SequencedTable, record: Entry, now: float) -> list[bytes]:
    new = table.apply_records([record], record.offset + 1, now)
    table.confirm_read(now)
    return [entry.value for entry in new]


def read_for(table: SequencedTable, since: float, for_ms: float) -> float:
    """Reads values of another key for a time; returns its end."""
    start, now = table.next_offset, since
    while now < since + for_ms:
        now += 1_000.0
        offset = table.next_offset
        read(table, Entry(offset, "other", b"v", 1, (1, offset - start + 1)), now)
    return now


class TestLateValues:
    def test_lower_number_changes_nothing(self):
        """Guards against an older value of a living writer, or of its former incarnation."""
        table = table_with(value(0, 7))
        for late in (value(1, 6, data=b"older"), value(2, 99, start=99, data=b"older")):
            assert read(table, late, 1_100.0) == []
        assert read(table, value(3, 8, data=b"newer"), 1_200.0) == [b"newer"]
        assert not table.held

    def test_number_far_ahead_is_that_of_another_writer(self):
        """Guards against an odd entry after which nothing that the writer says counts."""
        table = table_with(value(0, 7), value(1, 10**15, data=b"odd"))
        assert read(table, value(2, 8), 1_100.0) == [b"v"]
        table = table_with(value(0, 7), value(1, 10**15), deletion(2))
        assert read(table, value(3, 8), 1_100.0) == [b"v"]

    def test_value_without_a_number_is_never_late(self):
        """Guards against writers without numbers whose keys would stay deleted."""
        table = table_with(value(0, 7), deletion(1))
        assert read(table, value(2, 0, start=0), 1_100.0) == [b"v"]

    def test_expired_key_comes_back_with_the_same_number(self):
        """Guards against a writer that did not get the answer to its last write."""
        table = table_with(value(0, 7))
        read(table, deletion(1), 1_000.0 + sequenced.EXPIRED_MS)
        assert read(table, value(2, 6), 4_000.0) == []
        assert read(table, value(3, 7), 4_100.0) == [b"v"]

    def test_a_late_value_that_is_deleted_again_is_never_used(self):
        """Guards against a held value that outlives its expiry in the store."""
        table = table_with(value(0, 7), deletion(1), value(2, 5))
        assert read(table, deletion(3), 2_000.0) == []
        read_for(table, 2_000.0, 2 * HOLD_MS)
        assert not table.entries["k"].value

    def test_a_late_value_that_stays_reaches_hosts_that_are_up_to_date(self):
        """Guards against a value that only the reader uses: others have its offset behind them."""
        table, host = table_with(value(0, 7), deletion(1), value(2, 5)), SequencedTable()
        host.merge_update(table.changes_since(host.position(), 1_000.0), 1_000.0, 1_000.0)
        assert not host.entries["k"].value
        now = read_for(table, 1_000.0, HOLD_MS)
        update = table.changes_since(host.position(), now)
        host.merge_update(update, now, now)
        assert host.entries["k"].value == table.entries["k"].value == b"v"

    def test_an_outage_extends_the_time_for_which_a_value_is_held(self):
        """Guards against a late value that is used since the store could not delete it."""
        table = table_with(value(0, 7), deletion(1), value(2, 5))
        read_for(table, 1_000.0 + 2 * HOLD_MS, HOLD_MS - 2_000.0)
        assert not table.entries["k"].value


class TestDeletions:
    def test_full_update_has_the_deletions(self):
        """Guards against hosts that start and take a late value for a new key."""
        table, host = table_with(value(0, 7), deletion(1)), SequencedTable()
        host.merge_update(table.changes_since(Position(0, 0), 1_000.0), 1_000.0, 1_000.0)
        assert read(host, value(2, 6), 1_100.0) == []

    def test_deletions_are_forgotten_in_time(self):
        """Guards against memory and messages that grow with each target that has ever left."""
        table = table_with(value(0, 7), deletion(1))
        read(table, Entry(2, "other", b"v", 1, (1, 1)), 2_000.0 + REMEMBER_MS)
        assert not table.deleted_at
        assert not [e for e in table.changes_since(Position(0, 0), 0.0).entries if e.key == "k"]

    def test_deletion_of_a_held_value_is_kept(self):
        """Guards against a review that misses the deletion with which a value is compared."""
        table = table_with(value(0, 7), deletion(1))
        read_for(table, 1_000.0, REMEMBER_MS)
        assert read(table, value(table.next_offset, 5), 32_000.0) == []
        table.purge_tombstones()
        read_for(table, 32_000.0, HOLD_MS)
        assert table.entries["k"].value

    def test_deletions_are_bounded(self):
        """Guards against memory that grows with a store whose entries all go at once."""
        table = SequencedTable()
        table.start_era(1, [], 0, 0.0)
        count = sequenced.MAX_REMEMBERED + 100
        records = [Entry(n, f"k{n}", b"", 1) for n in range(count)]
        table.apply_records(records, count, 10.0)
        assert len(table.deleted_at) == sequenced.MAX_REMEMBERED and "k0" not in table.deleted_at


class TestReadStart:
    def test_continuous_reader_reads_nothing_again(self):
        table = table_with(value(0, 7))
        assert table.read_start() == table.next_offset == 1

    def test_host_that_was_told_by_others_reads_recent_records_again(self):
        """Guards against a deletion with a number that is older than the last value."""
        reader, host = table_with(value(5_000, 7)), SequencedTable()
        reader.apply_records([value(offset, offset) for offset in range(5_001, 6_000)], 6_000, 50.0)
        host.merge_update(reader.changes_since(Position(0, 0), 60.0), 60.0, 60.0)
        assert host.entries["k"].revision == (100, 5_999)
        assert host.read_start() == 6_000 - host.recalled_records(1)

    def test_records_before_a_restore_are_not_read_again(self):
        """Guards against deletions of the copy that are taken for those of later entries."""
        table = table_with(value(0, 7))
        table.start_era(2, [], 400, 2_000.0)
        assert table.read_start() == 400

    def test_recalled_record_raises_the_number_of_a_deletion(self):
        """Guards against a new reader that was told of a deletion by a host that knew less."""
        host = SequencedTable()
        host.start_era(1, [Entry(5, "k", b"", 1, (100, 2))], 6, 0.0)
        host.apply_records([value(3, 8), deletion(5)], 6, 10.0)
        assert read(host, value(6, 7), 20.0) == []
