"""The log lines about clients' connections and commands, at a limited rate."""

from __future__ import annotations

from enum import Enum

from limelatch.interface import MS
from limelatch.logs import LimitedLog, logger
from limelatch.relay.end_reason import EndReason

log = logger("clients")

LOGGED_REASONS = (
    EndReason.MALFORMED,
    EndReason.NO_SLOT,
    EndReason.NO_MEMORY,
    EndReason.ANSWER_TIMEOUT,
)


class ClientState(Enum):
    """What a client's connection is doing. The values are written to the log."""

    NEW = "new"  # no command has come yet
    IDLE = "idle"  # between two commands
    COMMAND = "command"  # a command is received in part, or waits
    ANSWER = "answer"  # a text awaits its answer
    UNSERVED = "unserved"  # there was no room for the connection


class ClientLog:
    """Logs what clients cause; ends of connections at a limited rate for each reason."""

    def __init__(self, clock) -> None:
        self.limited_log = LimitedLog(log, clock, by_reason=("client-ended",))

    def command_bad(self, why: Exception, peer: str) -> None:
        """A command could not be carried out; the client got an error."""
        self.limited_log("command-bad", why=why, peer=peer)

    def submits_dropped(self, peer: str) -> None:
        """Texts were not accepted, because their client had closed the connection."""
        self.limited_log("submits-dropped", peer=peer)

    def ended(
        self, end_reason: EndReason, peer: str, state: ClientState, held_bytes: int = 0, age: int = 0
    ) -> None:
        """A connection has ended; `age`: tenths of a millisecond since its last command, or its start."""
        if end_reason in LOGGED_REASONS:
            self.limited_log(
                "client-ended",
                why=end_reason.value,
                peer=peer,
                state=state.value,
                held_bytes=held_bytes,
                age_ms=age // MS,
            )
