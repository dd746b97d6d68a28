"""Checks files without publishing or starting anything.

PATH is a directory with service/NAME.json, pipeline/NAME.json and workspace/NAME.json, which must
be complete by itself; a settings file of a host (.json); or a deploy file (.toml) together with the
settings template that it names. Prints one line for each problem: file, path in the file, reason.
Files that refer to what another directory publishes are checked by `publish DIR --dry_run` against
the files in effect.

Example: savoryfork validate examples/fornaci deploy/system.toml
"""

from __future__ import annotations

from pathlib import Path

from absl import flags

from savoryfork import settings
from savoryfork.errors import UserError
from savoryfork.files import check_files, load_directory
from savoryfork.forward import settings as forward_settings
from savoryfork.platform import deploy
from savoryfork.settings import Problem
from savoryfork.ui import DONE, FAILED, output

USAGE = "PATH..."


def define(values: flags.FlagValues) -> None:
    """Defines no flags."""


def run(arguments: list[str], values: flags.FlagValues) -> int:
    """Checks the files and prints their problems."""
    if not arguments:
        raise UserError("at least one PATH is needed")
    count = 0
    problems: list[Problem] = []
    for argument in arguments:
        checked, found = check_path(Path(argument))
        count += checked
        problems += found
    rows = [problem._asdict() for problem in problems]
    if values.json:
        output.print_json({"files": count, "problems": rows})
    elif rows:
        print("\n".join(output.problem_lines(rows)))
        output.fail(f"{len(rows)} problem(s) in {count} files")
    else:
        print(f"{count} files, no problems")
    return FAILED if rows else DONE


def check_path(path: Path) -> tuple[int, list[Problem]]:
    """Returns the number of files at a path and their problems; raises UserError if unreadable."""
    if path.suffix == ".toml":
        return 1, deploy.check(path)
    if path.suffix == ".json":
        return 1, check_settings(path)
    files = load_directory(str(path))
    return len(files), check_files(files)


def check_settings(path: Path) -> list[Problem]:
    """Returns the problems of a settings file; only a forwarding host sets `store_address`."""
    document = settings.read_json(path)
    forwarding = isinstance(document, dict) and "store_address" in document
    schema = forward_settings.SCHEMA if forwarding else settings.SCHEMA
    return settings.problems(document, schema, str(path))
