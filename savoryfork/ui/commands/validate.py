"""Checks the files of a directory without publishing them.

DIR holds service/NAME.json, pipeline/NAME.json and workspace/NAME.json and must be complete by
itself. Prints one line for each fault: file, path in the file, reason. Files that refer to what
another directory publishes are checked by `publish DIR --dry_run` against the files in effect.

Example: savoryfork validate examples/fornaci
"""

from __future__ import annotations

from absl import flags

from savoryfork.files import check_files, load_directory
from savoryfork.ui import DONE, FAILED, output

USAGE = "DIR"


def define(values: flags.FlagValues) -> None:
    """This command has no flags of its own."""


def run(arguments: list[str], values: flags.FlagValues) -> int:
    """Checks and prints."""
    files = load_directory(output.one_argument(arguments, "DIR"))
    problems = [problem._asdict() for problem in check_files(files)]
    if values.json:
        output.print_json({"files": len(files), "problems": problems})
    elif problems:
        print("\n".join(output.problem_lines(problems)))
        output.fail(f"{len(problems)} problem(s) in {len(files)} files")
    else:
        print(f"{len(files)} files, no problems")
    return FAILED if problems else DONE
