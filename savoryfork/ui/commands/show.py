"""Shows the files in effect, with the log offset that set each.

Without PATH all files are listed; with PATH (such as service/fornaio.json) their content is
printed. The output of `show --json` can be given to `publish --base_file` later, to make sure that
nothing has changed since.

Example: savoryfork show --operator_url http://127.0.0.1:8101 --key_file rosa.key
"""

from __future__ import annotations

from absl import flags

from savoryfork.errors import UserError
from savoryfork.ui import DONE, FAILED, client, output

USAGE = "[PATH...]"


def define(values: flags.FlagValues) -> None:
    """Defines the flags of the operator port."""
    client.define(values)


def run(arguments: list[str], values: flags.FlagValues) -> int:
    """Reads the configuration in effect and prints it."""
    try:
        config = client.from_flags(values).get("/operator/config")
    except (client.Unreachable, client.Refused) as error:
        output.fail(f"savoryfork show: {error}")
        return FAILED
    files = config["files"]
    unknown = [path for path in arguments if path not in files]
    if unknown:
        raise UserError(f"not in effect: {', '.join(unknown)}")
    if values.json:
        selected = {path: files[path] for path in arguments} if arguments else files
        output.print_json({**config, "files": selected})
    elif arguments:
        for path in arguments:
            print("\n".join([f"# {path} (offset {files[path]['offset']})"]))
            print("\n".join(output.pretty(files[path]["content"])))
    else:
        print(f"offset {config['offset']}, {len(files)} files")
        for path, entry in files.items():
            print(f"{entry['offset']:>10}  {path}")
    return DONE
