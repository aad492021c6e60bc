"""UDP sockets that bear a read which fails."""

from __future__ import annotations

from twisted.internet import udp

from limelatch.logs import HeldDown, logger
from limelatch.relay.transport import PausableDescriptor, MonotonicClock

log = logger("membership")


class PatientDatagramPort(PausableDescriptor, udp.Port):
    """A UDP socket that outlives a read which fails; Twisted's own closes for good."""

    def __init__(self, *arguments, **more) -> None:
        super().__init__(*arguments, **more)
        self.held_down = HeldDown(log, MonotonicClock())

    def doRead(self) -> None:
        try:
            super().doRead()
        except OSError as error:
            self.held_down("datagram-not-read", why=error)
            self.pause_reading()
