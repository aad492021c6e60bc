"""Decides how long to wait before notices that the platform has not acknowledged are sent again.

Does no I/O. Times are tenths of a millisecond."""

from __future__ import annotations

from limelatch.interface import MS

FIRST_WAIT = 20 * MS  # after a second failure in a row; doubles with each further one


def wait_before_repeat(failure_count: int, longest: int) -> int:
    """The wait after so many failures in a row, `longest` at the most; 0 after the first.

    A notice has to be acknowledged soon after the end of its text's validity period."""
    if failure_count <= 1:
        return 0
    return min(longest, FIRST_WAIT << min(failure_count - 2, 20))
