"""What the failure tests share: a published deployment, a balancer, callers and whole answers."""

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

# More than any pipeline's deadline: a request that takes longer was not answered within it.
CLIENT_TIMEOUT_S = 15.0

NASR_SMALL = NASR.small()


class Ask(NamedTuple):
    """One request of a caller."""

    workspace: str
    pipeline: str
    text: str
    fields: Mapping[str, str]
    key: str | None = None
    stream: bool = False
    max_tokens: int | None = None
    deadline_ms: int | None = None


class Outcome(NamedTuple):
    """How a request ended. `kind` is empty for an answer, else the error kind or, if there was no
    answer of the system, the client's exception. `wrong` says in what an answer differs from the
    whole answer to this request. Times are monotonic, in seconds. `closing` is set if the host said
    that it will close the connection."""

    ask: Ask
    host: str
    kind: str
    ran: str
    wrong: str
    started_s: float
    ended_s: float
    answer: Any
    tokens: tuple[str, ...]
    closing: bool = False

    @property
    def good(self) -> bool:
        """Whether this is the whole answer to the request."""
        return not self.kind and not self.wrong

    @property
    def took_s(self) -> float:
        """The duration in seconds."""
        return self.ended_s - self.started_s


class Expected(NamedTuple):
    """The parts of the whole answer that the stand-ins' content determines."""

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

    def key_of(self, workspace: str) -> str:
        """The caller key of an example workspace."""
        return f"{self.deployment.spec.name}-{workspace}-caller-key"

    def expected(self, ask: Ask) -> Expected:
        """Computes the whole answer to a request."""
        documents: list[text.Document] = []
        generated = action = None
        for stage in self.files[f"pipeline/{ask.pipeline}.json"]["stages"]:
            match stage["type"]:
                case "retrieve":
                    documents = text.documents(ask.text, stage["top_k"])
                case "rerank":
                    documents.sort(key=lambda document: -text.relevance(ask.text, document.text))
                    documents = documents[: stage["top_n"]]
                case "generate":
                    prompt = "\n".join([*(document.text for document in documents), ask.text])
                    limit = min(stage["max_tokens"], ask.max_tokens or stage["max_tokens"])
                    generated = text.answer(self.models[stage["service"]], prompt, limit)
                case "action":
                    action = {"action": stage["action"], "fields": dict(ask.fields)}
        return Expected(generated, [(d.id, d.text) for d in documents], action)

    def difference(self, ask: Ask, answer: Any, tokens: Sequence[str]) -> str:
        """In what an answer differs from the whole answer to a request; empty if in nothing."""
        expected = self.expected(ask)
        given = answer["answer"]
        if given.get("text") != expected.text:
            return f"text {given.get('text')!r} instead of {expected.text!r}"
        if ask.stream and expected.text is not None and "".join(tokens) != expected.text:
            return f"tokens {tokens!r} instead of {expected.text!r}"
        if [(d["id"], d["text"]) for d in given.get("documents", [])] != expected.documents:
            return "other documents"
        for name, value in (expected.action or {}).items():
            if given["action"][name] != value:
                return f"action's {name} is {given['action'][name]!r} instead of {value!r}"
        return ""


class Client:
    """Sends requests over kept-alive connections; each is sent once and never retried."""

    def __init__(self, site: Site, session: aiohttp.ClientSession) -> None:
        self.site = site
        self.session = session

    async def send(self, host: str, ask: Ask) -> Outcome:
        """Sends one request to one daemon."""
        started_s = time.monotonic()
        kind = ran = wrong = ""
        answer: Any = None
        tokens: list[str] = []
        closing = False
        try:
            async with self.post(host, ask) as response:
                closing = response.headers.get("Connection") == "close"
                if response.content_type == "text/event-stream":
                    answer = await read_events(response, tokens)
                else:
                    answer = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            kind = f"{type(error).__name__}: {error}"
        else:
            if answer is None:
                kind = "stream without an end"
            elif "error" in answer:
                kind, ran = answer["error"]["kind"], answer["error"]["ran"]
            else:
                wrong = self.site.difference(ask, answer, tokens)
        ended_s = time.monotonic()
        return Outcome(
            ask, host, kind, ran, wrong, started_s, ended_s, answer, tuple(tokens), closing
        )

    def post(self, host: str, ask: Ask) -> Any:
        """The HTTP request."""
        body: dict[str, Any] = {"input": {"text": ask.text, "fields": dict(ask.fields)}}
        for name in ("max_tokens", "deadline_ms"):
            if getattr(ask, name) is not None:
                body[name] = getattr(ask, name)
        if ask.stream:
            body["stream"] = True
        headers = {"Authorization": f"Bearer {self.site.key_of(ask.workspace)}"}
        if ask.key is not None:
            headers["Idempotency-Key"] = ask.key
            headers["X-First-Attempt"] = "true"
        path = f"/v1/workspaces/{ask.workspace}/pipelines/{ask.pipeline}/runs"
        url = self.site.deployment.url(host) + path
        return self.session.post(url, json=body, headers=headers)


async def read_events(response: aiohttp.ClientResponse, tokens: list[str]) -> Any:
    """Reads a stream into `tokens`; returns the content of its last event, None without one."""
    event, last = "", None
    async for line in response.content:
        if line.startswith(b"event: "):
            assert last is None, f"{line!r} after the last event"
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
    """Sends each request to the next of the hosts that were ready when last polled."""

    def __init__(self, client: Client) -> None:
        self.client = client
        self.deployment = client.site.deployment
        self.ready: list[str] = []
        self.turn = itertools.count()

    async def send(self, ask: Ask) -> Outcome:
        """Sends one request to a ready host."""
        host = self.ready[next(self.turn) % len(self.ready)]
        return await self.client.send(host, ask)

    async def poll(self) -> None:
        """Polls the hosts until cancelled."""
        while True:
            names = self.deployment.host_names
            answers = await asyncio.gather(*(self.is_ready(name) for name in names))
            self.ready = [name for name, ready in zip(names, answers, strict=True) if ready]
            await asyncio.sleep(POLL_S)

    async def is_ready(self, name: str) -> bool:
        """Asks one host."""
        return await status_of(self.deployment, name) == 200


async def status_of(deployment: Deployment, name: str) -> int:
    """The status of a daemon's `/readyz`, 0 if it does not answer within a second."""
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
    async with Deployment(spec, **options) as deployment, connected() as session:
        site = Site(deployment, files)
        await deployment.wait_ready()
        await until_peers(deployment)
        await site.publish(deployment.host_names[0])
        yield site, Client(site, session)


@asynccontextmanager
async def connected() -> AsyncIterator[aiohttp.ClientSession]:
    """A session that keeps connections alive and sets no limit on their number."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60)
    timeout = aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        yield session


@asynccontextmanager
async def balanced(client: Client) -> AsyncIterator[Balancer]:
    """A balancer that polls as long as the context lasts."""
    balancer = Balancer(client)
    polling = asyncio.create_task(balancer.poll())
    try:
        await until(lambda: balancer.ready)
        yield balancer
    finally:
        polling.cancel()
        await asyncio.gather(polling, return_exceptions=True)


async def status(deployment: Deployment, host: str) -> Any:
    """A daemon's `/operator/status`."""
    url = f"{deployment.operator_url(host)}/operator/status"
    async with deployment.session.get(url, headers=deployment.operator_headers) as response:
        return await response.json()


async def until_peers(deployment: Deployment) -> None:
    """Waits until every daemon lists all others."""
    names = deployment.host_names

    async def complete() -> bool:
        known = [await status(deployment, name) for name in names]
        return all(len(one["peers"]) == len(names) - 1 for one in known)

    await until_true(complete, 5.0)


async def until_true(condition: Callable[[], Any], timeout_s: float) -> None:
    """Waits for an asynchronous condition with a bound."""
    async with asyncio.timeout(timeout_s):
        while True:
            if await condition():
                return
            await asyncio.sleep(0.02)


class Load:
    """Workers that each send one request after another as long as the context lasts.

    Leaving the context waits for the answers to the requests that are under way.
    """

    def __init__(self, send: Callable[[Ask], Any], asks: Iterator[Ask], workers: int) -> None:
        self.send = send
        self.asks = asks
        self.workers = workers
        self.outcomes: list[Outcome] = []
        self.ending = False

    async def __aenter__(self) -> Load:
        self.tasks = [asyncio.create_task(self.work()) for _ in range(self.workers)]
        return self

    async def __aexit__(self, *exception: Any) -> None:
        await self.finish()

    async def finish(self) -> None:
        """Sends no further requests and waits for the answers to those under way."""
        self.ending = True
        ends = await asyncio.gather(*self.tasks, return_exceptions=True)
        bugs = [end for end in ends if isinstance(end, Exception)]
        assert not bugs, bugs

    async def work(self) -> None:
        """One worker."""
        while not self.ending:
            self.outcomes.append(await self.send(next(self.asks)))

    async def more(self, count: int, timeout_s: float = 20.0) -> None:
        """Waits for `count` further outcomes."""
        wanted = len(self.outcomes) + count
        await until(lambda: len(self.outcomes) >= wanted, timeout_s)


class Mix:
    """An endless mix of requests with different texts, drawn with a fixed seed."""

    def __init__(self, choices: Iterable[Ask], seed: int) -> None:
        self.choices = list(choices)
        self.random = random.Random(seed)

    def __iter__(self) -> Iterator[Ask]:
        return self

    def __next__(self) -> Ask:
        ask = self.random.choice(self.choices)
        marks = {"mark": uuid.UUID(int=self.random.getrandbits(128)).hex}
        words = " ".join(self.random.choices(text.WORDS, k=12))
        key = str(uuid6.uuid7()) if ask.key is not None else None
        return ask._replace(text=words, fields=marks, key=key)


def chat(workspace: str = "grand-hotels", stream: bool = False, tokens: int = 16) -> Ask:
    """An idempotent run of three stages that generates text."""
    return Ask(workspace, "owner-chat", "", {}, stream=stream, max_tokens=tokens)


def reorder(workspace: str = "grand-hotels") -> Ask:
    """A non-idempotent run; a mix gives each its own key."""
    return Ask(workspace, "reorder", "", {}, key="")


def lookup(workspace: str = "grand-hotels") -> Ask:
    """An idempotent run that ends with an action which may be repeated."""
    return Ask(workspace, "job-status", "", {})


def faults(outcomes: Iterable[Outcome]) -> Counter[str]:
    """The outcomes that are not the whole right answer, counted by what they were."""
    return Counter(
        f"{o.ask.pipeline} at {o.host}: {o.kind or o.wrong} ran={o.ran}"
        for o in outcomes
        if not o.good
    )


def attainment(outcomes: Sequence[Outcome]) -> float:
    """The share of requests with the whole answer."""
    return sum(o.good for o in outcomes) / len(outcomes)


def median_s(outcomes: Sequence[Outcome]) -> float:
    """The median duration of the good ones."""
    times = sorted(o.took_s for o in outcomes if o.good)
    return times[len(times) // 2]


async def keys_run(deployment: Deployment, service: str) -> Counter[str]:
    """How often each idempotency key is in the ledger of a service."""
    return Counter(entry["key"] for entry in await deployment.ledger(service))


async def attempts(deployment: Deployment, result: str) -> float:
    """How many attempts ended with a result, over all daemons since their start."""
    total = 0.0
    for name in deployment.host_names:
        async with deployment.session.get(f"{deployment.operator_url(name)}/metrics") as response:
            for line in (await response.text()).splitlines():
                if "attempts" in line and f'result="{result}"' in line:
                    total += float(line.rsplit(" ", 1)[1])
    return total
