"""The relay's one clock: a timeline that runs with the machine's monotonic clock and outlasts the process.

Every due time, age, window and wait of the relay is taken from it. What the ledger keeps of it (until when a
text is valid, when its first submit went) reads the same after a restart, because the folder keeps an
`Anchor`: how the timeline stood to the machine's clocks. See docs/design/clock.md.

Times are tenths of a millisecond. The timeline begins as the wall clock's Unix time and is not set with it.
"""

from __future__ import annotations

import time
import zlib
from dataclasses import dataclass
from enum import Enum

import msgspec

from limelatch.interface import SECOND

NANOSECONDS_PER_UNIT = 1_000_000_000 // SECOND
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"
MAX_ANCHOR_BYTES = 512  # bytes of an anchor's file


def monotonic_now() -> int:
    """The machine's monotonic clock."""
    return time.monotonic_ns() // NANOSECONDS_PER_UNIT


def wall_now() -> int:
    """The machine's wall clock, since 1970."""
    return time.time_ns() // NANOSECONDS_PER_UNIT


def boot_id() -> str:
    """What names this boot of the machine; empty where it does not tell."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read(64).strip()
    except (OSError, ValueError):
        return ""


class AnchorError(ValueError):
    """An anchor's bytes can't be read; it says why."""


class Anchor(msgspec.Struct, frozen=True):
    """How the timeline stood to the machine's clocks at one moment."""

    boot: str
    monotonic: int  # when it was taken
    offset: int  # of the timeline from the monotonic clock of that boot
    wall_ahead: int  # of the wall clock from the timeline
    certain_from: int = 0  # spans that began earlier hold a time that nobody measured

    def encode(self) -> bytes:
        """One line: the values and their checksum."""
        values = msgspec.json.encode(self)
        return values + b" %d\n" % zlib.crc32(values)

    @classmethod
    def decode(cls, line: bytes) -> Anchor:
        """What `encode` wrote; BadAnchor where it is torn or of another form."""
        values, _, checksum = line.rstrip(b"\n").rpartition(b" ")
        if not checksum.isdigit() or int(checksum) != zlib.crc32(values):
            raise AnchorError("its checksum is another")
        try:
            return msgspec.json.decode(values, type=cls)
        except msgspec.DecodeError as error:
            raise AnchorError(str(error)) from None


class Resumption(Enum):
    """What a process knows of the time since the one before it."""

    FIRST = "first"  # there was none, or it kept no anchor
    SAME_BOOT = "same-boot"  # the monotonic clock tells
    OTHER_BOOT = "other-boot"  # the wall clock tells, if nobody has set it
    UNKNOWN = "unknown"  # the anchor can't be read


@dataclass(frozen=True)
class ClockReading:
    """One reading of a machine's clocks."""

    boot: str
    monotonic: int
    wall: int

    @classmethod
    def read(cls) -> ClockReading:
        return cls(boot_id(), monotonic_now(), wall_now())


@dataclass(frozen=True)
class Timeline:
    """Where the timeline stands in a new process."""

    offset: int  # from the monotonic clock
    certain_from: int
    resumption: Resumption


def resume_timeline(anchor: Anchor | None, reading: ClockReading) -> Timeline:
    """The timeline of a process that found this anchor, or none."""
    if anchor is None:
        return Timeline(reading.wall - reading.monotonic, 0, Resumption.FIRST)
    if anchor.boot and anchor.boot == reading.boot and anchor.monotonic <= reading.monotonic:
        return Timeline(anchor.offset, anchor.certain_from, Resumption.SAME_BOOT)
    now = max(reading.wall - anchor.wall_ahead, anchor.monotonic + anchor.offset)
    return Timeline(now - reading.monotonic, now, Resumption.OTHER_BOOT)


def resume_after_bad_anchor(reading: ClockReading) -> Timeline:
    """The timeline of a process that found an anchor it can't read."""
    return Timeline(reading.wall - reading.monotonic, reading.wall, Resumption.UNKNOWN)


class Clock:
    """The timeline in this process."""

    def __init__(self, timeline: Timeline | None = None, boot: str = "") -> None:
        self._timeline = timeline or resume_timeline(None, ClockReading.read())
        self._offset, self._boot = self._timeline.offset, boot

    def now(self) -> int:
        """The timeline's time."""
        return monotonic_now() + self._offset

    @property
    def certain_from(self) -> int:
        """Spans that began before this hold a time that no clock has measured."""
        return self._timeline.certain_from

    @property
    def resumption(self) -> Resumption:
        """How this process came by the timeline."""
        return self._timeline.resumption

    def wall_ahead(self) -> int:
        """How far the machine's wall clock is ahead of the timeline."""
        return wall_now() - self.now()

    def anchor(self) -> Anchor:
        """What a later process needs to go on with this timeline."""
        return Anchor(self._boot, monotonic_now(), self._offset, self.wall_ahead(), self.certain_from)
