"""Tests for the client and the reader of the platform's log."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from savoryfork.util.topic import (
    Fold,
    LogClient,
    LogUnavailable,
    Record,
    TopicReader,
    decode_page,
)
from savoryfork.util.untrusted import MAX_NESTING
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
        self.position = record.offset + 1
        self.ids.append(record.value.get("id"))


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
