"""Splits an event stream into complete events, so that no partial event is forwarded."""

from __future__ import annotations

import re
from typing import NamedTuple

from savoryfork.forward.limits import DEFAULT_LIMITS, MIN_CHUNK_BYTES

TERMINATOR = re.compile(rb"\n\n|\r\n\r\n")
MAX_TERMINATOR_BYTES = 4


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
    >>> len(splitter.feed(b"data: a\r\n\r\n: b\n\ndata: c\n\n", limit=2)), splitter.has_more
    (2, True)
    >>> splitter.feed(b"")[0].data
    b'data: c\n\n'
    """

    def __init__(self, max_bytes: int = DEFAULT_LIMITS.event_bytes) -> None:
        self.max_bytes = max_bytes
        self.buffer = b""
        self.has_more = False
        self.searched = 0
        self.counted_bytes = 0

    def feed(self, data: bytes, limit: int | None = None) -> list[Event]:
        """Adds a chunk and returns the events that it completes; raises EventTooLarge.

        With a `limit`, `has_more` tells whether that many were found and there may be others. They
        are returned for the next chunk, which may be empty.
        """
        received = self.buffer + data
        events: list[Event] = []
        start, self.has_more = 0, False
        for terminator in TERMINATOR.finditer(received, self.searched):
            complete = received[start : terminator.end()]
            events.append(Event(complete, event_id(complete)))
            start = terminator.end()
            if len(events) == limit:
                self.has_more = True
                break
        self.buffer = received[start:]
        self.searched = 0 if self.has_more else max(0, len(self.buffer) - MAX_TERMINATOR_BYTES + 1)
        if self.has_more:
            self.counted_bytes = 0
        elif events or not data:
            self.counted_bytes = len(self.buffer)
        else:
            self.counted_bytes += max(len(data), MIN_CHUNK_BYTES)
        if self.counted_bytes > self.max_bytes:
            raise EventTooLarge
        return events


def event_id(event: bytes) -> bytes | None:
    """Returns the id of an event, or None."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None


def is_comment(event: Event) -> bool:
    """Returns whether an event has no field, as those that only keep a connection open.

    >>> is_comment(Event(b": ping\\n\\n", None)), is_comment(Event(b"data: x\\n\\n", None))
    (True, False)
    """
    return all(line.startswith(b":") for line in event.data.splitlines() if line)


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
