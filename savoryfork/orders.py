"""Sends orders that bring the targets of a service to its declared state, under a lease.

An order states an absolute value, so a late one of the same configuration changes nothing. An order
of an old lease can still arrive if the process is frozen between the last check and the write, or
if the network delays a packet for longer than the margin. An engine that checks fencing numbers
rejects such an order; one that ignores them executes it, and the current holder corrects it after
it next polls the target's state.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Iterable, Mapping
from types import SimpleNamespace
from typing import Any

import aiohttp
import msgspec
import uuid6

from savoryfork import defaults
from savoryfork.board import Board, TargetView
from savoryfork.declared import (
    EngineState,
    Order,
    SentOrder,
    ServiceOrders,
    declared_states,
    is_managed,
    retry_after_ms,
)
from savoryfork.leasefold import LeaseFold, acquire_record, release_record, renew_record
from savoryfork.metrics import Metrics
from savoryfork.pipeline import Service
from savoryfork.util import logs, rendezvous
from savoryfork.util.bodies import read_body
from savoryfork.util.timer import TimerService
from savoryfork.util.topic import (
    LogClient,
    LogRestored,
    LogUnavailable,
    OffsetExpired,
    report_restored,
)

log = logging.getLogger(__name__)


class SendState:
    """The check before the first byte of one order, and its outcome."""

    def __init__(self, check: Callable[[], str]) -> None:
        self.check = check
        self.sent = False
        self.stop_reason = ""


class OrderStopped(Exception):
    """The check before the first byte found that the order must not be sent."""


def trace_config() -> aiohttp.TraceConfig:
    """Returns a trace config that checks each order just before its first byte is written.

    The headers are buffered until the body, and the event loop runs no other task between this hook
    and the write. The hook for headers would allow one loop iteration in between.
    """

    async def chunk_sent(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceRequestChunkSentParams,
    ) -> None:
        send_state = context.trace_request_ctx
        if send_state is None or send_state.sent:
            return
        send_state.stop_reason = send_state.check()
        if send_state.stop_reason:
            raise OrderStopped(send_state.stop_reason)
        send_state.sent = True

    config = aiohttp.TraceConfig()
    config.on_request_chunk_sent.append(chunk_sent)
    return config


class OrderController:
    """Polls target states, maintains leases and sends orders, all within `tick`.

    The hosts that rank first for a service by rendezvous hash poll its targets. A lease is acquired
    only when a target differs from its declared state and released when none does, so that nothing
    is appended in between.
    """

    def __init__(
        self,
        board: Board,
        client: LogClient,
        timer: TimerService,
        metrics: Metrics,
        host: str,
        incarnation: str,
    ) -> None:
        self.board = board
        self.client = client
        self.timer = timer
        self.clock = timer.clock
        self.metrics = metrics
        self.host = host
        self.incarnation = incarnation
        self.fold = LeaseFold()
        self.read_ms = 0.0
        self.last_record_read_ms = 0.0
        self.era: int | None = None
        self.restored_wait_until_ms = 0.0
        self.services: dict[str, ServiceOrders] = {}
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True, socket_factory=order_socket),
            timeout=aiohttp.ClientTimeout(total=defaults.ORDER_TIMEOUT_MS / 1000),
            trace_configs=[trace_config()],
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self.session.close()

    async def tick(self) -> None:
        """Polls the watched services, updates their leases and sends due orders."""
        if self.board.stopping:
            return
        watched = self.watched()
        await asyncio.gather(*(self.poll(service) for service in watched))
        active = [service for service in watched if self.active(service)]
        try:
            if active and await self.read():
                await self.append(active)
                await asyncio.gather(*(self.send_due(service) for service in active))
        except LogUnavailable:
            pass
        finally:
            self.report()

    # Watched services and the states of their targets.

    def rank(self, service: str) -> int:
        """Returns the rank of this host among the live ones for a service, from 0."""
        live = [h.name for h in self.board.hosts.values() if h.reachable and not h.leaving]
        return rendezvous.ranked(f"orders-{service}", [self.host, *live]).index(self.host)

    def watched(self) -> list[Service]:
        """Returns the services whose targets this host watches or whose lease it holds."""
        found = []
        for name, service in self.board.configuration.services.items():
            orders = self.services.get(name)
            held = orders is not None and orders.local_lease.held
            if is_managed(service) and (held or self.rank(name) < defaults.ORDER_WATCHERS):
                found.append(service)
        # The lease of a service that is no longer managed is left to expire.
        names = {service.name for service in found}
        for name in set(self.services) - names:
            self.update_lease_state(name, self.services[name], False)
            for state in ("differs", "as_declared"):
                self.metrics.order_targets.set({"service": name, "state": state}, 0)
            del self.services[name]
        for name in names - set(self.services):
            self.services[name] = ServiceOrders(self.incarnation)
        return found

    def targets(self, service: str) -> dict[str, TargetView]:
        """Returns all live targets of a service by name, including those outside its subset."""
        views = self.board.targets.values()
        return {v.name: v for v in views if v.service == service and not v.leaving}

    async def poll(self, service: Service) -> None:
        """Polls a few targets: those that differ first, then the least recently polled."""
        orders, targets = self.services[service.name], self.targets(service.name)
        orders.prune({name: view.incarnation for name, view in targets.items()})
        orders.just_polled.clear()
        differing = orders.required_orders(declared_states(service, targets))
        by_poll_age = sorted(targets, key=lambda name: (orders.polled.get(name, 0.0), name))
        # Half of the polls ignore differences, so that a target that differs for long starves none.
        first = [name for name in by_poll_age if name in differing][
            : defaults.ORDER_POLLS_PER_TICK // 2
        ]
        rest = [name for name in by_poll_age if name not in first]
        busy = bool(differing) or any(name not in orders.states for name in targets)
        count = defaults.ORDER_POLLS_PER_TICK if busy else defaults.ORDER_IDLE_POLLS_PER_TICK
        chosen = [*first, *rest][:count]
        await asyncio.gather(*(self.poll_target(orders, targets[name]) for name in chosen))

    async def poll_target(self, orders: ServiceOrders, target: TargetView) -> None:
        """Polls the state of one target."""
        orders.polled[target.name] = self.clock.monotonic_ms()
        try:
            async with self.session.get(f"http://{target.address}/state") as response:
                response.raise_for_status()
                data = await read_body(response, defaults.MAX_REPORT_BYTES)
                state = msgspec.json.decode(data, type=EngineState)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            orders.unreachable.add(target.name)
            return
        orders.states[target.name] = state
        orders.unreachable.discard(target.name)
        orders.just_polled.add(target.name)

    def active(self, service: Service) -> bool:
        """Returns True if the lease of a service is held or needed."""
        orders = self.services[service.name]
        required = orders.required_orders(declared_states(service, self.targets(service.name)))
        now = self.clock.monotonic_ms()
        self.report_targets(service.name, orders, required, now)
        if not required:
            orders.differs_since_ms = None
        elif orders.differs_since_ms is None:
            orders.differs_since_ms = now
        return bool(required) or orders.local_lease.held

    # The lease.

    async def read(self) -> bool:
        """Reads the lease topic to its end; returns False if it has records of a newer schema.

        Raises LogUnavailable.
        """
        started_ms = self.clock.monotonic_ms()
        while True:
            try:
                page = await self.client.read(
                    defaults.LEASE_TOPIC, self.fold.position, defaults.LOG_READ_LIMIT
                )
            except LogRestored as gone:
                self.follow_restored(gone)
                continue
            except OffsetExpired as gone:
                self.fold.restart(gone.start)
                self.last_record_read_ms = self.clock.monotonic_ms()
                logs.event(log, "lease_topic_expired", start=gone.start)
                continue
            if self.era is None and page.eras:
                self.wait_for_lost_leases(page.eras[-1])
            if self.era is not None and self.era < len(page.eras):
                self.follow_restored(LogRestored(page.start, page.end, page.eras))
                continue
            self.era = len(page.eras)
            for record in page.records:
                self.fold.apply(record)
            if page.records:
                self.last_record_read_ms = self.clock.monotonic_ms()
            if self.fold.advance(page):
                break
        self.read_ms = started_ms
        now = self.clock.monotonic_ms()
        for name, orders in self.services.items():
            orders.local_lease.update(self.fold.leases.get(name), now)
            self.update_lease_state(name, orders, orders.local_lease.remaining_ms(now) > 0)
        return now >= self.restored_wait_until_ms and not self.fold.unsupported

    def lease_settled(self, service: str) -> bool:
        """Returns True if every host reads the same lease of a service."""
        quiet_ms = max(0.0, self.read_ms - self.last_record_read_ms)
        return self.fold.is_settled(service, quiet_ms)

    def follow_restored(self, error: LogRestored) -> None:
        """Reads the leases anew after the log came back from an older copy.

        A lease that the log lost may still be held by a host that has not noticed, and the copy may
        show it as released. So no order is sent until the lost lease has surely ended.
        """
        report_restored(defaults.LEASE_TOPIC, self.fold.position, error)
        self.fold.restart(error.start)
        self.last_record_read_ms = self.clock.monotonic_ms()
        self.era = len(error.eras)
        wait_ms = defaults.LEASE_TTL_MS + defaults.LEASE_MARGIN_MS
        self.restored_wait_until_ms = self.clock.monotonic_ms() + wait_ms

    def wait_for_lost_leases(self, restored_wall_ms: int) -> None:
        """Waits out lost leases on a host that starts shortly after the log came back."""
        longest_ms = defaults.LEASE_TTL_MS + defaults.LEASE_MARGIN_MS + defaults.CLOCK_SKEW_MS
        left_ms = restored_wall_ms + longest_ms - self.clock.wall_ms()
        wait_ms = max(0.0, min(left_ms, longest_ms))
        self.restored_wait_until_ms = self.clock.monotonic_ms() + wait_ms

    async def append(self, services: Iterable[Service]) -> None:
        """Acquires, renews and releases leases in one append, then reads the outcome."""
        now = self.clock.monotonic_ms()
        records = [r for service in services if (r := self.lease_record(service, now)) is not None]
        if not records:
            return
        for record in records:
            self.services[record["service"]].local_lease.record_append(record["id"], now)
        try:
            await self.client.append(defaults.LEASE_TOPIC, records)
        finally:
            # Also after a lost reply: the records may have been appended.
            await self.read()

    def lease_record(self, service: Service, now: float) -> dict[str, Any] | None:
        """Returns the lease record to append for a service now, if any."""
        if not self.lease_settled(service.name):
            return None
        orders = self.services[service.name]
        local_lease, lease = orders.local_lease, orders.local_lease.lease
        header = (str(uuid6.uuid7()), service.name, self.incarnation)
        config = self.board.configuration.offset
        if local_lease.held and lease is not None:
            if orders.differs_since_ms is None:
                # A release lets the next holder start at once, so it must wait until the previous
                # holder's lease has expired.
                return (
                    release_record(*header, lease.offset)
                    if now > local_lease.predecessor_expiry_ms
                    else None
                )
            if config > lease.config or local_lease.remaining_ms(now) < defaults.LEASE_RENEW_MS:
                return renew_record(*header, defaults.LEASE_TTL_MS, lease.offset, config)
            return None
        if orders.differs_since_ms is None or not local_lease.can_acquire(now):
            return None
        if now < orders.differs_since_ms + self.rank(service.name) * defaults.ORDER_STANDBY_MS:
            return None
        after = lease.offset if lease is not None else -1
        return acquire_record(*header, defaults.LEASE_TTL_MS, after, config)

    async def release_all(self) -> None:
        """Releases all leases when the host stops; one that can't be released expires."""
        now = self.clock.monotonic_ms()
        records = [
            release_record(
                str(uuid6.uuid7()), name, self.incarnation, orders.local_lease.lease.offset
            )
            for name, orders in self.services.items()
            if orders.local_lease.held
            and orders.local_lease.lease
            and now > orders.local_lease.predecessor_expiry_ms
        ]
        for name, orders in self.services.items():
            self.update_lease_state(name, orders, False)
        self.services.clear()
        if records:
            try:
                await self.client.append(defaults.LEASE_TOPIC, records)
            except LogUnavailable:
                logs.event(log, "lease_release_failed", logging.WARNING)

    # Orders.

    async def send_due(self, service: Service) -> None:
        """Sends the due orders, at most one for each target."""
        orders, targets = self.services[service.name], self.targets(service.name)
        config = self.board.configuration.offset
        now = self.clock.monotonic_ms()
        if self.blocking_reason(service, orders, config):
            return
        required = orders.required_orders(declared_states(service, targets))
        due = orders.due_orders(required, len(targets), now)
        sends = (self.send(service, orders, targets[name], due[name], config) for name in due)
        await asyncio.gather(*sends)

    def blocking_reason(self, service: Service, orders: ServiceOrders, config: int) -> str:
        """Returns why no order may be sent now; empty if one may."""
        now = self.clock.monotonic_ms()
        if self.board.stopping or self.services.get(service.name) is not orders:
            return "stopping"
        if self.board.configuration.offset != config:
            return "configuration_changed"
        if now < self.restored_wait_until_ms:
            return "log_restored"
        if now - self.read_ms > defaults.ORDER_MAX_LEASE_AGE_MS or self.timer.paused_since(
            self.read_ms
        ):
            return "paused"
        if not self.lease_settled(service.name):
            return "lease_unsettled"
        return orders.local_lease.blocking_reason(now, config, service.checks_orders)

    async def send(
        self, service: Service, orders: ServiceOrders, target: TargetView, order: Order, config: int
    ) -> None:
        """Sends one order; its effect is read from the target's state in a later poll."""
        lease = orders.local_lease.lease
        assert lease is not None
        fields: dict[str, Any] = {
            "service": service.name,
            "target": target.name,
            "kind": order.kind,
        }
        send_state = SendState(lambda: self.blocking_reason(service, orders, config))
        try:
            async with self.session.post(
                f"http://{target.address}/orders",
                data=msgspec.json.encode(order.body(lease.offset)),
                headers={"Content-Type": "application/json"},
                trace_request_ctx=send_state,
            ) as response:
                result = self.handle_response(orders, target, response)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            result = (
                "unknown" if send_state.sent else "stopped" if send_state.stop_reason else "unsent"
            )
            reason = send_state.stop_reason or type(error).__name__
            logs.event(log, f"order_{result}", logging.WARNING, reason=reason, **fields)
        if result in ("accepted", "unknown"):
            self.record_order(orders, target, order)
            logs.event(
                log,
                "order_sent",
                **fields,
                value=order.value,
                version=order.version or None,
                fencing=lease.offset,
                config_offset=config,
                result=result,
            )
        labels = {"service": service.name, "kind": order.kind, "result": result}
        self.metrics.orders.inc(labels)

    def handle_response(
        self, orders: ServiceOrders, target: TargetView, response: aiohttp.ClientResponse
    ) -> str:
        """Handles the response to an order and returns the result label for the metrics."""
        if response.status in (200, 202):
            return "accepted"
        if response.status == 429:
            wait_ms = retry_after_ms(response.headers.get("Retry-After"))
            orders.next_load_ms = self.clock.monotonic_ms() + wait_ms
            return "throttled"
        logs.event(log, "order_refused", logging.ERROR, target=target.name, status=response.status)
        return "refused"

    def record_order(self, orders: ServiceOrders, target: TargetView, order: Order) -> None:
        """Records a sent order; a repetition keeps the time of the first one."""
        now, before = self.clock.monotonic_ms(), orders.sent.get(target.name)
        incarnation = orders.states[target.name].incarnation
        if before is not None and before.order == order and before.incarnation == incarnation:
            orders.sent[target.name] = before._replace(last_ms=now)
        else:
            orders.sent[target.name] = SentOrder(order, incarnation, now, now)

    # Reports.

    def update_lease_state(self, service: str, orders: ServiceOrders, lease_valid: bool) -> None:
        """Logs that the lease was acquired or lost; `lapsed`: no other host has acquired it."""
        if lease_valid == orders.lease_valid:
            return
        orders.lease_valid = lease_valid
        lease = orders.local_lease.lease
        fencing = lease.offset if lease is not None else None
        self.metrics.order_lease.set({"service": service}, int(lease_valid))
        if lease_valid:
            logs.event(log, "lease_acquired", service=service, fencing=fencing)
        elif self.board.stopping or (
            lease is not None and self.incarnation == lease.holder and lease.released
        ):
            logs.event(log, "lease_released", service=service, fencing=fencing)
        else:
            reason = "lapsed" if orders.local_lease.held else "replaced"
            logs.event(
                log, "lease_lost", logging.WARNING, service=service, fencing=fencing, reason=reason
            )

    def report_targets(
        self, service: str, orders: ServiceOrders, required: Mapping[str, Order], now: float
    ) -> None:
        """Updates the target gauges and logs orders that remain without effect."""
        gauge = self.metrics.order_targets
        gauge.set({"service": service, "state": "differs"}, len(required))
        gauge.set({"service": service, "state": "as_declared"}, len(orders.states) - len(required))
        for name, sent in list(orders.sent.items()):
            if required.get(name) != sent.order:
                del orders.sent[name]
            elif now - sent.first_ms >= defaults.ORDER_OVERDUE_MS and not sent.reported:
                orders.sent[name] = sent._replace(reported=True)
                logs.event(
                    log,
                    "order_overdue",
                    logging.ERROR,
                    service=service,
                    target=name,
                    kind=sent.order.kind,
                    waited_ms=round(now - sent.first_ms),
                )

    def report(self) -> None:
        """Reports leases that have expired since the last tick."""
        now = self.clock.monotonic_ms()
        for name, orders in self.services.items():
            self.update_lease_state(name, orders, orders.local_lease.remaining_ms(now) > 0)


def order_socket(info: Any) -> socket.socket:
    """Creates a socket whose connection the kernel ends if the target does not acknowledge in time.

    Otherwise the kernel could deliver an order long after its lease, even while this process is
    frozen.
    """
    family, kind, protocol = info[:3]
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, defaults.LEASE_MARGIN_MS // 2)
    return created
