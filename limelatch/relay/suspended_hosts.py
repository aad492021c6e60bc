"""The hosts that operators have suspended (SUSPEND), for every process of the relay until RESTORE."""

from __future__ import annotations

import json
import os
from dataclasses import replace

from limelatch.interface import HostEntry, HostId, Listing
from limelatch.logs import log_event, logger
from limelatch.relay.atomic_file import replace_file
from limelatch.relay.ledger import error_context
from limelatch.relay.operator_error import OperatorError

log = logger("door")

SUSPENDED_FILE = "out"  # in the state directory
MAX_SUSPENDED = 4096  # hosts; bounds the file


class SuspendedHosts:
    """The hosts that operators have suspended, with the count of SUSPEND commands; kept in a file.

    Two processes share the state directory during an upgrade, so the file is replaced atomically and never
    written in place. Raises OSError if the file exists and can't be read: guards against texts sent to a
    suspended host."""

    def __init__(self, state_dir: str) -> None:
        self.path = os.path.join(state_dir, SUSPENDED_FILE)
        self._read_at = self._written_at()
        self.counts: dict[HostId, int] = self._read()

    def _read(self) -> dict[HostId, int]:
        try:
            with error_context("read", self.path), open(self.path, "rb") as file:
                raw = file.read(MAX_SUSPENDED * 300)
            stored = json.loads(raw)
            return {
                host.encode(): int(count)
                for host, count in stored.items()
                if isinstance(host, str) and isinstance(count, int) and count > 0
            }
        except FileNotFoundError:
            pass
        except (ValueError, AttributeError) as error:  # corrupt: rewritten by the next command
            log_event(log, "out-not-read", why=error)
        return {}

    def _written_at(self) -> tuple[int, int] | None:
        """The file's inode and modification time, which change with its content; None if there is no file."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return status.st_ino, status.st_mtime_ns

    def refresh(self) -> set[HostId]:
        """Read the changes that the other process of an upgrade has made; returns the hosts that changed.

        If the file can't be read, the known state stays, and the next call tries again."""
        written_at = self._written_at()
        if written_at == self._read_at:
            return set()
        try:
            counts = self._read()
        except OSError:
            return set()
        changed = counts.keys() ^ self.counts.keys()
        self._read_at, self.counts = written_at, counts
        return changed

    def as_listed(self, entry: HostEntry) -> HostEntry:
        """The host's entry for the decision module: a suspended host counts as draining."""
        if entry.host in self.counts and entry.listing is Listing.READY:
            return replace(entry, listing=Listing.DRAINING)
        return entry

    def suspend(self, host: HostId) -> bool:
        """Suspend the host; true if it was not suspended before.

        Raises OperatorError if the change can't be stored."""
        if host not in self.counts and len(self.counts) >= MAX_SUSPENDED:
            raise OperatorError(f"{MAX_SUSPENDED} hosts are out already")
        count = self.counts.get(host, 0) + 1
        self._store(self.counts | {host: count})
        return count == 1

    def restore(self, host: HostId) -> bool:
        """End the suspension, however often it was asked for; true if there was one.

        Raises OperatorError if the change can't be stored."""
        if host not in self.counts:
            return False
        self._store({each: count for each, count in self.counts.items() if each != host})
        return True

    def _store(self, counts: dict[HostId, int]) -> None:
        """Write the file before the change takes effect, so that no restart undoes a confirmed command."""
        stored = {host.decode(): count for host, count in sorted(counts.items())}
        try:
            replace_file(self.path, json.dumps(stored).encode())
        except OSError as error:
            raise OperatorError(f"not done, the folder does not keep it: {error.strerror}") from None
        self._read_at, self.counts = self._written_at(), counts
