"""An HTTP/1.1 server for stand-ins, which can also hang, reset connections or send invalid bytes."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass
from typing import Protocol

import httptools

REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
BACKLOG_FILLERS = 3  # connections that fill the accept queue of a socket that listens with backlog 0
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with no time: closing the socket sends a reset


@dataclass(slots=True, eq=False)
class Request:
    """One complete request; `at` is the loop's clock when its last byte arrived."""

    method: str
    target: str
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes
    at: float
    connection: Connection


class Handler(Protocol):
    """Receives the events of a server's connections."""

    def connection_opened(self, connection: Connection) -> None:
        """A connection was established; the handler may close it at once."""

    def request_received(self, request: Request) -> None:
        """A complete request arrived; the handler answers it now, later or never."""

    def connection_closed(self, connection: Connection) -> None:
        """The connection was closed by either side."""

    def unreadable_input(self, connection: Connection) -> None:
        """Input that is not HTTP arrived; the connection is closed afterwards."""


def answer_bytes(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """The bytes of a complete response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Connection(asyncio.Protocol):
    """One connection to a stand-in, with what it can do to the client."""

    def __init__(self, handler: Handler) -> None:
        self.handler, self.open, self.transport = handler, False, None
        self.parser = httptools.HttpRequestParser(self)
        self.loop = asyncio.get_running_loop()
        self.requests = 0
        self._clear()

    def _clear(self) -> None:
        self._target, self._headers, self._body = "", {}, []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.open = transport, True
        self.handler.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.open:
                self.handler.unreadable_input(self)
                self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False
        self.handler.connection_closed(self)

    # Callbacks of the HTTP parser.

    def on_url(self, url: bytes) -> None:
        self._target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        request = Request(
            self.parser.get_method().decode(),
            self._target,
            self._headers,
            b"".join(self._body),
            self.loop.time(),
            self,
        )
        self.requests += 1
        self._clear()
        self.handler.request_received(request)

    # Actions for handlers.

    def write(self, raw: bytes) -> None:
        """Send raw bytes, if the connection is still open."""
        if self.open:
            self.transport.write(raw)

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Send a complete response; an underscore in a header's keyword stands for a hyphen."""
        self.write(
            answer_bytes(status, body, {name.replace("_", "-"): value for name, value in headers.items()})
        )

    def stream(self) -> None:
        """Start a chunked response that stays open."""
        self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def chunk(self, raw: bytes) -> None:
        """Send one chunk of a chunked response."""
        self.write(b"%x\r\n%s\r\n" % (len(raw), raw))

    def close(self) -> None:
        """Close the connection in an orderly way."""
        if self.open:
            self.open = False
            self.transport.close()

    def reset(self) -> None:
        """Reset the connection, as the kernel does for a process that died."""
        if self.open:
            self.open = False
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.transport.abort()


class Server:
    """Serves a handler at one address; it can go down like a process that died, and start again there."""

    def __init__(self, handler: Handler, host: str = "127.0.0.1", port: int = 0) -> None:
        self.handler, self.host, self.port = handler, host, port
        self.connections: set[Connection] = set()
        self._server: asyncio.Server | None = None
        self._backlog_sockets: list[socket.socket] = []

    @property
    def address(self) -> str:
        """The address as HOST:PORT."""
        return f"{self.host}:{self.port}"

    def make_connection(self) -> Connection:
        """A new connection; subclasses make others."""
        return Connection(self)

    def _connection(self) -> Connection:
        connection = self.make_connection()
        self.connections.add(connection)
        return connection

    async def start(self) -> None:
        """Listen, on the port of an earlier start if there was one; also ends `stop_accepting`."""
        self._close()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._connection, self.host, self.port, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    def down(self) -> None:
        """Refuse new connections and reset the open ones."""
        self._close()
        for connection in list(self.connections):
            connection.reset()

    def _close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        while self._backlog_sockets:
            self._backlog_sockets.pop().close()

    def stop_accepting(self) -> None:
        """Let new connections hang until `start`: the accept queue is full, and the kernel drops their SYNs.

        Open connections stay as they are."""
        self._close()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(0)
        self._backlog_sockets.append(listener)
        for _ in range(BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._backlog_sockets.append(filler)

    # Events of the connections, passed on to the handler; the server keeps the set of open connections.

    def connection_opened(self, connection: Connection) -> None:
        self.handler.connection_opened(connection)

    def request_received(self, request: Request) -> None:
        self.handler.request_received(request)

    def unreadable_input(self, connection: Connection) -> None:
        self.handler.unreadable_input(connection)

    def connection_closed(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.handler.connection_closed(connection)
