"""Shows how the files of a directory differ from those in effect.

Only the files in DIR are compared; others in effect are counted, since each directory may hold
just the files of one team. The exit code is 0 whether there are differences or not; see `--json`.

Example: savoryfork diff examples/fornaci --operator_url http://127.0.0.1:8101 --key_file rosa.key
"""

from __future__ import annotations

from absl import flags

from savoryfork.files import load_directory
from savoryfork.ui import DONE, FAILED, client, output

USAGE = "DIR"


def define(values: flags.FlagValues) -> None:
    """Defines the flags of the operator port."""
    client.define(values)


def run(arguments: list[str], values: flags.FlagValues) -> int:
    """Compares the files and prints the differences."""
    files = load_directory(output.one_argument(arguments, "DIR"))
    try:
        config = client.from_flags(values).get("/operator/config")
    except (client.Unreachable, client.Refused) as error:
        output.fail(f"savoryfork diff: {error}")
        return FAILED
    in_effect = {path: entry["content"] for path, entry in config["files"].items()}
    added = sorted(path for path in files if path not in in_effect)
    changed = sorted(p for p in files if p in in_effect and files[p] != in_effect[p])
    others = sorted(path for path in in_effect if path not in files)
    if values.json:
        output.print_json(
            {"offset": config["offset"], "added": added, "changed": changed, "others": others}
        )
        return DONE
    for path in sorted([*added, *changed]):
        lines = output.diff_lines(path, in_effect.get(path), files[path], "in effect", "directory")
        print("\n".join(lines))
    print(
        f"{len(added)} new, {len(changed)} changed, {len(files) - len(added) - len(changed)} equal;"
        f" {len(others)} other files in effect at offset {config['offset']}"
    )
    return DONE
