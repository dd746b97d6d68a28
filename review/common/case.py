"""Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from common import replicas, store, wire
from common.deployment import Host
from common.record import Record
from common.replicas import Replica
from common.store import Store

__all__ = ["Case", "replicas", "run", "store", "wire"]

# Limit of the whole case.
TIMEOUT_S = 115.0

BATCH = {"slots": 1, "queue": 2, "link_mbps": 10000, "handle_s": replicas.HANDLE_S}


class Case:
    """A deployment of stand-ins and hosts. `trouble` is False for a run without the disruption."""

    def __init__(self, folder: Path, record: Record, trouble: bool) -> None:
        self.folder = folder
        self.record = record
        self.trouble = trouble
        self.store = Store()
        self.hosts: list[Host] = []
        self.replicas: list[Replica] = []

    async def add_replicas(self, *added: Replica) -> None:
        """Starts replicas and registers them."""
        for replica in added:
            await replica.start()
            self.replicas.append(replica)
            self.store.put(store.REPLICAS, replica.name, replica.entry())

    def publish(
        self, version: int, routes: list[dict[str, Any]], services: list[Any], keys: list[str]
    ) -> None:
        """Writes a configuration."""
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": "bozi300", "api_keys": keys, "priority": 1}],
        }
        self.store.put(store.CONFIGURATION, "config", document)
        self.record.write(f"configuration {version} is acknowledged, keys {keys}")

    async def stop(self) -> None:
        """Ends everything that was started."""
        for host in self.hosts:
            await host.kill()
        for replica in self.replicas:
            replica.exit()
        await self.store.stop()


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Returns the row of a route under the prefix of its name."""
    return {
        "name": name,
        "host": "kiln.example",
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 15000,
        "target_latency_ms": 1600,
        "priority": 2,
        "service": service,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        "stages": [],
        "allow_anonymous": False,
        "session_affinity": False,
        "stream_resume": False,
        "target_gap_ms": 150,
        **fields,
    }


def plain_request(
    method: str, path: str, request_id: str, key: str, deadline_ms: int = 4000
) -> bytes:
    """Returns a caller's request to a plain service."""
    headers = [
        ("Host", "kiln.example"),
        ("Request-Id", request_id),
        ("Deadline-Ms", str(deadline_ms)),
        ("Key", key),
    ]
    return wire.encode(f"{method} {path} HTTP/1.1", headers, None if method == "GET" else b"")


def stream_request(path: str, request_id: str, key: str, pieces: str, piece_key: str) -> bytes:
    """Returns a caller's request for a stream with stages."""
    headers = [
        ("Host", "kiln.example"),
        ("Request-Id", request_id),
        ("Deadline-Ms", "15000"),
        ("Key", key),
        ("Model", "m"),
        ("Token-Usage", "700,9"),
        ("Prefix-Hash", f"5c1e07a2:170,{request_id}:530"),
        ("Pieces", pieces),
        ("Piece-Key", piece_key),
    ]
    return wire.encode(f"POST {path} HTTP/1.1", headers, b"")


async def play(body: Callable[[Case], Awaitable[list[str]]], case: Case) -> list[str]:
    """Plays a case and returns how the rule was broken."""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            await case.store.start()
            return await body(case)
    finally:
        await case.stop()


def run(body: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Runs a case and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        try:
            broken = asyncio.run(play(body, Case(folder, record, trouble)))
        except Exception:
            record.write(f"the case could not run: {traceback.format_exc()}")
            traceback.print_exc()
            sys.exit(2)
        finally:
            for log in sorted(folder.glob("host-*.log")):
                record.write(f"end of {log.name}:\n{log.read_text()[-2000:]}")
    for line in broken:
        record.write(f"BROKEN {line}")
    print(f"{len(broken)} times broken", *broken[:3], sep="\n  ")
    sys.exit(1 if broken else 0)
