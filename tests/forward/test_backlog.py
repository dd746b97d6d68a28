"""The running sums of a coordinator equal what walks over all of its work would find."""

from __future__ import annotations

import random

import pytest

from savoryfork.forward.backlog import Arrivals, Backlog, rank_of
from savoryfork.forward.cells import Cell
from savoryfork.forward.messages import StageResult
from savoryfork.forward.model import StagePlan
from savoryfork.forward.work import Work

WINDOW_MS = 1_000.0
PLANS = (StagePlan("a", (), 1), StagePlan("b", (0,), 1), StagePlan("a", (1,), 1))


def draw_work(rng: random.Random, number: int) -> Work:
    pieces = [rng.randrange(4) for _ in PLANS]
    cell = Cell(rng.randrange(2), 2)
    aim_at = rng.choice([100.0, 200.0, rng.uniform(0.0, 300.0)])
    work = Work(str(number), PLANS, pieces, "k", rng.randrange(3), 9e3, aim_at, None, cell)
    work.over_share = rng.random() < 0.2
    return work


def walk_ahead(active: list[Work], work: Work, late: bool) -> dict[str, int]:
    """Returns the pieces ahead of work as the rule says it, request by request."""
    ahead: dict[str, int] = {}
    for other in active:
        if other is work or other.cell != work.cell:
            continue
        if not other.late or other.results:
            rank = rank_of(work, work.aim_at)
            precedes = late or rank_of(other, other.aim_at) <= rank
        else:
            precedes = late and (other.priority, other.aim_at) <= (work.priority, work.aim_at)
        for stage in other.nonempty_stages():
            if precedes and stage not in other.results:
                service = other.plans[stage].service
                ahead[service] = ahead.get(service, 0) + other.pieces[stage]
    return ahead


def walk_rates(
    accepted: list[tuple[float, Work]], work: Work, now: float, late: bool
) -> dict[str, float]:
    """Returns the rates of arrival ahead of work as the rule says it, request by request."""
    rates: dict[str, float] = {}
    for at, other in accepted:
        if at < now - WINDOW_MS or other is work or other.cell != work.cell:
            continue
        rank = rank_of(work, work.aim_at - now)
        if rank_of(other, other.aim_at - at) < rank or (late and not other.late):
            for stage in other.nonempty_stages():
                service = other.plans[stage].service
                rates[service] = rates.get(service, 0.0) + other.pieces[stage] / WINDOW_MS
    return rates


def nonzero(sums: dict[str, float]) -> dict[str, float]:
    return {service: pytest.approx(value) for service, value in sums.items() if value}


class TestSums:
    """Guards against sums that drift from the work, which would admit too much or too little."""

    @pytest.mark.parametrize("seed", range(20))
    def test_equal_to_walks_over_random_changes(self, seed):
        rng = random.Random(seed)
        backlog, arrivals = Backlog(), Arrivals(WINDOW_MS)
        active: list[Work] = []
        accepted: list[tuple[float, Work]] = []
        now = 0.0
        for number in range(300):
            now += rng.choice([0.0, 10.0, 60.0])
            change = rng.randrange(5)
            work = rng.choice(active) if active else None
            if change <= 1 or work is None:
                work = draw_work(rng, number)
                work.late = rng.random() < 0.3
                arrivals.add(work, now)
                accepted.append((now, work))
                active.append(work)
                backlog.update(work)
            elif change == 2:
                work.late = True
                backlog.update(work)
                arrivals.update(work)
            elif change == 3 and (left := set(work.nonempty_stages()) - set(work.results)):
                work.results[min(left)] = [StageResult("h", "a", "z")]
                backlog.update(work)
            else:
                active.remove(work)
                backlog.remove(work)
            asked = rng.choice([*active, draw_work(rng, -1)])
            for late in (False, True):
                found = backlog.pieces_ahead(asked, late)
                assert nonzero(found) == nonzero(walk_ahead(active, asked, late))
                rates = arrivals.rates_ahead(asked, now, late)
                assert nonzero(rates) == nonzero(walk_rates(accepted, asked, now, late))

    def test_nothing_is_kept_of_ended_work(self):
        """Guards against sums that grow with each request, cell or priority ever seen."""
        rng = random.Random(1)
        backlog, arrivals = Backlog(), Arrivals(WINDOW_MS)
        works = [draw_work(rng, number) for number in range(50)]
        for work in works:
            backlog.update(work)
            arrivals.add(work, 0.0)
            work.results = {stage: [] for stage in work.nonempty_stages()}
            backlog.update(work)
        for work in [*works, works[0]]:
            backlog.remove(work)
        arrivals.expire(WINDOW_MS + 1.0)
        assert not (backlog.sums or backlog.counted or backlog.yielding)
        assert not (arrivals.sums or arrivals.counted or arrivals.recent)
