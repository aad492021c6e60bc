"""A stand-in for the catalog and the platform at one address: the host list, its watch, and notices."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from urllib.parse import parse_qs, urlsplit

from limelatch.standin.http import Connection, Request

LIST_PATH = "/catalog/members"
REPORTS_PATH = "/reports"
KEEPALIVE_INTERVAL = 2.0  # seconds between the empty lines that keep a watch alive


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host on the list, with the fields that the catalog sends."""

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
    """One notice from a relay: the final answer for a text."""

    text: str
    result: str
    wait_ms: int | None


class AgentHandler:
    """Keeps a list of hosts, sends its changes to the watches, and accepts notices.

    `on_notice` is called with each notice; `status` is the HTTP status that notices are answered with."""

    def __init__(self, on_notice: Callable[[Notice], None] = lambda notice: None) -> None:
        self.on_notice, self.status = on_notice, 204
        self.rows: dict[str, HostEntry] = {}
        self.index = 1
        self.changed: dict[str, tuple[int, HostEntry]] = {}  # the last change of each host
        self.watches: dict[Connection, int] = {}  # the index that each has been sent
        self.silent = False  # requests for the list and watches stay unanswered
        self._waiting: list[Request] = []  # requests to answer once the silence ends
        self._keepalive_timer: asyncio.TimerHandle | None = None

    def put(self, *rows: HostEntry) -> None:
        """Add or change hosts; a row whose status is `left` takes its host off the list."""
        self.index += 1
        for row in rows:
            self.changed[row.name] = (self.index, row)
            if row.status == "left":
                self.rows.pop(row.name, None)
            else:
                self.rows[row.name] = row
        self._send_changes()

    def _send_changes(self) -> None:
        if self.silent:
            return
        for connection, index in self.watches.items():
            if index < self.index:
                connection.chunk(self._changes_since(index))
                self.watches[connection] = self.index

    def set_silent(self, silent: bool) -> None:
        """Begin or end a silence about the list.

        Its end sends all changes to the watches and answers the requests that arrived meanwhile."""
        self.silent = silent
        self._send_changes()
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            if request.connection.open:
                self.request_received(request)

    def _page(self, rows: list[HostEntry], whole: bool) -> bytes:
        page = {"index": self.index, "snapshot": whole, "endpoints": [asdict(row) for row in rows]}
        return json.dumps(page).encode() + b"\n"

    def _changes_since(self, index: int) -> bytes:
        return self._page([row for at, row in self.changed.values() if at > index], False)

    def _send_keepalive(self) -> None:
        for connection in self.watches:
            connection.chunk(b"\n")
        self._keepalive_timer = (
            asyncio.get_running_loop().call_later(KEEPALIVE_INTERVAL, self._send_keepalive)
            if self.watches
            else None
        )

    def connection_opened(self, connection: Connection) -> None:
        """Nothing to do: a connection counts once it opens a watch."""
        pass

    def request_received(self, request: Request) -> None:
        """Answer a request for the list, a watch or notices; 404 for anything else."""
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
        if not 0 <= index <= self.index:  # the index belongs to another list, or is missing
            connection.chunk(self._page(list(self.rows.values()), True))
        elif index < self.index:
            connection.chunk(self._changes_since(index))
        self.watches[connection] = self.index
        if self._keepalive_timer is None:
            self._keepalive_timer = asyncio.get_running_loop().call_later(
                KEEPALIVE_INTERVAL, self._send_keepalive
            )

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
        """Nothing to do: the connection is closed by its own class."""
        pass

    def connection_closed(self, connection: Connection) -> None:
        """Forget its watch; without watches no keep-alive is sent."""
        self.watches.pop(connection, None)
        if not self.watches and self._keepalive_timer is not None:
            self._keepalive_timer.cancel()
            self._keepalive_timer = None
