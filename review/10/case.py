"""Five of nine machines lose power during a series of configuration changes."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
sys.path[:0] = [str(FOLDER.parent / "parts_2"), str(ROOT), str(ROOT / "target/deps")]

from bed import BOUNDS, Bed, Record, run, trouble  # noqa: E402
from moved_route import MovedRoute, config, reader_order  # noqa: E402

HOSTS, LOST = 9, 5

# config_storm of the standard day trouble-1: for_s = 2.0, gap_s = 0.08.
STORM_S, STORM_GAP_S = 2.0, 0.08
# The power fails this long after the storm began; the machines stay dark for the rest of the run.
POWER_AFTER_S = 1.5
WATCH_S = 4.0


async def case(record: Record) -> bool:
    loop = asyncio.get_running_loop()
    async with Bed(HOSTS, config(0)) as bed:
        route = MovedRoute(bed, record)
        await route.start_replicas()
        await bed.start_hosts()
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 1.0)
        order = reader_order(bed.hosts)
        lost, left = order[:LOST], order[LOST:]

        async def lose_power() -> None:
            await asyncio.sleep(POWER_AFTER_S)
            for host in lost if trouble() else ():
                record.add(f"host {host.number} loses power")
                host.send(signal.SIGSTOP)

        until = loop.time() + POWER_AFTER_S + WATCH_S
        await asyncio.gather(
            route.write_versions(STORM_S, STORM_GAP_S),
            lose_power(),
            *(route.probe(host, until) for host in left),
        )
    return route.result()


run(case, FOLDER)
