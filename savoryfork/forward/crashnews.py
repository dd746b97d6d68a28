"""Entries of the topic of crash reports that hosts tell each other while the store lacks them.

A host writes its reports and clearances to the store, and while that does not take them, tells them
to the other hosts, which pass them on. An entry ends here once the topic has it, as the topic says
when it is deleted, and at the latest after SHARED_MS. Nothing here does I/O.

The load pattern behind the bounds: a crash of an engine loses up to 55 requests, and with reports
from all hosts a request or part is quarantined after two or three crashes.
"""

from __future__ import annotations

import functools
import operator
from typing import NamedTuple

import xxhash

# Entries that a host tells others; beyond it the oldest are dropped. One takes up to 1.5 KB with
# the most parts, some 100 bytes usually.
MAX_SHARED = 256

# Entries in one message. The others follow with the next messages.
MAX_SENT = 64

# Age at which an entry that the store still lacks is dropped. A quarantined request or part is
# probed by then anyway, and a deleted entry that a host returns with can't circulate for longer.
SHARED_MS = 3_600_000.0


class NewsEntry(NamedTuple):
    """An entry that the store lacks; `age_ms` counts from when its author wrote it."""

    key: str
    value: bytes
    age_ms: float


class CrashNews(NamedTuple):
    """The entries in a message between hosts, and the digest of all that the sender has.

    `revision` is, in a reply, that of its sender up to which the entries are complete; in a
    request, the one that its sender last got from the receiver, -1 if none.
    """

    revision: int = -1
    digest: int = 0
    entries: tuple[NewsEntry, ...] = ()


class SharedEntry(NamedTuple):
    """When an entry was written, the order in which this host learned of it, and from whom.

    `told_by` is empty for an entry of this host.
    """

    since: float
    revision: int
    told_by: str


class CrashNewsExchange:
    """Entries to tell other hosts, and what was sent to each and got from it, by its address.

    Nothing is sent to a host that has the same: without the digest, each pair of hosts would
    exchange all entries once, in random exchanges that go on for minutes (63 % more bytes with 50
    entries at 100 hosts).

    Both value and key identify an entry: clearances of one cause have the same key, and hosts that
    took one for newer than the other would replace them in turn without end.

    >>> one, two = CrashNewsExchange(), CrashNewsExchange()
    >>> one.add("report/a", b"value", since=0.0)
    True
    >>> request = two.request_to("h1", 7, now=100.0)
    >>> reply = one.reply_to("h2", request, now=100.0)
    >>> [entry.key for entry in two.merge_reply("h1", 7, reply, now=100.0)]
    ['report/a']
    >>> one.reply_to("h2", two.request_to("h1", 7, now=200.0), now=200.0).entries
    ()
    """

    def __init__(self) -> None:
        # In the order of their revisions.
        self.shared: dict[tuple[str, bytes], SharedEntry] = {}
        self.revision = 0
        # The hash of all entries, None if it is to be computed; and the last one of each host.
        self.known_digest: int | None = 0
        self.digests: dict[str, int] = {}
        # The other host's incarnation, and the revision sent to it or got from it.
        self.sent: dict[str, tuple[int, int]] = {}
        self.received: dict[str, tuple[int, int]] = {}

    def add(self, key: str, value: bytes, since: float, told_by: str = "") -> bool:
        """Adds an entry to tell other hosts; returns False if it is known."""
        if (key, value) in self.shared:
            return False
        self.revision += 1
        self.shared[key, value] = SharedEntry(since, self.revision, told_by)
        self.known_digest = None
        return True

    def discard(self, key: str, value: bytes) -> None:
        """Ends an entry, as the topic has it."""
        self.shared.pop((key, value), None)
        self.known_digest = None

    def expire(self, likely: set[str], now: float) -> list[str]:
        """Drops entries that are too old or too many; returns the keys of which none is left.

        Those with a `likely` key are dropped last, else the oldest go first.
        """
        if not self.shared:
            return []
        former = {key for key, _ in self.shared}
        live = [k for k, entry in self.shared.items() if now - entry.since <= SHARED_MS]
        live.sort(key=lambda k: (k[0] in likely, self.shared[k].since))
        kept = set(live[-MAX_SHARED:])
        self.shared = {k: entry for k, entry in self.shared.items() if k in kept}
        self.known_digest = None
        return sorted(former.difference(key for key, _ in kept))

    def digest(self) -> int:
        """Returns a 31-bit hash of all entries; 0 if there are none. Each message holds it."""
        if self.known_digest is None:
            hashes = (xxhash.xxh3_64_intdigest(f"{key} ".encode() + v) for key, v in self.shared)
            self.known_digest = functools.reduce(operator.xor, hashes, 0) >> 33
        return self.known_digest

    # Messages.

    def unsent(self, revision: int, receiver: str, now: float) -> CrashNews:
        """Returns the entries after a revision that a host has not told itself.

        Without a revision the host has just started, so it may not know what it told before.
        """
        entries: list[NewsEntry] = []
        for (key, value), entry in self.shared.items():
            if entry.revision <= revision or (entry.told_by == receiver and revision >= 0):
                continue
            if len(entries) == MAX_SENT:
                return CrashNews(entry.revision - 1, self.digest(), tuple(entries))
            entries.append(NewsEntry(key, value, max(0.0, round(now - entry.since))))
        return CrashNews(self.revision, self.digest(), tuple(entries))

    def has_unsent(self, request: CrashNews, receiver: str, now: float) -> bool:
        """Returns whether the reply to a host's request would hold entries."""
        return bool(self.reply_to(receiver, request, now).entries)

    def request_to(
        self, address: str, incarnation: int, now: float, *, push: bool = True
    ) -> CrashNews:
        """Returns the news for a request to a host; `record_sent` follows once it is answered.

        Entries are pushed only to the host that this one polls, as what it has was seen just now.
        """
        entries: tuple[NewsEntry, ...] = ()
        if push and self.digests.get(address, self.digest()) != self.digest():
            sent = revision_of(self.sent, address, incarnation)
            entries = self.unsent(sent, address, now).entries
        received = revision_of(self.received, address, incarnation)
        return CrashNews(received, self.digest(), entries)

    def reply_to(self, address: str, request: CrashNews, now: float) -> CrashNews:
        """Returns the news for the reply to a host's request."""
        if request.digest == self.digest():
            return CrashNews(self.revision, request.digest)
        return self.unsent(request.revision, address, now)

    def merge(self, address: str, news: CrashNews, now: float) -> list[NewsEntry]:
        """Records the entries that a host told and returns those that are new here."""
        self.digests[address] = news.digest
        return [
            entry
            for entry in news.entries[:MAX_SENT]
            if entry.value and entry.age_ms <= SHARED_MS
            if self.add(entry.key, entry.value, now - max(0.0, entry.age_ms), address)
        ]

    def merge_reply(
        self, address: str, incarnation: int, reply: CrashNews, now: float
    ) -> list[NewsEntry]:
        """Records a host's reply and returns the entries that are new here."""
        self.received[address] = (incarnation, reply.revision)
        return self.merge(address, reply, now)

    def record_sent(self, address: str, incarnation: int, news: CrashNews) -> None:
        """Records that a host has answered a request with these entries."""
        keys = [(entry.key, entry.value) for entry in news.entries]
        revisions = [self.shared[key].revision for key in keys if key in self.shared]
        last = revision_of(self.sent, address, incarnation)
        self.sent[address] = (incarnation, max([last, *revisions]))

    def retain(self, addresses: set[str]) -> None:
        """Drops what was exchanged with all hosts but the given ones."""
        self.sent = {a: v for a, v in self.sent.items() if a in addresses}
        self.received = {a: v for a, v in self.received.items() if a in addresses}
        self.digests = {a: v for a, v in self.digests.items() if a in addresses}


def revision_of(revisions: dict[str, tuple[int, int]], address: str, incarnation: int) -> int:
    """Returns the revision exchanged with a host's incarnation; -1 if none was."""
    known, revision = revisions.get(address, (incarnation, -1))
    return revision if known == incarnation else -1
