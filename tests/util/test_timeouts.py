"""Timeouts count time that the process ran."""

from __future__ import annotations

import asyncio
import itertools
import time

import pytest

from savoryfork.forward.connection import CONNECT_TIMEOUT_MS, Connection, Connections
from savoryfork.util.timeouts import running_timeout
from tests.streams import StreamServer


async def serve_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Leaves a connection without an answer."""


async def count_turns() -> int:
    """Counts turns of 10 ms until it is cancelled; returns the number."""
    for turn in itertools.count():
        try:
            await asyncio.sleep(0.01)
        except asyncio.CancelledError:
            return turn
    raise AssertionError


class TestRunningTimeout:
    async def test_ends_a_wait_in_time(self):
        """Guards against a wait that goes on for much longer than its timeout.

        It is measured in turns of 10 ms or more, so that a pause of the machine counts once here
        too.
        """
        started = asyncio.get_running_loop().time()
        turns = asyncio.create_task(count_turns())
        with pytest.raises(TimeoutError):
            async with running_timeout(0.3):
                await asyncio.sleep(60)
        assert asyncio.get_running_loop().time() - started >= 0.3
        turns.cancel()
        assert await turns < 60

    async def test_does_not_end_later_waits(self):
        """Guards against a timer that outlives its body and cancels the task afterwards."""
        async with running_timeout(0.02):
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)

    async def test_cancellation_is_no_timeout(self):
        """Guards against a cancelled request that is reported as a slow target."""

        async def wait():
            async with running_timeout(60):
                await asyncio.sleep(60)

        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task


class TestPause:
    async def test_connection_made_during_a_pause_is_no_failure(self):
        """Guards against a host that ejects sound targets after it was frozen itself."""
        server = StreamServer(serve_nothing)
        opening = asyncio.create_task(Connections().open(await server.start(), 0.0))
        await asyncio.sleep(0)
        time.sleep(CONNECT_TIMEOUT_MS / 1000 + 0.05)  # noqa: ASYNC251 (it is the pause)
        found = (await asyncio.gather(opening, return_exceptions=True))[0]
        await server.stop()
        assert isinstance(found, Connection)
        found.abort()
