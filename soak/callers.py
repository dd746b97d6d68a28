"""Callers that send requests continuously over persistent connections."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Iterator

import aiohttp

from soak.promises import NEVER_HELD_KEY, Attempt
from soak.site import DEADLINE_MS, HostProcess, Site

# Callers time out this long after the deadline of a request.
TIMEOUT_MARGIN_S = 2.0

REQUEST_INTERVAL_S = 0.03
ENGINE_HEADERS = {"Token-Usage": "100,6", "Prefix-Hash": "aa:60,bb:30,cc:10", "Model": "m"}
EVENT_COUNT = 6
ROUTE_KINDS = ("book", "view", "chat")
GET_KINDS = ("view", "open")

# Share of the requests that go to the route that needs no key, and of those to other routes that
# have a key which no configuration ever holds.
OPEN_SHARE = 0.2
NEVER_HELD_SHARE = 0.05


class Callers:
    """The callers of a run; `attempts` collects their requests."""

    def __init__(self, site: Site, seed: int, count: int) -> None:
        self.site = site
        self.seed = seed
        self.count = count
        self.attempts: list[Attempt] = []
        self.numbers: Iterator[int] = itertools.count()
        self.calm = False
        self.stopping = False
        self.loop_delayed_at = 0.0

    async def run(self) -> None:
        """Sends requests until `stopping` is set."""
        watch = asyncio.create_task(self.watch_event_loop())
        await asyncio.gather(*(self.call(n) for n in range(self.count)))
        watch.cancel()

    async def watch_event_loop(self) -> None:
        """Records when the event loop of this process was last delayed by over 0.25 s."""
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(0.05)
            if loop.time() - before > 0.3:
                self.loop_delayed_at = loop.time()

    async def call(self, number: int) -> None:
        """Sends requests as one caller."""
        rng = random.Random(self.seed + number)
        variation = random.Random(f"{self.seed} {number}")
        async with aiohttp.ClientSession() as session:
            while not self.stopping:
                host = rng.choice(self.site.hosts)
                key: str | None = rng.choice([*self.site.keys, *self.site.revoked])
                kind = rng.choice(ROUTE_KINDS)
                if self.calm:
                    key = self.site.keys[-1]
                else:
                    kind, key = vary(variation, kind, key)
                attempt = await self.attempt(session, host, kind, key)
                self.attempts.append(attempt)
                await asyncio.sleep(REQUEST_INTERVAL_S)

    async def attempt(
        self, session: aiohttp.ClientSession, host: HostProcess, kind: str, key: str | None
    ) -> Attempt:
        """Sends one request."""
        loop = asyncio.get_running_loop()
        request_id = f"{self.seed:08x}{next(self.numbers):08x}"
        headers = {"Host": "a.example", "Request-Id": request_id, "Deadline-Ms": str(DEADLINE_MS)}
        if key is not None:
            headers["Key"] = key
        if kind == "chat":
            headers |= {**ENGINE_HEADERS, "Pieces": "1,8", "Piece-Key": f"piece-{request_id}"}
        method = "GET" if kind in GET_KINDS else "POST"
        body = None if kind in GET_KINDS else request_id.encode()
        calm = self.calm
        sent_at, incarnation = loop.time(), host.started_at
        status, right, whole, connected = None, False, False, True
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + TIMEOUT_MARGIN_S)
        url = f"http://{host.callers}/{kind}/{request_id}"
        try:
            async with session.request(
                method, url, headers=headers, data=body, timeout=timeout
            ) as response:
                status = response.status
                content = await response.read()
                whole = True
                right = is_expected_response(kind, request_id, content, response.headers)
        except aiohttp.ClientConnectorError:
            connected = False
        except (aiohttp.ClientError, TimeoutError):
            pass  # the attempt records the incomplete response
        ended_at = loop.time()
        disturbed = host.disturbed_until >= sent_at or self.loop_delayed_at >= sent_at
        return Attempt(
            request_id,
            kind,
            host.number,
            key,
            sent_at,
            ended_at,
            DEADLINE_MS / 1000,
            status,
            right,
            whole,
            connected,
            disturbed,
            calm,
            incarnation if incarnation == host.started_at else None,
        )


def vary(rng: random.Random, kind: str, key: str | None) -> tuple[str, str | None]:
    """Returns the route and the key of a request: now and then the route that needs no key, with
    any key or none, or another route with a key that no configuration ever holds.
    """
    drawn = rng.random()
    if drawn < OPEN_SHARE:
        return "open", rng.choice((key, None, NEVER_HELD_KEY))
    return kind, NEVER_HELD_KEY if drawn > 1 - NEVER_HELD_SHARE else key


def is_expected_response(kind: str, request_id: str, body: bytes, headers: object) -> bool:
    """Returns whether a response is the complete response of a target to this request."""
    has_seal = "Response-Seal" in headers  # type: ignore[operator]
    if kind != "chat":
        expected = b"done " + (b"" if kind in GET_KINDS else request_id.encode())
        return has_seal and body == expected
    events = [f"id: {n}\ndata: {request_id}\n\n" for n in range(1, EVENT_COUNT + 1)]
    return has_seal and body == "".join(events).encode()
