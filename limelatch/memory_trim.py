"""Decides when a process looks for memory that it has freed, to give it back to the kernel. Does no I/O."""

from __future__ import annotations

from limelatch.interface import SECOND

TRIM_ABOVE_REST = (
    4_000_000  # bytes; free memory is looked for while the process has so much more than at rest
)
TRIM_GAIN = 1_000_000  # bytes; a trim that gives back less is not worth repeating soon
MIN_TRIM_INTERVAL = 2 * SECOND
MAX_TRIM_INTERVAL = 64 * SECOND


class TrimSchedule:
    """When the process looks for free memory to give back; times of the relay's clock, sizes in bytes."""

    def __init__(self, rest: int) -> None:
        """`rest`: the process's memory when it began to serve."""
        self._rest, self._next_at, self._interval = rest, 0, MIN_TRIM_INTERVAL
        self._trimmed_at, self._size_then = 0, rest

    def is_due(self, now: int, size: int) -> bool:
        """Whether to trim now, with the process's present size."""
        if size < self._rest + TRIM_ABOVE_REST:
            return False
        has_grown = size > self._size_then + TRIM_GAIN
        return now >= (self._trimmed_at + MIN_TRIM_INTERVAL if has_grown else self._next_at)

    def trimmed(self, now: int, before: int, after: int) -> None:
        """A trim has changed the process's size; one without effect is repeated later and later."""
        is_useful = before - after >= TRIM_GAIN
        self._interval = MIN_TRIM_INTERVAL if is_useful else min(2 * self._interval, MAX_TRIM_INTERVAL)
        self._trimmed_at, self._size_then, self._next_at = now, after, now + self._interval
