"""Settings of a forwarding host: a JSON file that is validated before the host starts."""

from __future__ import annotations

import os
from typing import Any, NamedTuple

from savoryfork import settings
from savoryfork.forward.deadlines import ChangeBounds
from savoryfork.forward.limits import DEFAULT_LIMITS, ReadLimits
from savoryfork.forward.placement import Preferences
from savoryfork.forward.warmup import ColdBound
from savoryfork.settings import ADDRESS_SCHEMA

# A request with three stages costs its coordinator some 10 KB of pieces, handles and answers, and
# a core handles some 100 of them a second, 8 Mbit/s; the rest is headroom for bursts.
MBPS_PER_CORE = 20.0

POSITIVE = {"type": "number", "exclusiveMinimum": 0}
PORT = {"type": "integer", "minimum": 1, "maximum": 65535}
SIZE = {"type": "integer", "minimum": 1}

SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": [
        "host",
        "availability_zone",
        "caller_address",
        "ready_address",
        "peer_address",
        "internal_ports",
        "store_address",
        "stop_grace_s",
        "key_revocation_ms",
        "retry_ratio",
        "retry_window_s",
        "retry_reserve",
    ],
    "properties": {
        "host": {"type": "string", "minLength": 1},
        "availability_zone": {"type": "string"},
        "caller_address": ADDRESS_SCHEMA,
        "ready_address": ADDRESS_SCHEMA,
        "peer_address": ADDRESS_SCHEMA,
        "internal_ports": {"type": "array", "items": PORT, "minItems": 1},
        "store_address": ADDRESS_SCHEMA,
        "seed_peers": {"type": ["array", "null"], "items": ADDRESS_SCHEMA},
        "stop_grace_s": POSITIVE,
        "key_revocation_ms": POSITIVE,
        "configuration_bound_ms": POSITIVE,
        "leaving_bound_ms": POSITIVE,
        "retry_ratio": {"type": "number", "minimum": 0},
        "retry_window_s": POSITIVE,
        "retry_reserve": {"type": "number", "minimum": 0},
        "cold_overage": {"type": ["number", "null"], "minimum": 0},
        "cold_slack": {"type": ["number", "null"], "minimum": 0},
        "processor_share": POSITIVE,
        "processor_speed": POSITIVE,
        "link_mbps": POSITIVE,
        "cross_zone_ms_per_mb": {"type": "number", "minimum": 0},
        "repeated_ms_per_1000_tokens": {"type": "number", "minimum": 0},
        "memory_mb": POSITIVE,
        "max_descriptors": SIZE,
        "max_request_bytes": SIZE,
        "max_answer_bytes": SIZE,
        "max_event_bytes": SIZE,
        "max_store_bytes": SIZE,
        "log_level": {"enum": ["DEBUG", "INFO", "WARNING", "ERROR"]},
    },
}


def present(**values: float | None) -> dict[str, float]:
    """Returns the values that are not None.

    >>> present(overage=1.5, slack=None)
    {'overage': 1.5}
    """
    return {name: value for name, value in values.items() if value is not None}


class ForwardSettings(NamedTuple):
    """Settings of one forwarding host. Addresses are IP addresses with a port.

    `internal_ports` is the first and the last port that is free for the system's own use; metrics
    are served on the first. `seed_peers` may be out of date. `stop_grace_s` is the time from
    SIGTERM to SIGKILL, `key_revocation_ms` the time within which a revoked key must stop working,
    `configuration_bound_ms` that within which a new configuration must be in force, and
    `leaving_bound_ms` that from which a leaving target must get no new work; see
    `deadlines.ChangeBounds`, whose defaults hold for what is absent.
    Retries of a service's requests are limited, over all hosts together, to `retry_ratio` of its
    other requests plus `retry_reserve` in each `retry_window_s`. A cold target may get
    `cold_overage` times its service's `cold_per_s` plus `cold_slack` requests in any second from
    all hosts together; see `warmup.ColdBound`, whose defaults hold for what is absent or null.
    The host has `processor_share` of a core that is `processor_speed` times as fast as an ordinary
    one, and a link of `link_mbps`.
    `memory_mb` is the host's memory, of which `memory.budget_bytes` is for callers, and
    `max_descriptors` the number of descriptors that its process may open. The other `max_` fields
    bound what the host reads of one caller's body, one target's answer, one event of a stream and
    one response of the store; see `limits.ReadLimits`. `cross_zone_ms_per_mb` and
    `repeated_ms_per_1000_tokens` are what placement weighs against latency; see
    `placement.Preferences`.
    """

    host: str
    availability_zone: str
    caller_address: str
    ready_address: str
    peer_address: str
    internal_ports: tuple[int, ...]
    store_address: str
    stop_grace_s: float
    key_revocation_ms: float
    retry_ratio: float
    retry_window_s: float
    retry_reserve: float
    seed_peers: tuple[str, ...] = ()
    processor_share: float = 1.0
    processor_speed: float = 1.0
    link_mbps: float = 1000.0
    memory_mb: float | None = None
    max_descriptors: int | None = None
    max_request_bytes: int | None = None
    max_answer_bytes: int = DEFAULT_LIMITS.answer_bytes
    max_event_bytes: int = DEFAULT_LIMITS.event_bytes
    max_store_bytes: int = DEFAULT_LIMITS.store_bytes
    cross_zone_ms_per_mb: float = Preferences().cross_zone_ms_per_mb
    repeated_ms_per_1000_tokens: float = Preferences().repeated_ms_per_1000_tokens
    cold_overage: float | None = None
    cold_slack: float | None = None
    configuration_bound_ms: float | None = None
    leaving_bound_ms: float | None = None
    log_level: str = "INFO"

    def cold_bound(self) -> ColdBound:
        """Returns the bound of requests to cold targets."""
        return ColdBound(**present(overage=self.cold_overage, slack=self.cold_slack))

    def change_bounds(self) -> ChangeBounds:
        """Returns the times within which changes must be in force."""
        return ChangeBounds(
            **present(
                configuration_ms=self.configuration_bound_ms, targets_ms=self.leaving_bound_ms
            )
        )

    def preferences(self) -> Preferences:
        """Returns what placement weighs against latency."""
        return Preferences(self.cross_zone_ms_per_mb, self.repeated_ms_per_1000_tokens)

    def read_limits(self) -> ReadLimits:
        """Returns the bounds of what the host reads from others."""
        return DEFAULT_LIMITS._replace(
            request_bytes=self.max_request_bytes,
            answer_bytes=self.max_answer_bytes,
            event_bytes=self.max_event_bytes,
            store_bytes=self.max_store_bytes,
        )

    def capacity_cores(self) -> float:
        """Returns the capacity for work on behalf of other hosts, in cores of ordinary speed."""
        cores = self.processor_share * self.processor_speed
        return min(cores, self.link_mbps / MBPS_PER_CORE)


def parse(document: Any, file: str = "settings") -> ForwardSettings:
    """Validates a decoded document; raises UserError with file, path and reason.

    Unknown fields are ignored, since the platform may add some.
    """
    settings.check(document, SCHEMA, file)
    fields = {k: v for k, v in document.items() if k in ForwardSettings._fields}
    for name in ("internal_ports", "seed_peers"):
        fields[name] = tuple(fields.get(name) or ())
    return ForwardSettings(**fields)


def version(path: str) -> int:
    """Returns a value that changes with the settings file; 0 if it can't be accessed."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0  # the next reload reports the error


def load(path: str) -> ForwardSettings:
    """Reads a settings file; raises UserError if it is unreadable or invalid."""
    return parse(settings.read_json(path), path)
