"""The file `clock` of the folder that lasts, by which a new process goes on with the timeline of the last."""

from __future__ import annotations

import os

from limelatch.logs import logger, say
from limelatch.relay.clock import ANCHOR_MOST, Anchor, BadAnchor, Clock, Machine, begin_in_doubt, resume
from limelatch.relay.ledger import named
from limelatch.relay.atomic_file import replace_file

log = logger("deadlines")

FILE = "clock"


class AnchorFile:
    """Reads and keeps the anchor of one folder."""

    def __init__(self, folder: str) -> None:
        self.path = os.path.join(folder, FILE)

    def clock(self) -> Clock:
        """The timeline that the folder's texts are on. Raises OSError where the file can't be read."""
        machine = Machine.read()
        try:
            with named("read", self.path), open(self.path, "rb") as file:
                line = file.read(ANCHOR_MOST)
            timeline = resume(Anchor.decode(line), machine)
        except FileNotFoundError:
            timeline = resume(None, machine)
        except BadAnchor as error:
            say(log, "clock-not-read", why=error)
            timeline = begin_in_doubt(machine)
        return Clock(timeline, machine.boot)

    def keep(self, clock: Clock) -> bool:
        """Whether the anchor is in the folder as it is now."""
        try:
            replace_file(self.path, clock.anchor().encode())
        except OSError as error:
            say(log, "clock-not-written", why=error)
            return False
        return True
