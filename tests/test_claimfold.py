"""Tests for the claim fold, against a naive version and the invariants of section 3."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from uuid6 import UUID

from savoryfork.claimfold import (
    BUCKET_MS,
    KEY_MAX_AHEAD_MS,
    KEY_RETENTION_MS,
    RUNNING,
    ClaimFold,
    Entry,
    key_time,
)
from savoryfork.util.topic import Record

START_MS = 1_700_000_000_000
KEYS = [
    str(UUID(int=(START_MS + shift) << 80 | index, version=7))
    for index, shift in enumerate((0, 0, KEY_MAX_AHEAD_MS + 1_000, -KEY_RETENTION_MS + 500))
]


class Event(NamedTuple):
    """A generated record; equal numbers give equal record ids, so that duplicates occur."""

    kind: str
    key: int
    claim: int
    number: int
    state: str
    step_ms: int


EVENTS = st.lists(
    st.builds(
        Event,
        kind=st.sampled_from(["claim", "claim", "release", "outcome"]),
        key=st.sampled_from([0, 0, 0, 1, 2, 3]),
        claim=st.integers(0, 3),
        number=st.integers(0, 2),
        state=st.sampled_from(["done", "rejected", "unknown"]),
        step_ms=st.sampled_from([0, 0, 0, 400, 2_000, KEY_RETENTION_MS // 2]),
    ),
    max_size=14,
)


def records_of(events: Sequence[Event]) -> list[Record]:
    """Returns the log records for the events."""
    records = []
    time_ms = START_MS
    for offset, event in enumerate(events):
        time_ms += event.step_ms
        claim = f"c{event.key}.{event.claim}"
        value: dict[str, Any] = {"schema": 1, "type": event.kind, "workspace": "w"}
        value |= {"key": KEYS[event.key], "id": f"{event.kind}{event.number}-{claim}"}
        if event.kind == "claim":
            value |= {"id": claim, "pipeline": "p", "digest": claim, "claimant": "h/1"}
            value["deadline_ms"] = 0
        else:
            value["claim"] = claim
        if event.kind == "outcome":
            value |= {"state": event.state, "answer": {"of": event.number}}
        records.append(Record(offset, time_ms, value))
    return records


def naive(records: Sequence[Record], key: str) -> tuple[str, str, Any]:
    """Returns state, holder and answer of a key by a direct version that never drops state."""
    ids: set[str] = set()
    released: set[str] = set()
    state, holder, answer = "", "", None
    for record in records:
        value = record.value
        if value["key"] != key or value["id"] in ids:
            continue
        ids.add(value["id"])
        key_ms = int(key.replace("-", "")[:12], 16)
        if value["type"] == "claim":
            in_window = (
                record.time_ms - KEY_RETENTION_MS <= key_ms <= record.time_ms + KEY_MAX_AHEAD_MS
            )
            if state in ("", "released") and value["id"] not in released and in_window:
                state, holder = RUNNING, value["id"]
        elif value["type"] == "release":
            released.add(value["claim"])
            if holder == value["claim"] and state == RUNNING:
                state = "released"
        elif holder == value["claim"] and state == RUNNING:
            state, answer = value["state"], value["answer"]
    return state, holder, answer


def fold_of(records: Sequence[Record], start: int = 0) -> ClaimFold:
    """Returns a fold of the records from `start` on."""
    fold = ClaimFold()
    fold.restart(start)
    for record in records[start:]:
        fold.apply(record)
    return fold


def state_in(fold: ClaimFold, key: str) -> tuple[str, str, Any]:
    """Returns state, holder and answer of a key in a fold."""
    entry = fold.get("w", key)
    view = entry.view() if entry is not None else None
    return ("", "", None) if view is None else (view.state, view.claim, view.answer)


def check_one_winner(records: Sequence[Record], make: Callable[[], ClaimFold] = ClaimFold) -> None:
    """Asserts that one claim at most holds a key until its release and does not win again."""
    fold = make()
    holders: dict[str, str] = {}
    released: set[str] = set()
    for record in records:
        fold.apply(record)
        key, value = record.value["key"], record.value
        state, holder, _ = state_in(fold, key)
        before = holders.get(key, "")
        if state not in ("", "released") and holder != before:
            assert before == "" or before in released, "two claims hold one key"
            assert holder not in released, "a released claim won"
            holders[key] = holder
        if value["type"] == "release":
            released.add(value["claim"])


class TestAgainstNaive:
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(EVENTS)
    def test_same_state_after_any_interleaving(self, events: list[Event]) -> None:
        """Guards against a state that depends on anything but the order of the records."""
        records = records_of(events)
        fold = fold_of(records)
        for key in KEYS:
            if not fold.expired(key):
                assert state_in(fold, key) == naive(records, key)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(EVENTS, st.integers(1, 13))
    def test_reader_after_retention_is_right_or_silent(
        self, events: list[Event], start: int
    ) -> None:
        """Guards against treating a key as free whose claim is no longer in the log."""
        kept = [
            r
            for r in records_of(events)
            if key_time(r.value["key"]) <= r.time_ms + KEY_MAX_AHEAD_MS
        ]
        records = [record._replace(offset=offset) for offset, record in enumerate(kept)]
        fold = fold_of(records, start)
        for key in KEYS:
            if fold.complete(key) and not fold.expired(key):
                assert state_in(fold, key) == naive(records, key)

    def test_retention_that_cut_off_a_claim_is_noticed(self) -> None:
        """Guards against a second winner in a reader whose log no longer has the first claim."""
        fold = fold_of(sequence(("claim", 0), ("claim", 1)), start=1)
        assert state_in(fold, KEYS[0])[1] == "c0.1" and not fold.complete(KEYS[0])


class WithoutTombstones(ClaimFold):
    """A faulty fold that ignores a release that precedes its claim in the log."""

    def apply_to(self, entry: Entry, record: Record) -> None:
        value = record.value
        if value["type"] != "release" or entry.claim == value["claim"]:
            super().apply_to(entry, record)


class WithTakeover(ClaimFold):
    """A faulty fold that gives a key to the next claim after the holder's deadline."""

    def apply_claim(self, entry: Entry, record: Record) -> None:
        if entry.state == RUNNING and entry.deadline_ms < record.time_ms:
            entry.state = "released"
        super().apply_claim(entry, record)


def sequence(*steps: tuple[str, int]) -> list[Record]:
    """Returns records of one key from pairs of kind and claim number."""
    return records_of([Event(kind, 0, claim, 0, "done", 0) for kind, claim in steps])


RELEASE_FIRST = (("release", 0), ("claim", 0))


class TestOneWinner:
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(EVENTS)
    def test_at_most_one_winner_between_releases(self, events: list[Event]) -> None:
        """Guards against two runs of one key."""
        check_one_winner(records_of(events))

    @pytest.mark.parametrize(
        ("make", "steps"),
        [(WithoutTombstones, RELEASE_FIRST), (WithTakeover, (("claim", 0), ("claim", 1)))],
    )
    def test_versions_without_a_mechanism_fail(
        self, make: Callable[[], ClaimFold], steps: tuple[tuple[str, int], ...]
    ) -> None:
        """Guards against a check that passes when a mechanism is missing."""
        with pytest.raises(AssertionError):
            check_one_winner(sequence(*steps), make)
        check_one_winner(sequence(*steps))

    def test_second_copy_of_a_lost_claim_does_not_win(self) -> None:
        """Guards against a duplicate of a lost claim that wins after its run was refused."""
        records = sequence(("claim", 0), ("claim", 1), ("release", 0), ("claim", 1))
        assert state_in(fold_of(records), KEYS[0])[0] == "released"

    def test_release_after_the_outcome_is_ignored(self) -> None:
        """Guards against a release that frees the key of a completed action."""
        records = sequence(("claim", 0), ("outcome", 0), ("release", 0), ("claim", 1))
        assert state_in(fold_of(records), KEYS[0])[:2] == ("done", "c0.0")


class TestBounds:
    def test_keys_past_the_window_are_dropped(self) -> None:
        """Guards against memory that grows without bound."""
        fold = fold_of(records_of([Event("claim", 0, 0, 0, "", 0)]))
        assert len(fold.entries) == 1
        later = records_of([Event("claim", 0, 1, 0, "", KEY_RETENTION_MS + 2 * BUCKET_MS)])[0]
        fold.apply(later._replace(offset=1))
        assert (len(fold.entries), fold.buckets) == (0, {})

    @pytest.mark.parametrize(
        "value",
        [
            {},
            {"schema": 1, "type": "claim", "id": "x", "workspace": "w", "key": "no time"},
            {"schema": 1, "type": "claim", "id": "x", "workspace": "w", "key": KEYS[0]},
            {"schema": 1, "type": "release", "id": [], "workspace": "w", "key": KEYS[0]},
            {"schema": "1", "type": "claim", "id": "x", "workspace": "w", "key": KEYS[0]},
        ],
    )
    def test_malformed_records_change_nothing(self, value: dict[str, Any]) -> None:
        """Guards against a malformed record that stops all readers of the partition."""
        fold = ClaimFold()
        fold.apply(Record(0, START_MS, value))
        assert fold.position == 1 and state_in(fold, KEYS[0])[0] == ""

    def test_newer_schema_makes_the_fold_silent(self) -> None:
        """Guards against an outdated host that applies old rules to records of a newer schema."""
        fold = ClaimFold()
        fold.apply(Record(0, START_MS, {"schema": 2}))
        assert not fold.complete(KEYS[0])
