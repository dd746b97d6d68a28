"""Tasks that must run as long as their process go on after an exception."""

from __future__ import annotations

import asyncio

import pytest

from savoryfork.util import supervise
from savoryfork.util.supervise import LOG_PERIOD_S, RESTART_PAUSE_S, keep_running, skip_failing


class Task:
    """Raises `errors` in turn, then returns; `starts` are the times of its calls."""

    def __init__(self, errors: list[BaseException]) -> None:
        self.errors = errors
        self.starts: list[float] = []

    async def run(self) -> None:
        self.starts.append(asyncio.get_running_loop().time())
        if self.errors:
            raise self.errors.pop(0)


class TestKeepRunning:
    @pytest.mark.looptime
    async def test_failing_task_neither_spins_nor_ends(self, caplog):
        """Guards against one failure that ends a host, and against a busy loop of failures."""
        task = Task([ValueError("odd") for _ in range(50)])
        await keep_running("t", task.run)
        gaps = [b - a for a, b in zip(task.starts, task.starts[1:], strict=False)]
        assert len(gaps) == 50 and min(gaps) >= 0.99 * RESTART_PAUSE_S
        lines = [r.msg for r in caplog.records if r.msg["event"] == "task_failed"]
        assert len(lines) <= 1 + 50 * RESTART_PAUSE_S / LOG_PERIOD_S
        assert lines[0]["task"] == "t" and lines[0]["place"].startswith("test_supervise.py:")
        assert lines[1]["failures"] > 1

    async def test_lack_of_memory_is_raised(self):
        """Guards against a process that goes on where only a new one helps."""
        with pytest.raises(MemoryError):
            await keep_running("t", Task([MemoryError()]).run)

    async def test_cancelled_task_ends(self):
        """Guards against a stop that starts its followers again."""
        task = asyncio.create_task(keep_running("t", lambda: asyncio.sleep(60)))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task


class TestSkipFailing:
    def test_failing_input_is_skipped_and_logged_once(self, caplog):
        """Guards against one input whose neighbours are lost with it."""
        decode = skip_failing(lambda value: 10 // value, "number")
        assert [decode(value) for value in (2, 0, 0, 5)] == [5, None, None, 2]
        assert [r.msg["task"] for r in caplog.records] == ["decode_number"]
        assert supervise.place(ValueError()) == ""
