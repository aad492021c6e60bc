"""One member: it probes the others, learns from what they tell, and passes on what it knows.

The host program calls `tick` at the time that `due` names, `received` for each datagram, `refused` where a
datagram found a closed port, and `leave` at a clean end; after each it takes what `take` gives.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from limelatch.interface import MS, SECOND
from limelatch.membership.codec import BadDatagram, Codec, cluster_key
from limelatch.membership.dissemination import FactQueue
from limelatch.membership.detector import Hearing, Probe, Probes, Rounds
from limelatch.membership.exchange import Exchange
from limelatch.membership.messages import (
    Ack,
    Datagram,
    Drop,
    Event,
    Fact,
    Gossip,
    Header,
    IndirectAck,
    IndirectPing,
    IsolationChanged,
    Joined,
    Message,
    Page,
    PageDigests,
    Ping,
    State,
)
from limelatch.membership.outbox import Outbox
from limelatch.membership.registry import Registry
from limelatch.membership.timing import Timing, transmissions
from limelatch.membership.view import pages_of

HELPERS, PUSHES = 3, 2  # asked to probe for this member; gossip datagrams a period
ABSENT_TRIES = 2  # of one that is dead or unknown, a span
TOLD_AT_ONCE = 32  # members that hear directly that this one is alive, or leaves
RELAYED_MOST, RELAYED_FOR = 64, 2 * SECOND  # probes for others that are outstanding
TARGET_BYTES, TARGET_ACK_BYTES = 3, 7  # with the count of facts


class Member:
    """The member at `me` of `peers`. `incarnation`: 0 where no earlier one is known, which is asked for."""

    registry_of = Registry

    def __init__(self, peers: Sequence[str], me: int, incarnation: int, random: Random, now: int,
                 timing: Timing | None = None, zones: Sequence[int] = ()) -> None:
        count, self.me, self.random, self.zones = len(peers), me, random, zones
        self.timing = timing or Timing()
        self.registry = self.registry_of(count, me, self.timing)
        self.view = self.registry.view
        self.rounds, self.probes = Rounds(me, self.view, random), Probes(random)
        self.codec = Codec(cluster_key(peers), count, me, pages_of(count))
        self.queue = FactQueue(transmissions(count))
        self.outbox = Outbox(now, self.codec, self.queue, lambda member: self.registry.fact(self.now, member))
        self.exchange = Exchange(self.registry, self.outbox, self._header)
        self.hearing, self.now = Hearing(now), now
        self.drops = dict.fromkeys(Drop, 0)
        self._events: list[Event] = []
        self._relayed: dict[int, tuple[int, int, int]] = {}  # own sequence -> asker, its sequence, until
        self._asking_until = now + 2 * self.timing.asking
        self._answers_while_asking = 0
        self.incarnation, self.has_left = 0, False
        start = now + random.randrange(self.timing.period)
        self.due = self._probe_at = self._push_at = start
        self._absent_at = self._own_at = self._page_at = start
        if incarnation:
            self._join(incarnation)

    # What the host program calls.

    def take(self) -> tuple[list[Datagram], list[Event]]:
        """What is to be sent, and what has changed, since the last call."""
        datagrams, self.outbox.datagrams = self.outbox.datagrams, []
        events, self._events = self._events + self.registry.take_events(), []
        for member in self.registry.take_news():
            self.queue.add(member)
        return datagrams, events

    def tick(self, now: int) -> None:
        """All that is due; `due` is then the time of the next call."""
        late, self.now = now - self.due, now
        if self.has_left:
            return
        self.outbox.refill(now)
        if late > self.timing.late:
            self._did_not_run(late)
        if not self.incarnation:
            self._ask()
        unanswered = self._expire_probes()
        self._judge_hearing()
        if self.hearing.isolation is None:
            for probe in unanswered:
                self.registry.suspect(now, probe.target, probe.sent)
            self.registry.judge(now)
        self._begin_probes()
        self._push()
        self.due = self._next_due()

    def received(self, now: int, data: bytes, sender: int | None) -> Drop | None:
        """A datagram from a member's address; None: from another one. Returns why it was dropped, if so."""
        self.now = max(now, self.now)
        drop = self._read(data, sender)
        if drop is not None:
            self.drops[drop] += 1
        return drop

    def refused(self, now: int, member: int) -> None:
        """A datagram to this member came to a closed port: its process is gone."""
        self.now = max(now, self.now)
        usable = not self.has_left and self.hearing.isolation is None
        if usable and member != self.me and self.view.is_present(member):
            self.registry.refused(self.now, member)

    def doubtful(self) -> list[int]:
        """Members that have not answered: worth a look whether their processes are gone."""
        late = [probe.target for probe in self.probes.outstanding.values() if probe.asked_others]
        own = [member for member, each in self.registry.suspicions.items() if each.own]
        return list(dict.fromkeys([*self.registry.refusals, *late, *own]))

    def leave(self, now: int) -> None:
        """A clean end: others take it at once; nothing is done any more."""
        self.now = now
        if self.incarnation and not self.has_left:
            self._hold_self(State.LEFT)
            self._tell_at_once()
        self.has_left = True

    # Incarnations.

    def _join(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._hold_self(State.ALIVE)
        self._events.append(Joined(incarnation))

    def _ask(self) -> None:
        """Guards against passing for an earlier process: others say what they hold of it."""
        half = self._asking_until - self.timing.asking
        if self.now >= self._asking_until or self.now >= half and self._answers_while_asking:
            self._join(max(1, self.registry.held_of_self + 1))

    def _hold_self(self, state: State) -> None:
        self.view.put(self.me, self.incarnation, state)
        self.queue.add(self.me)

    def _go_over(self, incarnation: int) -> None:
        """Somebody holds this of the member itself: refute it."""
        self.registry.held_of_self = max(self.registry.held_of_self, incarnation)
        if self.incarnation and not self.has_left:
            self.incarnation = incarnation + 1
            self._hold_self(State.ALIVE)
            self._tell_at_once()

    def _tell_at_once(self) -> None:
        fact = self.registry.fact(self.now, self.me)
        for member in self.rounds.some_alive(TOLD_AT_ONCE, self.me):
            self.outbox.send(member, Gossip, self._header(member), first=fact, alone=True)

    # Probes.

    def _did_not_run(self, late: int) -> None:
        """The process did not run for so long: answers may have been missed, so nobody is judged by them."""
        self.probes.void()
        self.registry.postpone(self.now, late + self.timing.grace)
        self.hearing.answered_at += late
        self.hearing.heard_at += late

    def _expire_probes(self) -> list[Probe]:
        """Ask others where the direct answer is late; return the probes of the round that had none at all."""
        for probe in list(self.probes.outstanding.values()):
            if not probe.asked_others and probe.counts and self.now - probe.sent >= self.timing.direct_wait:
                probe.asked_others = True
                self._ask_others(probe)
        for sequence in [each for each, (_, _, until) in self._relayed.items() if until <= self.now]:
            del self._relayed[sequence]
        unanswered = [each for each in self.probes.take_expired(self.now, self.timing) if each.counts]
        self.hearing.unanswered += len(unanswered)
        return unanswered

    def _ask_others(self, probe: Probe) -> None:
        """The direct answer is late: ask again, and ask others to probe, one of another zone first."""
        if self.probes.hurried:
            return
        sequence = next(each for each, other in self.probes.outstanding.items() if other is probe)
        self._ping(probe.target, sequence)
        for helper in self._helpers(probe.target):
            if self.outbox.affords(2 * TARGET_ACK_BYTES + DATAGRAM_LEAST):
                self.outbox.send(helper, IndirectPing, self._header(helper, sequence), probe.target,
                                 tail=TARGET_BYTES)

    def _helpers(self, target: int) -> list[int]:
        found = self.rounds.some_alive(2 * HELPERS if self.zones else HELPERS, self.me, target)
        if self.zones:
            found.sort(key=lambda member: self.zones[member] == self.zones[self.me])
        return found[:HELPERS]

    def _begin_probes(self) -> None:
        if self.now >= self._probe_at:
            hurried = self.probes.hurried and self.hearing.isolation is None
            period = self.timing.hurried_period if hurried else self.timing.period
            self._probe_at = max(self._probe_at + period, self.now + period // 2)
            target, counts = self.rounds.next_present(unsuspected=hurried), True
            if target is None:  # nobody is known yet
                target, counts = self.rounds.next_absent(), False
            if target is not None:
                self._ping(target, self.probes.begin(self.now, target, counts))
        if self.now >= self._absent_at:
            self._absent_at = self.now + self.timing.absent_probe
            target = self.rounds.next_absent() if self._tries_absent() else None
            if target is not None:
                self._ping(target, self.probes.begin(self.now, target, counts=False))
        if self.now >= self._own_at and self.outbox.affords(DATAGRAM_LEAST):
            suspect = self.registry.next_own_probe(self.now)
            if suspect is not None:
                self._own_at = self.now + self.timing.own_probes_apart
                self._ping(suspect, self.probes.begin(self.now, suspect, counts=False))

    def _tries_absent(self) -> bool:
        """Whether it is this member's turn: all together try each absent one ABSENT_TRIES times a span.

        Guards against hundreds of members that all try the one that is dead, at its return too."""
        present = max(1, self.view.present)
        return self.random.random() * present < ABSENT_TRIES * self.view.absent

    def _ping(self, target: int, sequence: int) -> None:
        """The target hears first what is held of it, where that is not that it is alive."""
        first = self.registry.bad_news(self.now, target)
        alone = self.probes.hurried or not self.view.is_alive(target)  # it may not hear what is told
        self.outbox.send(target, Ping, self._header(target, sequence), first=first, alone=alone)

    def _judge_hearing(self) -> None:
        """Whether this member is isolated; what it suspected is begun anew once it is no longer."""
        known = self.view.present - 1 if self.incarnation else self.view.present
        before = self.hearing.isolation
        isolation = self.hearing.judge(self.now, known + self.view.counts[State.DEAD], self.timing)
        if isolation != before:
            self.hearing.isolation = isolation
            self._events.append(IsolationChanged(isolation, self.now - self.hearing.answered_at))
        if isolation is None and before is not None:
            self.registry.start_anew(self.now)

    # News.

    def _push(self) -> None:
        for member in self.registry.take_news():
            self.queue.add(member)
        if self.now < self._push_at:
            return
        self._push_at = self.now + (self.timing.period // 2 if self.probes.hurried else self.timing.period)
        if len(self.queue):
            hurried = self.probes.hurried
            some = self.rounds.some_heard(PUSHES) if hurried else self.rounds.some_alive(PUSHES, self.me)
            for member in some:
                if self.outbox.affords(PUSH_BYTES):
                    self.outbox.send(member, Gossip, self._header(member))
        if self.now >= self._page_at and self.exchange.ask(len(self.queue)):
            self._page_at = self.now + self.timing.page_wait

    def _next_due(self) -> int:
        waits = self.registry.suspicions or self.registry.refusals
        busy = self.probes.outstanding or waits or not self.incarnation
        due = min(self._probe_at, self._absent_at if self.view.absent else self._probe_at)
        if len(self.queue):
            due = min(due, self._push_at)
        return max(self.now + MS, min(due, self.now + self.timing.tick) if busy else due)

    def _header(self, to: int, sequence: int = 0) -> Header:
        return Header(self.me, self.incarnation, sequence, self.view.digest, self.view.incarnations[to])

    # Datagrams.

    def _read(self, data: bytes, sender: int | None) -> Drop | None:
        if sender is None:
            return Drop.SENDER
        try:
            message = self.codec.read(data)
        except BadDatagram as error:
            return error.drop
        header = message.header
        if header.sender != sender:
            return Drop.SENDER
        self.outbox.received(len(data))
        self.rounds.heard(sender)
        if self.has_left:
            return None
        self.hearing.heard_at = self.now
        if header.held > self.incarnation:
            self._go_over(header.held)
        if header.incarnation < self.view.incarnations[sender]:
            if isinstance(message, Ping):  # an earlier process, or one that asks what is held of it
                self.outbox.send(sender, Ack, self._header(sender, header.sequence))
            return Drop.STALE if header.incarnation else None
        if header.incarnation:
            self.registry.learn(self.now, Fact(sender, header.incarnation, State.ALIVE), sender)
        self._take(message)
        return None

    def _take(self, message: Message) -> None:
        header = message.header
        if not isinstance(message, PageDigests):
            for fact in message.facts:
                self._learn(fact, header.sender)
        if isinstance(message, Ping):
            first = self.registry.bad_news(self.now, header.sender)
            self.outbox.send(header.sender, Ack, self._header(header.sender, header.sequence), first=first)
        elif isinstance(message, Ack):
            self._answered(header.sequence, header.sender, header.incarnation)
        elif isinstance(message, IndirectAck):
            self._answered(header.sequence, message.target, message.target_incarnation)
        elif isinstance(message, IndirectPing):
            self._probe_for(header, message.target)
        elif isinstance(message, PageDigests):
            self.exchange.answer(self.now, message)
        elif isinstance(message, Page):
            self.exchange.compare(self.now, message)
        if header.digest != self.view.digest:
            self.exchange.differs(header.sender)

    def _learn(self, fact: Fact, teller: int) -> None:
        if fact.member != self.me:
            self.registry.learn(self.now, fact, teller)
        elif fact.incarnation > self.incarnation or (
                fact.incarnation == self.incarnation and fact.state is not State.ALIVE):
            self._go_over(fact.incarnation)

    def _answered(self, sequence: int, target: int, incarnation: int) -> None:
        if sequence in self._relayed:
            self._pass_on(sequence, target, incarnation)
            return
        probe = self.probes.answered(sequence, target)
        if probe is None:
            return
        self.hearing.answered(self.now)
        if not self.incarnation:
            self._answers_while_asking += 1
        self.registry.answered(self.now, target, incarnation)

    def _probe_for(self, header: Header, target: int) -> None:
        if target in (self.me, header.sender) or len(self._relayed) >= RELAYED_MOST:
            return
        if self.outbox.affords(DATAGRAM_LEAST):
            sequence = self.probes.begin(self.now, target, counts=False)
            self._relayed[sequence] = header.sender, header.sequence, self.now + RELAYED_FOR
            self._ping(target, sequence)

    def _pass_on(self, sequence: int, target: int, incarnation: int) -> None:
        if self.probes.answered(sequence, target) is not None and incarnation:
            asker, asked, _ = self._relayed.pop(sequence)
            self.hearing.answered(self.now)
            self.outbox.send(asker, IndirectAck, self._header(asker, asked), target, incarnation,
                             tail=TARGET_ACK_BYTES)


DATAGRAM_LEAST = 25  # bytes of a ping without facts
PUSH_BYTES = 200  # that have to be affordable: few full datagrams of facts cost less than many small ones
