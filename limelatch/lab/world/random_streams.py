"""Seeded random streams, one per concern, so that a change in one does not shift the others."""

from __future__ import annotations

import zlib
from collections.abc import Callable

import numpy as np

BATCH_SIZE = 256  # values per call of the generator


class BatchedDraws:
    """Values of one distribution, generated a batch at a time."""

    __slots__ = ("_draw", "_values", "_at")

    def __init__(self, draw: Callable[[int], np.ndarray]) -> None:
        self._draw, self._values, self._at = draw, [], 0

    def next(self) -> float:
        """Returns the next value."""
        if self._at >= len(self._values):
            self._values, self._at = self._draw(BATCH_SIZE).tolist(), 0
        value = self._values[self._at]
        self._at += 1
        return value


class RandomStreams:
    """Random generators by the name of their concern, all derived from one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._draws: dict[str, BatchedDraws] = {}

    def generator(self, concern: str) -> np.random.Generator:
        """Returns a new generator at the start of the concern's stream."""
        return np.random.default_rng([self.seed, zlib.crc32(concern.encode())])

    def uniform(self, concern: str) -> float:
        """Returns the concern's next value in [0, 1)."""
        draws = self._draws.get(concern)
        if draws is None:
            draws = self._draws[concern] = BatchedDraws(self.generator(concern).random)
        return draws.next()

    def next_below(self, concern: str, bound: int) -> int:
        """Returns the concern's next integer in [0, bound)."""
        return int(self.uniform(concern) * bound)
