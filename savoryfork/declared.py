"""Computes the orders that bring engines to their declared state, without I/O or a clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from savoryfork import defaults
from savoryfork.pipeline import Service
from savoryfork.tenure import LocalLease

# Used for a 429 response without a valid Retry-After, and as the minimum.
RETRY_AFTER_MS = 1_000.0

LOAD_KINDS = frozenset({"load_model", "load_adapter"})


class EngineState(msgspec.Struct):
    """The part of a target's `GET /state` that orders act on; the rest is ignored.

    `pending` counts accepted orders that have not been carried out.
    """

    incarnation: str
    models: dict[str, str]
    adapters: list[str]
    role: str
    pending: int = 0


class Declared(NamedTuple):
    """The declared state of one target; empty or None fields are not managed."""

    model: str
    version: str
    adapters: tuple[str, ...] | None
    role: str


class Order(NamedTuple):
    """An order without its fencing number; `value` is a model, adapter or role by kind."""

    kind: str
    value: str
    version: str = ""

    def body(self, fencing: int) -> dict[str, Any]:
        """Returns the body of `POST /orders`."""
        field = {"set_role": "role"}.get(self.kind, self.kind.partition("_")[2])
        body: dict[str, Any] = {"kind": self.kind, field: self.value, "fencing": fencing}
        return body | {"version": self.version} if self.version else body


def is_managed(service: Service) -> bool:
    """Returns True if the service declares anything that orders can change."""
    return bool(service.version) or service.adapters is not None or service.roles is not None


def declared_states(service: Service, names: Iterable[str]) -> dict[str, Declared]:
    """Returns the declared state of each target. Roles are assigned by share, in name order.

    >>> service = Service("s", "engine", roles=(("decode", 0.5), ("prefill", 0.25)))
    >>> [state.role for state in declared_states(service, "abcd").values()]
    ['decode', 'decode', 'prefill', 'both']
    """
    found = {}
    ordered = sorted(names)
    for index, name in enumerate(ordered):
        role = ""
        if service.roles is not None:
            role, end = "both", 0.0
            for candidate, share in service.roles:
                end += share
                if (index + 0.5) / len(ordered) <= end:
                    role = candidate
                    break
        found[name] = Declared(service.model, service.version, service.adapters, role)
    return found


def next_order(desired: Declared, state: EngineState) -> Order | None:
    """Returns the next order towards the declared state, None if the target is in it.

    Other models stay loaded, since requests admitted under an earlier configuration may still need
    them.
    """
    if desired.version and state.models.get(desired.model) != desired.version:
        return Order("load_model", desired.model, desired.version)
    if desired.adapters is not None:
        for adapter in desired.adapters:
            if adapter not in state.adapters:
                return Order("load_adapter", adapter)
        for adapter in sorted(state.adapters):
            if adapter not in desired.adapters:
                return Order("unload_adapter", adapter)
    if desired.role and state.role != desired.role:
        return Order("set_role", desired.role)
    return None


def loads_allowed(targets: int, loading: int, unreachable: int) -> int:
    """Returns how many more targets of a service may start loading.

    Unreachable targets count as unavailable capacity, but one load at a time is always allowed, so
    that a dead target can't block a roll-out for good.
    """
    at_once = max(1, int(targets * defaults.ORDER_LOAD_SHARE) - unreachable)
    return max(0, at_once - loading)


def retry_after_ms(value: str | None) -> float:
    """Returns the delay of a Retry-After header in milliseconds.

    >>> retry_after_ms("3"), retry_after_ms("soon")
    (3000.0, 1000.0)
    """
    try:
        return max(RETRY_AFTER_MS, float(value or "") * 1000)
    except ValueError:
        return RETRY_AFTER_MS


class SentOrder(NamedTuple):
    """The last order to a target: its incarnation, and when it was first and last sent."""

    order: Order
    incarnation: str
    first_ms: float
    last_ms: float
    reported: bool = False


class ServiceOrders:
    """Order state of one service: its lease, the targets' states and the sent orders."""

    def __init__(self, incarnation: str) -> None:
        self.local_lease = LocalLease(incarnation)
        self.states: dict[str, EngineState] = {}
        self.polled: dict[str, float] = {}
        self.unreachable: set[str] = set()
        self.just_polled: set[str] = set()
        self.sent: dict[str, SentOrder] = {}
        self.differs_since_ms: float | None = None
        self.next_load_ms = 0.0
        self.lease_valid = False

    def prune(self, incarnations: Mapping[str, str]) -> None:
        """Drops unlisted targets and the state read from other incarnations.

        A restarted engine loads the model of its command line, so its state is polled at once.
        """
        for name, state in list(self.states.items()):
            if incarnations.get(name) != state.incarnation:
                del self.states[name]
                self.polled.pop(name, None)
        for table in (self.polled, self.sent):
            for name in set(table) - set(incarnations):
                del table[name]
        self.unreachable &= set(incarnations)

    def required_orders(self, desired: Mapping[str, Declared]) -> dict[str, Order]:
        """Returns the next order of each target whose known state differs from the declared one."""
        found = {}
        for name, state in self.states.items():
            order = next_order(desired[name], state) if name in desired else None
            if order is not None:
                found[name] = order
        return found

    def is_busy(self, name: str, order: Order, now_ms: float) -> bool:
        """Returns True if a target is still executing an earlier order or this one."""
        state, sent = self.states[name], self.sent.get(name)
        if state.pending > 0:
            return True
        if sent is None or sent.order != order or sent.incarnation != state.incarnation:
            return False
        return now_ms - sent.last_ms < defaults.ORDER_REPEAT_MS

    def due_orders(
        self, required: Mapping[str, Order], targets: int, now_ms: float
    ) -> dict[str, Order]:
        """Returns the orders to send now, one for each target whose state was just polled."""
        busy = {name for name, state in self.states.items() if state.pending > 0}
        busy |= {name for name, order in required.items() if self.is_busy(name, order, now_ms)}
        loads = loads_allowed(targets, len(busy - self.unreachable), len(self.unreachable))
        chosen = {}
        for name in sorted(self.just_polled - busy):
            order = required.get(name)
            if order is None:
                continue
            if order.kind in LOAD_KINDS:
                if loads == 0 or now_ms < self.next_load_ms:
                    continue
                loads -= 1
            chosen[name] = order
        return chosen
