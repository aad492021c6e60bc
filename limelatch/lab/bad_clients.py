"""Clients that misuse a relay: hundreds of connections at once, each sending input of one shape.

    python -m limelatch.lab.bad_clients 127.0.0.1:6379 --shape stalled-body --clients 480 --waves 3

prints a report as JSON. The input is bounded in bytes and time; it comes from the seed alone.
"""

from __future__ import annotations

import random
import selectors
import socket
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

import click
import msgspec

LARGE_BODY = 65_000  # bytes
STALL_AT = 60_000  # bytes of a request after which a stalled client sends no more
SHORT_NAMES = 10_500  # names of one character and a comma, in one list
INLINE_WORDS = 3_900  # words of one letter in a line
INLINE_LINES = 9
MANY_ARGUMENTS = 16  # in an array of which all but the last have one byte
PIPELINED_BYTES = 125_000  # behind a request that awaits its answer
UNREAD_PINGS = 100_000  # whose replies are not read
FULL_SPEED_BATCH = 300  # commands that a client at full speed writes at once
READ_SIZE = 64 * 1024  # bytes read from a socket at once
SMALL_RECEIVE_BUFFER = 4096  # bytes, of clients that do not read
POLL_SECONDS = 0.02


class Shape(Enum):
    """What each of the clients sends."""

    SILENT = "silent"  # nothing
    IDLE = "idle"  # one PING
    SLOW_BODY = "slow-body"  # a large request, in pieces, but for its end
    STALLED_BODY = "stalled-body"  # most of a large request at once, then nothing
    DECLARED_BODY = "declared-body"  # the head of a large request alone
    SHORT_NAMES = "short-names"  # whole requests whose list has very many short names
    MANY_ARGUMENTS = "many-arguments"  # short arguments and a large one that is cut off
    INLINE_WORDS = "inline-words"  # lines of very many words
    PIPELINED = "pipelined"  # a large request, and more behind it
    WHOLE_LARGE = "whole-large"  # large requests, each once the one before has its answer
    UNREAD_REPLIES = "unread-replies"  # many PINGs, whose replies are not read
    EMPTY_LINES = "empty-lines"  # at full speed
    PINGS = "pings"  # at full speed
    UNKNOWN_CLASSES = "unknown-classes"  # at full speed, each name another one
    BROKEN_LENGTHS = "broken-lengths"  # lengths that are wrong or huge, again as soon as they are refused


FULL_SPEED = (Shape.EMPTY_LINES, Shape.PINGS, Shape.UNKNOWN_CLASSES)
WITHOUT_READING = (Shape.UNREAD_REPLIES,)


def command(*arguments: bytes) -> bytes:
    """A command as an array of bulk strings."""
    parts = [b"$%d\r\n%s\r\n" % (len(each), each) for each in arguments]
    return b"*%d\r\n" % len(arguments) + b"".join(parts)


@dataclass
class Inputs:
    """Makes what the clients send; `names` are the names and values of a text that a relay accepts."""

    shape: Shape
    names: bytes
    seed: int
    random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)

    def text_id(self) -> bytes:
        """A new id."""
        return b"%016x" % self.random.getrandbits(64)

    def submit(self, body: bytes, names: bytes | None = None) -> bytes:
        """A whole request, with a new id and a new idempotency key."""
        key = b"%016x" % self.random.getrandbits(64)
        names = self.names + b",k=" + key if names is None else names
        return command(b"SUBMIT", b"0" * 16, self.text_id(), names, body)

    def first(self) -> bytes:
        """What a client sends once it is connected."""
        match self.shape:
            case Shape.SILENT:
                return b""
            case Shape.IDLE:
                return command(b"PING")
            case Shape.SLOW_BODY:
                return self.submit(bytes(LARGE_BODY))[:-1500]
            case Shape.STALLED_BODY:
                return self.submit(bytes(LARGE_BODY))[:STALL_AT]
            case Shape.DECLARED_BODY:
                return self.submit(bytes(LARGE_BODY))[:-LARGE_BODY]
            case Shape.SHORT_NAMES:
                return self.submit(b"x", b",".join(b"%c" % (97 + n % 26) for n in range(SHORT_NAMES))) * 3
            case Shape.MANY_ARGUMENTS:
                short = [b"x"] * (MANY_ARGUMENTS - 2)
                return command(*short, b"y" * 62_000, b"z" * 1000)[: -32_000 - 1000]
            case Shape.INLINE_WORDS:
                return (b"a " * INLINE_WORDS + b"\r\n") * INLINE_LINES
            case Shape.PIPELINED:
                whole = self.submit(bytes(LARGE_BODY))
                return whole + self.submit(bytes(LARGE_BODY)) + self.submit(bytes(LARGE_BODY))[:LARGE_BODY]
            case Shape.WHOLE_LARGE:
                return self.submit(bytes(LARGE_BODY))
            case Shape.UNREAD_REPLIES:
                return command(b"PING") * UNREAD_PINGS
            case Shape.BROKEN_LENGTHS:
                length = self.random.choice((b"-1", b"99999999999", b"60000000", b"x", b"0", b"1000000"))
                return b"*5\r\n$6\r\nSUBMIT\r\n$" + length + b"\r\n" + b"y" * 4000
        return self.more()

    def more(self) -> bytes:
        """What a client sends next: at full speed, or after an answer."""
        match self.shape:
            case Shape.EMPTY_LINES:
                return b"\r\n" * (8 * FULL_SPEED_BATCH)
            case Shape.PINGS:
                return command(b"PING") * FULL_SPEED_BATCH
            case Shape.UNKNOWN_CLASSES:
                return b"".join(
                    self.submit(b"x", b"c=%s,t=acme,d=9000,dest=1" % self.text_id())
                    for _ in range(FULL_SPEED_BATCH)
                )
            case Shape.WHOLE_LARGE:
                return self.submit(bytes(LARGE_BODY))
        return b""


class Report(msgspec.Struct):
    """What has become of the clients' connections."""

    opened: int = 0
    refused: int = 0  # not connected
    sent_bytes: int = 0
    replies: dict[str, int] = msgspec.field(default_factory=dict)  # by their first character
    closed: int = 0  # by the relay
    reset: int = 0  # by the relay
    longest_wait: float = 0.0  # seconds until the first reply or the close, of those that got one


class BadClient:
    """One connection."""

    def __init__(self, address: tuple[str, int], inputs: Inputs, pace: int) -> None:
        """`pace`: bytes written at once; 0 for as many as the socket takes."""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if inputs.shape in WITHOUT_READING:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        self.socket.connect_ex(address)
        self.opened_at, self.heard_at = time.monotonic(), 0.0
        self.inputs, self.pace, self.unsent = inputs, pace, inputs.first()
        self.write_at = 0.0  # time of the next write

    def write(self, now: float) -> int:
        """Write what the pace and the socket allow, and return the number of bytes. Raises OSError."""
        if not self.unsent and self.inputs.shape in FULL_SPEED:
            self.unsent = self.inputs.more()
        if not self.unsent or now < self.write_at:
            return 0
        try:
            sent = self.socket.send(self.unsent[: self.pace or None])
        except BlockingIOError:
            return 0
        self.unsent = self.unsent[sent:]
        self.write_at = now + POLL_SECONDS if self.pace else 0.0
        return sent


class Crowd:
    """The connections of all waves, in one thread."""

    def __init__(self, address: tuple[str, int], inputs: Inputs, pace: int, reconnect: bool) -> None:
        self.address, self.inputs, self.pace, self.reconnect = address, inputs, pace, reconnect
        self.report, self.selector = Report(), selectors.DefaultSelector()

    def open(self) -> None:
        """Open one more connection."""
        client = BadClient(self.address, self.inputs, self.pace)
        self.report.opened += 1
        self.selector.register(client.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, client)

    def run(self, clients: int, waves: int, interval: float, seconds: float) -> Report:
        """Open `clients` connections a wave, `interval` seconds apart, and end after `seconds`."""
        started_at, opened_waves = time.monotonic(), 0
        while (now := time.monotonic()) < started_at + seconds:
            if opened_waves < waves and now >= started_at + opened_waves * interval:
                opened_waves += 1
                for _ in range(clients):
                    self.open()
            self._turn()
        for client in self._clients():
            client.socket.close()
        self.selector.close()
        return self.report

    def _clients(self) -> Iterator[BadClient]:
        return (key.data for key in list(self.selector.get_map().values()))

    def _turn(self) -> None:
        ready, is_writing, now = self.selector.select(POLL_SECONDS), False, time.monotonic()
        for key, events in ready:
            client = key.data
            try:
                if events & selectors.EVENT_WRITE:
                    sent = client.write(now)
                    self.report.sent_bytes += sent
                    is_writing = is_writing or sent > 0
                    self._set_events(client)
                if events & selectors.EVENT_READ and not self._read(client, now):
                    self._end(client)
            except ConnectionRefusedError:
                self.report.refused += 1
                self._end(client)
            except OSError:
                self.report.reset += 1
                self._end(client)
        if ready and not is_writing:
            time.sleep(POLL_SECONDS / 4)  # the ready sockets wait for their pace

    def _set_events(self, client: BadClient) -> None:
        if not client.unsent and self.inputs.shape not in FULL_SPEED:
            self.selector.modify(client.socket, selectors.EVENT_READ, client)

    def _read(self, client: BadClient, now: float) -> bool:
        """Read replies; False after the end of the connection. Raises OSError."""
        if self.inputs.shape in WITHOUT_READING:
            self.selector.modify(client.socket, selectors.EVENT_WRITE, client)
            return True
        try:
            data = client.socket.recv(READ_SIZE)
        except BlockingIOError:
            return True
        if not client.heard_at:
            client.heard_at = now
            self.report.longest_wait = max(self.report.longest_wait, now - client.opened_at)
        if not data:
            self.report.closed += 1
            return False
        for line in data.splitlines():
            kind = line[:1].decode(errors="replace")
            self.report.replies[kind] = self.report.replies.get(kind, 0) + 1
        if self.inputs.shape is Shape.WHOLE_LARGE and not client.unsent:
            client.unsent = self.inputs.more()
            self.selector.modify(client.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, client)
        return True

    def _end(self, client: BadClient) -> None:
        self.selector.unregister(client.socket)
        client.socket.close()
        if self.reconnect:
            self.open()


@click.command()
@click.argument("address")
@click.option("--shape", type=click.Choice([shape.value for shape in Shape]), required=True)
@click.option("--clients", default=480, help="connections a wave")
@click.option("--waves", default=1)
@click.option("--interval", default=1.5, help="seconds between two waves")
@click.option("--seconds", default=4.0, help="until all connections are closed")
@click.option("--pace", default=0, help="bytes written at once; 0: as many as possible")
@click.option("--reconnect", is_flag=True, help="open a new connection for each that the relay closes")
@click.option("--names", default="c=report,t=acme,d=8000,dest=1", help="names and values of a text")
@click.option("--seed", default=1)
def main(
    address: str,
    shape: str,
    clients: int,
    waves: int,
    interval: float,
    seconds: float,
    pace: int,
    reconnect: bool,
    names: str,
    seed: int,
) -> None:
    """Send input of one shape to the relay at ADDRESS, and print a report."""
    host, _, port = address.partition(":")
    inputs = Inputs(Shape(shape), names.encode(), seed)
    report = Crowd((host, int(port)), inputs, pace, reconnect).run(clients, waves, interval, seconds)
    sys.stdout.buffer.write(msgspec.json.encode(report) + b"\n")


if __name__ == "__main__":
    main()
