"""Decides how many commands of clients are carried out before the relay looks at its other connections.

Without a limit, a few clients that send hundreds of commands at once occupy a turn of the reactor for longer
than a notice to the platform may take. Does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

MAX_COMMANDS_PER_TURN = 128  # of all connections in one turn of the reactor
MAX_COMMANDS_IN_A_ROW = 8  # of one connection, while others wait

Connection = TypeVar("Connection")


class CommandBudget(Generic[Connection]):
    """Counts the commands of a turn, and keeps the connections that have to wait for their next ones.

    They go on in the order in which they began to wait, MAX_COMMANDS_IN_A_ROW commands each.
    """

    def __init__(self) -> None:
        self._waiting: OrderedDict[Connection, None] = OrderedDict()
        self._turn_count = 0  # commands of this turn
        self._row_count = 0  # commands in a row of the connection that had the last one
        self._last: Connection | None = None

    def __contains__(self, connection: Connection) -> bool:
        """Whether the connection waits."""
        return connection in self._waiting

    def __len__(self) -> int:
        """The number of connections that wait."""
        return len(self._waiting)

    @property
    def is_turn_used_up(self) -> bool:
        """Whether no further command may be carried out in this turn."""
        return self._turn_count >= MAX_COMMANDS_PER_TURN

    def must_wait(self, connection: Connection) -> bool:
        """Whether the connection's next command has to wait; if so, the connection waits from now on."""
        is_row_used_up = connection is self._last and self._row_count >= MAX_COMMANDS_IN_A_ROW
        if is_row_used_up or self.is_turn_used_up:
            self._waiting[connection] = None
        return connection in self._waiting

    def count_command(self, connection: Connection) -> None:
        """Count a command that is carried out for the connection."""
        if connection is not self._last:
            self._last, self._row_count = connection, 0
        self._turn_count += 1
        self._row_count += 1

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self._waiting.pop(connection, None)
        if self._last is connection:
            self._last = None

    def begin_turn(self) -> None:
        """A new turn of the reactor: its commands are counted from 0."""
        self._turn_count, self._last = 0, None

    def next_connection(self) -> Connection | None:
        """Return the connection that may go on now, and no longer waits; None if the turn is used up."""
        if not self._waiting or self.is_turn_used_up:
            return None
        self._last = None
        return self._waiting.popitem(last=False)[0]
