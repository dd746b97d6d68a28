"""Frees results on the stage targets that keep them, in batches."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence

from savoryfork.forward.connection import Connections, TargetError
from savoryfork.forward.messages import StageResult
from savoryfork.forward.registry import Registry
from savoryfork.forward.signals import TargetSignals
from savoryfork.forward.wire import Wire
from savoryfork.util import logs
from savoryfork.util.background import BackgroundTasks
from savoryfork.util.timer import Clock

log = logging.getLogger(__name__)

# Delay during which results to free on one target are collected into one call.
FREE_DELAY_MS = 15.0

# Timeout after which a call is abandoned. Its results stay on the target until they expire.
FREE_TIMEOUT_MS = 4_000.0

# Results on a target that pushes back for longer are not freed: targets keep them for 4 s on the
# sheets, so that they have expired by then.
MAX_FREE_WAIT_MS = 4_000.0


class ResultFreer:
    """Frees results on their targets, batching those of a short delay into one call.

    `on_freed` is called with the service, address and handles once the target has answered. Results
    on a target that is leaving are freed, too: that is no work of a caller, and other hosts may
    still have pieces there that need the space.
    """

    def __init__(
        self,
        connections: Connections,
        wire: Wire,
        clock: Clock,
        background: BackgroundTasks,
        on_freed: Callable[[str, str, Sequence[str]], None],
        registry: Registry,
        signals: TargetSignals,
    ) -> None:
        self.connections = connections
        self.wire = wire
        self.clock = clock
        self.background = background
        self.on_freed = on_freed
        self.registry = registry
        self.signals = signals
        self.pending: dict[tuple[str, str], list[str]] = {}

    def free(self, service: str, result: StageResult) -> None:
        """Frees a result after the batching delay."""
        key = (service, result.address)
        if key not in self.pending:
            asyncio.get_running_loop().call_later(FREE_DELAY_MS / 1000, self.flush, key)
        self.pending.setdefault(key, []).append(result.handle)

    def flush(self, key: tuple[str, str]) -> None:
        """Sends the collected results of one target, once it takes requests of this host."""
        service, address = key
        target = self.registry.at_address(service, address)
        if target is not None and target.zone in self.registry.evacuated:
            # Nothing may reach an evacuated zone; the results expire.
            count = len(self.pending.pop(key))
            logs.event(log, "free_failed", address=address, count=count, error="evacuated")
            return
        if target is not None:
            now = self.clock.monotonic_ms()
            push_back_until = self.registry.push_backs.blocked_until(target)
            wait_ms = max(push_back_until, self.registry.warmups.open_at(target, now)) - now
            if wait_ms > MAX_FREE_WAIT_MS:
                count = len(self.pending.pop(key))
                logs.event(log, "free_failed", address=address, count=count, error="pushed back")
                return
            if wait_ms > 0:
                asyncio.get_running_loop().call_later(wait_ms / 1000, self.flush, key)
                return
        self.background.spawn(self.send(service, address, self.pending.pop(key)))

    async def send(self, service: str, address: str, handles: list[str]) -> None:
        """Frees results in one call. If it fails, the results stay until they expire."""
        try:
            async with asyncio.timeout(FREE_TIMEOUT_MS / 1000):
                await self.call(service, address, handles)
        except (TimeoutError, TargetError) as error:
            reason = str(error) or "timeout"
            logs.event(log, "free_failed", address=address, count=len(handles), error=reason)
            return
        self.on_freed(service, address, handles)

    async def call(self, service: str, address: str, handles: list[str]) -> None:
        """Performs the call; raises TargetError.

        It names the target that is registered at the address, as another incarnation holds no
        results and its answers say nothing about this one.
        """
        target = self.registry.at_address(service, address)
        connection = await self.connections.open(address, self.clock.monotonic_ms())
        reusable = False
        try:
            now = self.clock.monotonic_ms()
            if target is not None and not self.registry.warmups.try_send(target, now):
                raise TargetError("cold", sent=False)
            connection.send(
                *self.wire.free_call(address, handles, target.name if target is not None else None)
            )
            head = await connection.read_head()
            answer = self.wire.decode_answer(head.status, head.headers)
            if target is not None:
                self.signals.observe(target, answer)
            await connection.read_body()
            if answer.not_run and not answer.wrong_target:
                raise TargetError("refused", sent=False)
            if not answer.leaving:
                self.connections.release_connection(
                    connection, self.clock.monotonic_ms(), answer.idle_s
                )
                reusable = True
        finally:
            if not reusable:
                connection.abort()
