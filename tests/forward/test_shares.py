"""A workspace that floods stage work takes capacity from itself, not from the others."""

from __future__ import annotations

import math

import pytest

from savoryfork.forward import shares
from savoryfork.forward.shares import Shares
from tests.forward.stageload import (
    KINDS,
    LONG,
    ORDINARY,
    URGENT,
    Burst,
    Kind,
    Outcome,
    Replay,
    load,
    share_of,
)

# The usual load takes 0.73 of the scarcest service.
LEVEL = 0.75
START, END = 3_000.0, 9_500.0
SEED = 1


async def replayed(
    bursts: tuple[Burst, ...], kinds: tuple[Kind, ...] = KINDS, level: float = LEVEL
) -> list[Outcome]:
    """Returns how the requests of a load ended on a coordinator that knows the usual one."""
    replay = Replay()
    replay.warm_up(kinds, level)
    return await replay.run(load(SEED, 14_000.0, bursts, kinds, level))


def of_others(outcomes: list[Outcome], flooders: tuple[str, ...]) -> list[Outcome]:
    """Returns the outcomes of the flood's time for workspaces that do not flood."""
    return [
        outcome
        for outcome in outcomes
        if START <= outcome.request.at < END and outcome.request.workspace not in flooders
    ]


def check_others(
    flooded: list[Outcome],
    usual: list[Outcome],
    flooders: tuple[str, ...],
    kinds: tuple[Kind, ...] = KINDS,
) -> None:
    """Checks that the attainment of the other workspaces stays within 5 points."""
    with_flood, without = of_others(flooded, flooders), of_others(usual, flooders)
    assert len(with_flood) == len(without) > 300
    assert share_of(with_flood, "on_time") >= share_of(without, "on_time") - 0.05
    for kind in kinds:
        served = [o for o in with_flood if o.request.kind.name == kind.name]
        served_usually = [o for o in without if o.request.kind.name == kind.name]
        assert share_of(served) >= share_of(served_usually) - 0.05


class TestFloods:
    """Guards against one workspace that takes the capacity that the others would get.

    Without shares, the others' requests were refused as often as those of the flood.
    """

    @pytest.mark.parametrize("flooders", [("w1",), ("w9",), ("w1", "w5")])
    async def test_others_are_served_as_without_the_flood(self, flooders):
        """One workspace, large or small, or two at 7.5 times their usual rate for 6.5 s."""
        flooded = await replayed((Burst(7.5, START, END, flooders),))
        check_others(flooded, await replayed(()), flooders)

    async def test_flood_of_the_most_urgent_kind(self):
        """Less urgent requests of the others are not refused for it."""
        kinds = (URGENT._replace(pieces=(4, 4)), LONG, ORDINARY)
        flooders = ("w0",)
        burst = Burst(7.5, START, END, flooders, (URGENT.name,))
        flooded = await replayed((burst,), kinds, 0.55)
        check_others(flooded, await replayed((), kinds, 0.55), flooders, kinds)

    async def test_flooding_workspace_is_not_starved(self):
        """It is served at least a quarter as often as all requests, kind by kind."""
        outcomes = await replayed((Burst(7.5, START, END, ("w1",)),))
        during = [o for o in outcomes if START <= o.request.at < END]
        for kind in KINDS:
            own = [
                o
                for o in during
                if o.request.workspace == "w1" and o.request.kind.name == kind.name
            ]
            assert share_of(own) >= share_of(during) / 4

    async def test_share_returns_at_the_end_of_the_flood(self):
        """A workspace is served as usual from 2.5 s after its flood."""
        outcomes = await replayed((Burst(7.5, START, END, ("w1",)),))
        after = [
            o for o in outcomes if o.request.workspace == "w1" and o.request.at >= END + 2_500.0
        ]
        assert len(after) > 15
        assert share_of(after, "on_time") >= 0.95


class TestNoShortage:
    """Guards against shares that change anything while there is enough for all."""

    async def test_usual_load_is_not_touched(self):
        replay = Replay()
        replay.warm_up(KINDS, LEVEL)
        outcomes = await replay.run(load(SEED, 6_000.0, (), KINDS, LEVEL))
        assert share_of(outcomes) == 1.0
        assert replay.over_share_count == 0

    def test_workspace_alone_may_use_everything(self):
        found = Shares()
        for now in range(0, 10_000, 10):
            found.record_shortage(now)
            found.record("alone", 10.0, now)
            assert not found.is_over("alone", now)

    def test_burst_of_all_leaves_none_over_its_share(self):
        """All at 2.6 times their usual rate get 1.25 times of it from a service used by 0.8."""
        found = Shares()
        names = [f"w{n}" for n in range(16)]
        for now in range(0, 66_000, 100):
            rate = 0.8 if now < 60_000 else 1.0
            for name in names:
                found.record(name, rate * 100 / 16, now)
        found.record_shortage(66_000)
        assert not any(found.is_over(name, 66_000) for name in names)


class TestMemory:
    def test_memory_is_bounded(self):
        """Guards against a crowd of names that makes a coordinator grow."""
        found = Shares()
        for number in range(10_000):
            found.record(f"w{number}", 1.0, float(number))
        assert len(found.usages) == shares.MAX_WORKSPACES
        assert "w9999" in found.usages and "w0" not in found.usages

    def test_work_that_is_given_up_no_longer_counts(self):
        found = Shares()
        found.record("w", 5.0, 0.0)
        found.record("w", -5.0, 0.0)
        usage = found.usages["w"]
        assert math.isclose(usage.recent, 0.0) and math.isclose(usage.usual, 0.0)
