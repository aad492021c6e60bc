"""Reads and writes spans of time and sizes, such as `250ms` and `192MB`.

The program counts spans in tenths of a millisecond, called ticks here, and sizes in bytes (1 kB is 1,000
bytes, 1 KiB 1,024).
"""

from __future__ import annotations

import re
from datetime import timedelta

from limelatch.interface import MS

SPAN_PATTERN = r"^([0-9]+(\.[0-9]+)?(us|ms|s|m|h|d))+$"
SIZE_PATTERN = r"^[0-9]+(\.[0-9]+)? ?(B|kB|KB|MB|GB|KiB|MiB|GiB)$"
TICK = timedelta(microseconds=100)  # the unit of all spans
SCALES = ((1_000_000_000, "GB"), (1_000_000, "MB"), (1_000, "kB"))
MEGABYTE = 1_000_000


def to_units(ms: float) -> int:
    """Convert milliseconds to tenths of a millisecond."""
    return round(ms * MS)


def read_span(text: str) -> int:
    """Convert a span such as `250ms`, `2s` or `1h30m` to tenths of a millisecond; raises ValueError."""
    import durationpy  # imported late, as humanfriendly below: with the platform's JSON a relay needs neither

    if not isinstance(text, str) or len(text) > 40 or not re.match(SPAN_PATTERN, text):
        raise ValueError(text)
    try:
        ticks, rest = divmod(durationpy.from_str(text), TICK)
    except (durationpy.DurationError, OverflowError) as error:
        raise ValueError(text) from error
    if rest:
        raise ValueError(f"{text} is finer than a tenth of a millisecond")
    return ticks


def write_span(ticks: int) -> str:
    """Format tenths of a millisecond so that `read_span` reads them back."""
    import durationpy

    return durationpy.to_str(ticks * TICK) if ticks else "0s"


def read_size(text: str) -> int:
    """Convert a size such as `192MB` to bytes; raises ValueError."""
    import humanfriendly

    if not isinstance(text, str) or len(text) > 40 or not re.match(SIZE_PATTERN, text):
        raise ValueError(text)
    return humanfriendly.parse_size(text)


def write_size(byte_count: int) -> str:
    """Format bytes in the largest unit that is exact, so that `read_size` reads them back."""
    for scale, unit in SCALES:
        if byte_count and byte_count % scale == 0:
            return f"{byte_count // scale}{unit}"
    return f"{byte_count}B"
