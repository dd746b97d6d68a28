"""Tests for the target table."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork.targets import TargetTable, TargetView
from savoryfork.util import rendezvous

NAMES = [f"t{number}" for number in range(6)]
OPERATIONS = st.lists(
    st.tuples(st.sampled_from(NAMES), st.sampled_from(["a", "b", ""]), st.booleans()), max_size=30
)


def naive_usable(views: dict[str, TargetView], service: str, size: int) -> list[str]:
    """Computes the subset from scratch."""
    live = [v.name for v in views.values() if v.service == service and not v.leaving]
    if len(live) > size:
        live.sort(key=lambda name: rendezvous.score("host-0", name), reverse=True)
        live = live[:size]
    return sorted(live)


class TestTargetTable:
    @settings(derandomize=True, max_examples=200)
    @given(OPERATIONS)
    def test_index_equals_a_scan(self, operations: list[tuple[str, str, bool]]) -> None:
        """Guards against a cached subset that misses a change, such as a leaving target."""
        table, views = TargetTable("host-0", 2), dict[str, TargetView]()
        for name, service, leaving in operations:
            if service:
                view = TargetView(name, service, "127.0.0.1:1", "z", "1", leaving)
                table[name] = views[name] = view
            elif name in views:
                del table[name], views[name]
            for each in ("a", "b"):
                names = [view.name for view in table.usable(each)]
                assert names == naive_usable(views, each, 2)
        assert dict(table) == views

    def test_coverage_at_the_planned_size(self) -> None:
        """Guards against uneven subsets, with 320 hosts and 180 targets: no or too many users."""
        names = [f"fornaio-{number}" for number in range(180)]
        users: Counter[str] = Counter()
        for host in range(320):
            table = TargetTable(f"host-{host}", 20)
            for name in names:
                table[name] = TargetView(name, "fornaio", "127.0.0.1:1", "z", "1")
            users.update(view.name for view in table.usable("fornaio"))
        mean = 320 * 20 / 180
        assert 0.4 * mean < min(users.values()) and max(users.values()) < 1.7 * mean

    def test_one_target_lost_changes_one_place(self) -> None:
        """Guards against a failed target moving the connections of all hosts."""
        table = TargetTable("host-0", 20)
        for number in range(180):
            name = f"fornaio-{number}"
            table[name] = TargetView(name, "fornaio", "127.0.0.1:1", "z", "1")
        before = {view.name for view in table.usable("fornaio")}
        lost = min(before)
        table[lost] = table[lost]._replace(leaving=True)
        after = {view.name for view in table.usable("fornaio")}
        assert len(after) == 20
        assert before - after == {lost}
