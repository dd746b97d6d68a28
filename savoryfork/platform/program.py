"""Command line of a forwarding host on the users' platform."""

from __future__ import annotations

import os
import sys

from absl import flags

from savoryfork.errors import UserError
from savoryfork.forward import host, settings
from savoryfork.platform import fields
from savoryfork.platform.store import PlatformStore
from savoryfork.platform.wire import PlatformWire

# Environment variable with the path of the settings file, set by the platform.
SETTINGS_VARIABLE = "SAVORYFORK_SETTINGS"

# Separate from absl's global flags, since the daemon defines flags of the same names.
FLAGS = flags.FlagValues()
flags.DEFINE_string(
    "settings",
    None,
    f"JSON file with the settings of this host (default: ${SETTINGS_VARIABLE})",
    flag_values=FLAGS,
)
flags.DEFINE_bool("check", False, "only check the settings file", flag_values=FLAGS)


def main(argv: list[str]) -> int:
    """Reads the settings and runs the host; returns the exit code, 2 for a usage error."""
    try:
        arguments = FLAGS(argv)
    except flags.Error as error:
        print(error, file=sys.stderr)
        return 2
    path = FLAGS.settings or os.environ.get(SETTINGS_VARIABLE)
    if path is None or len(arguments) > 1:
        print(
            f"usage: python3 -m savoryfork.platform --settings=FILE (or {SETTINGS_VARIABLE})",
            file=sys.stderr,
        )
        return 2
    try:
        config = fields.load(path)
    except UserError as error:
        print(error, file=sys.stderr)
        return 2
    if not FLAGS.check:
        host.run_host(
            config,
            PlatformWire(),
            PlatformStore,
            lambda: fields.load(path),
            lambda: settings.version(path),
        )
    return 0
