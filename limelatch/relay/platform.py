"""Reports texts that ended undelivered to the platform; each notice is repeated until it is acknowledged."""

from __future__ import annotations

import json
from collections.abc import Callable

from twisted.internet.protocol import ClientFactory

from limelatch.configuration import Address
from limelatch.logs import logger, log_event
from limelatch.relay.end_reason import EndReason
from limelatch.relay.http import HttpClientProtocol, Response, request_head

log = logger("platform")

MAX_BODY_BYTES = 4 * 1024
MAX_NOTICES = 200  # in one request


class PlatformConnection(HttpClientProtocol):
    """The HTTP connection to the platform."""

    def __init__(self, notifier: Notifier) -> None:
        super().__init__(MAX_BODY_BYTES, 32 * 1024)
        self.notifier = notifier

    def connectionMade(self) -> None:
        super().connectionMade()
        self.notifier.send()

    def response_received(self, response: Response, body: bytes) -> None:
        if not response.keep_alive or self.inbound:  # extra bytes would be taken for the next answer
            self.close(EndReason.CLOSED_BY_PEER)
        self.notifier.response_received(response.status)

    def connection_ended(self, end_reason: EndReason) -> None:
        self.notifier.connection_ended(self, end_reason)


class Notifier(ClientFactory):
    """Holds the notices that the platform has not acknowledged and sends them, one request at a time.

    `timeout` limits the time for a connection and for an answer; `retry_interval` is the pause after a
    failure. Both are in tenths of a millisecond. `on_acknowledged` is called with the id of each acknowledged
    text."""

    noisy = False

    def __init__(
        self,
        reactor,
        deadlines,
        address: Address,
        timeout: int,
        retry_interval: int,
        on_acknowledged: Callable[[bytes], None],
    ) -> None:
        self.reactor, self.deadlines, self.address = reactor, deadlines, address
        self.timeout, self.retry_interval, self.on_acknowledged = timeout, retry_interval, on_acknowledged
        self.pending: dict[bytes, dict] = {}
        self.in_flight: list[bytes] = []
        self.connection: PlatformConnection | None = None
        self._connector, self._deadline, self._paused, self._loss_count = None, None, False, 0

    def change_address(self, address: Address) -> None:
        """Send notices to another address from now on, including those not yet acknowledged."""
        if address != self.address:
            self.address = address
            if self.connection is not None:
                self.connection.close(EndReason.ADDRESS_CHANGED)
            elif self._connector is not None:
                self._connector.stopConnecting()

    def add_notice(self, text: bytes, fields: dict) -> None:
        """Report a text; `fields` are those of its row in the request, beside its id."""
        self.pending[text] = fields
        self.send()

    def send(self) -> None:
        """Send pending notices, unless a request is in flight or the notifier is paused."""
        if not self.pending or self.in_flight or self._paused:
            return
        if self.connection is None:
            if self._connector is None:
                address = self.address
                self._connector = self.reactor.connectTCP(address.host, address.port, self, timeout=None)
                self._deadline = self.deadlines.after(self.timeout, self._timed_out)
            return
        if not self.connection.connected or self.connection.end_reason is not None:
            return
        self.in_flight = list(self.pending)[:MAX_NOTICES]
        rows = [json.dumps({"ref": text.decode()} | self.pending[text]) + "\n" for text in self.in_flight]
        body = "".join(rows).encode()
        head = request_head(
            "POST", "/reports", str(self.address), len(body), [("Content-Type", "application/x-ndjson")]
        )
        self._cancel_deadline()
        self._deadline = self.deadlines.after(self.timeout, self._timed_out)
        self.connection.send_request(head + body)

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _timed_out(self) -> None:
        if self.connection is not None:
            self.connection.close(EndReason.ANSWER_TIMEOUT)
        elif self._connector is not None:
            self._connector.stopConnecting()

    def response_received(self, status: int) -> None:
        """Handle the status of the platform's response: 204 acknowledges all notices of the request."""
        self._cancel_deadline()
        in_flight, self.in_flight = self.in_flight, []
        if status == 204:
            self._loss_count = 0
            for text in in_flight:
                self.pending.pop(text, None)
                self.on_acknowledged(text)
            self.send()
        else:
            log_event(log, "notices-not-taken", status=status, notices=len(in_flight))
            self._pause(self.retry_interval)

    def _pause(self, wait: int) -> None:
        self._paused = True
        self.deadlines.after(wait, self._resume)

    def _resume(self) -> None:
        self._paused = False
        self.send()

    def buildProtocol(self, address) -> PlatformConnection:
        self.connection = PlatformConnection(self)
        return self.connection

    def clientConnectionFailed(self, connector, reason) -> None:
        self.connection_ended(None, EndReason.REFUSED)

    def connection_ended(self, connection: PlatformConnection | None, end_reason: EndReason) -> None:
        """Handle the end of the connection: notices in flight stay pending and are sent again."""
        self._cancel_deadline()
        self.connection = self._connector = None
        self.in_flight = []
        if end_reason not in (EndReason.CLOSED_BY_PEER, EndReason.ADDRESS_CHANGED) and self.reactor.running:
            log_event(log, "platform-lost", why=end_reason.value, owed=len(self.pending))
        if self.pending and not self._paused:  # at once the first time: a kept-alive connection may close
            self._pause(self.retry_interval if self._loss_count else 0)
        self._loss_count += 1
