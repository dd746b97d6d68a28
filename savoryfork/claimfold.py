"""State of idempotency keys, computed only from the records of one claims topic.

Records are JSON objects with `schema`, `type`, `id`, `workspace` and `key`, plus by type:

* `claim`: `pipeline`, `digest`, `claimant`, `deadline_ms` (Unix time). `id` is the claim's id.
  `restored` is true if the claim had won before the log lost it.
* `release`: `claim`.
* `outcome`: `claim`, `state` (done, rejected or unknown), `answer`.

A key is a UUIDv7. Its timestamp bounds how long its state has to be kept: by the log's clock, no
claim wins more than `KEY_MAX_AHEAD_MS` before or `KEY_RETENTION_MS` after that time.

If the log came back from an older copy, a claim of an older key may be gone although its run took
effect. So no new claim of a key wins whose time is not later than the restoration.
"""

from __future__ import annotations

import math
import sys
import uuid
from typing import Any, NamedTuple

import msgspec

from savoryfork import defaults
from savoryfork.util.topic import Fold, OffsetExpired, Record, era_of

SCHEMA = 1

# A host accepts a key until the window ends by its own clock, which may be CLOCK_SKEW_MS behind
# the log's; appending the claim then takes up to CLAIM_TIMEOUT_MS.
KEY_RETENTION_MS = defaults.DEDUPLICATION_WINDOW_MS + 2 * defaults.CLOCK_SKEW_MS

# A host accepts a key up to CLOCK_SKEW_MS ahead of its own clock, which may itself be CLOCK_SKEW_MS
# ahead of the log's.
KEY_MAX_AHEAD_MS = 2 * defaults.CLOCK_SKEW_MS

BUCKET_MS = 60_000

RUNNING = "running"
RELEASED = "released"
EXPIRED = "expired"
LOST = "lost"
OUTCOMES = frozenset({"done", "rejected", "unknown"})
NO_IDS: frozenset[str] = frozenset()

KeyId = tuple[str, str]


class KeyState(NamedTuple):
    """State of a key: running, done, rejected, unknown, released, expired or lost.

    `claim` is the record id of the claim that holds or last held the key, `claimant` the process
    that made that claim. `claimed_ms` is the log's time; `deadline_wall_ms` is Unix time.
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
    """State of one key in the fold. `claim` holds the key unless `state` is empty or released.

    `retired_ids` are record ids to ignore if they occur again: claims that lost or were released,
    and outcomes of a claim that did not hold the key. An answer is kept as JSON, or as the offset
    of its record if it is large.
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
        """Marks an id to be ignored if it is appended again."""
        if isinstance(self.retired_ids, frozenset):
            self.retired_ids = set()
        self.retired_ids.add(record_id)

    def is_decided(self, claim: str) -> bool:
        """True if the claim can't win any more: it was read already or released."""
        return claim == self.claim or claim in self.retired_ids

    def view(self) -> KeyState | None:
        """Returns the state, or None if no claim has won; a large answer is left out."""
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
    """Returns the Unix time in milliseconds of a UUIDv7; raises ValueError if malformed.

    >>> key_time("01890a5d-ac96-774b-bcce-b302099a8057")
    1688096058518
    """
    return int(key[:8] + key[9:13], 16)


class ClaimFold(Fold):
    """The holder of each key of a partition, decided by the log's order alone.

    The first claim by offset wins a free key. A claim that lost, or whose release comes before or
    after it in the log, never wins later. `recent` lists the (record id, key) of the records
    applied since the reader's last page; the reader empties it.
    """

    def __init__(self) -> None:
        self.entries: dict[KeyId, Entry] = {}
        self.recent: list[tuple[str, KeyId]] = []
        self.unsupported = False
        self.entries_before: dict[KeyId, Entry] = {}
        self.restart(0)

    def restart(self, start: int) -> None:
        """Drops all state and restarts at `start`, the oldest offset that the log retains.

        Records before `start` are gone. A key with a timestamp later than the first retained
        record (plus the permitted skew) can't have been claimed before it; for older keys the
        fold is incomplete.
        """
        self.position = start
        self.entries = {}
        self.buckets: dict[int, list[KeyId]] = {}
        self.now_ms = 0
        self.complete_from_ms = 0.0 if start == 0 else math.inf

    def complete(self, key: str) -> bool:
        """True if no relevant record of the key can precede the records that this fold read."""
        return not self.unsupported and key_time(key) > self.complete_from_ms

    def lost(self, key: str, era: int | None = None) -> bool:
        """True if a claim of the key may have been lost when an era of the log began.

        That is the newest era unless `era` is given.
        """
        last = len(self.eras) if era is None else era
        return last > 0 and key_time(key) <= self.eras[last - 1] + KEY_MAX_AHEAD_MS

    def expired(self, key: str) -> bool:
        """True if no claim of the key can win any more, so that its state may be dropped."""
        return key_time(key) + KEY_RETENTION_MS < self.now_ms

    def ahead(self, key: str) -> bool:
        """True if the key's timestamp is later than the log's clock allows."""
        return key_time(key) > self.now_ms + KEY_MAX_AHEAD_MS

    def get(self, workspace: str, key: str) -> Entry | None:
        """Returns the entry of a key, or None if there is none."""
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
        """Gives the key to the claim if it is free and the claim was not read before."""
        value = record.value
        claim = value["id"]
        if entry.is_decided(claim):
            return
        lost = self.lost(value["key"], era_of(record.offset)) and value.get("restored") is not True
        if entry.state not in ("", RELEASED) or self.ahead(value["key"]) or lost:
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
        """Returns the entry of a key, creating it if needed."""
        found = self.entries.get(key_id)
        if found is None:
            found = self.entries[key_id] = Entry()
            self.buckets.setdefault(key_time(key_id[1]) // BUCKET_MS, []).append(key_id)
        return found

    def restart_restored(self, error: OffsetExpired) -> None:
        """Restarts after the log came back from an older copy, and remembers the entries."""
        self.entries_before = {**self.entries_before, **self.entries}
        self.eras = error.eras
        self.restart(error.start)

    def records_to_repeat(self) -> list[dict[str, Any]]:
        """Returns records of claims and outcomes that were read before the log lost them."""
        records: list[dict[str, Any]] = []
        for (workspace, key), before in self.entries_before.items():
            entry = self.get(workspace, key) or Entry()
            if before.state in ("", RELEASED) or self.expired(key):
                continue
            header = {"schema": SCHEMA, "workspace": workspace, "key": key}
            if not entry.is_decided(before.claim) and entry.state in ("", RELEASED):
                fields = {
                    "type": "claim",
                    "id": before.claim,
                    "pipeline": before.pipeline,
                    "digest": before.digest,
                    "claimant": before.claimant,
                    "deadline_ms": before.deadline_ms,
                    "restored": True,
                }
                records.append({**header, **fields})
            elif entry.claim != before.claim or entry.state != RUNNING:
                continue
            if before.state in OUTCOMES:
                answer = msgspec.json.decode(before.answer) if before.answer is not None else None
                records.append(
                    {
                        **header,
                        "type": "outcome",
                        "id": str(uuid.uuid4()),
                        "claim": before.claim,
                        "state": before.state,
                        "answer": answer,
                    }
                )
        return records

    def forget_expired(self) -> None:
        """Drops the keys past the window, in buckets of a minute."""
        for bucket in [
            b for b in self.buckets if (b + 1) * BUCKET_MS + KEY_RETENTION_MS <= self.now_ms
        ]:
            for key_id in self.buckets.pop(bucket):
                del self.entries[key_id]


def release_settled(entry: Entry | None, claim: str) -> bool:
    """True if a release of the claim would change nothing: it never holds the key or is settled."""
    if entry is None or not entry.is_decided(claim):
        return False
    return not (entry.claim == claim and entry.state == RUNNING)


def outcome_settled(entry: Entry | None, claim: str) -> bool:
    """True if another outcome of the claim would change nothing."""
    return entry is not None and entry.claim == claim and entry.state in OUTCOMES
