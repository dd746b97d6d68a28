"""Decides which prompt parts are kept from engines because engines crash on them.

A crash of an engine ends all requests on it, and only one of them caused it. Hosts report the lost
requests to a topic that all hosts follow; each host folds the reports and its own observations into
a verdict. A part that every crash has in common, and that no answered request has, is quarantined:
requests with it are refused. A part on which an engine has answered since is cleared.

Nothing here does I/O; `crashes` reports, clears and enforces.
"""

from __future__ import annotations

import enum
import logging
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import msgspec
import xxhash

from savoryfork.forward.knowledge import Entry
from savoryfork.forward.model import Prompt
from savoryfork.util import logs
from savoryfork.util.untrusted import UndecodableError, decode_json

log = logging.getLogger(__name__)

# Weight of a report in the score of a part. An engine crashes as it begins to write, so a request
# whose answer had begun, without an event, is the likely cause; the others only shared the engine.
BEGAN_WEIGHT = 1.0
BYSTANDER_WEIGHT = 0.4

# Factor for a part on which this host has seen an answer shortly before the crash: either the part
# is sound, or engines crash on it only since a change.
ANSWERED_FACTOR = 0.5
ANSWERED_WINDOW_MS = 60_000.0

# Score from which requests with a part are sent one at a time, and from which it is quarantined.
SUSPECT_SCORE = 1.0
QUARANTINE_SCORE = 2.0

# A quarantined part is probed with single requests after this long without a crash: too few crashes
# may have quarantined it wrongly, or a new version of the engines may bear it. Each host adds a
# share of its own, up to the same time again, so that not all hosts probe at once.
FIRST_COOLDOWN_MS = 60_000.0
COOLDOWN_MS = 1_800_000.0

# Number of crashes below which the first cooldown applies.
CERTAIN_CRASHES = 3

# Events after which an answer proves the parts of its prompt sound; an engine may send the first
# one before it crashes.
ANSWERED_EVENTS = 2

# Bounds of what a host keeps: parts of one prompt, parts answered by engines, and reports.
MAX_PROMPT_PARTS = 64
MAX_ANSWERED_PARTS = 4_096
MAX_REPORTS = 256

# Retention of reports. Those of bystanders matter only while several come together.
BYSTANDER_RETENTION_MS = 600_000.0
REPORT_RETENTION_MS = 86_400_000.0

REPORT_PREFIX = "report/"
CLEARANCE_PREFIX = "clear/"

# One crash: the name of the engine and its incarnation.
CrashId = tuple[str, int]

# The weights of the parts in each crash.
Crashes = dict[CrashId, dict[int, float]]


class Verdict(enum.Enum):
    """What may happen to a request by the parts of its prompt.

    A request that is a probe is sent while no other one with the same parts is in flight.
    """

    ALLOWED = "allowed"
    PROBE = "probe"
    REFUSED = "refused"


class Report(NamedTuple):
    """A request that was lost when an engine crashed.

    `parts` are the ids of its shared parts; `began` is True if its answer had begun without an
    event.
    """

    target: str
    born: int
    parts: tuple[int, ...]
    began: bool


class Clearance(NamedTuple):
    """An engine has answered on a part, so it was not the cause of the crashes.

    `crashes` are their ids, not offsets of the topic: a store that is restored from an older copy
    gives out offsets again.
    """

    part: int
    crashes: tuple[int, ...]


class QuarantinedGroup(NamedTuple):
    """Parts that explain the same crashes and can't be told apart; refused until `until`."""

    parts: frozenset[int]
    until: float


def part_id(name: str) -> int:
    """Returns the 63-bit hash by which a part is named in reports; names have no bound."""
    return xxhash.xxh3_64_intdigest(name.encode()) >> 1


def shared_part_ids(prompt: Prompt | None) -> tuple[int, ...]:
    """Returns the ids of the parts of a prompt that other requests may have too."""
    if prompt is None:
        return ()
    return tuple(part_id(name) for name in prompt.shared_parts()[:MAX_PROMPT_PARTS])


def crash_id(report: Report) -> int:
    """Returns the 63-bit hash of the crash that a report is about."""
    return xxhash.xxh3_64_intdigest(f"{report.target} {report.born}".encode()) >> 1


def report_entry(report: Report, request_id: str) -> tuple[str, bytes]:
    """Returns the key and the value of a report; a second append of it replaces the first."""
    identity = xxhash.xxh3_64_hexdigest(f"{report.target} {report.born} {request_id}".encode())
    return REPORT_PREFIX + identity, msgspec.json.encode(report)


def clearance_entry(clearance: Clearance) -> tuple[str, bytes]:
    """Returns the key and the value of a clearance."""
    return f"{CLEARANCE_PREFIX}{clearance.part:x}", msgspec.json.encode(clearance)


class Judgement(NamedTuple):
    """Groups of quarantined parts, and the crashes that these do not explain."""

    groups: list[frozenset[int]]
    unexplained: Crashes


def judge(crashes: Crashes) -> Judgement:
    """Quarantines the parts that explain crashes, given the weights of the parts in each crash.

    The part with the highest score explains the crashes that it was the likeliest cause of; the
    parts that shared only these with it are not held against any longer. Parts that explain the
    same crashes form one group.

    >>> judge({("e1", 1): {7: 1.0, 8: 1.0}, ("e2", 1): {7: 1.0, 9: 1.0}}).groups
    [frozenset({7})]
    >>> [sorted(g) for g in judge({(e, 1): {7: 1.0, 8: 1.0} for e in ("e1", "e2")}).groups]
    [[7, 8]]
    >>> judge({("e1", 1): {7: 1.0}}).groups
    []
    """
    unexplained = dict(crashes)
    groups: list[frozenset[int]] = []
    while True:
        totals = scores(unexplained)
        best = max(totals.values(), default=0.0)
        if best < QUARANTINE_SCORE:
            return Judgement(groups, unexplained)
        first = min(part for part, total in totals.items() if total == best)
        common = {crash for crash, weights in unexplained.items() if first in weights}
        group = frozenset(
            part
            for part, total in totals.items()
            if total == best
            and common == {crash for crash, weights in unexplained.items() if part in weights}
        )
        groups.append(group)
        for crash in common:
            weights = unexplained.pop(crash)
            if weights[first] < max(weights.values()):
                unexplained[crash] = {p: w for p, w in weights.items() if p not in group}


def scores(crashes: Crashes) -> dict[int, float]:
    """Returns the sum of the weights of each part.

    >>> scores({("e1", 1): {7: 1.0, 8: 0.5}, ("e2", 1): {7: 0.5}})
    {7: 1.5, 8: 0.5}
    """
    totals: dict[int, float] = {}
    for weights in crashes.values():
        for part, weight in weights.items():
            totals[part] = totals.get(part, 0.0) + weight
    return totals


class StoredReport(NamedTuple):
    """A report, whether it was read from the topic, and when this host learned of it."""

    was_read: bool
    learned_at: float
    report: Report


class Quarantine:
    """The reports and clearances that a host knows, its own observations, and the verdicts.

    `cooldown_share`, from 0 to 1, is what this host adds to cooldowns.

    >>> quarantine = Quarantine()
    >>> for engine in ("e1", "e2"):
    ...     quarantine.add_local("k" + engine, Report(engine, 1, (7, 8), True), 0.0)
    >>> quarantine.verdict((7, 8, 9), 0.0), quarantine.verdict((8, 9), 0.0)
    (<Verdict.REFUSED: 'refused'>, <Verdict.PROBE: 'probe'>)
    >>> quarantine.record_answer((8, 9), 0.0)
    [8]
    """

    def __init__(self, cooldown_share: float = 0.0) -> None:
        self.cooldown_share = cooldown_share
        self.reports: dict[str, StoredReport] = {}
        self.cleared: dict[int, frozenset[int]] = {}
        self.clearance_keys: dict[str, int] = {}
        self.answered_at: OrderedDict[int, float] = OrderedDict()
        self.answered_before: dict[CrashId, frozenset[int]] = {}
        self.groups: list[QuarantinedGroup] = []
        self.suspects: set[int] = set()
        self.reported: set[int] = set()

    # Reports and clearances.

    def update(self, entries: Iterable[Entry], now: float) -> None:
        """Applies changed entries of the topic; logs and ignores malformed ones."""
        for entry in entries:
            try:
                self.apply(entry, now)
            except UndecodableError as error:
                logs.event(log, "crash_report_unreadable", logging.WARNING, error=str(error)[:120])
        self.review()

    def apply(self, entry: Entry, now: float) -> None:
        """Applies one entry of the topic; raises UndecodableError if it is malformed."""
        if not entry.value:
            self.reports.pop(entry.key, None)
            part = self.clearance_keys.pop(entry.key, None)
            if part is not None:
                self.cleared.pop(part, None)
        elif entry.key.startswith(REPORT_PREFIX):
            report = decode_json(entry.value, Report)
            if len(report.parts) > MAX_PROMPT_PARTS:
                raise UndecodableError(f"over {MAX_PROMPT_PARTS} parts")
            self.put(entry.key, report, True, now)
        elif entry.key.startswith(CLEARANCE_PREFIX):
            clearance = decode_json(entry.value, Clearance)
            if len(clearance.crashes) > MAX_REPORTS:
                raise UndecodableError(f"over {MAX_REPORTS} crashes")
            self.clearance_keys[entry.key] = clearance.part
            known = self.cleared.get(clearance.part, frozenset())
            self.cleared[clearance.part] = known.union(clearance.crashes)

    def add_local(self, key: str, report: Report, now: float) -> None:
        """Adds a report of this host, which counts before it has been read back."""
        if key not in self.reports:
            self.put(key, report, False, now)
            self.review()

    def put(self, key: str, report: Report, was_read: bool, now: float) -> None:
        """Stores a report and notes which of its parts were answered shortly before."""
        known = self.reports.get(key)
        learned_at = known.learned_at if known is not None else now
        self.reports[key] = StoredReport(was_read, learned_at, report)
        answered = {p for p in report.parts if self.answered_recently(p, learned_at)}
        crash = (report.target, report.born)
        self.answered_before[crash] = self.answered_before.get(crash, frozenset()) | answered

    def is_cleared(self, report: Report, part: int) -> bool:
        """Returns whether a part of a report was cleared of its crash."""
        return crash_id(report) in self.cleared.get(part, ())

    def crash_weights(self) -> Crashes:
        """Returns the weights of the parts that each crash still counts against."""
        crashes: Crashes = {}
        for stored in self.reports.values():
            report = stored.report
            crash = (report.target, report.born)
            weight = BEGAN_WEIGHT if report.began else BYSTANDER_WEIGHT
            for part in report.parts:
                if self.is_cleared(report, part):
                    continue
                factor = ANSWERED_FACTOR if part in self.answered_before[crash] else 1.0
                weights = crashes.setdefault(crash, {})
                weights[part] = max(weights.get(part, 0.0), weight * factor)
        return crashes

    def review(self) -> None:
        """Derives the groups and suspects from all reports; drops clearances without a report."""
        reports = [stored.report for stored in self.reports.values()]
        parts = {part for report in reports for part in report.parts}
        crashes = {crash_id(report) for report in reports}
        self.cleared = {p: c & crashes for p, c in self.cleared.items() if p in parts}
        judgement = judge(self.crash_weights())
        totals = scores(judgement.unexplained)
        self.suspects = {part for part, total in totals.items() if total >= SUSPECT_SCORE}
        self.reported = {p for r in reports for p in r.parts if not self.is_cleared(r, p)}
        self.groups = [QuarantinedGroup(g, self.refused_until(g)) for g in judgement.groups]
        live = {(s.report.target, s.report.born) for s in self.reports.values()}
        self.answered_before = {c: p for c, p in self.answered_before.items() if c in live}

    def refused_until(self, parts: frozenset[int]) -> float:
        """Returns the end of the cooldown of quarantined parts."""
        stored = [s for s in self.reports.values() if parts.intersection(s.report.parts)]
        crashes = {(s.report.target, s.report.born) for s in stored}
        certain = len(crashes) >= CERTAIN_CRASHES
        cooldown_ms = COOLDOWN_MS if certain else FIRST_COOLDOWN_MS
        return max(s.learned_at for s in stored) + cooldown_ms * (1 + self.cooldown_share)

    # Answers.

    def answered_recently(self, part: int, now: float) -> bool:
        """Returns whether this host saw an answer on a part in the last ANSWERED_WINDOW_MS."""
        at = self.answered_at.get(part)
        return at is not None and now - at <= ANSWERED_WINDOW_MS

    def all_answered_recently(self, parts: Sequence[int], now: float) -> bool:
        """Returns whether all parts were answered in the last ANSWERED_WINDOW_MS."""
        return all(self.answered_recently(part, now) for part in parts)

    def record_answer(self, parts: Sequence[int], now: float) -> list[int]:
        """Records an answer on a prompt with the parts; returns those to be cleared by it."""
        for part in parts:
            self.answered_at[part] = now
            self.answered_at.move_to_end(part)
        while len(self.answered_at) > MAX_ANSWERED_PARTS:
            self.answered_at.popitem(last=False)
        return [part for part in parts if part in self.reported]

    def clear(self, part: int) -> Clearance:
        """Clears a part of all crashes so far; returns the clearance for other hosts."""
        reports = [stored.report for stored in self.reports.values()]
        crashes = frozenset(crash_id(report) for report in reports if part in report.parts)
        self.cleared[part] = crashes
        self.review()
        return Clearance(part, tuple(sorted(crashes)))

    def is_explained(self, report: Report) -> bool:
        """Returns whether a likelier cause of a report's crash was reported."""
        return any(
            s.report.began and (s.report.target, s.report.born) == (report.target, report.born)
            for s in self.reports.values()
        )

    # Verdicts.

    def verdict(self, parts: Sequence[int], now: float) -> Verdict:
        """Returns what may happen to a request with the parts.

        Requests with some parts of a group, but not all, are sent one at a time: their answers
        tell the parts apart.
        """
        found = Verdict.ALLOWED
        for group in self.groups:
            common = group.parts.intersection(parts)
            if common == group.parts and now < group.until:
                return Verdict.REFUSED
            if common:
                found = Verdict.PROBE
        if any(part in self.suspects for part in parts):
            found = Verdict.PROBE
        return found

    def quarantined_parts(self) -> set[int]:
        """Returns all quarantined parts."""
        return {part for group in self.groups for part in group.parts}

    def watched(self, parts: Sequence[int]) -> set[int]:
        """Returns those of the parts that are quarantined or suspected."""
        return (self.quarantined_parts() | self.suspects).intersection(parts)

    # Retention.

    def obsolete_keys(self, now: float) -> list[str]:
        """Returns the keys of entries that have no effect or are too old, to be deleted."""
        keys = []
        kept: dict[str, StoredReport] = {}
        for key, stored in self.reports.items():
            report, age_ms = stored.report, now - stored.learned_at
            retention_ms = REPORT_RETENTION_MS if report.began else BYSTANDER_RETENTION_MS
            counts = any(not self.is_cleared(report, part) for part in report.parts)
            if not stored.was_read or (counts and age_ms < retention_ms):
                kept[key] = stored
            else:
                keys.append(key)
        excess = len(kept) - MAX_REPORTS
        if excess > 0:
            # Bystanders go first, then the oldest.
            order = sorted(kept, key=lambda k: (kept[k].report.began, kept[k].learned_at))
            keys += order[:excess]
        reported = {part for k, s in kept.items() if k not in keys for part in s.report.parts}
        keys += [k for k, part in self.clearance_keys.items() if part not in reported]
        return keys
