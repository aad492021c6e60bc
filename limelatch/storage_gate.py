"""Which steps of a text go on, and which wait, while writes to the state directory fail.

Does no I/O itself; times are tenths of a millisecond of the relay's clock. See docs/design/folder.md.
"""

from __future__ import annotations

from limelatch.interface import SECOND

RETRY_AFTER = SECOND // 4  # from a failed write to the next attempt


class StorageGate:
    """Whether the state directory accepts writes, by its last write."""

    def __init__(self) -> None:
        self.failing_since: int | None = None

    @property
    def may_submit(self) -> bool:
        """Whether submits may be sent: the record of a submit must be written first, and each attempt counts.

        A new text is not held up here: the write of its own record decides whether it is accepted."""
        return self.failing_since is None

    def write_failed(self, now: int) -> None:
        """A write has failed; the caller tries again after `RETRY_AFTER`."""
        if self.failing_since is None:
            self.failing_since = now

    def write_succeeded(self, now: int) -> int | None:
        """A write has succeeded: for how long writes had failed, None where none had."""
        if self.failing_since is None:
            return None
        span, self.failing_since = now - self.failing_since, None
        return span

    @staticmethod
    def notice_due(now: int, valid_until: int, recorded: bool) -> int:
        """When the final answer of a text is reported to the platform.

        At once where its record is written, else when its validity ends: before that a restart would take the
        text for unfinished."""
        return now if recorded else max(now, valid_until)
