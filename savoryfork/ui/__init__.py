"""The command-line tool: dispatches to a command, parses its flags and reports failures.

Every module of `savoryfork.ui.commands` is one command, named after the module. It defines

* `__doc__`: the help text, whose first line is the summary;
* `USAGE`: the arguments, such as `DIR`;
* `define(flag_values)`: defines the command's own flags;
* `run(arguments, flag_values)`: runs the command and returns the exit code.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage or a mistake in the input.
"""

from __future__ import annotations

import importlib
import inspect
import pkgutil
import sys
from collections.abc import Sequence
from types import ModuleType

from absl import flags

from savoryfork import __version__
from savoryfork.errors import UserError
from savoryfork.ui import commands

DONE, FAILED, USAGE_ERROR = 0, 1, 2

EXIT_CODES = "Exit codes: 0 done, 1 refused or failed, 2 wrong usage or a mistake in the input."


def command_names() -> list[str]:
    """Returns the names of all commands."""
    return sorted(module.name for module in pkgutil.iter_modules(commands.__path__))


def load_command(name: str) -> ModuleType:
    """Imports the module of a command."""
    return importlib.import_module(f"{commands.__name__}.{name}")


def overview() -> str:
    """Returns the help text of the tool."""
    lines = ["usage: savoryfork COMMAND [ARGUMENTS] [--flags]", "", "Commands:"]
    for name in command_names():
        summary = (load_command(name).__doc__ or "").strip().partition("\n")[0]
        lines.append(f"  {name:<10} {summary}")
    lines += ["", "`savoryfork COMMAND --help` explains one command.", "", EXIT_CODES]
    return "\n".join(lines)


def command_help(name: str, module: ModuleType, values: flags.FlagValues) -> str:
    """Returns the help text of a command."""
    lines = [f"usage: savoryfork {name} {module.USAGE} [--flags]", ""]
    lines += [inspect.cleandoc(module.__doc__ or ""), "", "Flags:"]
    for flag in sorted(values[key] for key in values):
        option = f"--[no]{flag.name}" if flag.boolean else f"--{flag.name}"
        default = "" if flag.default in (None, False, []) else f" (default: {flag.default})"
        lines.append(f"  {option}\n      {flag.help}{default}")
    return "\n".join([*lines, "", EXIT_CODES])


def define_common(values: flags.FlagValues) -> None:
    """Defines the flags that all commands share."""
    flags.DEFINE_boolean("json", False, "print the result as one JSON object", flag_values=values)


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    if not arguments or arguments[0] in ("--help", "-h", "help"):
        print(overview())
        return DONE if arguments else USAGE_ERROR
    if arguments[0] == "--version":
        print(__version__)
        return DONE
    name, *rest = arguments
    if name not in command_names():
        print(f"savoryfork: there is no command {name!r}\n\n{overview()}", file=sys.stderr)
        return USAGE_ERROR
    module = load_command(name)
    values = flags.FlagValues()
    define_common(values)
    module.define(values)
    if "--help" in rest or "-h" in rest:
        print(command_help(name, module, values))
        return DONE
    values.set_gnu_getopt(True)
    try:
        positional = values([f"savoryfork {name}", *rest])[1:]
        return int(module.run(positional, values))
    except (UserError, flags.Error) as error:
        print(f"savoryfork {name}: {error}", file=sys.stderr)
        print(f"`savoryfork {name} --help` explains the command.", file=sys.stderr)
        return USAGE_ERROR
    except KeyboardInterrupt:
        print(f"savoryfork {name}: interrupted", file=sys.stderr)
        return FAILED
    except BrokenPipeError:
        # The reader of standard output, such as `head`, has closed the pipe.
        sys.stderr.close()
        return DONE
