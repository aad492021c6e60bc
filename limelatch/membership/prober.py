"""The probes of one member: its rounds, those for others, and second looks at suspects and absent ones."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from limelatch.interface import SECOND
from limelatch.membership.detector import Reachability, Probe, Probes, Rounds
from limelatch.membership.messages import Header, IndirectAck, IndirectPing, Ping
from limelatch.membership.outbox import DATAGRAM_LEAST, Outbox
from limelatch.membership.registry import Registry
from limelatch.membership.timing import Timing

HELPERS = 3  # asked to probe for this member
ABSENT_TRIES = 2  # of one that is dead or unknown, a span
RELAYED_MOST, RELAYED_FOR = 64, 2 * SECOND  # probes for others that are outstanding
TARGET_BYTES, TARGET_ACK_BYTES = 3, 7  # with the count of facts


class Prober:
    """Sends pings and learns which of them are answered; `zones`: of each member, if they are told."""

    def __init__(
        self,
        me: int,
        start: int,
        random: Random,
        timing: Timing,
        registry: Registry,
        outbox: Outbox,
        header: Callable[..., Header],
        zones: Sequence[int],
    ) -> None:
        self.me, self.random, self.timing, self.zones = me, random, timing, zones
        self.registry, self.view, self.outbox, self.header = registry, registry.view, outbox, header
        self.rounds, self.probes = Rounds(me, self.view, random), Probes(random)
        self.reachability = Reachability(start)
        self.probe_at = self.absent_at = self._own_at = start
        self._relayed: dict[int, tuple[int, int, int]] = {}  # own sequence -> asker, its sequence, until

    def expire(self, now: int) -> list[Probe]:
        """Ask others where the direct answer is late; return the probes of the round that had none at all."""
        for probe in list(self.probes.outstanding.values()):
            if not probe.asked_others and probe.counts and now - probe.sent >= self.timing.direct_ack_timeout:
                probe.asked_others = True
                self._ask_others(now, probe)
        for sequence in [each for each, (_, _, until) in self._relayed.items() if until <= now]:
            del self._relayed[sequence]
        unanswered = [each for each in self.probes.take_expired(now, self.timing) if each.counts]
        self.reachability.unanswered += len(unanswered)
        return unanswered

    def _ask_others(self, now: int, probe: Probe) -> None:
        """The direct answer is late: ask again, and ask others to probe, one of another zone first."""
        if self.probes.hurried:
            return
        sequence = next(each for each, other in self.probes.outstanding.items() if other is probe)
        self._ping(now, probe.target, sequence)
        for helper in self._helpers(probe.target):
            if self.outbox.affords(2 * TARGET_ACK_BYTES + DATAGRAM_LEAST):
                self.outbox.send(
                    helper, IndirectPing, self.header(helper, sequence), probe.target, tail=TARGET_BYTES
                )

    def _helpers(self, target: int) -> list[int]:
        found = self.rounds.some_alive(2 * HELPERS if self.zones else HELPERS, self.me, target)
        if self.zones:
            found.sort(key=lambda member: self.zones[member] == self.zones[self.me])
        return found[:HELPERS]

    def begin(self, now: int) -> None:
        """Send the probes that are due."""
        self._probe_round(now)
        self._probe_absent(now)
        self._probe_own_suspect(now)

    def _probe_round(self, now: int) -> None:
        if now < self.probe_at:
            return
        hurried = self.probes.hurried and self.reachability.isolation is None
        period = self.timing.fast_probe_period if hurried else self.timing.probe_period
        self.probe_at = max(self.probe_at + period, now + period // 2)
        target, counts = self.rounds.next_present(unsuspected=hurried), True
        if target is None and hurried:  # all are suspect: their silence tells that this member is isolated
            target = self.rounds.next_present()
        if target is None:  # nobody is known yet
            target, counts = self.rounds.next_absent(), False
        if target is not None:
            self._ping(now, target, self.probes.begin(now, target, counts))

    def _probe_absent(self, now: int) -> None:
        if now < self.absent_at:
            return
        self.absent_at = now + self.timing.absent_probe_interval
        target = self.rounds.next_absent() if self._tries_absent() else None
        if target is not None:
            self._ping(now, target, self.probes.begin(now, target, counts=False))

    def _probe_own_suspect(self, now: int) -> None:
        if now < self._own_at or not self.outbox.affords(DATAGRAM_LEAST):
            return
        suspect = self.registry.next_own_probe(now)
        if suspect is not None:
            self._own_at = now + self.timing.suspect_probe_gap
            self._ping(now, suspect, self.probes.begin(now, suspect, counts=False))

    def _tries_absent(self) -> bool:
        """Whether it is this member's turn: all together try each absent one ABSENT_TRIES times a span.

        Guards against hundreds of members that all try the one that is dead, at its return too."""
        present = max(1, self.view.present)
        return self.random.random() * present < ABSENT_TRIES * self.view.absent

    def _ping(self, now: int, target: int, sequence: int) -> None:
        """The target hears first what is held of it, where that is not that it is alive."""
        first = self.registry.bad_news(now, target)
        alone = self.probes.hurried or not self.view.is_alive(target)  # it may not hear what is told
        self.outbox.send(target, Ping, self.header(target, sequence), first=first, alone=alone)

    def probe_for(self, now: int, header: Header, target: int) -> None:
        """Probe a member that another one has no direct answer of."""
        if target in (self.me, header.sender) or len(self._relayed) >= RELAYED_MOST:
            return
        if self.outbox.affords(DATAGRAM_LEAST):
            sequence = self.probes.begin(now, target, counts=False)
            self._relayed[sequence] = header.sender, header.sequence, now + RELAYED_FOR
            self._ping(now, target, sequence)

    def answered(self, now: int, sequence: int, target: int, incarnation: int) -> bool:
        """An answer has come, straight or by way of another member; whether it is one to an own probe."""
        if sequence in self._relayed:
            self._pass_on(now, sequence, target, incarnation)
            return False
        if self.probes.answered(sequence, target) is None:
            return False
        self.reachability.answered(now)
        return True

    def void(self) -> None:
        """This process did not run: no probe counts that was out."""
        self.probes.void()

    def late_targets(self) -> list[int]:
        """Members whose direct answer is late."""
        return [probe.target for probe in self.probes.outstanding.values() if probe.asked_others]

    def next_due(self, now: int, busy: bool) -> int:
        """When there is something to do again; `busy`: others wait for each tick as well."""
        due = min(self.probe_at, self.absent_at) if self.view.absent else self.probe_at
        return min(due, now + self.timing.tick) if busy or self.probes.outstanding else due

    def _pass_on(self, now: int, sequence: int, target: int, incarnation: int) -> None:
        if self.probes.answered(sequence, target) is not None and incarnation:
            asker, asked, _ = self._relayed.pop(sequence)
            self.reachability.answered(now)
            self.outbox.send(
                asker, IndirectAck, self.header(asker, asked), target, incarnation, tail=TARGET_ACK_BYTES
            )
