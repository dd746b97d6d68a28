"""Simulates the dispatchers of several hosts with fake targets and a virtual clock.

Every scenario runs the same requests (by seed) through the adaptive policy and the baselines.
Times are virtual milliseconds and don't depend on the load of the machine; a run takes seconds.
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

# Engine: base time of a step, and the time added by each sequence and by each prompt token.
STEP_MS = 12.0
STEP_PER_SEQUENCE_MS = 0.6
STEP_PER_PROMPT_TOKEN_MS = 0.05
PROMPT_TOKENS_PER_STEP = 512
BATCH = 16
PLAIN_WORKERS = 8


def now_ms() -> float:
    """Returns the virtual time in milliseconds."""
    return asyncio.get_running_loop().time() * 1000


class Call:
    """One call at a target; `done` is resolved when it is answered in full."""

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
    """The base of fake targets: a priority queue and a slowdown factor."""

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.slow_factor = 1.0
        self.running: list[Call] = []
        self.queue: list[tuple[int, int, Call]] = []
        self.arrivals = 0
        self.busy_ms = 0.0

    def submit(self, call: Call) -> None:
        """Queues a call until there is capacity for it."""
        self.arrivals += 1
        heapq.heappush(self.queue, (call.priority, self.arrivals, call))
        self.fill()

    def cancel(self, call: Call) -> None:
        """Cancels a call whose caller has disconnected."""
        call.cancelled = True
        self.queue = [item for item in self.queue if item[2] is not call]
        heapq.heapify(self.queue)

    def fill(self) -> None:
        """Starts waiting calls while there is capacity."""

    def load(self) -> tuple[int, int, int]:
        """Returns the counts of running and waiting calls, and their outstanding tokens."""
        calls = self.running + [item[2] for item in self.queue]
        tokens = sum(call.prompt + call.output - call.produced for call in calls)
        return len(self.running), len(self.queue), tokens


class Engine(Target):
    """Continuous batching: each step produces one token for each sequence with a processed prompt.

    Prompts are processed in batch order, at most `PROMPT_TOKENS_PER_STEP` tokens in a step.
    """

    stepping = False

    def fill(self) -> None:
        while self.queue and len(self.running) < BATCH:
            self.running.append(heapq.heappop(self.queue)[2])
        if self.running and not self.stepping:
            self.stepping = True
            self.start_step()

    def start_step(self) -> None:
        """Processes prompt tokens and schedules the end of the step."""
        budget = PROMPT_TOKENS_PER_STEP
        decoding: list[Call] = []
        for call in self.running:
            if call.prompt > 0:
                chunk = min(budget, call.prompt)
                call.prompt -= chunk
                budget -= chunk
            if call.prompt == 0:
                decoding.append(call)
        step = STEP_MS + STEP_PER_SEQUENCE_MS * len(self.running)
        step += STEP_PER_PROMPT_TOKEN_MS * (PROMPT_TOKENS_PER_STEP - budget)
        self.busy_ms += step * self.slow_factor
        loop = asyncio.get_running_loop()
        loop.call_later(step * self.slow_factor / 1000, self.finish_step, decoding)

    def finish_step(self, decoding: list[Call]) -> None:
        """Produces the tokens of a step and removes the sequences that have ended."""
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
    """A service with `PLAIN_WORKERS` parallel workers."""

    def fill(self) -> None:
        while self.queue and len(self.running) < PLAIN_WORKERS:
            call = heapq.heappop(self.queue)[2]
            self.running.append(call)
            duration_ms = call.service_ms * self.slow_factor
            self.busy_ms += duration_ms / PLAIN_WORKERS
            asyncio.get_running_loop().call_later(duration_ms / 1000, self.finish_call, call)

    def finish_call(self, call: Call) -> None:
        """Completes a call and starts the next one."""
        self.running.remove(call)
        if not call.done.done():
            call.done.set_result(True)
        self.fill()


class StageLoad(NamedTuple):
    """The drawn load of one stage of one request; `service_ms` is for non-generation calls."""

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
    """The result of a request; `kind` is "" if it was answered in full within its deadline."""

    at_ms: float
    pipeline: str
    workspace: str
    priority: int
    took_ms: float
    kind: str


class Host:
    """One entry host: a dispatcher and a simplified runner."""

    def __init__(
        self, board: Board, dispatcher: Dispatcher, targets: Mapping[str, Target], services: Any
    ) -> None:
        self.board = board
        self.dispatcher = dispatcher
        self.targets = targets
        self.services: Mapping[str, Service] = services
        self.calls = 0
        self.hedges = 0

    async def run(self, arrival: Arrival) -> Outcome:
        """Runs a request; a failure gives the name of its error kind."""
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
        """Returns the work of a stage, as the real runner builds it."""
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
        """Runs a stage with a hedge; the first complete answer wins."""
        tasks = {asyncio.ensure_future(self.attempt(service, work, load, frozenset()))}
        self.calls += 1
        try:
            delay = self.dispatcher.hedge_delay_ms(service, work)
            hedge_due = delay is not None and not await self.wait_for_answer_or_hedge(tasks, delay)
            if hedge_due and self.dispatcher.spend_hedge(service):
                self.hedges += 1
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

    async def wait_for_answer_or_hedge(self, tasks: set[Any], delay: float) -> bool:
        """Waits for an answer until a hedge is due; returns true if it is answered."""
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
        """Makes one call to one target."""
        slot = await self.dispatcher.acquire(service, work, exclude)
        task: Any = asyncio.current_task()
        task.target = slot.target.name
        task.slot = slot
        result = CallResult.CANCELLED
        call = Call(load.prompt, load.output, load.service_ms, work.priority)
        target = self.targets[slot.target.name]
        try:
            await asyncio.sleep(LATENCY_MS / 1000)
            call.on_token = self.token_listener(slot)
            target.submit(call)
            await call.done
            await asyncio.sleep(LATENCY_MS / 1000)
            result = CallResult.ANSWERED
        finally:
            if result is CallResult.CANCELLED:
                target.cancel(call)
            self.dispatcher.calls.release(slot, result, call.produced)

    def token_listener(self, slot: Slot) -> Callable[[int], None]:
        """Returns a callback that reports tokens to the dispatcher."""

        def on_token(count: int) -> None:
            if count == 1:
                self.dispatcher.calls.first_token(slot)
            else:
                self.dispatcher.calls.progress(slot, count)

        return on_token


class Reports(NamedTuple):
    """Load reports of hosts: polled every `period_ms`, already `lag_ms` old when read."""

    period_ms: float = 1_000.0
    lag_ms: float = 0.0


class Setting(NamedTuple):
    """One run: services with their targets, hosts, requests and slowdowns of the targets."""

    services: Mapping[str, Service]
    replicas: Mapping[str, int]
    hosts: int
    arrivals: Sequence[Arrival]
    reports: Reports = Reports()
    slowdowns: tuple[float, float, float] | None = None  # factor, min and max duration in ms


class Result(NamedTuple):
    """Outcomes of a run, share of hedges, utilization by service, and mean load imbalance."""

    outcomes: list[Outcome]
    hedge_share: float
    utilizations: Mapping[str, float]
    imbalance: float


Policy = Callable[[Board, Clock, random.Random], Dispatcher]


def dispatcher_policy(policy: str) -> Policy:
    """Returns the dispatcher's policy of a given name."""
    return lambda board, clock, rng: Dispatcher(board, clock, rng, policy)


async def simulate(setting: Setting, policy: Policy, seed: int) -> Result:
    """Runs a setting to completion on the running loop, which has a virtual clock."""
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
    imbalances: list[float] = []
    background_tasks = [
        asyncio.ensure_future(poll_reports(h, setting.reports, rng.random())) for h in hosts
    ]
    background_tasks += [asyncio.ensure_future(run_ticks(h.dispatcher)) for h in hosts]
    background_tasks.append(asyncio.ensure_future(sample_imbalance(targets, imbalances)))
    if setting.slowdowns is not None:
        background_tasks.append(
            asyncio.ensure_future(inject_slowdowns(targets, setting.slowdowns, seed))
        )
    start = asyncio.get_running_loop().time()
    tasks: list[asyncio.Future[Outcome]] = []
    for arrival in setting.arrivals:
        await asyncio.sleep(max(0.0, start + arrival.at_ms / 1000 - now_ms() / 1000))
        tasks.append(asyncio.ensure_future(rng.choice(hosts).run(arrival)))
    duration_ms = now_ms() - start * 1000
    outcomes = list(await asyncio.gather(*tasks))
    for task in background_tasks:
        task.cancel()
    utilizations: dict[str, float] = {}
    for target in targets.values():
        utilization = target.busy_ms / duration_ms / setting.replicas[target.service]
        utilizations[target.service] = utilizations.get(target.service, 0.0) + utilization
    calls = sum(host.calls for host in hosts)
    hedge_share = sum(host.hedges for host in hosts) / max(1, calls)
    return Result(outcomes, hedge_share, utilizations, sum(imbalances) / max(1, len(imbalances)))


async def poll_reports(host: Host, reports: Reports, phase: float) -> None:
    """Polls load reports into the board of a host."""
    history: deque[tuple[float, dict[str, tuple[int, int, int]]]] = deque()
    await asyncio.sleep(phase * reports.period_ms / 1000)
    while True:
        now = now_ms()
        history.append((now, {name: target.load() for name, target in host.targets.items()}))
        while len(history) > 1 and history[1][0] <= now - reports.lag_ms:
            history.popleft()
        for name, (running, waiting, tokens) in history[0][1].items():
            host.board.targets[name] = host.board.targets[name]._replace(
                running=running, waiting=waiting, tokens=tokens, reported_ms=now
            )
        await asyncio.sleep(reports.period_ms / 1000)


async def run_ticks(dispatcher: Dispatcher) -> None:
    """Calls the dispatcher's periodic tick."""
    while True:
        await asyncio.sleep(TICK_MS / 1000)
        dispatcher.tick()


async def sample_imbalance(targets: Mapping[str, Target], imbalances: list[float]) -> None:
    """Samples the load imbalance of the engines: the largest load over the mean."""
    while True:
        await asyncio.sleep(0.1)
        loads = [sum(t.load()[:2]) for t in targets.values() if isinstance(t, Engine)]
        if sum(loads) >= len(loads):
            imbalances.append(max(loads) * len(loads) / sum(loads))


async def inject_slowdowns(
    targets: Mapping[str, Target], slowdowns: tuple[float, float, float], seed: int
) -> None:
    """Slows a sixth of the engines for a time, then others, with pauses twice as long."""
    rng = random.Random(seed)
    factor, min_ms, max_ms = slowdowns
    engines = [target for target in targets.values() if isinstance(target, Engine)]
    previous: list[Engine] = []
    while True:
        await asyncio.sleep(rng.uniform(2 * min_ms, 2 * max_ms) / 1000)
        slowed = rng.sample([e for e in engines if e not in previous], max(1, len(engines) // 6))
        for engine in slowed:
            engine.slow_factor = factor
        await asyncio.sleep(rng.uniform(min_ms, max_ms) / 1000)
        for engine in slowed:
            engine.slow_factor = 1.0
        previous = slowed


def run(setting: Setting, policy: Policy, seed: int) -> Result:
    """Runs a setting on a new loop with a virtual clock."""
    loop = looptime.new_event_loop(start=0, noop_cycles=1)
    try:
        return loop.run_until_complete(simulate(setting, policy, seed))
    finally:
        loop.close()
