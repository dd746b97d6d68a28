"""Model check of what two hosts believe of targets, by the store, answers and each other.

Guards against an order of entries, older copies, answers, messages, lost replies, freezes and
restarts after which a leaving target gets work, a sound one gets none, or a push-back ends too
early.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from savoryfork.forward.departures import (
    SHARED_MS,
    DepartureExchange,
    Incarnation,
    Source,
    incarnation_of,
)
from savoryfork.forward.knowledge import Entry, TopicTable
from savoryfork.forward.model import Target
from savoryfork.forward.registry import Registry
from savoryfork.platform.records import decode_target
from tests.forward.test_registry import value

NAMES = st.sampled_from(["t0", "t1", "t2"])
HOSTS = st.sampled_from([0, 1])


class ModelHost:
    """One process of a host: its copy of the store, its beliefs, and what it must believe.

    `left` are the incarnations that it has been told are leaving, `closed` until when each
    incarnation wants nothing.
    """

    def __init__(self, process: int) -> None:
        self.process = process
        self.table = TopicTable()
        self.registry = Registry(decode_target)
        self.exchange = DepartureExchange(self.registry.departures)
        self.left: set[Incarnation] = set()
        self.closed: dict[Incarnation, float] = {}

    def read(self, entries: list[Entry], next_offset: int, now: float) -> None:
        """Applies entries of the store, which may be older than those that are known."""
        new = self.table.apply(entries, next_offset)
        self.registry.update(new, now)
        for entry in new:
            target = decode_target(entry.key, entry.value) if entry.value else None
            if target is not None and target.leaving:
                self.left.add(incarnation_of(target))

    def target(self, name: str) -> Target | None:
        return self.registry.targets.get(name)


class Beliefs(RuleBasedStateMachine):
    """The store, two hosts that read it late and tell each other, and targets that come and go."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.log: list[Entry] = []
        self.born = dict.fromkeys(("t0", "t1", "t2"), 0)
        self.hosts = [ModelHost(1), ModelHost(1)]

    def write(self, name: str, state: str | None) -> None:
        address = f"10.0.0.{name[1:]}:80"
        row = value(address, state, self.born[name]) if state is not None else b""
        self.log.append(Entry(len(self.log), name, row))

    @rule(name=NAMES)
    def start_incarnation(self, name: str) -> None:
        self.born[name] += 1
        self.write(name, "ready")

    @rule(name=NAMES, state=st.sampled_from(["ready", "draining"]))
    def write_entry(self, name: str, state: str) -> None:
        """A target writes its entry, or another writer an entry from older knowledge."""
        if self.born[name] and self.log_state(name) is not None:
            self.write(name, state)

    @rule(name=NAMES)
    def remove_entry(self, name: str) -> None:
        if self.log_state(name) is not None:
            self.write(name, None)

    def log_state(self, name: str) -> bytes | None:
        found = [entry.value for entry in self.log if entry.key == name]
        return (found[-1] or None) if found else None

    @rule(host=HOSTS)
    def read_store(self, host: int) -> None:
        self.hosts[host].read(self.log, len(self.log), self.now)

    @precondition(lambda self: self.log)
    @rule(host=HOSTS, data=st.data())
    def read_older_copy(self, host: int, data: st.DataObject) -> None:
        end = data.draw(st.integers(0, len(self.log)))
        self.hosts[host].read(self.log[:end], end, self.now)

    @rule(host=HOSTS, name=NAMES)
    def answer_with_mark(self, host: int, name: str) -> None:
        found = self.hosts[host]
        target = found.target(name)
        if target is not None:
            found.registry.mark_leaving(target, Source.ANSWER, self.now)
            found.left.add(incarnation_of(target))

    @rule(host=HOSTS, name=NAMES, seconds=st.floats(0.1, 5.0))
    def push_back(self, host: int, name: str, seconds: float) -> None:
        found = self.hosts[host]
        target = found.target(name)
        if target is not None:
            found.registry.push_backs.record(target, seconds, self.now)
            key = incarnation_of(target)
            until = self.now + seconds * 1000
            found.closed[key] = max(found.closed.get(key, 0.0), until)

    @rule(host=HOSTS, name=NAMES)
    def accept(self, host: int, name: str) -> None:
        found = self.hosts[host]
        target = found.target(name)
        if target is not None:
            found.registry.push_backs.record_accepted(target, self.now)

    @rule(asking=HOSTS, lost=st.booleans())
    def exchange(self, asking: int, lost: bool) -> None:
        """A host calls the other one; its reply may get lost."""
        one, two = self.hosts[asking], self.hosts[1 - asking]
        address, other = f"h{asking}", f"h{1 - asking}"
        request = one.exchange.request_to(other, two.process, self.now)
        two.left.update(two.exchange.merge(address, request, self.now))
        two.registry.reindex()
        if lost:
            return
        reply = two.exchange.reply_to(address, request, self.now)
        one.exchange.record_sent(other, two.process, request)
        one.left.update(one.exchange.merge_reply(other, two.process, reply, self.now))
        one.registry.reindex()
        told = [
            departure.incarnation
            for host in self.hosts
            for departure in host.registry.departures.known.values()
            if departure.source is not Source.STORE and self.now - departure.since <= SHARED_MS
        ]
        assert all(key in host.registry.departures.known for key in told for host in self.hosts)

    @rule(seconds=st.floats(0.0, 8.0))
    def pass_time(self, seconds: float) -> None:
        """Time passes; a host that was frozen meanwhile has seen nothing of it."""
        self.now += seconds * 1000
        for host in self.hosts:
            host.registry.push_backs.expire(self.now)
            registered = set(map(incarnation_of, host.registry.targets.values()))
            host.registry.departures.retain(registered)

    @rule(host=HOSTS)
    def restart_host(self, host: int) -> None:
        self.hosts[host] = ModelHost(self.hosts[host].process + 1)

    @invariant()
    def leaving_targets_get_no_work(self) -> None:
        for host in self.hosts:
            usable = {incarnation_of(t) for t in host.registry.usable("s")}
            assert not usable & host.left
            for target in host.registry.targets.values():
                if incarnation_of(target) in host.left:
                    assert not host.registry.is_current(target)

    @invariant()
    def targets_are_those_of_the_newest_entries(self) -> None:
        for host in self.hosts:
            found = {key for key, entry in host.table.entries.items() if entry.value}
            assert set(host.registry.targets) == found

    @invariant()
    def all_others_get_work(self) -> None:
        for host in self.hosts:
            usable = {incarnation_of(t) for t in host.registry.usable("s")}
            registered = set(map(incarnation_of, host.registry.targets.values()))
            assert usable == registered - host.left

    @invariant()
    def targets_that_push_back_get_nothing(self) -> None:
        for host in self.hosts:
            for target in host.registry.targets.values():
                closed = host.closed.get(incarnation_of(target), 0.0) > self.now
                assert host.registry.push_backs.is_open(target, 0, self.now) != closed


TestBeliefs = Beliefs.TestCase
TestBeliefs.settings = settings(
    derandomize=True, max_examples=120, stateful_step_count=40, deadline=None
)
