"""The queue of facts to gossip: each is sent a bounded number of times, the newest first."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from limelatch.membership.codec import MAX_FACTS, MAX_TWO_BYTE_DISTANCES, fact_bytes
from limelatch.membership.messages import Fact


class FactQueue:
    """Members whose state has changed, and how often each is still to be sent.

    The fact itself is read when it is sent, so that it is always the current one."""

    def __init__(self, max_transmissions: int) -> None:
        self.max_transmissions = max_transmissions
        self._transmissions_left: OrderedDict[int, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._transmissions_left)

    def add(self, member: int) -> None:
        """Queue a changed member in front of all others, so that a refutation overtakes older suspicions."""
        self._transmissions_left[member] = self.max_transmissions
        self._transmissions_left.move_to_end(member, last=False)

    def take(
        self, free_bytes: int, fact_of: Callable[[int], Fact], first: Fact | None = None
    ) -> tuple[Fact, ...]:
        """Take facts of at most `free_bytes`, `first` before the queued ones; each counts as sent once."""
        taken, free_bytes = [], free_bytes - MAX_TWO_BYTE_DISTANCES
        if first is not None and fact_bytes(first) <= free_bytes:
            free_bytes -= fact_bytes(first)
            taken.append(first)
        for _ in range(min(len(self._transmissions_left), MAX_FACTS - len(taken))):
            member = next(iter(self._transmissions_left))
            fact = fact_of(member)
            if fact_bytes(fact) > free_bytes:
                break
            self._count_transmission(member)
            if first is None or member != first.member:
                free_bytes -= fact_bytes(fact)
                taken.append(fact)
        return tuple(taken)

    def _count_transmission(self, member: int) -> None:
        """Count a transmission: move the member behind the others, or remove it after the last one."""
        self._transmissions_left[member] -= 1
        if self._transmissions_left[member]:
            self._transmissions_left.move_to_end(member)
        else:
            del self._transmissions_left[member]
