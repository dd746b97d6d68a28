"""Background tasks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Keeps references to tasks until they end and logs failed ones; an exception is a bug."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Starts a coroutine as a background task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_done)

    def on_done(self, task: asyncio.Task[None]) -> None:
        """Removes a finished task and logs its exception, if any."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error({"event": "background_task_failed"}, exc_info=task.exception())
