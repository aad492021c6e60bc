"""All timers of the relay, in one heap driven by a single timer of the reactor."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from limelatch.interface import MS, SECOND
from limelatch.logs import LimitedLog, logger, log_event
from limelatch.relay.clock import Clock

log = logger("deadlines")

MIN_LOGGED_DELAY = SECOND // 2  # a timer that fires later than this is logged


class Deadline:
    """One timer: its callback runs once, unless it is cancelled before."""

    __slots__ = ("when", "call", "owner")

    def __init__(self, when: int, call: Callable[[], None], owner: Deadlines) -> None:
        self.when, self.call, self.owner = when, call, owner

    def cancel(self) -> None:
        """Cancel the callback; does nothing after it has run."""
        if self.call is not None:
            self.call = None
            self.owner.cancelled += 1


class Deadlines:
    """The heap of timers. Cancelled entries stay until they are due or make up more than half of the heap."""

    def __init__(self, reactor, clock: Clock) -> None:
        self._reactor, self._clock, self.clock = reactor, clock, clock
        self._heap: list[tuple[int, int, Deadline]] = []
        self._count, self.cancelled = 0, 0
        self._timer, self._timer_at, self._running = None, 0, False
        self.limited_log = LimitedLog(log, clock)
        self._max_delay = 0

    def take_max_delay(self) -> int:
        """How late a timer has fired at most since the last call, in tenths of a millisecond."""
        delay, self._max_delay = self._max_delay, 0
        return delay

    def at(self, when: int, call: Callable[[], None]) -> Deadline:
        """Run `call` at the time `when` of the relay's clock, in tenths of a millisecond."""
        deadline = Deadline(when, call, self)
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, deadline))
        self._arm()
        return deadline

    def after(self, wait: int, call: Callable[[], None]) -> Deadline:
        """Run `call` after `wait` tenths of a millisecond."""
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
        """Run the callbacks that are due; those that they add wait for the reactor's next iteration."""
        self._running, due, now = True, [], self._clock.now()
        delay = now - self._heap[0][0] if self._heap else 0
        self._max_delay = max(self._max_delay, delay)
        if delay > MIN_LOGGED_DELAY:
            self.limited_log("timer-late", by_ms=delay // MS)
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        for deadline in due:
            call, deadline.call = deadline.call, None
            if call is None:
                self.cancelled -= 1
                continue
            try:
                call()
            except Exception:  # an error in one callback must not stop the others
                log_event(log, "fault", trace=True)
        self._running = False
        self._arm()
