"""A stand-in for the platform's store: keyed topics with long polls."""

from __future__ import annotations

import asyncio
import base64
import struct
from collections import Counter, defaultdict
from typing import Any

import msgspec
from aiohttp import web


class KeyedStore:
    """Keyed topics in memory, created on first use.

    `down` makes every call fail; `calls` counts all calls. `era` rises with each restore from a
    copy; every answer carries it.
    """

    def __init__(self) -> None:
        self.topics: defaultdict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self.first_offsets: Counter[str] = Counter()
        self.changed = asyncio.Event()
        self.down = False
        self.calls = 0
        self.era = 1

    def copy(self) -> dict[str, list[tuple[str, bytes]]]:
        """Returns a copy of all records, for `restore`."""
        return {topic: list(records) for topic, records in self.topics.items()}

    def restore(self, copy: dict[str, list[tuple[str, bytes]]]) -> None:
        """Comes back from a copy: what was written since is gone, and so are its offsets."""
        self.topics = defaultdict(list, {topic: list(records) for topic, records in copy.items()})
        for topic, first in self.first_offsets.items():
            self.first_offsets[topic] = min(first, len(self.topics[topic]))
        self.era += 1
        self.notify()

    def put(self, topic: str, key: str, value: Any) -> int:
        """Writes a value, or deletes the key if it is None; returns the offset."""
        return self.put_bytes(topic, key, b"" if value is None else msgspec.json.encode(value))

    def put_bytes(self, topic: str, key: str, value: bytes) -> int:
        """Writes a value as it is, as another writer may; returns the offset."""
        self.topics[topic].append((key, value))
        self.notify()
        return len(self.topics[topic]) - 1

    def notify(self) -> None:
        """Wakes the reads that wait for a record."""
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self, topic: str) -> None:
        """Deletes all records but the newest of each key."""
        self.first_offsets[topic] = len(self.topics[topic])

    def app(self) -> web.Application:
        """Returns the web application."""
        app = web.Application()
        app.on_response_prepare.append(self.add_era)
        app.router.add_get("/api/log-newest", self.newest)
        app.router.add_get("/api/log-read", self.read)
        app.router.add_post("/api/log-append", self.append)
        return app

    async def add_era(self, request: web.Request, response: web.StreamResponse) -> None:
        """Adds the era to an answer."""
        response.headers["Store-Era"] = str(self.era)

    async def newest(self, request: web.Request) -> web.Response:
        """Returns the newest value of each key."""
        self.calls += 1
        if self.down:
            return web.Response(status=503)
        records = self.topics[request.query["topic"]]
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in newest.items()
            if value
        ]
        return web.json_response({"entries": entries, "has_more": False, "end": len(records)})

    async def append(self, request: web.Request) -> web.Response:
        """Appends records."""
        self.calls += 1
        body = await request.read()
        if self.down:
            return web.Response(status=503)
        records = self.topics[request.query["topic"]]
        start, position = len(records), 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            record = body[position + 4 : position + 4 + size]
            records.append((record[1 : 1 + record[0]].decode(), record[1 + record[0] :]))
            position += 4 + size
        self.notify()
        return web.json_response({"offset": start, "end": len(records)})

    async def read(self, request: web.Request) -> web.Response:
        """Returns the records from an offset on, waiting up to `wait_ms` for a first one."""
        self.calls += 1
        topic, start = request.query["topic"], int(request.query["from"])
        end_s = asyncio.get_running_loop().time() + int(request.query.get("wait_ms", 0)) / 1000
        while start == len(self.topics[topic]) and not self.down:
            remaining_s = end_s - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                break
        if self.down:
            return web.Response(status=503)
        if start < self.first_offsets[topic] or start > len(self.topics[topic]):
            return web.json_response({"first": self.first_offsets[topic]}, status=410)
        records = self.topics[topic]
        body = struct.pack(">QQ", len(records), self.first_offsets[topic])
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(record)) + record
        return web.Response(body=body)
