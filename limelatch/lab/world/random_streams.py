"""Chance: one seeded stream for each concern, so that a change in one does not shift the others."""

from __future__ import annotations

import zlib
from collections.abc import Callable

import numpy as np

BATCH = 256


class Draws:
    """Values of one distribution, drawn a batch at a time."""

    __slots__ = ("_draw", "_values", "_at")

    def __init__(self, draw: Callable[[int], np.ndarray]) -> None:
        self._draw, self._values, self._at = draw, [], 0

    def next(self) -> float:
        if self._at >= len(self._values):
            self._values, self._at = self._draw(BATCH).tolist(), 0
        value = self._values[self._at]
        self._at += 1
        return value


class Streams:
    """Generators by the name of their concern."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._draws: dict[str, Draws] = {}

    def generator(self, concern: str) -> np.random.Generator:
        """A new generator at the beginning of the concern's stream."""
        return np.random.default_rng([self.seed, zlib.crc32(concern.encode())])

    def uniform(self, concern: str) -> float:
        """The concern's next value in [0, 1)."""
        draws = self._draws.get(concern)
        if draws is None:
            draws = self._draws[concern] = Draws(self.generator(concern).random)
        return draws.next()

    def below(self, concern: str, bound: int) -> int:
        return int(self.uniform(concern) * bound)
