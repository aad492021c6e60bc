"""The lasting folder: what became of each text that was taken on, so that a restarted relay still owes it.

One file of records (`records`). Written bytes outlast the process without a sync. When the file has grown,
the records of texts that are over are left out of a new file, which then takes its place. The folder is one
relay's: it is locked while its process lives. During an upgrade the new process, which finds it locked,
writes a ledger of its own in the seat `next` inside it, and takes the folder over, with what the old one
left, once that has ended.
"""

from __future__ import annotations

import errno
import fcntl
import os
import time

from limelatch.logs import logger, say
from limelatch.relay.records import LATER, BadRecord, Book, Entry, Kind, kept, record, split

log = logger("ledger")

FILE, NEW_FILE, SEAT = "ledger", "ledger.new", "next"
BLOCK = 512  # files count in whole blocks
LIVE_SHARE = 0.4  # of the disk, for records of texts that are not over; the rest: growth, the new file
BESIDE_SHARE = 0.125  # of the disk at the most, for the copy of the list and the new one beside it
MEMORY_SHARE = 0.1  # of the memory, for the same records, which are kept there too
SEAT_LOOKS, SEAT_PAUSE = 20, 0.01  # seconds: the old process takes the seat's lock for a look at times
NO_LOCKS = (errno.ENOLCK, errno.EOPNOTSUPP, errno.ENOSYS)  # a file system without locks


class FolderInUse(OSError):
    """Another relay writes the ledger of this folder."""


class ForeignLedger(OSError):
    """The file holds whole records that this version can't read; it is left as it is."""


def lock(folder: str) -> int:
    """Hold the folder until this process ends, however it ends; FolderInUse where another does.

    The lock is the open folder's own, so it needs no file, and one that was killed leaves none behind."""
    held = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(held)
        raise FolderInUse(errno.EBUSY, "another relay uses this folder", folder) from None
    except OSError as error:
        if error.errno not in NO_LOCKS:
            os.close(held)
            raise
    return held


def append(file: int, raw: bytes) -> None:
    """Write all of it: a disk that is nearly full may take a part."""
    while raw:
        raw = raw[os.write(file, raw) :]


def lock_seat(seat: str) -> int:
    """Hold the seat; FolderInUse where a third process does.

    Guards against a new process that is refused because the old one looks just then whether it waits."""
    for _ in range(SEAT_LOOKS):
        try:
            return lock(seat)
        except FolderInUse:
            time.sleep(SEAT_PAUSE)
    return lock(seat)


class Ledger:
    """The ledger of one relay: `entries` are the texts that it owes their end.

    What can't be written, as on a full disk, waits in `behind` for the next record; until it is written no
    text is taken on and no submit goes out, since a restart would know nothing of them."""

    def __init__(self, folder: str, disk_bytes: int, memory_bytes: int) -> None:
        self.folder, self.seat, self._before = folder, folder, None
        self._whole, self._memory = disk_bytes // BLOCK * BLOCK - 2 * BLOCK, memory_bytes
        self.leave_room(0, at_once=True)
        self.book, self.size, self.cut, self.behind = Book(), 0, 0, b""
        try:
            self._lock = lock(folder)
        except FolderInUse:  # an upgrade: the process before still holds it; a third one is refused
            self.seat = os.path.join(folder, SEAT)
            os.makedirs(self.seat, exist_ok=True)
            self._lock = lock_seat(self.seat)
        self._open()
        self._replay()
        if self.seat == folder:
            self._take_seat(os.path.join(folder, SEAT))  # left by a successor that ended before it took over

    def _open(self) -> None:
        self.path, self._new = os.path.join(self.seat, FILE), os.path.join(self.seat, NEW_FILE)
        if os.path.exists(self._new):
            os.remove(self._new)  # a compaction that the end of the process cut short
        self._file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    @property
    def beside(self) -> bool:
        """Whether this process waits in the seat for the one before it to end."""
        return self.seat != self.folder

    def successor(self) -> bool:
        """Whether a new process waits in the seat: the old one then hands clients over to it."""
        try:
            os.close(lock(os.path.join(self.folder, SEAT)))
        except FolderInUse:
            return True
        except OSError:  # no seat: nobody waits
            return False
        return False

    def open_before(self) -> list[Entry]:
        """In the seat: the texts that the process before still holds, as its ledger tells them by now."""
        try:
            status = os.stat(os.path.join(self.folder, FILE))
        except OSError:
            return []
        if self._before is None or status.st_ino != self._before[1]:  # a first look, or a new file of its
            self._before = [Book(), status.st_ino, 0]
        book, _, at = self._before
        if status.st_size > at:
            with open(os.path.join(self.folder, FILE), "rb") as file:
                file.seek(at)
                raw = file.read(status.st_size - at)
            for one in split(raw):
                self._before[2] += len(one)
                try:
                    book.apply(one)
                except BadRecord:  # of another version: it says nothing of keys
                    continue
        return list(book.entries.values())

    def take_over(self) -> list[Entry] | None:
        """In the seat: once the process before has ended, its folder and all it still owes; else None."""
        try:
            held = lock(self.folder)
        except FolderInUse:
            return None
        seat, seat_lock, paths = self.seat, self._lock, (self.path, self._new)
        self.path, self._new = os.path.join(self.folder, FILE), os.path.join(self.folder, NEW_FILE)
        adopted = self._absorb(self.path)
        if not self.compact():  # it stays in the seat, whole, and tries again at the next look
            self._leave(adopted)
            self.path, self._new = paths
            os.close(held)
            return None
        self._lock, self.seat, self._before = held, self.folder, None
        os.remove(os.path.join(seat, FILE))
        os.close(seat_lock)
        return adopted

    def _take_seat(self, seat: str) -> None:
        """The records that a successor left in its seat are this process's now."""
        path = os.path.join(seat, FILE)
        if not os.path.exists(path):
            return
        try:
            held = lock(seat)
        except FolderInUse:  # it still lives: it takes this folder over itself
            return
        adopted = self._absorb(path, first=False)
        if adopted and not self.compact():
            self._leave(adopted)
        else:
            os.remove(path)
        os.close(held)

    def _absorb(self, path: str, first: bool = True) -> list[Entry]:
        """Take in the texts of another file, `first` before those held; a torn tail is left out."""
        with open(path, "rb") as file:
            raw = file.read()
        theirs = Book()
        for one in split(raw):
            try:
                theirs.apply(one)
            except BadRecord:  # of another version: left out rather than take a text that can't be read
                continue
        adopted = [entry for text, entry in theirs.entries.items() if text not in self.entries]
        fresh = {entry.id: entry for entry in adopted}
        self.book.entries = fresh | self.book.entries if first else self.book.entries | fresh
        self.book.live += sum(len(entry.taken) + LATER for entry in adopted)
        return adopted

    def _leave(self, adopted: list[Entry]) -> None:
        """What was taken in stays with the other file, since it can't be written to this one."""
        for entry in adopted:
            self.book.live -= len(entry.taken) + LATER
            del self.entries[entry.id]

    @property
    def entries(self) -> dict[bytes, Entry]:
        return self.book.entries

    def close(self) -> None:
        """Give the folder back."""
        os.close(self._file)
        os.close(self._lock)

    def _replay(self) -> None:
        with open(self.path, "rb") as file:
            raw = file.read()
        at = 0
        for one in split(raw):
            try:
                self.book.apply(one)
            except BadRecord as error:  # whole, and yet not of this version: to cut it would lose texts
                raise ForeignLedger(
                    errno.EINVAL, f"a record at byte {at} is not of this version: {error}", self.path
                ) from None
            at += len(one)
        self.cut = len(raw) - at
        if self.cut:  # a record that the end of the process tore, and whatever follows it
            os.ftruncate(self._file, at)
        self.size = at

    def leave_room(self, size: int, at_once: bool = False) -> bool:
        """Leave so many bytes of the disk to another file of the folder; not where the ledger needs them."""
        disk = self._whole - (-size // BLOCK * -BLOCK)
        if not at_once and (size > self._whole * BESIDE_SHARE or self.size + self.book.live > disk - BLOCK):
            return False
        self.disk, self.live_most = disk, min(disk * LIVE_SHARE, self._memory * MEMORY_SHARE)
        return True

    def has_room(self, body: int) -> bool:
        """Whether one more text fits, with all that will be written of it and of the others."""
        return self.book.live + body + 2 * LATER <= self.live_most

    def taken(self, text: bytes, body: bytes, **pairs: object) -> bool:
        """Whether the text is in the ledger; else it is not taken on."""
        return self._flush() and self._write(Kind.TAKEN, text, pairs, body, must=True)

    def going(self, text: bytes, at: int, zone: int) -> bool:
        """A submit is about to go: written before the call's last byte; where it can't be, none may go."""
        return self._flush() and self._write(Kind.GOING, text, {"at": at, "zone": zone}, must=True)

    def ended(self, text: bytes, ran: bool) -> None:
        """The submit has ended; `ran` unless it is proved never to have run."""
        self._write(Kind.ENDED, text, {"ran": ran})

    def owed(self, text: bytes, notice: dict) -> None:
        self._write(Kind.OWED, text, {"notice": notice})

    def over(self, text: bytes) -> None:
        if text in self.entries:
            self._write(Kind.OVER, text, {})

    def _write(self, kind: Kind, text: bytes, pairs: dict, body: bytes = b"", must: bool = False) -> bool:
        """Add a record; False where it could not be written: it waits, or, if it `must`, it is dropped."""
        one = record(kind, text, pairs, body)
        if self.size + len(one) + self.book.live > self.disk - BLOCK:
            self.compact()
        self.behind += one
        written = self._flush()
        if not written and must:
            self.behind = b""  # nothing else was behind
            return False
        self.book.apply(one)
        return written

    def _flush(self) -> bool:
        """Write what is behind; of a record written in part nothing stays."""
        if not self.behind:
            return True
        try:
            append(self._file, self.behind)
        except OSError as error:
            say(log, "ledger-behind", why=error, bytes=len(self.behind))
            os.ftruncate(self._file, self.size)
            return False
        self.size, self.behind = self.size + len(self.behind), b""
        return True

    def compact(self) -> bool:
        """Write what still matters to a new file, in the order of the texts; put it in place.

        Where it can't be written the old file stays."""
        records, new = b"".join(kept(entry) for entry in self.entries.values()), None
        try:
            new = os.open(self._new, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            append(new, records)
            os.replace(self._new, self.path)
        except OSError as error:
            say(log, "ledger-behind", why=error, bytes=len(self.behind))
            if new is not None:
                os.close(new)
                os.remove(self._new)
            return False
        os.close(self._file)
        self._file, self.size, self.behind = new, len(records), b""  # what was behind is in it
        return True
