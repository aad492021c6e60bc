"""Opening a listening port at the start, with retries while it is taken or the machine lacks resources."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.error import CannotListenError

from limelatch.configuration import Address
from limelatch.interface import SECOND
from limelatch.logs import logger, log_event
from limelatch.relay.clock import Clock
from limelatch.relay.transport import ACCEPT_RESOURCE_ERRORS

log = logger("driver")

PORT_TIMEOUT = SECOND  # for a port that is in use at the start
RESOURCE_TIMEOUT = 20 * SECOND  # for a machine without buffers or descriptors at the start
PORT_RETRY_INTERVAL = SECOND // 20


class PortUnavailable(Exception):
    """The port could not be opened within the time for retries."""


class PortOpening:
    """The attempts to open one port; `listen` raises twisted's CannotListenError if one fails.

    The retries guard against an old process that is ending and has not closed the port yet, and against a
    moment in which the machine has no descriptors."""

    def __init__(self, clock: Clock, address: Address, listen: Callable[[], None]) -> None:
        self._clock, self._address, self._listen = clock, address, listen
        self._deadline: int | None = None  # of the retries; None before the first failure
        self.is_open = False

    def attempt(self) -> bool:
        """Try once, unless the port is open; return whether it is.

        Raises PortUnavailable after the last retry."""
        if self.is_open:
            return True
        try:
            self._listen()
        except CannotListenError as error:
            self._note_failure(error.socketError)
            return False
        self.is_open = True
        return True

    def _note_failure(self, error: OSError) -> None:
        now = self._clock.now()
        if self._deadline is None:
            is_shortage = error.errno in ACCEPT_RESOURCE_ERRORS
            self._deadline = now + (RESOURCE_TIMEOUT if is_shortage else PORT_TIMEOUT)
            log_event(log, "port-taken", listen=self._address, why=error)
        if now >= self._deadline:
            log_event(log, "not-serving", listen=self._address, why=error)
            raise PortUnavailable(str(self._address))
