"""Looks into a ledger without writing to it: of a relay at work, of one that was killed, of a torn file."""

from __future__ import annotations

import os
import time
from collections import Counter
from dataclasses import dataclass, field

from limelatch.relay.ledger import FILE
from limelatch.relay.records import BadRecord, LedgerState, Entry, RecordKind, decode_record, split_records

LOOKS, PAUSE = 4, 0.05  # a tail that is being written just now is whole at the next look


class NoLedger(Exception):
    """The folder holds no ledger; it says why."""


@dataclass
class LedgerView:
    """What one look at a ledger found; offsets and sizes in bytes."""

    path: str
    size: int
    entries: dict[bytes, Entry]
    records: int
    kinds: Counter[str]
    whole_bytes: int  # bytes of whole records from the start
    problems: list[tuple[int, bytes, str]] = field(default_factory=list)  # offset, text, what is wrong

    @property
    def torn_bytes(self) -> int:
        """Bytes at the end that are no whole record; a relay cuts them at its start."""
        return self.size - self.whole_bytes


def inspect_ledger(folder: str) -> LedgerView:
    """The ledger of a folder as it stands; NoLedger where there is none.

    A relay may write to it, or put a new file in its place, at any moment: the open file stays the same one,
    and a torn tail is looked at again, since it may be a record on its way."""
    path = os.path.join(folder, FILE)
    for again in range(LOOKS):
        try:
            with open(path, "rb") as file:
                raw = file.read()
        except NotADirectoryError:
            raise NoLedger(f"{folder}: a folder is wanted") from None
        except FileNotFoundError:
            if again and again < LOOKS - 1:
                continue
            what = "no ledger in this folder" if os.path.isdir(folder) else "no such folder"
            raise NoLedger(f"{folder}: {what}") from None
        except OSError as error:
            raise NoLedger(f"{path}: {error.strerror}") from None
        view = view_of_bytes(path, raw)
        if not view.torn_bytes:
            return view
        if not view.records:
            raise NoLedger(f"{path}: no ledger: it does not begin with a whole record")
        time.sleep(PAUSE)
    return view


def view_of_bytes(path: str, raw: bytes) -> LedgerView:
    """What these bytes of a ledger say."""
    state, kinds, problems, at, count = LedgerState(), Counter(), [], 0, 0
    for one in split_records(raw):
        text = b""
        try:
            kind, text, _ = decode_record(one)
            kinds[RecordKind(kind).name.lower() if kind in list(RecordKind) else f"kind {kind}"] += 1
            problem = state.apply(one)
        except BadRecord as error:
            problem = f"not of this version: {error}"
        if problem:
            problems.append((at, text, problem))
        at, count = at + len(one), count + 1
    return LedgerView(path, len(raw), state.entries, count, kinds, at, problems)


def text_state(entry: Entry) -> str:
    """What a text waits for, in one word."""
    if entry.notice is not None:
        return "ended"
    if entry.in_flight:
        return "out"
    return "held"


def may_have_run(entry: Entry) -> bool:
    """Whether a submit of the text may have had its effect."""
    return entry.in_flight or entry.may_have_run
