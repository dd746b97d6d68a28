"""Hosts keep what they know when the store comes back from an older copy.

The store then has lost its newest records, gives out their offsets again, and may say for a moment
what was true some seconds ago.
"""

from __future__ import annotations

import asyncio

from tests.forward.deployment import Deployment, configuration, until

# The bound within which a change is in force after its acknowledgement.
MAX_CONFIG_S = 2.0


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
