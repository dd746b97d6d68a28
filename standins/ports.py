"""Picks loopback ports for processes that may be restarted."""

from __future__ import annotations

import random
import socket

# Below Linux's ephemeral port range, so that an outgoing connection can't take the port of a
# process that is being restarted.
PORTS = range(18_000, 32_000)

# A port is reserved by binding it at this address. Nothing else listens there, so the reservation
# does not keep the process that gets the port from binding it at 127.0.0.1.
RESERVATION_IP = "127.0.0.64"


class Ports:
    """The ports of one deployment, each drawn once.

    A drawn port may not be in use yet, or not at the moment, so that a probe would find it free.
    It is therefore reserved until `release`, or until this process ends, against all other
    deployments of the machine.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.reservations: dict[int, socket.socket] = {}

    def draw(self) -> int:
        """Reserves and returns a port that nothing listens on and that nobody has reserved."""
        while True:
            port = self.rng.choice(PORTS)
            if port in self.reservations:
                continue
            reservation = socket.socket()
            try:
                # Without SO_REUSEADDR, only one socket of the machine can bind the address.
                reservation.bind((RESERVATION_IP, port))
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue  # reserved, or another process listens there
            self.reservations[port] = reservation
            return port

    def address(self) -> str:
        """Returns a loopback address with such a port."""
        return f"127.0.0.1:{self.draw()}"

    def release(self) -> None:
        """Ends the reservations, once nothing uses the ports any more."""
        for reservation in self.reservations.values():
            reservation.close()
        self.reservations.clear()
