"""Deselects the tests listed in KNOWN-RED.txt and prints them; fixtures of all tests."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
PREFIX = "test: "


def known_red() -> set[str]:
    """Returns the node ids of the tests listed as failing because of a known fault."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix(PREFIX).strip() for line in lines if line.startswith(PREFIX)}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselects exactly the listed tests, unless `--known-red` is set."""
    listed = known_red()
    red = [item for item in items if item.nodeid in listed]
    if red and not config.getoption("--known-red"):
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item.nodeid not in listed]


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds `--known-red`, which runs the listed tests too."""
    parser.addoption("--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the listed tests at the end of every run."""
    for nodeid in sorted(known_red()):
        terminalreporter.write_line(f"known red, see KNOWN-RED.txt: {nodeid}")


@pytest.fixture
def quiet_logs() -> Iterator[None]:
    """Silences the logs of many hosts in one process."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)
