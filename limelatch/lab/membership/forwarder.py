"""A datagram network between real processes that can lose, duplicate, delay and cut by directed pair.

Each member's address in `peers` is a front socket of this network. A datagram from member A to B's front
address is forwarded to the address on which B listens, with A's front address as its source.
"""

from __future__ import annotations

import heapq
import selectors
import socket
import threading
import time
from collections import Counter
from random import Random

from limelatch.interface import SECOND
from limelatch.lab.membership.network import Conditions, Network

MAX_PACKET_BYTES = 2048  # read from a datagram
STOP_CHECK_INTERVAL = 0.05  # seconds, at most, between two checks whether to stop
BUFFER_BYTES = 1 << 20  # of each socket's receive buffer

Address = tuple[str, int]


class DatagramNetwork:
    """Forwards datagrams between members.

    `fronts`: the front addresses that are bound here; `listens`: those on which the members listen."""

    def __init__(self, fronts: list[Address], listens: list[Address], seed: int = 1) -> None:
        self.network = Network(Random(seed))
        self.listen_addresses, self.numbers = (
            listens,
            {address: number for number, address in enumerate(listens)},
        )
        self.sockets = [self._bound(front) for front in fronts]
        self.front_addresses = [each.getsockname() for each in self.sockets]
        self.forwarded: Counter[tuple[int, int]] = Counter()  # datagrams by (sender, receiver)
        self.unknown_senders = 0
        self._waiting: list[tuple[int, int, int, int, bytes]] = []
        self._count, self._ended = 0, False
        self._thread = threading.Thread(target=self._run, daemon=True)

    @staticmethod
    def _bound(front: Address) -> socket.socket:
        one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        one.bind(front)
        one.setblocking(False)
        return one

    def __enter__(self) -> DatagramNetwork:
        self.start()
        return self

    def __exit__(self, *ended: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start forwarding, in a thread of its own."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close the sockets."""
        self._ended = True
        self._thread.join()
        for each in self.sockets:
            each.close()

    # Faults; each applies from the next datagram on.

    def set_conditions(self, **shares: float) -> None:
        """Set the shares of all datagrams that are `lost`, `duplicated` and `delayed`."""
        self.network.conditions = Conditions(**shares)

    def cut(self, senders: set[int], receivers: set[int]) -> None:
        """Drop all datagrams from the senders to the receivers, in addition to earlier cuts."""
        self.network.cuts.append(lambda sender, receiver: sender in senders and receiver in receivers)

    def partition(self, one_side: set[int]) -> None:
        """Drop all datagrams between these members and all others."""
        self.network.cuts.append(lambda sender, receiver: (sender in one_side) != (receiver in one_side))

    def heal(self) -> None:
        """Remove all cuts."""
        self.network.cuts.clear()

    # The thread.

    def _run(self) -> None:
        with selectors.DefaultSelector() as selector:
            for number, each in enumerate(self.sockets):
                selector.register(each, selectors.EVENT_READ, number)
            while not self._ended:
                for key, _ in selector.select(self._wait()):
                    self._read(key.data)
                self._forward_due()

    def _now(self) -> int:
        return int(time.monotonic() * SECOND)

    def _wait(self) -> float:
        if not self._waiting:
            return STOP_CHECK_INTERVAL
        return min(STOP_CHECK_INTERVAL, max(0.0, (self._waiting[0][0] - self._now()) / SECOND))

    def _read(self, receiver: int) -> None:
        while True:
            try:
                data, address = self.sockets[receiver].recvfrom(MAX_PACKET_BYTES)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram was refused by the closed port of a stopped member
                continue
            sender = self.numbers.get(address)
            if sender is None:
                self.unknown_senders += 1
                continue
            for when in self.network.arrivals(self._now(), sender, receiver):
                self._count += 1
                heapq.heappush(self._waiting, (when, self._count, sender, receiver, data))

    def _forward_due(self) -> None:
        while self._waiting and self._waiting[0][0] <= self._now():
            _, _, sender, receiver, data = heapq.heappop(self._waiting)
            self.forwarded[sender, receiver] += 1
            try:
                self.sockets[sender].sendto(data, self.listen_addresses[receiver])
            except OSError:  # no process listens there now
                pass
