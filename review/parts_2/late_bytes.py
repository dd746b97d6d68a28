"""Replicas that send additional bytes after a complete answer, late: where the next one is due."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections import Counter
from typing import NamedTuple

from bed import Bed, Record, Request, call, encode, trouble

# The doses of the site's `garble`, how = "extra late": share 0.6 of the replicas (two of four
# here), x 0.03 of their answers, for 5 s.
REPLICAS, FAULTY = 4, 2
EVERY = 34  # one in 33 would be just over 0.03
TROUBLE_FROM_S, TROUBLE_S, LENGTH_S = 2.0, 5.0, 9.0


def route(name: str, kind: str, attempts: int) -> dict:
    """Returns a route as on the sheet: `slot-book` or `slot-view`."""
    return {
        "name": name, "host": "a.example", "path_prefix": f"/{name}/", "service": "calendario",
        "route_kind": kind, "max_attempts": attempts, "timeout_ms": 2000,
        "target_latency_ms": 300, "priority": 2,
    }  # fmt: skip


CONFIG = {
    "version": 1,
    "routes": [route("book", "non_idempotent", 1), route("view", "idempotent", 2)],
    "services": [{"name": "calendario"}],
    "tenants": [{"name": "w1", "api_keys": ["key-1"]}],
}


class Answer(NamedTuple):
    """What a client got for a request; `bodies` are those that replicas made for it."""

    id: str
    method: str
    status: int
    seal: str | None
    body: bytes
    bodies: list[bytes]


class Replica:
    """A sound replica, but for the additional bytes while `faulty` is set."""

    def __init__(self, name: str, extra: bytes, record: Record) -> None:
        self.name = name
        self.extra = extra
        self.record = record
        self.faulty = False
        self.answers = 0
        self.runs: dict[str, bytes] = {}

    async def handle(self, request: Request, writer: asyncio.StreamWriter, state: dict) -> bytes:
        if request.headers.get("expect-instance") != self.name:
            return encode("421 Misdirected Request", {"Request-Id": request.id}, b"")
        if state.pop("extra", False):
            self.record.add(f"{self.name} sends additional bytes before its answer to {request.id}")
            writer.write(self.extra)
            await writer.drain()
        self.record.add(f"{self.name} runs {request.id} {request.method} {request.path}")
        body = f"{self.name} ran {request.id}".encode()
        self.runs[request.id] = body
        await asyncio.sleep(0.02)
        self.answers += 1
        if self.faulty and self.answers % EVERY == 0:
            state["extra"] = True
        headers = {
            "Request-Id": request.id, "Response-Seal": f"{self.name}.{request.id}",
            "Keep-Alive": "timeout=5",
        }  # fmt: skip
        return encode("200 OK", headers, body)


async def play(record: Record, extra: bytes) -> tuple[list[Answer], Counter[str]]:
    """Returns the answers of all clients, and the runs of each request that is not idempotent."""
    answers: list[Answer] = []
    booked: set[str] = set()
    rng = random.Random(1)
    async with Bed(3, CONFIG) as bed:
        replicas = [Replica(f"i-{n:08x}", extra, record) for n in range(REPLICAS)]
        for replica in replicas:
            server = await bed.serve(replica.handle)
            bed.register(replica.name, "calendario", server.address)
        await bed.start_hosts()
        loop = asyncio.get_running_loop()
        started = loop.time()

        async def client() -> None:
            while loop.time() - started < LENGTH_S:
                await asyncio.sleep(rng.uniform(0.02, 0.1))
                request_id = uuid.uuid4().hex[:16]
                # About as often as on the sheet: 5.29 bookings and 2.11 views a second.
                kinds = [("POST", "/book/1"), ("GET", "/view/1")]
                method, path = rng.choices(kinds, (5, 2))[0]
                host = rng.choice(bed.hosts)
                headers = {
                    "Host": "a.example", "Request-Id": request_id, "Key": "key-1",
                    "Deadline-Ms": "2000",
                }  # fmt: skip
                record.add(f"sent {request_id} {method} {path} to host {host.number}")
                if method == "POST":
                    booked.add(request_id)
                content = b"x" * 100 if method == "POST" else b""
                status, found, body = await call(host.callers, method, path, headers, content)
                seal = found.get("response-seal")
                record.add(f"answered {request_id} {status} seal {seal} body {body[:60]!r}")
                bodies = [r.runs[request_id] for r in replicas if request_id in r.runs]
                answers.append(Answer(request_id, method, status, seal, body, bodies))

        async def disrupt() -> None:
            await asyncio.sleep(TROUBLE_FROM_S)
            for replica in replicas[:FAULTY]:
                replica.faulty = trouble()
            await asyncio.sleep(TROUBLE_S)
            for replica in replicas:
                replica.faulty = False

        await asyncio.gather(disrupt(), *(client() for _ in range(16)))
        await asyncio.sleep(0.5)
        runs = Counter(i for replica in replicas for i in replica.runs if i in booked)
    return answers, runs
