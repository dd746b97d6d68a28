"""What must hold at every moment of a run, judged from what hosts know and would do.

The rules are those of the users' pages; what a host may know in which way is the product's.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from savoryfork.errors import ErrorKind
from simulation.plane import Host
from simulation.world import SERVICE, World

# Keys of the past that are tried at a host at a time: those that changed last.
TRIED_KEYS = 6

NEVER_HELD = "never-held"

REFUSALS = frozenset(kind.value for kind in ErrorKind)
STALE = ErrorKind.STALE_CONFIGURATION.value
UNAUTHORIZED = ErrorKind.UNAUTHORIZED.value
NOT_READY = ErrorKind.NOT_READY.value


class Break(NamedTuple):
    """A promise that a host has broken, the first time in a run."""

    at_s: float
    promise: str
    host: str
    detail: str


def overdue_version(world: World, host: Host) -> str | None:
    """A host in touch follows each version within the bound of changes (CONFIG)."""
    if not world.in_touch(host) or host.follower.catalog is None:
        return None
    known = host.follower.catalog.version
    behind_s = lag_s(world, known)
    if behind_s <= world.limits.config_s:
        return None
    return f"version {known} is {behind_s:.2f} s behind"


def lag_s(world: World, version: int) -> float:
    """Returns the time since the acknowledgement of the first version after a known one."""
    if version >= len(world.versions):
        return 0.0
    return world.now() - world.versions[version].at


def used_too_long(world: World, host: Host) -> str | None:
    """A host in touch uses no target that has been leaving or gone for the bound (DRAIN)."""
    if not world.in_touch(host):
        return None
    for target in host.follower.registry.usable(SERVICE):
        state = world.availability.get(target.name)
        if state is None or state.usable or not state.steady:
            continue
        age_s = world.now() - state.at
        if age_s > world.limits.targets_s:
            return f"{target.name} has been leaving for {age_s:.2f} s"
    return None


def evacuated_too_late(world: World, host: Host) -> str | None:
    """A host in touch knows of an evacuation, and of its end, within its bound (EVAC)."""
    if not world.in_touch(host):
        return None
    for zone, state in world.zones.items():
        age_s = world.now() - state.at
        differs = (zone in host.follower.registry.evacuated) == state.usable
        if differs and state.steady and age_s > world.limits.evacuation_s:
            return f"{zone} has been {'back' if state.usable else 'evacuated'} for {age_s:.2f} s"
    return None


def tried_keys(world: World) -> list[str]:
    """Returns keys of the newest versions, those that were taken away among them."""
    keys: dict[str, None] = {}
    for acknowledged in reversed(world.versions):
        keys |= dict.fromkeys(acknowledged.keys)
        if len(keys) >= TRIED_KEYS + len(world.keys):
            break
    return [*keys, NEVER_HELD]


def owners(world: World, key: str, within_s: float) -> set[str | None]:
    """Returns the workspaces that held a key in the last `within_s`, with None if nobody did."""
    since = world.now() - within_s
    found: set[str | None] = set()
    for acknowledged in reversed(world.versions):
        found.add(acknowledged.keys.get(key))
        if acknowledged.at <= since:
            break
    return found


def wrong_workspace(world: World, host: Host) -> str | None:
    """No host, in touch or not, runs a request for a workspace that has not held its key lately.

    That covers keys that were taken away, moved or never held (UNASKED, ROUTE, CONFIG).
    """
    for key in tried_keys(world):
        held_by = owners(world, key, world.limits.revocation_s)
        for path in ("/keyed/x", "/open/x"):
            outcome = world.ask(host, path, key)
            if outcome not in REFUSALS and (not outcome or outcome not in held_by):
                return f"{path} with {key} runs for {outcome or 'nobody'}, held by {held_by}"
    return None


def denied(world: World, host: Host) -> str | None:
    """No host denies a key that has been in force for the bound of changes (DENIED)."""
    for key in world.keys:
        if None in owners(world, key, world.limits.config_s):
            continue
        if world.ask(host, "/keyed/x", key) == UNAUTHORIZED:
            return f"{key} has been in force for {world.limits.config_s} s"
    return None


def refused_without_key(world: World, host: Host) -> str | None:
    """A host that has a configuration serves what needs no key, however old that is."""
    if host.follower.catalog is None:
        return None
    outcome = world.ask(host, "/open/x", None)
    return f"/open/x without a key: {outcome}" if outcome else None


def refused_in_touch(world: World, host: Host) -> str | None:
    """A host in touch judges keys, and one that has just started has its first configuration."""
    if not world.keys:
        return None
    outcome = world.ask(host, "/keyed/x", next(iter(world.keys)))
    if outcome == STALE and world.in_touch(host):
        return "its configuration is out of date"
    if outcome == NOT_READY and world.disturbed_s(host) > world.limits.recovery_s:
        return "it has no configuration"
    return None


PROMISES: dict[str, Callable[[World, Host], str | None]] = {
    "CONFIG": overdue_version,
    "DRAIN": used_too_long,
    "EVAC": evacuated_too_late,
    "keys": wrong_workspace,
    "DENIED": denied,
    "anonymous": refused_without_key,
    "in touch": refused_in_touch,
}


def judge(world: World, host: Host) -> list[Break]:
    """Returns the promises that a host breaks now."""
    found = []
    for name, check in PROMISES.items():
        if (detail := check(world, host)) is not None:
            found.append(Break(world.now(), name, host.address, detail))
    return found
