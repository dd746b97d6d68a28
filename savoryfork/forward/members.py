"""Tracks the live hosts and assigns duties to them by rendezvous hashing.

Hosts exchange only the entries that have changed, and a digest that shows whether their lists
agree. A host is taken to be alive until another host that can reach others fails to reach it twice;
it then marks it as failed, and the mark spreads like any other change. A host that learns of its
own failure mark raises its version, which cancels the mark everywhere. What a host sends therefore
depends on the number of changes, not on the number of hosts.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from savoryfork.util import rendezvous

# A host that did not answer a call is excluded for this long, unless it answers again before.
SUSPECT_MS = 1_000.0

# A host is marked as failed if a call to it fails this long or longer after the first failure, with
# no answer in between: a single lost answer must not take away its duties.
CONFIRM_MS = 600.0

# A host without contact for this long may be cut off itself. Followers poll every 400 ms.
CONTACT_MS = 500.0

# How long a failure mark is kept, so that hosts that have not heard of it can't undo it, and so
# that a host that was only unreachable is tried again.
FAILED_RETENTION_MS = 120_000.0

# Retry delay of a seed that has never answered: it may still be starting.
SEED_RETRY_MS = 150.0

# Hosts that follow the same upstream host. At 82 hosts, store updates pass through three levels.
SYNC_FAN_OUT = 9

READER_DUTY = "store-reader"

# Hosts below this share of the strongest host's strength come after all others in the order of a
# duty: some hosts of the larger sites have half a core and 5 Mbit/s.
STRONG_SHARE = 0.5


class Member(NamedTuple):
    """A host's entry; `version` increases with each change that the host makes to its own entry.

    `store_ok` is False while it can't read the store, and until it has joined and has a copy; it
    then comes last among the hosts to follow. `strength` is its capacity for work on behalf of
    other hosts, in cores of ordinary speed. `failed` is set by another host that could not reach
    it.
    """

    address: str
    zone: str
    incarnation: int
    version: int
    leaving: bool
    store_ok: bool
    strength: float = 1.0
    failed: bool = False

    def rank(self) -> tuple[int, int, bool]:
        """Returns the sort key by which of two entries of a host the newer one is found."""
        return self.incarnation, self.version, self.failed


class View(NamedTuple):
    """The live hosts by address, the local host first, and until when suspicions keep it valid."""

    alive: dict[str, Member]
    valid_until: float


class Members:
    """The membership as known to the local host, keyed by the hosts' peer addresses.

    `revision` increases with each change. `contact_at` is the last time at which any other host
    answered or called.
    """

    def __init__(self, local: Member, seeds: Iterable[str]) -> None:
        self.local = local
        self.seeds = [seed for seed in seeds if seed != local.address]
        self.known: dict[str, Member] = {}
        self.revision = 0
        self.changed_in: dict[str, int] = {}
        self.learned_from: dict[str, str] = {}
        self.failed_at: dict[str, float] = {}
        self.failing_since: dict[str, float] = {}
        self.suspect_until: dict[str, float] = {}
        self.contact_at = -math.inf
        self.cached_view: View | None = None
        self.cached_owners: dict[str, list[str]] = {}
        self.cached_readers: list[str] | None = None
        self.cached_digest: int | None = None
        self.cached_unsuspected: Members | None = None

    # Changes.

    def invalidate(self) -> None:
        """Drops everything that was derived from the entries and suspicions."""
        self.cached_view = None
        self.cached_owners = {}
        self.cached_readers = None
        self.cached_digest = None

    def put(self, member: Member, source: str, now: float) -> None:
        """Stores a newer entry of another host, as learned from `source`."""
        address = member.address
        known = self.known.get(address)
        if known is not None and member.incarnation > known.incarnation:
            # The host was restarted: what failed was its former process.
            self.failing_since.pop(address, None)
            self.suspect_until.pop(address, None)
        self.known[address] = member
        self.revision += 1
        self.changed_in[address] = self.revision
        self.learned_from[address] = source
        if member.failed:
            self.failed_at[address] = now
        else:
            self.failed_at.pop(address, None)
        self.invalidate()

    def merge(self, members: Iterable[Member], source: str, now: float) -> list[Member]:
        """Merges entries learned from the host `source`; returns those that were newer.

        A failure mark of the local host is answered by a higher version of its entry.
        """
        newer = []
        for member in members:
            if member.address == self.local.address:
                if member.incarnation > self.local.incarnation:
                    # This host was restarted with an earlier wall clock than the former process.
                    self.update_local(incarnation=member.incarnation + 1)
                elif member.failed and member.rank() > self.local.rank():
                    self.update_local(version=member.version + 1)
                continue
            known = self.known.get(member.address)
            if known is None and member.failed:
                continue
            if known is None or member.rank() > known.rank():
                self.put(member, source, now)
                newer.append(member)
        return newer

    def update_local(
        self,
        leaving: bool | None = None,
        store_ok: bool | None = None,
        version: int | None = None,
        incarnation: int | None = None,
    ) -> None:
        """Changes the local entry and raises its version."""
        self.local = self.local._replace(
            incarnation=self.local.incarnation if incarnation is None else incarnation,
            version=self.local.version + 1 if version is None else version,
            leaving=self.local.leaving if leaving is None else leaving,
            store_ok=self.local.store_ok if store_ok is None else store_ok,
        )
        self.revision += 1
        self.changed_in[self.local.address] = self.revision
        self.invalidate()

    def changes_since(self, revision: int, receiver: str) -> list[Member]:
        """Returns the entries that changed after a revision, but those learned from `receiver`."""
        if revision >= self.revision:
            return []
        return [
            member
            for address, member in self.known.items()
            if self.changed_in[address] > revision and self.learned_from[address] != receiver
        ]

    def entries(self) -> list[Member]:
        """Returns all entries of other hosts."""
        return list(self.known.values())

    def digest(self) -> int:
        """Returns a hash of the entries that are not marked as failed; equal lists have equal ones.

        >>> one, two = (Member(f"h{n}", "z", 1, 1, False, True) for n in (1, 2))
        >>> first, second = Members(one, []), Members(two, [])
        >>> first.merge([two], "h2", 0.0) == [two], first.digest() == second.digest()
        (True, False)
        >>> second.merge([one], "h1", 0.0) == [one], first.digest() == second.digest()
        (True, True)
        """
        if self.cached_digest is None:
            members = [self.local, *self.known.values()]
            lines = sorted(
                f"{m.address} {m.incarnation} {m.version}" for m in members if not m.failed
            )
            self.cached_digest = xxhash.xxh3_64_intdigest("\n".join(lines).encode())
        return self.cached_digest

    # Failure detection.

    def record_answer(self, address: str, now: float) -> None:
        """Records that a host answered, which ends its suspicion."""
        self.contact_at = now
        self.failing_since.pop(address, None)
        if self.suspect_until.pop(address, None) is not None:
            self.invalidate()

    def record_failure(self, address: str, now: float) -> bool:
        """Records that a host did not answer; returns True if it is marked as failed for that.

        A host that is itself out of contact marks nobody.
        """
        known = self.known.get(address)
        self.suspect_until[address] = now + (SUSPECT_MS if known is not None else SEED_RETRY_MS)
        self.invalidate()
        first = self.failing_since.setdefault(address, now)
        if known is None or known.failed:
            return False
        if now - first < CONFIRM_MS or now - self.contact_at > CONTACT_MS:
            return False
        self.put(known._replace(failed=True), self.local.address, now)
        return True

    def unconfirmed(self) -> list[str]:
        """Returns the hosts whose last call failed and that are not marked as failed."""
        return [a for a in self.failing_since if a in self.known and not self.known[a].failed]

    def failed(self) -> list[str]:
        """Returns the hosts that are marked as failed."""
        return list(self.failed_at)

    def expire(self, now: float) -> None:
        """Forgets hosts whose failure mark is older than FAILED_RETENTION_MS."""
        for address, at in list(self.failed_at.items()):
            if now - at > FAILED_RETENTION_MS:
                for table in (self.known, self.changed_in, self.learned_from, self.failed_at):
                    table.pop(address, None)
                self.failing_since.pop(address, None)
        self.suspect_until = {a: t for a, t in self.suspect_until.items() if t > now}

    # Live hosts and their duties.

    def view(self, now: float) -> View:
        """Returns the live hosts: neither marked as failed nor suspect."""
        cached = self.cached_view
        if cached is None or now >= cached.valid_until:
            suspects = {a: until for a, until in self.suspect_until.items() if until > now}
            alive = {self.local.address: self.local}
            for address, member in self.known.items():
                if not member.failed and address not in suspects:
                    alive[address] = member
            self.invalidate()
            cached = View(alive, min(suspects.values(), default=math.inf))
            self.cached_view = cached
        return cached

    def unsuspected(self) -> Members:
        """Returns this membership without suspicions: all hosts but those marked as failed.

        Hosts with the same entries agree on it, also while calls between some of them fail.
        """
        cached = self.cached_unsuspected
        if cached is None or cached.revision != self.revision:
            cached = Members(self.local, ())
            cached.known = dict(self.known)
            cached.revision = self.revision
            self.cached_unsuspected = cached
        return cached

    def alive(self, now: float) -> list[Member]:
        """Returns the live hosts, the local host first."""
        return list(self.view(now).alive.values())

    def owners(self, duty: str, now: float) -> list[str]:
        """Returns the addresses of the hosts for a duty, in order of preference.

        Hosts with the same membership compute the same order. Weak hosts come after strong ones,
        stopping hosts last.
        """
        alive = self.view(now).alive
        order = self.cached_owners.get(duty)
        if order is None:
            min_strength = STRONG_SHARE * max(member.strength for member in alive.values())
            order = sorted(
                rendezvous.ranked(duty, alive),
                key=lambda a: (alive[a].leaving, alive[a].strength < min_strength),
            )
            self.cached_owners[duty] = order
        return order

    def shared_owners(self, duty: str, count: int, now: float) -> list[str]:
        """Returns an owner for each part of a duty, all different while there are enough hosts.

        >>> members = Members(Member("h0", "z", 1, 0, False, True), [])
        >>> new = [Member(f"h{n}", "z", 1, 1, False, True) for n in (1, 2)]
        >>> len(members.merge(new, "h1", 0.0))
        2
        >>> sorted(members.shared_owners("d", 3, 0.0))
        ['h0', 'h1', 'h2']
        """
        chosen: list[str] = []
        for part in range(count):
            order = self.owners(f"{duty}-{part}", now)
            chosen.append(next((host for host in order if host not in chosen), order[0]))
        return chosen

    def readers(self, now: float) -> list[str]:
        """Returns the hosts in order of preference as store reader, those cut off from it last."""
        alive = self.view(now).alive
        if self.cached_readers is None:
            order = self.owners(READER_DUTY, now)
            self.cached_readers = sorted(order, key=lambda address: not alive[address].store_ok)
        return self.cached_readers

    def others_reach_store(self, now: float) -> bool:
        """Returns whether another live host reports that it reaches the store."""
        return any(member.store_ok for member in self.alive(now) if member is not self.local)

    def upstream(self, now: float) -> str | None:
        """Returns the host to fetch store updates from; None if the local host is the store reader.

        >>> members = Members(Member("h0", "z", 1, 0, False, True), [])
        >>> new = [Member(f"h{n}", "z", 1, 1, False, True) for n in (1, 2)]
        >>> len(members.merge(new, "h1", 0.0))
        2
        >>> reader = members.readers(0.0)[0]
        >>> members.upstream(0.0) == (None if reader == "h0" else reader)
        True
        """
        order = self.readers(now)
        rank = order.index(self.local.address)
        return order[(rank - 1) // SYNC_FAN_OUT] if rank else None

    def level(self, now: float) -> int:
        """Returns the number of hosts through which store updates pass; 0 for the reader."""
        rank = self.readers(now).index(self.local.address)
        level = 0
        while rank:
            rank = (rank - 1) // SYNC_FAN_OUT
            level += 1
        return level

    def unknown_seeds(self, now: float) -> list[str]:
        """Returns the seeds that are neither live members nor suspect."""
        alive = self.view(now).alive
        return [s for s in self.seeds if s not in alive and self.suspect_until.get(s, 0.0) <= now]
