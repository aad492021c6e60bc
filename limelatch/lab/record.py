"""The record of a run: one stream of events in one form, whichever stage it comes from.

A file is blocks of msgpack lists of events within one zstd stream, the first of them the head. Writing keeps
one block in memory, reading one too. Times are tenths of a millisecond from the start of the run, hosts and
relays go by number, states of a text at a host by `State`'s order.
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
BLOCK = struct.Struct(">I")
BLOCK_EVENTS, BLOCK_MOST = 2000, 1 << 28
LEVEL = 3
VERSION = 1

TextId = int | str


class Answer(IntEnum):
    """What a client heard when it handed in a text."""

    TAKEN, BUSY, ERROR, SILENT, LOST = range(5)


class Fate(IntEnum):
    """What a host did with one text of a call."""

    DELIVERED, FAILED, REFUSED, OVER, SPENT, RESET, GARBLED, UNSEEN = range(8)


NEVER_RAN = (Fate.REFUSED, Fate.OVER, Fate.SPENT)


class Condition(IntEnum):
    """How a host is."""

    WELL, OUT, COLD, FALLEN, GONE = range(5)


class Event(msgspec.Struct, array_like=True, frozen=True):
    """Each event; `at` comes first."""


class Submitted(Event, tag=1):
    """A client hands in a text. `first`: the id of its first try; `again`: tries before this one."""

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
    """The client's answer; `wait` is when to come again."""

    at: int
    text: TextId
    answer: int
    wait: int


class Called(Event, tag=3):
    """A whole call is at a host; `sent`: when the relay sent it, where that is known, else `at`."""

    at: int
    sent: int
    call: int
    relay: int
    host: int
    texts: list[TextId]


class Responded(Event, tag=4):
    """The host answers a call: a fate for each text, and the wait that it tells; `heard`: at the relay."""

    at: int
    heard: int
    call: int
    fates: list[int]
    wait: int


class GaveUp(Event, tag=5):
    """The relay waits for a call's answer no longer, or its connection ended."""

    at: int
    call: int


class EffectTaken(Event, tag=6):
    """A text takes effect at a host; `known`: as a repeat it has none."""

    at: int
    host: int
    text: TextId
    first: TextId
    known: bool


class NoticeAnswered(Event, tag=7):
    """A relay's notice has been answered: `nacked`, or undeliverable."""

    at: int
    relay: int
    text: TextId
    nacked: bool
    wait: int


class Host(Event, tag=8):
    """There is a host; `route` numbers what shares one limit and one fate."""

    at: int
    host: int
    name: str
    destination: int
    route: int
    floor: int
    capacity: float


class ListingReceived(Event, tag=9):
    """A relay has been told of a host: 0 ready, 1 draining, 2 gone."""

    at: int
    relay: int
    host: int
    listing: int


class Relay(Event, tag=10):
    """A relay has started, is ready, stops, ended, was killed, was wiped, reads its configuration again."""

    at: int
    relay: int
    what: str
    code: int = 0


class Fault(Event, tag=11):
    """A fault of the time-line begins or ends, with the hosts that it strikes."""

    at: int
    number: int
    on: bool
    hosts: list[int]


class ConditionChanged(Event, tag=12):
    """A host's condition changes; a cold one began at `since`."""

    at: int
    host: int
    condition: int


class RouteOverloaded(Event, tag=13):
    """A returning route was pushed over; `load` is the texts of each relay in the window that did it."""

    at: int
    route: int
    bore: float
    load: dict[int, int]


class CallFailed(Event, tag=14):
    """A call of a relay that a host refused, failed or never answered, as far as the stage knows."""

    at: int
    relay: int
    host: int


class BeliefChanged(Event, tag=15):
    """The relay's decision module has changed its mind on a host."""

    at: int
    relay: int
    host: int
    words: str


class ResourceUsage(Event, tag=16):
    """A relay's memory and descriptors, and the CPU time it has used, in microseconds."""

    at: int
    relay: int
    memory: int
    descriptors: int
    cpu: int


class StageLate(Event, tag=17):
    """The stage itself was late, by so much: the emulator, or the load."""

    at: int
    who: str
    by: int


class RunEnded(Event, tag=18):
    """The run is over; `whole` unless it was interrupted."""

    at: int
    whole: bool


class ForeignCall(Event, tag=19):
    """A call that is none of this play's was refused at a host, and is not judged."""

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
    """What the run was: the whole scenario is in it, so that a record explains itself."""

    version: int
    stage: str
    seed: int
    scenario: dict[str, Any]
    text: str  # the scenario's file
    build: str = ""
    allowances: dict[str, int] = {}
    subject: str = ""  # what was run: the module, a baseline, a command


class Writer:
    """Writes one record; use it as a context."""

    def __init__(self, target: str | Path | io.BufferedIOBase, head: Head) -> None:
        self._file = open(target, "wb") if isinstance(target, (str, Path)) else target
        self._stream = zstandard.ZstdCompressor(LEVEL).stream_writer(self._file, closefd=False)
        self._encoder, self._events, self.count = msgspec.msgpack.Encoder(), [], 0
        self._block(msgspec.to_builtins(head))

    def __enter__(self) -> Writer:
        return self

    def __exit__(self, *ended: object) -> None:
        self.close()

    def add(self, event: Event) -> None:
        self._events.append(event)
        if len(self._events) >= BLOCK_EVENTS:
            self.flush()

    def flush(self) -> None:
        """Write what is at hand, so that a run which is killed keeps it."""
        if self._events:
            self._block(self._events)
            self.count += len(self._events)
            self._events = []

    def _block(self, content: object) -> None:
        raw = self._encoder.encode(content)
        self._stream.write(BLOCK.pack(len(raw)) + raw)
        self._stream.flush(zstandard.FLUSH_BLOCK)
        self._file.flush()

    def close(self) -> None:
        self.flush()
        self._stream.close()
        self._file.close()


class RecordError(Exception):
    """The file is no record."""


class Reader:
    """Reads one record, from its head to its end or to where it was cut short."""

    def __init__(self, source: str | Path | io.BufferedIOBase) -> None:
        self.path = str(source)
        try:
            self._file = open(source, "rb") if isinstance(source, (str, Path)) else source
            self._stream = zstandard.ZstdDecompressor().stream_reader(self._file)
            self.head = msgspec.msgpack.decode(self._read() or b"", type=Head)
        except (OSError, zstandard.ZstdError, msgspec.DecodeError) as error:
            raise RecordError(f"{self.path}: no record of a run: {error}") from None
        if self.head.version != VERSION:
            raise RecordError(f"{self.path}: a record of version {self.head.version}, {VERSION} is wanted")
        self._decoder = msgspec.msgpack.Decoder(list[AnyEvent])
        self.cut = False  # it ended within a block

    def _exactly(self, count: int) -> bytes:
        parts, missing = [], count
        while missing:
            part = self._stream.read(missing)
            if not part:
                break
            parts.append(part)
            missing -= len(part)
        return b"".join(parts)

    def _read(self) -> bytes | None:
        head = self._exactly(BLOCK.size)
        if len(head) < BLOCK.size:
            return None
        size = BLOCK.unpack(head)[0]
        if size > BLOCK_MOST:
            raise msgspec.DecodeError(f"a block of {size} bytes")
        raw = self._exactly(size)
        return raw if len(raw) == size else None

    def __iter__(self) -> Iterator[AnyEvent]:
        try:
            while (raw := self._read()) is not None:
                yield from self._decoder.decode(raw)
        except (zstandard.ZstdError, msgspec.DecodeError):
            self.cut = True  # interrupted while it was written
        finally:
            self._file.close()


def write(target: str | Path, head: Head, events: Iterable[Event]) -> None:
    """A whole record at once."""
    with Writer(target, head) as writer:
        for event in events:
            writer.add(event)
