"""A hash table from 32-bit hashes to row numbers, in packed arrays that grow by one bucket at a time."""

from __future__ import annotations

from array import array
from collections.abc import Callable, Iterator, Sequence

END = 0xFFFFFFFF  # no row


class HashIndex:
    """Linear hashing (Litwin, 1980): each bucket is a chain of row numbers, and each added row splits one
    bucket at most, so that no single addition takes time in proportion to the table. 8 to 12 bytes a row.

    `hash_of` returns a row's hash when its bucket is split. The table compares no keys: callers have to tell
    apart the rows of one bucket."""

    def __init__(self, hash_of: Callable[[int], int], rows: int = 0) -> None:
        """`rows`: the number of rows to be added, if known."""
        self._hash_of = hash_of
        self._low = 8  # number of buckets at the last doubling
        while self._low * 2 <= rows:
            self._low *= 2
        self._heads = array("I", [END]) * self._low
        self._next, self._count = array("I"), 0

    @property
    def size(self) -> int:
        """Bytes of the table."""
        return 4 * (len(self._heads) + len(self._next))

    def _bucket(self, key: int) -> int:
        bucket = key & (2 * self._low - 1)
        return bucket if bucket < len(self._heads) else bucket - self._low

    def add(self, row: int, key: int) -> None:
        """Add a row under its hash. Row numbers should be dense: the table keeps four bytes for each number
        up to the highest."""
        if row >= len(self._next):
            self._next.extend([END] * (row + 1 - len(self._next)))
        bucket = self._bucket(key)
        self._next[row], self._heads[bucket] = self._heads[bucket], row
        self._count += 1
        if self._count > len(self._heads):
            self._split()

    def _split(self) -> None:
        """Distribute the rows of the next bucket in turn over it and a new bucket at the end."""
        heads, following, mask = self._heads, self._next, 2 * self._low - 1
        new = len(heads)
        row, heads[new - self._low] = heads[new - self._low], END
        heads.append(END)
        while row != END:
            rest, bucket = following[row], self._hash_of(row) & mask
            following[row], heads[bucket], row = heads[bucket], row, rest
        if len(heads) == 2 * self._low:
            self._low *= 2

    def fill(self, keys: Sequence[int]) -> None:
        """Add rows 0, 1, ... with these hashes at once. The table has to be empty, and made for about as many
        rows."""
        self._next, self._count = array("I", [END]) * len(keys), len(keys)
        following, heads, mask = self._next, self._heads, self._low - 1
        for row, key in enumerate(keys):
            following[row], heads[key & mask] = heads[key & mask], row

    def remove(self, row: int, key: int) -> None:
        """Remove a row from its hash's bucket. Raises KeyError if it is not there."""
        bucket = self._bucket(key)
        previous, at = END, self._heads[bucket]
        while at != row:
            if at == END:
                raise KeyError(row)
            previous, at = at, self._next[at]
        if previous == END:
            self._heads[bucket] = self._next[row]
        else:
            self._next[previous] = self._next[row]
        self._count -= 1

    def rows(self, key: int) -> Iterator[int]:
        """All rows in the hash's bucket, the last added first; rows with other hashes may be among them."""
        row = self._heads[self._bucket(key)]
        while row != END:
            yield row
            row = self._next[row]
