"""The operator HTTP interface: publish, configuration in effect, status."""

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

# Pause before an append without an answer is repeated with the same record id.
APPEND_RETRY_MS = 500


def authenticated_operator(authorization: str, keys: dict[str, str]) -> str | None:
    """The operator whose key was given.

    Every key is compared in constant time, so the duration tells nothing about any of them.

    >>> authenticated_operator("Bearer key-of-rosa-16ch", {"rosa": "key-of-rosa-16ch"})
    'rosa'
    >>> authenticated_operator("Bearer wrong", {"rosa": "key-of-rosa-16ch"})
    """
    given = authorization.encode(errors="surrogateescape")
    found = None
    for name, key in keys.items():
        if hmac.compare_digest(given, f"Bearer {key}".encode()):
            found = name
    return found


@web.middleware
async def error_middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turns service errors into their answers, and bugs into `internal`."""
    request_id = str(uuid6.uuid7())
    try:
        return await handler(request)
    except ServiceError as error:
        return json_response(error.body(request_id), error.answer.status)
    except web.HTTPException:
        raise
    except Exception:
        logs.failure(log, "operator_request_failed", path=request.path, id=request_id)
        bug = ServiceError(ErrorKind.INTERNAL, "a fault of this host; its log has the details")
        return json_response(bug.body(request_id), bug.answer.status)


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
        """Refuses requests without the key of an operator."""
        if request.path not in UNAUTHENTICATED_PATHS:
            given = request.headers.get("Authorization", "")
            operator = authenticated_operator(given, self.settings.operator_keys)
            if operator is None:
                raise ServiceError(ErrorKind.UNAUTHORIZED, "send an operator's key as bearer token")
            request[OPERATOR] = operator
        return await handler(request)

    # Publishing.

    async def read_publication(self, request: web.Request) -> dict[str, Any]:
        """Reads the body and makes the record of it; raises ServiceError if it is not valid."""
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
        """Appends a publication and answers with the verdict that every host reaches."""
        record = await self.read_publication(request)
        start_ms = self.clock.monotonic_ms()
        deadline_ms = start_ms + defaults.PUBLISH_WAIT_MS
        verdict = self.fold.verdicts.get(record["id"])
        if verdict is None:
            self.check_can_publish()
            verdict = await self.append(record, deadline_ms)
        self.check_verdict(record, verdict)
        if self.refresh_hosts is not None:
            # A host that was listed since the last poll must be waited for too.
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
        """Refuses to append while the verdict could not be learned here."""
        if self.fold.stopped_at is not None:
            reason = "this host does not know the newest schema version; publish at another host"
            raise ServiceError(ErrorKind.NOT_READY, reason)
        state = self.board.log
        away_ms = self.clock.monotonic_ms() - state.changed_ms
        # A single lost answer marks the log as unavailable for a moment, but is no outage.
        if not state.available and away_ms >= defaults.LOG_OUTAGE_AFTER_MS:
            # An earlier request with the same id may have been appended without an answer, so
            # "not run" holds for this request alone and is not claimed.
            reason = "the log is unavailable: nothing was appended now; repeat with the same id"
            raise ServiceError(ErrorKind.LOG_UNAVAILABLE, reason, ran=Ran.UNKNOWN)

    async def append(self, record: dict[str, Any], deadline_ms: float) -> Verdict:
        """Appends a record until its id has been read back from the topic.

        An answer that is lost says nothing about the append; the same record id may be appended
        again, because the fold ignores the second.
        """
        wanted = record["id"]
        while True:
            left_ms = deadline_ms - self.clock.monotonic_ms()
            wait_ms = left_ms
            try:
                await self.client.append(
                    defaults.CONFIG_TOPIC,
                    [record],
                    timeout_ms=max(1, min(left_ms, defaults.LOG_TIMEOUT_MS)),
                )
                wait_ms = deadline_ms - self.clock.monotonic_ms()
            except LogUnavailable:
                wait_ms = min(APPEND_RETRY_MS, deadline_ms - self.clock.monotonic_ms())
            verdict = await self.controller.wait_for(
                lambda: self.fold.verdicts.get(wanted), wait_ms
            )
            if verdict is not None:
                return verdict
            if self.clock.monotonic_ms() >= deadline_ms:
                reason = "it is not known yet whether the publication took effect; repeat its id"
                raise ServiceError(ErrorKind.PUBLICATION_UNKNOWN, reason)

    def check_verdict(self, record: dict[str, Any], verdict: Verdict) -> None:
        """Raises ServiceError unless the publication was accepted with this content."""
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

    # Reading.

    async def config(self, request: web.Request) -> web.Response:
        """The files in effect, with the offset of each; `removed` gives the bases of the others."""
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
        """What this host knows, for an operator."""
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
    """The refusal of a publication with its problems."""
    reason = f"{len(problems)} problem(s) in the files; correct them and publish again"
    return ServiceError(ErrorKind.PUBLICATION_INVALID, reason, details=problems)


def operator_app(
    interface: OperatorInterface, *, metrics: Handler, burn: Handler
) -> web.Application:
    """The application for the operator port; `metrics` and `burn` answer their paths."""
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
