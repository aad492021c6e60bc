"""What a relay does while the folder that lasts fails: which steps of a text go on, and which wait.

Free of I/O; times are tenths of a millisecond of the relay's clock. See docs/design/folder.md.
"""

from __future__ import annotations

from limelatch.interface import SECOND

RETRY_AFTER = SECOND // 4  # between a failed write and the next one


class StorageGate:
    """Whether the folder takes what is written to it, as its last write told."""

    def __init__(self) -> None:
        self.failing_since: int | None = None

    @property
    def may_submit(self) -> bool:
        """Whether submits go: their records must be written first, and one that can't be uses up an attempt.
        A text that is handed in needs no such wait: its own write tells whether it is taken on."""
        return self.failing_since is None

    def write_failed(self, now: int) -> None:
        """A write has failed; it is to be tried again after `RETRY_AFTER`."""
        if self.failing_since is None:
            self.failing_since = now

    def write_succeeded(self, now: int) -> int | None:
        """A write has worked: how long the folder had failed, None where it had not."""
        if self.failing_since is None:
            return None
        span, self.failing_since = now - self.failing_since, None
        return span

    @staticmethod
    def notice_due(now: int, valid_until: int, recorded: bool) -> int:
        """When the final answer of a text goes to the platform: at once where its record is written, else
        when its time is up, since a restart would take it for open before that."""
        return now if recorded else max(now, valid_until)
