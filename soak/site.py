"""The deployment of a run: stand-ins in this process and forwarding hosts as subprocesses."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any

import aiohttp
from aiohttp import web

from savoryfork.platform.wire import PlatformWire
from soak.faults import STORE_FAULTS, TARGET_FAULTS, Fault
from soak.proxy import Proxy
from standins.keyedstore import KeyedStore
from standins.ports import Ports
from standins.replicas import Replica

SERVICES = ("plain", "engine", "cave", "carri")
REPLICAS = 2
DEADLINE_MS = 3_000

# Delay after which an exited host is restarted, as by a process supervisor.
RESTART_DELAY_S = 0.3

# Grace period of a host for a graceful stop.
STOP_GRACE_S = 8.0

# No SIGHUP is sent this soon after a start: the new interpreter can't handle it yet.
INTERPRETER_START_S = 0.3

# Time limit for a host to become ready, also on a busy machine.
READY_TIMEOUT_S = 30.0

# Unseeded: ports need not be reproducible, and must not collide with those of other runs.
RNG = random.Random()

PROBE_TIMEOUT = aiohttp.ClientTimeout(total=1.0)

# How long the store is away before it comes back from an older copy, and the time within which the
# operator and the replicas then write again, as the platform states them.
RESTORE_AWAY_S = 2.0
REWRITE_S = 2.0

# Versions published between the copy and the outage. More than are written again at first, so that
# offsets are given out again below those that hosts have seen.
LOST_VERSIONS = 3

# How long a replica falls silent in the middle of a stream, shortest and longest.
PAUSE_S = (1.0, 1.5)

STAGE = {"slots": 1, "queue": 2, "call_ms": 10.0, "item_ms": 1.0, "handle_s": 4.0}
ROUTES: list[dict[str, Any]] = [
    {"name": "book", "path_prefix": "/book/", "route_kind": "non_idempotent", "service": "plain"},
    {
        "name": "view",
        "path_prefix": "/view/",
        "route_kind": "idempotent",
        "service": "plain",
        "max_attempts": 2,
    },
    {
        "name": "chat",
        "path_prefix": "/chat/",
        "route_kind": "streaming",
        "service": "engine",
        "stream_resume": True,
        "max_attempts": 2,
        "target_gap_ms": 150,
        "stages": [
            {"service": "cave", "after": [], "payload_bytes": 8_000},
            {"service": "carri", "after": [0], "payload_bytes": 60_000},
        ],
    },
    {
        "name": "open",
        "path_prefix": "/open/",
        "route_kind": "idempotent",
        "service": "plain",
        "max_attempts": 2,
        "allow_anonymous": True,
    },
]


# Of callers, as on the platform's larger deployments.
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}


class HostProcess:
    """One forwarding host, with `settings` beside the necessary ones.

    Requests sent before `disturbed_until` count as disturbed.
    """

    def __init__(
        self,
        number: int,
        seeds: list[str],
        store: str,
        folder: Path,
        ports: Ports,
        settings: Mapping[str, Any] = MappingProxyType({}),
    ) -> None:
        self.number = number
        self.ready = ports.address()
        self.callers = ports.address()
        self.path = folder / f"host-{number}.json"
        self.log = (folder / f"host-{number}.log").open("ab")
        self.process: asyncio.subprocess.Process | None = None
        self.disturbed_until = 0.0
        self.started_at = 0.0
        self.exit_expected = False
        self.path.write_text(
            json.dumps(
                {
                    "host": f"host-{number}",
                    "availability_zone": f"z{number}",
                    "caller_address": self.callers,
                    "ready_address": self.ready,
                    "peer_address": seeds[number],
                    "internal_ports": [ports.draw(), 65_535],
                    "store_address": store,
                    "seed_peers": seeds,
                    "stop_grace_s": STOP_GRACE_S,
                    "key_revocation_ms": 5_000,
                    "retry_ratio": 0.2,
                    "retry_window_s": 10,
                    "retry_reserve": 50,
                    **settings,
                }
            )
        )

    async def start(self) -> None:
        """Starts the host's process."""
        self.exit_expected = False
        self.started_at = asyncio.get_running_loop().time()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "savoryfork.platform",
            f"--settings={self.path}",
            stdout=self.log,
            stderr=self.log,
        )

    def send(self, number: int) -> None:
        """Sends a signal to the host's process if it is running."""
        if self.process is None or self.process.returncode is not None:
            return
        age_s = asyncio.get_running_loop().time() - self.started_at
        if number == signal.SIGHUP and age_s < INTERPRETER_START_S:
            return
        self.exit_expected |= number in (signal.SIGTERM, signal.SIGKILL)
        self.process.send_signal(number)


class Site:
    """The stand-ins and hosts of a run, started and stopped by `async with`."""

    def __init__(
        self, hosts: int, folder: Path, settings: Mapping[str, Any] = MappingProxyType({})
    ) -> None:
        self.folder = folder
        self.settings = settings
        self.limits = dict(LIMITS)
        self.host_count = hosts
        self.ports = Ports(RNG)
        self.store = KeyedStore()
        self.replicas: list[tuple[str, Replica]] = []
        self.proxies: dict[str, Proxy] = {}
        self.runners: list[web.AppRunner] = []
        self.version = 0
        self.keys = ["key-0"]
        self.published = {"key-0": 0.0}
        self.revoked: dict[str, float] = {}
        self.outages: list[tuple[float, float]] = []
        self.registrations: dict[str, tuple[str, Replica, str]] = {}
        self.store_outages = 0
        self.store_present = asyncio.Event()
        self.store_present.set()
        self.drill = asyncio.Lock()
        self.harmed: list[tuple[str, float, float]] = []
        self.odd_connections = 0
        self.supervisors: list[asyncio.Task[None]] = []
        self.unexpected_exits: list[str] = []

    async def __aenter__(self) -> Site:
        self.session = aiohttp.ClientSession()
        store = await self.serve(self.store.app())
        self.odd_server = await asyncio.start_server(self.count_odd, "127.0.0.1", 0)
        for service in SERVICES:
            for number in range(REPLICAS):
                replica = Replica(f"{service}-{number}")
                replica.address = await self.serve(replica.app())
                self.replicas.append((service, replica))
                self.register(service, replica, "ready")
        self.publish()
        seeds = [self.ports.address() for _ in range(self.host_count)]
        self.hosts = [
            HostProcess(n, seeds, store, self.folder, self.ports, self.settings)
            for n in range(self.host_count)
        ]
        self.store_proxy = self.proxies[store]
        for host in self.hosts:
            await host.start()
            self.supervisors.append(asyncio.create_task(self.supervise(host)))
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await asyncio.gather(*(self.until_ready(host) for host in self.hosts))
        except TimeoutError:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        for supervisor in self.supervisors:
            supervisor.cancel()
        for host in self.hosts:
            host.send(signal.SIGCONT)
            host.send(signal.SIGKILL)
            if host.process is not None:
                await host.process.wait()
            host.log.close()
        await self.session.close()
        self.odd_server.close()
        for proxy in self.proxies.values():
            await proxy.stop()
        for runner in self.runners:
            await runner.cleanup()
        self.ports.release()

    async def serve(self, app: web.Application) -> str:
        """Serves an application behind a proxy and returns the proxy's address."""
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port := self.ports.draw()).start()
        self.runners.append(runner)
        proxy = Proxy(f"127.0.0.1:{port}")
        address = await proxy.start()
        self.proxies[address] = proxy
        return address

    async def until_ready(self, host: HostProcess) -> None:
        """Waits until a host is ready or its process has ended."""
        while host.process is not None and host.process.returncode is None:
            if await self.is_ready(host):
                return
            await asyncio.sleep(0.05)

    async def is_ready(self, host: HostProcess) -> bool:
        """Returns whether a host reports that it is ready."""
        url = f"http://{host.ready}{PlatformWire.ready_path}"
        try:
            async with self.session.get(url, timeout=PROBE_TIMEOUT) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def supervise(self, host: HostProcess) -> None:
        """Restarts a host whenever its process ends."""
        loop = asyncio.get_running_loop()
        while True:
            assert host.process is not None
            code = await host.process.wait()
            if not host.exit_expected:
                self.unexpected_exits.append(
                    f"host {host.number} exited unexpectedly with status {code}"
                )
            host.disturbed_until = loop.time() + READY_TIMEOUT_S
            await asyncio.sleep(RESTART_DELAY_S)
            await host.start()
            await self.until_ready(host)
            host.disturbed_until = loop.time()

    # Operator actions.

    def register(self, service: str, replica: Replica, state: str) -> None:
        """Writes a target's registration to the store."""
        self.registrations[replica.name] = (service, replica, state)
        row = {"service": service, "address": replica.address, "zone": "z0", "state": state}
        self.store.put("keyed.servers", replica.name, {**row, "slots": 64, "born": 1})

    def publish(self) -> None:
        """Writes the next version of the configuration to the store."""
        self.version += 1
        self.write_configuration()

    def write_configuration(self) -> None:
        """Writes the current version of the configuration to the store."""
        defaults = {"host": "a.example", "timeout_ms": DEADLINE_MS, "target_latency_ms": 500}
        pieces = {"cave": {"batch": 4, "headroom_mb": 22}, "carri": {"batch": 18, "headroom_mb": 3}}
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": self.version,
                "routes": [{**defaults, "priority": 1, **route} for route in ROUTES],
                "services": [
                    {"name": "plain"},
                    {"name": "engine", "engine": {"slots": 64, "kv_capacity": 100_000}},
                    *(
                        {"name": n, "pieces": {**STAGE, **overrides}}
                        for n, overrides in pieces.items()
                    ),
                ],
                "limits": self.limits,
                "tenants": [{"name": "w1", "api_keys": self.keys}],
            },
        )

    def rotate_keys(self) -> None:
        """Adds a key and, if there are more than two, revokes the oldest."""
        self.keys = [*self.keys, f"key-{self.version}"]
        self.published[self.keys[-1]] = asyncio.get_running_loop().time()
        if len(self.keys) > 2:
            self.revoked[self.keys.pop(0)] = asyncio.get_running_loop().time()
        self.publish()

    def write_again(self) -> None:
        """Writes what the operator and the replicas last wrote, if the store lost it."""
        self.write_configuration()
        for service, replica, state in list(self.registrations.values()):
            self.register(service, replica, state)

    def write_odd_entries(self) -> list[str]:
        """Writes entries of another writer, which name no target to use; returns their keys."""
        port = self.odd_server.sockets[0].getsockname()[1]
        row = {"service": "plain", "address": f"127.0.0.1:{port}", "zone": "z0", "state": "ready"}
        start = json.dumps(row)[:-1].encode()
        entries = {
            "odd-nested": b'{"a":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
            "odd-objects": b'{"a":' * 50_000 + b"1" + b"}" * 50_000,
            "odd-slots": start + b', "slots": 1' + b"0" * 23 + b', "born": 1}',
            "odd-born": start + b', "slots": 64, "born": 1' + b"0" * 23 + b"}",
            "odd-port": json.dumps({**row, "address": "127.0.0.1:70000", "slots": 64}).encode(),
            "odd-bytes": b"\xff{",
        }
        for key, value in entries.items():
            self.store.topics["keyed.servers"].append((key, value))
        self.store.notify()
        return list(entries)

    async def count_odd(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Counts a connection to the address of an odd entry."""
        self.odd_connections += 1
        writer.close()

    def streams_broken_off(self) -> set[str]:
        """Returns the streams that hosts left while their target was silent but sound."""
        return {
            request_id
            for _, replica in self.replicas
            for request_id, began_at, ended_at in replica.broken_off
            if not any(
                name == replica.name and began_at <= until and since <= ended_at
                for name, since, until in self.harmed
            )
        }

    # Fault injection.

    async def take_store_down(self, duration_s: float) -> None:
        """Makes the store fail for a time; such times may overlap."""
        self.store_outages += 1
        self.store.down = True
        await asyncio.sleep(duration_s)
        self.store_outages -= 1
        self.store.down = self.store_outages > 0

    async def restore_store(self, lost_s: float) -> None:
        """Brings the store back from a copy that is `lost_s` older than its outage.

        The operator publishes versions that are lost, writes the newest again, and then another
        one. Without the store, nobody writes.
        """
        async with self.drill:
            copy = self.store.copy()
            for _ in range(LOST_VERSIONS):
                self.rotate_keys()
                await asyncio.sleep(lost_s / LOST_VERSIONS)
            self.store_present.clear()
            await self.take_store_down(RESTORE_AWAY_S)
            self.store.restore(copy)
            self.store_present.set()
            await asyncio.sleep(lost_s / 3.0 * REWRITE_S)
            self.write_again()
            self.rotate_keys()

    async def inject(self, fault: Fault) -> None:
        """Injects a fault and returns when it is over; notes whom it disturbs, and when."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        if fault.kind in TARGET_FAULTS:
            # A connection ends a moment after the fault that broke it.
            until = began_at + fault.duration_s + 0.5
            self.harmed.append((self.select(fault)[1].name, began_at, until))
        await self.inject_fault(fault)
        if fault.kind in (*STORE_FAULTS, "restored"):
            self.outages.append((began_at, loop.time()))

    def select(self, fault: Fault) -> tuple[str, Replica]:
        """Returns the target that a fault affects, and its service."""
        return self.replicas[fault.selector % len(self.replicas)]

    async def inject_fault(self, fault: Fault) -> None:
        """Injects a fault and returns when it is over."""
        loop = asyncio.get_running_loop()
        host = self.hosts[fault.selector % len(self.hosts)]
        service, replica = self.select(fault)
        proxy = self.proxies[replica.address]
        match fault.kind:
            case "kill":
                host.disturbed_until = loop.time() + READY_TIMEOUT_S
                host.send(signal.SIGKILL)
            case "stop":
                host.send(signal.SIGTERM)
            case "many_signals":
                for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                    host.send(number)
            case "reload":
                host.send(signal.SIGHUP)
            case "freeze":
                host.disturbed_until = max(
                    host.disturbed_until, loop.time() + fault.duration_s + 0.5
                )
                host.send(signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                host.send(signal.SIGCONT)
            case "store_down":
                await self.take_store_down(fault.duration_s)
            case "restored":
                await self.restore_store(fault.duration_s)
            case "odd_entries":
                await self.store_present.wait()
                keys = self.write_odd_entries()
                await asyncio.sleep(fault.duration_s)
                await self.store_present.wait()
                for key in keys:
                    self.store.put("keyed.servers", key, None)
            case "pause":
                share = fault.duration_s / 3.0
                engines = [r for name, r in self.replicas if name == "engine"]
                engine = engines[fault.selector % len(engines)]
                engine.pause_s = PAUSE_S[0] + share * (PAUSE_S[1] - PAUSE_S[0])
                await asyncio.sleep(fault.duration_s)
                engine.pause_s = 0.0
            case "store_silent":
                self.store_proxy.silent = True
                await asyncio.sleep(fault.duration_s)
                self.store_proxy.clear_faults()
            case "store_reset":
                self.store_proxy.reset()
            case "silent" | "deaf":
                setattr(proxy, fault.kind, True)
                await asyncio.sleep(fault.duration_s)
                proxy.clear_faults()
            case "delay":
                proxy.delay_s = 0.05 + fault.duration_s / 10
                await asyncio.sleep(fault.duration_s)
                proxy.clear_faults()
            case "reset":
                proxy.reset()
            case "refuse":
                replica.refuse = True
                await asyncio.sleep(fault.duration_s)
                replica.refuse = False
            case "leave":
                await self.store_present.wait()
                self.register(service, replica, "draining")
                await asyncio.sleep(fault.duration_s)
                await self.store_present.wait()
                self.register(service, replica, "ready")
            case "rotate_keys":
                await self.store_present.wait()
                self.rotate_keys()
