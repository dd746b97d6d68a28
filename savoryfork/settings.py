"""The daemon's settings: a JSON file, validated strictly before anything starts."""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any, NamedTuple

import jsonschema

from savoryfork import defaults
from savoryfork.errors import UserError

ADDRESS_SCHEMA = {
    "type": "string",
    "pattern": r"^[0-9.]+:[0-9]{1,5}$|^\[[0-9a-fA-F:]+\]:[0-9]{1,5}$",
}
URL_SCHEMA = {"type": "string", "pattern": r"^https?://[0-9.\[\]:a-fA-F]+/?$"}
KEY_SCHEMA = {"type": "string", "minLength": 16}

SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": [
        "host",
        "availability_zone",
        "caller_address",
        "operator_address",
        "peer_address",
        "platform_url",
        "peer_keys",
        "operator_keys",
    ],
    "properties": {
        "host": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
        "availability_zone": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
        "caller_address": ADDRESS_SCHEMA,
        "operator_address": ADDRESS_SCHEMA,
        "peer_address": ADDRESS_SCHEMA,
        "platform_url": URL_SCHEMA,
        "peer_keys": {"type": "array", "items": KEY_SCHEMA, "minItems": 1, "maxItems": 2},
        "seed_peers": {"type": "array", "items": ADDRESS_SCHEMA, "maxItems": 64},
        "operator_keys": {"type": "object", "additionalProperties": KEY_SCHEMA},
        "log_level": {"enum": ["DEBUG", "INFO", "WARNING", "ERROR"]},
        "balancer_delay_ms": {"type": "integer", "minimum": 0, "maximum": 60_000},
        "max_body_bytes": {"type": "integer", "minimum": 1_024},
        "policy": {"enum": ["adaptive", "round_robin", "least_outstanding"]},
    },
}


class Settings(NamedTuple):
    """Settings of one host. Addresses are IP addresses with a port.

    The first of `peer_keys` is sent and each of them is accepted, so that a key can be rotated.
    `policy` selects the routing policy; policies other than adaptive are baselines. `seed_peers`
    are peer addresses from which the host fetches the configuration and the host list if the
    platform is down at startup; they have no other use.
    """

    host: str
    availability_zone: str
    caller_address: str
    operator_address: str
    peer_address: str
    platform_url: str
    peer_keys: tuple[str, ...]
    operator_keys: dict[str, str]
    log_level: str = "INFO"
    balancer_delay_ms: int = defaults.BALANCER_DELAY_MS
    max_body_bytes: int = defaults.MAX_BODY_BYTES
    policy: str = "adaptive"
    seed_peers: tuple[str, ...] = ()


class Problem(NamedTuple):
    """One problem in a file; `path` locates the invalid value, `.` is the whole file."""

    file: str
    path: str
    reason: str


def problems(document: Any, schema: dict[str, Any], file: str) -> list[Problem]:
    """Returns the problems of a decoded document, in order of path."""
    errors = sorted(
        jsonschema.Draft202012Validator(schema).iter_errors(document),
        key=lambda error: [str(step) for step in error.path],
    )
    return [Problem(file, "/".join(map(str, e.path)) or ".", e.message) for e in errors]


def check(document: Any, schema: dict[str, Any], file: str) -> None:
    """Validates a document; raises UserError with file, path and reason of each problem."""
    found = problems(document, schema, file)
    if found:
        raise UserError("\n".join(": ".join(problem) for problem in found))


def parse(document: Any, file: str = "settings") -> Settings:
    """Parses a decoded document; raises UserError with file, path and reason if invalid."""
    check(document, SCHEMA, file)
    fields = dict(document)
    for name in ("peer_keys", "seed_peers"):
        fields[name] = tuple(fields.get(name, ()))
    return Settings(**fields)


def finite(literal: str) -> float:
    """Parses a number of a JSON file; rejects those that no schema can bound.

    >>> finite("0.5")
    0.5
    """
    value = float(literal)
    if not math.isfinite(value):
        raise ValueError(f"{literal[:20]} is not a finite number")
    return value


def read_json(path: str | Path) -> Any:
    """Reads a JSON file; raises UserError if it can't be read or is not JSON."""
    try:
        text = Path(path).read_text(encoding="utf-8")
        return json.loads(text, parse_float=finite, parse_constant=finite)
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
    except json.JSONDecodeError as error:
        raise UserError(f"{path}:{error.lineno}: not JSON: {error.msg}") from error
    except (ValueError, RecursionError) as error:
        raise UserError(f"{path}: not JSON: {error}") from error


def load(path: str | Path) -> Settings:
    """Reads a settings file; raises UserError if it can't be read or is invalid."""
    return parse(read_json(path), str(path))


def split_address(address: str) -> tuple[str, int]:
    """Splits `ip:port`.

    >>> split_address("127.0.0.1:8100"), split_address("[::1]:8100")
    (('127.0.0.1', 8100), ('::1', 8100))
    """
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)
