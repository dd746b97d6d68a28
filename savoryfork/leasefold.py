"""Computes service leases from the records of topic `leases` alone.

Records are JSON objects with `schema`, `type`, `id`, `service` and `holder` (the incarnation of a
host), and by type:

* `acquire`: `ttl_ms`, `after` (offset of the lease that it replaces, -1 if none), `config`.
* `renew`: `ttl_ms`, `lease` (offset of the lease), `config`.
* `release`: `lease`.

The offset of the acquire record identifies the lease and is its fencing number. `config` is the
offset of the configuration that the holder acts on.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from savoryfork.util.topic import Fold, Record

SCHEMA = 1

# A lease without a record for this time, by the log's clock, can be replaced by any acquire record.
# Bounds how much of the topic a reader needs, and must be much longer than any lease TTL.
STALE_LEASE_MS = 60_000

MAX_TTL_MS = STALE_LEASE_MS // 2

# Errors in judging the first acquire records of a trimmed log have no effect after this time.
SETTLE_MS = 2 * STALE_LEASE_MS


class Lease(NamedTuple):
    """The newest lease of a service.

    `record_id` and `record_offset` are those of its last acquire or renew record, `record_ms` is
    that record's log time. `config` is the highest configuration offset that any holder acted on.
    The `replaced_` fields describe the previous lease, if this reader knows of one.
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
    """Determines the lease holder of each service by log order alone.

    An acquire record wins if it names the current lease, so the first of several wins. A duplicate
    of a winning record names an old lease and loses. A lease does not end by time: only another
    holder ends it, after a wait by its own clock.

    A holder renews only a lease that it has read as its own. So a renewal of a lease newer than the
    current one proves that lease to a reader for which the acquire record is past retention.

    A renewal that lands after the release of its lease withdraws the release. A reader that starts
    after the release can't tell such a renewal from any other, so all readers must count it, and
    the next holder waits for the end of the renewed lease.
    """

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}
        self.unsupported = False
        self.restart(0)

    def restart(self, start: int) -> None:
        """Discards all state and restarts at `start`, the oldest retained offset."""
        self.position = start
        self.leases.clear()
        self.first_ms: int | None = None
        self.settled = start == 0

    def apply(self, record: Record) -> None:
        """Applies one record; malformed records are ignored."""
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
        current = self.leases.get(service)
        match value["type"]:
            case "acquire":
                if (
                    current is None
                    or self.is_stale(current, record)
                    or value["after"] == current.offset
                ):
                    self.leases[service] = lease_from(record, record.offset, current)
            case "renew":
                offset = int(value["lease"])
                if current is not None and offset == current.offset:
                    if value["holder"] == current.holder:
                        self.leases[service] = renewed(current, record)
                elif (current is None or offset > current.offset) and offset < record.offset:
                    self.leases[service] = lease_from(record, offset, current)
            case "release":
                named = (value["lease"], value["holder"])
                if current is not None and named == (current.offset, current.holder):
                    self.leases[service] = current._replace(released=True)

    def is_stale(self, lease: Lease, record: Record) -> bool:
        """Returns True if the lease had no record for more than STALE_LEASE_MS."""
        return record.time_ms - lease.record_ms > STALE_LEASE_MS


def parse_ttl_ms(value: dict[str, Any]) -> int:
    """Returns the TTL of a record; raises ValueError if it is out of bounds."""
    ttl_ms = int(value["ttl_ms"])
    if not 0 < ttl_ms <= MAX_TTL_MS:
        raise ValueError(f"lease ttl_ms {ttl_ms} is not between 1 and {MAX_TTL_MS}")
    return ttl_ms


def lease_from(record: Record, offset: int, current: Lease | None) -> Lease:
    """Returns the lease that starts with an acquire record or the first renewal read."""
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
    if current is None:
        return lease
    return lease._replace(
        config=max(lease.config, current.config),
        replaced_record=current.record_offset,
        replaced_ttl_ms=current.ttl_ms,
        replaced_released=current.released,
    )


def renewed(lease: Lease, record: Record) -> Lease:
    """Returns the lease extended by a renewal, and no longer released."""
    value = record.value
    return lease._replace(
        released=False,
        ttl_ms=max(lease.ttl_ms, parse_ttl_ms(value)),
        config=max(lease.config, int(value["config"])),
        record_id=value["id"],
        record_offset=record.offset,
        record_ms=record.time_ms,
    )


def acquire_record(
    record_id: str, service: str, holder: str, ttl_ms: int, after: int, config: int
) -> dict[str, Any]:
    """Returns a record that requests the lease."""
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
    """Returns a record that extends the lease."""
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
    """Returns a record that releases the lease."""
    return {
        "schema": SCHEMA,
        "type": "release",
        "id": record_id,
        "service": service,
        "holder": holder,
        "lease": lease,
    }
