"""Follows a folder that fails: asks it again, and holds the notices that wait for their records.

What waits and what goes on is decided in `limelatch.storage_gate`.
"""

from __future__ import annotations

from collections.abc import Callable

from limelatch.storage_gate import RETRY_AFTER, StorageGate
from limelatch.interface import MS
from limelatch.logs import LimitedLog, logger, log_event
from limelatch.relay.clock import Clock
from limelatch.relay.deadlines import Deadline, Deadlines
from limelatch.relay.ledger import Ledger

log = logger("ledger")


class StorageMonitor:
    """One relay's folder, as the ledger's writes tell of it."""

    def __init__(
        self,
        clock: Clock,
        deadlines: Deadlines,
        notify: Callable[[bytes, dict], None],
        mended: Callable[[], None],
    ) -> None:
        """`notify` sends a text's notice; `mended` is called when texts and submits go on."""
        self._clock, self._deadlines, self._notify, self._mended = clock, deadlines, notify, mended
        self.gate = StorageGate()
        self.ledger: Ledger | None = None  # whose writes are told here
        self._unrecorded: dict[bytes, dict] = {}  # notices whose records are not in the folder yet
        self._next_try: Deadline | None = None
        self.limited_log = LimitedLog(log, clock)

    def on_write_result(self, error: OSError | None) -> None:
        """A call on the folder has failed, or a write worked again."""
        now = self._clock.now()
        if error is not None:
            self.gate.write_failed(now)
            waiting = len(self.ledger.unwritten) if self.ledger is not None else 0
            self.limited_log("folder-failing", why=error, bytes=waiting)
            if self._next_try is None:
                self._next_try = self._deadlines.after(RETRY_AFTER, self._try_again)
        elif (span := self.gate.write_succeeded(now)) is not None:
            log_event(log, "folder-mended", after_ms=span // MS)
            for text in list(self._unrecorded):
                self._send(text)

    def send_notice(self, text: bytes, notice: dict, valid_until: int, recorded: bool) -> None:
        """A text's final answer: its notice goes when the gate lets it."""
        now = self._clock.now()
        due = self.gate.notice_due(now, valid_until, recorded)
        if due <= now:
            self._notify(text, notice)
        else:
            self._unrecorded[text] = notice
            self._deadlines.at(due, lambda: self._send(text))

    def retry_at_exit(self) -> None:
        """The process ends: what waits in memory is written if it can be."""
        if not self.gate.may_submit:
            self.ledger.retry_write()

    def _try_again(self) -> None:
        """What waits in memory is written before anything new."""
        self._next_try = None
        if not self.gate.may_submit and self.ledger.retry_write():
            self._mended()

    def _send(self, text: bytes) -> None:
        if (notice := self._unrecorded.pop(text, None)) is not None:
            self._notify(text, notice)
