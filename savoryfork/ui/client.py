"""Calls from the command-line tool to the operator port of a host."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import msgspec
from absl import flags

from savoryfork.errors import UserError

READ_TIMEOUT_S = 10.0


class Answer(NamedTuple):
    """A decoded answer of the operator port."""

    status: int
    body: Any

    @property
    def error(self) -> dict[str, Any]:
        """The error object of a refusal; empty if the answer holds none."""
        found = self.body.get("error") if isinstance(self.body, dict) else None
        return found if isinstance(found, dict) else {}


class Unreachable(Exception):
    """No answer came; the request may have taken effect all the same."""


class Refused(Exception):
    """The host answered with an error."""

    def __init__(self, answer: Answer) -> None:
        error = answer.error
        kind, message = error.get("kind", answer.status), error.get("message", "no reason given")
        super().__init__(f"{kind}: {message}")
        self.answer = answer


def define(values: flags.FlagValues) -> None:
    """The flags of all commands that call a host."""
    flags.DEFINE_string(
        "operator_url",
        None,
        "operator port of any host, such as http://127.0.0.1:8101",
        flag_values=values,
    )
    flags.DEFINE_string(
        "key_file", None, "file that holds your operator key and nothing else", flag_values=values
    )


class OperatorClient:
    """Calls one host with one operator's key."""

    def __init__(self, url: str, key: str) -> None:
        self.url = url.rstrip("/")
        self.headers = {"Authorization": f"Bearer {key}"}

    def call(
        self, method: str, path: str, body: Any = None, timeout_s: float = READ_TIMEOUT_S
    ) -> Answer:
        """One call; raises Unreachable if no whole answer came."""
        return asyncio.run(self.call_async(method, path, body, timeout_s))

    async def call_async(self, method: str, path: str, body: Any, timeout_s: float) -> Answer:
        """One call on a session of its own."""
        data = None if body is None else msgspec.json.encode(body)
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=self.headers) as session,
                session.request(method, self.url + path, data=data) as response,
            ):
                content = await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise Unreachable(f"{self.url} gave no answer: {reason}") from error
        try:
            return Answer(status, msgspec.json.decode(content))
        except msgspec.MsgspecError:
            raise Unreachable(f"{self.url} is not an operator port (status {status})") from None

    def get(self, path: str) -> Any:
        """The body of a successful read; raises Refused otherwise."""
        answer = self.call("GET", path)
        if answer.status != 200:
            raise Refused(answer)
        return answer.body


def from_flags(values: flags.FlagValues) -> OperatorClient:
    """The client that the flags describe; raises UserError if one is missing."""
    if not values.operator_url:
        raise UserError("--operator_url is missing: give the operator port of any host")
    if not values.operator_url.startswith(("http://", "https://")):
        raise UserError("--operator_url must begin with http:// or https://")
    if not values.key_file:
        raise UserError("--key_file is missing: give the file that holds your operator key")
    try:
        key = Path(values.key_file).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise UserError(f"{values.key_file}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise UserError(f"{values.key_file}: must hold one key on one line") from error
    if not key or not key.isprintable() or " " in key:
        raise UserError(f"{values.key_file}: must hold one key on one line")
    return OperatorClient(values.operator_url, key)
