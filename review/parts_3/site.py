"""A small deployment: forwarding hosts as processes, started by the deploy file's command."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from aiohttp import web

from parts_3.store import Store

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = ROOT / "deploy" / "system.toml"

# A case may run for 120 s; the rest is for its end.
RUN_LIMIT_S = 100.0

# The bounds of fri-calcare, from SYSTEM.md.
BOUNDS: dict[str, Any] = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "sync_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "lost_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 58,
    "recovery_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 8.7,
}

TENANTS = [{"name": "tenant-1", "api_keys": ["key-1"], "priority": 1}]

LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}


def free_ports(count: int) -> list[int]:
    """Returns ports that were free a moment ago, outside the usual range of outgoing connections."""
    sockets: list[socket.socket] = []
    try:
        while len(sockets) < count:
            candidate = socket.socket()
            try:
                candidate.bind(("127.0.0.1", random.randrange(20_000, 32_000)))
            except OSError:
                candidate.close()
                continue
            sockets.append(candidate)
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def lookup(fields: dict[str, Any], path: str) -> Any:
    """Returns the value of a template's placeholder; None if there is none."""
    value: Any = fields
    for name in path.split("."):
        value = value.get(name) if isinstance(value, dict) else None
    return value


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fills in the placeholders of the form that the project's template uses."""
    return re.sub(
        r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(lookup(fields, m.group(1))), template
    )


class Host:
    """One forwarding host."""

    def __init__(self, name: str, zone: str, fields: dict[str, Any], folder: Path) -> None:
        self.name = name
        self.callers: str = fields["listen_addrs"]["front"]
        self.ready: str = fields["listen_addrs"]["ready_addr"]
        role = next(iter(tomllib.loads(DEPLOY.read_text())["roles"].values()))
        self.command: list[str] = role["run"].split()
        self.path = folder / f"{name}.json"
        self.path.write_text(fill((ROOT / role["template"]).read_text(), fields))
        self.log = (folder / f"{name}.log").open("ab")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SAVORYFORK_SETTINGS": str(self.path),
        }
        command = [sys.executable if w == "python3" else w for w in self.command]
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )

    async def is_ready(self) -> bool:
        """Asks as the balancer does."""
        ip, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def until_ready(self) -> None:
        """Waits until the host is ready."""
        async with asyncio.timeout(30.0):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def send(self, number: int) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Ends the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self.log.close()


class Site:
    """Hosts, the store, and what the operator and the replicas write."""

    def __init__(self, hosts: int, bounds: dict[str, Any] | None = None) -> None:
        self.host_count = hosts
        self.bounds = BOUNDS | (bounds or {})
        self.store = Store()
        self.hosts: list[Host] = []
        self.version = 0
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Starts the store and the hosts; the configuration must have been written."""
        self.runner = web.AppRunner(self.store.app(), access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        assert site._server is not None
        port = site._server.sockets[0].getsockname()[1]  # type: ignore[attr-defined]
        drawn = free_ports(4 * self.host_count)
        ports = [drawn[4 * n : 4 * n + 4] for n in range(self.host_count)]
        seeds = [f"127.0.0.1:{p[2]}" for p in ports[:3]]
        for number, (front, ready, control, internal) in enumerate(ports):
            zone = f"z{number % 2}"
            fields = {
                "node_name": f"front-{number}",
                "zone": zone,
                "ip": "127.0.0.1",
                "listen_addrs": {
                    "front": f"127.0.0.1:{front}",
                    "ready_addr": f"127.0.0.1:{ready}",
                    "control_plane": f"127.0.0.1:{control}",
                },
                "internal_ports": [internal, 65_535],
                "seed_nodes": seeds,
                "limits": {
                    "cpu_share": 0.537,
                    "cpu_cores": 2,
                    "memory_mb": 300,
                    "max_fds": 4100,
                    "link_mbps": 1000.0,
                    "disk_mb": 0,
                },
                "bounds": self.bounds,
                "platform": {"address": f"127.0.0.1:{port}"},
            }
            host = Host(f"front-{number}", zone, fields, Path(self.folder.name))
            self.hosts.append(host)
            await host.start()
        await asyncio.gather(*(host.until_ready() for host in self.hosts))

    async def stop(self) -> None:
        """Ends all processes and the store."""
        await asyncio.gather(*(host.stop() for host in self.hosts))
        if self.runner is not None:
            await self.runner.cleanup()
        if keep := os.environ.get("KEEP_LOGS"):
            for path in Path(self.folder.name).iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self.folder.cleanup()

    def publish(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        tenants: list[dict[str, Any]] | None = None,
    ) -> int:
        """Writes the next version of the configuration; returns it."""
        self.version += 1
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": LIMITS,
                "tenants": tenants or TENANTS,
            },
        )
        return self.version


def run_case(play: Any, record: Path) -> int:
    """Runs a case within its time and writes its record; returns the exit code.

    `play(log)` returns the exit code. Whatever stops it, the processes that it started are ended.
    """
    log: list[str] = []

    async def bounded() -> int:
        async with asyncio.timeout(RUN_LIMIT_S):
            code: int = await play(log)
            return code

    try:
        return asyncio.run(bounded())
    except (TimeoutError, OSError, RuntimeError) as error:
        log.append(f"could not run: {error!r}")
        return 2
    finally:
        record.write_text("\n".join(log) + "\n")
        print(log[-1] if log else "")
