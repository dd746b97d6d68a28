"""Which hosts are alive, and which of them has which duty."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from savoryfork.util import rendezvous

# A host that nobody has heard of for this long is taken to be gone.
MEMBER_TIMEOUT_MS = 2_500.0

# A host that did not answer is left out for this long, unless it is heard of again.
SUSPECT_MS = 1_000.0

# A seed that never answered is asked again after this: it may be starting as well.
SEED_RETRY_MS = 150.0

# Hosts that take the news of the store from one other host. At 82 hosts the news passes through
# three levels.
SYNC_FAN_OUT = 9

READER_DUTY = "store-reader"

# Hosts with less than this part of the strongest one's strength get a duty only if all stronger
# ones have one: some hosts of the grown sites have half a core and 5 Mbit/s.
STRONG_SHARE = 0.5


class Member(NamedTuple):
    """One host as told by itself; `counter` rises with each telling of one incarnation.

    `strength` tells how much work for others it can do, in cores of ordinary speed.
    """

    address: str
    zone: str
    incarnation: int
    counter: int
    leaving: bool
    store_ok: bool
    strength: float = 1.0


class Members:
    """The hosts that this host has heard of, itself included; addresses are those for peers."""

    def __init__(self, local: Member, seeds: Iterable[str]) -> None:
        self.local = local
        self.seeds = [seed for seed in seeds if seed != local.address]
        self.known: dict[str, Member] = {}
        self.last_heard_at: dict[str, float] = {}
        self.suspect_until: dict[str, float] = {}

    def merge(self, members: Iterable[Member], now: float) -> None:
        """Takes over what others report; only a higher counter is a sign of life."""
        for member in members:
            if member.address == self.local.address:
                continue
            known = self.known.get(member.address)
            rank = (member.incarnation, member.counter)
            if known is None or rank > (known.incarnation, known.counter):
                self.known[member.address] = member
                self.last_heard_at[member.address] = now

    def mark_alive(self, address: str) -> None:
        """Notes that a host answered."""
        self.suspect_until.pop(address, None)

    def mark_suspect(self, address: str, now: float) -> None:
        """Notes that a host did not answer."""
        known = address in self.known
        self.suspect_until[address] = now + (SUSPECT_MS if known else SEED_RETRY_MS)

    def heartbeat(self, leaving: bool | None = None, store_ok: bool | None = None) -> Member:
        """This host's own entry with a higher counter, and with what is given."""
        self.local = self.local._replace(
            counter=self.local.counter + 1,
            leaving=self.local.leaving if leaving is None else leaving,
            store_ok=self.local.store_ok if store_ok is None else store_ok,
        )
        return self.local

    def alive(self, now: float) -> list[Member]:
        """The hosts that are not known to be gone, silent or suspect, this one included."""
        return [self.local] + [
            member
            for address, member in self.known.items()
            if now - self.last_heard_at[address] < MEMBER_TIMEOUT_MS
            and self.suspect_until.get(address, 0.0) <= now
        ]

    def recent(self, now: float) -> list[Member]:
        """All hosts to tell others of."""
        return [self.local] + [
            m for a, m in self.known.items() if now - self.last_heard_at[a] < MEMBER_TIMEOUT_MS
        ]

    def owners(self, duty: str, now: float) -> list[str]:
        """The addresses of the hosts for a duty, in order of preference; every host agrees.

        Weak hosts come after strong ones, hosts that are stopping last.
        """
        alive = {member.address: member for member in self.alive(now)}
        enough = STRONG_SHARE * max(member.strength for member in alive.values())
        return sorted(
            rendezvous.ranked(duty, alive),
            key=lambda address: (alive[address].leaving, alive[address].strength < enough),
        )

    def shared_owners(self, duty: str, count: int, now: float) -> list[str]:
        """The hosts for the parts of a duty, a different one for each part while there are enough.

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
        """The hosts in order of who reads the store, those that the store refuses last."""
        alive = {member.address: member for member in self.alive(now)}
        return sorted(
            self.owners(READER_DUTY, now), key=lambda address: not alive[address].store_ok
        )

    def others_reach_store(self, now: float) -> bool:
        """Whether another host said lately that the store answers it."""
        return any(member.store_ok for member in self.alive(now) if member is not self.local)

    def upstream(self, now: float) -> str | None:
        """The host to take the store's news from; None if this host reads it itself.

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
        """Seeds that this host has not heard of lately and that are not suspect."""
        alive = {member.address for member in self.alive(now)}
        return [s for s in self.seeds if s not in alive and self.suspect_until.get(s, 0.0) <= now]
