"""HTTP client for the operator port of a host."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import msgspec
from absl import flags

from savoryfork.errors import UserError

READ_TIMEOUT_S = 10.0


class Response(NamedTuple):
    """A decoded response of the operator port."""

    status: int
    body: Any

    @property
    def error(self) -> dict[str, Any]:
        """The error object of the body, empty if there is none."""
        value = self.body.get("error") if isinstance(self.body, dict) else None
        return value if isinstance(value, dict) else {}


class Unreachable(Exception):
    """No valid response was received; the request may still have taken effect."""


class Refused(Exception):
    """The host responded with an error."""

    def __init__(self, response: Response) -> None:
        error = response.error
        kind, message = error.get("kind", response.status), error.get("message", "no reason given")
        super().__init__(f"{kind}: {message}")
        self.response = response


def define(values: flags.FlagValues) -> None:
    """Defines the flags of all commands that call a host."""
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
    """Calls the operator port of one host with an operator key."""

    def __init__(self, url: str, key: str) -> None:
        self.url = url.rstrip("/")
        self.headers = {"Authorization": f"Bearer {key}"}

    def call(
        self, method: str, path: str, body: Any = None, timeout_s: float = READ_TIMEOUT_S
    ) -> Response:
        """Makes one call; raises Unreachable without a complete response."""
        return asyncio.run(self.call_async(method, path, body, timeout_s))

    async def call_async(self, method: str, path: str, body: Any, timeout_s: float) -> Response:
        """Makes one call in a new session."""
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
            return Response(status, msgspec.json.decode(content))
        except msgspec.MsgspecError:
            raise Unreachable(f"{self.url} is not an operator port (status {status})") from None

    def get(self, path: str) -> Any:
        """Returns the body of a GET request; raises Refused unless its status is 200."""
        response = self.call("GET", path)
        if response.status != 200:
            raise Refused(response)
        return response.body


def from_flags(values: flags.FlagValues) -> OperatorClient:
    """Creates the client from the flags; raises UserError if one is missing or invalid."""
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
