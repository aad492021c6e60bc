"""The file `clock` of the folder that lasts, by which a new process goes on with the timeline of the last."""

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
    """Reads and keeps the anchor of one folder."""

    def __init__(self, folder: str) -> None:
        self.path = os.path.join(folder, ANCHOR_FILE)

    def load_clock(self) -> Clock:
        """The timeline that the folder's texts are on. Raises OSError where the file can't be read."""
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
        """Whether the anchor is in the folder as it is now."""
        try:
            replace_file(self.path, clock.anchor().encode())
        except OSError as error:
            log_event(log, "clock-not-written", why=error)
            return False
        return True
