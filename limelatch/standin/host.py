"""A stand-in for a host of a destination, which receives calls with one text or a batch of texts."""

from __future__ import annotations

import json
from base64 import b64decode
from binascii import Error as BadBase64
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from limelatch.standin.http import Connection, Request

SINGLE_PATH = "/v1/messages"
BATCH_PATH = "/v1/messages:batch"
PING_PATH = "/ping"
LOAD_PATH = "/_load"


class TextState(Enum):
    """The result of a text at a host: its name in a batch answer, and its status for a single text."""

    DELIVERED = ("delivered", 200)
    FAILED = ("failed", 500)  # the text may have run
    REFUSED = ("refused", 503)
    OVER = ("over", 410)
    SPENT = ("spent", 504)

    @property
    def word(self) -> str:
        """The state's name in a batch answer."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status of a call with one text."""
        return self.value[1]


@dataclass(frozen=True, slots=True)
class CallText:
    """One text in a call."""

    id: str
    idempotency_key: str
    body: bytes


class BadCall(Exception):
    """The request is not a valid call."""


@dataclass(slots=True, eq=False)
class Call:
    """One call at a host, with one text or several; a probe has none.

    `at`: the loop's clock when the request was complete. `remaining_ms`: how long the relay still waits."""

    texts: list[CallText]
    batch: bool
    at: float
    remaining_ms: float
    connection: Connection
    is_probe: bool = False

    def answer(
        self,
        states: list[TextState],
        wait: float | None = None,
        report: dict[str, float] | None = None,
        status: int | None = None,
    ) -> None:
        """Answer the call with one state for each text, in order.

        `wait`: seconds for Retry-After. `report`: values for X-Pressure. `status`: an HTTP status that
        answers the whole call in place of the states."""
        headers = {} if wait is None else {"Retry-After": f"{wait:.3f}"}
        if report:
            headers["X-Pressure"] = ",".join(f"{name}={value:.4g}" for name, value in report.items())
        if status is None and not self.batch:
            status = 429 if states[0] is TextState.REFUSED and wait is not None else states[0].status
        if status is not None:
            self.connection.answer(status, **headers)
            return
        rows = [{"id": text.id, "state": state.word} for text, state in zip(self.texts, states, strict=True)]
        self.connection.answer(200, json.dumps(rows).encode(), **headers)


def remaining(headers: dict[bytes, bytes]) -> float:
    """How long the relay will wait, in milliseconds, by X-Remaining; 0 without a valid header."""
    raw = headers.get(b"x-remaining", b"").decode("latin-1")
    number, unit = raw[:-1], raw[-1:]
    if not number.isdigit() or unit not in ("m", "u"):
        return 0.0
    return float(number) if unit == "m" else float(number) / 1000


def read_call(request: Request) -> Call:
    """The call in a request. Raises BadCall where the request is not a valid call."""
    connection, headers = request.connection, request.headers
    if request.method == "GET" and request.target in (PING_PATH, LOAD_PATH):
        return Call([], False, request.at, 0.0, connection, is_probe=True)
    if request.method != "POST" or request.target not in (SINGLE_PATH, BATCH_PATH):
        raise BadCall(f"{request.method} {request.target}")
    if request.target == SINGLE_PATH:
        text_id = headers.get(b"x-txn", b"").decode("latin-1")
        if not text_id:
            raise BadCall("no X-Txn")
        idempotency_key = headers.get(b"idempotency-key", b"").decode("latin-1")
        return Call(
            [CallText(text_id, idempotency_key, request.body)],
            False,
            request.at,
            remaining(headers),
            connection,
        )
    try:
        rows = json.loads(request.body)
        texts = [
            CallText(row["id"], row.get("key", ""), b64decode(row["body"], validate=True)) for row in rows
        ]
    except (ValueError, KeyError, TypeError, AttributeError, BadBase64) as error:
        raise BadCall(f"batch: {error!r}") from None
    if not texts or len({text.id for text in texts}) < len(texts):
        raise BadCall("the batch is empty, or has the same text twice")
    return Call(texts, True, request.at, remaining(headers), connection)


class HostHandler:
    """Passes events of a host's connections to callbacks.

    `on_call` gets each valid call, `on_bad_request` the reason why another request is not one (it is answered
    with 400), `on_opened` and `on_closed` each connection that opens or closes."""

    def __init__(
        self,
        on_call: Callable[[Call], None],
        on_closed: Callable[[Connection], None] = lambda connection: None,
        on_opened: Callable[[Connection], None] = lambda connection: None,
        on_bad_request: Callable[[str], None] = lambda why: None,
    ) -> None:
        self.on_call, self.on_closed, self.on_opened, self.on_bad_request = (
            on_call,
            on_closed,
            on_opened,
            on_bad_request,
        )

    def connection_opened(self, connection: Connection) -> None:
        """Pass on a new connection."""
        self.on_opened(connection)

    def request_received(self, request: Request) -> None:
        """Pass on a call; answer 400 to anything else."""
        try:
            call = read_call(request)
        except BadCall as error:
            self.on_bad_request(str(error))
            request.connection.answer(400)
            return
        self.on_call(call)

    def unreadable_input(self, connection: Connection) -> None:
        """Pass on that a connection sent input that is not HTTP."""
        self.on_bad_request("unreadable input")

    def connection_closed(self, connection: Connection) -> None:
        """Pass on the end of a connection."""
        self.on_closed(connection)
