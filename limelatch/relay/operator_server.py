"""The operators' port: one line per command, one line per reply, which begins with `+OK` or `-ERR`.

Commands run on the relay's reactor. Each takes a few look-ups, so that a reply waits neither for clients nor
for hosts.
"""

from __future__ import annotations

from twisted.internet import interfaces
from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import LineReceiver
from zope.interface import implementer

from limelatch.interface import SECOND
from limelatch.logs import LimitedLog, logger
from limelatch.relay.operator_error import OperatorError
from limelatch.relay.slots import Slots

log = logger("door")

MAX_LINE_BYTES = 256  # the longest command has the id of a host
MAX_CONNECTIONS = 16  # fewer where the process has few descriptors; the longest silent one makes room
IDLE_TIMEOUT = 10 * SECOND  # of a connection that sends nothing, or part of a command
IDLE_CHECK_INTERVAL = SECOND // 2
COMMANDS = {
    b"STATUS": 0,
    b"SUSPEND": 1,
    b"RESTORE": 1,
    b"PAUSE": 0,
    b"RESUME": 0,
    b"MEMBERS": 0,
}  # by name, with the count of arguments


@implementer(interfaces.IPushProducer)
class OperatorConnection(LineReceiver):
    """One operator's connection. It reads on only while its replies are read: as the producer of the replies,
    it is paused by its transport."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, server: OperatorServer) -> None:
        self.server, self.number, self.skipping = server, None, False
        self.last_received_at = server.driver.clock.now()
        self.deadline = None

    def connectionMade(self) -> None:
        self.server.open_count += 1
        self.number = self.server.connections.take(self)
        if self.number is None:
            self.server.make_room()
            self.number = self.server.connections.take(self)
        self.deadline = self.server.driver.deadlines.after(IDLE_CHECK_INTERVAL, self._check_idle)
        self.transport.bufferSize = MAX_LINE_BYTES  # of a read, and of replies that wait
        self.transport.registerProducer(self, True)

    def pauseProducing(self) -> None:
        """Replies wait: read no further commands."""
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """All replies have been sent."""
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """The connection is lost."""

    def _check_idle(self) -> None:
        """Guards against connections that send nothing, or part of a command, and keep a descriptor."""
        now = self.server.driver.clock.now()
        if now - self.last_received_at >= IDLE_TIMEOUT:
            self.transport.abortConnection()
        else:
            self.deadline = self.server.driver.deadlines.after(IDLE_CHECK_INTERVAL, self._check_idle)

    def dataReceived(self, data: bytes) -> None:
        self.last_received_at = self.server.driver.clock.now()
        super().dataReceived(data)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Reply with an error and skip the rest of the line."""
        self.skipping = b"\n" not in line
        self._reply("-ERR a call holds 256 bytes at most")

    def lineReceived(self, line: bytes) -> None:
        if self.skipping:
            self.skipping = False
            return
        try:
            self._reply(self.server.run_command(line.removesuffix(b"\r")))
        except OperatorError as error:
            self.server.limited_log("call-bad", why=error, peer=self.transport.getPeer().host)
            self._reply(f"-ERR {error}")

    def _reply(self, line: str) -> None:
        self.transport.write(line.encode() + b"\r\n")

    def connectionLost(self, reason) -> None:
        self.server.open_count -= 1
        if self.deadline is not None:
            self.deadline.cancel()
        if self.number is not None:
            self.server.connections.release(self.number)


class OperatorServer(ServerFactory):
    """Accepts operators' connections; `operations` carries out their commands."""

    noisy = False

    def __init__(self, driver, operations, max_connections: int = MAX_CONNECTIONS) -> None:
        self.driver = driver
        self.operations = operations
        self.connections = Slots(max_connections)
        self.port = None
        self.open_count = 0  # connections, including those that are being closed
        self.limited_log = LimitedLog(log, driver.clock)

    def buildProtocol(self, address) -> OperatorConnection | None:
        # None: twisted closes the connection at once
        return OperatorConnection(self) if self.open_count < 2 * self.connections.size else None

    def listen(self, reactor, host: str, port: int) -> None:
        """Listen at the address. Raises twisted's CannotListenError if it is taken."""
        self.port = reactor.listenTCP(port, self, backlog=MAX_CONNECTIONS, interface=host)

    def make_room(self) -> None:
        """Close the connection that has been silent for longest."""
        silent = min(self.connections, key=lambda connection: connection.last_received_at)
        self.connections.release(silent.number)
        silent.number = None
        silent.transport.abortConnection()

    def run_command(self, line: bytes) -> str:
        """Carry out one command and return the reply. Raises OperatorError if it is invalid or fails."""
        if not line.isascii() or any(byte < 32 and byte != 9 for byte in line):
            raise OperatorError("a call is a line of plain text")
        words = line.split()
        if not words:
            raise OperatorError(f"a call is wanted: {', '.join(name.decode() for name in COMMANDS)}")
        name, arguments = words[0].upper(), words[1:]
        if name not in COMMANDS:
            raise OperatorError(f"unknown call {name[:20].decode()!r}")
        if len(arguments) != COMMANDS[name]:
            raise OperatorError(f"{name.decode()} takes {'an id of a host' if COMMANDS[name] else 'nothing'}")
        operations = self.operations
        if name == b"STATUS":
            return operations.status()
        if name == b"MEMBERS":
            return operations.members()
        if name == b"PAUSE":
            return operations.pause()
        if name == b"RESUME":
            return operations.resume()
        host = arguments[0]
        if not operations.knows(host):
            raise OperatorError(f"no host {host[:64].decode()!r} is known")
        return operations.suspend(host) if name == b"SUSPEND" else operations.restore(host)

    def stop(self) -> None:
        """Stop listening; open connections stay."""
        if self.port is not None:
            self.port.stopListening()
