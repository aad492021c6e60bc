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
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

from limelatch.interface import Health
from limelatch.relay.records import (
    STATE_RESERVE,
    BadRecord,
    LedgerState,
    Entry,
    RecordKind,
    compacted_records,
    records_besides_texts,
    encode_record,
    split_records,
)

FILE, NEW_FILE, STANDBY_DIR = "ledger", "ledger.new", "next"
BLOCK = 512  # files count in whole blocks
DEAD_TIMES = 2  # the file's size in what is still needed of it, from which a new one is worth its writing
LIVE_SHARE = 0.4  # of the disk, for records of texts that are not over; the rest: growth, the new file
BESIDE_SHARE = 0.125  # of the disk at the most, for the copy of the list and the new one beside it
MEMORY_SHARE = 0.1  # of the memory, for the same records, which are kept there too
STANDBY_LOCK_TRIES, STANDBY_LOCK_PAUSE = (
    20,
    0.01,
)  # seconds: the old process takes the seat's lock for a look at times
OTHER_FILES = 4  # in blocks: the hosts out, the clock, and a new one of either
NO_LOCKS = (errno.ENOLCK, errno.EOPNOTSUPP, errno.ENOSYS)  # a file system without locks


class FolderInUse(OSError):
    """Another relay writes the ledger of this folder."""


class ForeignLedger(OSError):
    """The file holds whole records that this version can't read; it is left as it is."""


@contextmanager
def named(call: str, path: str) -> Iterator[None]:
    """An OSError inside is raised on with the call and the path, whatever it had of them."""
    try:
        yield
    except FileNotFoundError:
        raise
    except OSError as error:
        raise OSError(error.errno, f"{call}: {error.strerror}", path) from None


def lock(folder: str) -> int:
    """Hold the folder until this process ends, however it ends; FolderInUse where another does, OSError.

    The lock is the open folder's own, so it needs no file, and one that was killed leaves none behind."""
    with named("open", folder):
        held = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        with named("flock", folder):
            fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        if error.errno in (errno.EAGAIN, errno.EACCES):
            close_quietly(held)
            raise FolderInUse(errno.EBUSY, "another relay uses this folder", folder) from None
        if error.errno not in NO_LOCKS:
            close_quietly(held)
            raise
    return held


def close_quietly(file: int) -> None:
    """Close a descriptor, which is gone whatever close(2) reports."""
    with suppress(OSError):
        os.close(file)


def read_whole(path: str) -> bytes:
    """All bytes of a file; OSError names the call and the path."""
    with named("read", path), open(path, "rb") as file:
        return file.read()


def append(file: int, raw: bytes) -> None:
    """Write all of it: a disk that is nearly full may take a part."""
    while raw:
        raw = raw[os.write(file, raw) :]


def lock_standby(standby: str) -> int:
    """Hold the seat; FolderInUse where a third process does.

    Guards against a new process that is refused because the old one looks just then whether it waits."""
    for _ in range(STANDBY_LOCK_TRIES):
        try:
            return lock(standby)
        except FolderInUse:
            time.sleep(STANDBY_LOCK_PAUSE)
    return lock(standby)


class Ledger:
    """The ledger of one relay: `entries` are the texts that it owes their end.

    What can't be written, as on a full disk, waits in `behind` for the next record; until it is written no
    text is taken on and no submit goes out, since a restart would know nothing of them. `told` hears of each
    write: the error, or None where it has worked."""

    def __init__(
        self,
        folder: str,
        disk_bytes: int,
        memory_bytes: int,
        told: Callable[[OSError | None], None] = lambda error: None,
    ) -> None:
        self.folder, self.directory, self._told = folder, folder, told
        self._whole, self._memory = disk_bytes // BLOCK * BLOCK - OTHER_FILES * BLOCK, memory_bytes
        self.reserve_disk(0, at_once=True)
        self.state, self.size, self.cut_bytes, self.unwritten = LedgerState(), 0, 0, b""
        self._torn = False  # a record written in part stands at the file's end
        self._failing = False  # since a call that failed, until a write works
        self.sibling_bytes = 0  # bytes of the disk that the other process of an upgrade holds or will write
        self._emptied_later: list[str] = []  # files taken in that could not be removed
        try:
            self._lock = lock(folder)
        except FolderInUse:  # an upgrade: the process before still holds it; a third one is refused
            self.directory = os.path.join(folder, STANDBY_DIR)
            with named("mkdir", self.directory):
                os.makedirs(self.directory, exist_ok=True)
            self._lock = lock_standby(self.directory)
        # The other process's ledger in an upgrade: the folder's, seen from the seat, and the other way.
        self.sibling_path = (
            os.path.join(folder, FILE) if self.is_standby else os.path.join(folder, STANDBY_DIR, FILE)
        )
        try:
            self._open()
            self._replay()
        except OSError:
            close_quietly(self._lock)  # else a further try would find the folder in use
            raise
        if self.has_abandoned_standby:
            self.adopt_standby()

    def _open(self) -> None:
        self.path, self._new = os.path.join(self.directory, FILE), os.path.join(self.directory, NEW_FILE)
        with suppress(OSError):  # a compaction that the end of the process cut short; the next one empties it
            os.remove(self._new)
        with named("open", self.path):
            self._file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    @property
    def is_standby(self) -> bool:
        """Whether this process waits in the seat for the one before it to end."""
        return self.directory != self.folder

    def has_successor(self) -> bool:
        """Whether a new process waits in the seat: the old one then hands clients over to it."""
        try:
            os.close(lock(os.path.join(self.folder, STANDBY_DIR)))
        except FolderInUse:
            return True
        except OSError:  # no seat: nobody waits
            return False
        return False

    def take_over(self) -> list[Entry] | None:
        """In the seat: once the process before has ended, its folder and all it still owes; else None.

        Where the folder can't be read or written it stays in the seat, whole, and tries again at the next
        look."""
        try:
            held = lock(self.folder)
        except FolderInUse:
            return None
        except OSError as error:
            self._failed(error)
            return None
        standby_file, standby_lock, paths = self.path, self._lock, (self.path, self._new)
        self.path, self._new = os.path.join(self.folder, FILE), os.path.join(self.folder, NEW_FILE)
        adopted = self._adopt(self.path)
        if adopted is None:
            self.path, self._new = paths
            close_quietly(held)
            return None
        self._lock, self.directory, self.sibling_path = held, self.folder, standby_file
        self._empty(standby_file)
        close_quietly(standby_lock)
        return adopted

    @property
    def has_abandoned_standby(self) -> bool:
        """Whether a successor that ended before it took over has left texts in its seat."""
        return not self.is_standby and os.path.exists(self.sibling_path)

    def adopt_standby(self) -> list[Entry] | None:
        """The texts that a successor left in its seat are this process's now; None where that has to be tried
        again, and none where the successor lives: it takes this folder over itself."""
        path = self.sibling_path
        try:
            held = lock(os.path.join(self.folder, STANDBY_DIR))
        except FolderInUse:
            return []
        except OSError as error:
            self._failed(error)
            return None
        adopted = self._adopt(path, first=False)
        if adopted is not None:
            self._empty(path)
        close_quietly(held)
        return adopted

    def _adopt(self, path: str, first: bool = True) -> list[Entry] | None:
        """Take in another file's texts and write them to this ledger's; None where either fails, and then
        they stay with the other file."""
        try:
            adopted = self._absorb(path, first)
        except OSError as error:
            self._failed(error)
            return None
        if not self.compact():
            self._leave(adopted)
            return None
        return adopted

    def _empty(self, path: str) -> None:
        """A file that was taken in must not be read again: it would bring back texts that have ended."""
        try:
            os.remove(path)
        except FileNotFoundError:
            pass
        except OSError:
            try:
                os.truncate(path, 0)
            except OSError as error:
                self._failed(error)
                self._emptied_later.append(path)

    def _absorb(self, path: str, first: bool = True) -> list[Entry]:
        """Take in the texts of another file, `first` before those held; a torn tail is left out."""
        raw, theirs = read_whole(path), LedgerState()
        for one in split_records(raw):
            try:
                theirs.apply(one)
            except BadRecord:  # of another version: left out rather than take a text that can't be read
                continue
        adopted = [entry for text, entry in theirs.entries.items() if text not in self.entries]
        fresh = {entry.id: entry for entry in adopted}
        self.state.entries = fresh | self.state.entries if first else self.state.entries | fresh
        self.state.live_bytes += sum(len(entry.accepted_record) + STATE_RESERVE for entry in adopted)
        for key, rest in theirs.cooldowns.items():
            self.state.add_cooldown(key, rest, 0)
        for host, until in theirs.host_waits.items():
            self.state.add_wait(host, until, 0)
        for host, health in theirs.host_health.items():
            self.state.add_health(host, health)
        return adopted

    def _leave(self, adopted: list[Entry]) -> None:
        """What was taken in stays with the other file, since it can't be written to this one."""
        for entry in adopted:
            self.state.live_bytes -= len(entry.accepted_record) + STATE_RESERVE
            del self.entries[entry.id]

    @property
    def entries(self) -> dict[bytes, Entry]:
        return self.state.entries

    def close(self) -> None:
        """Give the folder back."""
        close_quietly(self._file)
        close_quietly(self._lock)

    def _replay(self) -> None:
        raw, at = read_whole(self.path), 0
        for one in split_records(raw):
            try:
                self.state.apply(one)
            except BadRecord as error:  # whole, and yet not of this version: to cut it would lose texts
                raise ForeignLedger(
                    errno.EINVAL, f"a record at byte {at} is not of this version: {error}", self.path
                ) from None
            at += len(one)
        self.cut_bytes, self.size = len(raw) - at, at
        self._torn = self.cut_bytes > 0  # by the end of the process: cut off, with whatever follows it
        with suppress(OSError):  # else before the first write
            self._cut_tail()

    def reserve_disk(self, size: int, at_once: bool = False) -> bool:
        """Leave so many bytes of the disk to another file of the folder; not where the ledger needs them."""
        disk = self._whole - (-size // BLOCK * -BLOCK)
        if not at_once and (
            size > self._whole * BESIDE_SHARE or self.size + self.state.live_bytes > disk - BLOCK
        ):
            return False
        self.disk_limit, self.max_live_bytes = disk, min(disk * LIVE_SHARE, self._memory * MEMORY_SHARE)
        return True

    def has_room(self, body: int) -> bool:
        """Whether one more text fits, with all that will be written of it and of the others."""
        own_disk = max(0, self.disk_limit - self.sibling_bytes)
        return self.state.live_bytes + body + 2 * STATE_RESERVE <= min(
            self.max_live_bytes, own_disk * LIVE_SHARE
        )

    def record_accepted(self, text: bytes, body: bytes, **pairs: object) -> bool:
        """Whether the text is in the ledger; else it is not taken on."""
        return self._flush() and self._write(RecordKind.TAKEN, text, pairs, body, must=True)

    def record_submit(self, text: bytes, at: int, zone: int) -> bool:
        """A submit is about to go: written before the call's last byte; where it can't be, none may go."""
        return self._flush() and self._write(RecordKind.GOING, text, {"at": at, "zone": zone}, must=True)

    def record_submit_end(self, text: bytes, ran: bool, now: int = 0, rest: int | None = None) -> None:
        """The submit has ended; `ran` unless it is proved never to have run. `rest`: until when its key
        rests, where the call may still run."""
        resting = {} if rest is None else {"at": now, "rest": rest}
        self._write(RecordKind.ENDED, text, {"ran": ran} | resting)

    def record_health(self, host: bytes, health: Health, now: int) -> None:
        """The module has found a host sick or warming, for the other process of an upgrade."""
        self._write(RecordKind.HEALTH, host, {"health": health.value, "at": now})

    def record_retry_after(self, host: bytes, until: int, now: int) -> None:
        """A host has told to wait; one record for the texts of a batch."""
        if until > self.state.host_waits.get(host, 0):
            self._write(RecordKind.WAIT, host, {"at": now, "until": until})

    def record_notice(self, text: bytes, notice: dict) -> bool:
        """The final answer is given; whether its record is in the folder."""
        return self._write(RecordKind.OWED, text, {"notice": notice})

    def record_finished(self, text: bytes) -> None:
        if text in self.entries:
            self._write(RecordKind.OVER, text, {})

    def _write(
        self, kind: RecordKind, text: bytes, pairs: dict, body: bytes = b"", must: bool = False
    ) -> bool:
        """Add a record; False where it could not be written: it waits, or, if it `must`, it is dropped."""
        one = encode_record(kind, text, pairs, body)
        if self._needs_compaction(len(one)):
            self.compact()
        self.unwritten += one
        written = self._flush()
        if not written and must:
            self.unwritten = b""  # nothing else was behind
            return False
        self.state.apply(one)
        return written

    def _needs_compaction(self, more: int) -> bool:
        """Whether the file and a new one beside it outgrow the disk that is this process's.

        At half of it already, unless most of the file is still needed: so there is room for the ledger of
        a successor."""
        size, room = self.size + more, self.disk_limit - self.sibling_bytes - BLOCK
        if size + self.state.live_bytes > room:
            return True
        return size + self.state.live_bytes > room // 2 and size > DEAD_TIMES * self.state.live_bytes

    def _flush(self) -> bool:
        """Write what is behind; of a record written in part nothing stays before the next one."""
        if not self.unwritten:
            return True
        try:
            self._cut_tail()
            with named("write", self.path):
                append(self._file, self.unwritten)
        except OSError as error:
            self._torn = True
            with suppress(OSError):  # else before the next write
                self._cut_tail()
            self._failed(error)
            return False
        self.size, self.unwritten = self.size + len(self.unwritten), b""
        self._worked()
        return True

    def retry_write(self) -> bool:
        """Write what has waited since a failure, or a record that tells nothing; whether that has worked."""
        if not self.unwritten:
            self.unwritten = encode_record(RecordKind.BLANK, b"", {})
        return self._flush()

    def _failed(self, error: OSError) -> None:
        self._failing = True
        self._told(error)

    def _worked(self) -> None:
        if not self._failing:
            return
        self._failing = False
        waiting, self._emptied_later = self._emptied_later, []
        for path in waiting:
            self._empty(path)
        if not self._failing:
            self._told(None)

    def _cut_tail(self) -> None:
        if self._torn:
            with named("ftruncate", self.path):
                os.ftruncate(self._file, self.size)
            self._torn = False

    def compact(self) -> bool:
        """Write what still matters to a new file, in the order of the texts; put it in place.

        Where it can't be written the old file stays."""
        parts = [compacted_records(entry) for entry in self.entries.values()]
        records, new = b"".join([*parts, *records_besides_texts(self.state)]), None
        try:
            with named("open", self._new):
                new = os.open(self._new, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            with named("write", self._new):
                append(new, records)
            self._put_in_place(new)
        except OSError as error:
            if new is not None:
                close_quietly(new)
                with suppress(OSError):  # the next one empties it
                    os.remove(self._new)
            self._failed(error)
            return False
        close_quietly(self._file)
        self._file, self.size, self.unwritten, self._torn = new, len(records), b"", False  # the rest is in it
        self._worked()
        return True

    def _put_in_place(self, new: int) -> None:
        """Rename the new file; one that failed and was done all the same counts as done.

        Guards against records that are written to a file which no folder has any more."""
        try:
            with named("rename", self.path):
                os.replace(self._new, self.path)
        except OSError:
            if not self._is_in_place(new):
                raise

    def _is_in_place(self, new: int) -> bool:
        try:
            return os.path.samestat(os.stat(self.path), os.fstat(new))
        except OSError:
            return False
