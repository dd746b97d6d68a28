"""Tests for the stand-ins."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

Client = TestClient[web.Request, web.Application]


@asynccontextmanager
async def serve(app: web.Application) -> AsyncIterator[Client]:
    """Serves an application as `standins.server` does and yields a client for it."""
    # TestServer cancels the handlers of closed connections, as `standins.server.main` does.
    async with TestClient(TestServer(app)) as client:
        yield client


async def until(condition: Callable[[], Any], timeout_s: float = 5.0) -> None:
    """Waits until a condition holds; raises TimeoutError after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)
