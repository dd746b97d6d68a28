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

import math
from collections.abc import Iterable
from functools import singledispatch
from typing import Any, NamedTuple

from savoryfork.util.topic import Fold, Record

SCHEMA = 1

# A lease without a record for this time, by the log's clock, can be replaced by any acquire record.
# Bounds how much of the topic a reader needs, and must be much longer than any lease TTL.
STALE_LEASE_MS = 60_000

MAX_TTL_MS = STALE_LEASE_MS // 2

# A reader of a trimmed log relies on no lease before this time. Twice the stale time, since a host
# also counts it by its own clock.
SETTLE_MS = 2 * STALE_LEASE_MS

# With more candidates, a reader starts again with an unknown lease. Each record takes time for each
# candidate: 3,000 acquire records in a row took 8 s without a limit.
MAX_CANDIDATES = 64


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


class Unknown(NamedTuple):
    """Any lease that a reader of a trimmed log can't know, or none.

    Its offset is greater than `above` and less than `below`, at first the start of the log. Its
    last record is not newer than `until_ms`, at first the time of the first record read. `above` is
    -1 if there may be no lease.
    """

    above: int
    below: int
    until_ms: float


# What the newest lease of a service may be.
Candidate = Lease | Unknown


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

    A reader of a trimmed log can't tell whether an acquire record won over a lease that it does not
    know. It keeps each lease that may be the newest one as a candidate and applies every record to
    each of them, so the lease of a reader of the whole log is always among them. `leases` has only
    leases that are the single candidate. A holder must act on no other, and must not renew it: that
    would prove a lease that perhaps never won.

    >>> fold = LeaseFold()
    >>> fold.restart(5)
    >>> fold.apply(Record(5, 0, acquire_record("r", "s", "i-1", 10_000, 4, 0)))
    >>> [type(candidate).__name__ for candidate in fold.candidates["s"]]
    ['Unknown', 'Lease']
    """

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}
        self.candidates: dict[str, tuple[Candidate, ...]] = {}
        self.unsupported = False
        self.restart(0)

    def restart(self, start: int) -> None:
        """Discards all state and restarts at `start`, the oldest retained offset."""
        self.position = self.start = start
        self.leases.clear()
        self.candidates.clear()
        self.first_ms: int | None = None
        self.last_ms = 0

    def apply(self, record: Record) -> None:
        """Applies one record; malformed records are ignored."""
        if record.offset < self.position:
            return
        self.position = record.offset + 1
        if self.first_ms is None:
            self.first_ms = record.time_ms
        self.last_ms = record.time_ms
        value = record.value
        try:
            if value["schema"] > SCHEMA:
                self.unsupported = True
                return
            if not all(isinstance(value[name], str) for name in ("id", "service", "holder")):
                return
        except (KeyError, TypeError):
            return
        service = value["service"]
        results = [result for one in self.candidates_of(service) for result in applied(one, record)]
        candidates = merged(results)
        if len(candidates) > MAX_CANDIDATES:
            candidates = (Unknown(-1, self.position, record.time_ms),)
        self.candidates[service] = candidates
        match candidates:
            case (Lease() as lease,):
                self.leases[service] = lease

    def candidates_of(self, service: str) -> tuple[Candidate, ...]:
        """Returns what the newest lease of a service may be."""
        if service in self.candidates:
            return self.candidates[service]
        until_ms = -math.inf if self.start == 0 else float(self.first_ms or 0)
        return (Unknown(-1, self.start, until_ms),)

    @property
    def settled(self) -> bool:
        """True if the lease of every service is settled by the records alone."""
        return self.is_settled("") and all(self.is_settled(service) for service in self.candidates)

    def is_settled(self, service: str, quiet_ms: float = 0.0) -> bool:
        """Returns True if no reader can have another lease of a service that is not stale.

        That is so if there is one candidate, or if all are stale: then any acquire record wins.
        `quiet_ms` is the time by this host's clock since it last read a record, or since the
        restart.
        """
        elapsed_ms = self.last_ms - (self.first_ms or 0) + quiet_ms
        if self.start > 0 and elapsed_ms <= SETTLE_MS:
            return False
        if service in self.leases:
            return True
        candidates = self.candidates_of(service)
        ages_ms = [self.last_ms - last_record_ms(candidate) for candidate in candidates]
        return all(age > STALE_LEASE_MS or age + quiet_ms > SETTLE_MS for age in ages_ms)


def last_record_ms(candidate: Candidate) -> float:
    """Returns the log time after which a candidate has no record."""
    return candidate.record_ms if isinstance(candidate, Lease) else candidate.until_ms


def is_stale(candidate: Candidate, record: Record) -> bool:
    """Returns True if a candidate had no record for more than STALE_LEASE_MS before `record`."""
    return record.time_ms - last_record_ms(candidate) > STALE_LEASE_MS


def applied(candidate: Candidate, record: Record) -> tuple[Candidate, ...]:
    """Returns what a candidate may be after a record; a malformed record changes nothing."""
    try:
        match record.value["type"]:
            case "acquire":
                return after_acquire(candidate, record)
            case "renew":
                return after_renewal(candidate, record)
            case "release":
                return after_release(candidate, record)
    except (KeyError, TypeError, ValueError):
        pass
    return (candidate,)


@singledispatch
def after_acquire(candidate: Candidate, record: Record) -> tuple[Candidate, ...]:
    """Returns what a candidate may be after an acquire record."""
    raise TypeError(type(candidate))


@after_acquire.register
def _(candidate: Lease, record: Record) -> tuple[Candidate, ...]:
    if is_stale(candidate, record) or record.value["after"] == candidate.offset:
        return (lease_from(record, record.offset, candidate),)
    return (candidate,)


@after_acquire.register
def _(candidate: Unknown, record: Record) -> tuple[Candidate, ...]:
    won = lease_from(record, record.offset, None)
    return (won,) if is_stale(candidate, record) else (candidate, won)


@singledispatch
def after_renewal(candidate: Candidate, record: Record) -> tuple[Candidate, ...]:
    """Returns what a candidate may be after a renewal."""
    raise TypeError(type(candidate))


@after_renewal.register
def _(candidate: Lease, record: Record) -> tuple[Candidate, ...]:
    offset = int(record.value["lease"])
    if offset == candidate.offset and record.value["holder"] == candidate.holder:
        return (renewed(candidate, record),)
    if candidate.offset < offset < record.offset:
        return (lease_from(record, offset, candidate),)
    return (candidate,)


@after_renewal.register
def _(candidate: Unknown, record: Record) -> tuple[Candidate, ...]:
    offset = int(record.value["lease"])
    if not candidate.above < offset < record.offset:
        return (candidate,)
    proved = lease_from(record, offset, None)
    # The lease was current once, so the current one is either it or a newer one.
    newer = candidate._replace(above=offset)
    return (newer, proved) if offset + 1 < candidate.below else (proved,)


@singledispatch
def after_release(candidate: Candidate, record: Record) -> tuple[Candidate, ...]:
    """Returns what a candidate may be after a release."""
    raise TypeError(type(candidate))


@after_release.register
def _(candidate: Lease, record: Record) -> tuple[Candidate, ...]:
    named = (record.value["lease"], record.value["holder"])
    if named == (candidate.offset, candidate.holder):
        return (candidate._replace(released=True),)
    return (candidate,)


@after_release.register
def _(candidate: Unknown, record: Record) -> tuple[Candidate, ...]:
    return (candidate,)


def merged(candidates: Iterable[Candidate]) -> tuple[Candidate, ...]:
    """Returns each candidate once, leases by offset after an unknown one."""
    unknown = [one for one in candidates if isinstance(one, Unknown)]
    leases: dict[int, Lease] = {}
    for one in candidates:
        if isinstance(one, Lease):
            same = leases.get(one.offset)
            leases[one.offset] = one if same is None else merged_lease(same, one)
    return (*unknown, *(leases[offset] for offset in sorted(leases)))


def merged_lease(first: Lease, second: Lease) -> Lease:
    """Returns one lease for two candidates of the same offset that replaced different leases.

    Its holder waits for the longer of their times.
    """
    newest = max(first, second, key=lambda lease: lease.record_offset)
    return newest._replace(
        ttl_ms=max(first.ttl_ms, second.ttl_ms),
        config=max(first.config, second.config),
        released=first.released and second.released,
        replaced_record=max(first.replaced_record, second.replaced_record),
        replaced_ttl_ms=max(first.replaced_ttl_ms, second.replaced_ttl_ms),
        replaced_released=first.replaced_released and second.replaced_released,
    )


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
