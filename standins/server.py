"""Code shared by the stand-ins: flags from settings, JSON bodies and the main function."""

from __future__ import annotations

import logging
import os
import sys
import time
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar, get_args, get_type_hints

import msgspec
import uvloop
from absl import app as absl_app
from absl import flags
from aiohttp import web
from logfmter import Logfmter

log = logging.getLogger(__name__)

T = TypeVar("T")

DEFINERS: dict[type, Callable[..., Any]] = {
    bool: flags.DEFINE_bool,
    int: flags.DEFINE_integer,
    float: flags.DEFINE_float,
    str: flags.DEFINE_string,
}

# Time that requests in progress have to finish after SIGTERM.
SHUTDOWN_TIMEOUT_S = 10


def define_flags(settings: type[Any]) -> None:
    """Defines one flag per field of a NamedTuple whose fields are `Annotated[type, help]`."""
    for name, hint in get_type_hints(settings, include_extras=True).items():
        kind, text = get_args(hint)
        DEFINERS[kind](name, settings._field_defaults[name], text)


def read_flags(settings: type[T]) -> T:
    """Builds the settings from the parsed flags."""
    return settings(**{name: flags.FLAGS[name].value for name in get_type_hints(settings)})


def main(settings: type[T], build: Callable[[T], web.Application]) -> None:
    """Parses the flags and serves on the loopback interface until SIGTERM or SIGINT."""
    flags.DEFINE_integer("port", 0, "port on 127.0.0.1", lower_bound=0, upper_bound=65535)
    define_flags(settings)

    def run(argv: list[str]) -> None:
        if len(argv) > 1:
            raise absl_app.UsageError(f"unexpected argument {argv[1]!r}")
        values = read_flags(settings)
        handler = logging.StreamHandler(sys.stderr)
        handler.setFormatter(
            Logfmter(keys=["at", "time"], mapping={"at": "levelname", "time": "asctime"})
        )
        logging.basicConfig(handlers=[handler], level="INFO", force=True)
        web.run_app(
            build(values),
            host="127.0.0.1",
            port=flags.FLAGS.port,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            handler_cancellation=True,
            access_log=None,
            print=None,
            loop=uvloop.new_event_loop(),
        )
        sys.exit(0)

    absl_app.run(run)


def now_ms() -> float:
    """Returns the monotonic time in milliseconds."""
    return time.monotonic() * 1000


def wall_ms() -> int:
    """Returns the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


def reply(body: Any, status: int = 200, headers: dict[str, str] | None = None) -> web.Response:
    """Returns a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def refuse(status: int, message: str, headers: dict[str, str] | None = None) -> web.Response:
    """Returns a JSON error."""
    return reply({"error": {"message": message}}, status, headers)


async def read(request: web.Request, kind: type[T]) -> T:
    """Decodes and validates a request body; `kind` is a TypedDict."""
    return msgspec.json.decode(await request.read() or b"{}", type=kind)


async def read_strict(request: web.Request, kind: type[T]) -> T:
    """Like `read`, but rejects unknown fields, so that a misspelt fault is not ignored."""
    body = await read(request, dict[str, Any])
    unknown = sorted(set(body) - set(kind.__annotations__))
    if unknown:
        raise BadParameter(f"unknown field: {', '.join(unknown)}")
    return msgspec.convert(body, kind)


@web.middleware
async def bad_request(request: web.Request, handler: Any) -> web.StreamResponse:
    """Answers 400 to invalid bodies and parameters."""
    try:
        return await handler(request)
    except (msgspec.MsgspecError, BadParameter) as error:
        return refuse(400, str(error))


class BadParameter(Exception):
    """A parameter or field is invalid."""


def number(request: web.Request, name: str, default: int) -> int:
    """Returns an integer query parameter; raises BadParameter if it is not one."""
    text = request.query.get(name, str(default))
    try:
        return int(text)
    except ValueError:
        raise BadParameter(f"{name} must be an integer, not {text!r}") from None


async def healthz(request: web.Request) -> web.Response:
    """Answers while the process is up; the pid identifies it if another one took its port."""
    return reply({"status": "up", "pid": os.getpid()})


def drop_connection(request: web.Request) -> None:
    """Closes the client's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()


class TimedValue(NamedTuple):
    """A value and the monotonic time in milliseconds since which it applies."""

    since_ms: float
    value: Any


class Lagged:
    """A value that readers see after a lag.

    >>> lagged = Lagged("old", 0.0)
    >>> lagged.set("new", 10.0)
    >>> lagged.get(19.0, lag_ms=10.0), lagged.get(20.0, lag_ms=10.0)
    ('old', 'new')
    """

    def __init__(self, value: Any, time_ms: float) -> None:
        self.versions = deque([TimedValue(time_ms, value)])

    def set(self, value: Any, time_ms: float) -> None:
        """Sets a new value."""
        self.versions.append(TimedValue(time_ms, value))

    def get(self, time_ms: float, lag_ms: float) -> Any:
        """Returns the value of `lag_ms` ago, but never one older than it returned before."""
        while len(self.versions) > 1 and self.versions[1].since_ms <= time_ms - lag_ms:
            self.versions.popleft()
        return self.versions[0].value
