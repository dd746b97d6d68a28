"""Ports of deployments of several processes."""

from __future__ import annotations

import itertools
import json
import random
import subprocess
import sys
from pathlib import Path

from soak.site import HostProcess
from standins.ports import PORTS, Ports

# Draws ports as a run with the same seed does, and keeps them until its standard input is closed.
DRAW_AND_WAIT = """
import random, sys
from standins.ports import Ports
ports = Ports(random.Random(1))
print(*(ports.draw() for _ in range(20)), flush=True)
sys.stdin.read()
"""


class RepeatingRandom(random.Random):
    """Draws each port three times in a row."""

    def __init__(self) -> None:
        super().__init__(0)
        self.draws = itertools.count()

    def choice(self, seq):
        return seq[next(self.draws) // 3]


class TestPorts:
    def test_port_is_drawn_once(self):
        ports = Ports(RepeatingRandom())
        assert len({ports.draw() for _ in range(20)}) == 20
        assert ports.reservations.keys() <= set(PORTS)
        ports.release()

    def test_deployments_that_run_at_once_share_no_port(self):
        """Guards against a host that can't bind because another run drew the same port.

        A port that is drawn but not yet bound looked free. Two soaks that ran at once lost a host
        to that (seed 1038).
        """
        other = subprocess.Popen(
            [sys.executable, "-c", DRAW_AND_WAIT], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        ports = Ports(random.Random(1))
        with other:
            assert other.stdout is not None
            theirs = {int(port) for port in other.stdout.readline().split()}
            own = {ports.draw() for _ in range(20)}
            other.communicate()
        assert len(theirs) == 20 and not own & theirs
        ports.release()

    def test_released_port_is_drawn_again(self):
        """Guards against reservations that outlive their deployment and use up the ports."""
        first, second = Ports(random.Random(1)), Ports(random.Random(1))
        port = first.draw()
        first.release()
        assert second.draw() == port
        second.release()

    def test_addresses_of_a_host_differ(self, tmp_path: Path):
        """Guards against a host that can't bind because two of its addresses are the same."""
        ports = Ports(RepeatingRandom())
        host = HostProcess(0, [ports.address()], "127.0.0.1:1", tmp_path, ports)
        host.log.close()
        ports.release()
        fields = json.loads(host.path.read_text())
        names = ("caller_address", "ready_address", "peer_address")
        addresses = [fields[name] for name in names]
        addresses.append(f"127.0.0.1:{fields['internal_ports'][0]}")
        assert len(set(addresses)) == 4
