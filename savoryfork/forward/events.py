"""Splits an event stream into complete events, so that no partial event is forwarded."""

from __future__ import annotations

from typing import NamedTuple

# An event larger than this ends the stream; targets' events have some hundred bytes.
MAX_EVENT_BYTES = 1_048_576


class Event(NamedTuple):
    """A complete event including its terminator, and its id if it has one."""

    data: bytes
    id: bytes | None


class EventTooLarge(Exception):
    """An event exceeds the size limit."""


class EventSplitter:
    r"""Assembles complete events from chunks of a stream.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [Event(data=b'id: 1\ndata: a\n\n', id=b'1')]
    >>> splitter.feed(b"ta: b\n\n")[0].id, splitter.buffer
    (b'2', b'')
    """

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Adds a chunk and returns the events that it completes; raises EventTooLarge."""
        self.buffer += data
        events = []
        while (end := self.first_event_end()) > 0:
            complete, self.buffer = self.buffer[:end], self.buffer[end:]
            events.append(Event(complete, event_id(complete)))
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge
        return events

    def first_event_end(self) -> int:
        """Returns the end position of the first complete event; 0 if there is none."""
        ends = [
            self.buffer.find(terminator) + len(terminator)
            for terminator in (b"\n\n", b"\r\n\r\n")
            if terminator in self.buffer
        ]
        return min(ends, default=0)


def event_id(event: bytes) -> bytes | None:
    """Returns the id of an event, or None."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None


def numeric_id(raw_id: bytes | None) -> int | None:
    """Returns an event id as a number; None if it is not numeric."""
    return int(raw_id) if raw_id is not None and raw_id.isdigit() else None
