"""Restarts tasks that must run for as long as their process."""

from __future__ import annotations

import asyncio
import logging
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import ParamSpec, TypeVar

from savoryfork.util import logs

log = logging.getLogger(__name__)

P = ParamSpec("P")
T = TypeVar("T")

# Pause before a failed task is started again. As long as the period of its usual work, so that a
# task that fails each time makes no more calls than one that works.
RESTART_PAUSE_S = 0.5

# A task that fails again and again logs one line in this time.
LOG_PERIOD_S = 10.0


def place(error: BaseException) -> str:
    """Returns where an exception was raised, as file and line."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename.rpartition('/')[2]}:{frames[-1].lineno}" if frames else ""


class FailureLog:
    """Logs failures of one task, at most one line in LOG_PERIOD_S."""

    def __init__(self, task: str) -> None:
        self.task = task
        self.failures = 0
        self.next_line_at = 0.0

    def record(self, error: Exception, now_s: float) -> None:
        """Counts a failure and logs it, with the number of those since the last line."""
        self.failures += 1
        if now_s < self.next_line_at:
            return
        logs.event(
            log,
            "task_failed",
            logging.ERROR,
            task=self.task,
            error=repr(error)[:200],
            place=place(error),
            failures=self.failures,
        )
        self.failures = 0
        self.next_line_at = now_s + LOG_PERIOD_S


async def keep_running(task: str, run: Callable[[], Awaitable[None]]) -> None:
    """Awaits `run()` until it returns; starts it again after a pause if it raises an exception.

    An exception is a bug, or an input that nobody foresaw. The next start may meet another input;
    a new process would meet the same one and lose its connections and all that it knows. Lack of
    memory is raised: only a new process helps against it.
    """
    failures = FailureLog(task)
    loop = asyncio.get_running_loop()
    while True:
        try:
            return await run()
        except MemoryError:
            raise
        except Exception as error:
            failures.record(error, loop.time())
        await asyncio.sleep(RESTART_PAUSE_S)


def skip_failing(decode: Callable[P, T | None], name: str) -> Callable[P, T | None]:
    """Returns a decoder that takes an input on which `decode` raises for malformed (None).

    Else the entries that came with such an input would be lost: they count as read.

    >>> skip_failing(lambda value: 1 // value, "number")(1)
    1
    """
    failures = FailureLog(f"decode_{name}")

    def decode_or_skip(*args: P.args, **kwargs: P.kwargs) -> T | None:
        try:
            return decode(*args, **kwargs)
        except MemoryError:
            raise
        except Exception as error:
            failures.record(error, time.monotonic())
            return None

    return decode_or_skip
