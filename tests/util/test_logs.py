"""Tests for the key=value log lines."""

from __future__ import annotations

import logging
import os

import pytest

from savoryfork.util import logs


class TestLines:
    @pytest.fixture(autouse=True)
    def restore(self) -> object:
        """Puts the root logger back as it was."""
        root = logging.getLogger()
        handlers, level = list(root.handlers), root.level
        yield
        root.handlers, root.level = handlers, level

    def test_one_line_with_host_and_fields(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against lines that a log store can't split into pairs."""
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
        """Guards against a bug whose traceback is lost or spread over several lines."""
        logs.setup("host-0")
        try:
            raise ValueError("broken")
        except ValueError:
            logs.failure(logging.getLogger("x"), "run_failed", request="r1")
        line = capsys.readouterr().err
        assert line.count("\n") == 1
        assert "event=run_failed" in line and "ValueError: broken" in line


class TestBoundedHandler:
    """Logging must not hold up requests, whatever its reader does."""

    @staticmethod
    def record(level: int = logging.INFO) -> logging.LogRecord:
        return logging.LogRecord("x", level, "f", 1, "event=e", (), None)

    def test_a_reader_that_has_stopped_blocks_nothing(self):
        reader, writer = os.pipe()
        handler = logs.BoundedHandler(writer)
        handler.MAX_LINES_PER_S = 10**9
        handler.MAX_WAITING_BYTES = 1_000
        for _ in range(50_000):
            handler.emit(self.record())
        assert handler.dropped > 0 and len(handler.waiting) <= 1_100
        os.close(reader)
        os.close(writer)

    def test_a_flood_keeps_its_warnings(self):
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

    def test_a_reader_that_is_gone_costs_only_its_lines(self):
        reader, writer = os.pipe()
        handler = logs.BoundedHandler(writer)
        os.close(reader)
        handler.emit(self.record())
        assert handler.dropped == 1 and not handler.waiting
        os.close(writer)
