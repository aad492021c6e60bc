"""What both processes of the sockets stage share: a clock in real time, bodies of texts, their messages."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from limelatch.interface import SECOND

STAGE = "sockets"
ALLOWANCES = {"limit": 500, "wait": 1000, "restart": 15_000, "answer": 3000, "arrival": 1}  # the protocol's
BEAT = 0.01  # seconds between two looks at how late the loop is


class RealClock:
    """Ticks since the origin, 0 before it; every process of the machine with that origin reads the same."""

    def __init__(self, origin: float) -> None:
        self.origin = origin
        self.loop = asyncio.get_running_loop()

    def now(self) -> int:
        return int(max(0.0, time.monotonic() - self.origin) * SECOND)

    def at(self, when: int, call: Callable[..., None], *arguments: object) -> None:
        delay = self.origin + when / SECOND - time.monotonic()
        if delay <= 0:
            self.loop.call_soon(call, *arguments)
        else:
            self.loop.call_later(delay, call, *arguments)


class Heartbeat:
    """Tells how late this process's loop is, some hundred times a second."""

    def __init__(self, told: Callable[[int], None]) -> None:
        self.told, self.due = told, time.monotonic() + BEAT
        self.loop = asyncio.get_running_loop()
        self.handle = self.loop.call_later(BEAT, self._beat)

    def _beat(self) -> None:
        now = time.monotonic()
        self.told(max(0, int((now - self.due) * SECOND)))
        self.due = now + BEAT
        self.handle = self.loop.call_later(BEAT, self._beat)

    def stop(self) -> None:
        self.handle.cancel()


class TextMark(msgspec.Struct, frozen=True):
    """What an endpoint has to know of a text. `play`: the address of the play that it belongs to."""

    product: int
    first: str
    relay: int
    play: str


class NotOurs(ValueError):
    """A text of another play, or of none."""


def body_of(mark: TextMark, size: int) -> bytes:
    """A text's body: its mark, filled up to the size wanted."""
    head = f"{mark.product} {mark.first} {mark.relay} {mark.play}\n".encode()
    return head + b"." * max(0, size - len(head))


def read_body(body: bytes, play: str) -> TextMark:
    """The mark in a body of this play. Raises NotOurs."""
    try:
        product, first, relay, found = body.partition(b"\n")[0].decode().split(" ")
        mark = TextMark(int(product), first, int(relay), found)
    except ValueError:
        raise NotOurs("no body of a play") from None
    if mark.play != play:
        raise NotOurs(f"a text of the play at {mark.play[:15]}")
    return mark


class Begin(msgspec.Struct, frozen=True, tag="begin"):
    """What the load is started with: where the relays listen, where its part of the record goes, its play."""

    scenario: dict
    seed: int
    relays: list[str]
    target: str
    play: str


class Go(msgspec.Struct, frozen=True, tag="go"):
    """The run begins at this time of the machine's monotonic clock, in seconds."""

    origin: float


class Nacked(msgspec.Struct, frozen=True, tag="nacked"):
    """A notice: the text was nacked, and may come again after so many ticks."""

    text: str
    wait: int


class Wiped(msgspec.Struct, frozen=True, tag="wiped"):
    """A relay and its folder are lost: what it held comes again, but for what may have run."""

    relay: int
    ran: list[str]


class Finish(msgspec.Struct, frozen=True, tag="finish"):
    """The run is over."""


class Ready(msgspec.Struct, frozen=True, tag="ready"):
    """The load has drawn its texts and waits for `Go`."""


class Done(msgspec.Struct, frozen=True, tag="done"):
    """All texts have come, and none of them waits to come again."""

    texts: int


class Progressed(msgspec.Struct, frozen=True, tag="progressed"):
    """How much of the arrivals is over, and how many texts the relays have taken on."""

    part: float
    taken: int


Order = Begin | Go | Nacked | Wiped | Finish
News = Ready | Done | Progressed


def line_of(message: Order | News) -> bytes:
    return msgspec.json.encode(message) + b"\n"


def read_order(line: bytes) -> Order:
    return msgspec.json.decode(line, type=Order)


def read_news(line: bytes) -> News:
    return msgspec.json.decode(line, type=News)
