"""Probes: selects targets, tracks outstanding probes, and detects whether this member is isolated."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random

from limelatch.membership.messages import Isolation
from limelatch.membership.timing import Timing
from limelatch.membership.view import View

MAX_SEQUENCE = (1 << 32) - 1  # a sequence number takes four bytes in the header
MAX_RECENT_SENDERS = 32  # senders that are remembered as reachable
PROBE_HISTORY = 8  # latest probes of which the results are kept
FAST_PROBE_RATIO = 0.25  # failed share of PROBE_HISTORY above which probes are sent faster
MIN_ISOLATED_PROBES = 12  # consecutive probes without an answer before this member counts as isolated
MIN_ISOLATED_MEMBERS = 2  # other known members needed to count as isolated


@dataclass(slots=True)
class Probe:
    """A ping that has not been answered yet."""

    target: int
    sent_at: int
    in_round: bool  # a probe of the regular round: without an answer the target becomes suspect
    indirect_requested: bool = False


class Rounds:
    """Selects members for probes and gossip.

    Probe rounds go over all other members in shuffled order: each present one is probed once a round."""

    def __init__(self, me: int, view: View, random: Random) -> None:
        self.view, self.random = view, random
        self._order = [member for member in range(len(view.digest_words)) if member != me]
        self._position = len(self._order)
        self._absent_position = random.randrange(max(1, len(self._order)))
        self._recent_senders: OrderedDict[int, None] = OrderedDict()  # ordered by their latest datagram

    def next_present(self, alive_only: bool = False) -> int | None:
        """The next member of the round that is alive (or suspect, unless `alive_only`); else None."""
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
        """The next member that is dead or unknown; None if there is none."""
        if not self.view.absent_count:
            return None
        for _ in range(len(self._order)):
            self._absent_position = (self._absent_position + 1) % len(self._order)
            member = self._order[self._absent_position]
            if not self.view.is_present(member) and not self.view.has_left(member):
                return member
        return None

    def record_sender(self, member: int) -> None:
        """Remember that a datagram has come from this member."""
        self._recent_senders[member] = None
        self._recent_senders.move_to_end(member)
        if len(self._recent_senders) > MAX_RECENT_SENDERS:
            self._recent_senders.popitem(last=False)

    def sample_recent_senders(self, count: int) -> list[int]:
        """Up to `count` random alive members among the recent senders: in a network partition they are
        likely on this side."""
        members = [member for member in self._recent_senders if self.view.is_alive(member)]
        return self.random.sample(members, min(count, len(members)))

    def sample_alive(self, count: int, *excluded: int) -> list[int]:
        """Up to `count` different random alive members, neither suspect nor excluded."""
        found: list[int] = []
        for _ in range(4 * count):
            if len(found) == count or not self._order:
                break
            member = self._order[self.random.randrange(len(self._order))]
            if member not in excluded and member not in found and self.view.is_alive(member):
                found.append(member)
        return found


class Probes:
    """The outstanding probes, and the results of the latest ones."""

    def __init__(self, random: Random) -> None:
        self.outstanding: dict[int, Probe] = {}
        self.recent_failures: deque[bool] = deque(maxlen=PROBE_HISTORY)
        self._sequence = random.randrange(MAX_SEQUENCE)

    def begin(self, now: int, target: int, in_round: bool) -> int:
        """Register a new probe and return its sequence number."""
        self._sequence = (self._sequence + 1) & MAX_SEQUENCE
        self.outstanding[self._sequence] = Probe(target, now, in_round)
        return self._sequence

    def answered(self, sequence: int, target: int) -> Probe | None:
        """Remove and return the probe that this answer ends; None if it matches no outstanding probe."""
        probe = self.outstanding.get(sequence)
        if probe is None or probe.target != target:
            return None
        del self.outstanding[sequence]
        if probe.in_round:
            self.recent_failures.append(False)
        return probe

    def take_expired(self, now: int, timing: Timing) -> list[Probe]:
        """Remove and return the probes without an answer within the probe timeout."""
        sent_by = now - timing.probe_timeout
        expired = [number for number, probe in self.outstanding.items() if probe.sent_at <= sent_by]
        found = [self.outstanding.pop(number) for number in expired]
        self.recent_failures.extend(True for probe in found if probe.in_round)
        return found

    def discard_outstanding(self) -> None:
        """Forget all outstanding probes, as this process may have missed their answers."""
        self.outstanding.clear()

    @property
    def many_failed(self) -> bool:
        """Whether many of the latest probes failed: then probe faster, to find other failed members soon."""
        return sum(self.recent_failures) > FAST_PROBE_RATIO * PROBE_HISTORY


class Reachability:
    """Tracks whether this member gets answers and whether it receives anything at all."""

    def __init__(self, now: int) -> None:
        self.answered_at, self.received_at, self.unanswered_probes = now, now, 0
        self.isolation: Isolation | None = None

    def record_answer(self, now: int) -> None:
        """A probe of this member was answered."""
        self.answered_at, self.unanswered_probes = now, 0

    def find_isolation(self, now: int, known: int, timing: Timing) -> Isolation | None:
        """Why this member counts as isolated, or None. `known`: how many other members are known."""
        if self.unanswered_probes < MIN_ISOLATED_PROBES or known < MIN_ISOLATED_MEMBERS:
            return None
        if now - self.answered_at < timing.isolation_timeout:
            return None
        return Isolation.DEAF if now - self.received_at >= timing.isolation_timeout else Isolation.UNANSWERED
