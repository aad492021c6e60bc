"""The directory: compact storage for the rows of the catalog's list, without any policy.

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

from limelatch.relay.hash_index import END, HashIndex

MAX_NAME_LENGTH = 255  # characters of a host's name or address
MAX_WORD_LENGTH = 64  # characters of a zone's or a kind's name
MAX_DESTINATION = 0xFFFFFFFE  # destinations are stored in four bytes
COPY_BATCH_ROWS = 512  # rows in one piece of the copy
MAX_REMOVED_ROWS = (
    1024  # removed hosts whose destinations stay known, because their next hosts may be about to be listed
)
MIN_UNUSED_BYTES = 64 * 1024  # bytes of replaced or removed rows before the buffer is compacted
READY = "a"  # a row's status is one letter, so that a change of it is made in place
DRAINING = "d"
GONE = "g"
LINE_PATTERN = re.compile(
    rf"[^\0-\x1f\x7f]{{1,{MAX_NAME_LENGTH}}}\t[^\0-\x1f\x7f]{{1,{MAX_NAME_LENGTH}}}"
    rf"(?:\t[^\0-\x1f\x7f]{{0,{MAX_WORD_LENGTH}}}){{2}}\t([0-9]{{1,10}})\t[adg]\t[-+.0-9e]+\n"
)
LISTED_LINE_PATTERN = re.compile(
    rb"([^\t\n]+)(?:\t[^\t\n]*){3}\t([0-9]{1,10})\t[ad]\t[-+.0-9e]+\n"
)  # a line of a copy
LOAD_CHUNK_SIZE = 64 * 1024  # bytes of a copy that are parsed at once


class BadRow(ValueError):
    """A row of the list that can't be stored; the message gives the reason."""


class Row(NamedTuple):
    """One host, with names as in the catalog: indexes into the configuration are invalid after a reload."""

    name: str
    address: str
    zone: str
    kind: str
    destination: int
    status: str
    rate: float

    def pack(self) -> bytes:
        """The row as a line. Raises BadRow if a value exceeds its limits."""
        line = (
            f"{self.name}\t{self.address}\t{self.zone}\t{self.kind}\t{self.destination}\t{self.status}\t"
            f"{self.rate!r}\n"
        )
        if not LINE_PATTERN.fullmatch(line) or self.destination > MAX_DESTINATION:
            raise BadRow(f"a value exceeds the limits of a row: {line[:80]!r}")
        return line.encode()


def unpack(line: bytes) -> Row:
    """Parse a line of the buffer or of a copy. Raises ValueError if it is not a row."""
    name, address, zone, kind, destination, status, rate = line.decode().split("\t")
    return Row(name, address, zone, kind, int(destination), status, float(rate))


class Directory:
    """All rows; `len` counts those on the list, without removed hosts."""

    def __init__(self, rows: int = 0) -> None:
        """`rows`: the number of rows to be added, if known."""
        self._buffer = bytearray()  # every row's line
        self._unused_bytes = 0  # the bytes in it that belong to no row any more
        self._line_starts = array("I")  # by row number: offset of its line; END: the number is free
        self._name_hashes, self._destinations = array("I"), array("I")
        self._seen = bytearray()  # by row number: whether the last whole list, or the one being read, has it
        self._name_index = HashIndex(self._name_hashes.__getitem__, rows)
        self._destination_index = HashIndex(lambda row: self._destination_hash(self._destinations[row]), rows)
        self._free_numbers: list[int] = []
        self._removed: dict[int, None] = {}  # rows of removed hosts, the oldest first
        self._count = 0
        self._sweep_position = 0  # all rows before it are seen
        self.is_loading = False  # a whole list is being read

    def __len__(self) -> int:
        return self._count

    @property
    def size(self) -> int:
        """Bytes of the buffer and its indexes."""
        return (
            len(self._buffer)
            + 3 * 4 * len(self._line_starts)
            + len(self._seen)
            + self._name_index.size
            + self._destination_index.size
        )

    @staticmethod
    def _destination_hash(destination: int) -> int:
        return crc32(destination.to_bytes(4, "little"))

    def _read_line(self, row: int) -> bytes:
        at = self._line_starts[row]
        return bytes(self._buffer[at : self._buffer.index(b"\n", at)])

    def _is_stale(self, row: int) -> bool:
        """Whether the last whole list lacked the row and it is not swept yet."""
        return not self._seen[row] and not self.is_loading

    def _find_number(self, name: bytes, key: int) -> int | None:
        prefix = name + b"\t"
        for row in self._name_index.rows(key):
            if self._name_hashes[row] == key and self._buffer.startswith(prefix, self._line_starts[row]):
                return row
        return None

    def _find_numbers(self, destination: int) -> Iterator[int]:
        if 0 <= destination <= MAX_DESTINATION:
            for row in self._destination_index.rows(self._destination_hash(destination)):
                if self._destinations[row] == destination:
                    yield row

    def find(self, name: bytes) -> Row | None:
        """The host's row; None if it is not on the list."""
        row = self._find_number(name, crc32(name))
        return (
            None
            if row is None or row in self._removed or self._is_stale(row)
            else unpack(self._read_line(row))
        )

    def rows(self, destination: int) -> list[Row]:
        """The rows of a destination that are on the list, sorted by name."""
        return sorted(
            unpack(self._read_line(row))
            for row in self._find_numbers(destination)
            if row not in self._removed and not self._is_stale(row)
        )

    def has_destination(self, destination: int) -> bool:
        """Whether the destination has a host, or had one among the hosts removed last."""
        return any(True for _ in self._find_numbers(destination))

    def put(self, row: Row) -> Row | None:
        """Add or change a host; status GONE takes it off the list. Returns the previous row if listed.

        Raises BadRow or another ValueError if the row can't be stored; nothing is changed then."""
        line, name = row.pack(), row.name.encode()
        key = crc32(name)
        number, before = self._find_number(name, key), None
        if number is None:
            number = self._add(key, row.destination, line)
        else:
            old_line = self._read_line(number) + b"\n"
            if number not in self._removed and not self._is_stale(number):
                before = row if old_line == line else unpack(old_line[:-1])
            if old_line != line:
                self._replace(number, old_line, line)
            if self._destinations[number] != row.destination:
                self._destination_index.remove(number, self._destination_hash(self._destinations[number]))
                self._destinations[number] = row.destination
                self._destination_index.add(number, self._destination_hash(row.destination))
        self._seen[number] = 1
        self._set_listed(number, before is not None, row.status)
        return before

    def _set_listed(self, number: int, was_listed: bool, status: str) -> None:
        """Count the row as listed or removed; only the hosts removed last are kept."""
        self._removed.pop(number, None)
        self._count += (status != GONE) - was_listed
        if status == GONE:
            self._removed[number] = None
            if len(self._removed) > MAX_REMOVED_ROWS:
                self._free_row(next(iter(self._removed)))

    def _add(self, key: int, destination: int, line: bytes) -> int:
        if self._free_numbers:
            number = self._free_numbers.pop()
            self._line_starts[number], self._name_hashes[number] = len(self._buffer), key
            self._destinations[number] = destination
        else:
            number = len(self._line_starts)
            self._line_starts.append(len(self._buffer))
            self._name_hashes.append(key)
            self._destinations.append(destination)
            self._seen.append(1)
        self._buffer += line
        self._name_index.add(number, key)
        self._destination_index.add(number, self._destination_hash(destination))
        return number

    def _replace(self, number: int, old_line: bytes, line: bytes) -> None:
        at = self._line_starts[number]
        if len(line) == len(old_line):
            self._buffer[at : at + len(line)] = line
        else:
            self._unused_bytes += len(old_line)
            self._line_starts[number] = len(self._buffer)
            self._buffer += line
            self._compact()

    def _free_row(self, number: int) -> None:
        """Release the row of a removed host, and its number."""
        del self._removed[number]
        self._name_index.remove(number, self._name_hashes[number])
        self._destination_index.remove(number, self._destination_hash(self._destinations[number]))
        self._unused_bytes += len(self._read_line(number)) + 1
        self._line_starts[number], self._seen[number] = END, 1
        self._free_numbers.append(number)
        self._compact()

    def _compact(self) -> None:
        """Rewrite the buffer when half of it is unused: at most once in as many changes as there are rows."""
        if self._unused_bytes < max(MIN_UNUSED_BYTES, len(self._buffer) // 2):
            return
        text = bytearray()
        for number, at in enumerate(self._line_starts):
            if at != END:
                line = self._read_line(number)
                self._line_starts[number] = len(text)
                text += line + b"\n"
        self._buffer, self._unused_bytes = text, 0

    # Whole lists, row by row.

    def begin_list(self) -> None:
        """Start a whole list; until it has ended, the rows of the previous list stay listed."""
        while self.sweep(1 << 16):
            pass
        self._seen, self.is_loading = bytearray(len(self._line_starts)), True

    def end_list(self) -> None:
        """The whole list is complete: rows that it lacks are not listed any more, and are swept later."""
        if self.is_loading:
            self.is_loading, self._sweep_position = False, 0
            stale = self._seen.count(0) - sum(not self._seen[number] for number in self._free_numbers)
            self._count -= stale - sum(not self._seen[number] for number in self._removed)

    def sweep(self, max_rows: int) -> bool:
        """Remove up to `max_rows` rows that the last whole list lacked; True while there may be more."""
        for _ in range(max_rows if not self.is_loading else 0):
            self._sweep_position = self._seen.find(0, self._sweep_position)
            if self._sweep_position < 0:
                self._sweep_position = len(self._seen)
                return False
            number = self._sweep_position
            self._seen[number] = 1
            if self._line_starts[number] == END or number in self._removed:
                continue  # a free number, or a host that was removed before
            at = self._line_starts[number]
            end = self._buffer.index(b"\n", at)
            state = self._buffer.rindex(b"\t", at, self._buffer.rindex(b"\t", at, end)) + 1
            self._buffer[state : state + 1] = GONE.encode()
            self._set_listed(number, False, GONE)
        return not self.is_loading and self._seen.find(0, self._sweep_position) >= 0

    # The copy in the state directory.

    def lines(self) -> Iterator[bytes]:
        """All listed rows, as lines in pieces of COPY_BATCH_ROWS; rows may change between two pieces."""
        number = 0
        while number < len(self._line_starts):
            stop = min(number + COPY_BATCH_ROWS, len(self._line_starts))
            yield b"".join(
                self._read_line(each) + b"\n"
                for each in range(number, stop)
                if self._line_starts[each] != END and each not in self._removed and not self._is_stale(each)
            )
            number = stop

    def load(self, text: bytearray) -> None:
        """Load the lines of a copy into an empty directory. Raises ValueError if one is not a row."""
        at, names, destinations = 0, self._name_hashes, self._destinations
        while at < len(text):
            chunk = bytes(text[at : at + LOAD_CHUNK_SIZE])
            whole = 0
            for match in LISTED_LINE_PATTERN.finditer(chunk):
                if match.start() != whole:
                    break
                self._line_starts.append(at + whole)
                names.append(crc32(match[1]))
                destinations.append(int(match[2]))
                whole = match.end()
            if not whole:
                raise BadRow(f"not a row of a copy: {chunk[:40]!r}")
            at += whole
        if destinations and max(destinations) > MAX_DESTINATION:
            raise BadRow(f"a destination beyond {MAX_DESTINATION}")
        self._name_index.fill(names)
        self._destination_index.fill(array("I", map(self._destination_hash, destinations)))
        self._buffer, self._seen = text, bytearray(b"\1") * len(self._line_starts)
        self._count = len(self._line_starts)
