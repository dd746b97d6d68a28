"""What a host knows of the caches of engines: replayed prompts of many hosts, and their bounds."""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict

import pytest

from savoryfork.forward import placement
from savoryfork.forward.model import Prompt, PromptPart, Target
from savoryfork.forward.placement import EngineLoad, KnownCache, Preferences
from savoryfork.forward.prefixes import KEEP_MS, MAX_PARTS, PrefixTable, shared_prefixes
from savoryfork.forward.speeds import EngineSpeed

# The engines of wrekin, and the time for which they keep a part that is not used.
MEMORY = 304_898
SLOTS = 24
SPEED = EngineSpeed(42.6, 70.0, 4.0)
VALUE_MS = 9_800.0
ANSWER_MS = 500.0

ROOTS = 4
PARTS = 340
ROOT_TOKENS = 2_520
PART_TOKENS = 3_780
OWN_TOKENS = 2_890


def engine(number: int, start_unix_ms: int = 1) -> Target:
    zone = f"z{number % 3}"
    return Target(f"e{number}", "s", f"10.0.0.{number}:1", zone, start_unix_ms, SLOTS, False)


def prompt_of(part: int, number: int = 0, output: int | None = None) -> Prompt:
    parts = (
        PromptPart(f"root{part % ROOTS}", ROOT_TOKENS),
        PromptPart(f"part{part}", PART_TOKENS),
        PromptPart(f"own{number}", OWN_TOKENS),
    )
    return Prompt(sum(p.tokens for p in parts), parts, output)


def held(table: PrefixTable, target: Target, prompt: Prompt, now: float) -> float:
    return table.known([target], prompt, {}, now).get(target.name, KnownCache(0.0)).held_tokens


class Engine:
    """The actual cache of an engine: least recently used parts are evicted, and old ones lost."""

    def __init__(self) -> None:
        self.parts: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self.tokens = 0.0
        self.busy_until = 0.0

    def cached(self, prompt: Prompt, now: float) -> float:
        found = 0.0
        for prefix in shared_prefixes(prompt):
            if prefix.key not in self.parts or now - self.parts[prefix.key][1] > VALUE_MS:
                break
            found = prefix.tokens
        return found

    def store(self, prompt: Prompt, now: float) -> None:
        keys = [prefix.key for prefix in shared_prefixes(prompt)] + [prompt.parts[-1].id]
        for key, part in reversed(list(zip(keys, prompt.parts, strict=True))):
            self.tokens += part.tokens - self.parts.pop(key, (0.0, 0.0))[0]
            self.parts[key] = (part.tokens, now)
        while self.tokens > MEMORY:
            self.tokens -= self.parts.popitem(last=False)[1][0]


class Outcome:
    def __init__(self) -> None:
        self.read = 0.0
        self.times: list[float] = []
        self.beliefs: list[bool] = []

    def quantile(self, q: float) -> float:
        return sorted(self.times)[int(q * (len(self.times) - 1))]


def replay(known: bool, hosts: int, engines: int, per_s: float, seconds: int) -> Outcome:
    """Serves prompts with skewed demand and bursts of three times the rate, 5 of every 20 s."""
    rng = random.Random(5)
    targets = [engine(number) for number in range(engines)]
    actual = {target.name: Engine() for target in targets}
    tables = [PrefixTable(MEMORY) for _ in range(hosts)]
    for table in tables:
        table.retain(targets, hosts, 0.0)
    pending = dict.fromkeys(actual, 0.0)
    running = dict.fromkeys(actual, 0)
    weights = [1 / (rank + 5) for rank in range(PARTS)]
    ends: list[tuple[float, int, str, float]] = []
    outcome = Outcome()
    now = 0.0
    number = 0
    while now < 1_000 * seconds:
        rate = per_s * (3 if now % 20_000 > 15_000 else 1)
        now += rng.expovariate(rate / 1_000)
        number += 1
        while ends and ends[0][0] <= now:
            _, _, name, tokens = heapq.heappop(ends)
            pending[name] -= tokens
            running[name] -= 0 if tokens else 1
        table = rng.choice(tables)
        prompt = prompt_of(rng.choices(range(PARTS), weights)[0], number)
        loads = {name: EngineLoad(pending[name], running[name]) for name in actual}
        caches = table.known(targets, prompt, loads, now) if known else {}
        costs = placement.engine_costs(
            targets, prompt, loads, {}, "z0", SPEED, Preferences(), caches=caches
        )
        target = min(targets, key=lambda t: costs[t.name])
        name = target.name
        chosen = actual[name]
        cached = chosen.cached(prompt, now)
        belief = caches.get(name, KnownCache(0.0)).held_tokens
        if belief:
            outcome.beliefs.append(belief <= cached)
        table.record(target, prompt, now, max(belief, ROOT_TOKENS))
        tokens = prompt.input_tokens - cached
        chosen.store(prompt, now)
        outcome.read += tokens
        chosen.busy_until = max(now, chosen.busy_until) + tokens / SPEED.prefill_tokens_per_ms
        first_at = chosen.busy_until + SPEED.first_event_ms
        outcome.times.append(first_at - now)
        pending[name] += tokens
        running[name] += 1
        heapq.heappush(ends, (first_at, number, name, tokens))
        heapq.heappush(ends, (first_at + ANSWER_MS, number, name, 0.0))
    return outcome


class TestReplay:
    @pytest.mark.parametrize(
        ("hosts", "engines", "per_s", "seconds"),
        [(62, 70, 300, 22), (4, 12, 45, 40)],
        ids=["many", "few"],
    )
    def test_fewer_tokens_are_read_and_waits_get_shorter(self, hosts, engines, per_s, seconds):
        """Guards against requests that wait in a burst for the one engine that all hosts prefer,
        while a second one has read the same parts."""
        before = replay(False, hosts, engines, per_s, seconds)
        after = replay(True, hosts, engines, per_s, seconds)
        assert after.read < before.read
        for q in (0.5, 0.9, 0.99):
            assert after.quantile(q) < 0.95 * before.quantile(q)
        assert after.quantile(1.0) <= before.quantile(1.0)
        assert sum(after.beliefs) > 0.98 * len(after.beliefs) > 500

    def test_without_load_the_preferred_engine_is_used(self):
        """Guards against copies that hosts make on several engines without need."""
        targets = [engine(number) for number in range(70)]
        table = PrefixTable(MEMORY)
        table.retain(targets, 62, 0.0)
        for number in range(PARTS):
            prompt = prompt_of(number)
            for _ in range(2):
                caches = table.known(targets, prompt, {}, 0.0)
                costs = placement.engine_costs(
                    targets, prompt, {}, {}, "z0", SPEED, Preferences(), caches=caches
                )
                chosen = min(targets, key=lambda target: costs[target.name])
                assert chosen.name == placement.preferred_engine(targets, prompt)
                table.record(chosen, prompt, 0.0)


class TestCosts:
    def costs(self, prompt, caches, loads=None):
        targets = [engine(0), engine(3)]
        return placement.engine_costs(
            targets, prompt, loads or {}, {}, "z0", SPEED, Preferences(), caches=caches
        )

    def test_nothing_known_costs_as_before(self):
        table = PrefixTable(MEMORY)
        targets = [engine(number) for number in range(70)]
        table.retain(targets, 62, 0.0)
        loads = {"e1": EngineLoad(9_000.0, 12.0)}
        assert table.known(targets, prompt_of(1), loads, 100.0) == {}

    def test_known_copy_costs_as_much_as_the_usual_one(self):
        prompt = prompt_of(1)
        costs = self.costs(prompt, {n: KnownCache(6_300.0) for n in ("e0", "e3")})
        assert costs["e0"] == pytest.approx(costs["e3"])

    def test_memory_that_must_be_evicted_costs_its_reading(self):
        """Guards against engines whose running requests take all memory."""
        table = PrefixTable(MEMORY)
        targets = [engine(0), engine(3)]
        long = Prompt(16_000, (PromptPart("own", 16_000),), 500)
        table.record(targets[0], long, 0.0)
        loads = {"e0": EngineLoad(0.0, 23.0), "e3": EngineLoad(0.0, 6.0)}
        caches = table.known(targets, long, loads, 1.0)
        assert set(caches) == {"e0"} and caches["e0"].evicted_tokens == 16_500
        without = self.costs(long, {}, loads)
        assert self.costs(long, caches, loads)["e0"] == pytest.approx(without["e0"] + 16_500 / 42.6)

    def test_engine_that_has_just_started_is_still_the_one_to_read_a_prefix(self):
        """Guards against each host having the prefixes of a restarted engine read elsewhere."""
        prompt = prompt_of(1)
        preferred = placement.preferred_engine([engine(0), engine(3)], prompt)
        costs = self.costs(prompt, {preferred: KnownCache(0.0, others_share=0.0)})
        assert min(costs, key=lambda name: costs[name]) == preferred
        assert costs[preferred] > self.costs(prompt, {})[preferred]


class TestTable:
    def test_parts_are_held_for_a_time(self):
        table = PrefixTable(MEMORY)
        table.record(engine(0), prompt_of(1), 0.0)
        assert held(table, engine(0), prompt_of(1), KEEP_MS) == 6_300
        assert held(table, engine(0), prompt_of(1), KEEP_MS + 1) == 0

    def test_root_is_shared_by_other_parts(self):
        table = PrefixTable(MEMORY)
        table.record(engine(0), prompt_of(1), 0.0)
        assert held(table, engine(0), prompt_of(1 + ROOTS), 1.0) == ROOT_TOKENS

    def test_part_behind_another_root_is_another_prefix(self):
        """An engine can use a part only behind the same parts."""
        table = PrefixTable(MEMORY)
        table.record(engine(0), prompt_of(1), 0.0)
        prompt = prompt_of(1)
        other = prompt._replace(parts=(PromptPart("other", ROOT_TOKENS), *prompt.parts[1:]))
        assert held(table, engine(0), other, 1.0) == 0

    def test_restart_empties_the_cache(self):
        table = PrefixTable(MEMORY)
        table.record(engine(0), prompt_of(1), 0.0)
        reborn = engine(0, start_unix_ms=2)
        assert held(table, reborn, prompt_of(1), 1.0) == 0
        table.retain([reborn], 62, 2.0)
        assert held(table, reborn, prompt_of(1), 3.0) == 0
        table.record(reborn, prompt_of(1), 4.0)
        assert held(table, reborn, prompt_of(1), 5.0) == 6_300

    def test_evacuated_engine_returns_empty_and_is_filled_by_all_hosts(self):
        """Guards against prefixes that are expected on an engine that nobody sent any."""
        table = PrefixTable(MEMORY)
        table.retain([engine(0), engine(3)], 62, 0.0)
        table.record(engine(0), prompt_of(1), 0.0)
        table.retain([engine(3)], 62, 500.0)
        table.retain([engine(0), engine(3)], 62, 1_000.0)
        assert table.known([engine(0)], prompt_of(1), {}, 1_000.0)["e0"] == KnownCache(0.0, 0.0)
        half = table.known([engine(0)], prompt_of(1), {}, 1_000.0 + KEEP_MS / 2)["e0"]
        assert half.others_share == 0.5
        assert not table.known([engine(0)], prompt_of(1), {}, 1_000.0 + KEEP_MS)

    def test_host_that_starts_expects_what_all_hosts_do(self):
        """Guards against engines that seem empty because the host has just started."""
        table = PrefixTable(MEMORY)
        table.record(engine(0), prompt_of(1), 0.0)
        table.retain([engine(number) for number in range(70)], 62, 1.0)
        assert not table.known([engine(number) for number in range(1, 70)], prompt_of(2), {}, 2.0)

    def test_refused_prompt_is_not_held(self):
        table = PrefixTable(MEMORY)
        table.record(engine(0), prompt_of(1), 0.0)
        table.forget(engine(0), prompt_of(1))
        assert held(table, engine(0), prompt_of(1), 1.0) == 0 and table.held_parts() == 0

    def test_least_recently_used_parts_are_evicted(self):
        table = PrefixTable(MEMORY)
        for number in range(60):
            table.record(engine(0), prompt_of(number, number), float(number))
        assert held(table, engine(0), prompt_of(0), 60.0) < 6_300
        assert held(table, engine(0), prompt_of(59), 60.0) == 6_300

    def test_requests_of_other_hosts_evict_parts(self):
        """With 62 hosts, an engine has stored 61 times what this one has sent to all on average."""
        for hosts, expected in ((1, 6_300), (620, 0)):
            table = PrefixTable(MEMORY)
            targets = [engine(number) for number in range(70)]
            table.retain(targets, hosts, 0.0)
            table.record(engine(0), prompt_of(1), 0.0)
            for number in range(1, 20):
                table.record(engine(number), prompt_of(number, number), 10.0 * number)
            assert held(table, engine(0), prompt_of(1), 200.0) == expected

    def test_running_requests_leave_less_room(self):
        table = PrefixTable(MEMORY)
        table.record(engine(0), prompt_of(1, output=500), 0.0)
        for number in range(20):
            table.record(engine(0), Prompt(12_000, (PromptPart(f"o{number}", 12_000),)), 1.0)
        for running, expected in ((0.0, 6_300), (23.0, 0)):
            loads = {"e0": EngineLoad(0.0, running)}
            found = table.known([engine(0)], prompt_of(1), loads, 2.0)
            assert found.get("e0", KnownCache(0.0)).held_tokens == expected

    def test_memory_is_bounded(self):
        """Guards against prompts of many tiny parts, and engines that come and go."""
        table = PrefixTable()
        for number in range(2_000):
            parts = tuple(PromptPart(f"{number}-{n}", 1) for n in range(40))
            table.record(engine(number % 5), Prompt(40, parts), 0.0)
        assert all(len(cache.parts) <= MAX_PARTS for cache in table.engines.values())
        table.retain([engine(0)], 1, 1.0)
        assert list(table.engines) == ["e0"]
        table.retain([engine(0)], 1, KEEP_MS + 1)
        assert table.held_parts() == 0 and table.engines["e0"].tokens == 0

    @pytest.mark.parametrize("parts", [(), (PromptPart("", 0),), (PromptPart("a", 0),) * 3])
    def test_odd_prompts(self, parts):
        table = PrefixTable(MEMORY)
        table.record(engine(0), Prompt(0, parts), 0.0)
        assert held(table, engine(0), Prompt(0, parts), 1.0) == 0
