"""Detects that the process behind a UDP address is gone: the kernel refuses datagrams to a closed port.

The port of a paused process stays open, so this tells a process that has ended from one that is paused. Each
check uses a connected socket of its own, because an error on the membership socket would look like its end.
"""

from __future__ import annotations

import socket

from limelatch.interface import MS

REFUSAL_TIMEOUT = 500 * MS
MAX_CHECKS = 4  # members at once, each takes a descriptor

Address = tuple[str, int]


class ClosedPorts:
    """The checks in progress: empty datagrams, each sent from a connected socket."""

    def __init__(self) -> None:
        self._checks: dict[int, tuple[socket.socket, int]] = {}

    def check(self, now: int, member: int, address: Address) -> None:
        """Send the member an empty datagram, which it ignores. Does nothing if MAX_CHECKS are in progress."""
        if member in self._checks or len(self._checks) >= MAX_CHECKS:
            return
        check_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        check_socket.setblocking(False)
        self._checks[member] = check_socket, now + REFUSAL_TIMEOUT
        try:
            check_socket.connect(address)
            check_socket.send(b"")
        except OSError:  # no route; says nothing about the process
            self._close(member)

    def refused(self, now: int) -> list[int]:
        """The members whose port was found closed since the last call; also ends checks that timed out."""
        refused = []
        for member, (check_socket, until) in list(self._checks.items()):
            try:
                check_socket.recv(1)
            except ConnectionRefusedError:
                refused.append(member)
            except OSError:
                if now < until:
                    continue
            self._close(member)
        return refused

    def close(self) -> None:
        """End all checks."""
        for member in list(self._checks):
            self._close(member)

    def _close(self, member: int) -> None:
        self._checks.pop(member)[0].close()
