"""The scenarios of the bench: requests, measures and required results."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

from bench import virtual
from bench.virtual import Arrival, Outcome, Reports, Result, Setting, StageLoad, dispatcher_policy
from savoryfork.board import Board, TargetView
from savoryfork.callstate import ServiceState, Waiter
from savoryfork.choice import BaselineChooser, Choice
from savoryfork.dispatch import LEAST_OUTSTANDING, Dispatcher
from savoryfork.pipeline import (
    ActionStage,
    GenerateStage,
    Pipeline,
    RerankStage,
    RetrieveStage,
    Service,
)
from savoryfork.util.timer import Clock

BASELINES = ("round_robin", "least_outstanding")
ENGINE = Service("engines", "engine", max_inflight=8)
SEARCH = Service("search", "retriever", max_inflight=16)
RERANK = Service("rerank", "reranker", max_inflight=16)
PLAIN = Service("orders", "plain", idempotent=False, max_inflight=16)
SERVICES = {s.name: s for s in (ENGINE, SEARCH, RERANK, PLAIN)}


class ReportedLeast(BaselineChooser):
    """A naive balancer: always chooses the target with the least reported load."""

    def choose(
        self, state: ServiceState, waiter: Waiter, allowed: Mapping[str, TargetView], now: float
    ) -> Choice | None:
        limit = state.service.max_inflight
        free = [
            n for n, view in allowed.items() if len(self.target_stats.target(view).slots) < limit
        ]
        load = {name: allowed[name].running + allowed[name].waiting for name in free}
        return Choice(min(free, key=lambda name: (load[name], name)), 0.0) if free else None


def reported_least(board: Board, clock: Clock, rng: random.Random) -> Dispatcher:
    """Returns a dispatcher that chooses by reported load only."""
    dispatcher = Dispatcher(board, clock, rng, LEAST_OUTSTANDING)
    dispatcher.chooser = ReportedLeast(dispatcher.target_stats, rng, least=True)
    return dispatcher


class Row(NamedTuple):
    """One line of results, as `make bench` prints it."""

    scenario: str
    measure: str
    unit: str
    better: str
    baselines: Mapping[str, float]
    policy: float
    runs: int
    seed: int


class Check(NamedTuple):
    """A required result; `passed` is true if the run reached it."""

    text: str
    passed: bool


class Report(NamedTuple):
    """The result of a scenario."""

    row: Row
    checks: Sequence[Check]
    notes: Sequence[str]


Runs = Mapping[str, Sequence[Result]]


class Scenario(NamedTuple):
    """Settings that are built by seed, the policies to run, and the function for the report."""

    name: str
    settings: Mapping[str, Callable[[int], Setting]]
    policies: Mapping[str, virtual.Policy]
    evaluate: Callable[[Mapping[str, Runs], int, int], Report]


def draw_poisson(
    rng: random.Random, rate: Callable[[float], float], peak: float, end: float
) -> list[float]:
    """Draws arrival times in ms up to `end`, at `rate(ms)` per second, at most `peak`."""
    times: list[float] = []
    at = 0.0
    while True:
        at += rng.expovariate(peak) * 1000
        if at >= end:
            return times
        if rng.random() < rate(at) / peak:
            times.append(at)


def draw_generation(rng: random.Random, prompt: float, output: float, max_tokens: int) -> StageLoad:
    """Draws a generation with lognormal prompt and output around the given medians."""
    tokens = min(max_tokens, max(1, round(output * rng.lognormvariate(0, 0.4))))
    return StageLoad(max(1, round(prompt * rng.lognormvariate(0, 0.3))), tokens, 0.0)


def draw_plain_call(rng: random.Random, ms: float) -> StageLoad:
    """Draws a non-generation call with lognormal time around `ms`."""
    return StageLoad(0, 0, ms * rng.lognormvariate(0, 0.4))


def quantile(values: Sequence[float], q: float) -> float:
    """Returns the nearest-rank quantile; 0 if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))] if ordered else 0.0


def request_times(results: Sequence[Result], matches: Callable[[Outcome], bool]) -> list[float]:
    """Returns the times of all matching requests; a failed one counts with its deadline."""
    return [
        DEADLINES[o.pipeline] if o.kind else o.took_ms
        for result in results
        for o in result.outcomes
        if matches(o)
    ]


def answered_share(results: Sequence[Result], matches: Callable[[Outcome], bool]) -> float:
    """Returns the share of matching requests answered in full within their deadline."""
    kinds = [o.kind for result in results for o in result.outcomes if matches(o)]
    return sum(not kind for kind in kinds) / max(1, len(kinds))


def make_pipeline(name: str, deadline_ms: int, priority: int, *stages: Any) -> Pipeline:
    """Builds a pipeline."""
    return Pipeline(name, tuple(stages), deadline_ms, priority)


SEARCH_STAGE = RetrieveStage("search", "search", 8)
RERANK_STAGE = RerankStage("rerank", "rerank", 4)
NOTE = make_pipeline("note", 10_000, 5, GenerateStage("write", "engines", 64))
PLAN = make_pipeline("plan", 60_000, 5, GenerateStage("draft", "engines", 800))
CHAT = make_pipeline(
    "chat", 10_000, 2, SEARCH_STAGE, RERANK_STAGE, GenerateStage("answer", "engines", 200)
)
SUMMARY = make_pipeline("summary", 10_000, 5, SEARCH_STAGE, GenerateStage("sum", "engines", 300))
BATCHED = make_pipeline(
    "batched", 10_000, 8, SEARCH_STAGE, RERANK_STAGE, GenerateStage("fill", "engines", 200)
)
BOOKING = make_pipeline("booking", 10_000, 1, SEARCH_STAGE, ActionStage("book", "orders", "book"))
DEADLINES = {p.name: float(p.deadline_ms) for p in (NOTE, PLAN, CHAT, SUMMARY, BATCHED, BOOKING)}


def draw_arrival(rng: random.Random, at: float, kind: Pipeline) -> Arrival:
    """Draws a request of a pipeline."""
    loads: list[StageLoad] = []
    for stage in kind.stages:
        if isinstance(stage, RetrieveStage):
            loads.append(draw_plain_call(rng, 20))
        elif isinstance(stage, RerankStage):
            loads.append(draw_plain_call(rng, 40))
        elif isinstance(stage, ActionStage):
            loads.append(draw_plain_call(rng, 60))
        elif kind is PLAN:
            loads.append(draw_generation(rng, 8_000, 400, 800))
        elif kind is NOTE:
            loads.append(draw_generation(rng, 150, 30, 64))
        else:
            max_tokens = stage.max_tokens if isinstance(stage, GenerateStage) else 0
            loads.append(draw_generation(rng, 500, 80, max_tokens))
    workspace = rng.choices(["w0", "w1", "w2", "w3", "w4"], [4, 3, 1, 1, 1])[0]
    return Arrival(at, workspace, 1.0, kind, f"{kind.name}-{rng.randrange(8)}", tuple(loads))


def draw_mixed(rng: random.Random, at: float, weights: Sequence[float] = (4, 3, 2, 1)) -> Arrival:
    """Draws a request of the mixed pipelines."""
    kind = rng.choices([CHAT, SUMMARY, BATCHED, BOOKING], weights)[0]
    return draw_arrival(rng, at, kind)


def with_baselines(*extra: tuple[str, virtual.Policy]) -> dict[str, virtual.Policy]:
    """Returns the adaptive policy, the baselines and extra policies."""
    return {name: dispatcher_policy(name) for name in ("adaptive", *BASELINES)} | dict(extra)


def make_row(
    scenario: str,
    measure: str,
    unit: str,
    better: str,
    values: Mapping[str, float],
    runs: int,
    seed: int,
) -> Row:
    """Builds a row from one value for each policy."""
    rounded = {name: round(value, 4) for name, value in values.items()}
    adaptive = rounded.pop("adaptive")
    return Row(scenario, measure, unit, better, rounded, adaptive, runs, seed)


def best_baseline(values: Mapping[str, float], better: str) -> float:
    """Returns the value of the better baseline."""
    found = [values[name] for name in BASELINES]
    return max(found) if better == "higher" else min(found)


# Short work behind long work.


def short_behind_long(seed: int) -> Setting:
    """Short notes at a constant rate and bursts of long plans, as at dawn and between kiln loads.

    The first burst comes after 10 s: hosts without any calls can't distinguish long work from short
    work, and need some seconds of a burst to learn it.
    """
    rng = random.Random(seed)
    arrivals = [
        draw_arrival(rng, at, NOTE) for at in draw_poisson(rng, lambda at: 12.0, 12.0, 60_000)
    ]

    def bursts(at: float) -> float:
        return 20.0 if 10_000 <= at % 25_000 < 14_000 else 0.6

    arrivals += [draw_arrival(rng, at, PLAN) for at in draw_poisson(rng, bursts, 20.0, 60_000)]
    arrivals.sort(key=lambda a: a.at_ms)
    return Setting(SERVICES, {"engines": 6, "search": 4, "rerank": 4, "orders": 4}, 8, arrivals)


def evaluate_short(results_by_setting: Mapping[str, Runs], runs: int, seed: int) -> Report:
    results = results_by_setting[""]
    short = {
        n: quantile(request_times(r, lambda o: o.pipeline == "note"), 0.99)
        for n, r in results.items()
    }
    long = {
        n: quantile(request_times(r, lambda o: o.pipeline == "plan"), 0.99)
        for n, r in results.items()
    }
    ratio = short["adaptive"] / best_baseline(short, "lower")
    long_ratio = long["adaptive"] / best_baseline(long, "lower")
    return Report(
        make_row("short-behind-long", "p99 of short work", "ms", "lower", short, runs, seed),
        [
            Check(f"short p99 {ratio:.2f} of the better baseline (at most 0.3)", ratio <= 0.3),
            Check(
                f"long p99 {long_ratio:.2f} of the better baseline (at most 1.1)", long_ratio <= 1.1
            ),
        ],
        [
            f"long p99 {describe(long)}",
            f"answered {describe({n: answered_share(r, any_outcome) for n, r in results.items()})}",
        ],
    )


def any_outcome(outcome: Outcome) -> bool:
    return True


def describe(values: Mapping[str, float]) -> str:
    """Formats values for a note."""
    return " ".join(f"{name}={value:.4g}" for name, value in values.items())


# Slowed targets.


def slowed_targets(seed: int) -> Setting:
    rng = random.Random(seed)
    arrivals = [
        draw_arrival(rng, at, NOTE) for at in draw_poisson(rng, lambda at: 40.0, 40.0, 60_000)
    ]
    reports = Reports(1_000, 1_000)
    replicas = {"engines": 6, "search": 4, "rerank": 4, "orders": 4}
    return Setting(SERVICES, replicas, 8, arrivals, reports, (10.0, 2_000, 4_000))


def evaluate_slowed(results_by_setting: Mapping[str, Runs], runs: int, seed: int) -> Report:
    results = results_by_setting[""]
    p99 = {n: quantile(request_times(r, any_outcome), 0.99) for n, r in results.items()}
    p50 = {n: quantile(request_times(r, any_outcome), 0.5) for n, r in results.items()}
    ratio = p99["adaptive"] / best_baseline(p99, "lower")
    hedge_share = max(result.hedge_share for result in results["adaptive"])
    return Report(
        make_row("slowed-targets", "p99", "ms", "lower", p99, runs, seed),
        [
            Check(f"p99 {ratio:.2f} of the better baseline (at most 0.4)", ratio <= 0.4),
            Check(f"extra calls {hedge_share:.3f} of calls (at most 0.05)", hedge_share <= 0.05),
        ],
        [f"p50 {describe(p50)}"],
    )


# Crest.

CREST = (20_000.0, 80_000.0)
BASE_RATE = 22.0


def crest(seed: int) -> Setting:
    """Demand, mostly chats, rises fivefold within 2 s, stays for 56 s and falls back."""
    rng = random.Random(seed)

    def rate(at: float) -> float:
        rise = min(1.0, max(0.0, (at - CREST[0]) / 2_000))
        fall = min(1.0, max(0.0, (CREST[1] - at) / 2_000))
        return BASE_RATE * (1 + 4 * min(rise, fall))

    arrivals = [
        draw_mixed(rng, at, (7, 1.5, 1, 0.5))
        for at in draw_poisson(rng, rate, 5 * BASE_RATE, 110_000)
    ]
    return Setting(SERVICES, {"engines": 6, "search": 4, "rerank": 4, "orders": 4}, 8, arrivals)


def evaluate_crest(results_by_setting: Mapping[str, Runs], runs: int, seed: int) -> Report:
    results = results_by_setting[""]

    def within(start: float, end: float) -> Callable[[Outcome], bool]:
        return lambda o: start <= o.at_ms < end

    during = {n: answered_share(r, within(*CREST)) for n, r in results.items()}
    before = {n: answered_share(r, within(5_000, CREST[0])) for n, r in results.items()}
    after = {n: answered_share(r, within(CREST[1], 110_000)) for n, r in results.items()}
    ratio = during["adaptive"] / max(1e-9, best_baseline(during, "higher"))
    by_priority = [
        answered_share(
            [
                r._replace(outcomes=[o for o in r.outcomes if o.priority == priority])
                for r in results["adaptive"]
            ],
            within(*CREST),
        )
        for priority in (1, 2, 5, 8)
    ]
    ordered = by_priority == sorted(by_priority, reverse=True)
    return Report(
        make_row("crest", "attainment during the crest", "share", "higher", during, runs, seed),
        [
            Check(f"attainment {ratio:.2f} of the better baseline's (at least 1.5)", ratio >= 1.5),
            Check(
                f"attainment after the crest {after['adaptive']:.3f} (at least 0.95)",
                after["adaptive"] >= 0.95,
            ),
            Check(
                f"by priority 1, 2, 5, 8: {[round(v, 3) for v in by_priority]} (falling)", ordered
            ),
        ],
        [f"before {describe(before)}", f"after {describe(after)}"],
    )


# Attainment.


def attainment(seed: int) -> Setting:
    """Mixed pipelines at 80 % of what the engines can serve."""
    rng = random.Random(seed)
    arrivals = [
        draw_mixed(rng, at) for at in draw_poisson(rng, lambda at: MIXED_RATE, MIXED_RATE, 60_000)
    ]
    return Setting(SERVICES, {"engines": 6, "search": 4, "rerank": 4, "orders": 4}, 8, arrivals)


# 80 % of the engines' capacity of 55 mixed requests a second.
MIXED_RATE = 44.0


def evaluate_attainment(results_by_setting: Mapping[str, Runs], runs: int, seed: int) -> Report:
    results = results_by_setting[""]
    attained = {n: answered_share(r, any_outcome) for n, r in results.items()}
    p99 = {n: quantile(request_times(r, any_outcome), 0.99) for n, r in results.items()}
    return Report(
        make_row(
            "attainment",
            "answered in full within deadline",
            "share",
            "higher",
            attained,
            runs,
            seed,
        ),
        [
            Check(
                f"attainment {attained['adaptive']:.4f} (at least 0.99)",
                attained["adaptive"] >= 0.99,
            )
        ],
        [f"p99 {describe(p99)}"],
    )


# Stale reports.

HOSTS = (1, 8, 32)
AGES = (0, 1_000, 5_000)


def stale_reports(hosts: int, age_ms: float) -> Callable[[int], Setting]:
    """Returns a setting with `hosts` hosts and load reports up to `age_ms` old."""

    def build(seed: int) -> Setting:
        rng = random.Random(seed)
        kinds = [NOTE] * 19 + [PLAN]
        arrivals = [
            draw_arrival(rng, at, rng.choice(kinds))
            for at in draw_poisson(rng, lambda at: STALE_RATE, STALE_RATE, 30_000)
        ]
        replicas = {"engines": 12, "search": 1, "rerank": 1, "orders": 1}
        service = ENGINE._replace(max_inflight=32 if hosts == 1 else 8)
        services = {**SERVICES, "engines": service}
        return Setting(services, replicas, hosts, arrivals, Reports(max(20.0, age_ms)))

    return build


STALE_RATE = 60.0


def evaluate_stale(results_by_setting: Mapping[str, Runs], runs: int, seed: int) -> Report:
    notes: list[str] = []
    p99: dict[str, float] = {}
    for key, results in results_by_setting.items():
        p99 = {
            n: quantile(request_times(r, lambda o: o.pipeline == "note"), 0.99)
            for n, r in results.items()
        }
        imbalance = {n: sum(x.imbalance for x in r) / len(r) for n, r in results.items()}
        notes.append(
            f"{key}: p99 of short work {describe(p99)}; largest/mean load {describe(imbalance)}"
        )
    naive_ratio = p99["adaptive"] / p99["reported_least"]
    ratio = p99["adaptive"] / best_baseline(p99, "lower")
    return Report(
        make_row(
            "stale-reports",
            "p99 of short work, 32 hosts, reports 5 s old",
            "ms",
            "lower",
            p99,
            runs,
            seed,
        ),
        [
            Check(
                f"p99 {naive_ratio:.2f} of the naive use of reports (at most 0.5)",
                naive_ratio <= 0.5,
            ),
            Check(f"p99 {ratio:.2f} of the better baseline (at most 1.1)", ratio <= 1.1),
        ],
        notes,
    )


SCENARIOS = [
    Scenario("short-behind-long", {"": short_behind_long}, with_baselines(), evaluate_short),
    Scenario("slowed-targets", {"": slowed_targets}, with_baselines(), evaluate_slowed),
    Scenario("crest", {"": crest}, with_baselines(), evaluate_crest),
    Scenario("attainment", {"": attainment}, with_baselines(), evaluate_attainment),
    Scenario(
        "stale-reports",
        {f"hosts={h} age={a // 1000}s": stale_reports(h, a) for h in HOSTS for a in AGES},
        with_baselines(("reported_least", reported_least)),
        evaluate_stale,
    ),
]
