"""Decides how soon the copy of the host list in the state directory follows a change. Does no I/O.

A start while the catalog is silent acts on the copy: a host that had gone may have left its address to a host
of another destination.
"""

from __future__ import annotations

from limelatch.interface import SECOND

COPY_RATE = 400_000  # bytes a second that copies of a list that changes all the time may write
MIN_INTERVAL = SECOND // 10
MAX_INTERVAL = 60 * SECOND


def copy_interval(size: int) -> int:
    """The time from the start of a copy to that of the next one, in tenths of a millisecond; `size` of the
    list in bytes."""
    return min(MAX_INTERVAL, max(MIN_INTERVAL, size * SECOND // COPY_RATE))
