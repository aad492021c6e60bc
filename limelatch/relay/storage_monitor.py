"""Handles a state directory that can't be written: retries writes, delays notices until recorded.

What has to wait meanwhile, and what goes on, is decided in `limelatch.storage_gate`.
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
    """Whether one relay's state directory can be written, by the results of the ledger's writes."""

    def __init__(
        self,
        clock: Clock,
        deadlines: Deadlines,
        notify: Callable[[bytes, dict], None],
        recovered: Callable[[], None],
    ) -> None:
        """`notify` sends a text's notice; `recovered` is called when a retry has succeeded."""
        self._clock, self._deadlines, self._notify, self._recovered = clock, deadlines, notify, recovered
        self.gate = StorageGate()
        self.ledger: Ledger | None = None  # whose results are reported here; set by the driver
        self._unrecorded_notices: dict[bytes, dict] = {}  # notices whose records are not written yet, by text
        self._next_retry: Deadline | None = None
        self.limited_log = LimitedLog(log, clock)

    def on_write_result(self, error: OSError | None) -> None:
        """A call on the state directory has failed with `error`, or a write has succeeded again (None)."""
        now = self._clock.now()
        if error is not None:
            self.gate.write_failed(now)
            unwritten_bytes = len(self.ledger.unwritten) if self.ledger is not None else 0
            self.limited_log("folder-failing", why=error, bytes=unwritten_bytes)
            if self._next_retry is None:
                self._next_retry = self._deadlines.after(RETRY_AFTER, self._retry)
        elif (failure_time := self.gate.write_succeeded(now)) is not None:
            log_event(log, "folder-mended", after_ms=failure_time // MS)
            for text in list(self._unrecorded_notices):
                self._send(text)

    def send_notice(self, text: bytes, notice: dict, valid_until: int, is_recorded: bool) -> None:
        """Send the notice of a text's final answer, at once or when the gate allows it."""
        now = self._clock.now()
        send_at = self.gate.notice_due(now, valid_until, is_recorded)
        if send_at <= now:
            self._notify(text, notice)
        else:
            self._unrecorded_notices[text] = notice
            self._deadlines.at(send_at, lambda: self._send(text))

    def retry_at_exit(self) -> None:
        """Try once more to write what waits in memory, before the process ends."""
        if not self.gate.may_submit:
            self.ledger.retry_write()

    def _retry(self) -> None:
        """Write what waits in memory, before anything new is recorded."""
        self._next_retry = None
        if not self.gate.may_submit and self.ledger.retry_write():
            self._recovered()

    def _send(self, text: bytes) -> None:
        """Send a delayed notice, unless it has been sent already."""
        if (notice := self._unrecorded_notices.pop(text, None)) is not None:
            self._notify(text, notice)
