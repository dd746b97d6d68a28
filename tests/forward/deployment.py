"""In-process deployment: stand-in store, replicas and forwarding hosts on loopback."""

from __future__ import annotations

import asyncio
import random
import uuid
from typing import Any

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from savoryfork.forward.host import ForwardHost
from savoryfork.forward.settings import ForwardSettings
from savoryfork.platform.store import PlatformStore
from savoryfork.platform.wire import PlatformWire
from standins.keyedstore import KeyedStore
from standins.ports import Ports
from standins.replicas import Replica

RNG = random.Random()

# Time for which a crashed replica is down.
RESTART_S = 0.4

STAGES = {"slots": 1, "queue": 2, "call_ms": 10.0, "item_ms": 1.0, "handle_s": 4.0}
ROUTES: list[dict[str, Any]] = [
    {"name": "book", "path_prefix": "/book/", "route_kind": "non_idempotent", "service": "plain"},
    {"name": "view", "path_prefix": "/view/", "route_kind": "idempotent", "service": "plain",
     "max_attempts": 2},
    {"name": "chat", "path_prefix": "/chat/", "route_kind": "streaming", "service": "engine",
     "stream_resume": True, "max_attempts": 2, "target_gap_ms": 150,
     "stages": [{"service": "cave", "after": [], "payload_bytes": 8000},
                {"service": "carri", "after": [0], "payload_bytes": 60000}]},
    {"name": "ask", "path_prefix": "/ask/", "route_kind": "streaming", "service": "engine",
     "target_gap_ms": 150},
    {"name": "open", "path_prefix": "/open/", "route_kind": "idempotent", "service": "plain",
     "max_attempts": 2, "allow_anonymous": True},
]  # fmt: skip


def configuration(version: int = 1, keys: tuple[str, ...] = ("k1",)) -> dict[str, Any]:
    """Returns a configuration with one route of each kind."""
    routes = [
        {"host": "a.example", "timeout_ms": 3000, "target_latency_ms": 500, "priority": 1, **route}
        for route in ROUTES
    ]
    services = [
        {"name": "plain"},
        {"name": "engine", "engine": {"slots": 8, "kv_capacity": 100_000}},
        {"name": "cave", "pieces": {**STAGES, "batch": 4, "headroom_mb": 22}},
        {"name": "carri", "pieces": {**STAGES, "batch": 18, "headroom_mb": 3}},
    ]
    tenants = [{"name": "w1", "api_keys": list(keys)}]
    return {"version": version, "routes": routes, "services": services, "tenants": tenants}


class Deployment:
    """Async context manager that starts and stops a deployment."""

    def __init__(self, hosts: int = 1, replicas: int = 2) -> None:
        self.host_count = hosts
        self.ports = Ports(RNG)
        self.replica_count = replicas
        self.store = KeyedStore()
        self.replicas: dict[str, list[Replica]] = {}
        self.hosts: list[ForwardHost] = []
        self.runners: list[web.AppRunner] = []
        self.reloaded: ForwardSettings | None = None
        self.settings_version = 1
        self.restarts: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Deployment:
        self.session = aiohttp.ClientSession()
        self.store_address = await self.serve(self.store.app())
        self.store.put("keyed.op", "config", configuration())
        for service in ("plain", "engine", "cave", "carri"):
            self.replicas[service] = []
            for number in range(self.replica_count):
                await self.add_replica(service, f"{service}-{number}")
        seeds = tuple(self.ports.address() for _ in range(self.host_count))
        for number in range(self.host_count):
            await self.start_host(number, seeds)
        for host in self.hosts:
            await until(lambda host=host: host.unready_reason() is None)
            await until(
                lambda host=host: len(host.follower.registry.targets) >= 4 * self.replica_count
            )
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.session.close()
        for task in self.restarts:
            task.cancel()
        for host in self.hosts:
            await host.stop()
            await host.peer_server.stop()
            for runner in host.runners:
                await runner.cleanup()
            await host.store.close()
        for runner in self.runners:
            await runner.cleanup()
        self.ports.release()

    async def serve(self, app: web.Application) -> str:
        """Serves an application on a free port; returns its address."""
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port := self.ports.draw()).start()
        self.runners.append(runner)
        return f"127.0.0.1:{port}"

    async def add_replica(self, service: str, name: str) -> Replica:
        """Starts a replica and registers it."""
        replica = Replica(name)
        replica.address = await self.serve(replica.app())
        runner = self.runners[-1]
        replica.on_crash = lambda: self.crash(service, replica, runner)
        self.replicas[service].append(replica)
        self.register(service, replica)
        return replica

    async def crash(self, service: str, replica: Replica, runner: web.AppRunner) -> None:
        """Ends a replica: its port is closed and its connections are reset."""
        for site in list(runner.sites):
            await site.stop()
        assert runner.server is not None
        for connection in runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        self.restarts.append(asyncio.create_task(self.restart(service, replica, runner)))

    async def restart(self, service: str, replica: Replica, runner: web.AppRunner) -> None:
        """Starts a replica as another incarnation after RESTART_S."""
        await asyncio.sleep(RESTART_S)
        ip, _, port = replica.address.rpartition(":")
        await web.TCPSite(runner, ip, int(port)).start()
        replica.born += 1
        self.register(service, replica)

    def register(self, service: str, replica: Replica, state: str = "ready") -> None:
        """Writes a replica's entry to the store."""
        row = {"service": service, "address": replica.address, "zone": "z", "state": state}
        self.store.put("keyed.servers", replica.name, {**row, "slots": 4, "born": replica.born})

    async def start_host(self, number: int, seeds: tuple[str, ...]) -> ForwardHost:
        """Starts a forwarding host."""
        settings = ForwardSettings(
            host=f"host-{number}",
            availability_zone="z",
            caller_address=self.ports.address(),
            ready_address=self.ports.address(),
            peer_address=seeds[number],
            internal_ports=(self.ports.draw(), 65535),
            store_address=self.store_address,
            stop_grace_s=8.0,
            key_revocation_ms=5_000.0,
            retry_ratio=0.2,
            retry_window_s=10.0,
            retry_reserve=50.0,
            seed_peers=seeds,
        )
        host = ForwardHost(
            settings=settings,
            wire=PlatformWire(),
            open_store=PlatformStore,
            reload=lambda: self.reloaded or settings,
            settings_version=lambda: self.settings_version,
            install_signal_handlers=False,
        )
        host.loop = asyncio.get_running_loop()
        await host.start()
        self.hosts.append(host)
        return host

    def url(self, path: str, host: int = 0) -> str:
        """Returns the URL of a path at a host."""
        return f"http://{self.hosts[host].settings.caller_address}{path}"

    async def call(
        self,
        path: str,
        *,
        host: int = 0,
        content: bytes = b"body",
        keys: tuple[str, ...] = ("k1",),
        **headers: str,
    ) -> tuple[int, bytes, Any]:
        """Sends a request; returns status, body and headers. Header names have _ for -.

        Each of `keys` is sent in a header of its own.
        """
        fields = {"Host": "a.example", "Request-Id": uuid.uuid4().hex[:16], "Deadline-Ms": "3000"}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        request_headers = CIMultiDict(fields)
        if "Key" not in fields:
            request_headers.extend([("Key", key) for key in keys])
        method = "GET" if path.startswith(("/view/", "/open/")) else "POST"
        async with self.session.request(
            method,
            self.url(path, host),
            headers=request_headers,
            data=None if method == "GET" else content,
        ) as response:
            return response.status, await response.read(), response.headers

    async def call_at(self, host: int, parts: str) -> int:
        """Sends a stream with the parts of a prompt to a host; returns the status.

        Each has a path of its own, as a request with the same path and body is the same request.
        """
        headers = {"Token_Usage": "100,6", "Prefix_Hash": parts, "Model": "m"}
        return (await self.call(f"/chat/{uuid.uuid4().hex}", host=host, **headers))[0]


async def until(condition: Any, limit_s: float = 5.0) -> None:
    """Waits for a condition; raises TimeoutError after the limit."""
    async with asyncio.timeout(limit_s):
        while not condition():  # noqa: ASYNC110 (conditions span several objects)
            await asyncio.sleep(0.01)
