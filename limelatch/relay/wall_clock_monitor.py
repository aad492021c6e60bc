"""Notices when the machine's wall clock is set: the log's times jump with it, the relay's spans do not."""

from __future__ import annotations

from collections.abc import Callable

from limelatch.interface import MS, SECOND
from limelatch.logs import logger, say
from limelatch.relay.anchor_file import AnchorFile
from limelatch.relay.clock import Clock
from limelatch.relay.deadlines import Deadlines

log = logger("deadlines")

LOOK_EVERY = SECOND
STEP_LEAST = SECOND // 10  # less is left until it adds up, as where the clock is slewed


class WallWatch:
    """Compares the wall clock with the timeline once a second, and keeps the folder's anchor true."""

    def __init__(
        self, clock: Clock, deadlines: Deadlines, file: AnchorFile, owns_folder: Callable[[], bool]
    ) -> None:
        """`owns_folder`: false while another process still writes the folder's files."""
        self._clock, self._deadlines, self._file, self._owns_folder = clock, deadlines, file, owns_folder
        self._ahead, self._kept = clock.wall_ahead(), False

    def start(self) -> None:
        """Keep the anchor, and look from now on."""
        say(log, "clock-resumed", by=self._clock.resumption.value, ahead_ms=self._ahead // MS)
        self._keep()
        self._deadlines.after(LOOK_EVERY, self._look)

    def _look(self) -> None:
        ahead = self._clock.wall_ahead()
        if abs(ahead - self._ahead) >= STEP_LEAST:
            say(log, "clock-stepped", by_ms=(ahead - self._ahead) // MS, ahead_ms=ahead // MS)
            self._ahead, self._kept = ahead, False
        if not self._kept:
            self._keep()
        self._deadlines.after(LOOK_EVERY, self._look)

    def _keep(self) -> None:
        if self._owns_folder():
            self._kept = self._file.keep(self._clock)
