"""Catalog and platform at one address, as a relay meets them: the list, its watch, and notices."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from urllib.parse import parse_qs, urlsplit

from limelatch.standin.http import Connection, Request

LIST_PATH, REPORTS_PATH = "/catalog/members", "/reports"
KEEPALIVE_INTERVAL = 2.0  # seconds after which a watch gets an empty line


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host on the list."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str = "active"
    weight: float = 0.0
    since_ms: int = 0


@dataclass(frozen=True, slots=True)
class Notice:
    """One notice of a relay."""

    text: str
    result: str
    wait_ms: int | None


class AgentHandler:
    """Keeps a list of hosts, tells its changes to whoever watches, takes notices.

    `noticed` is told each notice; `status` is what notices are answered with."""

    def __init__(self, on_notice: Callable[[Notice], None] = lambda notice: None) -> None:
        self.on_notice, self.status = on_notice, 204
        self.rows: dict[str, HostEntry] = {}
        self.index = 1
        self.changed: dict[str, tuple[int, HostEntry]] = {}  # the last change of each host
        self.watches: dict[Connection, int] = {}  # what each has been told
        self.silent = False  # answers nothing about the list, and opens no watch
        self._waiting: list[Request] = []  # that came in a silence, for its end
        self._beat: asyncio.TimerHandle | None = None

    def put(self, *rows: HostEntry) -> None:
        """Add or change hosts; a row whose status is `left` takes its host off the list."""
        self.index += 1
        for row in rows:
            self.changed[row.name] = (self.index, row)
            if row.status == "left":
                self.rows.pop(row.name, None)
            else:
                self.rows[row.name] = row
        self._tell()

    def _tell(self) -> None:
        if self.silent:
            return
        for connection, index in self.watches.items():
            if index < self.index:
                connection.chunk(self._since(index))
                self.watches[connection] = self.index

    def set_silent(self, silent: bool) -> None:
        """Say nothing of the list for a while; afterwards all that has changed is told, and what was asked
        meanwhile is answered."""
        self.silent = silent
        self._tell()
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            if request.connection.open:
                self.request_received(request)

    def _page(self, rows: list[HostEntry], whole: bool) -> bytes:
        page = {"index": self.index, "snapshot": whole, "endpoints": [asdict(row) for row in rows]}
        return json.dumps(page).encode() + b"\n"

    def _since(self, index: int) -> bytes:
        return self._page([row for at, row in self.changed.values() if at > index], False)

    def _quiet(self) -> None:
        for connection in self.watches:
            connection.chunk(b"\n")
        self._beat = (
            asyncio.get_running_loop().call_later(KEEPALIVE_INTERVAL, self._quiet) if self.watches else None
        )

    def connection_opened(self, connection: Connection) -> None:
        pass

    def request_received(self, request: Request) -> None:
        parts = urlsplit(request.target)
        if request.method == "POST" and parts.path == REPORTS_PATH:
            self._report(request)
        elif self.silent:
            self._waiting = [each for each in self._waiting if each.connection.open] + [request]
        elif request.method == "GET" and parts.path == LIST_PATH:
            query = parse_qs(parts.query)
            if query.get("stream") == ["1"]:
                self._watch(request.connection, query.get("index", [""])[0])
            else:
                request.connection.answer(200, self._page(list(self.rows.values()), True))
        else:
            request.connection.answer(404)

    def _watch(self, connection: Connection, word: str) -> None:
        index = int(word) if word.isdigit() else -1
        connection.stream()
        if not 0 <= index <= self.index:  # of another list, or none
            connection.chunk(self._page(list(self.rows.values()), True))
        elif index < self.index:
            connection.chunk(self._since(index))
        self.watches[connection] = self.index
        if self._beat is None:
            self._beat = asyncio.get_running_loop().call_later(KEEPALIVE_INTERVAL, self._quiet)

    def _report(self, request: Request) -> None:
        try:
            rows = [json.loads(line) for line in request.body.splitlines() if line.strip()]
            notices = [Notice(row["ref"], row["result"], row.get("wait_ms")) for row in rows]
        except (ValueError, KeyError, TypeError, AttributeError):
            request.connection.answer(400)
            return
        if self.status == 204:
            for notice in notices:
                self.on_notice(notice)
        request.connection.answer(self.status)

    def unreadable_input(self, connection: Connection) -> None:
        pass

    def connection_closed(self, connection: Connection) -> None:
        self.watches.pop(connection, None)
        if not self.watches and self._beat is not None:
            self._beat.cancel()
            self._beat = None
