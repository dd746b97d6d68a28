"""The base of engines and services: faults, draining, load reports and answer headers."""

from __future__ import annotations

import asyncio
import random
import uuid
from typing import Any, NamedTuple, TypedDict

import msgspec
from aiohttp import web

from standins import server

ATTEMPT = "X-Attempt-Id"

# The attempt id that the answer echoes, and true if the answer is that of another call.
ECHOED = web.RequestKey("echoed", str)
CROSSED = web.RequestKey("crossed", bool)


class Identity(NamedTuple):
    """The name and service of a target."""

    name: str
    service: str


class Faults(TypedDict, total=False):
    """Body of `POST /control/faults`; fields that are absent stay as they are.

    `slow_factor` multiplies service and step times. `fail_rate` is the share of calls answered 500
    before any work. `crossed` is the share of calls answered with another call's attempt id and
    content. `duplicate` is the share of streams that send each token event twice. Streams are
    closed without an end marker after `cut_after_tokens` tokens (0 is off). `drop_answers` is the
    number of calls that are processed and whose connection is then closed without an answer.
    `freeze` blocks all routes but `/control` until it is false again. `seed` reseeds the random
    numbers. `reset` first clears all faults.
    """

    slow_factor: float
    fail_rate: float
    crossed: float
    duplicate: float
    cut_after_tokens: int
    drop_answers: int
    freeze: bool
    seed: int
    reset: bool


class FaultState:
    """The faults of one target."""

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.running = asyncio.Event()
        self.reset()

    def reset(self) -> None:
        """Clears all faults."""
        self.slow_factor = 1.0
        self.fail_rate = 0.0
        self.crossed = 0.0
        self.duplicate = 0.0
        self.cut_after_tokens = 0
        self.drop_answers = 0
        self.running.set()

    def set(self, body: Faults) -> None:
        """Sets the given faults."""
        fields: dict[str, Any] = dict(body)
        if fields.pop("reset", False):
            self.reset()
        if "seed" in fields:
            self.random = random.Random(fields.pop("seed"))
        freeze = fields.pop("freeze", None)
        if freeze:
            self.running.clear()
        elif freeze is not None:
            self.running.set()
        for name, value in fields.items():
            setattr(self, name, value)

    def as_dict(self) -> dict[str, Any]:
        """Returns the faults in effect."""
        names = set(Faults.__annotations__) - {"freeze", "seed", "reset"}
        return {
            "freeze": not self.running.is_set(),
            **{name: getattr(self, name) for name in names},
        }

    def draw_fault(self, rate: float) -> bool:
        """Draws whether a fault of the given rate is injected."""
        return rate > 0 and self.random.random() < rate

    def consume_drop(self) -> bool:
        """Returns true, and counts the drop, if the answer of this call is to be dropped."""
        if self.drop_answers <= 0:
            return False
        self.drop_answers -= 1
        return True


class Drain(TypedDict, total=False):
    """Body of `POST /control/drain`; an empty one starts draining."""

    draining: bool


class Target:
    """One replica of a service. Subclasses add their routes and their load."""

    def __init__(self, identity: Identity, report_lag_ms: float, seed: int = 0) -> None:
        self.identity = identity
        self.incarnation = str(uuid.uuid4())
        self.report_lag_ms = report_lag_ms
        self.faults = FaultState(seed)
        self.draining = False
        self.attempts: list[str] = []
        self.calls = 0
        self.refused_draining = 0
        self.reports = server.Lagged(self.report(), server.now_ms())

    def load(self) -> dict[str, float]:
        """Returns the running calls, the waiting calls, and the tokens still to be processed."""
        raise TypeError(f"{type(self).__name__} does not define load")

    def report(self) -> dict[str, Any]:
        """Returns the current load report."""
        return {**self.load(), "time_ms": server.wall_ms()}

    def record_load(self) -> None:
        """Records a load report that becomes visible after the lag."""
        now = server.now_ms()
        self.reports.set(self.report(), now)
        self.reports.get(now, self.report_lag_ms)

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the subclass."""
        return []

    def details(self) -> dict[str, Any]:
        """Returns the fields that the subclass adds to `GET /state`."""
        return {}

    def app(self) -> web.Application:
        """Returns the web application."""
        app = web.Application(
            middlewares=[server.bad_request, self.guard], client_max_size=8 * 1_048_576
        )
        app.add_routes(self.routes())
        app.add_routes(
            [
                web.get("/healthz", server.healthz),
                web.get("/load", self.get_load),
                web.get("/state", self.get_state),
                web.post("/control/drain", self.drain),
                web.post("/control/faults", self.set_faults),
                web.get("/control/faults", self.get_faults),
            ]
        )
        app.on_response_prepare.append(self.add_headers)
        app.on_shutdown.append(self.close)
        return app

    async def close(self, app: web.Application) -> None:
        """Releases frozen calls so that the process can exit."""
        self.draining = True
        self.faults.running.set()

    @web.middleware
    async def guard(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Applies `freeze` to all routes, and draining and failures to new calls."""
        if request.path.startswith("/control/"):
            return await handler(request)
        await self.faults.running.wait()
        if request.method != "POST" or not request.path.startswith("/v1/"):
            return await handler(request)
        attempt = request.headers.get(ATTEMPT)
        if not attempt:
            return server.refuse(400, f"{ATTEMPT} is missing")
        request[ECHOED] = attempt
        if self.draining:
            self.refused_draining += 1
            return server.refuse(503, "draining", {"X-Target-State": "draining"})
        if self.faults.draw_fault(self.faults.fail_rate):
            return server.refuse(500, "injected failure")
        self.calls += 1
        request[CROSSED] = self.faults.draw_fault(self.faults.crossed)
        if request[CROSSED]:
            request[ECHOED] = self.other_attempt(attempt)
        self.attempts = [*self.attempts[-7:], attempt]
        return await handler(request)

    def other_attempt(self, attempt: str) -> str:
        """Returns the attempt id of another recent call, or a new id if there is none."""
        others = [other for other in self.attempts if other != attempt]
        return others[-1] if others else str(uuid.uuid4())

    async def add_headers(self, request: web.Request, response: web.StreamResponse) -> None:
        """Adds the common headers to an answer."""
        response.headers["X-Incarnation"] = self.incarnation
        attempt = request.get(ECHOED) or request.headers.get(ATTEMPT)
        if attempt:
            response.headers[ATTEMPT] = attempt
        report = self.reports.get(server.now_ms(), self.report_lag_ms)
        load = {name: report[name] for name in ("running", "waiting", "tokens")}
        response.headers["endpoint-load-metrics"] = (
            f"JSON {msgspec.json.encode({'named_metrics': load}).decode()}"
        )
        if self.draining:
            response.headers["X-Target-State"] = "draining"

    async def get_load(self, request: web.Request) -> web.Response:
        """Returns the load report of `report_lag_ms` ago; `time_ms` is its Unix time."""
        report = self.reports.get(server.now_ms(), self.report_lag_ms)
        return server.reply({"incarnation": self.incarnation, **report})

    async def get_state(self, request: web.Request) -> web.Response:
        """Returns identity, incarnation and state, without lag."""
        return server.reply(
            {
                **self.identity._asdict(),
                "incarnation": self.incarnation,
                "state": "draining" if self.draining else "live",
                "calls": self.calls,
                "refused_draining": self.refused_draining,
                **self.load(),
                **self.details(),
            }
        )

    async def drain(self, request: web.Request) -> web.Response:
        """Starts draining, or stops it with `{"draining": false}`."""
        body = await server.read(request, Drain)
        self.draining = body.get("draining", True)
        return server.reply({"draining": self.draining})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Sets faults; see `Faults`."""
        body = await server.read_strict(request, Faults)
        self.faults.set(body)
        return server.reply(self.faults.as_dict())

    async def get_faults(self, request: web.Request) -> web.Response:
        """Returns the faults in effect."""
        return server.reply(self.faults.as_dict())
