"""Reports texts that ended undelivered to the platform; each notice is repeated until it is acknowledged.

Each request has a connection of its own, so a response can't be a delayed copy of an earlier one: a notice
that is taken for acknowledged by mistake would be lost."""

from __future__ import annotations

import json
from collections.abc import Callable

from twisted.internet.protocol import ClientFactory

from limelatch.configuration import Address
from limelatch.logs import logger, log_event
from limelatch.notice_retry import wait_before_repeat
from limelatch.relay.end_reason import EndReason
from limelatch.relay.http import HttpClientProtocol, Response, request_head

log = logger("platform")

MAX_BODY_BYTES = 4 * 1024
MAX_NOTICES = 200  # in one request


class NoticeRequest(HttpClientProtocol):
    """One request with notices, on its own connection to the platform."""

    def __init__(self, notifier: Notifier) -> None:
        super().__init__(MAX_BODY_BYTES, 32 * 1024)
        self.notifier = notifier

    def connectionMade(self) -> None:
        """Send the notices that are pending by now."""
        super().connectionMade()
        self.notifier.send_on(self)

    def response_received(self, response: Response, body: bytes) -> None:
        """Close the connection, and pass on the status."""
        self.close(EndReason.FINISHED, finish_writing=True)
        self.notifier.response_received(response.status)

    def connection_ended(self, end_reason: EndReason) -> None:
        """Tell the notifier, unless the request has had its response."""
        if end_reason is not EndReason.FINISHED:
            self.notifier.request_failed(end_reason)


class Notifier(ClientFactory):
    """Holds the notices that the platform has not acknowledged and sends them, one request at a time.

    `timeout` limits the time for a connection and for an answer; `retry_interval` is the longest pause after
    a failure, and the pause after a refusal. Both are in tenths of a millisecond. `on_acknowledged` is called
    with the id of each acknowledged text."""

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
        self.request: NoticeRequest | None = None
        self._connector, self._deadline, self._paused, self._failure_count = None, None, False, 0

    def change_address(self, address: Address) -> None:
        """Send notices to another address from now on, including those not yet acknowledged."""
        if address != self.address:
            self.address = address
            self._abandon(EndReason.ADDRESS_CHANGED)

    def add_notice(self, text: bytes, fields: dict) -> None:
        """Report a text; `fields` are those of its row in the request, beside its id."""
        self.pending[text] = fields
        self.send()

    def send(self) -> None:
        """Start a request, if notices are pending, none is out and the notifier is not paused."""
        is_busy = self.request is not None or self._connector is not None
        if self.pending and not is_busy and not self._paused:
            address = self.address
            self._connector = self.reactor.connectTCP(address.host, address.port, self, timeout=None)
            self._set_deadline()

    def send_on(self, request: NoticeRequest) -> None:
        """The connection of the request is established: send the pending notices."""
        self.in_flight = list(self.pending)[:MAX_NOTICES]
        rows = [json.dumps({"ref": text.decode()} | self.pending[text]) + "\n" for text in self.in_flight]
        body = "".join(rows).encode()
        headers = [("Content-Type", "application/x-ndjson"), ("Connection", "close")]
        self._set_deadline()
        request.send_request(request_head("POST", "/reports", str(self.address), len(body), headers) + body)

    def _set_deadline(self) -> None:
        self._cancel_deadline()
        self._deadline = self.deadlines.after(self.timeout, lambda: self._abandon(EndReason.ANSWER_TIMEOUT))

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _abandon(self, end_reason: EndReason) -> None:
        """Give up the request that is out; its notices stay pending."""
        if self.request is not None:
            self.request.close(end_reason)
        elif self._connector is not None:
            self._connector.stopConnecting()

    def _finish_request(self) -> list[bytes]:
        """The request is over; return the texts whose notices it carried."""
        self._cancel_deadline()
        self.request = self._connector = None
        in_flight, self.in_flight = self.in_flight, []
        return in_flight

    def response_received(self, status: int) -> None:
        """Handle the status of the platform's response: 204 acknowledges all notices of the request."""
        in_flight = self._finish_request()
        if status == 204:
            self._failure_count = 0
            for text in in_flight:
                self.pending.pop(text, None)
                self.on_acknowledged(text)
            self.send()
        else:
            log_event(log, "notices-not-taken", status=status, notices=len(in_flight))
            self._pause(self.retry_interval)

    def request_failed(self, end_reason: EndReason) -> None:
        """The request's connection has ended without a response: its notices are sent again."""
        self._finish_request()
        if end_reason is not EndReason.ADDRESS_CHANGED and self.reactor.running:
            log_event(log, "platform-lost", why=end_reason.value, owed=len(self.pending))
        self._failure_count += 1
        if not self._paused:
            self._pause(wait_before_repeat(self._failure_count, self.retry_interval))

    def _pause(self, wait: int) -> None:
        self._paused = True
        self.deadlines.after(wait, self._resume)

    def _resume(self) -> None:
        self._paused = False
        self.send()

    def buildProtocol(self, address) -> NoticeRequest:
        """The request whose connection has been established."""
        self.request = NoticeRequest(self)
        return self.request

    def clientConnectionFailed(self, connector, reason) -> None:
        """The connection was refused, or the attempt stopped."""
        self.request_failed(EndReason.REFUSED)
