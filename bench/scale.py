"""Measures the slopes from which docs/CAPACITY.md extrapolates to the planned size.

Run with `python -m bench.scale`. Each line is one JSON row: measure, size, value and unit. Memory
is counted by tracemalloc; time is processor time of this process.
"""

from __future__ import annotations

import asyncio
import gc
import gzip
import json
import random
import time
import tracemalloc
import uuid
from collections.abc import Callable, Iterable
from typing import Any

import aiohttp
import msgspec
import uuid6
from aiohttp import web

from savoryfork import defaults
from savoryfork.admission import Work
from savoryfork.board import Board
from savoryfork.burn import BurnRecorder
from savoryfork.callstate import CallResult
from savoryfork.claimfold import ClaimFold
from savoryfork.discovery import Discovery
from savoryfork.dispatch import Dispatcher
from savoryfork.membership import HostEntry, LoadReport, Membership
from savoryfork.pipeline import Service
from savoryfork.publication import ConfigFold, publication_record
from savoryfork.util.timer import Clock, system_clock
from savoryfork.util.topic import Record

HOSTS, TARGETS, SERVICES, WORKSPACES, PIPELINES = 320, 2_000, 21, 2_800, 15
ZONES = 12
HEADER_BYTES = 40


def print_row(measure: str, size: Any, value: float, unit: str) -> None:
    """Prints one row."""
    print(json.dumps({"measure": measure, "size": size, "value": round(value, 4), "unit": unit}))


def cpu_ms(action: Callable[[], Any], rounds: int = 1) -> float:
    """Returns the processor time of one round in milliseconds."""
    started = time.process_time()
    for _ in range(rounds):
        action()
    return (time.process_time() - started) * 1000 / rounds


def memory_kb(build: Callable[[], Any]) -> tuple[Any, float]:
    """Returns the result of `build` and the memory that it holds, in KB."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    return built, size


def host_list(targets: int, hosts: int) -> list[dict[str, Any]]:
    """Builds a host list of the given size."""
    rows = [
        {
            "name": f"{service}-{number}",
            "service": service,
            "address": f"10.{number % 200}.{number % 250}.7:9000",
            "availability_zone": f"az-{number % ZONES}",
            "incarnation": uuid.uuid4().hex,
            "state": "live",
        }
        for number in range(targets)
        for service in [f"service-{number % SERVICES}"]
    ]
    rows += [
        {**rows[0], "name": f"host-{number}", "service": "savoryfork"} for number in range(hosts)
    ]
    return rows


def measure_membership() -> None:
    """Measures memory, processor time and encoded size of the host list."""
    for targets, hosts in ((26, 9), (500, 80), (TARGETS, HOSTS)):
        rows = host_list(targets, hosts)
        entries = [HostEntry(**row) for row in rows]
        encoded = msgspec.json.encode({"hosts": rows})
        size = {"targets": targets, "hosts": hosts}

        def build(entries: list[HostEntry] = entries) -> tuple[Board, Membership]:
            board = Board("host-0", defaults.SUBSET_TARGETS)
            membership = Membership(board, system_clock(), "host-0")
            membership.apply_host_list(entries)
            return board, membership

        (board, membership), size_kb = memory_kb(build)
        print_row("host list, memory of the views", size, size_kb, "KB")
        print_row("host list, bytes on the wire (gzip)", size, len(gzip.compress(encoded)), "B")
        apply = cpu_ms(lambda m=membership, e=entries: m.apply_host_list(e), 5)  # type: ignore
        print_row("host list, decode and apply", size, apply + decode_ms(encoded), "ms")
        discovery = object.__new__(Discovery)
        discovery.board, discovery.clock, discovery.host = board, system_clock(), "host-0"
        discovery.polled = {}
        print_row("choice of the targets to poll", size, cpu_ms(discovery.targets_due, 5), "ms")
        choose = cpu_ms(lambda b=board: b.targets.choose("service-1"), 20)  # type: ignore
        print_row("choice of a subset", size, choose, "ms")


def decode_ms(encoded: bytes) -> float:
    """Returns the processor time of decoding a host list, in milliseconds."""
    return cpu_ms(lambda: [HostEntry(**row) for row in msgspec.json.decode(encoded)["hosts"]], 5)


def workspace_file(number: int) -> dict[str, Any]:
    """Returns the file of one workspace with all pipelines."""
    return {
        "kind": "workspace",
        "key_digests": [f"{number:064x}"],
        "pipelines": [f"pipeline-{n}" for n in range(PIPELINES)],
        "share": 1,
    }


def base_files() -> dict[str, Any]:
    """Returns the service and pipeline files of the planned size."""
    files: dict[str, Any] = {
        f"service/service-{n}.json": {"kind": "service", "type": "engine", "model": f"m{n}"}
        for n in range(11)
    }
    stage = {"name": "answer", "type": "generate", "service": "service-0", "max_tokens": 100}
    for n in range(PIPELINES):
        files[f"pipeline/pipeline-{n}.json"] = {
            "kind": "pipeline",
            "stages": [stage],
            "deadline_ms": 10_000,
            "priority": 5,
        }
    return files


def publications(workspaces: int) -> Iterable[dict[str, Any]]:
    """Yields the publications that build a configuration, 100 files each."""
    files = base_files()
    for number in range(workspaces):
        files[f"workspace/w-{number}.json"] = workspace_file(number)
    paths = list(files)
    for start in range(0, len(paths), 100):
        part = {path: files[path] for path in paths[start : start + 100]}
        base = dict.fromkeys(part, -1)
        yield publication_record(str(uuid6.uuid7()), "rosa", base, part)


def measure_configuration() -> None:
    """Measures the memory of the fold and the time to fold one change."""
    for workspaces in (5, 700, WORKSPACES):
        records = [Record(n, 0, value) for n, value in enumerate(publications(workspaces))]

        def build(records: list[Record] = records) -> ConfigFold:
            fold = ConfigFold()
            for record in records:
                fold.apply(record)
            return fold

        fold, size_kb = memory_kb(build)
        if len(fold.configuration.workspaces) != workspaces:
            raise RuntimeError(f"publications were refused: {fold.verdicts}")
        print_row("configuration, memory of the fold", {"workspaces": workspaces}, size_kb, "KB")
        path = "workspace/w-1.json"
        total_ms, rounds = 0.0, 50
        sizes = 0
        for number in range(rounds):
            content = {**workspace_file(1), "share": number + 2}
            value = publication_record(
                str(uuid6.uuid7()), "rosa", {path: fold.base_offset(path)}, {path: content}
            )
            record = Record(fold.position, 0, value)
            sizes += len(msgspec.json.encode(record))
            total_ms += cpu_ms(lambda f=fold, r=record: f.apply(r))  # type: ignore[misc]
        print_row(
            "configuration, fold one change", {"workspaces": workspaces}, total_ms / rounds, "ms"
        )
        print_row(
            "configuration, bytes of one change", {"workspaces": workspaces}, sizes / rounds, "B"
        )
        snapshot = fold.snapshot()
        print_row("configuration, snapshot", {"workspaces": workspaces}, len(snapshot), "B")


def measure_dispatch() -> None:
    """Measures one decision (acquire and release) by candidates and outstanding calls."""
    for targets in (2, 6, 20, 180):
        for outstanding in (0, 4):
            asyncio.run(measure_decisions(targets, outstanding))


async def measure_decisions(targets: int, outstanding: int) -> None:
    """Measures one size, with `outstanding` calls at each target."""
    now = [0.0]
    board = Board()
    membership = Membership(board, Clock(lambda: now[0], lambda: now[0]), "host-0")
    entries = [
        HostEntry(f"m-{n}", "m", f"10.0.0.{n}:1", f"az-{n % ZONES}", str(n), "live")
        for n in range(targets)
    ]
    membership.apply_host_list(entries)
    for entry in entries:
        membership.update_load(entry.name, entry.incarnation, LoadReport(2, 0, 300))
    clock = Clock(lambda: now[0], lambda: now[0])
    dispatcher = Dispatcher(board, clock, random.Random(1), "adaptive")
    service = Service("m", "engine", max_inflight=64)
    work = Work("w", "p", "s", 5, 200, 100, 1e9, "prefix", 1.0)
    for _ in range(outstanding * targets):
        await dispatcher.acquire(service, work)
    rounds = 300
    started = time.process_time()
    for _ in range(rounds):
        now[0] += 1.0
        slot = await dispatcher.acquire(service, work)
        dispatcher.calls.first_token(slot)
        dispatcher.calls.release(slot, CallResult.ANSWERED, 50)
    spent_ms = (time.process_time() - started) * 1000 / rounds
    print_row(
        "dispatch, one call", {"targets": targets, "outstanding": outstanding}, spent_ms, "ms"
    )

    def tick() -> None:
        now[0] += defaults.DISPATCH_PERIOD_MS
        dispatcher.tick()

    print_row(
        "dispatch, one tick",
        {"targets": targets, "outstanding": outstanding},
        cpu_ms(tick, 50),
        "ms",
    )


def measure_claims() -> None:
    """Measures the memory of one retained key and the time to fold its two records."""
    keys = 2_000
    answer = {"answer": {"action": {"reference": "x" * 200}}}
    records = []
    for number in range(keys):
        claim, key = uuid.uuid4().hex, str(uuid6.uuid7())
        now_ms = int(time.time() * 1000)
        common = {"schema": 1, "workspace": f"w-{number % 50}", "key": key}
        records.append(
            Record(
                2 * number,
                now_ms,
                {
                    "type": "claim",
                    "id": claim,
                    **common,
                    "pipeline": "p",
                    "digest": "d" * 64,
                    "claimant": "host-0/incarnation",
                    "deadline_ms": now_ms + 10_000,
                },
            )
        )
        outcome = {"type": "outcome", "id": uuid.uuid4().hex, "claim": claim, **common}
        records.append(
            Record(2 * number + 1, now_ms, {**outcome, "state": "done", "answer": answer})
        )

    def build() -> ClaimFold:
        fold = ClaimFold()
        for record in records:
            fold.apply(record)
        return fold

    total_ms = cpu_ms(build)
    fold, size_kb = memory_kb(build)
    if len(fold.entries) != keys:
        raise RuntimeError("the fold skipped claims")
    print_row("claims, memory of one key with its answer", {"keys": keys}, size_kb / keys, "KB")
    print_row("claims, fold of claim and outcome", {"keys": keys}, total_ms / keys, "ms")


def measure_burn() -> None:
    """Measures the memory of one minute's counters and the time to count one run."""
    for pairs in (30, 3_000):
        recorder = BurnRecorder()

        def count(number: int, recorder: BurnRecorder = recorder) -> None:
            workspace, pipeline = f"w-{number // PIPELINES}", f"pipeline-{number % PIPELINES}"
            stages = {"encode": 10.0, "retrieve": 20.0, "generate": 900.0}
            recorder.record(workspace, pipeline, None, None, True, 950.0, stages, 60_000.0)

        def build(pairs: int = pairs, count: Callable[[int], None] = count) -> None:
            for number in range(pairs):
                count(number)

        _, size_kb = memory_kb(build)
        print_row("burn, memory of one minute", {"pairs": pairs}, size_kb, "KB")
        print_row("burn, count one run", {"pairs": pairs}, cpu_ms(build) / pairs, "ms")


async def measure_poll() -> None:
    """Measures processor time and bytes of one load poll; both ends are in this process."""
    board = Board("host-0")
    membership = Membership(board, system_clock(), "host-0")
    report = {"time_ms": 1_700_000_000_000, "running": 3, "waiting": 0, "tokens": 900}

    async def load(request: web.Request) -> web.Response:
        headers = {"X-Incarnation": uuid.uuid4().hex}
        return web.Response(body=msgspec.json.encode(report), headers=headers)

    app = web.Application()
    app.router.add_get("/load", load)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    entry = HostEntry("m-0", "m", f"127.0.0.1:{port}", "z", "1", "live")
    membership.apply_host_list([entry])
    discovery = Discovery(board, membership, system_clock(), "host-0", "http://127.0.0.1:1")
    rounds = 300
    started = time.process_time()
    for _ in range(rounds):
        await discovery.poll_load(board.targets["m-0"])
    spent_ms = (time.process_time() - started) * 1000 / rounds
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://127.0.0.1:{port}/load") as response,
    ):
        request = response.request_info
        sent = len(f"GET /load HTTP/1.1\r\n{dict(request.headers)}")
        received = len(str(dict(response.headers))) + len(await response.read())
    await discovery.close()
    await runner.cleanup()
    print_row("load poll, both ends", {"polls": rounds}, spent_ms, "ms")
    print_row("load poll, bytes both ways with 4 TCP/IP headers", {}, sent + received + 160, "B")


def main() -> None:
    """Measures everything."""
    measure_membership()
    measure_configuration()
    measure_dispatch()
    measure_claims()
    measure_burn()
    asyncio.run(measure_poll())


if __name__ == "__main__":
    main()
