"""Decisions on callers out of control; `tests/failure/test_crowds.py` has them with processes."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from savoryfork.forward import callers, memory
from savoryfork.forward.memory import MB, STALLED_MS, MemoryBudget
from savoryfork.forward.model import CallerLimits
from savoryfork.platform.records import CatalogDecoder

LIMITS = CallerLimits(16_384, 4_194_304, 3_000.0, 15_000.0)


class State(NamedTuple):
    """A connection; implements `callers.ConnectionState`."""

    busy: bool
    in_head: bool
    used: bool
    waiting_since: float


class TestCrowdOfBodies:
    """150 callers send 1 MB each in parts of 10 KB, by turns, and stop short of the end."""

    def play(self, budget: MemoryBudget) -> tuple[list[int], list[int]]:
        """Returns the callers that were ended, and those that were refused."""
        ended: list[int] = []
        refused: list[int] = []
        reservations = []
        for number in range(150):
            reservation = budget.open(lambda number=number: ended.append(number), 0.0)
            reservation.small = False
            reservations.append(reservation)
        for part in range(100):
            for number, reservation in enumerate(reservations):
                if number not in refused and not budget.grow(reservation, 10_000, float(part)):
                    refused.append(number)
                    budget.close(reservation)
        return ended, refused

    def test_sum_of_all_stays_within_the_budget(self):
        """Guards against a host that is ended for its memory."""
        budget = MemoryBudget(40 * MB)
        ended, refused = self.play(budget)
        assert budget.reserved_bytes <= 40 * MB and not ended and 100 < len(refused) < 150

    def test_small_request_is_served_beside_them(self):
        """Guards against ordinary callers that are refused until the crowd has gone."""
        budget = MemoryBudget(40 * MB)
        self.play(budget)
        small = budget.open(lambda: None, 100.0)
        assert budget.grow(small, memory.REQUEST_BYTES + memory.SMALL_BYTES, 100.0)

    def test_large_request_takes_the_place_of_those_that_stalled_longest(self):
        """Guards against bodies that stop short of their end and keep the memory for good."""
        budget = MemoryBudget(40 * MB)
        ended, refused = self.play(budget)
        large = budget.open(lambda: None, 200.0)
        large.small = False
        assert not budget.grow(large, 4 * MB, 200.0)  # none has stalled yet
        assert budget.grow(large, 4 * MB, 101.0 + STALLED_MS)
        first = [number for number in range(150) if number not in refused][: len(ended)]
        assert ended == first and len(ended) < 10

    def test_requests_at_a_target_are_not_ended(self):
        """Guards against a request that is ended although it does not wait for its caller."""
        budget = MemoryBudget(4 * MB)
        ended: list[str] = []
        running = budget.open(lambda: ended.append("running"), 0.0)
        assert budget.grow(running, 2 * MB, 0.0)
        running.evictable = False
        other = budget.open(lambda: None, 9_000.0)
        assert not budget.grow(other, 3 * MB, 9_000.0) and not ended
        budget.close(running)
        budget.close(running)
        assert budget.grow(other, 3 * MB, 9_000.0) and budget.reserved_bytes == 3 * MB


class TestConnections:
    def test_unfinished_heads_and_silent_callers_are_closed_in_time(self):
        """Guards against connections that hold descriptors without a request."""
        in_head = State(False, True, False, 0.0)
        silent = State(False, False, False, 0.0)
        kept_alive = State(False, False, True, 0.0)
        busy = State(True, False, True, 0.0)
        states = [in_head, silent, kept_alive, busy]
        assert callers.overdue(states, LIMITS, 3_500.0) == []
        assert callers.overdue(states, LIMITS, 4_500.0) == [in_head]
        assert callers.overdue(states, LIMITS, 90_000.0) == [in_head, silent]
        assert callers.overdue(states, CallerLimits(), 90_000.0) == []

    def test_connections_without_a_request_make_room_first(self):
        """Guards against a crowd whose connections keep ordinary callers out."""
        busy = State(True, False, True, 0.0)
        kept_alive = State(False, False, True, 10.0)
        silent = State(False, False, False, 50.0)
        assert callers.least_useful([busy, kept_alive, silent]) is silent
        assert callers.least_useful([busy, kept_alive]) is kept_alive
        assert callers.least_useful([busy]) is None


class TestConfiguredLimits:
    def decode(self, limits: object) -> CallerLimits:
        document = {"version": 1, "routes": [], "services": [], "limits": limits}
        catalog = CatalogDecoder().decode(msgspec.json.encode(document))
        assert catalog is not None
        return catalog.caller_limits

    def test_limits_of_the_operators_hold(self):
        """Guards against a refusal of requests within the operators' limits."""
        row = {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304}
        assert self.decode({**row, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}) == LIMITS

    def test_malformed_limits_are_none(self):
        """Guards against a configuration that is lost for a malformed limit."""
        for odd in (None, [], "x", {"max_body_bytes": -1}, {"idle_timeout_ms": "soon"}):
            assert self.decode(odd) == CallerLimits()
