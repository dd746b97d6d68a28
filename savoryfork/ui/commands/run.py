"""Runs a pipeline as a caller would and prints the answer.

The text is an argument, or standard input if it is `-`. A pipeline that may not run twice needs an
idempotency key: one is made and printed unless you give one, and repeating the command with
`--key` of an earlier try returns that run's answer instead of running again.

Example: savoryfork run harbour-kilns hauler-note "Load 4 leaves at six" \\
             --caller_url http://127.0.0.1:8100 --key_file caller.key
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import aiohttp
import uuid6
from absl import flags

from savoryfork.errors import UserError
from savoryfork.ui import DONE, FAILED, output

USAGE = "WORKSPACE PIPELINE TEXT"

# Longer than any deadline, so that the host responds before the time-out.
CALL_TIMEOUT_S = 60.0


def define(values: flags.FlagValues) -> None:
    """Defines the flags of the request."""
    flags.DEFINE_string("caller_url", None, "caller port of any host", flag_values=values)
    flags.DEFINE_string(
        "key_file", None, "file that holds a key of the workspace", flag_values=values
    )
    flags.DEFINE_string("key", None, "idempotency key of an earlier try", flag_values=values)
    flags.DEFINE_multi_string("field", [], "field of the input as NAME=VALUE", flag_values=values)
    flags.DEFINE_integer("deadline_ms", None, "shorter deadline", flag_values=values, lower_bound=1)
    flags.DEFINE_integer("max_tokens", None, "token limit", flag_values=values, lower_bound=1)
    flags.DEFINE_boolean("stream", False, "print tokens as they arrive", flag_values=values)


def run(arguments: list[str], values: flags.FlagValues) -> int:
    """Sends the request and prints the result or the error."""
    if len(arguments) != 3:
        raise UserError("give WORKSPACE, PIPELINE and TEXT")
    for flag in ("caller_url", "key_file"):
        if not values[flag].value:
            raise UserError(f"--{flag} is needed")
    workspace, pipeline, text = arguments
    url = f"{values.caller_url.rstrip('/')}/v1/workspaces/{workspace}/pipelines/{pipeline}/runs"
    try:
        caller_key = Path(values.key_file).read_text().strip()
    except OSError as error:
        raise UserError(f"{values.key_file}: {error.strerror}") from error
    key = values.key or str(uuid6.uuid7())
    headers = {"Authorization": f"Bearer {caller_key}", "Idempotency-Key": key}
    try:
        return asyncio.run(send(url, headers, request_body(text, values), values))
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        output.fail(f"savoryfork run: no answer ({type(error).__name__}); repeat with --key {key}")
        return FAILED


def request_body(text: str, values: flags.FlagValues) -> dict[str, Any]:
    """Returns the JSON body of the request."""
    fields = {}
    for field in values.field:
        name, separator, value = field.partition("=")
        if not separator:
            raise UserError(f"--field {field}: write NAME=VALUE")
        fields[name] = value
    content = sys.stdin.read() if text == "-" else text
    body: dict[str, Any] = {"input": {"text": content, "fields": fields}}
    for name in ("deadline_ms", "max_tokens"):
        if values[name].value is not None:
            body[name] = values[name].value
    if values.stream:
        body["stream"] = True
    return body


async def send(
    url: str, headers: dict[str, str], body: dict[str, Any], values: flags.FlagValues
) -> int:
    """Sends the request and prints the tokens of a stream as they arrive."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.post(url, json=body, headers=headers) as response,
    ):
        if response.content_type != "text/event-stream":
            return print_result(await response.json(content_type=None), headers, values)
        event = ""
        async for raw in response.content:
            name, _, data = raw.decode().rstrip("\n").partition(": ")
            if name == "event":
                event = data
            elif name == "data" and event == "token":
                if not values.json:
                    print(json.loads(data)["text"], end="", flush=True)
            elif name == "data":
                if not values.json:
                    print()
                return print_result(json.loads(data), headers, values)
    output.fail("savoryfork run: the stream ended without an answer")
    return FAILED


def print_result(answer: dict[str, Any], headers: dict[str, str], values: flags.FlagValues) -> int:
    """Prints the complete result or the error."""
    if values.json:
        output.print_json(answer)
        return FAILED if "error" in answer else DONE
    if "error" in answer:
        error = answer["error"]
        output.fail(
            f"savoryfork run: {error['kind']}: {error['message']} (ran: {error['ran']})\n"
            f"idempotency key: {headers['Idempotency-Key']}"
        )
        return FAILED
    content = answer["answer"]
    if not values.stream and "text" in content:
        print(content["text"])
    if "action" in content:
        print(json.dumps(content["action"]))
        print(f"idempotency key: {headers['Idempotency-Key']}")
    for stage in answer["stages"]:
        print(
            f"  {stage['stage']:<12} {stage['target']:<20} {stage['duration_ms']:>8} ms"
            f"  attempts {stage['attempts']}"
        )
    return DONE
