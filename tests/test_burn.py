"""Tests for the burn counters, the fold of their records, checkpoints and the report."""

import asyncio
import itertools
import json
import random
from collections import Counter
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork import burn, burncheckpoint, burnreport, burntotals, defaults
from savoryfork.burn import BurnController, BurnRecorder
from savoryfork.burncheckpoint import CheckpointController, load, save
from savoryfork.burntotals import LEVELS, BurnFold, Totals
from savoryfork.errors import ErrorKind, ServiceError
from savoryfork.pipeline import EMPTY_CONFIGURATION, Objective, Pipeline
from savoryfork.ui import burnview
from savoryfork.util.timer import Clock
from savoryfork.util.topic import LogUnavailable, OffsetExpired, Page, Record
from tests.fakelog import FakeClient, FakeLog

NOW = 29_000_160  # minutes; a multiple of every bin width


class Time:
    """A clock set by the tests, in minutes."""

    def __init__(self, minute=NOW):
        self.minute = minute
        self.clock = Clock(lambda: self.minute * 60_000, lambda: self.minute * 60_000)


class MemoryLog:
    """An in-memory LogClient with injectable faults."""

    def __init__(self, time):
        self.time = time
        self.topics = {}
        self.starts = Counter()
        self.down = False
        self.lose_answers = 0
        self.held = []

    async def append(self, topic, records, timeout_ms=None):
        await asyncio.sleep(0)
        if self.down:
            raise LogUnavailable(topic)
        rows = self.topics.setdefault(topic, [])
        first = len(rows)
        for value in json.loads(json.dumps(list(records))):
            rows.append(Record(len(rows), int(self.time.minute * 60_000), value))
        if self.lose_answers:
            self.lose_answers -= 1
            raise LogUnavailable(topic)
        return first

    async def read(self, topic, offset, limit, wait_ms=0):
        if self.down:
            raise LogUnavailable(topic)
        rows, start = self.topics.get(topic, []), self.starts[topic]
        if offset < start:
            raise OffsetExpired(start, len(rows))
        return Page(rows[offset : offset + limit], start, len(rows))


def make_controller(log, time, name, **kwargs):
    """Builds the burn controller and recorder of one host."""
    return BurnController(log, BurnRecorder(**kwargs), name, time.clock)


def record_run(controller, time, workspace="w", pipeline="p", kind=None, stage=None, late=False):
    """Records one run at the current time."""
    controller.recorder.record(
        workspace, pipeline, kind, stage, not late, 30, {"s": 10}, time.minute * 60_000
    )


def window_sums(totals, minutes=43_200, now=None):
    """Returns sums and bad runs by series, and the latency counts, of a window."""
    window = totals.window(minutes, totals.newest if now is None else now)
    names = {index: pair for pair, index in totals.series.items()}
    sums = {names[i]: (total, window.bad[i]) for i, total in enumerate(window.total) if total}
    spent = {(names[i], kind, stage): n for (i, kind, stage), n in window.spent.items()}
    return sums, spent, dict(window.latency)


def fold_state(fold):
    """Returns the state of a fold, independent of the numbering of series."""
    names = {index: pair for pair, index in fold.totals.series.items()}
    bins = {}
    for level, start, bin_ in fold.totals.bins():
        rows = {names[i]: (n, bin_.bad[i]) for i, n in enumerate(bin_.total) if n}
        spent = {(names[k[0]], *k[1:]): n for k, n in bin_.spent.items()}
        if rows:
            bins[level, start] = (rows, spent, dict(bin_.latency), bin_.detail)
    return bins, fold.totals.newest, fold.seen, fold.position


def add_counts(totals, minute, total, bad=0, pair=("p", ""), spent=()):
    """Adds counts of one series."""
    row = burn.PipelineRow(pair[0], total, bad, list(spent), [])
    content = burn.MinuteContent([row], [], [], [], [], [], [], [])
    totals.advance(minute)
    totals.add(minute, content, 1, burntotals.keep_all)


class TestRecorder:
    def test_caller_errors_are_not_counted(self):
        """Guards against caller errors that spend the error budget or dilute the burn rate."""
        time = Time()
        controller = make_controller(None, time, "a")
        for kind in ErrorKind:
            record_run(controller, time, kind=kind)
        (bucket,) = controller.recorder.pop_finished(0, flush=True)
        tally = bucket.pipelines["p"]
        bad = {
            "outcome_unknown", "overloaded", "deadline_unreachable", "not_ready",
            "log_unavailable", "no_targets", "deadline_exceeded", "stage_failed",
            "answer_incomplete", "internal", "stale_configuration", "prompt_quarantined",
            "request_quarantined",
        }  # fmt: skip
        assert {kind for kind, _ in tally.spent} == bad
        assert (tally.total, tally.bad) == (14, 13)  # action_rejected is an answer

    def test_minute_in_progress_is_kept(self):
        """Guards against a minute that is split over several records."""
        time = Time()
        controller = make_controller(None, time, "a")
        record_run(controller, time)
        assert controller.recorder.pop_finished(NOW * 60_000) == []
        assert len(controller.recorder.pop_finished((NOW + 1) * 60_000)) == 1

    def test_jumping_clock_is_bounded(self):
        """Guards against an unbounded number of buckets when the wall clock jumps."""
        time = Time()
        controller = make_controller(None, time, "a")
        for time.minute in range(0, 1_000, 7):
            record_run(controller, time)
        assert len(controller.recorder.buckets) == defaults.BURN_MAX_BUCKETS
        taken = controller.recorder.pop_finished(0, flush=True)
        assert sum(bucket.pipelines["p"].total for bucket in taken) == 143

    def test_too_many_pairs_wait_for_their_slot(self):
        """Guards against records that grow with the number of workspaces, and lost counts."""
        time = Time()
        controller = make_controller(None, time, "a", record_pairs=8)
        sent = Counter()
        for time.minute in range(NOW, NOW + 64):
            if time.minute < NOW + 8:
                for number in range(100):
                    record_run(controller, time, workspace=f"w{number}")
            for bucket in controller.recorder.pop_finished((time.minute + 1) * 60_000):
                assert len(bucket.pairs) < 30
                sent.update({pair: tally.total for pair, tally in bucket.pairs.items()})
        for bucket in controller.recorder.pop_finished(time.minute * 60_000, flush=True):
            sent.update({pair: tally.total for pair, tally in bucket.pairs.items()})
        assert sent == {("p", f"w{number}"): 8 for number in range(100)}

    def test_pairs_beyond_the_bound_count_for_the_pipeline(self):
        """Guards against unbounded memory, and against pipeline totals that miss dropped pairs."""
        time = Time()
        controller = make_controller(None, time, "a", max_pairs=3)
        for number in range(5):
            record_run(controller, time, workspace=f"w{number}")
        (bucket,) = controller.recorder.pop_finished(0, flush=True)
        assert (bucket.pipelines["p"].total, len(bucket.pairs)) == (5, 3)
        assert controller.recorder.dropped == 2


class TestController:
    async def test_repeated_append_counts_once(self):
        """Guards against double counts when a record is appended and its response is lost."""
        time = Time()
        log = MemoryLog(time)
        controller = make_controller(log, time, "a")
        record_run(controller, time)
        log.lose_answers = 2
        for time.minute in range(NOW + 1, NOW + 5):
            await controller.tick()
        ids = [record.value["id"] for record in log.topics["burn"]]
        assert ids == [f"a:{NOW}:1"] * 3
        assert window_sums((await load(log)).totals)[0][("p", "")] == (1, 0)

    async def test_outage_backlog_is_bounded_and_loses_nothing(self):
        """Guards against unbounded memory in an outage, and against lost or misplaced counts."""
        time = Time()
        log = MemoryLog(time)
        controller = make_controller(log, time, "a")
        log.down = True
        for time.minute in range(NOW, NOW + 600):
            record_run(controller, time, kind=ErrorKind.NO_TARGETS, stage="s")
            await controller.tick()
            assert len(controller.waiting) <= defaults.BURN_MAX_WAITING
        assert not await controller.close(timeout_ms=0)
        log.down = False
        assert await controller.close()
        totals = (await load(log)).totals
        assert window_sums(totals)[0] == {("p", ""): (600, 600), ("p", "w"): (600, 600)}
        assert 100 <= window_sums(totals, 120)[0][("p", "")][0] <= 300

    async def test_close_sends_the_current_minute(self):
        """Guards against losing the last partial minute in a graceful shutdown."""
        time = Time()
        log = MemoryLog(time)
        controller = make_controller(log, time, "a")
        record_run(controller, time)
        assert await controller.close()
        assert window_sums((await load(log)).totals, 5)[0] == {
            ("p", ""): (1, 0),
            ("p", "w"): (1, 0),
        }

    async def test_log_alone_equals_what_all_hosts_counted(self):
        """Guards against history that is lost with a host: all hosts are replaced several times."""
        time = Time()
        log = MemoryLog(time)
        rng = random.Random(7)
        sums, spent = Counter(), Counter()
        for generation in range(4):
            hosts = [
                make_controller(log, time, f"{generation}-{n}", record_pairs=4) for n in range(3)
            ]
            for _ in range(30):
                for controller in hosts:
                    for _ in range(5):
                        workspace, pipeline = rng.choice("abcdefgh"), rng.choice("pq")
                        kind = rng.choice([None, None, ErrorKind.OVERLOADED])
                        record_run(controller, time, workspace, pipeline, kind, kind and "s")
                        for owner in ("", workspace):
                            sums[(pipeline, owner), "total"] += 1
                            sums[(pipeline, owner), "bad"] += kind is not None
                            if kind:
                                spent[(pipeline, owner), "overloaded", "s"] += 1
                    log.lose_answers += rng.random() < 0.2
                    log.down = rng.random() < 0.2
                    await controller.tick()
                time.minute += 1
            log.down = False
            for controller in hosts:
                assert await controller.close()
            if generation == 1:
                await save(log, await load(log))
                log.starts["burn"] = len(log.topics["burn"]) - 2
        totals = (await load(log)).totals
        found, found_spent, _ = window_sums(totals)
        latency = window_sums(totals, 31)[2]  # only the last generation; older latency is discarded
        assert found == {pair: (sums[pair, "total"], sums[pair, "bad"]) for pair, _ in sums}
        assert found_spent == spent
        assert sum(latency.values()) == 2 * 3 * 30 * 5


class TestTotals:
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(st.tuples(st.integers(0, 50_000), st.integers(1, 9)), max_size=40),
        st.randoms(use_true_random=False),
    )
    def test_matches_a_list_of_events(self, events, rng):
        """Guards against counts lost or doubled by late records or merges into wider bins."""
        totals = Totals()
        for age, count in rng.sample(events, len(events)):
            add_counts(totals, NOW - age, count)
        totals.advance(NOW)
        for name, length in burnreport.WINDOWS.items():
            least = sum(n for age, n in events if age < length)
            slack = {"5m": 0, "1h": 5, "6h": 60, "3d": 360, "30d": 4_320}[name]
            most = sum(n for age, n in events if age < length + slack)
            found = window_sums(totals, length)[0].get(("p", ""), (0, 0))[0]
            assert least <= found <= most, name

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(
        st.lists(
            st.tuples(st.integers(0, 3), st.integers(0, 9_000), st.integers(1, 9), st.booleans()),
            max_size=30,
        ),
        st.integers(0, 30),
    )
    def test_repeats_and_checkpoints_change_nothing(self, events, cut):
        """Guards against totals that depend on duplicate records or on a reader's start offset."""
        records, sequences = [], Counter()
        for index, (name, age, count, repeat) in enumerate(events):
            sequences[name] += 1
            bucket = burn.Bucket(NOW - age)
            bucket.pipelines["p"] = burn.Tally()
            for _ in range(count):
                bucket.pipelines["p"].count("late" if repeat else None, "s")
            bucket.pairs["p", f"w{name}"] = bucket.pipelines["p"]
            bucket.latency["p", "s", count] = count
            value = burn.minute_record(bucket, str(name), sequences[name])
            records.extend([value] * (1 + repeat))
            if repeat and index % 2:
                records.append(records[0])
        rows = [Record(i, (NOW + i) * 60_000, value) for i, value in enumerate(records)]
        whole, part = BurnFold(), BurnFold()
        for row in rows:
            whole.apply(row)
        for row in rows[:cut]:
            part.apply(row)
        restorer = burncheckpoint.Restorer(burntotals.keep_all)
        for data in filter(None, burncheckpoint.checkpoint_parts(part)):
            restorer.add(data)
        restorer.fold.position = part.position
        for row in rows:
            restorer.fold.apply(row)
        assert fold_state(restorer.fold) == fold_state(whole)
        assert window_sums(whole.totals)[0].get(("p", ""), (0, 0))[0] == sum(e[2] for e in events)

    def test_damaged_and_newer_records_are_skipped(self):
        """Guards against a damaged record that makes every report fail."""
        fold = BurnFold()
        good = burn.minute_record(burn.Bucket(NOW), "a", 1)
        values = [{}, {**good, "schema": 2}, {**good, "data": "A"}, {**good, "data": "~" * 9}]
        values += [{**good, "sequence": None}, {**good, "data": burn.pack([1])}, good]
        for offset, value in enumerate(values):
            fold.apply(Record(offset, NOW * 60_000, value))
        assert (fold.skipped, fold.position, set(fold.seen)) == (6, 7, {"a"})

    def test_clock_ahead_does_not_age_the_others(self):
        """Guards against a host whose fast clock moves all counts into wide bins."""
        fold = BurnFold()
        bucket = burn.Bucket(NOW + 90_000)
        bucket.pipelines["p"] = burn.Tally()
        bucket.pipelines["p"].count(None, "")
        fold.apply(Record(0, NOW * 60_000, burn.minute_record(bucket, "a", 1)))
        assert fold.totals.newest == NOW
        assert window_sums(fold.totals, 5)[0] == {("p", ""): (1, 0)}


class TestCheckpoints:
    async def log_with_runs(self, minutes=30):
        time = Time()
        log = MemoryLog(time)
        controller = make_controller(log, time, "a")
        for _ in range(minutes):
            record_run(controller, time, kind=ErrorKind.OVERLOADED, stage="s")
            time.minute += 1
            await controller.tick()
        return time, log

    async def test_damaged_checkpoint_is_skipped(self):
        """Guards against totals from a checkpoint that does not match its digest."""
        _, log = await self.log_with_runs()
        await save(log, await load(log))
        expected = fold_state(await load(log))
        await save(log, await load(log))
        part = log.topics["burn-parts"][-1].value
        part["data"] = burn.pack([])
        assert fold_state(await load(log)) == expected
        log.starts["burn-parts"] = len(log.topics["burn-parts"])
        assert fold_state(await load(log)) == expected

    async def test_gap_is_reported(self):
        """Guards against a report that appears complete although records have expired."""
        time, log = await self.log_with_runs()
        await save(log, await load(log))
        run_before = len(log.topics["burn"])
        controller = make_controller(log, time, "b")
        for _ in range(5):
            record_run(controller, time)
            time.minute += 1
            await controller.tick()
        assert (await load(log)).since_ms == 0
        log.starts["burn"] = run_before + 2
        fold = await load(log)
        assert fold.since_ms == log.topics["burn"][run_before + 2].time_ms
        assert window_sums(fold.totals)[0][("p", "")] == (3, 0)

    async def test_checkpoint_of_records_that_the_log_lost(self):
        """Guards against a checkpoint that was being written while the log came back from an older
        copy: its offset would hide the records written since at the same offsets."""
        time = Time()
        fake = FakeLog(time.clock)
        log = FakeClient(fake)
        controller = make_controller(log, time, "a")

        async def run_minutes(count):
            for _ in range(count):
                record_run(controller, time)
                time.minute += 1
                await controller.tick()

        await run_minutes(4)
        copy = fake.copy()
        await run_minutes(6)
        old = await load(log)
        await fake.restore(copy)
        await run_minutes(8)
        expected = fold_state(await load(log))
        assert window_sums((await load(log)).totals)[0][("p", "")] == (12, 0)
        await save(log, old)
        assert fold_state(await load(log)) == expected
        await save(log, await load(log))
        fake.trim("burn", 6)
        assert fold_state(await load(log)) == expected

    async def test_one_host_writes_each_checkpoint(self):
        """Guards against every host reading an hour of records for the same checkpoint."""
        time, log = await self.log_with_runs()
        controllers = [CheckpointController(log, time.clock, random.Random(n)) for n in range(9)]
        time.minute += 11  # past every random delay
        await asyncio.gather(*(controller.tick() for controller in controllers))
        headers = log.topics["burn-checkpoints"]
        assert sum(h.value["type"] == "checkpoint" for h in headers) == 1
        for _ in range(150):
            time.minute += 1
            await asyncio.gather(*(controller.tick() for controller in controllers))
        assert sum(h.value["type"] == "checkpoint" for h in headers) == 3

    async def test_intent_of_a_dead_host_expires(self):
        """Guards against an intent that blocks checkpoints for ever after its host has died."""
        time, log = await self.log_with_runs()
        intent = {"schema": 1, "type": "intent", "id": "dead"}
        await log.append("burn-checkpoints", [intent])
        controller = CheckpointController(log, time.clock, random.Random(1))
        for _ in range(30):
            time.minute += 1
            await controller.tick()
        assert log.topics["burn-checkpoints"][-1].value["type"] == "checkpoint"


class TestReport:
    def report(self, counted, attainment=0.99, days=30):
        totals = Totals()
        for age, total, bad in sorted(counted, reverse=True):
            add_counts(
                totals, NOW - age, total, bad, spent=[("overloaded", "s", bad)] if bad else []
            )
        totals.advance(NOW)
        return burnreport.burn_report(totals, {"p": Objective(attainment, days)}, NOW * 60_000)[
            "series"
        ][0]

    def test_hand_computed(self):
        """Guards against wrong rates: 10 bad of 1,000 now, 2 bad of 9,000 two hours ago."""
        series = self.report([(0, 1_000, 10), (120, 9_000, 2)])
        hour, six = series["windows"]["1h"], series["windows"]["6h"]
        assert (hour["total"], hour["bad"], six["total"], six["bad"]) == (1_000, 10, 10_000, 12)
        assert hour["burn_rate"] == pytest.approx(1.0)
        assert six["attainment"] == pytest.approx(0.9988)
        assert series["budget_left"] == pytest.approx(0.88)  # 12 of 100 allowed
        assert series["spent_by"] == [
            {"kind": "overloaded", "stage": "s", "count": 12, "share": 1.0}
        ]

    @pytest.mark.parametrize(
        ("counted", "alarms"),
        [
            ([(0, 1_000, 144)], ["1h/5m", "6h/1h", "3d/6h"]),
            ([(0, 1_000, 143)], ["6h/1h", "3d/6h"]),
            ([(30, 1_000, 500)], ["6h/1h", "3d/6h"]),  # ended half an hour ago
            ([(0, 1_000, 59)], ["3d/6h"]),
            ([(0, 1_000, 9)], []),  # below the minimum number of bad runs
            ([(1_000, 1_000, 500)], []),  # ended long ago
        ],
    )
    def test_alarms(self, counted, alarms):
        """Guards against thresholds off by one and alarms that outlive their cause."""
        found = self.report(counted)["alarms"]
        assert ["/".join(alarm["windows"]) for alarm in found] == alarms

    def test_loose_objective_can_alarm(self):
        """Guards against a threshold above the highest possible burn rate."""
        found = self.report([(0, 100, 95)], 0.5)["alarms"]
        assert [alarm["name"] for alarm in found] == ["fast_burn", "fast_burn", "slow_burn"]

    def test_objective_of_one_stays_finite(self):
        """Guards against an infinite value, which JSON can't represent."""
        series = self.report([(0, 100, 1)], 1.0, 7)
        assert json.loads(json.dumps(series, allow_nan=False))["budget_left"] < -1_000

    async def test_handler_filters_and_marks_coarse_windows(self):
        """Guards against rates of a pair over a window shorter than its collection interval."""
        time = Time()
        log = MemoryLog(time)
        controller = make_controller(log, time, "a", record_pairs=1)
        for number in range(16):
            record_run(controller, time, workspace=f"w{number}", kind=ErrorKind.NO_TARGETS)
        assert await controller.close()
        pipeline = Pipeline("p", (), 1_000, objective=Objective(0.9, 7))
        configuration = EMPTY_CONFIGURATION._replace(pipelines={"p": pipeline})
        report = await burnreport.handle_burn(log, configuration, NOW * 60_000, workspace="w3")
        whole, pair = report["series"]
        assert (whole["workspace"], pair["workspace"], pair["objective"]) == (None, "w3", 0.9)
        assert pair["windows"]["5m"]["burn_rate"] is None and pair["windows"]["5m"]["coarse"]
        assert whole["windows"]["5m"]["burn_rate"] == pytest.approx(10)
        log.down = True
        with pytest.raises(ServiceError, match="try again"):
            await burnreport.handle_burn(log, configuration, NOW * 60_000)

    def test_only_the_worst_pairs_are_listed(self):
        """Guards against a response that grows with the number of workspaces."""
        totals = Totals()
        fold = SimpleNamespace(totals=totals)
        bucket = burn.Bucket(NOW)
        for number in range(50):
            tally = bucket.pairs["p", f"w{number}"] = burn.Tally()
            for index in range(100):
                tally.count("late" if index < number else None, "")
        fold.totals.advance(NOW)
        fold.totals.add(NOW, burn.minute_content(bucket), 1, burntotals.keep_all)
        report = burnreport.burn_report(totals, {}, NOW * 60_000, max_pairs=2)
        assert [series["workspace"] for series in report["series"]] == ["w48", "w49"]
        assert report["omitted"] == 48


class TestView:
    def test_table_json_and_plot(self):
        """Guards against a view that fails on None values or omits the budget's consumers."""
        totals = Totals()
        add_counts(totals, NOW - 50, 1_000, 200, spent=[("stage_failed", "draft", 200)])
        add_counts(totals, NOW, 10)
        report = burnreport.burn_report(totals, {}, NOW * 60_000)
        text = burnview.table(report)
        assert "budget spent by stage_failed at draft 200 (100%)" in text
        assert "slow_burn (3d/6h)" in text
        assert json.loads(burnview.as_json(report))["series"][0]["pipeline"] == "p"
        assert "burn rate" in burnview.plot(report)


def test_level_widths_are_multiples():
    """Guards against bins that would straddle two bins of the next level."""
    for lower, upper in itertools.pairwise(LEVELS):
        assert upper.width % lower.width == 0 and lower.span % lower.width == 0
