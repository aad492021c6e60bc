"""The clock interface of a world, and its implementation in virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Protocol


class Clock(Protocol):
    """Time in ticks (tenths of a millisecond) since the start of the run, and a scheduler of calls."""

    def now(self) -> int:
        """Returns the time in ticks."""

    def at(self, when: int, call: Callable[..., None], *arguments: object) -> None:
        """Schedules a call for time `when`, or for now if that is past."""


class EventQueue:
    """An event queue in virtual time; events of the same time run in the order of their scheduling."""

    __slots__ = ("time", "_heap", "_count", "stopped")

    def __init__(self) -> None:
        self.time, self._heap, self._count, self.stopped = 0, [], 0, False

    def now(self) -> int:
        """Returns the virtual time in ticks."""
        return self.time

    def at(self, when: int, call: Callable[..., None], *arguments: object) -> None:
        """Schedules a call for time `when`, or for now if that is past."""
        self._count = count = self._count + 1
        heapq.heappush(self._heap, (when if when > self.time else self.time, count, call, arguments))

    def run(self, until: int) -> None:
        """Runs all events up to time `until`, or until `stopped` is set."""
        heap, pop = self._heap, heapq.heappop
        while heap and heap[0][0] <= until and not self.stopped:
            self.time, _, call, arguments = pop(heap)
            call(*arguments)
        if not self.stopped:
            self.time = until
