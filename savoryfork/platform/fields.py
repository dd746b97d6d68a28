"""Reads the settings file that the platform fills in.

The template passes the platform's tables on as they are, since a deployment may lack some of their
fields, and a template can't leave a field out.
"""

from __future__ import annotations

from typing import Any

from savoryfork import settings as files
from savoryfork.forward import settings
from savoryfork.forward.settings import ForwardSettings

# Settings by the table and the field that have their value, if the file does not name them itself.
OPTIONAL = {
    "memory_mb": ("limits", "memory_mb"),
    "max_descriptors": ("limits", "max_fds"),
    "cold_overage": ("bounds", "cold_overage"),
    "cold_slack": ("bounds", "cold_slack"),
    "configuration_bound_ms": ("bounds", "config_apply_ms"),
    "leaving_bound_ms": ("bounds", "drain_ms"),
}


def add_optional(document: Any) -> Any:
    """Returns a decoded settings file with the optional fields that its tables have.

    >>> add_optional({"limits": {"max_fds": 4100, "memory_mb": None}, "bounds": None})
    {'limits': {'max_fds': 4100, 'memory_mb': None}, 'bounds': None, 'max_descriptors': 4100}
    """
    if not isinstance(document, dict):
        return document
    found = dict(document)
    for field, (table, name) in OPTIONAL.items():
        values = document.get(table)
        value = values.get(name) if isinstance(values, dict) else None
        if value is not None:
            found.setdefault(field, value)
    return found


def load(path: str) -> ForwardSettings:
    """Reads a settings file; raises UserError if it is unreadable or invalid."""
    return settings.parse(add_optional(files.read_json(path)), path)
