"""A host of a destination: takes calls with one text or a batch, and answers as whoever started it says."""

from __future__ import annotations

import json
from base64 import b64decode
from binascii import Error as BadBase64
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from limelatch.standin.http import Connection, Request

ONE, BATCH, PING, LOAD = "/v1/messages", "/v1/messages:batch", "/ping", "/_load"


class State(Enum):
    """A text's end at a host, in a batch's words and as the status of a call with one text."""

    DELIVERED = ("delivered", 200)
    FAILED = ("failed", 500)  # it may have run
    REFUSED = ("refused", 503)
    OVER = ("over", 410)
    SPENT = ("spent", 504)

    @property
    def word(self) -> str:
        return self.value[0]

    @property
    def status(self) -> int:
        return self.value[1]


@dataclass(frozen=True, slots=True)
class Item:
    """One text of a call."""

    id: str
    mark: str
    body: bytes


class BadCall(Exception):
    """The request is no call."""


@dataclass(slots=True, eq=False)
class Call:
    """One call at a host, with one text or several; a probe has none."""

    items: list[Item]
    batch: bool
    at: float
    remaining_ms: float
    connection: Connection
    probe: bool = False

    def answer(
        self,
        states: list[State],
        wait: float | None = None,
        report: dict[str, float] | None = None,
        status: int | None = None,
    ) -> None:
        """End it: a state for each text, in order; `wait` in seconds is told, `status` stands for all."""
        headers = {} if wait is None else {"Retry-After": f"{wait:.3f}"}
        if report:
            headers["X-Pressure"] = ",".join(f"{name}={value:.4g}" for name, value in report.items())
        if status is None and not self.batch:
            status = 429 if states[0] is State.REFUSED and wait is not None else states[0].status
        if status is not None:
            self.connection.answer(status, **headers)
            return
        rows = [{"id": item.id, "state": state.word} for item, state in zip(self.items, states, strict=True)]
        self.connection.answer(200, json.dumps(rows).encode(), **headers)


def remaining(headers: dict[bytes, bytes]) -> float:
    """How long the relay will wait, in milliseconds; 0 where it does not say."""
    raw = headers.get(b"x-remaining", b"").decode("latin-1")
    number, unit = raw[:-1], raw[-1:]
    if not number.isdigit() or unit not in ("m", "u"):
        return 0.0
    return float(number) if unit == "m" else float(number) / 1000


def read_call(request: Request) -> Call:
    """The call that a request makes; BadCall where it makes none."""
    connection, headers = request.connection, request.headers
    if request.method == "GET" and request.target in (PING, LOAD):
        return Call([], False, request.at, 0.0, connection, probe=True)
    if request.method != "POST" or request.target not in (ONE, BATCH):
        raise BadCall(f"{request.method} {request.target}")
    if request.target == ONE:
        text = headers.get(b"x-txn", b"").decode("latin-1")
        if not text:
            raise BadCall("no X-Txn")
        mark = headers.get(b"idempotency-key", b"").decode("latin-1")
        return Call([Item(text, mark, request.body)], False, request.at, remaining(headers), connection)
    try:
        rows = json.loads(request.body)
        items = [Item(row["id"], row.get("key", ""), b64decode(row["body"], validate=True)) for row in rows]
    except (ValueError, KeyError, TypeError, AttributeError, BadBase64) as error:
        raise BadCall(f"batch: {error!r}") from None
    if not items or len({item.id for item in items}) < len(items):
        raise BadCall("an empty batch, or a text twice in it")
    return Call(items, True, request.at, remaining(headers), connection)


class HostFace:
    """A host: `called` is told each call, `lost` of each connection's end, `bad` of what is no call."""

    def __init__(
        self,
        called: Callable[[Call], None],
        lost: Callable[[Connection], None] = lambda connection: None,
        opened: Callable[[Connection], None] = lambda connection: None,
        bad: Callable[[str], None] = lambda why: None,
    ) -> None:
        self.called, self.lost, self.came, self.bad = called, lost, opened, bad

    def opened(self, connection: Connection) -> None:
        self.came(connection)

    def requested(self, request: Request) -> None:
        try:
            call = read_call(request)
        except BadCall as error:
            self.bad(str(error))
            request.connection.answer(400)
            return
        self.called(call)

    def garbled(self, connection: Connection) -> None:
        self.bad("what can't be read")

    def closed(self, connection: Connection) -> None:
        self.lost(connection)
