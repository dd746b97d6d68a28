"""Validates the deploy file and the settings templates that it references."""

from __future__ import annotations

import importlib.util
import json
import re
import tomllib
from collections import defaultdict
from pathlib import Path
from typing import Any

from savoryfork import settings
from savoryfork.errors import UserError
from savoryfork.forward.settings import SCHEMA as SETTINGS_SCHEMA
from savoryfork.settings import Problem

# Exclusive limit of a template's size.
MAX_TEMPLATE_BYTES = 64 * 1024

# Maximum roles per machine.
MAX_ROLES_PER_MACHINE = 2

# A platform value, a section tag, or the separator between a section's entries.
PLACEHOLDER = re.compile(r"\{\{([#^/]?[\w.@]+(\|json)?|,)\}\}")

TEXT = {"type": "string", "minLength": 1}
ROLE: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["run", "on"],
    "properties": {
        "run": TEXT,
        "on": TEXT,
        "share": {"type": "number", "exclusiveMinimum": 0, "maximum": 1},
        "count": {"type": "integer", "minimum": 1},
        "apart": {"type": "boolean"},
        "serves": {"type": "array", "items": {"enum": ["front", "control"]}, "uniqueItems": True},
        "template": TEXT,
        "metrics": {"type": "string", "pattern": "^[^/]+/.+$"},
        "env": {
            "type": "object",
            "propertyNames": {"pattern": "^[A-Z][A-Z0-9_]*$"},
            "additionalProperties": {"type": "string"},
        },
    },
}
SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["build", "roles"],
    "properties": {
        "build": TEXT,
        "roles": {"type": "object", "minProperties": 1, "additionalProperties": ROLE},
    },
}


def check(path: Path) -> list[Problem]:
    """Returns the problems of a deploy file; raises UserError if it can't be read or parsed.

    Paths in it are relative to the parent of its folder.
    """
    try:
        document = tomllib.loads(path.read_text())
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise UserError(f"{path}: not TOML: {error}") from error
    problems = settings.problems(document, SCHEMA, str(path))
    if problems:
        return problems
    root = path.resolve().parent.parent
    for name, role in document["roles"].items():
        problems += check_role(str(path), f"roles/{name}", role, root)
    return problems + check_machine_classes(str(path), document["roles"])


def check_role(file: str, where: str, role: dict[str, Any], root: Path) -> list[Problem]:
    """Returns the problems of one role."""
    problems = []
    if ("share" in role) == ("count" in role):
        problems.append(Problem(file, where, "needs either share or count"))
    arguments = role["run"].split()
    if arguments[1:2] == ["-m"] and not has_module(arguments[2:3]):
        problems.append(Problem(file, f"{where}/run", "names a module that does not exist"))
    for field in ("run", "metrics"):
        problems += check_placeholders(file, f"{where}/{field}", role.get(field, ""))
    if "template" in role:
        problems += check_template(root / role["template"])
    return problems


def has_module(names: list[str]) -> bool:
    """Returns whether Python finds the module that follows `-m`."""
    try:
        return bool(names) and importlib.util.find_spec(names[0]) is not None
    except ModuleNotFoundError:
        return False


def check_machine_classes(file: str, roles: dict[str, Any]) -> list[Problem]:
    """Returns the problems of roles that share a machine class."""
    problems = []
    by_class: defaultdict[str, list[str]] = defaultdict(list)
    serving: dict[tuple[str, str], str] = {}
    for name, role in roles.items():
        by_class[role["on"]].append(name)
        for served in role.get("serves", ()):
            other = serving.setdefault((role["on"], served), name)
            if other != name:
                reason = f"{served} is already served by {other} on {role['on']}"
                problems.append(Problem(file, f"roles/{name}/serves", reason))
    for machine_class, names in by_class.items():
        if len(names) > MAX_ROLES_PER_MACHINE:
            reason = (
                f"{len(names)} roles on {machine_class}, at most {MAX_ROLES_PER_MACHINE} may be"
            )
            problems.append(Problem(file, "roles", reason))
    return problems


def check_placeholders(file: str, where: str, text: str) -> list[Problem]:
    """Returns the problems of the placeholders in a text."""
    remainder = PLACEHOLDER.sub("", text)
    if "{{" in remainder or "}}" in remainder:
        return [Problem(file, where, "has a placeholder that is not {{name}} or {{name|json}}")]
    return []


def check_template(path: Path) -> list[Problem]:
    """Returns the problems of a settings template: unreadable, too large or incomplete."""
    file = str(path)
    try:
        text = path.read_text()
    except OSError as error:
        return [Problem(file, ".", str(error.strerror))]
    if len(text.encode()) >= MAX_TEMPLATE_BYTES:
        return [Problem(file, ".", f"is not smaller than {MAX_TEMPLATE_BYTES} bytes")]
    if problems := check_placeholders(file, ".", text):
        return problems
    try:
        document = json.loads(PLACEHOLDER.sub("null", text))
    except json.JSONDecodeError as error:
        return [Problem(file, f"line {error.lineno}", f"gives no JSON: {error.msg}")]
    missing = [name for name in SETTINGS_SCHEMA["required"] if name not in document]
    return [Problem(file, name, "is required") for name in missing]
