"""The relay's reactor: Twisted's epoll reactor on the monotonic clock, with sockets that survive errors.

Twisted's own reactors schedule calls by the wall clock (`twisted.python.runtime`). When the wall clock is
stepped back, a call that was scheduled before waits until the clock has caught up, and the relay stalls.

Importing this module installs the reactor.
"""

from __future__ import annotations

import time

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from limelatch.relay.datagrams import RetryingDatagramPort
from limelatch.relay.transport import RetryingConnector, RetryingPort


class RelayReactor(EPollReactor):
    """Times calls by the monotonic clock and creates the sockets of `transport` and `datagrams`."""

    seconds = staticmethod(time.monotonic)

    def connectTCP(self, host, port, factory, timeout=None, bindAddress=None) -> RetryingConnector:
        connector = RetryingConnector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def listenTCP(self, port, factory, backlog=50, interface="") -> RetryingPort:
        listening = RetryingPort(port, factory, backlog, interface, self)
        listening.startListening()
        return listening

    def listenUDP(self, port, protocol, interface="", maxPacketSize=8192) -> RetryingDatagramPort:
        listening = RetryingDatagramPort(port, protocol, interface, maxPacketSize, self)
        listening.startListening()
        return listening

    def adoptStreamPort(self, fileDescriptor, addressFamily, factory) -> RetryingPort:
        listening = RetryingPort._fromListeningDescriptor(self, fileDescriptor, addressFamily, factory)
        listening.startListening()
        return listening


reactor = RelayReactor()
installReactor(reactor)
