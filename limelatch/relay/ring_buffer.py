"""A bounded ring buffer of bytes: one for each direction of a connection."""

from __future__ import annotations

FIRST_SIZE = 1024  # bytes allocated with the first write


class RingBufferFull(Exception):
    """More bytes were written than the buffer's bound leaves room for."""


class RingBuffer:
    """A byte queue. Its storage doubles up to `bound` as needed, and shrinks once all bytes are read."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.allocated = 0  # bytes of its storage
        self._cells = bytearray()
        self._head = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def free(self) -> int:
        """Bytes that can still be written."""
        return self.bound - self._length

    def write(self, data: bytes) -> None:
        """Append all of `data`, or raise RingBufferFull and append nothing."""
        if not data:
            return
        if len(data) > self.free:
            raise RingBufferFull(f"{len(data)} bytes for a ring buffer with {self.free} free")
        if self._length + len(data) > len(self._cells):
            self._grow(self._length + len(data))
        at = (self._head + self._length) % len(self._cells)
        first = min(len(data), len(self._cells) - at)
        self._cells[at : at + first] = data[:first]
        self._cells[: len(data) - first] = data[first:]
        self._length += len(data)

    def _grow(self, minimum: int) -> None:
        size = len(self._cells) or FIRST_SIZE
        while size < minimum:
            size *= 2
        content = self.peek(self._length) if self._length else b""
        self._cells = bytearray(min(size, self.bound))
        self.allocated = len(self._cells)
        self._cells[: len(content)] = content
        self._head = 0

    def peek(self, count: int) -> bytes:
        """The next `count` bytes, or all if there are fewer; they stay in the buffer."""
        count = min(count, self._length)
        if not count:
            return b""
        end = self._head + count
        if end <= len(self._cells):
            return bytes(memoryview(self._cells)[self._head : end])
        with memoryview(self._cells) as cells:
            return b"".join((cells[self._head :], cells[: end - len(cells)]))

    def read(self, count: int) -> bytes:
        """Remove and return the next `count` bytes, or all if there are fewer."""
        data = self.peek(count)
        self._length -= len(data)
        self._head = (self._head + len(data)) % len(self._cells) if self._length else 0
        if not self._length:
            self._cells, self.allocated = bytearray(), 0  # a connection at rest keeps no storage
        return data

    def clear(self) -> None:
        """Remove all bytes, and release the storage."""
        self._cells, self.allocated, self._head, self._length = bytearray(), 0, 0, 0

    def find(self, pattern: bytes) -> int:
        """Offset of `pattern` from the next byte to read; -1 if it is not in the buffer."""
        end = self._head + self._length
        if end <= len(self._cells):
            at = self._cells.find(pattern, self._head, end)
            return at - self._head if at >= 0 else -1
        return self.peek(self._length).find(pattern)
