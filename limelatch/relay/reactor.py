"""The reactor that the relay runs on: Twisted's epoll reactor on the monotonic clock, with patient sockets.

Twisted's own reactors time their calls by the wall clock (`twisted.python.runtime`). Where that is stepped
back, a call that was set before waits for the wall clock to come back to where it was, and with it all that
the relay has to do.
"""

from __future__ import annotations

import time

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from limelatch.relay.datagrams import ResilientDatagramPort
from limelatch.relay.transport import RetryingConnector, RetryingPort


class RelayReactor(EPollReactor):
    """Due times and waits are spans of real time; its sockets are those of `transport`."""

    seconds = staticmethod(time.monotonic)

    def connectTCP(self, host, port, factory, timeout=None, bindAddress=None) -> RetryingConnector:
        connector = RetryingConnector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def listenTCP(self, port, factory, backlog=50, interface="") -> RetryingPort:
        listening = RetryingPort(port, factory, backlog, interface, self)
        listening.startListening()
        return listening

    def listenUDP(self, port, protocol, interface="", maxPacketSize=8192) -> ResilientDatagramPort:
        listening = ResilientDatagramPort(port, protocol, interface, maxPacketSize, self)
        listening.startListening()
        return listening

    def adoptStreamPort(self, fileDescriptor, addressFamily, factory) -> RetryingPort:
        listening = RetryingPort._fromListeningDescriptor(self, fileDescriptor, addressFamily, factory)
        listening.startListening()
        return listening


reactor = RelayReactor()
installReactor(reactor)
