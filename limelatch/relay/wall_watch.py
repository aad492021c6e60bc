"""Tells when the machine's wall clock is set: the log's times jump with it, the relay's spans do not."""

from __future__ import annotations

from limelatch.interface import MS, SECOND
from limelatch.logs import logger, say
from limelatch.relay.deadlines import Clock, Deadlines

log = logger("deadlines")

LOOK_EVERY = SECOND
STEP_LEAST = SECOND // 10  # a slower change is the clock being slewed


class WallWatch:
    """Compares the wall clock with the relay's own once a second."""

    def __init__(self, clock: Clock, deadlines: Deadlines) -> None:
        self._clock, self._deadlines = clock, deadlines
        self._ahead = clock.wall_ahead()

    def start(self) -> None:
        """Look from now on."""
        self._deadlines.after(LOOK_EVERY, self._look)

    def _look(self) -> None:
        ahead = self._clock.wall_ahead()
        stepped_by, self._ahead = ahead - self._ahead, ahead
        if abs(stepped_by) >= STEP_LEAST:
            say(log, "clock-stepped", by_ms=stepped_by // MS, ahead_ms=ahead // MS)
        self._deadlines.after(LOOK_EVERY, self._look)
