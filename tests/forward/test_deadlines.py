"""Every host knows each change within its bound, whichever other hosts are lost and when."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from savoryfork.forward.follower import JOIN_TIMEOUT_MS
from savoryfork.forward.topics import Topic
from simulation.plane import Host
from tests.forward.registered import MAX_CONFIG_S, Plane

# A series of versions: its length, and the pause between two.
SERIES_S, SERIES_GAP_S = 2.0, 0.08

# Targets that are registered before a series.
FIRST_TARGETS = 5

# Time from the start of a series at which hosts are lost, near its end: the copies are as new as
# they can be, so those that read the store because theirs is old do so last.
LOSS_S = 1.5

# Time that hosts are watched after a series.
WATCH_S = 4.0
WATCH_STEP_S = 0.01

# An address at which no host listens.
STALE_SEED = "10.9.9.9:7000"

Disruption = Callable[["Series"], Awaitable[None]]


class Series(Plane):
    """Hosts that follow a series of versions of the configuration, and a new target with each.

    `max_late_s` is the most that a host was behind in a topic: the time since the acknowledgement
    of the first version or target that it lacks. Hosts in `disturbed` are not judged.
    """

    def __init__(self, hosts: int) -> None:
        super().__init__(hosts)
        self.acknowledged: list[tuple[float, int]] = []
        self.disturbed: set[str] = set()
        self.max_late_s = dict.fromkeys((Topic.CONFIGURATION, Topic.TARGETS), 0.0)

    def ranked(self) -> list[Host]:
        """Returns the hosts in the order in which they take over reading the store."""
        hosts = {host.address: host for host in self.hosts}
        now = asyncio.get_running_loop().time() * 1000
        return [hosts[address] for address in self.hosts[0].members.readers(now)]

    def lose_power(self, hosts: list[Host]) -> None:
        for host in hosts:
            host.lose_power()

    async def write_versions(self) -> None:
        for version in range(2, 2 + int(SERIES_S / SERIES_GAP_S)):
            self.put_config(version)
            self.put_target(version + FIRST_TARGETS)
            self.acknowledged.append((asyncio.get_running_loop().time(), version))
            await asyncio.sleep(SERIES_GAP_S)

    async def watch(self) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + SERIES_S + WATCH_S
        while loop.time() < until:
            for host in self.live():
                if host.address not in self.disturbed and host.follower.catalog is not None:
                    version = host.follower.catalog.version
                    newest = max(int(name[1:]) for name in host.follower.registry.targets)
                    self.judge(Topic.CONFIGURATION, version, loop.time())
                    self.judge(Topic.TARGETS, newest - FIRST_TARGETS, loop.time())
            await asyncio.sleep(WATCH_STEP_S)

    def judge(self, topic: Topic, version: int, now: float) -> None:
        missed = [at for at, later in self.acknowledged if later > version]
        if missed:
            self.max_late_s[topic] = max(self.max_late_s[topic], now - missed[0])


async def max_late_s(hosts: int, disrupt: Disruption) -> float:
    """Returns the most that a host was behind in any topic in a series that is disrupted."""
    async with Series(hosts) as plane:
        await asyncio.sleep(4.0)
        await asyncio.gather(plane.write_versions(), disrupt(plane), plane.watch())
        return max(plane.max_late_s.values())


def lose(*counts: int, gap_s: float = 0.0, at_s: float = LOSS_S) -> Disruption:
    """Returns a loss of power of so many hosts at a time, in the order of the readers."""

    async def disrupt(plane: Series) -> None:
        ranked = plane.ranked()
        await asyncio.sleep(at_s)
        for count in counts:
            plane.lose_power(ranked[:count])
            del ranked[:count]
            await asyncio.sleep(gap_s)

    return disrupt


def lose_at_random(seed: int) -> Disruption:
    """Returns losses of random hosts at random moments; half of them can come back at once."""

    async def disrupt(plane: Series) -> None:
        rng = random.Random(seed)
        lost = rng.sample(plane.hosts, rng.randint(1, len(plane.hosts) - 1))
        plane.disturbed.update(host.address for host in lost)
        seeds = [host.address for host in rng.sample(plane.hosts, 2)] + [STALE_SEED]
        while lost:
            await asyncio.sleep(rng.choice([0.0, 0.1, 0.7]) * rng.random() * 2)
            host = lost.pop()
            rng.choice([host.stop, host.lose_power])()
            if rng.random() < 0.5:
                host.start(seeds)

    return disrupt


@pytest.mark.looptime
@pytest.mark.usefixtures("quiet_logs")
class TestLosses:
    """Guards against waits for lost hosts, one after the other, that add up beyond the bound."""

    @pytest.mark.parametrize("hosts", [9, 24])
    @pytest.mark.parametrize(
        "disrupt",
        [
            pytest.param(lose(5), id="five"),
            pytest.param(lose(8), id="eight"),
            pytest.param(lose(2, 2, gap_s=0.7), id="two-two"),
            pytest.param(lose(1, 1, 1, 1, 1, 1, gap_s=0.5), id="six-in-turn"),
            pytest.param(lose(5, at_s=0.2), id="five-early"),
        ],
    )
    async def test_loss_of_the_hosts_that_read_first(self, hosts, disrupt):
        assert await max_late_s(hosts, disrupt) <= MAX_CONFIG_S

    @pytest.mark.parametrize("seed", range(6))
    async def test_random_losses(self, seed):
        hosts = (9, 24, 60)[seed % 3]
        assert await max_late_s(hosts, lose_at_random(seed)) <= MAX_CONFIG_S


@pytest.mark.looptime
@pytest.mark.usefixtures("quiet_logs")
class TestRestarts:
    """Guards against hosts that are followed before they have read anything."""

    def start_again(self, plane: Series, host: Host) -> None:
        plane.disturbed.add(host.address)
        seeds = [h.address for h in plane.live() if h is not host][:2]
        host.start([STALE_SEED, *seeds])

    async def test_hosts_that_read_first_restart_in_turn_beside_a_stale_seed(self):
        async def disrupt(plane: Series) -> None:
            for host in stopped:
                self.start_again(plane, host)
                await asyncio.sleep(1.0)

        async with Series(9) as plane:
            await asyncio.sleep(2.0)
            stopped = plane.ranked()[2::-1]
            for host in stopped:
                host.stop()
            await asyncio.sleep(2.0)
            await asyncio.gather(plane.write_versions(), disrupt(plane), plane.watch())
            assert max(plane.max_late_s.values()) <= MAX_CONFIG_S

    async def test_host_without_a_copy_is_not_followed(self):
        async with Series(9) as plane:
            await asyncio.sleep(4.0)
            first = plane.ranked()[0]
            first.stop()
            await asyncio.sleep(0.3)
            self.start_again(plane, first)
            loop = asyncio.get_running_loop()
            until = loop.time() + JOIN_TIMEOUT_MS / 1000
            while loop.time() < until:
                table = first.follower.tables[Topic.CONFIGURATION]
                if not first.follower.joined.is_set() or table.next_offset < 0:
                    followed = {h.members.upstream(loop.time() * 1000) for h in plane.live()}
                    assert first.address not in followed
                await asyncio.sleep(WATCH_STEP_S)
            await plane.seconds_until(first.follower.joined.is_set, 1.0)
            await plane.until(lambda: plane.ranked()[0] is first)
