"""HTTP/1.1 client protocol: one request at a time on a persistent connection (RFC 9110, RFC 9112)."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from limelatch.relay.end_reason import EndReason
from limelatch.relay.line_receiver import BufferedLineReceiver, unread_bytes

STATUS_LINE_PATTERN = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9][0-9])(?: .*)?\Z")
HEADER_PATTERN = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)\Z")
LENGTH_PATTERN = re.compile(rb"[0-9]{1,15}\Z")
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
MAX_HEAD_SIZE = 16 * 1024  # bytes of a response's heads and trailers, interim responses included
MAX_HEADERS = 128  # of a response
MAX_SURPLUS_SHOWN = 1024  # bytes of a surplus response that a subclass gets to see


@dataclass(slots=True)
class Response:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes] = field(default_factory=dict)
    keep_alive: bool = True


def read_headers(head: bytes) -> dict[bytes, bytes]:
    """The headers of a response that starts with `head`, names in lower case; none if it isn't whole."""
    lines = head.partition(b"\r\n\r\n")[0].split(b"\r\n") if b"\r\n\r\n" in head else []
    if not lines or not STATUS_LINE_PATTERN.match(lines[0]):
        return {}
    matches = [HEADER_PATTERN.match(line) for line in lines[1:]]
    return {match[1].lower(): match[2].strip() for match in matches if match}


def request_head(
    method: str, target: str, host: str, length: int | None, headers: list[tuple[str, str]]
) -> bytes:
    """A request's head, up to and with the empty line; `length`: bytes of the body, None without a body."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"] + [f"{name}: {value}" for name, value in headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class HttpClientProtocol(BufferedLineReceiver):
    """Parses responses and calls the hooks of a subclass: `response_started`, `body_received`,
    `response_received`, `connection_ended`."""

    def __init__(self, max_body_size: int, outbound: int, part_size: int | None = None) -> None:
        """`max_body_size`, `outbound`: bytes that may be buffered in each direction. With `part_size`, a body
        of any length goes to `body_received` in parts of at most that many bytes; without it, the body is
        collected for `response_received`."""
        super().__init__(max_body_size, outbound)
        self.max_body_size, self._part_size = max_body_size, part_size
        self._remaining = 0  # bytes of the body, or of its current chunk, still to come
        self.awaiting_response = False  # a request has been sent
        self.use_count = 0  # requests sent on this connection
        self.has_surplus = False  # more has come than the responses to its requests
        self.response: Response | None = None
        self._body = bytearray()
        self._head_size = 0  # bytes of the heads so far
        self._read_line = self._read_status

    def send_request(self, *pieces: bytes) -> None:
        """Send a complete request, head and body."""
        self.awaiting_response, self.response, self._body = True, None, bytearray()
        self._read_line, self._head_size = self._read_status, 0
        self.use_count += 1
        self.send(*pieces)

    def response_started(self) -> None:
        """The status line of a response has arrived, or that of an interim response."""

    def response_received(self, response: Response, body: bytes) -> None:
        """A complete response has arrived."""
        raise NotImplementedError

    def body_received(self, part: bytes) -> bool:
        """Part of a body that arrives in parts or chunks; True if the subclass consumed it."""
        return False

    def surplus_received(self, data: bytes) -> None:
        """Bytes have arrived that no request asked for: behind a complete response, or between two requests.

        `data`: at most MAX_SURPLUS_SHOWN of them. The connection is not reused."""

    def connection_ended(self, end_reason: EndReason) -> None:
        """The connection has ended, whichever side closed it."""
        raise NotImplementedError

    def dataReceived(self, data: bytes) -> None:
        """Parse a response; bytes that no request asked for end the connection."""
        if self.end_reason is not None:
            return
        is_unsent = self.use_count > 1 and not self.outbound_writer.is_sent
        if not self.awaiting_response or is_unsent:
            self._note_surplus(data)
            self.close(EndReason.NOT_RESENT if self.awaiting_response else EndReason.SURPLUS)
            return
        super().dataReceived(data)

    def _note_surplus(self, data: bytes) -> None:
        self.has_surplus = True
        self.surplus_received(data[:MAX_SURPLUS_SHOWN])

    def lineReceived(self, line: bytes) -> None:
        """Parse a line of a head, a chunk or a trailer."""
        if self._read_line not in (self._read_chunk_size, self._read_chunk_end):
            self._head_size += len(line) + 2
        if not self.awaiting_response or self._head_size > MAX_HEAD_SIZE:
            self.close(EndReason.MALFORMED)  # an unsolicited response, or a head that does not end
        else:
            self._read_line(line)

    def _read_status(self, line: bytes) -> None:
        match = STATUS_LINE_PATTERN.match(line)
        if match is None:
            self.close(EndReason.MALFORMED)
            return
        self.response = Response(int(match[2]), keep_alive=match[1] == b"1")
        self._read_line = self._read_header
        self.response_started()

    def _read_header(self, line: bytes) -> None:
        if not line:
            self._end_headers()
            return
        match = HEADER_PATTERN.match(line)
        name, value = (match[1].lower(), match[2].strip()) if match else (b"", b"")
        if not match or name in FRAMING_HEADERS and self.response.headers.get(name, value) != value:
            self.close(EndReason.MALFORMED)  # not a header, or two lengths: the response's end is unknown
            return
        if len(self.response.headers) >= MAX_HEADERS:
            self.close(EndReason.MALFORMED)
            return
        self.response.headers[name] = value

    def _end_headers(self) -> None:
        headers, status = self.response.headers, self.response.status
        if status < 200:  # an interim response
            self._read_line, self.response = self._read_status, None
            return
        options = [word.strip() for word in headers.get(b"connection", b"").lower().split(b",")]
        self.response.keep_alive = b"close" not in options and (
            self.response.keep_alive or b"keep-alive" in options
        )
        if status in (204, 304):
            self._finish_response()
        elif (transfer_coding := headers.get(b"transfer-encoding")) is not None:
            if transfer_coding.lower() != b"chunked" or b"content-length" in headers:
                self.close(EndReason.MALFORMED)
            self._read_line = self._read_chunk_size
        elif (length := headers.get(b"content-length")) is None:
            self.response.keep_alive = False  # the body lasts until the connection ends, and is not needed
            self._finish_response(has_end=False)
        elif not LENGTH_PATTERN.match(length) or self._is_too_long(int(length)):
            self.close(EndReason.MALFORMED)
        elif int(length):
            self._read_line = None
            self._expect_part(int(length))
        else:
            self._finish_response()

    def _read_chunk_size(self, line: bytes) -> None:
        size = line.partition(b";")[0].strip()
        if not re.fullmatch(rb"[0-9a-fA-F]{1,8}", size) or self._is_too_long(int(size, 16)):
            self.close(EndReason.MALFORMED)
        elif int(size, 16):
            self._read_line = self._read_chunk_end
            self._expect_part(int(size, 16))
        else:
            self._read_line = self._read_trailer

    def _is_too_long(self, length: int) -> bool:
        return self._part_size is None and length > self.max_body_size

    def _expect_part(self, left: int) -> None:
        part = left if self._part_size is None else min(left, self._part_size)
        self._remaining = left - part
        self.expect(part)

    def _read_chunk_end(self, line: bytes) -> None:
        self._read_line = self._read_chunk_size
        if line:
            self.close(EndReason.MALFORMED)

    def _read_trailer(self, line: bytes) -> None:
        if not line:
            self._finish_response()

    def rawDataReceived(self, data: bytes) -> None:
        """Take part of the body: pass it on or collect it."""
        self.setLineMode()
        by_length = self._read_line is None
        if by_length and self._part_size is None or not self.body_received(data):
            self._body += data
            if len(self._body) > self.max_body_size:
                self.close(EndReason.MALFORMED)
        if self.end_reason is not None:
            return
        if self._remaining:
            self._expect_part(self._remaining)
        elif by_length:
            self._finish_response()

    def _finish_response(self, has_end: bool = True) -> None:
        """Pass on the response. Without `has_end` what follows may be its body."""
        response, body, self.awaiting_response = self.response, bytes(self._body), False
        self._body, self._read_line = bytearray(), self._read_status
        if has_end and (surplus := self.unread()):
            self._note_surplus(surplus)
        self.response_received(response, body)

    def unread(self) -> bytes | None:
        """Bytes that have come and are not parsed yet, MAX_SURPLUS_SHOWN at the most.

        Empty if the peer has ended the connection; None if nothing has come."""
        if self.inbound:
            return self.inbound.peek(MAX_SURPLUS_SHOWN)
        return unread_bytes(self.transport, MAX_SURPLUS_SHOWN)

    def connectionLost(self, reason) -> None:
        """Call `connection_ended` with the reason."""
        if self.end_reason is None:
            self.end_reason = (
                EndReason.CONNECTION_LOST if self.awaiting_response else EndReason.CLOSED_BY_PEER
            )
        self.connection_ended(self.end_reason)
