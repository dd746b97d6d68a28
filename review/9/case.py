"""Three machines are stopped and started in turn while one seed of the settings is stale."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
sys.path[:0] = [str(FOLDER.parent / "parts_2"), str(ROOT), str(ROOT / "target/deps")]

from bed import BOUNDS, Bed, Host, Record, run, trouble  # noqa: E402
from moved_route import MovedRoute, config, reader_order  # noqa: E402

HOSTS, STOPPED = 9, 3

# roll_term of the standard day trouble-3: gap_s = 1.0, with x = 1 machine at a time.
GAP_S = 1.0
# "A process that exits or is killed is restarted after a short delay".
RESTART_S = 0.3
# config_storm of the standard day trouble-1: for_s = 2.0, gap_s = 0.08.
STORM_S, STORM_GAP_S = 2.0, 0.08
WATCH_S = 4.0


async def case(record: Record) -> bool:
    loop = asyncio.get_running_loop()
    async with Bed(HOSTS, config(0)) as bed:
        bed.stale_seeds = 1 if trouble() else 0
        route = MovedRoute(bed, record)
        await route.start_replicas()
        await bed.start_hosts()
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 1.0)
        order = reader_order(bed.hosts)
        stopped, others = order[:STOPPED][::-1], order[STOPPED:]

        async def restart(host: Host) -> None:
            record.add(f"host {host.number} gets SIGTERM")
            host.send(signal.SIGTERM)
            assert host.process is not None
            await host.process.wait()
            await asyncio.sleep(RESTART_S)
            host.mark_log()
            await host.start()
            record.add(f"host {host.number} is started again")

        async def restart_all() -> None:
            restarts = []
            for host in stopped:
                restarts.append(asyncio.create_task(restart(host)))
                await asyncio.sleep(GAP_S)
            await asyncio.gather(*restarts)

        async def watch() -> None:
            while not stopped[0].has_logged("event=started"):
                await asyncio.sleep(0.005)
            record.add(f"host {stopped[0].number} is back")

        restarts = asyncio.create_task(restart_all())
        while stopped[0].starts < 2:
            await asyncio.sleep(0.005)
        until = loop.time() + STORM_S + WATCH_S
        await asyncio.gather(
            route.write_versions(STORM_S, STORM_GAP_S),
            watch(),
            restarts,
            *(route.probe(host, until) for host in others),
        )
    return route.result()


run(case, FOLDER)
