"""Tests for the key=value log lines."""

from __future__ import annotations

import logging
import os

import pytest
from logfmter import Logfmter

from savoryfork.util import logs


class TestLines:
    @pytest.fixture(autouse=True)
    def restore(self) -> object:
        """Restores the root logger."""
        root = logging.getLogger()
        handlers, level = list(root.handlers), root.level
        yield
        root.handlers, root.level = handlers, level

    def test_one_line_with_host_and_fields(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against lines that a log store can't parse into pairs."""
        logs.setup("host-0")
        logs.event(logging.getLogger("x"), "run_ended", request="r1", error=None, note='a "b"\nc')
        line = capsys.readouterr().err
        assert line.count("\n") == 1
        assert "event=run_ended request=r1" in line
        assert "host=host-0" in line
        assert "error=" not in line

    def test_failure_keeps_its_traceback_on_the_line(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against tracebacks that are lost or split over several lines."""
        logs.setup("host-0")
        try:
            raise ValueError("broken")
        except ValueError:
            logs.failure(logging.getLogger("x"), "run_failed", request="r1")
        line = capsys.readouterr().err
        assert line.count("\n") == 1
        assert "event=run_failed" in line and "ValueError: broken" in line


OPTIONS = {
    "keys": ["at", "time", "host", "logger"],
    "mapping": {"at": "levelname", "time": "asctime", "logger": "name"},
}


class TestFormatter:
    """Guards against lines that differ from those of the library, which the soak checks parse."""

    @pytest.mark.parametrize(
        "message",
        [
            {"event": "e", "text": "plain", "empty": "", "none": None, "yes": True, "ms": 1.5},
            {"a b": "x y", "": "=", 'q"': 'say "x"', "back": "a\\b", "both": 'a\\b "c"'},
            {
                "line": "a\nb\tc\r",
                "control": "\x00\x1f\x7f",
                "wide": "\u00e9\u2028",
                "list": [1, 2],
            },
            {"nested": {"x": {"y": 1}, "z": "a=b"}, "name": "shadows", "levelname": "own"},
            "text with spaces",
            "",
        ],
    )
    def test_equals_the_library(self, message: object) -> None:
        record = logging.LogRecord("x.y", logging.INFO, "f", 1, message, (), None)
        record.host = "h 1"
        record.extra = {"deep": {"er": 1}}
        expected = Logfmter(**OPTIONS).format(record)
        del record.asctime
        assert logs.LineFormatter(**OPTIONS).format(record) == expected

    @pytest.mark.parametrize("created", [10.0, 11.9996, 1_700_000_000.999, 1_700_000_000.0004])
    def test_time_equals_that_of_the_library(self, created: float) -> None:
        """Guards against the time of an earlier second, or milliseconds of 1000."""
        formatter = logs.LineFormatter()
        for at in (created - 0.5, created, created + 0.5):
            record = logging.makeLogRecord({"created": at, "msecs": (at - int(at)) * 1000})
            assert formatter.formatTime(record) == logging.Formatter().formatTime(record)


class TestBoundedHandler:
    """Guards against logging that blocks requests because of a slow or closed reader."""

    @staticmethod
    def record(level: int = logging.INFO) -> logging.LogRecord:
        return logging.LogRecord("x", level, "f", 1, "event=e", (), None)

    def test_stalled_reader_does_not_block(self):
        reader, writer = os.pipe()
        handler = logs.BoundedHandler(writer)
        handler.MAX_LINES_PER_S = 10**9
        handler.MAX_BUFFER_BYTES = 1_000
        for _ in range(50_000):
            handler.emit(self.record())
        assert handler.dropped > 0 and len(handler.buffer) <= 1_100
        os.close(reader)
        os.close(writer)

    def test_rate_limit_keeps_warnings(self):
        reader, writer = os.pipe()
        handler = logs.BoundedHandler(writer)
        handler.MAX_LINES_PER_S = 5
        for _ in range(100):
            handler.emit(self.record())
        before = handler.dropped
        handler.emit(self.record(logging.WARNING))
        assert before > 0 and handler.dropped == before
        os.close(reader)
        os.close(writer)

    def test_closed_reader_only_drops_lines(self):
        reader, writer = os.pipe()
        handler = logs.BoundedHandler(writer)
        os.close(reader)
        handler.emit(self.record())
        assert handler.dropped == 1 and not handler.buffer
        os.close(writer)
