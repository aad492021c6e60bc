"""The clock that a world hangs on: a queue of events in virtual time; a stage in real time brings its own."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Protocol


class Clock(Protocol):
    """Whole tenths of a millisecond from the start of the run."""

    def now(self) -> int:
        """The time."""

    def at(self, when: int, call: Callable[..., None], *arguments: object) -> None:
        """Make the call at that time, or now if it is past."""


class Queue:
    """Virtual time: the next event is next; those of one time come in the order they were asked for."""

    __slots__ = ("time", "_heap", "_count", "stopped")

    def __init__(self) -> None:
        self.time, self._heap, self._count, self.stopped = 0, [], 0, False

    def now(self) -> int:
        return self.time

    def at(self, when: int, call: Callable[..., None], *arguments: object) -> None:
        self._count = count = self._count + 1
        heapq.heappush(self._heap, (when if when > self.time else self.time, count, call, arguments))

    def run(self, until: int) -> None:
        """All events up to `until`, or until `stopped` is set."""
        heap, pop = self._heap, heapq.heappop
        while heap and heap[0][0] <= until and not self.stopped:
            self.time, _, call, arguments = pop(heap)
            call(*arguments)
        if not self.stopped:
            self.time = until
