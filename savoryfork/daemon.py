"""The daemon of an entry host: builds the parts, starts them, and stops without cutting a run."""

from __future__ import annotations

import asyncio
import logging
import random
import signal
import sys
import time
import uuid
from collections.abc import Coroutine
from typing import Any

import aiohttp
import aiomisc
import uvloop
from absl import app, flags
from aiohttp import web

from savoryfork import defaults, settings
from savoryfork.board import Board, LogState
from savoryfork.burn import BurnRecorder
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
from savoryfork.operator import OperatorApp
from savoryfork.peers import PeerClient, PeerServer, PeerService
from savoryfork.runner import Runner
from savoryfork.settings import Settings, split_address
from savoryfork.util import logs
from savoryfork.util.timer import TimerService, system_clock
from savoryfork.util.topic import LogClient

log = logging.getLogger(__name__)

FLAGS = flags.FLAGS
flags.DEFINE_string("settings", None, "JSON file with the settings of this host")

# A run may go on past its deadline while an action is being answered or its outcome recorded.
DRAIN_MARGIN_MS = 5_000


class HostService(aiomisc.Service):
    """One entry host. `stopped` is set once it has stopped by request."""

    settings: Settings

    async def start(self) -> None:
        """Builds the parts and starts to listen; /readyz answers 503 until there is work to do."""
        config = self.settings
        self.incarnation = uuid.uuid4().hex
        self.stopped = asyncio.Event()
        self.stop_task: asyncio.Task[None] | None = None
        self.followers: set[asyncio.Task[Any]] = set()
        self.clock = system_clock()
        self.rng = random.Random(self.incarnation)
        self.timer = TimerService(self.clock, defaults.TIMER_TICK_MS)
        self.board = Board()
        self.metrics = Metrics()
        self.build()
        await self.listen()
        self.subscribe()
        self.timer.start()
        self.follow(self.config.run())
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.request_stop)
        logs.event(
            log,
            "started",
            incarnation=self.incarnation,
            availability_zone=config.availability_zone,
            caller_address=config.caller_address,
        )

    def build(self) -> None:
        """Creates the parts; nothing runs yet."""
        config = self.settings
        self.membership = Membership(self.board, self.clock, config.host)
        self.discovery = Discovery(self.board, self.membership, self.clock, config.platform_url)
        self.log_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self.log_client = LogClient(
            self.log_session, config.platform_url, defaults.LOG_TIMEOUT_MS, self.note_log
        )
        self.peer_client = PeerClient(config.peer_keys[0])
        self.build_configuration()
        self.build_runs()

    def build_configuration(self) -> None:
        """Creates the parts that keep the configuration."""
        raise TypeError("wired below")

    def build_runs(self) -> None:
        """Creates the parts that run requests."""
        config = self.settings
        self.burn = BurnRecorder()
        self.dispatcher = Dispatcher(self.board, self.clock, self.rng, config.policy)
        self.target_client = TargetClient(self.clock, self.membership)
        self.owner = ClaimOwner(self.log_client, self.board, self.clock)
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
