"""Tables of numbered slots, for connections and for texts."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

Row = TypeVar("Row")


class Slots(Generic[Row]):
    """A table of at most `size` rows; a row's number is reused once the row is released."""

    def __init__(self, size: int) -> None:
        self.size = size
        self._rows: list[Row | None] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._rows) - len(self._free)

    def __iter__(self) -> Iterator[Row]:
        return iter([row for row in self._rows if row is not None])

    @property
    def is_full(self) -> bool:
        """Whether no further row can be added."""
        return len(self) >= self.size

    def take(self, row: Row) -> int | None:
        """Add a row and return its number; None if the table is full."""
        if self.is_full:
            return None
        if self._free:
            number = self._free.pop()
            self._rows[number] = row
        else:
            number = len(self._rows)
            self._rows.append(row)
        return number

    def release(self, number: int) -> None:
        """Remove the row with this number. Raises KeyError where there is none."""
        if self._rows[number] is None:
            raise KeyError(f"slot {number} is not in use")
        self._rows[number] = None
        self._free.append(number)
