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
RESOURCE_ERRORS = frozenset({errno.ENOBUFS, errno.ENOMEM})  # of the machine: the connection is as it was
ACCEPT_RESOURCE_ERRORS = RESOURCE_ERRORS | {errno.EMFILE, errno.ENFILE}


class MonotonicClock:
    """What held down log lines count their seconds by."""

    now = staticmethod(monotonic_now)


class PausableDescriptor:
    """A descriptor whose reading or writing can rest, whatever else starts and stops it meanwhile."""

    reading_wanted = writing_wanted = False
    reading_paused = writing_paused = False

    def startReading(self) -> None:
        self.reading_wanted = True
        if not self.reading_paused:
            super().startReading()

    def stopReading(self) -> None:
        self.reading_wanted = False
        super().stopReading()

    def startWriting(self) -> None:
        self.writing_wanted = True
        if not self.writing_paused:
            super().startWriting()

    def stopWriting(self) -> None:
        self.writing_wanted = False
        super().stopWriting()

    def pause_reading(self) -> None:
        """Read again after the rest, if that is wanted by then."""
        self.reading_paused = True
        super().stopReading()
        self.reactor.callLater(RETRY_DELAY_SECONDS, self._resume_reading)

    def pause_writing(self) -> None:
        """Write again after the rest, if that is wanted by then."""
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
    """Reads and writes of a connection."""

    def doRead(self):
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
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except BlockingIOError:
            return 0
        except OSError as error:
            if error.errno not in RESOURCE_ERRORS:
                return main.CONNECTION_LOST
            self.pause_writing()
            return 0

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Where the kernel refuses it the connection goes on; small writes may come some ms later."""
        with suppress(OSError):
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, enabled)


class RetryingServer(RetryingConnection, tcp.Server):
    """A connection that a port has accepted."""


class RetryingClient(RetryingConnection, tcp.Client):
    """A connection that the relay has made."""


class RetryingConnector(tcp.Connector):
    """Makes a `RetryingClient`."""

    def _makeTransport(self) -> RetryingClient:
        return RetryingClient(self.host, self.port, self.bindAddress, self, self.reactor)


class RetryingPort(PausableDescriptor, tcp.Port):
    """Accepts up to `numberAccepts` connections in a turn of the reactor, and rests while it can't.

    Connections wait in the kernel's queue meanwhile; none is closed for it."""

    transport = RetryingServer

    def __init__(self, *arguments, **more) -> None:
        super().__init__(*arguments, **more)
        self.limited_log = LimitedLog(log, MonotonicClock())

    def doRead(self) -> None:
        accepted, failed = 0, None
        for _ in range(self.numberAccepts):
            try:
                connection, address = self.socket.accept()
            except BlockingIOError:
                break
            except OSError as error:  # by accept(2) it may be one of the connection that was to come
                failed = error
                if error.errno in ACCEPT_RESOURCE_ERRORS:
                    break
                continue
            accepted += 1
            self._serve(connection, address)
        if failed is not None:
            self.limited_log("accept-failed", why=failed)
            if not accepted:
                self.pause_reading()

    def _serve(self, connection: socket.socket, address: tuple[str, int]) -> None:
        """Guards against a fault with one connection that takes those behind it along."""
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
