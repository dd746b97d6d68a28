"""Runs the dispatcher of several hosts against fakes of targets, over a virtual clock.

Every scenario runs the same requests (by seed) through the adaptive policy and the baselines.
Times are virtual milliseconds; a run takes a few seconds whatever the load of the machine.
"""

from __future__ import annotations

import asyncio
import heapq
import random
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

import looptime

from savoryfork.admission import Work
from savoryfork.board import Board, HostView, TargetView
from savoryfork.callstate import CallResult, Slot
from savoryfork.dispatch import Dispatcher
from savoryfork.errors import ServiceError
from savoryfork.pipeline import (
    GenerateStage,
    Pipeline,
    Service,
    Stage,
)
from savoryfork.util.timer import Clock

TICK_MS = 100.0
LATENCY_MS = 1.0

# Engine: time of a step, its growth with each sequence and with each prompt token of the step.
STEP_MS = 12.0
STEP_PER_SEQUENCE_MS = 0.6
STEP_PER_PROMPT_TOKEN_MS = 0.05
PROMPT_TOKENS_PER_STEP = 512
BATCH = 16
PLAIN_WORKERS = 8


def now_ms() -> float:
    """The virtual time."""
    return asyncio.get_running_loop().time() * 1000


class Call:
    """One call at a target; `done` gets True when it is answered in full."""

    def __init__(self, prompt: int, output: int, service_ms: float, priority: int) -> None:
        self.prompt = prompt
        self.output = output
        self.service_ms = service_ms
        self.priority = priority
        self.produced = 0
        self.cancelled = False
        self.on_token: Callable[[int], None] = lambda count: None
        self.done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()


class Target:
    """What fakes have in common: a queue by priority, and a factor that slows them down."""

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.slowness = 1.0
        self.running: list[Call] = []
        self.queue: list[tuple[int, int, Call]] = []
        self.arrivals = 0
        self.busy_ms = 0.0

    def submit(self, call: Call) -> None:
        """Takes a call in; it waits until there is room."""
        self.arrivals += 1
        heapq.heappush(self.queue, (call.priority, self.arrivals, call))
        self.fill()

    def cancel(self, call: Call) -> None:
        """The caller has gone."""
        call.cancelled = True
        self.queue = [item for item in self.queue if item[2] is not call]
        heapq.heapify(self.queue)

    def fill(self) -> None:
        """Starts waiting calls while there is room."""

    def load(self) -> tuple[int, int, int]:
        """Running and waiting calls, and tokens of them still to be processed."""
        calls = self.running + [item[2] for item in self.queue]
        tokens = sum(call.prompt + call.output - call.produced for call in calls)
        return len(self.running), len(self.queue), tokens


class Engine(Target):
    """Continuous batching: each step gives one token to each sequence whose prompt is done.

    Prompts are processed in order, at most `PROMPT_TOKENS_PER_STEP` tokens in a step.
    """

    stepping = False

    def fill(self) -> None:
        while self.queue and len(self.running) < BATCH:
            self.running.append(heapq.heappop(self.queue)[2])
        if self.running and not self.stepping:
            self.stepping = True
            self.plan()

    def plan(self) -> None:
        """Starts a step."""
        room = PROMPT_TOKENS_PER_STEP
        decoding: list[Call] = []
        for call in self.running:
            if call.prompt > 0:
                part = min(room, call.prompt)
                call.prompt -= part
                room -= part
            if call.prompt == 0:
                decoding.append(call)
        step = STEP_MS + STEP_PER_SEQUENCE_MS * len(self.running)
        step += STEP_PER_PROMPT_TOKEN_MS * (PROMPT_TOKENS_PER_STEP - room)
        self.busy_ms += step * self.slowness
        loop = asyncio.get_running_loop()
        loop.call_later(step * self.slowness / 1000, self.step, decoding)

    def step(self, decoding: list[Call]) -> None:
        """Ends a step."""
        for call in decoding:
            if call.cancelled:
                continue
            call.produced += 1
            call.on_token(call.produced)
            if call.produced >= call.output and not call.done.done():
                call.done.set_result(True)
        self.running = [c for c in self.running if not c.done.done() and not c.cancelled]
        self.stepping = False
        self.fill()


class Plain(Target):
    """A service with a few workers."""

    def fill(self) -> None:
        while self.queue and len(self.running) < PLAIN_WORKERS:
            call = heapq.heappop(self.queue)[2]
            self.running.append(call)
            took = call.service_ms * self.slowness
            self.busy_ms += took / PLAIN_WORKERS
            asyncio.get_running_loop().call_later(took / 1000, self.end, call)

    def end(self, call: Call) -> None:
        """A worker has finished."""
        self.running.remove(call)
        if not call.done.done():
            call.done.set_result(True)
        self.fill()


class StageLoad(NamedTuple):
    """Draws for one stage of one request; `service_ms` is for calls that are not generation."""

    prompt: int
    output: int
    service_ms: float


class Arrival(NamedTuple):
    """One request; `at_ms` counts from the start of the run."""

    at_ms: float
    workspace: str
    share: float
    pipeline: Pipeline
    prefix: str
    stages: tuple[StageLoad, ...]


class Outcome(NamedTuple):
    """What became of a request; `kind` is "" if it was answered in full within its deadline."""

    at_ms: float
    pipeline: str
    workspace: str
    priority: int
    took_ms: float
    kind: str


class Host:
    """One entry host: a dispatcher and a small runner in place of the real one."""

    def __init__(
        self, board: Board, dispatcher: Dispatcher, targets: Mapping[str, Target], services: Any
    ) -> None:
        self.board = board
        self.dispatcher = dispatcher
        self.targets = targets
        self.services: Mapping[str, Service] = services
        self.calls = 0
        self.extra = 0

    async def run(self, arrival: Arrival) -> Outcome:
        """Runs a request; every failure has the name of its error kind."""
        start = now_ms()
        pipeline = arrival.pipeline
        kind = ""
        try:
            works = [
                self.work(arrival, stage, load, start)
                for stage, load in zip(pipeline.stages, arrival.stages, strict=True)
            ]
            self.dispatcher.admit(pipeline, self.services, works)
            async with asyncio.timeout(pipeline.deadline_ms / 1000):
                for stage, load, work in zip(pipeline.stages, arrival.stages, works, strict=True):
                    await self.stage(self.services[stage.service], work, load)
        except ServiceError as error:
            kind = error.kind.value
        except TimeoutError:
            kind = "deadline_exceeded"
        return Outcome(
            arrival.at_ms,
            pipeline.name,
            arrival.workspace,
            pipeline.priority,
            now_ms() - start,
            kind,
        )

    def work(self, arrival: Arrival, stage: Stage, load: StageLoad, start: float) -> Work:
        """The work of a stage, as the runner states it."""
        generate = isinstance(stage, GenerateStage)
        return Work(
            arrival.workspace,
            arrival.pipeline.name,
            stage.name,
            arrival.pipeline.priority,
            load.prompt if generate else 0,
            stage.max_tokens if isinstance(stage, GenerateStage) else 0,
            start + arrival.pipeline.deadline_ms,
            arrival.prefix if generate else "",
            arrival.share,
        )

    async def stage(self, service: Service, work: Work, load: StageLoad) -> None:
        """Runs a stage with a hedge; the first whole answer wins."""
        tasks = {asyncio.ensure_future(self.attempt(service, work, load, frozenset()))}
        self.calls += 1
        try:
            delay = self.dispatcher.hedge_delay_ms(service, work)
            late = delay is not None and not await self.hedge_time(tasks, delay)
            if late and self.dispatcher.spend_hedge(service):
                self.extra += 1
                used = frozenset(getattr(task, "target", "") for task in tasks)
                tasks.add(asyncio.ensure_future(self.attempt(service, work, load, used - {""})))
            pending = tasks
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                errors = [task.exception() for task in done]
                if None in errors:
                    return
                if not pending and errors[0] is not None:
                    raise errors[0]
        finally:
            for task in tasks:
                task.cancel()

    async def hedge_time(self, tasks: set[Any], delay: float) -> bool:
        """Waits for an answer until a hedge is due; True if the answer came."""
        end = now_ms() + delay
        (task,) = tasks
        while now_ms() < end:
            done, _ = await asyncio.wait(tasks, timeout=max(1.0, min(50.0, end - now_ms())) / 1000)
            if done:
                return True
            slot = getattr(task, "slot", None)
            if slot is not None and slot.straggling.is_set():
                return False
        return False

    async def attempt(
        self, service: Service, work: Work, load: StageLoad, exclude: frozenset[str]
    ) -> None:
        """One call to one target."""
        slot = await self.dispatcher.acquire(service, work, exclude)
        task: Any = asyncio.current_task()
        task.target = slot.target.name
        task.slot = slot
        result = CallResult.CANCELLED
        call = Call(load.prompt, load.output, load.service_ms, work.priority)
        target = self.targets[slot.target.name]
        try:
            await asyncio.sleep(LATENCY_MS / 1000)
            call.on_token = self.listener(slot)
            target.submit(call)
            await call.done
            await asyncio.sleep(LATENCY_MS / 1000)
            result = CallResult.ANSWERED
        finally:
            if result is CallResult.CANCELLED:
                target.cancel(call)
            self.dispatcher.calls.release(slot, result, call.produced)

    def listener(self, slot: Slot) -> Callable[[int], None]:
        """Reports tokens to the dispatcher."""

        def on_token(count: int) -> None:
            if count == 1:
                self.dispatcher.calls.first_token(slot)
            else:
                self.dispatcher.calls.progress(slot, count)

        return on_token


class Reports(NamedTuple):
    """How hosts learn of load: polled each `period_ms`, `hidden_ms` old already when read."""

    period_ms: float = 1_000.0
    hidden_ms: float = 0.0


class Setting(NamedTuple):
    """One run: services with their targets, hosts, requests and what happens to the targets."""

    services: Mapping[str, Service]
    replicas: Mapping[str, int]
    hosts: int
    arrivals: Sequence[Arrival]
    reports: Reports = Reports()
    slowed: tuple[float, float, float] | None = None  # factor, least and most ms of a moment


class Result(NamedTuple):
    """Outcomes of a run, the share of extra calls and how busy the targets of each service were."""

    outcomes: list[Outcome]
    extra: float
    busy: Mapping[str, float]
    spread: float


Policy = Callable[[Board, Clock, random.Random], Dispatcher]


def named(policy: str) -> Policy:
    """A policy of the dispatcher."""
    return lambda board, clock, rng: Dispatcher(board, clock, rng, policy)


async def simulate(setting: Setting, policy: Policy, seed: int) -> Result:
    """Runs a setting to its end on the running (virtual) loop."""
    rng = random.Random(seed)
    clock = Clock(now_ms, now_ms)
    targets: dict[str, Target] = {}
    for service in setting.services.values():
        for index in range(setting.replicas[service.name]):
            name = f"{service.name}-{index}"
            kind = Engine if service.kind == "engine" else Plain
            targets[name] = kind(name, service.name)
    hosts: list[Host] = []
    for index in range(setting.hosts):
        board = Board()
        for name, target in targets.items():
            board.targets[name] = TargetView(name, target.service, "", f"az-{len(name)}", "1")
        for other in range(setting.hosts):
            if other != index:
                board.hosts[f"h{other}"] = HostView(f"h{other}", "", "", "1")
        dispatcher = policy(board, clock, random.Random(seed * 1000 + index))
        hosts.append(Host(board, dispatcher, targets, setting.services))
    spreads: list[float] = []
    helpers = [asyncio.ensure_future(report(h, setting.reports, rng.random())) for h in hosts]
    helpers += [asyncio.ensure_future(ticks(h.dispatcher)) for h in hosts]
    helpers.append(asyncio.ensure_future(watch(targets, spreads)))
    if setting.slowed is not None:
        helpers.append(asyncio.ensure_future(slow_down(targets, setting.slowed, seed)))
    start = asyncio.get_running_loop().time()
    tasks: list[asyncio.Future[Outcome]] = []
    for arrival in setting.arrivals:
        await asyncio.sleep(max(0.0, start + arrival.at_ms / 1000 - now_ms() / 1000))
        tasks.append(asyncio.ensure_future(rng.choice(hosts).run(arrival)))
    lasted = now_ms() - start * 1000
    outcomes = list(await asyncio.gather(*tasks))
    for helper in helpers:
        helper.cancel()
    busy: dict[str, float] = {}
    for target in targets.values():
        part = target.busy_ms / lasted / setting.replicas[target.service]
        busy[target.service] = busy.get(target.service, 0.0) + part
    calls = sum(host.calls for host in hosts)
    extra = sum(host.extra for host in hosts) / max(1, calls)
    return Result(outcomes, extra, busy, sum(spreads) / max(1, len(spreads)))


async def report(host: Host, reports: Reports, phase: float) -> None:
    """Polls load reports into the board of a host."""
    past: deque[tuple[float, dict[str, tuple[int, int, int]]]] = deque()
    await asyncio.sleep(phase * reports.period_ms / 1000)
    while True:
        now = now_ms()
        past.append((now, {name: target.load() for name, target in host.targets.items()}))
        while len(past) > 1 and past[1][0] <= now - reports.hidden_ms:
            past.popleft()
        for name, (running, waiting, tokens) in past[0][1].items():
            host.board.targets[name] = host.board.targets[name]._replace(
                running=running, waiting=waiting, tokens=tokens, reported_ms=now
            )
        await asyncio.sleep(reports.period_ms / 1000)


async def ticks(dispatcher: Dispatcher) -> None:
    """The timer service."""
    while True:
        await asyncio.sleep(TICK_MS / 1000)
        dispatcher.tick()


async def watch(targets: Mapping[str, Target], spreads: list[float]) -> None:
    """Notes how unevenly load lies: the largest load of a service's targets over the mean."""
    while True:
        await asyncio.sleep(0.1)
        loads = [sum(t.load()[:2]) for t in targets.values() if isinstance(t, Engine)]
        if sum(loads) >= len(loads):
            spreads.append(max(loads) * len(loads) / sum(loads))


async def slow_down(
    targets: Mapping[str, Target], slowed: tuple[float, float, float], seed: int
) -> None:
    """Slows one in six engines for moments, each time another one, with pauses twice as long."""
    rng = random.Random(seed)
    factor, least, most = slowed
    engines = [target for target in targets.values() if isinstance(target, Engine)]
    previous: list[Engine] = []
    while True:
        await asyncio.sleep(rng.uniform(2 * least, 2 * most) / 1000)
        chosen = rng.sample([e for e in engines if e not in previous], max(1, len(engines) // 6))
        for engine in chosen:
            engine.slowness = factor
        await asyncio.sleep(rng.uniform(least, most) / 1000)
        for engine in chosen:
            engine.slowness = 1.0
        previous = chosen


def run(setting: Setting, policy: Policy, seed: int) -> Result:
    """Runs a setting on a loop of its own."""
    loop = looptime.new_event_loop(start=0, noop_cycles=1)
    try:
        return loop.run_until_complete(simulate(setting, policy, seed))
    finally:
        loop.close()
