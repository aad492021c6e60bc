"""Tables of numbered slots, for connections and for texts."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

Row = TypeVar("Row")


class Slots(Generic[Row]):
    """At most `size` rows; a row keeps its number until it is released, and numbers are used again."""

    def __init__(self, size: int) -> None:
        self.size = size
        self._rows: list[Row | None] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._rows) - len(self._free)

    def __iter__(self) -> Iterator[Row]:
        return iter([row for row in self._rows if row is not None])

    @property
    def full(self) -> bool:
        return len(self) >= self.size

    def take(self, row: Row) -> int | None:
        """Give the row a number; None if all are taken."""
        if self.full:
            return None
        if self._free:
            number = self._free.pop()
            self._rows[number] = row
        else:
            number = len(self._rows)
            self._rows.append(row)
        return number

    def release(self, number: int) -> None:
        """The number is free again."""
        if self._rows[number] is None:
            raise KeyError(f"slot {number} is free already")
        self._rows[number] = None
        self._free.append(number)
