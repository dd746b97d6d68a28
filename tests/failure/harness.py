"""Shared by the failure tests: a deployment, a load balancer, callers and expected answers."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
import uuid
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable, Iterator, Mapping, Sequence
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import aiohttp
import uuid6

from savoryfork.files import load_directory
from standins import text
from standins.deployments import NASR, DeploymentSpec
from standins.launch import ROOT, Deployment
from tests.standins import until as until  # for the tests

POLL_S = 0.2

# Longer than any pipeline's deadline, so a request that times out here has missed its deadline.
CLIENT_TIMEOUT_S = 15.0

NASR_SMALL = NASR.small()


class RunRequest(NamedTuple):
    """A request to run a pipeline."""

    workspace: str
    pipeline: str
    text: str
    fields: Mapping[str, str]
    key: str | None = None
    stream: bool = False
    max_tokens: int | None = None
    deadline_ms: int | None = None


class Outcome(NamedTuple):
    """The outcome of a request.

    `kind` is empty for an answer, otherwise the error kind, or the client's exception if the system
    did not answer. `mismatch` describes how an answer differs from the expected one. Times are
    monotonic, in seconds. `closing` is True if the host announced that it closes the connection.
    """

    request: RunRequest
    host: str
    kind: str
    ran: str
    mismatch: str
    started_s: float
    ended_s: float
    answer: Any
    tokens: tuple[str, ...]
    closing: bool = False

    @property
    def succeeded(self) -> bool:
        """True if the request got its complete and correct answer."""
        return not self.kind and not self.mismatch

    @property
    def duration_s(self) -> float:
        """Returns the duration in seconds."""
        return self.ended_s - self.started_s


class Expected(NamedTuple):
    """The parts of an answer that the content of the stand-ins determines."""

    text: str | None
    documents: list[tuple[str, str]]
    action: Mapping[str, Any] | None


class Site:
    """A running deployment with its example configuration in effect on every daemon."""

    def __init__(self, deployment: Deployment, files: Mapping[str, Any]) -> None:
        self.deployment = deployment
        self.files = files
        self.models = {s.name: s.model for s in deployment.spec.services}

    async def publish(self, host: str) -> None:
        """Publishes the example configuration through one daemon."""
        body = {"id": str(uuid6.uuid7()), "base": {}, "files": self.files}
        deployment = self.deployment
        async with deployment.session.post(
            f"{deployment.operator_url(host)}/operator/publications",
            json=body,
            headers=deployment.operator_headers,
            timeout=aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S),
        ) as response:
            answer = await response.json()
            assert response.status == 200 and not answer["missing"], answer

    def caller_key(self, workspace: str) -> str:
        """Returns the caller key of an example workspace."""
        return f"{self.deployment.spec.name}-{workspace}-caller-key"

    def expected(self, request: RunRequest) -> Expected:
        """Computes the expected answer to a request."""
        documents: list[text.Document] = []
        generated = action = None
        for stage in self.files[f"pipeline/{request.pipeline}.json"]["stages"]:
            match stage["type"]:
                case "retrieve":
                    documents = text.documents(request.text, stage["top_k"])
                case "rerank":
                    documents.sort(
                        key=lambda document: -text.relevance(request.text, document.text)
                    )
                    documents = documents[: stage["top_n"]]
                case "generate":
                    prompt = "\n".join([*(document.text for document in documents), request.text])
                    limit = min(stage["max_tokens"], request.max_tokens or stage["max_tokens"])
                    generated = text.answer(self.models[stage["service"]], prompt, limit)
                case "action":
                    action = {"action": stage["action"], "fields": dict(request.fields)}
        return Expected(generated, [(d.id, d.text) for d in documents], action)

    def describe_mismatch(self, request: RunRequest, answer: Any, tokens: Sequence[str]) -> str:
        """Describes how an answer differs from the expected one; empty if it does not."""
        expected = self.expected(request)
        content = answer["answer"]
        if content.get("text") != expected.text:
            return f"text {content.get('text')!r} instead of {expected.text!r}"
        if request.stream and expected.text is not None and "".join(tokens) != expected.text:
            return f"tokens {tokens!r} instead of {expected.text!r}"
        if [(d["id"], d["text"]) for d in content.get("documents", [])] != expected.documents:
            return "documents differ"
        for name, value in (expected.action or {}).items():
            if content["action"][name] != value:
                return f"action's {name} is {content['action'][name]!r} instead of {value!r}"
        return ""


class Client:
    """Sends requests over kept-alive connections; each is sent once and never retried."""

    def __init__(self, site: Site, session: aiohttp.ClientSession) -> None:
        self.site = site
        self.session = session

    async def send(self, host: str, request: RunRequest) -> Outcome:
        """Sends one request to one daemon."""
        started_s = time.monotonic()
        kind = ran = mismatch = ""
        answer: Any = None
        tokens: list[str] = []
        closing = False
        try:
            async with self.post(host, request) as response:
                closing = response.headers.get("Connection") == "close"
                if response.content_type == "text/event-stream":
                    answer = await read_events(response, tokens)
                else:
                    answer = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            kind = f"{type(error).__name__}: {error}"
        else:
            if answer is None:
                kind = "stream ended without a final event"
            elif "error" in answer:
                kind, ran = answer["error"]["kind"], answer["error"]["ran"]
            else:
                mismatch = self.site.describe_mismatch(request, answer, tokens)
        ended_s = time.monotonic()
        return Outcome(
            request, host, kind, ran, mismatch, started_s, ended_s, answer, tuple(tokens), closing
        )

    def post(self, host: str, request: RunRequest) -> Any:
        """Returns the HTTP request as a context manager."""
        body: dict[str, Any] = {"input": {"text": request.text, "fields": dict(request.fields)}}
        for name in ("max_tokens", "deadline_ms"):
            if getattr(request, name) is not None:
                body[name] = getattr(request, name)
        if request.stream:
            body["stream"] = True
        headers = {"Authorization": f"Bearer {self.site.caller_key(request.workspace)}"}
        if request.key is not None:
            headers["Idempotency-Key"] = request.key
            headers["X-First-Attempt"] = "true"
        path = f"/v1/workspaces/{request.workspace}/pipelines/{request.pipeline}/runs"
        url = self.site.deployment.url(host) + path
        return self.session.post(url, json=body, headers=headers)


async def read_events(response: aiohttp.ClientResponse, tokens: list[str]) -> Any:
    """Appends streamed tokens to `tokens`; returns the final event's data, None without one."""
    event, last = "", None
    async for line in response.content:
        if line.startswith(b"event: "):
            assert last is None, f"event {line!r} after the final event"
            event = line[7:].decode().strip()
        elif line.startswith(b"data: "):
            data = json.loads(line[6:])
            if event != "token":
                last = data
                continue
            assert data["index"] == len(tokens), f"token {data['index']} after {len(tokens) - 1}"
            tokens.append(data["text"])
    return last


class Balancer:
    """Distributes requests round-robin over the hosts that were ready at the last poll."""

    def __init__(self, client: Client) -> None:
        self.client = client
        self.deployment = client.site.deployment
        self.ready: list[str] = []
        self.turn_counter = itertools.count()

    async def send(self, request: RunRequest) -> Outcome:
        """Sends one request to a ready host."""
        host = self.ready[next(self.turn_counter) % len(self.ready)]
        return await self.client.send(host, request)

    async def poll(self) -> None:
        """Polls the readiness of the hosts until cancelled."""
        while True:
            names = self.deployment.host_names
            answers = await asyncio.gather(*(self.is_ready(name) for name in names))
            self.ready = [name for name, ready in zip(names, answers, strict=True) if ready]
            await asyncio.sleep(POLL_S)

    async def is_ready(self, name: str) -> bool:
        """Returns True if a host reports that it is ready."""
        return await readyz_status(self.deployment, name) == 200


async def readyz_status(deployment: Deployment, name: str) -> int:
    """Returns the HTTP status of a daemon's `/readyz`, 0 if it does not answer within 1 s."""
    timeout = aiohttp.ClientTimeout(total=1)
    try:
        async with deployment.session.get(
            deployment.url(name) + "/readyz", timeout=timeout
        ) as response:
            return response.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0


@asynccontextmanager
async def running(
    spec: DeploymentSpec = NASR_SMALL, **options: Any
) -> AsyncIterator[tuple[Site, Client]]:
    """Starts a deployment with its example configuration in effect, and a client for it."""
    files = load_directory(ROOT / "examples" / spec.name)
    async with Deployment(spec, **options) as deployment, client_session() as session:
        site = Site(deployment, files)
        await deployment.wait_ready()
        await wait_for_peers(deployment)
        await site.publish(deployment.host_names[0])
        yield site, Client(site, session)


@asynccontextmanager
async def client_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Opens a session with kept-alive connections and no limit on their number."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60)
    timeout = aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        yield session


@asynccontextmanager
async def balanced(client: Client) -> AsyncIterator[Balancer]:
    """Runs a balancer that polls until the context exits."""
    balancer = Balancer(client)
    polling = asyncio.create_task(balancer.poll())
    try:
        await until(lambda: balancer.ready)
        yield balancer
    finally:
        polling.cancel()
        await asyncio.gather(polling, return_exceptions=True)


async def operator_status(deployment: Deployment, host: str) -> Any:
    """Returns a daemon's `/operator/status`."""
    url = f"{deployment.operator_url(host)}/operator/status"
    async with deployment.session.get(url, headers=deployment.operator_headers) as response:
        return await response.json()


async def wait_for_peers(deployment: Deployment) -> None:
    """Waits until every daemon lists all others."""
    names = deployment.host_names

    async def complete() -> bool:
        states = [await operator_status(deployment, name) for name in names]
        return all(len(state["peers"]) == len(names) - 1 for state in states)

    await wait_until_true(complete, 5.0)


async def wait_until_true(condition: Callable[[], Any], timeout_s: float) -> None:
    """Waits until an asynchronous condition is true; raises TimeoutError after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while True:
            if await condition():
                return
            await asyncio.sleep(0.02)


class Load:
    """Workers that each send one request after another until the context exits.

    Leaving the context waits for the answers to requests in flight.
    """

    def __init__(
        self, send: Callable[[RunRequest], Any], requests: Iterator[RunRequest], workers: int
    ) -> None:
        self.send = send
        self.requests = requests
        self.workers = workers
        self.outcomes: list[Outcome] = []
        self.stopping = False

    async def __aenter__(self) -> Load:
        self.tasks = [asyncio.create_task(self.run_worker()) for _ in range(self.workers)]
        return self

    async def __aexit__(self, *exception: Any) -> None:
        await self.finish()

    async def finish(self) -> None:
        """Stops sending and waits for the answers to requests in flight."""
        self.stopping = True
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        errors = [result for result in results if isinstance(result, Exception)]
        assert not errors, errors

    async def run_worker(self) -> None:
        """Sends requests until the load ends."""
        while not self.stopping:
            self.outcomes.append(await self.send(next(self.requests)))

    async def wait_for_more(self, count: int, timeout_s: float = 20.0) -> None:
        """Waits for `count` further outcomes."""
        wanted = len(self.outcomes) + count
        await until(lambda: len(self.outcomes) >= wanted, timeout_s)


class RequestMix:
    """Endless iterator of requests with varying texts, drawn with a fixed seed."""

    def __init__(self, templates: Iterable[RunRequest], seed: int) -> None:
        self.templates = list(templates)
        self.random = random.Random(seed)

    def __iter__(self) -> Iterator[RunRequest]:
        return self

    def __next__(self) -> RunRequest:
        request = self.random.choice(self.templates)
        marker = {"mark": uuid.UUID(int=self.random.getrandbits(128)).hex}
        words = " ".join(self.random.choices(text.WORDS, k=12))
        key = str(uuid6.uuid7()) if request.key is not None else None
        return request._replace(text=words, fields=marker, key=key)


def chat(workspace: str = "grand-hotels", stream: bool = False, tokens: int = 16) -> RunRequest:
    """Returns an idempotent run of three stages that generates text."""
    return RunRequest(workspace, "owner-chat", "", {}, stream=stream, max_tokens=tokens)


def reorder(workspace: str = "grand-hotels") -> RunRequest:
    """Returns a non-idempotent run; `RequestMix` gives each request its own key."""
    return RunRequest(workspace, "reorder", "", {}, key="")


def lookup(workspace: str = "grand-hotels") -> RunRequest:
    """Returns an idempotent run that ends with a repeatable action."""
    return RunRequest(workspace, "job-status", "", {})


def count_failures(outcomes: Iterable[Outcome]) -> Counter[str]:
    """Counts the outcomes without the expected answer, by description."""
    return Counter(
        f"{o.request.pipeline} at {o.host}: {o.kind or o.mismatch} ran={o.ran}"
        for o in outcomes
        if not o.succeeded
    )


def attainment(outcomes: Sequence[Outcome]) -> float:
    """Returns the share of requests with the expected answer."""
    return sum(o.succeeded for o in outcomes) / len(outcomes)


def median_s(outcomes: Sequence[Outcome]) -> float:
    """Returns the median duration of the requests with the expected answer."""
    times = sorted(o.duration_s for o in outcomes if o.succeeded)
    return times[len(times) // 2]


async def runs_by_key(deployment: Deployment, service: str) -> Counter[str]:
    """Counts the entries of each idempotency key in the ledger of a service."""
    return Counter(entry["key"] for entry in await deployment.ledger(service))


async def count_attempts(deployment: Deployment, result: str) -> float:
    """Counts the attempts that ended with a result, over all daemons since their start."""
    total = 0.0
    for name in deployment.host_names:
        async with deployment.session.get(f"{deployment.operator_url(name)}/metrics") as response:
            for line in (await response.text()).splitlines():
                if "attempts" in line and f'result="{result}"' in line:
                    total += float(line.rsplit(" ", 1)[1])
    return total
