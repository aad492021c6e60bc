"""UDP sockets that survive a failed read."""

from __future__ import annotations

from twisted.internet import udp

from limelatch.logs import LimitedLog, logger
from limelatch.relay.transport import PausableDescriptor, MonotonicClock

log = logger("membership")


class RetryingDatagramPort(PausableDescriptor, udp.Port):
    """A UDP socket that pauses after a failed read and goes on; Twisted's own closes for good."""

    def __init__(self, *arguments, **more) -> None:
        super().__init__(*arguments, **more)
        self.limited_log = LimitedLog(log, MonotonicClock())

    def doRead(self) -> None:
        try:
            super().doRead()
        except OSError as error:
            self.limited_log("datagram-not-read", why=error)
            self.pause_reading()
