"""Targets of an evacuated zone get nothing from any host until the zone is taken back."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from savoryfork.forward.topics import Topic
from tests.forward.deployment import Deployment, until
from tests.forward.registered import Plane, config_value, usable, versions
from tests.forward.test_registry import make_registry

# The bound on an evacuation is 5 s from its acknowledgement; a healthy store needs far less.
MAX_EVACUATION_S = 2.0

TOKENS = {"Token_Usage": "100,6", "Prefix_Hash": "aa:60,bb:30,cc:10", "Model": "m"}
STAGED = {"Pieces": "1,2", "Piece_Key": "pk", **TOKENS}

ALL = {frozenset({"t0", "t1", "t2", "t3", "t4"})}
OUTSIDE = {frozenset({"t0", "t2", "t4"})}


class Zones(Plane):
    """Hosts that follow five targets, of which t1 and t3 are in zone b."""

    def put_target(self, number: int, sequence: int = 1, state: str = "ready") -> None:
        row = {"service": "s", "address": f"10.1.0.{number}:80", "slots": 2, "state": state}
        row |= {"zone": "ab"[number % 2], "born": 1_700_000_000_000, "sequence": sequence}
        self.store.put(Topic.TARGETS, f"t{number}", msgspec.json.encode(row))

    def evacuate(self, zone: str) -> None:
        self.store.put(Topic.CONFIGURATION, f"evacuate/{zone}", b"{}")

    def take_back(self, zone: str) -> None:
        self.store.put(Topic.CONFIGURATION, f"evacuate/{zone}", b"")

    async def until_usable(self, names: set[frozenset[str]]) -> None:
        await self.until(lambda: usable(self.live()) == names, MAX_EVACUATION_S)

    async def stays(self, names: set[frozenset[str]], seconds: float) -> None:
        """Checks that the usable targets of all hosts stay the same for a time."""
        for _ in range(int(seconds / 0.2)):
            assert usable(self.live()) == names
            await asyncio.sleep(0.2)

    def restart(self, hosts: int) -> None:
        """Stops all hosts and starts others, which know nothing but each other."""
        for host in self.live():
            host.stop()
        self.add(hosts, [])
        entries = [host.members.local for host in self.live()]
        for host in self.live():
            host.members.merge(entries, "start", 0.0)


class TestRegistry:
    def test_targets_of_an_evacuated_zone_are_not_usable(self):
        """Guards against a check before a send that does not see the evacuation."""
        registry = make_registry()
        target = registry.targets["t1"]
        assert registry.set_evacuated(frozenset({"z"})) == [("z", True)]
        assert not registry.usable("s") and not registry.is_current(target)
        assert registry.all_leaving("s")
        assert registry.set_evacuated(frozenset()) == [("z", False)]
        assert len(registry.usable("s")) == 5 and registry.is_current(target)

    def test_zone_without_targets_changes_nothing(self):
        """Guards against an operator's mistyped zone that empties a service."""
        registry = make_registry()
        registry.set_evacuated(frozenset({"nowhere"}))
        assert len(registry.usable("s")) == 5


@pytest.mark.looptime
@pytest.mark.usefixtures("quiet_logs")
class TestAllHosts:
    async def test_zone_is_left_and_taken_back(self):
        """Guards against hosts that do not hear of an evacuation, or not of its end."""
        async with Zones() as plane:
            await plane.until_usable(ALL)
            for _ in range(2):
                plane.evacuate("b")
                await plane.until_usable(OUTSIDE)
                plane.take_back("b")
                await plane.until_usable(ALL)

    async def test_restart_of_all_hosts_beside_an_outage(self):
        """Guards against hosts that start without the evacuation and use the zone."""
        async with Zones() as plane:
            plane.evacuate("b")
            await plane.until_usable(OUTSIDE)
            plane.store.down = True
            await plane.stays(OUTSIDE, 8.0)
            plane.store.down = False
            plane.store.notify()
            plane.restart(8)
            for _ in range(30):
                assert usable(plane.live()) <= {frozenset(), *OUTSIDE}
                await asyncio.sleep(0.1)
            await plane.until_usable(OUTSIDE)

    async def test_history_that_expires_keeps_and_ends_evacuations(self):
        """Guards against hosts that miss an evacuation or its end as the store forgets records."""
        async with Zones() as plane:
            await plane.until_usable(ALL)
            plane.evacuate("b")
            plane.store.first[Topic.CONFIGURATION] = len(plane.store.logs[Topic.CONFIGURATION])
            await plane.until_usable(OUTSIDE)
            plane.take_back("b")
            plane.store.first[Topic.CONFIGURATION] = len(plane.store.logs[Topic.CONFIGURATION])
            await plane.until_usable(ALL)

    async def test_restored_store_without_the_evacuation(self):
        """Guards against a restore that sends work to the zone, or stops keyed requests for good,
        as the store does not confirm the evacuation."""
        async with Zones() as plane:
            await plane.until_usable(ALL)
            copy = plane.store.copy()
            plane.evacuate("b")
            await plane.until_usable(OUTSIDE)
            await plane.drill(copy)
            await plane.stays(OUTSIDE, 6.0)
            assert all(host.follower.config_age_ms() < 3_000.0 for host in plane.live())
            plane.evacuate("b")
            plane.take_back("b")
            await plane.until_usable(ALL)

    async def test_restored_store_with_an_evacuation_that_had_ended(self):
        """Guards against an old copy that evacuates a zone which its operator has taken back."""
        async with Zones() as plane:
            plane.evacuate("b")
            await plane.until_usable(OUTSIDE)
            copy = plane.store.copy()
            plane.take_back("b")
            await plane.until_usable(ALL)
            await plane.drill(copy)
            await plane.stays(ALL, 6.0)

    async def test_configuration_goes_on_beside_an_evacuation(self):
        """Guards against an evacuation that keeps a new version from taking effect."""
        async with Zones() as plane:
            plane.evacuate("b")
            await plane.until_usable(OUTSIDE)
            plane.store.put(Topic.CONFIGURATION, "config", config_value(2))
            await plane.until(lambda: versions(plane.live()) == {2})
            calls = plane.store.calls
            await asyncio.sleep(3.0)
            # A reader that does not get past the entry of a zone would read in a tight loop.
            assert plane.store.calls - calls < 40


@pytest.mark.usefixtures("quiet_logs")
class TestRequests:
    async def test_nothing_reaches_an_evacuated_zone(self):
        """Guards against requests, pieces and freed results that are sent to the zone."""
        async with Deployment(replicas=2) as deployment:
            host = deployment.hosts[0]
            away = [replicas[1] for replicas in deployment.replicas.values()]
            for service, replicas in deployment.replicas.items():
                row = {"service": service, "address": replicas[1].address, "zone": "b"}
                row |= {"state": "ready", "slots": 4, "born": replicas[1].born}
                deployment.store.put("keyed.servers", replicas[1].name, row)
            await until(lambda: len(host.follower.registry.of_zone("b")) == len(away))
            for number in range(6):
                assert (await deployment.call(f"/chat/before-{number}", **STAGED))[0] == 200
            assert any(replica.arrivals for replica in away)
            deployment.store.put("keyed.op", "evacuate/b", {})
            await until(lambda: host.follower.registry.evacuated == {"b"})
            before = [len(replica.arrivals) for replica in away]
            for number in range(6):
                assert (await deployment.call("/book/1"))[0] == 200
                assert (await deployment.call(f"/chat/{number}", **STAGED))[0] == 200
            assert [len(replica.arrivals) for replica in away] == before

    async def test_request_is_refused_at_once_if_every_zone_is_evacuated(self):
        """Guards against requests and stage work that wait for their deadline."""
        async with Deployment() as deployment:
            host = deployment.hosts[0]
            deployment.store.put("keyed.op", "evacuate/z", {})
            await until(lambda: host.follower.registry.evacuated == {"z"})
            for path in ("/book/1", "/chat/1"):
                async with asyncio.timeout(2.0):
                    status, _, headers = await deployment.call(path, **STAGED)
                assert status == 503 and float(headers["Retry-After"]) > 0
