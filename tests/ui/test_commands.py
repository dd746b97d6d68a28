"""Tests for the command-line tool, against the operator port of a host in memory."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from savoryfork.ui import command_names, main
from savoryfork.ui.commands import publish as publish_command
from tests.test_files import ASK, ENC, W, files
from tests.test_operator import Deployment, deployment


def write(directory: Path, content: dict[str, Any]) -> str:
    """Writes configuration files and returns the directory."""
    for path, document in content.items():
        file = directory / path
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(json.dumps(document))
    return str(directory)


class Shell:
    """Runs commands against a deployment and returns their exit codes and output."""

    def __init__(self, made: Deployment, tmp_path: Path, capsys: Any) -> None:
        key = tmp_path / "rosa.key"
        key.write_text("rosa-operator-key\n")
        url = f"http://127.0.0.1:{made.server.port}"
        self.flags = [f"--operator_url={url}", f"--key_file={key}"]
        self.capsys = capsys

    async def run(self, *arguments: str) -> tuple[int, str, str]:
        code = await asyncio.to_thread(main, [*arguments, *self.flags])
        printed = self.capsys.readouterr()
        return code, printed.out, printed.err


class TestMain:
    @pytest.mark.parametrize("name", command_names())
    def test_every_command_prints_help(self, name: str, capsys: Any) -> None:
        """Guards against a command without usable help."""
        assert main([name, "--help"]) == 0
        printed = capsys.readouterr().out
        assert f"usage: savoryfork {name}" in printed
        assert "Exit codes" in printed

    @pytest.mark.parametrize(
        "arguments",
        [[], ["nope"], ["validate"], ["validate", "/nope"], ["show", "--wrong"], ["show"]],
    )
    def test_wrong_usage_exits_with_two(self, arguments: list[str], capsys: Any) -> None:
        """Guards against reporting wrong usage with exit code 1 or a traceback."""
        assert main(arguments) == 2
        assert "Traceback" not in capsys.readouterr().err


class TestValidate:
    def test_reports_problems(self, tmp_path: Path, capsys: Any) -> None:
        """Guards against a CI step that continues with invalid files."""
        directory = write(tmp_path, files() | {ENC: {"kind": "service", "type": "encoder", "x": 1}})
        assert main(["validate", directory]) == 1
        assert (
            capsys.readouterr().out
            == f"{ENC}: .: unknown field 'x'; remove it or correct its name\n"
        )
        assert main(["validate", "examples/nasr"]) == 0

    def test_settings_and_deploy_files_are_checked(self, tmp_path, capsys):
        """Guards against an invalid settings file that is found only when its host starts."""
        path = tmp_path / "host.json"
        path.write_text('{"host": "", "store_address": "nowhere"}')
        assert main(["validate", "deploy/system.toml", str(path)]) == 1
        lines = capsys.readouterr().out.splitlines()
        assert f"{path}: host: '' should be non-empty" in lines
        assert any(line.startswith(f"{path}: store_address: ") for line in lines)
        assert any(line.startswith(f"{path}: .: 'availability_zone'") for line in lines)


class TestPublish:
    async def test_publish_show_diff_and_remove(self, tmp_path: Path, capsys: Any) -> None:
        """Guards against a failure in any step of an operator's usual sequence of commands."""
        directory = write(tmp_path / "d", files())
        async with deployment() as made:
            shell = Shell(made, tmp_path, capsys)
            code, out, _ = await shell.run("publish", directory, "--dry_run")
            assert (code, made.log.records) == (0, [])
            code, out, _ = await shell.run("publish", directory, "--json")
            assert (code, json.loads(out)["missing"]) == (0, [])
            code, out, _ = await shell.run("publish", directory)
            assert (code, out) == (0, "nothing to publish: all is in effect\n")
            write(tmp_path / "d", {W: {**files()[W], "share": 2}})
            code, out, _ = await shell.run("diff", directory)
            assert code == 0 and '+  "share": 2' in out and "1 changed, 5 equal" in out
            (tmp_path / "d" / W).unlink()
            code, out, _ = await shell.run("publish", directory, "--remove", W)
            assert code == 0 and "accepted at offset 1" in out
            code, out, _ = await shell.run("show", "--json")
            assert json.loads(out)["removed"] == {W: 1}
            code, out, _ = await shell.run("show", ENC)
            assert code == 0 and '"type": "encoder"' in out
            code, out, _ = await shell.run("status")
            assert code == 0 and "offset 1" in out

    async def test_conflict_shows_what_changed(self, tmp_path: Path, capsys: Any) -> None:
        """Guards against an old directory silently replacing a newer file of another operator."""
        directory = write(tmp_path / "d", files())
        async with deployment(("h1",)) as made:
            shell = Shell(made, tmp_path, capsys)
            await shell.run("publish", directory)
            _, out, _ = await shell.run("show", "--json")
            (tmp_path / "base").write_text(out)
            newer = write(tmp_path / "n", {ENC: {**files()[ENC], "max_inflight": 7}})
            await shell.run("publish", newer)
            write(tmp_path / "d", {ENC: {**files()[ENC], "max_inflight": 8}})
            with_base = ("publish", directory, f"--base_file={tmp_path / 'base'}")
            code, out, err = await shell.run(*with_base)
            assert code == 1 and '+  "max_inflight": 7' in out and "conflict" in err
            code, out, err = await shell.run(*with_base, "--dry_run", "--json")
            assert (code, json.loads(out)["verdict"]) == (1, "conflict")
            assert made.host.board.configuration.services["enc"].max_inflight == 7

    async def test_publication_is_retried_after_a_lost_response(
        self, tmp_path: Path, capsys: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a second append or a false failure after the host's response is lost."""
        monkeypatch.setattr(publish_command, "RETRY_DELAY_S", 0.01)
        directory = write(tmp_path / "d", files())
        async with deployment(("h1",)) as made:
            shell = Shell(made, tmp_path, capsys)
            call, calls = publish_command.client.OperatorClient.call, []

            def lossy(self: Any, method: str, path: str, *rest: Any) -> Any:
                answer = call(self, method, path, *rest)
                calls.append(path)
                if method == "POST" and calls.count(path) == 1:
                    raise publish_command.client.Unreachable("lost")
                return answer

            monkeypatch.setattr(publish_command.client.OperatorClient, "call", lossy)
            code, out, _ = await shell.run("publish", directory)
            assert code == 0 and "accepted at offset 0" in out
            assert len(made.log.records) == 1

    async def test_many_files_are_published_in_valid_steps(
        self, tmp_path: Path, capsys: Any
    ) -> None:
        """Guards against a step that needs files of a later step, or removes files still in use."""
        many = {f"workspace/w{n}.json": files()[W] for n in range(450)}
        write(tmp_path / "d", files() | many)
        directory = write(tmp_path / "rest", {ENC: files()[ENC]})
        async with deployment(("h1",)) as made:
            shell = Shell(made, tmp_path, capsys)
            assert (await shell.run("publish", str(tmp_path / "d")))[0] == 0
            assert len(made.host.board.configuration.workspaces) == 451
            assert len(made.log.records) == 5
            remove = [f"--remove={path}" for path in [ASK, W, *many]]
            assert (await shell.run("publish", directory, *remove))[0] == 0
            assert made.host.board.configuration.pipelines == {}

    async def test_refusal_is_not_reported_as_unknown(self, tmp_path: Path, capsys: Any) -> None:
        """Guards against telling operators to repeat a command that can't succeed."""
        directory = write(tmp_path / "d", files())
        async with deployment(("h1",)) as made:
            shell = Shell(made, tmp_path, capsys)
            (tmp_path / "rosa.key").write_text("another-key-of-16")
            code, _, err = await shell.run("publish", directory)
            assert code == 1 and "unauthorized" in err and "not known" not in err
