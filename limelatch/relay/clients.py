"""A client's connection: RESP2 over TCP with the commands PING, SUBMIT and QUIT."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import interfaces
from zope.interface import implementer

from limelatch.interface import SECOND
from limelatch.relay.client_log import ClientState
from limelatch.relay.end_reason import EndReason
from limelatch.relay.line_receiver import READ_SIZE, BufferedLineReceiver, has_peer_closed, has_unread_bytes
from limelatch.relay.submission import (
    DECIMAL,
    MAX_ARGUMENTS,
    MAX_COMMAND_SIZE,
    MAX_HEAD_SIZE,
    BadCommand,
    max_argument_size,
    read_submit,
    too_large_message,
)

if TYPE_CHECKING:
    from limelatch.relay.client_listener import Listener

LINGER_TIMEOUT = SECOND // 2  # for a client that does not read its last answer
MAX_CHECK_INTERVAL = SECOND // 2  # between two checks whether a connection is idle
CROWDED_IDLE_DIVISOR = 4  # while the table is crowded, the idle limit of its connections is divided by this
MAX_BAD_COMMANDS = 8  # on one connection, which is then closed
MAX_SKIPPED_SIZE = (
    1024 * 1024
)  # bytes of an oversized bulk string that are skipped; beyond it the connection ends
ACCEPTED = "+OK"  # the answer to a submission that is accepted
MAX_REPLY_SIZE = 256  # bytes


@implementer(interfaces.IHalfCloseableProtocol)
class Client(BufferedLineReceiver):
    """One client's connection. While a text awaits its answer, no further command is parsed."""

    delimiter = b"\r\n"

    def __init__(self, listener: Listener) -> None:
        super().__init__(self.MAX_LENGTH, 2 * MAX_REPLY_SIZE)
        self.listener, self.slot = listener, None
        self.arguments: list[bytes] = []
        self.partial = bytearray()  # a large argument that is being received
        self.partial_size = 0  # bytes allocated for it
        self.missing_arguments = self.missing_bytes = 0  # arguments, and bytes of this one, still to come
        self.arguments_size = 0  # bytes that the arguments begun so far have or will have
        self.received_size = 0  # bytes of those that are complete
        self.too_large = ""  # the error for an argument of this command that is skipped
        self.bytes_to_skip = 0
        self.awaiting_answer = False
        self.input_closed = False
        self.has_waited = False  # whether the command that is parsed next had to wait for others
        self.ended_in: ClientState | None = None  # its state when the relay ended it
        self.bytes_at_end = 0  # what it held then of commands
        self.is_lingering = False  # closed for writing
        self.discarded_bytes = 0  # bytes discarded since then
        self.has_sent_command = False
        self.bad_command_count = 0
        self.charged_bytes = 0  # this connection's part of the listener's memory account
        self.last_received_at = self.command_started_at = listener.driver.clock.now()
        self.deadline = None

    def connectionMade(self) -> None:
        """Take a slot in the table, or close the connection if there is none."""
        super().connectionMade()
        self.listener.count_open(1)
        self.slot = self.listener.connections.take(self)
        if self.slot is None:
            self.end(EndReason.NO_SLOT)
        else:
            self.listener.note_activity(self)
            self.deadline = self.listener.driver.deadlines.after(MAX_CHECK_INTERVAL, self._check_idle)
            if self.listener.connections.is_full:
                self.listener.make_room(self)

    @property
    def held_bytes(self) -> int:
        """Bytes allocated for commands that are being received or wait."""
        return self.inbound.allocated + self.received_size + self.partial_size

    def may_be_shed(self) -> bool:
        """Whether a command is received in part, or waits, and can be refused.

        A client whose text awaits its answer, or whose next command is on its way, would take the refusal for
        the answer to that."""
        return self.end_reason is None and not self.awaiting_answer and not self.between_requests()

    def _release_input(self) -> None:
        """Drop what was received, and give its memory back."""
        self.inbound.clear()
        self._drop_arguments()
        self.missing_arguments = self.missing_bytes = 0
        self.listener.memory.update(self, self.listener.driver.clock.now())

    def _drop_arguments(self) -> None:
        self.arguments, self.partial = [], bytearray()
        self.arguments_size = self.received_size = self.partial_size = 0

    def idle_deadline(self) -> int:
        """When this connection is closed as idle; a first or incomplete command has a limit of its own."""
        plan = self.listener.driver.plan
        if self.has_sent_command and self.between_requests():
            return self.last_received_at + plan.client_idle_timeout // (
                CROWDED_IDLE_DIVISOR if self.listener.is_crowded else 1
            )
        return self.command_started_at + plan.client_command_timeout

    def _check_idle(self) -> None:
        """Guards against connections that send nothing, or half a command, and keep a descriptor for good."""
        now, due = self.listener.driver.clock.now(), self.idle_deadline()
        has_input = has_unread_bytes(self.transport) and (
            self.between_requests() or now < due + MAX_CHECK_INTERVAL
        )
        if now >= due and not self.awaiting_answer and not has_input and self not in self.listener.budget:
            if not self.between_requests():
                self.reply("-ERR the command did not come whole in its time")
            self.end(EndReason.ANSWER_TIMEOUT)
        else:
            self.deadline = self.listener.driver.deadlines.at(
                min(max(due, now + SECOND // 10), now + MAX_CHECK_INTERVAL), self._check_idle
            )

    def end(self, end_reason: EndReason, has_unread_input: bool = False) -> None:
        """Close the connection after what was written; abort it if that takes longer than LINGER_TIMEOUT.

        `has_unread_input`: more of the client's input may be with the kernel."""
        if self.end_reason is not None:
            return
        self.ended_in, self.bytes_at_end = self.state(), self.held_bytes
        if self.between_requests() and not has_unread_input:
            self.close(end_reason, finish_writing=True)
        else:
            self._close_lingering(end_reason)
        self._release_input()
        if self.deadline is not None:
            self.deadline.cancel()
        self.deadline = self.listener.driver.deadlines.after(  # if the client reads no more
            LINGER_TIMEOUT, self.transport.abortConnection
        )

    def _close_lingering(self, end_reason: EndReason) -> None:
        """Close for writing, and discard further input until the client closes as well.

        Guards against a close with unread input: it resets the connection, and the last answer may be lost
        with it."""
        self.end_reason, self.is_lingering = end_reason, True
        self.outbound_writer.finish()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.transport.resumeProducing()

    def _discard(self, size: int) -> None:
        """Guards against a client that sends without end: no more than one command's size is discarded."""
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_COMMAND_SIZE:
            self.transport.abortConnection()

    def between_requests(self) -> bool:
        """Whether no request is being received or answered."""
        return not self.awaiting_answer and not self.missing_arguments and not self.inbound

    def state(self) -> ClientState:
        """What the connection is doing, for the log."""
        if self.slot is None:
            return ClientState.UNSERVED
        if self.awaiting_answer:
            return ClientState.ANSWER
        if not self.between_requests():
            return ClientState.COMMAND
        return ClientState.IDLE if self.has_sent_command else ClientState.NEW

    def is_idle(self) -> bool:
        """Whether it is between requests and none has arrived unread.

        Guards against a close during a request: it resets the connection, and the last answer may be lost
        with it."""
        return self.end_reason is None and self.between_requests() and not has_unread_bytes(self.transport)

    def dataReceived(self, data: bytes) -> None:
        """Buffer and parse input; discard it while the connection is lingering."""
        if self.is_lingering:
            self._discard(len(data))
            return
        self.last_received_at = self.listener.driver.clock.now()
        if self.slot is not None:
            self.listener.note_activity(self)
        if self.between_requests():
            self.command_started_at = self.last_received_at
            self.has_waited = False
        super().dataReceived(data)
        if self.held_bytes != self.charged_bytes:
            self.listener.charge_memory(self)

    def is_parsing_paused(self) -> bool:
        """Whether a text awaits its answer, the next reply might not fit into the outbound buffer, or the
        commands of other connections come first."""
        return (
            self.awaiting_answer
            or self._outbound.free < MAX_REPLY_SIZE
            or bool(self.inbound)
            and self.listener.must_wait(self)
        )

    def may_read(self) -> bool:
        """Whether more input may be read now.

        Behind a command that waits for its answer or its turn one read is kept, the rest stays with the
        kernel."""
        free = self.inbound.free
        if free == self.inbound.bound:
            return True
        return free >= READ_SIZE and not (self.awaiting_answer or self in self.listener.budget)

    def resume_parsing(self) -> None:
        """Go on with buffered commands, after those of other connections."""
        self.command_started_at = self.listener.driver.clock.now()
        self.has_waited = True
        self.pump()
        self.listener.charge_memory(self)
        if self.input_closed:
            self.readConnectionLost()

    def lineReceived(self, line: bytes) -> None:
        """Parse the head of a command or of a bulk string, or an inline command."""
        if self.missing_arguments:
            if not line.startswith(b"$") or not DECIMAL.match(line[1:]):
                self._protocol_error("a bulk string is wanted")
            else:
                self._expect_argument(int(line[1:]))
        elif line.startswith(b"*"):
            if not DECIMAL.match(line[1:]) or not 1 <= int(line[1:]) <= MAX_ARGUMENTS:
                self._protocol_error("an array of 1 to 16 bulk strings is wanted")
            else:
                self.missing_arguments = int(line[1:])
        elif line.strip():  # an inline command, as typed by hand
            self._run_command(line.split(None, MAX_ARGUMENTS))

    def _expect_argument(self, size: int) -> None:
        """The next argument has this size. A large one is collected in parts, or skipped."""
        if size + self.arguments_size <= MAX_HEAD_SIZE:
            self.arguments_size += size
            self.expect(size + 2)
        elif size <= max_argument_size(self.arguments, self.missing_arguments, self.arguments_size):
            self.arguments_size += size
            self.missing_bytes = size + 2
            self.expect_parts(size + 2)
        else:
            self._skip(size + 2)

    def _skip(self, size: int) -> None:
        """Skip an oversized bulk string, so that the connection stays and its answer is a single error."""
        if size > MAX_SKIPPED_SIZE:
            self._protocol_error(too_large_message(self.missing_arguments))
        else:
            self.too_large = self.too_large or too_large_message(self.missing_arguments)
            self.bytes_to_skip = size
            self.expect_parts(size)

    def _protocol_error(self, why: str) -> None:
        self.reply(f"-ERR Protocol error: {why}")
        self.end(EndReason.MALFORMED)

    def rawDataReceived(self, data: bytes) -> None:
        """Take part of a bulk string, or skip part of an oversized one."""
        if self.bytes_to_skip:
            self.bytes_to_skip -= len(data)
            if self.bytes_to_skip:
                return
        else:
            if self.missing_bytes:
                self._collect_part(data)
                if self.missing_bytes:
                    return
                data, self.partial, self.partial_size = bytes(self.partial), bytearray(), 0
            self.received_size += len(data)
            if not data.endswith(b"\r\n"):
                self._protocol_error("a bulk string's end is missing")
                return
            self.arguments.append(data[:-2])
        self.setLineMode()
        self.missing_arguments -= 1
        if not self.missing_arguments:
            self._run_command(self.arguments)

    def _collect_part(self, part: bytes) -> None:
        """One buffer, since each of very many small parts would be an object of its own."""
        self.partial += part
        self.partial_size = self.partial.__alloc__()
        self.missing_bytes -= len(part)

    def _run_command(self, arguments: list[bytes]) -> None:
        name = arguments[0].upper() if arguments else b""
        self.listener.count_command(self)
        self.has_sent_command = True
        self.command_started_at = self.listener.driver.clock.now()
        self._drop_arguments()
        too_large, self.too_large = self.too_large, ""
        try:
            if too_large:
                raise BadCommand(too_large)
            if name == b"SUBMIT":
                submission = read_submit(arguments)
                if self.input_closed or self.has_waited and has_peer_closed(self.transport):
                    self._drop_submits()
                    return
                self.awaiting_answer = True
                self.listener.driver.submission_received(submission, self)
            elif name == b"PING":
                self.reply(
                    "-ERR stopping"
                    if self.listener.stopping
                    else "-ERR paused"
                    if self.listener.paused
                    else "+PONG"
                )
            elif name == b"QUIT":
                self.reply("+OK")
                self.end(EndReason.CLOSED_BY_PEER)
            else:
                raise BadCommand(f"unknown command {name[:20].decode(errors='replace')!r}")
        except BadCommand as error:
            self.listener.eviction_order.note_refused(self)
            self.awaiting_answer, self.bad_command_count = False, self.bad_command_count + 1
            self.listener.client_log.command_bad(error, self.transport.getPeer().host)
            self.reply(f"-ERR {error}")
            if self.bad_command_count >= MAX_BAD_COMMANDS:
                self.end(EndReason.MALFORMED)

    def _drop_submits(self) -> None:
        """Accept nothing more of this client: it has closed the connection, or its sending side, before its
        command had its turn. The kernel is asked about a command that had to wait.

        Guards against texts that run although nobody knows it, and that are handed in again."""
        self.listener.client_log.submits_dropped(self.transport.getPeer().host)
        self.reply("-BUSY")
        self.end(EndReason.CLOSED_BY_PEER, has_unread_input=True)

    def reply(self, line: str) -> None:
        """Write one line to the client."""
        self.send(line.encode() + b"\r\n")

    def answer(self, line: str) -> None:
        """Answer the submission that waits; then the next request is parsed."""
        self.awaiting_answer, self.has_waited = False, True
        if line == ACCEPTED:
            self.listener.eviction_order.note_accepted(self)
        self.reply(line)
        self.pump()
        if (self.listener.stopping or self.listener.closing) and self.is_idle():
            self.end(EndReason.STOPPING)
        elif self.input_closed:
            self.readConnectionLost()

    def readConnectionLost(self) -> None:
        """The client has closed its sending side and may still read: it gets the answer it waits for."""
        self.input_closed = True
        if self.is_lingering:
            self.transport.loseConnection()
        elif not self.awaiting_answer and self not in self.listener.budget:
            self.end(EndReason.CLOSED_BY_PEER)

    def writeConnectionLost(self) -> None:
        """The connection has been closed for writing."""
        self.end(EndReason.CLOSED_BY_PEER)

    def connectionLost(self, reason) -> None:
        """Release all that the connection holds, and tell the driver if a text awaits its answer."""
        self.listener.count_open(-1)
        self.listener.budget.remove(self)
        self.end_reason = self.end_reason or EndReason.CLOSED_BY_PEER
        self.listener.client_log.ended(
            self.end_reason,
            self.transport.getPeer().host,
            self.ended_in or self.state(),
            self.bytes_at_end,
            self.listener.driver.clock.now() - self.command_started_at,
        )
        if self.deadline is not None:
            self.deadline.cancel()
        self._release_input()
        if self.slot is not None:
            self.listener.remove(self)
        self.listener.resume_accepting()
        if self.awaiting_answer:
            self.listener.driver.client_disconnected(self)
