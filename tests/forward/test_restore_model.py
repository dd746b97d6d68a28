"""Random histories of a store that is restored, and of hosts that follow it and each other."""

from __future__ import annotations

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, initialize, invariant, rule

from savoryfork.forward.knowledge import Entry, TopicTable
from savoryfork.forward.registry import LAPSE_GRACE_MS, Registry
from savoryfork.forward.sequenced import SequencedTable
from savoryfork.forward.topics import CONFIGURATION_KEY, Topic
from savoryfork.platform.records import decode_target
from savoryfork.platform.store import normalize_entries

HOSTS = 3
TARGETS = ("t0", "t1", "t2")
BORN = 1_700_000_000_000


class Log:
    """A topic's records in the current era."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []

    def put(self, key: str, value: bytes) -> None:
        self.records.append((key, value))

    def entries(self, topic: Topic, start: int, era: int) -> list[Entry]:
        found = [Entry(n, k, v) for n, (k, v) in enumerate(self.records)][start:]
        return normalize_entries(topic, found, era, records=True)

    def newest(self, topic: Topic, era: int) -> list[Entry]:
        newest = {k: Entry(n, k, v) for n, (k, v) in enumerate(self.records)}
        live = [entry for entry in newest.values() if entry.value]
        return normalize_entries(topic, live, era, records=False)


class Target:
    """A target as it is; it writes its entry itself."""

    def __init__(self) -> None:
        self.born = BORN
        self.sequence = 0
        self.state = "ready"

    def value(self) -> bytes:
        row = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 1}
        return msgspec.json.encode(
            {**row, "born": self.born, "sequence": self.sequence, "state": self.state}
        )


class Host:
    """The tables and the registry of a host."""

    def __init__(self) -> None:
        self.config = TopicTable(ordered=frozenset({CONFIGURATION_KEY}), keeps_missing=True)
        self.targets = SequencedTable()
        self.registry = Registry(decode_target)
        self.version = -1
        # Incarnations that this host has seen leaving.
        self.left: set[tuple[str, int]] = set()

    def apply_config(self, entries: list[Entry]) -> None:
        for entry in entries:
            if entry.value:
                self.version = max(self.version, msgspec.json.decode(entry.value)["version"])

    def apply_targets(self, entries: list[Entry], now: float, restored: bool) -> None:
        self.registry.update(entries, now, restored)
        for target in self.registry.targets.values():
            if target.leaving:
                self.left.add((target.name, target.start_unix_ms))


class RestoredStore(RuleBasedStateMachine):
    """Guards against hosts that go back, or never agree again, after a store was restored."""

    copies = Bundle("copies")

    @initialize()
    def start(self) -> None:
        self.now = 1_000.0
        self.era = 1
        self.logs = {topic: Log() for topic in (Topic.CONFIGURATION, Topic.TARGETS)}
        self.version = 0
        self.alive = {name: Target() for name in TARGETS}
        self.hosts = [Host() for _ in range(HOSTS)]
        self.seen_versions = [-1] * HOSTS
        self.change_config()
        for name in TARGETS:
            self.beat(name)

    # Writers.

    @rule()
    def change_config(self) -> None:
        self.version += 1
        value = msgspec.json.encode({"version": self.version})
        self.logs[Topic.CONFIGURATION].put("config", value)

    @rule(name=st.sampled_from(TARGETS))
    def beat(self, name: str) -> None:
        target = self.alive.get(name)
        if target is not None:
            target.sequence += 1
            self.logs[Topic.TARGETS].put(name, target.value())

    @rule(name=st.sampled_from(TARGETS))
    def leave(self, name: str) -> None:
        if name in self.alive:
            self.alive[name].state = "draining"
            self.beat(name)

    @rule(name=st.sampled_from(TARGETS))
    def end(self, name: str) -> None:
        if self.alive.pop(name, None) is not None:
            self.logs[Topic.TARGETS].put(name, b"")

    @rule(name=st.sampled_from(TARGETS))
    def start_again(self, name: str) -> None:
        if name not in self.alive:
            self.now += 10.0
            self.alive[name] = Target()
            self.alive[name].born = BORN + round(self.now)
            self.beat(name)

    # The store.

    @rule(target=copies)
    def copy(self) -> dict[Topic, list[tuple[str, bytes]]]:
        return {topic: list(log.records) for topic, log in self.logs.items()}

    @rule(copied=copies)
    def restore(self, copied: dict[Topic, list[tuple[str, bytes]]]) -> None:
        self.era += 1
        for topic, records in copied.items():
            self.logs[topic].records = list(records)

    # Hosts.

    @rule(number=st.integers(0, HOSTS - 1))
    def read(self, number: int) -> None:
        self.now += 10.0
        host = self.hosts[number]
        for topic, log in self.logs.items():
            table = host.config if topic is Topic.CONFIGURATION else host.targets
            end = len(log.records)
            first = table.next_offset < 0
            restored = not first and table.era != self.era
            if first or restored:
                new = table.start_era(self.era, log.newest(topic, self.era), end, self.now)
            else:
                records = log.entries(topic, table.next_offset, self.era)
                new = table.apply_records(records, end, self.now)
            table.confirm_read(self.now)
            self.apply(host, topic, new, restored)

    @rule(number=st.integers(0, HOSTS - 1), other=st.integers(0, HOSTS - 1))
    def sync(self, number: int, other: int) -> None:
        self.now += 10.0
        host, peer = self.hosts[number], self.hosts[other]
        pairs = [
            (Topic.CONFIGURATION, host.config, peer.config),
            (Topic.TARGETS, host.targets, peer.targets),
        ]
        for topic, table, source in pairs:
            update = source.changes_since(table.position(), self.now)
            changes = table.merge_update(update, self.now, self.now)
            self.apply(host, topic, changes.entries, changes.restored)

    def apply(self, host: Host, topic: Topic, new: list[Entry], restored: bool) -> None:
        if topic is Topic.CONFIGURATION:
            host.apply_config(new)
        else:
            host.apply_targets(new, self.now, restored)

    @rule(number=st.integers(0, HOSTS - 1))
    def restart(self, number: int) -> None:
        self.hosts[number] = Host()
        self.seen_versions[number] = -1

    @rule(readers=st.sampled_from([(0,), (1,), (2,), (0, 1, 2)]))
    def settle(self, readers: tuple[int, ...]) -> None:
        """Writers write again, and the grace period of lapsed entries ends.

        Some hosts read and the others only follow the first of them. The store deletes the entries
        of targets that have ended only if it has them.
        """
        self.logs[Topic.CONFIGURATION].put("config", msgspec.json.encode({"version": self.version}))
        log = self.logs[Topic.TARGETS]
        held = dict(log.records)
        for name in TARGETS:
            if name in self.alive:
                self.beat(name)
            elif held.get(name):
                log.put(name, b"")
        for number in readers:
            self.read(number)
        for number in range(HOSTS):
            if number not in readers:
                self.sync(number, readers[0])
        self.now += LAPSE_GRACE_MS + 1.0
        for host in self.hosts:
            host.registry.expire(self.now)
            assert host.version == self.version
            found = {
                name: (target.start_unix_ms, target.leaving)
                for name, target in host.registry.targets.items()
            }
            assert found == {n: (t.born, t.state == "draining") for n, t in self.alive.items()}
            assert not host.config.kept_keys and not host.targets.kept_keys

    # Promises.

    @invariant()
    def versions_never_go_back(self) -> None:
        for number, host in enumerate(getattr(self, "hosts", [])):
            table = host.config.entries.get("config")
            held = msgspec.json.decode(table.value)["version"] if table else -1
            assert held == host.version >= self.seen_versions[number]
            self.seen_versions[number] = host.version

    @invariant()
    def targets_that_leave_never_return(self) -> None:
        for host in getattr(self, "hosts", []):
            for target in host.registry.usable("s"):
                assert (target.name, target.start_unix_ms) not in host.left

    @invariant()
    def only_the_newest_version_is_trusted(self) -> None:
        for host in getattr(self, "hosts", []):
            if host.config.kept_keys:
                # The store can't show that a version is the newest that it does not have.
                assert host.config.trusted_at <= host.config.era_since


TestRestoredStore = RestoredStore.TestCase
TestRestoredStore.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
