"""The state of idempotency keys, as a pure function of the records of one claims topic.

Records are JSON objects with `schema`, `type`, `id`, `workspace` and `key`, and by type:

* `claim`: `pipeline`, `digest`, `claimant`, `deadline_ms` (Unix time). Its `id` names the claim.
* `release`: `claim`.
* `outcome`: `claim`, `state` (done, rejected or unknown), `answer`.

A key is a UUIDv7. The time within it bounds how long anything has to be remembered about it: no
claim of a key wins later than `KEY_RETENTION_MS` or earlier than `KEY_MAX_AHEAD_MS` around that
time, by the log's
own clock.
"""

from __future__ import annotations

import math
import sys
from typing import Any, NamedTuple

import msgspec

from savoryfork import defaults
from savoryfork.util.topic import Fold, Record

SCHEMA = 1

# A host accepts a key up to the window's end by its own clock, which may be behind the log's by
# the permitted skew; the claim then takes up to a claim's time budget to land.
KEY_RETENTION_MS = defaults.DEDUPLICATION_WINDOW_MS + 2 * defaults.CLOCK_SKEW_MS

# A host accepts a key up to the skew ahead of its own clock, which may be as much ahead of the
# log's.
KEY_MAX_AHEAD_MS = 2 * defaults.CLOCK_SKEW_MS

BUCKET_MS = 60_000

RUNNING = "running"
RELEASED = "released"
EXPIRED = "expired"
OUTCOMES = frozenset({"done", "rejected", "unknown"})
NO_IDS: frozenset[str] = frozenset()

KeyId = tuple[str, str]


class KeyState(NamedTuple):
    """What the log says of a key: one of running, done, rejected, unknown and released.

    `claim` is the record id of the claim that holds or last held it, `claimant` the process that
    made that claim. `claimed_ms` is the log's time; `deadline_wall_ms` is Unix time.
    """

    state: str
    claim: str
    pipeline: str
    digest: str
    claimant: str
    claimed_ms: int
    deadline_wall_ms: int
    answer: Any | None


class Entry:
    """One key. `claim` holds it unless `state` is empty or released.

    `spent` are ids that count no more: claims that lost or were released, and outcomes that came
    for a claim which did not hold the key. An answer is kept as JSON, or as the offset of its
    record if it is large.
    """

    __slots__ = (
        "answer",
        "answer_offset",
        "claim",
        "claimant",
        "claimed_ms",
        "deadline_ms",
        "digest",
        "pipeline",
        "retired_ids",
        "state",
    )

    def __init__(self) -> None:
        self.state = ""
        self.claim = ""
        self.pipeline = ""
        self.digest = ""
        self.claimant = ""
        self.claimed_ms = 0
        self.deadline_ms = 0
        self.answer: bytes | None = None
        self.answer_offset = -1
        self.retired_ids: set[str] | frozenset[str] = NO_IDS

    def retire(self, record_id: str) -> None:
        """Notes an id that must not count if it lands again."""
        if isinstance(self.retired_ids, frozenset):
            self.retired_ids = set()
        self.retired_ids.add(record_id)

    def is_decided(self, claim: str) -> bool:
        """True if the claim can't win any more: it was read, or released."""
        return claim == self.claim or claim in self.retired_ids

    def view(self) -> KeyState | None:
        """The state for callers, None while no claim has won; a large answer is left out."""
        if not self.state:
            return None
        answer = msgspec.json.decode(self.answer) if self.answer is not None else None
        return KeyState(
            self.state,
            self.claim,
            self.pipeline,
            self.digest,
            self.claimant,
            self.claimed_ms,
            self.deadline_ms,
            answer,
        )


def key_time(key: str) -> int:
    """The Unix time in milliseconds within a UUIDv7; raises ValueError if there is none.

    >>> key_time("01890a5d-ac96-774b-bcce-b302099a8057")
    1688096058518
    """
    return int(key[:8] + key[9:13], 16)


class ClaimFold(Fold):
    """Who holds each key of a partition, by the order of the log alone.

    The first claim by offset wins a free key. A claim that lost, or was released before or after
    it landed, never wins later. `recent` lists the (record id, key) of the records applied since
    the reader's last page; the reader empties it.
    """

    def __init__(self) -> None:
        self.entries: dict[KeyId, Entry] = {}
        self.recent: list[tuple[str, KeyId]] = []
        self.unsupported = False
        self.restart(0)

    def restart(self, start: int) -> None:
        """Forgets everything and begins at `start`, the oldest offset that the log keeps.

        Records before `start` are gone. A key made after the first record that is left (and the
        permitted skew) can't have been claimed before it; older keys are not answered for.
        """
        self.position = start
        self.entries.clear()
        self.buckets: dict[int, list[KeyId]] = {}
        self.now_ms = 0
        self.complete_from_ms = 0.0 if start == 0 else math.inf

    def complete(self, key: str) -> bool:
        """True if every record of the key that still matters has been within reach of this fold."""
        return not self.unsupported and key_time(key) > self.complete_from_ms

    def expired(self, key: str) -> bool:
        """True if no claim of the key can win any more and its state may be forgotten."""
        return key_time(key) + KEY_RETENTION_MS < self.now_ms

    def ahead(self, key: str) -> bool:
        """True if the key claims to be made later than the log's clock allows."""
        return key_time(key) > self.now_ms + KEY_MAX_AHEAD_MS

    def get(self, workspace: str, key: str) -> Entry | None:
        """What is known of a key."""
        return self.entries.get((workspace, key))

    def apply(self, record: Record) -> None:
        """Applies one record; malformed ones and keys past the window change nothing."""
        if record.offset < self.position:
            return
        self.position = record.offset + 1
        if self.complete_from_ms == math.inf:
            self.complete_from_ms = record.time_ms + KEY_MAX_AHEAD_MS
        if record.time_ms > self.now_ms:
            minute = self.now_ms // BUCKET_MS
            self.now_ms = record.time_ms
            if self.now_ms // BUCKET_MS != minute:
                self.forget_expired()
        value = record.value
        try:
            if value["schema"] > SCHEMA:
                self.unsupported = True
                return
            key_id = (sys.intern(value["workspace"]), value["key"])
            expired = self.expired(value["key"])
            self.recent.append((value["id"], key_id))
            if not expired:
                self.apply_to(self.entry(key_id), record)
        except (KeyError, TypeError, ValueError, OverflowError):
            return

    def apply_to(self, entry: Entry, record: Record) -> None:
        """Applies a record to the entry of its key."""
        value = record.value
        kind = value["type"]
        if kind == "claim":
            self.apply_claim(entry, record)
        elif kind == "release":
            if value["claim"] != entry.claim:
                entry.retire(value["claim"])
            elif entry.state == RUNNING:
                entry.state = RELEASED
        elif kind == "outcome" and value["state"] in OUTCOMES:
            self.apply_outcome(entry, record)

    def apply_claim(self, entry: Entry, record: Record) -> None:
        """Gives the key to the claim if it is free and the claim has not counted before."""
        value = record.value
        claim = value["id"]
        if entry.is_decided(claim):
            return
        if entry.state not in ("", RELEASED) or self.ahead(value["key"]):
            entry.retire(claim)
            return
        fields = (value["pipeline"], value["digest"], value["claimant"], int(value["deadline_ms"]))
        if entry.claim:
            entry.retire(entry.claim)
        entry.state = RUNNING
        entry.claim = claim
        entry.pipeline = sys.intern(fields[0])
        entry.digest = fields[1]
        entry.claimant = sys.intern(fields[2])
        entry.deadline_ms = fields[3]
        entry.claimed_ms = record.time_ms

    def apply_outcome(self, entry: Entry, record: Record) -> None:
        """Keeps the first outcome of the claim that holds the key."""
        value = record.value
        if value["claim"] != entry.claim or entry.state == RELEASED:
            entry.retire(value["id"])
            return
        if entry.state != RUNNING or value["id"] in entry.retired_ids:
            return
        entry.state = sys.intern(value["state"])
        answer = value.get("answer")
        if answer is None:
            return
        encoded = msgspec.json.encode(answer)
        if len(encoded) <= defaults.INLINE_ANSWER_BYTES:
            entry.answer = encoded
        else:
            entry.answer_offset = record.offset

    def entry(self, key_id: KeyId) -> Entry:
        """The entry of a key, made if there is none."""
        found = self.entries.get(key_id)
        if found is None:
            found = self.entries[key_id] = Entry()
            self.buckets.setdefault(key_time(key_id[1]) // BUCKET_MS, []).append(key_id)
        return found

    def forget_expired(self) -> None:
        """Drops whole minutes of keys that are past the window."""
        for bucket in [
            b for b in self.buckets if (b + 1) * BUCKET_MS + KEY_RETENTION_MS <= self.now_ms
        ]:
            for key_id in self.buckets.pop(bucket):
                del self.entries[key_id]


def release_settled(entry: Entry | None, claim: str) -> bool:
    """True if the claim does not and will not hold the key, or has an outcome already."""
    if entry is None or not entry.is_decided(claim):
        return False
    return not (entry.claim == claim and entry.state == RUNNING)


def outcome_settled(entry: Entry | None, claim: str) -> bool:
    """True if another outcome of the claim would change nothing."""
    return entry is not None and entry.claim == claim and entry.state in OUTCOMES
