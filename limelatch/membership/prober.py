"""Sends the probes of one member: regular rounds, indirect ones, and those of suspect and absent members."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from limelatch.interface import SECOND
from limelatch.membership.detector import Reachability, Probe, Probes, Rounds
from limelatch.membership.messages import Header, IndirectAck, IndirectPing, Ping
from limelatch.membership.outbox import MIN_DATAGRAM_BYTES, Outbox
from limelatch.membership.registry import Registry
from limelatch.membership.timing import Timing

INDIRECT_HELPERS = 3  # members asked for an indirect probe
ABSENT_PROBES_PER_INTERVAL = 2  # of each dead or unknown member, by all members together
MAX_RELAYED_PROBES = 64  # outstanding probes on behalf of others
RELAYED_PROBE_LIFETIME = 2 * SECOND
INDIRECT_PING_BODY_BYTES = 3  # the target and the count of facts
INDIRECT_ACK_BODY_BYTES = 7  # the target, its incarnation and the count of facts


class Prober:
    """Sends pings and matches their answers. `zones`: the zone of each member, empty if not configured."""

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
        self.probe_at = self.absent_at = self._suspect_probe_at = start
        # own sequence -> (requester, its sequence, expiry)
        self._relayed: dict[int, tuple[int, int, int]] = {}

    def expire(self, now: int) -> list[Probe]:
        """Request indirect probes where direct answers are late; return the round's probes that timed out."""
        for probe in list(self.probes.outstanding.values()):
            if (
                not probe.indirect_requested
                and probe.in_round
                and now - probe.sent_at >= self.timing.direct_ack_timeout
            ):
                probe.indirect_requested = True
                self._request_indirect_probes(now, probe)
        for sequence in [each for each, (_, _, until) in self._relayed.items() if until <= now]:
            del self._relayed[sequence]
        unanswered = [each for each in self.probes.take_expired(now, self.timing) if each.in_round]
        self.reachability.unanswered_probes += len(unanswered)
        return unanswered

    def _request_indirect_probes(self, now: int, probe: Probe) -> None:
        """Ping again, and ask helpers to probe the target, those of other zones first."""
        if self.probes.many_failed:
            return
        sequence = next(each for each, other in self.probes.outstanding.items() if other is probe)
        self._ping(now, probe.target, sequence)
        for helper in self._helpers(probe.target):
            if self.outbox.can_afford(2 * INDIRECT_ACK_BODY_BYTES + MIN_DATAGRAM_BYTES):
                self.outbox.send(
                    helper,
                    IndirectPing,
                    self.header(helper, sequence),
                    probe.target,
                    body_bytes=INDIRECT_PING_BODY_BYTES,
                )

    def _helpers(self, target: int) -> list[int]:
        found = self.rounds.sample_alive(
            2 * INDIRECT_HELPERS if self.zones else INDIRECT_HELPERS, self.me, target
        )
        if self.zones:
            found.sort(key=lambda member: self.zones[member] == self.zones[self.me])
        return found[:INDIRECT_HELPERS]

    def send_due_probes(self, now: int) -> None:
        """Send all probes that are due."""
        self._probe_round(now)
        self._probe_absent(now)
        self._probe_suspect(now)

    def _probe_round(self, now: int) -> None:
        if now < self.probe_at:
            return
        many_failed = self.probes.many_failed and self.reachability.isolation is None
        period = self.timing.fast_probe_period if many_failed else self.timing.probe_period
        self.probe_at = max(self.probe_at + period, now + period // 2)
        target, in_round = self.rounds.next_present(alive_only=many_failed), True
        if (
            target is None and many_failed
        ):  # all are suspect: unanswered probes then show that this member is isolated
            target = self.rounds.next_present()
        if target is None:  # no member is known yet
            target, in_round = self.rounds.next_absent(), False
        if target is not None:
            self._ping(now, target, self.probes.begin(now, target, in_round))

    def _probe_absent(self, now: int) -> None:
        if now < self.absent_at:
            return
        self.absent_at = now + self.timing.absent_probe_interval
        target = self.rounds.next_absent() if self._should_probe_absent() else None
        if target is not None:
            self._ping(now, target, self.probes.begin(now, target, in_round=False))

    def _probe_suspect(self, now: int) -> None:
        if now < self._suspect_probe_at or not self.outbox.can_afford(MIN_DATAGRAM_BYTES):
            return
        suspect = self.registry.next_suspect_to_probe(now)
        if suspect is not None:
            self._suspect_probe_at = now + self.timing.suspect_probe_gap
            self._ping(now, suspect, self.probes.begin(now, suspect, in_round=False))

    def _should_probe_absent(self) -> bool:
        """Decide at random whether to probe an absent member now.

        All members together probe each absent one about ABSENT_PROBES_PER_INTERVAL times an interval. Guards
        against hundreds of members that all probe the same dead one, also when it returns."""
        present = max(1, self.view.present_count)
        return self.random.random() * present < ABSENT_PROBES_PER_INTERVAL * self.view.absent_count

    def _ping(self, now: int, target: int, sequence: int) -> None:
        """Send a ping. If the target is not known as alive, the first fact is its state, for it to refute."""
        first = self.registry.non_alive_fact(now, target)
        # no queued facts: they would be lost on a target that may be gone
        only_first = self.probes.many_failed or not self.view.is_alive(target)
        self.outbox.send(target, Ping, self.header(target, sequence), first=first, only_first=only_first)

    def probe_on_behalf(self, now: int, header: Header, target: int) -> None:
        """Probe a member from which another one got no direct answer."""
        if target in (self.me, header.sender) or len(self._relayed) >= MAX_RELAYED_PROBES:
            return
        if self.outbox.can_afford(MIN_DATAGRAM_BYTES):
            sequence = self.probes.begin(now, target, in_round=False)
            self._relayed[sequence] = header.sender, header.sequence, now + RELAYED_PROBE_LIFETIME
            self._ping(now, target, sequence)

    def answered(self, now: int, sequence: int, target: int, incarnation: int) -> bool:
        """Handle a direct or indirect answer; return whether it answers a probe of this member's own."""
        if sequence in self._relayed:
            self._relay_answer(now, sequence, target, incarnation)
            return False
        if self.probes.answered(sequence, target) is None:
            return False
        self.reachability.record_answer(now)
        return True

    def discard_outstanding(self) -> None:
        """Forget the outstanding probes: this process did not run and may have missed answers."""
        self.probes.discard_outstanding()

    def late_targets(self) -> list[int]:
        """Members whose direct answer is late."""
        return [probe.target for probe in self.probes.outstanding.values() if probe.indirect_requested]

    def next_due(self, now: int, busy: bool) -> int:
        """When the next tick is due; `busy`: something else needs every regular tick as well."""
        due = min(self.probe_at, self.absent_at) if self.view.absent_count else self.probe_at
        return min(due, now + self.timing.tick) if busy or self.probes.outstanding else due

    def _relay_answer(self, now: int, sequence: int, target: int, incarnation: int) -> None:
        if self.probes.answered(sequence, target) is not None and incarnation:
            requester, requester_sequence, _ = self._relayed.pop(sequence)
            self.reachability.record_answer(now)
            self.outbox.send(
                requester,
                IndirectAck,
                self.header(requester, requester_sequence),
                target,
                incarnation,
                body_bytes=INDIRECT_ACK_BODY_BYTES,
            )
