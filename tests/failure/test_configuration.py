"""An accepted configuration is in effect on every host within 8 s and never reverts."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from hashlib import sha256
from typing import Any

import aiohttp
import pytest
import uuid6

from savoryfork.ui import DONE, FAILED
from standins.deployments import NASR
from standins.launch import PLATFORM, ROOT, Deployment
from tests.failure.keyed import eventually, operator_status, publish

# These tests run no pipelines, so the deployment has no targets.
SPEC = NASR.small()._replace(services=())

# Guaranteed time for a change to be in effect on every live host.
IN_EFFECT_S = 8.0

FILE = "workspace/floor.json"


def workspace(share: int) -> dict[str, Any]:
    """Returns a workspace file with the given share."""
    return {
        "kind": "workspace",
        "key_digests": [sha256(b"caller-key").hexdigest()],
        "pipelines": [],
        "share": share,
    }


class Sampler:
    """Samples the status of every daemon and records each decrease of an offset."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.highest: dict[tuple[str, str], tuple[int, int]] = {}
        self.latest: dict[str, dict[str, Any]] = {}
        self.reverts: list[str] = []
        self.samples = 0

    async def sample(self, host: str) -> None:
        """Samples one daemon; it may be down or frozen."""
        while True:
            try:
                async with asyncio.timeout(0.5):
                    state = await operator_status(self.deployment, host)
            except (aiohttp.ClientError, OSError, TimeoutError):
                await asyncio.sleep(0.02)
                continue
            self.samples += 1
            self.latest[host] = state
            process = (host, state["incarnation"])
            now = (state["config"]["offset"], state["config"]["position"])
            before = self.highest.get(process, (-1, 0))
            if now[0] < before[0] or now[1] < before[1]:
                self.reverts.append(f"{process}: {before} -> {now}")
            self.highest[process] = (max(now[0], before[0]), max(now[1], before[1]))
            await asyncio.sleep(0.02)

    def offset(self, host: str) -> int:
        """Returns the newest offset of the daemon's current incarnation, -1 if unknown."""
        state = self.latest.get(host)
        running = self.deployment.incarnations.get(host)
        if state is None or state["incarnation"] != running:
            return -1
        return int(state["config"]["offset"])

    async def wait_everywhere(self, offset: int, since: float) -> None:
        """Waits until every daemon has reached `offset`; fails `IN_EFFECT_S` after `since`."""

        async def reached() -> bool:
            return all(self.offset(host) >= offset for host in self.deployment.host_names)

        remaining_s = since + IN_EFFECT_S - time.monotonic()
        await eventually(reached, remaining_s, f"offset {offset} is in effect everywhere")


@asynccontextmanager
async def running() -> AsyncIterator[tuple[Deployment, Sampler, int]]:
    """Starts a deployment with one publication in effect; yields it, its sampler and the offset."""
    async with Deployment(SPEC) as deployment:
        status, body = await publish(deployment, {FILE: workspace(1)})
        assert status == 200, body
        await deployment.wait_ready()
        sampler = Sampler(deployment)
        tasks = [asyncio.create_task(sampler.sample(host)) for host in deployment.host_names]

        async def peers_known() -> bool:
            peers = [len(state["peers"]) for state in sampler.latest.values()]
            return peers == [len(deployment.host_names) - 1] * len(deployment.host_names)

        try:
            await eventually(peers_known, 5, "every daemon knows its peers")
            yield deployment, sampler, body["offset"]
            assert not any(task.done() for task in tasks) and sampler.samples > 20
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        assert sampler.reverts == []


async def publish_share(
    deployment: Deployment, share: int, base: int, host: str = "host-0", **fields: Any
) -> tuple[int, dict[str, Any]]:
    """Publishes the workspace file with a new share."""
    return await publish(deployment, {FILE: workspace(share)}, {FILE: base}, host=host, **fields)


async def append_count(deployment: Deployment) -> int:
    """Returns the number of appends requested from the platform."""
    counts = (await deployment.state(PLATFORM))["requests"]
    return int(counts.get("POST /topics/{topic}/records", 0))


class TestOperators:
    async def test_racing_operators_have_one_winner(self) -> None:
        """Guards against two operators who publish from the same base and are both accepted."""
        async with running() as (deployment, sampler, offset):
            for round_number in range(6):
                shares = (10 + round_number, 20 + round_number)
                answers = await asyncio.gather(
                    publish_share(deployment, shares[0], offset, "host-1"),
                    publish_share(deployment, shares[1], offset, "host-2"),
                )
                assert sorted(status for status, _ in answers) == [200, 409]
                winner = [status for status, _ in answers].index(200)
                assert answers[1 - winner][1]["error"]["kind"] == "publication_conflict"
                offset = answers[winner][1]["offset"]
                await sampler.wait_everywhere(offset, time.monotonic())
                await assert_content(deployment, shares[winner])
            assert sorted(await race_of_tools(deployment)) == [DONE, FAILED]
            await sampler.wait_everywhere(offset + 1, time.monotonic())

    async def test_lost_and_repeated_publication_takes_effect_once(self) -> None:
        """Guards against an append that is taken as refused because its answer was lost, and
        against a publication that takes effect again when it is repeated at another host."""
        async with running() as (deployment, sampler, offset):
            await deployment.faults(PLATFORM, lose_answers=1)
            lost_answer_id = str(uuid6.uuid7())
            status, body = await publish_share(deployment, 2, offset, "host-0", id=lost_answer_id)
            assert status == 200
            since = time.monotonic()
            status, again = await publish_share(deployment, 2, offset, "host-1", id=lost_answer_id)
            assert (status, again["offset"]) == (200, body["offset"])
            await sampler.wait_everywhere(body["offset"], since)
            # The host that appends is killed before the record lands.
            await deployment.faults(PLATFORM, delay_append_ms=500)
            before, interrupted_id = await append_count(deployment), str(uuid6.uuid7())
            first = asyncio.create_task(
                publish_share(deployment, 3, body["offset"], "host-0", id=interrupted_id)
            )

            async def appending() -> bool:
                return await append_count(deployment) > before

            await eventually(appending, 3, "the append has started")
            deployment.kill("host-0")
            await deployment.mark_leaving("host-0")
            with pytest.raises(aiohttp.ClientError):
                await first
            status, second = await publish_share(
                deployment, 3, body["offset"], "host-1", id=interrupted_id
            )
            assert status == 200
            await deployment.faults(PLATFORM, reset=True)

            async def landed_twice() -> bool:
                ids = [r["value"].get("id") for r in await deployment.records("config")]
                return ids.count(interrupted_id) == 2

            await eventually(landed_twice, 3, "both appends have landed")
            await deployment.restart("host-0")
            await sampler.wait_everywhere(second["offset"], time.monotonic())
            # The duplicate record had no effect.
            assert {sampler.offset(host) for host in deployment.host_names} == {second["offset"]}
            await assert_content(deployment, 3)


class TestRestoredLog:
    async def test_version_that_the_log_lost_stays_in_effect(self) -> None:
        """Guards against an accepted version that is forgotten, by the hosts that had it or by one
        that starts from the older copy, and against two winners after that."""
        async with running() as (deployment, sampler, offset):
            status, body = await publish_share(deployment, 2, offset)
            assert status == 200, body
            status, body = await publish_share(deployment, 3, body["offset"])
            assert status == 200, body
            for _ in range(2):
                since = time.monotonic()
                await deployment.restore_log({"config": 2})
                deployment.kill("host-2")
                await deployment.restart("host-2")
                await sampler.wait_everywhere(body["offset"] + 1, since)
                await assert_content(deployment, 3)
                offset = sampler.offset("host-0")
                answers = await asyncio.gather(
                    publish_share(deployment, 4, offset, "host-1"),
                    publish_share(deployment, 5, offset, "host-2"),
                )
                assert sorted(status for status, _ in answers) == [200, 409]
                body = next(answer for status, answer in answers if status == 200)
                status, body = await publish_share(deployment, 3, body["offset"], "host-2")
                assert status == 200, body


async def assert_content(deployment: Deployment, share: int) -> None:
    """Checks the file's content at every daemon."""
    for host in deployment.host_names:
        url = f"{deployment.operator_url(host)}/operator/config"
        async with deployment.session.get(url, headers=deployment.operator_headers) as response:
            files = (await response.json())["files"]
        assert files[FILE]["content"]["share"] == share


async def race_of_tools(deployment: Deployment) -> list[int]:
    """Publishes two directories from one base with the command-line tool at the same time.

    Returns their exit codes.
    """
    key_file = deployment.directory / "operator.key"
    key_file.write_text(deployment.operator_key)
    base_file = deployment.directory / "base.json"
    url = f"{deployment.operator_url('host-0')}/operator/config"
    async with deployment.session.get(url, headers=deployment.operator_headers) as response:
        base_file.write_text(await response.text())
    processes = []
    for host, share in (("host-1", 100), ("host-2", 200)):
        file = deployment.directory / f"files-{share}" / FILE
        file.parent.mkdir(parents=True)
        file.write_text(json.dumps(workspace(share)))
        processes.append(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "savoryfork.ui",
                "publish",
                str(file.parent.parent),
                f"--operator_url={deployment.operator_url(host)}",
                f"--key_file={key_file}",
                f"--base_file={base_file}",
                cwd=ROOT,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
            )
        )
    return [await asyncio.wait_for(process.wait(), 15) for process in processes]


class TestOutages:
    async def test_log_goes_down_right_after_the_acceptance(self) -> None:
        """Guards against an accepted change that reaches no other host because the log went down
        before they read it, and against a host that is replaced in the outage and gets no
        configuration because there is no host list to find its peers."""
        async with running() as (deployment, sampler, offset):
            others = ["host-1", "host-2"]
            for host in others:
                deployment.stop(host)
            # Longer than a poll of the log waits, so the frozen hosts find empty answers and not
            # the change when they resume.
            frozen = time.monotonic()

            async def polls_ended() -> bool:
                return time.monotonic() - frozen > 1.5

            await eventually(polls_ended, 3, "the polls have ended")
            task = asyncio.create_task(publish_share(deployment, 2, offset))

            async def accepted() -> bool:
                return sampler.offset("host-0") > offset

            await eventually(accepted, 3, "the change is accepted")
            since, newest = time.monotonic(), sampler.offset("host-0")
            await deployment.faults(PLATFORM, down=True)
            for host in others:
                deployment.cont(host)
            await sampler.wait_everywhere(newest, since)
            status, body = await task
            assert status == 200 and not body["missing"]
            # During the outage a replaced host has no host list, only its seed peers.
            file = deployment.directory / "host-2.json"
            settings = json.loads(file.read_text())
            seeds = [deployment.children[name].address for name in ("host-1", "host-2")]
            file.write_text(json.dumps({**settings, "seed_peers": seeds}))
            deployment.kill("host-2")
            await deployment.restart("host-2")
            since = time.monotonic()
            await deployment.wait_ready("host-2", timeout_s=IN_EFFECT_S)
            await sampler.wait_everywhere(newest, since)
            refused, answer = await publish_share(deployment, 3, newest, "host-2")
            assert (refused, answer["error"]["kind"]) == (503, "log_unavailable")
            await deployment.faults(PLATFORM, reset=True, down=False)

            async def accepts_again() -> bool:
                return (await publish_share(deployment, 3, newest, "host-2"))[0] == 200

            await eventually(accepts_again, 5, "publications are accepted again")

    async def test_retention_passes_a_frozen_reader(self) -> None:
        """Guards against a host that is frozen until its position is past retention and then stays
        stale or applies wrong state, and against state lost when all hosts are replaced."""
        async with running() as (deployment, sampler, offset):
            await deployment.faults(PLATFORM, retention_records=24)
            deployment.stop("host-2")
            # Appended directly because a publication would wait for the frozen host.
            url = f"{deployment.platform_url}/topics/config/records"
            for share in range(2, 42):
                record = {
                    "schema": 1,
                    "type": "publish",
                    "id": str(uuid6.uuid7()),
                    "operator": "operator",
                    "base": {FILE: offset},
                    "files": {FILE: workspace(share)},
                }
                offset = (await deployment.call("POST", url, {"records": [record]}))["first_offset"]

            async def live_hosts_reached() -> bool:
                return min(sampler.offset(host) for host in ("host-0", "host-1")) >= offset

            await eventually(
                live_hosts_reached, IN_EFFECT_S, "the live hosts have the last publication"
            )
            bounds = (await deployment.state(PLATFORM))["topics"]["config"]
            assert sampler.latest["host-2"]["config"]["position"] < bounds["start"]
            deployment.cont("host-2")
            await sampler.wait_everywhere(offset, time.monotonic())

            async def checkpoint_covers() -> bool:
                through = [s["config"]["checkpoint_through"] for s in sampler.latest.values()]
                return min(through) >= offset

            # The longest delay of an urgent checkpoint is 5 s.
            await eventually(checkpoint_covers, 7, "a checkpoint covers the last publication")
            for host in deployment.host_names:
                deployment.kill(host)
            await asyncio.gather(*(deployment.restart(h) for h in deployment.host_names))
            since = time.monotonic()
            await deployment.wait_ready(timeout_s=IN_EFFECT_S)
            await sampler.wait_everywhere(offset, since)
            await assert_content(deployment, 41)

    async def test_newer_schema_keeps_what_is_in_effect(self) -> None:
        """Guards against a host that skips or misreads a record of a newer schema, or loses its
        configuration because of it."""
        async with running() as (deployment, sampler, offset):
            url = f"{deployment.platform_url}/topics/config/records"
            record = {"schema": 2, "type": "publish", "id": "new", "files": {FILE: None}}
            stop_at = (await deployment.call("POST", url, {"records": [record]}))["first_offset"]
            known_schema = {**record, "schema": 1, "operator": "operator", "base": {FILE: offset}}
            await deployment.call("POST", url, {"records": [known_schema]})

            async def stopped() -> bool:
                states = list(sampler.latest.values())
                return all(state["config"]["stopped_at"] == stop_at for state in states)

            await eventually(stopped, 3, "every host has stopped at the record of the newer schema")
            status, body = await publish_share(deployment, 2, offset, "host-1")
            assert (status, body["error"]["kind"]) == (503, "not_ready")
            await deployment.wait_ready(timeout_s=2)
            await assert_content(deployment, 1)
            assert {sampler.offset(host) for host in deployment.host_names} == {offset}
