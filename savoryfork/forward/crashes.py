"""Reports requests that were lost when an engine crashed, and keeps their like from engines.

The verdicts come from `quarantine`. Reports and clearances go to a topic of the store, so a host
that starts or returns learns them with the configuration. While the store does not answer, each
host judges by its own reports, and appends them when the store is back.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from savoryfork.errors import ErrorKind, Ran, ServiceError
from savoryfork.forward import quarantine as quarantines
from savoryfork.forward.connection import CONNECT_TIMEOUT_MS
from savoryfork.forward.follower import Follower, Topic
from savoryfork.forward.model import Target
from savoryfork.forward.quarantine import Report, Verdict
from savoryfork.forward.run import Progress, Run, shared_parts_label
from savoryfork.util import logs
from savoryfork.util.background import BackgroundTasks
from savoryfork.util.topic import LogUnavailable

log = logging.getLogger(__name__)

# Retry-after of a request with a quarantined part, and of one whose parts are being probed.
QUARANTINE_RETRY_MS = 30_000.0
PROBE_RETRY_MS = 400.0

# Bystanders of a crash are reported only if no likelier cause is reported within this time.
BYSTANDER_DELAY_MS = 250.0

# Entries are collected for this long before an append, and appended again after a failure.
APPEND_DELAY_MS = 5.0
APPEND_RETRY_MS = 400.0
MAX_APPENDED = 64

# Entries that wait for the store; beyond it the oldest are dropped.
MAX_WAITING = 512


class CrashMonitor:
    """Watches this host's requests for those that crash engines."""

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
        self.closed = False
        self.quarantined: set[int] = set()
        follower.on_crash_reports = self.handle_reports

    # Admission.

    def admit(self, run: Run) -> None:
        """Starts to watch a request; raises ServiceError if it must not reach an engine."""
        run.parts = quarantines.shared_part_ids(run.request.prompt)
        if run.parts:
            self.runs.add(run)
            self.check(run)

    def check(self, run: Run, *, sending: bool = True) -> None:
        """Raises ServiceError if a request must not reach an engine, or not now.

        A request that is about to be sent becomes the probe of its suspected parts.
        """
        verdict = self.quarantine.verdict(run.parts, self.follower.now())
        if verdict is Verdict.ALLOWED:
            return
        watched = self.quarantine.watched(run.parts)
        holders = {self.probes[part] for part in watched if part in self.probes}
        if verdict is Verdict.PROBE and holders <= {run}:
            if sending:
                self.probes.update(dict.fromkeys(watched, run))
            return
        raise self.refusal(run, verdict)

    def refusal(self, run: Run, verdict: Verdict) -> ServiceError:
        """Returns the refusal of a request by the parts of its prompt."""
        refused = verdict is Verdict.REFUSED
        run.retry_ms = QUARANTINE_RETRY_MS if refused else PROBE_RETRY_MS
        return ServiceError(
            ErrorKind.PROMPT_QUARANTINED,
            (
                "engines crash on a part of this prompt"
                if refused
                else "engines may crash on a part of this prompt, which is being probed"
            ),
            ran=Ran.UNKNOWN if run.possible_executions else Ran.NO,
        )

    def forget(self, run: Run) -> None:
        """Ends the watch of a request that has ended."""
        self.runs.discard(run)
        self.end_probe(run)

    def end_probe(self, run: Run) -> None:
        """Lets another request probe the parts that a request was a probe for."""
        self.probes = {part: holder for part, holder in self.probes.items() if holder is not run}

    # Observations.

    def record_events(self, run: Run) -> None:
        """Records that events of an answer have arrived."""
        if run.attempt is not None and run.attempt.events >= quarantines.ANSWERED_EVENTS:
            self.record_answer(run)

    def record_answer(self, run: Run) -> None:
        """Records that the engine has written on the prompt of a request, once an attempt."""
        if not run.parts or run.attempt is None or run.attempt.answered:
            return
        run.attempt.answered = True
        self.end_probe(run)
        for part in self.quarantine.record_answer(run.parts, self.follower.now()):
            clearance = self.quarantine.clear(part)
            logs.event(log, "part_cleared", request=run.id, part=f"{part:x}")
            self.append(*quarantines.clearance_entry(clearance))

    async def record_loss(self, run: Run) -> bool:
        """Records a request whose connection was closed by its engine before events came.

        Returns True if the engine has crashed and the request may be the cause, so that it must not
        be sent to another one. A target that is leaving or was replaced has not crashed.
        """
        attempt = run.attempt
        if not run.parts or attempt is None or attempt.answered:
            return False
        target = attempt.target
        if not self.follower.registry.is_current(target) or not await self.has_crashed(target):
            return False
        now = self.follower.now()
        proven = self.quarantine.all_answered_recently(run.parts, now)
        began = attempt.progress() is Progress.NO_EVENT
        report = Report(target.name, target.born, run.parts, began)
        self.metrics.crash_losses.inc({"service": run.service, "began": str(began).lower()})
        logs.event(
            log,
            "lost_in_crash",
            request=run.id,
            target=target.name,
            began=began,
            proven=proven,
            parts=shared_parts_label(run.request),
        )
        if began:
            self.report(report, run.id)
        elif not proven:
            self.background.spawn(self.report_bystander(report, run.id))
        suspected = self.quarantine.verdict(run.parts, now) is not Verdict.ALLOWED
        return (began and not proven) or suspected

    async def has_crashed(self, target: Target) -> bool:
        """Returns whether a target refuses connections, as it does if its process has ended.

        A connection that was merely broken off, or that can't be established, says nothing.
        """
        key = (target.name, target.born)
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
        key, value = quarantines.report_entry(report, request_id)
        self.quarantine.add_local(key, report, self.follower.now())
        self.handle_reports()
        self.append(key, value)

    async def report_bystander(self, report: Report, request_id: str) -> None:
        """Reports a bystander of a crash after a delay, if no likelier cause is known by then."""
        await asyncio.sleep(BYSTANDER_DELAY_MS / 1000)
        if not self.quarantine.is_explained(report):
            self.report(report, request_id)

    def handle_reports(self) -> None:
        """Logs changes of the verdicts and cancels quarantined requests on engines."""
        quarantined = self.quarantine.quarantined_parts()
        for part in quarantined - self.quarantined:
            logs.event(log, "part_quarantined", logging.WARNING, part=f"{part:x}")
        for part in self.quarantined - quarantined:
            logs.event(log, "part_released", part=f"{part:x}")
        self.quarantined = quarantined
        self.metrics.quarantined_parts.set({}, len(quarantined))
        now = self.follower.now()
        for run in list(self.runs):
            attempt = run.attempt
            if attempt is None or attempt.connection is None or attempt.events:
                continue
            if self.quarantine.verdict(run.parts, now) is Verdict.REFUSED:
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
        if not self.appending:
            self.appending = True
            self.background.spawn(self.append_waiting())

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

    def close(self) -> None:
        """Ends the appends, as the store is about to be closed."""
        self.closed = True

    def run_housekeeping(self) -> None:
        """Drops what belongs to departed targets; the reader maintains the topic.

        It deletes reports without effect, and appends again what a restored store has lost.
        """
        targets = self.follower.registry.targets
        current = {(target.name, target.born) for target in targets.values()}
        self.crashed = {
            key: task for key, task in self.crashed.items() if key in current or not task.done()
        }
        now = self.follower.now()
        if self.follower.members.level(now) == 0:
            # In this order reports come before the clearances of their parts.
            kept = sorted(self.follower.tables[Topic.CRASHES].kept(), key=lambda e: e.key)
            lost = [(entry.key, entry.value) for entry in reversed(kept)]
            obsolete = [(key, b"") for key in self.quarantine.obsolete_keys(now)]
            for key, value in [*lost, *obsolete][:MAX_APPENDED]:
                if key not in self.waiting:
                    self.append(key, value)


async def refuses_connections(address: str) -> bool:
    """Returns whether an address refuses a connection; False if it does not answer."""
    ip, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    factory: Callable[[], asyncio.Protocol] = asyncio.Protocol
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
            transport, _ = await loop.create_connection(factory, ip, int(port))
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError) as error:
        logs.event(log, "crash_unconfirmed", address=address, reason=type(error).__name__)
        return False
    transport.abort()
    return False
