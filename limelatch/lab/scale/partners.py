"""What stands round one measured relay: a cheap catalog with a long list, and hosts that answer at once.

The list's bytes are made once a size, so that a measuring process beside the relay costs little; control
bytes are counted where they pass, as payload of TCP in both directions.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from limelatch.standin.agent import KEEPALIVE_INTERVAL, LIST_PATH, REPORTS_PATH
from limelatch.standin.host import SINGLE_PATH
from limelatch.standin.http import Connection, Request, Server, answer_bytes

LOOPBACK = "127.0.0.1"
OK, SHUT = answer_bytes(200), answer_bytes(429, headers={"Retry-After": "1800"})
PIECE_EACH = 0.01  # seconds between two pieces of a trickling list
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
KIND, FLOOR = "portal", "a"  # the only ones, in the relay's configuration too


def row_of(number: int, address: str, name: int | None = None) -> bytes:
    """One row of the list: the one host of destination `number`; some 130 bytes, as of a real agent."""
    return (
        f'{{"name":"s-{number if name is None else name:08x}","address":"{address}","zone":"{FLOOR}",'
        f'"type":"{KIND}","group":{number},"status":"active","weight":1.0,"since_ms":0}}'
    ).encode()


class Counted(Connection):
    """Counts its payload with its server."""

    def data_received(self, data: bytes) -> None:
        self.handler.received += len(data)
        super().data_received(data)

    def write(self, raw: bytes) -> None:
        if self.open:
            self.handler.sent += len(raw)
        super().write(raw)


class CountedServer(Server):
    """`received` and `sent`: bytes of payload of all its connections so far."""

    def __init__(self, handler: object, host: str = LOOPBACK) -> None:
        super().__init__(handler, host)
        self.received = self.sent = 0

    def _connection(self) -> Connection:
        connection = Counted(self)
        self.connections.add(connection)
        return connection


class ListFace:
    """Catalog and platform: the whole list, the watch with its changes, and notices, which are counted.

    `trickle`: seconds over which a whole list is written, in even pieces; 0: at once."""

    def __init__(self, rows: list[bytes], trickle: float = 0.0) -> None:
        self.rows, self.trickle, self.index = rows, trickle, 1
        self.objects: list[bytes] = []  # told since the first list: the object of index n + 2 is at n
        self.watches: set[Connection] = set()
        self.whole = self.watched = self.notices = 0  # calls for the whole list, watches opened, notices
        self.whole_sent = 0  # that went out to the last byte
        self._list: bytes | None = None
        self._tasks: set[asyncio.Task] = set()
        self._beat: asyncio.TimerHandle | None = None

    def list_bytes(self) -> bytes:
        """The whole list as an object, as of now."""
        if self._list is None:
            self._list = (
                b'{"index":%d,"snapshot":true,"endpoints":[' % self.index + b",".join(self.rows) + b"]}\n"
            )
        return self._list

    def change(self, places: list[int], rows: list[bytes]) -> int:
        """Tell other rows for these places of the list, in one object; how many bytes that is on the wire."""
        for place, row in zip(places, rows, strict=True):
            self.rows[place] = row
        self.index, self._list = self.index + 1, None
        told = b'{"index":%d,"snapshot":false,"endpoints":[' % self.index + b",".join(rows) + b"]}\n"
        self.objects.append(told)
        return self._tell(told)

    def tell_whole(self) -> int:
        """A whole new list on the watch; how many bytes that is on the wire."""
        self.index, self._list = self.index + 1, None
        self.objects.append(b"")  # whoever held an earlier one is told the whole list
        return self._tell(self.list_bytes())

    def _tell(self, told: bytes) -> int:
        for connection in self.watches:
            connection.chunk(told)
        return len(b"%x\r\n%s\r\n" % (len(told), told)) if self.watches else 0

    def connection_opened(self, connection: Connection) -> None:
        pass

    def request_received(self, request: Request) -> None:
        parts = urlsplit(request.target)
        if request.method == "POST" and parts.path == REPORTS_PATH:
            self.notices += len(request.body.splitlines())
            request.connection.answer(204)
        elif request.method != "GET" or parts.path != LIST_PATH:
            request.connection.answer(404)
        elif (query := parse_qs(parts.query)).get("stream") == ["1"]:
            self._watch(request.connection, query.get("index", [""])[0])
        else:
            self.whole += 1
            body = self.list_bytes()
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            self._write(request.connection, head + body, lambda: None)

    def _watch(self, connection: Connection, word: str) -> None:
        self.watched += 1
        since = int(word) if word.isdigit() else -1
        missed = self.objects[since - 1 :] if 1 <= since <= self.index else [b""]
        if all(missed):
            connection.write(WATCH_HEAD)
            for told in missed:
                connection.chunk(told)
            self._watches(connection)
        else:  # of another list, or none
            body = self.list_bytes()
            self._write(
                connection,
                WATCH_HEAD + b"%x\r\n%s\r\n" % (len(body), body),
                lambda: self._watches(connection),
            )

    def _watches(self, connection: Connection) -> None:
        self.watches.add(connection)
        if self._beat is None:
            self._beat = asyncio.get_running_loop().call_later(KEEPALIVE_INTERVAL, self._quiet)

    def _quiet(self) -> None:
        for connection in self.watches:
            connection.chunk(b"\n")
        self._beat = (
            asyncio.get_running_loop().call_later(KEEPALIVE_INTERVAL, self._quiet) if self.watches else None
        )

    def _write(self, connection: Connection, raw: bytes, then: Callable[[], None]) -> None:
        if not self.trickle:
            connection.write(raw)
            self.whole_sent += 1
            then()
        else:
            task = asyncio.get_running_loop().create_task(self._in_pieces(connection, raw, then))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _in_pieces(self, connection: Connection, raw: bytes, then: Callable[[], None]) -> None:
        loop, size = asyncio.get_running_loop(), len(raw)
        began, at = loop.time(), 0
        while at < size and connection.open:
            upto = min(size, max(at + 1, round(size * (loop.time() - began) / self.trickle)))
            connection.write(raw[at:upto])
            at = upto
            await asyncio.sleep(PIECE_EACH)
        if connection.open:
            self.whole_sent += 1
            then()

    def unreadable_input(self, connection: Connection) -> None:
        pass

    def connection_closed(self, connection: Connection) -> None:
        self.watches.discard(connection)
        if not self.watches and self._beat is not None:
            self._beat.cancel()
            self._beat = None


class AnswerFace:
    """Hosts at one address that give every call the same answer at once; `texts` are the ids that came."""

    def __init__(self, answer: bytes) -> None:
        self.answer, self.texts, self.calls = answer, set[bytes](), 0
        self._waiter: tuple[int, asyncio.Future] | None = None

    def connection_opened(self, connection: Connection) -> None:
        pass

    def request_received(self, request: Request) -> None:
        if request.target != SINGLE_PATH:
            request.connection.answer(400)
            return
        self.calls += 1
        self.texts.add(request.headers.get(b"x-txn", b""))
        request.connection.write(self.answer)
        if self._waiter is not None and len(self.texts) >= self._waiter[0] and not self._waiter[1].done():
            self._waiter[1].set_result(None)

    def unreadable_input(self, connection: Connection) -> None:
        pass

    def connection_closed(self, connection: Connection) -> None:
        pass

    async def reach(self, texts: int, seconds: float) -> bool:
        """Wait until so many different texts have come, for `seconds` at the most; whether they have."""
        if len(self.texts) < texts:
            self._waiter = texts, asyncio.get_running_loop().create_future()
            try:
                await asyncio.wait_for(self._waiter[1], seconds)
            except TimeoutError:
                return False
            finally:
                self._waiter = None
        return True


class Refusing:
    """An address that refuses every connection: bound, so that nobody else gets it, and never listened on."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.bind((LOOPBACK, 0))
        self.address = f"{LOOPBACK}:{self._socket.getsockname()[1]}"

    def close(self) -> None:
        self._socket.close()
