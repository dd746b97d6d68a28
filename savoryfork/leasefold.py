"""Leases of services, as a pure function of the records of topic `leases`.

Records are JSON objects with `schema`, `type`, `id`, `service` and `holder` (the incarnation of a
host), and by type:

* `acquire`: `ttl_ms`, `after` (offset of the lease that it replaces, -1 if none), `config`.
* `renew`: `ttl_ms`, `lease` (offset of the lease), `config`.
* `release`: `lease`.

The offset of the acquire record names the lease and is its fencing number. `config` is the offset
of the configuration that the holder acts on.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from savoryfork.util.topic import Fold, Record

SCHEMA = 1

# A lease without a record for this time, by the log's clock, can be replaced by any acquire record.
# It bounds how much of the topic a reader needs, and must be much longer than any lease time.
RETENTION_MS = 60_000

MAX_TTL_MS = RETENTION_MS // 2

# What an acquire record read just after the oldest kept one gets wrong is forgotten after this.
SETTLE_MS = 2 * RETENTION_MS


class Lease(NamedTuple):
    """The newest lease of a service.

    `record_id` and `record_offset` are those of its last acquire or renew record, `record_ms` is
    the log's time of it. `config` is the highest configuration offset that any holder acted on. The
    fields named `replaced_` describe the lease before it, as far as this reader knows of one.
    """

    offset: int
    holder: str
    ttl_ms: int
    config: int
    record_id: str
    record_offset: int
    record_ms: int
    released: bool = False
    replaced_record: int = -1
    replaced_ttl_ms: int = 0
    replaced_released: bool = False


class LeaseFold(Fold):
    """Who holds the lease of each service, by the order of the log alone.

    An acquire record wins if it names the lease in effect, so of several for the same one the first
    wins. A second copy of a record that won names an old lease and loses. Time does not end a
    lease: only another holder does, after it has waited by its own clock.

    A holder renews only what it has read to be its own, so a renewal of a newer lease than the one
    known proves that lease to a reader for which the acquire record is past retention.
    """

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}
        self.unsupported = False
        self.restart(0)

    def restart(self, start: int) -> None:
        """Forgets everything and begins at `start`, the oldest offset that the log keeps."""
        self.position = start
        self.leases.clear()
        self.first_ms: int | None = None
        self.settled = start == 0

    def apply(self, record: Record) -> None:
        """Applies one record; malformed ones change nothing."""
        if record.offset < self.position:
            return
        self.position = record.offset + 1
        if self.first_ms is None:
            self.first_ms = record.time_ms
        self.settled = self.settled or record.time_ms - self.first_ms > SETTLE_MS
        value = record.value
        try:
            if value["schema"] > SCHEMA:
                self.unsupported = True
                return
            if not all(isinstance(value[name], str) for name in ("id", "service", "holder")):
                return
            self.apply_to_lease(value["service"], record)
        except (KeyError, TypeError, ValueError):
            return

    def apply_to_lease(self, service: str, record: Record) -> None:
        """Applies a record to the lease of its service."""
        value = record.value
        known = self.leases.get(service)
        match value["type"]:
            case "acquire":
                if known is None or self.is_stale(known, record) or value["after"] == known.offset:
                    self.leases[service] = lease_from(record, record.offset, known)
            case "renew":
                offset = int(value["lease"])
                if known is not None and offset == known.offset:
                    if value["holder"] == known.holder and not known.released:
                        self.leases[service] = renewed(known, record)
                elif (known is None or offset > known.offset) and offset < record.offset:
                    self.leases[service] = lease_from(record, offset, known)
            case "release":
                named = (value["lease"], value["holder"])
                if known is not None and named == (known.offset, known.holder):
                    self.leases[service] = known._replace(released=True)

    def is_stale(self, lease: Lease, record: Record) -> bool:
        """True if the lease was without a record for so long that it no longer matters."""
        return record.time_ms - lease.record_ms > RETENTION_MS


def parse_ttl_ms(value: dict[str, Any]) -> int:
    """The lease time of a record; raises ValueError if it is out of bounds."""
    ttl_ms = int(value["ttl_ms"])
    if not 0 < ttl_ms <= MAX_TTL_MS:
        raise ValueError(f"lease time {ttl_ms}")
    return ttl_ms


def lease_from(record: Record, offset: int, known: Lease | None) -> Lease:
    """The lease that an acquire record, or the first renewal read of it, begins."""
    value = record.value
    lease = Lease(
        offset,
        value["holder"],
        parse_ttl_ms(value),
        int(value["config"]),
        value["id"],
        record.offset,
        record.time_ms,
    )
    if known is None:
        return lease
    return lease._replace(
        config=max(lease.config, known.config),
        replaced_record=known.record_offset,
        replaced_ttl_ms=known.ttl_ms,
        replaced_released=known.released,
    )


def renewed(lease: Lease, record: Record) -> Lease:
    """The lease after one of its renewals."""
    value = record.value
    return lease._replace(
        ttl_ms=max(lease.ttl_ms, parse_ttl_ms(value)),
        config=max(lease.config, int(value["config"])),
        record_id=value["id"],
        record_offset=record.offset,
        record_ms=record.time_ms,
    )


def acquire_record(
    record_id: str, service: str, holder: str, ttl_ms: int, after: int, config: int
) -> dict[str, Any]:
    """The record that asks for the lease."""
    return {
        "schema": SCHEMA,
        "type": "acquire",
        "id": record_id,
        "service": service,
        "holder": holder,
        "ttl_ms": ttl_ms,
        "after": after,
        "config": config,
    }


def renew_record(
    record_id: str, service: str, holder: str, ttl_ms: int, lease: int, config: int
) -> dict[str, Any]:
    """The record that extends the lease."""
    return {
        "schema": SCHEMA,
        "type": "renew",
        "id": record_id,
        "service": service,
        "holder": holder,
        "ttl_ms": ttl_ms,
        "lease": lease,
        "config": config,
    }


def release_record(record_id: str, service: str, holder: str, lease: int) -> dict[str, Any]:
    """The record that gives the lease up."""
    return {
        "schema": SCHEMA,
        "type": "release",
        "id": record_id,
        "service": service,
        "holder": holder,
        "lease": lease,
    }
