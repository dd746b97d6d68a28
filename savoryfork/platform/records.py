"""Decodes the records that operators and targets write to the platform's store."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from ipaddress import IPv4Address
from typing import Any

import msgspec

from savoryfork.forward.model import (
    BatchLimits,
    CallerLimits,
    Catalog,
    Repeat,
    Route,
    ServiceInfo,
    StagePlan,
    Target,
    Workspace,
)
from savoryfork.util import logs
from savoryfork.util.untrusted import (
    UndecodableError,
    decode_json,
    number,
    parse_whole,
    split_json,
    text,
    whole,
)

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

MB = 1_000_000

# Bounds of what an entry may contain. They are far above any use: a value beyond them shows that
# the entry is not what it seems, and it could not be encoded or computed with everywhere.
MAX_TEXT = 1_024
MAX_NUMBER = 1e12
MAX_COUNT = 1_000_000

# Size of a target's entry; those of replicas have some 300 bytes. Larger ones are not decoded,
# since the time for that would be taken from requests.
MAX_TARGET_BYTES = 65_536

# Keys of evacuations begin with this, followed by the zone.
EVACUATION_PREFIX = "evacuate/"

# Slots of a target; the largest engines on the sheets have 64.
MAX_SLOTS = 100_000

# The end of the year 2999 in Unix milliseconds.
MAX_BORN_MS = 32_503_680_000_000

# What a target's remaining warm-up time is replaced by where it is above 0, or malformed.
COLD = 1
MALFORMED_WARMUP = -1

# What a malformed row raises: UndecodableError is a ValueError, the others come from a value that
# has another type than expected.
MALFORMED = (LookupError, TypeError, ValueError, AttributeError, OverflowError)


class CatalogDecoder:
    """Decodes configurations; rows of routes that are unchanged since the last one are reused.

    Successive versions differ in a few of up to thousands of routes, and a weak host needs a
    noticeable time for all of them.

    A malformed row is logged and leaves the others in force: its route does not exist, its service
    runs no stages, its tenant has no keys. Nothing is taken over from an earlier version, so that
    a key that was removed stays removed, and hosts agree whenever they started.
    """

    def __init__(self) -> None:
        self.routes: dict[tuple[str, bytes], Route | None] = {}
        self.parsed_routes = 0

    def decode(self, value: bytes) -> Catalog | None:
        """Decodes a configuration; logs an error and returns None if it is malformed as a whole."""
        try:
            return self.parse(split_json(value, dict[str, msgspec.Raw]))
        except MALFORMED as error:
            logs.event(log, "configuration_unreadable", logging.ERROR, error=repr(error)[:200])
            return None

    def parse(self, document: dict[str, msgspec.Raw]) -> Catalog:
        """Builds the catalog of a configuration; skips malformed rows."""
        version = whole(decode_json(document["version"]), "version")
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
        tenants = document.get("tenants")
        return Catalog(
            version=version,
            routes={host: tuple(entries) for host, entries in routes.items()},
            services={service.name: service for service in read_services(document.get("services"))},
            keys=dict(read_keys(tenants)),
            keyed=tenants is not None and bytes(tenants).strip() != b"null",
            caller_limits=read_caller_limits(document.get("limits")),
        )


def raw_rows(value: msgspec.Raw | None) -> list[tuple[str, msgspec.Raw]]:
    """Returns the undecoded rows of a list, or those of a table with their names."""
    if value is None:
        return []
    rows = split_json(bytes(value), dict[str, msgspec.Raw] | list[msgspec.Raw] | None)
    if isinstance(rows, dict):
        return list(rows.items())
    return [("", row) for row in rows or []]


def optional_rows(section: str, value: msgspec.Raw | None) -> list[tuple[str, msgspec.Raw]]:
    """Returns the rows of a section; logs a warning and returns none if it is malformed."""
    try:
        return raw_rows(value)
    except UndecodableError as error:
        log_row("section_unreadable", section, error)
        return []


def read_row(name: str, value: msgspec.Raw) -> dict[str, Any]:
    """Decodes a row; `name` is its name in a table, empty for a row that holds its own."""
    row = decode_json(value, dict[str, Any])
    return {"name": name, **row} if name else row


def log_row(event: str, name: str, error: Exception) -> None:
    """Logs a malformed row."""
    logs.event(log, event, logging.WARNING, row=name[:100] or None, error=repr(error)[:200])


def read_route(name: str, value: msgspec.Raw) -> Route | None:
    """Decodes the row of a route; logs a warning and returns None if it is malformed."""
    found = name
    try:
        row = read_row(name, value)
        found = str(row.get("name", name))
        return parse_route(row)
    except MALFORMED as error:
        log_row("route_unreadable", found, error)
        return None


def read_services(value: msgspec.Raw | None) -> Iterator[ServiceInfo]:
    """Decodes the rows of services; one with malformed limits can run no stages."""
    for name, raw in optional_rows("services", value):
        found = name
        warmup = (0.0, 0.0)
        try:
            row = read_row(name, raw)
            found = text(row["name"], "name", MAX_TEXT)
            warmup = read_warmup(row, found)
            cache_tokens = read_cache_tokens(row.get("engine"), found)
            batch = parse_batch_limits(row.get("pieces"))
            yield ServiceInfo(found, batch, cache_tokens, *warmup)
        except MALFORMED as error:
            log_row("service_unreadable", found, error)
            if found:
                yield ServiceInfo(found, None, 0.0, *warmup)


def read_warmup(row: dict[str, Any], name: str) -> tuple[float, float]:
    """Returns a service's warm-up in ms and its requests a second to a cold target.

    Logs malformed values and returns 0 for both, so that there is no bound.
    """
    try:
        return amount(row, "warmup_s") * 1000, amount(row, "cold_per_s")
    except UndecodableError as error:
        log_row("warmup_unreadable", name, error)
        return 0.0, 0.0


def read_cache_tokens(engine: Any, name: str) -> float:
    """Returns the tokens that an engine of a service holds; logs a malformed value, returns 0.

    >>> read_cache_tokens({"slots": 24, "kv_capacity": 304_898}, "engine")
    304898.0
    """
    if engine is None:
        return 0.0
    try:
        return amount(engine, "kv_capacity")
    except MALFORMED as error:
        log_row("engine_unreadable", name, error)
        return 0.0


def read_keys(value: msgspec.Raw | None) -> Iterator[tuple[str, Workspace]]:
    """Decodes the keys of tenants; a malformed row, or a malformed key in one, gives none.

    A malformed priority is that of the route, since the keys themselves are not in doubt.
    """
    for name, raw in optional_rows("tenants", value):
        found = name
        try:
            row = read_row(name, raw)
            found = text(row["name"], "name", MAX_TEXT)
            workspace = Workspace(found, read_priority(row.get("priority"), found))
            keys = row.get("api_keys") or []
            if not isinstance(keys, list):
                raise UndecodableError("api_keys is not a list")
        except MALFORMED as error:
            log_row("tenant_unreadable", found, error)
            continue
        for key in keys:
            if isinstance(key, str) and key:
                yield key, workspace
            else:
                log_row("tenant_unreadable", found, UndecodableError("a key is not a text"))


def read_priority(value: Any, name: str) -> int | None:
    """Returns a tenant's priority; logs a malformed one and returns None."""
    try:
        return whole(value, "priority", 0, MAX_COUNT) if value is not None else None
    except UndecodableError as error:
        log_row("tenant_unreadable", name, error)
        return None


def read_caller_limits(value: msgspec.Raw | None) -> CallerLimits:
    """Decodes the limits of callers; logs malformed ones and returns none of them."""
    if value is None:
        return CallerLimits()
    try:
        row = decode_json(value, dict[str, Any] | None) or {}
        return CallerLimits(
            whole(row.get("max_header_bytes") or 0, "max_header_bytes"),
            whole(row.get("max_body_bytes") or 0, "max_body_bytes"),
            amount(row, "header_timeout_ms"),
            amount(row, "idle_timeout_ms"),
        )
    except MALFORMED as error:
        log_row("limits_unreadable", "limits", error)
        return CallerLimits()


def amount(row: dict[str, Any], name: str, default: float = 0.0) -> float:
    """Returns a number of a row; the default if it is absent or 0."""
    value = row.get(name)
    return (number(value, name, MAX_NUMBER) if value is not None else 0.0) or default


def flag(row: dict[str, Any], name: str) -> bool:
    """Returns a boolean of a row; False if it is absent."""
    value = row.get(name)
    if value is not None and not isinstance(value, bool):
        raise UndecodableError(f"{name} is not a boolean")
    return bool(value)


def parse_split(row: dict[str, Any]) -> tuple[tuple[str, float], ...]:
    """Returns the services of a route with their weights."""
    split = row.get("traffic_split")
    if not split:
        return ((text(row["service"], "service", MAX_TEXT), 1.0),)
    services = tuple(
        (text(s["service"], "service", MAX_TEXT), number(s["weight"], "weight", MAX_NUMBER))
        for s in split
    )
    if not any(weight for _, weight in services):
        raise UndecodableError("no service has a weight")
    return services


def parse_stages(rows: list[Any]) -> tuple[StagePlan, ...]:
    """Returns the stages of a route; raises UndecodableError if one can never start."""
    stages = tuple(
        StagePlan(
            text(s["service"], "service", MAX_TEXT),
            tuple(whole(n, "after", 0, len(rows) - 1) for n in s.get("after") or ()),
            int(amount(s, "payload_bytes")),
        )
        for s in rows
    )
    ready: set[int] = set()
    while len(ready) < len(stages):
        new = {n for n, s in enumerate(stages) if n not in ready and ready.issuperset(s.after)}
        if not new:
            raise UndecodableError("stages wait for each other")
        ready |= new
    return stages


def parse_route(row: dict[str, Any]) -> Route:
    """Builds a route from its row."""
    priority = row.get("priority")
    if priority is None:
        priority = DEFAULT_PRIORITY
    return Route(
        name=text(row["name"], "name", MAX_TEXT),
        host=text(row["host"], "host", MAX_TEXT),
        prefix=text(row["path_prefix"], "path_prefix", MAX_TEXT),
        repeat=REPEATS.get(row.get("route_kind") or "", Repeat.NON_IDEMPOTENT),
        timeout_ms=amount(row, "timeout_ms", DEFAULT_TIMEOUT_MS),
        aim_ms=amount(row, "target_latency_ms", DEFAULT_AIM_MS),
        priority=whole(priority, "priority", 0, MAX_COUNT),
        services=parse_split(row),
        max_targets=max(1, whole(row.get("max_attempts") or 0, "max_attempts", 0, MAX_COUNT)),
        stages=parse_stages(row.get("stages") or []),
        anonymous=flag(row, "allow_anonymous"),
        resumable=flag(row, "stream_resume"),
        gap_ms=amount(row, "target_gap_ms"),
    )


def parse_batch_limits(pieces: Any) -> BatchLimits | None:
    """Builds the limits of a service's targets; None if it runs no stages."""
    if not pieces:
        return None
    return BatchLimits(
        slots=max(1, whole(pieces.get("slots") or 0, "slots", 0, MAX_SLOTS)),
        batch=max(1, whole(pieces["batch"], "batch", 0, MAX_COUNT)),
        call_ms=amount(pieces, "call_ms"),
        piece_ms=amount(pieces, "item_ms"),
        room_bytes=amount(pieces, "headroom_mb") * MB,
        keep_ms=amount(pieces, "handle_s") * 1000,
    )


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
        read_cold(name, row.get("warmup_left_ms")),
    )


def read_cold(name: str, left_ms: Any) -> bool:
    """Returns whether a target's entry says that it is cold; a malformed value is logged."""
    mark = warmup_mark(left_ms)
    if mark == MALFORMED_WARMUP:
        error = "warmup_left_ms is no number from 0"
        logs.event(log, "target_warmup_ignored", logging.WARNING, target=name[:100], error=error)
    return mark == COLD


def warmup_mark(left_ms: Any) -> int:
    """Returns what is known to all hosts of a target's remaining warm-up time.

    It changes only between cold and warm, not with each heartbeat: 0 if the target is warm, COLD,
    or MALFORMED_WARMUP, which counts as warm. Marks stay what they are.

    >>> [warmup_mark(left_ms) for left_ms in (None, 0, 0.5, 2_900, -5, "9", True)]
    [0, 0, 1, 1, -1, -1, -1]
    """
    if left_ms is None:
        return 0
    if isinstance(left_ms, bool) or not isinstance(left_ms, int | float) or left_ms < 0:
        return MALFORMED_WARMUP
    return COLD if left_ms > 0 else 0


def decode_evacuation(key: str) -> str | None:
    """Returns the zone that the operator's entry of a key evacuates; None for other entries.

    >>> decode_evacuation("evacuate/zone-1"), decode_evacuation("config")
    ('zone-1', None)
    """
    prefix, _, zone = key.partition(EVACUATION_PREFIX)
    return zone if not prefix and 0 < len(zone) <= MAX_TEXT else None


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
