"""Hosts: calls, batches and probes over HTTP/1.1, one call a connection at a time, never sent again here."""

from __future__ import annotations

import base64
import json
import re
from collections import defaultdict
from dataclasses import dataclass, field

from twisted.internet.protocol import ClientFactory

from limelatch.configuration import Address
from limelatch.interface import MS, SECOND, HostId, Result
from limelatch.logs import LimitedLog, logger, log_event
from limelatch.relay.clock import Clock
from limelatch.relay.deadlines import Deadline, Deadlines
from limelatch.relay.end_reason import (
    FINISHED_STATES,
    FINISHED_STATUSES,
    RESULT_BY_END_REASON,
    RESULT_BY_STATE,
    RESULT_BY_STATUS,
    EndReason,
)
from limelatch.relay.http import HttpClientProtocol, Response, request_head
from limelatch.relay.line_receiver import waits
from limelatch.relay.slots import Slots

log = logger("hosts")

ANSWER_MOST, OUTBOUND, REPORT_MOST = 64 * 1024, 32 * 1024, 1e6
REPORT = re.compile(rb"\s*([0-9A-Za-z_]+)\s*=\s*([0-9]{1,9}(?:\.[0-9]{0,18})?(?:[eE]-?[0-9]{1,2})?)\s*\Z")


@dataclass(slots=True)
class OutgoingText:
    """One text in a call."""

    text: bytes
    idempotency_key: bytes
    body: bytes
    due_at: int  # when the relay stops waiting
    idle_limit: int  # for how long the connection may stand idle afterwards


@dataclass(slots=True)
class Outcome:
    """How one text of a call fared."""

    result: Result
    finished: bool = False
    retry_after: int = 0
    report: dict[str, float] = field(default_factory=dict)
    unsent: bool = False  # held back as its connection came up


@dataclass(slots=True, eq=False)
class Call:
    """One call, or one probe where it has no texts."""

    host: HostId
    texts: list[OutgoingText]
    sent_at: int
    batched: bool = False  # written as a batch, and so answered as one
    idle_time: int = 0  # how long its connection had stood idle; 0 for a new one
    deadline: Deadline | None = None
    connection: Connection | None = None
    response_started_at: int = 0  # when the first line of its answer was read

    def is_late(self, now: int) -> bool:
        """Whether what proves a delivery was read when the relay should have stopped waiting: the first line,
        in a batch the whole answer."""
        return (now if self.batched else self.response_started_at) >= self.deadline.when


def read_retry_after(headers: dict[bytes, bytes]) -> int:
    """Retry-After, in seconds with decimals, as tenths of a millisecond; rounded up."""
    match = re.fullmatch(rb"[0-9]{1,6}(\.[0-9]{1,9})?", headers.get(b"retry-after", b""))
    return -int(-float(match[0]) * SECOND // 1) if match else 0


def read_report(headers: dict[bytes, bytes]) -> dict[str, float]:
    """X-Pressure: names and values; a report that can't be read whole, or is beyond reason, says nothing."""
    pairs = [REPORT.match(pair) for pair in headers.get(b"x-pressure", b"").split(b",")]
    found = {match[1].decode(): float(match[2]) for match in pairs if match}
    return found if all(pairs) and all(value <= REPORT_MOST for value in found.values()) else {}


def read_outcomes(call: Call, response: Response, body: bytes) -> list[Outcome]:
    """What an answer says of each text of its call; raises ValueError where it can't be read."""
    wait, report = read_retry_after(response.headers), read_report(response.headers)
    if call.batched and response.status == 200:
        states = {row["id"].encode(): row["state"] for row in json.loads(body)}
        return [
            Outcome(RESULT_BY_STATE[states[each.text]], states[each.text] in FINISHED_STATES, wait, report)
            for each in call.texts
        ]
    result = RESULT_BY_STATUS.get(response.status, Result.ERROR)
    if call.batched and response.status in (410, 504):  # these speak of one text
        result = Result.ERROR
    if response.status == 503 and response.headers.get(b"x-no-slot") == b"1":
        result = Result.NOT_SENT
    elif response.status == 503 and not (call.idle_time or response.keep_alive or report or wait):
        result = Result.CONNECT  # a new connection, turned away and closed: the host holds no more of them
    if call.batched and response.status == 400:
        result = Result.NOT_SENT  # a batch that was not read
    finished = response.status in FINISHED_STATUSES and result is not Result.ERROR
    return [Outcome(result, finished, wait, report) for _ in call.texts]


def too_late(outcome: Outcome) -> Outcome:
    """What an answer that ends a text is worth once the relay should have stopped waiting for it: as much as
    a time-out, whichever of the two the reactor comes to first; a wait that it tells holds.

    Guards against a delivery that counts at the relay alone, so that a text has no end at all: nobody tells
    whether such an answer was given in time. Another end does no harm to a text that has one."""
    result = Result.TIMEOUT if outcome.result is Result.DELIVERED else outcome.result
    return Outcome(result, False, outcome.retry_after, outcome.report)


def write_call(call: Call, host: str, now: int) -> list[bytes]:
    """The request of a call, a batch or a probe, in pieces."""
    if not call.texts:
        return [request_head("GET", "/ping", host, None, [])]
    wait = max(1, (min(each.due_at for each in call.texts) - now) // MS)
    headers = [("X-Remaining", f"{wait}m")]
    if len(call.texts) == 1:
        one = call.texts[0]
        headers.append(("X-Txn", one.text.decode()))
        if one.idempotency_key:
            headers.append(("Idempotency-Key", one.idempotency_key.decode()))
        return [request_head("POST", "/v1/messages", host, len(one.body), headers), one.body]
    rows = []
    for each in call.texts:
        row = {"id": each.text.decode(), "body": base64.b64encode(each.body).decode()}
        rows.append(row | ({"key": each.idempotency_key.decode()} if each.idempotency_key else {}))
    body = json.dumps(rows, separators=(",", ":")).encode()
    headers.append(("Content-Type", "application/json"))
    return [request_head("POST", "/v1/messages:batch", host, len(body), headers), body]


class Connection(HttpClientProtocol):
    """One connection to a host."""

    def __init__(self, pool: HostPool, host: HostId, call: Call) -> None:
        super().__init__(ANSWER_MOST, OUTBOUND)
        self.pool, self.host, self.call = pool, host, call
        self.number, self.connector, self.deadline = None, None, None
        self.up, self.rested_at, self.address = False, 0, pool.addresses.get(host)

    def clean(self) -> bool:
        """Whether nothing is left of its last call, either way, and its peer has sent nothing since.

        Guards against a second answer, or noise, that would pass for the answer to the next call."""
        if self.end_reason is not None or not self.connected or self.inbound or not self.outflow.empty:
            return False
        return not waits(self.transport)

    def connectionMade(self) -> None:
        super().connectionMade()
        self.up = True
        self.deadline.cancel()
        self.pool.send_on(self)

    def response_started(self) -> None:
        if self.call is not None:
            self.call.response_started_at = self.pool.clock.now()

    def response_received(self, response: Response, body: bytes) -> None:
        self.pool.response_received(self, response, body)

    def connection_ended(self, end_reason: EndReason) -> None:
        if end_reason is EndReason.CONNECTION_LOST and not self.outflow.empty:
            end_reason = self.end_reason = EndReason.REQUEST_INCOMPLETE
        self.pool.lost(self, end_reason)

    def give_up(self, end_reason: EndReason) -> None:
        """Close it, whether it is up or still coming up."""
        if self.up:
            self.close(end_reason)
        elif self.end_reason is None:
            self.end_reason = end_reason
            if self.connector is not None:
                self.connector.stopConnecting()


class Dial(ClientFactory):
    """One try to connect."""

    noisy = False

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def buildProtocol(self, address) -> Connection:
        return self.connection

    def clientConnectionFailed(self, connector, reason) -> None:
        connection = self.connection
        connection.end_reason = connection.end_reason or EndReason.REFUSED
        connection.pool.lost(connection, connection.end_reason)


class HostPool:
    """All connections to hosts, in numbered slots; the idle ones by host, the last used first."""

    def __init__(
        self,
        reactor,
        deadlines: Deadlines,
        clock: Clock,
        driver,
        most: int,
        connect_wait: int,
        probe_wait: int,
    ) -> None:
        self.reactor, self.deadlines, self.clock, self.driver = reactor, deadlines, clock, driver
        self.connect_wait, self.probe_wait = connect_wait, probe_wait
        self.connections: Slots[Connection] = Slots(most)
        self.idle: defaultdict[HostId, list[Connection]] = defaultdict(list)
        self.addresses: dict[HostId, Address] = {}
        self.calls_in_flight, self.limited_log = 0, LimitedLog(log, clock)

    def send(self, host: HostId, texts: list[OutgoingText]) -> None:
        """One call with these texts, or a probe; its outcomes go to the driver."""
        now = self.clock.now()
        call = Call(host, texts, now)
        self.calls_in_flight += 1
        due = min(each.due_at for each in texts) if texts else now + self.probe_wait
        call.deadline = self.deadlines.at(due, lambda: self._out_of_time(call))
        while (waiting := self.idle.get(host)) and (connection := waiting.pop()):
            connection.deadline.cancel()
            if connection.clean():
                call.connection, connection.call = connection, call
                call.idle_time = max(1, now - connection.rested_at)
                self.send_on(connection)
                return
            connection.give_up(EndReason.MALFORMED if connection.inbound else EndReason.CLOSED_BY_PEER)
        self._connect(call)

    def _connect(self, call: Call) -> None:
        if self.connections.full:
            self._close_oldest_idle()
        connection = call.connection = Connection(self, call.host, call)
        connection.number = self.connections.take(connection)
        address = self.addresses.get(call.host)
        if connection.number is None or address is None:
            end_reason = EndReason.NO_SLOT if connection.number is None else EndReason.REFUSED
            self.deadlines.after(0, lambda: self.lost(connection, end_reason))
            return
        connection.deadline = self.deadlines.after(
            self.connect_wait, lambda: connection.give_up(EndReason.CONNECT_TIMEOUT)
        )
        connection.connector = self.reactor.connectTCP(
            address.host, address.port, Dial(connection), timeout=None
        )

    def set_limit(self, most: int) -> None:
        """Hold so many connections from now on; idle ones beyond it are closed."""
        self.connections.size = most
        while len(self.connections) > most and any(self.idle.values()):
            self._close_oldest_idle()

    def _close_oldest_idle(self) -> None:
        resting = [waiting[0] for waiting in self.idle.values() if waiting]
        if resting:
            oldest = min(resting, key=lambda connection: connection.rested_at)
            self.idle[oldest.host].remove(oldest)
            oldest.give_up(EndReason.IDLE)
            self.connections.release(oldest.number)
            oldest.number = None

    def send_on(self, connection: Connection) -> None:
        """The connection is up: write its call, less the texts that are not to go any more."""
        call, now = connection.call, self.clock.now()
        if call is None:  # it was given up as it came up
            connection.give_up(EndReason.IDLE)
            return
        held = [
            each
            for each in call.texts
            if not (self.driver.may_send(now, each.text, call.host) and self.driver.start_submit(call, each))
        ]
        if held:
            call.texts = [each for each in call.texts if each not in held]
            for each in held:
                self.driver.submit_ended(
                    call, each, Outcome(RESULT_BY_END_REASON[EndReason.NOT_SENT], unsent=True)
                )
            if not call.texts:
                self._finish(call)
                self._rest(connection, held[0].idle_limit)
                return
        call.batched = len(call.texts) > 1
        connection.send_request(*write_call(call, str(self.addresses.get(call.host, "")), now))

    def response_received(self, connection: Connection, response: Response, body: bytes) -> None:
        call = connection.call
        if call is None:
            connection.give_up(EndReason.MALFORMED)
            return
        keep = min((each.idle_limit for each in call.texts), default=0)
        try:
            outcomes = read_outcomes(call, response, body)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            self.limited_log("answer-not-read", host=call.host, why=repr(error))
            connection.give_up(EndReason.MALFORMED)
            return
        late = call.is_late(self.clock.now())
        self._finish(call)
        if not call.texts:
            result = RESULT_BY_STATUS.get(response.status, Result.ERROR)
            self.driver.probe_ended(call, result, read_report(response.headers))
        for each, outcome in zip(call.texts, outcomes, strict=True):
            self.driver.submit_ended(call, each, too_late(outcome) if late and outcome.finished else outcome)
        self._rest(connection, keep if response.keep_alive else 0)

    def _rest(self, connection: Connection, keep: int) -> None:
        """The connection stands idle for as long as the module said.

        Guards against one in use while its host moved: it would go on to the address that it has left."""
        connection.call = None
        if connection.end_reason is not None:
            return
        moved = connection.address is None or self.addresses.get(connection.host) != connection.address
        if keep <= 0 or moved or not connection.clean():
            connection.give_up(EndReason.IDLE)
            return
        connection.deadline = self.deadlines.after(keep, lambda: connection.give_up(EndReason.IDLE))
        connection.rested_at = self.clock.now()
        self.idle[connection.host].append(connection)

    def close_idle(self, host: HostId) -> None:
        for connection in self.idle.pop(host, []):
            connection.give_up(EndReason.IDLE)

    def set_address(self, host: HostId, address: Address | None) -> None:
        """Where the host is reached now; nothing is kept to one that is gone, at rest or has moved."""
        if self.addresses.get(host, address) != address:
            self.close_idle(host)
        if address is None:
            self.addresses.pop(host, None)
        else:
            self.addresses[host] = address

    def _out_of_time(self, call: Call) -> None:
        """The relay stops waiting: the call is given up whole, by closing its connection.

        Guards against a text of a batch that ends alone while its submit stays out: what the others are
        answered after that end does not count as delivered, and a copy of it may go out beside it."""
        call.connection.give_up(
            EndReason.ANSWER_TIMEOUT if call.connection.awaiting_response else EndReason.CONNECT_TIMEOUT
        )

    def _finish(self, call: Call) -> None:
        self.calls_in_flight -= 1
        call.deadline.cancel()

    def lost(self, connection: Connection, end_reason: EndReason) -> None:
        """A connection is over; a call that was out on it has its outcome now."""
        if connection.deadline is not None:
            connection.deadline.cancel()
        if connection.number is not None:
            self.connections.release(connection.number)
            connection.number = None
        waiting = self.idle.get(connection.host, [])
        if connection in waiting:
            waiting.remove(connection)
        call, connection.call = connection.call, None
        if end_reason in (EndReason.MALFORMED, EndReason.NO_SLOT):
            self.limited_log("host-connection-bad", host=connection.host, why=end_reason.value)
        else:
            log_event(log, "host-connection-ended", host=connection.host, why=end_reason.value)
        if call is None:
            return
        self._finish(call)
        result, finished, response = RESULT_BY_END_REASON[end_reason], False, connection.response
        if (
            response is not None
            and response.status == 200
            and not call.batched
            and not call.is_late(call.response_started_at)
        ):
            result, finished = Result.MALFORMED, True  # its first line is true; the call may run on
        if not call.texts:
            self.driver.probe_ended(call, result, {})
        for each in call.texts:
            self.driver.submit_ended(call, each, Outcome(result, finished))
