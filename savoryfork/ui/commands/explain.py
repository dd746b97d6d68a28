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

# Fields that are shown by themselves or that tell nothing about a request.
HIDDEN = {"at", "time", "host", "logger", "event", "request", "exc_info"}

# Events about a target that may be the cause of what a request met there.
TARGET_EVENTS = {
    "target_ejected",
    "target_returned",
    "target_leaving",
    "target_gone",
    "target_reborn",
    "stage_call_stuck",
}

# How long before a request such an event still counts.
BEFORE_MS = 5_000.0


class Line(NamedTuple):
    """One log line: its Unix time in milliseconds and its pairs."""

    at_ms: float
    pairs: dict[str, str]

    @property
    def event(self) -> str:
        """What the line reports."""
        return self.pairs.get("event", "")


def define(values: flags.FlagValues) -> None:
    """This command has no flags of its own."""


def time_ms(text: str) -> float | None:
    """The time of a line; None if it can't be read."""
    try:
        return datetime.strptime(text, "%Y-%m-%d %H:%M:%S,%f").timestamp() * 1000
    except ValueError:
        return None


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """The lines that report an event at a time."""
    for text in texts:
        if "event=" in text:
            pairs = parse_line(text)
            at_ms = time_ms(pairs.get("time", ""))
            if at_ms is not None:
                yield Line(at_ms, pairs)


def texts_of(paths: list[str]) -> Iterator[str]:
    """The lines of files, or of standard input if there are none; raises UserError."""
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with Path(path).open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise UserError(f"{path}: {error.strerror}") from error


def course(lines: list[Line], request: str) -> list[Line]:
    """The lines about a request and about the targets that it met, in order of time."""
    own = [line for line in lines if line.pairs.get("request") == request]
    if not own:
        return []
    done = [line for line in own if line.event == "request_done"]
    offers = ",".join(line.pairs.get("offers", "") for line in done)
    targets = {offer.partition(":")[0] for offer in offers.split(",") if offer}
    begin, end = begin_and_end(own)
    near = [
        line
        for line in lines
        if line.event in TARGET_EVENTS
        and line.pairs.get("target") in targets
        and begin - BEFORE_MS <= line.at_ms <= end
    ]
    return sorted([*own, *near], key=lambda line: line.at_ms)


def begin_and_end(own: list[Line]) -> tuple[float, float]:
    """When a request came and when its last line was written."""
    begins = [line.at_ms - float(line.pairs.get("took_ms", 0)) for line in own]
    return min(begins), max(line.at_ms for line in own)


def summary(own: list[Line]) -> str:
    """What became of a request, in one sentence."""
    done = next((line.pairs for line in own if line.event == "request_done"), None)
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
    """Finds and prints."""
    if not arguments:
        raise UserError("a request id is needed")
    request, *paths = arguments
    found = course(list(read_lines(texts_of(paths))), request)
    if not found:
        output.fail(f"no line about request {request}")
        return FAILED
    own = [line for line in found if line.pairs.get("request") == request]
    begin, _ = begin_and_end(own)
    if values.json:
        rows = [{**line.pairs, "after_ms": round(line.at_ms - begin)} for line in found]
        output.print_json({"request": request, "summary": summary(own), "lines": rows})
        return DONE
    for line in found:
        rest = " ".join(f"{k}={v}" for k, v in line.pairs.items() if k not in HIDDEN)
        host = line.pairs.get("host", "-")
        print(f"{line.at_ms - begin:>8.0f} ms  {host:<18} {line.event:<16} {rest}")
    print(summary(own))
    return DONE
