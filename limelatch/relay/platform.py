"""The platform: notices of texts that ended undelivered, repeated until they are answered."""

from __future__ import annotations

import json
from collections.abc import Callable

from twisted.internet.protocol import ClientFactory

from limelatch.configuration import Address
from limelatch.logs import logger, log_event
from limelatch.relay.end_reason import EndReason
from limelatch.relay.http import HttpClientProtocol, Response, request_head

log = logger("platform")

BODY_MOST, NOTICES_MOST = 4 * 1024, 200


class PlatformConnection(HttpClientProtocol):
    """The connection to the platform."""

    def __init__(self, notifier: Notifier) -> None:
        super().__init__(BODY_MOST, 32 * 1024)
        self.notifier = notifier

    def connectionMade(self) -> None:
        super().connectionMade()
        self.notifier.send()

    def response_received(self, response: Response, body: bytes) -> None:
        if (
            not response.keep_alive or self.inbound
        ):  # what came behind would pass for the next request's answer
            self.close(EndReason.CLOSED_BY_PEER)
        self.notifier.answered(response.status)

    def connection_ended(self, end_reason: EndReason) -> None:
        self.notifier.lost(self, end_reason)


class Notifier(ClientFactory):
    """Keeps the notices that are owed; one request is out at a time."""

    noisy = False

    def __init__(
        self,
        reactor,
        deadlines,
        address: Address,
        wait: int,
        retry_interval: int,
        on_acknowledged: Callable[[bytes], None],
    ) -> None:
        self.reactor, self.deadlines, self.address = reactor, deadlines, address
        self.wait, self.retry_interval, self.on_acknowledged = wait, retry_interval, on_acknowledged
        self.pending: dict[bytes, dict] = {}
        self.in_flight: list[bytes] = []
        self.connection: PlatformConnection | None = None
        self._connector, self._deadline, self._paused, self._losses = None, None, False, 0

    def move(self, address: Address) -> None:
        """Send notices to another address from now on; those that no one has answered go there again."""
        if address != self.address:
            self.address = address
            if self.connection is not None:
                self.connection.close(EndReason.ADDRESS_CHANGED)
            elif self._connector is not None:
                self._connector.stopConnecting()

    def add_notice(self, text: bytes, fields: dict) -> None:
        self.pending[text] = fields
        self.send()

    def send(self) -> None:
        """Send all that is owed, unless a request is out or a pause runs."""
        if not self.pending or self.in_flight or self._paused:
            return
        if self.connection is None:
            if self._connector is None:
                address = self.address
                self._connector = self.reactor.connectTCP(address.host, address.port, self, timeout=None)
                self._deadline = self.deadlines.after(self.wait, self._too_long)
            return
        if not self.connection.connected or self.connection.end_reason is not None:
            return
        self.in_flight = list(self.pending)[:NOTICES_MOST]
        rows = [json.dumps({"ref": text.decode()} | self.pending[text]) + "\n" for text in self.in_flight]
        body = "".join(rows).encode()
        head = request_head(
            "POST", "/reports", str(self.address), len(body), [("Content-Type", "application/x-ndjson")]
        )
        self._clear()
        self._deadline = self.deadlines.after(self.wait, self._too_long)
        self.connection.send_request(head + body)

    def _clear(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _too_long(self) -> None:
        if self.connection is not None:
            self.connection.close(EndReason.ANSWER_TIMEOUT)
        elif self._connector is not None:
            self._connector.stopConnecting()

    def answered(self, status: int) -> None:
        self._clear()
        in_flight, self.in_flight = self.in_flight, []
        if status == 204:
            self._losses = 0
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
        self.lost(None, EndReason.REFUSED)

    def lost(self, connection: PlatformConnection | None, end_reason: EndReason) -> None:
        self._clear()
        self.connection = self._connector = None
        self.in_flight = []
        if end_reason not in (EndReason.CLOSED_BY_PEER, EndReason.ADDRESS_CHANGED) and self.reactor.running:
            log_event(log, "platform-lost", why=end_reason.value, owed=len(self.pending))
        if self.pending and not self._paused:  # a kept connection may break under a request: again at once
            self._pause(self.retry_interval if self._losses else 0)
        self._losses += 1
