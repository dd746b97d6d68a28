"""Random histories of hosts that report crashes, learn of them late, restart and are restored."""

from __future__ import annotations

import itertools

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from savoryfork.forward import quarantine as quarantines
from savoryfork.forward.knowledge import Entry
from savoryfork.forward.quarantine import Quarantine, Report, Verdict

HOSTS = 3
NUMBERS = st.integers(0, HOSTS - 1)

# Requests by fingerprint, with the parts of their prompts. All but the first are sound.
CRASHING, SOUND, OTHER, PLAIN = 101, 102, 103, 104
PARTS = {CRASHING: (1, 2), SOUND: (1, 2), OTHER: (1, 3), PLAIN: ()}

# A request that has crashed this many targets may reach so many others from hosts that know it.
KNOWN_CRASHES = 3
SENT_AFTER = 3


class Host:
    """A host's quarantine, the entries that the store lacks, and how far it has read."""

    def __init__(self) -> None:
        self.quarantine = Quarantine()
        self.waiting: dict[str, bytes] = {}
        self.offset = 0

    def knows_crashes(self, request: int) -> int:
        """Returns in how many crashes that this host knows a request was lost."""
        reports = [stored.report for stored in self.quarantine.reports.values()]
        return len({(r.target, r.start_unix_ms) for r in reports if r.request == request})


class Crashes(RuleBasedStateMachine):
    """Guards against targets that are lost one by one, and sound requests that stay refused."""

    @initialize(streamed=st.booleans())
    def start(self, streamed: bool) -> None:
        self.now = 0.0
        self.streamed = streamed
        self.hosts = [Host() for _ in range(HOSTS)]
        self.records: list[tuple[str, bytes]] = []
        self.numbers = itertools.count()
        self.sent_after = 0
        self.lost: set[int] = set()

    # Traffic.

    @rule(sent=st.lists(st.tuples(NUMBERS, st.sampled_from(list(PARTS))), min_size=1, max_size=4))
    def run(self, sent: list[tuple[int, int]]) -> None:
        """Sends requests to one target, which crashes if the first request is among them."""
        self.now += 10.0
        probed: set[tuple[int, int]] = set()
        running = []
        for number, request in sent:
            quarantine = self.hosts[number].quarantine
            causes = (*PARTS[request], request) if quarantine.requests else PARTS[request]
            verdict = quarantine.verdict(causes, self.now)
            held = {(number, cause) for cause in quarantine.watched(causes)}
            if verdict is Verdict.REFUSED or (verdict is Verdict.PROBE and held & probed):
                continue
            probed |= held
            running.append((self.hosts[number], request))
        crashed = any(request == CRASHING for _, request in running)
        target = f"t{next(self.numbers)}"
        for host, request in running:
            if not crashed:
                self.answer(host, request)
                continue
            if request == CRASHING and host.knows_crashes(CRASHING) >= KNOWN_CRASHES:
                self.sent_after += 1
        if crashed:
            self.lose(target, running)

    @rule(sent=st.lists(st.tuples(NUMBERS, st.sampled_from([SOUND, OTHER, PLAIN])), max_size=3))
    def crash(self, sent: list[tuple[int, int]]) -> None:
        """Crashes a target that the requests on it did not crash."""
        self.lose(f"t{next(self.numbers)}", [(self.hosts[n], request) for n, request in sent])

    def answer(self, host: Host, request: int) -> None:
        whole = (request,) if request in host.quarantine.reported_requests else ()
        for cause in host.quarantine.record_answer((*PARTS[request], *whole), self.now):
            key, value = quarantines.clearance_entry(host.quarantine.clear(cause))
            host.waiting[key] = value

    def lose(self, target: str, running: list[tuple[Host, int]]) -> None:
        for host, request in running:
            self.lost.add(request)
            began = request == CRASHING and self.streamed
            parts = PARTS[request]
            if host.quarantine.all_answered_recently(parts, self.now) and not began:
                parts = ()
            report = Report(target, 1, parts, began, request)
            key, value = quarantines.report_entry(report, f"r{next(self.numbers)}")
            host.quarantine.add_all_local({key: report}, self.now)
            host.waiting[key] = value

    # Knowledge.

    @rule(number=NUMBERS)
    def append(self, number: int) -> None:
        self.records += self.hosts[number].waiting.items()
        self.hosts[number].waiting = {}

    @rule(number=NUMBERS)
    def read(self, number: int) -> None:
        host = self.hosts[number]
        entries = [Entry(n, k, v) for n, (k, v) in enumerate(self.records)][host.offset :]
        host.quarantine.update(entries, self.now)
        host.offset = len(self.records)

    @rule(number=NUMBERS, other=NUMBERS)
    def tell(self, number: int, other: int) -> None:
        entries = list(self.hosts[number].waiting.items())
        self.hosts[other].quarantine.update_unread(entries, self.now)

    @rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        self.hosts[number] = Host()

    @rule()
    def settle(self) -> None:
        """All hosts are in touch, so all know all crashes afterwards."""
        for number in range(HOSTS):
            self.append(number)
        for number in range(HOSTS):
            self.read(number)

    # Promises.

    @invariant()
    def known_request_reaches_few_targets(self) -> None:
        assert getattr(self, "sent_after", 0) <= SENT_AFTER

    @invariant()
    def requests_that_were_never_lost_are_not_refused(self) -> None:
        for host in getattr(self, "hosts", []):
            if host.knows_crashes(PLAIN) == 0:
                assert host.quarantine.verdict((PLAIN,), self.now) is Verdict.ALLOWED

    @invariant()
    def answered_request_is_not_refused_for_earlier_crashes(self) -> None:
        for host in getattr(self, "hosts", []):
            for cause, crashes in host.quarantine.cleared.items():
                known = {
                    quarantines.crash_id(s.report)
                    for s in host.quarantine.reports.values()
                    if cause in s.report.causes()
                }
                if known <= crashes:
                    assert host.quarantine.verdict((cause,), self.now) is Verdict.ALLOWED


TestCrashes = Crashes.TestCase
TestCrashes.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, deadline=None
)
