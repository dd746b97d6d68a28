"""Recognizes streams of targets that send well-formed parts without end.

A stream has at most one event for each token that its request asked for, and the ids of its events
increase. A faulty target repeats an event, sends comments, or goes on after the last token. Each
part costs the host time, also if it is dropped, so such a stream is a failed attempt like one that
breaks off: a resumable one goes on at another target.

The load pattern behind the bounds: tens of streams on one engine, of up to some hundred events
each, a few of which come at once after a pause of the engine or of the caller.
"""

from __future__ import annotations

import math

from savoryfork.forward.events import Event, is_comment, is_later

# Parts without anything new that a stream may have between two new events. A target that keeps a
# silent connection open with comments sends a few a second, and one that resumes a stream from its
# start sends as many as were relayed.
MAX_STALE_PARTS = 256

# Events beyond the tokens that were asked for, for marks without a token.
EXTRA_EVENTS = 16


class EndlessStreamError(Exception):
    """A stream that sends nothing new, or more than its request asked for."""


class StreamCheck:
    """Selects the events of one target's stream that are new to the caller.

    `sent` is the number of events that the caller has, and `last_id` the id of the last one of
    them, from this target or another. `max_tokens` is None if the request does not name it; only
    the deadline then bounds a stream with increasing ids. `received` counts the events of this
    target; comments are none.

    >>> check = StreamCheck(max_tokens=4, sent=1, last_id=b"1")
    >>> repeated, new = Event(b"id: 1\\n\\n", b"1"), Event(b"id: 2\\n\\n", b"2")
    >>> check.select([repeated, new, repeated]) == [new]
    True
    """

    def __init__(self, max_tokens: int | None, sent: int, last_id: bytes | None) -> None:
        self.max_events = math.inf if max_tokens is None else max_tokens + EXTRA_EVENTS
        self.max_stale = MAX_STALE_PARTS + sent
        self.sent = sent
        self.last_id = last_id
        self.received = 0
        self.stale = 0

    def select(self, events: list[Event]) -> list[Event]:
        """Returns the events to relay, comments included; raises EndlessStreamError."""
        selected = []
        for event in events:
            comment = event.id is None and is_comment(event)
            self.received += not comment
            if not comment and self.is_new(event):
                self.stale = 0
                self.sent += 1
                if event.id is not None:
                    self.last_id = event.id
            else:
                self.stale += 1
                if not comment:
                    continue
            selected.append(event)
            if self.sent > self.max_events:
                raise EndlessStreamError("more events than tokens")
        if self.stale > self.max_stale:
            raise EndlessStreamError("nothing new")
        return selected

    def is_new(self, event: Event) -> bool:
        """Returns whether the caller does not have an event yet."""
        if event.id is None or self.last_id is None:
            return True
        return is_later(event.id, self.last_id)
