"""Ports of deployments of several processes."""

from __future__ import annotations

import itertools
import json
import random
from pathlib import Path

from soak.site import HostProcess
from standins.ports import PORTS, Ports


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
        assert ports.drawn <= set(PORTS)

    def test_addresses_of_a_host_differ(self, tmp_path: Path):
        """Guards against a host that can't bind because two of its addresses are the same."""
        ports = Ports(RepeatingRandom())
        host = HostProcess(0, [ports.address()], "127.0.0.1:1", tmp_path, ports)
        host.log.close()
        fields = json.loads(host.path.read_text())
        names = ("caller_address", "ready_address", "peer_address")
        addresses = [fields[name] for name in names]
        addresses.append(f"127.0.0.1:{fields['internal_ports'][0]}")
        assert len(set(addresses)) == 4
