"""Reads the catalog's objects as their bytes come, a row at a time, whatever their size.

The values in them are read by the json module; this follows only where the object, its rows and the empty
lines between two objects begin and end. An object may be indented, over many lines and cut anywhere."""

from __future__ import annotations

import codecs
import json
import re
from typing import Protocol

PIECE_MOST = 64 * 1024  # characters of one row, or of one other value
MANY = 4096  # characters of rows that are worth a try in one go
EARLY_MOST = 4096  # rows before the index that says what they are
NAMES_MOST = 64  # in one object
CUT_MOST = 12  # characters of a literal or an escape, of which a part may have come
OUTSIDE = tuple(",:]}")  # none of these begins or goes on with a value
SPACE = re.compile(r"[ \t\r\n]*")
DECODER = json.JSONDecoder()


class BadList(Exception):
    """The list can't be read."""


class Reading(Protocol):
    """Who is told what is read; each call may raise BadList."""

    def began(self, index: int, whole: bool) -> None:
        """An object's rows follow: the whole list, or what has changed up to the index."""

    def row(self, raw: object) -> None:
        """One row."""

    def whole_object(self) -> None:
        """The object has ended."""

    def empty_line(self) -> None:
        """A line with nothing, between two objects."""


class ListReader:
    """Fed with bytes, tells a Reading. BadList ends it: what follows has no meaning."""

    def __init__(self, reading: Reading) -> None:
        self._reading, self._decode = reading, codecs.getincrementaldecoder("utf-8")().decode
        self._text, self._at = "", 0
        self._step = self._between
        self._line_empty = True  # nothing but spaces since the last line's end
        self._known: dict[str, object] = {}  # of the object that is coming
        self._early: list[object] | None = []  # its rows, until it is known what they are; then None
        self._comma_before = self._had_rows = False

    @property
    def between(self) -> bool:
        """Whether the last object is whole and none has begun since."""
        return self._step == self._between and not self._text[self._at :].strip()

    def feed(self, part: bytes) -> None:
        try:
            self._text = self._text[self._at :] + self._decode(part)
        except UnicodeDecodeError as error:
            raise BadList(f"no text: {error.reason}") from None
        self._at = 0
        while self._step():
            pass
        if len(self._text) - self._at > PIECE_MOST:
            raise BadList(f"a value of over {PIECE_MOST} characters")

    def _space(self) -> str:
        """Go over white space; the next character, none if it has not come."""
        self._at = SPACE.match(self._text, self._at).end()
        return self._text[self._at : self._at + 1]

    def _value(self) -> tuple[object] | None:
        """The value that begins here, once something behind it shows that it is whole."""
        try:
            value, end = DECODER.raw_decode(self._text, self._at)
        except json.JSONDecodeError as error:
            left = self._text[error.pos :]
            cut = len(left) <= CUT_MOST and not left.startswith(OUTSIDE)
            if cut or error.msg.startswith("Unterminated string"):
                return None
            raise BadList(str(error)) from None
        except (ValueError, RecursionError) as error:  # a number of ten thousand digits, a thousand brackets
            raise BadList(str(error)) from None
        if SPACE.match(self._text, end).end() == len(self._text):
            return None
        self._at = end
        return (value,)

    def _between(self) -> bool:
        start, found = self._at, self._space()
        for _ in range(self._text.count("\n", start, self._at)):
            if self._line_empty:
                self._reading.empty_line()
            self._line_empty = True
        if found == "{":
            self._at, self._known, self._early, self._step = self._at + 1, {}, [], self._key
            self._comma_before = self._had_rows = False
            return True
        if found:
            raise BadList(f"no object: {self._text[self._at : self._at + 20]!r}")
        return False

    def _key(self) -> bool:
        """A name in the object and its colon, or the object's end."""
        found = self._space()
        if found == "}" and not self._comma_before:
            self._at += 1
            self._whole()
            return True
        if found and found != '"':
            raise BadList(f"no name: {self._text[self._at : self._at + 20]!r}")
        start = self._at
        if not found or (name := self._value()) is None:
            return False
        if self._space() != ":":
            raise BadList(f"no value for {name[0]!r}")
        after = SPACE.match(self._text, self._at + 1).end()
        if after == len(self._text):
            self._at = start  # what kind of value follows is not known yet
            return False
        self._at = after
        if name[0] == "endpoints" and self._text[after] == "[":
            if self._had_rows:
                raise BadList("rows twice in one object")
            self._at, self._step, self._had_rows, self._comma_before = after + 1, self._rows, True, False
            if {"index", "snapshot"} <= self._known.keys():
                self._begin()
            return True
        if (value := self._value()) is None:
            self._at = start
            return False
        self._known[str(name[0])] = value[0]
        if len(self._known) > NAMES_MOST:
            raise BadList(f"over {NAMES_MOST} names in one object")
        return self._comma("}")

    def _comma(self, end: str) -> bool:
        """What follows a value, which has come."""
        found = self._space()
        self._comma_before = found == ","
        if self._comma_before:
            self._at += 1
        elif found != end:
            raise BadList(f"neither a comma nor an end: {self._text[self._at : self._at + 20]!r}")
        return True

    def _rows(self) -> bool:
        many = self._early is None and len(self._text) - self._at > MANY
        if many and (end := self._text.rfind("}") + 1) > self._at:
            try:  # all that are whole, in one go; whatever is not as usual is read one by one
                rows = DECODER.decode(f"[{self._text[self._at : end]}]")
            except (ValueError, RecursionError):
                rows = []
            if rows and SPACE.match(self._text, end).end() < len(self._text):
                for row in rows:
                    self._reading.row(row)
                self._at = end
                return self._comma("]")
        found = self._space()
        if found == "]" and not self._comma_before:
            self._at, self._step = self._at + 1, self._after_rows
            return True
        if not found or (row := self._value()) is None:
            return False
        if self._early is None:
            self._reading.row(row[0])
        elif len(self._early) < EARLY_MOST:
            self._early.append(row[0])
        else:
            raise BadList(f"{EARLY_MOST} rows and no index before them")
        return self._comma("]")

    def _after_rows(self) -> bool:
        if not self._space():
            return False
        self._step = self._key
        return self._comma("}")

    def _begin(self) -> None:
        if "snapshot" not in self._known or not self._had_rows:
            raise BadList("no rows, or not told whether it is the whole list")
        try:
            index = int(self._known["index"])
        except (KeyError, TypeError, ValueError, OverflowError):
            raise BadList(f"no index: {str(self._known.get('index'))[:20]!r}") from None
        self._reading.began(index, bool(self._known["snapshot"]))
        early, self._early = self._early, None
        for row in early:
            self._reading.row(row)

    def _whole(self) -> None:
        if self._early is not None:
            self._begin()
        self._step, self._line_empty = self._between, False
        self._reading.whole_object()
