"""Shared in-process state in typed sections, each with one writer."""

from __future__ import annotations

from typing import NamedTuple

from savoryfork.pipeline import EMPTY_CONFIGURATION, Configuration
from savoryfork.targets import TargetTable, TargetView

__all__ = ["Board", "HostView", "LogState", "TargetTable", "TargetView"]


class HostView(NamedTuple):
    """State of another entry host as known here; `address` is its peer address."""

    name: str
    address: str
    availability_zone: str
    incarnation: str
    leaving: bool = False
    answered_ms: float = 0.0
    config_offset: int = -1
    config_position: int = 0
    reachable: bool = True


class LogState(NamedTuple):
    """Availability of the platform's log as of the last call."""

    available: bool = False
    changed_ms: float = 0.0


class Board:
    """Sections and their writers.

    `configuration` and `config_position` (next log offset to fold) are written by the publication
    controller, `targets` and `hosts` by the membership controller, `log` by the log client,
    `stopping` by the daemon. Readers use a section as it is; every value is immutable.
    """

    def __init__(self, host: str = "", subset_size: int = 0) -> None:
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.config_position = 0
        self.config_ready = False
        self.targets = TargetTable(host, subset_size)
        self.hosts: dict[str, HostView] = {}
        self.log = LogState()
        self.stopping = False

    def targets_of(self, service: str) -> list[TargetView]:
        """Returns the targets of a service that may get new work, ordered by name."""
        return self.targets.usable(service)
