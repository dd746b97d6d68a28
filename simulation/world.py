"""A deployment in virtual time: hosts, the operator, targets, and what has been acknowledged."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from savoryfork.errors import ServiceError
from savoryfork.forward.deadlines import ChangeBounds
from savoryfork.forward.gate import Gate
from savoryfork.forward.model import CallerRequest
from savoryfork.forward.preview import NoResponse
from savoryfork.forward.run import Run
from savoryfork.forward.topics import CONFIGURATION_KEY, Topic
from simulation.plane import LATENCY_S, ControlPlane, Host

# Pauses between changes of the configuration and of the targets.
CONFIG_GAPS_S = (0.08, 0.3, 0.8)
TARGET_GAPS_S = (0.1, 0.4)
HEARTBEAT_S = 1.2

# Messages between hosts take up to this many times as long as the fastest.
DELAY_SPREAD = 3.0

# Targets at the start, and the fewest that stay.
FIRST_TARGETS = 6
MIN_TARGETS = 3
ZONES = ("zone-a", "zone-b", "zone-c")

# How long a target goes on after it has said that it is leaving, shortest and longest.
LEAVING_S = (2.5, 6.0)

# Shares of the changes of the configuration that concern an evacuation.
EVACUATION_SHARE = 0.1

# Workspaces between which keys move, and the number of keys in force.
WORKSPACES = ("w1", "w2")
KEYS = 4

# An address at which no host listens.
STALE_SEED = "10.9.9.9:7000"

HOST_NAME = "a.example"
SERVICE = "s"


class Bounds(NamedTuple):
    """Times in seconds within which the users' pages ask for something."""

    contact_s: float
    config_s: float
    targets_s: float
    revocation_s: float = 5.0
    evacuation_s: float = 5.0
    recovery_s: float = 12.0

    def change_bounds(self) -> ChangeBounds:
        """Returns the bounds that hosts have in their settings."""
        return ChangeBounds(configuration_ms=self.config_s * 1000, targets_ms=self.targets_s * 1000)


def bounds_for(hosts: int) -> Bounds:
    """Returns the bounds of deployments with so many hosts.

    >>> bounds_for(9).config_s, bounds_for(82).config_s, bounds_for(195).config_s
    (2.0, 3.0, 4.0)
    """
    if hosts < 60:
        return Bounds(3.0, 2.0, 2.0)
    return Bounds(4.0, 3.0, 3.0) if hosts < 195 else Bounds(5.0, 4.0, 4.0)


class Acknowledged(NamedTuple):
    """A configuration that the store has acknowledged: the workspace of each key."""

    at: float
    version: int
    keys: dict[str, str]


class Availability(NamedTuple):
    """Whether a target, or the targets of a zone, may be used, as acknowledged at a time.

    `steady` tells whether the store was undisturbed then.
    """

    at: float
    usable: bool
    steady: bool


def encode_configuration(version: int, keys: dict[str, str]) -> bytes:
    """Returns a configuration with a route that needs a key and one that needs none."""
    route = {"host": HOST_NAME, "service": SERVICE, "route_kind": "idempotent", "priority": 1}
    route |= {"timeout_ms": 2000, "target_latency_ms": 300}
    routes = [
        {**route, "name": "keyed", "path_prefix": "/keyed/"},
        {**route, "name": "open", "path_prefix": "/open/", "allow_anonymous": True},
    ]
    tenants = [
        {"name": name, "api_keys": sorted(key for key, owner in keys.items() if owner == name)}
        for name in WORKSPACES
    ]
    document = {"version": version, "routes": routes, "services": [{"name": SERVICE}]}
    return msgspec.json.encode({**document, "tenants": tenants})


class World(ControlPlane):
    """Hosts beside an operator and targets that change what the hosts must know."""

    def __init__(self, seed: int, hosts: int) -> None:
        self.limits = bounds_for(hosts)
        super().__init__(hosts, self.limits.change_bounds())
        self.rng = random.Random(f"world {seed} {hosts}")
        self.delays = random.Random(f"delays {seed} {hosts}")
        self.gates: dict[str, tuple[Any, Gate]] = {}
        self.timeline: list[tuple[float, str]] = []
        self.disturbed_until = {host.address: -math.inf for host in self.hosts}
        self.store_disturbed_until = -math.inf
        self.versions: list[Acknowledged] = []
        self.keys = {f"k{number}": WORKSPACES[number % 2] for number in range(KEYS)}
        self.next_key = KEYS
        self.targets: dict[str, dict[str, Any]] = {}
        self.availability: dict[str, Availability] = {}
        self.zones = {zone: Availability(-math.inf, True, True) for zone in ZONES}
        self.publish()
        for _ in range(FIRST_TARGETS):
            self.add_target()

    # Time and the record of the run.

    def now(self) -> float:
        """Returns the time since the start of the run in seconds; 0 before it."""
        try:
            return asyncio.get_running_loop().time()
        except RuntimeError:
            return 0.0

    def note(self, text: str) -> None:
        """Adds a line to the timeline."""
        self.timeline.append((self.now(), text))

    def delay_s(self) -> float:
        """Returns the time of a message from one host to another."""
        return LATENCY_S * self.delays.uniform(1.0, DELAY_SPREAD)

    # Disturbances, as the users' pages excuse them.

    def disturb(self, host: Host, for_s: float = 0.0) -> None:
        """Records that a host is out of touch for a time."""
        address = host.address
        self.disturbed_until[address] = max(self.disturbed_until[address], self.now() + for_s)

    def disturb_store(self, for_s: float) -> None:
        """Records that the store is disturbed for a time."""
        self.store_disturbed_until = max(self.store_disturbed_until, self.now() + for_s)

    def disturbed_s(self, host: Host) -> float:
        """Returns the time since a host or the store was last disturbed."""
        return self.now() - max(self.disturbed_until[host.address], self.store_disturbed_until)

    def in_touch(self, host: Host) -> bool:
        """Returns whether the bounds on changes hold for a host now."""
        return self.disturbed_s(host) > self.limits.contact_s

    def ranked(self, ranks: Iterable[int]) -> list[Host]:
        """Returns the live hosts of some ranks in the order in which they would read the store."""
        live = self.live()
        if not live:
            return []
        order = live[0].members.readers(self.now() * 1000)
        ranked = [self.up[address] for address in order if address in self.up]
        return [ranked[rank] for rank in ranks if rank < len(ranked)]

    def draw_seeds(self, host: Host) -> list[str]:
        """Returns the seeds of a host that starts: live ones, and maybe a stale one."""
        others = [other.address for other in self.live() if other is not host]
        seeds = self.rng.sample(others, min(2, len(others)))
        return [STALE_SEED, *seeds] if self.rng.random() < 0.5 else seeds

    # The operator.

    def publish(self) -> None:
        """Writes a version of the configuration; it is acknowledged at once."""
        version = self.versions[-1].version + 1 if self.versions else 1
        self.versions.append(Acknowledged(self.now(), version, dict(self.keys)))
        self.put_configuration()

    def put_configuration(self) -> None:
        """Writes the newest version to the store."""
        newest = self.versions[-1]
        value = encode_configuration(newest.version, newest.keys)
        self.store.put(Topic.CONFIGURATION, CONFIGURATION_KEY, value)

    def change_keys(self) -> None:
        """Takes a key away, brings a new one, or moves one to another workspace."""
        change = self.rng.choice(("take", "add", "move", "none"))
        if change == "take" and len(self.keys) > 1:
            del self.keys[self.rng.choice(list(self.keys))]
        elif change == "add":
            self.keys[f"k{self.next_key}"] = self.rng.choice(WORKSPACES)
            self.next_key += 1
        elif change == "move" and self.keys:
            key = self.rng.choice(list(self.keys))
            self.keys[key] = WORKSPACES[1 - WORKSPACES.index(self.keys[key])]

    async def change_configuration(self, until: float) -> None:
        """Publishes versions, evacuates zones and takes them back until a time."""
        while self.now() < until:
            await asyncio.sleep(self.rng.choice(CONFIG_GAPS_S))
            if self.store.down:
                continue
            if self.rng.random() < EVACUATION_SHARE:
                self.toggle_evacuation(self.rng.choice(ZONES))
            else:
                self.change_keys()
                self.publish()

    def is_steady(self) -> bool:
        """Returns whether the store has been undisturbed for long enough."""
        return self.store_disturbed_until < self.now() - self.limits.contact_s

    def toggle_evacuation(self, zone: str) -> None:
        """Evacuates a zone or takes it back."""
        evacuated = self.zones[zone].usable
        self.zones[zone] = Availability(self.now(), not evacuated, self.is_steady())
        self.note(f"{zone} is {'evacuated' if evacuated else 'taken back'}")
        self.put_zone(zone)

    def put_zone(self, zone: str) -> None:
        """Writes whether a zone is evacuated to the store."""
        value = b"" if self.zones[zone].usable else b"{}"
        self.store.put(Topic.CONFIGURATION, f"evacuate/{zone}", value)

    # Targets.

    def add_target(self) -> None:
        """Starts a target."""
        number = len(self.availability)
        name = f"t{number}"
        self.targets[name] = {
            "service": SERVICE,
            "address": f"10.1.{number // 250}.{1 + number % 250}:80",
            "zone": ZONES[number % len(ZONES)],
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "warmup_left_ms": 0,
            "born": 1_700_000_000_000,
            "sequence": 0,
        }
        self.beat(name)
        self.availability[name] = Availability(self.now(), True, self.is_steady())

    def beat(self, name: str) -> None:
        """Writes a heartbeat of a target."""
        row = self.targets[name]
        row["sequence"] += 1
        self.store.put(Topic.TARGETS, name, msgspec.json.encode(row))

    def write_odd_entry(self, ahead: int) -> None:
        """Writes an entry of a target without its version; it names no target to use."""
        name = self.rng.choice(list(self.targets))
        row = {key: value for key, value in self.targets[name].items() if key != "version"}
        row["sequence"] += ahead
        self.note(f"odd entry of {name}")
        self.store.put(Topic.TARGETS, name, msgspec.json.encode(row))

    def drain(self, name: str) -> None:
        """Lets a target leave: it says so, or its entry is removed."""
        self.availability[name] = Availability(self.now(), False, self.is_steady())
        if self.rng.random() < 0.5:
            self.targets[name]["state"] = "draining"
            self.beat(name)
            leaving_s = self.rng.uniform(*LEAVING_S)
            asyncio.get_running_loop().call_later(leaving_s, self.remove, name)
        else:
            self.remove(name)

    def remove(self, name: str) -> None:
        """Removes the entry of a target that has left."""
        if self.targets.pop(name, None) is not None and not self.store.down:
            self.store.put(Topic.TARGETS, name, b"")

    async def change_targets(self, until: float) -> None:
        """Starts targets and lets others leave until a time."""
        while self.now() < until:
            await asyncio.sleep(self.rng.choice(TARGET_GAPS_S))
            if self.store.down:
                continue
            ready = [name for name, state in self.availability.items() if state.usable]
            if len(ready) > MIN_TARGETS and self.rng.random() < 0.5:
                self.drain(self.rng.choice(ready))
            else:
                self.add_target()

    async def write_heartbeats(self) -> None:
        """Writes the heartbeats of all targets for as long as the run lasts."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.store.down:
                for name in list(self.targets):
                    self.beat(name)

    def write_again(self) -> None:
        """Writes what the operator and the targets last wrote, as a restored store may lack it."""
        self.put_configuration()
        for zone in ZONES:
            self.put_zone(zone)
        for name in list(self.targets):
            self.beat(name)
        for name in self.availability:
            if name not in self.targets:
                self.store.put(Topic.TARGETS, name, b"")

    # What hosts answer.

    def ask(self, host: Host, path: str, key: str | None) -> str:
        """Returns the workspace for which a host would run a request now, or the kind of refusal.

        The empty text stands for a run without a workspace.
        """
        gate = self.gate(host)
        request = CallerRequest(
            b"r1", b"GET", path.encode(), HOST_NAME, [], key, None, None, (), ""
        )
        run = Run(request, None, NoResponse(), gate.follower.now())
        try:
            gate.admit(run)
        except ServiceError as error:
            return error.kind.value
        return run.workspace.name if run.workspace is not None else ""

    def gate(self, host: Host) -> Gate:
        """Returns the gate of a host's present process."""
        known = self.gates.get(host.address)
        if known is None or known[0] is not host.follower:
            gate = Gate(host.follower, self.limits.revocation_s * 1000)
            known = self.gates[host.address] = (host.follower, gate)
        return known[1]
