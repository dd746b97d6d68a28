"""Tests for `savoryfork.forward.turns`."""

from __future__ import annotations

import asyncio
import gc
import time

from savoryfork.forward.turns import HEAVY_SHARE, READERS_PER_TURN, TURNS, wait_for_turn


class TestTurns:
    async def test_few_readers_go_on_in_one_turn(self) -> None:
        """Guards against turns of the loop that get longer with each busy connection, and against
        a reader that is passed over."""
        steps = [0] * 50

        async def read(number: int) -> None:
            while True:
                await wait_for_turn()
                steps[number] += 1

        readers = [asyncio.create_task(read(number)) for number in range(len(steps))]
        turns = []
        for _ in range(200):
            before = sum(steps)
            await asyncio.sleep(0)
            turns.append(sum(steps) - before)
        for reader in readers:
            reader.cancel()
        await asyncio.gather(*readers, return_exceptions=True)
        assert max(turns) == READERS_PER_TURN
        assert min(steps) >= 1 and max(steps) - min(steps) <= 1

    async def test_cancelled_readers_take_no_turn(self) -> None:
        """Guards against a reader that waits behind readers that have ended."""
        readers = [asyncio.create_task(wait_for_turn()) for _ in range(50)]
        await asyncio.sleep(0)
        for reader in readers[:-1]:
            reader.cancel()
        for _ in range(3):
            await asyncio.sleep(0)
        assert readers[-1].done() and not readers[-1].cancelled()

    async def test_heavy_readers_share_a_part_of_the_loop(self) -> None:
        """Guards against readers of endless streams that leave no time for other requests."""
        turn_s, work_s = 0.002, 0.0

        async def read() -> None:
            nonlocal work_s
            while True:
                await wait_for_turn(heavy=True)
                time.sleep(turn_s)  # noqa: ASYNC251 (parsing blocks the loop)
                work_s += turn_s

        readers = [asyncio.create_task(read()) for _ in range(20)]
        started = time.perf_counter()
        await asyncio.sleep(0.5)
        elapsed_s = time.perf_counter() - started
        for reader in readers:
            reader.cancel()
        await asyncio.gather(*readers, return_exceptions=True)
        assert 0.0 < work_s <= (HEAVY_SHARE + 0.05) * elapsed_s

    async def test_cancelled_heavy_readers_take_no_turn(self) -> None:
        """Guards against heavy readers that stop since the one before them has ended."""
        readers = [asyncio.create_task(wait_for_turn(heavy=True)) for _ in range(50)]
        await asyncio.sleep(0)
        for reader in readers[:-1]:
            reader.cancel()
        async with asyncio.timeout(1.0):
            await readers[-1]
            await wait_for_turn(heavy=True)

    def test_a_closed_loop_is_not_kept(self) -> None:
        """Guards against a queue of an earlier loop that nothing wakes."""
        before = len(TURNS)
        for _ in range(2):
            asyncio.run(wait_for_turn())
        gc.collect()
        assert len(TURNS) <= before
