"""Asks the platform for its host list and the targets for their load."""

from __future__ import annotations

import asyncio
import heapq
import logging
from http import HTTPStatus

import aiohttp
import msgspec

from savoryfork import defaults
from savoryfork.board import Board, TargetView
from savoryfork.membership import HostEntry, LoadReport, Membership
from savoryfork.util import logs, rendezvous
from savoryfork.util.timer import Clock

log = logging.getLogger(__name__)


class Discovery:
    """Feeds the membership with the host list and with the load of targets.

    Each target has one host that polls it, chosen by its hash among the hosts that answer; the
    others hear of a draining target from that host. A load report that came with an
    answer makes the poll unnecessary. Weighed: every host polls every target, which costs 0.9 MB/s
    for each of 320 hosts; no polls, which leaves a quiet target's state to the lagging host list.
    """

    def __init__(
        self,
        board: Board,
        membership: Membership,
        clock: Clock,
        host: str,
        platform_url: str,
    ) -> None:
        self.board = board
        self.membership = membership
        self.clock = clock
        self.host = host
        self.url = f"{platform_url.rstrip('/')}/hosts"
        self.list_available = False
        self.etag = ""
        self.entries: list[HostEntry] = []
        self.polled: dict[str, float] = {}
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
            timeout=aiohttp.ClientTimeout(total=defaults.LOAD_PERIOD_MS / 1000),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self.session.close()

    async def poll_hosts(self) -> None:
        """Takes the platform's host list once, if it has changed since the last time."""
        headers = {"If-None-Match": self.etag} if self.etag else {}
        try:
            async with self.session.get(self.url, headers=headers) as response:
                response.raise_for_status()
                changed = response.status != HTTPStatus.NOT_MODIFIED
                body = await response.read()
                etag = response.headers.get("ETag", "")
            if changed:
                self.entries = [HostEntry(**row) for row in msgspec.json.decode(body)["hosts"]]
                self.etag = etag
                listed = {entry.name for entry in self.entries}
                self.polled = {n: at for n, at in self.polled.items() if n in listed}
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError, TypeError) as e:
            if self.list_available:
                logs.event(log, "host_list_unavailable", logging.WARNING, reason=type(e).__name__)
            self.list_available = False
            return
        self.list_available = True
        if changed or self.membership.missing_since:
            self.membership.apply_host_list(self.entries)

    async def poll_loads(self) -> None:
        """Asks the targets that this host polls and has not heard of within the last period."""
        await asyncio.gather(*(self.poll_load(target) for target in self.targets_due()))

    def targets_due(self) -> list[TargetView]:
        """The targets to poll now: those heard of longest ago, at most the budget of polls."""
        now = self.clock.monotonic_ms()
        reachable = (host.name for host in self.board.hosts.values() if host.reachable)
        pollers = sorted([self.host, *reachable])
        quiet = [
            target
            for target in self.board.targets.values()
            if now - target.reported_ms >= defaults.LOAD_PERIOD_MS
            and not target.leaving
            and pollers[rendezvous.score(target.name, "poll") % len(pollers)] == self.host
        ]
        return heapq.nsmallest(
            defaults.LOAD_POLLS_PER_PERIOD, quiet, key=lambda target: self.last_poll_ms(target.name)
        )

    def last_poll_ms(self, name: str) -> float:
        """When a target was polled last."""
        return self.polled.get(name, 0.0)

    async def poll_load(self, target: TargetView) -> None:
        """Asks one target for its load; silence is no evidence here, calls provide it."""
        self.polled[target.name] = self.clock.monotonic_ms()
        try:
            async with self.session.get(f"http://{target.address}/load") as response:
                if response.status != 200:
                    return
                incarnation = response.headers.get("X-Incarnation", target.incarnation)
                if response.headers.get("X-Target-State") == "draining":
                    self.membership.mark_leaving(target.name, incarnation, "load_poll")
                body = msgspec.json.decode(await response.read())
            report = LoadReport(body["running"], body["waiting"], body["tokens"])
        except (aiohttp.ClientError, OSError, TimeoutError):
            return
        except (msgspec.DecodeError, KeyError, TypeError):
            logs.event(log, "load_report_malformed", logging.WARNING, target=target.name)
            return
        self.membership.update_load(target.name, incarnation, report)
