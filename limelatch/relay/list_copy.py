"""The folder's copy of the list: a restart begins from it and asks the catalog for what has changed since.

One file, replaced whole: a head (form, catalog, index), the rows as the directory holds them, and an end with
their checksum, without which nothing of it is believed. It is written a slice a turn; rows that change
meanwhile are in it old or new, and are told again after a restart, since its index is the one at which the
writing began."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from contextlib import suppress
from zlib import crc32

from limelatch.interface import SECOND
from limelatch.logs import logger, log_event
from limelatch.relay.directory import Directory

log = logger("catalog")

COPY_FILE, NEW_COPY_FILE = "list", "list.new"
COPY_FORM = 1
COPY_INTERVAL = 60 * SECOND  # between two copies at the least: the catalog tells a restart the rest
HEAD_MOST = 4096  # bytes of the head, or of the end


class BadCopy(ValueError):
    """The copy can't be used; it says why."""


def read_copy(path: str) -> tuple[str, int, Directory]:
    """The catalog's address, the index, the rows; BadCopy where it is torn or foreign, FileNotFoundError."""
    with open(path, "rb") as file:
        text = bytearray(os.fstat(file.fileno()).st_size)
        del text[file.readinto(text) :]
    try:
        head_end = text.index(b"\n", 0, HEAD_MOST) + 1
        end_at = text.rindex(b"\n", 0, len(text) - 1) + 1
        head, end = json.loads(text[:head_end]), json.loads(text[end_at:])
        if head["form"] != COPY_FORM:
            raise BadCopy(f"its form is {str(head['form'])[:20]}, this version reads {COPY_FORM}")
        catalog, index, rows = str(head["catalog"]), int(head["index"]), int(end["rows"])
        del text[end_at:], text[:head_end]
        if end["crc"] != crc32(text):
            raise BadCopy("its checksum is another")
        directory = Directory(rows)
        directory.load(text)
        if len(directory) != rows:
            raise BadCopy(f"it has {len(directory)} rows of {rows}")
    except BadCopy:
        raise
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise BadCopy(f"{type(error).__name__}: {error}") from None
    return catalog, index, directory


class ListCopy:
    """Writes the copy now and then, as far as the ledger leaves it room; what fails is tried later."""

    def __init__(self, folder: str, deadlines, ledger) -> None:
        self.path, self._new = os.path.join(folder, COPY_FILE), os.path.join(folder, NEW_COPY_FILE)
        self._deadlines, self._ledger = deadlines, ledger
        self._due, self._file, self._slices, self._again = None, None, None, None
        self._begun_at = -COPY_INTERVAL
        self._crc = self._rows = 0

    def read(self) -> tuple[str, int, Directory] | None:
        """What the last process left, or None; one that can't be used is logged."""
        try:
            found = read_copy(self.path)
            needed = 2 * os.path.getsize(self.path)
            if self._ledger.is_standby:  # the other process's copy, and the new one that it writes beside it
                self._ledger.reserve_disk(needed, at_once=True)
            elif not self._ledger.reserve_disk(needed):
                os.remove(self.path)  # guards against a disk over its limit once the ledger is full
        except FileNotFoundError:
            return None
        except (OSError, BadCopy) as error:
            log_event(log, "copy-not-read", why=error)
            return None
        return found

    def schedule(self, source) -> None:
        """The list has changed: a copy follows, the first at once. `source` tells address, index and rows."""
        if self._slices is not None:
            self._again = source
        elif self._due is None:
            wait = max(0, self._begun_at + COPY_INTERVAL - self._deadlines.clock.now())
            self._due = self._deadlines.after(wait, lambda: self._begin(source))

    def abort(self) -> None:
        """What is being written means nothing any more: another list has begun."""
        if self._slices is not None:
            self._end_writing()

    def _begin(self, source) -> None:
        self._due, self._again, directory = None, None, source.directory
        if source.index is None or directory.reading or self._ledger.is_standby:
            return  # a whole list is on its way and will call again, or the folder is another process's
        if not self._ledger.reserve_disk(2 * (directory.size + HEAD_MOST)):
            log_event(log, "copy-not-written", why=f"{directory.size} bytes, and no room beside the ledger")
            return
        head = {"form": COPY_FORM, "catalog": str(source.address), "index": source.index}
        try:
            self._file = os.open(self._new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        except OSError as error:
            log_event(log, "copy-not-written", why=error)
            return
        self._crc = self._rows = 0
        self._begun_at, self._slices = self._deadlines.clock.now(), self._pieces(head, directory)
        self._write()

    def _pieces(self, head: dict, directory: Directory) -> Iterator[bytes]:
        yield json.dumps(head).encode() + b"\n"
        for piece in directory.lines():
            self._crc, self._rows = crc32(piece, self._crc), self._rows + piece.count(b"\n")
            yield piece
        yield json.dumps({"rows": self._rows, "crc": self._crc}).encode() + b"\n"

    def _write(self) -> None:
        """One slice a turn."""
        if self._slices is None:
            return  # it has been given up meanwhile
        try:
            piece = next(self._slices, None)
            if piece is None:
                os.replace(self._new, self.path)
                self._end_writing(done=True)
                if self._again is not None:
                    self.schedule(self._again)
                return
            while piece:
                piece = piece[os.write(self._file, piece) :]
        except OSError as error:  # a full disk: the copy before stays
            log_event(log, "copy-not-written", why=error)
            self._end_writing()
            return
        self._deadlines.after(0, self._write)

    def _end_writing(self, done: bool = False) -> None:
        with suppress(OSError):  # the descriptor is gone all the same
            os.close(self._file)
        self._file, self._slices = None, None
        if not done:
            try:
                os.remove(self._new)
            except OSError as error:
                log_event(log, "copy-not-written", why=error)
