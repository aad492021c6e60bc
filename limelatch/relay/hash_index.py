"""Look-ups from a 32-bit hash to row numbers, in packed arrays that grow one bucket at a time."""

from __future__ import annotations

from array import array
from collections.abc import Callable, Iterator, Sequence

END = 0xFFFFFFFF  # no row


class Chains:
    """Linear hashing (Litwin, 1980): each bucket is a chain of row numbers, and each row added splits one
    bucket at most, so that no single addition pays for the size of the table. 8 to 12 bytes a row.

    `hash_of` tells a row's hash again when its bucket is split. The table compares no keys: who looks up a
    hash tells the rows apart."""

    def __init__(self, hash_of: Callable[[int], int], rows: int = 0) -> None:
        """`rows`: how many are about to come, where that is known."""
        self._hash_of, self._low = hash_of, 8  # _low: buckets at the last doubling
        while self._low * 2 <= rows:
            self._low *= 2
        self._heads = array("I", [END]) * self._low
        self._after, self._count = array("I"), 0

    @property
    def size(self) -> int:
        """Bytes of the table."""
        return 4 * (len(self._heads) + len(self._after))

    def _bucket(self, key: int) -> int:
        bucket = key & (2 * self._low - 1)
        return bucket if bucket < len(self._heads) else bucket - self._low

    def add(self, row: int, key: int) -> None:
        """Row numbers are to be near each other: the table keeps four bytes for each up to the highest."""
        if row >= len(self._after):
            self._after.extend([END] * (row + 1 - len(self._after)))
        bucket = self._bucket(key)
        self._after[row], self._heads[bucket] = self._heads[bucket], row
        self._count += 1
        if self._count > len(self._heads):
            self._split()

    def _split(self) -> None:
        """The next bucket in turn shares its rows with a new one at the end."""
        heads, after, mask = self._heads, self._after, 2 * self._low - 1
        new = len(heads)
        row, heads[new - self._low] = heads[new - self._low], END
        heads.append(END)
        while row != END:
            rest, bucket = after[row], self._hash_of(row) & mask
            after[row], heads[bucket], row = heads[bucket], row, rest
        if len(heads) == 2 * self._low:
            self._low *= 2

    def fill(self, keys: Sequence[int]) -> None:
        """Add the rows from 0 on at once, about as many as were told; the table is empty before."""
        self._after, self._count = array("I", [END]) * len(keys), len(keys)
        after, heads, mask = self._after, self._heads, self._low - 1
        for row, key in enumerate(keys):
            after[row], heads[key & mask] = heads[key & mask], row

    def remove(self, row: int, key: int) -> None:
        """KeyError where the row is not there."""
        bucket = self._bucket(key)
        before, at = END, self._heads[bucket]
        while at != row:
            if at == END:
                raise KeyError(row)
            before, at = at, self._after[at]
        if before == END:
            self._heads[bucket] = self._after[row]
        else:
            self._after[before] = self._after[row]
        self._count -= 1

    def rows(self, key: int) -> Iterator[int]:
        """All rows in the hash's bucket, the last added first; those of other hashes are among them."""
        row = self._heads[self._bucket(key)]
        while row != END:
            yield row
            row = self._after[row]
