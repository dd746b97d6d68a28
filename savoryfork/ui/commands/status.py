"""Shows one host's state: configuration in effect, log, targets and other hosts.

Example: savoryfork status --operator_url http://127.0.0.1:8101 --key_file rosa.key
"""

from __future__ import annotations

from typing import Any

from absl import flags

from savoryfork.ui import DONE, FAILED, client, output

USAGE = ""


def define(values: flags.FlagValues) -> None:
    """Defines the flags of the operator port."""
    client.define(values)


def run(arguments: list[str], values: flags.FlagValues) -> int:
    """Reads the status of the host and prints it."""
    if arguments:
        output.one_argument([], "host by --operator_url and no argument")
    try:
        status = client.from_flags(values).get("/operator/status")
    except (client.Unreachable, client.Refused) as error:
        output.fail(f"savoryfork status: {error}")
        return FAILED
    if values.json:
        output.print_json(status)
    else:
        print("\n".join(status_lines(status)))
    return DONE


def status_lines(status: dict[str, Any]) -> list[str]:
    """Formats the status as lines of text."""
    config, log = status["config"], status["log"]
    lines = [
        f"host          {status['host']} in {status['availability_zone']}"
        + (" (stopping)" if status["stopping"] else ""),
        f"incarnation   {status['incarnation']}",
        f"configuration offset {config['offset']}, {config['services']} services,"
        f" {config['pipelines']} pipelines, {config['workspaces']} workspaces"
        + ("" if config["ready"] else " (not ready)"),
        f"log           {'available' if log['available'] else 'unavailable'}",
    ]
    if config["stopped_at"] is not None:
        lines.append(
            f"ALARM         record {config['stopped_at']} has a newer schema version: install a"
            " newer program on this host"
        )
    services: dict[str, list[dict[str, Any]]] = {}
    for target in status["targets"]:
        services.setdefault(target["service"], []).append(target)
    lines += ["", "targets:"]
    for service, targets in sorted(services.items()):
        leaving = [target["name"] for target in targets if target["leaving"]]
        note = f", leaving: {', '.join(leaving)}" if leaving else ""
        lines.append(f"  {service:<20} {len(targets) - len(leaving)} live{note}")
    lines += ["", "hosts:"]
    for peer in status["peers"]:
        state = "leaving" if peer["leaving"] else "live"
        if not peer["reachable"]:
            state += ", no answer"
        lines.append(f"  {peer['name']:<20} {state}, offset {peer['config_offset']}")
    return lines
