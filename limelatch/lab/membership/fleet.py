"""A fleet of members on a virtual clock: processes that end, pause and return, checked at every step.

A member is anything with the calls of `limelatch.membership.member.Member`: baselines run here as well.
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

SOCKET_QUEUE_LENGTH = 256  # datagrams that wait for a paused process
WINDOW = 10 * SECOND
TOLERATED_PAUSE = 5 * SECOND  # a verdict on a member paused for at most so long is wrong
TRACE_LENGTH = 60  # events that a failing run prints


class SimulatedMember(Protocol):
    """What a fleet needs of its members."""

    due: int
    incarnation: int

    def tick(self, now: int) -> None: ...
    def received(self, now: int, data: bytes, sender: int | None) -> DropReason | None: ...
    def refused(self, now: int, member: int) -> None: ...
    def leave(self, now: int) -> None: ...
    def take(self) -> tuple[list[Datagram], list[Event]]: ...


class InvariantError(AssertionError):
    """An invariant does not hold; the message has the run's last events."""


@dataclass(slots=True)
class Process:
    """One member's process, and what the simulation knows of it."""

    member: SimulatedMember | None = None
    paused: bool = False
    paused_at: int = 0
    machine_up: bool = True
    waiting: deque = field(default_factory=lambda: deque(maxlen=SOCKET_QUEUE_LENGTH))
    starts: int = 0
    stored: int = 0  # the incarnation in its folder
    isolated: bool = False
    bytes_by_window: dict[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Verdict:
    """A member was taken for dead by another one, by its own judgement or by hearsay."""

    at: int
    by: int
    on: int
    why: str
    wrong: bool  # its own judgement on one that ran, or whose pause is to be borne, and no cut between


MemberFactory = Callable[[int, int, Random, int], SimulatedMember]  # number, incarnation, random source, now


class Fleet:
    """`count` members that `make` makes; everything by `seed`."""

    def __init__(self, count: int, seed: int, make: MemberFactory, stored: bool = True) -> None:
        self.count, self.make, self.stored = count, make, stored
        self.random = Random(seed)
        self.network = Network(Random(self.random.random()))
        self.now, self._number = 0, 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.processes = [Process() for _ in range(count)]
        self.verdicts: list[Verdict] = []
        self.trace: deque[str] = deque(maxlen=TRACE_LENGTH)
        self.suspected: set[tuple[int, int]] = set()  # member and incarnation
        self.changed_at = 0

    # The clock.

    def at(self, when: int, call: Callable[..., None], *arguments: object) -> None:
        self._number += 1
        heapq.heappush(self._queue, (when, self._number, call, arguments))

    def run(self, until: int) -> Fleet:
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(queue)
            call(*arguments)
        self.now = until
        return self

    # Processes.

    def start(self, number: int) -> None:
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
        for number in range(self.count):
            self.at(self.now + self.random.randrange(within), self.start, number)
        return self

    def kill(self, number: int, machine: bool = False) -> None:
        """SIGKILL, or the end of the whole machine, whose kernel then refuses nothing."""
        process = self.processes[number]
        process.member, process.machine_up = None, not machine
        self.record(f"member {number} is killed")

    def end(self, number: int) -> None:
        process = self.processes[number]
        if process.member is not None:
            process.member.leave(self.now)
            self._send(number)
            process.member = None

    def pause(self, number: int, span: int) -> None:
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

    # What is checked at every step.

    def record(self, message: str) -> None:
        self.trace.append(f"{self.now / SECOND:.3f} {message}")

    def invariant_error(self, message: str) -> InvariantError:
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
                raise self.invariant_error(f"member {number} suspects while it is isolated")
        if event.state is not State.DEAD:
            return
        if subject not in self.suspected:
            raise self.invariant_error(f"member {event.member} is dead to {number} and was suspect to nobody")
        if not reported and self.processes[number].isolated:
            raise self.invariant_error(f"member {number} gives a verdict while it is isolated")
        process = self.processes[event.member]
        gone = process.member is None or process.paused and self.now - process.paused_at > TOLERATED_PAUSE
        wrong = not reported and not gone and not self._is_apart(event.member, number)
        self.verdicts.append(Verdict(self.now, number, event.member, event.why, wrong))

    def _is_apart(self, one: int, other: int) -> bool:
        return self.network.is_cut(one, other) or self.network.is_cut(other, one)

    # Figures.

    def live_members(self) -> list[int]:
        return [number for number, each in enumerate(self.processes) if each.member is not None]

    def states_of(self, subject: int) -> dict[int, State | None]:
        """What each live member holds of one; None: unknown."""
        return {number: self.state_at(number, subject) for number in self.live_members() if number != subject}

    def state_at(self, number: int, subject: int) -> State | None:
        view = self.processes[number].member.view
        return view.states[subject] if view.is_known(subject) else None

    def all_hold(self, subjects: list[int], state: State, by: list[int] | None = None) -> bool:
        """Whether all live members (or those of `by`) hold this state of all subjects."""
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
        """Time until they agree; None if not within `most`."""
        began = self.now
        while self.now < began + timeout:
            self.run(self.now + step)
            if self.all_hold(subjects, state, by):
                return self.now - began
        return None

    def bytes_per_second(self, first: int, last: int) -> list[float]:
        """Sent and received by each member in each whole window of ten seconds between the two times."""
        windows = range(first // WINDOW, last // WINDOW)
        return [
            process.bytes_by_window.get(window, 0) * SECOND / WINDOW
            for process in self.processes
            for window in windows
        ]
