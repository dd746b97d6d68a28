"""Tests for the deployment launcher; the failure tests cover the daemons."""

from __future__ import annotations

import asyncio
import json
import shutil
import subprocess
import sys
from typing import Any

import psutil
import pytest

from standins.deployments import DeploymentSpec, ServiceSpec
from standins.launch import ROOT, Deployment, StartError
from tests.standins import until

# Starts a deployment, prints its process ids and its directory, and is killed without cleanup.
KILLED_PARENT = """
import asyncio, json, os, signal
from standins.launch import Deployment
from tests.standins.test_launch import SPEC

async def main():
    async with Deployment(SPEC) as deployment:
        pids = [process.pid for process in deployment.processes.values()]
        deployment.stop("models-0")
        print(json.dumps([pids, str(deployment.directory)]), flush=True)
        os.kill(os.getpid(), signal.SIGKILL)

asyncio.run(main())
"""

SPEC = DeploymentSpec(
    "trial",
    ("zone-a", "zone-b"),
    0,
    (
        ServiceSpec("models", "engine", 1, model="m", checks_orders=True),
        ServiceSpec("bookings", "plain", 2, idempotent=False),
    ),
)


class TestDeployment:
    async def test_kill_restart_stop_and_shutdown(self) -> None:
        """Guards against a restart with the old incarnation, a lost ledger, and a target that
        does not exit cleanly."""
        async with Deployment(SPEC) as deployment:
            assert deployment.targets("bookings") == ["bookings-0", "bookings-1"]
            url = deployment.url("bookings-0") + "/v1/actions/book"
            headers = {"X-Attempt-Id": "a", "Idempotency-Key": "k"}
            async with deployment.session.post(url, json={"fields": {}}, headers=headers) as answer:
                assert answer.status == 200
            before = deployment.incarnations["bookings-0"]
            deployment.kill("bookings-0")
            await deployment.restart("bookings-0")
            listed = await deployment.call("GET", deployment.platform_url + "/hosts")
            incarnations = {host["name"]: host["incarnation"] for host in listed["hosts"]}
            assert incarnations["bookings-0"] == deployment.incarnations["bookings-0"] != before
            assert [entry["key"] for entry in await deployment.ledger("bookings")] == ["k"]
            deployment.stop("models-0")
            deployment.cont("models-0")
            assert set((await deployment.shutdown()).values()) == {0}

    async def test_the_newest_host_list_arrives_last(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a restarted process that stays listed with its previous incarnation,
        because a list that was sent before it was up arrives after the one with its new one."""
        deployment = Deployment(SPEC)
        deployment.plan_platform()
        deployment.states["platform"], deployment.incarnations["platform"] = "live", "1"
        delays_s, received = [0.05, 0.0], []

        async def call(method: str, url: str, body: Any = None) -> None:
            await asyncio.sleep(delays_s.pop(0))
            received.append(body["hosts"][0]["incarnation"])

        monkeypatch.setattr(deployment, "call", call)
        first = asyncio.create_task(deployment.put_hosts())
        await asyncio.sleep(0)
        deployment.incarnations["platform"] = "2"
        await deployment.put_hosts()
        await first
        assert received == ["1", "2"]

    async def test_nothing_is_left_after_a_failure(self) -> None:
        """Guards against processes and files that outlive a failed start."""
        deployment = Deployment(SPEC, flags={"bookings-1": ["--kind=unknown"]})
        with pytest.raises(StartError, match="kind must be one of"):
            async with deployment:
                pass
        assert not deployment.directory.exists()
        pids = [process.pid for process in deployment.processes.values()]
        assert pids and not any(psutil.pid_exists(pid) for pid in pids)

    async def test_children_die_with_a_killed_parent(self) -> None:
        """Guards against processes, frozen ones included, that outlive a killed test run."""
        parent = await asyncio.create_subprocess_exec(
            sys.executable, "-c", KILLED_PARENT, cwd=ROOT, stdout=subprocess.PIPE
        )
        output, _ = await asyncio.wait_for(parent.communicate(), 30)
        pids, directory = json.loads(output)
        shutil.rmtree(directory)

        def ended(pid: int) -> bool:
            try:
                return psutil.Process(pid).status() == psutil.STATUS_ZOMBIE
            except psutil.NoSuchProcess:
                return True

        assert len(pids) == 4
        await until(lambda: all(ended(pid) for pid in pids))
