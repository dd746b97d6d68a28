"""The daemon of an entry host: builds and starts its components, and stops gracefully."""

from __future__ import annotations

import asyncio
import logging
import random
import signal
import sys
import uuid
from collections import Counter
from collections.abc import Coroutine
from types import FrameType
from typing import Any

import aiohttp
import aiomisc
import uvloop
from absl import app, flags
from aiohttp import web

from savoryfork import defaults, settings
from savoryfork.board import Board, LogState
from savoryfork.burn import BurnController, BurnRecorder
from savoryfork.burncheckpoint import CheckpointController
from savoryfork.burnreport import handle_burn
from savoryfork.caller import CallerApp
from savoryfork.calls import TargetClient
from savoryfork.claimowner import ClaimOwner
from savoryfork.claims import Claims
from savoryfork.discovery import Discovery
from savoryfork.dispatch import Dispatcher
from savoryfork.errors import UserError
from savoryfork.gossip import ConfigController, Gossip
from savoryfork.membership import Membership
from savoryfork.metrics import Metrics
from savoryfork.operator import OperatorInterface, operator_app
from savoryfork.orders import OrderController
from savoryfork.peers import PeerClient, PeerServer, PeerService
from savoryfork.publication import ConfigFold
from savoryfork.runner import Runner
from savoryfork.settings import Settings, split_address
from savoryfork.util import logs
from savoryfork.util.responses import json_response
from savoryfork.util.signals import STOP_SIGNALS
from savoryfork.util.timer import TimerService, system_clock
from savoryfork.util.topic import LogClient

log = logging.getLogger(__name__)

FLAGS = flags.FLAGS
flags.DEFINE_string("settings", None, "JSON file with the settings of this host")

# A run may exceed its deadline while an action completes or its outcome is recorded.
DRAIN_MARGIN_MS = 5_000


class HostService(aiomisc.Service):
    """One entry host. `stopped` is set once a requested stop has completed."""

    settings: Settings

    async def start(self) -> None:
        """Builds the components and starts listening; /readyz returns 503 until it is ready."""
        config = self.settings
        self.incarnation = uuid.uuid4().hex
        self.stopped = asyncio.Event()
        self.stop_task: asyncio.Task[None] | None = None
        self.background_tasks: set[asyncio.Task[Any]] = set()
        self.clock = system_clock()
        self.rng = random.Random(self.incarnation)
        self.timer = TimerService(self.clock, defaults.TIMER_TICK_MS, defaults.PAUSE_THRESHOLD_MS)
        self.board = Board(config.host, defaults.SUBSET_TARGETS)
        self.metrics = Metrics()
        self.build()
        await self.listen()
        self.subscribe()
        self.timer.start()
        self.run_in_background(self.config.run())
        # Handlers added through the loop would be reset to the default action when it closes, and a
        # second signal before the exit would kill the process. `run_host` ignores signals from then
        # on.
        for number in STOP_SIGNALS:
            signal.signal(number, self.handle_signal)
        logs.event(
            log,
            "started",
            incarnation=self.incarnation,
            availability_zone=config.availability_zone,
            caller_address=config.caller_address,
        )

    def build(self) -> None:
        """Creates the components without starting them."""
        config = self.settings
        self.membership = Membership(self.board, self.clock, config.host)
        self.discovery = Discovery(
            self.board, self.membership, self.clock, config.host, config.platform_url
        )
        self.log_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self.log_client = LogClient(
            self.log_session, config.platform_url, defaults.LOG_TIMEOUT_MS, self.on_log_availability
        )
        self.peer_client = PeerClient(config.peer_keys[0])
        self.build_configuration()
        self.build_runs()

    def build_configuration(self) -> None:
        """Creates the components that manage the configuration."""
        self.config = ConfigController(
            self.board, ConfigFold(), self.log_client, self.clock, self.rng
        )
        self.gossip = Gossip(
            self.board,
            self.config,
            self.membership,
            self.peer_client,
            self.settings,
            self.clock,
            self.rng,
            self.incarnation,
        )
        self.membership.on_local_leaving = self.gossip.start_push
        self.operator = OperatorInterface(
            self.board,
            self.config,
            self.gossip,
            self.log_client,
            self.settings,
            self.clock,
            self.incarnation,
            self.discovery.poll_hosts,
        )

    def build_runs(self) -> None:
        """Creates the components that run requests."""
        config = self.settings
        self.burn = BurnRecorder()
        self.burn_lock = asyncio.Lock()
        self.burn_controller = BurnController(
            self.log_client, self.burn, self.incarnation, self.clock
        )
        self.burn_checkpoints = CheckpointController(self.log_client, self.clock, self.rng)
        self.dispatcher = Dispatcher(self.board, self.clock, self.rng, config.policy)
        self.target_client = TargetClient(self.clock, self.membership)
        self.owner = ClaimOwner(self.log_client, self.clock)
        self.claims = Claims(
            self.owner,
            self.board,
            self.clock,
            config.host,
            self.incarnation,
            self.peer_client.call,
        )
        self.runner = Runner(
            self.board,
            self.timer,
            self.dispatcher,
            self.target_client,
            self.claims,
            self.burn,
            self.metrics,
        )
        self.orders = OrderController(
            self.board,
            self.log_client,
            self.timer,
            self.metrics,
            config.host,
            self.incarnation,
        )
        self.callers = CallerApp(
            self.board, self.clock, self.runner, self.claims, self.metrics, config
        )

    def subscribe(self) -> None:
        """Schedules the periodic tasks of the components."""
        every = self.timer.subscribe
        every("host-list", defaults.HOST_LIST_PERIOD_MS, self.discovery.poll_hosts)
        every("loads", defaults.LOAD_PERIOD_MS, self.discovery.poll_loads)
        every("exchange", defaults.EXCHANGE_PERIOD_MS, self.gossip.tick)
        every("config-checkpoint", defaults.EXCHANGE_PERIOD_MS, self.config.tick)
        every("dispatch", defaults.DISPATCH_PERIOD_MS, self.tick_dispatch)
        every("claims", defaults.CLAIM_FLUSH_PERIOD_MS, self.claims.tick)
        every("partitions", defaults.CLAIM_IDLE_MS / 10, self.owner.tick)
        every("burn", defaults.BURN_TICK_MS, self.burn_controller.tick)
        every("burn-checkpoint", defaults.BURN_TICK_MS, self.burn_checkpoints.tick)
        every("orders", defaults.ORDER_TICK_MS, self.orders.tick)
        every("gauges", defaults.GAUGE_PERIOD_MS, self.tick_gauges)

    async def listen(self) -> None:
        """Opens the peer, operator and caller ports."""
        config = self.settings
        await self.discovery.poll_hosts()
        self.peer_server = PeerServer(
            config.peer_address,
            config.peer_keys,
            PeerService(
                self.gossip.handle,
                self.owner.handle_claim,
                self.owner.handle_settle,
                self.owner.handle_lookup,
            ),
        )
        await self.peer_server.start()
        operators = operator_app(self.operator, metrics=self.handle_metrics, burn=self.handle_burn)
        self.operator_runner = web.AppRunner(operators, access_log=None)
        await self.serve(self.operator_runner, config.operator_address)
        self.caller_runner = web.AppRunner(
            self.callers.app(),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=DRAIN_MARGIN_MS / 1000,
        )
        self.caller_site = await self.serve(self.caller_runner, config.caller_address)

    async def serve(self, runner: web.AppRunner, address: str) -> web.TCPSite:
        """Starts an HTTP server."""
        await runner.setup()
        ip, port = split_address(address)
        site = web.TCPSite(runner, ip, port, backlog=1024, reuse_address=True)
        await site.start()
        return site

    def run_in_background(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Starts a coroutine that is cancelled when the host stops."""
        task = self.loop.create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    def on_log_availability(self, available: bool) -> None:
        """Updates the log state when the log client gets a response or fails to."""
        if self.board.log.available != available:
            self.board.log = LogState(available, self.clock.monotonic_ms())
            logs.event(log, "log_available" if available else "log_unavailable", logging.WARNING)

    async def tick_dispatch(self) -> None:
        """Expires waiters, updates ejections and fills free slots."""
        self.dispatcher.tick()

    async def tick_gauges(self) -> None:
        """Updates the gauges and logs a pause of the event loop."""
        metrics, board = self.metrics, self.board
        metrics.inflight.set({}, self.runner.inflight)
        metrics.config_offset.set({}, board.configuration.offset)
        metrics.log_available.set({}, int(board.log.available))
        pause_ms = self.timer.pop_longest_pause()
        metrics.loop_pause_ms.set({}, pause_ms)
        if pause_ms >= defaults.PAUSE_THRESHOLD_MS:
            logs.event(log, "loop_paused", logging.WARNING, pause_ms=round(pause_ms))
        counts = Counter((view.service, view.leaving) for view in board.targets.values())
        for service in board.configuration.services:
            for leaving, state in ((False, "live"), (True, "leaving")):
                labels = {"service": service, "state": state}
                metrics.targets.set(labels, counts[service, leaving])

    async def handle_metrics(self, request: web.Request) -> web.Response:
        """Returns the metrics in the exposition format that the scraper accepts."""
        body, headers = self.metrics.render(request.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)

    async def handle_burn(self, request: web.Request) -> web.Response:
        """Returns the burn report."""
        # A report holds the totals of all retained records; two at once would double that memory.
        async with self.burn_lock:
            await self.burn_controller.tick()
            report = await handle_burn(
                self.log_client,
                self.board.configuration,
                int(self.clock.wall_ms()),
                request.query.get("workspace"),
                request.query.get("pipeline"),
            )
        return json_response(report)

    def handle_signal(self, number: int, frame: FrameType | None) -> None:
        """Forwards a signal to the event loop."""
        self.loop.call_soon_threadsafe(self.request_stop)

    def request_stop(self) -> None:
        """Starts a graceful stop; a second signal has no effect."""
        if self.stop_task is None:
            self.stop_task = self.loop.create_task(self.drain())

    async def drain(self) -> None:
        """Stops accepting requests, waits for the runs to end, then sets `stopped`."""
        started_ms = self.clock.monotonic_ms()
        self.board.stopping = True
        logs.event(log, "stopping", inflight=self.runner.inflight)
        await asyncio.sleep(self.settings.balancer_delay_ms / 1000)
        await self.caller_site.stop()
        deadlines = [p.deadline_ms for p in self.board.configuration.pipelines.values()]
        timeout_ms = max(deadlines, default=0) + DRAIN_MARGIN_MS
        await self.callers.drain(timeout_ms)
        await self.runner.drain(timeout_ms)
        await self.caller_runner.cleanup()
        await self.runner.drain(DRAIN_MARGIN_MS)
        await self.burn_controller.close()
        await self.orders.release_all()
        duration_ms = round(self.clock.monotonic_ms() - started_ms)
        logs.event(log, "stopped", duration_ms=duration_ms, pending=self.claims.pending())
        self.stopped.set()

    async def stop(self, exception: Exception | None = None) -> None:
        """Cancels background tasks and closes all servers and clients."""
        await self.timer.stop()
        for task in self.background_tasks:
            task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)
        await self.gossip.stop()
        await self.owner.stop()
        await self.operator_runner.cleanup()
        await self.peer_server.stop()
        self.peer_client.close()
        await self.target_client.close()
        await self.orders.close()
        await self.discovery.close()
        await self.log_session.close()


def run_host(config: Settings) -> None:
    """Runs a host until a stop is requested and completed."""
    logs.setup(config.host, config.log_level)
    service = HostService(settings=config)
    with aiomisc.entrypoint(
        service,
        log_config=False,
        pool_size=1,
        loop_factory=uvloop.new_event_loop,
        catch_signals=(),
    ) as loop:
        loop.run_until_complete(service.stopped.wait())
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)


def start(argv: list[str]) -> int:
    """Reads the settings and runs the host; returns the exit code."""
    if FLAGS.settings is None or len(argv) > 1:
        print("usage: savoryforkd --settings=FILE", file=sys.stderr)
        return 2
    try:
        config = settings.load(FLAGS.settings)
    except UserError as error:
        print(error, file=sys.stderr)
        return 2
    run_host(config)
    return 0


def main() -> None:
    """The entry point of the program `savoryforkd`."""
    app.run(start)


if __name__ == "__main__":
    main()
