"""Finds out whether the process behind a UDP address is gone: its kernel refuses what comes to a closed port.

The port of a process that stands still is open, so that this tells one that is gone from one that is paused.
Sockets of their own are used, since an error on the members' own one would pass for its end.
"""

from __future__ import annotations

import socket

from limelatch.interface import MS

ANSWER_WAIT = 500 * MS  # for a refusal
ASKED_MOST = 4  # members at once, a descriptor each

Address = tuple[str, int]


class ClosedPorts:
    """Empty datagrams that are out, each from a connected socket."""

    def __init__(self) -> None:
        self._asked: dict[int, tuple[socket.socket, int]] = {}

    def ask(self, now: int, member: int, address: Address) -> None:
        """Send an empty datagram; the member drops it unseen."""
        if member in self._asked or len(self._asked) >= ASKED_MOST:
            return
        one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        one.setblocking(False)
        self._asked[member] = one, now + ANSWER_WAIT
        try:
            one.connect(address)
            one.send(b"")
        except OSError:  # no way to it; nothing is told by that
            self._close(member)

    def refused(self, now: int) -> list[int]:
        """Members whose port was closed."""
        found = []
        for member, (one, until) in list(self._asked.items()):
            try:
                one.recv(1)
            except ConnectionRefusedError:
                found.append(member)
            except OSError:
                if now < until:
                    continue
            self._close(member)
        return found

    def close(self) -> None:
        """Ask no longer."""
        for member in list(self._asked):
            self._close(member)

    def _close(self, member: int) -> None:
        self._asked.pop(member)[0].close()
