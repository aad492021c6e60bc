"""Clients: RESP2 over TCP, PING and SUBMIT."""

from __future__ import annotations

import re
import socket
from collections import OrderedDict
from dataclasses import dataclass

from twisted.internet import interfaces
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ServerFactory
from zope.interface import implementer

from limelatch.interface import MS, SECOND
from limelatch.logs import LimitedLog, logger, log_event
from limelatch.relay.end_reason import EndReason
from limelatch.relay.line_receiver import RingLines, waits
from limelatch.relay.slots import Slots

log = logger("clients")

BODY_MOST = 64 * 1024
LINGER = SECOND // 2  # for a client that does not read its last answer
PAUSE_GRACE = SECOND  # after PAUSE: a front stops sending new connections, and what is on its way comes
LOOK_MOST = SECOND // 2  # between two looks at a connection's silence
CROWD_PART = 4  # a crowded listener closes those between commands so many times sooner
BACKLOG = 128  # connections that wait to be accepted
MAX_ACCEPTS_PER_TURN = 32  # in one turn of the reactor: calls, the list and due times have theirs in between
MAX_UNREAD_CHECKS = 16  # connections found with an unread request before the search for room gives up
FULL_TABLE_CHECK_INTERVAL = SECOND // 100  # between two looks for room while the port waits
OPEN_MOST = 1 << 20  # where nobody says how many there may be
BAD_MOST = 8  # bad commands on one connection, then it is closed
ARGUMENTS_MOST, SKIP_MOST, REPLY_MOST = 16, 1024 * 1024, 256
COMMAND_MOST, SKIP_STEP = BODY_MOST + 4 * 1024, 8 * 1024  # of all arguments; of a skipped one at once
WORD = re.compile(rb"[0-9A-Za-z_.:-]{1,64}\Z")
SIZE = re.compile(rb"[0-9]{1,9}\Z")


class BadCommand(Exception):
    """The command can't be carried out; the client is told why."""


@dataclass(slots=True)
class Submission:
    """A text as a client hands it in: the wire's words, the span of its validity in tenths of a ms."""

    id: bytes
    key: bytes
    product: bytes
    customer: bytes
    destination: int
    valid_for: int
    idempotency_key: bytes
    body: bytes


def read_submit(arguments: list[bytes]) -> Submission:
    """SUBMIT ORDER-KEY ID NAMES BODY."""
    if len(arguments) != 5:
        raise BadCommand("SUBMIT takes a key, an id, a list of names and values, and a body")
    _, key, text, names, body = arguments
    if len(body) > BODY_MOST:
        raise BadCommand(f"a body holds {BODY_MOST} bytes at most")
    if not WORD.match(text) or not WORD.match(key):
        raise BadCommand("the key and the id take 1 to 64 letters and digits")
    values = dict(pair.partition(b"=")[::2] for pair in names.split(b","))
    idempotency_key, dest, span = values.get(b"k", b""), values.get(b"dest", b""), values.get(b"d", b"")
    if idempotency_key and not WORD.match(idempotency_key):
        raise BadCommand("k takes 1 to 64 letters and digits")
    if not SIZE.match(dest) or not re.fullmatch(rb"-?[0-9]{1,9}(\.[0-9]{1,6})?", span):
        raise BadCommand("dest and d are wanted as numbers")
    return Submission(
        text,
        b"" if not key.strip(b"0") else key,
        values.get(b"c", b""),
        values.get(b"t", b""),
        int(dest),
        int(float(span) * MS),
        idempotency_key,
        body,
    )


@implementer(interfaces.IHalfCloseableProtocol)
class Client(RingLines):
    """One client's connection. While a text waits for its answer nothing more is read from it."""

    delimiter = b"\r\n"

    def __init__(self, listener: Listener) -> None:
        super().__init__(COMMAND_MOST + 2, 2 * REPLY_MOST)
        self.listener, self.number = listener, None
        self.arguments: list[bytes] = []
        self.missing = self.size = 0  # arguments of the command still to come, bytes of those that came
        self.too_large, self.skip, self.waiting, self.all_said = False, 0, False, False
        self.lingers, self.passed = False, 0  # closed for writing; bytes that were read past since
        self.asked, self.bad, self.held = False, 0, 0  # held: bytes that the listener counts for it
        self.heard_at = self.begun_at = listener.driver.clock.now()  # begun: the command that is coming
        self.deadline = None

    def connectionMade(self) -> None:
        super().connectionMade()
        self.listener.count_open(1)
        self.number = self.listener.connections.take(self)
        if self.number is None:
            self.end(EndReason.NO_SLOT)
        else:
            self.listener.heard(self)
            self.deadline = self.listener.driver.deadlines.after(LOOK_MOST, self._look)
            if self.listener.connections.full:
                self.listener.make_room(self)

    def due(self) -> int:
        """Until when this connection may stay as it is: the first command and a begun one have to come."""
        plan = self.listener.driver.plan
        if self.asked and self.between_requests():
            return self.heard_at + plan.client_idle_timeout // (CROWD_PART if self.listener.crowded else 1)
        return self.begun_at + plan.client_command_timeout

    def _look(self) -> None:
        """Guards against connections that say nothing, or half a command, and hold a descriptor for good."""
        now, due = self.listener.driver.clock.now(), self.due()
        comes = waits(self.transport) and (self.between_requests() or now < due + LOOK_MOST)
        if now >= due and not self.waiting and not comes:
            if not self.between_requests():
                self.reply("-ERR the command did not come whole in its time")
            self.end(EndReason.ANSWER_TIMEOUT)
        else:
            self.deadline = self.listener.driver.deadlines.at(
                min(max(due, now + SECOND // 10), now + LOOK_MOST), self._look
            )

    def end(self, end_reason: EndReason) -> None:
        if self.end_reason is not None:
            return
        if self.between_requests():
            self.close(end_reason, finish_writing=True)
        else:
            self._close_lingering(end_reason)
        if self.deadline is not None:
            self.deadline.cancel()
        self.deadline = self.listener.driver.deadlines.after(  # if it reads no more
            LINGER, self.transport.abortConnection
        )

    def _close_lingering(self, end_reason: EndReason) -> None:
        """Close for writing, and read past what still comes until the client closes as well.

        Guards against a close over unread bytes: it resets the connection, and the last answer may be lost
        with it."""
        self.end_reason, self.lingers = end_reason, True
        self.outflow.finish()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.transport.resumeProducing()

    def _read_past(self, size: int) -> None:
        """Guards against a client that sends without end: what a command may hold is read past, no more."""
        self.passed += size
        if self.passed > COMMAND_MOST:
            self.transport.abortConnection()

    def between_requests(self) -> bool:
        return not self.waiting and not self.missing and not self.inbound

    def at_rest(self) -> bool:
        """Between requests, and none has arrived that is not read yet.

        Guards against closing under a request: the peer is reset, and may lose its last answer with it."""
        return self.end_reason is None and self.between_requests() and not waits(self.transport)

    def dataReceived(self, data: bytes) -> None:
        if self.lingers:
            self._read_past(len(data))
            return
        self.heard_at = self.listener.driver.clock.now()
        if self.number is not None:
            self.listener.heard(self)
        if self.between_requests():
            self.begun_at = self.heard_at
        super().dataReceived(data)
        self.listener.count(self)

    def held_back(self) -> bool:
        return self.waiting or self._outbound.free < REPLY_MOST

    def lineReceived(self, line: bytes) -> None:
        if self.missing:
            if not line.startswith(b"$") or not SIZE.match(line[1:]):
                self._refuse_all("a bulk string is wanted")
            elif (size := int(line[1:])) + self.size > COMMAND_MOST:
                self._skip(size + 2)
            else:
                self.size += size
                self.expect(size + 2)
        elif line.startswith(b"*"):
            if not SIZE.match(line[1:]) or not 1 <= int(line[1:]) <= ARGUMENTS_MOST:
                self._refuse_all("an array of 1 to 16 bulk strings is wanted")
            else:
                self.missing, self.arguments, self.size, self.too_large = int(line[1:]), [], 0, False
        elif line.strip():  # a command typed by hand
            self._command(line.split())

    def _skip(self, size: int) -> None:
        """A bulk string over the limit is read past, so that the answer is an error and nothing else."""
        if size > SKIP_MOST:
            self._refuse_all(f"a body holds {BODY_MOST} bytes at most")
        else:
            self.too_large, self.skip = True, size
            self.expect(min(size, SKIP_STEP))

    def _refuse_all(self, why: str) -> None:
        self.reply(f"-ERR Protocol error: {why}")
        self.end(EndReason.MALFORMED)

    def rawDataReceived(self, data: bytes) -> None:
        if self.skip:
            self.skip -= len(data)
            if self.skip:
                self.expect(min(self.skip, SKIP_STEP))
                return
        elif not data.endswith(b"\r\n"):
            self._refuse_all("a bulk string's end is missing")
            return
        else:
            self.arguments.append(data[:-2])
        self.setLineMode()
        self.missing -= 1
        if not self.missing:
            self._command(self.arguments)

    def _command(self, arguments: list[bytes]) -> None:
        name = arguments[0].upper() if arguments else b""
        self.asked, self.begun_at, self.size, self.arguments = True, self.heard_at, 0, []
        try:
            if self.too_large:
                raise BadCommand(f"a body holds {BODY_MOST} bytes at most")
            if name == b"SUBMIT":
                submission = read_submit(arguments)
                self.waiting = True
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
            self.waiting, self.bad = False, self.bad + 1
            self.listener.limited_log("command-bad", why=error, peer=self.transport.getPeer().host)
            self.reply(f"-ERR {error}")
            if self.bad >= BAD_MOST:
                self.end(EndReason.MALFORMED)

    def reply(self, line: str) -> None:
        self.send(line.encode() + b"\r\n")

    def answer(self, line: str) -> None:
        """The answer to the text that waits; then the next request is read."""
        self.waiting = False
        self.reply(line)
        self.pump()
        if (self.listener.stopping or self.listener.closing) and self.at_rest():
            self.end(EndReason.STOPPING)
        elif self.all_said:
            self.readConnectionLost()

    def readConnectionLost(self) -> None:
        """The client has said all and may still read: it gets the answer that it waits for."""
        self.all_said = True
        if self.lingers:
            self.transport.loseConnection()
        elif not self.waiting:
            self.end(EndReason.CLOSED_BY_PEER)

    def writeConnectionLost(self) -> None:
        self.end(EndReason.CLOSED_BY_PEER)

    def connectionLost(self, reason) -> None:
        self.listener.count_open(-1)
        self.end_reason = self.end_reason or EndReason.CLOSED_BY_PEER
        if self.end_reason in (EndReason.MALFORMED, EndReason.NO_SLOT, EndReason.ANSWER_TIMEOUT):
            self.listener.limited_log(
                "client-ended", why=self.end_reason.value, peer=self.transport.getPeer().host
            )
        if self.deadline is not None:
            self.deadline.cancel()
        self.listener.held -= self.held
        self.held = 0
        if self.number is not None:
            self.listener.drop(self)
        self.listener.release()
        if self.waiting:
            self.listener.driver.client_disconnected(self)


class Listener(ServerFactory):
    """Where clients arrive: a table of connections; while it is full the port takes no more."""

    noisy = False

    def __init__(self, driver, most: int, bytes_most: int, open_most: int = OPEN_MOST) -> None:
        self.driver, self.connections, self.bytes_most = driver, Slots(most), bytes_most
        self._by_silence: OrderedDict[Client, None] = OrderedDict()  # the one silent for longest first
        self.open, self.open_most = 0, open_most  # connections, with those that were told to end
        self._measured = False  # the port is to be told how many it may take
        self.stopping, self.port, self._held = False, None, False
        self.paused = self.closing = False  # PING says no; connections close between requests
        self._grace = self._room_look = None
        self.held, self.limited_log = 0, LimitedLog(log, driver.clock)

    def buildProtocol(self, address) -> Client | None:
        """None closes the connection at once, unread.

        Guards against a burst in one turn of the reactor: those that make room are closed only after it, and
        the descriptors of all others would be gone meanwhile."""
        if self.open >= self.open_most:
            self.limited_log("client-ended", why=EndReason.NO_SLOT.value, peer=address.host)
            return None
        return Client(self)

    def count_open(self, more: int) -> None:
        """What the port takes in the reactor's next turn is measured anew; the others wait in the kernel's
        queue, and are not turned away.

        Guards against Twisted's own count, which grows by 20 a turn while connections wait: clients that come
        again as soon as they are closed would hold the reactor for longer and longer."""
        self.open += more
        if not self._measured:
            self._measured = True
            self.driver.deadlines.after(0, self._measure)

    def _measure(self) -> None:
        self._measured, free = False, self.open_most - self.open
        if self.port is None:
            return
        self.port.numberAccepts = max(1, min(MAX_ACCEPTS_PER_TURN, free))
        if free <= 0 and not self._held:
            self._held = True
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
                shared.listen(BACKLOG)
                shared.setblocking(False)
                self.port = reactor.adoptStreamPort(shared.fileno(), socket.AF_INET, self)  # on a copy
                self._measure()
        except OSError as error:
            raise CannotListenError(host, port, error) from None

    def count(self, client: Client) -> None:
        """Count a client's bytes of commands not whole yet; over the bound the largest of these ends.

        Guards against half-sent bodies on many connections, which together outgrow the memory. One whose text
        awaits its answer stays: a refusal would pass for that answer."""
        held = len(client.inbound) + client.size if client.end_reason is None else 0
        self.held, client.held = self.held + held - client.held, held
        while self.held > self.bytes_most:
            partial = [each for each in self.connections if each.held and not each.waiting]
            if not partial:
                break
            largest = max(partial, key=lambda each: each.held)
            self.held, largest.held = self.held - largest.held, 0
            largest.reply("-BUSY")
            largest.end(EndReason.NO_SLOT)

    @property
    def crowded(self) -> bool:
        """Half the table is taken: guards against clients that ask once, stay and take the room of others."""
        return len(self.connections) * 2 > self.connections.size

    def heard(self, client: Client) -> None:
        """It is new, or has just said something."""
        self._by_silence[client] = None
        self._by_silence.move_to_end(client)

    def drop(self, client: Client) -> None:
        """Its place in the table is free."""
        self.connections.release(client.number)
        client.number = None
        del self._by_silence[client]

    def make_room(self, newest: Client | None = None) -> None:
        """The table is full: close the connection silent for longest; hold the port if none is at rest."""
        silent = self._longest_silent(newest)
        if silent is not None:
            silent.end(EndReason.NO_SLOT)
            self.drop(silent)
            self.release()
        elif self.port is not None:
            if not self._held:
                self._held = True
                self.port.stopReading()
            if self._room_look is None:
                self._room_look = self.driver.deadlines.after(FULL_TABLE_CHECK_INTERVAL, self._look_for_room)

    def set_limits(self, most: int, open_most: int) -> None:
        """Hold so many connections from now on; of those beyond it the ones at rest end, the others later."""
        self.connections.size, self.open_most = most, open_most
        while len(self.connections) > most and (silent := self._longest_silent(None)) is not None:
            silent.end(EndReason.NO_SLOT)
            self.drop(silent)
        if self.connections.full:
            self.make_room()
        else:
            self.release()
        self.count_open(0)

    def _longest_silent(self, newest: Client | None) -> Client | None:
        """The connection at rest that was heard of longest ago.

        Only those that come first are asked whether they have a request unread, which is a system call each:
        guards against a crowd of idle clients that come again at once, for each of which the whole table was
        asked, until nothing but that was done."""
        unread, found = [], None
        for each in self._by_silence:
            if each is newest or each.waiting or each.end_reason is not None:
                continue
            if not waits(each.transport):
                found = each
                break
            unread.append(each)
            if len(unread) == MAX_UNREAD_CHECKS:
                break
        for each in unread:  # they have said something, and are read in the reactor's next turn
            self._by_silence.move_to_end(each)
        return found

    def _look_for_room(self) -> None:
        """What awaited an answer, or had a request unread, may be at rest by now."""
        self._room_look = None
        if self._held:
            self.make_room()

    def release(self) -> None:
        if self._held and not self.connections.full and self.open < self.open_most:
            self._held = False
            self.port.startReading()

    def stop(self, handed_over: bool = False) -> None:
        """Close what is between requests; connections that still come get one answer each.

        `handed_over`: a new process serves beside this one; the port is closed, so that it gets them all."""
        self.stopping = True
        if handed_over:
            self._close_port()
        self._close_resting()

    def has_pending_requests(self) -> bool:
        """Whether a request is not answered, not even read, comes just now, or may come on a connection just
        made."""
        now = self.driver.clock.now()
        return any(
            each.waiting
            or waits(each.transport)
            or not each.asked
            and each.heard_at > now - SECOND // 10
            or not each.between_requests()
            and each.heard_at > now - LOOK_MOST
            for each in self.connections
            if each.end_reason is None
        )

    def stop_reading(self) -> None:
        """Nothing more is read; what is answered is still written."""
        self._close_port()
        for each in self.connections:
            if each.end_reason is None:
                each.transport.pauseProducing()

    def _close_port(self) -> None:
        port, self.port, self._held = self.port, None, False
        if port is not None:
            port.stopListening()

    def _close_resting(self) -> None:
        for client in self.connections:
            if client.at_rest():
                client.end(EndReason.STOPPING)

    def pause(self) -> None:
        """A drain: PING says no at once; after a grace no connection stays, so that none is held idle."""
        if not self.paused:
            self.paused = True
            log_event(log, "paused", owed=len(self.driver.accepted))
            self._grace = self.driver.deadlines.after(PAUSE_GRACE, self._close_all)

    def _close_all(self) -> None:
        self.closing, self._grace = True, None
        self._close_resting()

    def resume(self) -> None:
        if self.paused:
            self.paused = self.closing = False
            log_event(log, "resumed", owed=len(self.driver.accepted))
            if self._grace is not None:
                self._grace.cancel()
                self._grace = None
