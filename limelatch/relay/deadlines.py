"""All due times of the relay, in one heap under one timer of the reactor."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from limelatch.interface import MS, SECOND
from limelatch.logs import LimitedLog, logger, log_event
from limelatch.relay.clock import Clock

log = logger("deadlines")

LATE_LEAST = SECOND // 2  # a due time met later than this is worth a line


class Deadline:
    """One due time; its call is made once, unless it is cancelled before."""

    __slots__ = ("when", "call", "owner")

    def __init__(self, when: int, call: Callable[[], None], owner: Deadlines) -> None:
        self.when, self.call, self.owner = when, call, owner

    def cancel(self) -> None:
        if self.call is not None:
            self.call = None
            self.owner.cancelled += 1


class Deadlines:
    """The heap; cancelled entries stay until they are due or are half of it."""

    def __init__(self, reactor, clock: Clock) -> None:
        self._reactor, self._clock, self.clock = reactor, clock, clock
        self._heap: list[tuple[int, int, Deadline]] = []
        self._count, self.cancelled = 0, 0
        self._timer, self._timer_at, self._running = None, 0, False
        self.limited_log = LimitedLog(log, clock)

    def at(self, when: int, call: Callable[[], None]) -> Deadline:
        deadline = Deadline(when, call, self)
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, deadline))
        self._arm()
        return deadline

    def after(self, wait: int, call: Callable[[], None]) -> Deadline:
        return self.at(self._clock.now() + wait, call)

    def _arm(self) -> None:
        if self.cancelled * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].call is not None]
            heapq.heapify(self._heap)
            self.cancelled = 0
        if self._running or not self._heap:
            return
        when = self._heap[0][0]
        if self._timer is not None and self._timer.active():
            if self._timer_at <= when:
                return
            self._timer.cancel()
        self._timer_at = when
        self._timer = self._reactor.callLater(max(0, when - self._clock.now()) / SECOND, self._fire)

    def _fire(self) -> None:
        """Make the calls that are due; those that they add wait for the next turn of the reactor."""
        self._running, due, now = True, [], self._clock.now()
        if self._heap and now - self._heap[0][0] > LATE_LEAST:
            self.limited_log("timer-late", by_ms=(now - self._heap[0][0]) // MS)
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        for deadline in due:
            call, deadline.call = deadline.call, None
            if call is None:
                self.cancelled -= 1
                continue
            try:
                call()
            except Exception:  # one call's fault must not take the others' due times with it
                log_event(log, "fault", trace=True)
        self._running = False
        self._arm()
