"""Runs both deployments' pipelines over real processes and prints each answer.

`make demo` starts the stand-ins and three daemons for each deployment, publishes the example files
with the command-line tool, sends one request through every pipeline, repeats the non-idempotent
ones with the same key at a different host, and shuts everything down gracefully.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

import aiohttp
import uuid6

from savoryfork.files import load_directory
from standins.deployments import FORNACI, NASR, DeploymentSpec
from standins.launch import ROOT, Deployment

TEXT = "Summarise what changed since the last delivery and name the next free slot. " * 3
SHOWN_CHARS = 60


class CheckResults:
    """Counts passed checks and collects the messages of failed ones."""

    def __init__(self) -> None:
        self.passed = 0
        self.failures: list[str] = []

    def check(self, passed: bool, failure: str) -> None:
        """Records the outcome of one check."""
        if passed:
            self.passed += 1
        else:
            self.failures.append(failure)


async def publish(deployment: Deployment, directory: Path, results: CheckResults) -> None:
    """Publishes the example files with the command-line tool."""
    key_file = deployment.directory / "operator.key"
    key_file.write_text(deployment.operator_key)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "savoryfork.ui",
        "publish",
        str(directory),
        f"--operator_url={deployment.operator_url('host-0')}",
        f"--key_file={key_file}",
        "--json",
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    results.check(process.returncode == 0, f"publish: {output.decode()}")


async def run(
    session: aiohttp.ClientSession, url: str, caller_key: str, key: str
) -> tuple[int, dict[str, Any]]:
    """Sends one request; returns the HTTP status and the decoded body."""
    headers = {"Authorization": f"Bearer {caller_key}", "Idempotency-Key": key}
    body = {"input": {"text": TEXT, "fields": {"slot": "dawn"}}, "max_tokens": 24}
    async with session.post(url, json=body, headers=headers) as response:
        return response.status, await response.json()


async def run_pipelines(deployment: Deployment, directory: Path, results: CheckResults) -> None:
    """Sends a request through every pipeline of every workspace, rotating over the hosts."""
    name = deployment.spec.name
    files: dict[str, Any] = load_directory(directory)
    hosts = deployment.host_names
    index = 0
    for path, content in sorted(files.items()):
        if content["kind"] != "workspace":
            continue
        workspace = Path(path).stem
        caller_key = f"{name}-{workspace}-caller-key"
        for pipeline in content["pipelines"]:
            index += 1
            first, second = hosts[index % len(hosts)], hosts[(index + 1) % len(hosts)]
            route = f"/v1/workspaces/{workspace}/pipelines/{pipeline}/runs"
            key = str(uuid6.uuid7())
            started = time.monotonic()
            status, body = await run(
                deployment.session, deployment.url(first) + route, caller_key, key
            )
            took_ms = (time.monotonic() - started) * 1000
            results.check(status == 200, f"{workspace}/{pipeline}: {body}")
            print_answer(workspace, pipeline, first, took_ms, body)
            if status == 200 and "action" in body["answer"]:
                repeated = await run(
                    deployment.session, deployment.url(second) + route, caller_key, key
                )
                results.check(repeated[0] == 200, f"{workspace}/{pipeline} again: {repeated[1]}")


def print_answer(
    workspace: str, pipeline: str, host: str, took_ms: float, body: dict[str, Any]
) -> None:
    """Prints one answer as a line."""
    answer = body.get("answer", body)
    text = str(answer.get("text") or answer.get("action") or answer)[:SHOWN_CHARS]
    print(f"  {workspace:<18} {pipeline:<16} {host:<7} {took_ms:6.0f} ms  {text}")


async def demonstrate(spec: DeploymentSpec, results: CheckResults) -> None:
    """Starts one deployment, runs its pipelines and shuts it down gracefully."""
    directory = ROOT / "examples" / spec.name
    started = time.monotonic()
    async with Deployment(spec.small()) as deployment:
        await publish(deployment, directory, results)
        await deployment.wait_ready()
        processes = len(deployment.processes)
        print(f"{spec.name}: {processes} processes ready in {time.monotonic() - started:.1f} s")
        await run_pipelines(deployment, directory, results)
        for service in deployment.spec.services:
            if service.kind == "plain" and not service.idempotent:
                keys = [entry["key"] for entry in await deployment.ledger(service.name)]
                results.check(len(keys) == len(set(keys)), f"{service.name} ran a key twice")
                print(f"  {service.name}: {len(keys)} actions, each key once")
        codes = await deployment.shutdown()
        failed_codes = {name: code for name, code in codes.items() if code != 0}
        results.check(not failed_codes, f"exit codes {failed_codes}")


async def main() -> int:
    """Runs both deployments and prints the summary; returns the exit code."""
    results = CheckResults()
    started = time.monotonic()
    for spec in (FORNACI, NASR):
        await demonstrate(spec, results)
    for failure in results.failures:
        print(f"FAILED {failure}")
    print(
        f"{results.passed} passed, {len(results.failures)} failed"
        f" in {time.monotonic() - started:.1f} s"
    )
    return 1 if results.failures else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
