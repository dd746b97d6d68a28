"""Disruptions of hosts, paths and the store, and the plan of a run.

Hosts are named by their rank in the order in which they take over reading the store at the moment
of the disruption, so that a plan means the same for any number of hosts.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from functools import singledispatch
from typing import NamedTuple

from simulation.plane import STORE, Host
from simulation.world import World

# Time within which disruptions begin.
SPAN_S = 6.0

# Most disruptions of one run.
MAX_DISRUPTIONS = 6

# Pauses between the hosts of a series.
GAPS_S = (0.0, 0.0, 0.1, 0.5, 0.7, 1.0)

# Share of the plans in which a disruption hits the hosts that read first.
FIRST_RANKS_SHARE = 0.6

# Most hosts that one disruption hits at random.
MAX_RANDOM_HOSTS = 8

# How long the store is away before it comes back from a copy, and until what it lacks is written
# again, as the platform states them.
RESTORE_AWAY_S = 2.0
REWRITE_S = 0.3


class PowerLoss(NamedTuple):
    """Hosts lose power, one each `gap_s`: calls to them hang; they start after `back_s` if set."""

    at_s: float
    ranks: tuple[int, ...]
    gap_s: float
    back_s: float


class Kill(NamedTuple):
    """Processes are killed, one each `gap_s`: calls are refused; they start after `back_s`."""

    at_s: float
    ranks: tuple[int, ...]
    gap_s: float
    back_s: float


class Freeze(NamedTuple):
    """Hosts freeze, one each `gap_s`, for `for_s`."""

    at_s: float
    ranks: tuple[int, ...]
    gap_s: float
    for_s: float


class StoreCut(NamedTuple):
    """Hosts and the store lose each other's messages, or the store turns the hosts away."""

    at_s: float
    ranks: tuple[int, ...]
    for_s: float
    refused: bool


class PeerCut(NamedTuple):
    """Hosts are cut off from all others, in one direction or both; they still reach the store."""

    at_s: float
    ranks: tuple[int, ...]
    for_s: float
    one_way: bool


class StoreDown(NamedTuple):
    """The store answers nobody."""

    at_s: float
    for_s: float


class StoreSlow(NamedTuple):
    """Each message to or from the store takes `delay_s`."""

    at_s: float
    for_s: float
    delay_s: float


class StoreRestored(NamedTuple):
    """The store goes away and comes back from a copy that was made `age_s` before."""

    at_s: float
    age_s: float


class HistoryLost(NamedTuple):
    """The store forgets all records but the newest of each key."""

    at_s: float


class OddEntry(NamedTuple):
    """Another writer writes an entry of a target that lacks a field and is `ahead` in sequence."""

    at_s: float
    ahead: int


Disruption = (
    PowerLoss
    | Kill
    | Freeze
    | StoreCut
    | PeerCut
    | StoreDown
    | StoreSlow
    | StoreRestored
    | HistoryLost
    | OddEntry
)


def draw_ranks(rng: random.Random, hosts: int) -> tuple[int, ...]:
    """Returns the ranks of the hosts that a disruption hits; at least one host is left out."""
    if rng.random() < FIRST_RANKS_SHARE:
        return tuple(range(rng.randint(1, hosts - 1)))
    count = rng.randint(1, min(MAX_RANDOM_HOSTS, hosts - 1))
    return tuple(rng.sample(range(hosts), count))


def draw_losses(kind: type[PowerLoss] | type[Kill]) -> Callable[[random.Random, int], Disruption]:
    """Returns a function that draws a loss of hosts, half of which start again."""

    def draw(rng: random.Random, hosts: int) -> Disruption:
        back_s = rng.choice((0.0, 0.3, rng.uniform(0.3, 4.0)))
        return kind(rng.uniform(0, SPAN_S), draw_ranks(rng, hosts), rng.choice(GAPS_S), back_s)

    return draw


KINDS: dict[str, Callable[[random.Random, int], Disruption]] = {
    "power_loss": draw_losses(PowerLoss),
    "kill": draw_losses(Kill),
    "freeze": lambda rng, hosts: Freeze(
        rng.uniform(0, SPAN_S), draw_ranks(rng, hosts), rng.choice(GAPS_S), rng.uniform(0.2, 6.5)
    ),
    "store_cut": lambda rng, hosts: StoreCut(
        rng.uniform(0, SPAN_S), draw_ranks(rng, hosts), rng.uniform(1.0, 7.0), rng.random() < 0.5
    ),
    "peer_cut": lambda rng, hosts: PeerCut(
        rng.uniform(0, SPAN_S), draw_ranks(rng, hosts), rng.uniform(1.0, 7.0), rng.random() < 0.5
    ),
    "store_down": lambda rng, hosts: StoreDown(rng.uniform(0, SPAN_S), rng.uniform(0.5, 7.0)),
    "store_slow": lambda rng, hosts: StoreSlow(
        rng.uniform(0, SPAN_S), rng.uniform(1.0, 5.0), rng.uniform(0.02, 0.24)
    ),
    "store_restored": lambda rng, hosts: StoreRestored(
        rng.uniform(1.0, SPAN_S), rng.uniform(0.1, 1.0)
    ),
    "history_lost": lambda rng, hosts: HistoryLost(rng.uniform(0, SPAN_S)),
    "odd_entry": lambda rng, hosts: OddEntry(rng.uniform(0, SPAN_S), rng.randint(-3, 40)),
}

# Kinds that break promises of the product as it is; see KNOWN-RED.txt. They are not drawn unless
# they are asked for.
KNOWN_RED = ("odd_entry",)
DEFAULT_KINDS = tuple(name for name in KINDS if name not in KNOWN_RED)


def draw_plan(seed: int, hosts: int, kinds: Iterable[str] = DEFAULT_KINDS) -> list[Disruption]:
    """Returns the disruptions of a run in the order of their beginning.

    >>> [type(disruption).__name__ for disruption in draw_plan(4, 9, ["store_down"])][:1]
    ['StoreDown']
    """
    rng = random.Random(f"plan {seed} {hosts}")
    names = list(kinds)
    drawn = [KINDS[rng.choice(names)](rng, hosts) for _ in range(rng.randint(1, MAX_DISRUPTIONS))]
    return sorted(drawn, key=lambda disruption: disruption.at_s)


@singledispatch
async def inject(disruption: Disruption, world: World) -> None:
    """Plays one disruption, from its beginning to its end."""
    raise TypeError(f"no disruption: {disruption!r}")


async def hit(
    world: World, ranks: Iterable[int], gap_s: float, strike: Callable[[Host], None]
) -> None:
    """Strikes the hosts of some ranks, one each `gap_s`."""
    for host in world.ranked(ranks):
        strike(host)
        await asyncio.sleep(gap_s)


def start_again(world: World, host: Host, back_s: float) -> None:
    """Starts a host after a time, with seeds of which one may be stale."""

    def start() -> None:
        if host.address not in world.up:
            world.note(f"{host.address} starts")
            host.start(world.draw_seeds(host))
            world.disturb(host)

    if back_s:
        asyncio.get_running_loop().call_later(back_s, start)


@inject.register
async def _(disruption: PowerLoss, world: World) -> None:
    def strike(host: Host) -> None:
        world.disturb(host, for_s=disruption.back_s)
        host.lose_power()
        start_again(world, host, disruption.back_s)

    await hit(world, disruption.ranks, disruption.gap_s, strike)


@inject.register
async def _(disruption: Kill, world: World) -> None:
    def strike(host: Host) -> None:
        world.disturb(host, for_s=disruption.back_s)
        host.stop()
        start_again(world, host, disruption.back_s)

    await hit(world, disruption.ranks, disruption.gap_s, strike)


@inject.register
async def _(disruption: Freeze, world: World) -> None:
    def strike(host: Host) -> None:
        world.disturb(host, for_s=disruption.for_s)
        host.freeze()
        asyncio.get_running_loop().call_later(disruption.for_s, host.thaw)

    await hit(world, disruption.ranks, disruption.gap_s, strike)


@inject.register
async def _(disruption: StoreCut, world: World) -> None:
    hosts = world.ranked(disruption.ranks)
    addresses = [host.address for host in hosts]
    paths = [path for a in addresses for path in ((a, STORE), (STORE, a))]
    for host in hosts:
        world.disturb(host, for_s=disruption.for_s)
    if disruption.refused:
        world.refused.update(addresses)
    else:
        world.cut.update(paths)
    await asyncio.sleep(disruption.for_s)
    if disruption.refused:
        world.refused.subtract(addresses)
    else:
        world.cut.subtract(paths)


@inject.register
async def _(disruption: PeerCut, world: World) -> None:
    hosts = world.ranked(disruption.ranks)
    others = [host for host in world.hosts if host not in hosts]
    paths = [(host.address, other.address) for host in hosts for other in others]
    if not disruption.one_way:
        paths += [(destination, source) for source, destination in paths]
    for host in hosts:
        world.disturb(host, for_s=disruption.for_s)
    world.cut.update(paths)
    await asyncio.sleep(disruption.for_s)
    world.cut.subtract(paths)


@inject.register
async def _(disruption: StoreDown, world: World) -> None:
    world.disturb_store(disruption.for_s)
    world.store.down = True
    world.store.notify()
    await asyncio.sleep(disruption.for_s)
    world.store.down = False


@inject.register
async def _(disruption: StoreSlow, world: World) -> None:
    world.disturb_store(disruption.for_s)
    world.store_delay_s = disruption.delay_s
    await asyncio.sleep(disruption.for_s)
    world.store_delay_s = 0.0


@inject.register
async def _(disruption: StoreRestored, world: World) -> None:
    world.disturb_store(disruption.age_s + RESTORE_AWAY_S + REWRITE_S)
    copy = world.store.copy()
    await asyncio.sleep(disruption.age_s)
    world.store.down = True
    world.store.notify()
    await asyncio.sleep(RESTORE_AWAY_S)
    world.store.restore(copy)
    world.store.down = False
    await asyncio.sleep(REWRITE_S)
    world.write_again()


@inject.register
async def _(disruption: HistoryLost, world: World) -> None:
    for topic, entries in world.store.logs.items():
        world.store.first[topic] = len(entries)


@inject.register
async def _(disruption: OddEntry, world: World) -> None:
    world.write_odd_entry(disruption.ahead)
