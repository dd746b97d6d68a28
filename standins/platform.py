"""The platform: an append-only log, the host list and a rate-limited weight store.

Run with `python -m standins.platform --port=8000`. All state is in memory. Faults are set at
`POST /control/faults` and do not affect `/control`.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
from typing import Annotated, Any, Literal, NamedTuple, TypedDict

import msgspec
from aiohttp import web

from savoryfork.util.bucket import TokenBucket
from standins import server

MAX_READ_RECORDS = 1_000
MAX_WAIT_MS = 30_000
MAX_BODY_BYTES = 8 * 1_048_576


class PlatformSettings(NamedTuple):
    """Flags of the platform."""

    appends_per_s: Annotated[float, "appends a second over all topics; 0 is no limit"] = 400.0
    retention_records: Annotated[int, "records kept in each topic"] = 100_000
    retention_ms: Annotated[int, "age up to which records are kept"] = 7_200_000
    hosts_lag_ms: Annotated[float, "delay of changes in the host list"] = 0.0
    weights_per_minute: Annotated[float, "downloads a minute from the weight store"] = 30.0
    weights_ms: Annotated[float, "duration of one download"] = 200.0


class Faults(TypedDict, total=False):
    """Body of `POST /control/faults`; fields that are absent stay as they are.

    `down` answers 503 in down_mode `refuse` and holds connections in down_mode `hang`.
    `lose_answers` is the number of appends that are stored without an answer. `delay_append_ms`
    delays each append, which is stored even if the client has disconnected; with delay_mode
    `close` the connection is closed at once. `reset` first returns to the settings.
    """

    down: bool
    down_mode: Literal["refuse", "hang"]
    latency_ms: float
    lose_answers: int
    appends_per_s: float
    hosts_lag_ms: float
    retention_records: int
    retention_ms: int
    delay_append_ms: float
    delay_mode: Literal["hold", "close"]
    reset: bool


class Append(TypedDict):
    """Body of an append."""

    records: list[dict[str, Any]]


class HostEntry(TypedDict):
    """One entry of the host list; `address` is an IP address with a port."""

    name: str
    service: str
    address: str
    availability_zone: str
    incarnation: str
    state: Literal["live", "leaving"]


class HostList(TypedDict):
    """Body of `PUT /control/hosts`."""

    hosts: list[HostEntry]


class Restore(TypedDict):
    """Body of `POST /control/restore`: the number of the newest records lost by topic.

    Topics that are absent lose none. The era of the log rises by one.
    """

    lost: dict[str, int]


class Topic:
    """The records of one topic; `start` is the offset of the oldest one retained."""

    def __init__(self) -> None:
        self.records: list[dict[str, Any]] = []
        self.start = 0
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.start + len(self.records)

    def append(self, values: list[dict[str, Any]], time_ms: int, era: int = 0) -> int:
        """Appends all values atomically and returns the offset of the first."""
        first = self.end
        self.records.extend(
            {"offset": first + i, "era": era, "time_ms": time_ms, "value": v}
            for i, v in enumerate(values)
        )
        self.wake_readers()
        return first

    def wake_readers(self) -> None:
        """Wakes the long polls."""
        self.changed.set()
        self.changed = asyncio.Event()

    def trim(self, max_records: int, oldest_ms: float) -> None:
        """Deletes records beyond the retention."""
        expired = max(0, len(self.records) - max_records)
        while expired < len(self.records) and self.records[expired]["time_ms"] < oldest_ms:
            expired += 1
        del self.records[:expired]
        self.start += expired


class Platform:
    """State and handlers of the platform."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.topics: dict[str, Topic] = {}
        self.eras: list[int] = []
        self.hosts = server.Lagged([], -math.inf)
        self.weights = TokenBucket(
            settings.weights_per_minute / 60, max(1, settings.weights_per_minute / 10), 0.0
        )
        self.request_counts: dict[str, int] = {}
        self.up = asyncio.Event()
        self.closing = False
        self.pending_appends: set[asyncio.Task[int]] = set()
        self.reset_faults()

    def reset_faults(self) -> None:
        """Restores the settings."""
        self.down_mode = "refuse"
        self.latency_ms = 0.0
        self.lose_answers = 0
        self.delay_append_ms = 0.0
        self.delay_mode = "hold"
        self.hosts_lag_ms = self.settings.hosts_lag_ms
        self.retention_records = self.settings.retention_records
        self.retention_ms = self.settings.retention_ms
        self.limit_appends(self.settings.appends_per_s)
        self.up.set()

    def limit_appends(self, per_s: float) -> None:
        """Sets the append rate; bursts of a tenth of a second are allowed."""
        self.appends_per_s = per_s
        self.appends = TokenBucket(per_s, max(1.0, per_s / 10), server.now_ms())

    def topic(self, name: str) -> Topic:
        """Returns a topic, created on first use and trimmed to its retention."""
        topic = self.topics.setdefault(name, Topic())
        topic.trim(self.retention_records, server.wall_ms() - self.retention_ms)
        return topic

    def app(self) -> web.Application:
        """Returns the web application."""
        app = web.Application(
            middlewares=[server.bad_request, self.apply_faults], client_max_size=MAX_BODY_BYTES
        )
        app.add_routes(
            [
                web.post("/topics/{topic}/records", self.append),
                web.get("/topics/{topic}/records", self.read),
                web.get("/hosts", self.list_hosts),
                web.get("/weights/{model}", self.download),
                web.get("/healthz", server.healthz),
                web.put("/control/hosts", self.put_hosts),
                web.post("/control/faults", self.set_faults),
                web.post("/control/restore", self.restore),
                web.get("/control/state", self.state),
                web.get("/control/topics/{topic}/records", self.dump),
            ]
        )
        app.on_shutdown.append(self.close)
        return app

    async def close(self, app: web.Application) -> None:
        """Ends held connections and long polls so that the process can exit."""
        self.closing = True
        self.up.set()
        for topic in self.topics.values():
            topic.wake_readers()

    @web.middleware
    async def apply_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Applies outages and latency to all routes but `/control` and `/healthz`."""
        resource = request.match_info.route.resource
        if request.path.startswith("/control/") or request.path == "/healthz" or resource is None:
            return await handler(request)
        route = f"{request.method} {resource.canonical}"
        self.request_counts[route] = self.request_counts.get(route, 0) + 1
        await asyncio.sleep(self.latency_ms / 2000)
        if (refusal := await self.check_outage()) is not None:
            return refusal
        response = await handler(request)
        await asyncio.sleep(self.latency_ms / 2000)
        return response

    async def check_outage(self) -> web.Response | None:
        """Refuses or holds a request while the platform is down; returns the refusal, if any."""
        if not self.up.is_set():
            if self.down_mode == "refuse":
                return server.refuse(503, "the platform is down")
            await self.up.wait()
        if self.closing:
            return server.refuse(503, "the platform is stopping")
        return None

    async def append(self, request: web.Request) -> web.Response:
        """Appends the records of one request atomically."""
        body = await server.read(request, Append)
        if not body["records"]:
            return server.refuse(400, "records must not be empty")
        if self.appends_per_s and not self.appends.take(server.now_ms()):
            return server.refuse(429, "too many appends", {"Retry-After": "1"})
        # In a separate task, as the append must be stored even if the client disconnects.
        task = asyncio.get_running_loop().create_task(
            self.append_delayed(request.match_info["topic"], body["records"], self.delay_append_ms)
        )
        self.pending_appends.add(task)
        task.add_done_callback(self.pending_appends.discard)
        if self.delay_append_ms and self.delay_mode == "close":
            server.drop_connection(request)
        first = await asyncio.shield(task)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            server.drop_connection(request)
        return server.reply({"first_offset": first, "count": len(body["records"])})

    async def append_delayed(self, name: str, values: list[dict[str, Any]], delay_ms: float) -> int:
        """Appends after a delay and returns the offset of the first record."""
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)
        return self.topic(name).append(values, server.wall_ms(), len(self.eras))

    async def read(self, request: web.Request) -> web.Response:
        """Reads records, waiting up to `wait_ms` for a first one."""
        offset = server.number(request, "from", 0)
        limit = max(1, min(MAX_READ_RECORDS, server.number(request, "limit", MAX_READ_RECORDS)))
        wait_ms = min(MAX_WAIT_MS, server.number(request, "wait_ms", 0))
        until_ms = server.now_ms() + wait_ms
        while True:
            if (refusal := await self.check_outage()) is not None:
                return refusal
            topic = self.topic(request.match_info["topic"])
            bounds = {"start": topic.start, "end": topic.end, "eras": self.eras}
            if not topic.start <= offset <= topic.end:
                return server.reply(bounds, 410)
            first = offset - topic.start
            records = topic.records[first : first + limit]
            remaining_ms = until_ms - server.now_ms()
            if records or remaining_ms <= 0:
                return server.reply({"records": records, **bounds})
            try:
                async with asyncio.timeout(remaining_ms / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                continue

    async def list_hosts(self, request: web.Request) -> web.Response:
        """Returns the host list of `hosts_lag_ms` ago, or 304 if the client has that version."""
        hosts = self.hosts.get(server.now_ms(), self.hosts_lag_ms)
        digest = hashlib.blake2b(msgspec.json.encode(hosts), digest_size=8).hexdigest()
        etag = f'"{digest}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        response = server.reply({"hosts": hosts})
        response.headers["ETag"] = etag
        response.enable_compression()
        return response

    async def download(self, request: web.Request) -> web.Response:
        """Simulates one download of a model's weights; the answer only has their size."""
        if not self.weights.take(server.now_ms()):
            wait_s = math.ceil((1 - self.weights.tokens) / max(1e-6, self.weights.rate_per_s))
            return server.refuse(429, "too many downloads", {"Retry-After": str(wait_s)})
        await asyncio.sleep(self.settings.weights_ms / 1000)
        return server.reply({"model": request.match_info["model"], "bytes": 16_000_000_000})

    async def put_hosts(self, request: web.Request) -> web.Response:
        """Replaces the host list. The first list is visible at once, later ones after the lag."""
        body = await server.read(request, HostList)
        if self.hosts.versions[-1].since_ms == -math.inf:
            self.hosts = server.Lagged(body["hosts"], 0.0)
        else:
            self.hosts.set(body["hosts"], server.now_ms())
        return server.reply({})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Sets faults; see `Faults`."""
        body = await server.read_strict(request, Faults)
        fields = dict(body)
        if fields.pop("reset", False):
            self.reset_faults()
        down = fields.pop("down", None)
        if "appends_per_s" in body:
            self.limit_appends(body["appends_per_s"])
            del fields["appends_per_s"]
        for name, value in fields.items():
            setattr(self, name, value)
        if down:
            self.up.clear()
            for topic in self.topics.values():
                topic.wake_readers()
        elif down is not None:
            self.up.set()
        return server.reply(self.faults())

    def faults(self) -> dict[str, Any]:
        """Returns the faults in effect."""
        names = set(Faults.__annotations__) - {"down", "reset"}
        return {"down": not self.up.is_set(), **{name: getattr(self, name) for name in names}}

    async def restore(self, request: web.Request) -> web.Response:
        """Brings the log back from an older copy, which lacks the newest records of topics."""
        body = await server.read(request, Restore)
        self.eras.append(server.wall_ms())
        for name, lost in body["lost"].items():
            topic = self.topic(name)
            del topic.records[max(0, len(topic.records) - lost) :]
        for topic in self.topics.values():
            topic.wake_readers()
        return server.reply({"era": len(self.eras)})

    async def state(self, request: web.Request) -> web.Response:
        """Returns topics, faults and the number of requests by route."""
        topics = {name: {"start": t.start, "end": t.end} for name, t in self.topics.items()}
        return server.reply(
            {"topics": topics, "faults": self.faults(), "requests": self.request_counts}
        )

    async def dump(self, request: web.Request) -> web.Response:
        """Returns all retained records of a topic, also during an outage."""
        topic = self.topic(request.match_info["topic"])
        return server.reply({"records": topic.records, "start": topic.start, "end": topic.end})


def build(settings: PlatformSettings) -> web.Application:
    """Returns the application for the given settings."""
    return Platform(settings).app()


if __name__ == "__main__":
    server.main(PlatformSettings, build)
