"""One connection to a host, which carries one call at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import ClientFactory

from limelatch.interface import HostId
from limelatch.relay.end_reason import EndReason
from limelatch.relay.host_calls import Call
from limelatch.relay.http import HttpClientProtocol, Response

if TYPE_CHECKING:
    from limelatch.relay.hosts import HostPool

MAX_RESPONSE_SIZE = 64 * 1024  # bytes of a response's body
OUTBOUND_BUFFER_SIZE = 32 * 1024  # bytes of a connection's requests that wait to be written


class Connection(HttpClientProtocol):
    """One connection to a host, from the attempt to connect until it has ended."""

    def __init__(self, pool: HostPool, host: HostId, call: Call) -> None:
        super().__init__(MAX_RESPONSE_SIZE, OUTBOUND_BUFFER_SIZE)
        self.pool, self.host, self.call = pool, host, call
        self.slot, self.connector, self.deadline = None, None, None
        self.is_connected, self.idle_since, self.address = False, 0, pool.addresses.get(host)
        self.number = pool.counts.opened  # in this process, for the log
        self.last_call: Call | None = None  # the last call that was sent on it

    def is_reusable(self) -> bool:
        """Whether it is at rest, and the peer has sent nothing that is not read yet."""
        return self.is_at_rest() and self.unread() is None

    def is_at_rest(self) -> bool:
        """Whether it is open, all of its last call was written and read, and no more has been read."""
        if self.end_reason is not None or not self.connected:
            return False
        return self.outbound_writer.empty and not self.has_surplus

    def connectionMade(self) -> None:
        """The connection is established: stop the timer and write the call."""
        super().connectionMade()
        self.is_connected = True
        self.deadline.cancel()
        self.pool.send_on(self)

    def response_started(self) -> None:
        """Note when the status line was read; after an interim response, that of the last one."""
        if self.call is not None:
            self.call.response_started_at = self.pool.clock.now()

    def response_received(self, response: Response, body: bytes) -> None:
        """Pass the response to the pool."""
        self.pool.response_received(self, response, body)

    def surplus_received(self, data: bytes) -> None:
        """Pass a surplus response to the pool."""
        self.pool.surplus_received(self, data)

    def connection_ended(self, end_reason: EndReason) -> None:
        """Tell the pool, and whether the request was written completely."""
        if end_reason is EndReason.CONNECTION_LOST and not self.outbound_writer.empty:
            end_reason = self.end_reason = EndReason.REQUEST_INCOMPLETE
        self.pool.connection_lost(self, end_reason)

    def abandon(self, end_reason: EndReason) -> None:
        """Close the connection, or stop the attempt to establish it."""
        if self.is_connected:
            self.close(end_reason)
        elif self.end_reason is None:
            self.end_reason = end_reason
            if self.connector is not None:
                self.connector.stopConnecting()


class ConnectAttempt(ClientFactory):
    """One attempt to connect."""

    noisy = False

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def buildProtocol(self, address) -> Connection:
        """The connection that the attempt was made for."""
        return self.connection

    def clientConnectionFailed(self, connector, reason) -> None:
        """End the connection as refused, unless the relay stopped the attempt."""
        connection = self.connection
        connection.end_reason = connection.end_reason or EndReason.REFUSED
        connection.pool.connection_lost(connection, connection.end_reason)
