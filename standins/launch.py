"""Runs a deployment on this machine: the platform, the targets and the daemons.

    async with Deployment(NASR.small()) as deployment:
        await deployment.faults("orders-0", drop_answers=1)
        deployment.kill("host-1")
        await deployment.restart("host-1")

Each is a child process on loopback ports. Leaving the context kills the processes that it started
and removes the temporary directory.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import random
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
import uuid
from collections.abc import Coroutine, Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import uuid6

from savoryfork.files import load_directory
from standins.deployments import DeploymentSpec, ServiceSpec
from standins.ports import Ports

ROOT = Path(__file__).resolve().parent.parent

PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.02
PLATFORM = "platform"


class StartError(Exception):
    """A process exited or was not up in time; the message has the end of its stderr."""


class ExitTimeout(Exception):
    """A process did not exit in time after a signal."""


class Child(NamedTuple):
    """A process to run. `port` serves `/healthz`; a daemon has two more ports."""

    name: str
    argv: tuple[str, ...]
    port: int
    service: str
    availability_zone: str
    address: str
    operator_port: int = 0

    @property
    def url(self) -> str:
        """The base URL of the HTTP port; for a daemon, of the caller port."""
        return f"http://127.0.0.1:{self.port}"

    @property
    def operator_url(self) -> str:
        """The base URL of a daemon's operator port."""
        return f"http://127.0.0.1:{self.operator_port}"


def die_with_parent() -> None:
    """Makes the kernel kill this child when the thread that started it ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


async def run_concurrently(calls: Iterable[Coroutine[Any, Any, None]]) -> None:
    """Awaits all calls; the first failure cancels the others and is raised without its group."""
    try:
        async with asyncio.TaskGroup() as group:
            for call in calls:
                group.create_task(call)
    except ExceptionGroup as failures:
        raise failures.exceptions[0] from None


class Deployment:
    """The running processes of one deployment, addressed by name.

    Targets are named `{service}-{index}`, daemons `host-{index}`, and the platform `platform`.
    Enter it in the main thread: children are killed when the thread that started them ends.

    `hosts` overrides the number of daemons, which may be 0. `flags` maps the name of a service, of
    a target or `platform` to additional flags, for example `{"orders": ["--service_ms=200"]}`.
    `host_settings` is merged into the settings file of each daemon.
    """

    def __init__(
        self,
        spec: DeploymentSpec,
        *,
        hosts: int | None = None,
        flags: Mapping[str, Sequence[str]] | None = None,
        host_settings: Mapping[str, Any] | None = None,
    ) -> None:
        self.spec = spec
        self.host_count = spec.hosts if hosts is None else hosts
        self.flags = dict(flags or {})
        self.host_settings = dict(host_settings or {})
        self.operator_key = secrets.token_hex(16)
        self.peer_key = secrets.token_hex(16)
        self.children: dict[str, Child] = {}
        self.settings: dict[Path, dict[str, Any]] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.incarnations: dict[str, str] = {}
        self.states: dict[str, str] = {}
        self.ports = Ports(random.SystemRandom())
        self.put_lock = asyncio.Lock()

    async def __aenter__(self) -> Deployment:
        self.directory = Path(tempfile.mkdtemp(prefix=f"{self.spec.name}-"))
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *exception: Any) -> None:
        await self.close()

    # Starting.

    async def start(self) -> None:
        """Starts the platform and the targets, registers them, then starts the daemons."""
        platform = self.plan_platform()
        self.launch(platform.name)
        targets = [
            self.plan_target(service, index)
            for service in self.spec.services
            for index in range(service.replicas)
        ]
        for child in targets:
            self.launch(child.name)
        await self.wait_all([platform, *targets])
        hosts = [self.plan_host(index) for index in range(self.host_count)]
        self.write_settings()
        # The host list first has only the targets; the daemons are added once they are up.
        await self.put_hosts()
        for child in hosts:
            self.launch(child.name)
        await self.wait_all(hosts)
        await self.put_hosts()

    def plan_platform(self) -> Child:
        """Defines the process of the platform."""
        port = self.free_port()
        argv = self.argv(PLATFORM, port, self.flags.get(PLATFORM, ()))
        return self.add(Child(PLATFORM, argv, port, PLATFORM, "", f"127.0.0.1:{port}"))

    def plan_target(self, service: ServiceSpec, index: int) -> Child:
        """Defines the process of one target."""
        name = f"{service.name}-{index}"
        port = self.free_port()
        flags = [f"--name={name}", f"--service={service.name}", f"--seed={len(self.children)}"]
        if service.kind == "engine":
            flags += [f"--model={service.model}", f"--platform_url={self.platform_url}"]
            flags += ["--checks_orders"] if service.checks_orders else []
        else:
            flags += [f"--kind={service.kind}", f"--service_ms={service.service_ms}"]
        if service.kind == "plain":
            flags += [f"--ledger_file={self.directory / service.name}.ledger"]
            flags += ["--dedupes"] if service.dedupes else []
        flags += [*self.flags.get(service.name, ()), *self.flags.get(name, ())]
        module = "engine" if service.kind == "engine" else "service"
        argv = self.argv(module, port, flags)
        zone = self.zone(index)
        return self.add(Child(name, argv, port, service.name, zone, f"127.0.0.1:{port}"))

    def plan_host(self, index: int) -> Child:
        """Defines the process and the settings of one daemon."""
        name = f"host-{index}"
        caller, operator, peer = self.free_port(), self.free_port(), self.free_port()
        settings = {
            "host": name,
            "availability_zone": self.zone(index),
            "caller_address": f"127.0.0.1:{caller}",
            "operator_address": f"127.0.0.1:{operator}",
            "peer_address": f"127.0.0.1:{peer}",
            "platform_url": self.platform_url,
            "peer_keys": [self.peer_key],
            "operator_keys": {"operator": self.operator_key},
            **self.host_settings,
        }
        file = self.directory / f"{name}.json"
        self.settings[file] = settings
        argv = (sys.executable, "-m", "savoryfork.daemon", f"--settings={file}")
        address = settings["peer_address"]
        zone = settings["availability_zone"]
        return self.add(Child(name, argv, caller, "savoryfork", zone, address, operator))

    def write_settings(self) -> None:
        """Writes the settings file of each daemon, with the peer addresses of all as seeds."""
        peers = [settings["peer_address"] for settings in self.settings.values()]
        for file, settings in self.settings.items():
            file.write_text(json.dumps({"seed_peers": peers, **settings}, indent=2))

    def argv(self, module: str, port: int, flags: Sequence[str]) -> tuple[str, ...]:
        """Returns the command line of a stand-in."""
        return (sys.executable, "-m", f"standins.{module}", f"--port={port}", *flags)

    def add(self, child: Child) -> Child:
        """Adds a process to the deployment."""
        self.children[child.name] = child
        return child

    def zone(self, index: int) -> str:
        """Returns the availability zone of a replica; replicas are spread evenly."""
        return self.spec.availability_zones[index % len(self.spec.availability_zones)]

    def free_port(self) -> int:
        """Reserves a loopback port that nothing listens on."""
        return self.ports.draw()

    def launch(self, name: str) -> None:
        """Starts a process; its stderr is appended to a file."""
        with open(self.directory / f"{name}.stderr", "ab") as stderr:
            self.processes[name] = subprocess.Popen(
                self.children[name].argv,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=stderr,
                preexec_fn=die_with_parent,
            )
        self.states[name] = "live"

    async def wait_all(self, children: Sequence[Child]) -> None:
        """Waits until all processes are up, and records their incarnations."""
        await run_concurrently(self.wait_up(child.name) for child in children)

    async def wait_up(self, name: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Waits until a process answers `/healthz`; raises StartError if it does not."""
        await self.wait_ok(name, "/healthz", timeout_s)
        if name != PLATFORM:
            self.incarnations[name] = await self.fetch_incarnation(name)

    async def wait_ready(self, *names: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Waits until the daemons, by default all running ones, answer `/readyz` with 200."""
        selected = names or tuple(n for n in self.host_names if self.processes[n].poll() is None)
        await run_concurrently(self.wait_ok(name, "/readyz", timeout_s) for name in selected)

    async def wait_ok(self, name: str, path: str, timeout_s: float) -> None:
        """Waits until a path is answered with 200; raises StartError if it is not."""
        last_failure = "no answer"
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    if (code := self.processes[name].poll()) is not None:
                        raise StartError(f"{name} exited with {code}:\n{self.stderr(name)[-2000:]}")
                    try:
                        async with self.session.get(self.children[name].url + path) as response:
                            if response.status == 200 and await self.is_own_answer(name, response):
                                return
                            last_failure = f"status {response.status}"
                    except (aiohttp.ClientError, TimeoutError) as error:
                        last_failure = type(error).__name__
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise StartError(
                f"{name} did not answer {path} in {timeout_s} s ({last_failure}):\n"
                f"{self.stderr(name)[-2000:]}"
            ) from None

    async def is_own_answer(self, name: str, response: aiohttp.ClientResponse) -> bool:
        """Returns false if the answer is from a foreign process that took the port first."""
        body = await response.json()
        return bool(body.get("pid", self.pid(name)) == self.pid(name))

    async def fetch_incarnation(self, name: str) -> str:
        """Returns the incarnation: of a target from `/state`, of a daemon from its status.

        A process that does not report one gets a new id for each start.
        """
        child = self.children[name]
        if name in self.host_names:
            url, headers = f"{child.operator_url}/operator/status", self.operator_headers
        else:
            url, headers = f"{child.url}/state", {}
        try:
            async with self.session.get(url, headers=headers) as response:
                return str((await response.json())["incarnation"])
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError):
            return str(uuid.uuid4())

    # Addresses.

    @property
    def platform_url(self) -> str:
        """The platform's base URL."""
        return self.children[PLATFORM].url

    @property
    def host_names(self) -> list[str]:
        """The names of the daemons."""
        return [n for n, child in self.children.items() if child.service == "savoryfork"]

    @property
    def operator_headers(self) -> dict[str, str]:
        """The header that authenticates an operator."""
        return {"Authorization": f"Bearer {self.operator_key}"}

    def targets(self, service: str) -> list[str]:
        """Returns the names of a service's targets."""
        return [name for name, child in self.children.items() if child.service == service]

    def url(self, name: str) -> str:
        """Returns the base URL of a process; for a daemon, of the caller port."""
        return self.children[name].url

    def operator_url(self, name: str) -> str:
        """Returns the base URL of a daemon's operator port."""
        return self.children[name].operator_url

    def pid(self, name: str) -> int:
        return self.processes[name].pid

    def stderr(self, name: str) -> str:
        """Returns the stderr of a process over all its incarnations."""
        file = self.directory / f"{name}.stderr"
        return file.read_text(errors="replace") if file.exists() else ""

    # Control.

    async def call(self, method: str, url: str, body: Any = None) -> Any:
        """Makes one control call; raises aiohttp.ClientError unless it succeeds."""
        async with self.session.request(method, url, json=body) as response:
            response.raise_for_status()
            return await response.json()

    async def faults(self, name: str, **fields: Any) -> Any:
        """Sets faults of the platform or of a target."""
        return await self.call("POST", f"{self.url(name)}/control/faults", fields)

    async def restore_log(self, lost: Mapping[str, int]) -> None:
        """Brings the log back without the newest records of topics; see `platform.Restore`."""
        await self.call("POST", f"{self.url(PLATFORM)}/control/restore", {"lost": dict(lost)})

    async def state(self, name: str) -> Any:
        """Returns the state of a target or of the platform."""
        path = "/control/state" if name == PLATFORM else "/state"
        return await self.call("GET", self.url(name) + path)

    async def records(self, topic: str) -> list[Any]:
        """Returns all retained records of a topic, also during an outage."""
        url = f"{self.platform_url}/control/topics/{topic}/records"
        return (await self.call("GET", url))["records"]

    async def ledger(self, service: str) -> list[Any]:
        """Returns every action that ran on the service's targets, including killed ones."""
        file = self.directory / f"{service}.ledger"
        lines = file.read_text().splitlines() if file.exists() else []
        return [json.loads(line) for line in lines]

    async def publish(self, directory: Path) -> None:
        """Publishes the files of a directory through the first daemon and waits until all are
        ready; raises aiohttp.ClientError if the files are refused."""
        files = load_directory(directory)
        body = {"id": str(uuid6.uuid7()), "base": dict.fromkeys(files, -1), "files": files}
        url = self.operator_url(self.host_names[0]) + "/operator/publications"
        async with self.session.post(url, json=body, headers=self.operator_headers) as response:
            response.raise_for_status()
        await self.wait_ready()

    async def put_hosts(self) -> None:
        """Registers the started processes. Each stays in the host list until `remove`.

        One list is sent after the other: of two on different connections, the older one can arrive
        last and would list a restarted process with its previous incarnation for good.
        """
        async with self.put_lock:
            hosts = [
                {
                    "name": child.name,
                    "service": child.service,
                    "address": child.address,
                    "availability_zone": child.availability_zone,
                    "incarnation": self.incarnations[child.name],
                    "state": self.states[child.name],
                }
                for child in self.children.values()
                if child.name in self.incarnations and child.name in self.states
            ]
            await self.call("PUT", f"{self.platform_url}/control/hosts", {"hosts": hosts})

    async def drain(self, name: str, *, list_leaving: bool = True) -> None:
        """Drains a target and, with `list_leaving`, marks it as leaving in the host list."""
        await self.call("POST", f"{self.url(name)}/control/drain", {})
        if list_leaving:
            await self.mark_leaving(name)

    async def mark_leaving(self, name: str) -> None:
        """Marks a process as leaving in the host list, without draining it."""
        self.states[name] = "leaving"
        await self.put_hosts()

    async def remove(self, name: str) -> None:
        """Removes a process from the host list; `restart` adds it again."""
        self.states.pop(name, None)
        await self.put_hosts()

    # Signals, sent only to processes that this object started.

    def send(self, name: str, number: signal.Signals) -> None:
        """Sends a signal, unless the process has exited."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process."""
        self.send(name, signal.SIGKILL)
        self.processes[name].wait(STOP_TIMEOUT_S)

    def stop(self, name: str) -> None:
        """Freezes a process (SIGSTOP)."""
        self.send(name, signal.SIGSTOP)

    def cont(self, name: str) -> None:
        """Resumes a frozen process (SIGCONT)."""
        self.send(name, signal.SIGCONT)

    async def terminate(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Terminates a process (SIGTERM) and returns its exit code.

        Raises ExitTimeout if it still runs after the timeout.
        """
        self.send(name, signal.SIGTERM)
        return await self.wait_exit(name, timeout_s)

    async def wait_exit(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for a process to exit and returns its exit code."""
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    if (code := self.processes[name].poll()) is not None:
                        return code
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise ExitTimeout(f"{name} still runs {timeout_s} s after a signal") from None

    async def restart(self, name: str, *, list_host: bool = True) -> None:
        """Starts a process again on the same ports, killing it first if it still runs.

        It is a new incarnation, registered at once unless `list_host` is false. The platform keeps
        its log in memory: use its fault `down`, or `stop` and `cont`, for an outage.
        """
        if self.processes[name].poll() is None:
            self.kill(name)
        self.launch(name)
        await self.wait_up(name)
        if list_host:
            await self.put_hosts()

    # Ending.

    async def shutdown(self) -> dict[str, int]:
        """Stops gracefully: the daemons, then the targets, then the platform.

        Returns the exit code of each process that was still running.
        """
        running = [n for n, process in self.processes.items() if process.poll() is None]
        hosts = [n for n in running if n in self.host_names]
        targets = [n for n in running if n not in hosts and n != PLATFORM]
        codes: dict[str, int] = {}
        for group in (hosts, targets, [n for n in running if n == PLATFORM]):
            exit_codes = await asyncio.gather(*(self.terminate(name) for name in group))
            codes.update(zip(group, exit_codes, strict=True))
        return codes

    async def close(self) -> None:
        """Kills the running processes and removes the temporary directory."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)
        await self.session.close()
        self.ports.release()
        shutil.rmtree(self.directory, ignore_errors=True)
