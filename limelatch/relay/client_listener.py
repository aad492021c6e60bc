"""The clients' port and its table of connections."""

from __future__ import annotations

import socket

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ServerFactory

from limelatch.command_budget import CommandBudget
from limelatch.connection_eviction import Candidate, EvictionOrder
from limelatch.interface import SECOND
from limelatch.logs import logger, log_event
from limelatch.memory_account import MemoryAccount
from limelatch.relay.client_log import ClientLog, ClientState
from limelatch.relay.clients import MAX_CHECK_INTERVAL, Client
from limelatch.relay.end_reason import EndReason
from limelatch.relay.line_receiver import has_unread_bytes
from limelatch.relay.slots import Slots

log = logger("clients")

PAUSE_GRACE = SECOND  # after PAUSE a load balancer stops sending connections; those on their way still arrive
LISTEN_BACKLOG = 128  # connections that wait in the kernel to be accepted
MAX_ACCEPTS_PER_TURN = 32  # leaves time in a reactor turn for calls, the catalog and timers
MAX_UNREAD_CHECKS = 16  # connections found with an unread request before the search for room gives up
FULL_TABLE_CHECK_INTERVAL = SECOND // 100  # between two searches for room while accepting is paused
DEFAULT_MAX_OPEN = 1 << 20  # open connections, where the caller sets no limit


class Listener(ServerFactory):
    """The clients' port and its table of connections; while the table is full the port accepts no more."""

    noisy = False

    def __init__(
        self, driver, max_connections: int, max_buffered_bytes: int, max_open: int = DEFAULT_MAX_OPEN
    ) -> None:
        """`max_connections`: size of the table; `max_open`: with those that are still closing."""
        self.driver = driver
        self.connections = Slots(max_connections)
        self.eviction_order: EvictionOrder[Client] = EvictionOrder()
        self.open = 0  # open connections, including those that are closing
        self.max_open = max_open
        self._accept_update_due = False  # the port's limit of accepts is about to be updated
        self.stopping, self.port, self._accepting_paused = False, None, False
        self.paused = self.closing = False  # paused: PING is refused; closing: idle connections are closed
        self._grace = self._room_check = None
        self.memory: MemoryAccount[Client] = MemoryAccount(max_buffered_bytes)
        self.client_log = ClientLog(driver.clock)
        self.budget: CommandBudget[Client] = CommandBudget()
        self._commands_due = False  # the budget's next turn is about to begin

    def buildProtocol(self, address) -> Client | None:
        """None closes the connection at once, unread.

        Guards against a burst in one turn of the reactor: connections that make room are closed only after
        the turn, and the burst would use up the descriptors of all other parties meanwhile."""
        if self.open >= self.max_open:
            self.client_log.ended(EndReason.NO_SLOT, address.host, ClientState.UNSERVED)
            return None
        return Client(self)

    def count_open(self, more: int) -> None:
        """Count connections, and update how many the port accepts in the reactor's next turn. The others
        wait in the kernel's queue and are not refused.

        Guards against Twisted's own limit, which grows by 20 a turn while connections wait: clients that
        reconnect as soon as they are closed would occupy the reactor for longer and longer."""
        self.open += more
        if not self._accept_update_due:
            self._accept_update_due = True
            self.driver.deadlines.after(0, self._update_accept_limit)

    def _update_accept_limit(self) -> None:
        self._accept_update_due, free = False, self.max_open - self.open
        if self.port is None:
            return
        self.port.numberAccepts = max(1, min(MAX_ACCEPTS_PER_TURN, free))
        if free <= 0 and not self._accepting_paused:
            self._accepting_paused = True
            self.port.stopReading()

    def listen(self, reactor, host: str, port: int, is_standby: bool = False) -> None:
        """Listen with SO_REUSEPORT, so that a new version can serve on the same port during an upgrade.

        Only a standby process (`is_standby`) joins a port in use; any other is refused, because it would
        share the clients of another relay. Raises CannotListenError."""
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as shared:
                if not is_standby:
                    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as alone:
                        alone.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        alone.bind((host, port))
                shared.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                shared.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
                shared.bind((host, port))
                shared.listen(LISTEN_BACKLOG)
                shared.setblocking(False)
                self.port = reactor.adoptStreamPort(
                    shared.fileno(), socket.AF_INET, self
                )  # duplicates the socket
                self._update_accept_limit()
        except OSError as error:
            raise CannotListenError(host, port, error) from None

    def charge_memory(self, client: Client) -> None:
        """Charge what a client's commands hold; over the limit, refuse the largest and slowest.

        Guards against half-sent bodies on many connections, which together outgrow the memory."""
        self.memory.update(client, self.driver.clock.now())
        self._shed()

    def _shed(self) -> None:
        while (shed := self.memory.next_to_shed(self.driver.clock.now())) is not None:
            shed.reply("-BUSY")
            shed.end(EndReason.NO_MEMORY)

    def must_wait(self, client: Client) -> bool:
        """Whether the client's next command waits for those of others, or for the reactor's next turn.

        Guards against clients that send hundreds of commands at once: the notices and calls of other texts
        would wait until all of them are answered."""
        if self.budget.must_wait(client):
            self._schedule_commands()
            return True
        return False

    def count_command(self, client: Client) -> None:
        """Count a command that is carried out in this turn of the reactor."""
        self.budget.count_command(client)
        self._schedule_commands()

    def _schedule_commands(self) -> None:
        if not self._commands_due:
            self._commands_due = True
            self.driver.deadlines.after(0, self._run_waiting_commands)

    def _run_waiting_commands(self) -> None:
        """A new turn of the reactor: carry out commands that had to wait."""
        self._commands_due = False
        self.budget.begin_turn()
        while (client := self.budget.next_connection()) is not None:
            client.resume_parsing()
        if self.budget:
            self._schedule_commands()

    @property
    def is_crowded(self) -> bool:
        """Whether half the table is used: guards against clients that send one command and then stay idle,
        taking the slots of others."""
        return len(self.connections) * 2 > self.connections.size

    def note_activity(self, client: Client) -> None:
        """The connection is new, or has just sent something."""
        self.eviction_order.note_activity(client)

    def remove(self, client: Client) -> None:
        """Free the client's slot in the table."""
        self.connections.release(client.slot)
        client.slot = None
        self.eviction_order.remove(client)

    def make_room(self, newest: Client | None = None) -> None:
        """The table is full: close the connection that gives way first; pause accepting if none does."""
        idle = self._longest_idle(newest)
        if idle is not None:
            self._end_for_room(idle)
            self.resume_accepting()
        elif self.port is not None:
            if not self._accepting_paused:
                self._accepting_paused = True
                self.port.stopReading()
            if self._room_check is None:
                self._room_check = self.driver.deadlines.after(FULL_TABLE_CHECK_INTERVAL, self._check_room)

    def _end_for_room(self, client: Client) -> None:
        """End a connection that gives way; a command that it has sent in part is refused."""
        if not client.between_requests():
            client.reply("-BUSY")
        client.end(EndReason.NO_SLOT)
        self.remove(client)

    def set_limits(self, max_connections: int, max_open: int, max_buffered_bytes: int) -> None:
        """Change the limits. Idle connections beyond them are closed now, the others once they are idle."""
        self.connections.size, self.max_open = max_connections, max_open
        self.memory.limit = max_buffered_bytes
        self._shed()
        while len(self.connections) > max_connections and (idle := self._longest_idle(None)) is not None:
            self._end_for_room(idle)
        self._refuse_waiting()
        if self.connections.is_full:
            self.make_room()
        else:
            self.resume_accepting()
        self.count_open(0)

    def _refuse_waiting(self) -> None:
        """Close connections beyond the limit whose commands wait, if none of their texts was accepted.

        Guards against clients that write all the time, whose connections are never idle: the two processes of
        an upgrade would hold more descriptors than both may."""
        excess = len(self.connections) - self.connections.size
        waiting = [
            each
            for each in self.connections
            if each in self.budget and self.eviction_order.may_be_refused(each)
        ]
        for each in waiting[: max(0, excess)]:
            each.reply("-BUSY")
            each.end(EndReason.NO_SLOT, has_unread_input=True)
            self.budget.remove(each)
            self.remove(each)

    def _longest_idle(self, newest: Client | None) -> Client | None:
        """The connection that gives way first, of those that await no answer and have no unread request.

        Only the first few are checked for an unread request, which is a system call each: guards against a
        crowd of idle clients that reconnect at once, for each of which the whole table was checked, until the
        relay did nothing else."""
        unread, found, now = [], None, self.driver.clock.now()
        candidates = (
            Candidate(each, now - each.last_received_at, not each.between_requests())
            for each in self.eviction_order
            if not (each is newest or each.awaiting_answer or each.end_reason or each in self.budget)
        )
        for each in self.eviction_order.giving_way(candidates, self.connections.size):
            if not has_unread_bytes(each.transport):
                found = each
                break
            unread.append(each)
            if len(unread) == MAX_UNREAD_CHECKS:
                break
        for each in unread:  # they have sent something, which is read in the reactor's next turn
            self.eviction_order.note_activity(each)
        return found

    def _check_room(self) -> None:
        """A connection that awaited an answer, or had an unread request, may be idle by now."""
        self._room_check = None
        if self._accepting_paused:
            self.make_room()

    def resume_accepting(self) -> None:
        """Accept again if accepting is paused and the limits allow it."""
        if self._accepting_paused and not self.connections.is_full and self.open < self.max_open:
            self._accepting_paused = False
            self.port.startReading()

    def stop(self, handed_over: bool = False) -> None:
        """Close idle connections; those that still come get one answer each.

        `handed_over`: a new process listens on the same address; this port is closed, so that the new process
        gets all connections."""
        self.stopping = True
        if handed_over:
            self._close_port()
        self._close_idle()

    def has_pending_requests(self) -> bool:
        """Whether any request is unanswered, unread or being received, or may be about to arrive on a
        connection that was just made."""
        now = self.driver.clock.now()
        return any(
            each.awaiting_answer
            or each in self.budget
            or has_unread_bytes(each.transport)
            or not each.has_sent_command
            and each.last_received_at > now - SECOND // 10
            or not each.between_requests()
            and each.last_received_at > now - MAX_CHECK_INTERVAL
            for each in self.connections
            if each.end_reason is None
        )

    def stop_reading(self) -> None:
        """Read nothing more; answers are still written, also to commands that had to wait."""
        self._close_port()
        while self.budget:
            self._run_waiting_commands()
        for each in self.connections:
            if each.end_reason is None:
                each.transport.pauseProducing()

    def _close_port(self) -> None:
        port, self.port, self._accepting_paused = self.port, None, False
        if port is not None:
            port.stopListening()

    def _close_idle(self) -> None:
        for client in self.connections:
            if client.is_idle():
                client.end(EndReason.STOPPING)

    def pause(self) -> None:
        """Start a drain: PING is refused at once; after PAUSE_GRACE idle connections are closed.

        Where the port is not open yet an earlier process was told of the drain, and no grace is left."""
        if not self.paused:
            self.paused = True
            log_event(log, "paused", owed=len(self.driver.accepted))
            if self.port is None:
                self.closing = True
                return
            self._grace = self.driver.deadlines.after(PAUSE_GRACE, self._start_closing)

    def _start_closing(self) -> None:
        self.closing, self._grace = True, None
        self._close_idle()

    def resume(self) -> None:
        """End a drain."""
        if self.paused:
            self.paused = self.closing = False
            log_event(log, "resumed", owed=len(self.driver.accepted))
            if self._grace is not None:
                self._grace.cancel()
                self._grace = None
