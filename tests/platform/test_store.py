"""Reads of the store: pages, expired offsets, outages and truncated responses."""

import asyncio
import contextlib
import struct

import aiohttp
import msgspec
import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork.forward.knowledge import Entry
from savoryfork.forward.limits import ReadLimits
from savoryfork.forward.topics import Topic
from savoryfork.platform.store import PlatformStore, decode_records, normalize_target
from savoryfork.util.topic import LogUnavailable, OffsetExpired
from standins.keyedstore import KeyedStore
from standins.ports import Ports
from tests.forward.deployment import RNG
from tests.odd import NASTY_JSON, values


def stripped(value: bytes) -> bytes:
    return normalize_target(Entry(0, "t", value)).value


@pytest.fixture
def port():
    """A port that is reserved for the test."""
    ports = Ports(RNG)
    yield ports.draw()
    ports.release()


@pytest.fixture
async def store(port):
    """A stand-in store and its client."""
    fake = KeyedStore()
    runner = web.AppRunner(fake.app(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    client = PlatformStore(f"127.0.0.1:{port}")
    yield fake, client
    await client.close()
    await runner.cleanup()


class TestReads:
    async def test_newest_values_then_changes(self, store):
        fake, client = store
        fake.put("keyed.op", "config", {"version": 1})
        entries, end, _, _ = await client.newest(Topic.CONFIGURATION)
        assert [(e.key, e.value, e.offset) for e in entries] == [("config", b'{"version":1}', 0)]
        fake.put("keyed.op", "config", None)
        changes, next_offset, end, _ = await client.read(Topic.CONFIGURATION, end, 0.0)
        assert [(c.offset, c.value) for c in changes] == [(1, b"")] and next_offset == end == 2

    async def test_heartbeat_does_not_change_the_value(self, store):
        """Guards against heartbeats that are propagated to all hosts: of the remaining warm-up
        time, only the change between cold and warm counts."""
        fake, client = store
        for sequence, left_ms in enumerate((2_900, 1_400.5, 1, 0, 0)):
            row = {"slots": 2, "sequence": sequence, "warmup_left_ms": left_ms}
            fake.put("keyed.servers", "t", row)
        fake.put("keyed.servers", "t", {"slots": 2, "sequence": 9})
        changes, _, _, _ = await client.read(Topic.TARGETS, 0, 0.0)
        cold, warm = b'{"slots":2,"warmup_left_ms":1}', b'{"slots":2}'
        assert [change.value for change in changes] == [cold] * 3 + [warm] * 3

    async def test_expired_offset(self, store):
        fake, client = store
        fake.put("keyed.op", "config", {})
        fake.compact("keyed.op")
        with pytest.raises(OffsetExpired):
            await client.read(Topic.CONFIGURATION, 0, 0.0)

    async def test_store_that_comes_back_from_an_older_copy(self, store):
        """Guards against a stand-in whose restored store can't be told from one that waits."""
        fake, client = store
        fake.put("keyed.op", "config", {"version": 1})
        copy = fake.copy()
        fake.put("keyed.op", "config", {"version": 2})
        fake.put("keyed.op", "config", {"version": 3})
        waiting = asyncio.create_task(client.read(Topic.CONFIGURATION, 3, 5_000.0))
        await asyncio.sleep(0.05)
        fake.restore(copy)
        with pytest.raises(OffsetExpired):
            await asyncio.wait_for(waiting, 2.0)
        assert fake.put("keyed.op", "config", {"version": 4}) == 1
        changes, _, _, _ = await client.read(Topic.CONFIGURATION, 0, 0.0)
        assert [c.value for c in changes] == [b'{"version":1}', b'{"version":4}']

    @pytest.mark.parametrize("down", [False, True])
    async def test_every_answer_names_the_era(self, store, down):
        """Guards against a stand-in that names its era in some answers only."""
        fake, client = store
        fake.restore(fake.copy())
        fake.down = down
        async with aiohttp.ClientSession() as session:
            for call in ("log-newest?", "log-read?from=0&", "log-read?from=9&"):
                async with session.get(f"{client.url}/{call}topic=t&part=0") as response:
                    assert response.headers["Store-Era"] == str(fake.era) == "2"

    async def test_outage(self, store):
        fake, client = store
        fake.down = True
        with pytest.raises(LogUnavailable):
            await client.newest(Topic.TARGETS)


class TestDecode:
    @pytest.mark.parametrize("body", [b"", b"\x00" * 15, struct.pack(">QQI", 1, 0, 9) + b"abc"])
    def test_truncated_response_is_an_error(self, body):
        with pytest.raises(LogUnavailable):
            decode_records(body, 0)

    def test_record_without_a_key_changes_nothing(self):
        """Guards against a record that stops the reader at its offset for good."""
        records = struct.pack(">I", 0) + struct.pack(">I", 3) + b"\x01kv"
        changes, next_offset, end = decode_records(struct.pack(">QQ", 7, 5) + records, 5)
        assert [(c.offset, c.key, c.value) for c in changes] == [(6, "k", b"v")]
        assert next_offset == end == 7

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=80))
    def test_any_response(self, body):
        """Guards against a response that ends the task that reads the topic."""
        with contextlib.suppress(LogUnavailable):
            decode_records(body, 0)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=80), values)
    def test_any_entry_of_a_target(self, data, value):
        """Guards against an entry that ends every host that reads it."""
        assert stripped(data) == data
        encoded = msgspec.json.encode({"sequence": 1, "slots": value})
        assert b"sequence" not in stripped(encoded)

    @pytest.mark.parametrize("data", NASTY_JSON.values(), ids=NASTY_JSON)
    def test_nasty_entry_of_a_target(self, data):
        stripped(data)
        entry = b'{"sequence":1,"slots":' + data + b"}"
        assert len(stripped(entry)) <= len(entry)


class TestOddPages:
    """Guards against a page of newest values that ends the task that reads it."""

    @pytest.mark.parametrize(
        "page",
        [
            *NASTY_JSON.values(),
            b'{"end":1,"entries":' + NASTY_JSON["nested arrays"] + b"}",
            b'{"end":1,"entries":[5],"has_more":false}',
            b'{"end":1,"entries":[{"offset":1,"key":"k","value":7}],"has_more":false}',
            b'{"end":1,"entries":[{"offset":1,"key":"k","value":"x"}],"has_more":false}',
            b'{"end":1e300,"entries":"ab","has_more":false}',
            b'{"end":1e300,"entries":[],"has_more":false}',
            b'{"end":[],"entries":[],"has_more":false}',
        ],
    )
    async def test_odd_page_is_an_outage(self, page, port):
        async def answer(request: web.Request) -> web.Response:
            return web.Response(body=page)

        app = web.Application()
        app.router.add_get("/api/log-newest", answer)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        client = PlatformStore(f"127.0.0.1:{port}")
        with pytest.raises(LogUnavailable):
            await client.newest(Topic.TARGETS)
        await client.close()
        await runner.cleanup()


class TestEndlessAnswers:
    @pytest.fixture
    async def endless(self, port):
        """A client of a store whose answers do not end; `limits` are small."""

        async def endless_body(request: web.Request) -> web.StreamResponse:
            response = web.StreamResponse()
            await response.prepare(request)
            while True:
                await response.write(b"x" * 65_536)

        async def endless_pages(request: web.Request) -> web.Response:
            entries = [{"offset": 0, "key": "k", "value": "x" * 10_000}]
            return web.json_response({"end": 1, "entries": entries, "has_more": True})

        app = web.Application()
        app.router.add_get("/api/log-newest", endless_pages)
        app.router.add_get("/api/log-read", endless_body)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        limits = ReadLimits(store_bytes=500_000, snapshot_bytes=200_000)
        client = PlatformStore(f"127.0.0.1:{port}", limits)
        yield client
        await client.close()
        await runner.cleanup()

    async def test_endless_body_is_an_outage(self, endless):
        """Guards against a host that collects a response of the store until its time-out."""
        with pytest.raises(LogUnavailable, match="too large"):
            await endless.read(Topic.CONFIGURATION, 0, 0.0)

    async def test_endless_pages_are_an_outage(self, endless):
        """Guards against a snapshot whose pages never end."""
        with pytest.raises(LogUnavailable, match="too large"):
            await endless.newest(Topic.CONFIGURATION)


class TestEra:
    async def test_offset_that_a_restored_store_does_not_have(self, store):
        """Guards against a host that takes an offset beyond the end for being up to date."""
        fake, client = store
        fake.put("keyed.op", "config", {"version": 1})
        copy = fake.copy()
        fake.put("keyed.op", "config", {"version": 2})
        fake.restore(copy)
        with pytest.raises(OffsetExpired):
            await client.read(Topic.CONFIGURATION, 2, 0.0)
        assert (await client.newest(Topic.CONFIGURATION)).era == 2

    async def test_restore_between_two_pages_is_an_outage(self, store, monkeypatch):
        """Guards against a snapshot that is put together from two eras."""
        _, client = store
        body = b'{"end":9,"has_more":true,"entries":[{"key":"t","offset":0,"value":""}]}'
        eras = iter((1, 2))

        async def call(name: str, params: dict[str, str], wait_ms: float) -> tuple[bytes, int]:
            return body, next(eras)

        monkeypatch.setattr(client, "call", call)
        with pytest.raises(LogUnavailable, match="between two pages"):
            await client.newest(Topic.TARGETS)

    @pytest.mark.parametrize("era", ["", "x", "-1", "9" * 19])
    async def test_era_that_cant_be_read_is_an_outage(self, store, era):
        """Guards against an odd header that ends the task that reads the store."""
        fake, client = store
        fake.era = era
        with pytest.raises(LogUnavailable, match="era"):
            await client.newest(Topic.TARGETS)

    async def test_other_keys_of_the_operator_are_left_out(self, store):
        """Guards against a lost key beside the configuration, which no store would confirm."""
        fake, client = store
        fake.put("keyed.op", "config", {"version": 7})
        fake.put("keyed.op", "other", {})
        for entries, end, _, _ in (
            await client.newest(Topic.CONFIGURATION),
            await client.read(Topic.CONFIGURATION, 0, 0.0),
        ):
            assert [e.key for e in entries] == ["config"] and end == 2

    async def test_huge_version_has_no_revision(self, store):
        """Guards against a number that messages between hosts can't carry.

        Such a configuration can't be read either, so it must not replace one that can.
        """
        fake, client = store
        fake.put("keyed.op", "config", {"version": 10**30})
        (entry,) = (await client.newest(Topic.CONFIGURATION)).entries
        assert entry.revision == (0, 0)

    async def test_entries_carry_era_and_revision(self, store):
        fake, client = store
        fake.put("keyed.op", "config", {"version": 7})
        fake.put("keyed.servers", "t", {"born": 3, "sequence": 5})
        fake.put("keyed.servers", "odd", {"born": 10**23, "sequence": "x"})
        config = (await client.newest(Topic.CONFIGURATION)).entries
        targets = (await client.read(Topic.TARGETS, 0, 0.0)).entries
        assert [(e.era, e.revision) for e in config] == [(1, (7, 0))]
        assert [e.revision for e in targets] == [(3, 5), (0, 0)]
