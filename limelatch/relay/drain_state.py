"""Whether operators have drained the relay (PAUSE), for every process that the relay has until RESUME."""

from __future__ import annotations

import os
from contextlib import suppress

from limelatch.relay.ledger import error_context

DRAIN_FILE = "drained"  # in the state directory; empty


class DrainState:
    """The drain of one relay: the existence of a file, which can't be written in part.

    Both processes of an upgrade use the file, and so does a later start. Raises OSError if it can't be told
    whether the file exists: guards against a drained relay that serves clients."""

    def __init__(self, state_dir: str) -> None:
        self.path = os.path.join(state_dir, DRAIN_FILE)
        self.is_drained = self._is_stored()

    def _is_stored(self) -> bool:
        try:
            with error_context("stat", self.path):
                os.stat(self.path)
        except FileNotFoundError:
            return False
        return True

    def refresh(self) -> bool:
        """Whether the relay is drained by now: operators may have told the other process of an upgrade.

        If that can't be read, the known state stays, and the next call tries again."""
        with suppress(OSError):
            self.is_drained = self._is_stored()
        return self.is_drained

    def begin(self) -> None:
        """Store that the relay is drained. Raises OSError, and then it is not."""
        os.close(os.open(self.path, os.O_WRONLY | os.O_CREAT, 0o600))
        self.is_drained = True

    def end(self) -> None:
        """Store that the relay is not drained any more. Raises OSError, and then it still is."""
        with suppress(FileNotFoundError):
            os.remove(self.path)
        self.is_drained = False
