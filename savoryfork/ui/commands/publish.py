"""Publishes the files of a directory.

Files in DIR that differ from those in effect are published together: all or none (up to 100).
Files that are in effect but not in DIR stay; `--remove PATH` removes one. The publication takes
effect only if none of its files was changed by somebody else since you saw them. What you saw is
read at the start, or taken from `--base_file`, which holds the output of an earlier `show --json`.
A pipeline step should pin its base that way, since otherwise an old DIR replaces newer files.

Success means that every live host reports the new version; hosts that did not within 8 s are
named, and will follow. A request without an answer is repeated with the same publication id. On a
conflict the changes that were made since are shown, and nothing has taken effect. More than 100
files are published in several steps, each complete by itself; after a failure repeat the command,
and it goes on with the rest.

Example: savoryfork publish examples/fornaci --operator_url http://127.0.0.1:8101 \\
             --key_file rosa.key
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any, NamedTuple

import uuid6
from absl import flags

from savoryfork.errors import ErrorKind, Ran, UserError
from savoryfork.files import check_files, load_directory, load_file
from savoryfork.publication import ABSENT, MAX_FILES
from savoryfork.ui import DONE, FAILED, client, output

USAGE = "DIR"

# Longer than the 8 s for which the host waits for all other hosts.
CALL_TIMEOUT_S = 15.0
MAX_ATTEMPTS = 4
RETRY_DELAY_S = 1.0

# A host that responds with one of these errors has appended nothing for this request.
NOT_APPENDED = (ErrorKind.LOG_UNAVAILABLE, ErrorKind.NOT_READY)


class Version(NamedTuple):
    """A version of the configuration files: contents and offsets by path."""

    contents: dict[str, Any]
    offsets: dict[str, int]


def define(values: flags.FlagValues) -> None:
    """Defines the flags of the operator port and of the publication."""
    client.define(values)
    flags.DEFINE_boolean(
        "dry_run", False, "check and show the changes without publishing", flag_values=values
    )
    flags.DEFINE_string(
        "base_file",
        None,
        "output of `show --json` from when you last saw the files in effect",
        flag_values=values,
    )
    flags.DEFINE_multi_string(
        "remove", [], "path in effect to remove, such as service/old.json", flag_values=values
    )
    flags.DEFINE_string(
        "publication_id",
        None,
        "id of an earlier try whose outcome is unknown (default: a new one)",
        flag_values=values,
    )


def run(arguments: list[str], values: flags.FlagValues) -> int:
    """Checks the files, publishes the changes and prints the outcome."""
    directory = load_directory(output.one_argument(arguments, "DIR"))
    both = sorted(set(values.remove) & set(directory))
    if both:
        raise UserError(f"in DIR and in --remove: {', '.join(both)}")
    operator = client.from_flags(values)
    try:
        current = parse_version(operator.get("/operator/config"))
        base = read_base(values.base_file) if values.base_file else current
        return publish(operator, directory, current, base, values)
    except (client.Unreachable, client.Refused) as error:
        output.fail(f"savoryfork publish: {error}")
        return FAILED


def parse_version(config: Any) -> Version:
    """Parses the output of `show --json`; raises UserError if it is malformed."""
    try:
        offsets = {path: int(offset) for path, offset in config["removed"].items()}
        offsets.update({path: int(entry["offset"]) for path, entry in config["files"].items()})
        return Version({p: entry["content"] for p, entry in config["files"].items()}, offsets)
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise UserError("the base must be the output of `savoryfork show --json`") from error


def read_base(path: str) -> Version:
    """Reads the version in a base file."""
    return parse_version(load_file(Path(path)))


def publish(
    operator: client.OperatorClient,
    directory: dict[str, Any],
    current: Version,
    base: Version,
    values: flags.FlagValues,
) -> int:
    """Publishes the files that differ from those in effect."""
    files = {p: doc for p, doc in directory.items() if current.contents.get(p) != doc}
    files.update({path: None for path in values.remove})
    merged = {p: doc for p, doc in {**current.contents, **files}.items() if doc is not None}
    problems = [problem._asdict() for problem in check_files(merged)]
    problems += [
        {"file": path, "path": ".", "reason": "there is no such file to remove"}
        for path in values.remove
        if path not in current.contents
    ]
    if problems:
        return report_invalid(problems, values)
    if not values.json:
        for path in sorted(files):
            old = current.contents.get(path)
            print("\n".join(output.diff_lines(path, old, files[path], "in effect", "new")))
    if not files:
        return report(values, {"verdict": "unchanged"}, "nothing to publish: all is in effect")
    if values.dry_run:
        stale = [p for p in files if base.offsets.get(p, ABSENT) != current.offsets.get(p, ABSENT)]
        if stale:
            return report_conflict(stale, base, current, values)
        text = f"files that would be published: {len(files)}"
        return report(values, {"verdict": "dry_run", "files": sorted(files)}, text)
    steps = split_steps(files)
    for number, step in enumerate(steps, 1):
        if len(steps) > 1 and not values.json:
            print(f"step {number} of {len(steps)}, files: {len(step)}")
        body = {
            "id": (values.publication_id if number == 1 else None) or str(uuid6.uuid7()),
            "base": {path: base.offsets.get(path, ABSENT) for path in step},
            "files": step,
        }
        code = send_until_settled(operator, body, base, values)
        if code != DONE:
            if number > 1:
                output.fail(f"Steps 1 to {number - 1} of {len(steps)} are in effect.")
            return code
    return DONE


def split_steps(files: dict[str, Any]) -> list[dict[str, Any]]:
    """Splits changes into publications that are each valid after the previous ones.

    Services precede the pipelines that use them, and pipelines precede workspaces; removals come
    last, in reverse order. Changes that fit into one publication are not split.
    """
    if len(files) <= MAX_FILES:
        return [files]
    kinds = ("service", "pipeline", "workspace")

    def order(path: str) -> tuple[bool, int, str]:
        rank = kinds.index(path.partition("/")[0])
        removed = files[path] is None
        return removed, -rank if removed else rank, path

    paths = sorted(files, key=order)
    return [
        {path: files[path] for path in paths[start : start + MAX_FILES]}
        for start in range(0, len(paths), MAX_FILES)
    ]


def send_until_settled(
    operator: client.OperatorClient, body: dict[str, Any], base: Version, values: flags.FlagValues
) -> int:
    """Sends a publication, with a bounded number of retries, until its outcome is known."""
    reason = ""
    # True once an attempt may have been appended without a known verdict.
    pending = values.publication_id is not None
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            time.sleep(RETRY_DELAY_S)
        try:
            response = operator.call("POST", "/operator/publications", body, CALL_TIMEOUT_S)
        except client.Unreachable as failure:
            reason, pending = str(failure), True
            continue
        error = response.error
        kind = error.get("kind")
        if response.status == 200:
            return report_accepted(response.body, body, values)
        if kind == ErrorKind.PUBLICATION_CONFLICT and error.get("details"):
            paths = [entry["file"] for entry in error["details"]]
            return report_conflict(
                paths, base, parse_version(operator.get("/operator/config")), values
            )
        if kind == ErrorKind.PUBLICATION_INVALID:
            return report_invalid(error.get("details", []), values)
        reason = str(client.Refused(response))
        pending = pending or (error.get("ran") != Ran.NO and kind not in NOT_APPENDED)
        if not error.get("retry"):
            break
    return report_failure(reason, pending, body["id"], values)


def report_failure(
    reason: str, pending: bool, publication_id: str, values: flags.FlagValues
) -> int:
    """Prints why there is no verdict, and whether the publication may still take effect."""
    if values.json:
        verdict = "unknown" if pending else "refused"
        output.print_json({"verdict": verdict, "id": publication_id, "reason": reason})
    note = "Nothing has taken effect."
    if pending:
        note = (
            f"The outcome is not known. Repeat the command with --publication_id {publication_id};"
            " it takes effect at most once."
        )
    output.fail(f"savoryfork publish: {reason}\n{note}")
    return FAILED


def report(values: flags.FlagValues, body: dict[str, Any], text: str) -> int:
    """Prints a successful outcome."""
    if values.json:
        output.print_json(body)
    else:
        print(text)
    return DONE


def report_accepted(answer: Any, body: dict[str, Any], values: flags.FlagValues) -> int:
    """Prints that a publication was accepted, and on which hosts it is in effect."""
    missing = answer["missing"]
    text = f"accepted at offset {answer['offset']}, in effect on {len(answer['hosts'])} hosts"
    if missing:
        reached = sum(offset >= answer["offset"] for offset in answer["hosts"].values())
        text = (
            f"accepted at offset {answer['offset']}, in effect on {reached} hosts;"
            f" not yet reported by: {', '.join(missing)}"
        )
    return report(values, {**answer, "id": body["id"]}, text)


def report_invalid(problems: list[dict[str, str]], values: flags.FlagValues) -> int:
    """Prints the problems of the files."""
    if values.json:
        output.print_json({"verdict": "invalid", "problems": problems})
    else:
        print("\n".join(output.problem_lines(problems)))
    output.fail(f"savoryfork publish: {len(problems)} problem(s); nothing has taken effect")
    return FAILED


def report_conflict(paths: list[str], base: Version, now: Version, values: flags.FlagValues) -> int:
    """Prints the changes between the base and the files in effect."""
    conflicts: list[dict[str, Any]] = [
        {
            "file": path,
            "base": base.offsets.get(path, ABSENT),
            "current": now.offsets.get(path, ABSENT),
            "seen": base.contents.get(path),
            "in_effect": now.contents.get(path),
        }
        for path in sorted(paths)
    ]
    if values.json:
        output.print_json({"verdict": "conflict", "conflicts": conflicts})
    else:
        for entry in conflicts:
            print(f"{entry['file']}: seen at offset {entry['base']}, now {entry['current']}")
            print(
                "\n".join(
                    output.diff_lines(
                        entry["file"], entry["seen"], entry["in_effect"], "seen", "in effect"
                    )
                )
            )
    output.fail(
        f"savoryfork publish: conflict: {len(conflicts)} file(s) changed since you saw them;"
        " nothing has taken effect. Merge the changes and publish again."
    )
    return FAILED
