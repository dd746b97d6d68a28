"""One line of key=value pairs for each event, through the standard logging module."""

from __future__ import annotations

import logging
import os
import re
import sys
from typing import Any

from logfmter import Logfmter


def setup(host: str, level: str = "INFO") -> None:
    """Sends every log record to standard error as one key=value line."""
    configure(logging.StreamHandler(sys.stderr), host, level)


def configure(handler: logging.Handler, host: str, level: str) -> None:
    """Makes a handler the only one, with the host's name in each line."""
    handler.setFormatter(
        Logfmter(
            keys=["at", "time", "host", "logger"],
            mapping={"at": "levelname", "time": "asctime", "logger": "name"},
        )
    )

    def add_host(record: logging.LogRecord) -> bool:
        record.host = host
        return True

    handler.addFilter(add_host)
    logging.basicConfig(handlers=[handler], level=level, force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


PAIR = re.compile(r'([A-Za-z_.]+)=("(?:[^"\\]|\\.)*"|\S*)')


def parse_line(line: str) -> dict[str, str]:
    r"""The pairs of one line as they were logged; whatever stands before the first is left out.

    >>> parse_line('12.5 host-1 at=INFO event=stopped reason="a \\"b\\"" took_ms=3')
    {'at': 'INFO', 'event': 'stopped', 'reason': 'a "b"', 'took_ms': '3'}
    """
    pairs = {}
    for key, value in PAIR.findall(line):
        if value.startswith('"'):
            value = re.sub(r"\\(.)", r"\1", value[1:-1])
        pairs[key] = value
    return pairs


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for its reader.

    Lines that the reader has not taken wait in memory, `MAX_WAITING_BYTES` at most, and beyond
    `MAX_LINES_PER_S` only warnings are written. What is left out is counted in `dropped`, and a
    line says so once there is room again.
    """

    MAX_WAITING_BYTES = 1_000_000
    MAX_LINES_PER_S = 600

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.fd = fd
        self.waiting = bytearray()
        self.dropped = 0
        self.reported = 0
        self.second = 0
        self.lines = 0
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queues one line and writes what the descriptor takes."""
        second = int(record.created)
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        crowded = self.lines > self.MAX_LINES_PER_S and record.levelno < logging.WARNING
        if crowded or len(self.waiting) > self.MAX_WAITING_BYTES:
            self.dropped += 1
            return
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        self.waiting += line.encode("utf-8", "replace") + b"\n"
        if self.dropped > self.reported and self.lines == 1:
            self.waiting += f"event=log_lines_dropped total={self.dropped}\n".encode()
            self.reported = self.dropped
        self.flush()

    def flush(self) -> None:
        """Writes as much as the descriptor takes now; the rest goes with the next line."""
        while self.waiting:
            try:
                written = os.write(self.fd, self.waiting[:65_536])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; keeping the lines would only fill the memory.
                self.dropped += self.waiting.count(b"\n")
                self.waiting.clear()
                return
            del self.waiting[:written]


bounded: BoundedHandler | None = None


def setup_bounded(host: str, level: str = "INFO") -> None:
    """Sends every log record to standard output as one key=value line, without ever blocking."""
    global bounded
    bounded = BoundedHandler(sys.stdout.fileno())
    configure(bounded, host, level)


def dropped() -> int:
    """How many lines the bounded handler has left out."""
    return bounded.dropped if bounded is not None else 0


def flush() -> None:
    """Writes what still waits, as far as the reader takes it."""
    if bounded is not None:
        bounded.flush()


def event(logger: logging.Logger, name: str, level: int = logging.INFO, **fields: Any) -> None:
    """Logs one event. Fields that are None are left out; prompt text and keys never go in."""
    if logger.isEnabledFor(level):
        logger.log(level, pairs_of(name, fields))


def failure(logger: logging.Logger, name: str, **fields: Any) -> None:
    """Logs the exception that is being handled, a bug, with its traceback."""
    logger.error(pairs_of(name, fields), exc_info=True)


def pairs_of(name: str, fields: dict[str, Any]) -> dict[str, Any]:
    """The pairs of one line, the event's name first."""
    return {"event": name} | {key: value for key, value in fields.items() if value is not None}
