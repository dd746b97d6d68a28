"""Tracks the lease of a service on one host by its monotonic clock."""

from __future__ import annotations

from savoryfork import defaults
from savoryfork.leasefold import Lease

# Limit of appended records not yet read back; older ones are past every lease TTL.
MAX_PENDING_APPENDS = 16


class LocalLease:
    """This host's view of one service's lease. All times are monotonic milliseconds.

    The holder counts the TTL from before it sent the record, so its lease ends no later than
    `ttl_ms` after the append. Other hosts count from when they read the record, so they see a later
    end. Clocks are never compared; only equal clock rates are assumed, with a margin.

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
        """True if the newest lease read belongs to this host; it may have expired."""
        lease = self.lease
        return lease is not None and lease.holder == self.incarnation and not lease.released

    def record_append(self, record_id: str, now_ms: float) -> None:
        """Records the time before an append; it may take effect much later, or never."""
        self.append_ms[record_id] = now_ms
        while len(self.append_ms) > MAX_PENDING_APPENDS:
            del self.append_ms[next(iter(self.append_ms))]

    def update(self, lease: Lease | None, now_ms: float) -> None:
        """Applies the fold's lease after a read that ended at `now_ms`."""
        previous = self.lease
        if lease is None:
            self.lease = None
            self.valid_until_ms = 0.0
            return
        if previous is None or previous.offset != lease.offset:
            self.valid_until_ms = 0.0
            self.predecessor_expiry_ms = self.predecessor_expiry(lease, now_ms)
        if previous is None or previous.record_offset != lease.record_offset:
            self.record_read_ms = now_ms
        self.lease = lease
        if self.held and lease.record_id in self.append_ms:
            end_ms = self.append_ms[lease.record_id] + lease.ttl_ms
            self.valid_until_ms = max(self.valid_until_ms, end_ms)

    def predecessor_expiry(self, lease: Lease, now_ms: float) -> float:
        """Returns when the lease that `lease` replaced has certainly expired.

        A holder releases only after this time, so a released lease implies that all earlier ones
        have expired.
        """
        if lease.replaced_record < 0 or lease.replaced_released:
            return 0.0
        previous = self.lease
        seen = previous is not None and previous.record_offset == lease.replaced_record
        ttl_ms = max(lease.replaced_ttl_ms, defaults.LEASE_TTL_MS)
        return (self.record_read_ms if seen else now_ms) + ttl_ms + defaults.LEASE_MARGIN_MS

    def remaining_ms(self, now_ms: float) -> float:
        """Returns how long the lease is still guaranteed, 0 if this host does not hold it."""
        return max(0.0, self.valid_until_ms - now_ms) if self.held else 0.0

    def can_acquire(self, now_ms: float) -> bool:
        """Returns True if there is no lease, or it was released or has certainly expired."""
        lease = self.lease
        if lease is None or lease.released:
            return True
        return now_ms >= self.record_read_ms + lease.ttl_ms + defaults.LEASE_MARGIN_MS

    def blocking_reason(self, now_ms: float, config: int, checks_orders: bool) -> str:
        """Returns why no order of configuration `config` may be sent now; empty if one may."""
        if not self.held or self.lease is None:
            return "lease_not_held"
        if self.remaining_ms(now_ms) <= defaults.LEASE_MARGIN_MS:
            return "lease_ending"
        if self.lease.config != config:
            return "configuration_not_recorded"
        if not checks_orders and now_ms < self.predecessor_expiry_ms:
            return "previous_lease"
        return ""
