"""Shows the service-level burn: how fast each pipeline and workspace spends its error budget.

`report burn` reads the summaries that all hosts have written to the log, so it covers hosts that
are gone. An alarm in it means that the budget is spent faster than the objective allows; see the
page on burn for what to do.

Example: savoryfork report burn --operator_url http://127.0.0.1:8101 --key_file rosa.key --plot
"""

from __future__ import annotations

from urllib.parse import urlencode

from absl import flags

from savoryfork.errors import UserError
from savoryfork.ui import DONE, FAILED, burnview, client, output

USAGE = "burn"


def define(values: flags.FlagValues) -> None:
    """Defines the flags of the operator port and of the selection."""
    client.define(values)
    flags.DEFINE_string("workspace", None, "only this workspace", flag_values=values)
    flags.DEFINE_string("pipeline", None, "only this pipeline", flag_values=values)
    flags.DEFINE_boolean("plot", False, "add a plot of the burn over time", flag_values=values)


def run(arguments: list[str], values: flags.FlagValues) -> int:
    """Reads the report and prints it."""
    if arguments != ["burn"]:
        raise UserError("the only report is `burn`")
    filters = {"workspace": values.workspace, "pipeline": values.pipeline}
    query = urlencode({name: value for name, value in filters.items() if value})
    try:
        report = client.from_flags(values).get(f"/operator/burn?{query}")
    except (client.Unreachable, client.Refused) as error:
        output.fail(f"savoryfork report: {error}")
        return FAILED
    if values.json:
        output.print_json(report)
        return DONE
    print(burnview.table(report))
    if not report["series"]:
        print("No run yet in a finished minute; hosts write each minute's counts within 20 s.")
    if values.plot:
        print(burnview.plot(report))
    return DONE
