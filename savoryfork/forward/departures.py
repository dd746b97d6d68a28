"""Which incarnations of targets are leaving, by whom this is known, and what other hosts are told.

A target that leaves says so in its entry in the store and in its answers. Either makes it leaving
for good: an entry that still says ready is older, or was written by another host from older
knowledge. Only another incarnation (another start, id or address) gets work again. Hosts tell each
other what answers said, as it may be seconds ahead of the store, and some targets never write that
they leave. What the store says reaches all hosts with its topic and is not told again.

The load pattern behind the bounds: services have tens of targets, and replacing all of them, one
after the other, makes as many marks as there are targets.
"""

from __future__ import annotations

import enum
from collections import Counter
from typing import NamedTuple

from savoryfork.forward.model import Target

# Marks of targets without an entry are kept up to this number; the oldest ones are dropped first. A
# mark takes some 400 bytes. Marks of registered targets are never dropped.
MAX_UNREGISTERED_MARKS = 1_024

# Marks in one message, some 60 bytes each. The others follow with the next messages.
MAX_MARKS_SENT = 32

# Hosts tell each other of a mark for this long. All hosts of the tree have it within three long
# polls (1.2 s at 300 hosts); by the end of this time the target has left the store's list, too.
SHARED_MS = 10_000.0


class Source(enum.Enum):
    """How this host learned that a target is leaving."""

    STORE = "store"
    ANSWER = "answer"
    PEER = "peer"


class Incarnation(NamedTuple):
    """Identifies one start of a target."""

    name: str
    start_unix_ms: int
    address: str


class Departure(NamedTuple):
    """The belief that an incarnation is leaving.

    `since` is when a target or the store first said so, `revision` orders the marks of this host,
    and `told_by` is the address of the host that reported it, empty if none did.
    """

    incarnation: Incarnation
    source: Source
    since: float
    revision: int
    told_by: str = ""


class Mark(NamedTuple):
    """A departure as hosts report it to each other; `age_ms` counts from the target's answer."""

    name: str
    start_unix_ms: int
    address: str
    age_ms: float


class DepartureNews(NamedTuple):
    """The marks in a message between hosts.

    `revision` is, in a reply, that of its sender up to which the marks are complete; in a request,
    the one that its sender last got from the receiver, -1 if none.
    """

    revision: int = -1
    marks: tuple[Mark, ...] = ()


def incarnation_of(target: Target) -> Incarnation:
    """Returns the key of a target's incarnation."""
    return Incarnation(target.name, target.start_unix_ms, target.address)


class Departures:
    """The leaving incarnations known to this host; `added` counts them by their first source.

    >>> target = Target("t", "s", "10.0.0.1:80", "z", 1, 4, False)
    >>> departures = Departures()
    >>> departures.add(incarnation_of(target), Source.ANSWER, 0.0)
    True
    >>> departures.add(incarnation_of(target), Source.STORE, 5.0)
    False
    >>> departures.is_leaving(target), departures.is_leaving(target._replace(start_unix_ms=2))
    (True, False)
    """

    def __init__(self) -> None:
        # In the order of their revisions.
        self.known: dict[Incarnation, Departure] = {}
        self.revision = 0
        self.added: Counter[Source] = Counter()

    def is_leaving(self, target: Target) -> bool:
        """Returns whether this incarnation of a target is leaving."""
        return incarnation_of(target) in self.known

    def find(self, target: Target) -> Departure | None:
        """Returns what is known of the departure of a target; None if it is not leaving."""
        return self.known.get(incarnation_of(target))

    def add(
        self, incarnation: Incarnation, source: Source, since: float, told_by: str = ""
    ) -> bool:
        """Records that an incarnation is leaving; returns False if that was known.

        The first source is kept: it is the one that took the target out of use.
        """
        if incarnation in self.known:
            return False
        self.revision += 1
        self.added[source] += 1
        self.known[incarnation] = Departure(incarnation, source, since, self.revision, told_by)
        return True

    def retain(self, registered: set[Incarnation]) -> None:
        """Drops the oldest marks of targets that are not registered, beyond the bound."""
        others = [incarnation for incarnation in self.known if incarnation not in registered]
        for incarnation in others[: max(0, len(others) - MAX_UNREGISTERED_MARKS)]:
            del self.known[incarnation]


class DepartureExchange:
    """Marks that this host has sent to others and got from them, by their addresses.

    Each message holds what the other host has not been told yet. A mark is not sent to the host
    that reported it.

    >>> one, two = Departures(), Departures()
    >>> one.add(Incarnation("t", 1, "10.0.0.1:80"), Source.ANSWER, 0.0)
    True
    >>> first, second = DepartureExchange(one), DepartureExchange(two)
    >>> request = second.request_to("h1", 7, now=100.0)
    >>> reply = first.reply_to("h2", request, now=100.0)
    >>> [incarnation.name for incarnation in second.merge_reply("h1", 7, reply, now=100.0)]
    ['t']
    >>> second.request_to("h1", 7, now=200.0).revision
    1
    >>> first.reply_to("h2", second.request_to("h1", 7, now=200.0), now=200.0).marks
    ()
    """

    def __init__(self, departures: Departures) -> None:
        self.departures = departures
        # The other host's incarnation, and the revision sent to it or got from it.
        self.sent: dict[str, tuple[int, int]] = {}
        self.received: dict[str, tuple[int, int]] = {}

    def unsent(self, revision: int, receiver: str, now: float) -> DepartureNews:
        """Returns the marks after a revision that a host has not reported itself.

        Without a revision the host has just started, so it may not know what it reported before.
        """
        marks: list[Mark] = []
        for departure in self.departures.known.values():
            if departure.revision <= revision:
                continue
            if departure.source is Source.STORE:
                continue
            if departure.told_by == receiver and revision >= 0:
                continue
            if now - departure.since > SHARED_MS:
                continue
            if len(marks) == MAX_MARKS_SENT:
                return DepartureNews(departure.revision - 1, tuple(marks))
            age_ms = max(0.0, now - departure.since)
            marks.append(Mark(*departure.incarnation, round(age_ms)))
        return DepartureNews(self.departures.revision, tuple(marks))

    def has_unsent(self, revision: int, receiver: str, now: float) -> bool:
        """Returns whether there are marks after a revision to tell a host."""
        return revision < self.departures.revision and bool(
            self.unsent(revision, receiver, now).marks
        )

    def request_to(self, address: str, incarnation: int, now: float) -> DepartureNews:
        """Returns the news for a request to a host; `record_sent` follows once it is answered."""
        return DepartureNews(
            revision_of(self.received, address, incarnation),
            self.unsent(revision_of(self.sent, address, incarnation), address, now).marks,
        )

    def reply_to(self, address: str, request: DepartureNews, now: float) -> DepartureNews:
        """Returns the news for the reply to a host's request."""
        return self.unsent(request.revision, address, now)

    def merge(self, address: str, news: DepartureNews, now: float) -> list[Incarnation]:
        """Records the marks that a host reported and returns those that are new here."""
        return [
            incarnation
            for name, start_unix_ms, target_address, age_ms in news.marks[:MAX_MARKS_SENT]
            if self.departures.add(
                incarnation := Incarnation(name, start_unix_ms, target_address),
                Source.PEER,
                now - max(0.0, age_ms),
                address,
            )
        ]

    def merge_reply(
        self, address: str, incarnation: int, reply: DepartureNews, now: float
    ) -> list[Incarnation]:
        """Records a host's reply and returns the marks that are new here."""
        self.received[address] = (incarnation, reply.revision)
        return self.merge(address, reply, now)

    def record_sent(self, address: str, incarnation: int, news: DepartureNews) -> None:
        """Records that a host has answered a request with these marks."""
        last = revision_of(self.sent, address, incarnation)
        sent = {Incarnation(*mark[:3]) for mark in news.marks}
        known = self.departures.known
        revisions = [known[key].revision for key in sent if key in known]
        self.sent[address] = (incarnation, max([last, *revisions]))

    def retain(self, addresses: set[str]) -> None:
        """Drops what was exchanged with all hosts but the given ones."""
        self.sent = {a: v for a, v in self.sent.items() if a in addresses}
        self.received = {a: v for a, v in self.received.items() if a in addresses}


def revision_of(revisions: dict[str, tuple[int, int]], address: str, incarnation: int) -> int:
    """Returns the revision exchanged with a host's incarnation; -1 if none was."""
    known, revision = revisions.get(address, (incarnation, -1))
    return revision if known == incarnation else -1
