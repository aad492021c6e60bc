"""This relay's incarnation among the members, kept in the folder that lasts."""

from __future__ import annotations

import os
import zlib

from limelatch.logs import logger, log_event
from limelatch.membership.messages import INCARNATION_MOST
from limelatch.relay.atomic_file import replace_file

log = logger("membership")
FILE = "incarnation"


class IncarnationFile:
    """One line, the number and its checksum; replaced whole. What can't be read counts as absent."""

    def __init__(self, folder: str) -> None:
        self.path = os.path.join(folder, FILE)

    def read(self) -> int:
        """The last incarnation, 0 where none is kept."""
        try:
            with open(self.path, encoding="ascii") as file:
                word, checksum = file.read(64).split()
            if int(checksum) == zlib.crc32(word.encode()) and 1 <= int(word) < INCARNATION_MOST:
                return int(word)
            log_event(log, "incarnation-not-read", why="its checksum or its value is wrong")
        except FileNotFoundError:
            pass
        except (OSError, ValueError) as error:
            log_event(log, "incarnation-not-read", why=error)
        return 0

    def write(self, incarnation: int) -> None:
        """Keep it; where the disk refuses, the other members tell it at the next start."""
        word = b"%d" % incarnation
        try:
            replace_file(self.path, b"%s %d\n" % (word, zlib.crc32(word)))
        except OSError as error:
            log_event(log, "incarnation-not-written", why=error)
