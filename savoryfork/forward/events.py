"""Splits an event stream into complete events, so that no partial event is forwarded."""

from __future__ import annotations

from typing import NamedTuple

from savoryfork.forward.limits import DEFAULT_LIMITS, MIN_CHUNK_BYTES

TERMINATORS = (b"\n\n", b"\r\n\r\n")


class Event(NamedTuple):
    """A complete event including its terminator, and its id if it has one."""

    data: bytes
    id: bytes | None


class EventTooLarge(Exception):
    """An event exceeds the size limit."""


class EventSplitter:
    r"""Assembles complete events of up to `max_bytes` from chunks of a stream.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [Event(data=b'id: 1\ndata: a\n\n', id=b'1')]
    >>> splitter.feed(b"ta: b\n\n")[0].id, splitter.buffer
    (b'2', b'')
    """

    def __init__(self, max_bytes: int = DEFAULT_LIMITS.event_bytes) -> None:
        self.max_bytes = max_bytes
        self.buffer = b""
        self.counted_bytes = 0

    def feed(self, data: bytes) -> list[Event]:
        """Adds a chunk and returns the events that it completes; raises EventTooLarge."""
        received = self.buffer + data
        events = []
        start = 0
        while (end := first_event_end(received, start)) > 0:
            complete = received[start:end]
            events.append(Event(complete, event_id(complete)))
            start = end
        self.buffer = received[start:]
        if events:
            self.counted_bytes = len(self.buffer)
        else:
            self.counted_bytes += max(len(data), MIN_CHUNK_BYTES)
        if self.counted_bytes > self.max_bytes:
            raise EventTooLarge
        return events


def first_event_end(data: bytes, start: int) -> int:
    r"""Returns the end position of the first complete event from `start` on; 0 if there is none.

    >>> first_event_end(b"a\r\n\r\nb\n\n", 0), first_event_end(b"a\n\nb", 3)
    (5, 0)
    """
    ends = [
        position + len(terminator)
        for terminator in TERMINATORS
        if (position := data.find(terminator, start)) >= 0
    ]
    return min(ends, default=0)


def event_id(event: bytes) -> bytes | None:
    """Returns the id of an event, or None."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None


def is_later(event_id: bytes, last_id: bytes) -> bool:
    """Returns whether an id follows another one; those that are no numbers have no order.

    >>> is_later(b"10", b"9"), is_later(b"9", b"9"), is_later(b"x", b"9")
    (True, False, True)
    """
    if not (event_id.isdigit() and last_id.isdigit()):
        return True
    # An id may have more digits than Python converts to a number.
    digits, last_digits = event_id.lstrip(b"0"), last_id.lstrip(b"0")
    return (len(digits), digits) > (len(last_digits), last_digits)
