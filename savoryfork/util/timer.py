"""A timer service that runs the periodic callbacks of all components in one loop."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from savoryfork.util import logs

log = logging.getLogger(__name__)

Callback = Callable[[], Awaitable[None]]


class Clock(NamedTuple):
    """Sources of time, in milliseconds; tests inject their own.

    `monotonic_ms` keeps counting while the process is stopped; `wall_ms` is Unix time.
    """

    monotonic_ms: Callable[[], float]
    wall_ms: Callable[[], float]


def system_clock() -> Clock:
    """Returns the clock of this machine."""
    return Clock(lambda: time.monotonic() * 1000, lambda: time.time() * 1000)


def suspend_aware_clock() -> Clock:
    """Returns a clock whose monotonic time also advances while the machine is suspended.

    Use it for the age of a host's data: after a suspend, the plain monotonic clock makes stale data
    look fresh.
    """
    return Clock(lambda: time.clock_gettime(time.CLOCK_BOOTTIME) * 1000, lambda: time.time() * 1000)


class Subscription:
    """A periodic callback; a tick is skipped while the previous call is still running."""

    def __init__(self, name: str, period_ms: float, callback: Callback) -> None:
        self.name = name
        self.period_ms = period_ms
        self.callback = callback
        self.due_ms = 0.0
        self.task: asyncio.Task[None] | None = None


class TimerService:
    """Calls subscribers periodically and records how late the event loop wakes up.

    `longest_pause_ms` is the longest delay of the loop beyond one tick since the last call of
    `pop_longest_pause`; `last_tick_ms` is the monotonic time of the last tick. A large gap means
    that the process was stopped or starved, so earlier decisions may be out of date. `pause_end_ms`
    is the monotonic time at which the last pause of at least `pause_threshold_ms` was detected.
    """

    def __init__(self, clock: Clock, tick_ms: float, pause_threshold_ms: float = math.inf) -> None:
        self.clock = clock
        self.tick_ms = tick_ms
        self.pause_threshold_ms = pause_threshold_ms
        self.pause_end_ms = -math.inf
        self.subscriptions: list[Subscription] = []
        self.last_tick_ms = clock.monotonic_ms()
        self.longest_pause_ms = 0.0
        self.task: asyncio.Task[None] | None = None

    def subscribe(self, name: str, period_ms: float, callback: Callback) -> Subscription:
        """Calls `callback` every `period_ms`, first after one period."""
        subscription = Subscription(name, period_ms, callback)
        subscription.due_ms = self.clock.monotonic_ms() + period_ms
        self.subscriptions.append(subscription)
        return subscription

    def unsubscribe(self, subscription: Subscription) -> None:
        """Ends a subscription and cancels its running callback."""
        self.subscriptions.remove(subscription)
        if subscription.task is not None:
            subscription.task.cancel()

    def paused_ms(self) -> float:
        """Returns how long the next tick of the loop is overdue."""
        return max(0.0, self.clock.monotonic_ms() - self.last_tick_ms - self.tick_ms)

    def paused_since(self, time_ms: float) -> bool:
        """Returns whether a pause over the threshold ended at or after `time_ms` or is ongoing."""
        return self.pause_end_ms >= time_ms or self.paused_ms() >= self.pause_threshold_ms

    def pop_longest_pause(self) -> float:
        """Returns the longest pause in milliseconds since the last call and resets it."""
        pause, self.longest_pause_ms = self.longest_pause_ms, 0.0
        return pause

    def start(self) -> None:
        """Starts ticking on the running loop."""
        self.last_tick_ms = self.clock.monotonic_ms()
        self.task = asyncio.get_running_loop().create_task(self.run(), name="timer")

    async def stop(self) -> None:
        """Stops ticking and cancels running callbacks."""
        tasks = [s.task for s in self.subscriptions if s.task is not None]
        if self.task is not None:
            tasks.append(self.task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def run(self) -> None:
        """Ticks until cancelled."""
        while True:
            await asyncio.sleep(self.tick_ms / 1000)
            self.tick()

    def tick(self) -> None:
        """Measures the delay of the loop and calls every subscription that is due."""
        now = self.clock.monotonic_ms()
        pause_ms = self.paused_ms()
        self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        if pause_ms >= self.pause_threshold_ms:
            self.pause_end_ms = now
        self.last_tick_ms = now
        for subscription in self.subscriptions:
            if now < subscription.due_ms:
                continue
            subscription.due_ms = now + subscription.period_ms
            if subscription.task is None or subscription.task.done():
                subscription.task = asyncio.get_running_loop().create_task(
                    self.call(subscription), name=f"timer-{subscription.name}"
                )

    async def call(self, subscription: Subscription) -> None:
        """Runs a callback; an exception is a bug of the subscriber and is logged, not raised."""
        try:
            await subscription.callback()
        except asyncio.CancelledError:
            raise
        except Exception:
            logs.failure(log, "timer_callback_failed", subscription=subscription.name)
