"""Forwarding hosts as processes, started with the command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import socket
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]

# Below the ports that the system draws for outgoing connections.
PORTS = range(18_000, 32_000)

READY_TIMEOUT_S = 30.0

PLACEHOLDER = re.compile(r"\{\{([a-z_.0-9]+)\|json\}\}")

# The bounds of the site fri-calcare that the template uses.
BOUNDS = {
    "grace_s": 8,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 58,
}


# The ports that this process has drawn.
DRAWN: set[int] = set()


def free_port() -> int:
    """Returns a port on which nothing listens, a different one each time."""
    while True:
        port = random.choice(PORTS)
        if port in DRAWN:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        DRAWN.add(port)
        return port


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fills in a settings template with the platform's fields."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for name in match[1].split("."):
            found = found[name]
        return json.dumps(found)

    return PLACEHOLDER.sub(value, template)


class Host:
    """One forwarding host: a process with its own settings file."""

    def __init__(self, number: int, peer: str, seeds: list[str], store: str, folder: Path) -> None:
        self.callers = free_port()
        self.ready = free_port()
        self.folder = folder
        self.number = number
        self.process: asyncio.subprocess.Process | None = None
        self.settings = folder / f"settings-{number}"
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (self.role,) = deploy["roles"].values()
        metrics = free_port()
        fields = {
            "node_name": f"front-ragusa-{number}",
            "zone": "ragusa",
            "ip": "127.0.0.1",
            "listen_addrs": {
                "front": f"127.0.0.1:{self.callers}",
                "ready_addr": f"127.0.0.1:{self.ready}",
                "control_plane": peer,
            },
            "internal_ports": [metrics, metrics],
            "seed_nodes": seeds,
            "platform": {"address": store},
            "bounds": BOUNDS,
            "limits": {"cpu_share": 0.537, "cpu_cores": 2, "link_mbps": 1000.0},
        }
        self.settings.write_text(fill((ROOT / self.role["template"]).read_text(), fields))

    async def start(self) -> None:
        """Starts the process."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with (self.folder / f"host-{self.number}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.role["run"].split(),
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "SAVORYFORK_SETTINGS": str(self.settings),
                },
                stdout=log,
                stderr=log,
            )

    async def until_ready(self) -> None:
        """Waits until the host reports that it is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                assert self.process is not None
                if self.process.returncode is not None:
                    raise RuntimeError(f"host {self.number} has ended by itself")
                await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Returns whether the host reports that it is ready."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
        except OSError:
            return False
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: host\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    async def kill(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def make_hosts(count: int, store: str, folder: Path) -> list[Host]:
    """Returns hosts that know each other as seeds."""
    peers = [f"127.0.0.1:{free_port()}" for _ in range(count)]
    return [Host(n, peer, peers[:3], store, folder) for n, peer in enumerate(peers)]


async def start_hosts(hosts: list[Host]) -> None:
    """Starts hosts and waits until all are ready."""
    for host in hosts:
        await host.start()
    await asyncio.gather(*(host.until_ready() for host in hosts))
