"""Bounds the work of one turn of the event loop for readers that never run out of data."""

from __future__ import annotations

import asyncio
from collections import deque
from weakref import WeakKeyDictionary

# Readers that go on in one turn. Each parses up to BYTES_PER_TURN, which takes about 1 ms for tiny
# chunks. A call to a healthy target takes some ten turns, and they must stay short however many
# other targets send without end.
READERS_PER_TURN = 4


class Turns:
    """Lets queued readers go on in the order of their arrival, a few in each turn of the loop."""

    def __init__(self) -> None:
        self.queue: deque[asyncio.Future[None]] = deque()
        self.scheduled = False

    async def wait(self) -> None:
        """Waits until this reader may go on."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.queue.append(future)
        self.schedule()
        await future

    def schedule(self) -> None:
        """Wakes readers in the next turn."""
        if not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self.wake)

    def wake(self) -> None:
        """Wakes the first readers in the queue; cancelled ones don't count."""
        self.scheduled = False
        woken = 0
        while self.queue and woken < READERS_PER_TURN:
            future = self.queue.popleft()
            if not future.done():
                future.set_result(None)
                woken += 1
        if self.queue:
            self.schedule()


# One for each loop, as all connections of a loop delay each other.
TURNS: WeakKeyDictionary[asyncio.AbstractEventLoop, Turns] = WeakKeyDictionary()


async def wait_for_turn() -> None:
    """Waits until the calling reader may go on in the running loop."""
    loop = asyncio.get_running_loop()
    turns = TURNS.get(loop)
    if turns is None:
        turns = TURNS[loop] = Turns()
    await turns.wait()
