"""Picks loopback ports for processes that may be restarted."""

from __future__ import annotations

import random
import socket
from collections.abc import Container

# Below Linux's ephemeral port range, so that an outgoing connection can't take the port of a
# process that is being restarted.
PORTS = range(18_000, 32_000)


def free_port(rng: random.Random, taken: Container[int] = ()) -> int:
    """Returns a port that nothing listens on and that is not in `taken`."""
    while True:
        port = rng.choice(PORTS)
        if port in taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue  # another process listens there
        return port


class Ports:
    """The ports of one deployment, each drawn once.

    A drawn port may not be in use yet, or not at the moment, so that a probe would find it free.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.drawn: set[int] = set()

    def draw(self) -> int:
        """Returns a port that nothing listens on and that was not drawn before."""
        port = free_port(self.rng, self.drawn)
        self.drawn.add(port)
        return port

    def address(self) -> str:
        """Returns a loopback address with such a port."""
        return f"127.0.0.1:{self.draw()}"
