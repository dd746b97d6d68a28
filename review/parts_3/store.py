"""A stand-in for the platform's store: keyed topics with long polls, as PROTOCOL.md states them."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from collections import defaultdict
from typing import Any

from aiohttp import web


class Store:
    """Keyed topics in memory, created on first use."""

    def __init__(self) -> None:
        self.topics: defaultdict[str, list[tuple[bytes, bytes]]] = defaultdict(list)
        self.changed = asyncio.Event()

    def put(self, topic: str, key: str, value: Any) -> int:
        """Appends a value as JSON, or deletes the key if it is None; returns the offset."""
        data = b"" if value is None else json.dumps(value).encode()
        self.append_records(topic, [(key.encode(), data)])
        return len(self.topics[topic]) - 1

    def append_records(self, topic: str, records: list[tuple[bytes, bytes]]) -> None:
        """Appends records and wakes the long polls."""
        self.topics[topic].extend(records)
        self.changed.set()
        self.changed = asyncio.Event()

    def app(self) -> web.Application:
        """Returns the web application."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_get("/api/log-newest", self.newest)
        app.router.add_get("/api/log-read", self.read)
        app.router.add_post("/api/log-append", self.append)
        return app

    async def newest(self, request: web.Request) -> web.Response:
        """Returns the newest value of each key in one page."""
        records = self.topics[request.query["topic"]]
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        entries = [
            {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in newest.items()
            if value
        ]
        return web.json_response({"entries": entries, "has_more": False, "end": len(records)})

    async def append(self, request: web.Request) -> web.Response:
        """Appends the records of one call."""
        topic = request.query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return web.Response(status=403)
        body = await request.read()
        records, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            record = body[position + 4 : position + 4 + size]
            records.append((record[1 : 1 + record[0]], record[1 + record[0] :]))
            position += 4 + size
        start = len(self.topics[topic])
        self.append_records(topic, records)
        return web.json_response({"offset": start, "end": len(self.topics[topic])})

    async def read(self, request: web.Request) -> web.Response:
        """Returns the records from an offset on; waits up to `wait_ms` for a first one."""
        topic, start = request.query["topic"], int(request.query["from"])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(request.query.get("wait_ms", 0)) / 1000
        while start >= len(self.topics[topic]) and (left_s := end_s - loop.time()) > 0:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                break
        records = self.topics[topic]
        if start > len(records):
            return web.json_response({"first": 0}, status=410)
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            record = bytes([len(key)]) + key + value
            body += struct.pack(">I", len(record)) + record
        return web.Response(body=body, content_type="application/octet-stream")
