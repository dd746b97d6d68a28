"""Decides which requests are kept from targets because targets crash on them.

A crash of a target ends all requests on it, and only one of them caused it. Hosts report the lost
requests to a topic that all hosts follow; each host folds the reports and its own observations into
a verdict. There are two kinds of causes, both named by 63-bit hashes:

* A whole request that comes again: the same path, caller and body, whatever its prompt is.
* A part of a prompt, on which engines crash whatever else the prompt holds.

A cause that crashes have in common, and that no answered request has, is quarantined: requests with
it are refused. One on which a target has answered since is cleared. Crashes under a single request
that comes again say nothing about its parts: other requests with them are served as before.

Nothing here does I/O; `crashes` reports, clears and enforces.
"""

from __future__ import annotations

import enum
import logging
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

import msgspec
import xxhash

from savoryfork.forward.knowledge import Entry
from savoryfork.forward.model import Prompt
from savoryfork.util import logs
from savoryfork.util.untrusted import UndecodableError, decode_json

log = logging.getLogger(__name__)

# Weight of a report in the score of a cause. An engine crashes as it begins to write, so a request
# whose answer had begun, without an event, is the likely cause; the others only shared the engine.
BEGAN_WEIGHT = 1.0
BYSTANDER_WEIGHT = 0.4

# As above for a whole request whose answer had not begun. Three crashes quarantine it: its caller
# repeats a request once, so a sound one may be lost twice, but hardly three times. One with events
# weighs as little as a bystander: it is resumed, and all streams of an engine are lost together.
LOST_REQUEST_WEIGHT = 0.7

# Factor for a cause on which this host has seen an answer shortly before the crash: either it is
# sound, or targets crash on it only since a change.
ANSWERED_FACTOR = 0.5
ANSWERED_WINDOW_MS = 60_000.0

# Score from which requests with a cause are sent one at a time, and from which it is quarantined.
SUSPECT_SCORE = 1.0
QUARANTINE_SCORE = 2.0

# A quarantined cause is probed with single requests after this long without a crash: too few
# crashes may have quarantined it wrongly, or a new version of the targets may bear it. Each host
# adds a share of its own, up to the same time again, so that not all hosts probe at once.
FIRST_COOLDOWN_MS = 60_000.0
COOLDOWN_MS = 1_800_000.0

# Score below which the first cooldown applies. With the score that just suffices, a sound request
# may have been on a few targets that crashed by themselves at once.
CERTAIN_SCORE = 2.5

# Events after which an answer proves the parts of its prompt sound; an engine may send the first
# one before it crashes.
ANSWERED_EVENTS = 2

# Bounds of what a host keeps: parts of one prompt, answered causes, and reports.
MAX_PROMPT_PARTS = 64
MAX_ANSWERED = 4_096
MAX_REPORTS = 256

# Retention of reports. Those of bystanders matter only while several come together, unless their
# request is quarantined.
BYSTANDER_RETENTION_MS = 600_000.0
REPORT_RETENTION_MS = 86_400_000.0

# Requests of one stage call that are reported when its target crashes. The reports of one crash
# must not displace those of the crashes before, of which MAX_REPORTS are kept.
MAX_LOST_IN_CALL = 32

REPORT_PREFIX = "report/"
CLEARANCE_PREFIX = "clear/"

# One crash: the name of the engine and its incarnation.
CrashId = tuple[str, int]

# The weights of the possible causes in each crash.
Crashes = dict[CrashId, dict[int, float]]


class Verdict(enum.Enum):
    """What may happen to a request, as far as it may crash its target.

    A request that is a probe is sent while no other one with the same causes is in flight.
    """

    ALLOWED = "allowed"
    PROBE = "probe"
    REFUSED = "refused"


class Report(NamedTuple):
    """A request that was lost when a target crashed.

    `parts` are the ids of its shared parts; `began` is True if its answer had begun without an
    event. `request` is its fingerprint, 0 if the reporting host sends none. `events` is True if
    enough events had come to prove its parts.
    """

    target: str
    start_unix_ms: int
    parts: tuple[int, ...]
    began: bool
    request: int = 0
    events: bool = False

    def causes(self) -> tuple[int, ...]:
        """Returns the ids of what may have caused the crash: the parts and the whole request."""
        return (*self.parts, self.request) if self.request else self.parts


class Clearance(NamedTuple):
    """A target has answered on a part or request, so it was not the cause of the crashes.

    `crashes` are their ids, not offsets of the topic: a store that is restored from an older copy
    gives out offsets again.
    """

    cause: int
    crashes: tuple[int, ...]


class QuarantinedGroup(NamedTuple):
    """Causes that explain the same crashes and can't be told apart; refused until `until`."""

    causes: frozenset[int]
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
    return xxhash.xxh3_64_intdigest(f"{report.target} {report.start_unix_ms}".encode()) >> 1


def report_entry(report: Report, request_id: str) -> tuple[str, bytes]:
    """Returns the key and the value of a report; a second append of it replaces the first."""
    identity = xxhash.xxh3_64_hexdigest(
        f"{report.target} {report.start_unix_ms} {request_id}".encode()
    )
    return REPORT_PREFIX + identity, msgspec.json.encode(report)


def is_stored(key: str, value: bytes, known: Entry | None) -> bool:
    """Returns whether the topic has, or had, an entry, given the newest one of its key.

    The key of a report has one value, which may have been deleted. That of a clearance gets others.
    """
    if known is None:
        return False
    return known.value == value or key.startswith(REPORT_PREFIX)


def lost_in_call(requests: Iterable[int], lost_before: Collection[int]) -> list[int]:
    """Returns which requests of a stage call to report when its target has crashed.

    Those that were lost before come first; requests without a fingerprint can't be reported.

    >>> lost_in_call([4, 0, 3, 4], {3})
    [3, 4]
    """
    known = {request for request in requests if request}
    ordered = sorted(known, key=lambda request: (request not in lost_before, request))
    return ordered[:MAX_LOST_IN_CALL]


def clearance_entry(clearance: Clearance) -> tuple[str, bytes]:
    """Returns the key and the value of a clearance."""
    return f"{CLEARANCE_PREFIX}{clearance.cause:x}", msgspec.json.encode(clearance)


class Judgement(NamedTuple):
    """Groups of quarantined causes, and the crashes that these do not explain."""

    groups: list[frozenset[int]]
    unexplained: Crashes


def judge(crashes: Crashes) -> Judgement:
    """Quarantines what explains crashes, given the weights of the possible causes in each crash.

    The one with the highest score explains the crashes that it was the likeliest cause of; those
    that shared only these with it are not held against any longer. Causes that explain the same
    crashes form one group.

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
        first = min(cause for cause, total in totals.items() if total == best)
        common = {crash for crash, weights in unexplained.items() if first in weights}
        group = frozenset(
            cause
            for cause, total in totals.items()
            if total == best
            and common == {crash for crash, weights in unexplained.items() if cause in weights}
        )
        groups.append(group)
        for crash in common:
            weights = unexplained.pop(crash)
            if weights[first] < max(weights.values()):
                unexplained[crash] = {c: w for c, w in weights.items() if c not in group}


def scores(crashes: Crashes) -> dict[int, float]:
    """Returns the sum of the weights of each cause.

    >>> scores({("e1", 1): {7: 1.0, 8: 0.5}, ("e2", 1): {7: 0.5}})
    {7: 1.5, 8: 0.5}
    """
    totals: dict[int, float] = {}
    for weights in crashes.values():
        for cause, weight in weights.items():
            totals[cause] = totals.get(cause, 0.0) + weight
    return totals


def request_weight(report: Report) -> float:
    """Returns the weight of a whole request in a report of its loss.

    >>> [request_weight(Report("e", 1, (), began, 7, events))
    ...     for began, events in ((True, False), (False, False), (False, True))]
    [1.0, 0.7, 0.4]
    """
    if report.began:
        return BEGAN_WEIGHT
    return BYSTANDER_WEIGHT if report.events else LOST_REQUEST_WEIGHT


def add_weight(crashes: Crashes, report: Report, cause: int, weight: float) -> None:
    """Adds the weight of a cause to the crash of a report; the highest of a crash counts."""
    weights = crashes.setdefault((report.target, report.start_unix_ms), {})
    weights[cause] = max(weights.get(cause, 0.0), weight)


class StoredReport(NamedTuple):
    """A report, whether it was read from the topic, and when this host learned of it."""

    was_read: bool
    learned_at: float
    report: Report


class Quarantine:
    """The reports and clearances that a host knows, its own observations, and the verdicts.

    `cooldown_share`, from 0 to 1, is what this host adds to cooldowns. `requests` are the
    fingerprints of whole requests that are quarantined or suspected, `reported_requests` also those
    that were lost in a crash and not cleared of it.

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
        self.requests: frozenset[int] = frozenset()
        self.reported_requests: frozenset[int] = frozenset()
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

    def apply(self, entry: Entry, now: float, *, was_read: bool = True) -> None:
        """Applies one entry of the topic; raises UndecodableError if it is malformed.

        `was_read` is False if another host told it before the topic does.
        """
        if not entry.value:
            self.reports.pop(entry.key, None)
            cause = self.clearance_keys.pop(entry.key, None)
            if cause is not None:
                self.cleared.pop(cause, None)
        elif entry.key.startswith(REPORT_PREFIX):
            report = decode_json(entry.value, Report)
            if len(report.parts) > MAX_PROMPT_PARTS:
                raise UndecodableError(f"over {MAX_PROMPT_PARTS} parts")
            self.put(entry.key, report, was_read, now)
        elif entry.key.startswith(CLEARANCE_PREFIX):
            clearance = decode_json(entry.value, Clearance)
            if len(clearance.crashes) > MAX_REPORTS:
                raise UndecodableError(f"over {MAX_REPORTS} crashes")
            if was_read:
                self.clearance_keys[entry.key] = clearance.cause
            known = self.cleared.get(clearance.cause, frozenset())
            self.cleared[clearance.cause] = known.union(clearance.crashes)

    def update_unread(self, entries: Iterable[tuple[str, bytes]], now: float) -> None:
        """Applies entries that another host told before the topic does; ignores malformed ones.

        A report that is known stays as it is.
        """
        for key, value in entries:
            if not value or key in self.reports:
                continue
            try:
                self.apply(Entry(-1, key, value), now, was_read=False)
            except UndecodableError as error:
                logs.event(log, "crash_report_unreadable", logging.WARNING, error=str(error)[:120])
        self.review()

    def drop_unread(self, keys: Iterable[str]) -> None:
        """Drops reports that the topic never had."""
        for key in keys:
            stored = self.reports.get(key)
            if stored is not None and not stored.was_read:
                del self.reports[key]
        self.review()

    def add_local(self, key: str, report: Report, now: float) -> None:
        """Adds a report of this host, which counts before it has been read back."""
        self.add_all_local({key: report}, now)

    def add_all_local(self, reports: Mapping[str, Report], now: float) -> None:
        """Adds reports of this host; those that are known already stay."""
        new = {key: report for key, report in reports.items() if key not in self.reports}
        for key, report in new.items():
            self.put(key, report, False, now)
        if new:
            self.review()

    def put(self, key: str, report: Report, was_read: bool, now: float) -> None:
        """Stores a report and notes which of its causes were answered shortly before."""
        known = self.reports.get(key)
        learned_at = known.learned_at if known is not None else now
        self.reports[key] = StoredReport(was_read, learned_at, report)
        answered = {c for c in report.causes() if self.answered_recently(c, learned_at)}
        crash = (report.target, report.start_unix_ms)
        self.answered_before[crash] = self.answered_before.get(crash, frozenset()) | answered

    def is_cleared(self, report: Report, cause: int) -> bool:
        """Returns whether a part of a report, or its whole request, was cleared of its crash."""
        cleared = self.cleared.get(cause)
        return cleared is not None and crash_id(report) in cleared

    def weight(self, report: Report, cause: int, weight: float) -> float:
        """Returns the weight of a cause in a report; less if it was answered shortly before."""
        answered = cause in self.answered_before[(report.target, report.start_unix_ms)]
        return weight * ANSWERED_FACTOR if answered else weight

    def request_weights(self) -> Crashes:
        """Returns the weights of the whole requests that each crash still counts against."""
        crashes: Crashes = {}
        for stored in self.reports.values():
            report = stored.report
            if report.request and not self.is_cleared(report, report.request):
                weight = self.weight(report, report.request, request_weight(report))
                add_weight(crashes, report, report.request, weight)
        return crashes

    def part_weights(self, groups: list[frozenset[int]]) -> Crashes:
        """Returns the weights of the parts that each crash still counts against.

        `groups` are the quarantined requests. In their crashes other requests are bystanders. A
        part that only one of the groups has is sound, as far as these crashes tell.
        """
        group_of = {request: number for number, group in enumerate(groups) for request in group}
        explained = {
            (stored.report.target, stored.report.start_unix_ms)
            for stored in self.reports.values()
            if stored.report.request in group_of
        }
        crashes: Crashes = {}
        accusers: dict[int, set[str | int]] = {}
        for key, stored in self.reports.items():
            report = stored.report
            if (
                report.target,
                report.start_unix_ms,
            ) in explained and report.request not in group_of:
                continue
            weight = BEGAN_WEIGHT if report.began else BYSTANDER_WEIGHT
            for part in report.parts:
                if not self.is_cleared(report, part):
                    add_weight(crashes, report, part, self.weight(report, part, weight))
                    accusers.setdefault(part, set()).add(group_of.get(report.request, key))
        if not groups:
            return crashes
        sound = {
            part
            for part, found in accusers.items()
            if len(found) == 1 and found.issubset(group_of.values())
        }
        return {
            crash: {part: weight for part, weight in weights.items() if part not in sound}
            for crash, weights in crashes.items()
        }

    def review(self) -> None:
        """Derives the groups and suspects from all reports; drops clearances without a report."""
        reports = [stored.report for stored in self.reports.values()]
        if self.cleared:
            causes = {cause for report in reports for cause in report.causes()}
            crashes = {crash_id(report) for report in reports}
            self.cleared = {c: ids & crashes for c, ids in self.cleared.items() if c in causes}
        request_weights = self.request_weights()
        requests = judge(request_weights)
        part_weights = self.part_weights(requests.groups)
        parts = judge(part_weights)
        totals = scores(requests.unexplained) | scores(parts.unexplained)
        self.suspects = {cause for cause, total in totals.items() if total >= SUSPECT_SCORE}
        totals = scores(request_weights) | scores(part_weights)
        self.groups = [
            QuarantinedGroup(group, self.refused_until(group, max(totals[c] for c in group)))
            for group in (*requests.groups, *parts.groups)
        ]
        watched = self.quarantined() | self.suspects
        self.requests = frozenset(r.request for r in reports if r.request in watched)
        reported = {r.request for r in reports if not self.is_cleared(r, r.request)} - {0}
        self.reported_requests = self.requests | reported
        reported_parts = {p for r in reports for p in r.parts if not self.is_cleared(r, p)}
        self.reported = reported_parts | self.reported_requests
        live = {(s.report.target, s.report.start_unix_ms) for s in self.reports.values()}
        self.answered_before = {c: p for c, p in self.answered_before.items() if c in live}

    def refused_until(self, causes: frozenset[int], score: float) -> float:
        """Returns the end of the cooldown of quarantined causes with a score."""
        stored = [s for s in self.reports.values() if causes.intersection(s.report.causes())]
        cooldown_ms = COOLDOWN_MS if score >= CERTAIN_SCORE else FIRST_COOLDOWN_MS
        return max(s.learned_at for s in stored) + cooldown_ms * (1 + self.cooldown_share)

    # Answers.

    def answered_recently(self, cause: int, now: float) -> bool:
        """Returns whether this host saw an answer on a cause in the last ANSWERED_WINDOW_MS."""
        at = self.answered_at.get(cause)
        return at is not None and now - at <= ANSWERED_WINDOW_MS

    def all_answered_recently(self, causes: Sequence[int], now: float) -> bool:
        """Returns whether all causes were answered in the last ANSWERED_WINDOW_MS."""
        return all(self.answered_recently(cause, now) for cause in causes)

    def record_answer(self, causes: Sequence[int], now: float) -> list[int]:
        """Records an answer on a request with the causes; returns those to be cleared by it."""
        for cause in causes:
            self.answered_at[cause] = now
            self.answered_at.move_to_end(cause)
        while len(self.answered_at) > MAX_ANSWERED:
            self.answered_at.popitem(last=False)
        return [cause for cause in causes if cause in self.reported]

    def clear(self, cause: int) -> Clearance:
        """Clears a cause of all crashes so far; returns the clearance for other hosts."""
        reports = [stored.report for stored in self.reports.values()]
        crashes = frozenset(crash_id(report) for report in reports if cause in report.causes())
        self.cleared[cause] = crashes
        self.review()
        return Clearance(cause, tuple(sorted(crashes)))

    def crash_count(self, request: int) -> int:
        """Returns in how many crashes a request was lost, as far as it was not cleared of them."""
        return sum(request in weights for weights in self.request_weights().values())

    def is_explained(self, report: Report) -> bool:
        """Returns whether a likelier cause of a report's crash was reported."""
        return any(
            s.report.began
            and (s.report.target, s.report.start_unix_ms) == (report.target, report.start_unix_ms)
            for s in self.reports.values()
        )

    # Verdicts.

    def verdict(self, causes: Sequence[int], now: float) -> Verdict:
        """Returns what may happen to a request with the causes.

        Requests with some causes of a group, but not all, are sent one at a time: their answers
        tell the causes apart.
        """
        found = Verdict.ALLOWED
        for group in self.groups:
            common = group.causes.intersection(causes)
            if common == group.causes and now < group.until:
                return Verdict.REFUSED
            if common:
                found = Verdict.PROBE
        if any(cause in self.suspects for cause in causes):
            found = Verdict.PROBE
        return found

    def quarantined(self) -> set[int]:
        """Returns all quarantined causes."""
        return {cause for group in self.groups for cause in group.causes}

    def quarantined_parts(self) -> set[int]:
        """Returns the quarantined parts of prompts."""
        return self.quarantined() - self.requests

    def quarantined_requests(self) -> set[int]:
        """Returns the fingerprints of the quarantined requests."""
        return self.quarantined() & self.requests

    def watched(self, causes: Sequence[int]) -> set[int]:
        """Returns those of the causes that are quarantined or suspected."""
        return (self.quarantined() | self.suspects).intersection(causes)

    # Retention.

    def likely_keys(self) -> set[str]:
        """Returns the keys of the reports of likely causes, which are kept longest."""
        quarantined = self.quarantined_requests()
        return {
            key
            for key, stored in self.reports.items()
            if stored.report.began or stored.report.request in quarantined
        }

    def obsolete_keys(self, now: float) -> list[str]:
        """Returns the keys of entries that have no effect or are too old, to be deleted."""
        keys = []
        kept: dict[str, StoredReport] = {}
        likely = self.likely_keys()
        for key, stored in self.reports.items():
            report, age_ms = stored.report, now - stored.learned_at
            retention_ms = REPORT_RETENTION_MS if key in likely else BYSTANDER_RETENTION_MS
            counts = any(not self.is_cleared(report, cause) for cause in report.causes())
            if not stored.was_read or (counts and age_ms < retention_ms):
                kept[key] = stored
            else:
                keys.append(key)
        excess = len(kept) - MAX_REPORTS
        if excess > 0:
            # Bystanders go first, then the oldest.
            order = sorted(kept, key=lambda k: (k in likely, kept[k].learned_at))
            keys += order[:excess]
        reported = {c for k, s in kept.items() if k not in keys for c in s.report.causes()}
        keys += [k for k, cause in self.clearance_keys.items() if cause not in reported]
        return keys
