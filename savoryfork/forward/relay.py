"""Passes on the events of a target's stream, without gap or repeat."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from savoryfork.forward.connection import Connection, TargetError
from savoryfork.forward.events import EventSplitter, EventTooLarge, number
from savoryfork.forward.model import AnswerHead, Repeat
from savoryfork.forward.run import Run

T = TypeVar("T")

# A stream that may be resumed is moved when its target is silent for this long: beyond what a
# busy engine needs, within the patience of callers (2 s, or four times the aim).
FIRST_EVENT_AIMS = 1.5
FIRST_EVENT_MARGIN_MS = 500.0
GAP_FACTOR = 5.0
MIN_GAP_MS = 900.0


def first_event_limit(run: Run) -> float | None:
    """How long a target may be silent before its first event, if the request can move."""
    if run.route is None or run.route.repeat is not Repeat.STREAM or not run.repeatable():
        return None
    return FIRST_EVENT_AIMS * run.route.aim_ms + FIRST_EVENT_MARGIN_MS


async def within(step: Callable[[], Awaitable[T]], limit_ms: float | None) -> T:
    """Awaits one step of an answer; raises TargetError if it takes longer than the limit."""
    if limit_ms is None:
        return await step()
    try:
        async with asyncio.timeout(limit_ms / 1000) as scope:
            return await step()
    except TimeoutError:
        if scope.expired():
            raise TargetError("silent", sent=True) from None
        raise


def repeated(run: Run, event_id: bytes | None) -> bool:
    """Whether a resumed stream gives an event that the caller already has."""
    last, this = number(run.last_event), number(event_id)
    return last is not None and this is not None and this <= last


async def pass_on(
    run: Run,
    connection: Connection,
    answer: AnswerHead,
    now: Callable[[], float],
    events_came: Callable[[], None],
) -> None:
    """Passes on whole events as they arrive, until the target ends its stream.

    Events that the caller already has, of a stream that was resumed, are left out. `events_came`
    is called with each arrival of events. Raises TargetError if the stream breaks off.
    """
    assert run.route is not None
    splitter = EventSplitter()
    limit = first_event_limit(run)
    gap = max(MIN_GAP_MS, GAP_FACTOR * run.route.gap_ms)
    while True:
        data = await within(connection.data, limit)
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
        events_came()
        if limit is not None:
            limit = gap
        fresh = [event for event in events if not repeated(run, event.id)]
        if fresh:
            if not run.response_started:
                await run.response_writer.start_stream(answer.status, answer.headers)
                run.response_started = True
            await run.response_writer.write(b"".join(event.data for event in fresh))
            run.events += len(fresh)
            run.last_event = next(
                (event.id for event in reversed(fresh) if event.id is not None), run.last_event
            )
    if splitter.rest:
        raise TargetError("ended within an event", sent=True)
