"""The record of a run: a stream of events in one format for all stages.

A file is a zstd stream of blocks. Each block is its length and a msgpack value: the head first, then lists of
events. Writer and reader keep one block in memory. Times are in ticks (tenths of a millisecond) since the
start of the run; hosts and relays are identified by number. Events are encoded as arrays: the order of their
fields is the format, their names are not.
"""

from __future__ import annotations

import io
import struct
from collections.abc import Iterable, Iterator
from enum import IntEnum
from pathlib import Path
from typing import Any

import msgspec
import zstandard

SUFFIX = ".limelog"
BLOCK_LENGTH = struct.Struct(">I")  # bytes of the block that follows
BLOCK_EVENTS = 2000  # events per block
MAX_BLOCK_BYTES = 1 << 28  # a longer block is taken for damage
COMPRESSION_LEVEL = 3  # of zstd
VERSION = 1  # of the format

TextId = int | str


class Answer(IntEnum):
    """A client's answer to its submission."""

    TAKEN, BUSY, ERROR, SILENT, LOST = range(5)


class Fate(IntEnum):
    """What a host did with one text of a call."""

    DELIVERED, FAILED, REFUSED, OVER, SPENT, RESET, GARBLED, UNSEEN = range(8)


NEVER_RAN = (Fate.REFUSED, Fate.OVER, Fate.SPENT)


class Condition(IntEnum):
    """The condition of a host."""

    WELL, OUT, COLD, FALLEN, GONE = range(5)


class Event(msgspec.Struct, array_like=True, frozen=True):
    """Base class of all events; `at`, the time in ticks, is the first field."""


class Submitted(Event, tag=1):
    """A client submits a text. `first`: id of its first submission; `again`: submissions before this one."""

    at: int
    relay: int
    text: TextId
    first: TextId
    product: int
    destination: int
    customer: int
    key: TextId
    valid_until: int
    again: int


class Answered(Event, tag=2):
    """The answer to a client; `wait`: ticks until it may submit again."""

    at: int
    text: TextId
    answer: int
    wait: int


class Called(Event, tag=3):
    """A complete call arrived at a host; `sent`: when the relay sent it if that is known, otherwise `at`."""

    at: int
    sent: int
    call: int
    relay: int
    host: int
    texts: list[TextId]


class Responded(Event, tag=4):
    """A host answers a call: a fate for each text, and the Retry-After; `heard`: the answer's arrival."""

    at: int
    heard: int
    call: int
    fates: list[int]
    wait: int


class GaveUp(Event, tag=5):
    """The relay stopped waiting for a call's answer, or the connection ended."""

    at: int
    call: int


class EffectTaken(Event, tag=6):
    """A text was processed at a host; `known`: it was recognized as a repeat and had no effect."""

    at: int
    host: int
    text: TextId
    first: TextId
    known: bool


class NoticeAnswered(Event, tag=7):
    """The platform acknowledged a relay's notice: the text is `nacked` or undeliverable."""

    at: int
    relay: int
    text: TextId
    nacked: bool
    wait: int


class Host(Event, tag=8):
    """A host was added; `route` is the number of the unit that shares a rate limit and fails as a whole."""

    at: int
    host: int
    name: str
    destination: int
    route: int
    floor: int
    capacity: float


class ListingReceived(Event, tag=9):
    """A relay received a host's state in the list: 0 ready, 1 draining, 2 gone."""

    at: int
    relay: int
    host: int
    listing: int


class Relay(Event, tag=10):
    """A relay started, is ready, stops, ended, was killed, was wiped or reloads its configuration."""

    at: int
    relay: int
    what: str
    code: int = 0


class Fault(Event, tag=11):
    """A fault of the scenario begins or ends; `hosts` are those that it affects."""

    at: int
    number: int
    on: bool
    hosts: list[int]


class ConditionChanged(Event, tag=12):
    """A host's condition has changed."""

    at: int
    host: int
    condition: int


class RouteOverloaded(Event, tag=13):
    """A cold route went down by overload.

    `load`: work of each relay in the window that caused it, in texts; `max_load`: what it could bear.
    """

    at: int
    route: int
    max_load: float
    load: dict[int, float]


class CallFailed(Event, tag=14):
    """A host refused, failed or never answered a relay's call, as far as the stage knows."""

    at: int
    relay: int
    host: int


class BeliefChanged(Event, tag=15):
    """The relay's decision module has changed its view of a host's health."""

    at: int
    relay: int
    host: int
    message: str


class ResourceUsage(Event, tag=16):
    """A relay's memory in bytes, its open descriptors, and its CPU time in microseconds."""

    at: int
    relay: int
    memory: int
    descriptors: int
    cpu: int


class StageLate(Event, tag=17):
    """The stage itself was late, by so many ticks; `who`: the emulator or the load."""

    at: int
    who: str
    by: int


class RunEnded(Event, tag=18):
    """The run ended; `whole` unless it was interrupted."""

    at: int
    whole: bool


class ForeignCall(Event, tag=19):
    """A host refused a call that does not belong to this run; the checker ignores it."""

    at: int
    host: int
    why: str


AnyEvent = (
    Submitted
    | Answered
    | Called
    | Responded
    | GaveUp
    | EffectTaken
    | NoticeAnswered
    | Host
    | ListingReceived
    | Relay
    | Fault
    | ConditionChanged
    | RouteOverloaded
    | CallFailed
    | BeliefChanged
    | ResourceUsage
    | StageLate
    | RunEnded
    | ForeignCall
)


class Head(msgspec.Struct, frozen=True):
    """Describes the run, with the whole scenario, so that a record needs no other file."""

    version: int
    stage: str
    seed: int
    scenario: dict[str, Any]
    text: str  # the scenario's source text
    build: str = ""
    allowances: dict[str, int] = {}
    subject: str = ""  # what was tested: the module, a baseline, or a command


class Writer:
    """Writes one record; use it as a context manager."""

    def __init__(self, target: str | Path | io.BufferedIOBase, head: Head) -> None:
        self._file = open(target, "wb") if isinstance(target, (str, Path)) else target
        self._stream = zstandard.ZstdCompressor(COMPRESSION_LEVEL).stream_writer(self._file, closefd=False)
        self._encoder, self._events, self.count = msgspec.msgpack.Encoder(), [], 0
        self._write_block(msgspec.to_builtins(head))

    def __enter__(self) -> Writer:
        return self

    def __exit__(self, *ended: object) -> None:
        self.close()

    def add(self, event: Event) -> None:
        """Adds an event, and writes a block when it is full."""
        self._events.append(event)
        if len(self._events) >= BLOCK_EVENTS:
            self.flush()

    def flush(self) -> None:
        """Writes the events so far, so that a run that is killed keeps them."""
        if self._events:
            self._write_block(self._events)
            self.count += len(self._events)
            self._events = []

    def _write_block(self, content: object) -> None:
        raw = self._encoder.encode(content)
        self._stream.write(BLOCK_LENGTH.pack(len(raw)) + raw)
        self._stream.flush(zstandard.FLUSH_BLOCK)
        self._file.flush()

    def close(self) -> None:
        """Writes the remaining events and closes the file."""
        self.flush()
        self._stream.close()
        self._file.close()


class RecordError(Exception):
    """The file is not a readable record of this version."""


class Reader:
    """Reads one record up to its end, or to the point where writing was interrupted.

    Raises RecordError if the file is no record or has another version.
    """

    def __init__(self, source: str | Path | io.BufferedIOBase) -> None:
        self.path = str(source)
        try:
            self._file = open(source, "rb") if isinstance(source, (str, Path)) else source
            self._stream = zstandard.ZstdDecompressor().stream_reader(self._file)
            self.head = msgspec.msgpack.decode(self._read_block() or b"", type=Head)
        except (OSError, zstandard.ZstdError, msgspec.DecodeError) as error:
            raise RecordError(f"{self.path}: not a record of a run: {error}") from None
        if self.head.version != VERSION:
            raise RecordError(f"{self.path}: record version {self.head.version}, only {VERSION} is supported")
        self._decoder = msgspec.msgpack.Decoder(list[AnyEvent])
        self.cut = False  # the file ends within a block

    def _read_exactly(self, count: int) -> bytes:
        parts, missing = [], count
        while missing:
            part = self._stream.read(missing)
            if not part:
                break
            parts.append(part)
            missing -= len(part)
        return b"".join(parts)

    def _read_block(self) -> bytes | None:
        head = self._read_exactly(BLOCK_LENGTH.size)
        if len(head) < BLOCK_LENGTH.size:
            return None
        size = BLOCK_LENGTH.unpack(head)[0]
        if size > MAX_BLOCK_BYTES:
            raise msgspec.DecodeError(f"block of {size} bytes is too long")
        raw = self._read_exactly(size)
        return raw if len(raw) == size else None

    def __iter__(self) -> Iterator[AnyEvent]:
        try:
            while (raw := self._read_block()) is not None:
                yield from self._decoder.decode(raw)
        except (zstandard.ZstdError, msgspec.DecodeError):
            self.cut = True  # the writer was interrupted
        finally:
            self._file.close()


def write(target: str | Path, head: Head, events: Iterable[Event]) -> None:
    """Writes a whole record."""
    with Writer(target, head) as writer:
        for event in events:
            writer.add(event)
