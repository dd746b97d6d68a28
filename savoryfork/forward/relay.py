"""Forwards the events of a target's stream to the caller, without gaps or duplicates."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

from savoryfork.forward import silence
from savoryfork.forward.connection import Connection, TargetError
from savoryfork.forward.endless import EndlessStreamError, StreamCheck
from savoryfork.forward.events import Event, EventSplitter, EventTooLarge
from savoryfork.forward.model import AnswerHead
from savoryfork.forward.run import Run
from savoryfork.forward.silence import Decision
from savoryfork.util import logs

log = logging.getLogger(__name__)

T = TypeVar("T")

# Reasons of the TargetError of a request that leaves its silent target, and of one whose target
# sends without end.
SILENT = "silent"
ENDLESS = "endless stream"

# Events that are relayed at a time, and the bytes as which each counts for the turns of its reader:
# relaying 128 events takes about as long as parsing 32 KB of tiny chunks.
EVENTS_PER_TURN = 128
EVENT_COST_BYTES = 256


class SilenceWatch:
    """Watches the reads of one response while its target may fall silent.

    `review` is called again and again for a silent target: it prepares a move to another target,
    and returns MOVE once that can take the request. Until then the read goes on. None waits for the
    target however long it is silent.
    """

    def __init__(self, review: Callable[[], Awaitable[Decision]] | None) -> None:
        self.review = review
        self.reviews: asyncio.Task[None] | None = None

    async def read(self, operation: Callable[[], Awaitable[T]], silence_ms: float) -> T:
        """Awaits one read; raises TargetError if the request leaves its target.

        The read is not interrupted for a review, since an interrupted read may lose data.
        """
        if self.review is None:
            return await operation()
        try:
            async with asyncio.timeout(None) as timeout:
                loop = asyncio.get_running_loop()
                start = loop.call_later(silence_ms / 1000, self.start_reviews, timeout)
                try:
                    return await operation()
                finally:
                    start.cancel()
                    self.stop_reviews()
        except TimeoutError:
            if timeout.expired():
                raise TargetError(SILENT, sent=True) from None
            raise

    def start_reviews(self, timeout: asyncio.Timeout) -> None:
        """Starts the reviews of a target that has fallen silent."""
        self.reviews = asyncio.get_running_loop().create_task(self.run_reviews(timeout))

    def stop_reviews(self) -> None:
        """Ends the reviews, as the target has sent something or the request ends."""
        if self.reviews is not None:
            self.reviews.cancel()
            self.reviews = None

    async def run_reviews(self, timeout: asyncio.Timeout) -> None:
        """Reviews the request until it can move; then interrupts its read."""
        assert self.review is not None
        try:
            decision = await self.review()
            while decision is not Decision.MOVE:
                await asyncio.sleep(silence.review_ms(decision) / 1000)
                decision = await self.review()
        except Exception:
            # The request stays where it is.
            logs.failure(log, "silence_review_failed")
            return
        timeout.reschedule(asyncio.get_running_loop().time())


async def relay_events(
    run: Run,
    connection: Connection,
    answer: AnswerHead,
    now: Callable[[], float],
    on_events: Callable[[], None],
    watch: SilenceWatch,
) -> None:
    """Forwards complete events as they arrive, until the target ends its stream.

    Drops events of a resumed stream that the caller already has. `on_events` is called on each
    arrival of events. Raises TargetError if the stream ends prematurely or seems not to end.
    """
    assert run.route is not None
    prompt = run.request.prompt
    max_tokens = prompt.output_tokens if prompt is not None else None
    check = StreamCheck(max_tokens, run.events, run.last_event)
    splitter = EventSplitter(connection.limits.event_bytes)
    silence_ms = silence.first_event_silence_ms(run.route)
    while True:
        data = await watch.read(connection.read_chunk, silence_ms)
        if data is None:
            break
        while data or splitter.has_more:
            try:
                events = splitter.feed(data, EVENTS_PER_TURN)
            except EventTooLarge:
                raise TargetError("event too large", sent=True) from None
            data = b""
            if not events:
                continue
            received = check.received
            new_events = select_new(run, check, events)
            if check.received > received:
                run.first_event_at = run.first_event_at or now()
                on_events()
                silence_ms = silence.event_silence_ms(run.route)
            if new_events:
                await send_events(run, answer, new_events)
                run.events, run.last_event = check.sent, check.last_id
            await connection.yield_turn(len(events) * EVENT_COST_BYTES)
    if splitter.buffer:
        raise TargetError("stream ended within an event", sent=True)
    if not connection.framed and run.attempt is not None and not run.attempt.events:
        # A target that crashes as it begins to write closes its connection like one that has ended.
        raise TargetError("closed before the first event", sent=True)


def select_new(run: Run, check: StreamCheck, events: list[Event]) -> list[Event]:
    """Returns the events that the caller lacks; raises TargetError for an endless stream."""
    try:
        return check.select(events)
    except EndlessStreamError as error:
        raise TargetError(f"{ENDLESS}: {error}", sent=True, certain=True) from None
    finally:
        if run.attempt is not None:
            run.attempt.events = check.received


async def send_events(run: Run, answer: AnswerHead, events: list[Event]) -> None:
    """Sends events to the caller, after the head of the answer if it was not sent yet.

    A caller that reads slowly delays the next read, and so holds back the target.
    """
    run.waiting_for_caller = True
    if not run.response_started:
        await run.response_writer.start_stream(answer.status, answer.headers)
        run.response_started = True
    await run.response_writer.write(b"".join(event.data for event in events))
    run.waiting_for_caller = False
