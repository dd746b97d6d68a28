"""A small deployment for the scripted cases: store, replicas and clients in this process, hosts as
separate processes started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import ctypes
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections import defaultdict
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]

# As on the sheet of the smallest deployment.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "sync_s": 4,
    "drain_ms": 2000, "grace_s": 8, "lost_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "outer_ms": 5000, "strict_revoke": True, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 58, "recovery_s": 12,
    "pass_ms": 120, "reuse_window_s": 8.7,
}  # fmt: skip
LIMITS = {"cpu_share": 0.537, "cpu_cores": 2, "memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0,
          "disk_mb": 0}  # fmt: skip
CALLER_LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                 "idle_timeout_ms": 15000}  # fmt: skip


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent() -> None:
    """Makes the kernel end this child when the script that started it is gone."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def trouble() -> bool:
    """Returns whether the disruption is played; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a run, written to record.txt in the case's folder."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.started = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        self.lines.append(f"{time.monotonic() - self.started:8.3f} s  {text}")

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


class Ports:
    """Free loopback ports, kept bound at another loopback address so that no one else draws them."""

    def __init__(self) -> None:
        self.held: list[socket.socket] = []

    def draw(self) -> int:
        while True:
            probe = socket.socket()
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
            probe.close()
            port = 18_000 + port % 14_000  # below the range of outgoing connections
            held = socket.socket()
            try:
                held.bind(("127.0.0.64", port))
                with socket.socket() as check:
                    check.bind(("127.0.0.1", port))
            except OSError:
                held.close()
                continue
            self.held.append(held)
            return port

    def address(self) -> str:
        return f"127.0.0.1:{self.draw()}"


# HTTP, server side.


class Request:
    """A request as it was received."""

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        return self.headers.get("request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads a head; returns its first line and its headers by lowercase name."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


def encode(status: str, headers: dict[str, str], body: bytes) -> bytes:
    """Encodes an answer with a length."""
    lines = [f"HTTP/1.1 {status}", *(f"{n}: {v}" for n, v in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


Handler = Callable[[Request, asyncio.StreamWriter, dict[str, Any]], Awaitable[bytes | None]]


class HttpServer:
    """Serves HTTP/1.1 on a loopback port; each connection has a dict for its state.

    A handler returns the bytes of the answer, or None to close the connection.
    """

    def __init__(self, handle: Handler) -> None:
        self.handle = handle
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=2**20)
        self.address = f"127.0.0.1:{port}"
        return self.address

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        state: dict[str, Any] = {}
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                request = Request(method, path, headers, await read_body(reader, headers))
                answer = await self.handle(request, writer, state)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def abort(self) -> None:
        """Ends all connections and stops to listen, as a crash does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# The platform's store.


class Store:
    """The platform's log, as far as hosts use it: keyed topics with one partition."""

    def __init__(self) -> None:
        self.topics: defaultdict[str, list[tuple[bytes, bytes]]] = defaultdict(list)
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)

    def put(self, topic: str, key: str, value: Any) -> None:
        """Writes a value as the operator or a replica does; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.topics[topic].append((key.encode(), data))
        self.wake()

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(
        self, request: Request, writer: asyncio.StreamWriter, state: dict[str, Any]
    ) -> bytes:
        await asyncio.sleep(0.004)
        path, _, query = request.path.partition("?")
        fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        records = self.topics[fields.get("topic", "")]
        if path == "/api/log-newest":
            newest = {key: (n, value) for n, (key, value) in enumerate(records)}
            entries = [
                {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": n}
                for key, (n, value) in newest.items()
                if value
            ]
            found = {"entries": entries, "has_more": False, "end": len(records)}
            return self.json(found)
        if path == "/api/log-append":
            start, position = len(records), 0
            while position < len(request.body):
                (size,) = struct.unpack_from(">I", request.body, position)
                record = request.body[position + 4 : position + 4 + size]
                records.append((record[1 : 1 + record[0]], record[1 + record[0] :]))
                position += 4 + size
            self.wake()
            return self.json({"offset": start, "end": len(records)})
        if path == "/api/log-read":
            first = int(fields["from"])
            until = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000
            while first >= len(records) and (left := until - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    break
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[first:]:
                record = bytes([len(key)]) + key + value
                body += struct.pack(">I", len(record)) + record
            return encode("200 OK", {"Content-Type": "application/octet-stream"}, body)
        return encode("404 Not Found", {}, b"")

    def json(self, value: Any) -> bytes:
        return encode("200 OK", {"Content-Type": "application/json"}, json.dumps(value).encode())


# Hosts.


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fills in the placeholders of the settings template that name a value as JSON."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found)

    return re.sub(r"\{\{([a-z_.0-9]+)\|json\}\}", value, template)


class Host:
    """A host's process."""

    def __init__(self, number: int, fields: dict[str, Any], folder: Path) -> None:
        self.number = number
        self.fields = fields
        self.callers = fields["listen_addrs"]["front"]
        self.ready = fields["listen_addrs"]["ready_addr"]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["host"]
        self.command = deploy["run"].split()
        self.settings = folder / f"host-{number}.json"
        self.settings.write_text(fill((ROOT / deploy["template"]).read_text(), fields))
        self.log = folder / f"host-{number}.log"
        self.log_start = 0
        self.starts = 0
        self.process: asyncio.subprocess.Process | None = None

    def mark_log(self) -> None:
        """Lets `has_logged` read only what the host logs from now on."""
        self.log_start = self.log.stat().st_size

    def has_logged(self, text: str) -> bool:
        """Returns whether the host has logged a text since the last mark."""
        return text.encode() in self.log.read_bytes()[self.log_start :]

    async def start(self) -> None:
        self.starts += 1
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "SAVORYFORK_SETTINGS": str(self.settings),
                },
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )

    def send(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                status, _, _ = await call(self.ready, "GET", "/api/ready", {})
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200


class Bed:
    """A deployment of some hosts, each in a zone of its own; `async with` starts and ends it."""

    def __init__(self, hosts: int, config: dict[str, Any]) -> None:
        self.host_count = hosts
        self.config = {"limits": CALLER_LIMITS, **config}
        self.ports = Ports()
        self.store = Store()
        self.hosts: list[Host] = []
        self.servers: list[HttpServer] = []
        self.stale_seeds = 0  # seeds in the settings at which nothing listens

    async def __aenter__(self) -> Bed:
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.store_address = await self.store.server.start(self.ports.draw())
        self.store.put("keyed.op", "config", self.config)
        return self

    async def start_hosts(self) -> None:
        """Starts the hosts and waits until all are ready."""
        peers = [self.ports.address() for _ in range(self.host_count)]
        stale = [self.ports.address() for _ in range(self.stale_seeds)]
        zones = {f"z{n}": "r" for n in range(self.host_count)}
        for number, peer in enumerate(peers):
            fields = {
                "node_name": f"front-z{number}-1", "role": "host", "machine_class": "front",
                "ip": "127.0.0.1", "zone": f"z{number}", "region": "r", "zones": zones,
                "listen_addrs": {"front": self.ports.address(), "ready_addr": self.ports.address(),
                                 "control_plane": peer},
                "internal_ports": [self.ports.draw(), 65535], "seed_nodes": [*stale, *peers][:3],
                "limits": LIMITS, "bounds": BOUNDS, "platform": {"address": self.store_address},
            }  # fmt: skip
            self.hosts.append(Host(number, fields, Path(self.folder.name)))
        for host in self.hosts:
            await host.start()
        await self.until_ready()

    async def until_ready(self, seconds: float = 30.0) -> None:
        async with asyncio.timeout(seconds):
            for host in self.hosts:
                while not await host.is_ready():
                    if host.process is not None and host.process.returncode is not None:
                        raise RuntimeError(f"host {host.number} ended: {host.log.read_text()}")
                    await asyncio.sleep(0.05)

    async def __aexit__(self, *details: object) -> None:
        for host in self.hosts:
            await host.end()
        for server in [*self.servers, self.store.server]:
            server.abort()
        self.folder.cleanup()

    async def serve(self, handle: Handler) -> HttpServer:
        """Starts a server on a free port."""
        server = HttpServer(handle)
        await server.start(self.ports.draw())
        self.servers.append(server)
        return server

    def register(self, name: str, service: str, address: str, **fields: Any) -> None:
        """Writes a replica's entry."""
        row = {
            "service": service, "address": address, "zone": "z0", "version": "v1", "slots": 6,
            "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1_700_000_000_000,
        }  # fmt: skip
        self.store.put("keyed.servers", name, {**row, **fields})


# Clients.


async def call(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> tuple[int, dict[str, str], bytes]:
    """Sends one request on a new connection; returns status, headers and body."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
        if "Host" not in headers:
            lines.append(f"Host: {address}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "Connection: close", "", ""]).encode() + body)
        line, found = await read_head(reader)
        return int(line.split(" ")[1]), found, await read_body(reader, found)
    finally:
        writer.close()


def run(case: Callable[[Record], Awaitable[bool]], folder: Path, limit_s: float = 110.0) -> None:
    """Runs a case, which returns whether the rule was broken, and exits with its result."""
    record = Record(folder)

    async def bounded() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        broken = asyncio.run(bounded())
    except BaseException as error:  # the case could not run
        record.add(f"could not run: {error!r}")
        record.write()
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.add("the rule was broken" if broken else "the rule held")
    record.write()
    print(record.lines[-1])
    sys.exit(1 if broken else 0)
