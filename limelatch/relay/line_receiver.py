"""A LineReceiver whose bytes are buffered in two ring buffers, one for each direction."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from weakref import WeakMethod

from twisted.internet import interfaces
from twisted.protocols.basic import LineReceiver
from zope.interface import implementer

from limelatch.relay.end_reason import EndReason
from limelatch.relay.ring_buffer import RingBuffer

READ_SIZE = 16 * 1024  # bytes read from the socket at once
# States of a TCP connection in the kernel, the first byte of TCP_INFO: closed, close-wait, last-ack, closing.
PEER_CLOSED_STATES = (b"\x07", b"\x08", b"\x09", b"\x0b")


def unread_bytes(transport, count: int) -> bytes | None:
    """Up to `count` bytes that have arrived and are not read yet, without removing them.

    Empty after the peer's end of stream or a failure of the connection; None if nothing has arrived."""
    try:
        return transport.socket.recv(count, socket.MSG_PEEK)
    except OSError as error:
        return None if isinstance(error, BlockingIOError) else b""
    except AttributeError:  # the transport has no socket, or not any more
        return None


def has_unread_bytes(transport) -> bool:
    """Whether the peer's bytes, or its end of stream, have arrived and are not read yet."""
    return unread_bytes(transport, 1) is not None


def has_peer_closed(transport) -> bool:
    """Whether the peer's end of stream has arrived, even behind bytes that are not read yet.

    False where the kernel does not tell (tcp(7), TCP_INFO)."""
    try:
        info = transport.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except (OSError, AttributeError):
        return False
    return info[:1] in PEER_CLOSED_STATES


@implementer(interfaces.IPushProducer)
class OutboundWriter:
    """Moves bytes from the outbound buffer to the transport, which pauses it while its own buffer is full."""

    def __init__(self, transport, ring: RingBuffer, on_room: Callable[[], None]) -> None:
        """`on_room`, a method, is called each time the transport takes bytes again.

        It is not kept alive: guards against a connection that refers to itself, whose memory is freed only in
        a collection."""
        self.transport, self.ring, self._on_room, self.paused = transport, ring, WeakMethod(on_room), False
        self.pieces: deque[bytes] = deque()  # bytes that wait for room in the ring buffer
        self._passed_count = 0  # bytes passed to the transport

    def send(self, pieces: list[bytes]) -> None:
        """Queue these bytes and write as much as the transport takes."""
        self.pieces.extend(pieces)
        self.move()

    def move(self) -> None:
        """Move queued bytes to the ring buffer, and from there to the transport unless it is paused."""
        while self.pieces or self.ring:
            while self.pieces and self.ring.free:
                piece, room = self.pieces.popleft(), self.ring.free
                self.ring.write(piece[:room])
                if len(piece) > room:
                    self.pieces.appendleft(piece[room:])
            if self.paused:
                return
            piece = self.ring.read(READ_SIZE)
            self._passed_count += len(piece)
            self.transport.write(piece)

    @property
    def empty(self) -> bool:
        """Whether all bytes have been passed to the transport."""
        return not self.pieces and not self.ring

    @property
    def is_sent(self) -> bool:
        """Whether the kernel has taken all bytes; of a transport that does not count: whether it has."""
        return self.empty and getattr(self.transport, "bytes_sent", self._passed_count) == self._passed_count

    def pauseProducing(self) -> None:
        """The transport takes no more bytes for now."""
        self.paused = True

    def resumeProducing(self) -> None:
        """The transport takes bytes again."""
        self.paused = False
        self.move()
        if (on_room := self._on_room()) is not None:
            on_room()

    def finish(self) -> None:
        """Pass all remaining bytes to the transport, since nothing will follow."""
        self.paused = False
        self.move()

    def stopProducing(self) -> None:
        """The connection is lost: discard what is queued."""
        self.paused = True
        self.pieces.clear()


class BufferedLineReceiver(LineReceiver):
    """Receives lines that end with CRLF, and blocks whose size `expect` has set. Parsing stops while
    `is_parsing_paused` returns True."""

    MAX_LENGTH = 8 * 1024  # bytes of a line

    def __init__(self, inbound: int, outbound: int) -> None:
        """`inbound`, `outbound`: bytes that may be buffered in each direction."""
        self.inbound = RingBuffer(max(inbound, self.MAX_LENGTH) + READ_SIZE)
        self._outbound = RingBuffer(outbound)
        self._block_size, self._pumping, self._reading = 0, False, True
        self._takes_parts = False  # whether a block is delivered in parts, as it comes
        self.outbound_writer: OutboundWriter | None = None
        self.end_reason: EndReason | None = None

    def connectionMade(self) -> None:
        """Set up the socket and the writer of outbound bytes."""
        self.transport.bufferSize = READ_SIZE
        self.transport.setTcpNoDelay(True)
        self.outbound_writer = OutboundWriter(self.transport, self._outbound, self.pump)
        self.transport.registerProducer(self.outbound_writer, True)

    def send(self, *pieces: bytes) -> None:
        """Write; nothing is written to a connection that has ended."""
        if self.end_reason is None:
            self.outbound_writer.send(list(pieces))

    def expect(self, count: int) -> None:
        """Deliver the next `count` bytes as one block to `rawDataReceived`."""
        self._block_size, self._takes_parts = count, False
        self.setRawMode()

    def expect_parts(self, count: int) -> None:
        """Deliver the next `count` bytes to `rawDataReceived` in parts, as they come."""
        self._block_size, self._takes_parts = count, True
        self.setRawMode()

    def may_read(self) -> bool:
        """Whether more input may be read now; otherwise it stays with the kernel."""
        return self.inbound.free >= READ_SIZE

    def is_parsing_paused(self) -> bool:
        """Whether received bytes stay in the buffer for now."""
        return False

    def dataReceived(self, data: bytes) -> None:
        """Buffer input and parse what is complete."""
        if self.end_reason is None:
            self.inbound.write(data)
            self.pump()

    def pump(self) -> None:
        """Parse all complete lines and blocks; stop reading while no more may be read."""
        if self._pumping:
            return
        self._pumping = True
        try:
            while self.end_reason is None and not self.is_parsing_paused() and (chunk := self._next_chunk()):
                super().dataReceived(chunk)
        finally:
            self._pumping = False
        if self.end_reason is None and (reading := self.may_read()) != self._reading:
            self._reading = reading
            (self.transport.resumeProducing if reading else self.transport.pauseProducing)()

    def _next_chunk(self) -> bytes:
        if not self.line_mode:
            if self._takes_parts:
                part = self.inbound.read(self._block_size)
                self._block_size -= len(part)
                return part
            return self.inbound.read(self._block_size) if len(self.inbound) >= self._block_size else b""
        end = self.inbound.find(self.delimiter)
        if end < 0 and len(self.inbound) > self.MAX_LENGTH:
            self.close(EndReason.MALFORMED)
        return self.inbound.read(end + len(self.delimiter)) if end >= 0 else b""

    def lineLengthExceeded(self, line: bytes) -> None:
        """Close the connection because of a line over MAX_LENGTH."""
        self.close(EndReason.MALFORMED)

    def close(self, end_reason: EndReason, finish_writing: bool = False) -> None:
        """Close the connection from this side; `connectionLost` follows."""
        if self.end_reason is not None:
            return
        self.end_reason = end_reason
        if finish_writing:
            self.outbound_writer.finish()
            self.transport.unregisterProducer()
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()
