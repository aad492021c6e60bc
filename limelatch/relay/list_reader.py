"""Incremental parser for the catalog's JSON objects, row by row, whatever their size.

Values are parsed by the json module; this module only finds where an object, its rows and the empty lines
between objects begin and end. An object may be indented, span many lines and be split anywhere."""

from __future__ import annotations

import codecs
import json
import re
from typing import Protocol

MAX_VALUE_LENGTH = 64 * 1024  # characters of one row or of another value
BULK_PARSE_LENGTH = 4096  # from so many buffered characters on, rows are parsed together
MAX_EARLY_ROWS = 4096  # rows that arrive before the object's index
MAX_NAMES = 64  # names in one object
MAX_CUT_LENGTH = 12  # characters of an incomplete literal or escape
VALUE_DELIMITERS = tuple(",:]}")  # no value starts or continues with one of these
WHITESPACE = re.compile(r"[ \t\r\n]*")
DECODER = json.JSONDecoder()


class BadList(Exception):
    """The list can't be parsed; the message gives the reason."""


class ListHandler(Protocol):
    """Receives what a ListReader parses. Each method may raise BadList."""

    def object_started(self, index: int, is_whole_list: bool) -> None:
        """An object's rows follow: the whole list, or the changes up to the index."""

    def row_read(self, raw: object) -> None:
        """One row."""

    def object_finished(self) -> None:
        """The object is complete."""

    def empty_line_read(self) -> None:
        """An empty line between two objects."""


class ListReader:
    """Parses bytes and calls a ListHandler. It can't be used after a BadList."""

    def __init__(self, handler: ListHandler) -> None:
        self._handler, self._decode = handler, codecs.getincrementaldecoder("utf-8")().decode
        self._buffer, self._position = "", 0
        self._read_next = self._read_between_objects
        self._is_line_empty = True  # only white space since the end of the last line
        self._values: dict[str, object] = {}  # names and values of the present object
        self._early_rows: list[object] | None = []  # its rows until index and snapshot are known; then None
        self._after_comma = self._had_rows = False

    @property
    def is_between_objects(self) -> bool:
        """Whether the last object is complete and no other has begun."""
        return self._read_next == self._read_between_objects and not self._buffer[self._position :].strip()

    def feed(self, part: bytes) -> None:
        """Parse as much as is complete with these bytes. Raises BadList."""
        try:
            self._buffer = self._buffer[self._position :] + self._decode(part)
        except UnicodeDecodeError as error:
            raise BadList(f"not UTF-8: {error.reason}") from None
        self._position = 0
        while self._read_next():
            pass
        if len(self._buffer) - self._position > MAX_VALUE_LENGTH:
            raise BadList(f"a value of more than {MAX_VALUE_LENGTH} characters")

    def _skip_whitespace(self) -> str:
        """Skip white space. Returns the next character, empty if it has not arrived."""
        self._position = WHITESPACE.match(self._buffer, self._position).end()
        return self._buffer[self._position : self._position + 1]

    def _read_value(self) -> tuple[object] | None:
        """Parse the value that begins here, in a 1-tuple; None until a later character shows its end."""
        try:
            value, end = DECODER.raw_decode(self._buffer, self._position)
        except json.JSONDecodeError as error:
            left = self._buffer[error.pos :]
            cut = len(left) <= MAX_CUT_LENGTH and not left.startswith(VALUE_DELIMITERS)
            if cut or error.msg.startswith("Unterminated string"):
                return None
            raise BadList(str(error)) from None
        except (ValueError, RecursionError) as error:  # such as 10,000 digits, or 1,000 nested brackets
            raise BadList(str(error)) from None
        if WHITESPACE.match(self._buffer, end).end() == len(self._buffer):
            return None
        self._position = end
        return (value,)

    def _read_between_objects(self) -> bool:
        start, character = self._position, self._skip_whitespace()
        for _ in range(self._buffer.count("\n", start, self._position)):
            if self._is_line_empty:
                self._handler.empty_line_read()
            self._is_line_empty = True
        if character == "{":
            self._position = self._position + 1
            self._values = {}
            self._early_rows = []
            self._read_next = self._read_name
            self._after_comma = self._had_rows = False
            return True
        if character:
            raise BadList(f"not an object: {self._buffer[self._position : self._position + 20]!r}")
        return False

    def _read_name(self) -> bool:
        """Parse a name in the object with its colon and value, or the end of the object."""
        character = self._skip_whitespace()
        if character == "}" and not self._after_comma:
            self._position += 1
            self._finish_object()
            return True
        if character and character != '"':
            raise BadList(f"not a name: {self._buffer[self._position : self._position + 20]!r}")
        start = self._position
        if not character or (name := self._read_value()) is None:
            return False
        if self._skip_whitespace() != ":":
            raise BadList(f"no value for {name[0]!r}")
        after = WHITESPACE.match(self._buffer, self._position + 1).end()
        if after == len(self._buffer):
            self._position = start  # the kind of the value is not known yet
            return False
        self._position = after
        if name[0] == "endpoints" and self._buffer[after] == "[":
            if self._had_rows:
                raise BadList("two lists of rows in one object")
            self._position = after + 1
            self._read_next = self._read_rows
            self._had_rows = True
            self._after_comma = False
            if {"index", "snapshot"} <= self._values.keys():
                self._start_object()
            return True
        if (value := self._read_value()) is None:
            self._position = start
            return False
        self._values[str(name[0])] = value[0]
        if len(self._values) > MAX_NAMES:
            raise BadList(f"more than {MAX_NAMES} names in one object")
        return self._read_separator("}")

    def _read_separator(self, end: str) -> bool:
        """Parse what follows a value: a comma, or the character `end`, which is left unread."""
        character = self._skip_whitespace()
        self._after_comma = character == ","
        if self._after_comma:
            self._position += 1
        elif character != end:
            raise BadList(
                f"neither a comma nor an end: {self._buffer[self._position : self._position + 20]!r}"
            )
        return True

    def _read_rows(self) -> bool:
        use_bulk = self._early_rows is None and len(self._buffer) - self._position > BULK_PARSE_LENGTH
        if use_bulk and (end := self._buffer.rfind("}") + 1) > self._position:
            try:  # parse all complete rows together; on any error they are parsed one by one
                rows = DECODER.decode(f"[{self._buffer[self._position : end]}]")
            except (ValueError, RecursionError):
                rows = []
            if rows and WHITESPACE.match(self._buffer, end).end() < len(self._buffer):
                for row in rows:
                    self._handler.row_read(row)
                self._position = end
                return self._read_separator("]")
        character = self._skip_whitespace()
        if character == "]" and not self._after_comma:
            self._position, self._read_next = self._position + 1, self._read_after_rows
            return True
        if not character or (row := self._read_value()) is None:
            return False
        if self._early_rows is None:
            self._handler.row_read(row[0])
        elif len(self._early_rows) < MAX_EARLY_ROWS:
            self._early_rows.append(row[0])
        else:
            raise BadList(f"{MAX_EARLY_ROWS} rows before any index")
        return self._read_separator("]")

    def _read_after_rows(self) -> bool:
        if not self._skip_whitespace():
            return False
        self._read_next = self._read_name
        return self._read_separator("}")

    def _start_object(self) -> None:
        if "snapshot" not in self._values or not self._had_rows:
            raise BadList("endpoints or snapshot is missing")
        try:
            index = int(self._values["index"])
        except (KeyError, TypeError, ValueError, OverflowError):
            raise BadList(f"no index: {str(self._values.get('index'))[:20]!r}") from None
        self._handler.object_started(index, bool(self._values["snapshot"]))
        early, self._early_rows = self._early_rows, None
        for row in early:
            self._handler.row_read(row)

    def _finish_object(self) -> None:
        if self._early_rows is not None:
            self._start_object()
        self._read_next, self._is_line_empty = self._read_between_objects, False
        self._handler.object_finished()
