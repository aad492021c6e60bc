"""The other process of this relay during an upgrade: reads its ledger, and locks claims of ordering keys.

What follows for a key is decided in `limelatch.key_order`.
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

CLAIMS_FILE = "claims"  # the lock file in the state directory; it stays empty
CLAIM_TRIES = 5
CLAIM_PAUSE = 0.0005  # seconds between tries; the sibling holds the lock for one read and one write


class LedgerFollower:
    """Reads what another process appends to its ledger, also across compactions and a change of its path."""

    def __init__(self) -> None:
        self._path, self._file, self._offset, self._state = "", -1, 0, LedgerState()

    def poll(self, path: str) -> LedgerState | None:
        """The ledger's state by now; as last read where it can't be read; None where there is none."""
        try:
            self._open(path)
            size = os.fstat(self._file).st_size
            if size < self._offset:  # truncated in place
                self._offset, self._state = 0, LedgerState()
            raw = os.pread(self._file, size - self._offset, self._offset)
        except FileNotFoundError:
            self.close()
            return None
        except OSError:
            return self._state if self._file >= 0 else None
        for encoded in split_records(raw):
            self._offset += len(encoded)
            with suppress(BadRecord):  # of another version: skipped, since it says nothing of keys
                self._state.apply(encoded)
        return self._state

    def _open(self, path: str) -> None:
        """Open the file that is at the path now, unless it is the one that is open. Raises OSError.

        A compaction replaces the file. The one read so far stays open: guards against a new file that gets
        the same inode number and would pass for the old one."""
        current = os.stat(path)
        if self._file >= 0 and path == self._path and os.path.samestat(current, os.fstat(self._file)):
            return
        file = os.open(path, os.O_RDONLY)
        self.close()
        self._path, self._file = path, file

    @property
    def bytes_needed(self) -> int:
        """Disk space of the ledger that is followed: its file, and a compacted one."""
        return self._offset + self._state.live_bytes

    def close(self) -> None:
        """Close the file and drop what was read."""
        if self._file >= 0:
            close_quietly(self._file)
        self._path, self._file, self._offset, self._state = "", -1, 0, LedgerState()


class Sibling:
    """The other process, as its ledger describes it."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger, self._follower = ledger, LedgerFollower()
        self._claims_file = -1

    @property
    def has_ledger(self) -> bool:
        """Whether there is another process, or a ledger that one has left."""
        return os.path.exists(self._ledger.sibling_path)

    def poll(self) -> LedgerState | None:
        """The state of its ledger by now; None where there is no other process."""
        return self._follower.poll(self._ledger.sibling_path)

    @property
    def bytes_needed(self) -> int:
        """Disk space of the other process's ledger, as of the last poll."""
        return self._follower.bytes_needed

    @contextmanager
    def claiming(self) -> Iterator[bool]:
        """Locks out claims of the sibling for the time of the block; False where the lock can't be had."""
        is_locked = self._lock()
        try:
            yield is_locked
        finally:
            if is_locked:
                with suppress(OSError):
                    fcntl.flock(self._claims_file, fcntl.LOCK_UN)

    def _lock(self) -> bool:
        """Lock the claims file, with a few tries while the sibling has it locked; whether that has worked."""
        for _ in range(CLAIM_TRIES):
            try:
                if self._claims_file < 0:
                    path = os.path.join(self._ledger.state_dir, CLAIMS_FILE)
                    self._claims_file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
                fcntl.flock(self._claims_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return True
            except OSError as error:
                if error.errno in NO_LOCKS:
                    return True  # without locks there is no standby directory, so no other process
                if error.errno not in (errno.EAGAIN, errno.EACCES, errno.EINTR):
                    return False
            time.sleep(CLAIM_PAUSE)
        return False

    def close(self) -> None:
        """Close what is open."""
        self._follower.close()
        if self._claims_file >= 0:
            close_quietly(self._claims_file)
            self._claims_file = -1
