"""Tests of topic tables: older values never win, and the age is never underestimated."""

import math

from hypothesis import given
from hypothesis import strategies as st

from savoryfork.forward.knowledge import PURGE_THRESHOLD, Entry, Position, TopicTable


def entry(offset: int, key: str, value: bytes = b"v") -> Entry:
    return Entry(offset, key, value + str(offset).encode() if value else b"")


class TestApply:
    def test_an_older_value_does_not_replace_a_newer_one(self):
        table = TopicTable()
        table.apply([entry(5, "k")], 6)
        assert table.apply([entry(3, "k")], 4) == []
        assert table.entries["k"].offset == 5 and table.next_offset == 6

    def test_a_rewrite_of_the_same_value_is_no_change(self):
        # Heartbeats rewrite entries every 1.2 s; propagating them would saturate slow links.
        table = TopicTable()
        table.apply([Entry(1, "k", b"v")], 2)
        assert table.apply([Entry(7, "k", b"v")], 8) == []
        assert table.last_change_offset == 1 and table.next_offset == 8

    def test_a_snapshot_deletes_missing_keys(self):
        table = TopicTable()
        table.apply([entry(1, "gone"), entry(2, "kept")], 3)
        new = table.apply_snapshot([entry(2, "kept")], 9)
        assert [e.key for e in new] == ["gone"] and table.entries["gone"].value == b""

    def test_a_snapshot_keeps_entries_newer_than_itself(self):
        table = TopicTable()
        table.apply([entry(12, "new")], 13)
        assert table.apply_snapshot([entry(2, "kept")], 9) != []
        assert table.entries["new"].value


class TestAge:
    def test_the_age_of_an_update_counts_from_the_request(self):
        """Guards against a host frozen for 9 s taking a reply sent before the freeze as fresh."""
        peer, host = TopicTable(), TopicTable()
        peer.apply([entry(1, "k")], 2)
        peer.confirm_read(1_000.0)
        update = peer.changes_since(Position(0, 0), now=1_200.0)
        host.merge_update(update, replied_at=1_100.0, now=1_300.0)
        assert host.age_ms(now=10_000.0) == 10_000.0 - (1_100.0 - 200.0)

    def test_an_update_from_a_peer_that_is_behind_confirms_nothing(self):
        peer, host = TopicTable(), TopicTable()
        host.apply([entry(5, "k")], 6)
        peer.apply([entry(1, "k")], 2)
        peer.confirm_read(50.0)
        host.merge_update(peer.changes_since(Position(0, 6), now=60.0), replied_at=55.0, now=61.0)
        assert host.age_ms(60.0) == math.inf

    def test_an_update_from_a_peer_that_never_read_the_store_confirms_nothing(self):
        host = TopicTable()
        update = TopicTable().changes_since(Position(0, 0), now=5.0)
        host.merge_update(update, replied_at=5.0, now=5.0)
        assert host.age_ms(5.0) == math.inf


class TestUpdates:
    def test_hosts_that_have_read_nothing_have_no_changes_for_each_other(self):
        """Guards against long polls that are answered at once while a topic can't be read."""
        assert not TopicTable().has_changes_since(TopicTable().position())

    def test_a_change_among_many_entries_is_sent_alone(self):
        """Guards against full updates for each change of 2,000 targets, 400 KB to each host."""
        peer, host = TopicTable(), TopicTable()
        count = PURGE_THRESHOLD + 1
        peer.apply([entry(n, f"k{n}") for n in range(count)], count)
        host.merge_update(peer.changes_since(host.position(), 0.0), 0.0, 0.0)
        peer.apply([entry(count, "k0")], count + 1)
        update = peer.changes_since(host.position(), 0.0)
        assert not update.full and [e.key for e in update.entries] == ["k0"]

    def test_a_repeated_deletion_is_not_counted_again(self):
        """Guards against full updates for a key that is deleted again and again."""
        table = TopicTable()
        for n in range(PURGE_THRESHOLD + 1):
            table.apply([entry(n, "k", b"")], n + 1)
        assert not table.full_sync_before

    def test_tombstones_are_purged(self):
        """Guards against memory that grows with each key that was ever deleted."""
        table = TopicTable()
        for n in range(3 * PURGE_THRESHOLD):
            table.apply([entry(2 * n, f"k{n}"), entry(2 * n + 1, f"k{n}", b"")], 2 * n + 2)
        assert len(table.entries) <= PURGE_THRESHOLD + 1

    def test_a_host_behind_the_purged_tombstones_gets_a_full_update(self):
        peer, host = TopicTable(), TopicTable()
        host.apply([entry(0, "dropped")], 1)
        peer.apply([entry(0, "dropped")], 1)
        peer.apply([entry(1, "dropped", b""), entry(2, "kept")], 3)
        peer.purge_tombstones()
        host.merge_update(peer.changes_since(host.position(), now=0.0), replied_at=0.0, now=0.0)
        assert not host.entries["dropped"].value and host.entries["kept"].value

    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30),
        st.integers(0, 30),
    )
    def test_following_a_peer_gives_the_same_entries_as_reading_the_store(self, writes, cut):
        log = [entry(n, key, b"v" if kept else b"") for n, (key, kept) in enumerate(writes)]
        reader, follower = TopicTable(), TopicTable()
        cut = min(cut, len(log))
        reader.apply(log[:cut], cut)
        follower.merge_update(reader.changes_since(follower.position(), 0.0), 0.0, 0.0)
        reader.apply(log[cut:], len(log))
        follower.merge_update(reader.changes_since(follower.position(), 0.0), 0.0, 0.0)
        alive = {k: e.value for k, e in reader.entries.items() if e.value}
        assert {k: e.value for k, e in follower.entries.items() if e.value} == alive


def follow(table: TopicTable, peer: TopicTable, now: float = 1_000.0) -> None:
    table.merge_update(peer.changes_since(table.position(), now), now, now)


def started(*entries: Entry) -> TopicTable:
    """Returns a table of targets that has read the store's first era."""
    table = TopicTable()
    table.start_era(1, entries, 1 + max((e.offset for e in entries), default=-1), 0.0)
    return table


class TestRestore:
    def test_a_host_of_the_former_era_does_not_bring_back_what_the_store_lacks(self):
        """Guards against a target that has ended and stays forever, as nothing deletes it again."""
        # The other host has read later heartbeats, which hosts do not pass on.
        host = started(Entry(0, "t", b"v", 1, (100, 1)))
        other = started(Entry(0, "t", b"v", 1, (100, 7)))
        host.start_era(2, [], 0, 1_000.0)
        follow(host, other)
        assert not host.entries["t"].value and not host.kept_keys
        other.start_era(2, [], 0, 1_100.0)
        for _ in range(2):
            follow(host, other)
            follow(other, host)
        assert not host.entries["t"].value and not other.entries["t"].value

    def test_a_host_that_keeps_an_entry_does_not_undo_its_deletion(self):
        """Guards against a target that was deleted after a drill and stays on other hosts."""
        host = started(Entry(0, "t", b"changed", 1, (100, 5)))
        other = started(Entry(0, "t", b"changed", 1, (100, 7)))
        for table in (host, other):
            table.start_era(2, [Entry(0, "t", b"v", 2, (100, 2))], 1, 1_000.0)
        host.apply_records([Entry(1, "t", b"", 2)], 2, 1_000.0)
        follow(host, other)
        follow(other, host)
        for table in (host, other):
            assert not table.entries["t"].value and not table.kept_keys

    def test_a_host_that_missed_a_deletion_learns_it_from_one_that_read_a_snapshot(self):
        """Guards against a dead target that stays: the snapshot of a new host has no tombstones."""
        host = started(Entry(0, "t", b"v", 1), Entry(1, "other", b"v", 1))
        new = TopicTable()
        new.start_era(1, [Entry(1, "other", b"v", 1)], 3, 0.0)
        follow(host, new)
        assert not host.entries["t"].value and host.entries["other"].value

    def test_a_host_of_the_former_era_tells_what_the_copy_does_not_know(self):
        """Guards against a host that takes the copy's word until its peers enter the new era."""
        host = started()
        other = started(Entry(3, "t", b"leaving", 1, (100, 9)))
        host.start_era(2, [Entry(0, "t", b"v", 2, (100, 2))], 1, 1_000.0)
        follow(host, other)
        assert host.entries["t"].value == b"leaving" and host.kept_keys == {"t"}

    def test_hosts_of_an_era_tell_each_other_once_what_they_keep(self):
        """Guards against kept entries that others never learn, or get with every message."""
        host = started()
        other = started(Entry(3, "t", b"leaving", 1, (100, 9)))
        for table in (host, other):
            table.start_era(2, [Entry(0, "t", b"v", 2, (100, 2))], 1, 1_000.0)
        follow(host, other)
        assert host.entries["t"].value == b"leaving"
        for first, second in ((host, other), (other, host)):
            assert not first.changes_since(second.position(), 1_000.0).entries

    def test_a_key_that_the_store_lacks_comes_from_a_former_era_only_if_such_keys_stay(self):
        """Guards against targets that have ended, and for reports that only one host has."""
        for keeps_missing in (False, True):
            host = TopicTable(keeps_missing=keeps_missing)
            host.start_era(2, [], 0, 1_000.0)
            follow(host, started(Entry(3, "k", b"v", 1, (1, 0))))
            assert ("k" in host.entries) == keeps_missing

    def test_a_record_of_the_new_era_replaces_a_kept_entry_with_a_huge_revision(self):
        """Guards against an odd entry that one host has read and that shuts its target out."""
        host = started(Entry(3, "t", b"odd", 1, (100, 10**18)))
        other = started()
        for table in (host, other):
            table.start_era(2, [Entry(0, "t", b"v", 2, (100, 2))], 1, 1_000.0)
        other.apply_records([Entry(1, "t", b"leaving", 2, (100, 6))], 2, 1_000.0)
        follow(host, other)
        assert host.entries["t"].value == b"leaving" and not host.kept_keys

    def test_a_kept_deletion_survives_a_purge_and_reaches_a_starting_host(self):
        """Guards against a target that has ended and that only the copy still has."""
        copy = Entry(0, "t", b"v", 2, (100, 2))
        table = started(Entry(0, "t", b"v", 1, (100, 5)))
        table.apply_records([Entry(1, "t", b"", 1)], 2, 1_000.0)
        table.start_era(2, [copy], 1, 1_000.0)
        table.purge_tombstones()
        for host in (TopicTable(), started(Entry(0, "t", b"v", 1, (100, 1)))):
            follow(host, table)
            assert not host.entries["t"].value

    def test_a_host_of_the_former_era_is_answered_at_once(self):
        """Guards against hosts that wait for a change to hear of a new era."""
        host, other = started(), started()
        other.start_era(2, [], 0, 1_000.0)
        assert other.has_changes_since(host.position())
        assert not host.has_changes_since(other.position())
        follow(host, other)
        assert host.era == 2 and not other.has_changes_since(host.position())

    def test_a_kept_deletion_ends_when_a_snapshot_lacks_the_key(self):
        """Guards against entries that are kept, and sent or appended again, for good."""
        table = started(Entry(0, "t", b"v", 1, (100, 5)))
        table.apply_records([Entry(1, "t", b"", 1)], 2, 1_000.0)
        table.start_era(2, [Entry(0, "t", b"v", 2, (100, 2))], 1, 1_000.0)
        assert table.kept_keys == {"t"}
        table.apply_snapshot([], 2)
        assert not table.kept_keys and not table.entries["t"].value
