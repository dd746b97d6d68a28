"""Replicas: a plain service, a stage service and a model engine."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from typing import Any, NamedTuple

from common import wire
from common.deployment import free_port
from common.record import Record
from common.wire import Message

# Idle timeout that the replicas announce, in seconds.
KEEP_ALIVE_S = 15

EVENTS = 3


class Arrival(NamedTuple):
    """A request that reached a replica: the wall clock, and the request's id."""

    at: float
    request_id: str


class Connection:
    """One connection to a replica; `extra` is an answer that is written once more, late."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.extra: bytes | None = None

    async def write(self, data: bytes) -> None:
        """Writes bytes."""
        self.writer.write(data)
        await self.writer.drain()


class Replica:
    """A replica; subclasses answer its requests."""

    def __init__(self, name: str, service: str, slots: int, record: Record) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.record = record
        self.address = ""
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.arrivals: list[Arrival] = []
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()

    async def start(self, port: int | None = None) -> None:
        """Starts to listen, on a free port if none is given."""
        port = port or free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def exit(self) -> None:
        """Stops listening and closes all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
        for writer in self.connections:
            writer.transport.abort()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns the next heartbeat."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "ragusa",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": next(self.sequence),
            "born": self.born,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        self.connections.add(writer)
        connection = Connection(writer)
        try:
            while True:
                request = await wire.read_message(reader)
                self.arrivals.append(Arrival(time.time(), request.headers.get("request-id", "")))
                if request.headers.get("expect-instance", self.name) != self.name:
                    await self.misdirect(connection)
                    continue
                if connection.extra is not None:
                    extra, connection.extra = connection.extra, None
                    self.record.write(f"{self.name} writes an earlier answer once more: {extra!r}")
                    await connection.write(extra)
                await self.answer(request, connection)
        except (OSError, asyncio.IncompleteReadError):
            pass  # the other side has closed the connection
        finally:
            self.connections.discard(writer)
            writer.close()

    async def misdirect(self, connection: Connection) -> None:
        """Refuses a request for another incarnation."""
        await connection.write(refusal("421 Misdirected Request"))

    async def answer(self, request: Message, connection: Connection) -> None:
        """Answers one request."""
        raise NotImplementedError

    def headers(self, request: Message) -> list[tuple[str, str]]:
        """Returns the headers of the answer to a caller's request."""
        return [
            ("Request-Id", request.headers["request-id"]),
            ("Response-Seal", f"seal-{self.name}-{request.headers['request-id']}"),
            ("Keep-Alive", f"timeout={KEEP_ALIVE_S}"),
        ]


class PlainReplica(Replica):
    """Answers each request with its id after `work_s`."""

    work_s = 0.02

    async def answer(self, request: Message, connection: Connection) -> None:
        self.record.write(
            f"{self.name} runs {request.headers['request-id']}"
            f" tenant={request.headers.get('tenant')}"
        )
        await asyncio.sleep(self.work_s)
        body = f"done {request.headers['request-id']}".encode()
        await connection.write(wire.encode("HTTP/1.1 200 OK", self.headers(request), body))


def refusal(status: str) -> bytes:
    """Returns the answer of a replica that has not run a request."""
    return wire.encode(f"HTTP/1.1 {status}", [("Not-Executed", "1")], b"")


class Result(NamedTuple):
    """A result of a stage: the request and the key or inputs that it was made from."""

    request_id: str
    content: str
    expires_at: float


class StageReplica(PlainReplica):
    """Runs pieces and keeps their results; other requests are answered like a plain replica's.

    Every `spoil_every`-th answer to a call of the system itself is written once more on its
    connection, at the point where the next answer is expected there; 0 for none. `spoil_next` does
    that to the next answer of a call that runs pieces.
    """

    def __init__(
        self, name: str, service: str, record: Record, work_s: float, results: dict[str, Result]
    ) -> None:
        super().__init__(name, service, 1, record)
        self.call_s = work_s
        self.results = results
        self.calls = 0
        self.spoil_every = 0
        self.spoil_next = False
        self.numbers = itertools.count(1)

    async def answer(self, request: Message, connection: Connection) -> None:
        path = request.first.split()[1]
        if path == "/api/stage-run":
            await self.run_pieces(request, connection)
        elif path == "/api/stage-free":
            for handle in json.loads(request.body)["handles"]:
                self.results.pop(handle, None)
            answer = wire.encode("HTTP/1.1 200 OK", self.own_headers(), b"")
            await self.write_answer(connection, answer)
        else:
            await super().answer(request, connection)

    def own_headers(self) -> list[tuple[str, str]]:
        """Returns the headers of an answer to a call of the system itself."""
        return [("Content-Type", "application/json"), ("Keep-Alive", f"timeout={KEEP_ALIVE_S}")]

    async def run_pieces(self, request: Message, connection: Connection) -> None:
        """Runs the pieces of one call."""
        await asyncio.sleep(self.call_s)
        entries = []
        for piece in json.loads(request.body)["entries"]:
            handle = f"{self.address}/{self.born:x}{next(self.numbers):x}"
            content = piece.get("key") or "+".join(piece.get("inputs", ()))
            self.results[handle] = Result(piece["id"], content, time.time() + HANDLE_S)
            entries.append({"handle": handle})
        made_for = [piece["id"] for piece in json.loads(request.body)["entries"]]
        self.record.write(f"{self.name} runs pieces of {made_for}")
        headers = [*self.own_headers(), ("Server-Load", "0,0,1")]
        answer = wire.encode("HTTP/1.1 200 OK", headers, json.dumps({"entries": entries}).encode())
        await self.write_answer(connection, answer, self.spoil_next)
        self.spoil_next = False

    async def write_answer(
        self, connection: Connection, answer: bytes, spoilt: bool = False
    ) -> None:
        """Writes the answer to a call of the system itself."""
        self.calls += 1
        if spoilt or (self.spoil_every and self.calls % self.spoil_every == 0):
            connection.extra = answer
        await connection.write(answer)


# Time for which stage replicas keep results, in seconds.
HANDLE_S = 4.0


class EngineReplica(Replica):
    """A model engine: streams events with the content of the request's inputs.

    `runs` has the inputs of each request that it has run.
    """

    def __init__(self, name: str, service: str, record: Record, results: dict[str, Result]) -> None:
        super().__init__(name, service, 64, record)
        self.results = results
        self.runs: list[tuple[str, list[Result]]] = []

    async def answer(self, request: Message, connection: Connection) -> None:
        request_id = request.headers["request-id"]
        handles = [h.strip() for h in request.headers.get("inputs", "").split(",") if h.strip()]
        found = [self.results.get(handle) for handle in handles]
        inputs = [i for i in found if i is not None and i.expires_at > time.time()]
        if not handles or len(inputs) < len(handles):
            self.record.write(f"{self.name} refuses {request_id}: inputs are gone")
            await connection.write(refusal("409 Conflict" if handles else "400 Bad Request"))
            return
        self.runs.append((request_id, inputs))
        made_for = sorted({i.request_id for i in inputs})
        self.record.write(f"{self.name} runs {request_id} with the inputs of {made_for}")
        headers = [
            *self.headers(request),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        await connection.write(wire.encode("HTTP/1.1 200 OK", headers))
        text = ",".join(i.content for i in inputs)
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {text}\n\n".encode()
            await connection.write(wire.encode_chunk(event))
        await connection.write(b"0\r\n\r\n")
