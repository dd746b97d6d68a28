"""Tests for the merge of evidence about targets and hosts."""

from __future__ import annotations

from savoryfork.board import Board
from savoryfork.membership import REMOVAL_DELAY_MS, HostEntry, LoadReport, Membership
from savoryfork.util.timer import Clock


class Fixture:
    """A membership with a manual clock."""

    def __init__(self) -> None:
        self.now_ms = 1_000.0
        self.board = Board()
        clock = Clock(lambda: self.now_ms, lambda: self.now_ms)
        self.membership = Membership(self.board, clock, "host-0")

    def apply_list(self, incarnation: str, state: str = "live", name: str = "orders-0") -> None:
        """Applies a host list with one target."""
        entry = HostEntry(name, "orders", "127.0.0.1:1", "cai-a", incarnation, state)
        self.membership.apply_host_list([entry])

    def usable(self) -> list[str]:
        """Returns the names of the targets that get new work."""
        return [view.name for view in self.board.targets_of("orders")]


class TestLeaving:
    def test_sticky_against_a_lagging_list(self) -> None:
        """Guards against a stale host list clearing the leaving mark of a draining target."""
        fixture = Fixture()
        fixture.apply_list("a")
        fixture.membership.mark_leaving("orders-0", "a", "answer")
        fixture.apply_list("a")
        assert fixture.usable() == []

    def test_mark_received_before_the_target_is_listed(self) -> None:
        """Guards against losing a peer's leaving mark when the host list is stale."""
        fixture = Fixture()
        fixture.membership.mark_leaving("orders-0", "a", "peer")
        fixture.apply_list("a")
        assert fixture.usable() == []

    def test_new_incarnation_is_used(self) -> None:
        """Guards against a leaving mark that excludes a restarted target for good."""
        fixture = Fixture()
        fixture.apply_list("a", "leaving")
        assert fixture.usable() == []
        fixture.apply_list("b")
        assert fixture.usable() == ["orders-0"]

    def test_replaced_incarnation_does_not_return(self) -> None:
        """Guards against a stale host list that restores an incarnation that is gone."""
        fixture = Fixture()
        fixture.apply_list("a")
        fixture.apply_list("b")
        fixture.apply_list("a")
        assert fixture.board.targets["orders-0"].incarnation == "b"

    def test_late_mark_of_the_old_incarnation(self) -> None:
        """Guards against a late leaving mark applied to the new incarnation."""
        fixture = Fixture()
        fixture.apply_list("b")
        fixture.membership.mark_leaving("orders-0", "a", "peer")
        assert fixture.usable() == ["orders-0"]


class TestHostList:
    def test_short_list_does_not_empty_a_service(self) -> None:
        """Guards against a truncated host list that removes all targets at once."""
        fixture = Fixture()
        fixture.apply_list("a")
        fixture.membership.apply_host_list([])
        assert fixture.usable() == ["orders-0"]
        fixture.now_ms += REMOVAL_DELAY_MS
        fixture.membership.apply_host_list([])
        assert fixture.usable() == []

    def test_own_entry_is_no_peer(self) -> None:
        """Guards against a host that lists itself and so exchanges with itself."""
        fixture = Fixture()
        entries = [
            HostEntry(name, "savoryfork", "127.0.0.1:1", "cai-a", "i", "live")
            for name in ("host-0", "host-1")
        ]
        fixture.membership.apply_host_list(entries)
        assert list(fixture.board.hosts) == ["host-1"]

    def test_load_of_another_incarnation_is_ignored(self) -> None:
        """Guards against the load of a dead process counted for its replacement."""
        fixture = Fixture()
        fixture.apply_list("b")
        fixture.membership.update_load("orders-0", "a", LoadReport(9, 9, 900))
        assert fixture.board.targets["orders-0"].running == 0

    def test_local_evidence_is_pushed_at_once(self) -> None:
        """Guards against other hosts learning of a draining target only at the next exchange."""
        fixture = Fixture()
        notifications: list[bool] = []
        fixture.membership.on_local_leaving = lambda: notifications.append(True)
        fixture.apply_list("a")
        fixture.membership.mark_leaving("orders-0", "a", "host_list")
        fixture.apply_list("b")
        fixture.membership.mark_leaving("orders-0", "b", "answer")
        fixture.membership.mark_leaving("orders-0", "b", "load_poll")
        assert notifications == [True]
