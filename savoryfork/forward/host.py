"""Builds and runs a forwarding host, and stops it without interrupting requests."""

from __future__ import annotations

import asyncio
import functools
import logging
import math
import random
import signal
from collections.abc import Awaitable, Callable
from types import FrameType

import aiomisc
import msgspec
import uvloop
from aiohttp import web

from savoryfork import defaults
from savoryfork.errors import UserError
from savoryfork.forward import callers, preview
from savoryfork.forward.budget import RetryBudget
from savoryfork.forward.connection import Connections
from savoryfork.forward.coordinator import Coordinator
from savoryfork.forward.crashes import CrashMonitor
from savoryfork.forward.departures import Source
from savoryfork.forward.entry import EntryServer
from savoryfork.forward.follower import Follower
from savoryfork.forward.forwarder import Forwarder
from savoryfork.forward.gate import Gate
from savoryfork.forward.health import HealthTracker
from savoryfork.forward.limits import ReadLimits
from savoryfork.forward.members import Member, Members
from savoryfork.forward.memory import MemoryBudget, budget_bytes
from savoryfork.forward.messages import (
    Done,
    ForwardService,
    ForwardStub,
    FreeRequest,
    MessageCodec,
    MessageHandler,
)
from savoryfork.forward.metrics import ForwardMetrics
from savoryfork.forward.model import BatchLimits, ServiceInfo
from savoryfork.forward.pools import Pools
from savoryfork.forward.preview import PreviewRequest
from savoryfork.forward.selection import TargetSelector
from savoryfork.forward.settings import ForwardSettings
from savoryfork.forward.signals import TargetSignals
from savoryfork.forward.stages import Stages, coordinators
from savoryfork.forward.topics import Store, Topic
from savoryfork.forward.warmup import Senders
from savoryfork.forward.wire import Wire
from savoryfork.peers import PeerClient, PeerServer
from savoryfork.settings import split_address
from savoryfork.util import logs
from savoryfork.util.background import BackgroundTasks
from savoryfork.util.signals import STOP_SIGNALS
from savoryfork.util.supervise import keep_running
from savoryfork.util.timer import TimerService, suspend_aware_clock
from savoryfork.util.untrusted import UndecodableError, decode_json

log = logging.getLogger(__name__)

# Maximum time until the balancer stops sending: it needs two failed probes, a second apart.
BALANCER_REMOVAL_MS = 2_600.0

# Part of the grace period that is reserved for the exit of the process, and for the answers to
# requests that have not ended by then.
EXIT_RESERVE_MS = 700.0
FINAL_ANSWERS_MS = 250.0

# A request's head, as JSON.
MAX_PREVIEW_BYTES = 65_536

MEMBERS_PERIOD_MS = 1_000.0
HOUSEKEEPING_PERIOD_MS = 500.0
UNREACHABLE_CHECK_PERIOD_MS = 100.0

# Interval at which followers that survived their cancellation are cancelled again, and how often.
CANCEL_RETRY_S = 0.1
MAX_CANCELS = 20


class ForwardHost(aiomisc.Service):
    """A forwarding host. `stopped` is set after a requested stop, or if it lacks memory.

    `install_signal_handlers` is False where a process runs several hosts, as tests do.
    `settings_version` detects changes of the settings file that come without a signal.
    """

    settings: ForwardSettings
    wire: Wire
    open_store: Callable[[str, ReadLimits], Store]
    reload: Callable[[], ForwardSettings]
    settings_version: Callable[[], int]
    install_signal_handlers: bool = True

    async def start(self) -> None:
        """Builds the components and starts to listen; unready until the first configuration."""
        self.clock = suspend_aware_clock()
        self.timer = TimerService(self.clock, defaults.TIMER_TICK_MS, defaults.PAUSE_THRESHOLD_MS)
        self.stopped = asyncio.Event()
        self.stop_task: asyncio.Task[None] | None = None
        self.stopping = False
        self.last_ready = False
        self.applied_settings_version = self.settings_version()
        self.runners: list[web.ServerRunner] = []
        self.build()
        await self.listen()
        schedule = self.timer.subscribe
        schedule("meet", MEMBERS_PERIOD_MS, self.follower.exchange_members)
        schedule(
            "review", UNREACHABLE_CHECK_PERIOD_MS, self.stages.coordinator.refuse_unreachable_work
        )
        schedule("housekeeping", HOUSEKEEPING_PERIOD_MS, self.run_housekeeping)
        self.timer.start()
        loop = asyncio.get_running_loop()
        follower = self.follower
        runs: dict[str, Callable[[], Awaitable[None]]] = {
            f"read_{topic.value}": functools.partial(follower.run, topic) for topic in Topic
        }
        runs |= {"sync": follower.run_sync, "join": follower.join}
        self.followers = [
            loop.create_task(keep_running(name, run), name=name) for name, run in runs.items()
        ]
        for task in self.followers:
            task.add_done_callback(self.handle_follower_end)
        if self.install_signal_handlers:
            for number in (*STOP_SIGNALS, signal.SIGHUP):
                signal.signal(number, self.handle_signal)
        config = self.settings
        logs.event(
            log,
            "started",
            availability_zone=config.availability_zone,
            caller_address=config.caller_address,
            peer_address=config.peer_address,
        )

    def build(self) -> None:
        """Creates the components without starting them."""
        config = self.settings
        limits = config.read_limits()
        incarnation = int(self.clock.wall_ms())
        local = Member(
            config.peer_address,
            config.availability_zone,
            incarnation,
            version=0,
            leaving=False,
            store_ok=False,
            strength=config.capacity_cores(),
        )
        self.members = Members(local, config.seed_peers)
        self.metrics = ForwardMetrics()
        self.codec = MessageCodec()
        self.peers = PeerClient(None, ForwardStub, self.codec)
        self.store = self.open_store(config.store_address, limits)
        self.background = BackgroundTasks()
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.follower = Follower(
            self.store,
            self.wire,
            self.members,
            self.peers,
            self.clock,
            random.Random(config.peer_address),
            lambda: self.selector.local_loads(),
            self.metrics,
            self.background,
            config.change_bounds(),
        )
        warmups = self.follower.registry.warmups
        warmups.info = self.service_info
        warmups.interval_ms = Senders(
            self.members,
            lambda members, now: coordinators(members, self.stages.smallest_service(), now),
            lambda: self.follower.joined_at,
            config.cold_bound(),
        ).interval_ms
        self.health = HealthTracker()
        self.connections = Connections(limits)
        self.signals = TargetSignals(self.follower, self.connections)
        self.crashes = CrashMonitor(self.follower, self.background)
        self.pools = Pools(
            self.follower.registry,
            self.health,
            self.connections,
            self.wire,
            self.clock,
            self.batch_limits,
            self.retry_budget,
            self.background,
            self.metrics,
            self.signals,
            self.crashes,
        )
        coordinator = Coordinator(self.pools, self.metrics)
        self.stages = Stages(self.follower, coordinator, self.peers, self.background)
        self.gate = Gate(self.follower, config.key_revocation_ms)
        self.selector = TargetSelector(
            self.follower, self.health, config.availability_zone, config.preferences()
        )
        self.forwarder = Forwarder(
            self.gate,
            self.selector,
            self.health,
            self.connections,
            self.stages,
            self.wire,
            self.retry_budget,
            self.crashes,
            self.signals,
        )
        descriptors = config.max_descriptors or callers.available_descriptors()
        budget = MemoryBudget(budget_bytes(config.memory_mb))
        connections = callers.max_connections(descriptors, budget.limit_bytes)
        self.backlog = callers.backlog(descriptors)
        self.entry = EntryServer(
            self.forwarder, self.wire, self.metrics, limits, budget, connections
        )

    def batch_limits(self, service: str) -> BatchLimits | None:
        """Returns the batch limits of a stage service; None for other services."""
        info = self.service_info(service)
        return info.batch if info is not None else None

    def service_info(self, service: str) -> ServiceInfo | None:
        """Returns a service of the configuration; None if it has none of that name."""
        catalog = self.follower.catalog
        return catalog.services.get(service) if catalog is not None else None

    def retry_budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        config = self.settings
        budget = self.retry_budgets.get(service)
        if budget is None:
            window_ms = config.retry_window_s * 1000
            budget = RetryBudget(config.retry_ratio, config.retry_reserve, window_ms)
            self.retry_budgets[service] = budget
        return budget

    async def listen(self) -> None:
        """Opens the ports for callers, balancer probes, metrics and other hosts."""
        config = self.settings
        handlers: dict[str, MessageHandler] = {
            "Sync": self.follower.handle_sync,
            "RunStages": self.stages.coordinator.handle,
            "Free": self.handle_free,
        }
        self.peer_server = PeerServer(config.peer_address, (), ForwardService(handlers), self.codec)
        await self.peer_server.start()
        await self.serve(web.Server(self.handle_ready, access_log=None), config.ready_address)
        ip, _ = split_address(config.caller_address)
        metrics_address = f"{ip}:{config.internal_ports[0]}"
        await self.serve(web.Server(self.handle_metrics, access_log=None), metrics_address)
        runner = web.ServerRunner(server := self.entry.server())
        await runner.setup()
        self.runners.append(runner)
        self.caller_listener = callers.CallerListener(server, self.background)
        ip, port = split_address(config.caller_address)
        self.caller_listener.start(ip, port, self.backlog)

    async def serve(self, server: web.Server, address: str) -> web.TCPSite:
        """Starts an HTTP server and returns its site."""
        runner = web.ServerRunner(server)
        await runner.setup()
        self.runners.append(runner)
        ip, port = split_address(address)
        site = web.TCPSite(runner, ip, port, backlog=callers.MAX_BACKLOG, reuse_address=True)
        await site.start()
        return site

    # Handlers.

    def unready_reason(self) -> str | None:
        """Returns why this host should get no new connections; None if it is ready."""
        if self.stopping:
            return "stopping"
        if self.follower.catalog is None:
            return "no configuration"
        if not self.follower.joined.is_set():
            return "joining"
        if self.follower.config_age_ms() > self.gate.trusted_ms:
            return "configuration out of date"
        return None

    async def handle_ready(self, request: web.BaseRequest) -> web.Response:
        """Handles the balancer's readiness probe."""
        reason = self.unready_reason()
        if (reason is None) != self.last_ready:
            self.last_ready = reason is None
            logs.event(log, "ready" if self.last_ready else "unready", reason=reason)
        if request.path != self.wire.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if reason is None else 503, text=reason or "ready")

    async def handle_preview(self, request: web.BaseRequest) -> web.Response:
        """Tells where a request would go now; see `preview`."""
        body = await request.content.read(MAX_PREVIEW_BYTES)
        try:
            asked = decode_json(body, PreviewRequest)
        except UndecodableError as error:
            return web.Response(status=400, text=str(error))
        headers = [(name.encode(), value.encode()) for name, value in asked.headers]
        decoded = self.wire.decode_request(asked.method, asked.path, headers)
        found = preview.preview(self.forwarder, decoded)
        return web.Response(body=msgspec.json.encode(found), content_type="application/json")

    async def handle_metrics(self, request: web.BaseRequest) -> web.Response:
        """Returns the metrics in exposition format, or a preview of a request."""
        if request.path == preview.PATH:
            return await self.handle_preview(request)
        metrics = self.metrics
        metrics.connections.set({"use": "opened"}, self.connections.opened)
        metrics.connections.set({"use": "reused"}, self.connections.reused)
        for source in Source:
            added = self.follower.registry.departures.added[source]
            metrics.departures.set({"source": source.value}, added)
        push_backs = self.follower.registry.push_backs
        for service, count in push_backs.received.items():
            metrics.push_backs.set({"service": service}, count)
        metrics.pushed_back_targets.set({}, push_backs.blocked_count(self.follower.now()))
        metrics.evacuated_zones.set({}, len(self.follower.registry.evacuated))
        for service, least, most in self.selector.slowdown_bounds():
            metrics.target_slowdown.set({"service": service, "bound": "least"}, least)
            metrics.target_slowdown.set({"service": service, "bound": "most"}, most)
        for service, prefixes in self.selector.prefixes.items():
            metrics.held_parts.set({"service": service}, prefixes.held_parts())
        warmups = self.follower.registry.warmups
        metrics.cold_targets.set({}, warmups.cold_count(self.follower.now()))
        metrics.cold_requests.set({"decision": "sent"}, warmups.sent)
        metrics.cold_requests.set({"decision": "held"}, warmups.held)
        metrics.inflight.set({}, self.entry.inflight)
        memory = self.entry.budget
        metrics.reserved_bytes.set({}, memory.reserved_bytes)
        metrics.memory_decisions.set({"decision": "evicted"}, memory.usage.evicted)
        metrics.memory_decisions.set({"decision": "refused"}, memory.usage.refused)
        if self.entry.web_server is not None:
            server = self.entry.web_server
            metrics.caller_connections.set({}, len(server.connections))
            metrics.closed_connections.set({"decision": "closed"}, server.closed)
            metrics.closed_connections.set({"decision": "refused"}, server.refused)
        metrics.store_calls.set({}, self.store.calls)
        age_ms = self.follower.config_age_ms()
        metrics.config_age.set({}, age_ms if self.follower.catalog is not None else -1)
        targets_age_ms = self.follower.tables[Topic.TARGETS].age_ms(self.follower.now())
        metrics.targets_age.set({}, targets_age_ms if math.isfinite(targets_age_ms) else -1)
        for topic, table in self.follower.tables.items():
            metrics.store_era.set({"register": topic.value}, table.era)
            metrics.kept_entries.set({"register": topic.value}, len(table.kept_keys))
        metrics.loads_age.set({}, self.follower.load_tree.total_age_ms)
        for (kind, direction), size in self.codec.bytes.items():
            metrics.control_bytes.set({"kind": kind, "direction": direction}, size)
        metrics.members.set({}, len(self.members.alive(self.follower.now())))
        metrics.loop_pause_ms.set({}, self.timer.pop_longest_pause())
        metrics.active_work.set({}, len(self.stages.coordinator.active))
        metrics.cells.set({}, len(self.stages.division(self.follower.now()).coordinators))
        metrics.coordinated_cell.set({}, self.stages.coordinated_cell(self.follower.now()))
        metrics.log_dropped.set({}, logs.dropped())
        self.pools.update_gauges()
        body, headers = metrics.render(request.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)

    async def handle_free(self, request: FreeRequest) -> Done:
        """Frees results on behalf of another host."""
        self.pools.free(request.service, request.results)
        return Done()

    async def run_housekeeping(self) -> None:
        """Reloads changed settings, closes idle connections and drops state of departed targets."""
        version = self.settings_version()
        if version != self.applied_settings_version:
            self.applied_settings_version = version
            self.reload_settings()
        self.connections.close_idle(self.follower.now())
        self.entry.close_overdue()
        await self.follower.expire()
        self.health.retain(list(self.follower.registry.targets.values()))
        self.pools.remove_departed_targets()
        self.selector.run_housekeeping()
        self.crashes.run_housekeeping()

    def handle_follower_end(self, task: asyncio.Task[None]) -> None:
        """Stops the host if a follower fails for good, as it does for lack of memory.

        After any other failure it goes on (`keep_running`): a host without updates already says so,
        since its configuration ages. It is not ready then and refuses what it can't judge.
        """
        if not task.cancelled() and task.exception() is not None:
            log.error({"event": "follower_failed"}, exc_info=task.exception())
            self.loop.call_soon(self.stopped.set)

    # Signals.

    def handle_signal(self, number: int, frame: FrameType | None) -> None:
        """Forwards a signal to the event loop."""
        if number == signal.SIGHUP:
            self.loop.call_soon_threadsafe(self.reload_settings)
        else:
            self.loop.call_soon_threadsafe(self.request_stop)

    def reload_settings(self) -> None:
        """Applies the settings that may change at run time."""
        try:
            config = self.reload()
        except UserError as error:
            logs.event(log, "reload_refused", logging.ERROR, reason=str(error))
            return
        self.members.seeds = [s for s in config.seed_peers if s != config.peer_address]
        self.gate.set_revocation(config.key_revocation_ms)
        self.follower.bounds = config.change_bounds()
        for budget in self.retry_budgets.values():
            budget.set_bounds(
                config.retry_ratio, config.retry_reserve, config.retry_window_s * 1000
            )
        self.settings = self.settings._replace(
            seed_peers=config.seed_peers,
            stop_grace_s=config.stop_grace_s,
            retry_ratio=config.retry_ratio,
            retry_reserve=config.retry_reserve,
            retry_window_s=config.retry_window_s,
            key_revocation_ms=config.key_revocation_ms,
        )
        logs.event(log, "reloaded", seeds=len(config.seed_peers))

    def request_stop(self) -> None:
        """Starts a graceful stop; further calls have no effect."""
        if self.stop_task is None:
            self.stop_task = self.loop.create_task(self.stop_gracefully())

    async def stop_gracefully(self) -> None:
        """Leaves the balancer's rotation, finishes all requests, then sets `stopped`.

        Other hosts take over the pools as soon as they see that this host is leaving; stage work
        already accepted here is finished here.
        """
        started = self.follower.now()
        grace_ms = self.settings.stop_grace_s * 1000 - EXIT_RESERVE_MS
        self.stopping = self.entry.stopping = True
        self.gate.start_draining(started, started + grace_ms)
        try:
            await self.drain(started, grace_ms)
        except Exception:
            logs.failure(log, "stop_failed", inflight=self.entry.inflight)
        await self.crashes.flush()
        logs.event(log, "stopped", duration_ms=round(self.follower.now() - started))
        self.stopped.set()

    async def drain(self, started: float, grace_ms: float) -> None:
        """Tells other hosts and finishes all requests; interrupts those left after `grace_ms`."""
        self.members.update_local(leaving=True)
        self.follower.notify()
        try:
            await self.follower.exchange_members()
        except Exception:
            # They learn of it from the next poll, or by the end of this host.
            logs.failure(log, "leaving_not_announced")
        logs.event(log, "stopping", inflight=self.entry.inflight)
        await asyncio.sleep(BALANCER_REMOVAL_MS / 1000)
        await self.caller_listener.stop()
        try:
            async with asyncio.timeout((grace_ms - (self.follower.now() - started)) / 1000):
                await self.entry.wait_idle()
                # A request that arrives on a keep-alive connection from now on would be interrupted
                # by the exit of the process.
                self.gate.close()
                await self.pools.wait_drained()
                await self.entry.wait_sent()
        except TimeoutError:
            logs.event(
                log,
                "stop_cut",
                logging.WARNING,
                inflight=self.entry.inflight,
                unsent_bytes=self.entry.unsent_bytes(),
            )
            await self.interrupt()

    async def interrupt(self) -> None:
        """Gives a final answer to each request that is left; what is not sent by then is lost."""
        self.gate.close()
        self.entry.interrupt()
        try:
            async with asyncio.timeout(FINAL_ANSWERS_MS / 1000):
                await self.entry.wait_idle()
                await self.entry.wait_sent()
        except TimeoutError:
            logs.event(log, "answers_unsent", logging.WARNING, inflight=self.entry.inflight)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops the timer and the followers, and closes connections."""
        await self.timer.stop()
        # A call whose connection ends as it is cancelled raises the loss of the connection instead,
        # which a follower survives. So the followers end before the connections are closed, and are
        # cancelled again if another host closed theirs.
        pending = set(self.followers)
        for _ in range(MAX_CANCELS):
            if not pending:
                break
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_S)
        if pending:
            logs.event(log, "followers_not_ended", logging.WARNING, count=len(pending))
        self.crashes.close()
        self.connections.close()
        self.peers.close()


def run_host(
    config: ForwardSettings,
    wire: Wire,
    open_store: Callable[[str, ReadLimits], Store],
    reload: Callable[[], ForwardSettings],
    settings_version: Callable[[], int],
) -> None:
    """Runs a host until it is asked to stop or lacks memory."""
    logs.setup_bounded(config.host, config.log_level)
    service = ForwardHost(
        settings=config,
        wire=wire,
        open_store=open_store,
        reload=reload,
        settings_version=settings_version,
    )
    with aiomisc.entrypoint(
        service,
        log_config=False,
        pool_size=1,
        loop_factory=uvloop.new_event_loop,
        catch_signals=(),
    ) as loop:
        loop.run_until_complete(service.stopped.wait())
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
    logs.flush()
