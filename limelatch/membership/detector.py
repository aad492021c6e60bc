"""Probes: whom to probe next, which probes are outstanding, and whether this member is answered at all."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random

from limelatch.membership.messages import Isolation
from limelatch.membership.timing import Timing
from limelatch.membership.view import View

MAX_SEQUENCE = (1 << 32) - 1
MAX_RECENT_SENDERS = 32  # senders that are remembered
PROBE_HISTORY, FAST_PROBE_RATIO = (
    8,
    0.25,
)  # last probes, and the share of failed ones above which more are sent
MIN_ISOLATED_PROBES, MIN_ISOLATED_MEMBERS = 12, 2  # without an answer; others known


@dataclass(slots=True)
class Probe:
    """A ping that waits for its answer."""

    target: int
    sent_at: int
    in_round: bool  # of the round: without an answer the target is suspect
    indirect_requested: bool = False


class Rounds:
    """Shuffled rounds over all members but this one: each present one is probed once a round."""

    def __init__(self, me: int, view: View, random: Random) -> None:
        self.view, self.random = view, random
        self._order = [member for member in range(len(view.digest_words)) if member != me]
        self._position = len(self._order)
        self._absent_position = random.randrange(max(1, len(self._order)))
        self._recent_senders: OrderedDict[int, None] = OrderedDict()  # the last senders, the latest last

    def next_present(self, alive_only: bool = False) -> int | None:
        """The next one that is alive or suspect, or that nobody suspects; None where there is none."""
        wanted = self.view.is_alive if alive_only else self.view.is_present
        for _ in range(2 * len(self._order)):
            if self._position >= len(self._order):
                self.random.shuffle(self._order)
                self._position = 0
            member = self._order[self._position]
            self._position += 1
            if wanted(member):
                return member
        return None

    def next_absent(self) -> int | None:
        """The next one that is dead or unknown."""
        if not self.view.absent_count:
            return None
        for _ in range(len(self._order)):
            self._absent_position = (self._absent_position + 1) % len(self._order)
            member = self._order[self._absent_position]
            if not self.view.is_present(member) and not self.view.has_left(member):
                return member
        return None

    def record_sender(self, member: int) -> None:
        """A datagram has come from it."""
        self._recent_senders[member] = None
        self._recent_senders.move_to_end(member)
        if len(self._recent_senders) > MAX_RECENT_SENDERS:
            self._recent_senders.popitem(last=False)

    def sample_recent_senders(self, count: int) -> list[int]:
        """Up to so many of the last senders, at random: they can be reached, whatever cut there is."""
        members = [member for member in self._recent_senders if self.view.is_alive(member)]
        return self.random.sample(members, min(count, len(members)))

    def sample_alive(self, count: int, *excluded: int) -> list[int]:
        """Up to so many different members that nobody suspects, at random."""
        found: list[int] = []
        for _ in range(4 * count):
            if len(found) == count or not self._order:
                break
            member = self._order[self.random.randrange(len(self._order))]
            if member not in excluded and member not in found and self.view.is_alive(member):
                found.append(member)
        return found


class Probes:
    """The probes that are outstanding, and how the last ones ended."""

    def __init__(self, random: Random) -> None:
        self.outstanding: dict[int, Probe] = {}
        self.recent_failures: deque[bool] = deque(maxlen=PROBE_HISTORY)
        self._sequence = random.randrange(MAX_SEQUENCE)

    def begin(self, now: int, target: int, in_round: bool) -> int:
        """A new probe's sequence number."""
        self._sequence = (self._sequence + 1) & MAX_SEQUENCE
        self.outstanding[self._sequence] = Probe(target, now, in_round)
        return self._sequence

    def answered(self, sequence: int, target: int) -> Probe | None:
        """The probe that this answer ends; None where it answers none that is outstanding."""
        probe = self.outstanding.get(sequence)
        if probe is None or probe.target != target:
            return None
        del self.outstanding[sequence]
        if probe.in_round:
            self.recent_failures.append(False)
        return probe

    def take_expired(self, now: int, timing: Timing) -> list[Probe]:
        """Those without an answer in their time; they are outstanding no longer."""
        sent_by = now - timing.probe_timeout
        expired = [number for number, probe in self.outstanding.items() if probe.sent_at <= sent_by]
        found = [self.outstanding.pop(number) for number in expired]
        self.recent_failures.extend(True for probe in found if probe.in_round)
        return found

    def discard_outstanding(self) -> None:
        """Answers may have been missed by this process: nobody is judged by them."""
        self.outstanding.clear()

    @property
    def many_failed(self) -> bool:
        """Many probes fail: whoever else is gone is to be found soon."""
        return sum(self.recent_failures) > FAST_PROBE_RATIO * PROBE_HISTORY


class Reachability:
    """Whether this member is answered, and whether it hears anything."""

    def __init__(self, now: int) -> None:
        self.answered_at, self.received_at, self.unanswered_probes = now, now, 0
        self.isolation: Isolation | None = None

    def record_answer(self, now: int) -> None:
        self.answered_at, self.unanswered_probes = now, 0

    def find_isolation(self, now: int, known: int, timing: Timing) -> Isolation | None:
        """Why it is isolated, None if it is not."""
        if self.unanswered_probes < MIN_ISOLATED_PROBES or known < MIN_ISOLATED_MEMBERS:
            return None
        if now - self.answered_at < timing.isolation_timeout:
            return None
        return Isolation.DEAF if now - self.received_at >= timing.isolation_timeout else Isolation.UNANSWERED
