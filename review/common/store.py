"""The platform's store: the keyed topics that operators and replicas write, with long polls."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from collections import defaultdict
from typing import Any

from aiohttp import web

from common.deployment import free_port

CONFIGURATION = "keyed.op"
REPLICAS = "keyed.servers"


class Store:
    """Keyed topics in memory. While `refusing` is set, every call of the system gets 503."""

    def __init__(self) -> None:
        self.topics: defaultdict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self.changed = asyncio.Event()
        self.refusing = False
        self.runner: web.AppRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Starts to listen."""
        app = web.Application()
        app.router.add_get("/api/log-newest", self.newest)
        app.router.add_get("/api/log-read", self.read)
        app.router.add_post("/api/log-append", self.append)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        port = free_port()
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stops listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Writes a value, or deletes the key if it is None."""
        self.topics[topic].append((key, b"" if value is None else json.dumps(value).encode()))
        self.wake()

    def refuse(self, refusing: bool) -> None:
        """Starts or ends the refusal of all calls of the system."""
        self.refusing = refusing
        self.wake()

    def wake(self) -> None:
        """Wakes the long polls."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def newest(self, request: web.Request) -> web.Response:
        """Returns the newest value of each key."""
        if self.refusing:
            return web.Response(status=503)
        records = self.topics[request.query["topic"]]
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in newest.items()
            if value
        ]
        return web.json_response({"entries": entries, "has_more": False, "end": len(records)})

    async def read(self, request: web.Request) -> web.Response:
        """Returns the records from an offset on, waiting up to `wait_ms` for a first one."""
        records, start = self.topics[request.query["topic"]], int(request.query["from"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query.get("wait_ms", 0)) / 1000
        while start >= len(records) and not self.refusing and loop.time() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - loop.time())
            except TimeoutError:
                break
        if self.refusing:
            return web.Response(status=503)
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(record)) + record
        return web.Response(body=body)

    async def append(self, request: web.Request) -> web.Response:
        """Appends records."""
        body = await request.read()
        if self.refusing:
            return web.Response(status=503)
        records = self.topics[request.query["topic"]]
        first, position = len(records), 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            record = body[position + 4 : position + 4 + size]
            records.append((record[1 : 1 + record[0]].decode(), record[1 + record[0] :]))
            position += 4 + size
        self.wake()
        return web.json_response({"offset": first, "end": len(records)})
