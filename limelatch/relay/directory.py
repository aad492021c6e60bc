"""The directory: every row of the catalog's list, held compact. It holds data and decides nothing.

A row is a line of text in one buffer, found by its host's name or by its destination. Adding or changing one
takes the same time whatever the list's size (`hash_index`). A whole list arrives row by row; the rows that it
left out are removed in batches afterwards.
"""

from __future__ import annotations

import re
from array import array
from collections.abc import Iterator
from typing import NamedTuple
from zlib import crc32

from limelatch.relay.hash_index import END, Chains

NAME_MOST, WORD_MOST = 255, 64  # characters of a host's name or address, of a zone's or a kind's name
MAX_DESTINATION = 0xFFFFFFFE  # of a destination, as four bytes hold it
PIECE = 512  # rows of a piece of the copy
MAX_REMOVED_ROWS = 1024  # hosts gone whose destinations stay known, since others of them are on their way
SPARE_LEAST = 64 * 1024  # bytes of rows replaced or gone before the buffer is written anew
READY, DRAINING, GONE = "a", "d", "g"  # a row's status, one letter, so that a change of it goes in its place
LINE = re.compile(
    rf"[^\0-\x1f\x7f]{{1,{NAME_MOST}}}\t[^\0-\x1f\x7f]{{1,{NAME_MOST}}}"
    rf"(?:\t[^\0-\x1f\x7f]{{0,{WORD_MOST}}}){{2}}\t([0-9]{{1,10}})\t[adg]\t[-+.0-9e]+\n"
)
LISTED = re.compile(rb"([^\t\n]+)(?:\t[^\t\n]*){3}\t([0-9]{1,10})\t[ad]\t[-+.0-9e]+\n")  # a line of a copy
LOAD_PIECE = 64 * 1024  # bytes of a copy that are looked through at once


class BadRow(ValueError):
    """A row of the list that can't be held; it says why."""


class Row(NamedTuple):
    """One host, in the catalog's own words: an index into the configuration would not outlast it."""

    name: str
    address: str
    zone: str
    kind: str
    destination: int
    status: str
    rate: float

    def packed(self) -> bytes:
        """The row's line; BadRow where a word or a number of it is beyond its bounds."""
        line = (
            f"{self.name}\t{self.address}\t{self.zone}\t{self.kind}\t{self.destination}\t{self.status}\t"
            f"{self.rate!r}\n"
        )
        if not LINE.fullmatch(line) or self.destination > MAX_DESTINATION:
            raise BadRow(f"beyond what a row holds: {line[:80]!r}")
        return line.encode()


def unpacked(line: bytes) -> Row:
    """A row of the buffer, or of a copy; ValueError where it is none."""
    name, address, zone, kind, destination, status, rate = line.decode().split("\t")
    return Row(name, address, zone, kind, int(destination), status, float(rate))


class Directory:
    """All rows; `len` counts those on the list, without the gone."""

    def __init__(self, rows: int = 0) -> None:
        """`rows`: how many are about to come, where that is known."""
        self._text, self._spare = bytearray(), 0  # every row's line; bytes of it that no row has any more
        self._at = array("I")  # by row number: where its line begins; END: the number is free
        self._name_key, self._destination = array("I"), array("I")
        self._seen = bytearray()  # by row number: whether the whole list that came last, or comes, has it
        self._by_name = Chains(self._name_key.__getitem__, rows)
        self._by_destination = Chains(lambda row: self._key(self._destination[row]), rows)
        self._free: list[int] = []
        self._left: dict[int, None] = {}  # rows that are gone, the oldest first
        self._count, self._swept = 0, 0  # _swept: rows before it are all seen
        self.reading = False  # a whole list has begun and not ended

    def __len__(self) -> int:
        return self._count

    @property
    def size(self) -> int:
        """Bytes of the buffer and its look-ups, as a measure of what a row costs."""
        return (
            len(self._text)
            + 3 * 4 * len(self._at)
            + len(self._seen)
            + self._by_name.size
            + self._by_destination.size
        )

    @staticmethod
    def _key(destination: int) -> int:
        return crc32(destination.to_bytes(4, "little"))

    def _line(self, row: int) -> bytes:
        at = self._at[row]
        return bytes(self._text[at : self._text.index(b"\n", at)])

    def _stale(self, row: int) -> bool:
        """Left out by the last whole list, and not swept yet."""
        return not self._seen[row] and not self.reading

    def _number(self, name: bytes, key: int) -> int | None:
        prefix = name + b"\t"
        for row in self._by_name.rows(key):
            if self._name_key[row] == key and self._text.startswith(prefix, self._at[row]):
                return row
        return None

    def _numbers(self, destination: int) -> Iterator[int]:
        if 0 <= destination <= MAX_DESTINATION:
            for row in self._by_destination.rows(self._key(destination)):
                if self._destination[row] == destination:
                    yield row

    def find(self, name: bytes) -> Row | None:
        """A host's row, if it is on the list."""
        row = self._number(name, crc32(name))
        return None if row is None or row in self._left or self._stale(row) else unpacked(self._line(row))

    def rows(self, destination: int) -> list[Row]:
        """The rows of a destination that are on the list, in the order of their names."""
        return sorted(
            unpacked(self._line(row))
            for row in self._numbers(destination)
            if row not in self._left and not self._stale(row)
        )

    def has_destination(self, destination: int) -> bool:
        """Whether the destination has a host, or had one of those gone last."""
        return any(True for _ in self._numbers(destination))

    def put(self, row: Row) -> Row | None:
        """Add or change a host; one that is gone is taken off the list. Returns its row before, if listed.

        BadRow, or another ValueError, where it can't be held; nothing is changed then."""
        line, name = row.packed(), row.name.encode()
        key = crc32(name)
        number, before = self._number(name, key), None
        if number is None:
            number = self._add(key, row.destination, line)
        else:
            held = self._line(number) + b"\n"
            if number not in self._left and not self._stale(number):
                before = row if held == line else unpacked(held[:-1])
            if held != line:
                self._replace(number, held, line)
            if self._destination[number] != row.destination:
                self._by_destination.remove(number, self._key(self._destination[number]))
                self._destination[number] = row.destination
                self._by_destination.add(number, self._key(row.destination))
        self._seen[number] = 1
        self._list(number, before is not None, row.status)
        return before

    def _list(self, number: int, was_listed: bool, status: str) -> None:
        """Count the row among those on the list or those gone, of which only the last are kept."""
        self._left.pop(number, None)
        self._count += (status != GONE) - was_listed
        if status == GONE:
            self._left[number] = None
            if len(self._left) > MAX_REMOVED_ROWS:
                self._drop(next(iter(self._left)))

    def _add(self, key: int, destination: int, line: bytes) -> int:
        if self._free:
            number = self._free.pop()
            self._at[number], self._name_key[number] = len(self._text), key
            self._destination[number] = destination
        else:
            number = len(self._at)
            self._at.append(len(self._text))
            self._name_key.append(key)
            self._destination.append(destination)
            self._seen.append(1)
        self._text += line
        self._by_name.add(number, key)
        self._by_destination.add(number, self._key(destination))
        return number

    def _replace(self, number: int, held: bytes, line: bytes) -> None:
        at = self._at[number]
        if len(line) == len(held):
            self._text[at : at + len(line)] = line
        else:
            self._spare += len(held)
            self._at[number] = len(self._text)
            self._text += line
            self._tidy()

    def _drop(self, number: int) -> None:
        """Free the row and its number."""
        del self._left[number]
        self._by_name.remove(number, self._name_key[number])
        self._by_destination.remove(number, self._key(self._destination[number]))
        self._spare += len(self._line(number)) + 1
        self._at[number], self._seen[number] = END, 1
        self._free.append(number)
        self._tidy()

    def _tidy(self) -> None:
        """Write the buffer anew when most of it is spare: once in as many changes as it has rows, or more."""
        if self._spare < max(SPARE_LEAST, len(self._text) // 2):
            return
        text = bytearray()
        for number, at in enumerate(self._at):
            if at != END:
                line = self._line(number)
                self._at[number] = len(text)
                text += line + b"\n"
        self._text, self._spare = text, 0

    # A whole list, row by row.

    def begin_list(self) -> None:
        """A whole list is about to be put; until it has ended, what was held stays on the list."""
        while self.sweep(1 << 16):
            pass
        self._seen, self.reading = bytearray(len(self._at)), True

    def end_list(self) -> None:
        """The whole list has been put: what it left out is off the list from here on, and is swept later."""
        if self.reading:
            self.reading, self._swept = False, 0
            stale = self._seen.count(0) - sum(not self._seen[number] for number in self._free)
            self._count -= stale - sum(not self._seen[number] for number in self._left)

    def sweep(self, most: int) -> bool:
        """Clear up to `most` rows that the last whole list left out; True while there may be more."""
        for _ in range(most if not self.reading else 0):
            self._swept = self._seen.find(0, self._swept)
            if self._swept < 0:
                self._swept = len(self._seen)
                return False
            number = self._swept
            self._seen[number] = 1
            if self._at[number] == END or number in self._left:
                continue  # a free number, or one that was gone before
            at = self._at[number]
            end = self._text.index(b"\n", at)
            state = self._text.rindex(b"\t", at, self._text.rindex(b"\t", at, end)) + 1
            self._text[state : state + 1] = GONE.encode()
            self._list(number, False, GONE)
        return not self.reading and self._seen.find(0, self._swept) >= 0

    # The folder's copy.

    def lines(self) -> Iterator[bytes]:
        """Every row on the list, as lines in pieces of some hundred; rows may change between two pieces."""
        number = 0
        while number < len(self._at):
            upto = min(number + PIECE, len(self._at))
            yield b"".join(
                self._line(each) + b"\n"
                for each in range(number, upto)
                if self._at[each] != END and each not in self._left and not self._stale(each)
            )
            number = upto

    def load(self, text: bytearray) -> None:
        """Take a copy's lines as they are; the directory is empty before. ValueError where one is no row."""
        at, names, destinations = 0, self._name_key, self._destination
        while at < len(text):
            piece = bytes(text[at : at + LOAD_PIECE])
            whole = 0
            for found in LISTED.finditer(piece):
                if found.start() != whole:
                    break
                self._at.append(at + whole)
                names.append(crc32(found[1]))
                destinations.append(int(found[2]))
                whole = found.end()
            if not whole:
                raise BadRow(f"a row of a copy that can't be: {piece[:40]!r}")
            at += whole
        if destinations and max(destinations) > MAX_DESTINATION:
            raise BadRow(f"a destination beyond {MAX_DESTINATION}")
        self._by_name.fill(names)
        self._by_destination.fill(array("I", map(self._key, destinations)))
        self._text, self._seen = text, bytearray(b"\1") * len(self._at)
        self._count = len(self._at)
