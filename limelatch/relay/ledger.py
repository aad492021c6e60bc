"""The ledger: a write-ahead log of accepted texts, so that a restarted relay still finishes each of them.

It is one file of records (`records`) in the relay's state directory. Written bytes survive the end of the
process without a sync. When the file has grown it is compacted: a new file without the records of finished
texts replaces it. A process locks its state directory for as long as it runs. During an upgrade the new
process finds it locked, so it writes a ledger of its own in the standby directory `next` inside it. Once the
old process has ended, the new one takes the state directory over with the texts that are left in it.
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

FILE = "ledger"
NEW_FILE = "ledger.new"  # written by a compaction, then renamed to FILE
STANDBY_DIR = "next"  # inside the state directory
BLOCK = 512  # bytes; the disk limit counts files in whole blocks
MIN_DEAD_RATIO = 2  # compact once the file is this many times the size of what it still needs
LIVE_SHARE = 0.4  # of the disk limit, for records of unfinished texts; the rest is for growth and compaction
MAX_OTHER_FILE_SHARE = 0.125  # of the disk limit, for the copy of the host list and its replacement
STANDBY_LOCK_TRIES = 20  # the old process holds the standby directory's lock briefly at each of its checks
STANDBY_LOCK_PAUSE = 0.01  # seconds between two tries
OTHER_FILE_BLOCKS = 4  # blocks kept for the files of suspended hosts and of the clock, and a new one of each
NO_LOCKS = (errno.ENOLCK, errno.EOPNOTSUPP, errno.ENOSYS)  # errors of a file system without locks


class DirectoryInUse(OSError):
    """Another process has locked this directory."""


class IncompatibleLedger(OSError):
    """The file has complete records that this version can't read; it is left as it is."""


@contextmanager
def error_context(call: str, path: str) -> Iterator[None]:
    """Re-raises an OSError from inside with the name of the call and the path; FileNotFoundError as it is."""
    try:
        yield
    except FileNotFoundError:
        raise
    except OSError as error:
        raise OSError(error.errno, f"{call}: {error.strerror}", path) from None


def lock(directory: str) -> int:
    """Lock a directory until its descriptor, which is returned, is closed or this process ends.

    The lock is on the open directory itself: there is no lock file that a killed process could leave behind.
    Raises DirectoryInUse where another process has it locked, OSError where it can't be opened or locked."""
    with error_context("open", directory):
        descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        with error_context("flock", directory):
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        if error.errno in (errno.EAGAIN, errno.EACCES):
            close_quietly(descriptor)
            raise DirectoryInUse(errno.EBUSY, "another relay uses this directory", directory) from None
        if error.errno not in NO_LOCKS:
            close_quietly(descriptor)
            raise
    return descriptor


def close_quietly(file: int) -> None:
    """Close a descriptor; errors are ignored, since it is released whatever close(2) reports."""
    with suppress(OSError):
        os.close(file)


def read_whole(path: str) -> bytes:
    """All bytes of a file. Raises OSError with the call and the path."""
    with error_context("read", path), open(path, "rb") as file:
        return file.read()


def append(file: int, raw: bytes) -> None:
    """Write all of `raw`, in several calls if need be: a disk that is nearly full may accept a part."""
    while raw:
        raw = raw[os.write(file, raw) :]


def lock_standby(standby: str) -> int:
    """Lock the standby directory. Raises DirectoryInUse where a third process has it locked.

    Tries repeatedly: guards against refusing a new process because the old one holds the lock for the moment
    in which it checks for a successor."""
    for _ in range(STANDBY_LOCK_TRIES):
        try:
            return lock(standby)
        except DirectoryInUse:
            time.sleep(STANDBY_LOCK_PAUSE)
    return lock(standby)


class Ledger:
    """The ledger of one relay process; `entries` are its unfinished texts.

    Records that can't be written, as on a full disk, wait in `unwritten` for the next write. Until then no
    text is accepted and no submit is sent, since a restart would know nothing of them. `on_write_result` is
    called with the error of a failed call, and with None once writes succeed again. `size`, `cut_bytes` (an
    incomplete record found at the end of the file), `disk_limit` and `max_live_bytes` are in bytes."""

    def __init__(
        self,
        state_dir: str,
        disk_bytes: int,
        max_record_bytes: int,
        on_write_result: Callable[[OSError | None], None] = lambda error: None,
    ) -> None:
        self.state_dir, self.directory, self._on_write_result = state_dir, state_dir, on_write_result
        self._disk_budget = disk_bytes // BLOCK * BLOCK - OTHER_FILE_BLOCKS * BLOCK
        self._max_record_bytes = max_record_bytes  # of unfinished texts, which are held in memory too
        self.reserve_disk(0, at_once=True)
        self.state, self.size, self.cut_bytes, self.unwritten = LedgerState(), 0, 0, b""
        self._torn = False  # whether the file ends in a record that was written in part
        self._failing = False  # from a failed call until a write succeeds
        self.sibling_bytes = 0  # of the disk, used or still needed by the other process of an upgrade
        self._files_to_remove: list[str] = []  # adopted files that could not be removed yet
        try:
            self._lock = lock(state_dir)
        except DirectoryInUse:  # an upgrade: the old process still has it locked; a third process is refused
            self.directory = os.path.join(state_dir, STANDBY_DIR)
            with error_context("mkdir", self.directory):
                os.makedirs(self.directory, exist_ok=True)
            self._lock = lock_standby(self.directory)
        # The other process's ledger in an upgrade: the standby's, or for the standby the one it waits for.
        self.sibling_path = (
            os.path.join(state_dir, FILE) if self.is_standby else os.path.join(state_dir, STANDBY_DIR, FILE)
        )
        try:
            self._open()
            self._replay()
        except OSError:
            close_quietly(self._lock)  # else a further try would find the directory in use
            raise
        if self.has_abandoned_standby:
            self.adopt_standby()

    def _open(self) -> None:
        """Open the ledger's file for appending, creating it if need be."""
        self.path, self._new_path = os.path.join(self.directory, FILE), os.path.join(self.directory, NEW_FILE)
        with suppress(OSError):  # of an interrupted compaction; the next compaction truncates it
            os.remove(self._new_path)
        with error_context("open", self.path):
            self._file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    @property
    def is_standby(self) -> bool:
        """Whether this process is in the standby directory, until the old process ends."""
        return self.directory != self.state_dir

    def has_successor(self) -> bool:
        """Whether a new process is in the standby directory; the old one then hands its clients over."""
        try:
            os.close(lock(os.path.join(self.state_dir, STANDBY_DIR)))
        except DirectoryInUse:
            return True
        except OSError:  # no standby directory, so no new process
            return False
        return False

    def take_over(self) -> list[Entry] | None:
        """For the standby: take the state directory over, and return the texts that the old process left.

        None while the old process runs, and where the state directory can't be read or written; then this
        ledger stays complete in the standby directory, and the next call tries again."""
        try:
            descriptor = lock(self.state_dir)
        except DirectoryInUse:
            return None
        except OSError as error:
            self._write_failed(error)
            return None
        standby_file, standby_lock, paths = self.path, self._lock, (self.path, self._new_path)
        self.path, self._new_path = os.path.join(self.state_dir, FILE), os.path.join(self.state_dir, NEW_FILE)
        adopted = self._adopt(self.path)
        if adopted is None:
            self.path, self._new_path = paths
            close_quietly(descriptor)
            return None
        self._lock, self.directory, self.sibling_path = descriptor, self.state_dir, standby_file
        self._remove_adopted(standby_file)
        close_quietly(standby_lock)
        return adopted

    @property
    def has_abandoned_standby(self) -> bool:
        """Whether the standby directory has a ledger: of a successor, or left by one that has ended."""
        return not self.is_standby and os.path.exists(self.sibling_path)

    def adopt_standby(self) -> list[Entry] | None:
        """Take over the texts of a successor that has ended, and return them.

        None where that has to be tried again; an empty list while the successor runs, since it will take this
        directory over itself."""
        path = self.sibling_path
        try:
            descriptor = lock(os.path.join(self.state_dir, STANDBY_DIR))
        except DirectoryInUse:
            return []
        except OSError as error:
            self._write_failed(error)
            return None
        adopted = self._adopt(path, is_older=False)
        if adopted is not None:
            self._remove_adopted(path)
        close_quietly(descriptor)
        return adopted

    def _adopt(self, path: str, is_older: bool = True) -> list[Entry] | None:
        """Add another ledger's texts to this one, and write them to its file.

        None where reading or writing fails; the texts then stay in the other file alone."""
        try:
            adopted = self._absorb(path, is_older)
        except OSError as error:
            self._write_failed(error)
            return None
        if not self.compact():
            self._undo_adoption(adopted)
            return None
        return adopted

    def _remove_adopted(self, path: str) -> None:
        """Remove or truncate an adopted file: if it were read again, finished texts would come back.

        Where neither works it is tried again once writes succeed."""
        try:
            os.remove(path)
        except FileNotFoundError:
            pass
        except OSError:
            try:
                os.truncate(path, 0)
            except OSError as error:
                self._write_failed(error)
                self._files_to_remove.append(path)

    def _absorb(self, path: str, is_older: bool = True) -> list[Entry]:
        """Add another file's state to this one, its texts before this ledger's if `is_older`; an incomplete
        last record is left out. Raises OSError."""
        raw, other_state = read_whole(path), LedgerState()
        for encoded in split_records(raw):
            try:
                other_state.apply(encoded)
            except BadRecord:  # of another version: skipped rather than adopt a text that can't be read
                continue
        adopted = [entry for text, entry in other_state.entries.items() if text not in self.entries]
        fresh = {entry.id: entry for entry in adopted}
        self.state.entries = fresh | self.state.entries if is_older else self.state.entries | fresh
        self.state.live_bytes += sum(len(entry.accepted_record) + STATE_RESERVE for entry in adopted)
        for key, cooldown in other_state.cooldowns.items():
            self.state.add_cooldown(key, cooldown, 0)
        for host, until in other_state.host_waits.items():
            self.state.add_wait(host, until, 0)
        for host, health in other_state.host_health.items():
            self.state.add_health(host, health)
        for text, until in other_state.finished.items():
            self.state.add_finished(text, until, 0)
        return adopted

    def _undo_adoption(self, adopted: list[Entry]) -> None:
        """Undo an adoption that could not be written; the texts stay in the other file."""
        for entry in adopted:
            self.state.live_bytes -= len(entry.accepted_record) + STATE_RESERVE
            del self.entries[entry.id]

    @property
    def entries(self) -> dict[bytes, Entry]:
        """The unfinished texts by id, in the order of their acceptance."""
        return self.state.entries

    def close(self) -> None:
        """Close the file and unlock the directory."""
        close_quietly(self._file)
        close_quietly(self._lock)

    def _replay(self) -> None:
        """Read the file at the start. Raises IncompatibleLedger for a complete record of another version."""
        raw, offset = read_whole(self.path), 0
        for encoded in split_records(raw):
            try:
                self.state.apply(encoded)
            except BadRecord as error:  # complete, but of another version: to cut it off would lose texts
                raise IncompatibleLedger(
                    errno.EINVAL, f"a record at byte {offset} is not of this version: {error}", self.path
                ) from None
            offset += len(encoded)
        self.cut_bytes, self.size = len(raw) - offset, offset
        self._torn = self.cut_bytes > 0  # the process ended in a write: cut off, with all that follows
        with suppress(OSError):  # else it is done before the first write
            self._cut_tail()

    def reserve_disk(self, size: int, at_once: bool = False) -> bool:
        """Reserve bytes of the disk limit for another file; replaces an earlier reservation.

        False, and no change, where the ledger needs them or they are too large a share; not checked with
        `at_once`."""
        disk = self._disk_budget - (-size // BLOCK * -BLOCK)
        if not at_once and (
            size > self._disk_budget * MAX_OTHER_FILE_SHARE
            or self.size + self.state.live_bytes > disk - BLOCK
        ):
            return False
        self.disk_limit, self.max_live_bytes = disk, min(disk * LIVE_SHARE, self._max_record_bytes)
        return True

    def has_room(self, body: int, others: int = 0, others_bytes: int = 0) -> bool:
        """Whether a text with a body of so many bytes fits, with all records still to come of all texts.

        `others`: texts that are about to be recorded; `others_bytes`: of their bodies."""
        own_disk = max(0, self.disk_limit - self.sibling_bytes)
        needed = self.state.live_bytes + body + others_bytes + 2 * STATE_RESERVE * (1 + others)
        return needed <= min(self.max_live_bytes, own_disk * LIVE_SHARE)

    def record_accepted(self, text: bytes, body: bytes, **fields: object) -> bool:
        """Record a text; False where that can't be written, and then the text must not be accepted."""
        return self._flush() and self._write(RecordKind.TAKEN, text, fields, body, is_required=True)

    def record_submit(self, text: bytes, at: int, zone: int) -> bool:
        """Record a submit before its call is sent; where that can't be written, False, and it must not be."""
        return self._flush() and self._write(
            RecordKind.GOING, text, {"at": at, "zone": zone}, is_required=True
        )

    def record_submit_end(
        self, text: bytes, may_have_run: bool, now: int = 0, cooldown_until: int | None = None
    ) -> None:
        """Record the end of a submit; `may_have_run` unless it certainly did not run.

        `cooldown_until`: the end of its ordering key's cooldown, where the call may still be running."""
        cooldown = {} if cooldown_until is None else {"at": now, "rest": cooldown_until}
        self._write(RecordKind.ENDED, text, {"ran": may_have_run} | cooldown)

    def record_doubt(
        self, text: bytes, sent_at: int, zone: int, now: int, cooldown_until: int | None = None
    ) -> None:
        """Record that a submit that has ended, sent at `sent_at` to a host of the zone, may have run.

        `cooldown_until` as of `record_submit_end`. A text that is not in the ledger is ignored."""
        if (entry := self.entries.get(text)) is None:
            return
        self._write(RecordKind.STATE, text, entry.with_possible_run(sent_at, zone).state_fields())
        if cooldown_until is not None:
            cooldown = {"key": entry.key.decode(), "until": cooldown_until, "at": now}
            self._write(RecordKind.REST, text, cooldown)

    def record_health(self, host: bytes, health: Health, now: int) -> None:
        """Record a host's health, which the policy has found, for the other process of an upgrade."""
        self._write(RecordKind.HEALTH, host, {"health": health.value, "at": now})

    def record_retry_after(self, host: bytes, until: int, now: int) -> None:
        """Record until when a host asked clients to wait; no record where a longer wait is known already."""
        if until > self.state.host_waits.get(host, 0):
            self._write(RecordKind.WAIT, host, {"at": now, "until": until})

    def record_notice(self, text: bytes, notice: dict) -> bool:
        """Record a text's final answer and its notice; False where the record has to wait in memory."""
        return self._write(RecordKind.OWED, text, {"notice": notice})

    def record_finished(self, text: bytes, now: int) -> None:
        """Record that a text is finished; one that is not in the ledger is ignored.

        Its id stays known until the end of the text's validity."""
        if text in self.entries:
            self._write(RecordKind.OVER, text, {"at": now})

    def _write(
        self, kind: RecordKind, text: bytes, fields: dict, body: bytes = b"", is_required: bool = False
    ) -> bool:
        """Add a record. False where it could not be written: then it is kept in `unwritten`, or dropped if it
        `must` be written at once."""
        encoded = encode_record(kind, text, fields, body)
        if self._needs_compaction(len(encoded)):
            self.compact()
        self.unwritten += encoded
        written = self._flush()
        if not written and is_required:
            self.unwritten = b""  # it was the only record in there
            return False
        self.state.apply(encoded)
        return written

    def _needs_compaction(self, more: int) -> bool:
        """Whether the file, with `more` bytes, and its replacement outgrow this process's part of the disk.

        Half of that is enough where most of the file is not needed any more, so that there is space for the
        ledger of a successor."""
        size, available = self.size + more, self.disk_limit - self.sibling_bytes - BLOCK
        if size + self.state.live_bytes > available:
            return True
        return size + self.state.live_bytes > available // 2 and size > MIN_DEAD_RATIO * self.state.live_bytes

    def _flush(self) -> bool:
        """Write what is in `unwritten`; whether that has worked. A record written in part is cut off."""
        if not self.unwritten:
            return True
        try:
            self._cut_tail()
            with error_context("write", self.path):
                append(self._file, self.unwritten)
        except OSError as error:
            self._torn = True
            with suppress(OSError):  # else it is done before the next write
                self._cut_tail()
            self._write_failed(error)
            return False
        self.size, self.unwritten = self.size + len(self.unwritten), b""
        self._write_succeeded()
        return True

    def retry_write(self) -> bool:
        """Write what has waited since a failure, or else a BLANK record; whether that has worked."""
        if not self.unwritten:
            self.unwritten = encode_record(RecordKind.BLANK, b"", {})
        return self._flush()

    def _write_failed(self, error: OSError) -> None:
        """A call on the state directory has failed."""
        self._failing = True
        self._on_write_result(error)

    def _write_succeeded(self) -> None:
        """A write has succeeded: after a failure, remove adopted files, then report the recovery."""
        if not self._failing:
            return
        self._failing = False
        paths, self._files_to_remove = self._files_to_remove, []
        for path in paths:
            self._remove_adopted(path)
        if not self._failing:
            self._on_write_result(None)

    def _cut_tail(self) -> None:
        """Cut off a record that was written in part. Raises OSError."""
        if self._torn:
            with error_context("ftruncate", self.path):
                os.ftruncate(self._file, self.size)
            self._torn = False

    def compact(self) -> bool:
        """Replace the file by one without the records of finished texts; whether that has worked.

        Where the new file can't be written the old one stays in use."""
        parts = [compacted_records(entry) for entry in self.entries.values()]
        records, new = b"".join([*parts, *records_besides_texts(self.state)]), None
        try:
            with error_context("open", self._new_path):
                new = os.open(self._new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            with error_context("write", self._new_path):
                append(new, records)
            self._put_in_place(new)
        except OSError as error:
            if new is not None:
                close_quietly(new)
                with suppress(OSError):  # else the next compaction truncates it
                    os.remove(self._new_path)
            self._write_failed(error)
            return False
        close_quietly(self._file)
        self._file = new
        self.size = len(records)
        self.unwritten = b""  # the new file has what was in it too
        self._torn = False
        self._write_succeeded()
        return True

    def _put_in_place(self, new: int) -> None:
        """Rename the new file over the old one. Raises OSError where it is not in place afterwards.

        A rename that reports an error may have been done all the same: guards against writing further records
        to the old file, which then is in no directory any more."""
        try:
            with error_context("rename", self.path):
                os.replace(self._new_path, self.path)
        except OSError:
            if not self._is_in_place(new):
                raise

    def _is_in_place(self, new: int) -> bool:
        """Whether the ledger's path leads to the file of this descriptor."""
        try:
            return os.path.samestat(os.stat(self.path), os.fstat(new))
        except OSError:
            return False
