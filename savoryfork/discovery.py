"""Polls the platform for its host list and the targets for their load."""

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
from savoryfork.util.bodies import read_body
from savoryfork.util.timer import Clock

log = logging.getLogger(__name__)


class Discovery:
    """Updates the membership from the host list and from load polls.

    Each target is polled by one host, selected by the target's hash among the reachable hosts; the
    others learn of a draining target from that host. A load report that came with an answer
    replaces the poll. If every host polled every target, it would cost each of 320 hosts
    0.9 MB/s; without polls, only the delayed host list would show the state of an idle target.
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
        """Fetches the platform's host list and applies it if it has changed."""
        headers = {"If-None-Match": self.etag} if self.etag else {}
        try:
            async with self.session.get(self.url, headers=headers) as response:
                response.raise_for_status()
                changed = response.status != HTTPStatus.NOT_MODIFIED
                body = await read_body(response, defaults.MAX_HOST_LIST_BYTES)
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
        """Polls the targets assigned to this host that have no report from the last period."""
        await asyncio.gather(*(self.poll_load(target) for target in self.targets_due()))

    def targets_due(self) -> list[TargetView]:
        """Returns the targets to poll now, least recently polled first, within the poll budget."""
        now = self.clock.monotonic_ms()
        reachable = (host.name for host in self.board.hosts.values() if host.reachable)
        pollers = sorted([self.host, *reachable])
        unreported = [
            target
            for target in self.board.targets.values()
            if now - target.reported_ms >= defaults.LOAD_PERIOD_MS
            and not target.leaving
            and pollers[rendezvous.score(target.name, "poll") % len(pollers)] == self.host
        ]
        return heapq.nsmallest(
            defaults.LOAD_POLLS_PER_PERIOD,
            unreported,
            key=lambda target: self.last_poll_ms(target.name),
        )

    def last_poll_ms(self, name: str) -> float:
        """Returns when a target was last polled, 0 if never."""
        return self.polled.get(name, 0.0)

    async def poll_load(self, target: TargetView) -> None:
        """Polls one target's load; failures are ignored, since calls detect a failed target."""
        self.polled[target.name] = self.clock.monotonic_ms()
        try:
            async with self.session.get(f"http://{target.address}/load") as response:
                if response.status != 200:
                    return
                incarnation = response.headers.get("X-Incarnation", target.incarnation)
                if response.headers.get("X-Target-State") == "draining":
                    self.membership.mark_leaving(target.name, incarnation, "load_poll")
                data = await read_body(response, defaults.MAX_REPORT_BYTES)
            body = msgspec.json.decode(data)
            report = LoadReport(body["running"], body["waiting"], body["tokens"])
        except (aiohttp.ClientError, OSError, TimeoutError):
            return
        except (msgspec.DecodeError, KeyError, TypeError):
            logs.event(log, "load_report_malformed", logging.WARNING, target=target.name)
            return
        self.membership.update_load(target.name, incarnation, report)
