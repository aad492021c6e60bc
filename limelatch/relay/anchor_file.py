"""The file `clock` of the state directory, from which a new process resumes the previous one's timeline."""

from __future__ import annotations

import os

from limelatch.logs import logger, log_event
from limelatch.relay.clock import (
    MAX_ANCHOR_BYTES,
    Anchor,
    AnchorError,
    Clock,
    ClockReading,
    resume_after_bad_anchor,
    resume_timeline,
)
from limelatch.relay.ledger import error_context
from limelatch.relay.atomic_file import replace_file

log = logger("deadlines")

ANCHOR_FILE = "clock"


class AnchorFile:
    """Reads and writes the anchor of one state directory."""

    def __init__(self, state_dir: str) -> None:
        self.path = os.path.join(state_dir, ANCHOR_FILE)

    def load_clock(self) -> Clock:
        """The clock that the times in this state directory refer to. Raises OSError where the read fails.

        An anchor that is corrupt is logged, and the clock starts anew with earlier spans uncertain."""
        reading = ClockReading.read()
        try:
            with error_context("read", self.path), open(self.path, "rb") as file:
                line = file.read(MAX_ANCHOR_BYTES)
            timeline = resume_timeline(Anchor.decode(line), reading)
        except FileNotFoundError:
            timeline = resume_timeline(None, reading)
        except AnchorError as error:
            log_event(log, "clock-not-read", why=error)
            timeline = resume_after_bad_anchor(reading)
        return Clock(timeline, reading.boot)

    def save(self, clock: Clock) -> bool:
        """Write the clock's current anchor; a failure is logged and returns false."""
        try:
            replace_file(self.path, clock.anchor().encode())
        except OSError as error:
            log_event(log, "clock-not-written", why=error)
            return False
        return True
