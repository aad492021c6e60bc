"""A loopback address for each run, so that several runs on one machine never connect to each other.

Linux delivers all of 127.0.0.0/8 to the machine itself. The address is derived from the process id, which no
other process has at the same time. Each port is assigned only once, below the range from which the kernel
takes the ports of outgoing connections: a port that one process of a run has freed never goes to another.
"""

from __future__ import annotations

import os
import socket

FIRST_NET = 64  # 127.64.0.0 and above: never the usual 127.0.0.1 and 127.0.1.1
NET_BITS = 6  # bits of the process id in the second byte of the address
HOST_BITS = 16  # bits of the process id in its last two bytes
FIRST_PORT = 10_000
LAST_PORT = 32_000  # exclusive; the kernel's own range begins at 32768


class PortsExhausted(Exception):
    """All ports of the address have been assigned."""


class PlayAddress:
    """The loopback address of one run, and its next unassigned port."""

    def __init__(self, process: int | None = None) -> None:
        number = os.getpid() if process is None else process
        net = FIRST_NET + (number >> HOST_BITS) % (1 << NET_BITS)
        self.host = f"127.{net}.{number >> 8 & 255}.{number & 255}"
        self._next_port = FIRST_PORT

    def port(self) -> int:
        """Returns a port that is free and has not been assigned before. Raises PortsExhausted."""
        while self._next_port < LAST_PORT:
            port = self._next_port
            self._next_port += 1
            if self._is_free(port):
                return port
        raise PortsExhausted(f"{self.host} has no free port below {LAST_PORT}")

    def _is_free(self, port: int) -> bool:
        """Whether nothing listens on the port, be it on this address or on all addresses."""
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((self.host, port))
            except OSError:
                return False
        return True
