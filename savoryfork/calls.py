"""One attempt of one stage at one target, with the checks that tie an answer to its request."""

from __future__ import annotations

import functools
import logging
from collections.abc import Callable, Mapping
from types import SimpleNamespace
from typing import Any, NamedTuple

import aiohttp
import msgspec

from savoryfork import defaults
from savoryfork.board import TargetView
from savoryfork.callstate import CallResult
from savoryfork.membership import LoadReport, Membership
from savoryfork.pipeline import (
    ActionStage,
    EncodeStage,
    GenerateStage,
    RerankStage,
    RetrieveStage,
    Stage,
)
from savoryfork.util.timer import Clock

log = logging.getLogger(__name__)

# How often the dispatcher hears of a generation's progress.
PROGRESS_INTERVAL_TOKENS = 16

# Reasons that end a whole answer; the others are a cancelled or expired generation.
COMPLETE_FINISH_REASONS = frozenset({"stop", "length"})

Scalar = str | int | float | bool


class Document(NamedTuple):
    """A retrieved document."""

    id: str
    text: str
    score: float


class StageInput(NamedTuple):
    """What the earlier stages have produced, and the caller's own input.

    `max_tokens` is the caller's limit for generation, None if it gave none.
    """

    text: str
    fields: Mapping[str, Scalar]
    vector: tuple[float, ...] = ()
    documents: tuple[Document, ...] = ()
    generated: str = ""
    action: Any = None
    max_tokens: int | None = None
    priority: int = 5


class CallError(Exception):
    """An attempt that gave no usable answer.

    `sent` is False only if no byte of the request left this process, or the target refused it
    with the word that it did not run it. `draining` says that the target is leaving.
    """

    def __init__(
        self, reason: str, result: CallResult, *, sent: bool, draining: bool = False
    ) -> None:
        super().__init__(reason)
        self.result = result
        self.sent = sent
        self.draining = draining


class ActionRejected(Exception):
    """The service refused the action definitely; `details` is its answer."""

    def __init__(self, details: Any) -> None:
        super().__init__("the service refused the action")
        self.details = details


class Superseded(Exception):
    """Another attempt of the same stage already delivers tokens."""


class TokenStream:
    """The tokens of one generation, gathered over all its attempts without gap or repetition.

    Only one attempt at a time may deliver; a later one resumes where the earlier one ended.
    """

    def __init__(self, on_token: Callable[[int, str], None]) -> None:
        self.on_token = on_token
        self.tokens: list[str] = []
        self.delivering_attempt: str | None = None

    def accept(self, attempt: str, index: int, text: str) -> None:
        """Takes one token. A repeated one is ignored; a gap is a failure of the attempt."""
        if self.delivering_attempt is None:
            self.delivering_attempt = attempt
        if self.delivering_attempt != attempt:
            raise Superseded()
        if index < len(self.tokens):
            return
        if index > len(self.tokens):
            raise CallError(
                f"token {index} follows token {len(self.tokens) - 1}", CallResult.FAILED, sent=True
            )
        self.tokens.append(text)
        self.on_token(index, text)

    def end_attempt(self, attempt: str) -> None:
        """Lets another attempt deliver."""
        if self.delivering_attempt == attempt:
            self.delivering_attempt = None

    def text(self) -> str:
        """Everything delivered so far."""
        return "".join(self.tokens)


class Attempt(NamedTuple):
    """The frame of one attempt. `before_send` may raise CallError to stop it unsent."""

    id: str
    target: TargetView
    deadline_ms: float
    key: str | None
    stream: TokenStream | None
    before_send: Callable[[], None]
    on_first_token: Callable[[], None]
    on_progress: Callable[[int], None]


class Exchange(NamedTuple):
    """The request that a stage sends and the function that reads its answer."""

    path: str
    body: dict[str, Any]


def trace_config() -> aiohttp.TraceConfig:
    """Tells each attempt when its first byte is about to leave.

    The hook runs before the headers are written, so an exception in it stops the request unsent.
    """

    async def headers_sent(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceRequestHeadersSentParams,
    ) -> None:
        progress = context.trace_request_ctx
        if progress is not None:
            progress.before_send()
            progress.sent = True

    config = aiohttp.TraceConfig()
    config.on_request_headers_sent.append(headers_sent)
    return config


def generation_prompt(stage_input: StageInput) -> str:
    """The prompt of a generation: the documents first, since they are shared between requests."""
    parts = [document.text for document in stage_input.documents]
    return "\n".join([*parts, stage_input.text])


@functools.singledispatch
def exchange(stage: Stage, stage_input: StageInput) -> Exchange:
    """The request for a stage."""
    raise TypeError(f"no request is defined for {type(stage).__name__}")


@exchange.register
def _(stage: EncodeStage, stage_input: StageInput) -> Exchange:
    return Exchange("/v1/embeddings", {"input": stage_input.text})


@exchange.register
def _(stage: RetrieveStage, stage_input: StageInput) -> Exchange:
    body = {"vector": stage_input.vector, "query": stage_input.text, "top_k": stage.top_k}
    return Exchange("/v1/search", body)


@exchange.register
def _(stage: RerankStage, stage_input: StageInput) -> Exchange:
    texts = [document.text for document in stage_input.documents]
    return Exchange(
        "/v1/rerank", {"query": stage_input.text, "documents": texts, "top_n": stage.top_n}
    )


@exchange.register
def _(stage: ActionStage, stage_input: StageInput) -> Exchange:
    return Exchange(f"/v1/actions/{stage.action}", {"fields": dict(stage_input.fields)})


@exchange.register
def _(stage: GenerateStage, stage_input: StageInput) -> Exchange:
    limit = min(stage.max_tokens, stage_input.max_tokens or stage.max_tokens)
    body = {"prompt": generation_prompt(stage_input), "max_tokens": limit, "stream": True}
    return Exchange("/v1/completions", body)


@functools.singledispatch
def output(stage: Stage, stage_input: StageInput, answer: Any) -> StageInput:
    """The input of the next stage, from a target's decoded answer."""
    raise TypeError(f"no answer is defined for {type(stage).__name__}")


@output.register
def _(stage: EncodeStage, stage_input: StageInput, answer: Any) -> StageInput:
    return stage_input._replace(vector=tuple(answer["data"][0]["embedding"]))


@output.register
def _(stage: RetrieveStage, stage_input: StageInput, answer: Any) -> StageInput:
    documents = (Document(d["id"], d["text"], d["score"]) for d in answer["documents"])
    return stage_input._replace(documents=tuple(documents)[: stage.top_k])


@output.register
def _(stage: RerankStage, stage_input: StageInput, answer: Any) -> StageInput:
    ordered = tuple(
        stage_input.documents[row["index"]]._replace(score=row["relevance_score"])
        for row in answer["results"]
    )
    return stage_input._replace(documents=ordered[: stage.top_n])


@output.register
def _(stage: GenerateStage, stage_input: StageInput, answer: Any) -> StageInput:
    return stage_input._replace(generated=answer)


@output.register
def _(stage: ActionStage, stage_input: StageInput, answer: Any) -> StageInput:
    return stage_input._replace(action=answer["result"])


class SendProgress:
    """Whether an attempt may have reached its target."""

    def __init__(self, before_send: Callable[[], None]) -> None:
        self.before_send = before_send
        self.sent = False


class TargetClient:
    """Makes attempts over HTTP. Actions use a connection of their own each.

    A kept-alive connection that the target closes just as a request leaves gives a reset that
    can't be told from a request that ran; with a new connection that reset is rare.
    """

    def __init__(self, clock: Clock, membership: Membership) -> None:
        self.clock = clock
        self.membership = membership
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=defaults.CONNECT_TIMEOUT_MS / 1000)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
            timeout=timeout,
            trace_configs=[trace_config()],
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self.action_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=timeout,
            trace_configs=[trace_config()],
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self.session.close()
        await self.action_session.close()

    async def attempt(self, stage: Stage, stage_input: StageInput, attempt: Attempt) -> StageInput:
        """Makes one attempt and returns the input of the next stage.

        The tokens of a generation also go to the attempt's stream. Raises CallError,
        ActionRejected or Superseded.
        """
        path, body = exchange(stage, stage_input)
        headers = {
            "X-Attempt-Id": attempt.id,
            "X-Deadline-Ms": str(max(0, int(attempt.deadline_ms - self.clock.monotonic_ms()))),
            "X-Priority": str(stage_input.priority),
        }
        if attempt.key is not None:
            headers["Idempotency-Key"] = attempt.key
        if attempt.stream is not None:
            body |= {"priority": stage_input.priority, "resume_from": len(attempt.stream.tokens)}
        session = self.action_session if isinstance(stage, ActionStage) else self.session
        progress = SendProgress(attempt.before_send)
        try:
            async with session.post(
                f"http://{attempt.target.address}{path}",
                data=msgspec.json.encode(body),
                headers=headers,
                trace_request_ctx=progress,
                # Following a redirect would send the request a second time.
                allow_redirects=False,
            ) as response:
                await self.check_answer(response, attempt)
                if attempt.stream is not None:
                    text = await self.read_stream(response, attempt, attempt.stream)
                    return output(stage, stage_input, text)
                return output(stage, stage_input, msgspec.json.decode(await response.read()))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            result = CallResult.FAILED if progress.sent else CallResult.CONNECT_FAILED
            raise CallError(type(error).__name__, result, sent=progress.sent) from error
        except (msgspec.DecodeError, LookupError, TypeError, ValueError) as error:
            raise CallError("the answer can't be read", CallResult.FAILED, sent=True) from error
        finally:
            if attempt.stream is not None:
                attempt.stream.end_attempt(attempt.id)

    async def check_answer(self, response: aiohttp.ClientResponse, attempt: Attempt) -> None:
        """Checks the status and that the answer belongs to this attempt."""
        self.note_headers(response, attempt.target)
        # Another attempt's refusal says nothing of this one, which may have run.
        if response.headers.get("X-Attempt-Id") != attempt.id:
            raise CallError("another attempt's answer", CallResult.MISMATCHED, sent=True)
        if response.headers.get("X-Target-State") == "draining" and response.status == 503:
            raise CallError("draining", CallResult.CANCELLED, sent=False, draining=True)
        if response.status == 422 and attempt.key is not None:
            raise ActionRejected(msgspec.json.decode(await response.read()))
        if response.status != 200:
            raise CallError(f"status {response.status}", CallResult.FAILED, sent=True)

    def note_headers(self, response: aiohttp.ClientResponse, target: TargetView) -> None:
        """Takes the target's state and load from the headers of its answer."""
        incarnation = response.headers.get("X-Incarnation", target.incarnation)
        if response.headers.get("X-Target-State") == "draining":
            self.membership.mark_leaving(target.name, incarnation, "answer")
        report = load_header(response.headers.get("endpoint-load-metrics"))
        if report is not None:
            self.membership.update_load(target.name, incarnation, report)

    async def read_stream(
        self, response: aiohttp.ClientResponse, attempt: Attempt, stream: TokenStream
    ) -> str:
        """Reads tokens until the explicit end; a stream without one is not an answer."""
        first = True
        async for event in sse_events(response):
            if event == b"[DONE]":
                break
            message = msgspec.json.decode(event)
            if message["attempt"] != attempt.id:
                raise CallError("another attempt's token", CallResult.MISMATCHED, sent=True)
            if "finish_reason" in message:
                if message["finish_reason"] not in COMPLETE_FINISH_REASONS:
                    reason = f"the target ended the stream: {message['finish_reason']}"
                    raise CallError(reason, CallResult.FAILED, sent=True)
                if message["tokens"] != len(stream.tokens):
                    raise CallError("tokens are missing", CallResult.FAILED, sent=True)
                return stream.text()
            stream.accept(attempt.id, message["index"], message["text"])
            if first:
                first = False
                attempt.on_first_token()
            elif message["index"] % PROGRESS_INTERVAL_TOKENS == 0:
                attempt.on_progress(len(stream.tokens))
        raise CallError("the stream ended without its end", CallResult.FAILED, sent=True)


async def sse_events(response: aiohttp.ClientResponse) -> Any:
    """Yields the data of each server-sent event."""
    async for line in response.content:
        if line.startswith(b"data: "):
            yield line[6:].strip()


def load_header(value: str | None) -> LoadReport | None:
    """Reads the load metrics header; a malformed one is ignored.

    >>> load_header('JSON {"named_metrics": {"running": 2, "waiting": 1, "tokens": 90}}')
    LoadReport(running=2, waiting=1, tokens=90)
    >>> load_header("JSON {") is None
    True
    """
    if value is None or not value.startswith("JSON "):
        return None
    try:
        metrics = msgspec.json.decode(value[5:].encode())["named_metrics"]
        return LoadReport(int(metrics["running"]), int(metrics["waiting"]), int(metrics["tokens"]))
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None
