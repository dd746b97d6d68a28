"""A host that is cut off vouches for a key that was taken away."""

from __future__ import annotations

import asyncio
import time

from common import case, replicas, wire
from common.case import Case
from common.deployment import Host, free_port, make_hosts, start_hosts

# `revoke_ms`, and the time after it at which requests are sent.
REVOKE_S = 5.0
SENT_AFTER_S = (5.5, 6.0, 6.5, 7.0, 7.5)

KEY = "9dnn2ctnfzs989anu6ws"
OTHER_KEY = "jnbanfqasnmgkcuyj8pj"


def cut_off_host(played: Case) -> Host:
    """Returns a host that reaches none of the other machines of the system."""
    peers = [f"127.0.0.1:{free_port()}" for _ in range(3)]
    return Host(0, peers[0], peers, played.store.address, played.folder)


async def play(played: Case) -> list[str]:
    """Plays the case."""
    record = played.record
    replica = replicas.PlainReplica("i-cal1", "calendario", 6, record)
    tenants: dict[str, str | None] = {}
    plain_answer = replica.answer

    async def answer(request: wire.Message, connection: replicas.Connection) -> None:
        """Notes the tenant that a request has at the replica."""
        tenants[request.headers["request-id"]] = request.headers.get("tenant")
        await plain_answer(request, connection)

    replica.answer = answer  # type: ignore[method-assign]
    await played.add_replicas(replica)
    routes = [case.route("view", "idempotent", "calendario", allow_anonymous=True)]
    services = [{"name": "calendario"}]
    played.publish(1, routes, services, [KEY, OTHER_KEY])
    if played.trouble:
        played.hosts = [cut_off_host(played)]
    else:
        played.hosts = make_hosts(3, played.store.address, played.folder)
    await start_hosts(played.hosts)
    host = played.hosts[0]

    async def send(request_id: str) -> None:
        """Sends a request with the key to the host."""
        request = case.plain_request("GET", "/view/1", request_id, KEY)
        answer = await wire.call(host.callers, request, 6.0)
        record.write(f"{request_id} answered: {answer}; tenant {tenants.get(request_id)}")

    await send("before")
    if tenants.get("before") != "bozi300":
        raise RuntimeError("the key is not accepted before it is taken away")
    if played.trouble:
        played.store.refuse(True)
        record.write("the store refuses the calls of this host")
    revoked_at = time.time()
    played.publish(2, routes, services, [OTHER_KEY])
    broken = []
    for after_s in SENT_AFTER_S:
        await asyncio.sleep(revoked_at + after_s - time.time())
        request_id = f"after-{after_s}"
        await send(request_id)
        if tenants.get(request_id) is not None:
            broken.append(
                f"a request sent {after_s} s after its key was taken away ran with"
                f" `Tenant: {tenants[request_id]}`"
            )
    return broken


if __name__ == "__main__":
    case.run(play)
