"""The blackboard: what the parts know, in typed sections with one writer each."""

from __future__ import annotations

from typing import NamedTuple

from savoryfork.pipeline import EMPTY, Configuration


class TargetView(NamedTuple):
    """What this host knows of one target. Times are monotonic milliseconds of this host.

    `running`, `waiting` and `tokens` are the target's last load report, taken at `reported_ms`.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    incarnation: str
    leaving: bool = False
    running: int = 0
    waiting: int = 0
    tokens: int = 0
    reported_ms: float = 0.0


class HostView(NamedTuple):
    """What this host knows of another entry host; `address` is its peer address."""

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
    """Whether the platform's log answered when it was last asked."""

    available: bool = False
    changed_ms: float = 0.0


class Board:
    """Sections and their writers.

    `configuration` and `config_position` (next log offset to fold) are written by the publication
    controller, `targets` and `hosts` by the membership controller, `log` by the log client,
    `stopping` by the daemon. Readers take a section as it is; every value is immutable.
    """

    def __init__(self) -> None:
        self.configuration: Configuration = EMPTY
        self.config_position = 0
        self.config_ready = False
        self.targets: dict[str, TargetView] = {}
        self.hosts: dict[str, HostView] = {}
        self.log = LogState()
        self.stopping = False

    def targets_of(self, service: str) -> list[TargetView]:
        """The targets of a service that may get new work, in order of name."""
        return [
            view
            for name, view in sorted(self.targets.items())
            if view.service == service and not view.leaving
        ]
