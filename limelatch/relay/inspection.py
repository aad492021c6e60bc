"""Looks into a ledger without writing to it: of a relay at work, of one that was killed, of a torn file."""

from __future__ import annotations

import os
import time
from collections import Counter
from dataclasses import dataclass, field

from limelatch.relay.ledger import FILE
from limelatch.relay.records import BadRecord, LedgerState, Entry, Kind, read, split

LOOKS, PAUSE = 4, 0.05  # a tail that is being written just now is whole at the next look


class NoLedger(Exception):
    """The folder holds no ledger; it says why."""


@dataclass
class View:
    """What one look at a ledger found; offsets and sizes in bytes."""

    path: str
    size: int
    entries: dict[bytes, Entry]
    records: int
    kinds: Counter[str]
    whole: int  # bytes of whole records from the start
    wrongs: list[tuple[int, bytes, str]] = field(default_factory=list)  # offset, text, what is wrong

    @property
    def torn(self) -> int:
        """Bytes at the end that are no whole record; a relay cuts them at its start."""
        return self.size - self.whole


def look(folder: str) -> View:
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
        view = view_of(path, raw)
        if not view.torn:
            return view
        if not view.records:
            raise NoLedger(f"{path}: no ledger: it does not begin with a whole record")
        time.sleep(PAUSE)
    return view


def view_of(path: str, raw: bytes) -> View:
    """What these bytes of a ledger say."""
    state, kinds, wrongs, at, count = LedgerState(), Counter(), [], 0, 0
    for one in split(raw):
        text = b""
        try:
            kind, text, _ = read(one)
            kinds[Kind(kind).name.lower() if kind in list(Kind) else f"kind {kind}"] += 1
            wrong = state.apply(one)
        except BadRecord as error:
            wrong = f"not of this version: {error}"
        if wrong:
            wrongs.append((at, text, wrong))
        at, count = at + len(one), count + 1
    return View(path, len(raw), state.entries, count, kinds, at, wrongs)


def state_of(entry: Entry) -> str:
    """What a text waits for, in one word."""
    if entry.notice is not None:
        return "ended"
    if entry.in_flight:
        return "out"
    return "held"


def may_have_run(entry: Entry) -> bool:
    """Whether a submit of the text may have had its effect."""
    return entry.in_flight or entry.may_have_run
