"""The lasting folder: what became of each text that was taken on, so that a restarted relay still owes it.

One file of records, each with its length and checksum. Written bytes outlast the process without a sync. When
the file has grown, the records of texts that are over are left out of a new file, which then takes its place.
"""

from __future__ import annotations

import json
import os
import struct
import zlib
from dataclasses import dataclass

HEAD = struct.Struct(">II")  # length and checksum of what follows
NAMES = struct.Struct(">BH")  # kind of record and length of its pairs; a body follows these
TAKEN, GOING, ENDED, OWED, OVER, STATE = range(1, 7)
BLOCK = 512  # files count in whole blocks
LIVE_SHARE = 0.4  # of the disk, for records of texts that are not over; the rest: growth, the new file
MEMORY_SHARE = 0.1  # of the memory, for the same records, which are kept there too
LATER = 384  # kept free for a text's state and its notice, which are all that a new file holds beside it


@dataclass
class Entry:
    """One text that is not over, as the ledger tells it."""

    id: bytes
    pairs: dict
    submits: int = 0
    out: bool = False  # a submit has gone out and not ended
    ran: bool = False  # one that has ended may have run
    ran_at: int | None = None  # when and where the first went that may have run
    ran_zone: int | None = None
    notice: dict | None = None
    taken: bytes = b""  # its first record

    @property
    def body(self) -> bytes:
        taken = self.taken
        return taken[HEAD.size + NAMES.size + NAMES.unpack_from(taken, HEAD.size)[1]:]


class Ledger:
    def __init__(self, folder: str, disk_bytes: int, memory_bytes: int) -> None:
        self.path, self._new = os.path.join(folder, "ledger"), os.path.join(folder, "ledger.new")
        self.disk = disk_bytes // BLOCK * BLOCK - 2 * BLOCK
        self.live_most = min(self.disk * LIVE_SHARE, memory_bytes * MEMORY_SHARE)
        self.entries: dict[bytes, Entry] = {}
        self.live, self.size, self.cut = 0, 0, 0
        if os.path.exists(self._new):
            os.remove(self._new)  # a compaction that the end of the process cut short
        self._file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self._replay()

    def _replay(self) -> None:
        with open(self.path, "rb") as file:
            raw = file.read()
        at = 0
        while at + HEAD.size <= len(raw):
            length, checksum = HEAD.unpack_from(raw, at)
            payload = raw[at + HEAD.size:at + HEAD.size + length]
            if len(payload) < max(length, NAMES.size) or zlib.crc32(payload) != checksum:
                break
            self._apply(raw[at:at + HEAD.size + length])
            at += HEAD.size + length
        self.cut = len(raw) - at
        if self.cut:  # a record that the end of the process tore, and whatever follows it
            os.ftruncate(self._file, at)
        self.size = at

    def _apply(self, record: bytes) -> None:
        kind, length = NAMES.unpack_from(record, HEAD.size)
        at = HEAD.size + NAMES.size
        pairs = json.loads(record[at:at + length])
        text = pairs["id"].encode()
        if kind == TAKEN:
            self.entries[text] = Entry(text, pairs, taken=record)
            self.live += len(record) + LATER
        entry = self.entries.get(text)
        if entry is None:
            return
        if kind == GOING:
            entry.submits, entry.out = entry.submits + 1, True
            if entry.ran_at is None:
                entry.ran_at, entry.ran_zone = pairs["at"], pairs["zone"]
        elif kind == ENDED:
            entry.out, entry.ran = False, entry.ran or pairs["ran"]
            if not entry.ran:
                entry.ran_at = entry.ran_zone = None
        elif kind == STATE:
            entry.submits, entry.out, entry.ran = pairs["submits"], pairs["out"], pairs["ran"]
            entry.ran_at, entry.ran_zone = pairs["at"], pairs["zone"]
        elif kind == OWED:
            entry.out, entry.notice = False, pairs["notice"]
        elif kind == OVER:
            self.live -= len(entry.taken) + LATER
            del self.entries[text]

    def has_room(self, body: int) -> bool:
        """Whether one more text fits, with all that will be written of it and of the others."""
        return self.live + body + 2 * LATER <= self.live_most

    def taken(self, text: bytes, body: bytes, **pairs: object) -> None:
        self._write(TAKEN, text, pairs, body)

    def going(self, text: bytes, at: int, zone: int) -> None:
        """A submit is about to go out; written before the call's last byte."""
        self._write(GOING, text, {"at": at, "zone": zone})

    def ended(self, text: bytes, ran: bool) -> None:
        """The submit has ended; `ran` unless it is proved never to have run."""
        self._write(ENDED, text, {"ran": ran})

    def owed(self, text: bytes, notice: dict) -> None:
        self._write(OWED, text, {"notice": notice})

    def over(self, text: bytes) -> None:
        if text in self.entries:
            self._write(OVER, text, {})

    def _write(self, kind: int, text: bytes, pairs: dict, body: bytes = b"") -> None:
        record = self._record(kind, text, pairs, body)
        if self.size + len(record) + self.live > self.disk - BLOCK:
            self.compact()
        os.write(self._file, record)
        self.size += len(record)
        self._apply(record)

    @staticmethod
    def _record(kind: int, text: bytes, pairs: dict, body: bytes = b"") -> bytes:
        words = json.dumps({"id": text.decode()} | pairs, separators=(",", ":")).encode()
        payload = NAMES.pack(kind, len(words)) + words + body
        return HEAD.pack(len(payload), zlib.crc32(payload)) + payload

    def _kept(self, entry: Entry) -> bytes:
        """What still matters of a text: as it was taken, its state in one record, the notice it is owed."""
        state = {"submits": entry.submits, "out": entry.out, "ran": entry.ran, "at": entry.ran_at,
                 "zone": entry.ran_zone}
        return (entry.taken + (self._record(STATE, entry.id, state) if entry.submits else b"")
                + (self._record(OWED, entry.id, {"notice": entry.notice}) if entry.notice else b""))

    def compact(self) -> None:
        """Write what still matters to a new file, in the order of the texts; put it in place."""
        records = b"".join(self._kept(entry) for entry in self.entries.values())
        new = os.open(self._new, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        os.write(new, records)
        os.replace(self._new, self.path)
        os.close(self._file)
        self._file, self.size = new, len(records)
