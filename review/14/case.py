"""A key is taken away, and its holder goes on to use it on an anonymous route; see claim.txt."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from parts_3.site import BOUNDS, Site, run_case
from parts_3.wire import Client, encode, read_message

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = Path(__file__).with_name("record.txt")

REVOKE_AT_S = 3.0
DURATION_S = 16.0
PAUSE_S = 0.2
HOSTS = 2
SERVICE = "calendar"

TENANT_1 = {"name": "tenant-1", "api_keys": ["key-1"], "priority": 1}
TENANT_2 = {"name": "tenant-2", "api_keys": ["key-2"], "priority": 1}
NO_KEYS = {"name": "tenant-2", "api_keys": [], "priority": 1}


class Replica:
    """A replica of a plain service; `ran` holds the ids of the requests that it ran."""

    def __init__(self, name: str, log: list[str]) -> None:
        self.name = name
        self.log = log
        self.seals = itertools.count()
        self.ran: set[str] = set()

    async def start(self) -> str:
        """Listens and returns the address."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        try:
            while True:
                request = await read_message(reader)
                if request.headers.get("expect-instance", self.name) != self.name:
                    writer.write(
                        encode("HTTP/1.1 421 Misdirected Request", {"Instance-Id": self.name}, b"")
                    )
                    continue
                request_id = request.headers["request-id"]
                self.ran.add(request_id)
                tenant = request.headers.get("tenant")
                self.log.append(f"{self.name} run {request_id} {request.line} tenant {tenant}")
                await asyncio.sleep(0.03)
                seal = f"{self.name}.{next(self.seals)}"
                headers = {"Request-Id": request_id, "Response-Seal": seal}
                writer.write(encode("HTTP/1.1 200 OK", headers, b"done " + request_id.encode()))
        except (EOFError, OSError):
            pass
        finally:
            writer.close()


async def use_key(
    name: str, address: str, path: str, until: float, sent: dict[str, float], log: list[str]
) -> None:
    """Sends requests with the second tenant's key; `sent` gets the time of each."""
    client = Client(address)
    loop = asyncio.get_running_loop()
    for count in itertools.count():
        if loop.time() >= until:
            break
        request_id = f"{name}-{count}"
        headers = {
            "Host": "a.example",
            "Request-Id": request_id,
            "Deadline-Ms": "4000",
            "Key": "key-2",
        }
        sent[request_id] = loop.time()
        answer = await client.ask(f"GET /{path}/1 HTTP/1.1", headers, None, 5.0)
        status = "no answer" if answer is None else answer.status
        log.append(f"client {request_id} /{path}/ sent {sent[request_id]:.3f} -> {status}")
        await asyncio.sleep(PAUSE_S)
    client.close()


def publish(site: Site, tenants: list[dict[str, Any]]) -> int:
    """Writes a version of the configuration with the given tenants."""
    route: dict[str, Any] = {
        "host": "a.example",
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "priority": 2,
        "service": SERVICE,
        "route_kind": "idempotent",
        "max_attempts": 2,
    }
    routes = [
        {**route, "name": "keyed", "path_prefix": "/keyed/", "allow_anonymous": False},
        {**route, "name": "open", "path_prefix": "/open/", "allow_anonymous": True},
    ]
    services = [{"name": SERVICE, "health_path": "/health", "max_connections": 110}]
    return site.publish(routes, services, tenants)


async def play(log: list[str]) -> int:
    """Plays the case; returns the exit code."""
    site = Site(HOSTS)
    publish(site, [TENANT_1, TENANT_2])
    replicas = [Replica(f"i-{n}", log) for n in range(2)]
    for number, replica in enumerate(replicas):
        entry = {
            "service": SERVICE,
            "address": await replica.start(),
            "zone": f"z{number}",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": time.time_ns() // 1_000_000,
        }
        site.store.put("keyed.servers", replica.name, entry)
    sent: dict[str, float] = {}
    try:
        await site.start()
        loop = asyncio.get_running_loop()
        until = loop.time() + DURATION_S
        clients = [
            asyncio.create_task(use_key(f"{path}{n}", host.callers, path, until, sent, log))
            for n, host in enumerate(site.hosts)
            for path in ("keyed", "open")
        ]
        await asyncio.sleep(REVOKE_AT_S)
        revoked_at = float("inf")
        if TROUBLE:
            version = publish(site, [TENANT_1, NO_KEYS])
            revoked_at = loop.time()
            log.append(f"version {version} without key-2 acknowledged at {revoked_at:.3f}")
        await asyncio.gather(*clients)
    finally:
        await site.stop()
    bound_s = BOUNDS["revoke_ms"] / 1000
    ran = set().union(*(replica.ran for replica in replicas))
    late = sorted(name for name in ran if sent[name] > revoked_at + bound_s)
    kinds = {path: sum(name.startswith(path) for name in late) for path in ("keyed", "open")}
    log.append(f"run {len(ran)}; sent over {bound_s:.0f} s after the revocation and run: {kinds}")
    if len(ran) < 20:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run_case(play, RECORD))
