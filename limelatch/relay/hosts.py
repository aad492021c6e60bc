"""The pool of connections to hosts: which connection carries a call, and what becomes of the call.

A call is never repeated here: retries are decided by the policy, and which connections are used again by
limelatch/connection_reuse.py."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from limelatch.configuration import Address
from limelatch.connection_reuse import ConnectionReuse, is_certain
from limelatch.interface import MS, HostId, Result
from limelatch.logs import LimitedLog, logger, log_event
from limelatch.relay.clock import Clock
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.end_reason import RESULT_BY_END_REASON, RESULT_BY_STATUS, EndReason
from limelatch.relay.host_calls import Call, OutgoingText, write_call
from limelatch.relay.host_connection import ConnectAttempt, Connection
from limelatch.relay.host_outcomes import (
    Outcome,
    doubted_outcome,
    late_outcome,
    read_outcomes,
    read_report,
    read_retry_after,
)
from limelatch.relay.http import Response, read_headers
from limelatch.relay.slots import Slots

log = logger("hosts")

MAX_STATUS_LINE_SHOWN = 64  # bytes of a surplus response that are logged


@dataclass(slots=True)
class ConnectionCounts:
    """Counts of this process: calls written, those of them on a connection that had carried one before,
    connections opened, and surplus responses."""

    calls: int = 0
    reused: int = 0
    opened: int = 0
    surplus: int = 0


class HostPool:
    """All connections to hosts, in a table of limited size. `reuse` decides which idle ones carry calls."""

    def __init__(
        self,
        reactor,
        deadlines: Deadlines,
        clock: Clock,
        driver,
        max_connections: int,
        connect_wait: int,
        probe_wait: int,
    ) -> None:
        """`connect_wait`, `probe_wait`: in tenths of a millisecond."""
        self.reactor, self.deadlines, self.clock, self.driver = reactor, deadlines, clock, driver
        self.connect_wait, self.probe_wait = connect_wait, probe_wait
        self.connections: Slots[Connection] = Slots(max_connections)
        self.idle: defaultdict[HostId, list[Connection]] = defaultdict(list)
        self.addresses: dict[HostId, Address] = {}
        self.calls_in_flight, self.limited_log = 0, LimitedLog(log, clock)
        self.counts, self.reuse = ConnectionCounts(), ConnectionReuse()

    def send(self, host: HostId, texts: list[OutgoingText]) -> None:
        """Start one call with these texts, or a probe without any; its outcomes go to the driver."""
        now = self.clock.now()
        call = Call(host, texts, now)
        self.calls_in_flight += 1
        due = min(each.due_at for each in texts) if texts else now + self.probe_wait
        call.deadline = self.deadlines.at(due, lambda: self._call_timed_out(call))
        connection = self._take_idle(call, now)
        if connection is None:
            self._connect(call)
            return
        call.connection, connection.call = connection, call
        call.idle_time = max(1, now - connection.idle_since)
        self.send_on(connection)

    def _take_idle(self, call: Call, now: int) -> Connection | None:
        """An idle connection for the call; None if it needs a new one."""
        once_only = ordered = False
        for each in call.texts:
            once_only = once_only or each.once_only
            ordered = ordered or each.ordered
        call.needs_own_connection = self.reuse.needs_own_connection(now, call.host, once_only, ordered)
        idle_connections = self.idle.get(call.host, [])
        while not call.needs_own_connection:
            index = self.reuse.choose(now, idle_connections)
            if index is None:
                return None
            connection = idle_connections.pop(index)
            connection.deadline.cancel()
            if connection.is_reusable():
                return connection
            if surplus := connection.unread():
                connection.dataReceived(surplus)
            connection.abandon(EndReason.CLOSED_BY_PEER)
        return None

    def _connect(self, call: Call) -> None:
        if self.connections.is_full:
            self._close_oldest_idle()
        self.counts.opened += 1
        connection = call.connection = Connection(self, call.host, call)
        connection.slot = self.connections.take(connection)
        address = self.addresses.get(call.host)
        if connection.slot is None or address is None:
            end_reason = EndReason.NO_SLOT if connection.slot is None else EndReason.REFUSED
            self.deadlines.after(0, lambda: self.connection_lost(connection, end_reason))
            return
        connection.deadline = self.deadlines.after(
            self.connect_wait, lambda: connection.abandon(EndReason.CONNECT_TIMEOUT)
        )
        connection.connector = self.reactor.connectTCP(
            address.host, address.port, ConnectAttempt(connection), timeout=None
        )

    def log_counts(self) -> None:
        """Log the counts of this process."""
        counts = self.counts
        log_event(
            log,
            "host-connections",
            calls=counts.calls,
            reused=counts.reused,
            opened=counts.opened,
            surplus=counts.surplus,
            open=len(self.connections),
        )

    def set_limit(self, max_connections: int) -> None:
        """Change the size of the table; idle connections beyond it are closed."""
        self.connections.size = max_connections
        while len(self.connections) > max_connections and any(self.idle.values()):
            self._close_oldest_idle()

    def _close_oldest_idle(self) -> None:
        oldest_by_host = [connections[0] for connections in self.idle.values() if connections]
        if oldest_by_host:
            oldest = min(oldest_by_host, key=lambda connection: connection.idle_since)
            self.idle[oldest.host].remove(oldest)
            oldest.abandon(EndReason.IDLE)
            self.connections.release(oldest.slot)
            oldest.slot = None

    def send_on(self, connection: Connection) -> None:
        """The connection is established: write its call, without the texts that must not be sent any more."""
        call, now = connection.call, self.clock.now()
        if call is None:  # the call was abandoned meanwhile
            connection.abandon(EndReason.IDLE)
            return
        withdrawn = [
            each
            for each in call.texts
            if not (self.driver.may_send(now, each.text, call.host) and self.driver.start_submit(call, each))
        ]
        if withdrawn:
            call.texts = [each for each in call.texts if each not in withdrawn]
            for each in withdrawn:
                self.driver.submit_ended(
                    call, each, Outcome(RESULT_BY_END_REASON[EndReason.NOT_SENT], unsent=True)
                )
            if not call.texts:
                self._finish(call)
                connection.idle_since = now
                self._keep_idle(connection, withdrawn[0].idle_limit)
                return
        call.batched = len(call.texts) > 1
        connection.last_call = call
        self.counts.calls += 1
        self.counts.reused += connection.use_count > 0
        connection.send_request(*write_call(call, str(self.addresses.get(call.host, "")), now))

    def surplus_received(self, connection: Connection, data: bytes) -> None:
        """Bytes have come that no request asked for: the host is distrusted, and where they may be the true
        response to the connection's last call, its outcome is in doubt."""
        now, call = self.clock.now(), connection.last_call
        is_idle = connection.call is None
        is_behind_response = not is_idle and not connection.awaiting_response
        lag = 0 if is_behind_response or not connection.idle_since else now - connection.idle_since
        self.counts.surplus += 1
        self.limited_log(
            "surplus-response",
            host=connection.host,
            connection=connection.number,
            uses=connection.use_count,
            text=b",".join(each.text for each in call.texts) if call is not None else b"",
            idle_ms=lag // MS if is_idle else None,
            starts=data.partition(b"\r\n")[0][:MAX_STATUS_LINE_SHOWN],
        )
        if self.reuse.surplus_received(now, connection.host, lag):
            self.limited_log("host-not-trusted", host=connection.host, why="surplus response")
        if retry_after := read_retry_after(read_headers(data)):
            self.driver.host_asked_to_wait(connection.host, retry_after)
        if is_idle and call is not None and not is_certain(connection.use_count, has_surplus=True):
            for each in call.texts:
                self.driver.submit_doubted(call, each)

    def response_received(self, connection: Connection, response: Response, body: bytes) -> None:
        """Report the outcomes of the connection's call, and keep the connection if it can be reused."""
        call = connection.call
        if call is None:
            connection.abandon(EndReason.MALFORMED)
            return
        idle_limit = min((each.idle_limit for each in call.texts), default=0)
        try:
            outcomes = read_outcomes(call, response, body)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            self.limited_log("answer-not-read", host=call.host, why=repr(error))
            if wait := read_retry_after(response.headers):
                self.driver.host_asked_to_wait(call.host, wait)
            connection.abandon(EndReason.MALFORMED)
            return
        if not is_certain(connection.use_count, connection.has_surplus):
            outcomes = [doubted_outcome(each.retry_after) for each in outcomes]
        now = connection.idle_since = self.clock.now()
        late, call.status = call.is_late(now), response.status
        self._finish(call)
        if not call.texts:
            result = RESULT_BY_STATUS.get(response.status, Result.ERROR)
            self.driver.probe_ended(call, result, read_report(response.headers))
        for each, outcome in zip(call.texts, outcomes, strict=True):
            self.driver.submit_ended(
                call, each, late_outcome(outcome) if late and outcome.finished else outcome
            )
        self._keep_idle(connection, idle_limit if response.keep_alive else 0)

    def _keep_idle(self, connection: Connection, idle_limit: int) -> None:
        """Keep the connection, idle since its `idle_since`, for as long as the policy allows, else close it.

        Guards against a connection that was in use while its host moved: it leads to the old address."""
        connection.call = None
        if connection.end_reason is not None:
            return
        moved = connection.address is None or self.addresses.get(connection.host) != connection.address
        if idle_limit <= 0 or moved or not connection.is_at_rest():
            connection.abandon(EndReason.SURPLUS if connection.has_surplus else EndReason.IDLE)
            return
        idle_limit = self.reuse.idle_limit(
            connection.idle_since,
            connection.host,
            idle_limit,
            len(self.idle.get(connection.host, [])),
            connection.last_call is not None and connection.last_call.needs_own_connection,
        )
        if idle_limit <= 0:
            connection.abandon(EndReason.IDLE)
            return
        connection.deadline = self.deadlines.after(idle_limit, lambda: connection.abandon(EndReason.IDLE))
        self.idle[connection.host].append(connection)

    def close_idle(self, host: HostId) -> None:
        """Close all idle connections to the host."""
        for connection in self.idle.pop(host, []):
            connection.abandon(EndReason.IDLE)

    def set_address(self, host: HostId, address: Address | None) -> None:
        """Set the host's address, None if it is not needed; idle connections to an old address are closed."""
        if self.addresses.get(host, address) != address:
            self.close_idle(host)
        if address is None:
            self.addresses.pop(host, None)
        else:
            self.addresses[host] = address

    def _call_timed_out(self, call: Call) -> None:
        """The deadline has passed: abandon the whole call by closing its connection.

        Guards against a batch of which one text ends while its submit is still running: the texts answered
        after that would not count as delivered, and a copy of the text might be sent at the same time."""
        call.connection.abandon(
            EndReason.ANSWER_TIMEOUT if call.connection.awaiting_response else EndReason.CONNECT_TIMEOUT
        )

    def _finish(self, call: Call) -> None:
        self.calls_in_flight -= 1
        call.deadline.cancel()
        for each in call.texts:
            each.body = b""  # the connection refers to the call for as long as it is idle

    def connection_lost(self, connection: Connection, end_reason: EndReason) -> None:
        """A connection has ended; a call that was running on it gets its outcome."""
        if connection.deadline is not None:
            connection.deadline.cancel()
        if connection.slot is not None:
            self.connections.release(connection.slot)
            connection.slot = None
        idle_connections = self.idle.get(connection.host, [])
        if connection in idle_connections:
            idle_connections.remove(connection)
        call, connection.call = connection.call, None
        if end_reason in (EndReason.MALFORMED, EndReason.SURPLUS, EndReason.NO_SLOT):
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
            and connection.use_count == 1
        ):
            # its status line counts; the host may still be running the call
            result, finished = Result.MALFORMED, True
        if not call.texts:
            self.driver.probe_ended(call, result, {})
        for each in call.texts:
            is_unsent = end_reason is EndReason.NOT_RESENT
            self.driver.submit_ended(call, each, Outcome(result, finished, unsent=is_unsent))
