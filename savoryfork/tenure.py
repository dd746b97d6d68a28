"""What one host may conclude about the lease of a service, by its own monotonic clock."""

from __future__ import annotations

from savoryfork import defaults
from savoryfork.leasefold import Lease

# Appended records that were not yet read; older ones are past every lease time.
MAX_PENDING_APPENDS = 16


class LocalLease:
    """The lease of one service as this host sees it. All times are its monotonic milliseconds.

    A lease is valid from before its record was sent, so it ends here no later than `ttl_ms` after
    it landed. Another host counts from when it read the record, so it finds the end later than the
    holder does. The two never compare clocks; both only rely on equal rates, with a margin.

    >>> local_lease = LocalLease("i-1")
    >>> local_lease.record_append("r", 1_000)
    >>> local_lease.update(Lease(4, "i-1", 10_000, 2, "r", 4, 0), 1_500)
    >>> local_lease.remaining_ms(5_000)
    6000
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.lease: Lease | None = None
        self.append_ms: dict[str, float] = {}
        self.record_read_ms = 0.0
        self.valid_until_ms = 0.0
        self.predecessor_expiry_ms = 0.0

    @property
    def held(self) -> bool:
        """Whether the newest lease that was read is this host's; it may have lapsed."""
        lease = self.lease
        return lease is not None and lease.holder == self.incarnation and not lease.released

    def record_append(self, record_id: str, now_ms: float) -> None:
        """Notes the time before a record is appended; it may land much later, or never."""
        self.append_ms[record_id] = now_ms
        while len(self.append_ms) > MAX_PENDING_APPENDS:
            del self.append_ms[next(iter(self.append_ms))]

    def update(self, lease: Lease | None, now_ms: float) -> None:
        """Takes the state of the fold after a read that ended at `now_ms`."""
        known = self.lease
        if lease is None:
            self.lease = None
            self.valid_until_ms = 0.0
            return
        if known is None or known.offset != lease.offset:
            self.valid_until_ms = 0.0
            self.predecessor_expiry_ms = self.predecessor_expiry(lease, now_ms)
        if known is None or known.record_offset != lease.record_offset:
            self.record_read_ms = now_ms
        self.lease = lease
        if self.held and lease.record_id in self.append_ms:
            end_ms = self.append_ms[lease.record_id] + lease.ttl_ms
            self.valid_until_ms = max(self.valid_until_ms, end_ms)

    def predecessor_expiry(self, lease: Lease, now_ms: float) -> float:
        """When the lease before a new one has surely ended.

        A holder releases only after this time, so a released lease vouches for those before it.
        """
        if lease.replaced_record < 0 or lease.replaced_released:
            return 0.0
        known = self.lease
        seen = known is not None and known.record_offset == lease.replaced_record
        ttl_ms = max(lease.replaced_ttl_ms, defaults.LEASE_TTL_MS)
        return (self.record_read_ms if seen else now_ms) + ttl_ms + defaults.LEASE_MARGIN_MS

    def remaining_ms(self, now_ms: float) -> float:
        """How long the lease surely remains this host's, 0 if it does not hold it."""
        return max(0.0, self.valid_until_ms - now_ms) if self.held else 0.0

    def can_acquire(self, now_ms: float) -> bool:
        """True if another host's lease was given up, or has surely ended without a renewal."""
        lease = self.lease
        if lease is None or lease.released:
            return True
        return now_ms >= self.record_read_ms + lease.ttl_ms + defaults.LEASE_MARGIN_MS

    def blocking_reason(self, now_ms: float, config: int, checks_orders: bool) -> str:
        """Why no order computed from configuration `config` may be sent now; empty if one may."""
        if not self.held or self.lease is None:
            return "lease_not_held"
        if self.remaining_ms(now_ms) <= defaults.LEASE_MARGIN_MS:
            return "lease_ending"
        if self.lease.config != config:
            return "configuration_not_recorded"
        if not checks_orders and now_ms < self.predecessor_expiry_ms:
            return "previous_lease"
        return ""
