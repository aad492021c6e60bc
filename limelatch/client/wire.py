"""One connection to a relay, with one command at a time; RESP2 is encoded and decoded by hiredis."""

from __future__ import annotations

import asyncio
import re
import secrets
from dataclasses import dataclass, field
from enum import Enum

import hiredis

ID_BYTES = 8
BUSY_PATTERN = re.compile(r"BUSY(?: ([0-9]+))?\Z")
NO_KEY = "0"  # the ordering key of texts without one


class AnswerKind(Enum):
    """How a command ended."""

    ACCEPTED = "taken"  # the relay is now responsible for the text
    BUSY = "busy"  # nacked: the text may be handed in again
    ERROR = "error"  # the command can't be carried out
    NO_ANSWER = "silent"  # no answer in time
    LOST = "lost"  # the connection broke or could not be established


@dataclass(frozen=True, slots=True)
class Answer:
    """The relay's answer, with its text as `message`.

    `elapsed`: seconds from the command to the answer. `wait_ms`: when to hand in the text again;
    0 where the relay named no time."""

    kind: AnswerKind
    message: str
    elapsed: float
    wait_ms: int = 0


def new_id() -> str:
    """A random id for one submission."""
    return secrets.token_hex(ID_BYTES)


@dataclass(slots=True)
class Submission:
    """One text to hand in.

    Each submission of a text has a new id; its idempotency key stays the same."""

    product: str
    destination: int
    valid_for_ms: float
    body: bytes = b""
    customer: str = ""
    key: str = NO_KEY
    idempotency_key: str = ""
    id: str = field(default_factory=new_id)
    resubmitted: bool = False  # handed in before and nacked

    def command(self) -> bytes:
        """The encoded SUBMIT command."""
        names = f"c={self.product},t={self.customer},d={self.valid_for_ms:.3f},dest={self.destination}"
        names += (f",k={self.idempotency_key}" if self.idempotency_key else "") + (
            ",r=1" if self.resubmitted else ""
        )
        return hiredis.pack_command(("SUBMIT", self.key, self.id, names, self.body))


def read_answer(reply: object, elapsed: float) -> Answer:
    """The answer that a decoded reply stands for."""
    if isinstance(reply, hiredis.ReplyError):
        message = str(reply)
        if match := BUSY_PATTERN.match(message):
            return Answer(AnswerKind.BUSY, message, elapsed, int(match[1] or 0))
        return Answer(AnswerKind.ERROR, message, elapsed)
    message = reply.decode(errors="replace") if isinstance(reply, bytes) else str(reply)
    return Answer(AnswerKind.ACCEPTED, message, elapsed)


class RelayConnection(asyncio.Protocol):
    """One connection; it is used again only after a complete answer."""

    def __init__(self) -> None:
        self.reader, self.transport, self.open = hiredis.Reader(), None, False
        self.waiter: asyncio.Future | None = None
        self._asked_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.open = transport, True

    def data_received(self, data: bytes) -> None:
        try:
            self.reader.feed(data)
            reply = self.reader.gets()
        except hiredis.ProtocolError:
            self.transport.abort()
            return
        if reply is not False and self.waiter is not None and not self.waiter.done():
            elapsed = asyncio.get_running_loop().time() - self._asked_at
            self.waiter.set_result(read_answer(reply, elapsed))

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False
        if self.waiter is not None and not self.waiter.done():
            elapsed = asyncio.get_running_loop().time() - self._asked_at
            self.waiter.set_result(Answer(AnswerKind.LOST, "the connection ended", elapsed))

    async def ask(self, command: bytes, timeout: float) -> Answer:
        """Send a command and wait for its answer; after `timeout` seconds the connection is closed."""
        loop = asyncio.get_running_loop()
        self._asked_at, self.waiter = loop.time(), loop.create_future()
        handle = loop.call_later(timeout, self._time_out, timeout)
        self.transport.write(command)
        try:
            return await self.waiter
        finally:
            handle.cancel()
            self.waiter = None

    def _time_out(self, timeout: float) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(Answer(AnswerKind.NO_ANSWER, "no answer in time", timeout))
        self.close()

    def close(self) -> None:
        """Close the connection at once."""
        self.open = False
        if self.transport is not None:
            self.transport.abort()
