"""Stand-ins for the platform's replicas: plain services, engines and stage services."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

# Much shorter than the real times, so that tests are quick.
EVENT_S = 0.005
CALL_S = 0.01

# The largest body, above the limit of the operators' configuration in any test.
MAX_BODY_BYTES = 2**24

# Number of events after which a stream is silent while `pause_s` is set.
PAUSE_AFTER = 3


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


async def reset_nothing() -> None:
    """Crashes no replica."""


def prompt_parts(request: web.Request) -> list[str]:
    """Returns the ids of the parts of a request's prompt."""
    entries = request.headers.get("Prefix-Hash", "").split(",")
    return [entry.partition(":")[0] for entry in entries]


class Replica:
    """One replica. `run_counts` is by request id; `received` lists the requests and pieces.

    It crashes by `on_crash` as it begins to write on a prompt with one of the `crash_parts`, or on
    a request with one of the `crash_paths`; an answer that is no stream has no head by then. Such a
    stream has `crash_after` events by then.
    A stage target crashes on a call that holds a piece with one of the `crash_keys`, and on as many
    others as `crashing_calls` says; `crashed_batches` are the sizes of those calls.
    It sends nothing for `silence_s` after `silent_after` events of an answer that is not resumed.
    While `pause_s` is set, its streams are silent for that time after `PAUSE_AFTER` events.
    `broken_off` lists the streams whose connection ended during such a pause: the request id, the
    time at which the pause began and the time at which it ended.
    While `leaving` is set, every answer says so; it is the value of the header. While `push_back`
    is set, it turns every request away with that value of `Retry-After`. `arrivals` are the times
    of all requests by the event loop's clock, those to free results included.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.run_counts: Counter[str] = Counter()
        self.received: list[dict[str, Any]] = []
        self.address = ""
        self.held_results: set[str] = set()
        self.handle_numbers = itertools.count()
        self.refuse = False
        self.refusals = 0
        self.break_after: int | None = None
        self.silent_after: int | None = None
        self.silence_s = 0.0
        self.silences = 0
        self.delay_s = 0.0
        self.status = 200
        self.batch_sizes: list[int] = []
        self.no_room = False
        self.crash_parts: set[str] = set()
        self.crash_paths: set[str] = set()
        self.crash_after = 0
        self.crash_keys: set[str] = set()
        self.crashing_calls = 0
        self.crashed_batches: list[int] = []
        self.on_crash: Callable[[], Awaitable[None]] = reset_nothing
        self.born = 1
        self.crashes = 0
        self.pause_s = 0.0
        self.broken_off: list[tuple[str, float, float]] = []
        self.leaving: str | None = None
        self.push_back: str | None = None
        self.push_back_mark = True
        self.arrivals: list[float] = []

    def app(self) -> web.Application:
        """Returns the web application."""
        app = web.Application(middlewares=[self.record_arrival], client_max_size=MAX_BODY_BYTES)
        app.on_response_prepare.append(self.add_mark)
        app.router.add_post("/api/stage-run", self.stage_run)
        app.router.add_post("/api/stage-free", self.stage_free)
        app.router.add_route("*", "/{path:.*}", self.run)
        return app

    @web.middleware
    async def record_arrival(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Records the time of a request."""
        self.arrivals.append(asyncio.get_running_loop().time())
        return await handler(request)

    async def add_mark(self, request: web.Request, response: web.StreamResponse) -> None:
        """Adds the mark of a replica that is leaving to an answer."""
        if self.leaving is not None:
            response.headers["Server-Leaving"] = self.leaving

    def find_refusal(self, request: web.Request) -> web.Response | None:
        """Returns the refusal of a request for another incarnation, or if the replica is full."""
        if request.headers.get("Expect-Instance") not in (None, self.name):
            return web.Response(status=421, headers={"Instance-Id": self.name})
        if self.refuse:
            self.refusals += 1
            return web.Response(status=503, headers={"Not-Executed": "1"})
        if self.push_back is not None:
            self.refusals += 1
            headers = {"Retry-After": self.push_back}
            if self.push_back_mark:
                headers["Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        return None

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Runs a request; the answer is streamed if there is a `Token-Usage` header."""
        if (refusal := self.find_refusal(request)) is not None:
            return refusal
        body = await request.read()
        request_id = request.headers["Request-Id"]
        self.received.append(
            {"path": request.raw_path, "headers": request.headers.copy(), "body": body}
        )
        self.run_counts[request_id] += 1
        headers = {"Request-Id": request_id, "Response-Seal": f"seal-{self.name}"}
        await asyncio.sleep(self.delay_s)
        crashing = request.raw_path in self.crash_paths
        if "Token-Usage" not in request.headers:
            if crashing:
                return await self.crash(web.Response())
            return web.Response(status=self.status, body=b"done " + body, headers=headers)
        count = int(request.headers["Token-Usage"].split(",")[1])
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        await response.prepare(request)
        if (crashing and not self.crash_after) or self.crash_parts.intersection(
            prompt_parts(request)
        ):
            return await self.crash(response)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, count + 1):
            if number - 1 == self.silent_after and "Last-Event-Id" not in request.headers:
                self.silences += 1
                await asyncio.sleep(self.silence_s)
            if crashing and number > self.crash_after:
                return await self.crash(response)
            if self.break_after is not None and number > self.break_after:
                await response.write(b"id: %d\nda" % number)
                assert request.transport is not None
                request.transport.abort()
                return response
            await response.write(b"id: %d\ndata: %s\n\n" % (number, request_id.encode()))
            await asyncio.sleep(EVENT_S)
            if self.pause_s and number == PAUSE_AFTER:
                await self.pause(request)
        return response

    async def crash(self, response: web.StreamResponse) -> web.StreamResponse:
        """Crashes in the middle of a request; returns the answer that can't be sent any more."""
        self.crashes += 1
        await self.on_crash()
        return response

    async def pause(self, request: web.Request) -> None:
        """Stays silent in the middle of a stream, and notes if its connection ends meanwhile."""
        began_at = asyncio.get_running_loop().time()
        await asyncio.sleep(self.pause_s)
        if request.transport is None or request.transport.is_closing():
            ended_at = asyncio.get_running_loop().time()
            self.broken_off.append((request.headers["Request-Id"], began_at, ended_at))

    async def stage_run(self, request: web.Request) -> web.Response:
        """Runs pieces and holds their results."""
        if (refusal := self.find_refusal(request)) is not None:
            return refusal
        entries = (await request.json())["entries"]
        self.batch_sizes.append(len(entries))
        self.received.extend(entries)
        await asyncio.sleep(CALL_S + self.delay_s)
        if self.crashing_calls or any(entry.get("key") in self.crash_keys for entry in entries):
            self.crashing_calls = max(0, self.crashing_calls - 1)
            self.crashed_batches.append(len(entries))
            await self.crash(web.Response())
        if self.no_room:
            return web.json_response({"entries": [{"reason": "room"} for _ in entries]})
        handles = [f"{self.address}/{next(self.handle_numbers):x}" for _ in entries]
        self.held_results.update(handles)
        return web.json_response({"entries": [{"handle": handle} for handle in handles]})

    async def stage_free(self, request: web.Request) -> web.Response:
        """Releases results."""
        self.held_results.difference_update((await request.json())["handles"])
        return web.Response()
