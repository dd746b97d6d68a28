"""Tests for the merge of evidence about targets and hosts."""

from __future__ import annotations

from savoryfork.board import Board
from savoryfork.membership import REMOVAL_DELAY_MS, HostEntry, LoadReport, Membership
from savoryfork.util.timer import Clock


class Fixture:
    """A membership with a clock that the test moves."""

    def __init__(self) -> None:
        self.now_ms = 1_000.0
        self.board = Board()
        clock = Clock(lambda: self.now_ms, lambda: self.now_ms)
        self.membership = Membership(self.board, clock, "host-0")

    def listed(self, incarnation: str, state: str = "live", name: str = "orders-0") -> None:
        """One host list with one target."""
        entry = HostEntry(name, "orders", "127.0.0.1:1", "cai-a", incarnation, state)
        self.membership.apply_host_list([entry])

    def usable(self) -> list[str]:
        """Names of the targets that get new work."""
        return [view.name for view in self.board.targets_of("orders")]


class TestLeaving:
    def test_sticky_against_a_lagging_list(self) -> None:
        """Guards against a stale host list sending work to a target that is draining."""
        fixture = Fixture()
        fixture.listed("a")
        fixture.membership.mark_leaving("orders-0", "a", "answer")
        fixture.listed("a")
        assert fixture.usable() == []

    def test_heard_before_the_target_is_listed(self) -> None:
        """Guards against a peer's word being lost because the host list is behind."""
        fixture = Fixture()
        fixture.membership.mark_leaving("orders-0", "a", "peer")
        fixture.listed("a")
        assert fixture.usable() == []

    def test_new_incarnation_is_used(self) -> None:
        """Guards against a restarted target staying out for good."""
        fixture = Fixture()
        fixture.listed("a", "leaving")
        assert fixture.usable() == []
        fixture.listed("b")
        assert fixture.usable() == ["orders-0"]

    def test_replaced_incarnation_does_not_return(self) -> None:
        """Guards against an old host list bringing back a process that is gone."""
        fixture = Fixture()
        fixture.listed("a")
        fixture.listed("b")
        fixture.listed("a")
        assert fixture.board.targets["orders-0"].incarnation == "b"

    def test_late_word_about_the_old_incarnation(self) -> None:
        """Guards against a late word of leaving hitting the new incarnation."""
        fixture = Fixture()
        fixture.listed("b")
        fixture.membership.mark_leaving("orders-0", "a", "peer")
        assert fixture.usable() == ["orders-0"]


class TestHostList:
    def test_short_list_does_not_empty_a_service(self) -> None:
        """Guards against a truncated host list taking all targets away at once."""
        fixture = Fixture()
        fixture.listed("a")
        fixture.membership.apply_host_list([])
        assert fixture.usable() == ["orders-0"]
        fixture.now_ms += REMOVAL_DELAY_MS
        fixture.membership.apply_host_list([])
        assert fixture.usable() == []

    def test_own_entry_is_no_peer(self) -> None:
        """Guards against a host that exchanges with itself."""
        fixture = Fixture()
        entries = [
            HostEntry(name, "savoryfork", "127.0.0.1:1", "cai-a", "i", "live")
            for name in ("host-0", "host-1")
        ]
        fixture.membership.apply_host_list(entries)
        assert list(fixture.board.hosts) == ["host-1"]

    def test_load_of_another_incarnation_is_ignored(self) -> None:
        """Guards against the load of a dead process being held against its successor."""
        fixture = Fixture()
        fixture.listed("b")
        fixture.membership.update_load("orders-0", "a", LoadReport(9, 9, 900))
        assert fixture.board.targets["orders-0"].running == 0

    def test_own_evidence_is_passed_on_at_once(self) -> None:
        """Guards against other hosts hearing of a draining target only at their next exchange."""
        fixture = Fixture()
        told: list[bool] = []
        fixture.membership.on_local_leaving = lambda: told.append(True)
        fixture.listed("a")
        fixture.membership.mark_leaving("orders-0", "a", "host_list")
        fixture.listed("b")
        fixture.membership.mark_leaving("orders-0", "b", "answer")
        fixture.membership.mark_leaving("orders-0", "b", "load_poll")
        assert told == [True]
