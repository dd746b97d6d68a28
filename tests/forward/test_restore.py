"""Hosts keep what they know when the store comes back from an older copy.

The store then has lost its newest records, gives out their offsets again, and may say for a moment
what was true some seconds ago.
"""

from __future__ import annotations

import asyncio
import math
from typing import Any

import pytest

from savoryfork.forward import quarantine as quarantines
from savoryfork.forward.deadlines import ChangeBounds
from savoryfork.forward.gate import TRUSTED_SHARE
from savoryfork.forward.knowledge import RESTORE_SETTLE_MS, REWRITE_MS
from savoryfork.forward.quarantine import Report
from savoryfork.forward.registry import LAPSE_GRACE_MS
from savoryfork.forward.topics import Topic
from tests.forward.deployment import Deployment, configuration, until
from tests.forward.registered import (
    MAX_CONFIG_S,
    Plane,
    usable,
    versions,
)

# Age of the configuration below which a host is up to date.
FRESH_MS = ChangeBounds().deadline_ms(Topic.CONFIGURATION)

# Age of the configuration from which keyed requests are refused.
TRUSTED_MS = TRUSTED_SHARE * 5_000.0


def max_config_age_ms(plane: Plane) -> float:
    return max(host.follower.config_age_ms() for host in plane.live())


@pytest.mark.looptime
@pytest.mark.usefixtures("quiet_logs")
class TestConfiguration:
    async def test_version_at_an_offset_that_is_given_out_again_takes_effect(self):
        """Guards against offsets taken for versions: such a change was never in force."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            for version in (2, 3, 4):
                plane.put_config(version)
                await asyncio.sleep(0.5)
            await plane.drill(copy)
            plane.put_config(5)
            await plane.until(lambda: versions(plane.live()) == {5})

    async def test_version_that_grew_beyond_the_former_end_takes_effect(self):
        """Guards against a read in the middle of new records that were given old offsets."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            plane.put_config(2)
            await asyncio.sleep(0.5)
            plane.store.down = True
            plane.store.notify()
            await asyncio.sleep(2.0)
            plane.store.restore(copy)
            for version in (2, 3, 4, 5):
                plane.put_config(version)
            plane.store.down = False
            await plane.until(lambda: versions(plane.live()) == {5})

    async def test_older_version_of_the_copy_is_not_put_into_effect(self):
        """Guards against a configuration that goes back, with keys that were taken away since."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            plane.put_config(2)
            await asyncio.sleep(0.5)
            await plane.drill(copy)
            for _ in range(40):
                await asyncio.sleep(0.1)
                assert versions(plane.live()) == {2}

    async def test_host_that_starts_during_the_drill_gets_the_version_in_effect(self):
        """Guards against a host that knows only the copy and serves by an old version."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            plane.put_config(2)
            await asyncio.sleep(0.5)
            await plane.drill(copy)
            plane.add(3, [host.address for host in plane.hosts[:3]])
            await plane.until(lambda: versions(plane.live()) == {2})
            for _ in range(20):
                await asyncio.sleep(0.1)
                assert versions(plane.live()) == {2}

    async def test_copy_does_not_confirm_a_newer_version(self):
        """Guards against keys trusted because of a read that showed an older configuration."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            plane.put_config(2)
            await asyncio.sleep(0.5)
            await plane.drill(copy, away_s=1.0)
            await asyncio.sleep(4.0)
            assert all(host.follower.config_age_ms() >= 4_000.0 for host in plane.live())
            plane.put_config(2)
            await plane.until(lambda: max_config_age_ms(plane) < FRESH_MS, 4.0)

    async def test_hosts_that_start_after_the_drill_do_not_trust_the_copy_at_once(self):
        """Guards against keys that were taken away, served by hosts that know only the copy."""
        async with Plane(3) as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            plane.put_config(2)
            await asyncio.sleep(0.5)
            for host in list(plane.live()):
                host.stop()
            await plane.drill(copy)
            plane.add(3, [])
            tables = [h.follower.tables[Topic.CONFIGURATION] for h in plane.live()]
            await plane.until(lambda: any(table.next_offset >= 0 for table in tables))
            read_at = min(table.era_since for table in tables if table.next_offset >= 0)
            assert math.isfinite(read_at)
            while (now := asyncio.get_running_loop().time() * 1000) < read_at + REWRITE_MS:
                assert all(table.trusted_age_ms(now) == math.inf for table in tables)
                await asyncio.sleep(0.02)
            await plane.until(lambda: versions(plane.live()) == {1})
            plane.put_config(2)
            await plane.until(lambda: versions(plane.live()) == {2})
            await plane.until(lambda: max_config_age_ms(plane) < FRESH_MS, 3.0)

    async def test_equal_version_is_confirmed_once_writers_have_returned(self):
        """Guards against hosts that are out of date for long after a drill that lost nothing."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            await plane.drill(plane.store.copy(), away_s=1.0)
            await asyncio.sleep((RESTORE_SETTLE_MS + FRESH_MS) / 1000)
            assert max_config_age_ms(plane) < FRESH_MS

    async def test_configuration_is_trusted_through_a_short_drill(self):
        """Guards against hosts that refuse all keyed requests for seconds after a drill of 2 s."""
        async with Plane(9) as plane:
            await asyncio.sleep(3.0)
            drill = asyncio.create_task(plane.drill(plane.store.copy()))
            for _ in range(80):
                await asyncio.sleep(0.1)
                assert max_config_age_ms(plane) < TRUSTED_MS
            await drill

    async def test_keys_are_trusted_throughout_a_drill_of_two_seconds(self):
        """Guards against requests with keys refused because long polls delay the confirmation."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            await plane.drill(plane.store.copy(), away_s=2.0)
            for _ in range(50):
                await asyncio.sleep(0.1)
                assert max_config_age_ms(plane) < TRUSTED_MS

    async def test_versions_that_are_written_again_in_order(self):
        """Guards against a host that starts meanwhile and takes a version before the last one."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            for version in (2, 3):
                plane.put_config(version)
                await asyncio.sleep(0.5)
            await plane.drill(copy)
            await asyncio.sleep(0.5)
            plane.put_config(2)
            await asyncio.sleep(0.5)
            plane.add(1, [host.address for host in plane.hosts[:3]])
            await asyncio.sleep(2.0)
            assert versions(plane.live()) == {3}
            assert all(host.follower.config_age_ms() >= 4_000.0 for host in plane.live())

    async def test_configuration_that_the_copy_lacks_stays(self):
        """Guards against a copy from before the first version: starting hosts would have none."""
        async with Plane(5) as plane:
            await asyncio.sleep(2.0)
            await plane.drill(plane.store.copy() | {Topic.CONFIGURATION: []})
            await asyncio.sleep(0.5)
            plane.add(1, [host.address for host in plane.hosts[:3]])
            await asyncio.sleep(1.0)
            assert versions(plane.live()) == {1}

    async def test_copy_is_not_trusted_after_a_long_outage(self):
        """Guards against a key that was taken away unseen, and is served until that is written
        again."""
        async with Plane() as plane:
            plane.put_config(2)
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            drill = asyncio.create_task(plane.drill(copy, away_s=4.5))
            await asyncio.sleep(0.1)
            plane.put_config(3)
            await drill
            for _ in range(18):
                await asyncio.sleep(0.1)
                assert min(h.follower.config_age_ms() for h in plane.live()) >= 4_000.0
            plane.put_config(3)
            await plane.until(lambda: versions(plane.live()) == {3})
            await plane.until(lambda: max_config_age_ms(plane) < FRESH_MS, 3.0)

    async def test_two_drills_in_a_row(self):
        """Guards against hosts of three eras that hand each other old entries."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            plane.put_config(2)
            await asyncio.sleep(0.5)
            await plane.drill(copy, away_s=0.6)
            plane.put_config(3)
            await asyncio.sleep(0.3)
            await plane.drill(copy, away_s=0.6)
            await asyncio.sleep(1.0)
            assert versions(plane.live()) == {3}
            plane.put_config(4)
            await plane.until(lambda: versions(plane.live()) == {4})

    async def test_answer_of_a_former_era_is_no_answer(self):
        """Guards against a late answer that takes hosts back to the store before its restore."""
        async with Plane(2) as plane:
            await asyncio.sleep(2.0)
            plane.store.era = 5
            await asyncio.sleep(2.0)
            plane.store.era = 4
            follower = plane.hosts[0].follower
            confirmed_at = follower.tables[Topic.CONFIGURATION].confirmed_at
            assert not await follower.read(Topic.CONFIGURATION, 0.0)
            table = follower.tables[Topic.CONFIGURATION]
            assert table.era == 5 and table.confirmed_at == confirmed_at

    async def test_records_of_a_former_era_that_arrive_late_are_not_applied(self, monkeypatch):
        """Guards against former offsets in a table that a peer has taken to the new era."""
        async with Plane(1) as plane:
            await asyncio.sleep(2.0)
            follower = plane.hosts[0].follower
            table = follower.tables[Topic.TARGETS]
            plane.put_target(0, 2, "draining")
            read = plane.store.read

            async def read_late(topic: Topic, offset: int, wait_ms: float) -> Any:
                result = await read(topic, offset, wait_ms)
                plane.store.era = 2
                table.start_era(2, list(table.entries.values()), 1, follower.now())
                return result

            monkeypatch.setattr(plane.store, "read", read_late)
            changes, _ = await follower.reader.read_changes(Topic.TARGETS, table, 0.0)
            assert {entry.era for entry in changes.entries} == {2}

    async def test_host_cut_off_through_the_drill(self):
        """Guards against a host of the former era that brings back what it knows."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            host = plane.hosts[7]
            del plane.up[host.address]
            plane.put_config(2)
            await asyncio.sleep(0.5)
            await plane.drill(copy)
            plane.put_config(3)
            await asyncio.sleep(1.0)
            plane.up[host.address] = host
            await plane.until(lambda: versions(plane.live()) == {3}, 6.0)


@pytest.mark.looptime
@pytest.mark.usefixtures("quiet_logs")
class TestTargets:
    async def test_target_that_leaves_is_not_ready_again(self):
        """Guards against work for a target that the copy shows as it was before it left."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            plane.put_target(1, 2, "draining")
            await plane.until(lambda: usable(plane.live()) == {frozenset({"t0", "t2", "t3", "t4"})})
            await plane.drill(copy)
            for _ in range(40):
                await asyncio.sleep(0.1)
                assert usable(plane.live()) == {frozenset({"t0", "t2", "t3", "t4"})}

    async def test_target_that_has_gone_does_not_return(self):
        """Guards against work for a target whose entry only the copy still has."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            plane.put_target(1, 5)
            await asyncio.sleep(0.5)
            plane.remove_target(1)
            await plane.until(lambda: usable(plane.live()) == {frozenset({"t0", "t2", "t3", "t4"})})
            await plane.drill(copy)
            for _ in range(40):
                await asyncio.sleep(0.1)
                assert usable(plane.live()) == {frozenset({"t0", "t2", "t3", "t4"})}

    async def test_host_that_starts_during_the_drill_learns_who_leaves(self):
        """Guards against a host that takes the copy's word for a target that leaves."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            plane.put_target(1, 2, "draining")
            await asyncio.sleep(1.0)
            await plane.drill(copy)
            plane.add(3, [host.address for host in plane.hosts[:3]])
            await asyncio.sleep(2.0)
            assert usable(plane.live()) == {frozenset({"t0", "t2", "t3", "t4"})}

    async def test_target_that_the_copy_lacks_stays_until_it_registers_again(self):
        """Guards against new targets that are dropped although they live."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            for number in (5, 6):
                plane.put_target(number)
            await plane.until(lambda: all(len(names) == 7 for names in usable(plane.live())))
            await plane.drill(copy)
            await asyncio.sleep(1.5)
            plane.put_target(5, 3)
            assert all(len(names) == 7 for names in usable(plane.live()))
            await asyncio.sleep(LAPSE_GRACE_MS / 1000)
            for host in plane.live():
                await host.follower.expire()
            assert usable(plane.live()) == {frozenset(f"t{n}" for n in range(6))}

    async def test_change_after_the_drill_reaches_all_hosts(self):
        """Guards against hosts that miss targets that leave after the offsets went back."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            for sequence in range(2, 9):
                plane.put_target(0, sequence)
            plane.put_target(5)
            await asyncio.sleep(0.5)
            await plane.drill(copy)
            plane.put_target(2, 2, "draining")
            await plane.until(
                lambda: all("t2" not in names for names in usable(plane.live())), MAX_CONFIG_S
            )

    async def test_targets_are_sent_once_for_a_drill(self):
        """Guards against hosts that send all entries again with each message after a drill."""
        async with Plane(60) as plane:
            for number in range(5, 200):
                plane.put_target(number)
            await asyncio.sleep(3.0)
            await plane.drill(plane.store.copy())
            await asyncio.sleep(3.0)
            plane.bytes.clear()
            await asyncio.sleep(5.0)
            rates = sorted(plane.bytes[host.address] / 5.0 for host in plane.hosts)
            assert rates[len(rates) // 2] <= 3_000.0


@pytest.mark.looptime
@pytest.mark.usefixtures("quiet_logs")
class TestCrashReports:
    async def report(self, plane: Plane, engine: str) -> None:
        report = Report(engine, 1, (7,), True)
        entry = quarantines.report_entry(report, f"request-{engine}")
        await plane.store.append(Topic.CRASHES, [entry])

    async def test_reports_that_the_store_lost_still_count(self):
        """Guards against engines that crash again because the reports were lost."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            for engine in ("e1", "e2"):
                await self.report(plane, engine)
            await asyncio.sleep(1.0)
            await plane.drill(copy)
            plane.add(1, [host.address for host in plane.hosts[:3]])
            await asyncio.sleep(2.0)
            assert all(h.follower.quarantine.quarantined_parts() == {7} for h in plane.live())

    async def test_clearance_does_not_cover_reports_that_are_written_later(self):
        """Guards against a clearance by offset: after a drill it covered new reports."""
        async with Plane() as plane:
            await asyncio.sleep(2.0)
            copy = plane.store.copy()
            for engine in ("e1", "e2"):
                await self.report(plane, engine)
            await asyncio.sleep(1.0)
            quarantine = plane.hosts[0].follower.quarantine
            entry = quarantines.clearance_entry(quarantine.clear(7))
            await plane.store.append(Topic.CRASHES, [entry])
            await asyncio.sleep(1.0)
            assert not any(h.follower.quarantine.quarantined_parts() for h in plane.live())
            await plane.drill(copy)
            for engine in ("e3", "e4"):
                await self.report(plane, engine)
            await asyncio.sleep(1.5)
            assert all(h.follower.quarantine.quarantined_parts() == {7} for h in plane.live())


class TestHosts:
    """Real hosts on loopback."""

    async def test_change_after_a_drill_is_in_force_in_time(self):
        """Guards against a change that was acknowledged after a drill and never in force."""
        async with Deployment(hosts=3) as deployment:
            store = deployment.store
            copy = store.copy()
            for version in (2, 3):
                store.put("keyed.op", "config", configuration(version, ("k1", f"k{version}")))
            for host in deployment.hosts:
                await until(lambda host=host: host.follower.catalog.version == 3)
            store.down = True
            store.notify()
            await asyncio.sleep(1.0)
            store.restore(copy)
            store.down = False
            store.put("keyed.op", "config", configuration(4, ("k1", "k4")))
            for number, host in enumerate(deployment.hosts):
                await until(lambda host=host: host.follower.catalog.version == 4, MAX_CONFIG_S)
                assert (await deployment.call("/view/x", host=number, Key="k4"))[0] == 200
                assert (await deployment.call("/view/x", host=number, Key="k3"))[0] == 401

    async def test_reports_that_the_store_lost_are_appended_again(self):
        """Guards against a host that starts after all others are gone and knows no report."""
        async with Deployment(hosts=2) as deployment:
            store = deployment.store
            copy = store.copy()
            report = Report("e1", 1, (7,), True)
            deployment.hosts[1].crashes.report(report, "request")
            for host in deployment.hosts:
                await until(lambda host=host: host.follower.quarantine.reports)
            await until(lambda: store.topics["keyed.savoryfork-crashes"])
            store.restore(copy)
            await until(lambda: store.topics["keyed.savoryfork-crashes"], 4.0)
            calls = store.calls
            await asyncio.sleep(1.0)
            assert len(store.topics["keyed.savoryfork-crashes"]) == 1, store.calls - calls
