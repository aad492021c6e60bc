"""The platform: notices of texts that ended undelivered, repeated until they are answered."""

from __future__ import annotations

import json
from collections.abc import Callable

from twisted.internet.protocol import ClientFactory

from limelatch.configuration import Address
from limelatch.logs import logger, say
from limelatch.relay.ending import Ending
from limelatch.relay.http import HttpClientProtocol, Response, request_head

log = logger("platform")

BODY_MOST, NOTICES_MOST = 4 * 1024, 200


class Reporting(HttpClientProtocol):
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
            self.close(Ending.CLOSED_BY_PEER)
        self.notifier.answered(response.status)

    def connection_ended(self, ending: Ending) -> None:
        self.notifier.lost(self, ending)


class Notifier(ClientFactory):
    """Keeps the notices that are owed; one request is out at a time."""

    noisy = False

    def __init__(
        self, reactor, deadlines, address: Address, wait: int, again: int, settled: Callable[[bytes], None]
    ) -> None:
        self.reactor, self.deadlines, self.address = reactor, deadlines, address
        self.wait, self.again, self.settled = wait, again, settled
        self.owed: dict[bytes, dict] = {}
        self.out: list[bytes] = []
        self.connection: Reporting | None = None
        self._connector, self._deadline, self._paused, self._losses = None, None, False, 0

    def move(self, address: Address) -> None:
        """Send notices to another address from now on; those that no one has answered go there again."""
        if address != self.address:
            self.address = address
            if self.connection is not None:
                self.connection.close(Ending.MOVED)
            elif self._connector is not None:
                self._connector.stopConnecting()

    def notice(self, text: bytes, words: dict) -> None:
        self.owed[text] = words
        self.send()

    def send(self) -> None:
        """Send all that is owed, unless a request is out or a pause runs."""
        if not self.owed or self.out or self._paused:
            return
        if self.connection is None:
            if self._connector is None:
                address = self.address
                self._connector = self.reactor.connectTCP(address.host, address.port, self, timeout=None)
                self._deadline = self.deadlines.after(self.wait, self._too_long)
            return
        if not self.connection.connected or self.connection.end_reason is not None:
            return
        self.out = list(self.owed)[:NOTICES_MOST]
        rows = [json.dumps({"ref": text.decode()} | self.owed[text]) + "\n" for text in self.out]
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
            self.connection.close(Ending.SILENT)
        elif self._connector is not None:
            self._connector.stopConnecting()

    def answered(self, status: int) -> None:
        self._clear()
        out, self.out = self.out, []
        if status == 204:
            self._losses = 0
            for text in out:
                self.owed.pop(text, None)
                self.settled(text)
            self.send()
        else:
            say(log, "notices-not-taken", status=status, notices=len(out))
            self._pause(self.again)

    def _pause(self, wait: int) -> None:
        self._paused = True
        self.deadlines.after(wait, self._resume)

    def _resume(self) -> None:
        self._paused = False
        self.send()

    def buildProtocol(self, address) -> Reporting:
        self.connection = Reporting(self)
        return self.connection

    def clientConnectionFailed(self, connector, reason) -> None:
        self.lost(None, Ending.REFUSED)

    def lost(self, connection: Reporting | None, ending: Ending) -> None:
        self._clear()
        self.connection = self._connector = None
        self.out = []
        if ending not in (Ending.CLOSED_BY_PEER, Ending.MOVED) and self.reactor.running:
            say(log, "platform-lost", why=ending.value, owed=len(self.owed))
        if self.owed and not self._paused:  # a kept connection may break under a request: again at once
            self._pause(self.again if self._losses else 0)
        self._losses += 1
