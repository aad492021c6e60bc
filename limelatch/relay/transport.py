"""Ports and connections that survive a temporary lack of kernel memory, buffers or descriptors.

Twisted closes a connection when a read fails with ENOMEM or ENOBUFS, and retries without a pause while accept
fails. Here the affected socket alone is paused for `RETRY_DELAY_SECONDS` and then retried. Errors that end a
connection (accept(2), recv(2), send(2), tcp(7)) still end it.
"""

from __future__ import annotations

import errno
import socket
from contextlib import suppress

from twisted.internet import main, tcp

from limelatch.logs import LimitedLog, logger, log_event
from limelatch.relay.clock import monotonic_now

log = logger("clients")

RETRY_DELAY_SECONDS = 0.01
RESOURCE_ERRORS = frozenset(
    {errno.ENOBUFS, errno.ENOMEM}
)  # shortages of the machine: the connection is intact
ACCEPT_RESOURCE_ERRORS = RESOURCE_ERRORS | {errno.EMFILE, errno.ENFILE}


class MonotonicClock:
    """The clock that rate-limited log lines count by: a monotonic time in tenths of a millisecond."""

    now = staticmethod(monotonic_now)


class PausableDescriptor:
    """A descriptor whose reading or writing can be paused, whatever else starts and stops it meanwhile."""

    reading_wanted = writing_wanted = False
    reading_paused = writing_paused = False

    def startReading(self) -> None:
        """Start reading, or do so when the pause ends."""
        self.reading_wanted = True
        if not self.reading_paused:
            super().startReading()

    def stopReading(self) -> None:
        """Stop reading, also after a pause."""
        self.reading_wanted = False
        super().stopReading()

    def startWriting(self) -> None:
        """Start writing, or do so when the pause ends."""
        self.writing_wanted = True
        if not self.writing_paused:
            super().startWriting()

    def stopWriting(self) -> None:
        """Stop writing, also after a pause."""
        self.writing_wanted = False
        super().stopWriting()

    def pause_reading(self) -> None:
        """Pause reading for RETRY_DELAY_SECONDS, then resume it if it is wanted by then."""
        self.reading_paused = True
        super().stopReading()
        self.reactor.callLater(RETRY_DELAY_SECONDS, self._resume_reading)

    def pause_writing(self) -> None:
        """Pause writing for RETRY_DELAY_SECONDS, then resume it if it is wanted by then."""
        self.writing_paused = True
        super().stopWriting()
        self.reactor.callLater(RETRY_DELAY_SECONDS, self._resume_writing)

    def _resume_reading(self) -> None:
        self.reading_paused = False
        if self.reading_wanted:
            super().startReading()

    def _resume_writing(self) -> None:
        self.writing_paused = False
        if self.writing_wanted:
            super().startWriting()


class RetryingConnection(PausableDescriptor):
    """A TCP connection that survives resource errors of reads and writes by retrying them.

    `bytes_sent`: how many bytes the kernel has taken."""

    bytes_sent = 0

    def doRead(self):
        """Read once; pause after a resource error."""
        try:
            data = self.socket.recv(self.bufferSize)
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno not in RESOURCE_ERRORS:
                return main.CONNECTION_LOST
            self.pause_reading()
            return None
        return self._dataReceived(data)

    def writeSomeData(self, data):
        """Write once and return the number of bytes; pause after a resource error."""
        try:
            sent = self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except BlockingIOError:
            return 0
        except OSError as error:
            if error.errno not in RESOURCE_ERRORS:
                return main.CONNECTION_LOST
            self.pause_writing()
            return 0
        self.bytes_sent += sent
        return sent

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Set TCP_NODELAY. If the kernel refuses, the connection stays; small writes may be some ms late."""
        with suppress(OSError):
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, enabled)


class RetryingServer(RetryingConnection, tcp.Server):
    """A connection that a port has accepted."""


class RetryingClient(RetryingConnection, tcp.Client):
    """A connection that the relay has opened."""


class RetryingConnector(tcp.Connector):
    """Opens a `RetryingClient`."""

    def _makeTransport(self) -> RetryingClient:
        return RetryingClient(self.host, self.port, self.bindAddress, self, self.reactor)


class RetryingPort(PausableDescriptor, tcp.Port):
    """Accepts up to `numberAccepts` connections in a turn of the reactor, and pauses after resource errors.

    Connections wait in the kernel's queue meanwhile; none is closed because of the pause."""

    transport = RetryingServer

    def __init__(self, *arguments, **keywords) -> None:
        super().__init__(*arguments, **keywords)
        self.limited_log = LimitedLog(log, MonotonicClock())

    def doRead(self) -> None:
        """Accept connections; pause if accepting failed and none was accepted."""
        accepted, failed = 0, None
        for _ in range(self.numberAccepts):
            try:
                connection, address = self.socket.accept()
            except BlockingIOError:
                break
            except OSError as error:  # it may concern only the pending connection: accept(2)
                failed = error
                if error.errno in ACCEPT_RESOURCE_ERRORS:
                    break
                continue
            accepted += 1
            self._serve_connection(connection, address)
        if failed is not None:
            self.limited_log("accept-failed", why=failed)
            if not accepted:
                self.pause_reading()

    def _serve_connection(self, connection: socket.socket, address: tuple[str, int]) -> None:
        """Set up one accepted connection. Guards against an exception that would lose those behind it."""
        transport = None
        try:
            protocol = self.factory.buildProtocol(self._buildAddr(address))
            if protocol is None:
                connection.close()
                return
            number, self.sessionno = self.sessionno, self.sessionno + 1
            transport = self.transport(connection, protocol, address, self, number, self.reactor)
            protocol.makeConnection(transport)
        except Exception:
            log_event(log, "connection-not-served", trace=True)
            (connection.close if transport is None else transport.abortConnection)()
