"""What commands print."""

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
    """Prints the reason of a failure to standard error."""
    print(message, file=sys.stderr)


def problem_lines(problems: Iterable[Mapping[str, str]]) -> list[str]:
    """One line for each problem: file, path in it, reason."""
    return [f"{p['file'] or 'publication'}: {p['path']}: {p['reason']}" for p in problems]


def pretty(document: Any) -> list[str]:
    """The lines of a document; none if the file does not exist."""
    if document is None:
        return []
    return json.dumps(document, indent=2, sort_keys=True, ensure_ascii=False).splitlines()


def diff_lines(path: str, old: Any, new: Any, old_name: str, new_name: str) -> list[str]:
    """The unified diff between two versions of one file."""
    return list(
        difflib.unified_diff(
            pretty(old), pretty(new), f"{path} ({old_name})", f"{path} ({new_name})", lineterm=""
        )
    )


def one_argument(arguments: list[str], name: str) -> str:
    """The only positional argument; raises UserError if there is another number of them."""
    if len(arguments) != 1:
        raise UserError(f"exactly one {name} is needed, {len(arguments)} given")
    return arguments[0]
