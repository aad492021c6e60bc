"""Decides in which order clients' connections give way while the table of connections is full. Does no I/O.

Connections whose last text was accepted give way after all others, and so do some of those in the middle of
a command: a crowd of clients that send nothing, or what can't be used, closes no connection of a client at
work.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from itertools import chain
from typing import Generic, NamedTuple, TypeVar

from limelatch.interface import SECOND

# Since the last activity of a connection that had a text accepted or is in the middle of a command.
AT_WORK_TIME = SECOND // 4
# One in so many connections of a table keeps its place because it is in the middle of a command.
RECEIVING_DIVISOR = 4

Connection = TypeVar("Connection")


class Candidate(NamedTuple, Generic[Connection]):
    """A connection that could be closed for a new one."""

    connection: Connection
    idle_time: int  # since its last activity, in tenths of a millisecond
    is_receiving: bool  # whether it has sent a part of a command


class EvictionOrder(Generic[Connection]):
    """The connections of a table, those that give way first at the beginning: by their last activity, the
    longest ago first, and those with an accepted text behind the others."""

    def __init__(self) -> None:
        self._others: OrderedDict[Connection, None] = OrderedDict()
        self._proven: OrderedDict[Connection, None] = OrderedDict()

    def __iter__(self) -> Iterator[Connection]:
        return chain(self._others, self._proven)

    def __len__(self) -> int:
        return len(self._others) + len(self._proven)

    def note_activity(self, connection: Connection) -> None:
        """The connection is new, or has just sent something."""
        group = self._proven if connection in self._proven else self._others
        group[connection] = None
        group.move_to_end(connection)

    def note_accepted(self, connection: Connection) -> None:
        """A text of the connection has been accepted."""
        if connection in self._others:
            del self._others[connection]
            self._proven[connection] = None

    def note_refused(self, connection: Connection) -> None:
        """The connection has sent what can't be used."""
        if connection in self._proven:
            del self._proven[connection]
            self._others[connection] = None

    def may_give_way(self, connection: Connection, idle_time: int) -> bool:
        """Whether an idle connection may be closed for a new one; `idle_time` in tenths of a millisecond.

        Guards against a client at work that is closed again and again, as the only one that is idle for a
        moment among those that fill the table."""
        return connection not in self._proven or idle_time >= AT_WORK_TIME

    def giving_way(self, candidates: Iterable[Candidate], table_size: int) -> Iterator[Connection]:
        """Yields those of the candidates that may give way, the first one first.

        `candidates` are in this order of connections. Guards against a command whose pieces come one after
        another, and whose connection a crowd has closed in between."""
        receiving = []
        for connection, idle_time, is_receiving in candidates:
            if not self.may_give_way(connection, idle_time):
                continue
            keeps_place = is_receiving and idle_time < AT_WORK_TIME
            if keeps_place and len(receiving) < table_size // RECEIVING_DIVISOR:
                receiving.append(connection)
            else:
                yield connection
        yield from receiving

    def may_be_refused(self, connection: Connection) -> bool:
        """Whether what the connection has sent may be refused where the table has to shrink."""
        return connection in self._others

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has left the table."""
        self._others.pop(connection, None)
        self._proven.pop(connection, None)
