"""Plays one run of a simulation, and reduces a broken one to the fewest disruptions."""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Sequence
from typing import Any, NamedTuple

import looptime

from simulation.disruptions import SPAN_S, Disruption, inject
from simulation.promises import Break, judge, lag_s
from simulation.world import World

# Time before the first change, in which all hosts read their first copies.
SETTLE_S = 3.0

# Time after the last disruption for which hosts are judged. At its end they must agree on who is
# alive.
WATCH_S = 8.0

JUDGE_STEP_S = 0.1


class Result(NamedTuple):
    """What a run has shown; `max_lag_s` is the most that a host in touch was behind.

    `reads_per_s` counts the reads of the store by all hosts, `bytes_per_s` what the median host
    sends and receives, and `seconds` is the simulated time.
    """

    seed: int
    hosts: int
    plan: list[Disruption]
    broken: list[Break]
    max_lag_s: float
    reads_per_s: float
    bytes_per_s: float
    timeline: list[tuple[float, str]]
    seconds: float


async def play_world(world: World, plan: Sequence[Disruption]) -> tuple[list[Break], float]:
    """Plays the disruptions beside changes; returns what broke and the greatest lag in touch."""
    broken: dict[str, Break] = {}
    max_lag_s = 0.0
    beating = asyncio.create_task(world.write_heartbeats())
    await asyncio.sleep(SETTLE_S)
    until = world.now() + SPAN_S

    async def play_disruption(disruption: Disruption) -> None:
        await asyncio.sleep(disruption.at_s)
        world.note(str(disruption))
        await inject(disruption, world)

    playing = [asyncio.create_task(play_disruption(disruption)) for disruption in plan]
    changing = [
        asyncio.create_task(world.change_configuration(until)),
        asyncio.create_task(world.change_targets(until)),
    ]
    while True:
        for host in world.live():
            if not host.thawed.is_set():
                continue
            for found in judge(world, host):
                if broken.setdefault(found.promise, found) is found:
                    world.note(f"BROKEN {found.promise}: {found.host}: {found.detail}")
            if world.in_touch(host) and host.follower.catalog is not None:
                max_lag_s = max(max_lag_s, lag_s(world, host.follower.catalog.version))
        calm_at = max(until, world.store_disturbed_until, *world.disturbed_until.values())
        if world.now() > calm_at + WATCH_S and all(task.done() for task in playing):
            break
        await asyncio.sleep(JUDGE_STEP_S)
    if not world.agreed():
        broken.setdefault("members", Break(world.now(), "members", "", "hosts disagree"))
    for task in (beating, *playing, *changing):
        task.cancel()
    for ended in await asyncio.gather(*playing, *changing, return_exceptions=True):
        if isinstance(ended, Exception):
            raise ended
    return list(broken.values()), max_lag_s


async def play_plan(seed: int, hosts: int, plan: Sequence[Disruption]) -> Result:
    """Plays a plan; to be called in a loop with virtual time."""
    async with World(seed, hosts) as world:
        broken, max_lag_s = await play_world(world, plan)
        seconds = world.now()
        return Result(
            seed,
            hosts,
            list(plan),
            broken,
            max_lag_s,
            world.store.calls / seconds,
            statistics.median(world.bytes[host.address] for host in world.hosts) / seconds,
            world.timeline,
            seconds,
        )


def play(seed: int, hosts: int, plan: Sequence[Disruption]) -> Result:
    """Plays a plan in virtual time; the same seed, hosts and plan give the same result."""
    loop: Any = looptime.new_event_loop(start=0.0, noop_cycles=1)
    try:
        result: Result = loop.run_until_complete(play_plan(seed, hosts, plan))
        return result
    finally:
        loop.close()


def shrink(result: Result) -> Result:
    """Returns a run with the fewest disruptions and hosts hit that breaks the same promise."""
    promise = result.broken[0].promise

    def breaks(plan: Sequence[Disruption]) -> Result | None:
        found = play(result.seed, result.hosts, plan)
        return found if any(item.promise == promise for item in found.broken) else None

    smallest = result
    reduced = True
    while reduced:
        reduced = False
        for candidate in simpler_plans(smallest.plan):
            if (found := breaks(candidate)) is not None:
                smallest, reduced = found, True
                break
    return smallest


def simpler_plans(plan: list[Disruption]) -> list[list[Disruption]]:
    """Returns plans with one disruption less, then those that hit one host less."""
    shorter = [plan[:n] + plan[n + 1 :] for n in range(len(plan))]
    for number, disruption in enumerate(plan):
        ranks = getattr(disruption, "ranks", ())
        if len(ranks) > 1:
            fewer: Any = disruption._replace(ranks=ranks[:-1])  # type: ignore[call-arg]
            shorter.append([*plan[:number], fewer, *plan[number + 1 :]])
    return shorter
