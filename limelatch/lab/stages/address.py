"""A loopback address of a play's own, so that plays beside each other on one machine never meet.

Linux delivers all of 127.0.0.0/8 to the machine itself. The address is worked out from the process id, which
no other process has at the same time; its ports are handed out once each, below the range from which the
kernel takes the ports of outgoing connections. So no port that one party of a play has freed goes to another.
"""

from __future__ import annotations

import os
import socket

FIRST_NET = 64  # 127.64.0.0 and above: the usual 127.0.0.1 and 127.0.1.1 stay out of it
NET_BITS, HOST_BITS = 6, 16
FIRST_PORT, LAST_PORT = 10_000, 32_000


class PortsUsedUp(Exception):
    """All ports of the address have been handed out."""


class PlayAddress:
    """The address of one play, and the ports on it that are not handed out yet."""

    def __init__(self, process: int | None = None) -> None:
        number = os.getpid() if process is None else process
        net = FIRST_NET + (number >> HOST_BITS) % (1 << NET_BITS)
        self.host = f"127.{net}.{number >> 8 & 255}.{number & 255}"
        self._next_port = FIRST_PORT

    def port(self) -> int:
        """A port that nobody listens at and that is handed out only once. Raises PortsUsedUp."""
        while self._next_port < LAST_PORT:
            port = self._next_port
            self._next_port += 1
            if self._is_free(port):
                return port
        raise PortsUsedUp(f"{self.host} has no port left up to {LAST_PORT}")

    def _is_free(self, port: int) -> bool:
        """Somebody may listen at this port of every address."""
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((self.host, port))
            except OSError:
                return False
        return True
