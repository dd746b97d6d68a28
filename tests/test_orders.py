"""Tests for `savoryfork.declared`, `savoryfork.tenure` and `savoryfork.orders`."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from aiohttp import web
from hypothesis import example, given, settings
from hypothesis import strategies as st

from savoryfork import defaults, orders
from savoryfork.board import Board, TargetView
from savoryfork.declared import Declared, EngineState, Order, SentOrder, ServiceOrders, next_order
from savoryfork.leasefold import SETTLE_MS, Lease, LeaseFold, acquire_record, renew_record
from savoryfork.metrics import Metrics
from savoryfork.orders import OrderController
from savoryfork.pipeline import EMPTY_CONFIGURATION, Service
from savoryfork.tenure import LocalLease
from savoryfork.util.timer import TimerService
from savoryfork.util.topic import Record
from tests.fakes import FakeClock, FakeLog
from tests.standins import serve

TTL, MARGIN = defaults.LEASE_TTL_MS, defaults.LEASE_MARGIN_MS
SERVICE = Service("s", "engine", model="m", version="2")
WANTED = Declared("m", "2", ("x", "y"), "decode")

# Steps of a host: a read, or a write that is appended after some steps; then time passes.
STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["read", "write"]),
        st.integers(0, 4),
        st.sampled_from([1, 500, MARGIN, TTL // 2, TTL, TTL + MARGIN]),
    ),
    max_size=40,
)


def max_senders(steps: list[tuple[int, str, int, int]], checks_orders: bool) -> int:
    """Returns the maximum number of hosts that may send at the same time."""
    hosts = [(LocalLease(f"i{n}"), LeaseFold()) for n in range(3)]
    appended: list[Any] = []
    in_flight: list[tuple[int, Any]] = []
    now, maximum = 0.0, 0
    for count, (number, action, delay, wait) in enumerate(steps):
        local_lease, fold = hosts[number]
        if action == "read":
            for offset in range(fold.position, len(appended)):
                fold.apply(Record(offset, 0, appended[offset]))
            local_lease.update(fold.leases.get("s"), now)
        elif local_lease.held or local_lease.can_acquire(now):
            after = local_lease.lease.offset if local_lease.lease else -1
            make_record = renew_record if local_lease.held else acquire_record
            in_flight.append(
                (count + delay, make_record(str(count), "s", f"i{number}", TTL, after, 0))
            )
            local_lease.record_append(str(count), now)
        appended += [record for due, record in in_flight if due <= count]
        in_flight = [(due, record) for due, record in in_flight if due > count]
        # A host may send until its lease ends or any host takes the next step.
        for _ in range(2):
            allowed = [
                not local_lease.blocking_reason(now, 0, checks_orders) for local_lease, _ in hosts
            ]
            maximum = max(maximum, sum(allowed))
            now += wait / 2
    return maximum


TAKEOVER = [(0, "write", 0, 1), (0, "read", 0, TTL), (1, "read", 0, TTL + MARGIN)]

# The first host renews just before the second one's acquire record, and reads only the renewal.
CROSSING = [
    *TAKEOVER,
    (0, "write", 0, 1),
    (0, "read", 0, 1),
    (1, "write", 0, 1),
    (1, "read", 0, 1),
]

# The first host reads its own acquire record after half of the lease TTL.
LATE_READ = [
    (0, "write", 0, 1),
    (1, "read", 0, TTL // 2),
    (0, "read", 0, TTL // 2 + MARGIN),
    (1, "write", 0, 1),
    (1, "read", 0, 1),
]


class TestLocalLease:
    @settings(derandomize=True, max_examples=1_000, deadline=None)
    @given(STEPS)
    @example(CROSSING)
    @example(LATE_READ)
    def test_no_two_hosts_may_send_at_once(self, steps: list[tuple[int, str, int, int]]) -> None:
        """Guards against two holders sending orders to engines that ignore fencing numbers, after
        stale reads and delayed appends."""
        assert max_senders(steps, checks_orders=False) <= 1

    def test_wait_for_the_previous_holder_is_needed(self) -> None:
        """Guards against a check above that would not detect a missing wait."""
        assert max_senders(CROSSING, checks_orders=True) == 2

    def test_renewed_lease_cannot_be_acquired(self) -> None:
        """Guards against healthy hosts that take the lease from each other."""
        local_lease = LocalLease("other")
        for beat in range(4):
            lease = Lease(0, "i", TTL, 0, str(beat), beat, 0)
            local_lease.update(lease, beat * TTL)
            assert not local_lease.can_acquire((beat + 1) * TTL)
        assert local_lease.can_acquire(4 * TTL + MARGIN)


def state(**fields: Any) -> EngineState:
    return EngineState(
        **{"incarnation": "1", "models": {}, "adapters": [], "role": "both"} | fields
    )


class TestDeclared:
    def test_orders_lead_to_the_declared_state(self) -> None:
        """Guards against orders that undo each other or never converge."""
        now = state(models={"m": "1", "old": "1"}, adapters=["z", "y"])
        kinds = []
        while (order := next_order(WANTED, now)) is not None and len(kinds) < 10:
            kinds.append(order.kind)
            match order.kind:
                case "load_model":
                    now.models[order.value] = order.version
                case "load_adapter":
                    now.adapters.append(order.value)
                case "unload_adapter":
                    now.adapters.remove(order.value)
                case "set_role":
                    now.role = order.value
        assert kinds == ["load_model", "load_adapter", "unload_adapter", "set_role"]
        assert (now.models, sorted(now.adapters)) == ({"m": "2", "old": "1"}, ["x", "y"])

    @pytest.mark.parametrize(
        ("pending", "unreachable", "allowed"), [(0, 0, 2), (1, 0, 1), (2, 0, 0), (0, 8, 1)]
    )
    def test_few_targets_load_at_once(self, pending: int, unreachable: int, allowed: int) -> None:
        """Guards against a roll-out that takes too many targets out of service at once, and
        against one that is blocked by dead targets."""
        known = ServiceOrders("i")
        known.states = {str(n): state(pending=int(n < pending)) for n in range(8)}
        known.just_polled = set(known.states)
        known.unreachable = {f"dead-{n}" for n in range(unreachable)}
        required = dict.fromkeys(known.states, Order("load_model", "m", "2"))
        assert len(known.due_orders(required, 8, 0.0)) == allowed

    def test_order_without_effect_is_repeated_after_a_delay(self) -> None:
        """Guards against repeating an order, and so a download of weights, at each tick."""
        known, order = ServiceOrders("i"), Order("load_model", "m", "2")
        known.states, known.just_polled = {"a": state()}, {"a"}
        known.sent["a"] = SentOrder(order, "1", 0.0, 0.0)
        due = [len(known.due_orders({"a": order}, 1, t)) for t in (1, defaults.ORDER_REPEAT_MS)]
        assert due == [0, 1]
        known.states["a"] = state(incarnation="2")
        assert len(known.due_orders({"a": order}, 1, 1)) == 1


class Engine:
    """A target that responds to each order with the next of the given statuses."""

    def __init__(self, *statuses: int) -> None:
        self.statuses = list(statuses)
        self.received: list[Any] = []

    async def get_state(self, request: web.Request) -> web.Response:
        body = {"incarnation": "1", "models": {"m": "1"}, "adapters": [], "role": "both"}
        return web.json_response(body)

    async def order(self, request: web.Request) -> web.Response:
        self.received.append(await request.json())
        return web.json_response({}, status=self.statuses.pop(0), headers={"Retry-After": "3"})

    def app(self) -> web.Application:
        app = web.Application()
        app.add_routes([web.get("/state", self.get_state), web.post("/orders", self.order)])
        return app


@asynccontextmanager
async def running_controller(
    engine: Engine,
) -> AsyncIterator[tuple[OrderController, FakeClock, Callable[[float], Any]]]:
    """Yields a controller of one service with one target, its clock, and a function that advances
    the clock and then ticks."""
    async with serve(engine.app()) as client:
        clock, board = FakeClock(), Board()
        board.configuration = EMPTY_CONFIGURATION._replace(offset=3, services={"s": SERVICE})
        address = f"127.0.0.1:{client.server.port}"
        board.targets["a"] = TargetView("a", "s", address, "z", "1")
        timer = TimerService(clock.clock(), defaults.TIMER_TICK_MS, defaults.PAUSE_THRESHOLD_MS)
        controller = OrderController(board, FakeLog(), timer, Metrics(), "host", "i")

        async def tick(wait_ms: float) -> None:
            clock.now_ms += wait_ms
            controller.client.time_ms += int(wait_ms)
            timer.tick()
            clock.now_ms += 1  # the advance itself counts as a pause, which ends before the tick
            await controller.tick()

        try:
            yield controller, clock, tick
        finally:
            await controller.close()


class TestOrderController:
    @pytest.mark.parametrize(
        "fault", ["none", "pause", "short pause", "slow", "replaced", "published"]
    )
    async def test_last_check_before_the_first_byte(
        self, fault: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against sending an order although the process was paused, lost the lease or got
        another configuration while it was connecting to the target."""
        engine, connect = Engine(202), orders.order_socket

        def interrupted(info: Any) -> Any:
            board = controller.board
            if engine_connects() == 2:  # the first connection is for the state
                match fault:
                    case "pause":
                        clock.now_ms += TTL
                    case "short pause":
                        clock.now_ms += defaults.PAUSE_THRESHOLD_MS + defaults.TIMER_TICK_MS
                        controller.timer.tick()
                    case "slow":
                        for _ in range(
                            defaults.ORDER_MAX_LEASE_AGE_MS // defaults.TIMER_TICK_MS + 1
                        ):
                            clock.now_ms += defaults.TIMER_TICK_MS
                            controller.timer.tick()
                    case "replaced":
                        record = acquire_record("r", "s", "other", TTL, 0, 3)
                        controller.fold.apply(Record(9, 0, record))
                        local_lease = controller.services["s"].local_lease
                        local_lease.update(controller.fold.leases["s"], clock.now_ms)
                    case "published":
                        board.configuration = board.configuration._replace(offset=4)
            return connect(info)

        calls: list[int] = []

        def engine_connects() -> int:
            calls.append(1)
            return len(calls)

        monkeypatch.setattr(orders, "order_socket", interrupted)
        async with running_controller(engine) as (controller, clock, tick):
            await tick(0)
            assert len(calls) == 2
        assert len(engine.received) == (fault == "none")

    async def test_lease_that_the_log_lost(self, caplog: pytest.LogCaptureFixture) -> None:
        """Guards against fencing numbers that are given out again, which engines refuse, and orders
        beside a holder that has not noticed that its lease is gone."""
        engine = Engine(*[202] * 9)
        async with running_controller(engine) as (controller, _, tick):
            await tick(0)
            lost = engine.received[0]["fencing"]
            controller.client.restore(0)
            # Orders would be repeated only after a delay that is longer than the wait.
            controller.services["s"].sent.clear()
            for _ in range(10):
                await tick(1_000)
            assert len(engine.received) == 1
            assert "topic_restored" in caplog.text
            for _ in range(8):
                await tick(1_000)
            assert len(engine.received) > 1
            assert all(order["fencing"] > lost for order in engine.received[1:])

    @pytest.mark.parametrize(("age_ms", "waits"), [(1_000, True), (60_000, False)])
    async def test_host_that_starts_after_a_restoration(self, age_ms: int, waits: bool) -> None:
        """Guards against a new host that sends orders beside the holder of a lost lease: the copy
        may show no lease at all."""
        engine = Engine(*[202] * 9)
        async with running_controller(engine) as (controller, clock, tick):
            controller.client.eras = (int(clock.now_ms) - age_ms,)
            for _ in range(4):
                await tick(1_000)
            assert bool(engine.received) == (not waits)

    async def test_retry_after_is_respected(self) -> None:
        """Guards against sending orders before the target's Retry-After has passed."""
        engine = Engine(429, 202)
        async with running_controller(engine) as (_, _, tick):
            received = []
            for wait_ms in (0, 1_000, 1_000, 1_000):
                await tick(wait_ms)
                received.append(len(engine.received))
        assert received == [1, 1, 1, 2]

    async def test_older_configuration_than_the_last_holders(self) -> None:
        """Guards against a new holder that acts on an outdated declared state."""
        engine = Engine(202)
        async with running_controller(engine) as (controller, _, tick):
            controller.client.add(acquire_record("r", "s", "other", TTL, -1, 4))
            for _ in range(4):
                await tick(TTL + MARGIN)
            assert engine.received == [] and controller.services["s"].local_lease.held
            controller.board.configuration = controller.board.configuration._replace(offset=4)
            await tick(0)
        assert len(engine.received) == 1

    async def test_nothing_is_sent_while_the_log_is_down(self) -> None:
        """Guards against orders of a holder that can't detect that it was replaced."""
        engine = Engine(202)
        async with running_controller(engine) as (controller, _, tick):
            controller.client.reads_down = True
            await tick(0)
            assert engine.received == []
            controller.client.reads_down = False
            await tick(1_000)
        assert len(engine.received) == 1

    async def test_nothing_is_sent_under_an_unsettled_lease(self) -> None:
        """Guards against a host that starts past retention, sends orders on a guess of who holds
        the lease, or never does."""
        engine = Engine(202)
        async with running_controller(engine) as (controller, _, tick):
            for holder in ("a", "b", "i"):
                controller.client.add(acquire_record(holder, "s", holder, TTL, -1, 3))
            controller.client.retain(1)
            await tick(0)
            await tick(SETTLE_MS - 10)
            assert engine.received == [] and len(controller.client.records) == 1
            await tick(1_000)
            assert controller.client.records[-1].value["type"] == "acquire"
            # The lease that it replaces has surely ended after another TTL by this host's clock.
            for _ in range((TTL + MARGIN) // 1_000 + 1):
                await tick(1_000)
        assert len(engine.received) == 1

    async def test_acquire_after_a_late_renewal_sends_nothing(self) -> None:
        """Guards against a host that settles on no live lease and sends orders under its own,
        although a late renewal of the lease in effect was appended just before."""
        engine = Engine(202)
        async with running_controller(engine) as (controller, _, tick):
            log = controller.client
            for holder in ("a", "b", "c"):
                log.add(acquire_record(holder, "s", holder, TTL, -1, 3))
            log.retain(2)
            await tick(0)
            append = log.append

            async def append_after_renewal(topic: str, records: Any) -> int:
                log.add(renew_record("r", "s", "a", TTL, 0, 3))
                return await append(topic, records)

            log.append = append_after_renewal
            await tick(SETTLE_MS + 10)
            assert [record.value["type"] for record in log.records[2:]] == ["renew", "acquire"]
        assert engine.received == []
