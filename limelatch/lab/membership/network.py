"""Simulates loss, duplication, delay and partitions of datagrams, from a seeded random source."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from limelatch.interface import MS, SECOND

LATENCY_RANGE = (1 * MS, 5 * MS)
MAX_DELAY = SECOND  # of a delayed datagram, beside the latency

Cut = Callable[[int, int], bool]  # (sender, receiver) -> whether their datagrams are dropped


@dataclass(slots=True)
class Conditions:
    """Shares of all datagrams that are lost, duplicated, or delayed by up to MAX_DELAY and so reordered."""

    lost: float = 0.0
    duplicated: float = 0.0
    delayed: float = 0.0


class Network:
    """Decides whether and when datagrams arrive."""

    def __init__(self, random: Random, conditions: Conditions | None = None) -> None:
        self.random, self.conditions = random, conditions or Conditions()
        self.cuts: list[Cut] = []

    def is_cut(self, sender: int, receiver: int) -> bool:
        """Whether a cut drops all datagrams from sender to receiver."""
        return any(cut(sender, receiver) for cut in self.cuts)

    def arrivals(self, now: int, sender: int, receiver: int) -> list[int]:
        """The times at which the copies of a datagram arrive; none if it is lost."""
        if self.cuts and self.is_cut(sender, receiver):
            return []
        random, conditions = self.random, self.conditions
        copies = 2 if conditions.duplicated and random.random() < conditions.duplicated else 1
        found = []
        for _ in range(copies):
            if conditions.lost and random.random() < conditions.lost:
                continue
            wait = random.randint(*LATENCY_RANGE)
            if conditions.delayed and random.random() < conditions.delayed:
                wait += random.randrange(MAX_DELAY)
            found.append(now + wait)
        return found
