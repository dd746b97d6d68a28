"""A model engine with continuous batching, a prompt-prefix cache, priorities and orders.

Run with `python -m standins.engine --port=8100 --model=m`. Each step produces one token for
every running sequence; steps take longer with more sequences and with uncached prompt tokens. The
text is computed by `standins.text`.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter, OrderedDict, deque
from typing import Annotated, Any, NamedTuple, TypedDict

import aiohttp
import msgspec
from aiohttp import web

from standins import server, text
from standins.target import ATTEMPT, CROSSED, ECHOED, Identity, Target

MAX_EVENTS = 10_000

# The step loop catches up on no more delay than this; a longer one means a stopped process.
MAX_CATCH_UP_MS = 100

ORDER_KINDS = ("load_model", "unload_model", "load_adapter", "unload_adapter", "set_role")
ROLES = ("both", "prefill", "decode")


class EngineSettings(NamedTuple):
    """Flags of an engine."""

    name: Annotated[str, "name of this target"] = "engine"
    service: Annotated[str, "service that this target belongs to"] = "engine"
    model: Annotated[str, "model that is loaded at the start"] = "model"
    max_batch: Annotated[int, "sequences in one step"] = 16
    max_waiting: Annotated[int, "sequences that may wait; more are answered 429"] = 256
    step_ms: Annotated[float, "duration of a step without sequences"] = 8.0
    step_per_sequence_ms: Annotated[float, "longer step per running sequence"] = 0.25
    prefill_ms_per_token: Annotated[float, "longer step per uncached prompt token"] = 0.05
    prefill_chunk: Annotated[int, "prompt tokens of one step"] = 512
    cache_blocks: Annotated[int, "blocks of the prefix cache, each of 16 tokens"] = 4096
    block_ms: Annotated[float, "duration of exporting or importing one block"] = 0.05
    report_lag_ms: Annotated[float, "delay of load reports"] = 500.0
    events_lag_ms: Annotated[float, "delay of cache events"] = 500.0
    events_gap_rate: Annotated[float, "share of cache events that are lost"] = 0.02
    checks_orders: Annotated[bool, "refuse orders with an old fencing number"] = False
    platform_url: Annotated[str, "weight store; none if empty"] = ""
    load_ms: Annotated[float, "duration of loading weights after the download"] = 300.0
    seed: Annotated[int, "seed of the faults and of lost cache events"] = 0


class Completion(TypedDict, total=False):
    """Body of `POST /v1/completions`."""

    prompt: str
    model: str
    max_tokens: int
    priority: int
    stream: bool
    resume_from: int


class Order(TypedDict, total=False):
    """Body of `POST /orders`."""

    kind: str
    model: str
    version: str
    adapter: str
    role: str
    fencing: int


class Export(TypedDict):
    """Body of `POST /kv/export`."""

    prompt: str


class Import(TypedDict):
    """Body of `POST /kv/import`."""

    blocks: list[str]


class Sequence:
    """One completion in the engine; `next_index` is the index of the next token."""

    def __init__(
        self,
        attempt: str,
        model: str,
        prompt: str,
        priority: int,
        first: int,
        max_tokens: int,
        deadline_ms: float,
    ) -> None:
        self.attempt = attempt
        self.model = model
        self.prompt = prompt
        self.priority = priority
        self.next_index = first
        self.max_tokens = max_tokens
        self.deadline_ms = deadline_ms
        self.arrival = 0
        self.prompt_tokens = text.count_tokens(prompt)
        self.blocks = text.blocks(model, prompt)
        self.to_prefill = self.prompt_tokens + first
        self.cached_tokens = 0
        self.finish_reason = ""
        self.events: asyncio.Queue[tuple[int, str] | None] = asyncio.Queue()

    def scheduling_key(self) -> tuple[int, int]:
        """Returns the sort key of the scheduler: priority, then arrival."""
        return self.priority, self.arrival

    def outstanding_tokens(self) -> int:
        """Returns the number of tokens still to be processed."""
        return self.to_prefill + self.max_tokens - self.next_index


class PrefixCache:
    """An LRU cache of block hashes that records an event for each change."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.entries: OrderedDict[str, None] = OrderedDict()
        self.events: deque[dict[str, Any]] = deque(maxlen=MAX_EVENTS)
        self.sequence = 0

    def match_prefix(self, blocks: list[str]) -> int:
        """Returns the number of leading blocks that are cached, and marks them as used."""
        for count, block in enumerate(blocks):
            if block not in self.entries:
                return count
            self.entries.move_to_end(block)
        return len(blocks)

    def store(self, blocks: list[str], time_ms: float) -> None:
        """Stores blocks and evicts the least recently used ones."""
        stored = [block for block in blocks if block not in self.entries]
        for block in blocks:
            self.entries[block] = None
            self.entries.move_to_end(block)
        removed = []
        while len(self.entries) > self.capacity:
            removed.append(self.entries.popitem(last=False)[0])
        for kind, changed in (("stored", stored), ("removed", removed)):
            if changed:
                self.events.append(
                    {"seq": self.sequence, "time_ms": time_ms, "kind": kind, "blocks": changed}
                )
                self.sequence += 1


class Engine(Target):
    """State and handlers of one engine."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.cache = PrefixCache(settings.cache_blocks)
        self.arrivals = 0
        self.pauses = 0
        self.totals: Counter[str] = Counter()
        self.steps = 0
        self.cancelled = 0
        self.loaded = {settings.model: "1"}
        self.adapters: set[str] = set()
        self.role = "both"
        self.fencing = -1
        self.orders: list[dict[str, Any]] = []
        self.order_lock = asyncio.Lock()
        self.pending = 0
        self.tasks: set[asyncio.Task[Any]] = set()
        self.work_available = asyncio.Event()
        super().__init__(
            Identity(settings.name, settings.service), settings.report_lag_ms, settings.seed
        )

    def load(self) -> dict[str, float]:
        """Returns the counts of sequences and their outstanding tokens."""
        return {
            "running": len(self.running),
            "waiting": len(self.waiting),
            "tokens": sum(s.outstanding_tokens() for s in [*self.running, *self.waiting]),
        }

    def details(self) -> dict[str, Any]:
        """Returns models, role, orders and cache for the state."""
        return {
            "models": self.loaded,
            "adapters": sorted(self.adapters),
            "role": self.role,
            "fencing": self.fencing,
            "pending": self.pending,
            "orders": self.orders,
            "cached_blocks": len(self.cache.entries),
            "totals": dict(self.totals),
            "steps": self.steps,
            "pauses": self.pauses,
            "cancelled": self.cancelled,
        }

    def routes(self) -> list[web.RouteDef]:
        """Returns the engine's routes."""
        return [
            web.post("/v1/completions", self.complete),
            web.delete("/v1/completions/{attempt}", self.delete),
            web.get("/cache/events", self.cache_events),
            web.post("/kv/export", self.export),
            web.post("/kv/import", self.import_),
            web.post("/orders", self.receive_order),
        ]

    def app(self) -> web.Application:
        """Returns the web application, which starts and stops the step loop."""
        app = super().app()
        app.on_startup.append(self.start)
        app.on_cleanup.append(self.stop)
        return app

    async def start(self, app: web.Application) -> None:
        """Starts the step loop."""
        self.spawn(self.run_steps())

    async def stop(self, app: web.Application) -> None:
        """Cancels the step loop and orders in progress."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def spawn(self, coroutine: Any) -> None:
        """Runs a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task[Any]) -> None:
        """Removes a finished background task and logs its failure."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            server.log.error("event=task_failed", exc_info=error)

    # Scheduling.

    def submit(self, sequence: Sequence) -> None:
        """Puts a new sequence in the waiting queue."""
        self.arrivals += 1
        sequence.arrival = self.arrivals
        self.waiting.append(sequence)
        self.record_load()
        self.work_available.set()

    def end(self, sequence: Sequence, reason: str) -> None:
        """Removes a sequence from the engine and ends its stream with a finish reason."""
        if sequence.finish_reason:
            return
        sequence.finish_reason = reason
        for queue in (self.running, self.waiting):
            if sequence in queue:
                queue.remove(sequence)
        sequence.events.put_nowait(None)
        if reason == "cancelled":
            self.cancelled += 1
        self.record_load()

    def schedule(self) -> None:
        """Fills the batch in scheduling order; waiting sequences preempt worse priorities."""
        now = server.now_ms()
        for sequence in [s for s in [*self.running, *self.waiting] if s.deadline_ms <= now]:
            self.end(sequence, "deadline")
        self.waiting.sort(key=Sequence.scheduling_key)
        while self.waiting:
            if len(self.running) >= self.settings.max_batch:
                worst = max(self.running, key=Sequence.scheduling_key)
                if self.waiting[0].priority >= worst.priority:
                    return
                self.preempt(worst)
            self.admit(self.waiting.pop(0))

    def preempt(self, sequence: Sequence) -> None:
        """Moves a running sequence back to the queue; its KV cache is then recomputed."""
        self.pauses += 1
        self.running.remove(sequence)
        sequence.to_prefill = sequence.prompt_tokens + sequence.next_index
        self.waiting.append(sequence)
        self.waiting.sort(key=Sequence.scheduling_key)

    def admit(self, sequence: Sequence) -> None:
        """Starts a sequence; cached blocks of its prompt need no prefill."""
        hit_tokens = self.cache.match_prefix(sequence.blocks) * text.BLOCK_TOKENS
        sequence.cached_tokens = hit_tokens
        sequence.to_prefill = sequence.prompt_tokens + sequence.next_index - hit_tokens
        self.totals["prompt"] += sequence.prompt_tokens
        self.totals["cached"] += min(hit_tokens, sequence.prompt_tokens)
        self.running.append(sequence)

    async def run_steps(self) -> None:
        """Runs steps while there are sequences, and waits otherwise."""
        due_ms = server.now_ms()
        while True:
            if not self.running and not self.waiting:
                self.work_available.clear()
                await self.work_available.wait()
                due_ms = server.now_ms()
            await self.faults.running.wait()
            self.schedule()
            if not self.running:
                continue
            batch = list(self.running)
            settings = self.settings
            ready, prefilled = self.prefill(batch)
            due_ms = max(due_ms, server.now_ms() - MAX_CATCH_UP_MS) + self.faults.slow_factor * (
                settings.step_ms
                + settings.step_per_sequence_ms * len(batch)
                + settings.prefill_ms_per_token * prefilled
            )
            await asyncio.sleep(max(0.0, due_ms - server.now_ms()) / 1000)
            await self.faults.running.wait()
            self.emit(ready)

    def prefill(self, batch: list[Sequence]) -> tuple[list[Sequence], int]:
        """Processes prompt tokens, up to the step's budget, in scheduling order.

        Returns the sequences that are ready to decode and the number of prompt tokens processed.
        """
        budget = self.settings.prefill_chunk
        ready = []
        for sequence in sorted(batch, key=Sequence.scheduling_key):
            chunk = min(budget, sequence.to_prefill)
            budget -= chunk
            sequence.to_prefill -= chunk
            if sequence.to_prefill == 0:
                ready.append(sequence)
                if chunk:
                    self.cache.store(sequence.blocks, server.now_ms())
        return ready, self.settings.prefill_chunk - budget

    def emit(self, ready: list[Sequence]) -> None:
        """Produces one token for each sequence that is still running."""
        self.steps += 1
        for sequence in ready:
            if sequence.finish_reason:
                continue
            piece = text.token(sequence.model, sequence.prompt, sequence.next_index)
            sequence.events.put_nowait((sequence.next_index, piece))
            sequence.next_index += 1
            self.totals["generated"] += 1
            if sequence.next_index >= sequence.max_tokens:
                self.end(sequence, "stop")
        self.record_load()

    # Completions.

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Generates text, as an event stream or as one JSON answer."""
        body = await server.read(request, Completion)
        model = body.get("model", self.settings.model)
        if model not in self.loaded:
            return server.refuse(404, f"model {model} is not loaded")
        if "prompt" not in body:
            return server.refuse(400, "prompt is missing")
        if len(self.waiting) >= self.settings.max_waiting:
            return server.refuse(429, "the queue is full")
        try:
            remaining_ms = float(request.headers.get("X-Deadline-Ms", "inf"))
            priority = body.get("priority", int(request.headers.get("X-Priority", "5")))
        except ValueError:
            return server.refuse(400, "X-Deadline-Ms and X-Priority must be numbers")
        sequence = Sequence(
            request.headers[ATTEMPT],
            model,
            # A crossed answer also carries the text of a different prompt.
            "crossed " + body["prompt"] if request[CROSSED] else body["prompt"],
            priority,
            max(0, body.get("resume_from", 0)),
            body.get("max_tokens", 16),
            server.now_ms() + remaining_ms if math.isfinite(remaining_ms) else math.inf,
        )
        if sequence.next_index >= sequence.max_tokens:
            sequence.finish_reason = "stop"
            sequence.events.put_nowait(None)
        else:
            self.submit(sequence)
        try:
            if self.faults.consume_drop():
                server.drop_connection(request)
            if body.get("stream", False):
                return await self.stream(request, sequence)
            return await self.collect(request, sequence)
        finally:
            # Also runs when the client closes the connection.
            self.end(sequence, "cancelled")

    async def stream(self, request: web.Request, sequence: Sequence) -> web.StreamResponse:
        """Sends each token as an event, then the end marker if the sequence is complete."""
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        attempt = request[ECHOED]
        copies = 2 if self.faults.draw_fault(self.faults.duplicate) else 1
        await response.prepare(request)
        sent = 0
        while (event := await sequence.events.get()) is not None:
            index, piece = event
            data = encode_event({"attempt": attempt, "index": index, "text": piece})
            await response.write(data * copies)
            sent += 1
            if 0 < self.faults.cut_after_tokens <= sent:
                return response
        end = {
            "attempt": attempt,
            "finish_reason": sequence.finish_reason,
            "tokens": sequence.next_index,
        }
        await response.write(encode_event(end))
        if sequence.finish_reason == "stop":
            await response.write(b"data: [DONE]\n\n")
        return response

    async def collect(self, request: web.Request, sequence: Sequence) -> web.Response:
        """Answers with the whole text in the OpenAI format."""
        pieces = []
        while (event := await sequence.events.get()) is not None:
            pieces.append(event[1])
        if sequence.finish_reason != "stop":
            status = 504 if sequence.finish_reason == "deadline" else 499
            return server.refuse(status, f"ended by {sequence.finish_reason}")
        return server.reply(
            {
                "id": request[ECHOED],
                "choices": [{"index": 0, "text": "".join(pieces), "finish_reason": "stop"}],
                "usage": {
                    "prompt_tokens": sequence.prompt_tokens,
                    "completion_tokens": sequence.next_index,
                    "cached_tokens": sequence.cached_tokens,
                },
            }
        )

    async def delete(self, request: web.Request) -> web.Response:
        """Cancels the sequences of an attempt."""
        attempt = request.match_info["attempt"]
        found = [s for s in [*self.running, *self.waiting] if s.attempt == attempt]
        for sequence in found:
            self.end(sequence, "cancelled")
        return server.reply({"cancelled": len(found)}, 200 if found else 404)

    # Cache.

    async def cache_events(self, request: web.Request) -> web.Response:
        """Returns delayed cache events from sequence number `from` on, without the lost ones."""
        first = server.number(request, "from", 0)
        visible_ms = server.now_ms() - self.settings.events_lag_ms
        visible = [e for e in self.cache.events if e["time_ms"] <= visible_ms]
        events = [
            {name: e[name] for name in ("seq", "kind", "blocks")}
            for e in visible
            if e["seq"] >= first and not self.is_lost(e["seq"])
        ]
        return server.reply({"events": events, "next": visible[-1]["seq"] + 1 if visible else 0})

    def is_lost(self, number: int) -> bool:
        """Returns true if a cache event is never reported."""
        share = text.hash_parts(self.incarnation, self.settings.seed, number) / 2**64
        return share < self.settings.events_gap_rate

    async def export(self, request: web.Request) -> web.Response:
        """Exports the cached leading blocks of a prompt."""
        body = await server.read(request, Export)
        blocks = text.blocks(self.settings.model, body["prompt"])
        blocks = blocks[: self.cache.match_prefix(blocks)]
        await asyncio.sleep(len(blocks) * self.settings.block_ms / 1000)
        return server.reply({"blocks": blocks})

    async def import_(self, request: web.Request) -> web.Response:
        """Imports blocks that another engine exported."""
        body = await server.read(request, Import)
        await asyncio.sleep(len(body["blocks"]) * self.settings.block_ms / 1000)
        self.cache.store(body["blocks"], server.now_ms())
        return server.reply({"imported": len(body["blocks"])})

    # Orders.

    async def receive_order(self, request: web.Request) -> web.Response:
        """Accepts an order; with `checks_orders`, refuses one whose fencing number is stale."""
        order = await server.read(request, Order)
        reason = check_order(order)
        if reason:
            return server.refuse(400, reason)
        fencing = order["fencing"]
        accepted = not self.settings.checks_orders or fencing >= self.fencing
        self.orders.append({**order, "accepted": accepted, "time_ms": server.wall_ms()})
        if not accepted:
            return server.reply(
                {"error": {"message": "old fencing number"}, "fencing": self.fencing}, 409
            )
        self.fencing = max(self.fencing, fencing)
        self.pending += 1
        self.spawn(self.process_order(order))
        return server.reply({"accepted": True}, 202)

    async def process_order(self, order: Order) -> None:
        """Executes one order and then decrements `pending`."""
        try:
            await self.execute_order(order)
        finally:
            self.pending -= 1

    async def execute_order(self, order: Order) -> None:
        """Executes an order after the earlier ones."""
        async with self.order_lock:
            match order["kind"]:
                case "load_model":
                    await self.load_weights(order["model"])
                    self.loaded[order["model"]] = order.get("version", "1")
                case "unload_model":
                    self.loaded.pop(order["model"], None)
                case "load_adapter":
                    await self.load_weights(order["adapter"])
                    self.adapters.add(order["adapter"])
                case "unload_adapter":
                    self.adapters.discard(order["adapter"])
                case "set_role":
                    self.role = order["role"]

    async def load_weights(self, weights: str) -> None:
        """Downloads weights, retrying after the store's Retry-After, and loads them."""
        async with aiohttp.ClientSession() as session:
            while self.settings.platform_url:
                url = f"{self.settings.platform_url}/weights/{weights}"
                wait_s = 1.0
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            break
                        wait_s = float(response.headers.get("Retry-After", "1"))
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(wait_s)
        await asyncio.sleep(self.settings.load_ms / 1000)


def check_order(order: Order) -> str:
    """Returns the reason why an order is malformed, or an empty string."""
    kind = order.get("kind")
    if kind not in ORDER_KINDS:
        return f"kind must be one of {', '.join(ORDER_KINDS)}"
    if "fencing" not in order:
        return "fencing is missing"
    required_field = {"set_role": "role"}.get(kind, kind.partition("_")[2])
    if required_field not in order:
        return f"{required_field} is missing"
    if kind == "set_role" and order["role"] not in ROLES:
        return f"role must be one of {', '.join(ROLES)}"
    return ""


def encode_event(event: dict[str, Any]) -> bytes:
    """Encodes one server-sent event."""
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def build(settings: EngineSettings) -> web.Application:
    """Returns the application for the given settings."""
    return Engine(settings).app()


if __name__ == "__main__":
    server.main(EngineSettings, build)
