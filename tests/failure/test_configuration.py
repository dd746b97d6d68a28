"""An accepted configuration is in effect everywhere within 8 s and never reverts."""

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
from tests.failure.keyed import eventually, publish, status_of

# No run is made here, so the deployment has no targets.
SPEC = NASR.small()._replace(services=())

# The stated target for a change to be in effect on every live host.
IN_EFFECT_S = 8.0

FILE = "workspace/floor.json"


def workspace(share: int) -> dict[str, Any]:
    """A file whose content differs by `share`."""
    return {
        "kind": "workspace",
        "key_digests": [sha256(b"caller-key").hexdigest()],
        "pipelines": [],
        "share": share,
    }


class Sampler:
    """Reads the status of every daemon all the time and keeps each step back of an offset."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.highest: dict[tuple[str, str], tuple[int, int]] = {}
        self.latest: dict[str, dict[str, Any]] = {}
        self.reverts: list[str] = []
        self.samples = 0

    async def follow(self, host: str) -> None:
        """Samples one daemon; it may be down or frozen."""
        while True:
            try:
                async with asyncio.timeout(0.5):
                    state = await status_of(self.deployment, host)
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
        """The newest offset of the daemon's present incarnation, -1 if there is none."""
        state = self.latest.get(host)
        running = self.deployment.incarnations.get(host)
        if state is None or state["incarnation"] != running:
            return -1
        return int(state["config"]["offset"])

    async def everywhere(self, offset: int, since: float) -> None:
        """Waits until every daemon has reached `offset`, within the target from `since` on."""

        async def reached() -> bool:
            return all(self.offset(host) >= offset for host in self.deployment.host_names)

        left_s = since + IN_EFFECT_S - time.monotonic()
        await eventually(reached, left_s, f"offset {offset} is in effect everywhere")


@asynccontextmanager
async def running() -> AsyncIterator[tuple[Deployment, Sampler, int]]:
    """A deployment with one publication in effect, whose offset is given, and its sampler."""
    async with Deployment(SPEC) as deployment:
        status, body = await publish(deployment, {FILE: workspace(1)})
        assert status == 200, body
        await deployment.wait_ready()
        sampler = Sampler(deployment)
        tasks = [asyncio.create_task(sampler.follow(host)) for host in deployment.host_names]

        async def known() -> bool:
            peers = [len(state["peers"]) for state in sampler.latest.values()]
            return peers == [len(deployment.host_names) - 1] * len(deployment.host_names)

        try:
            await eventually(known, 5, "every daemon knows its peers")
            yield deployment, sampler, body["offset"]
            assert not any(task.done() for task in tasks) and sampler.samples > 20
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        assert sampler.reverts == []


async def change(
    deployment: Deployment, share: int, base: int, host: str = "host-0", **fields: Any
) -> tuple[int, dict[str, Any]]:
    """Publishes a new content of the file."""
    return await publish(deployment, {FILE: workspace(share)}, {FILE: base}, host=host, **fields)


async def appends(deployment: Deployment) -> int:
    """How many appends the platform has been asked for."""
    counts = (await deployment.state(PLATFORM))["requests"]
    return int(counts.get("POST /topics/{topic}/records", 0))


class TestOperators:
    async def test_racing_operators_have_one_winner(self) -> None:
        """Guards against two operators who both believe that their change is in effect."""
        async with running() as (deployment, sampler, offset):
            for turn in range(6):
                shares = (10 + turn, 20 + turn)
                answers = await asyncio.gather(
                    change(deployment, shares[0], offset, "host-1"),
                    change(deployment, shares[1], offset, "host-2"),
                )
                assert sorted(status for status, _ in answers) == [200, 409]
                won = [status for status, _ in answers].index(200)
                assert answers[1 - won][1]["error"]["kind"] == "publication_conflict"
                offset = answers[won][1]["offset"]
                await sampler.everywhere(offset, time.monotonic())
                await assert_content(deployment, shares[won])
            assert sorted(await race_of_tools(deployment)) == [DONE, FAILED]
            await sampler.everywhere(offset + 1, time.monotonic())

    async def test_lost_and_repeated_publication_takes_effect_once(self) -> None:
        """Guards against an append without an answer that counts as refused, and against one that
        takes effect again when the operator repeats it at another host."""
        async with running() as (deployment, sampler, offset):
            await deployment.faults(PLATFORM, lose_answers=1)
            lost = str(uuid6.uuid7())
            status, body = await change(deployment, 2, offset, "host-0", id=lost)
            assert status == 200
            since = time.monotonic()
            status, again = await change(deployment, 2, offset, "host-1", id=lost)
            assert (status, again["offset"]) == (200, body["offset"])
            await sampler.everywhere(body["offset"], since)
            # The host that appends is killed before the record lands.
            await deployment.faults(PLATFORM, delay_append_ms=500)
            before, cut = await appends(deployment), str(uuid6.uuid7())
            first = asyncio.create_task(change(deployment, 3, body["offset"], "host-0", id=cut))

            async def appending() -> bool:
                return await appends(deployment) > before

            await eventually(appending, 3, "the append is on its way")
            deployment.kill("host-0")
            await deployment.mark_leaving("host-0")
            with pytest.raises(aiohttp.ClientError):
                await first
            status, second = await change(deployment, 3, body["offset"], "host-1", id=cut)
            assert status == 200
            await deployment.faults(PLATFORM, reset=True)

            async def twice() -> bool:
                ids = [r["value"].get("id") for r in await deployment.records("config")]
                return ids.count(cut) == 2

            await eventually(twice, 3, "both appends have landed")
            await deployment.restart("host-0")
            await sampler.everywhere(second["offset"], time.monotonic())
            # The record that landed last changed nothing.
            assert {sampler.offset(host) for host in deployment.host_names} == {second["offset"]}
            await assert_content(deployment, 3)


async def assert_content(deployment: Deployment, share: int) -> None:
    """Checks the file's content at every daemon."""
    for host in deployment.host_names:
        url = f"{deployment.operator_url(host)}/operator/config"
        async with deployment.session.get(url, headers=deployment.operator_headers) as response:
            files = (await response.json())["files"]
        assert files[FILE]["content"]["share"] == share


async def race_of_tools(deployment: Deployment) -> list[int]:
    """Two operators publish different directories from one base with the command-line tool.

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
        """Guards against a change that was accepted and then reaches no other host, because the
        log went down before they read it; and against a host without configuration when it is
        replaced in that outage, with no host list to find its peers."""
        async with running() as (deployment, sampler, offset):
            others = ["host-1", "host-2"]
            for host in others:
                deployment.stop(host)
            # Frozen for longer than a poll of the log waits, so that the answers they will find
            # are the empty ones and not the change.
            frozen = time.monotonic()

            async def polls_ended() -> bool:
                return time.monotonic() - frozen > 1.5

            await eventually(polls_ended, 3, "the polls have ended")
            task = asyncio.create_task(change(deployment, 2, offset))

            async def accepted() -> bool:
                return sampler.offset("host-0") > offset

            await eventually(accepted, 3, "the change is accepted")
            since, newest = time.monotonic(), sampler.offset("host-0")
            await deployment.faults(PLATFORM, down=True)
            for host in others:
                deployment.cont(host)
            await sampler.everywhere(newest, since)
            status, body = await task
            assert status == 200 and not body["missing"]
            # A replacement in the outage has no host list, only its seed peers.
            file = deployment.directory / "host-2.json"
            settings = json.loads(file.read_text())
            seeds = [deployment.children[name].address for name in ("host-1", "host-2")]
            file.write_text(json.dumps({**settings, "seed_peers": seeds}))
            deployment.kill("host-2")
            await deployment.restart("host-2")
            since = time.monotonic()
            await deployment.wait_ready("host-2", timeout_s=IN_EFFECT_S)
            await sampler.everywhere(newest, since)
            refused, answer = await change(deployment, 3, newest, "host-2")
            assert (refused, answer["error"]["kind"]) == (503, "log_unavailable")
            await deployment.faults(PLATFORM, reset=True, down=False)

            async def accepts() -> bool:
                return (await change(deployment, 3, newest, "host-2"))[0] == 200

            await eventually(accepts, 5, "publications are accepted again")

    async def test_retention_passes_a_frozen_reader(self) -> None:
        """Guards against a host that resumes behind the log's retention and stays behind or
        guesses, and against a state that is lost when all hosts are replaced."""
        async with running() as (deployment, sampler, offset):
            await deployment.faults(PLATFORM, retention_records=24)
            deployment.stop("host-2")
            # The publisher would wait for the frozen host, so the records are appended directly.
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

            async def live_reached() -> bool:
                return min(sampler.offset(host) for host in ("host-0", "host-1")) >= offset

            await eventually(live_reached, IN_EFFECT_S, "the live hosts follow")
            bounds = (await deployment.state(PLATFORM))["topics"]["config"]
            assert sampler.latest["host-2"]["config"]["position"] < bounds["start"]
            deployment.cont("host-2")
            await sampler.everywhere(offset, time.monotonic())

            async def covered() -> bool:
                through = [s["config"]["checkpoint_through"] for s in sampler.latest.values()]
                return min(through) >= offset

            # The longest delay of an urgent checkpoint is 5 s.
            await eventually(covered, 7, "a checkpoint covers the last publication")
            for host in deployment.host_names:
                deployment.kill(host)
            await asyncio.gather(*(deployment.restart(h) for h in deployment.host_names))
            since = time.monotonic()
            await deployment.wait_ready(timeout_s=IN_EFFECT_S)
            await sampler.everywhere(offset, since)
            await assert_content(deployment, 41)

    async def test_newer_schema_keeps_what_is_in_effect(self) -> None:
        """Guards against a host that skips, or applies in its own way, a record that it does not
        understand, and against one that forgets its configuration because of it."""
        async with running() as (deployment, sampler, offset):
            url = f"{deployment.platform_url}/topics/config/records"
            record = {"schema": 2, "type": "publish", "id": "new", "files": {FILE: None}}
            at = (await deployment.call("POST", url, {"records": [record]}))["first_offset"]
            known = {**record, "schema": 1, "operator": "operator", "base": {FILE: offset}}
            await deployment.call("POST", url, {"records": [known]})

            async def stopped() -> bool:
                states = list(sampler.latest.values())
                return all(state["config"]["stopped_at"] == at for state in states)

            await eventually(stopped, 3, "every host has stopped folding")
            status, body = await change(deployment, 2, offset, "host-1")
            assert (status, body["error"]["kind"]) == (503, "not_ready")
            await deployment.wait_ready(timeout_s=2)
            await assert_content(deployment, 1)
            assert {sampler.offset(host) for host in deployment.host_names} == {offset}
