"""Splits an event stream into whole events, so that only those are passed on."""

from __future__ import annotations

from typing import NamedTuple

# An event larger than this ends the stream: targets send some hundred bytes.
MAX_EVENT_BYTES = 1_048_576


class Event(NamedTuple):
    """One whole event with its end, and its id if it has one."""

    data: bytes
    id: bytes | None


class EventTooLarge(Exception):
    """An event did not end within the limit."""


class EventSplitter:
    r"""Takes parts of a stream and gives whole events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [Event(data=b'id: 1\ndata: a\n\n', id=b'1')]
    >>> splitter.feed(b"ta: b\n\n")[0].id, splitter.buffer
    (b'2', b'')
    """

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Adds a part of the stream; raises EventTooLarge."""
        self.buffer += data
        events = []
        while (end := self.first_event_end()) > 0:
            whole, self.buffer = self.buffer[:end], self.buffer[end:]
            events.append(Event(whole, event_id(whole)))
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge
        return events

    def first_event_end(self) -> int:
        """Where the first whole event ends; 0 if there is none."""
        ends = [
            self.buffer.find(mark) + len(mark)
            for mark in (b"\n\n", b"\r\n\r\n")
            if mark in self.buffer
        ]
        return min(ends, default=0)


def event_id(event: bytes) -> bytes | None:
    """The id that an event declares."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None


def numeric_id(event: bytes | None) -> int | None:
    """An event id as a number; None if it is not one."""
    return int(event) if event is not None and event.isdigit() else None
