"""A LineReceiver whose bytes wait in two ring buffers, one for each direction."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

from twisted.internet import interfaces
from twisted.protocols.basic import LineReceiver
from zope.interface import implementer

from limelatch.relay.end_reason import EndReason
from limelatch.relay.ring_buffer import Ring

READ_SIZE = 16 * 1024  # taken from the socket at once


def waits(transport) -> bool:
    """Whether the peer's bytes, or its end, have arrived and are not read yet."""
    try:
        transport.socket.recv(1, socket.MSG_PEEK)
    except OSError as error:
        return not isinstance(error, BlockingIOError)
    except AttributeError:  # no socket, or none any more
        return False
    return True


@implementer(interfaces.IPushProducer)
class Outflow:
    """Moves bytes from the outbound ring to the transport, which holds it back while it is choked."""

    def __init__(self, transport, ring: Ring, room: Callable[[], None]) -> None:
        self.transport, self.ring, self.room, self.choked = transport, ring, room, False
        self.pieces: deque[bytes] = deque()  # the source, held back while the ring is full

    def send(self, pieces: list[bytes]) -> None:
        self.pieces.extend(pieces)
        self.move()

    def move(self) -> None:
        while self.pieces or self.ring:
            while self.pieces and self.ring.free:
                piece, room = self.pieces.popleft(), self.ring.free
                self.ring.write(piece[:room])
                if len(piece) > room:
                    self.pieces.appendleft(piece[room:])
            if self.choked:
                return
            self.transport.write(self.ring.read(READ_SIZE))

    @property
    def empty(self) -> bool:
        return not self.pieces and not self.ring

    def pauseProducing(self) -> None:
        self.choked = True

    def resumeProducing(self) -> None:
        self.choked = False
        self.move()
        self.room()

    def finish(self) -> None:
        """Hand on all that is left, since nothing will follow."""
        self.choked = False
        self.move()

    def stopProducing(self) -> None:
        self.choked = True
        self.pieces.clear()


class RingLines(LineReceiver):
    """Lines end with CRLF; a block of `expect` bytes comes whole. Parsing stops while `held_back` says so."""

    MAX_LENGTH = 8 * 1024

    def __init__(self, inbound: int, outbound: int) -> None:
        self.inbound, self._outbound = Ring(max(inbound, self.MAX_LENGTH) + READ_SIZE), Ring(outbound)
        self._wanted, self._pumping, self._reading = 0, False, True
        self.outflow: Outflow | None = None
        self.end_reason: EndReason | None = None

    def connectionMade(self) -> None:
        self.transport.bufferSize = READ_SIZE
        self.transport.setTcpNoDelay(True)
        self.outflow = Outflow(self.transport, self._outbound, self.pump)
        self.transport.registerProducer(self.outflow, True)

    def send(self, *pieces: bytes) -> None:
        """Write; nothing is written to a connection that has ended."""
        if self.end_reason is None:
            self.outflow.send(list(pieces))

    def expect(self, count: int) -> None:
        """The next `count` bytes come whole, to `rawDataReceived`."""
        self._wanted = count
        self.setRawMode()

    def held_back(self) -> bool:
        """True while nothing more is to be read from this peer."""
        return False

    def dataReceived(self, data: bytes) -> None:
        if self.end_reason is None:
            self.inbound.write(data)
            self.pump()

    def pump(self) -> None:
        """Hand on what is whole; a ring without room for another read holds back its socket."""
        if self._pumping:
            return
        self._pumping = True
        try:
            while self.end_reason is None and not self.held_back() and (chunk := self._next_chunk()):
                super().dataReceived(chunk)
        finally:
            self._pumping = False
        reading = self.inbound.free >= READ_SIZE
        if self.end_reason is None and reading != self._reading:
            self._reading = reading
            (self.transport.resumeProducing if reading else self.transport.pauseProducing)()

    def _next_chunk(self) -> bytes:
        if not self.line_mode:
            return self.inbound.read(self._wanted) if len(self.inbound) >= self._wanted else b""
        end = self.inbound.find(self.delimiter)
        if end < 0 and len(self.inbound) > self.MAX_LENGTH:
            self.close(EndReason.MALFORMED)
        return self.inbound.read(end + len(self.delimiter)) if end >= 0 else b""

    def lineLengthExceeded(self, line: bytes) -> None:
        self.close(EndReason.MALFORMED)

    def close(self, end_reason: EndReason, finish_writing: bool = False) -> None:
        """End the connection from this side; `connectionLost` follows."""
        if self.end_reason is not None:
            return
        self.end_reason = end_reason
        if finish_writing:
            self.outflow.finish()
            self.transport.unregisterProducer()
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()
