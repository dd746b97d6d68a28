"""Runs one deployment until interrupted, for manual trials.

`python -m standins.serve nasr` starts the stand-ins and three daemons, writes an operator key and a
caller key below `run/`, and prints shell exports with the addresses.
"""

from __future__ import annotations

import asyncio
import signal

from absl import app

from standins.deployments import FORNACI, NASR
from standins.launch import ROOT, Deployment

SPECS = {"fornaci": FORNACI, "nasr": NASR}
WORKSPACES = {"fornaci": "ragusa-kilns", "nasr": "corniche-cafes"}


async def serve(name: str) -> None:
    """Starts a deployment, prints its addresses, and stops it on SIGINT or SIGTERM."""
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    directory = ROOT / "run" / name
    directory.mkdir(parents=True, exist_ok=True)
    async with Deployment(SPECS[name].small()) as deployment:
        operator, caller = directory / "operator.key", directory / "caller.key"
        operator.write_text(deployment.operator_key)
        caller.write_text(f"{name}-{WORKSPACES[name]}-caller-key")
        host = deployment.host_names[0]
        print(f"export CALLER={deployment.url(host)} OPERATOR={deployment.operator_url(host)}")
        print(
            f"export OPERATOR_KEY_FILE={operator.relative_to(ROOT)}"
            f" CALLER_KEY_FILE={caller.relative_to(ROOT)}",
            flush=True,
        )
        await stop.wait()
        await deployment.shutdown()


def main(argv: list[str]) -> int:
    """Validates the argument and runs the deployment."""
    if len(argv) != 2 or argv[1] not in SPECS:
        print(f"usage: python -m standins.serve {'|'.join(SPECS)}")
        return 2
    asyncio.run(serve(argv[1]))
    return 0


if __name__ == "__main__":
    app.run(main)
