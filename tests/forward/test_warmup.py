"""Cold targets: all hosts together keep the bound of requests a second, and the ramp is used."""

from __future__ import annotations

import asyncio
import bisect
import copy
import math
import random
from typing import Any, NamedTuple

import msgspec
import pytest

from savoryfork.errors import UserError
from savoryfork.forward import settings
from savoryfork.forward.knowledge import Entry
from savoryfork.forward.members import CONFIRM_MS, Member, Members
from savoryfork.forward.model import BatchLimits, ServiceInfo, Target
from savoryfork.forward.registry import Registry
from savoryfork.forward.stages import coordinators
from savoryfork.forward.warmup import (
    COLD_COST,
    JITTER_MS,
    RESTART_MS,
    VIEWS,
    WINDOW_MS,
    ColdBound,
    Senders,
    Warmups,
    send_plan,
)
from savoryfork.platform.headers import decode_answer
from savoryfork.platform.records import CatalogDecoder, decode_target
from tests.forward.deployment import Deployment, configuration, until
from tests.platform.test_settings import filled_template

WARMUP_MS = 3_000.0
INFO = ServiceInfo("s", warmup_ms=WARMUP_MS, cold_per_s=8.9)
STAGE_INFO = INFO._replace(batch=BatchLimits(1, 11, 150.0, 57.0, 1e6, 4_000.0))

# Targets of the smallest stage service.
STAGE_TARGETS = 8

# `cold_per_s` x `cold_overage` + `cold_slack` of engines of wrekin.
LIMIT = 18.35

COLD = Target("t", "s", "10.0.0.1:80", "z", 1, 4, False, cold=True)
WARM = COLD._replace(cold=False)
OTHER = Target("o", "s", "10.0.0.2:80", "z", 1, 4, False)

STAGED = {"Token_Usage": "100,2", "Prefix_Hash": "aa:60,bb:30,cc:10", "Model": "m", "Pieces": "1,1"}


def member(number: int) -> Member:
    return Member(f"h{number}", "z", 1, 1, False, True)


class Host(NamedTuple):
    """The membership of a host and what it knows of cold targets."""

    members: Members
    warmups: Warmups


def make_host(
    local: int, count: int, failed: set[int] | frozenset[int] = frozenset(), **options: Any
) -> Host:
    """Returns one of `count` hosts, which takes some of the others for failed."""
    members = Members(member(local), [])
    others = [member(n)._replace(failed=n in failed) for n in range(count) if n != local]
    for other in others:
        members.put(other, "h", 0.0)
    warmups = Warmups()
    info = options.get("info", INFO)
    warmups.info = lambda service: info
    joined_at = options.get("joined_at", -math.inf)
    warmups.interval_ms = Senders(
        members,
        lambda members, now: coordinators(members, STAGE_TARGETS, now),
        lambda: joined_at,
        options.get("bound", ColdBound()),
    ).interval_ms
    return Host(members, warmups)


def play(hosts: list[Host], until_ms: float = WARMUP_MS, seed: int = 1) -> list[float]:
    """Lets all hosts prefer one cold target, with a request of each every few ms.

    Returns the times of the requests that were sent.
    """
    rng = random.Random(seed)
    sent = []
    for now in range(0, int(until_ms), 5):
        for host in rng.sample(hosts, len(hosts)):
            if host.warmups.try_send(COLD, float(now)):
                sent.append(float(now))
    return sent


def most_in_a_second(times: list[float]) -> int:
    ordered = sorted(times)
    ends = (bisect.bisect_right(ordered, at + 1_000.0) for at in ordered)
    return max((end - number for number, end in enumerate(ends)), default=0)


class TestPlan:
    @pytest.mark.parametrize("per_s", [0.3, 1.0, 2.5, 8.9, 40.0, 1e6])
    @pytest.mark.parametrize(
        "bound", [ColdBound(), ColdBound(1.0, 0.0), ColdBound(1.2, 1.0), ColdBound(3.0, 40.0)]
    )
    @pytest.mark.parametrize("hosts", [0, 1, 2, 5, 62, 300])
    def test_two_views_stay_within_the_bound(self, hosts, per_s, bound):
        """Guards against rounding that gives each view more than its half."""
        plan = send_plan(hosts, per_s, bound)
        assert plan.senders <= hosts
        if plan.senders:
            in_second = plan.senders * (1 + int((WINDOW_MS + JITTER_MS / 2) / plan.interval_ms))
            assert VIEWS * in_second <= bound.per_second(per_s)
            assert plan.senders * 1_000.0 / plan.interval_ms <= per_s * (1 + 1e-9)

    @pytest.mark.parametrize("hosts", [1, 2, 9, 62])
    def test_senders_use_most_of_the_rate(self, hosts):
        """Guards against a cold target that is left out instead of warming up under load."""
        plan = send_plan(hosts, 8.9, ColdBound())
        assert plan.senders * 1_000.0 / plan.interval_ms > 0.8 * 8.9


class TestCrowd:
    @pytest.mark.parametrize("count", [1, 2, 3, 8, 62])
    def test_all_hosts_prefer_one_returned_target(self, count):
        """Guards against a target that returns idle, is preferred by every host and crashes."""
        hosts = [make_host(n, count) for n in range(count)]
        for host in hosts:
            host.warmups.record_entry(None, COLD, 0.0)
        sent = play(hosts)
        assert most_in_a_second(sent) <= LIMIT / 2
        assert len(sent) >= 0.8 * 8.9 * WARMUP_MS / 1_000

    @pytest.mark.parametrize("seed", range(8))
    @pytest.mark.parametrize("count", [2, 5, 62])
    def test_two_groups_that_disagree(self, count, seed):
        """Guards against two sets of senders that exceed the bound together, also while a host has
        marked only a part of the other group."""
        rng = random.Random(seed)
        group = set(rng.sample(range(count), rng.randint(1, count - 1)))
        hosts = []
        for number in range(count):
            others = sorted(set(range(count)) - group if number in group else group)
            failed = set(rng.sample(others, rng.randint(0, len(others))))
            hosts.append(make_host(number, count, rng.choice([failed, set(others)])))
        for host in hosts:
            host.warmups.record_entry(None, COLD, 0.0)
        sent = play(hosts, seed=seed)
        assert most_in_a_second(sent) <= LIMIT
        delayed = [at + rng.uniform(0.0, JITTER_MS / 2) for at in sent]
        assert most_in_a_second(delayed) <= LIMIT

    @pytest.mark.parametrize("seed", range(4))
    def test_loss_of_many_hosts(self, seed):
        """Guards against new senders that add to what the lost ones have just sent."""
        rng = random.Random(seed)
        hosts = [make_host(n, 62) for n in range(62)]
        for host in hosts:
            host.warmups.record_entry(None, COLD, 0.0)
        sent = play(hosts, 1_000.0, seed)
        lost = set(rng.sample(range(62), 50))
        left = [host for number, host in enumerate(hosts) if number not in lost]
        for host in left:
            for number in lost:
                host.members.put(member(number)._replace(failed=True), "h", 1_000.0)
        for now in range(1_000, 3_000, 5):
            sent += [now for host in left if host.warmups.try_send(COLD, float(now))]
        assert most_in_a_second(sent) <= LIMIT
        assert sum(at >= 1_000.0 for at in sent) >= 0.8 * 8.9 * 2

    def test_hosts_that_are_all_cut_off_from_each_other(self):
        """Guards against hosts that each take themselves for the only one."""
        hosts = [make_host(n, 62) for n in range(62)]
        for number, host in enumerate(hosts):
            host.warmups.record_entry(None, COLD, 0.0)
            for other in range(62):
                if other != number:
                    host.members.record_failure(f"h{other}", 0.0)
                    assert not host.members.record_failure(f"h{other}", CONFIRM_MS + 1.0)
            assert len(host.members.alive(CONFIRM_MS + 2.0)) == 1
        assert most_in_a_second(play(hosts)) <= LIMIT / 2

    def test_hosts_that_have_just_joined(self):
        """Guards against hosts that start at once, know nobody yet and all send."""
        hosts = [make_host(n, 1, joined_at=0.0) for n in range(62)]
        for host in hosts:
            host.warmups.record_entry(None, COLD, 0.0)
        assert not play(hosts, WINDOW_MS + JITTER_MS - 5.0)

    def test_leaving_host_does_not_send(self):
        host = make_host(0, 1)
        host.warmups.record_entry(None, COLD, 0.0)
        host.members.update_local(leaving=True)
        assert not host.warmups.try_send(COLD, 0.0)

    @pytest.mark.parametrize("count", [1, 5, 62, 95])
    def test_only_coordinators_send_to_stage_targets(self, count):
        """Guards against senders that have no stage calls, and against a route to the service that
        adds the requests of all hosts."""
        hosts = [make_host(n, count, info=STAGE_INFO) for n in range(count)]
        owners = set(coordinators(hosts[0].members, STAGE_TARGETS, 0.0))
        for host in hosts:
            host.warmups.record_entry(None, COLD, 0.0)
        assert most_in_a_second(play(hosts)) <= LIMIT / 2
        used = {h.members.local.address for h in hosts if h.warmups.sent}
        assert used == owners


class TestWarmups:
    def test_nothing_changes_without_a_bound(self):
        """Guards against limits for services whose cold targets take any number of requests."""
        for info in (ServiceInfo("s"), INFO._replace(cold_per_s=0.0), INFO._replace(warmup_ms=0)):
            warmups = make_host(0, 1, info=info).warmups
            assert warmups.record_entry(None, COLD, 0.0) is None
            assert not warmups.record_answer(COLD, 2_000.0, 0.0)
            assert not warmups.record_refused(COLD, 0.0)
            assert not warmups.spans and all(warmups.try_send(COLD, 0.0) for _ in range(50))

    def test_targets_are_passed_through_if_none_is_cold(self):
        """Guards against work for each request on deployments without cold targets."""
        targets = [WARM, OTHER]
        warmups = make_host(0, 1).warmups
        assert warmups.open_targets(targets, 0.0) is warmups.assigned(targets, 0.0) is targets
        costs = {"t": 1.0}
        assert warmups.add_cold_costs(costs, targets, 0.0) is costs

    def test_cold_time_ends_by_itself(self):
        """Guards against a target that stays cold while the store is down."""
        warmups = make_host(0, 1).warmups
        assert warmups.record_entry(None, COLD, 100.0) == "cold"
        assert warmups.record_entry(COLD, COLD, 2_000.0) is None
        assert warmups.is_cold(COLD, 3_099.0) and not warmups.is_cold(COLD, 3_100.0)
        assert not warmups.expire({"t": COLD}, 3_099.0)
        assert warmups.expire({"t": COLD}, 3_100.0) == [COLD] and not warmups.spans

    def test_entry_ends_and_begins_the_cold_time(self):
        warmups = make_host(0, 1).warmups
        warmups.record_entry(None, COLD, 0.0)
        assert warmups.record_entry(COLD, WARM, 1_000.0) == "warm" and not warmups.spans
        assert warmups.record_entry(WARM, COLD, 5_000.0) == "cold"
        assert warmups.is_cold(COLD, 7_999.0)

    def test_answers_give_the_time_up_to_the_warmup(self):
        """Guards against a target that misreports its warm-up time."""
        warmups = make_host(0, 1).warmups
        assert warmups.record_answer(WARM, 400.0, 0.0)
        assert not warmups.record_answer(WARM, 300.0, 50.0)
        assert warmups.cold_until(WARM) == 350.0
        assert not warmups.record_answer(WARM, None, 60.0) and warmups.cold_until(WARM) == 350.0
        warmups.record_answer(WARM, 1e9, 100.0)
        assert warmups.cold_until(WARM) == 100.0 + WARMUP_MS
        warmups.record_answer(WARM, 0.0, 200.0)
        assert not warmups.is_cold(WARM, 200.0)

    def test_new_incarnation_continues_the_interval(self):
        """Guards against requests to two incarnations in a row, each taken for the first one."""
        warmups = make_host(0, 9).warmups
        warmups.interval_ms = lambda target, info, now: 1_100.0
        warmups.record_entry(None, COLD, 0.0)
        again = COLD._replace(start_unix_ms=2)
        assert warmups.try_send(COLD, 10.0)
        warmups.record_entry(COLD, again, 20.0)
        assert not warmups.try_send(again, 1_109.0) and warmups.try_send(again, 1_110.0)

    def test_target_that_refuses_connections_may_return_cold(self):
        """Guards against probes of all hosts that reach a restarted target before its new entry is
        read, or if it is never read as the store can't be reached."""
        hosts = [make_host(n, 62) for n in range(62)]
        for host in hosts:
            host.warmups.record_entry(None, WARM, 0.0)
            assert host.warmups.record_refused(WARM, 0.0)
            assert not host.warmups.record_refused(WARM, 1.0)
        assert most_in_a_second(play(hosts)) <= LIMIT / 2
        warmups = hosts[0].warmups
        assert warmups.cold_until(WARM) == 1.0 + RESTART_MS + WARMUP_MS
        warmups.record_answer(WARM, None, 2_000.0)
        assert warmups.cold_until(WARM) == 2_000.0 + WARMUP_MS

    def test_retry_after_is_the_time_of_the_next_request(self):
        warmups = make_host(0, 9).warmups
        warmups.interval_ms = lambda target, info, now: 1_100.0
        warmups.record_entry(None, COLD, 0.0)
        warmups.try_send(COLD, 0.0)
        assert 1_000.0 <= warmups.caller_retry_ms([COLD], "r", 100.0) <= 1_500.0
        warmups.interval_ms = lambda target, info, now: None
        assert 2_500.0 <= warmups.caller_retry_ms([COLD], "r", 0.0) <= 3_750.0

    def test_cold_targets_are_expected_to_be_slow(self):
        warmups = make_host(0, 1).warmups
        warmups.record_entry(None, COLD, 0.0)
        costs = warmups.add_cold_costs({"t": 3.0, "o": 4.0}, [COLD, OTHER], 0.0)
        assert costs == {"t": 3.0 * COLD_COST, "o": 4.0}

    def test_state_of_departed_targets_is_dropped(self):
        warmups = make_host(0, 1).warmups
        warmups.record_entry(None, COLD, 0.0)
        assert not warmups.expire({}, 0.0) and not warmups.spans


def entry(left_ms: Any, born: int = 1) -> bytes:
    row = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready", "slots": 4}
    return msgspec.json.encode({**row, "born": born, "warmup_left_ms": left_ms})


class TestDecoding:
    @pytest.mark.parametrize("left_ms", [0, -1, -2_900.5, "2900", True, [], {}, None])
    def test_odd_warmup_times_count_as_none(self, left_ms):
        """Guards against a target that is not used, or cold for good, by a malformed field."""
        target = decode_target("t", entry(left_ms))
        assert target is not None and not target.cold

    @pytest.mark.parametrize("left_ms", [1, 0.5, 2_900, 10**15])
    def test_cold_target(self, left_ms):
        target = decode_target("t", entry(left_ms))
        assert target is not None and target.cold

    @pytest.mark.parametrize(
        ("row", "expected"),
        [
            ({"warmup_s": 3.0, "cold_per_s": 8.9}, (3_000.0, 8.9)),
            ({"warmup_s": 3, "cold_per_s": 0}, (3_000.0, 0.0)),
            ({}, (0.0, 0.0)),
            ({"warmup_s": -3.0, "cold_per_s": 8.9}, (0.0, 0.0)),
            ({"warmup_s": 3.0, "cold_per_s": "8.9"}, (0.0, 0.0)),
            ({"warmup_s": 3.0, "cold_per_s": -1}, (0.0, 0.0)),
        ],
    )
    def test_services(self, row, expected):
        """Guards against a malformed warm-up that takes the stages of a service away."""
        pieces = {"slots": 1, "batch": 4}
        document = {"version": 1, "services": [{"name": "s", "pieces": pieces, **row}]}
        catalog = CatalogDecoder().decode(msgspec.json.encode(document))
        assert catalog is not None and catalog.services["s"].batch is not None
        assert (catalog.services["s"].warmup_ms, catalog.services["s"].cold_per_s) == expected

    @pytest.mark.parametrize(
        ("status", "value", "expected"),
        [(200, b"2900", 2_900.0), (503, b"0", 0.0), (200, b"-5", None), (200, b"x", None),
         (200, b"1e9", None), (200, b"nan", None), (421, b"2900", None)],
    )  # fmt: skip
    def test_answers(self, status, value, expected):
        assert decode_answer(status, [(b"Cold-Ms", value)]).cold_ms == expected
        assert decode_answer(status, []).cold_ms is None

    def test_settings_are_optional(self):
        """Guards against a host that does not start where the platform names no bound."""
        document = filled_template()
        assert settings.parse(document).cold_bound() == ColdBound(1.5, 5.0)
        absent = {**document, "cold_overage": None, "cold_slack": None}
        assert settings.parse(absent).cold_bound() == ColdBound(1.5, 5.0)
        named = {**document, "cold_overage": 1.2, "cold_slack": 0}
        assert settings.parse(named).cold_bound() == ColdBound(1.2, 0.0)
        with pytest.raises(UserError):
            settings.parse({**document, "cold_slack": -1})


class TestRegistry:
    def test_changes_between_cold_and_warm(self):
        registry = Registry(decode_target)
        registry.warmups = make_host(0, 1).warmups
        kinds = [
            [change for _, change in registry.update([Entry(n, "t", value)], 0.0)]
            for n, value in enumerate([entry(1), entry(0), entry(1), entry(1, 2), entry(0, 3)])
        ]
        assert kinds == [["added", "cold"], ["warm"], ["cold"], ["reborn"], ["reborn", "warm"]]

    def test_misdirected_target_stays_out_of_use_as_it_becomes_warm(self):
        """Guards against requests to an address at which another incarnation answers."""
        registry = Registry(decode_target)
        registry.update([Entry(0, "t", entry(1))], 0.0)
        cold = registry.targets["t"]
        registry.update([Entry(1, "t", entry(0))], 0.0)
        registry.mark_misdirected(cold)
        assert not registry.usable("s")
        registry.update([Entry(2, "t", entry(1))], 0.0)
        assert not registry.usable("s")
        registry.update([Entry(3, "t", entry(1, 2))], 0.0)
        assert registry.usable("s")


class Returned(Deployment):
    """A deployment of two hosts in which a target of each service can return cold."""

    def __init__(self) -> None:
        super().__init__(hosts=2)

    async def __aenter__(self) -> Returned:
        await super().__aenter__()
        config = copy.deepcopy(configuration(2))
        for service in config["services"]:
            service |= {"warmup_s": 3.0, "cold_per_s": 8.9}
        self.store.put("keyed.op", "config", config)
        joined_at = max(host.follower.joined_at for host in self.hosts)
        await until(
            lambda: all(
                host.follower.catalog.version == 2
                and host.follower.now() > joined_at + WINDOW_MS + JITTER_MS
                for host in self.hosts
            )
        )
        return self

    async def return_cold(self, service: str) -> None:
        """Registers the first replica of a service as another incarnation that is cold."""
        replica = self.replicas[service][0]
        replica.born += 1
        row = {"service": service, "address": replica.address, "zone": "z", "state": "ready"}
        row |= {"slots": 4, "born": replica.born, "warmup_left_ms": 3_000}
        self.store.put("keyed.servers", replica.name, row)
        warmups = [host.follower.registry.warmups for host in self.hosts]
        await until(lambda: all(replica.name in known.spans for known in warmups))
        replica.arrivals.clear()

    async def load(self, path: str, count: int, **headers: str) -> list[tuple[int, Any]]:
        """Sends requests to both hosts, one each 8 ms; returns statuses and headers."""
        calls = []
        for number in range(count):
            call = self.call(f"{path}{number}", host=number % 2, **headers)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(0.008)
        return [(status, found) for status, _, found in await asyncio.gather(*calls)]

    def arrivals(self, service: str) -> list[float]:
        """Returns the times in ms of requests to the first replica of a service."""
        return [at * 1_000 for at in self.replicas[service][0].arrivals]


@pytest.mark.usefixtures("quiet_logs")
class TestRequests:
    async def test_requests_and_stage_calls_to_cold_targets(self):
        """Guards against hosts that send half of all requests, or stage calls with the calls that
        free their results, to a target that has just returned."""
        async with Returned() as deployment:
            await deployment.return_cold("plain")
            assert {s for s, _ in await deployment.load("/book/", 100)} == {200}
            assert 3 <= most_in_a_second(deployment.arrivals("plain")) <= LIMIT
            await deployment.return_cold("cave")
            assert {s for s, _ in await deployment.load("/chat/", 60, **STAGED)} == {200}
            assert 3 <= most_in_a_second(deployment.arrivals("cave")) <= LIMIT

    async def test_requests_are_refused_at_once_if_only_a_cold_target_is_left(self):
        """Guards against requests that wait for their deadline, or that exceed the bound."""
        async with Returned() as deployment:
            await deployment.return_cold("plain")
            deployment.store.put("keyed.servers", deployment.replicas["plain"][1].name, None)
            registries = [host.follower.registry for host in deployment.hosts]
            await until(lambda: all(len(r.usable("plain")) == 1 for r in registries))
            async with asyncio.timeout(1.5):
                answers = await deployment.load("/book/", 60)
            served = [status for status, _ in answers if status == 200]
            refused = [headers for status, headers in answers if status == 429]
            assert len(served) + len(refused) == 60
            assert all(float(headers["Retry-After"]) > 0 for headers in refused)
            assert len(deployment.arrivals("plain")) == len(served) >= 3
            assert most_in_a_second(deployment.arrivals("plain")) <= LIMIT

    @pytest.mark.parametrize("permitted", [False, True])
    async def test_streams_move_to_a_cold_target_within_the_bound(self, permitted):
        """Guards against streams of a silent engine that all move to a returned one."""
        async with Returned() as deployment:
            await deployment.return_cold("engine")
            silent = deployment.replicas["engine"][1]
            silent.silent_after, silent.silence_s = 2, 1.8
            warmups = deployment.hosts[0].follower.registry.warmups
            warmups.interval_ms = lambda target, info, now: None
            headers = {"Token_Usage": "100,8", "Prefix_Hash": "aa:60,bb:30,cc:10", "Model": "m"}
            call = asyncio.create_task(deployment.call("/chat/x", **headers))
            await until(lambda: silent.silences > 0)
            if permitted:
                warmups.interval_ms = lambda target, info, now: 1_100.0
            assert (await call)[0] == 200
            assert len(deployment.arrivals("engine")) == warmups.sent == int(permitted)
