"""Shows the course of one request from the logs of all hosts.

LOGS are files with the lines of forwarding hosts, in any order; without any, standard input is
read. Prints every decision about the request in order of time, what happened meanwhile to the
targets that it was offered to, and a summary of its outcome.

Example: savoryfork explain 95057082f2b94ded front-*.log
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

from absl import flags

from savoryfork.errors import UserError
from savoryfork.ui import DONE, FAILED, output
from savoryfork.util.logs import parse_line

USAGE = "REQUEST-ID [LOGS...]"

# Fields that have a column of their own or say nothing about the request.
HIDDEN = {"at", "time", "host", "logger", "event", "request", "exc_info"}

# Target events that may explain the outcome of a request there.
TARGET_EVENTS = {
    "target_ejected",
    "target_returned",
    "target_leaving",
    "target_gone",
    "target_reborn",
    "stage_call_stuck",
}

# Target events up to this long before a request are shown.
TARGET_EVENT_LOOKBACK_MS = 5_000.0


class Line(NamedTuple):
    """A log line: its Unix time in milliseconds and its key=value pairs."""

    at_ms: float
    pairs: dict[str, str]

    @property
    def event(self) -> str:
        """The name of the logged event."""
        return self.pairs.get("event", "")


def define(values: flags.FlagValues) -> None:
    """Defines no flags."""


def time_ms(text: str) -> float | None:
    """Parses the time of a line to Unix milliseconds; None if invalid."""
    try:
        return datetime.strptime(text, "%Y-%m-%d %H:%M:%S,%f").timestamp() * 1000
    except ValueError:
        return None


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Parses the lines that have an event name and a valid time."""
    for text in texts:
        if "event=" in text:
            pairs = parse_line(text)
            at_ms = time_ms(pairs.get("time", ""))
            if at_ms is not None:
                yield Line(at_ms, pairs)


def read_texts(paths: list[str]) -> Iterator[str]:
    """Yields the lines of the files, or of standard input without any; raises UserError."""
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with Path(path).open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise UserError(f"{path}: {error.strerror}") from error


def request_timeline(lines: list[Line], request: str) -> list[Line]:
    """Returns the lines about a request and about the targets it was sent to, in order of time."""
    request_lines = [line for line in lines if line.pairs.get("request") == request]
    if not request_lines:
        return []
    done = [line for line in request_lines if line.event == "request_done"]
    offers = ",".join(line.pairs.get("offers", "") for line in done)
    targets = {offer.partition(":")[0] for offer in offers.split(",") if offer}
    start_ms, end_ms = time_span(request_lines)
    target_lines = [
        line
        for line in lines
        if line.event in TARGET_EVENTS
        and line.pairs.get("target") in targets
        and start_ms - TARGET_EVENT_LOOKBACK_MS <= line.at_ms <= end_ms
    ]
    return sorted([*request_lines, *target_lines], key=lambda line: line.at_ms)


def time_span(request_lines: list[Line]) -> tuple[float, float]:
    """Returns the start of a request and the time of its last line, in Unix milliseconds."""
    starts = [line.at_ms - float(line.pairs.get("took_ms", 0)) for line in request_lines]
    return min(starts), max(line.at_ms for line in request_lines)


def summary(request_lines: list[Line]) -> str:
    """Describes the outcome of a request in one sentence."""
    done = next((line.pairs for line in request_lines if line.event == "request_done"), None)
    if done is None:
        return "no host wrote the end of this request: it died, or its log is missing"
    outcome = done.get("outcome", "unknown")
    if outcome != "answered":
        reason = f": {done['reason']}" if "reason" in done else ""
        return f"{outcome} after {done.get('took_ms')} ms{reason}"
    first, aim = done.get("first_event_ms", done.get("took_ms")), done.get("aim_ms")
    late = float(first or 0) > float(aim or "inf")
    staged = f", of which {done['staged_ms']} ms in stages" if "staged_ms" in done else ""
    return f"answered {'late' if late else 'in time'}: {first} ms of {aim} ms{staged}"


def run(arguments: list[str], values: flags.FlagValues) -> int:
    """Finds the lines of the request and prints them."""
    if not arguments:
        raise UserError("a request id is needed")
    request, *paths = arguments
    found = request_timeline(list(read_lines(read_texts(paths))), request)
    if not found:
        output.fail(f"no line about request {request}")
        return FAILED
    request_lines = [line for line in found if line.pairs.get("request") == request]
    start_ms, _ = time_span(request_lines)
    if values.json:
        rows = [{**line.pairs, "after_ms": round(line.at_ms - start_ms)} for line in found]
        output.print_json({"request": request, "summary": summary(request_lines), "lines": rows})
        return DONE
    for line in found:
        rest = " ".join(f"{k}={v}" for k, v in line.pairs.items() if k not in HIDDEN)
        host = line.pairs.get("host", "-")
        print(f"{line.at_ms - start_ms:>8.0f} ms  {host:<18} {line.event:<16} {rest}")
    print(summary(request_lines))
    return DONE
