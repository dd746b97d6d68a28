"""Timeouts that count little of the time during which this process did not run."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# A pause of the process counts as one step, however long it was. A timeout that falls due during a
# pause ends its body even if the answer arrived during it, as reading that takes some turns of the
# loop; the other steps leave time for them. A pause in the last step still counts, and in a loop
# whose turns take longer than a step the timeout is late by as much for each step.
STEP_S = 0.05


@asynccontextmanager
async def running_timeout(seconds: float) -> AsyncIterator[None]:
    """Raises TimeoutError in its body after that long, pauses of the process left out.

    Use it where a timeout is evidence against the other side: a process that was frozen, or a host
    that was, has not waited.

    >>> async def wait():
    ...     async with running_timeout(0.01):
    ...         await asyncio.sleep(60)
    >>> asyncio.run(wait())
    Traceback (most recent call last):
    TimeoutError
    """
    loop = asyncio.get_running_loop()
    steps_left = max(1, math.ceil(seconds / STEP_S))
    step_s = seconds / steps_left
    timer: asyncio.TimerHandle | None = None

    def end_step() -> None:
        nonlocal steps_left, timer
        steps_left -= 1
        if steps_left:
            timer = loop.call_later(step_s, end_step)
        else:
            timeout.reschedule(loop.time())

    async with asyncio.timeout(None) as timeout:
        timer = loop.call_later(step_s, end_step)
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()
