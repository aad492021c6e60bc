"""Ports and connections that bear a kernel which lacks memory, buffers or descriptors for a while.

Twisted's own end a connection on ENOMEM or ENOBUFS of a read, and ask again without a pause while accept
fails. Here the one socket rests for `REST_SECONDS` and is tried again; the errors that end a connection
(accept(2), recv(2), send(2), tcp(7)) still do.
"""

from __future__ import annotations

import errno
import socket
from contextlib import suppress

from twisted.internet import main, tcp

from limelatch.logs import LimitedLog, logger, log_event
from limelatch.relay.clock import monotonic_now

log = logger("clients")

REST_SECONDS = 0.01
SHORTAGES = frozenset({errno.ENOBUFS, errno.ENOMEM})  # of the machine: the connection is as it was
ACCEPT_SHORTAGES = SHORTAGES | {errno.EMFILE, errno.ENFILE}


class SteadyTicks:
    """What held down log lines count their seconds by."""

    now = staticmethod(monotonic_now)


class Resting:
    """A descriptor whose reading or writing can rest, whatever else starts and stops it meanwhile."""

    reading_wanted = writing_wanted = False
    reading_rests = writing_rests = False

    def startReading(self) -> None:
        self.reading_wanted = True
        if not self.reading_rests:
            super().startReading()

    def stopReading(self) -> None:
        self.reading_wanted = False
        super().stopReading()

    def startWriting(self) -> None:
        self.writing_wanted = True
        if not self.writing_rests:
            super().startWriting()

    def stopWriting(self) -> None:
        self.writing_wanted = False
        super().stopWriting()

    def rest_from_reading(self) -> None:
        """Read again after the rest, if that is wanted by then."""
        self.reading_rests = True
        super().stopReading()
        self.reactor.callLater(REST_SECONDS, self._read_again)

    def rest_from_writing(self) -> None:
        """Write again after the rest, if that is wanted by then."""
        self.writing_rests = True
        super().stopWriting()
        self.reactor.callLater(REST_SECONDS, self._write_again)

    def _read_again(self) -> None:
        self.reading_rests = False
        if self.reading_wanted:
            super().startReading()

    def _write_again(self) -> None:
        self.writing_rests = False
        if self.writing_wanted:
            super().startWriting()


class PatientConnection(Resting):
    """Reads and writes of a connection."""

    def doRead(self):
        try:
            data = self.socket.recv(self.bufferSize)
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno not in SHORTAGES:
                return main.CONNECTION_LOST
            self.rest_from_reading()
            return None
        return self._dataReceived(data)

    def writeSomeData(self, data):
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except BlockingIOError:
            return 0
        except OSError as error:
            if error.errno not in SHORTAGES:
                return main.CONNECTION_LOST
            self.rest_from_writing()
            return 0

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Where the kernel refuses it the connection goes on; small writes may come some ms later."""
        with suppress(OSError):
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, enabled)


class PatientServer(PatientConnection, tcp.Server):
    """A connection that a port has accepted."""


class PatientClient(PatientConnection, tcp.Client):
    """A connection that the relay has made."""


class PatientConnector(tcp.Connector):
    """Makes a `PatientClient`."""

    def _makeTransport(self) -> PatientClient:
        return PatientClient(self.host, self.port, self.bindAddress, self, self.reactor)


class PatientPort(Resting, tcp.Port):
    """Accepts up to `numberAccepts` connections in a turn of the reactor, and rests while it can't.

    Connections wait in the kernel's queue meanwhile; none is closed for it."""

    transport = PatientServer

    def __init__(self, *arguments, **more) -> None:
        super().__init__(*arguments, **more)
        self.limited_log = LimitedLog(log, SteadyTicks())

    def doRead(self) -> None:
        accepted, failed = 0, None
        for _ in range(self.numberAccepts):
            try:
                connection, address = self.socket.accept()
            except BlockingIOError:
                break
            except OSError as error:  # by accept(2) it may be one of the connection that was to come
                failed = error
                if error.errno in ACCEPT_SHORTAGES:
                    break
                continue
            accepted += 1
            self._serve(connection, address)
        if failed is not None:
            self.limited_log("accept-failed", why=failed)
            if not accepted:
                self.rest_from_reading()

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
