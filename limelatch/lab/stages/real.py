"""Shared by both processes of the sockets stage: the real-time clock, bodies of texts, and their messages."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from limelatch.interface import SECOND

STAGE = "sockets"
ALLOWANCES = {"limit": 500, "wait": 1000, "restart": 15_000, "answer": 3000, "arrival": 1}  # ticks
BEAT = 0.01  # seconds between two measurements of the loop's delay


class RealClock:
    """Ticks since the origin, 0 before it; the same in every process of the machine with that origin."""

    def __init__(self, origin: float) -> None:
        self.origin = origin
        self.loop = asyncio.get_running_loop()

    def now(self) -> int:
        """Returns the time in ticks."""
        return int(max(0.0, time.monotonic() - self.origin) * SECOND)

    def at(self, when: int, call: Callable[..., None], *arguments: object) -> None:
        """Schedules a call for time `when`, or for now if that is past."""
        delay = self.origin + when / SECOND - time.monotonic()
        if delay <= 0:
            self.loop.call_soon(call, *arguments)
        else:
            self.loop.call_later(delay, call, *arguments)


class Heartbeat:
    """Reports the delay of this process's event loop in ticks, about a hundred times per second."""

    def __init__(self, report: Callable[[int], None]) -> None:
        self.report, self.due = report, time.monotonic() + BEAT
        self.loop = asyncio.get_running_loop()
        self.handle = self.loop.call_later(BEAT, self._beat)

    def _beat(self) -> None:
        now = time.monotonic()
        self.report(max(0, int((now - self.due) * SECOND)))
        self.due = now + BEAT
        self.handle = self.loop.call_later(BEAT, self._beat)

    def stop(self) -> None:
        """Stops the measurements."""
        self.handle.cancel()


class TextMark(msgspec.Struct, frozen=True):
    """What an endpoint must know about a text, sent in its body; `play` is the address of its run."""

    product: int
    first: str
    relay: int
    play: str


class ForeignText(ValueError):
    """A text of another run, or of none."""


def body_of(mark: TextMark, size: int) -> bytes:
    """Returns a text's body: its mark, padded to `size` bytes."""
    head = f"{mark.product} {mark.first} {mark.relay} {mark.play}\n".encode()
    return head + b"." * max(0, size - len(head))


def read_body(body: bytes, play: str) -> TextMark:
    """Returns the mark in a body of the run at address `play`. Raises ForeignText."""
    try:
        product, first, relay, found = body.partition(b"\n")[0].decode().split(" ")
        mark = TextMark(int(product), first, int(relay), found)
    except ValueError:
        raise ForeignText("not a body of any run") from None
    if mark.play != play:
        raise ForeignText(f"a text of the run at {mark.play[:15]}")
    return mark


class Begin(msgspec.Struct, frozen=True, tag="begin"):
    """Starts the load: the relays' addresses, the file for its part of the record, the address of the run."""

    scenario: dict
    seed: int
    relays: list[str]
    target: str
    play: str


class Go(msgspec.Struct, frozen=True, tag="go"):
    """The run begins at `origin`, in seconds of the machine's monotonic clock."""

    origin: float


class Nacked(msgspec.Struct, frozen=True, tag="nacked"):
    """A notice: the text was nacked and may be resubmitted after `wait` ticks."""

    text: str
    wait: int


class Wiped(msgspec.Struct, frozen=True, tag="wiped"):
    """A relay lost its state directory: its texts are resubmitted, but for those in `ran` (may have run)."""

    relay: int
    ran: list[str]


class Finish(msgspec.Struct, frozen=True, tag="finish"):
    """The run ended."""


class Ready(msgspec.Struct, frozen=True, tag="ready"):
    """The load has generated its texts and waits for `Go`."""


class Done(msgspec.Struct, frozen=True, tag="done"):
    """All texts have been submitted, and none waits to be resubmitted."""

    texts: int


class Progressed(msgspec.Struct, frozen=True, tag="progressed"):
    """The share of the run that has passed, and how many texts the relays have accepted."""

    part: float
    taken: int


StageMessage = Begin | Go | Nacked | Wiped | Finish
LoadMessage = Ready | Done | Progressed


def encode_line(message: StageMessage | LoadMessage) -> bytes:
    """Encodes a message as a line."""
    return msgspec.json.encode(message) + b"\n"


def read_stage_message(line: bytes) -> StageMessage:
    """Decodes a line from the stage."""
    return msgspec.json.decode(line, type=StageMessage)


def read_load_message(line: bytes) -> LoadMessage:
    """Decodes a line from the load."""
    return msgspec.json.decode(line, type=LoadMessage)
