"""Client of the platform's store: the topics that the system follows, and its own one."""

from __future__ import annotations

import asyncio
import base64
import struct
from collections.abc import Sequence

import aiohttp
import msgspec

from savoryfork.forward.knowledge import UNKNOWN_REVISION, Entry, Revision
from savoryfork.forward.limits import DEFAULT_LIMITS, ReadLimits
from savoryfork.forward.topics import CONFIGURATION_KEY, StoreRead, Topic
from savoryfork.platform.records import MAX_TARGET_BYTES, decode_evacuation, warmup_mark
from savoryfork.util.topic import LogUnavailable, OffsetExpired
from savoryfork.util.untrusted import UndecodableError, decode_json, split_json, whole

TOPIC_NAMES = {
    Topic.CONFIGURATION: "keyed.op",
    Topic.TARGETS: "keyed.servers",
    Topic.CRASHES: "keyed.savoryfork-crashes",
}

# A read without a wait takes 4 ms by the users' specification, and up to 60 times that when slow.
READ_TIMEOUT_MS = 600.0
MAX_READ_KB = 1024

# Fields of a target's entry that change with every heartbeat. Of the second one, a mark is kept
# that changes only between cold and warm; see `warmup_mark`.
VOLATILE_FIELDS = ("sequence", "warmup_left_ms")

# The header of every answer by which the store tells its era, 0 if it has none.
ERA_HEADER = "Store-Era"
MAX_ERA_DIGITS = 18

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


def decode_first_offset(body: bytes) -> int:
    """Decodes the answer to a read of expired records: the first offset that is retained.

    >>> decode_first_offset(b'{"first":7}'), decode_first_offset(b"[")
    (7, 0)
    """
    try:
        return whole(decode_json(body)["first"], "first")
    except (UndecodableError, LookupError, TypeError):
        return 0


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


def normalize_entries(
    topic: Topic, entries: list[Entry], era: int, *, records: bool
) -> list[Entry]:
    """Returns entries with their era and revision, without fields that change at every heartbeat.

    `records` is False for a snapshot, whose values may be older than the era of the store.
    """
    if topic is Topic.CONFIGURATION:
        return [
            normalize_operator_entry(e, era, records)
            for e in entries
            if e.key == CONFIGURATION_KEY or decode_evacuation(e.key) is not None
        ]
    if topic is Topic.TARGETS:
        return [normalize_target(e)._replace(era=era) for e in entries]
    return [e._replace(era=era, revision=era_revision(era, records)) for e in entries]


def era_revision(era: int, records: bool) -> Revision:
    """Returns the revision of an entry without a version of its own; see `normalize_entries`."""
    return (era, 0) if records else UNKNOWN_REVISION


def normalize_operator_entry(entry: Entry, era: int, records: bool) -> Entry:
    """Returns the configuration, or an evacuation, with its era and revision."""
    if entry.key == CONFIGURATION_KEY:
        return entry._replace(era=era, revision=config_revision(entry.value))
    return entry._replace(era=era, revision=era_revision(era, records))


class ConfigVersion(msgspec.Struct):
    """The version of a configuration."""

    version: int


def config_revision(value: bytes) -> Revision:
    """Returns the revision of a configuration: its version.

    >>> config_revision(b'{"routes":[],"version":7}'), config_revision(b"{")
    ((7, 0), (0, 0))
    """
    try:
        document = split_json(value, ConfigVersion)
        return (whole(document.version, "version"), 0)
    except UndecodableError:
        return UNKNOWN_REVISION  # reported when it is decoded to be put into effect


def normalize_target(entry: Entry) -> Entry:
    """Returns a target's entry without its volatile fields, and with its revision.

    The revision is the incarnation, then the heartbeat. A malformed entry stays unchanged, without
    one; it is reported when it is decoded to be used.

    >>> normalize_target(Entry(0, "t", b'{"born":3,"sequence":9}'))
    Entry(offset=0, key='t', value=b'{"born":3}', era=0, revision=(3, 9))
    >>> normalize_target(Entry(0, "t", b'[1]')).value, normalize_target(Entry(0, "t", b"")).value
    (b'[1]', b'')
    >>> normalize_target(Entry(0, "t", b'{"warmup_left_ms":2900}')).value
    b'{"warmup_left_ms":1}'
    """
    if not 0 < len(entry.value) <= MAX_TARGET_BYTES:
        return entry
    try:
        row = decode_json(entry.value)
        if not isinstance(row, dict):
            return entry
        kept = {k: v for k, v in row.items() if k not in VOLATILE_FIELDS}
        if mark := warmup_mark(row.get("warmup_left_ms")):
            kept["warmup_left_ms"] = mark
        value = msgspec.json.encode(kept)
    except (ValueError, OverflowError, RecursionError):
        return entry
    try:
        revision = (whole(row.get("born", 0), "born"), whole(row.get("sequence", 0), "sequence"))
    except UndecodableError:
        revision = UNKNOWN_REVISION
    return entry._replace(value=value, revision=revision)


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

    async def newest(self, topic: Topic) -> StoreRead:
        """Returns the newest value of each key, and the offset at which to continue reading.

        The pages are not a consistent snapshot. The end offset of the first page is returned, so
        that changes between pages are read again. Raises LogUnavailable, also if the pages exceed
        the limit of a snapshot.
        """
        changes: list[Entry] = []
        total_bytes = 0
        start: StoreRead | None = None
        name = TOPIC_NAMES[topic]
        params = {"topic": name, "part": "0"}
        while True:
            body, era = await self.call("log-newest", params, 0.0)
            total_bytes += len(body)
            if total_bytes > self.limits.snapshot_bytes:
                raise LogUnavailable(f"{name}: the snapshot is too large")
            try:
                page = decode_json(body)
                for row in page["entries"]:
                    value = base64.b64decode(row.get("value") or "")
                    changes.append(Entry(whole(row["offset"], "offset"), str(row["key"]), value))
                if start is None:
                    end = whole(page["end"], "end")
                    start = StoreRead([], end, end, era)
                if era != start.era:
                    raise LogUnavailable(f"{name}: the store was restored between two pages")
                if not page.get("has_more") or not page["entries"]:
                    entries = normalize_entries(topic, changes, era, records=False)
                    return start._replace(entries=entries)
                params = {**params, "after": str(page["entries"][-1]["key"])}
            except (LookupError, TypeError, ValueError, AttributeError, OverflowError) as error:
                raise LogUnavailable(f"{name}: the answer can't be decoded") from error

    async def read(self, topic: Topic, offset: int, wait_ms: float) -> StoreRead:
        """Reads entries from `offset` on, waiting up to `wait_ms` for the first one.

        Raises OffsetExpired or LogUnavailable.
        """
        params = {
            "topic": TOPIC_NAMES[topic],
            "part": "0",
            "from": str(offset),
            "max_kb": str(MAX_READ_KB),
        }
        if wait_ms:
            params["wait_ms"] = str(int(wait_ms))
        body, era = await self.call("log-read", params, wait_ms)
        changes, next_offset, end = decode_records(body, offset)
        entries = normalize_entries(topic, changes, era, records=True)
        return StoreRead(entries, next_offset, end, era)

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
    ) -> tuple[bytes, int]:
        """Calls the store, by POST if there is data; returns the body and the store's era.

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
                    era_value = response.headers.get(ERA_HEADER, "0")
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise LogUnavailable(f"{name}: {type(error).__name__}") from error
        if status == 410:
            raise OffsetExpired(decode_first_offset(body), 0)
        if status != 200:
            raise LogUnavailable(f"{name}: status {status}")
        if not era_value.isdecimal() or len(era_value) > MAX_ERA_DIGITS:
            raise LogUnavailable(f"{name}: the era of the store can't be read")
        return body, int(era_value)
