"""The incarnation of this relay as a member, kept in the state directory."""

from __future__ import annotations

import os
import zlib

from limelatch.logs import logger, log_event
from limelatch.membership.messages import MAX_INCARNATION
from limelatch.relay.atomic_file import replace_file

log = logger("membership")
INCARNATION_FILE = "incarnation"


class IncarnationFile:
    """One line with the number and its CRC-32, replaced atomically. An unreadable file counts as absent."""

    def __init__(self, state_dir: str) -> None:
        self.path = os.path.join(state_dir, INCARNATION_FILE)

    def read(self) -> int:
        """The last incarnation; 0 if none is stored or the file is invalid, which is logged."""
        try:
            with open(self.path, encoding="ascii") as file:
                number, checksum = file.read(64).split()
            if int(checksum) == zlib.crc32(number.encode()) and 1 <= int(number) < MAX_INCARNATION:
                return int(number)
            log_event(log, "incarnation-not-read", why="the checksum or the value is wrong")
        except FileNotFoundError:
            pass
        except (OSError, ValueError) as error:
            log_event(log, "incarnation-not-read", why=error)
        return 0

    def write(self, incarnation: int) -> None:
        """Store it; if that fails, the next start learns the incarnation from the other members."""
        number = b"%d" % incarnation
        try:
            replace_file(self.path, b"%s %d\n" % (number, zlib.crc32(number)))
        except OSError as error:
            log_event(log, "incarnation-not-written", why=error)
