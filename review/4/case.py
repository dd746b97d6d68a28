"""A heartbeat is done late, after the entry of its replica was removed."""

from __future__ import annotations

import asyncio
import time

from common import case, replicas, store, wire
from common.case import Case
from common.deployment import make_hosts, start_hosts

HEARTBEAT_S = 1.2

# Times since the start of traffic. The store loses answers of writes until LOST_UNTIL_S; it counts
# as stable again 3 s (`contact_ms`) later.
LOST_FROM_S = 1.0
LOST_UNTIL_S = 5.4
LATE_S = 5.9
REMOVED_S = 8.7

# `drain_ms`, and how long the leaving replica goes on beyond it.
DRAIN_S = 2.0
LINGER_S = 3.0

END_S = 16.0
REQUESTS_PER_S = 60

# Time for which a replica works on a request, as on the sheet.
WORK_S = 0.09

KEY = "9dnn2ctnfzs989anu6ws"


async def beat(played: Case, replica: replicas.Replica, started: float) -> None:
    """Writes heartbeats until the replica's entry is removed.

    One heartbeat shortly before LOST_UNTIL_S gets no answer and is done late.
    """
    lost = not played.trouble
    while True:
        now = time.time() - started
        leaving = replica.name == "i-cal1"
        if leaving and now > REMOVED_S - HEARTBEAT_S:
            return
        entry = replica.entry()
        if leaving and not lost and now > LOST_UNTIL_S - HEARTBEAT_S:
            lost = True
            played.record.write(f"heartbeat {entry['sequence']} of {replica.name} is not answered")
            asyncio.get_running_loop().call_later(LATE_S, put, played, replica, entry)
        else:
            put(played, replica, entry)
        await asyncio.sleep(HEARTBEAT_S)


def put(played: Case, replica: replicas.Replica, entry: dict | None) -> None:
    """Writes an entry to the store."""
    if replica.name == "i-cal1":
        done = f"heartbeat {entry['sequence']}" if entry else "removal"
        played.record.write(f"{done} of {replica.name} is done and acknowledged")
    played.store.put(store.REPLICAS, replica.name, entry)


async def play(played: Case) -> list[str]:
    """Plays the case."""
    record = played.record
    found = [replicas.PlainReplica(f"i-cal{n}", "calendario", 6, record) for n in range(1, 5)]
    for replica in found:
        replica.work_s = WORK_S
    leaving = found[0]
    await played.add_replicas(*found)
    routes = [case.route("book", "non_idempotent", "calendario")]
    played.publish(1, routes, [{"name": "calendario"}], [KEY])
    played.hosts = make_hosts(3, played.store.address, played.folder)
    await start_hosts(played.hosts)

    started = time.time()
    sent_at: dict[str, float] = {}
    unserved: list[str] = []
    tasks = {asyncio.create_task(beat(played, replica, started)) for replica in found}

    async def send(number: int) -> None:
        """Sends a request to one of the hosts."""
        request_id = f"b{number:05}"
        sent_at[request_id] = time.time()
        request = case.plain_request("POST", "/book/1", request_id, KEY)
        answer = await wire.call(played.hosts[number % 3].callers, request, 6.0)
        record.write(f"{request_id} answered: {answer}")
        if isinstance(answer, str) or answer.status() != 200:
            unserved.append(request_id)

    async def leave() -> None:
        """Removes the entry of a replica that never says that it is draining; then it exits."""
        await asyncio.sleep(started + REMOVED_S - time.time())
        put(played, leaving, None)
        await asyncio.sleep(DRAIN_S + LINGER_S)
        record.write(f"{leaving.name} exits")
        leaving.exit()

    left = asyncio.create_task(leave())
    number = 0
    while time.time() < started + END_S:
        tasks.add(asyncio.create_task(send(number)))
        number += 1
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await left
    removed_at = started + REMOVED_S
    late = [
        f"{arrival.request_id} reached {leaving.name} {arrival.at - removed_at:.2f} s after its"
        f" removal, sent by its caller {sent_at[arrival.request_id] - removed_at:.2f} s after it"
        for arrival in leaving.arrivals
        if arrival.at > removed_at + DRAIN_S
    ]
    await asyncio.sleep(1.0)
    for task in tasks:
        task.cancel()
    reached = {arrival.request_id for arrival in leaving.arrivals}
    record.write(f"unserved: {unserved}, of these sent to it: {reached.intersection(unserved)}")
    return late


if __name__ == "__main__":
    case.run(play)
