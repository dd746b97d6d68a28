"""Output formatting shared by the commands."""

from __future__ import annotations

import difflib
import json
import sys
from collections.abc import Iterable, Mapping
from typing import Any

from savoryfork.errors import UserError


def print_json(body: Any) -> None:
    """Prints one JSON object to standard output."""
    print(json.dumps(body, indent=2, ensure_ascii=False))


def fail(message: str) -> None:
    """Prints an error message to standard error."""
    print(message, file=sys.stderr)


def problem_lines(problems: Iterable[Mapping[str, str]]) -> list[str]:
    """Formats each problem as a line of file, path in the file, and reason."""
    return [f"{p['file'] or 'publication'}: {p['path']}: {p['reason']}" for p in problems]


def pretty(document: Any) -> list[str]:
    """Returns the lines of a document as indented JSON; none if it is None."""
    if document is None:
        return []
    return json.dumps(document, indent=2, sort_keys=True, ensure_ascii=False).splitlines()


def diff_lines(path: str, old: Any, new: Any, old_name: str, new_name: str) -> list[str]:
    """Returns the unified diff between two versions of a file."""
    return list(
        difflib.unified_diff(
            pretty(old), pretty(new), f"{path} ({old_name})", f"{path} ({new_name})", lineterm=""
        )
    )


def one_argument(arguments: list[str], name: str) -> str:
    """Returns the only positional argument; raises UserError unless there is exactly one."""
    if len(arguments) != 1:
        raise UserError(f"exactly one {name} is needed, {len(arguments)} given")
    return arguments[0]
