"""Decides how much input of clients is worked through before the relay looks at its other connections.

Without a limit, a few clients that send hundreds of commands at once, or lines that are no command, occupy a
turn of the reactor for longer than a notice to the platform may take. Does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

MAX_COMMANDS_PER_TURN = 64  # of all connections in one turn of the reactor
MAX_COMMANDS_IN_A_ROW = 2  # of one connection, while others wait
MAX_LINES_PER_TURN = 704  # lines and parts of arguments, of all connections; a SUBMIT has eleven
MAX_LINES_IN_A_ROW = 32  # of one connection, while others wait

Connection = TypeVar("Connection")


class CommandBudget(Generic[Connection]):
    """Counts the commands and lines of a turn, and keeps the connections that have to wait with the next.

    They go on in the order in which they began to wait, MAX_COMMANDS_IN_A_ROW commands each.
    """

    def __init__(self) -> None:
        self._waiting: OrderedDict[Connection, None] = OrderedDict()
        self._turn_count = self._turn_lines = 0  # commands and lines of this turn
        self._row_count = self._row_lines = 0  # those in a row of the connection that had the last one
        self._last: Connection | None = None

    def __contains__(self, connection: Connection) -> bool:
        """Whether the connection waits."""
        return connection in self._waiting

    def __len__(self) -> int:
        """The number of connections that wait."""
        return len(self._waiting)

    @property
    def is_turn_used_up(self) -> bool:
        """Whether no further line may be read in this turn."""
        return self._turn_count >= MAX_COMMANDS_PER_TURN or self._turn_lines >= MAX_LINES_PER_TURN

    def must_wait(self, connection: Connection) -> bool:
        """Whether the connection's next line has to wait; if so, the connection waits from now on, else the
        line is counted."""
        if connection is not self._last:
            self._last, self._row_count, self._row_lines = connection, 0, 0
        if (
            self._row_count >= MAX_COMMANDS_IN_A_ROW
            or self._row_lines >= MAX_LINES_IN_A_ROW
            or self.is_turn_used_up
        ):
            self._waiting[connection] = None
        if connection in self._waiting:
            return True
        self._turn_lines += 1
        self._row_lines += 1
        return False

    def count_command(self, connection: Connection) -> None:
        """Count a command that is carried out for the connection that had the last line."""
        self._turn_count += 1
        self._row_count += 1

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self._waiting.pop(connection, None)
        if self._last is connection:
            self._last = None

    def begin_turn(self) -> None:
        """A new turn of the reactor: its commands and lines are counted from 0."""
        self._turn_count, self._turn_lines, self._last = 0, 0, None

    def next_connection(self) -> Connection | None:
        """Return the connection that may go on now, and no longer waits; None if the turn is used up."""
        if not self._waiting or self.is_turn_used_up:
            return None
        self._last = None
        return self._waiting.popitem(last=False)[0]
