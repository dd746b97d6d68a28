"""Bodies without end do not fill the memory of a host."""

from __future__ import annotations

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from savoryfork.util.bodies import BodyTooLarge, read_body
from tests.forward.endless import ENDLESS, EndlessServer

LIMIT_BYTES = 262_144

# What the kernel's and the client's buffers of one connection may hold beyond the limit.
BUFFERED_BYTES = 16_777_216


class TestReadBody:
    @pytest.mark.parametrize(
        "kind", ["chunked body", "body without a length", "body of a huge length", "tiny chunks"]
    )
    async def test_body_without_end_is_given_up_at_the_limit(self, kind, caplog):
        """Guards against a target or the platform that sends until the time-out."""
        server = EndlessServer(*ENDLESS[kind])
        async with server as address, aiohttp.ClientSession() as session:
            with pytest.raises(BodyTooLarge):
                async with session.get(f"http://{address}/load") as response:
                    await read_body(response, LIMIT_BYTES)
        assert server.sent_bytes < BUFFERED_BYTES
        (line,) = [r.msg for r in caplog.records if r.msg.get("event") == "body_too_large"]
        assert line["address"] == address and line["limit_bytes"] == LIMIT_BYTES

    async def test_body_of_the_limit_is_read(self):
        async def answer(request: web.Request) -> web.Response:
            return web.Response(body=b"body")

        app = web.Application()
        app.router.add_get("/", answer)
        async with TestServer(app) as server, TestClient(server) as client:
            response = await client.get("/")
            assert await read_body(response, 4) == b"body"
