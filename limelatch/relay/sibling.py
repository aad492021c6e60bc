"""The other process of this relay while there are two, in an upgrade: its ledger, followed, and the lock on
claims of keys.

What follows from it for a key is decided in `limelatch.key_order`.
"""

from __future__ import annotations

import errno
import fcntl
import os
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from limelatch.relay.ledger import NO_LOCKS, Ledger, close_quietly
from limelatch.relay.records import BadRecord, LedgerState, split_records

CLAIMS = "claims"  # the file that is locked; it stays empty
CLAIM_TRIES, CLAIM_PAUSE = 5, 0.0005  # seconds; the sibling holds the lock for one look and one write


class LedgerFollower:
    """Reads what another process adds to its ledger, at any path that it has at the time."""

    def __init__(self) -> None:
        self._path, self._file, self._read, self._state = "", -1, 0, LedgerState()

    def poll(self, path: str) -> LedgerState | None:
        """What the ledger says by now, what it said last where it can't be read; None where there is none."""
        try:
            self._open(path)
            size = os.fstat(self._file).st_size
            if size < self._read:  # emptied in place
                self._read, self._state = 0, LedgerState()
            raw = os.pread(self._file, size - self._read, self._read)
        except FileNotFoundError:
            self.close()
            return None
        except OSError:
            return self._state if self._file >= 0 else None
        for one in split_records(raw):
            self._read += len(one)
            with suppress(BadRecord):  # of another version: it says nothing of keys
                self._state.apply(one)
        return self._state

    def _open(self, path: str) -> None:
        """Open the file that stands at the path now.

        Guards against a file that a compaction has put in its place: the one read so far is kept open, so its
        inode's number can't be given to another file."""
        stands = os.stat(path)
        if self._file >= 0 and path == self._path and os.path.samestat(stands, os.fstat(self._file)):
            return
        file = os.open(path, os.O_RDONLY)
        self.close()
        self._path, self._file = path, file

    @property
    def bytes_needed(self) -> int:
        """Of the disk, by the ledger that is followed: its file, and a new one with what is still open."""
        return self._read + self._state.live_bytes

    def close(self) -> None:
        """Forget the ledger that was followed."""
        if self._file >= 0:
            close_quietly(self._file)
        self._path, self._file, self._read, self._state = "", -1, 0, LedgerState()


class Sibling:
    """The other process, as its ledger tells of it."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger, self._follower = ledger, LedgerFollower()
        self._claims = -1

    @property
    def has_ledger(self) -> bool:
        """Whether another process serves beside this one, or has left texts behind."""
        return os.path.exists(self._ledger.sibling_path)

    def poll(self) -> LedgerState | None:
        """What it holds by now; None where there is no other process."""
        return self._follower.poll(self._ledger.sibling_path)

    @property
    def bytes_needed(self) -> int:
        """Of the disk, by the other process, as it was looked at last."""
        return self._follower.bytes_needed

    @contextmanager
    def claiming(self) -> Iterator[bool]:
        """Keeps the sibling from a claim meanwhile; False where it is at one, or the lock can't be had."""
        held = self._lock()
        try:
            yield held
        finally:
            if held:
                with suppress(OSError):
                    fcntl.flock(self._claims, fcntl.LOCK_UN)

    def _lock(self) -> bool:
        for _ in range(CLAIM_TRIES):
            try:
                if self._claims < 0:
                    path = os.path.join(self._ledger.state_dir, CLAIMS)
                    self._claims = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
                fcntl.flock(self._claims, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return True
            except OSError as error:
                if error.errno in NO_LOCKS:
                    return True  # such a folder has no seat either: no two processes share it
                if error.errno not in (errno.EAGAIN, errno.EACCES, errno.EINTR):
                    return False
            time.sleep(CLAIM_PAUSE)
        return False

    def close(self) -> None:
        """Give back what is open."""
        self._follower.close()
        if self._claims >= 0:
            close_quietly(self._claims)
            self._claims = -1
