"""Spans and sizes: how people write them, and what the program counts in.

A span is counted in tenths of a millisecond, a size in bytes (1 kB is 1,000 bytes, 1 KiB 1,024).
"""

from __future__ import annotations

import re
from datetime import timedelta

from limelatch.interface import MS

SPAN_PATTERN = r"^([0-9]+(\.[0-9]+)?(us|ms|s|m|h|d))+$"
SIZE_PATTERN = r"^[0-9]+(\.[0-9]+)? ?(B|kB|KB|MB|GB|KiB|MiB|GiB)$"
TICK = timedelta(microseconds=100)
SCALES = ((1_000_000_000, "GB"), (1_000_000, "MB"), (1_000, "kB"))
MEGABYTE = 1_000_000


def to_units(ms: float) -> int:
    """Milliseconds as tenths of a millisecond."""
    return round(ms * MS)


def read_span(word: str) -> int:
    """A span such as `250ms`, `2s` or `1h30m` in tenths of a millisecond; raises ValueError."""
    import durationpy  # here and below: the relay on a platform's JSON needs neither

    if not isinstance(word, str) or len(word) > 40 or not re.match(SPAN_PATTERN, word):
        raise ValueError(word)
    try:
        ticks, rest = divmod(durationpy.from_str(word), TICK)
    except (durationpy.DurationError, OverflowError) as error:
        raise ValueError(word) from error
    if rest:
        raise ValueError(f"{word} is finer than a tenth of a millisecond")
    return ticks


def write_span(ticks: int) -> str:
    """Tenths of a millisecond as `read_span` reads them."""
    import durationpy

    return durationpy.to_str(ticks * TICK) if ticks else "0s"


def read_size(word: str) -> int:
    """A size such as `192MB` in bytes; raises ValueError."""
    import humanfriendly

    if not isinstance(word, str) or len(word) > 40 or not re.match(SIZE_PATTERN, word):
        raise ValueError(word)
    return humanfriendly.parse_size(word)


def write_size(count: int) -> str:
    """Bytes as `read_size` reads them, in the largest unit that is exact."""
    for scale, unit in SCALES:
        if count and count % scale == 0:
            return f"{count // scale}{unit}"
    return f"{count}B"
