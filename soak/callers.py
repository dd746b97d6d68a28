"""Callers that send requests all the time on connections that they keep open."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Iterator

import aiohttp

from soak.promises import Attempt
from soak.site import DEADLINE_MS, HostProcess, Site

# A caller gives up this long after its deadline.
PATIENCE_S = 2.0

PAUSE_S = 0.03
TOKENS = {"Token-Usage": "100,6", "Prefix-Hash": "aa:60,bb:30,cc:10", "Model": "m"}
EVENTS = 6
KINDS = ("book", "view", "chat")


class Callers:
    """Callers of one run; `attempts` fills while it lasts."""

    def __init__(self, site: Site, seed: int, count: int) -> None:
        self.site = site
        self.seed = seed
        self.count = count
        self.attempts: list[Attempt] = []
        self.numbers: Iterator[int] = itertools.count()
        self.calm = False
        self.ending = False
        self.paused_at = 0.0

    async def run(self) -> None:
        """Sends until `ending` is set."""
        watch = asyncio.create_task(self.watch_loop())
        await asyncio.gather(*(self.call(random.Random(self.seed + n)) for n in range(self.count)))
        watch.cancel()

    async def watch_loop(self) -> None:
        """Notes when this process itself got no processor for a while."""
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(0.05)
            if loop.time() - before > 0.3:
                self.paused_at = loop.time()

    async def call(self, rng: random.Random) -> None:
        """One caller."""
        async with aiohttp.ClientSession() as session:
            while not self.ending:
                host = rng.choice(self.site.hosts)
                key = rng.choice([*self.site.keys, *self.site.revoked])
                if self.calm:
                    key = self.site.keys[-1]
                attempt = await self.attempt(session, host, rng.choice(KINDS), key)
                self.attempts.append(attempt)
                await asyncio.sleep(PAUSE_S)

    async def attempt(
        self, session: aiohttp.ClientSession, host: HostProcess, kind: str, key: str
    ) -> Attempt:
        """One request."""
        loop = asyncio.get_running_loop()
        request_id = f"{self.seed:08x}{next(self.numbers):08x}"
        headers = {"Host": "a.example", "Request-Id": request_id, "Key": key}
        headers["Deadline-Ms"] = str(DEADLINE_MS)
        if kind == "chat":
            headers |= {**TOKENS, "Pieces": "1,8", "Piece-Key": f"piece-{request_id}"}
        method = "GET" if kind == "view" else "POST"
        body = None if kind == "view" else request_id.encode()
        calm = self.calm
        sent_at = loop.time()
        status, right, whole, connected = None, False, False, True
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + PATIENCE_S)
        url = f"http://{host.callers}/{kind}/{request_id}"
        try:
            async with session.request(
                method, url, headers=headers, data=body, timeout=timeout
            ) as response:
                status = response.status
                got = await response.read()
                whole = True
                right = is_right(kind, request_id, got, response.headers)
        except aiohttp.ClientConnectorError:
            connected = False
        except (aiohttp.ClientError, TimeoutError):
            pass  # the attempt says that no whole answer came
        ended_at = loop.time()
        disturbed = host.disturbed_until >= sent_at or self.paused_at >= sent_at
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
        )


def is_right(kind: str, request_id: str, body: bytes, headers: object) -> bool:
    """Whether an answer is the whole answer of a target to this request."""
    sealed = "Response-Seal" in headers  # type: ignore[operator]
    if kind != "chat":
        wanted = b"done " + (b"" if kind == "view" else request_id.encode())
        return sealed and body == wanted
    events = [f"id: {n}\ndata: {request_id}\n\n" for n in range(1, EVENTS + 1)]
    return sealed and body == "".join(events).encode()
