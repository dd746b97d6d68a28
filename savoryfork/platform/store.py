"""Client of the platform's store: the topics that the system follows, and its own one."""

from __future__ import annotations

import asyncio
import base64
import struct
from collections.abc import Sequence

import aiohttp
import msgspec

from savoryfork.forward.follower import Topic
from savoryfork.forward.knowledge import Entry
from savoryfork.forward.limits import DEFAULT_LIMITS, ReadLimits
from savoryfork.platform.records import MAX_TARGET_BYTES
from savoryfork.util.topic import LogUnavailable, OffsetExpired
from savoryfork.util.untrusted import decode_json, whole

TOPIC_NAMES = {
    Topic.CONFIGURATION: "keyed.op",
    Topic.TARGETS: "keyed.servers",
    Topic.CRASHES: "keyed.savoryfork-crashes",
}

# A read without a wait takes 4 ms by the users' specification, and up to 60 times that when slow.
READ_TIMEOUT_MS = 600.0
MAX_READ_KB = 1024

# Fields of a target's entry that change with every heartbeat and are not used here.
VOLATILE_FIELDS = ("sequence", "warmup_left_ms")

READ_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")


def decode_records(body: bytes, start: int) -> tuple[list[Entry], int, int]:
    """Decodes the response to a read from `start`: changes, the next offset, and the end offset.

    Raises LogUnavailable if the response is truncated or malformed.
    """
    try:
        end, oldest = READ_HEADER.unpack_from(body, 0)
        position, offset = READ_HEADER.size, max(start, oldest)
        changes = []
        while position < len(body):
            (size,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            record = body[position : position + size]
            if len(record) != size:
                raise LogUnavailable("a record is cut off")
            position += size
            if record:  # one without a key changes none
                key = record[1 : 1 + record[0]]
                value = record[1 + record[0] :]
                changes.append(Entry(offset, key.decode("utf-8", "replace"), value))
            offset += 1
    except struct.error as error:
        raise LogUnavailable("the answer of a read can't be decoded") from error
    return changes, offset, end


def encode_records(entries: Sequence[tuple[str, bytes]]) -> bytes:
    r"""Encodes the body of an append to a keyed topic.

    >>> encode_records([("k", b"v")])
    b'\x00\x00\x00\x03\x01kv'
    """
    body = bytearray()
    for key, value in entries:
        name = key.encode()
        record = bytes([len(name)]) + name + value
        body += RECORD_LENGTH.pack(len(record)) + record
    return bytes(body)


def normalize_entries(topic: Topic, entries: list[Entry]) -> list[Entry]:
    """Returns entries without the fields that change at every heartbeat."""
    return (
        [e._replace(value=strip_volatile_fields(e.value)) for e in entries]
        if (topic is Topic.TARGETS)
        else entries
    )


def strip_volatile_fields(value: bytes) -> bytes:
    """Returns a target's entry without its volatile fields; a malformed one stays unchanged.

    >>> strip_volatile_fields(b'{"slots":2,"sequence":7}')
    b'{"slots":2}'
    >>> strip_volatile_fields(b"[1]"), strip_volatile_fields(b"")
    (b'[1]', b'')
    """
    try:
        row = decode_json(value) if 0 < len(value) <= MAX_TARGET_BYTES else None
        if not isinstance(row, dict):
            return value
        return msgspec.json.encode({k: v for k, v in row.items() if k not in VOLATILE_FIELDS})
    except (ValueError, OverflowError, RecursionError):
        return value


class PlatformStore:
    """Reads keyed topics over HTTP; `calls` counts the requests."""

    def __init__(self, address: str, limits: ReadLimits = DEFAULT_LIMITS) -> None:
        self.url = f"http://{address}/api"
        self.limits = limits
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        self.calls = 0

    async def close(self) -> None:
        """Closes the connections."""
        await self.session.close()

    async def newest(self, topic: Topic) -> tuple[list[Entry], int]:
        """Returns the newest value of each key, and the offset at which to continue reading.

        The pages are not a consistent snapshot. The end offset of the first page is returned, so
        that changes between pages are read again. Raises LogUnavailable, also if the pages exceed
        the limit of a snapshot.
        """
        changes: list[Entry] = []
        total_bytes = 0
        start_offset: int | None = None
        params = {"topic": TOPIC_NAMES[topic], "part": "0"}
        while True:
            body = await self.call("log-newest", params, 0.0)
            total_bytes += len(body)
            if total_bytes > self.limits.snapshot_bytes:
                raise LogUnavailable(f"{TOPIC_NAMES[topic]}: the snapshot is too large")
            try:
                page = decode_json(body)
                for row in page["entries"]:
                    value = base64.b64decode(row.get("value") or "")
                    changes.append(Entry(whole(row["offset"], "offset"), str(row["key"]), value))
                start_offset = whole(page["end"], "end") if start_offset is None else start_offset
                if not page.get("has_more") or not page["entries"]:
                    return normalize_entries(topic, changes), start_offset
                params = {**params, "after": str(page["entries"][-1]["key"])}
            except (LookupError, TypeError, ValueError, AttributeError, OverflowError) as error:
                raise LogUnavailable(
                    f"{TOPIC_NAMES[topic]}: the answer can't be decoded"
                ) from error

    async def read(self, topic: Topic, offset: int, wait_ms: float) -> tuple[list[Entry], int, int]:
        """Reads entries from `offset` on, waiting up to `wait_ms` for the first one.

        Returns them with the next offset to read and the end offset of the topic. Raises
        OffsetExpired or LogUnavailable.
        """
        params = {
            "topic": TOPIC_NAMES[topic],
            "part": "0",
            "from": str(offset),
            "max_kb": str(MAX_READ_KB),
        }
        if wait_ms:
            params["wait_ms"] = str(int(wait_ms))
        body = await self.call("log-read", params, wait_ms)
        changes, next_offset, end = decode_records(body, offset)
        return normalize_entries(topic, changes), next_offset, end

    async def append(self, topic: Topic, entries: Sequence[tuple[str, bytes]]) -> None:
        """Appends a value for each key; an empty one deletes the key. Raises LogUnavailable."""
        params = {"topic": TOPIC_NAMES[topic], "part": "0"}
        await self.call("log-append", params, 0.0, encode_records(entries))

    async def read_body(self, name: str, response: aiohttp.ClientResponse) -> bytes:
        """Reads the body of a response; raises LogUnavailable if it exceeds the limit."""
        body = bytearray()
        while part := await response.content.readany():
            body += part
            if len(body) > self.limits.store_bytes:
                response.close()
                raise LogUnavailable(f"{name}: the answer is too large")
        return bytes(body)

    async def call(
        self, name: str, params: dict[str, str], wait_ms: float, data: bytes | None = None
    ) -> bytes:
        """Calls the store, by POST if there is data.

        Every failure except an expired offset raises LogUnavailable. The client closes a connection
        that timed out and never reuses it.
        """
        self.calls += 1
        method = "GET" if data is None else "POST"
        url = f"{self.url}/{name}"
        try:
            async with asyncio.timeout((READ_TIMEOUT_MS + wait_ms) / 1000):
                async with self.session.request(method, url, params=params, data=data) as response:
                    body = await self.read_body(name, response)
                    status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise LogUnavailable(f"{name}: {type(error).__name__}") from error
        if status == 410:
            raise OffsetExpired(0, 0)
        if status != 200:
            raise LogUnavailable(f"{name}: status {status}")
        return body
