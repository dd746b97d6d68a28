"""Tracks the live hosts and assigns duties to them by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from savoryfork.util import rendezvous

# A host without a new heartbeat for this long counts as failed.
MEMBER_TIMEOUT_MS = 2_500.0

# A host that did not answer a call is excluded for this long, unless it answers again before.
SUSPECT_MS = 1_000.0

# Retry delay of a seed that has never answered: it may still be starting.
SEED_RETRY_MS = 150.0

# Hosts that follow the same upstream host. At 82 hosts, store updates pass through three levels.
SYNC_FAN_OUT = 9

READER_DUTY = "store-reader"

# Hosts below this share of the strongest host's strength come after all others in the order of a
# duty: some hosts of the larger sites have half a core and 5 Mbit/s.
STRONG_SHARE = 0.5


class Member(NamedTuple):
    """A host's own heartbeat entry; `counter` increases with each heartbeat of an incarnation.

    `strength` is its capacity for work on behalf of other hosts, in cores of ordinary speed.
    """

    address: str
    zone: str
    incarnation: int
    counter: int
    leaving: bool
    store_ok: bool
    strength: float = 1.0


class Members:
    """The membership as known to the local host, keyed by the hosts' peer addresses."""

    def __init__(self, local: Member, seeds: Iterable[str]) -> None:
        self.local = local
        self.seeds = [seed for seed in seeds if seed != local.address]
        self.known: dict[str, Member] = {}
        self.last_heard_at: dict[str, float] = {}
        self.suspect_until: dict[str, float] = {}

    def merge(self, members: Iterable[Member], now: float) -> None:
        """Merges entries from other hosts; only a newer heartbeat counts as a sign of life."""
        for member in members:
            if member.address == self.local.address:
                continue
            known = self.known.get(member.address)
            rank = (member.incarnation, member.counter)
            if known is None or rank > (known.incarnation, known.counter):
                self.known[member.address] = member
                self.last_heard_at[member.address] = now

    def mark_alive(self, address: str) -> None:
        """Clears the suspicion of a host that answered."""
        self.suspect_until.pop(address, None)

    def mark_suspect(self, address: str, now: float) -> None:
        """Marks a host that did not answer as suspect."""
        known = address in self.known
        self.suspect_until[address] = now + (SUSPECT_MS if known else SEED_RETRY_MS)

    def heartbeat(self, leaving: bool | None = None, store_ok: bool | None = None) -> Member:
        """Returns the local entry with the counter incremented and the given fields updated."""
        self.local = self.local._replace(
            counter=self.local.counter + 1,
            leaving=self.local.leaving if leaving is None else leaving,
            store_ok=self.local.store_ok if store_ok is None else store_ok,
        )
        return self.local

    def alive(self, now: float) -> list[Member]:
        """Returns the hosts that are neither timed out nor suspect, the local host first."""
        return [self.local] + [
            member
            for address, member in self.known.items()
            if now - self.last_heard_at[address] < MEMBER_TIMEOUT_MS
            and self.suspect_until.get(address, 0.0) <= now
        ]

    def recent(self, now: float) -> list[Member]:
        """Returns the entries to send to other hosts: all not timed out, including suspect ones."""
        return [self.local] + [
            m for a, m in self.known.items() if now - self.last_heard_at[a] < MEMBER_TIMEOUT_MS
        ]

    def owners(self, duty: str, now: float) -> list[str]:
        """Returns the addresses of the hosts for a duty, in order of preference.

        Hosts with the same membership compute the same order. Weak hosts come after strong ones,
        stopping hosts last.
        """
        alive = {member.address: member for member in self.alive(now)}
        min_strength = STRONG_SHARE * max(member.strength for member in alive.values())
        return sorted(
            rendezvous.ranked(duty, alive),
            key=lambda address: (alive[address].leaving, alive[address].strength < min_strength),
        )

    def shared_owners(self, duty: str, count: int, now: float) -> list[str]:
        """Returns an owner for each part of a duty, all different while there are enough hosts.

        >>> members = Members(Member("h0", "z", 1, 0, False, True), [])
        >>> members.merge([Member(f"h{n}", "z", 1, 1, False, True) for n in (1, 2)], 0.0)
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
        alive = {member.address: member for member in self.alive(now)}
        return sorted(
            self.owners(READER_DUTY, now), key=lambda address: not alive[address].store_ok
        )

    def others_reach_store(self, now: float) -> bool:
        """Returns whether another live host reports that it reaches the store."""
        return any(member.store_ok for member in self.alive(now) if member is not self.local)

    def upstream(self, now: float) -> str | None:
        """Returns the host to fetch store updates from; None if the local host is the store reader.

        >>> members = Members(Member("h0", "z", 1, 0, False, True), [])
        >>> members.merge([Member(f"h{n}", "z", 1, 1, False, True) for n in (1, 2)], 0.0)
        >>> reader = members.readers(0.0)[0]
        >>> members.upstream(0.0) == (None if reader == "h0" else reader)
        True
        """
        order = self.readers(now)
        rank = order.index(self.local.address)
        return order[(rank - 1) // SYNC_FAN_OUT] if rank else None

    def unknown_seeds(self, now: float) -> list[str]:
        """Returns the seeds that are neither live members nor suspect."""
        alive = {member.address for member in self.alive(now)}
        return [s for s in self.seeds if s not in alive and self.suspect_until.get(s, 0.0) <= now]
