"""Reports requests that were lost when a target crashed, and keeps their like from targets.

The verdicts come from `quarantine`. Reports and clearances go to a topic of the store, so a host
that starts or returns learns them with the configuration. While the store does not take them, hosts
tell each other (`crashnews`), and append them when the store is back.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Collection, Mapping, Sequence

from savoryfork.errors import ErrorKind, Ran, ServiceError
from savoryfork.forward import quarantine as quarantines
from savoryfork.forward.connection import CONNECT_TIMEOUT_MS
from savoryfork.forward.follower import Follower
from savoryfork.forward.model import Target
from savoryfork.forward.quarantine import Report, Verdict, is_stored
from savoryfork.forward.run import Progress, Run, shared_parts_label
from savoryfork.forward.topics import Topic
from savoryfork.util import logs
from savoryfork.util.background import BackgroundTasks
from savoryfork.util.timeouts import running_timeout
from savoryfork.util.topic import LogUnavailable

log = logging.getLogger(__name__)

# Retry-after of a quarantined request, and of one that another request is a probe for.
QUARANTINE_RETRY_MS = 30_000.0
PROBE_RETRY_MS = 400.0

# The parts of a prompt that had not begun are reported only if no likelier cause of the crash is
# reported within this time.
BYSTANDER_DELAY_MS = 250.0

# Entries are collected for this long before an append, and appended again after a failure.
APPEND_DELAY_MS = 5.0
APPEND_RETRY_MS = 400.0
MAX_APPENDED = 64

# Entries that the store has not taken within this time are told to the other hosts. An append takes
# a few milliseconds; with the store well, nothing is sent twice.
SHARE_DELAY_MS = 50.0

# A host that stops waits this long for the store to take its reports; it leaves room within
# `host.EXIT_RESERVE_MS`.
FLUSH_MS = 300.0

# Entries that wait for the store; beyond it the oldest are dropped.
MAX_WAITING = 512


class CrashMonitor:
    """Watches this host's requests for those that crash targets."""

    def __init__(self, follower: Follower, background: BackgroundTasks) -> None:
        self.follower = follower
        self.quarantine = follower.quarantine
        self.background = background
        self.metrics = follower.metrics
        self.runs: set[Run] = set()
        self.probes: dict[int, Run] = {}
        self.crashed: dict[tuple[str, int], asyncio.Task[bool]] = {}
        self.waiting: dict[str, bytes] = {}
        self.appending = False
        # The reports of bystanders that wait for a likelier cause.
        self.bystanders = 0
        self.stopping = asyncio.Event()
        self.closed = False
        self.quarantined_parts: set[int] = set()
        self.quarantined_requests: set[int] = set()
        follower.on_crash_reports = self.handle_reports

    # Admission.

    def admit(self, run: Run) -> None:
        """Starts to watch a request; raises ServiceError if it must not reach a target."""
        run.parts = quarantines.shared_part_ids(run.request.prompt)
        self.runs.add(run)
        self.check(run)

    def causes(self, run: Run) -> tuple[int, ...]:
        """Returns the ids by which a request may be quarantined.

        The whole request is hashed only while there are requests to compare it with. An answered
        one is also compared with those that were lost once, see `record_completion`.
        """
        return (*run.parts, run.fingerprint()) if self.quarantine.requests else run.parts

    def check(self, run: Run, *, sending: bool = True) -> None:
        """Raises ServiceError if a request must not reach a target, or not now.

        A request that is about to be sent becomes the probe of its suspected causes.
        """
        causes = self.causes(run)
        verdict = self.quarantine.verdict(causes, self.follower.now())
        if verdict is Verdict.ALLOWED:
            return
        watched = self.quarantine.watched(causes)
        holders = {self.probes[cause] for cause in watched if cause in self.probes}
        if verdict is Verdict.PROBE and holders <= {run}:
            if sending:
                self.probes.update(dict.fromkeys(watched, run))
            return
        raise self.refusal(run, verdict)

    def refusal(self, run: Run, verdict: Verdict) -> ServiceError:
        """Returns the refusal of a request that may crash its target."""
        return self.refusal_for(run, verdict, run.fingerprint() in self.quarantine.requests)

    def request_refusal(self, run: Run) -> ServiceError:
        """Returns the refusal of a request that another host has found to be quarantined.

        The reports of the last crash may not have arrived here yet.
        """
        return self.refusal_for(run, Verdict.REFUSED, True)

    def refusal_for(self, run: Run, verdict: Verdict, whole: bool) -> ServiceError:
        """Returns the refusal of a request, for the whole of it or for a part of its prompt."""
        refused = verdict is Verdict.REFUSED
        run.retry_ms = QUARANTINE_RETRY_MS if refused else PROBE_RETRY_MS
        crash = "targets crash on" if refused else "targets may crash on"
        cause = "this request" if whole else "a part of this prompt"
        return ServiceError(
            ErrorKind.REQUEST_QUARANTINED if whole else ErrorKind.PROMPT_QUARANTINED,
            f"{crash} {cause}" if refused else f"{crash} {cause}, which is being probed",
            ran=Ran.UNKNOWN if run.possible_executions else Ran.NO,
        )

    def forget(self, run: Run) -> None:
        """Ends the watch of a request that has ended."""
        self.runs.discard(run)
        self.end_probe(run)

    def end_probe(self, run: Run, causes: Collection[int] | None = None) -> None:
        """Lets another request probe the causes that a request was a probe for, or some of them."""
        self.probes = {
            cause: held
            for cause, held in self.probes.items()
            if held is not run or (causes is not None and cause not in causes)
        }

    # Observations.

    def record_events(self, run: Run) -> None:
        """Records that events of an answer have arrived, which prove the parts of its prompt."""
        attempt = run.attempt
        if attempt is None or attempt.answered or attempt.events < quarantines.ANSWERED_EVENTS:
            return
        attempt.answered = True
        self.record_answer(run, run.parts)

    def record_completion(self, run: Run) -> None:
        """Records that an answer is complete, which proves the whole request.

        Only reported requests are recorded: each request may have a fingerprint of its own, and
        these would evict the answered parts.
        """
        if run.attempt is not None:
            run.attempt.answered = True
        reported = self.quarantine.reported_requests
        whole = (run.fingerprint(),) if reported and run.fingerprint() in reported else ()
        self.record_answer(run, (*run.parts, *whole))

    def record_answer(self, run: Run, causes: Sequence[int]) -> None:
        """Clears the causes that a target has answered on."""
        self.end_probe(run, causes)
        reported = self.quarantine.reported_requests
        for cause in self.quarantine.record_answer(causes, self.follower.now()):
            whole = cause in reported
            clearance = self.quarantine.clear(cause)
            if whole:
                logs.event(log, "request_cleared", request=run.id, fingerprint=f"{cause:x}")
            else:
                logs.event(log, "part_cleared", request=run.id, part=f"{cause:x}")
            self.append(*quarantines.clearance_entry(clearance))

    async def record_loss(self, run: Run) -> bool:
        """Records a request whose connection was closed by its target before its answer ended.

        Returns True if the target has crashed and the request may be the cause, so that it must not
        be sent to another one. A target that is leaving or was replaced has not crashed.
        """
        attempt = run.attempt
        if attempt is None:
            return False
        target = attempt.target
        if not self.follower.registry.is_current(target) or not await self.has_crashed(target):
            return False
        now = self.follower.now()
        request = run.fingerprint()
        proven = bool(run.parts) and self.quarantine.all_answered_recently(run.parts, now)
        began = attempt.progress() is Progress.NO_EVENT
        # Parts on which the target has just sent events, or that were answered lately and nothing
        # had begun, are not the cause; the whole request may be.
        parts = () if attempt.answered or (proven and not began) else run.parts
        report = Report(target.name, target.start_unix_ms, parts, began, request, attempt.answered)
        self.metrics.crash_losses.inc({"service": run.service, "began": str(began).lower()})
        logs.event(
            log,
            "lost_in_crash",
            request=run.id,
            target=target.name,
            began=began,
            events=attempt.events,
            proven=proven,
            parts=shared_parts_label(run.request),
            fingerprint=f"{request:x}",
        )
        # Without a prompt nothing begins before its answer is complete, so no likelier cause comes.
        if began or run.request.prompt is None:
            self.report(report, run.id)
        else:
            self.background.spawn(self.report_bystander(report, run.id))
        return not attempt.answered and (
            (began and not proven)
            or self.quarantine.verdict(run.parts, now) is not Verdict.ALLOWED
            or self.quarantine.crash_count(request) > 1
        )

    async def record_stage_loss(
        self, target: Target, service: str, requests: Mapping[int, str]
    ) -> bool:
        """Records the requests whose pieces were in a call that its target ended.

        `requests` maps their fingerprints to their ids. Returns whether the target has crashed.
        """
        if not self.follower.registry.is_current(target) or not await self.has_crashed(target):
            return False
        lost: dict[str, Report] = {}
        for request in quarantines.lost_in_call(requests, self.quarantine.reported_requests):
            report = Report(target.name, target.start_unix_ms, (), False, request)
            # One report for all pieces of equal requests, whose ids may differ.
            lost[f"{request:x}"] = report
            self.metrics.crash_losses.inc({"service": service, "began": "false"})
            logs.event(
                log,
                "lost_in_crash",
                request=requests[request],
                target=target.name,
                service=service,
                began=False,
                fingerprint=f"{request:x}",
            )
        self.report_all(lost)
        return True

    def is_quarantined(self, request: int) -> bool:
        """Returns whether nothing of a request with a fingerprint may reach a target."""
        quarantine = self.quarantine
        if request not in quarantine.requests:
            return False
        return quarantine.verdict((request,), self.follower.now()) is Verdict.REFUSED

    async def has_crashed(self, target: Target) -> bool:
        """Returns whether a target refuses connections, as it does if its process has ended.

        A connection that was merely broken off, or that can't be established, says nothing.
        """
        key = (target.name, target.start_unix_ms)
        if key not in self.crashed:
            self.crashed[key] = asyncio.create_task(refuses_connections(target.address))
        task = self.crashed[key]
        found = await asyncio.shield(task)
        if not found and self.crashed.get(key) is task:
            del self.crashed[key]
        return found

    # Reports.

    def report(self, report: Report, request_id: str) -> None:
        """Counts a report on this host at once and appends it for the others."""
        self.report_all({request_id: report})

    def report_all(self, reports: Mapping[str, Report]) -> None:
        """Counts reports on this host at once and appends them for the others.

        They are keyed by a name that is unique for each request in a crash.
        """
        entries = [(r, *quarantines.report_entry(r, name)) for name, r in reports.items()]
        self.quarantine.add_all_local({key: r for r, key, _ in entries}, self.follower.now())
        self.handle_reports()
        for _, key, value in entries:
            self.append(key, value)

    async def report_bystander(self, report: Report, request_id: str) -> None:
        """Reports a bystander of a crash after a delay; without parts if a likelier cause is known.

        On a busy engine some sound request has nearly always begun, so a request that crashes its
        targets before that is known only by coming again.
        """
        self.bystanders += 1
        try:
            # A host that stops does not wait for the delay to pass.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(BYSTANDER_DELAY_MS / 1000):
                    await self.stopping.wait()
        finally:
            self.bystanders -= 1
        if self.quarantine.is_explained(report):
            report = report._replace(parts=())
        self.report(report, request_id)

    def handle_reports(self) -> None:
        """Logs changes of the verdicts and cancels quarantined requests on engines."""
        self.forget_stored()
        parts = self.quarantine.quarantined_parts()
        requests = self.quarantine.quarantined_requests()
        for part in parts - self.quarantined_parts:
            logs.event(log, "part_quarantined", logging.WARNING, part=f"{part:x}")
        for part in self.quarantined_parts - parts:
            logs.event(log, "part_released", part=f"{part:x}")
        for request in requests - self.quarantined_requests:
            logs.event(log, "request_quarantined", logging.WARNING, fingerprint=f"{request:x}")
        for request in self.quarantined_requests - requests:
            logs.event(log, "request_released", fingerprint=f"{request:x}")
        self.quarantined_parts = parts
        self.quarantined_requests = requests
        self.metrics.quarantined_parts.set({}, len(parts))
        self.metrics.quarantined_requests.set({}, len(requests))
        now = self.follower.now()
        for run in list(self.runs):
            attempt = run.attempt
            if attempt is None or attempt.connection is None or attempt.events:
                continue
            if self.quarantine.verdict(self.causes(run), now) is Verdict.REFUSED:
                attempt.cancelled = True
                attempt.connection.abort()

    def append(self, key: str, value: bytes) -> None:
        """Appends an entry to the topic, now or when the store is back."""
        self.waiting.pop(key, None)
        self.waiting[key] = value
        while len(self.waiting) > MAX_WAITING:
            dropped = next(iter(self.waiting))
            del self.waiting[dropped]
            logs.event(log, "crash_report_dropped", logging.WARNING, key=dropped)
        loop = asyncio.get_running_loop()
        loop.call_later(SHARE_DELAY_MS / 1000, self.share_waiting, key)
        if not self.appending:
            self.appending = True
            self.background.spawn(self.append_waiting())

    def share_waiting(self, key: str) -> None:
        """Tells the other hosts an entry if it still waits for the store."""
        value = self.waiting.get(key)
        if value and not self.closed:
            self.follower.share_crash_entries([(key, value)])

    def forget_stored(self) -> None:
        """Drops waiting entries that another host has appended for this one.

        A report that was appended and deleted since must not come back. Entries that a restored
        store has lost are in the table and wait all the same.
        """
        table = self.follower.tables[Topic.CRASHES]
        for key, value in list(self.waiting.items()):
            known = table.entries.get(key)
            if value and key not in table.kept_keys and is_stored(key, value, known):
                del self.waiting[key]

    async def append_waiting(self) -> None:
        """Appends the waiting entries until none is left."""
        try:
            await asyncio.sleep(APPEND_DELAY_MS / 1000)
            while self.waiting and not self.closed:
                batch = list(self.waiting.items())[:MAX_APPENDED]
                try:
                    await self.follower.store.append(Topic.CRASHES, batch)
                except LogUnavailable as error:
                    logs.event(log, "crash_reports_not_appended", reason=str(error))
                    await asyncio.sleep(APPEND_RETRY_MS / 1000)
                    continue
                for key, value in batch:
                    if self.waiting.get(key) == value:
                        del self.waiting[key]
        finally:
            self.appending = False

    async def flush(self) -> None:
        """Appends what waits, as the process is about to end; gives up after FLUSH_MS."""
        self.stopping.set()
        until = self.follower.now() + FLUSH_MS
        while self.follower.now() < until:
            await asyncio.sleep(APPEND_DELAY_MS / 1000)
            if not (self.waiting or self.bystanders):
                break
        if self.waiting:
            logs.event(log, "crash_reports_unsent", logging.WARNING, count=len(self.waiting))

    def close(self) -> None:
        """Ends the appends, as the store is about to be closed."""
        self.closed = True

    def run_housekeeping(self) -> None:
        """Drops what belongs to departed targets; the reader maintains the topic.

        It deletes reports without effect, appends again what a restored store has lost, and appends
        what other hosts told: they may end, or be cut off from the store, before they can.
        """
        targets = self.follower.registry.targets
        current = {(target.name, target.start_unix_ms) for target in targets.values()}
        self.crashed = {
            key: task for key, task in self.crashed.items() if key in current or not task.done()
        }
        now = self.follower.now()
        if self.follower.members.level(now) == 0:
            # In this order reports come before the clearances of their parts.
            kept = sorted(self.follower.tables[Topic.CRASHES].kept(), key=lambda e: e.key)
            lost = [(entry.key, entry.value) for entry in reversed(kept)]
            told = list(self.follower.crash_news.shared)
            obsolete = [(key, b"") for key in self.quarantine.obsolete_keys(now)]
            for key, value in [*lost, *told, *obsolete][:MAX_APPENDED]:
                if key not in self.waiting:
                    self.append(key, value)


async def refuses_connections(address: str) -> bool:
    """Returns whether an address refuses a connection; False if it does not answer."""
    ip, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    factory: Callable[[], asyncio.Protocol] = asyncio.Protocol
    try:
        async with running_timeout(CONNECT_TIMEOUT_MS / 1000):
            transport, _ = await loop.create_connection(factory, ip, int(port))
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError) as error:
        logs.event(log, "crash_unconfirmed", address=address, reason=type(error).__name__)
        return False
    transport.abort()
    return False
