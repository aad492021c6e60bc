"""The facts that a member still passes on, each a bounded number of times, the newest first."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from limelatch.membership.codec import FACTS_MOST, WIDE_DISTANCES, fact_bytes
from limelatch.membership.messages import Fact


class FactQueue:
    """Members with news and how often each is still to be told; the news itself is read as it is sent."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._left: OrderedDict[int, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._left)

    def add(self, member: int) -> None:
        """There is news of the member: it goes before all else, a refutation before older suspicions too."""
        self._left[member] = self.limit
        self._left.move_to_end(member, last=False)

    def take(self, room: int, fact_of: Callable[[int], Fact], first: Fact | None = None) -> tuple[Fact, ...]:
        """Facts of `room` bytes at most, `first` before the queue's; each counts as sent once."""
        taken, room = [], room - WIDE_DISTANCES
        if first is not None and fact_bytes(first) <= room:
            room -= fact_bytes(first)
            taken.append(first)
        for _ in range(min(len(self._left), FACTS_MOST - len(taken))):
            member = next(iter(self._left))
            fact = fact_of(member)
            if fact_bytes(fact) > room:
                break
            self._count(member)
            if first is None or member != first.member:
                room -= fact_bytes(fact)
                taken.append(fact)
        return tuple(taken)

    def _count(self, member: int) -> None:
        """It has been sent once more: behind the others, or out."""
        self._left[member] -= 1
        if self._left[member]:
            self._left.move_to_end(member)
        else:
            del self._left[member]
