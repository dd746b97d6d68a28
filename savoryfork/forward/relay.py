"""Forwards the events of a target's stream to the caller, without gaps or duplicates."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from savoryfork.forward.connection import Connection, TargetError
from savoryfork.forward.events import EventSplitter, EventTooLarge, numeric_id
from savoryfork.forward.model import AnswerHead, Repeat
from savoryfork.forward.run import Run

T = TypeVar("T")

# A resumable stream moves to another target if its target sends nothing for this long: longer
# than a busy engine needs, shorter than callers wait (2 s, or four times the latency objective).
FIRST_EVENT_AIM_FACTOR = 1.5
FIRST_EVENT_MARGIN_MS = 500.0
EVENT_GAP_FACTOR = 5.0
MIN_EVENT_GAP_MS = 900.0


def first_event_timeout_ms(run: Run) -> float | None:
    """Returns the timeout of the first event; None if the request can't move to another target."""
    if run.route is None or run.route.repeat is not Repeat.STREAM or not run.repeatable():
        return None
    return FIRST_EVENT_AIM_FACTOR * run.route.aim_ms + FIRST_EVENT_MARGIN_MS


async def with_timeout(operation: Callable[[], Awaitable[T]], timeout_ms: float | None) -> T:
    """Awaits one read of a response; raises TargetError on timeout. None means no timeout."""
    if timeout_ms is None:
        return await operation()
    try:
        async with asyncio.timeout(timeout_ms / 1000) as timeout:
            return await operation()
    except TimeoutError:
        if timeout.expired():
            raise TargetError("silent", sent=True) from None
        raise


def is_duplicate(run: Run, event_id: bytes | None) -> bool:
    """Returns whether an event of a resumed stream was already sent to the caller."""
    last_id, current_id = numeric_id(run.last_event), numeric_id(event_id)
    return last_id is not None and current_id is not None and current_id <= last_id


async def relay_events(
    run: Run,
    connection: Connection,
    answer: AnswerHead,
    now: Callable[[], float],
    on_events: Callable[[], None],
) -> None:
    """Forwards complete events as they arrive, until the target ends its stream.

    Drops events of a resumed stream that the caller already has. `on_events` is called on each
    arrival of events. Raises TargetError if the stream ends prematurely.
    """
    assert run.route is not None
    splitter = EventSplitter(connection.limits.event_bytes)
    timeout_ms = first_event_timeout_ms(run)
    gap_timeout_ms = max(MIN_EVENT_GAP_MS, EVENT_GAP_FACTOR * run.route.gap_ms)
    while True:
        data = await with_timeout(connection.read_chunk, timeout_ms)
        if data is None:
            break
        try:
            events = splitter.feed(data)
        except EventTooLarge:
            raise TargetError("event too large", sent=True) from None
        if not events:
            continue
        if run.first_event_at is None:
            run.first_event_at = now()
        if run.attempt is not None:
            run.attempt.events += len(events)
        on_events()
        if timeout_ms is not None:
            timeout_ms = gap_timeout_ms
        new_events = [event for event in events if not is_duplicate(run, event.id)]
        if new_events:
            # A caller that reads slowly delays the next read, and so holds back the target.
            run.waiting_for_caller = True
            if not run.response_started:
                await run.response_writer.start_stream(answer.status, answer.headers)
                run.response_started = True
            await run.response_writer.write(b"".join(event.data for event in new_events))
            run.waiting_for_caller = False
            run.events += len(new_events)
            run.last_event = next(
                (event.id for event in reversed(new_events) if event.id is not None), run.last_event
            )
    if splitter.buffer:
        raise TargetError("stream ended within an event", sent=True)
    if not connection.framed and run.attempt is not None and not run.attempt.events:
        # A target that crashes as it begins to write closes its connection like one that has ended.
        raise TargetError("closed before the first event", sent=True)
