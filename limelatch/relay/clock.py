"""The relay's clock: a timeline that follows the machine's monotonic clock and continues across restarts.

All deadlines, ages, windows and waits of the relay are taken from this clock. Times in the ledger (the end of
a text's validity, the time of its first submit) keep their meaning after a restart, because the state
directory holds an `Anchor`: the offset between the timeline and the machine's clocks. See
docs/design/clock.md.

Times are in tenths of a millisecond. The timeline starts at the wall clock's Unix time and ignores later
changes of the wall clock.
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
MAX_ANCHOR_BYTES = 512  # size limit when the anchor file is read


def monotonic_now() -> int:
    """The machine's monotonic clock, in tenths of a millisecond."""
    return time.monotonic_ns() // NANOSECONDS_PER_UNIT


def wall_now() -> int:
    """The machine's wall clock, in tenths of a millisecond since the Unix epoch."""
    return time.time_ns() // NANOSECONDS_PER_UNIT


def boot_id() -> str:
    """The kernel's identifier of the current boot; empty if it can't be read."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read(64).strip()
    except (OSError, ValueError):
        return ""


class AnchorError(ValueError):
    """The bytes of an anchor are invalid; the message gives the reason."""


class Anchor(msgspec.Struct, frozen=True):
    """The offsets between the timeline and the machine's clocks at one moment."""

    boot: str
    monotonic: int  # the monotonic clock when the anchor was taken
    offset: int  # the timeline minus the monotonic clock of that boot
    wall_ahead: int  # the wall clock minus the timeline
    certain_from: int = 0  # a span that began before this time includes time that no clock measured

    def encode(self) -> bytes:
        """Encode the values as one line of JSON followed by its CRC-32."""
        values = msgspec.json.encode(self)
        return values + b" %d\n" % zlib.crc32(values)

    @classmethod
    def decode(cls, line: bytes) -> Anchor:
        """Decode a line written by `encode`. Raises AnchorError if it is truncated or otherwise invalid."""
        values, _, checksum = line.rstrip(b"\n").rpartition(b" ")
        if not checksum.isdigit() or int(checksum) != zlib.crc32(values):
            raise AnchorError("the checksum does not match")
        try:
            return msgspec.json.decode(values, type=cls)
        except msgspec.DecodeError as error:
            raise AnchorError(str(error)) from None


class Resumption(Enum):
    """How a process determined the time that has passed since the previous process."""

    FIRST = "first"  # there is no anchor of a previous process
    SAME_BOOT = "same-boot"  # by the monotonic clock
    OTHER_BOOT = "other-boot"  # by the wall clock, which is right unless it was set in between
    UNKNOWN = "unknown"  # the anchor can't be read


@dataclass(frozen=True)
class ClockReading:
    """One reading of the machine's clocks."""

    boot: str
    monotonic: int
    wall: int

    @classmethod
    def read(cls) -> ClockReading:
        """Read the clocks now."""
        return cls(boot_id(), monotonic_now(), wall_now())


@dataclass(frozen=True)
class Timeline:
    """The timeline as a new process continues it."""

    offset: int  # the timeline minus the monotonic clock
    certain_from: int
    resumption: Resumption


def resume_timeline(anchor: Anchor | None, reading: ClockReading) -> Timeline:
    """The timeline of a process that found this anchor, or no anchor.

    On the same boot it follows the monotonic clock. After a reboot it follows the wall clock, less what that
    was ahead before, and never runs back.
    """
    if anchor is None:
        return Timeline(reading.wall - reading.monotonic, 0, Resumption.FIRST)
    if anchor.boot and anchor.boot == reading.boot and anchor.monotonic <= reading.monotonic:
        return Timeline(anchor.offset, anchor.certain_from, Resumption.SAME_BOOT)
    now = max(reading.wall - anchor.wall_ahead, anchor.monotonic + anchor.offset)
    return Timeline(now - reading.monotonic, now, Resumption.OTHER_BOOT)


def resume_after_bad_anchor(reading: ClockReading) -> Timeline:
    """The timeline of a process whose anchor can't be read: it starts at the wall clock, with earlier spans
    uncertain."""
    return Timeline(reading.wall - reading.monotonic, reading.wall, Resumption.UNKNOWN)


class Clock:
    """The timeline in this process."""

    def __init__(self, timeline: Timeline | None = None, boot: str = "") -> None:
        self._timeline = timeline or resume_timeline(None, ClockReading.read())
        self._offset, self._boot = self._timeline.offset, boot

    def now(self) -> int:
        """The current time of the timeline, in tenths of a millisecond."""
        return monotonic_now() + self._offset

    @property
    def certain_from(self) -> int:
        """A span that began before this time includes time that no clock measured."""
        return self._timeline.certain_from

    @property
    def resumption(self) -> Resumption:
        """How this process resumed the timeline."""
        return self._timeline.resumption

    def wall_ahead(self) -> int:
        """How far the wall clock is ahead of the timeline, in tenths of a millisecond."""
        return wall_now() - self.now()

    def anchor(self) -> Anchor:
        """The anchor by which a later process resumes this timeline."""
        return Anchor(self._boot, monotonic_now(), self._offset, self.wall_ahead(), self.certain_from)
