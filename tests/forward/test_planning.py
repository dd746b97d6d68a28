"""Admission control refuses a burst beyond the bottleneck stage before any work is done for it."""

from savoryfork.forward import planning
from savoryfork.forward.model import BatchLimits, StagePlan
from savoryfork.forward.planning import AdmissionDecision, ServiceQueue

CAVE = BatchLimits(1, 4, 150.0, 32.0, 22e6, 4000.0)
CARRI = BatchLimits(1, 18, 150.0, 7.15556, 3e6, 4000.0)
CONTI = BatchLimits(1, 35, 150.0, 3.68, 0.6e6, 4000.0)
PLANS = (StagePlan("cave", (), 8), StagePlan("carri", (0,), 6), StagePlan("conti", (1,), 6))
PIECES = (1, 8, 16)


def queues(ahead: float) -> dict[str, ServiceQueue]:
    """Returns queues of four targets per service behind `ahead` accepted requests."""
    return {
        "cave": ServiceQueue(CAVE, 4, 0.0, ahead * 1, 1.0),
        "carri": ServiceQueue(CARRI, 4, 0.0, ahead * 8, 1.0),
        "conti": ServiceQueue(CONTI, 4, 0.0, ahead * 16, 1.0),
    }


class TestFinishAt:
    def test_without_queueing_it_is_the_sum_of_the_calls(self):
        assert round(planning.expected_finish_at(PLANS, PIECES, queues(0), 0.0)) == 182 + 207 + 209

    def test_queues_of_later_stages_drain_while_earlier_stages_run(self):
        """30 requests ahead cost 0.9 s at the bottleneck stage, not the sum over all stages."""
        finish_ms = planning.expected_finish_at(PLANS, PIECES, queues(30), 0.0)
        bottleneck_ms = 30 * 16 / 35 * 278.8 / 4
        assert bottleneck_ms < finish_ms < bottleneck_ms + 600

    def test_stages_without_pieces_take_no_time(self):
        assert planning.expected_finish_at(PLANS, (1, 0, 0), queues(0), 0.0) == 182.0

    def test_a_service_without_targets_never_finishes(self):
        none = {name: queue._replace(targets=0) for name, queue in queues(0).items()}
        assert planning.expected_finish_at(PLANS, PIECES, none, 0.0) == float("inf")


class TestBurst:
    def test_a_burst_beyond_capacity_keeps_accepted_requests_on_time(self):
        """120 requests within a second, due after 1.4 s, for stages that serve 28 a second.

        Without admission control, all but the first thirty-odd requests would be late and keep
        their callers waiting.
        """
        verdicts = []
        accepted = late = 0
        for _ in range(120):
            on_time = planning.expected_finish_at(PLANS, PIECES, queues(accepted), 0.0)
            behind = planning.expected_finish_at(PLANS, PIECES, queues(accepted + late), 0.0)
            verdict = planning.decide_admission(on_time, behind, 1_400.0, 6_000.0, 0.0)
            accepted += verdict is AdmissionDecision.ON_TIME
            late += verdict is AdmissionDecision.LATE
            verdicts.append(verdict)
        assert 15 <= accepted <= 40
        assert planning.expected_finish_at(PLANS, PIECES, queues(accepted), 0.0) < 1_400 + 100
        assert planning.expected_finish_at(PLANS, PIECES, queues(accepted + late), 0.0) < 3_100
        assert verdicts[-1] is AdmissionDecision.REFUSED

    def test_retry_after_is_the_time_until_the_work_is_done(self):
        assert planning.retry_ms(900.0, 0.0) == 900.0
        assert planning.retry_ms(10.0, 0.0) == planning.MIN_RETRY_MS
        assert planning.retry_ms(1e9, 0.0) == planning.MAX_RETRY_MS


class TestRetryAfter:
    def test_requests_refused_together_return_apart(self):
        """Guards against a second burst of all the requests that were refused in one moment."""
        times = [planning.refusal_retry_ms(1_600.0, f"r{n}", 0.0) for n in range(400)]
        assert min(times) >= 1_600.0 and max(times) <= 2_000.0
        by_part = [sum(low <= t < low + 100.0 for t in times) for low in range(1_600, 2_000, 100)]
        assert min(by_part) > 60

    def test_time_stays_within_its_bounds(self):
        """Guards against a caller that is sent away for longer than a burst lasts."""
        for end in (0.0, 100.0, 2_400.0, 90_000.0, float("inf")):
            for number in range(50):
                retry_ms = planning.refusal_retry_ms(end, f"r{number}", 0.0)
                most = planning.MAX_RETRY_MS * (1.0 + planning.RETRY_SPREAD)
                assert planning.MIN_RETRY_MS <= retry_ms <= most
                assert retry_ms >= min(end, planning.MAX_RETRY_MS)
