"""Log lines on standard error through the logging module, as key=value pairs (logfmt) or JSON.

A line's event is one of `limelatch.events`. logfmter writes pairs, msgspec JSON.
"""

from __future__ import annotations

import logging
import sys
from datetime import UTC, datetime

import msgspec
from logfmter import Logfmter

from limelatch.configuration.model import Log, LogForm
from limelatch.events import EVENTS, PARTS
from limelatch.interface import SECOND

ROOT = "limelatch"
LOGGERS = {part: part if part == "twisted" else f"{ROOT}.{part}" for part in PARTS}


def logger(part: str) -> logging.Logger:
    """The logger of a part."""
    return logging.getLogger(LOGGERS[part])


def plain(value: object) -> object:
    """A value as both forms write it: numbers and truth values stay, all else is a word."""
    if isinstance(value, (int, float)) or value is None:
        return value
    word = value.decode(errors="replace") if isinstance(value, bytes) else str(value)
    return word.encode(errors="replace").decode()  # what a peer sent may hold what no encoding can write


def pairs_of(record: logging.LogRecord, trace: str) -> dict[str, object]:
    """A line's pairs, in their order."""
    stamp = datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")
    pairs = {
        "time": stamp.replace("+00:00", "Z"),
        "level": record.levelname.lower(),
        "part": record.name.rpartition(".")[2],
    }
    if hasattr(record, "pairs"):
        pairs["event"] = record.msg
        pairs |= {name: plain(value) for name, value in record.pairs.items() if value is not None}
    else:
        pairs |= {"event": "note", "text": plain(record.getMessage())}
    return pairs | ({"trace": plain(trace)} if trace else {})


class Lines(logging.Formatter):
    """`time=... level=info part=driver event=started` and the event's own fields."""

    def format(self, record: logging.LogRecord) -> str:
        trace = self.formatException(record.exc_info) if record.exc_info else ""
        return self.write(pairs_of(record, trace))

    @staticmethod
    def write(pairs: dict[str, object]) -> str:
        return Logfmter.format_params(pairs)


class JsonLines(Lines):
    """The same as one JSON object a line."""

    @staticmethod
    def write(pairs: dict[str, object]) -> str:
        return msgspec.json.encode(pairs).decode()


FORMS = {LogForm.PAIRS: Lines, LogForm.JSON: JsonLines}


def log_event(log: logging.Logger, event: str, *, trace: bool = False, **pairs: object) -> None:
    """One line: an event of the list, at its level, and its fields; `trace` adds the exception at hand."""
    level = EVENTS[event].level
    if log.isEnabledFor(level):
        log.log(level, event, extra={"pairs": pairs}, exc_info=trace)


class LimitedLog:
    """Events that anybody outside can cause: so many a second of each, and how many were left out."""

    def __init__(self, log: logging.Logger, clock, most: int = 5) -> None:
        self.log, self.clock, self.most = log, clock, most
        self._since: dict[str, int] = {}
        self._count: dict[str, int] = {}

    def __call__(self, event: str, **pairs: object) -> None:
        now, count = self.clock.now(), self._count.get(event, 0) + 1
        if now - self._since.get(event, 0) >= SECOND:
            left_out = {"left_out": count - 1 - self.most} if count - 1 > self.most else {}
            self._since[event], count, pairs = now, 1, pairs | left_out
        self._count[event] = count
        if count <= self.most:
            log_event(self.log, event, **pairs)


def start(log: Log) -> None:
    """Log to standard error from now on, as the configuration says; a further call takes a new one."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(FORMS[log.form]())
    logging.basicConfig(level=log.level.value.upper(), handlers=[handler], force=True)
    for part, name in LOGGERS.items():
        level = log.parts[part].value.upper() if part in log.parts else logging.NOTSET
        logging.getLogger(name).setLevel(level)
    if "twisted" not in log.parts:
        logging.getLogger("twisted").setLevel(logging.WARNING)


def take_twisteds() -> None:
    """Lead Twisted's own log here; once a process."""
    from twisted.logger import STDLibLogObserver, globalLogBeginner

    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
