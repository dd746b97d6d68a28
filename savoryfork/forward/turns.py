"""Bounds the work of one turn of the event loop for readers that never run out of data."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from weakref import WeakKeyDictionary

# Readers that go on in one turn. Each parses up to BYTES_PER_TURN, which takes about 1 ms for tiny
# chunks. A call to a healthy target takes some ten turns, and they must stay short however many
# other targets send without end.
READERS_PER_TURN = 4

# Share of the loop's time that all heavy readers get together. More of it would be taken from the
# requests of others, as a heavy reader uses whatever it gets.
HEAVY_SHARE = 0.33

# Shortest pause after the turn of a heavy reader, the resolution of the loop's timers.
MIN_PAUSE_S = 0.001


class Turns:
    """Lets queued readers go on in the order of their arrival, a few in each turn of the loop.

    Heavy readers have a queue of their own. They go on one at a time, each after a pause as long as
    the turn of the one before has earned.
    """

    def __init__(self) -> None:
        self.queue: deque[asyncio.Future[None]] = deque()
        self.scheduled = False
        self.heavy: deque[asyncio.Future[None]] = deque()
        self.heavy_scheduled = False

    async def wait(self) -> None:
        """Waits until this reader may go on."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.queue.append(future)
        self.schedule()
        await future

    async def wait_heavy(self) -> None:
        """Waits until this heavy reader may go on."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = loop.create_future()
        self.heavy.append(future)
        if not self.heavy_scheduled:
            self.heavy_scheduled = True
            loop.call_later(MIN_PAUSE_S, self.wake_heavy)
        await future

    def wake_heavy(self) -> None:
        """Wakes the first heavy reader; the next one follows after a pause."""
        while self.heavy:
            future = self.heavy.popleft()
            if not future.done():
                future.set_result(None)
                # Called after the turn of the reader, whose wake-up was scheduled before.
                asyncio.get_running_loop().call_soon(self.pause_heavy, time.perf_counter())
                return
        self.heavy_scheduled = False

    def pause_heavy(self, turn_began: float) -> None:
        """Delays the next heavy reader according to the time that the last one took."""
        turn_s = time.perf_counter() - turn_began
        pause_s = max(MIN_PAUSE_S, turn_s * (1.0 / HEAVY_SHARE - 1.0))
        asyncio.get_running_loop().call_later(pause_s, self.wake_heavy)

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


async def wait_for_turn(heavy: bool = False) -> None:
    """Waits until the calling reader may go on in the running loop.

    A heavy reader has read more than a sound peer sends, and yields to all others.
    """
    loop = asyncio.get_running_loop()
    turns = TURNS.get(loop)
    if turns is None:
        turns = TURNS[loop] = Turns()
    await (turns.wait_heavy() if heavy else turns.wait())
