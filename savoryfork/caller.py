"""HTTP interface for callers."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import hmac
import logging
import uuid
from collections.abc import Mapping
from typing import Any, NotRequired, TypedDict

import msgspec
from aiohttp import hdrs, web

from savoryfork import defaults
from savoryfork.board import Board
from savoryfork.claims import Claims, outcome_overdue
from savoryfork.errors import ErrorKind, ServiceError
from savoryfork.metrics import Metrics
from savoryfork.pipeline import Configuration, Pipeline, Workspace, non_idempotent
from savoryfork.run import RunAnswer, RunRequest
from savoryfork.runner import Runner
from savoryfork.settings import Settings
from savoryfork.util import logs
from savoryfork.util.responses import json_response
from savoryfork.util.timer import Clock

log = logging.getLogger(__name__)


class RunInput(TypedDict):
    """The caller's input data."""

    text: str
    fields: NotRequired[dict[str, str | int | float | bool]]


class RunBody(TypedDict):
    """The JSON body of a run."""

    input: RunInput
    max_tokens: NotRequired[int]
    deadline_ms: NotRequired[int]
    priority: NotRequired[int]
    stream: NotRequired[bool]


BODY_FIELDS = frozenset(RunBody.__annotations__)
INPUT_FIELDS = frozenset(RunInput.__annotations__)


def parse_body(raw: bytes) -> RunBody:
    """Decodes and validates the body of a run; ServiceError names the path of an invalid field.

    >>> parse_body(b'{"input": {"text": "a"}, "stream": true}')
    {'input': {'text': 'a'}, 'stream': True}
    """
    try:
        document = msgspec.json.decode(raw)
        body = msgspec.convert(document, RunBody)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise ServiceError(ErrorKind.MALFORMED_REQUEST, f"body: {error}") from error
    check_fields(document, BODY_FIELDS, "$")
    check_fields(document["input"], INPUT_FIELDS, "$.input")
    for name in ("max_tokens", "deadline_ms"):
        if int(body.get(name, 1)) < 1:  # type: ignore[call-overload]
            raise ServiceError(ErrorKind.MALFORMED_REQUEST, f"body: $.{name} must be at least 1")
    if not 0 <= body.get("priority", 0) <= 9:
        raise ServiceError(ErrorKind.MALFORMED_REQUEST, "body: $.priority must be from 0 to 9")
    return body


def check_fields(document: Mapping[str, Any], allowed: frozenset[str], path: str) -> None:
    """Raises ServiceError on unknown fields, so that a misspelt one is not silently ignored."""
    unknown = sorted(set(document) - allowed)
    if unknown:
        raise ServiceError(ErrorKind.MALFORMED_REQUEST, f"body: {path}: unknown field {unknown[0]}")


def authenticate(configuration: Configuration, name: str, authorization: str) -> Workspace:
    """Returns the workspace if the key belongs to it; raises ServiceError otherwise.

    An unknown workspace and a wrong key give the same error after the same work, so that callers
    can't enumerate workspaces.
    """
    scheme, _, key = authorization.partition(" ")
    digest = hashlib.sha256(key.encode()).hexdigest()
    workspace = configuration.workspaces.get(name)
    digests = workspace.key_digests if workspace else ("0" * 64,)
    matches = [hmac.compare_digest(digest, known) for known in digests]
    if workspace is None or scheme != "Bearer" or not any(matches):
        raise ServiceError(ErrorKind.UNAUTHORIZED, "no workspace accepts this key")
    return workspace


def request_digest(pipeline: str, body: RunBody) -> str:
    """Returns the digest of a run's input; deadline, priority and streaming are not part of it."""
    content = [pipeline, body["input"], body.get("max_tokens")]
    return hashlib.sha256(msgspec.json.encode(content, order="sorted")).hexdigest()


def first_attempt(request: web.Request) -> bool:
    """True if the caller declares that it has never sent this idempotency key before.

    Only then may an error raised before the key's state is known report "not run": otherwise an
    earlier request with the key may have run on another host.
    """
    return request.headers.get("X-First-Attempt", "").lower() == "true"


class CallerApp:
    """HTTP application that admits callers' requests and passes them to the runner."""

    def __init__(
        self,
        board: Board,
        clock: Clock,
        runner: Runner,
        claims: Claims,
        metrics: Metrics,
        settings: Settings,
    ) -> None:
        self.board = board
        self.clock = clock
        self.runner = runner
        self.claims = claims
        self.metrics = metrics
        self.settings = settings
        self.open_requests = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def app(self) -> web.Application:
        """Returns the aiohttp application for the caller port."""
        app = web.Application(client_max_size=self.settings.max_body_bytes)
        base = "/v1/workspaces/{workspace}"
        app.router.add_post(base + "/pipelines/{pipeline}/runs", self.handle_run)
        app.router.add_get(base + "/requests/{key}", self.handle_status)
        app.router.add_get("/healthz", self.handle_health)
        app.router.add_get("/readyz", self.handle_ready)
        app.on_response_prepare.append(self.close_when_stopping)
        return app

    async def close_when_stopping(self, request: web.Request, response: web.StreamResponse) -> None:
        """Closes connections after the response while the host is stopping."""
        if self.board.stopping:
            response.force_close()
            response.headers[hdrs.CONNECTION] = "close"

    async def drain(self, timeout_ms: float) -> None:
        """Waits until no run is being answered, or for `timeout_ms`.

        A response whose headers were sent before the stop leaves its connection open, and the next
        request may already be in transit when it ends. So the host must stay idle for
        `defaults.STOP_IDLE_MS`.
        """
        until_ms = self.clock.monotonic_ms() + timeout_ms
        while (left_ms := until_ms - self.clock.monotonic_ms()) > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_ms / 1000):
                    await self.idle.wait()
                    await asyncio.sleep(defaults.STOP_IDLE_MS / 1000)
            if self.idle.is_set():
                return

    async def handle_health(self, request: web.Request) -> web.Response:
        """Answers 200 while the event loop runs."""
        return web.json_response({"status": "up"})

    async def handle_ready(self, request: web.Request) -> web.Response:
        """Answers 200 while the host accepts work, otherwise 503."""
        if self.board.stopping or not self.board.config_ready:
            reason = "stopping" if self.board.stopping else "no configuration yet"
            return self.error(ServiceError(ErrorKind.NOT_READY, reason), "")
        return web.json_response(
            {"status": "ready", "config_offset": self.board.configuration.offset}
        )

    async def handle_status(self, request: web.Request) -> web.Response:
        """Returns the state of a request by its key, within the caller's workspace."""
        request_id = uuid.uuid4().hex
        key = request.match_info["key"]
        try:
            workspace = self.admit_workspace(request)
            self.claims.check_key(key)
            state = await self.claims.lookup(workspace.name, key, 0)
            if state is None:
                raise ServiceError(ErrorKind.UNKNOWN_REQUEST, "no request has this key")
        except ServiceError as error:
            return self.error(error, request_id)
        status = "unknown" if outcome_overdue(state, self.clock.wall_ms()) else state.state
        body: dict[str, Any] = {"key": key, "state": status}
        if state.state == "done":
            body["answer"] = state.answer
        return json_response(body)

    async def handle_run(self, request: web.Request) -> web.StreamResponse:
        """Handles a run and counts it as open until it is answered."""
        self.open_requests += 1
        self.idle.clear()
        try:
            return await self.answer_run(request)
        finally:
            self.open_requests -= 1
            if not self.open_requests:
                self.idle.set()

    async def answer_run(self, request: web.Request) -> web.StreamResponse:
        """Runs a pipeline and responds, as an event stream if requested."""
        request_id = uuid.uuid4().hex
        stream: EventStream | None = None
        run: RunRequest | None = None
        try:
            run, body = await self.admit(request, request_id)
            stream = EventStream(request) if body.get("stream") else None
            answer = await self.run(run, stream)
        except ServiceError as error:
            if run is None and "Idempotency-Key" in request.headers and not first_attempt(request):
                error.allow_earlier_run()
            self.metrics.refusals.inc({"kind": error.kind.value})
            if stream is not None and stream.started:
                return await stream.end("error", error.body(request_id))
            return self.error(error, request_id)
        if stream is not None:
            return await stream.end("answer", answer)
        return json_response(answer)

    async def run(self, run: RunRequest, stream: EventStream | None) -> RunAnswer:
        """Runs the request; a run without a key is cancelled when its caller disconnects."""
        task = asyncio.create_task(
            self.runner.run(run, stream.push if stream else lambda index, text: None)
        )
        if stream is None:
            return await asyncio.shield(task) if run.key else await task
        sender = asyncio.create_task(stream.send_tokens())
        try:
            return await asyncio.shield(task) if run.key else await task
        finally:
            stream.finish()
            await asyncio.gather(sender, return_exceptions=True)

    def admit_workspace(self, request: web.Request) -> Workspace:
        """Authenticates the caller against the configuration in effect."""
        if not self.board.config_ready:
            raise ServiceError(ErrorKind.NOT_READY, "no configuration yet")
        return authenticate(
            self.board.configuration,
            request.match_info["workspace"],
            request.headers.get("Authorization", ""),
        )

    async def admit(self, request: web.Request, request_id: str) -> tuple[RunRequest, RunBody]:
        """Validates a request and binds it to the configuration in effect."""
        arrived_ms = self.clock.monotonic_ms()
        workspace = self.admit_workspace(request)
        configuration = self.board.configuration
        name = request.match_info["pipeline"]
        pipeline = configuration.pipelines.get(name)
        if pipeline is None or name not in workspace.pipelines:
            raise ServiceError(ErrorKind.UNKNOWN_PIPELINE, f"this workspace has no pipeline {name}")
        body = parse_body(await self.read_body(request))
        key = self.check_key(request, pipeline, configuration)
        deadline_ms = min(pipeline.deadline_ms, body.get("deadline_ms", pipeline.deadline_ms))
        run = RunRequest(
            request_id,
            workspace,
            pipeline,
            configuration,
            body["input"]["text"],
            body["input"].get("fields", {}),
            body.get("max_tokens"),
            max(pipeline.priority, body.get("priority", pipeline.priority)),
            arrived_ms + deadline_ms,
            key,
            request_digest(name, body),
            first_attempt(request),
        )
        logs.event(
            log,
            "run_admitted",
            request=request_id,
            workspace=workspace.name,
            pipeline=name,
            priority=run.priority,
            deadline_ms=deadline_ms,
        )
        return run, body

    def check_key(
        self, request: web.Request, pipeline: Pipeline, configuration: Configuration
    ) -> str | None:
        """Returns the idempotency key that a non-idempotent pipeline requires, None for others."""
        key = request.headers.get("Idempotency-Key")
        if not non_idempotent(pipeline, configuration):
            return None
        if key is None:
            raise ServiceError(
                ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
                f"pipeline {pipeline.name} needs an Idempotency-Key header (a UUIDv7)",
            )
        self.claims.check_key(key)
        return str(uuid.UUID(key))

    async def read_body(self, request: web.Request) -> bytes:
        """Reads the body within its size limit and time-out."""
        try:
            async with asyncio.timeout(defaults.BODY_TIMEOUT_MS / 1000):
                return await request.read()
        except TimeoutError as error:
            raise ServiceError(
                ErrorKind.BODY_TOO_SLOW, f"body incomplete after {defaults.BODY_TIMEOUT_MS} ms"
            ) from error
        except web.HTTPRequestEntityTooLarge as error:
            raise ServiceError(
                ErrorKind.BODY_TOO_LARGE, f"body exceeds {self.settings.max_body_bytes} bytes"
            ) from error

    def error(self, error: ServiceError, request_id: str) -> web.Response:
        """Returns the response for an error."""
        response = json_response(error.body(request_id), error.answer.status)
        if error.answer.retry:
            response.headers["Retry-After"] = "1"
        if error.kind in (ErrorKind.BODY_TOO_SLOW, ErrorKind.BODY_TOO_LARGE):
            response.force_close()
        return response


class EventStream:
    """Server-sent events of one run. Nothing is written before the first token, so that a run
    that fails earlier is answered with the HTTP status of its error.
    """

    def __init__(self, request: web.Request) -> None:
        self.request = request
        self.response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        )
        self.queue: asyncio.Queue[tuple[int, str] | None] = asyncio.Queue()
        self.started = False

    def push(self, index: int, text: str) -> None:
        """Queues one token."""
        self.queue.put_nowait((index, text))

    def finish(self) -> None:
        """Ends `send_tokens` after the queued tokens."""
        self.queue.put_nowait(None)

    async def send_tokens(self) -> None:
        """Writes queued tokens until `finish` is called."""
        while (token := await self.queue.get()) is not None:
            await self.write("token", {"index": token[0], "text": token[1]})

    async def write(self, event: str, data: Any) -> None:
        """Writes one event; starts the response if needed."""
        if not self.started:
            self.started = True
            await self.response.prepare(self.request)
        payload = msgspec.json.encode(data)
        await self.response.write(b"event: %s\ndata: %s\n\n" % (event.encode(), payload))

    async def end(self, event: str, data: Any) -> web.StreamResponse:
        """Writes the last event, the complete answer or the error, and ends the response."""
        await self.write(event, data)
        await self.response.write_eof()
        return self.response
