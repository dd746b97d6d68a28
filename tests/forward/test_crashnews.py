"""Crash reports that hosts tell each other are bounded, told once, and end."""

from __future__ import annotations

import itertools
import random

from savoryfork.forward.crashnews import (
    MAX_SENT,
    MAX_SHARED,
    SHARED_MS,
    CrashNews,
    CrashNewsExchange,
    NewsEntry,
)


def poll(one: CrashNewsExchange, two: CrashNewsExchange, now: float = 0.0) -> int:
    """Lets host two poll host one; returns how many entries were sent in both directions."""
    request = two.request_to("h1", 1, now)
    one.merge("h2", request, now)
    reply = one.reply_to("h2", request, now)
    two.record_sent("h1", 1, request)
    two.merge_reply("h1", 1, reply, now)
    return len(request.entries) + len(reply.entries)


def add(exchange: CrashNewsExchange, count: int, since: float = 0.0) -> None:
    """Adds reports to a host."""
    for number in range(count):
        exchange.add(f"report/{number}", b"value", since)


class TestMessages:
    def test_many_entries_arrive_in_several_messages(self):
        """Guards against messages without bound, and against entries that go with each of them.

        The first push may return entries to the host that told them, as it may have restarted.
        """
        one, two = CrashNewsExchange(), CrashNewsExchange()
        add(one, 3 * MAX_SENT)
        sent = [poll(one, two) for _ in range(5)]
        assert max(sent) <= 2 * MAX_SENT and sum(sent) <= 4 * MAX_SENT and sent[3:] == [0, 0]
        assert one.digest() == two.digest() != 0

    def test_entries_go_up_too(self):
        """Guards against reports that never leave a host that nobody polls."""
        one, two = CrashNewsExchange(), CrashNewsExchange()
        poll(one, two)
        add(two, 3)
        poll(one, two)
        assert one.shared.keys() == two.shared.keys()
        assert poll(one, two) == 0

    def test_clearances_of_one_cause_do_not_replace_each_other_without_end(self):
        """Guards against hosts that take each other's value for the newer one in turn."""
        one, two = CrashNewsExchange(), CrashNewsExchange()
        one.add("clear/5", b"[5,[1]]", 0.0)
        two.add("clear/5", b"[5,[2]]", 0.0)
        assert sum(poll(one, two) for _ in range(4)) <= 3
        assert poll(one, two) == 0 and len(one.shared) == len(two.shared) == 2

    def test_host_that_starts_again_gets_all(self):
        """Guards against a host that is taken to know what its former process knew."""
        one = CrashNewsExchange()
        add(one, 3)
        for _ in range(2):
            assert poll(one, CrashNewsExchange()) == 3

    def test_deletions_and_old_entries_of_other_hosts_are_ignored(self):
        """Guards against news that deletes reports, and against news that circulates for ever."""
        exchange = CrashNewsExchange()
        odd = (NewsEntry("report/1", b"", 0.0), NewsEntry("report/2", b"v", SHARED_MS + 1.0))
        assert not exchange.merge("h2", CrashNews(2, 1, odd), 0.0) and not exchange.shared


class TestBounds:
    def test_an_entry_does_not_get_younger_on_its_way(self):
        """Guards against entries that hosts renew among themselves."""
        hosts = [CrashNewsExchange() for _ in range(4)]
        add(hosts[0], 1)
        for number, (one, two) in enumerate(itertools.pairwise(hosts), 1):
            poll(one, two, number * SHARED_MS / 4)
        for host in hosts:
            assert host.expire(set(), SHARED_MS) == []
            assert host.expire(set(), SHARED_MS + 1.0) == ["report/0"]
            assert host.digest() == 0

    def test_likely_causes_are_dropped_last(self):
        """Guards against bystanders of many crashes that drop the report of the cause."""
        exchange = CrashNewsExchange()
        add(exchange, 2 * MAX_SHARED)
        dropped = exchange.expire({"report/0"}, 0.0)
        assert len(dropped) == len(exchange.shared) == MAX_SHARED
        assert ("report/0", b"value") in exchange.shared

    def test_hosts_agree_whatever_the_order_of_polls(self):
        """Guards against hosts with the same entries that take themselves for different."""
        rng = random.Random(1)
        one, two = CrashNewsExchange(), CrashNewsExchange()
        for number in range(200):
            rng.choice([one, two]).add(f"report/{number % 60}", b"%d" % (number % 7), 0.0)
            if rng.random() < 0.3:
                poll(one, two)
        for _ in range(4):
            poll(one, two)
        assert one.shared.keys() == two.shared.keys() and one.digest() == two.digest()
