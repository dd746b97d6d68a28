"""A route that each version moves to another service, and clients that show who runs it."""

from __future__ import annotations

import asyncio
import uuid

from bed import BOUNDS, Bed, Host, Record, Request, call, encode

from savoryfork.forward.members import Member, Members

# Versions at most, each with a service of its own.
VERSIONS = 28


def config(number: int) -> dict:
    """Returns a version whose only route goes to the service `s` + its number."""
    route = {
        "name": "book", "host": "a.example", "path_prefix": "/book/", "service": f"s{number}",
        "route_kind": "non_idempotent", "max_attempts": 1, "timeout_ms": 2000,
        "target_latency_ms": 300, "priority": 2,
    }  # fmt: skip
    services = [{"name": f"s{n}"} for n in range(VERSIONS)]
    return {"version": 1 + 3 * number, "routes": [route], "services": services}


def reader_order(hosts: list[Host]) -> list[Host]:
    """Returns hosts in the order in which they take over reading the store."""
    by_address = {host.fields["listen_addrs"]["control_plane"]: host for host in hosts}
    entries = [Member(address, "z", 1, 1, False, True, 1.0) for address in by_address]
    members = Members(entries[0], ())
    members.merge(entries[1:], "", 0.0)
    return [by_address[address] for address in members.readers(0.0)]


class MovedRoute:
    """Writes versions and probes hosts; `broken` counts the requests that the rule forbids.

    `acknowledged` are the times at which the versions were acknowledged, from number 0 on.
    """

    def __init__(self, bed: Bed, record: Record) -> None:
        self.bed = bed
        self.record = record
        self.runs: dict[str, int] = {}
        self.acknowledged = [0.0]
        self.broken = 0
        self.longest_s = 0.0

    async def start_replicas(self) -> None:
        """Starts a sound replica of each service."""
        for number in range(VERSIONS):
            name = f"i-{number:08x}"
            server = await self.bed.serve(self.replica(name, number))
            self.bed.register(name, f"s{number}", server.address, slots=64)

    def replica(self, name: str, number: int):
        """Returns the handler of a replica."""

        async def handle(request: Request, writer: asyncio.StreamWriter, state: dict) -> bytes:
            if request.headers.get("expect-instance") != name:
                return encode("421 Misdirected Request", {"Request-Id": request.id}, b"")
            self.runs[request.id] = number
            headers = {
                "Request-Id": request.id, "Response-Seal": f"{name}.{request.id}",
                "Keep-Alive": "timeout=5",
            }  # fmt: skip
            return encode("200 OK", headers, b"done")

        return handle

    async def write_versions(self, seconds: float, gap_s: float) -> None:
        """Writes versions in quick succession."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until and len(self.acknowledged) < VERSIONS:
            number = len(self.acknowledged)
            self.bed.store.put("keyed.op", "config", config(number))
            self.acknowledged.append(loop.time())
            self.record.add(f"version {1 + 3 * number} acknowledged: book -> s{number}")
            await asyncio.sleep(gap_s)

    async def probe(self, host: Host, until: float) -> None:
        """Sends requests to a host, one after the other, and checks the rule for each."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(0.02)
            request_id = uuid.uuid4().hex[:16]
            headers = {"Host": "a.example", "Request-Id": request_id, "Deadline-Ms": "2000"}
            sent = loop.time()
            status, _, _ = await call(host.callers, "POST", "/book/1", headers, b"x")
            number = self.runs.get(request_id)
            outcome = f"answered {status}, run by s{number}"
            if number is not None and number + 1 < len(self.acknowledged):
                # The next version does not allow this service any more.
                after = sent - self.acknowledged[number + 1]
                outcome += f", which version {4 + 3 * number} moved away {after:.3f} s before"
                if after > BOUNDS["config_apply_ms"] / 1000:
                    self.broken += 1
                    self.longest_s = max(self.longest_s, after)
                    outcome += " BROKEN"
            self.record.add(f"host {host.number}: {request_id} {outcome}")

    def result(self) -> bool:
        """Returns whether the rule was broken."""
        self.record.add(
            f"{self.broken} requests were handled as only an older version allows,"
            f" the last one {self.longest_s:.3f} s after the acknowledgement"
        )
        return self.broken > 0
