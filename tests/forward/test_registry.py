"""Tests of the registry: leaving targets get no work, and lapsed entries do not empty a service."""

import msgspec

from savoryfork.forward.knowledge import Entry
from savoryfork.forward.model import Target
from savoryfork.forward.registry import LAPSE_GRACE_MS, Registry
from savoryfork.platform.records import decode_target


def value(address: str, state: str = "ready", born: int = 1, service: str = "s") -> bytes:
    row = {"service": service, "address": address, "zone": "z", "state": state, "slots": 2}
    return msgspec.json.encode({**row, "born": born})


def make_registry(count: int = 5) -> Registry:
    registry = Registry(decode_target)
    registry.update([Entry(n, f"t{n}", value(f"10.0.0.{n}:80")) for n in range(count)], 0.0)
    return registry


class TestUpdate:
    def test_a_leaving_target_is_not_usable(self):
        registry = make_registry()
        changes = registry.update([Entry(9, "t1", value("10.0.0.1:80", "draining"))], 0.0)
        assert [(t.name, change) for t, change in changes] == [("t1", "leaving")]
        assert [t.name for t in registry.usable("s")] == ["t0", "t2", "t3", "t4"]

    def test_a_target_with_a_deleted_entry_is_removed_at_once(self):
        registry = make_registry()
        registry.update([Entry(9, "t1", b"")], 50_000.0)
        assert "t1" not in registry.targets and len(registry.usable("s")) == 4

    def test_malformed_entries_do_not_affect_other_targets(self):
        registry = make_registry()
        bad = [b"{", b"[]", b'{"service":3}', value("no-port"), value("h:1", "odd"), b'"x"']
        registry.update([Entry(20 + n, f"bad{n}", v) for n, v in enumerate(bad)], 0.0)
        assert len(registry.usable("s")) == 5

    def test_target_that_returns_within_one_update_is_kept(self):
        """Guards against losing a target whose entry was deleted and written again between two
        reads, and against a KeyError, which ended the host, if it was deleted twice."""
        registry = make_registry()
        again = value("10.0.0.1:80", born=2)
        changes = registry.update([Entry(9, "t1", b""), Entry(10, "t1", again)], 50_000.0)
        assert [change for _, change in changes] == ["reborn"]
        assert registry.targets["t1"].start_unix_ms == 2 and len(registry.usable("s")) == 5
        deleted = [Entry(11, "t1", b""), Entry(12, "t1", again), Entry(13, "t1", b"")]
        assert [change for _, change in registry.update(deleted, 50_000.0)] == ["gone"]
        assert "t1" not in registry.targets

    def test_leaving_entry_within_one_update_counts(self):
        """Guards against work for a target that wrote that it leaves, and was then written as ready
        by another writer, between two reads."""
        registry = make_registry()
        rows = [value("10.0.0.1:80", "draining"), value("10.0.0.1:80")]
        registry.update([Entry(9, "t1", rows[0]), Entry(10, "t1", rows[1])], 0.0)
        assert len(registry.usable("s")) == 4

    def test_a_new_incarnation_replaces_the_old_one(self):
        registry = make_registry()
        old = registry.targets["t1"]
        changes = registry.update([Entry(9, "t1", value("10.0.0.1:80", born=2))], 0.0)
        assert changes[0][1] == "reborn" and not registry.is_current(old)

    def test_a_target_that_is_deleted_and_registers_again_between_two_reads_is_kept(self):
        """Guards against a live target that gets no work until its entry changes again."""
        registry = make_registry()
        again = Entry(10, "t1", value("10.0.0.1:80", born=2))
        registry.update([Entry(9, "t1", b""), again], 50_000.0)
        assert registry.targets["t1"].start_unix_ms == 2 and len(registry.usable("s")) == 5


class TestLapse:
    def test_entries_that_lapse_in_an_outage_are_kept_for_the_grace_period(self):
        registry = make_registry()
        registry.record_store_return(10_000.0)
        registry.update([Entry(9 + n, f"t{n}", b"") for n in range(4)], 10_001.0)
        assert len(registry.usable("s")) == 5
        assert {t.name for t, _ in registry.expire(10_000.0 + LAPSE_GRACE_MS)} == {
            "t0",
            "t1",
            "t2",
            "t3",
        }
        assert [t.name for t in registry.usable("s")] == ["t4"]

    def test_a_target_that_registers_again_is_kept(self):
        registry = make_registry()
        registry.record_store_return(10_000.0)
        registry.update([Entry(9 + n, f"t{n}", b"") for n in range(4)], 10_001.0)
        registry.update([Entry(19, "t0", value("10.0.0.0:80"))], 10_500.0)
        registry.expire(10_000.0 + LAPSE_GRACE_MS)
        assert {t.name for t in registry.usable("s")} == {"t0", "t4"}

    def test_a_single_target_that_leaves_after_an_outage_is_removed_at_once(self):
        registry = make_registry()
        registry.record_store_return(10_000.0)
        registry.update([Entry(9, "t1", b"")], 10_001.0)
        assert "t1" not in registry.targets


class TestMisdirected:
    def test_a_misdirected_target_gets_no_work_until_its_entry_changes(self):
        registry = make_registry()
        target: Target = registry.targets["t1"]
        registry.mark_misdirected(target)
        assert not registry.is_current(target) and len(registry.usable("s")) == 4
        registry.update([Entry(9, "t1", value("10.0.0.1:80", born=2))], 0.0)
        assert len(registry.usable("s")) == 5


class TestRestore:
    def test_a_target_that_leaves_does_not_return_in_the_same_incarnation(self):
        """Guards against work for a leaving target that an older entry shows as ready."""
        registry = make_registry()
        registry.update([Entry(9, "t1", value("10.0.0.1:80", "draining"))], 0.0)
        assert registry.update([Entry(10, "t1", value("10.0.0.1:80"))], 1.0, restored=True) == []
        assert len(registry.usable("s")) == 4
        registry.update([Entry(11, "t1", value("10.0.0.1:80", born=2))], 2.0)
        assert len(registry.usable("s")) == 5

    def test_a_target_that_the_copy_lacks_is_kept_for_the_grace_period(self):
        """Guards against dropping a live target whose entry is newer than the copy."""
        registry = make_registry()
        changes = registry.update([Entry(9, "t1", b"")], 10_000.0, restored=True)
        assert [change for _, change in changes] == ["lapsed"] and len(registry.usable("s")) == 5
        assert not registry.expire(10_000.0 + LAPSE_GRACE_MS - 1.0)
        assert [t.name for t, _ in registry.expire(10_000.0 + LAPSE_GRACE_MS)] == ["t1"]


class TestExpire:
    def test_a_lapsed_target_whose_entry_becomes_unreadable_is_removed_once(self):
        """Guards against a KeyError that leaves other lapsed targets in use."""
        registry = make_registry()
        registry.update([Entry(9, "t1", b""), Entry(10, "t2", b"")], 10_000.0, restored=True)
        registry.update([Entry(11, "t1", b"{")], 10_500.0)
        registry.expire(10_000.0 + LAPSE_GRACE_MS)
        assert {t.name for t in registry.usable("s")} == {"t0", "t3", "t4"}
