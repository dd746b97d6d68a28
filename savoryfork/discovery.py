"""Asks the platform for its host list and the targets for their load."""

from __future__ import annotations

import asyncio
import logging

import aiohttp
import msgspec

from savoryfork import defaults
from savoryfork.board import Board, TargetView
from savoryfork.membership import HostEntry, LoadReport, Membership
from savoryfork.util import logs
from savoryfork.util.timer import Clock

log = logging.getLogger(__name__)


class Discovery:
    """Feeds the membership with the host list and with the load of targets.

    A load report that came with an answer makes the poll of that target unnecessary, so that
    polls cost something only where there is little traffic.
    """

    def __init__(
        self, board: Board, membership: Membership, clock: Clock, platform_url: str
    ) -> None:
        self.board = board
        self.membership = membership
        self.clock = clock
        self.url = f"{platform_url.rstrip('/')}/hosts"
        self.list_available = False
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
            timeout=aiohttp.ClientTimeout(total=defaults.LOAD_PERIOD_MS / 1000),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self.session.close()

    async def poll_hosts(self) -> None:
        """Takes the platform's host list once."""
        try:
            async with self.session.get(self.url) as response:
                response.raise_for_status()
                rows = msgspec.json.decode(await response.read())["hosts"]
            entries = [HostEntry(**row) for row in rows]
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError, TypeError) as e:
            if self.list_available:
                logs.event(log, "host_list_unavailable", logging.WARNING, reason=type(e).__name__)
            self.list_available = False
            return
        self.list_available = True
        self.membership.apply_host_list(entries)

    async def poll_loads(self) -> None:
        """Asks every target that was not heard of within the last period."""
        now = self.clock.monotonic_ms()
        quiet = [
            target
            for target in self.board.targets.values()
            if now - target.reported_ms >= defaults.LOAD_PERIOD_MS
        ]
        await asyncio.gather(*(self.poll_load(target) for target in quiet))

    async def poll_load(self, target: TargetView) -> None:
        """Asks one target for its load; silence is no evidence here, calls provide it."""
        try:
            async with self.session.get(f"http://{target.address}/load") as response:
                if response.status != 200:
                    return
                incarnation = response.headers.get("X-Incarnation", target.incarnation)
                if response.headers.get("X-Target-State") == "draining":
                    self.membership.note_leaving(target.name, incarnation, "load_poll")
                body = msgspec.json.decode(await response.read())
            report = LoadReport(body["running"], body["waiting"], body["tokens"])
        except (aiohttp.ClientError, OSError, TimeoutError):
            return
        except (msgspec.DecodeError, KeyError, TypeError):
            logs.event(log, "load_report_malformed", logging.WARNING, target=target.name)
            return
        self.membership.note_load(target.name, incarnation, report)
