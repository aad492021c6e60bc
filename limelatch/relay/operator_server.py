"""The operators' door: one line a call, one line an answer that begins with `+OK` or `-ERR`.

The calls are carried out by the driver, on the relay's one reactor: each is a few look-ups, so that an answer
waits neither for clients nor for hosts."""

from __future__ import annotations

import json
import os
from dataclasses import replace

from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import LineReceiver

from limelatch.interface import SECOND, HostEntry, HostId, Listing
from limelatch.logs import LimitedLog, logger, log_event
from limelatch.relay.ledger import error_context
from limelatch.relay.slots import Slots
from limelatch.relay.atomic_file import replace_file

log = logger("door")

LINE_MOST = 256  # bytes of a call; the longest has an id of a host
CALLERS_MOST = 16  # connections at once, fewer of few descriptors; the one silent for longest gives way
SILENCE_MOST = 10 * SECOND  # of a caller that says nothing or half a call
LOOK_EVERY = SECOND // 2
FILE = "out"  # in the folder that lasts: the hosts out by hand
OUT_MOST = 4096  # hosts out at once, as a bound on the file
CALLS = {
    b"STATUS": 0,
    b"SUSPEND": 1,
    b"RESTORE": 1,
    b"PAUSE": 0,
    b"RESUME": 0,
    b"MEMBERS": 0,
}  # and their arguments


class SuspendedHosts:
    """Hosts out by hand: how often each was suspended; kept in the folder so that they outlast the process.

    Two processes share the folder during an upgrade: the file is replaced whole, never written in place.
    OSError where the file is there and the disk does not give it: no host that is out must be sent to."""

    def __init__(self, folder: str) -> None:
        self.path = os.path.join(folder, FILE)
        self._read_at = self._written_at()
        self.counts: dict[HostId, int] = self._read()

    def _read(self) -> dict[HostId, int]:
        try:
            with error_context("read", self.path), open(self.path, "rb") as file:
                raw = file.read(OUT_MOST * 300)
            told = json.loads(raw)
            return {
                host.encode(): int(count)
                for host, count in told.items()
                if isinstance(host, str) and isinstance(count, int) and count > 0
            }
        except FileNotFoundError:
            pass
        except (ValueError, AttributeError) as error:  # torn: written anew at the next call
            log_event(log, "out-not-read", why=error)
        return {}

    def _written_at(self) -> tuple[int, int] | None:
        """What tells one file at the path from the next; None where there is none, or it can't be told."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return status.st_ino, status.st_mtime_ns

    def refresh(self) -> set[HostId]:
        """Take in what the other process of an upgrade was told; the hosts that are out or back by it.

        Where the file can't be read, what is held stays, and it is read at the next call."""
        written_at = self._written_at()
        if written_at == self._read_at:
            return set()
        try:
            counts = self._read()
        except OSError:
            return set()
        changed = counts.keys() ^ self.counts.keys()
        self._read_at, self.counts = written_at, counts
        return changed

    def as_listed(self, entry: HostEntry) -> HostEntry:
        """The line as the module is to see it: a host out is draining."""
        if entry.host in self.counts and entry.listing is Listing.READY:
            return replace(entry, listing=Listing.DRAINING)
        return entry

    def suspend(self, host: HostId) -> bool:
        """Whether the host has gone out by this call. DoorError where the folder can't keep it."""
        if host not in self.counts and len(self.counts) >= OUT_MOST:
            raise OperatorError(f"{OUT_MOST} hosts are out already")
        count = self.counts.get(host, 0) + 1
        self._keep(self.counts | {host: count})
        return count == 1

    def restore(self, host: HostId) -> bool:
        """Whether the host was out; one call undoes all. DoorError where the folder can't keep it."""
        if host not in self.counts:
            return False
        self._keep({each: count for each, count in self.counts.items() if each != host})
        return True

    def _keep(self, counts: dict[HostId, int]) -> None:
        """First the folder, then in force: what a restart would not know is not answered as done."""
        told = {host.decode(): count for host, count in sorted(counts.items())}
        try:
            replace_file(self.path, json.dumps(told).encode())
        except OSError as error:
            raise OperatorError(f"not done, the folder does not keep it: {error.strerror}") from None
        self._read_at, self.counts = self._written_at(), counts


class OperatorError(Exception):
    """A call that can't be carried out; the caller is told why and the connection stays."""


class OperatorConnection(LineReceiver):
    """One operator's connection."""

    delimiter = b"\n"
    MAX_LENGTH = LINE_MOST

    def __init__(self, operator_server: OperatorServer) -> None:
        self.operator_server, self.number, self.skipping = operator_server, None, False
        self.heard_at = operator_server.driver.clock.now()
        self.deadline = None

    def connectionMade(self) -> None:
        self.operator_server.open += 1
        self.number = self.operator_server.callers.take(self)
        if self.number is None:
            self.operator_server.make_room()
            self.number = self.operator_server.callers.take(self)
        self.deadline = self.operator_server.driver.deadlines.after(LOOK_EVERY, self._look)

    def _look(self) -> None:
        """Guards against callers that say nothing, or half a call, and keep a descriptor for good."""
        now = self.operator_server.driver.clock.now()
        if now - self.heard_at >= SILENCE_MOST:
            self.transport.abortConnection()
        else:
            self.deadline = self.operator_server.driver.deadlines.after(LOOK_EVERY, self._look)

    def dataReceived(self, data: bytes) -> None:
        self.heard_at = self.operator_server.driver.clock.now()
        super().dataReceived(data)

    def lineLengthExceeded(self, line: bytes) -> None:
        """The answer is an error; what is left of the line until its end is read past."""
        self.skipping = b"\n" not in line
        self._answer("-ERR a call holds 256 bytes at most")

    def lineReceived(self, line: bytes) -> None:
        if self.skipping:
            self.skipping = False
            return
        try:
            self._answer(self.operator_server.call(line.removesuffix(b"\r")))
        except OperatorError as error:
            self.operator_server.limited_log("call-bad", why=error, peer=self.transport.getPeer().host)
            self._answer(f"-ERR {error}")

    def _answer(self, line: str) -> None:
        self.transport.write(line.encode() + b"\r\n")

    def connectionLost(self, reason) -> None:
        self.operator_server.open -= 1
        if self.deadline is not None:
            self.deadline.cancel()
        if self.number is not None:
            self.operator_server.callers.release(self.number)


class OperatorServer(ServerFactory):
    """Where operators call; `operations` does what they ask."""

    noisy = False

    def __init__(self, driver, operations, most: int = CALLERS_MOST) -> None:
        self.driver, self.operations, self.callers, self.port = driver, operations, Slots(most), None
        self.open = 0  # connections, with those that were told to end
        self.limited_log = LimitedLog(log, driver.clock)

    def buildProtocol(self, address) -> OperatorConnection | None:
        return (
            OperatorConnection(self) if self.open < 2 * self.callers.size else None
        )  # else it is closed at once

    def listen(self, reactor, host: str, port: int) -> None:
        self.port = reactor.listenTCP(port, self, backlog=CALLERS_MOST, interface=host)

    def make_room(self) -> None:
        silent = min(self.callers, key=lambda caller: caller.heard_at)
        self.callers.release(silent.number)
        silent.number = None
        silent.transport.abortConnection()

    def call(self, line: bytes) -> str:
        """One call's answer; DoorError for one that can't be carried out."""
        if not line.isascii() or any(byte < 32 and byte != 9 for byte in line):
            raise OperatorError("a call is a line of plain text")
        words = line.split()
        if not words:
            raise OperatorError(f"a call is wanted: {', '.join(name.decode() for name in CALLS)}")
        name, arguments = words[0].upper(), words[1:]
        if name not in CALLS:
            raise OperatorError(f"unknown call {name[:20].decode()!r}")
        if len(arguments) != CALLS[name]:
            raise OperatorError(f"{name.decode()} takes {'an id of a host' if CALLS[name] else 'nothing'}")
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
        if self.port is not None:
            self.port.stopListening()
