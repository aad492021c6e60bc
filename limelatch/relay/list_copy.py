"""A copy of the list in the state directory: a restart loads it and requests only the changes since.

It is one file, replaced atomically: a head (form, catalog, index), the rows as the directory stores them, and
an end with their checksum, without which the file is ignored. One piece is written in a reactor turn. Rows
that change meanwhile are in it in their old or new state; the catalog sends them again after a restart,
because the index is that of the time when the writing started."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from contextlib import suppress
from zlib import crc32

from limelatch.list_copy_interval import MAX_INTERVAL, copy_interval
from limelatch.logs import logger, log_event
from limelatch.relay.directory import Directory

log = logger("catalog")

COPY_FILE = "list"
NEW_COPY_FILE = "list.new"  # renamed to COPY_FILE once it is complete
COPY_FORM = 1  # version of the file format
MAX_HEAD_SIZE = 4096  # bytes of the head or of the end


class BadCopy(ValueError):
    """The copy can't be used; the message gives the reason."""


def read_copy(path: str) -> tuple[str, int, Directory]:
    """Returns the catalog's address, the index and the rows. Raises BadCopy if the file is damaged or of
    another form, FileNotFoundError if there is none, or another OSError."""
    with open(path, "rb") as file:
        text = bytearray(os.fstat(file.fileno()).st_size)
        del text[file.readinto(text) :]
    try:
        head_end = text.index(b"\n", 0, MAX_HEAD_SIZE) + 1
        end_at = text.rindex(b"\n", 0, len(text) - 1) + 1
        head, end = json.loads(text[:head_end]), json.loads(text[end_at:])
        if head["form"] != COPY_FORM:
            raise BadCopy(f"form {str(head['form'])[:20]}, but this version reads form {COPY_FORM}")
        catalog, index, rows = str(head["catalog"]), int(head["index"]), int(end["rows"])
        del text[end_at:], text[:head_end]
        if end["crc"] != crc32(text):
            raise BadCopy("the checksum does not match")
        directory = Directory(rows)
        directory.load(text)
        if len(directory) != rows:
            raise BadCopy(f"found {len(directory)} rows instead of {rows}")
    except BadCopy:
        raise
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise BadCopy(f"{type(error).__name__}: {error}") from None
    return catalog, index, directory


class ListCopy:
    """Writes the copy at intervals, if the ledger leaves room for it. A failed copy is retried later."""

    def __init__(self, folder: str, deadlines, ledger) -> None:
        self.path, self._new_path = os.path.join(folder, COPY_FILE), os.path.join(folder, NEW_COPY_FILE)
        self._deadlines, self._ledger = deadlines, ledger
        self._timer, self._file, self._pieces_left, self._next_source = None, None, None, None
        self._started_at = -MAX_INTERVAL
        self._checksum = self._row_count = 0

    def read(self) -> tuple[str, int, Directory] | None:
        """The copy that the last process left, or None. One that can't be used is logged."""
        try:
            copy = read_copy(self.path)
            needed = 2 * os.path.getsize(self.path)
            if self._ledger.is_standby:  # room for the other process's copy and the next one that it writes
                self._ledger.reserve_disk(needed, at_once=True)
            elif not self._ledger.reserve_disk(needed):
                os.remove(self.path)  # guards against exceeding the disk limit once the ledger is full
        except FileNotFoundError:
            return None
        except (OSError, BadCopy) as error:
            log_event(log, "copy-not-read", why=error)
            return None
        return copy

    def schedule(self, source) -> None:
        """The list has changed: write a copy, the first at once. `source` is the catalog."""
        if self._pieces_left is not None:
            self._next_source = source
        elif self._timer is None:
            interval = copy_interval(source.directory.size)
            wait = max(0, self._started_at + interval - self._deadlines.clock.now())
            self._timer = self._deadlines.after(wait, lambda: self._start_writing(source))

    def abort(self) -> None:
        """Discard the copy that is being written, because another list has begun."""
        if self._pieces_left is not None:
            self._end_writing()

    def _start_writing(self, source) -> None:
        self._timer, self._next_source, directory = None, None, source.directory
        if source.index is None or directory.is_loading or self._ledger.is_standby:
            return  # the list being read will schedule again, or the state directory is another's
        if not self._ledger.reserve_disk(2 * (directory.size + MAX_HEAD_SIZE)):
            log_event(log, "copy-not-written", why=f"{directory.size} bytes do not fit next to the ledger")
            return
        head = {"form": COPY_FORM, "catalog": str(source.address), "index": source.index}
        try:
            self._file = os.open(self._new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        except OSError as error:
            log_event(log, "copy-not-written", why=error)
            return
        self._checksum = self._row_count = 0
        self._started_at, self._pieces_left = self._deadlines.clock.now(), self._copy_pieces(head, directory)
        self._write_next()

    def _copy_pieces(self, head: dict, directory: Directory) -> Iterator[bytes]:
        yield json.dumps(head).encode() + b"\n"
        for piece in directory.lines():
            self._checksum = crc32(piece, self._checksum)
            self._row_count = self._row_count + piece.count(b"\n")
            yield piece
        yield json.dumps({"rows": self._row_count, "crc": self._checksum}).encode() + b"\n"

    def _write_next(self) -> None:
        """Write one piece, and the next one in the next reactor turn."""
        if self._pieces_left is None:
            return  # it was aborted meanwhile
        try:
            piece = next(self._pieces_left, None)
            if piece is None:
                os.replace(self._new_path, self.path)
                self._end_writing(done=True)
                if self._next_source is not None:
                    self.schedule(self._next_source)
                return
            while piece:
                piece = piece[os.write(self._file, piece) :]
        except OSError as error:  # such as a full disk: the previous copy stays
            log_event(log, "copy-not-written", why=error)
            self._end_writing()
            return
        self._deadlines.after(0, self._write_next)

    def _end_writing(self, done: bool = False) -> None:
        with suppress(OSError):  # the descriptor is closed even so
            os.close(self._file)
        self._file, self._pieces_left = None, None
        if not done:
            try:
                os.remove(self._new_path)
            except OSError as error:
                log_event(log, "copy-not-written", why=error)
