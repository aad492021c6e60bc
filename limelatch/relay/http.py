"""HTTP/1.1 from the client's side: one request at a time on a kept connection (RFC 9110, RFC 9112)."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from limelatch.relay.end_reason import EndReason
from limelatch.relay.line_receiver import RingLines

STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9][0-9])(?: .*)?\Z")
HEADER = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)\Z")
LENGTH = re.compile(rb"[0-9]{1,15}\Z")
FRAMING = (b"content-length", b"transfer-encoding")
HEAD_MOST = 16 * 1024  # bytes of an answer's heads and trailers, interim answers included


@dataclass(slots=True)
class Response:
    """Status and headers, their names in lower case."""

    status: int
    headers: dict[bytes, bytes] = field(default_factory=dict)
    keep_alive: bool = True


def request_head(
    method: str, target: str, host: str, length: int | None, headers: list[tuple[str, str]]
) -> bytes:
    """A request up to its body."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"] + [f"{name}: {value}" for name, value in headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class HttpClientProtocol(RingLines):
    """Reads answers; a subclass takes what comes: `answered`, `body_part`, `ended`.

    `parts`: a body of any length comes to `body_part`, at most so many bytes at once; else it is kept, up to
    `body_most`, for `answered`."""

    def __init__(self, body_most: int, outbound: int, parts: int | None = None) -> None:
        super().__init__(body_most, outbound)
        self.body_most, self._parts = body_most, parts
        self._left = 0  # bytes of the body, or of its chunk, that are still to come
        self.awaiting_response = False  # a request is out
        self.response: Response | None = None
        self._body: list[bytes] = []
        self._held = self._head = 0  # bytes of this answer's body that are kept, and of its heads so far
        self._step = self._status

    def send_request(self, *pieces: bytes) -> None:
        """Send a whole request."""
        self.awaiting_response, self.response, self._body, self._step = True, None, [], self._status
        self._held = self._head = 0
        self.send(*pieces)

    def response_started(self) -> None:
        """The first line of an answer has come; that of an interim one too."""

    def response_received(self, response: Response, body: bytes) -> None:
        """A whole answer has come."""
        raise NotImplementedError

    def body_received(self, part: bytes) -> bool:
        """Part of a body that comes in parts or in chunks; True if it was used up."""
        return False

    def connection_ended(self, end_reason: EndReason) -> None:
        """The connection is over."""
        raise NotImplementedError

    def lineReceived(self, line: bytes) -> None:
        if self._step not in (self._chunk_size, self._chunk_end):
            self._head += len(line) + 2
        if not self.awaiting_response or self._head > HEAD_MOST:
            self.close(EndReason.MALFORMED)  # an answer that nobody asked for, or a head that does not end
        else:
            self._step(line)

    def _status(self, line: bytes) -> None:
        match = STATUS_LINE.match(line)
        if match is None:
            self.close(EndReason.MALFORMED)
            return
        self.response = Response(int(match[2]), keep_alive=match[1] == b"1")
        self._step = self._header
        self.response_started()

    def _header(self, line: bytes) -> None:
        if not line:
            self._headers_end()
            return
        match = HEADER.match(line)
        name, value = (match[1].lower(), match[2].strip()) if match else (b"", b"")
        if not match or name in FRAMING and self.response.headers.get(name, value) != value:
            self.close(EndReason.MALFORMED)  # no header, or two lengths: nobody knows where the answer ends
            return
        self.response.headers[name] = value

    def _headers_end(self) -> None:
        headers, status = self.response.headers, self.response.status
        if status < 200:  # an interim answer
            self._step, self.response = self._status, None
            return
        options = [word.strip() for word in headers.get(b"connection", b"").lower().split(b",")]
        self.response.keep_alive = b"close" not in options and (
            self.response.keep_alive or b"keep-alive" in options
        )
        if status in (204, 304):
            self._whole()
        elif (coding := headers.get(b"transfer-encoding")) is not None:
            if coding.lower() != b"chunked" or b"content-length" in headers:
                self.close(EndReason.MALFORMED)
            self._step = self._chunk_size
        elif (length := headers.get(b"content-length")) is None:
            self.response.keep_alive = False  # the body lasts until the connection ends, and nobody needs it
            self._whole()
        elif not LENGTH.match(length) or self._too_long(int(length)):
            self.close(EndReason.MALFORMED)
        elif int(length):
            self._step = None
            self._expect_part(int(length))
        else:
            self._whole()

    def _chunk_size(self, line: bytes) -> None:
        size = line.partition(b";")[0].strip()
        if not re.fullmatch(rb"[0-9a-fA-F]{1,8}", size) or self._too_long(int(size, 16)):
            self.close(EndReason.MALFORMED)
        elif int(size, 16):
            self._step = self._chunk_end
            self._expect_part(int(size, 16))
        else:
            self._step = self._trailer

    def _too_long(self, length: int) -> bool:
        return self._parts is None and length > self.body_most

    def _expect_part(self, left: int) -> None:
        part = left if self._parts is None else min(left, self._parts)
        self._left = left - part
        self.expect(part)

    def _chunk_end(self, line: bytes) -> None:
        self._step = self._chunk_size
        if line:
            self.close(EndReason.MALFORMED)

    def _trailer(self, line: bytes) -> None:
        if not line:
            self._whole()

    def rawDataReceived(self, data: bytes) -> None:
        self.setLineMode()
        by_length = self._step is None
        if by_length and self._parts is None or not self.body_received(data):
            self._body.append(data)
            self._held += len(data)
            if self._held > self.body_most:
                self.close(EndReason.MALFORMED)
        if self.end_reason is not None:
            return
        if self._left:
            self._expect_part(self._left)
        elif by_length:
            self._whole()

    def _whole(self) -> None:
        response, body, self.awaiting_response = self.response, b"".join(self._body), False
        self._body, self._step = [], self._status
        self.response_received(response, body)

    def connectionLost(self, reason) -> None:
        if self.end_reason is None:
            self.end_reason = (
                EndReason.CONNECTION_LOST if self.awaiting_response else EndReason.CLOSED_BY_PEER
            )
        self.connection_ended(self.end_reason)
