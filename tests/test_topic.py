"""Tests for the client and the reader of the platform's log."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from savoryfork.util.timer import system_clock
from savoryfork.util.topic import (
    Fold,
    LogClient,
    LogUnavailable,
    Page,
    Record,
    TopicReader,
    decode_page,
    era_of,
    raw_offset,
)
from savoryfork.util.untrusted import MAX_NESTING
from tests.fakelog import FakeClient, FakeLog
from tests.standins import until


def nested(depth: int) -> bytes:
    """Returns a JSON object with a nesting depth of `depth`."""
    return b'{"a":' + b"[" * (depth - 1) + b"]" * (depth - 1) + b"}"


UNDECODABLE = {
    "lone surrogate": b'{"id": "\\ud800"}',
    "invalid UTF-8": b'{"id": "\xff"}',
    "nested too deeply": nested(MAX_NESTING + 1),
    "nested far too deeply": nested(20_000),
    "number out of range": b'{"id": 1e999}',
    "not an object": b"[]",
}


def page(values: list[bytes]) -> bytes:
    """Returns the response body of a read."""
    rows = [
        b'{"offset": %d, "time_ms": 5, "value": %b}' % (offset, value)
        for offset, value in enumerate(values)
    ]
    return b'{"records": [%b], "start": 0, "end": %d}' % (b", ".join(rows), len(values))


class IdFold(Fold):
    """Collects the ids of the applied records."""

    def __init__(self) -> None:
        self.ids: list[str | None] = []

    def apply(self, record: Record) -> None:
        if record.offset < self.position:
            return
        self.position = record.offset + 1
        self.ids.append(record.value.get("id"))

    def rebuild(self, page: Page) -> bool:
        self.position, self.ids = 0, []
        for record in page.records:
            self.apply(record)
        return True


class TestDecodePage:
    @pytest.mark.parametrize("name", UNDECODABLE)
    def test_unreadable_record_is_empty(self, name: str) -> None:
        """Guards against one undecodable record making its whole page unreadable."""
        found = decode_page("t", page([b'{"id": "}]\\""}', UNDECODABLE[name], b'{"id": "b"}']))
        assert [record.value.get("id") for record in found.records] == ['}]"', None, "b"]
        assert [(r.offset, r.time_ms) for r in found.records] == [(0, 5), (1, 5), (2, 5)]
        assert (found.start, found.end) == (0, 3)

    def test_depth_limit_does_not_depend_on_the_stack(self) -> None:
        """Guards against a record that one host skips and another applies, since the decoder's own
        limit depends on the stack depth."""

        def decode_below(frames: int) -> bool:
            if frames:
                return decode_below(frames - 1)
            values = [nested(MAX_NESTING), nested(MAX_NESTING + 1)]
            return [bool(r.value) for r in decode_page("t", page(values)).records] == [True, False]

        assert all(decode_below(frames) for frames in (0, 200, 600))

    def test_body_that_is_not_a_page_is_rejected(self) -> None:
        """Guards against taking an invalid response for an empty page."""
        for body in (b"", b"[]", b'{"records": [', b"[" * 5_000):
            with pytest.raises(msgspec.DecodeError):
                decode_page("t", body)


class TestTopicReader:
    async def test_undecodable_record_does_not_stop_the_reader(self) -> None:
        """Guards against one undecodable record ending the reader, which would stop every keyed run
        of the partition on all hosts."""
        values = [b'{"id": "a"}', *UNDECODABLE.values(), b'{"id": "z"}']

        async def read(request: web.Request) -> web.Response:
            offset = int(request.query["from"])
            if offset >= len(values):
                await asyncio.sleep(0.02)
            body = page(values) if offset == 0 else b'{"records": [], "start": 0, "end": 8}'
            return web.Response(body=body, content_type="application/json")

        app = web.Application()
        app.router.add_get("/topics/t/records", read)
        async with TestServer(app) as server, aiohttp.ClientSession() as session:
            fold = IdFold()
            client = LogClient(session, str(server.make_url("")), 1_000)
            reader = TopicReader(client, "t", fold, wait_ms=10, limit=100)
            task = asyncio.create_task(reader.run())
            await until(lambda: reader.caught_up.is_set() or task.done())
            assert not task.done() and fold.position == len(values)
            assert fold.ids == ["a", *[None] * len(UNDECODABLE), "z"]
            task.cancel()

    async def test_invalid_responses_raise_log_unavailable(self) -> None:
        """Guards against taking an invalid response to an append for proof that it failed."""

        async def truncated(request: web.Request) -> web.Response:
            return web.Response(body=b'{"first_', content_type="application/json")

        app = web.Application()
        app.router.add_route("*", "/topics/t/records", truncated)
        async with TestServer(app) as server, aiohttp.ClientSession() as session:
            client = LogClient(session, str(server.make_url("")), 1_000)
            with pytest.raises(LogUnavailable):
                await client.append("t", [{}])
            with pytest.raises(LogUnavailable):
                await client.read("t", 0, 10)


class TestRestoredLog:
    @pytest.mark.parametrize("tells_era", [True, False])
    async def test_reader_follows_a_log_that_went_back(
        self, caplog: pytest.LogCaptureFixture, tells_era: bool
    ) -> None:
        """Guards against taking a position beyond the end for caught up, and skipping the records
        written at the offsets that are given out again."""
        fake = FakeLog(system_clock())
        client = FakeClient(fake)
        await client.append("t", [{"id": "a"}])
        copy = fake.copy()
        await client.append("t", [{"id": "b"}, {"id": "c"}])
        reader = TopicReader(client, "t", fold := IdFold(), wait_ms=5_000, limit=100)
        task = asyncio.create_task(reader.run())
        await until(lambda: fold.ids == ["a", "b", "c"])
        await fake.restore(copy, tells_era=tells_era)
        await until(lambda: fold.ids == ["a"])
        await client.append("t", [{"id": name} for name in "xyz"])
        await until(lambda: fold.ids == ["a", "x", "y", "z"])
        assert "'topic_restored', 'topic': 't', 'position': 3, 'end': 1" in caplog.text
        assert reader.caught_up.is_set() and raw_offset(fold.position) == 4
        assert era_of(fold.position) == int(tells_era)
        task.cancel()

    async def test_reader_notices_a_log_that_grew_past_its_position(self) -> None:
        """Guards against a reader that was frozen until the offsets given out again passed its
        position: it would take the next one for a continuation."""
        fake = FakeLog(system_clock())
        client = FakeClient(fake)
        await client.append("t", [{"id": name} for name in "abc"])
        reader = TopicReader(client, "t", fold := IdFold(), wait_ms=0, limit=2)
        await reader.step()
        await reader.step()
        copy = {"t": fake.topics["t"][:1]}
        await fake.restore(copy)
        await fake.restore(copy)
        await client.append("t", [{"id": name} for name in "vwxyz"])
        while raw_offset(fold.position) < 6:
            await reader.step()
        assert fold.ids == ["a", "v", "w", "x", "y", "z"]

    async def test_numbers_of_all_readers_agree_and_rise(self) -> None:
        """Guards against one record that two hosts know by different numbers, and against a number
        that is given out twice: configurations and fencing numbers would go back."""
        fake = FakeLog(system_clock())
        client = FakeClient(fake)
        await client.append("t", [{"id": "a"}])
        copy = fake.copy()
        await client.append("t", [{"id": "b"}])
        lost = fake.topics["t"][-1].offset
        await fake.restore(copy)
        await client.append("t", [{"id": "c"}])
        numbers = [record.offset for record in (await client.read("t", 0, 10)).records]
        assert numbers == sorted(numbers) and numbers[0] == 0 and numbers[1] > lost
        assert raw_offset(numbers[1]) == raw_offset(lost)
