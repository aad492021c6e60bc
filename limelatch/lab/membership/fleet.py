"""Simulates a fleet of members on a virtual clock, whose processes can end, pause and restart.

Invariants are checked at each event. Members implement `SimulatedMember`, so the baselines run here as well.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from limelatch.interface import SECOND
from limelatch.lab.membership.network import Network
from limelatch.membership.messages import (
    Datagram,
    DropReason,
    Event,
    IsolationChanged,
    MemberChanged,
    State,
)
from limelatch.membership.outbox import PACKET_HEADER_BYTES

SOCKET_QUEUE_LENGTH = 256  # datagrams; a paused process loses the oldest ones beyond it
WINDOW = 10 * SECOND  # of the byte counts
TOLERATED_PAUSE = 5 * SECOND  # declaring a member dead that is paused for no longer is wrong
TRACE_LENGTH = 60  # latest events, printed by a failing run


class SimulatedMember(Protocol):
    """The interface of a member that a fleet uses."""

    due: int
    incarnation: int

    def tick(self, now: int) -> None: ...
    def received(self, now: int, data: bytes, sender: int | None) -> DropReason | None: ...
    def refused(self, now: int, member: int) -> None: ...
    def leave(self, now: int) -> None: ...
    def take(self) -> tuple[list[Datagram], list[Event]]: ...


class InvariantError(AssertionError):
    """An invariant does not hold; the message contains the latest events of the run."""


@dataclass(slots=True)
class Process:
    """The process of one member and its simulated environment."""

    member: SimulatedMember | None = None
    paused: bool = False
    paused_at: int = 0
    machine_up: bool = True
    waiting: deque = field(default_factory=lambda: deque(maxlen=SOCKET_QUEUE_LENGTH))
    starts: int = 0
    stored: int = 0  # the incarnation in its state directory
    isolated: bool = False
    bytes_by_window: dict[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Verdict:
    """The member `on` was declared dead by `by`, from own probes or another member's report."""

    at: int
    by: int
    on: int
    why: str
    wrong: bool  # from own probes, though the member ran or paused only briefly, and no cut was between


# (number, incarnation, random source, now) -> member
MemberFactory = Callable[[int, int, Random, int], SimulatedMember]


class Fleet:
    """A fleet of `count` members created by `make`. All randomness comes from `seed`.

    `stored`: whether members keep their incarnation over a restart. Times are in tenths of a millisecond."""

    def __init__(self, count: int, seed: int, make: MemberFactory, stored: bool = True) -> None:
        self.count, self.make, self.stored = count, make, stored
        self.random = Random(seed)
        self.network = Network(Random(self.random.random()))
        self.now, self._number = 0, 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.processes = [Process() for _ in range(count)]
        self.verdicts: list[Verdict] = []
        self.trace: deque[str] = deque(maxlen=TRACE_LENGTH)
        self.suspected: set[tuple[int, int]] = set()  # (member, incarnation)
        self.changed_at = 0

    # The clock.

    def at(self, when: int, call: Callable[..., None], *arguments: object) -> None:
        """Schedule a call."""
        self._number += 1
        heapq.heappush(self._queue, (when, self._number, call, arguments))

    def run(self, until: int) -> Fleet:
        """Advance the virtual clock to this time, with all calls that are due."""
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(queue)
            call(*arguments)
        self.now = until
        return self

    # Processes.

    def start(self, number: int) -> None:
        """Start a member's process, also after a kill or a clean end."""
        process = self.processes[number]
        incarnation = process.stored + 1 if self.stored and process.stored else 0
        incarnation = 1 if self.stored and not process.stored else incarnation
        process.starts += 1
        source = Random(self.random.random())
        process.member = self.make(number, incarnation, source, self.now)
        process.paused = process.isolated = False
        process.machine_up = True
        process.waiting.clear()
        self._after_step(number)

    def start_all(self, within: int = 2 * SECOND) -> Fleet:
        """Schedule the start of all members at random times."""
        for number in range(self.count):
            self.at(self.now + self.random.randrange(within), self.start, number)
        return self

    def kill(self, number: int, machine: bool = False) -> None:
        """Kill the process, or its whole machine: then no kernel refuses datagrams to it."""
        process = self.processes[number]
        process.member, process.machine_up = None, not machine
        self.record(f"member {number} is killed")

    def end(self, number: int) -> None:
        """End a member's process cleanly."""
        process = self.processes[number]
        if process.member is not None:
            process.member.leave(self.now)
            self._send(number)
            process.member = None

    def pause(self, number: int, span: int) -> None:
        """Pause a member's process for this time."""
        process = self.processes[number]
        if process.member is not None and not process.paused:
            process.paused, process.paused_at = True, self.now
            self.at(self.now + span, self._wake, number, process.starts)

    def _wake(self, number: int, starts: int) -> None:
        process = self.processes[number]
        if process.starts != starts or process.member is None:
            return
        process.paused = False
        self._tick(number, starts, process.member.due)  # timers first, as a reactor does, then its socket
        while process.waiting and not process.paused:
            self._deliver(number, *process.waiting.popleft())

    # Datagrams and ticks.

    def _tick(self, number: int, starts: int, due: int) -> None:
        process = self.processes[number]
        if process.starts != starts or process.member is None or process.paused:
            return
        if process.member.due == due:
            process.member.tick(self.now)
            self._after_step(number)

    def _after_step(self, number: int) -> None:
        process = self.processes[number]
        self._send(number)
        self.at(max(self.now + 1, process.member.due), self._tick, number, process.starts, process.member.due)

    def _send(self, number: int) -> None:
        process = self.processes[number]
        datagrams, events = process.member.take()
        process.stored = max(process.stored, process.member.incarnation)
        for event in events:
            self._check(number, event)
        if not datagrams:
            return
        window = self.now // WINDOW
        total = sum(len(each.data) + PACKET_HEADER_BYTES for each in datagrams)
        process.bytes_by_window[window] = process.bytes_by_window.get(window, 0) + total
        for each in datagrams:
            for when in self.network.arrivals(self.now, number, each.to):
                self.at(when, self._arrive, each.to, each.data, number)

    def _arrive(self, number: int, data: bytes, sender: int) -> None:
        process = self.processes[number]
        window = self.now // WINDOW
        size = len(data) + PACKET_HEADER_BYTES
        process.bytes_by_window[window] = process.bytes_by_window.get(window, 0) + size
        if process.member is None:
            if process.machine_up and not self.network.is_cut(number, sender):
                self._refuse(sender, number)
        elif process.paused:
            process.waiting.append((data, sender))
        else:
            self._deliver(number, data, sender)

    def _deliver(self, number: int, data: bytes, sender: int) -> None:
        member = self.processes[number].member
        due = member.due
        member.received(self.now, data, sender)
        self._send(number)
        if member.due != due:
            self._after_step(number)

    def _refuse(self, sender: int, number: int) -> None:
        process = self.processes[sender]
        if process.member is not None and not process.paused:
            process.member.refused(self.now, number)
            self._send(sender)

    # Invariants, checked at each event.

    def record(self, message: str) -> None:
        """Add a message to the trace."""
        self.trace.append(f"{self.now / SECOND:.3f} {message}")

    def invariant_error(self, message: str) -> InvariantError:
        """An error with this message and the trace."""
        return InvariantError("\n".join([f"{self.now / SECOND:.3f} {message}", *self.trace]))

    def _check(self, number: int, event: Event) -> None:
        self.changed_at = self.now
        self.record(f"member {number}: {event}")
        if isinstance(event, IsolationChanged):
            self.processes[number].isolated = event.why is not None
        elif isinstance(event, MemberChanged):
            self._check_change(number, event)

    def _check_change(self, number: int, event: MemberChanged) -> None:
        reported = event.why.startswith("told")
        subject = event.member, event.incarnation
        if event.state is State.SUSPECT:
            self.suspected.add(subject)
            if not reported and self.processes[number].isolated:
                raise self.invariant_error(f"member {number} suspects a member while it is isolated")
        if event.state is not State.DEAD:
            return
        if subject not in self.suspected:
            raise self.invariant_error(
                f"member {event.member} is dead at member {number} but was never suspected"
            )
        if not reported and self.processes[number].isolated:
            raise self.invariant_error(f"member {number} declares a member dead while it is isolated")
        process = self.processes[event.member]
        gone = process.member is None or process.paused and self.now - process.paused_at > TOLERATED_PAUSE
        wrong = not reported and not gone and not self._is_apart(event.member, number)
        self.verdicts.append(Verdict(self.now, number, event.member, event.why, wrong))

    def _is_apart(self, one: int, other: int) -> bool:
        return self.network.is_cut(one, other) or self.network.is_cut(other, one)

    # Results.

    def live_members(self) -> list[int]:
        """The members whose process runs or is paused."""
        return [number for number, each in enumerate(self.processes) if each.member is not None]

    def states_of(self, subject: int) -> dict[int, State | None]:
        """The state of one member as each other live member has it; None: unknown."""
        return {number: self.state_at(number, subject) for number in self.live_members() if number != subject}

    def state_at(self, number: int, subject: int) -> State | None:
        """The state of `subject` in the view of member `number`; None: unknown."""
        view = self.processes[number].member.view
        return view.states[subject] if view.is_known(subject) else None

    def all_hold(self, subjects: list[int], state: State, by: list[int] | None = None) -> bool:
        """Whether all live members, or those of `by`, have this state for all subjects."""
        observers = self.live_members() if by is None else by
        return all(
            self.state_at(number, subject) is state
            for number in observers
            for subject in subjects
            if subject != number
        )

    def run_until_agreed(
        self,
        subjects: list[int],
        state: State,
        timeout: int,
        by: list[int] | None = None,
        step: int = SECOND // 10,
    ) -> int | None:
        """Run until they agree; return the time it took, None if longer than `timeout`."""
        began = self.now
        while self.now < began + timeout:
            self.run(self.now + step)
            if self.all_hold(subjects, state, by):
                return self.now - began
        return None

    def bytes_per_second(self, first: int, last: int) -> list[float]:
        """Bytes sent and received per second, by each member in each whole WINDOW between the two times."""
        windows = range(first // WINDOW, last // WINDOW)
        return [
            process.bytes_by_window.get(window, 0) * SECOND / WINDOW
            for process in self.processes
            for window in windows
        ]
