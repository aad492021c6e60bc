"""Detects steps of the machine's wall clock: log timestamps jump with it, the relay's clock does not."""

from __future__ import annotations

from collections.abc import Callable

from limelatch.interface import MS, SECOND
from limelatch.logs import logger, log_event
from limelatch.relay.anchor_file import AnchorFile
from limelatch.relay.clock import Clock
from limelatch.relay.deadlines import Deadlines

log = logger("deadlines")

CHECK_INTERVAL = SECOND
MIN_STEP = SECOND // 10  # smaller differences, as of a slewed clock, count once they add up to this


class WallClockMonitor:
    """Compares the wall clock with the relay's clock once a second and keeps the saved anchor up to date."""

    def __init__(
        self, clock: Clock, deadlines: Deadlines, file: AnchorFile, owns_directory: Callable[[], bool]
    ) -> None:
        """`owns_directory` returns false while another process still writes to the state directory."""
        self._clock = clock
        self._deadlines = deadlines
        self._file = file
        self._owns_directory = owns_directory
        self._last_ahead, self._saved = clock.wall_ahead(), False

    def start(self) -> None:
        """Save the anchor and begin to check."""
        log_event(log, "clock-resumed", by=self._clock.resumption.value, ahead_ms=self._last_ahead // MS)
        self._save()
        self._deadlines.after(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        ahead = self._clock.wall_ahead()
        if abs(ahead - self._last_ahead) >= MIN_STEP:
            log_event(log, "clock-stepped", by_ms=(ahead - self._last_ahead) // MS, ahead_ms=ahead // MS)
            self._last_ahead, self._saved = ahead, False
        if not self._saved:
            self._save()
        self._deadlines.after(CHECK_INTERVAL, self._check)

    def _save(self) -> None:
        if self._owns_directory():
            self._saved = self._file.save(self._clock)
