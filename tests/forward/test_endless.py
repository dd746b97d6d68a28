"""Tests of the check for streams that do not end."""

import pytest

from savoryfork.forward.endless import (
    EXTRA_EVENTS,
    MAX_STALE_PARTS,
    EndlessStreamError,
    StreamCheck,
)
from savoryfork.forward.events import Event, EventSplitter

COMMENT = Event(b": x\n\n", None)


def event(number: int) -> Event:
    return Event(b"id: %d\ndata: x\n\n" % number, b"%d" % number)


def events(first: int, last: int) -> list[Event]:
    return [event(number) for number in range(first, last + 1)]


class TestSoundStreams:
    def test_all_events_at_once(self):
        """Guards against an engine taken for faulty since its events come together."""
        check = StreamCheck(max_tokens=4_000, sent=0, last_id=None)
        assert check.select(events(1, 4_000)) == events(1, 4_000)

    def test_marks_without_a_token(self):
        """Guards against a bound that a stream with a closing event exceeds."""
        check = StreamCheck(max_tokens=6, sent=0, last_id=None)
        closing = Event(b"data: [DONE]\n\n", None)
        assert check.select([*events(1, 6), closing]) == [*events(1, 6), closing]

    def test_comments_of_a_silent_engine(self):
        """Guards against a stream that ends since its engine reads a long prompt."""
        check = StreamCheck(max_tokens=6, sent=0, last_id=None)
        for number in range(1, 7):
            assert check.select([COMMENT] * 60) == [COMMENT] * 60
            assert check.select([event(number)]) == [event(number)]

    def test_resumed_stream_that_begins_at_its_start(self):
        """Guards against a resumed stream that is given up for what it repeats."""
        check = StreamCheck(max_tokens=2_000, sent=1_000, last_id=b"1000")
        assert check.select(events(1, 1_010)) == events(1_001, 1_010)


class TestEndlessStreams:
    @pytest.mark.parametrize("part", [COMMENT, event(1)], ids=["comment", "event"])
    def test_nothing_new(self, part):
        """Guards against a target that keeps the host busy with parts of no use."""
        check = StreamCheck(max_tokens=6, sent=0, last_id=b"1")
        check.select([part] * MAX_STALE_PARTS)
        with pytest.raises(EndlessStreamError, match="nothing new"):
            check.select([part])

    def test_more_events_than_tokens(self):
        """Guards against a target that goes on after the last token that was asked for."""
        check = StreamCheck(max_tokens=6, sent=2, last_id=b"2")
        check.select(events(3, 6 + EXTRA_EVENTS))
        with pytest.raises(EndlessStreamError, match="tokens"):
            check.select([event(7 + EXTRA_EVENTS)])

    def test_events_without_ids_count_too(self):
        check = StreamCheck(max_tokens=6, sent=0, last_id=None)
        with pytest.raises(EndlessStreamError):
            check.select([Event(b"data: x\n\n", None)] * (7 + EXTRA_EVENTS))


class TestIds:
    @pytest.mark.parametrize("digits", [19, 4_301, 20_000])
    def test_id_of_any_length(self, digits):
        """Guards against an id with more digits than Python converts: it ended the request with an
        internal error."""
        huge = Event(b"id: %s\n\n" % (b"9" * digits), b"9" * digits)
        check = StreamCheck(max_tokens=6, sent=1, last_id=b"1")
        assert check.select([huge, event(2), huge]) == [huge]


class TestSplitter:
    def test_pieces_give_the_same_events_as_the_whole(self):
        """Guards against terminators that are missed at the edge of a chunk or of a batch."""
        data = b"id: 1\r\ndata: a\r\n\r\n: b\n\nid: 2\ndata: c\n\n\n\ndata: d\r\n\r\n"
        whole = EventSplitter().feed(data)
        assert len(whole) == 5
        for size in range(1, len(data)):
            splitter, found = EventSplitter(), []
            for start in range(0, len(data), size):
                part = data[start : start + size]
                while part or splitter.has_more:
                    found += splitter.feed(part, limit=2)
                    part = b""
            assert found == whole and not splitter.buffer
