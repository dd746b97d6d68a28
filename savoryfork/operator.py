"""The operator HTTP interface: publications, configuration in effect, status."""

from __future__ import annotations

import asyncio
import hmac
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import uuid6
from aiohttp import web

from savoryfork import defaults
from savoryfork.board import Board
from savoryfork.errors import ErrorKind, Ran, ServiceError
from savoryfork.gossip import ConfigController, Gossip
from savoryfork.publication import Verdict, check_record, content_digest, publication_record
from savoryfork.settings import Settings
from savoryfork.util import logs
from savoryfork.util.responses import json_response
from savoryfork.util.timer import Clock
from savoryfork.util.topic import LogClient, LogUnavailable

log = logging.getLogger(__name__)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

OPERATOR = web.RequestKey("operator", str)
UNAUTHENTICATED_PATHS = ("/metrics",)

# Delay before an append without a response is retried with the same record id.
APPEND_RETRY_MS = 500


def authenticated_operator(authorization: str, keys: dict[str, str]) -> str | None:
    """Returns the operator whose key is in the Authorization header, or None.

    Every key is compared in constant time, so the duration reveals nothing about the keys.

    >>> authenticated_operator("Bearer key-of-rosa-16ch", {"rosa": "key-of-rosa-16ch"})
    'rosa'
    >>> authenticated_operator("Bearer wrong", {"rosa": "key-of-rosa-16ch"})
    """
    header = authorization.encode(errors="surrogateescape")
    operator = None
    for name, key in keys.items():
        if hmac.compare_digest(header, f"Bearer {key}".encode()):
            operator = name
    return operator


@web.middleware
async def error_middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Converts service errors into error responses, and unexpected exceptions into `internal`."""
    request_id = str(uuid6.uuid7())
    try:
        return await handler(request)
    except ServiceError as error:
        return json_response(error.body(request_id), error.answer.status)
    except web.HTTPException:
        raise
    except Exception:
        logs.failure(log, "operator_request_failed", path=request.path, id=request_id)
        internal = ServiceError(ErrorKind.INTERNAL, "a fault of this host; its log has the details")
        return json_response(internal.body(request_id), internal.answer.status)


class OperatorInterface:
    """Handlers of the operator port."""

    def __init__(
        self,
        board: Board,
        controller: ConfigController,
        gossip: Gossip,
        client: LogClient,
        settings: Settings,
        clock: Clock,
        incarnation: str,
        refresh_hosts: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self.refresh_hosts = refresh_hosts
        self.board = board
        self.controller = controller
        self.fold = controller.fold
        self.gossip = gossip
        self.client = client
        self.settings = settings
        self.clock = clock
        self.incarnation = incarnation

    @web.middleware
    async def authenticate(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Rejects requests without an operator's key."""
        if request.path not in UNAUTHENTICATED_PATHS:
            header = request.headers.get("Authorization", "")
            operator = authenticated_operator(header, self.settings.operator_keys)
            if operator is None:
                raise ServiceError(ErrorKind.UNAUTHORIZED, "send an operator's key as bearer token")
            request[OPERATOR] = operator
        return await handler(request)

    # Publications.

    async def read_publication(self, request: web.Request) -> dict[str, Any]:
        """Reads the body and builds its record; raises ServiceError if it is invalid."""
        try:
            async with asyncio.timeout(defaults.OPERATOR_BODY_TIMEOUT_MS / 1000):
                data = await request.read()
        except TimeoutError:
            raise ServiceError(ErrorKind.BODY_TOO_SLOW, "the body did not arrive") from None
        except web.HTTPRequestEntityTooLarge:
            limit = defaults.MAX_PUBLICATION_BYTES
            reason = f"a publication has at most {limit} bytes; publish it in several steps"
            raise ServiceError(ErrorKind.BODY_TOO_LARGE, reason) from None
        try:
            body = msgspec.json.decode(data)
        except (msgspec.MsgspecError, RecursionError):
            raise ServiceError(ErrorKind.MALFORMED_REQUEST, "the body is not JSON") from None
        if not isinstance(body, dict) or set(body) != {"id", "base", "files"}:
            reason = "the body must be an object with exactly id, base and files"
            raise ServiceError(ErrorKind.MALFORMED_REQUEST, reason)
        if not isinstance(body["base"], dict) or not isinstance(body["files"], dict):
            raise ServiceError(ErrorKind.MALFORMED_REQUEST, "base and files must be objects")
        record = publication_record(body["id"], request[OPERATOR], body["base"], body["files"])
        problems = check_record(record)
        if problems:
            raise publication_invalid([problem._asdict() for problem in sorted(problems)])
        return record

    async def publish(self, request: web.Request) -> web.Response:
        """Appends a publication and responds with the verdict that every host reaches."""
        record = await self.read_publication(request)
        start_ms = self.clock.monotonic_ms()
        deadline_ms = start_ms + defaults.PUBLISH_WAIT_MS
        verdict = self.fold.verdicts.get(record["id"])
        if verdict is None:
            self.check_can_publish()
            verdict = await self.append(record, deadline_ms)
        self.check_verdict(record, verdict)
        if self.refresh_hosts is not None:
            # Propagation must also include hosts listed since the last poll.
            await self.refresh_hosts()
        hosts, missing = await self.gossip.wait_propagated(verdict.offset, deadline_ms)
        logs.event(
            log,
            "publication_accepted",
            id=record["id"],
            operator=record["operator"],
            offset=verdict.offset,
            files=len(record["files"]),
            missing=len(missing),
            duration_ms=round(self.clock.monotonic_ms() - start_ms),
        )
        return json_response(
            {"verdict": "accepted", "offset": verdict.offset, "hosts": hosts, "missing": missing}
        )

    def check_can_publish(self) -> None:
        """Raises ServiceError if this host could not read the verdict back from the log."""
        if self.fold.stopped_at is not None:
            reason = "this host does not know the newest schema version; publish at another host"
            raise ServiceError(ErrorKind.NOT_READY, reason)
        if self.fold.lost:
            reason = "publications that the log lost are appended again first; repeat the same id"
            raise ServiceError(ErrorKind.LOG_UNAVAILABLE, reason, ran=Ran.UNKNOWN)
        state = self.board.log
        unavailable_ms = self.clock.monotonic_ms() - state.changed_ms
        # A single lost response marks the log as unavailable briefly, but is not an outage.
        if not state.available and unavailable_ms >= defaults.LOG_OUTAGE_AFTER_MS:
            # An earlier request with the same id may have been appended without a response, so the
            # publication can't be reported as not run.
            reason = "the log is unavailable: nothing was appended now; repeat with the same id"
            raise ServiceError(ErrorKind.LOG_UNAVAILABLE, reason, ran=Ran.UNKNOWN)

    async def append(self, record: dict[str, Any], deadline_ms: float) -> Verdict:
        """Appends a record until its id has been read back from the topic.

        A lost response leaves open whether the record was appended. Appending the same record id
        again is safe, because the fold ignores duplicates.
        """
        publication_id = record["id"]
        while True:
            remaining_ms = deadline_ms - self.clock.monotonic_ms()
            wait_ms = remaining_ms
            try:
                await self.client.append(
                    defaults.CONFIG_TOPIC,
                    [record],
                    timeout_ms=max(1, min(remaining_ms, defaults.LOG_TIMEOUT_MS)),
                )
                wait_ms = deadline_ms - self.clock.monotonic_ms()
            except LogUnavailable:
                wait_ms = min(APPEND_RETRY_MS, deadline_ms - self.clock.monotonic_ms())
            verdict = await self.controller.wait_for(
                lambda: self.fold.verdicts.get(publication_id), wait_ms
            )
            if verdict is not None:
                return verdict
            if self.clock.monotonic_ms() >= deadline_ms:
                reason = "it is not known yet whether the publication took effect; repeat its id"
                raise ServiceError(ErrorKind.PUBLICATION_UNKNOWN, reason)

    def check_verdict(self, record: dict[str, Any], verdict: Verdict) -> None:
        """Raises ServiceError unless the publication was accepted with the content of `record`."""
        if verdict.state == "invalid":
            raise publication_invalid([problem._asdict() for problem in verdict.problems])
        if verdict.digest != content_digest(record["files"]):
            reason = "the id belongs to another publication; use a new one"
            raise ServiceError(ErrorKind.PUBLICATION_CONFLICT, reason)
        if verdict.state == "conflict":
            details = [
                {
                    "file": path,
                    "base": record["base"].get(path, -1),
                    "current": self.fold.base_offset(path),
                }
                for path in verdict.paths
            ]
            reason = "files have changed since you saw them; look at them and publish again"
            raise ServiceError(ErrorKind.PUBLICATION_CONFLICT, reason, details=details)

    # Queries.

    async def config(self, request: web.Request) -> web.Response:
        """Returns the files in effect with their offsets, and the base offsets of removed files."""
        fold = self.fold
        return json_response(
            {
                "offset": fold.configuration.offset,
                "position": fold.position,
                "ready": self.board.config_ready,
                "files": {
                    path: {"offset": entry.offset, "content": msgspec.Raw(entry.raw)}
                    for path, entry in sorted(fold.files.items())
                },
                "removed": dict(fold.removed),
            }
        )

    async def status(self, request: web.Request) -> web.Response:
        """Returns the host's view of configuration, log, targets and peers."""
        board = self.board
        now = self.clock.monotonic_ms()
        return json_response(
            {
                "host": self.settings.host,
                "incarnation": self.incarnation,
                "availability_zone": self.settings.availability_zone,
                "stopping": board.stopping,
                "config": {
                    "offset": board.configuration.offset,
                    "position": self.fold.position,
                    "ready": board.config_ready,
                    "stopped_at": self.fold.stopped_at,
                    "checkpoint_through": self.fold.checkpoint_through,
                    "services": len(board.configuration.services),
                    "pipelines": len(board.configuration.pipelines),
                    "workspaces": len(board.configuration.workspaces),
                },
                "log": {
                    "available": board.log.available,
                    "since_ms": round(now - board.log.changed_ms),
                },
                "targets": [
                    {
                        "name": view.name,
                        "service": view.service,
                        "availability_zone": view.availability_zone,
                        "incarnation": view.incarnation,
                        "leaving": view.leaving,
                        "running": view.running,
                        "waiting": view.waiting,
                    }
                    for _, view in sorted(board.targets.items())
                ],
                "peers": [
                    {
                        "name": view.name,
                        "availability_zone": view.availability_zone,
                        "incarnation": view.incarnation,
                        "leaving": view.leaving,
                        "reachable": view.reachable,
                        "config_offset": view.config_offset,
                    }
                    for _, view in sorted(board.hosts.items())
                ],
            }
        )


def publication_invalid(problems: list[dict[str, str]]) -> ServiceError:
    """Builds the error for a publication with problems."""
    reason = f"{len(problems)} problem(s) in the files; correct them and publish again"
    return ServiceError(ErrorKind.PUBLICATION_INVALID, reason, details=problems)


def operator_app(
    interface: OperatorInterface, *, metrics: Handler, burn: Handler
) -> web.Application:
    """Builds the application of the operator port; `metrics` and `burn` handle their paths."""
    app = web.Application(
        middlewares=[error_middleware, interface.authenticate],
        client_max_size=defaults.MAX_PUBLICATION_BYTES,
    )
    app.router.add_post("/operator/publications", interface.publish)
    app.router.add_get("/operator/config", interface.config)
    app.router.add_get("/operator/status", interface.status)
    app.router.add_get("/operator/burn", burn)
    app.router.add_get("/metrics", metrics)
    return app
