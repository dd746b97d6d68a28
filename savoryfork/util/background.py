"""Tasks that run beside their starter."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Keeps tasks alive until they end, and logs those that fail: an exception is a bug."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine beside the caller."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.ended)

    def ended(self, task: asyncio.Task[None]) -> None:
        """Forgets a task that has ended."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error({"event": "background_task_failed"}, exc_info=task.exception())
