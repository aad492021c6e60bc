"""Reads a ledger without writing to it: of a running relay, of a killed one, or a damaged file."""

from __future__ import annotations

import os
import time
from collections import Counter
from dataclasses import dataclass, field

from limelatch.relay.ledger import FILE
from limelatch.relay.records import BadRecord, LedgerState, Entry, RecordKind, decode_record, split_records

READ_TRIES = 4  # a record that is being written is complete at the next read
READ_PAUSE = 0.05  # seconds between two reads


class NoLedger(Exception):
    """There is no ledger in the directory; the message says why."""


@dataclass
class LedgerView:
    """What one read of a ledger found; offsets and sizes in bytes."""

    path: str
    size: int
    entries: dict[bytes, Entry]
    records: int
    kinds: Counter[str]
    whole_bytes: int  # of complete records, from the start of the file
    problems: list[tuple[int, bytes, str]] = field(default_factory=list)  # offset, text id, what is wrong

    @property
    def torn_bytes(self) -> int:
        """Bytes at the end that are no complete record; a relay cuts them off when it starts."""
        return self.size - self.whole_bytes


def inspect_ledger(state_dir: str) -> LedgerView:
    """Read the ledger of a state directory. Raises NoLedger where there is none.

    A running relay may append to it or replace it at any moment: an open file stays the same one, and the
    file is read again where its last record is incomplete, since that may be just being written."""
    path = os.path.join(state_dir, FILE)
    for attempt in range(READ_TRIES):
        try:
            with open(path, "rb") as file:
                raw = file.read()
        except NotADirectoryError:
            raise NoLedger(f"{state_dir}: not a directory") from None
        except FileNotFoundError:
            if attempt and attempt < READ_TRIES - 1:
                continue
            what = "no ledger in this directory" if os.path.isdir(state_dir) else "no such directory"
            raise NoLedger(f"{state_dir}: {what}") from None
        except OSError as error:
            raise NoLedger(f"{path}: {error.strerror}") from None
        view = view_of_bytes(path, raw)
        if not view.torn_bytes:
            return view
        if not view.records:
            raise NoLedger(f"{path}: no ledger: it does not begin with a complete record")
        time.sleep(READ_PAUSE)
    return view


def view_of_bytes(path: str, raw: bytes) -> LedgerView:
    """What these bytes of a ledger contain."""
    state, kinds, problems, offset, record_count = LedgerState(), Counter(), [], 0, 0
    for encoded in split_records(raw):
        text = b""
        try:
            kind, text, _ = decode_record(encoded)
            kinds[RecordKind(kind).name.lower() if kind in list(RecordKind) else f"kind {kind}"] += 1
            problem = state.apply(encoded)
        except BadRecord as error:
            problem = f"not of this version: {error}"
        if problem:
            problems.append((offset, text, problem))
        offset, record_count = offset + len(encoded), record_count + 1
    return LedgerView(path, len(raw), state.entries, record_count, kinds, offset, problems)


def text_state(entry: Entry) -> str:
    """A text's state in one word: ended (it has its final answer), out (a submit is in flight) or held."""
    if entry.notice is not None:
        return "ended"
    if entry.in_flight:
        return "out"
    return "held"


def may_have_run(entry: Entry) -> bool:
    """Whether a submit of the text may have run at a host."""
    return entry.in_flight or entry.may_have_run
