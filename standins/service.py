"""An encoder, retriever, reranker or plain service, chosen by `--kind`.

Run with `python -m standins.service --port=8200 --kind=plain`. A plain service records the
actions that it ran in a ledger; it also runs repeated keys, unless `--dedupes` is given.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import random
from typing import Annotated, Any, NamedTuple, TypedDict

import msgspec
from aiohttp import web

from standins import server, text
from standins.target import ATTEMPT, CROSSED, Identity, Target

KINDS = ("encoder", "retriever", "reranker", "plain")


class ServiceSettings(NamedTuple):
    """Flags of a service."""

    name: Annotated[str, "name of this target"] = "service"
    service: Annotated[str, "service that this target belongs to"] = "service"
    kind: Annotated[str, "encoder, retriever, reranker or plain"] = "plain"
    concurrency: Annotated[int, "calls that are worked on at a time"] = 8
    max_waiting: Annotated[int, "calls that may wait; more are answered 429"] = 256
    service_ms: Annotated[float, "duration of one call"] = 10.0
    jitter: Annotated[float, "share by which service_ms varies up and down"] = 0.2
    report_lag_ms: Annotated[float, "delay of load reports"] = 500.0
    dedupes: Annotated[bool, "answer a repeated idempotency key without a second run"] = False
    ledger_file: Annotated[str, "file shared by the replicas of a plain service"] = ""
    seed: Annotated[int, "seed of the service times and of the faults"] = 0


class EmbeddingBody(TypedDict):
    """Body of `POST /v1/embeddings`."""

    input: str


class SearchBody(TypedDict):
    """Body of `POST /v1/search`."""

    vector: list[float]
    query: str
    top_k: int


class RerankBody(TypedDict):
    """Body of `POST /v1/rerank`; each document is its text, or an object with a text."""

    query: str
    documents: list[str | dict[str, Any]]
    top_n: int


class ActionBody(TypedDict):
    """Body of `POST /v1/actions/{action}`; a true field `refuse` is answered 422."""

    fields: dict[str, Any]


class Ledger:
    """The actions that ran, in order.

    With a file, the replicas of a service share the ledger like a database: entries survive a
    killed replica, and a key is recognized whichever replica ran it.
    """

    def __init__(self, path: str = "") -> None:
        self.path = path
        self.entries: list[dict[str, Any]] = []
        self.read_bytes = 0

    def refresh(self, descriptor: int) -> None:
        """Reads the entries that other replicas appended."""
        data = os.pread(descriptor, os.fstat(descriptor).st_size - self.read_bytes, self.read_bytes)
        self.read_bytes += len(data)
        self.entries.extend(msgspec.json.decode(line) for line in data.splitlines())

    def add(self, entry: dict[str, Any], dedupe: bool) -> tuple[dict[str, Any], bool]:
        """Adds an entry and returns it, or with `dedupe` the earlier entry with the same key.

        The second value is true if the entry is new.
        """
        if not self.path:
            return self.insert(entry, dedupe)
        descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            self.refresh(descriptor)
            found, new = self.insert(entry, dedupe)
            if new:
                line = msgspec.json.encode(found) + b"\n"
                self.read_bytes += os.write(descriptor, line)
            return found, new
        finally:
            os.close(descriptor)

    def insert(self, entry: dict[str, Any], dedupe: bool) -> tuple[dict[str, Any], bool]:
        """Adds an entry to the list in memory; returns as `add` does."""
        if dedupe and entry["key"]:
            for earlier in self.entries:
                if earlier["key"] == entry["key"]:
                    return earlier, False
        entry = {"seq": len(self.entries), **entry}
        self.entries.append(entry)
        return entry, True

    def entries_of(self, target: str) -> list[dict[str, Any]]:
        """Returns the entries of one target."""
        if self.path and os.path.exists(self.path):
            descriptor = os.open(self.path, os.O_RDONLY)
            try:
                fcntl.flock(descriptor, fcntl.LOCK_SH)
                self.refresh(descriptor)
            finally:
                os.close(descriptor)
        return [entry for entry in self.entries if entry["target"] == target]


class Service(Target):
    """State and handlers of one replica."""

    def __init__(self, settings: ServiceSettings) -> None:
        if settings.kind not in KINDS:
            raise ValueError(f"kind must be one of {', '.join(KINDS)}")
        self.settings = settings
        self.running = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(settings.concurrency)
        self.random = random.Random(settings.seed)
        self.ledger = Ledger(settings.ledger_file)
        self.last_answer: Any = None
        self.tasks: set[asyncio.Task[web.Response]] = set()
        super().__init__(
            Identity(settings.name, settings.service), settings.report_lag_ms, settings.seed
        )

    def load(self) -> dict[str, float]:
        """Returns the counts of calls; each call counts as one token."""
        return {
            "running": self.running,
            "waiting": self.waiting,
            "tokens": self.running + self.waiting,
        }

    def details(self) -> dict[str, Any]:
        """Returns the kind for the state."""
        return {"kind": self.settings.kind}

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of this kind of service."""
        return {
            "encoder": [web.post("/v1/embeddings", self.embed)],
            "retriever": [web.post("/v1/search", self.search)],
            "reranker": [web.post("/v1/rerank", self.rerank)],
            "plain": [
                web.post("/v1/actions/{action}", self.receive_action),
                web.get("/ledger", self.get_ledger),
            ],
        }[self.settings.kind]

    async def process(self) -> web.Response | None:
        """Waits for a slot and for the service time; returns a refusal if the queue is full."""
        if self.waiting >= self.settings.max_waiting:
            return server.refuse(429, "the queue is full")
        self.waiting += 1
        self.record_load()
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.record_load()
        try:
            spread = 1 + self.settings.jitter * self.random.uniform(-1, 1)
            duration_ms = self.settings.service_ms * spread * self.faults.slow_factor
            await asyncio.sleep(duration_ms / 1000)
            await self.faults.running.wait()
        finally:
            self.running -= 1
            self.slots.release()
            self.record_load()
        return None

    def respond(self, request: web.Request, answer: Any) -> web.Response:
        """Answers, with the content of the previous call if this one is crossed."""
        if self.faults.consume_drop():
            server.drop_connection(request)
        previous, self.last_answer = self.last_answer, answer
        if request[CROSSED] and previous is not None:
            answer = previous
        return server.reply(answer)

    async def embed(self, request: web.Request) -> web.Response:
        """Returns the vector of a text."""
        body = await server.read(request, EmbeddingBody)
        if (refusal := await self.process()) is not None:
            return refusal
        vector = text.embedding(body["input"])
        return self.respond(request, {"data": [{"index": 0, "embedding": vector}]})

    async def search(self, request: web.Request) -> web.Response:
        """Returns documents near a vector."""
        body = await server.read(request, SearchBody)
        if (refusal := await self.process()) is not None:
            return refusal
        found = text.documents(body["query"], body["top_k"])
        return self.respond(request, {"documents": [document._asdict() for document in found]})

    async def rerank(self, request: web.Request) -> web.Response:
        """Returns the most relevant documents, best first."""
        body = await server.read(request, RerankBody)
        if (refusal := await self.process()) is not None:
            return refusal
        texts = [d if isinstance(d, str) else str(d.get("text", "")) for d in body["documents"]]
        results = [
            {"index": i, "relevance_score": text.relevance(body["query"], t)}
            for i, t in enumerate(texts)
        ]
        results.sort(key=lambda result: -result["relevance_score"])
        return self.respond(request, {"results": results[: body["top_n"]]})

    async def receive_action(self, request: web.Request) -> web.Response:
        """Runs an action, to completion even if the client closes the connection."""
        body = await server.read(request, ActionBody)
        if body["fields"].get("refuse"):
            return server.refuse(422, "refused")
        task = asyncio.get_running_loop().create_task(self.run_action(request, body["fields"]))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await asyncio.shield(task)

    async def run_action(self, request: web.Request, fields: dict[str, Any]) -> web.Response:
        """Runs an action and records it in the ledger."""
        if (refusal := await self.process()) is not None:
            return refusal
        entry = {
            "time_ms": server.wall_ms(),
            "target": self.identity.name,
            "incarnation": self.incarnation,
            "action": request.match_info["action"],
            "key": request.headers.get("Idempotency-Key", ""),
            "attempt": request.headers[ATTEMPT],
            "fields": fields,
        }
        recorded, new = self.ledger.add(entry, self.settings.dedupes)
        result = {
            "reference": f"{self.identity.service}-{recorded['seq']}",
            "action": recorded["action"],
            "fields": recorded["fields"],
        }
        return self.respond(request, {"result": result, "repeated": not new})

    async def get_ledger(self, request: web.Request) -> web.Response:
        """Returns the actions that this target ran, in order."""
        return server.reply({"actions": self.ledger.entries_of(self.identity.name)})


def build(settings: ServiceSettings) -> web.Application:
    """Returns the application for the given settings."""
    return Service(settings).app()


if __name__ == "__main__":
    server.main(ServiceSettings, build)
