"""Decodes the records that operators and targets write to the platform's store."""

from __future__ import annotations

import logging
from ipaddress import IPv4Address
from typing import Any

import msgspec

from savoryfork.forward.model import (
    BatchLimits,
    Catalog,
    Repeat,
    Route,
    ServiceInfo,
    StagePlan,
    Target,
    Workspace,
)
from savoryfork.util import logs
from savoryfork.util.untrusted import UndecodableError, decode_json, parse_whole, text, whole

log = logging.getLogger(__name__)

REPEATS = {
    "idempotent": Repeat.IDEMPOTENT,
    "non_idempotent": Repeat.NON_IDEMPOTENT,
    "streaming": Repeat.STREAM,
}

# Defaults for fields that are absent in an operator's entry.
DEFAULT_TIMEOUT_MS = 10_000.0
DEFAULT_AIM_MS = 1_000.0
DEFAULT_PRIORITY = 2
LOWEST_PRIORITY = 9

MB = 1_000_000

# Bounds of what an entry may contain. They are far above any use: a value beyond them shows that
# the entry is not what it seems, and it could not be encoded or computed with everywhere.
MAX_TEXT = 1_024
MAX_NUMBER = 1e12
MAX_COUNT = 1_000_000

# Size of a target's entry; those of replicas have some 300 bytes. Larger ones are not decoded,
# since the time for that would be taken from requests.
MAX_TARGET_BYTES = 65_536

# Slots of a target; the largest engines on the sheets have 64.
MAX_SLOTS = 100_000

# The end of the year 2999 in Unix milliseconds.
MAX_BORN_MS = 32_503_680_000_000

# What a malformed row raises: UndecodableError is a ValueError, the others come from a value that
# has another type than expected.
MALFORMED = (LookupError, TypeError, ValueError, AttributeError, OverflowError)


class CatalogDecoder:
    """Decodes configurations; rows of routes that are unchanged since the last one are reused.

    Successive versions differ in a few of up to thousands of routes, and a weak host needs a
    noticeable time for all of them.
    """

    def __init__(self) -> None:
        self.routes: dict[tuple[str, bytes], Route | None] = {}
        self.parsed_routes = 0

    def decode(self, value: bytes) -> Catalog | None:
        """Decodes a configuration; logs an error and returns None if it is malformed."""
        try:
            document = msgspec.json.decode(value, type=dict[str, msgspec.Raw])
            return self.parse(document)
        except (msgspec.DecodeError, LookupError, TypeError, ValueError, AttributeError) as error:
            logs.event(log, "configuration_unreadable", logging.ERROR, error=repr(error)[:200])
            return None

    def parse(self, document: dict[str, msgspec.Raw]) -> Catalog:
        """Builds the catalog of a configuration; skips malformed routes."""
        fields: dict[str, Any] = {
            name: msgspec.json.decode(document[name])
            for name in ("version", "services", "tenants")
            if name in document
        }
        routes: dict[str, list[Route]] = {}
        known, self.routes = self.routes, {}
        for name, row in raw_rows(document.get("routes")):
            key = (name, bytes(row))
            if key not in known:
                self.parsed_routes += 1
                known[key] = read_route(name, row)
            route = self.routes[key] = known[key]
            if route is not None:
                routes.setdefault(route.host.lower(), []).append(route)
        return build_catalog(fields, routes)


def raw_rows(value: msgspec.Raw | None) -> list[tuple[str, msgspec.Raw]]:
    """Returns the undecoded rows of a list, or those of a table with their names."""
    if value is None:
        return []
    rows = msgspec.json.decode(value, type=dict[str, msgspec.Raw] | list[msgspec.Raw] | None)
    if isinstance(rows, dict):
        return list(rows.items())
    return [("", row) for row in rows or []]


def read_route(name: str, value: msgspec.Raw) -> Route | None:
    """Decodes the row of a route; logs a warning and returns None if it is malformed.

    `name` is its name in a table, empty for a row that holds its own.
    """
    row: Any = None
    try:
        row = msgspec.json.decode(value)
        return parse_route({"name": name, **row} if name else row)
    except (LookupError, TypeError, ValueError, AttributeError) as error:
        found = str(row.get("name", name)) if isinstance(row, dict) else name
        logs.event(
            log, "route_unreadable", logging.WARNING, route=found or None, error=repr(error)[:200]
        )
        return None


def named_rows(value: Any) -> list[dict[str, Any]]:
    """Returns the entries of a list, or those of a table with their names added."""
    if isinstance(value, dict):
        return [{"name": name, **entry} for name, entry in value.items()]
    return list(value or [])


def build_catalog(document: dict[str, Any], routes: dict[str, list[Route]]) -> Catalog:
    """Builds the catalog of a configuration from its other fields and its routes."""
    tenants = document.get("tenants")
    keys = {}
    for tenant in named_rows(tenants):
        workspace = Workspace(str(tenant["name"]), tenant.get("priority"))
        for key in tenant.get("api_keys") or []:
            keys[str(key)] = workspace
    return Catalog(
        version=int(document["version"]),
        routes={host: tuple(entries) for host, entries in routes.items()},
        services={s.name: s for s in map(parse_service, named_rows(document.get("services")))},
        keys=keys,
        keyed=tenants is not None,
    )


def parse_route(row: dict[str, Any]) -> Route:
    """Builds a route from its row."""
    split = row.get("traffic_split")
    if split:
        services = tuple((str(s["service"]), float(s["weight"])) for s in split)
    else:
        services = ((str(row["service"]), 1.0),)
    stages = tuple(
        StagePlan(str(s["service"]), tuple(s.get("after") or ()), int(s.get("payload_bytes") or 0))
        for s in row.get("stages") or ()
    )
    return Route(
        name=str(row["name"]),
        host=str(row["host"]),
        prefix=str(row["path_prefix"]),
        repeat=REPEATS.get(row.get("route_kind") or "", Repeat.NON_IDEMPOTENT),
        timeout_ms=float(row.get("timeout_ms") or DEFAULT_TIMEOUT_MS),
        aim_ms=float(row.get("target_latency_ms") or DEFAULT_AIM_MS),
        priority=int(row["priority"]) if row.get("priority") is not None else DEFAULT_PRIORITY,
        services=services,
        max_targets=max(1, int(row.get("max_attempts") or 1)),
        stages=stages,
        anonymous=bool(row.get("allow_anonymous")),
        resumable=bool(row.get("stream_resume")),
        gap_ms=float(row.get("target_gap_ms") or 0.0),
    )


def parse_service(row: dict[str, Any]) -> ServiceInfo:
    """Builds a service from its row."""
    batch = None
    pieces = row.get("pieces")
    if pieces:
        batch = BatchLimits(
            slots=int(pieces.get("slots") or 1),
            batch=max(1, int(pieces["batch"])),
            call_ms=float(pieces.get("call_ms") or 0.0),
            piece_ms=float(pieces.get("item_ms") or 0.0),
            room_bytes=float(pieces.get("headroom_mb") or 0.0) * MB,
            keep_ms=float(pieces.get("handle_s") or 0.0) * 1000,
        )
    return ServiceInfo(str(row["name"]), batch)


def parse_address(value: Any) -> str:
    """Checks an `IP:PORT` as it is written by replicas; raises UndecodableError.

    >>> parse_address("10.1.64.7:8080")
    '10.1.64.7:8080'
    >>> parse_address("999.0.0.1:8080")
    Traceback (most recent call last):
    savoryfork.util.untrusted.UndecodableError: address is not IP:PORT
    """
    ip, _, port = text(value, "address", MAX_TEXT).rpartition(":")
    try:
        # Only the usual form: a leading zero would have another meaning to other readers.
        valid = str(IPv4Address(ip)) == ip and parse_whole(port, 65_535) > 0
        valid = valid and str(int(port)) == port
    except ValueError:
        valid = False
    if not valid:
        raise UndecodableError("address is not IP:PORT")
    return str(value)


def parse_target(name: str, row: dict[str, Any]) -> Target:
    """Builds a target from its entry; raises UndecodableError or LookupError if it is malformed.

    All fields must be there that every replica writes and that are used here, except `born`, which
    older replicas do not write. A target without a slot could run nothing.
    """
    state = row["state"]
    if state not in ("ready", "draining"):
        raise UndecodableError("state is unknown")
    if "version" in row:
        text(row["version"], "version", MAX_TEXT, 0)
    return Target(
        text(name, "id", MAX_TEXT),
        text(row["service"], "service", MAX_TEXT),
        parse_address(row["address"]),
        text(row["zone"], "zone", MAX_TEXT, 0),
        whole(row.get("born", 0), "born", 0, MAX_BORN_MS),
        whole(row["slots"], "slots", 1, MAX_SLOTS),
        state == "draining",
    )


def decode_target(name: str, value: bytes) -> Target | None:
    """Decodes a target's entry; logs a warning and returns None if it is not usable."""
    try:
        if len(value) > MAX_TARGET_BYTES:
            raise UndecodableError(f"over {MAX_TARGET_BYTES} bytes")
        return parse_target(name, decode_json(value, dict[str, Any]))
    except MALFORMED as error:
        logs.event(
            log, "target_entry_ignored", logging.WARNING, target=name[:100], error=repr(error)[:120]
        )
        return None
