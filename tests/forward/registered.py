"""Hosts that follow some targets and one configuration, in virtual time."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from savoryfork.forward.topics import Topic
from simulation.plane import ControlPlane, Host

# The bound within which a change is in force after its acknowledgement.
MAX_CONFIG_S = 2.0


def config_value(version: int) -> bytes:
    return msgspec.json.encode({"version": version, "routes": [], "services": []})


def target_value(
    number: int, sequence: int = 1, state: str = "ready", born: int = 1_700_000_000_000
) -> bytes:
    row = {"service": "s", "address": f"10.1.0.{number}:80", "zone": "z", "slots": 2}
    return msgspec.json.encode({**row, "state": state, "born": born, "sequence": sequence})


def versions(hosts: list[Host]) -> set[int]:
    return {host.follower.catalog.version if host.follower.catalog else -1 for host in hosts}


def usable(hosts: list[Host]) -> set[frozenset[str]]:
    return {frozenset(t.name for t in host.follower.registry.usable("s")) for host in hosts}


class Plane(ControlPlane):
    """Hosts that follow five targets and version 1 of the configuration."""

    def __init__(self, hosts: int = 20) -> None:
        super().__init__(hosts)
        self.put_config(1)
        for number in range(5):
            self.put_target(number)

    def put_config(self, version: int) -> None:
        self.store.put(Topic.CONFIGURATION, "config", config_value(version))

    def put_target(self, number: int, sequence: int = 1, state: str = "ready") -> None:
        self.store.put(Topic.TARGETS, f"t{number}", target_value(number, sequence, state))

    def remove_target(self, number: int) -> None:
        self.store.put(Topic.TARGETS, f"t{number}", b"")

    async def drill(self, copy: Any, away_s: float = 2.0) -> None:
        """Takes the store away and brings it back from an older copy."""
        self.store.down = True
        self.store.notify()
        await asyncio.sleep(away_s)
        self.store.restore(copy)
        self.store.down = False

    async def until(self, condition: Any, limit_s: float = MAX_CONFIG_S) -> None:
        await self.seconds_until(condition, limit_s)
