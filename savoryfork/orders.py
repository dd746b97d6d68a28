"""Orders to engines: brings the targets of a service to its declared state, under a lease.

An order states an absolute value, so a late one of the same configuration changes nothing. What
cannot be promised: a process that is frozen after the last check and before its write sends an
order of an old lease when it wakes, and so does a network that holds a packet back for longer than
the margin. An engine that checks fencing numbers refuses such an order; one that ignores them
carries it out, and the holder at that time corrects it after its next look at the target's state.
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
from savoryfork.leasefold import (
    SETTLE_MS,
    LeaseFold,
    acquire_record,
    release_record,
    renew_record,
)
from savoryfork.metrics import Metrics
from savoryfork.pipeline import Service
from savoryfork.util import logs, rendezvous
from savoryfork.util.timer import TimerService
from savoryfork.util.topic import LogClient, LogUnavailable, OffsetExpired

log = logging.getLogger(__name__)


class SendState:
    """The check before the first byte of one order, and what came of it."""

    def __init__(self, check: Callable[[], str]) -> None:
        self.check = check
        self.sent = False
        self.stopped = ""


class OrderStopped(Exception):
    """The last check found that the order must not be sent."""


def trace_config() -> aiohttp.TraceConfig:
    """Makes the check of each order when its first byte is about to be written.

    The headers wait for the body, and the event loop runs no other task between this hook and the
    write. The hook for headers would leave one turn of the loop in between.
    """

    async def chunk_sent(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceRequestChunkSentParams,
    ) -> None:
        send_state = context.trace_request_ctx
        if send_state is None or send_state.sent:
            return
        send_state.stopped = send_state.check()
        if send_state.stopped:
            raise OrderStopped(send_state.stopped)
        send_state.sent = True

    config = aiohttp.TraceConfig()
    config.on_request_chunk_sent.append(chunk_sent)
    return config


class OrderController:
    """Watches targets, keeps leases and sends orders, all within `tick`.

    The hosts that rank first for a service by hash watch its targets. A lease is only asked for
    when a target differs from what is declared, and given up when all are as declared, so that
    nothing is appended in between.
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
        self.settled_ms = 0.0
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
        """One look at the watched services, and whatever follows from it."""
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

    # Which services, and what their targets say.

    def rank(self, service: str) -> int:
        """The place of this host among the live ones for a service; 0 is the first."""
        live = [h.name for h in self.board.hosts.values() if h.reachable and not h.leaving]
        return rendezvous.ranked(f"orders-{service}", [self.host, *live]).index(self.host)

    def watched(self) -> list[Service]:
        """The services whose targets this host watches, or for which it holds the lease."""
        found = []
        for name, service in self.board.configuration.services.items():
            known = self.services.get(name)
            held = known is not None and known.local_lease.held
            if is_managed(service) and (held or self.rank(name) < defaults.ORDER_WATCHERS):
                found.append(service)
        # A lease of a service that is no longer managed lapses.
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
        """All live targets of a service by name, not only those that this host gives work."""
        views = self.board.targets.values()
        return {v.name: v for v in views if v.service == service and not v.leaving}

    async def poll(self, service: Service) -> None:
        """Reads the state of a few targets: those that differ first, then the longest unread."""
        known, targets = self.services[service.name], self.targets(service.name)
        known.prune({name: view.incarnation for name, view in targets.items()})
        known.just_polled.clear()
        differing = known.required_orders(declared_states(service, targets))
        order = sorted(targets, key=lambda name: (known.polled.get(name, 0.0), name))
        # Half of the polls go to any target, so that one that differs for long hides no other.
        first = [name for name in order if name in differing][: defaults.ORDER_POLLS_PER_TICK // 2]
        rest = [name for name in order if name not in first]
        busy = bool(differing) or any(name not in known.states for name in targets)
        count = defaults.ORDER_POLLS_PER_TICK if busy else defaults.ORDER_IDLE_POLLS_PER_TICK
        chosen = [*first, *rest][:count]
        await asyncio.gather(*(self.poll_target(known, targets[name]) for name in chosen))

    async def poll_target(self, known: ServiceOrders, target: TargetView) -> None:
        """Reads the state of one target."""
        known.polled[target.name] = self.clock.monotonic_ms()
        try:
            async with self.session.get(f"http://{target.address}/state") as response:
                response.raise_for_status()
                state = msgspec.json.decode(await response.read(), type=EngineState)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            known.unreachable.add(target.name)
            return
        known.states[target.name] = state
        known.unreachable.discard(target.name)
        known.just_polled.add(target.name)

    def active(self, service: Service) -> bool:
        """True if the lease of a service is held or wanted."""
        known = self.services[service.name]
        required = known.required_orders(declared_states(service, self.targets(service.name)))
        now = self.clock.monotonic_ms()
        self.report_targets(service.name, known, required, now)
        if not required:
            known.differs_since_ms = None
        elif known.differs_since_ms is None:
            known.differs_since_ms = now
        return bool(required) or known.local_lease.held

    # The lease.

    async def read(self) -> bool:
        """Reads the leases to the end; returns whether their state can be relied on.

        Raises LogUnavailable.
        """
        started_ms = self.clock.monotonic_ms()
        while True:
            try:
                page = await self.client.read(
                    defaults.LEASE_TOPIC, self.fold.position, defaults.LOG_READ_LIMIT
                )
            except OffsetExpired as gone:
                self.fold.restart(gone.start)
                self.settled_ms = self.clock.monotonic_ms() + SETTLE_MS
                continue
            for record in page.records:
                self.fold.apply(record)
            if self.fold.position >= page.end:
                break
        self.read_ms = started_ms
        now = self.clock.monotonic_ms()
        for name, known in self.services.items():
            known.local_lease.update(self.fold.leases.get(name), now)
            self.update_lease_state(name, known, known.local_lease.remaining_ms(now) > 0)
        settled = self.fold.settled or now >= self.settled_ms
        return settled and not self.fold.unsupported

    async def append(self, services: Iterable[Service]) -> None:
        """Asks for, renews and gives up leases in one append, and reads what came of it."""
        now = self.clock.monotonic_ms()
        records = [r for service in services if (r := self.lease_record(service, now)) is not None]
        if not records:
            return
        for record in records:
            self.services[record["service"]].local_lease.record_append(record["id"], now)
        try:
            await self.client.append(defaults.LEASE_TOPIC, records)
        finally:
            # Also after a lost answer: the records may have landed.
            await self.read()

    def lease_record(self, service: Service, now: float) -> dict[str, Any] | None:
        """The record that the lease of a service needs now, if any."""
        known = self.services[service.name]
        local_lease, lease = known.local_lease, known.local_lease.lease
        header = (str(uuid6.uuid7()), service.name, self.incarnation)
        config = self.board.configuration.offset
        if local_lease.held and lease is not None:
            if known.differs_since_ms is None:
                # The release lets the next holder start at once, so it comes only after the wait
                # for the holder before this one.
                return (
                    release_record(*header, lease.offset)
                    if now > local_lease.predecessor_expiry_ms
                    else None
                )
            if config > lease.config or local_lease.remaining_ms(now) < defaults.LEASE_RENEW_MS:
                return renew_record(*header, defaults.LEASE_TTL_MS, lease.offset, config)
            return None
        if known.differs_since_ms is None or not local_lease.can_acquire(now):
            return None
        if now < known.differs_since_ms + self.rank(service.name) * defaults.ORDER_STANDBY_MS:
            return None
        after = lease.offset if lease is not None else -1
        return acquire_record(*header, defaults.LEASE_TTL_MS, after, config)

    async def release_all(self) -> None:
        """Gives up all leases, when the host stops; one that can't be given up lapses."""
        now = self.clock.monotonic_ms()
        records = [
            release_record(
                str(uuid6.uuid7()), name, self.incarnation, known.local_lease.lease.offset
            )
            for name, known in self.services.items()
            if known.local_lease.held
            and known.local_lease.lease
            and now > known.local_lease.predecessor_expiry_ms
        ]
        for name, known in self.services.items():
            self.update_lease_state(name, known, False)
        self.services.clear()
        if records:
            try:
                await self.client.append(defaults.LEASE_TOPIC, records)
            except LogUnavailable:
                logs.event(log, "lease_release_failed", logging.WARNING)

    # Orders.

    async def send_due(self, service: Service) -> None:
        """Sends the orders that are due, each to another target."""
        known, targets = self.services[service.name], self.targets(service.name)
        config = self.board.configuration.offset
        now = self.clock.monotonic_ms()
        if self.blocking_reason(service, known, config):
            return
        required = known.required_orders(declared_states(service, targets))
        due = known.due_orders(required, len(targets), now)
        sends = (self.send(service, known, targets[name], due[name], config) for name in due)
        await asyncio.gather(*sends)

    def blocking_reason(self, service: Service, known: ServiceOrders, config: int) -> str:
        """Why no order may leave at this moment; empty if one may."""
        now = self.clock.monotonic_ms()
        if self.board.stopping or self.services.get(service.name) is not known:
            return "stopping"
        if self.board.configuration.offset != config:
            return "configuration_changed"
        if now - self.read_ms > defaults.ORDER_MAX_LEASE_AGE_MS or self.timer.paused_since(
            self.read_ms
        ):
            return "paused"
        return known.local_lease.blocking_reason(now, config, service.checks_orders)

    async def send(
        self, service: Service, known: ServiceOrders, target: TargetView, order: Order, config: int
    ) -> None:
        """Sends one order; its effect is read from the target's state later."""
        lease = known.local_lease.lease
        assert lease is not None
        fields: dict[str, Any] = {
            "service": service.name,
            "target": target.name,
            "kind": order.kind,
        }
        send_state = SendState(lambda: self.blocking_reason(service, known, config))
        try:
            async with self.session.post(
                f"http://{target.address}/orders",
                data=msgspec.json.encode(order.body(lease.offset)),
                headers={"Content-Type": "application/json"},
                trace_request_ctx=send_state,
            ) as response:
                result = self.handle_response(known, target, response)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            result = "unknown" if send_state.sent else "stopped" if send_state.stopped else "unsent"
            reason = send_state.stopped or type(error).__name__
            logs.event(log, f"order_{result}", logging.WARNING, reason=reason, **fields)
        if result in ("accepted", "unknown"):
            self.record_order(known, target, order)
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
        self, known: ServiceOrders, target: TargetView, response: aiohttp.ClientResponse
    ) -> str:
        """Takes a target's answer to an order and returns the result for the metrics."""
        if response.status in (200, 202):
            return "accepted"
        if response.status == 429:
            wait_ms = retry_after_ms(response.headers.get("Retry-After"))
            known.next_load_ms = self.clock.monotonic_ms() + wait_ms
            return "throttled"
        logs.event(log, "order_refused", logging.ERROR, target=target.name, status=response.status)
        return "refused"

    def record_order(self, known: ServiceOrders, target: TargetView, order: Order) -> None:
        """Remembers the order, with the time of its first copy if it is a repetition."""
        now, before = self.clock.monotonic_ms(), known.sent.get(target.name)
        incarnation = known.states[target.name].incarnation
        if before is not None and before.order == order and before.incarnation == incarnation:
            known.sent[target.name] = before._replace(last_ms=now)
        else:
            known.sent[target.name] = SentOrder(order, incarnation, now, now)

    # Reports.

    def update_lease_state(self, service: str, known: ServiceOrders, lease_valid: bool) -> None:
        """Logs that the lease was won or lost; `lapsed` means that nobody else has taken it."""
        if lease_valid == known.lease_valid:
            return
        known.lease_valid = lease_valid
        lease = known.local_lease.lease
        fencing = lease.offset if lease is not None else None
        self.metrics.order_lease.set({"service": service}, int(lease_valid))
        if lease_valid:
            logs.event(log, "lease_acquired", service=service, fencing=fencing)
        elif self.board.stopping or (
            lease is not None and self.incarnation == lease.holder and lease.released
        ):
            logs.event(log, "lease_released", service=service, fencing=fencing)
        else:
            reason = "lapsed" if known.local_lease.held else "replaced"
            logs.event(
                log, "lease_lost", logging.WARNING, service=service, fencing=fencing, reason=reason
            )

    def report_targets(
        self, service: str, known: ServiceOrders, required: Mapping[str, Order], now: float
    ) -> None:
        """Counts the targets that differ, and reports orders that stay without effect."""
        gauge = self.metrics.order_targets
        gauge.set({"service": service, "state": "differs"}, len(required))
        gauge.set({"service": service, "state": "as_declared"}, len(known.states) - len(required))
        for name, sent in list(known.sent.items()):
            if required.get(name) != sent.order:
                del known.sent[name]
            elif now - sent.first_ms >= defaults.ORDER_OVERDUE_MS and not sent.reported:
                known.sent[name] = sent._replace(reported=True)
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
        """Notices leases that have lapsed since the last look."""
        now = self.clock.monotonic_ms()
        for name, known in self.services.items():
            self.update_lease_state(name, known, known.local_lease.remaining_ms(now) > 0)


def order_socket(info: Any) -> socket.socket:
    """A socket whose connection the kernel ends if the target does not acknowledge in time.

    Without that, the kernel could deliver an order long after its lease, even while this process is
    frozen.
    """
    family, kind, protocol = info[:3]
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, defaults.LEASE_MARGIN_MS // 2)
    return created
