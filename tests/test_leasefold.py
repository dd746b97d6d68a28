"""Tests for `savoryfork.leasefold`."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork.leasefold import (
    MAX_CANDIDATES,
    SETTLE_MS,
    STALE_LEASE_MS,
    Candidate,
    Lease,
    LeaseFold,
    Unknown,
)
from savoryfork.util.topic import Record

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["acquire", "renew", "release"]),
        st.sampled_from(["a", "b", "c"]),
        st.integers(0, 3),  # which of the last leases the record names; 0 is the newest
        st.sampled_from([0, 1_000, STALE_LEASE_MS // 2, STALE_LEASE_MS, STALE_LEASE_MS + 1]),
    ),
    max_size=30,
)


def record(offset: int, time_ms: int, kind: str, holder: str, lease: int) -> Record:
    """Returns a record of service `s` whose id is its offset."""
    value = {"schema": 1, "type": kind, "id": str(offset), "service": "s", "holder": holder}
    value |= {"lease": lease, "after": lease, "ttl_ms": 10_000, "config": offset}
    return Record(offset, time_ms, value)


def history(steps: list[tuple[str, str, int, int]]) -> list[Record]:
    """Returns records that name recent leases; a renewal names only a lease that its holder has
    won, as the protocol requires."""
    records: list[Record] = []
    now = 0
    for kind, holder, back, wait in steps:
        now += wait
        won = naive_winners(records)
        if kind == "renew":
            won = [w for w in won if records[w].value["holder"] == holder]
        lease = won[-1 - back] if back < len(won) else -1
        if kind == "acquire" or lease >= 0:
            records.append(record(len(records), now, kind, holder, lease))
    return records


def naive_winners(records: list[Record]) -> list[int]:
    """Returns the offsets of the winning acquire records by a backward scan from each."""
    winners: list[int] = []
    for r in records:
        if r.value["type"] != "acquire":
            continue
        if winners and r.value["after"] != winners[-1]:
            held = records[winners[-1]]
            last_ms = held.time_ms
            for x in records[held.offset + 1 : r.offset]:
                named = (x.value["type"], x.value["lease"], x.value["holder"])
                if named == ("renew", held.offset, held.value["holder"]):
                    last_ms = x.time_ms
            if r.time_ms - last_ms <= STALE_LEASE_MS:
                continue
        winners.append(r.offset)
    return winners


def fold_of(records: list[Record], start: int = 0) -> LeaseFold:
    fold = LeaseFold()
    fold.restart(start)
    for r in records[start:]:
        fold.apply(r)
    return fold


def possible(candidate: Candidate, lease: Lease | None) -> bool:
    """Returns True if a reader of the whole log may have `lease` according to a candidate."""
    if lease is None:
        return isinstance(candidate, Unknown) and candidate.above < 0
    if isinstance(candidate, Unknown):
        in_range = candidate.above < lease.offset < candidate.below
        return in_range and lease.record_ms <= candidate.until_ms
    fields = ("offset", "record_ms", "released")
    return all(getattr(candidate, name) == getattr(lease, name) for name in fields)


class TestLeaseFold:
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(STEPS)
    def test_same_winners_as_naive(self, steps: list[tuple[str, str, int, int]]) -> None:
        """Guards against two hosts that both conclude that they won the same lease."""
        records = history(steps)
        fold = LeaseFold()
        seen = []
        for r in [*records, *records]:  # reading a page twice has no effect
            fold.apply(r)
            if fold.leases and (not seen or seen[-1] != fold.leases["s"].offset):
                seen.append(fold.leases["s"].offset)
        assert seen == naive_winners(records)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(STEPS, st.integers(0, 30))
    def test_reader_past_retention_agrees_once_settled(
        self, steps: list[tuple[str, str, int, int]], cut: int
    ) -> None:
        """Guards against a host that starts on a trimmed log and believes in another holder."""
        records = history(steps)
        whole, partial = fold_of(records), fold_of(records, min(cut, len(records)))
        if not partial.settled or not records:
            return
        last_ms = records[-1].time_ms
        leases = [fold.leases.get("s") for fold in (whole, partial)]
        live = [x.offset if x and last_ms - x.record_ms <= STALE_LEASE_MS else -1 for x in leases]
        assert live[0] == live[1]

    def test_reader_past_retention_agrees_on_a_renewal_after_its_release(self) -> None:
        """Guards against two hosts that believe in different holders: a lease is renewed after its
        own release. A reader whose log starts at the release or later takes the renewal as proof
        of the lease, so one of the whole log must count it too."""
        steps = [("acquire", "a", 0, 0)] * 3
        steps += [("release", "a", 0, 0), ("renew", "a", 0, STALE_LEASE_MS + 1)]
        steps += [("acquire", "a", 1, STALE_LEASE_MS)]
        # The function under the decorators: the same check on this example alone.
        check = TestLeaseFold.test_reader_past_retention_agrees_once_settled.hypothesis.inner_test
        check(self, steps, 3)

    def test_reader_past_retention_agrees_after_a_wrong_first_acquire(self) -> None:
        """Guards against two hosts that believe in different holders: a reader whose log starts
        at a losing acquire record takes it as the lease, and judges the acquire records that
        follow at intervals of the stale time by it, each differently from a full reader."""
        steps = [("acquire", "a", 0, 0)] * 4
        steps += [("acquire", "a", 1, 0), ("acquire", "a", 0, 1_000)]
        steps += [("acquire", "a", 1, STALE_LEASE_MS), ("acquire", "a", 0, STALE_LEASE_MS)]
        check = TestLeaseFold.test_reader_past_retention_agrees_once_settled.hypothesis.inner_test
        check(self, steps, 4)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(STEPS, st.integers(0, 30))
    def test_lease_is_among_the_candidates_of_a_trimmed_log(
        self, steps: list[tuple[str, str, int, int]], cut: int
    ) -> None:
        """Guards against a reader of a trimmed log that excludes the lease that all others read;
        it would then count another one as settled at some later record."""
        records = history(steps)
        whole, partial = fold_of(records[:cut]), fold_of([], min(cut, len(records)))
        for r in records[cut:]:
            whole.apply(r)
            partial.apply(r)
            lease = whole.leases.get("s")
            assert any(possible(candidate, lease) for candidate in partial.candidates["s"])

    def test_acquire_after_a_late_renewal_is_not_settled(self) -> None:
        """Guards against a host that settles on no live lease, acquires it, and sends orders
        although a late renewal of the lease in effect arrived just before its acquire record."""
        records = [record(0, 0, "acquire", "a", -1), record(1, 0, "acquire", "b", -1)]
        records += [record(2, 0, "acquire", "b", -1)]
        late = 2 * SETTLE_MS
        records += [record(3, late, "renew", "a", 0), record(4, late, "acquire", "b", 2)]
        assert fold_of(records).leases["s"].holder == "a"
        partial = fold_of(records[:3], 1)
        assert partial.is_settled("s", quiet_ms=late)
        for r in records[3:]:
            partial.apply(r)
        assert not partial.settled

    def test_many_acquire_records_take_bounded_time(self) -> None:
        """Guards against a reader of a trimmed log that stops its host's event loop over a burst
        of acquire records, or is sure of a lease after it."""
        burst = [record(n, n, "acquire", "a", n - 1 if n % 2 else -1) for n in range(1_000)]
        fold = fold_of(burst, 1)
        assert len(fold.candidates["s"]) <= MAX_CANDIDATES and not fold.leases
        lease = fold_of(burst).leases["s"]
        assert any(possible(candidate, lease) for candidate in fold.candidates["s"])
        fold.apply(record(1_000, 2 * STALE_LEASE_MS, "acquire", "a", -1))
        assert fold.leases["s"].offset == 1_000

    def test_quiet_time_settles_a_trimmed_log(self) -> None:
        """Guards against a host that never acquires a lease because the log has no later record,
        and one that relies on its own clock before every lease has become stale."""
        fold = fold_of([record(n, 0, "acquire", "a", -1) for n in range(3)], 1)
        assert not fold.is_settled("s", quiet_ms=SETTLE_MS)
        assert fold.is_settled("s", quiet_ms=SETTLE_MS + 1)
        assert fold_of([], 7).is_settled("s", quiet_ms=SETTLE_MS + 1)
        times = [0, STALE_LEASE_MS, SETTLE_MS, SETTLE_MS + 1]
        fold = fold_of([record(n, at, "acquire", "a", -1) for n, at in enumerate([0, *times])], 1)
        assert not fold.is_settled("s", quiet_ms=SETTLE_MS)
        assert fold.is_settled("s", quiet_ms=SETTLE_MS + 1)

    def test_renewal_after_its_release_makes_the_next_holder_wait(self) -> None:
        """Guards against a new holder that does not wait for the end of a renewed lease."""
        records = [record(0, 0, "acquire", "a", -1), record(1, 0, "release", "a", 0)]
        records += [record(2, 0, "renew", "a", 0)]
        assert not fold_of(records).leases["s"].released
        records += [record(3, 0, "acquire", "b", 0)]
        assert not fold_of(records).leases["s"].replaced_released

    def test_duplicate_acquire_record_loses(self) -> None:
        """Guards against a lease that changes holder when an append is retried."""
        first = record(0, 0, "acquire", "a", -1)
        fold = fold_of([first, record(1, 0, "acquire", "b", 0), first._replace(offset=2)])
        assert (fold.leases["s"].holder, fold.leases["s"].offset) == ("b", 1)

    def test_configuration_offset_never_decreases(self) -> None:
        """Guards against a new holder that reverts to an older declared state."""
        records = [record(0, 0, "acquire", "a", -1), record(1, 0, "acquire", "b", 0)]
        records[0].value["config"] = 7
        assert fold_of(records).leases["s"].config == 7

    @pytest.mark.parametrize(
        "change", [{"ttl_ms": 0}, {"ttl_ms": STALE_LEASE_MS}, {"holder": 1}, {"config": None}]
    )
    def test_malformed_records_change_nothing(self, change: dict[str, Any]) -> None:
        """Guards against a record that stops every reader or holds a lease for good."""
        malformed = record(0, 0, "acquire", "a", -1)
        malformed.value.update(change)
        assert fold_of([malformed]).leases == {}

    def test_trimmed_log_settles(self) -> None:
        """Guards against relying on the first records of a trimmed log."""
        records = [record(n, n * SETTLE_MS, "acquire", "a", n - 1) for n in range(4)]
        settled = [fold_of(records[:end], 1).settled for end in (2, 3, 4)]
        assert settled == [False, False, True]

    def test_renewals_prove_a_lease_without_its_acquire_record(self) -> None:
        """Guards against a host that starts on a trimmed log and takes a held lease as free."""
        records = [record(0, 0, "acquire", "a", -1)]
        records += [record(n, n * STALE_LEASE_MS, "renew", "a", 0) for n in range(1, 5)]
        fold = fold_of(records, 1)
        assert fold.settled and (fold.leases["s"].holder, fold.leases["s"].offset) == ("a", 0)
