"""Knowledge never goes back, and is never taken for newer than it is."""

import math

from hypothesis import given
from hypothesis import strategies as st

from savoryfork.forward.knowledge import Entry, TopicTable


def entry(offset: int, key: str, value: bytes = b"v") -> Entry:
    return Entry(offset, key, value + str(offset).encode() if value else b"")


class TestApply:
    def test_an_older_value_does_not_replace_a_newer_one(self):
        register = TopicTable()
        register.apply([entry(5, "k")], 6)
        assert register.apply([entry(3, "k")], 4) == []
        assert register.entries["k"].offset == 5 and register.next_offset == 6

    def test_a_repeated_value_is_no_change(self):
        # Heartbeats repeat entries every 1.2 s; passing them on would fill slow links.
        register = TopicTable()
        register.apply([Entry(1, "k", b"v")], 2)
        assert register.apply([Entry(7, "k", b"v")], 8) == []
        assert register.last_change_offset == 1 and register.next_offset == 8

    def test_a_whole_register_drops_what_it_lacks(self):
        register = TopicTable()
        register.apply([entry(1, "gone"), entry(2, "kept")], 3)
        new = register.apply_snapshot([entry(2, "kept")], 9)
        assert [e.key for e in new] == ["gone"] and register.entries["gone"].value == b""

    def test_a_whole_register_keeps_what_is_newer_than_itself(self):
        register = TopicTable()
        register.apply([entry(12, "new")], 13)
        assert register.apply_snapshot([entry(2, "kept")], 9) != []
        assert register.entries["new"].value


class TestAge:
    def test_news_counts_from_the_question(self):
        """A host frozen for 9 s reads an answer that was sent before: it must not seem fresh."""
        peer, host = TopicTable(), TopicTable()
        peer.apply([entry(1, "k")], 2)
        peer.confirm(1_000.0)
        news = peer.changes_since(0, now=1_200.0)
        host.merge(news, requested_at=1_100.0)
        assert host.age_ms(now=10_000.0) == 10_000.0 - (1_100.0 - 200.0)

    def test_a_peer_that_knows_less_vouches_for_nothing(self):
        peer, host = TopicTable(), TopicTable()
        host.apply([entry(5, "k")], 6)
        peer.apply([entry(1, "k")], 2)
        peer.confirm(50.0)
        host.merge(peer.changes_since(6, now=60.0), requested_at=55.0)
        assert host.age_ms(60.0) == math.inf

    def test_a_peer_that_never_read_the_store_vouches_for_nothing(self):
        host = TopicTable()
        host.merge(TopicTable().changes_since(0, now=5.0), requested_at=5.0)
        assert host.age_ms(5.0) == math.inf


class TestNews:
    def test_a_host_that_is_too_far_behind_gets_everything(self):
        peer, host = TopicTable(), TopicTable()
        host.apply([entry(0, "dropped")], 1)
        peer.apply([entry(0, "dropped")], 1)
        peer.apply([entry(1, "dropped", b""), entry(2, "kept")], 3)
        peer.purge_tombstones()
        host.merge(peer.changes_since(host.next_offset, now=0.0), requested_at=0.0)
        assert not host.entries["dropped"].value and host.entries["kept"].value

    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30),
        st.integers(0, 30),
    )
    def test_following_a_peer_gives_the_same_as_reading_the_store(self, writes, cut):
        log = [entry(n, key, b"v" if kept else b"") for n, (key, kept) in enumerate(writes)]
        reader, follower = TopicTable(), TopicTable()
        cut = min(cut, len(log))
        reader.apply(log[:cut], cut)
        follower.merge(reader.changes_since(follower.next_offset, 0.0), 0.0)
        reader.apply(log[cut:], len(log))
        follower.merge(reader.changes_since(follower.next_offset, 0.0), 0.0)
        alive = {k: e.value for k, e in reader.entries.items() if e.value}
        assert {k: e.value for k, e in follower.entries.items() if e.value} == alive
