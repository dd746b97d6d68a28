"""Shows where a request would go from a host now, and why, without sending it.

URL is the address of the host's metrics, such as http://10.1.0.12:7420. METHOD, PATH and the
headers are those of the request as its caller would send it. Prints the route and the service, the
host that would coordinate its stages, the targets in the order in which they would be tried with
their cost (ms for generations, load for other requests), and why each of the others is left out.

Example: savoryfork preview http://10.1.0.12:7420 GET /view/7 --header "Host: a.example"
"""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import msgspec
from absl import flags

from savoryfork.errors import UserError
from savoryfork.ui import DONE, FAILED, output

USAGE = "URL METHOD PATH"

PREVIEW_PATH = "/preview"
TIMEOUT_S = 5.0


def define(values: flags.FlagValues) -> None:
    """Defines the flag for the request's headers."""
    flags.DEFINE_multi_string(
        "header", [], "a header of the request, as NAME: VALUE; may be repeated", flag_values=values
    )


def parse_headers(lines: list[str]) -> list[tuple[str, str]]:
    """Splits headers into names and values; raises UserError.

    >>> parse_headers(["Host: a.example"])
    [('Host', 'a.example')]
    """
    headers = []
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not name.strip():
            raise UserError(f"{line!r} is not NAME: VALUE")
        headers.append((name.strip(), value.strip()))
    return headers


async def fetch(url: str, body: bytes) -> Any:
    """Asks a host; raises UserError without a usable answer."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(url.rstrip("/") + PREVIEW_PATH, data=body) as response,
        ):
            content = await response.read()
            if response.status != 200:
                raise UserError(f"{url} answered {response.status}: {content[:200].decode()}")
            return msgspec.json.decode(content)
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
        raise UserError(f"{url} gave no answer: {error or type(error).__name__}") from error


def lines(found: dict[str, Any]) -> list[str]:
    """Returns what is printed of a preview."""
    shown = []
    if found["route"]:
        workspace = found["workspace"] or "none"
        shown.append(
            f"route {found['route']}, service {found['service']}, workspace {workspace},"
            f" priority {found['priority']}, objective {found['aim_ms']:.0f} ms"
        )
    if found["coordinator"]:
        shown.append(f"stages: cell {found['cell']}, coordinated by {found['coordinator']}")
    for target in found["targets"]:
        place = f"{target['rank']:>3}." if target["rank"] else "   -"
        why = target["reason"] or f"cost {target['cost']:.2f}"
        shown.append(f"{place} {target['target']:<24} {target['zone']:<16} {why}")
    if found["refusal"]:
        shown.append(f"would be refused: {found['refusal']}")
    return shown


def run(arguments: list[str], values: flags.FlagValues) -> int:
    """Asks the host and prints its answer."""
    if len(arguments) != 3:
        raise UserError("URL, METHOD and PATH are needed")
    url, method, path = arguments
    headers = parse_headers(values.header)
    body = msgspec.json.encode([method, path, headers])
    found = asyncio.run(fetch(url, body))
    if values.json:
        output.print_json(found)
    else:
        print("\n".join(lines(found)))
    return FAILED if found["refusal"] else DONE
