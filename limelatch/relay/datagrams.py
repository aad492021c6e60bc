"""UDP sockets that survive a failed read."""

from __future__ import annotations

from twisted.internet import udp

from limelatch.logs import HeldDown, logger
from limelatch.relay.transport import Resting, SteadyTicks

log = logger("membership")


class RetryingDatagramPort(Resting, udp.Port):
    """A UDP socket that pauses after a failed read and goes on; Twisted's own closes for good."""

    def __init__(self, *arguments, **more) -> None:
        super().__init__(*arguments, **more)
        self.held_down = HeldDown(log, SteadyTicks())

    def doRead(self) -> None:
        try:
            super().doRead()
        except OSError as error:
            self.held_down("datagram-not-read", why=error)
            self.rest_from_reading()
