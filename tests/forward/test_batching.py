"""Calls fill their batches, follow priorities and stay in the zone of their inputs."""

from savoryfork.forward import batching
from savoryfork.forward.batching import TargetStatus, Task
from savoryfork.forward.model import BatchLimits

CARRI = BatchLimits(1, 18, 150.0, 7.15556, 3_085_710.0, 4000.0)
CAVE = BatchLimits(1, 4, 150.0, 32.0, 22_000_000.0, 4000.0)


def task(number: int, **changes: object) -> Task:
    base = Task(number, 1, 5_000.0, False, False, 8, 60_000, None, {})
    return base._replace(**changes)


def status(
    name: str, zone: str = "a", free_at: float = 0.0, free_result_bytes: float = 1e9
) -> TargetStatus:
    return TargetStatus(name, zone, free_at, free_result_bytes, 1.0)


def sent(calls: dict) -> dict[str, list[int]]:
    return {
        name: [allocation.task for allocation in allocations] for name, allocations in calls.items()
    }


class TestOrder:
    def test_urgent_work_goes_first(self):
        tasks = [task(1, priority=2), task(2, priority=0), task(3, priority=1)]
        calls = batching.assign(tasks, [status("t")], CARRI, 0.0)
        assert sent(calls) == {"t": [2, 3]}

    def test_work_that_can_not_be_on_time_waits_behind_work_that_can(self):
        tasks = [task(1, priority=0, due_at=100.0), task(2, priority=2), task(3, priority=2)]
        calls = batching.assign(tasks, [status("t")], CARRI, 0.0)
        assert sent(calls) == {"t": [2, 3]}

    def test_late_work_with_results_is_not_left_to_expire(self):
        tasks = [
            task(1, due_at=100.0, has_results=True),
            task(2, due_at=900.0),
            task(3, due_at=901.0),
        ]
        calls = batching.assign(tasks, [status("t")], CARRI, 0.0)
        assert sent(calls) == {"t": [1, 2]}


class TestBatchFill:
    def test_a_burst_fills_every_call(self):
        """With 40 requests of 8 pieces, two whole requests go into each call of 18 pieces."""
        targets = [status(f"t{n}") for n in range(4)]
        calls = batching.assign([task(n) for n in range(40)], targets, CARRI, 0.0)
        assert sorted(len(allocations) for allocations in calls.values()) == [2, 2, 2, 2]

    def test_a_task_is_split_only_if_no_call_can_hold_it(self):
        allocations = batching.assign([task(1, pieces=40)], [status("t")], CARRI, 0.0)["t"]
        assert allocations[0].pieces == 18

    def test_a_request_is_not_split_to_fill_a_call(self):
        tasks = [task(1, pieces=12), task(2, pieces=12)]
        calls = batching.assign(tasks, [status("t")], CARRI, 0.0)
        assert sent(calls) == {"t": [1]}

    def test_a_busy_target_gets_no_second_call(self):
        assert batching.assign([task(1)], [status("t", free_at=50.0)], CARRI, 0.0) == {}

    def test_equal_targets_take_turns(self):
        """Guards against one of several equal targets that gets all work while there is little."""
        targets = [status("t0")._replace(used_at=2.0), status("t1")._replace(used_at=1.0)]
        assert sent(batching.assign([task(1)], targets, CARRI, 3.0)) == {"t1": [1]}
        targets[1] = targets[1]._replace(slowdown=1.5)
        assert sent(batching.assign([task(1)], targets, CARRI, 3.0)) == {"t0": [1]}


class TestZones:
    def test_work_waits_for_a_target_in_the_zone_of_its_inputs(self):
        """For 16 pieces that each read 480 KB, moving 7.7 MB costs more than waiting 100 ms."""
        reader = task(1, pieces=16, input_bytes={"a": 480_000.0}, due_at=1_000.0)
        targets = [status("far", "b"), status("near", "a", free_at=100.0)]
        assert batching.assign([reader], targets, CARRI, 0.0) == {}

    def test_work_leaves_the_zone_of_its_inputs_if_waiting_makes_it_late(self):
        reader = task(1, pieces=16, input_bytes={"a": 480_000.0}, due_at=300.0)
        targets = [status("far", "b"), status("near", "a", free_at=100.0)]
        assert sent(batching.assign([reader], targets, CARRI, 0.0)) == {"far": [1]}

    def test_without_a_target_in_the_zone_another_zone_is_used(self):
        reader = task(1, pieces=16, input_bytes={"c": 480_000.0})
        assert sent(batching.assign([reader], [status("far", "b")], CARRI, 0.0)) == {"far": [1]}

    def test_results_are_produced_in_the_zone_that_needs_them(self):
        maker = task(1, pieces=2, result_bytes=3_000_000, zone="b")
        targets = [status("a", "a"), status("b", "b")]
        assert sent(batching.assign([maker], targets, CAVE, 0.0)) == {"b": [1]}


class TestResultSpace:
    def test_nothing_is_sent_to_a_target_without_space_for_its_results(self):
        maker = task(1, pieces=2, result_bytes=3_000_000)
        assert batching.assign([maker], [status("t", free_result_bytes=5e6)], CAVE, 0.0) == {}

    def test_small_results_overtake_a_large_one_that_does_not_fit(self):
        tasks = [task(1, pieces=2, result_bytes=3_000_000), task(2, pieces=1, result_bytes=8_000)]
        assert sent(batching.assign(tasks, [status("t", free_result_bytes=5e6)], CAVE, 0.0)) == {
            "t": [2]
        }

    def test_a_task_larger_than_all_result_space_is_split(self):
        maker = task(1, pieces=10, result_bytes=3_000_000)
        allocations = batching.assign([maker], [status("t", free_result_bytes=22e6)], CAVE, 0.0)[
            "t"
        ]
        assert allocations[0].pieces == 4


class TestIsolation:
    """Guards against a sound request that is lost in each crash together with its cause."""

    def test_isolated_pieces_share_no_call(self):
        tasks = [task(1), task(2, isolated=True), task(3)]
        calls = batching.assign(tasks, [status("t"), status("u")], CARRI, 0.0)
        assert sorted(sent(calls).values()) == [[1, 3], [2]]

    def test_isolated_pieces_wait_for_a_call_of_their_own(self):
        tasks = [task(1), task(2, isolated=True), task(3)]
        assert sent(batching.assign(tasks, [status("t")], CARRI, 0.0)) == {"t": [1, 3]}

    def test_isolated_pieces_of_equal_urgency_are_not_joined(self):
        tasks = [task(1, isolated=True), task(2, isolated=True)]
        assert sent(batching.assign(tasks, [status("t")], CARRI, 0.0)) == {"t": [1]}

    def test_isolated_pieces_are_sent_in_one_call_at_a_time(self):
        tasks = [task(1, isolated=True, pieces=40)]
        calls = batching.assign(tasks, [status("t"), status("u")], CARRI, 0.0)
        assert [allocation.pieces for call in calls.values() for allocation in call] == [18]
