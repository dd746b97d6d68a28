"""HTTP attempts of a stage on a target, with checks that match answers to requests."""

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
from savoryfork.util.bodies import read_body
from savoryfork.util.timer import Clock

log = logging.getLogger(__name__)

# Tokens between progress reports of a generation to the dispatcher.
PROGRESS_INTERVAL_TOKENS = 16

# Finish reasons of a complete answer; others mean a cancelled or expired generation.
COMPLETE_FINISH_REASONS = frozenset({"stop", "length"})

Scalar = str | int | float | bool


class Document(NamedTuple):
    """A retrieved document."""

    id: str
    text: str
    score: float


class StageInput(NamedTuple):
    """Input of a stage: results of the earlier stages and the caller's input.

    `max_tokens` is the caller's limit for generation, None if unset.
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
    """An attempt without a usable answer.

    `sent` is False only if no byte of the request left this process, or the target refused it and
    stated that it did not run it. `draining` is True if the target is leaving.
    """

    def __init__(
        self, reason: str, result: CallResult, *, sent: bool, draining: bool = False
    ) -> None:
        super().__init__(reason)
        self.result = result
        self.sent = sent
        self.draining = draining


class ActionRejected(Exception):
    """The service definitely refused the action; `details` is its answer."""

    def __init__(self, details: Any) -> None:
        super().__init__("the service refused the action")
        self.details = details


class Superseded(Exception):
    """Another attempt of the same stage already delivers tokens."""


class TokenStream:
    """The tokens of one generation, merged from its attempts without gaps or repetitions.

    Only one attempt at a time may deliver; a later one resumes where the previous one ended.
    """

    def __init__(self, on_token: Callable[[int, str], None]) -> None:
        self.on_token = on_token
        self.tokens: list[str] = []
        self.text_bytes = 0
        self.delivering_attempt: str | None = None

    def accept(self, attempt: str, index: int, text: str) -> None:
        """Appends one token; ignores a repeated one.

        Raises CallError on a gap, and if the text grows beyond MAX_ANSWER_BYTES.
        """
        if self.delivering_attempt is None:
            self.delivering_attempt = attempt
        if self.delivering_attempt != attempt:
            raise Superseded()
        if index < len(self.tokens):
            return
        if index > len(self.tokens):
            raise CallError(
                f"gap in the stream: token {index} after token {len(self.tokens) - 1}",
                CallResult.FAILED,
                sent=True,
            )
        self.text_bytes += len(text.encode())
        if self.text_bytes > defaults.MAX_ANSWER_BYTES:
            raise CallError("stream is too long", CallResult.FAILED, sent=True)
        self.tokens.append(text)
        self.on_token(index, text)

    def end_attempt(self, attempt: str) -> None:
        """Allows another attempt to deliver."""
        if self.delivering_attempt == attempt:
            self.delivering_attempt = None

    def text(self) -> str:
        """Returns the text delivered so far."""
        return "".join(self.tokens)


class Attempt(NamedTuple):
    """Parameters and callbacks of one attempt. `before_send` may raise CallError to cancel it."""

    id: str
    target: TargetView
    deadline_ms: float
    key: str | None
    stream: TokenStream | None
    before_send: Callable[[], None]
    on_first_token: Callable[[], None]
    on_progress: Callable[[int], None]


class StageRequest(NamedTuple):
    """The HTTP request of a stage."""

    path: str
    body: dict[str, Any]


def trace_config() -> aiohttp.TraceConfig:
    """Returns a trace configuration that calls `before_send` of each attempt.

    The hook runs before the headers are written, so an exception in it leaves the request unsent.
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
    """Returns the prompt; documents come first since requests share them as a prefix."""
    parts = [document.text for document in stage_input.documents]
    return "\n".join([*parts, stage_input.text])


@functools.singledispatch
def build_request(stage: Stage, stage_input: StageInput) -> StageRequest:
    """Returns the HTTP request of a stage."""
    raise TypeError(f"no request is defined for {type(stage).__name__}")


@build_request.register
def _(stage: EncodeStage, stage_input: StageInput) -> StageRequest:
    return StageRequest("/v1/embeddings", {"input": stage_input.text})


@build_request.register
def _(stage: RetrieveStage, stage_input: StageInput) -> StageRequest:
    body = {"vector": stage_input.vector, "query": stage_input.text, "top_k": stage.top_k}
    return StageRequest("/v1/search", body)


@build_request.register
def _(stage: RerankStage, stage_input: StageInput) -> StageRequest:
    texts = [document.text for document in stage_input.documents]
    return StageRequest(
        "/v1/rerank", {"query": stage_input.text, "documents": texts, "top_n": stage.top_n}
    )


@build_request.register
def _(stage: ActionStage, stage_input: StageInput) -> StageRequest:
    return StageRequest(f"/v1/actions/{stage.action}", {"fields": dict(stage_input.fields)})


@build_request.register
def _(stage: GenerateStage, stage_input: StageInput) -> StageRequest:
    limit = min(stage.max_tokens, stage_input.max_tokens or stage.max_tokens)
    body = {"prompt": generation_prompt(stage_input), "max_tokens": limit, "stream": True}
    return StageRequest("/v1/completions", body)


@functools.singledispatch
def next_input(stage: Stage, stage_input: StageInput, answer: Any) -> StageInput:
    """Returns the input of the next stage from a target's decoded answer."""
    raise TypeError(f"no answer is defined for {type(stage).__name__}")


@next_input.register
def _(stage: EncodeStage, stage_input: StageInput, answer: Any) -> StageInput:
    return stage_input._replace(vector=tuple(answer["data"][0]["embedding"]))


@next_input.register
def _(stage: RetrieveStage, stage_input: StageInput, answer: Any) -> StageInput:
    documents = (Document(d["id"], d["text"], d["score"]) for d in answer["documents"])
    return stage_input._replace(documents=tuple(documents)[: stage.top_k])


@next_input.register
def _(stage: RerankStage, stage_input: StageInput, answer: Any) -> StageInput:
    ordered = tuple(
        stage_input.documents[row["index"]]._replace(score=row["relevance_score"])
        for row in answer["results"]
    )
    return stage_input._replace(documents=ordered[: stage.top_n])


@next_input.register
def _(stage: GenerateStage, stage_input: StageInput, answer: Any) -> StageInput:
    return stage_input._replace(generated=answer)


@next_input.register
def _(stage: ActionStage, stage_input: StageInput, answer: Any) -> StageInput:
    return stage_input._replace(action=answer["result"])


class SendProgress:
    """Records whether any part of an attempt may have been sent."""

    def __init__(self, before_send: Callable[[], None]) -> None:
        self.before_send = before_send
        self.sent = False


class TargetClient:
    """Makes attempts over HTTP. Each action uses a new connection.

    If the target closes a keep-alive connection while a request is sent, the reset can't be
    distinguished from one after the request ran; with a new connection such resets are rare.
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
        path, body = build_request(stage, stage_input)
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
                    return next_input(stage, stage_input, text)
                answer = await read_body(response, defaults.MAX_ANSWER_BYTES)
                return next_input(stage, stage_input, msgspec.json.decode(answer))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            result = CallResult.FAILED if progress.sent else CallResult.CONNECT_FAILED
            raise CallError(type(error).__name__, result, sent=progress.sent) from error
        except (msgspec.DecodeError, LookupError, TypeError, ValueError) as error:
            raise CallError("malformed answer", CallResult.FAILED, sent=True) from error
        finally:
            if attempt.stream is not None:
                attempt.stream.end_attempt(attempt.id)

    async def check_answer(self, response: aiohttp.ClientResponse, attempt: Attempt) -> None:
        """Checks the status and that the answer belongs to this attempt."""
        self.note_headers(response, attempt.target)
        # A refusal of another attempt does not apply to this one, which may have run.
        if response.headers.get("X-Attempt-Id") != attempt.id:
            raise CallError("answer belongs to another attempt", CallResult.MISMATCHED, sent=True)
        if response.headers.get("X-Target-State") == "draining" and response.status == 503:
            raise CallError("draining", CallResult.CANCELLED, sent=False, draining=True)
        if response.status == 422 and attempt.key is not None:
            body = await read_body(response, defaults.MAX_ANSWER_BYTES)
            raise ActionRejected(msgspec.json.decode(body))
        if response.status != 200:
            raise CallError(f"status {response.status}", CallResult.FAILED, sent=True)

    def note_headers(self, response: aiohttp.ClientResponse, target: TargetView) -> None:
        """Updates the target's state and load from the headers of its answer."""
        incarnation = response.headers.get("X-Incarnation", target.incarnation)
        if response.headers.get("X-Target-State") == "draining":
            self.membership.mark_leaving(target.name, incarnation, "answer")
        report = load_header(response.headers.get("endpoint-load-metrics"))
        if report is not None:
            self.membership.update_load(target.name, incarnation, report)

    async def read_stream(
        self, response: aiohttp.ClientResponse, attempt: Attempt, stream: TokenStream
    ) -> str:
        """Reads tokens until the finish event; a stream without one is incomplete."""
        first = True
        async for event in sse_events(response):
            if event == b"[DONE]":
                break
            message = msgspec.json.decode(event)
            if message["attempt"] != attempt.id:
                raise CallError(
                    "token belongs to another attempt", CallResult.MISMATCHED, sent=True
                )
            if "finish_reason" in message:
                if message["finish_reason"] not in COMPLETE_FINISH_REASONS:
                    reason = f"target ended the stream early: {message['finish_reason']}"
                    raise CallError(reason, CallResult.FAILED, sent=True)
                if message["tokens"] != len(stream.tokens):
                    raise CallError("stream is missing tokens", CallResult.FAILED, sent=True)
                return stream.text()
            stream.accept(attempt.id, message["index"], message["text"])
            if first:
                first = False
                attempt.on_first_token()
            elif message["index"] % PROGRESS_INTERVAL_TOKENS == 0:
                attempt.on_progress(len(stream.tokens))
        raise CallError("stream ended without a finish event", CallResult.FAILED, sent=True)


async def sse_events(response: aiohttp.ClientResponse) -> Any:
    """Yields the data of each server-sent event."""
    async for line in response.content:
        if line.startswith(b"data: "):
            yield line[6:].strip()


def load_header(value: str | None) -> LoadReport | None:
    """Parses the load metrics header; returns None if it is missing or malformed.

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
