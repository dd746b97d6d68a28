"""Targets get no work once they leave, and lapsed entries do not empty a service."""

import msgspec

from savoryfork.forward.knowledge import Entry
from savoryfork.forward.model import Target
from savoryfork.forward.registry import LAPSE_GRACE_MS, Registry
from savoryfork.platform.records import decode_target


def value(address: str, state: str = "ready", born: int = 1, service: str = "s") -> bytes:
    row = {"service": service, "address": address, "zone": "z", "state": state, "slots": 2}
    return msgspec.json.encode({**row, "born": born})


def registry(count: int = 5) -> Registry:
    made = Registry(decode_target)
    made.update([Entry(n, f"t{n}", value(f"10.0.0.{n}:80")) for n in range(count)], 0.0)
    return made


class TestUpdate:
    def test_a_leaving_target_is_not_usable(self):
        made = registry()
        changes = made.update([Entry(9, "t1", value("10.0.0.1:80", "draining"))], 0.0)
        assert [(t.name, what) for t, what in changes] == [("t1", "leaving")]
        assert [t.name for t in made.usable("s")] == ["t0", "t2", "t3", "t4"]

    def test_a_dropped_target_is_gone_at_once(self):
        made = registry()
        made.update([Entry(9, "t1", b"")], 50_000.0)
        assert "t1" not in made.targets and len(made.usable("s")) == 4

    def test_one_unreadable_entry_spoils_nothing(self):
        made = registry()
        bad = [b"{", b"[]", b'{"service":3}', value("no-port"), value("h:1", "odd"), b'"x"']
        made.update([Entry(20 + n, f"bad{n}", v) for n, v in enumerate(bad)], 0.0)
        assert len(made.usable("s")) == 5

    def test_a_new_incarnation_is_told_from_the_old_one(self):
        made = registry()
        old = made.targets["t1"]
        changes = made.update([Entry(9, "t1", value("10.0.0.1:80", born=2))], 0.0)
        assert changes[0][1] == "reborn" and not made.is_current(old)


class TestLapse:
    def test_entries_that_vanish_with_the_store_are_held_for_a_while(self):
        made = registry()
        made.record_store_return(10_000.0)
        made.update([Entry(9 + n, f"t{n}", b"") for n in range(4)], 10_001.0)
        assert len(made.usable("s")) == 5
        assert {t.name for t, _ in made.expire(10_000.0 + LAPSE_GRACE_MS)} == {
            "t0",
            "t1",
            "t2",
            "t3",
        }
        assert [t.name for t in made.usable("s")] == ["t4"]

    def test_an_entry_that_is_back_stays(self):
        made = registry()
        made.record_store_return(10_000.0)
        made.update([Entry(9 + n, f"t{n}", b"") for n in range(4)], 10_001.0)
        made.update([Entry(19, "t0", value("10.0.0.0:80"))], 10_500.0)
        made.expire(10_000.0 + LAPSE_GRACE_MS)
        assert {t.name for t in made.usable("s")} == {"t0", "t4"}

    def test_one_that_leaves_after_an_outage_is_gone_at_once(self):
        made = registry()
        made.record_store_return(10_000.0)
        made.update([Entry(9, "t1", b"")], 10_001.0)
        assert "t1" not in made.targets


class TestMisdirected:
    def test_a_target_that_is_another_one_gets_nothing_until_its_entry_changes(self):
        made = registry()
        target: Target = made.targets["t1"]
        made.mark_misdirected(target)
        assert not made.is_current(target) and len(made.usable("s")) == 4
        made.update([Entry(9, "t1", value("10.0.0.1:80", born=2))], 0.0)
        assert len(made.usable("s")) == 5
