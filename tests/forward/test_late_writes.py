"""A heartbeat that the store executes late does not bring back a target that was removed.

The store may execute a write that got no answer seconds later. Hosts know different heartbeats of a
target, as one that changes nothing is not propagated.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from savoryfork.forward.registry import LAPSE_GRACE_MS
from savoryfork.forward.topics import Topic
from simulation.plane import Host
from tests.forward.registered import Plane, target_value, usable

HEARTBEAT_S = 1.2

# The bound within which a removed target gets no new work, and one that is back gets some.
MAX_TARGETS_S = 2.0

# Late writes are executed up to this long after the writer has given them up.
MAX_LATE_S = 6.0

ALL = {frozenset({"t0", "t1", "t2", "t3", "t4"})}
WITHOUT_T0 = {frozenset({"t1", "t2", "t3", "t4"})}


class Heartbeats(Plane):
    """Hosts whose five targets write heartbeats until they end; t0 leaves or is silent at times."""

    def __init__(self, hosts: int = 4) -> None:
        super().__init__(hosts)
        self.sequence = 1
        self.silent: set[int] = set()

    async def beat(self, rounds: int = 1) -> None:
        """Writes heartbeats of all targets that are not silent."""
        for _ in range(rounds):
            self.sequence += 1
            for number in range(5):
                if number not in self.silent:
                    self.put_target(number, self.sequence)
            await asyncio.sleep(HEARTBEAT_S)

    def reader(self) -> Host:
        """Returns the host that reads the store for the others."""
        return next(h for h in self.live() if h.members.level(h.follower.now()) == 0)

    async def leave(self) -> None:
        """Removes t0 between two heartbeats, as a target that never says that it is draining."""
        self.silent.add(0)
        self.remove_target(0)
        await self.until(lambda: usable(self.live()) == WITHOUT_T0, MAX_TARGETS_S)

    async def stays_away(self) -> None:
        """Checks that no host uses t0 while its heartbeats are still done late."""
        for _ in range(int(MAX_LATE_S / 0.2)):
            assert usable(self.live()) == WITHOUT_T0
            await asyncio.sleep(0.2)


@pytest.mark.looptime
@pytest.mark.usefixtures("quiet_logs")
class TestRemovedTarget:
    async def test_late_heartbeat_does_not_bring_it_back(self):
        """Guards against work for a target that exits: entries were compared by offset only."""
        async with Heartbeats() as plane:
            await plane.beat(8)
            await plane.leave()
            for sequence in (plane.sequence - 3, plane.sequence - 1, plane.sequence):
                plane.put_target(0, sequence)
                await asyncio.sleep(1.5)
                assert usable(plane.live()) == WITHOUT_T0
            await plane.stays_away()

    async def test_host_that_starts_after_the_removal_learns_of_it(self):
        """Guards against full updates without deletions: only that host used the target."""
        async with Heartbeats() as plane:
            await plane.beat(8)
            await plane.leave()
            plane.add(2, [plane.hosts[0].address])
            await plane.until(lambda: usable(plane.live()) == WITHOUT_T0, MAX_TARGETS_S)
            plane.put_target(0, plane.sequence - 2)
            await plane.stays_away()

    @pytest.mark.parametrize("late_first", [False, True])
    async def test_hosts_that_all_start_after_the_removal_read_of_it(self, late_first):
        """Guards against a snapshot without deletions as all that the only hosts know."""
        async with Heartbeats() as plane:
            await plane.beat(8)
            await plane.leave()
            for host in plane.live():
                host.stop()
            if late_first:
                plane.put_target(0, plane.sequence - 2)
            plane.add(4, [])
            entries = [host.members.local for host in plane.live()]
            for host in plane.live():
                host.members.merge(entries, "start", 0.0)
            await plane.until(lambda: usable(plane.live()) == WITHOUT_T0, MAX_TARGETS_S)
            plane.put_target(0, plane.sequence - 1)
            await plane.stays_away()

    async def test_host_that_has_just_become_the_reader_knows_the_heartbeats(self):
        """Guards against a deletion with the number of the first heartbeat: others are not told."""
        async with Heartbeats() as plane:
            await plane.beat(8)
            plane.reader().stop()
            plane.silent.add(0)
            plane.remove_target(0)
            await plane.until(lambda: usable(plane.live()) == WITHOUT_T0, 4.0)
            plane.put_target(0, plane.sequence - 2)
            await plane.stays_away()

    async def test_host_that_was_cut_off_learns_of_it(self):
        """Guards against a late heartbeat that only a host which missed the removal takes over."""
        async with Heartbeats() as plane:
            await plane.beat(8)
            cut_off = next(h for h in plane.live() if h is not plane.reader())
            plane.up.pop(cut_off.address)
            await plane.leave()
            plane.put_target(0, plane.sequence - 2)
            await asyncio.sleep(1.0)
            plane.up[cut_off.address] = cut_off
            await plane.until(lambda: usable(plane.live()) == WITHOUT_T0, MAX_TARGETS_S)
            await plane.stays_away()

    async def test_store_without_history_serves_hosts_that_start(self):
        """Guards against hosts that wait for records which the store has forgotten."""
        async with Heartbeats() as plane:
            await plane.beat(4)
            plane.store.first[Topic.TARGETS] = len(plane.store.logs[Topic.TARGETS])
            for host in plane.live():
                host.stop()
            plane.add(4, [])
            await plane.until(lambda: usable(plane.live()) == ALL, MAX_TARGETS_S)


@pytest.mark.looptime
@pytest.mark.usefixtures("quiet_logs")
class TestLivingTarget:
    async def test_next_heartbeat_of_a_lapsed_target_brings_it_back(self):
        """Guards against a removal that shuts out a target whose entry only expired."""
        async with Heartbeats() as plane:
            await plane.beat(4)
            plane.silent.add(0)
            await plane.beat(3)
            plane.remove_target(0)
            await plane.until(lambda: usable(plane.live()) == WITHOUT_T0, MAX_TARGETS_S)
            plane.put_target(0, plane.sequence + 1)
            await plane.until(lambda: usable(plane.live()) == ALL, MAX_TARGETS_S)

    @pytest.mark.parametrize("last_was_read", [False, True])
    async def test_target_that_lapsed_beside_an_outage_comes_back_with_the_same_number(
        self, last_was_read
    ):
        """Guards against a target shut out for the answer to its last heartbeat, which was lost."""
        async with Heartbeats() as plane:
            await plane.beat(4)
            if last_was_read:
                plane.put_target(0, plane.sequence + 1)
                await asyncio.sleep(1.0)
            plane.store.down = True
            plane.store.notify()
            if not last_was_read:
                plane.put_target(0, plane.sequence + 1)
            await asyncio.sleep(5.0)
            plane.remove_target(0)
            plane.store.down = False
            await asyncio.sleep(1.0)
            plane.put_target(0, plane.sequence + 1)
            await plane.until(lambda: usable(plane.live()) == ALL, LAPSE_GRACE_MS / 1000 - 1.0)

    async def test_restart_under_the_same_id_outlives_a_late_heartbeat(self):
        """Guards against the entry of an ended incarnation in the place of the next one."""
        async with Heartbeats() as plane:
            await plane.beat(8)
            await plane.leave()
            start = 1_700_000_100_000
            plane.store.put(Topic.TARGETS, "t0", target_value(0, 1, born=start))
            await plane.until(lambda: usable(plane.live()) == ALL, MAX_TARGETS_S)
            plane.put_target(0, plane.sequence - 1)
            for _ in range(20):
                await asyncio.sleep(0.2)
                assert usable(plane.live()) == ALL
                for host in plane.live():
                    assert host.follower.registry.targets["t0"].start_unix_ms == start

    @pytest.mark.parametrize(
        "odd", [{"sequence": 10**15}, {"sequence": 10**15, "born": 1_900_000_000_000}]
    )
    async def test_entry_of_another_writer_does_not_outrank_the_target(self, odd):
        """Guards against a target whose word that it leaves is held back, as another writer put a
        huge number into its entry."""
        async with Heartbeats() as plane:
            await plane.beat(4)
            row = msgspec.json.decode(target_value(0, plane.sequence))
            plane.store.put(Topic.TARGETS, "t0", msgspec.json.encode({**row, **odd}))
            await asyncio.sleep(1.0)
            plane.put_target(0, plane.sequence + 1, "draining")
            await plane.until(lambda: usable(plane.live()) == WITHOUT_T0, MAX_TARGETS_S)

    async def test_entry_that_the_store_keeps_is_used_in_the_end(self):
        """Guards against a target shut out for good, here one whose clock was set back."""
        async with Heartbeats() as plane:
            await plane.beat(4)
            await plane.leave()
            for sequence in range(1, 20):
                born = 1_600_000_000_000
                plane.store.put(Topic.TARGETS, "t0", target_value(0, sequence, born=born))
                await plane.beat()
            assert usable(plane.live()) == ALL
