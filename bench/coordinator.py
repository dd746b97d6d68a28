"""Measures the processor time of stage work at its coordinator, and that of an idle host.

Run with `python -m bench.coordinator`. A coordinator and its pools run in virtual time; calls to
targets are fakes that take the declared time, so nothing but the project's own code is measured.
Each line is one JSON row as of `bench.scale`. The digest covers every decision with its virtual
time: a change that only makes the code faster leaves it as it is. The last line is JSON, too.
"""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import json
import logging
import math
import os
import random
import selectors
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, cast

from bench.scale import cpu_ms, print_row
from savoryfork import defaults
from savoryfork.forward import batching
from savoryfork.forward.budget import RetryBudget
from savoryfork.forward.connection import Connection, Connections
from savoryfork.forward.coordinator import Coordinator
from savoryfork.forward.crashes import CrashMonitor
from savoryfork.forward.health import HealthTracker
from savoryfork.forward.knowledge import NO_ENTRIES, TopicTable
from savoryfork.forward.loads import LoadTable
from savoryfork.forward.members import Member
from savoryfork.forward.messages import (
    MessageCodec,
    StageResult,
    SyncReply,
    SyncRequest,
    WorkReply,
    WorkRequest,
)
from savoryfork.forward.metrics import ForwardMetrics
from savoryfork.forward.model import BatchLimits, PieceResult, StagePlan, Target
from savoryfork.forward.pool import Pool, StageTask, TargetState
from savoryfork.forward.pools import Pools
from savoryfork.forward.registry import Registry
from savoryfork.forward.signals import TargetSignals
from savoryfork.platform.wire import PlatformWire
from savoryfork.util import logs
from savoryfork.util.background import BackgroundTasks
from savoryfork.util.timer import Clock, TimerService

DURATION_S = 12.0
REVIEW_PERIOD_MS = 100.0
SEED = 1
TRIES = 4
ZONES = 3

# The stage services of a cell of wrekin (docs/design/hard-load.md), half of the deployment's.
SERVICES = {
    "first": (5, BatchLimits(1, 11, 150.0, 12.0, 57_750_000.0, 4_000.0)),
    "second": (4, BatchLimits(1, 56, 150.0, 2.25, 10_270_000.0, 4_000.0)),
    "third": (5, BatchLimits(1, 91, 150.0, 1.37, 1_610_000.0, 4_000.0)),
}


class Kind(NamedTuple):
    """Requests with the same stages; `rate` is a second in one cell of wrekin."""

    rate: float
    priority: int
    aim_ms: float
    deadline_ms: float
    plans: tuple[StagePlan, ...]
    pieces: tuple[int, ...]


# Rates, priorities and times are wrekin's; the pieces bring its services to some 0.8 of their
# capacity.
KINDS = (
    Kind(
        22.0,
        0,
        1_035.0,
        6_212.0,
        (StagePlan("first", (), 480_000), StagePlan("third", (0,), 6_000)),
        (2, 16),
    ),
    Kind(
        45.7,
        2,
        3_019.0,
        6_038.0,
        (StagePlan("second", (), 60_000), StagePlan("third", (0,), 6_000)),
        (10, 16),
    ),
    Kind(
        11.0,
        1,
        1_515.0,
        15_149.0,
        (
            StagePlan("first", (), 480_000),
            StagePlan("second", (0,), 60_000),
            StagePlan("first", (1,), 480_000),
        ),
        (3, 8, 3),
    ),
)


class VirtualSelector(selectors.DefaultSelector):
    """Waits no real time: a wait advances the clock of the loop instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        self.now += timeout or 0.0
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time that costs no more than an ordinary one."""

    def __init__(self) -> None:
        self.waits = VirtualSelector()
        super().__init__(self.waits)

    def time(self) -> float:
        return self.waits.now


class DigestHandler(logging.Handler):
    """Formats the lines as a host does; hashes their pairs with the virtual time."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock
        self.digest = hashlib.sha256()
        self.lines = 0
        self.decisions: dict[str, int] = {}

    def emit(self, record: logging.LogRecord) -> None:
        self.lines += 1
        if not isinstance(record.msg, dict):
            return
        pairs = cast(dict[str, Any], record.msg)
        self.decisions[pairs["event"]] = self.decisions.get(pairs["event"], 0) + 1
        # Rounded, since equal times may differ in the order in which durations were added.
        # The free space is left out: when results are freed is no decision on work.
        pairs = {key: value for key, value in pairs.items() if key != "room_kb"}
        self.digest.update(f"{self.clock.monotonic_ms():.3f} {sorted(pairs.items())}".encode())


class FakePools(Pools):
    """Pools whose calls take the declared time and always succeed."""

    handles = itertools.count()
    stage_calls = 0
    free_calls = 0

    async def exchange(
        self,
        pool: Pool,
        target: Target,
        state: TargetState,
        batch: list[tuple[StageTask, int]],
    ) -> list[PieceResult]:
        self.stage_calls += 1
        await asyncio.sleep(batching.call_ms(pool.limits, len(batch)) / 1000)
        return [f"{target.name}-{next(self.handles)}" for _ in batch]


class NoStages(Coordinator):
    """A coordinator that answers after a time without any work, to measure the driver itself."""

    async def handle(self, request: WorkRequest) -> WorkReply:
        await asyncio.sleep(0.3)
        return WorkReply({})


class NoCrashes:
    """A crash monitor without any report."""

    def __init__(self) -> None:
        self.quarantine = self
        self.requests: dict[int, None] = {}

    def is_quarantined(self, request: int) -> bool:
        return False


def least_cpu_ms(action: Callable[[], Any], rounds: int) -> float:
    """Returns the processor time of one round, the least of some tries.

    Other processes on the machine only lengthen it, by up to a factor of two.
    """
    return min(cpu_ms(action, rounds) for _ in range(TRIES))


def build(clock: Clock, kind: type[Coordinator] = Coordinator) -> Coordinator:
    """Builds a coordinator with the targets of one cell."""
    registry = Registry(lambda key, value: None)
    for service, (count, limits) in SERVICES.items():
        for n in range(count):
            name = f"{service}-{n}"
            address = f"{name}:80"
            zone = f"zone-{n % ZONES}"
            registry.targets[name] = Target(name, service, address, zone, 1, limits.slots, False)
    registry.reindex()
    pools = FakePools(
        registry,
        HealthTracker(),
        Connections(),
        PlatformWire(),
        clock,
        lambda service: SERVICES[service][1],
        lambda service: RetryBudget(0.2, 164.0, 10_000.0),
        BackgroundTasks(),
        ForwardMetrics(),
        cast(TargetSignals, None),
        cast(CrashMonitor, NoCrashes()),
    )

    async def free(service: str, address: str, handles: list[str]) -> None:
        pools.free_calls += 1
        await asyncio.sleep(0.002)

    pools.result_freer.call = free  # type: ignore[method-assign]
    return kind(pools, pools.metrics)


async def serve(coordinator: Coordinator, request: WorkRequest) -> None:
    """Has one request's stages run, and its results freed once its engine has read them."""
    reply = await coordinator.handle(request)
    await asyncio.sleep(0.05)
    for stage, results in reply.results.items():
        coordinator.pools.free(request.plans[stage].service, results)


async def play(coordinator: Coordinator, load: float, requests: list[int]) -> float:
    """Serves requests at a multiple of the usual rates; returns the processor time in ms."""
    rng = random.Random(SEED)
    clock = coordinator.pools.clock
    tasks: list[asyncio.Task[None]] = []
    active = 0
    started = time.process_time()
    reviewed_at = clock.monotonic_ms()
    while clock.monotonic_ms() < DURATION_S * 1000:
        await asyncio.sleep(rng.expovariate(load * sum(kind.rate for kind in KINDS)))
        while reviewed_at + REVIEW_PERIOD_MS <= clock.monotonic_ms():
            reviewed_at += REVIEW_PERIOD_MS
            await coordinator.refuse_unreachable_work()
        kind = rng.choices(KINDS, [kind.rate for kind in KINDS])[0]
        request = WorkRequest(
            f"r{len(tasks)}",
            kind.plans,
            kind.pieces,
            "key",
            kind.priority,
            kind.deadline_ms * rng.uniform(0.8, 1.0),
            kind.aim_ms - rng.uniform(100.0, 400.0),
            f"zone-{rng.randrange(ZONES)}",
        )
        active = max(active, len(coordinator.active))
        tasks.append(asyncio.create_task(serve(coordinator, request)))
    await asyncio.gather(*tasks)
    pools = cast(FakePools, coordinator.pools)
    requests += [len(tasks), active, pools.stage_calls, pools.free_calls]
    return (time.process_time() - started) * 1000


def run_virtual(main: Callable[[Clock], Coroutine[Any, Any, Any]]) -> Any:
    """Runs a coroutine on a new loop in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main(Clock(lambda: loop.time() * 1000, lambda: 0.0)))
    finally:
        loop.close()


def measure_requests(load: float) -> dict[str, Any]:
    """Measures the time of a staged request without logs, and its decisions in a further run."""
    root = logging.getLogger()
    root.handlers, level = [logging.NullHandler()], root.level
    root.setLevel(logging.WARNING)
    spent_ms, driver_ms = math.inf, math.inf
    for _ in range(TRIES):
        driver_ms = min(
            driver_ms, run_virtual(lambda clock: play(build(clock, NoStages), load, []))
        )
        requests: list[int] = []
        spent_ms = min(
            spent_ms, run_virtual(lambda clock, r=requests: play(build(clock), load, r))  # type: ignore
        )
    root.setLevel(logging.INFO)
    handlers = []

    async def record(clock: Clock) -> None:
        handlers.append(DigestHandler(clock))
        root.handlers = [handlers[0]]
        await play(build(clock), load, [])

    run_virtual(record)
    root.setLevel(level)
    count, active, stage_calls, free_calls = requests
    digest = handlers[0].digest.hexdigest()[:12]
    size = {"load": load, "requests": count, "active at most": active}
    spent_ms -= driver_ms
    print_row("staged request without logs", size, spent_ms / count, "ms")
    print_row("lines of a staged request", size, handlers[0].lines / count, "lines")
    print_row("stage calls of a staged request", size, stage_calls / count, "calls")
    print_row("calls that free results of a staged request", size, free_calls / count, "calls")
    decisions = {k: v for k, v in handlers[0].decisions.items() if k.startswith("work_")}
    return {"load": load, "ms": round(spent_ms / count, 4), "digest": digest, **decisions}


def measure_messages() -> None:
    """Measures the coding of the messages of one staged request, one end."""
    codec = MessageCodec()
    kind = KINDS[0]
    request = WorkRequest(
        "r" * 24, kind.plans, kind.pieces, "k" * 32, 0, 6e3, 1e3, "zone-1", fingerprint=1 << 60
    )
    result = StageResult("h" * 24, "10.0.0.1:8000", "zone-1")
    reply = WorkReply({1: [result] * 16})
    sent = [codec.encode(request, WorkRequest), codec.encode(reply, WorkReply)]

    def code() -> None:
        codec.decode(sent[0], WorkRequest)
        codec.encode(reply, WorkReply)

    print_row("coding of work and reply", {"results": 16}, least_cpu_ms(code, 2_000), "ms")


class NoSocket(asyncio.Transport):
    """A transport that drops what is written."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self

    def setsockopt(self, *arguments: Any) -> None:
        """Ignores the option."""

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def writelines(self, data: Any) -> None:
        """Drops the data."""


async def measure_call(clock: Clock) -> None:
    """Measures a call to a target that frees results, without the system's part."""
    wire = PlatformWire()
    body = b'{"ok":true}'
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    rounds, spent_ms = 500, math.inf
    for _ in range(TRIES):
        connection = Connection("10.0.0.1:80")
        connection.connection_made(NoSocket())
        started = time.process_time()
        for _ in range(rounds):
            connection.send(*wire.free_call("10.0.0.1:80", ["h" * 24] * 16, "target-1"))
            connection.data_received(answer)
            head = await connection.read_head()
            wire.decode_answer(head.status, head.headers)
            await connection.read_body()
            connection.prepare_reuse()
        spent_ms = min(spent_ms, (time.process_time() - started) * 1000 / rounds)
    print_row("call that frees results, without the system's part", {}, spent_ms, "ms")


def measure_log() -> None:
    """Measures one log line as a host writes it, to a file descriptor that takes all."""
    handler = logs.BoundedHandler(os.open(os.devnull, os.O_WRONLY))
    handler.MAX_LINES_PER_S = sys.maxsize
    logs.configure(handler, "host-1", "INFO")
    log = logging.getLogger("savoryfork.forward.pools")

    def line() -> None:
        logs.event(
            log,
            "stage_done",
            request="r" * 24,
            stage=1,
            service="third",
            pieces=16,
            late=False,
            due_ms=700,
            took_ms=500,
            failure=None,
        )

    print_row("log line", {"fields": 8}, least_cpu_ms(line, 2_000), "ms")


async def measure_idle(clock: Clock) -> None:
    """Measures what an idle host does by itself: ticks of the timer, and long polls."""
    timer = TimerService(clock, defaults.TIMER_TICK_MS, defaults.PAUSE_THRESHOLD_MS)
    coordinator = build(clock)
    timer.subscribe("review", REVIEW_PERIOD_MS, coordinator.refuse_unreachable_work)
    timer.start()
    started = time.process_time()
    await asyncio.sleep(60.0)
    print_row("timer and review, idle", {}, (time.process_time() - started) / 60 * 1000, "ms/s")
    await timer.stop()


def measure_sync() -> None:
    """Measures the coding of one long poll without news, all four steps."""
    codec = MessageCodec()
    member = Member("10.0.0.1:7000", "zone-1", 1_700_000_000_000, 3, False, True)
    update = TopicTable().changes_since(NO_ENTRIES, 0.0)
    loads = {n << 40: (1_000, 3) for n in range(50)}
    request = SyncRequest(member, NO_ENTRIES, NO_ENTRIES, 400.0, [], 3, None, {}, 0.0, NO_ENTRIES)
    tables: tuple[tuple[str, LoadTable], ...] = (("idle", {}), ("50 busy engines", loads))
    for name, table in tables:
        reply = SyncReply(member, 400.0, [], 3, update, update, table, 10.0, update)

        def code(reply: SyncReply = reply) -> None:
            codec.decode(codec.encode(request, SyncRequest), SyncRequest)
            codec.decode(codec.encode(reply, SyncReply), SyncReply)

        print_row("coding of a long poll, both ends", name, least_cpu_ms(code, 1_000), "ms")


def main() -> None:
    """Measures everything."""
    measure_messages()
    measure_log()
    measure_sync()
    run_virtual(measure_call)
    run_virtual(measure_idle)
    rows = [measure_requests(load) for load in (0.25, 0.8, 1.2, 2.0)]
    print(json.dumps({"scenario": "coordinator", "runs": rows}))


if __name__ == "__main__":
    main()
