"""Entries of the store that another writer left, or that can't be read, on running hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from savoryfork.forward.loads import add, encode_loads
from savoryfork.forward.model import Target
from savoryfork.platform.wire import PlatformWire
from savoryfork.util.supervise import skip_failing
from tests.forward.deployment import Deployment, until

GOOD = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "z",
    "version": "v1",
    "state": "ready",
    "slots": 4,
    "born": 1_700_000_000_000,
}


def entry(**changes: object) -> bytes:
    """Returns the bytes of a good entry with some fields changed."""
    return msgspec.json.encode({**GOOD, **changes})


def with_text(field: str, text: bytes) -> bytes:
    """Returns an entry with the JSON text of one field; the others are good."""
    return msgspec.json.encode({**GOOD, field: "HERE"}).replace(b'"HERE"', text)


def without(field: str) -> bytes:
    """Returns a good entry without one field."""
    return msgspec.json.encode({k: v for k, v in GOOD.items() if k != field})


ODD_ENTRIES = {
    "nested arrays": b"[" * 100_000 + b"]" * 100_000,
    "unclosed arrays": b"[" * 100_000,
    "nested objects": b'{"a":' * 50_000 + b"1" + b"}" * 50_000,
    "nested field": with_text("zone", b"[" * 100_000 + b"]" * 100_000),
    "nested unknown field": with_text("extra", b"[" * 100_000 + b"]" * 100_000),
    "slots of 4,000 digits": with_text("slots", b"1" * 4_000),
    "slots of 5,000 digits": with_text("slots", b"1" * 5_000),
    "slots 10^23": with_text("slots", b"1" + b"0" * 23),
    "slots 2^64": entry(slots=2**64 - 1),
    "slots 1e999": with_text("slots", b"1e999"),
    "slots a fraction": entry(slots=1.5),
    "slots true": entry(slots=True),
    "slots zero": entry(slots=0),
    "slots negative": entry(slots=-4),
    "slots a string": entry(slots="4"),
    "slots missing": without("slots"),
    "born 10^23": with_text("born", b"1" + b"0" * 23),
    "born negative": entry(born=-1),
    "born a string": entry(born="1"),
    "port 70000": entry(address="127.0.0.1:70000"),
    "port 0": entry(address="127.0.0.1:0"),
    "port with a sign": entry(address="127.0.0.1:+80"),
    "port with an underscore": entry(address="127.0.0.1:8_0"),
    "port with a space": entry(address="127.0.0.1: 80"),
    "port of 4,000 digits": entry(address="127.0.0.1:" + "0" * 3_990 + "80"),
    "full-width port": entry(address="127.0.0.1:\uff18\uff10"),
    "address 999.0.0.1": entry(address="999.0.0.1:80"),
    "address with a leading zero": entry(address="127.0.0.01:80"),
    "address a name": entry(address="example:80"),
    "address without a port": entry(address="127.0.0.1"),
    "address a number": entry(address=80),
    "address missing": without("address"),
    "zone missing": without("zone"),
    "zone a list": entry(zone=["z"]),
    "zone with a line break": entry(zone="z\r\nX: y"),
    "service missing": without("service"),
    "service empty": entry(service=""),
    "service a huge string": entry(service="s" * 50_000),
    "state unknown": entry(state="asleep"),
    "state missing": without("state"),
    "state a list": entry(state=["ready"]),
    "version a number": entry(version=1),
    "lone surrogate": with_text("zone", b'"\\ud800"'),
    "not UTF-8": with_text("zone", b'"\xff\xfe"'),
    "larger than any entry": with_text("extra", b'"' + b"x" * 200_000 + b'"'),
    "nested within the size of an entry": with_text("extra", b"[" * 20_000 + b"]" * 20_000),
    "NaN": with_text("slots", b"NaN"),
    "null": b"null",
    "a string": b'"ready"',
    "bytes": bytes(range(256)),
}

# Longest time for a change of the list to reach every host, by the bound on leaving targets.
FOLLOWED_S = 2.0


class TestOddEntriesOfTargets:
    """Guards against one entry that ends every host that reads it, or that stops its list."""

    async def test_hosts_follow_the_list_beside_odd_entries(self):
        async with Deployment(hosts=3) as deployment:
            for name, value in ODD_ENTRIES.items():
                deployment.store.put_bytes("keyed.servers", name, value)
            late = await deployment.add_replica("plain", "plain-late")
            deployment.register("plain", deployment.replicas["plain"][0], "draining")
            for number in range(3):
                await check_follows(deployment, number, "plain-late")
            deployment.store.put("keyed.servers", late.name, None)
            for host in deployment.hosts:
                targets = host.follower.registry.targets
                await until(lambda targets=targets: "plain-late" not in targets, FOLLOWED_S)

    async def test_a_host_starts_beside_odd_entries(self):
        async with Deployment(hosts=3) as deployment:
            for name, value in ODD_ENTRIES.items():
                deployment.store.put_bytes("keyed.servers", name, value)
            seeds = tuple(host.settings.peer_address for host in deployment.hosts)
            new = await deployment.start_host(0, (deployment.ports.address(), *seeds))
            await until(lambda: new.unready_reason() is None)
            await deployment.add_replica("plain", "plain-late")
            for number in range(4):
                await check_follows(deployment, number, "plain-late")

    async def test_an_odd_entry_of_a_known_name_takes_the_target_out_of_use(self):
        async with Deployment() as deployment:
            registry = deployment.hosts[0].follower.registry
            value = ODD_ENTRIES["nested arrays"]
            deployment.store.put_bytes("keyed.servers", "plain-0", value)
            await until(lambda: [t.name for t in registry.usable("plain")] == ["plain-1"])
            deployment.register("plain", deployment.replicas["plain"][0])
            await until(lambda: len(registry.usable("plain")) == 2)


async def check_follows(deployment: Deployment, number: int, newest: str) -> None:
    """Checks that a host has the newest target, uses no odd entry, still serves and runs."""
    host = deployment.hosts[number]
    targets = host.follower.registry.targets
    await until(lambda: newest in targets or host.stopped.is_set(), FOLLOWED_S)
    assert not host.stopped.is_set()
    assert newest in targets and set(targets).isdisjoint(ODD_ENTRIES)
    assert (await deployment.call("/view/x", host=number))[0] == 200
    assert not any(task.done() and task is not host.followers[-1] for task in host.followers)
    await asyncio.sleep(0)


class TestOddHeaders:
    """Guards against one request of a caller that ends the hosts."""

    @pytest.mark.parametrize("tokens", ["1" + "0" * 23, "1" * 400, "1" * 5_000])
    async def test_hosts_outlive_a_prompt_of_any_size(self, tokens):
        """The load of a prompt of 10^23 tokens fitted into no message between hosts."""
        async with Deployment(hosts=3) as deployment:
            for replica in deployment.replicas["engine"]:
                replica.delay_s = 0.6
            headers = {"Token_Usage": f"{tokens},6", "Prefix_Hash": f"aa:{tokens}", "Model": "m"}
            calls = [deployment.call("/ask/x", host=n, **headers) for n in range(3)]
            statuses = [status for status, _, _ in await asyncio.gather(*calls)]
            assert statuses == [200, 200, 200]
            assert not any(host.stopped.is_set() for host in deployment.hosts)
            await deployment.add_replica("plain", "plain-late")
            for number in range(3):
                await check_follows(deployment, number, "plain-late")


def test_loads_of_any_size_fit_into_a_message():
    """Guards against a load that can't be sent to other hosts."""
    loads = encode_loads({"e": (1e30, 10**30)})
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(add([loads] * 400)))


class TestFailingTasks:
    """Guards against an exception in a task of a host that ends the host, or its updates."""

    @pytest.mark.parametrize("method", ["read", "sync", "apply_entries"])
    async def test_host_goes_on_after_an_exception(self, method, monkeypatch, caplog):
        async with Deployment(hosts=2) as deployment:
            for host in deployment.hosts:
                await until(lambda host=host: host.follower.joined.is_set())
                broken = FailsAtFirst(getattr(host.follower, method), 3)
                monkeypatch.setattr(host.follower, method, broken)
            calls = deployment.store.calls
            deployment.register("plain", deployment.replicas["plain"][1], "draining")
            await asyncio.sleep(2.5)
            await deployment.add_replica("plain", "plain-late")
            for number in range(2):
                await check_follows(deployment, number, "plain-late")
            # Reads that fail may not be more frequent than those that succeed.
            assert deployment.store.calls - calls < 40
        failed = [r.msg for r in caplog.records if r.msg["event"] == "task_failed"]
        assert 0 < len(failed) <= 8

    async def test_an_entry_whose_decoding_fails_leaves_the_others(self, monkeypatch):
        async with Deployment() as deployment:
            registry = deployment.hosts[0].follower.registry
            decode = PlatformWire.decode_target

            def fail(name: str, value: bytes) -> Target | None:
                if name == "odd":
                    raise LookupError("unforeseen")
                return decode(name, value)

            monkeypatch.setattr(registry, "decode", skip_failing(fail, "target"))
            deployment.store.topics["keyed.servers"].append(("odd", entry()))
            await deployment.add_replica("plain", "plain-late")
            await check_follows(deployment, 0, "plain-late")


class FailsAtFirst:
    """Raises for the first calls, then calls the method."""

    def __init__(self, method: Callable[..., Any], failures: int) -> None:
        self.method = method
        self.failures = failures

    def __call__(self, *args: Any, **kwargs: Any) -> Any:
        if self.failures:
            self.failures -= 1
            raise RuntimeError("unforeseen")
        return self.method(*args, **kwargs)
