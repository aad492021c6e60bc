"""A bounded queue of bytes in a circle: one for each direction of a connection."""

from __future__ import annotations

FIRST_SIZE = 1024


class RingFull(Exception):
    """More bytes were written than the ring's bound leaves room for."""


class Ring:
    """Bytes go in at one end and out at the other; the cells double up to the bound, until all is read."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self._cells = bytearray(min(bound, FIRST_SIZE))
        self._head = 0
        self._held = 0

    def __len__(self) -> int:
        return self._held

    @property
    def free(self) -> int:
        return self.bound - self._held

    def write(self, data: bytes) -> None:
        """Append all of `data`, or raise RingFull and append nothing."""
        if len(data) > self.free:
            raise RingFull(f"{len(data)} bytes for a ring with {self.free} free")
        if self._held + len(data) > len(self._cells):
            self._grow(self._held + len(data))
        at = (self._head + self._held) % len(self._cells)
        first = min(len(data), len(self._cells) - at)
        self._cells[at : at + first] = data[:first]
        self._cells[: len(data) - first] = data[first:]
        self._held += len(data)

    def _grow(self, least: int) -> None:
        size = len(self._cells)
        while size < least:
            size *= 2
        held = self.peek(self._held)
        self._cells = bytearray(min(size, self.bound))
        self._cells[: len(held)] = held
        self._head = 0

    def peek(self, count: int) -> bytes:
        """The next `count` bytes, or fewer if fewer are held."""
        count = min(count, self._held)
        end = self._head + count
        if end <= len(self._cells):
            return bytes(self._cells[self._head : end])
        return bytes(self._cells[self._head :]) + bytes(self._cells[: end - len(self._cells)])

    def read(self, count: int) -> bytes:
        """Take the next `count` bytes, or fewer if fewer are held."""
        data = self.peek(count)
        self._held -= len(data)
        self._head = (self._head + len(data)) % len(self._cells) if self._held else 0
        if not self._held and len(self._cells) > FIRST_SIZE:
            self._cells = bytearray(min(self.bound, FIRST_SIZE))  # one large block costs no room for good
        return data

    def find(self, mark: bytes) -> int:
        """Where `mark` begins, counted from the next byte; -1 if it is not held."""
        end = self._head + self._held
        if end <= len(self._cells):
            at = self._cells.find(mark, self._head, end)
            return at - self._head if at >= 0 else -1
        return self.peek(self._held).find(mark)
