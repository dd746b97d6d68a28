"""The registered targets by service, and which of them must not get work."""

from __future__ import annotations

from collections.abc import Callable

from savoryfork.forward.departures import Departures, Source, incarnation_of
from savoryfork.forward.knowledge import Entry
from savoryfork.forward.model import Target
from savoryfork.forward.pushback import PushBacks
from savoryfork.forward.warmup import Warmups

# Targets re-register within about 2 s of the store's return if their entries lapsed in an outage.
LAPSE_GRACE_MS = 2_300.0

# A gap between confirmations that counts as an outage of the store.
OUTAGE_MS = 2_000.0

# If more than this share of a service's entries disappears at once after an outage, they count as
# lapsed: only a few targets leave at a time.
LAPSED_SHARE = 0.4

Decoder = Callable[[str, bytes], Target | None]


class Registry:
    """Targets by name and by service.

    A target at whose address another incarnation answered is excluded until its entry changes, and
    one that is leaving by any source for good; see `departures`. `push_backs` are those that want
    no requests for a time, `warmups` those that take few. Targets in the `evacuated` zones get
    nothing until these are taken back.
    """

    def __init__(self, decode: Decoder) -> None:
        self.decode = decode
        self.targets: dict[str, Target] = {}
        self.by_service: dict[str, list[Target]] = {}
        self.misdirected: dict[str, Target] = {}
        self.departures = Departures()
        self.push_backs = PushBacks()
        self.warmups = Warmups()
        self.evacuated: frozenset[str] = frozenset()
        self.lapsed: dict[str, float] = {}
        self.store_returned_at = 0.0

    def record_store_return(self, now: float) -> None:
        """Records that the store answers again after an outage."""
        self.store_returned_at = now

    def update(
        self, entries: list[Entry], now: float, restored: bool = False
    ) -> list[tuple[Target, str]]:
        """Applies changed entries; returns each target that changed with the kind of change.

        Of several entries of a key, the last one counts; an earlier one can only say that its
        incarnation is leaving, which is final. `restored` is True for the entries of a store that
        was restored from an older copy.
        """
        if restored:
            self.record_store_return(now)
        changes: list[tuple[Target, str]] = []
        dropped = []
        newest = {entry.key: entry for entry in entries}
        for entry in entries:
            known = self.targets.get(entry.key)
            target = self.decode(entry.key, entry.value) if entry.value else None
            if target is not None and target.leaving:
                self.departures.add(incarnation_of(target), Source.STORE, now)
            if newest[entry.key] is not entry:
                continue
            if target is None:
                if known is not None:
                    dropped.append(known)
                continue
            if self.departures.is_leaving(target):
                target = target._replace(leaving=True)
            self.lapsed.pop(entry.key, None)
            self.targets[entry.key] = target
            if known is None:
                changes.append((target, "added"))
            elif not is_same_incarnation(known, target):
                changes.append((target, "reborn"))
            elif known.leaving != target.leaving:
                changes.append((target, "leaving" if target.leaving else "ready"))
            if warmup := self.warmups.record_entry(known, target, now):
                changes.append((target, warmup))
        changes += self.drop(dropped, now, restored)
        self.reindex()
        return changes

    def drop(self, dropped: list[Target], now: float, restored: bool) -> list[tuple[Target, str]]:
        """Removes targets whose entries were deleted, or keeps them for now if they seem lapsed.

        An entry that a restored store lacks was written after the copy was made, and its target
        registers again.
        """
        changes = []
        recent = now - self.store_returned_at < LAPSE_GRACE_MS
        for target in dropped:
            registered = self.of_service(target.service)
            gone = [t for t in dropped if t.service == target.service]
            many = len(gone) > max(1.0, LAPSED_SHARE * len(registered))
            if restored or (recent and many):
                self.lapsed[target.name] = self.store_returned_at + LAPSE_GRACE_MS
                changes.append((target, "lapsed"))
                continue
            changes.append((target, "gone"))
        for target, change in changes:
            if change == "gone":
                del self.targets[target.name]
                self.lapsed.pop(target.name, None)
        return changes

    def expire(self, now: float) -> list[tuple[Target, str]]:
        """Removes lapsed targets that did not re-register within the grace period."""
        expired = [name for name, until in self.lapsed.items() if until <= now]
        changes = []
        for name in expired:
            del self.lapsed[name]
            changes.append((self.targets.pop(name), "gone"))
        if expired:
            self.reindex()
        return changes

    def reindex(self) -> None:
        """Rebuilds the lists of usable targets by service."""
        self.misdirected = {
            name: target for name, target in self.misdirected.items() if self.is_unchanged(target)
        }
        self.by_service = {}
        for target in sorted(self.targets.values()):
            if self.may_get_work(target):
                self.by_service.setdefault(target.service, []).append(target)

    def may_get_work(self, target: Target) -> bool:
        """Returns whether a registered target may get new work."""
        return (
            not target.leaving
            and target.zone not in self.evacuated
            and not self.departures.is_leaving(target)
            and target.name not in self.misdirected
        )

    def set_evacuated(self, zones: frozenset[str]) -> list[tuple[str, bool]]:
        """Sets the evacuated zones; returns each that changed, and whether it is evacuated now."""
        changes = [(zone, zone in zones) for zone in sorted(zones ^ self.evacuated)]
        if changes:
            self.evacuated = zones
            self.reindex()
        return changes

    def mark_leaving(self, target: Target, source: Source, since: float) -> bool:
        """Takes this incarnation of a target out of use; returns False if it is known to leave."""
        if not self.departures.add(incarnation_of(target), source, since):
            return False
        self.reindex()
        return True

    def all_leaving(self, service: str) -> bool:
        """Returns whether a service has targets and all of them are leaving or evacuated."""
        if self.usable(service):
            return False
        targets = self.of_service(service)
        return bool(targets) and all(
            target.zone in self.evacuated or self.departures.is_leaving(target)
            for target in targets
        )

    def mark_misdirected(self, target: Target) -> None:
        """Records that another incarnation answered at a target's address."""
        if self.is_unchanged(target):
            self.misdirected[target.name] = target
            self.reindex()

    def is_unchanged(self, target: Target) -> bool:
        """Returns whether a target's entry is as it was, but for a change of cold or warm."""
        known = self.targets.get(target.name)
        return known is not None and known._replace(cold=target.cold) == target

    def of_service(self, service: str) -> list[Target]:
        """Returns all targets of a service, including those that are leaving."""
        return [target for target in self.targets.values() if target.service == service]

    def of_zone(self, zone: str) -> list[Target]:
        """Returns all targets in a zone."""
        return [target for target in self.targets.values() if target.zone == zone]

    def at_address(self, service: str, address: str) -> Target | None:
        """Returns the target of a service at an address; None if none is registered there."""
        found = (target for target in self.of_service(service) if target.address == address)
        return next(found, None)

    def usable(self, service: str) -> list[Target]:
        """Returns the targets of a service that may get new work."""
        return self.by_service.get(service, [])

    def is_current(self, target: Target) -> bool:
        """Returns whether this incarnation of a target may still get new work."""
        known = self.targets.get(target.name)
        return known is not None and is_same_incarnation(known, target) and self.may_get_work(known)


def is_same_incarnation(known: Target, other: Target) -> bool:
    """Returns whether two entries of a name are of the same incarnation of a target."""
    return (known.start_unix_ms, known.address) == (other.start_unix_ms, other.address)
