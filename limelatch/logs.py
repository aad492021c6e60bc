"""Logs events to standard error through the logging module, as key=value pairs (logfmt) or JSON.

The events are listed in `limelatch.events`. logfmter formats pairs, msgspec JSON.
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

ROOT = "limelatch"  # the parent of all loggers except that of Twisted
LOGGERS = {part: part if part == "twisted" else f"{ROOT}.{part}" for part in PARTS}


def logger(part: str) -> logging.Logger:
    """Return the logger of a part of the relay."""
    return logging.getLogger(LOGGERS[part])


def loggable(value: object) -> object:
    """Convert a value for output: numbers, booleans and None are kept, all else becomes a string."""
    if isinstance(value, (int, float)) or value is None:
        return value
    text = value.decode(errors="replace") if isinstance(value, bytes) else str(value)
    return text.encode(errors="replace").decode()  # peers can send characters that can't be encoded


def line_fields(record: logging.LogRecord, trace: str) -> dict[str, object]:
    """Return the fields of a log line in their order; a library's line becomes a `note` event."""
    timestamp = datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")
    fields = {
        "time": timestamp.replace("+00:00", "Z"),
        "level": record.levelname.lower(),
        "part": record.name.rpartition(".")[2],
    }
    if hasattr(record, "pairs"):
        fields["event"] = record.msg
        fields |= {name: loggable(value) for name, value in record.pairs.items() if value is not None}
    else:
        fields |= {"event": "note", "text": loggable(record.getMessage())}
    return fields | ({"trace": loggable(trace)} if trace else {})


class PairsFormatter(logging.Formatter):
    """Formats `time=... level=info part=driver event=started` and the event's own fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Format one record, with the traceback of its exception if it has one."""
        trace = self.formatException(record.exc_info) if record.exc_info else ""
        return self.encode(line_fields(record, trace))

    @staticmethod
    def encode(fields: dict[str, object]) -> str:
        """Encode the fields of a line."""
        return Logfmter.format_params(fields)


class JsonFormatter(PairsFormatter):
    """Formats the same fields as one JSON object a line."""

    @staticmethod
    def encode(fields: dict[str, object]) -> str:
        """Encode the fields of a line."""
        return msgspec.json.encode(fields).decode()


FORMATTERS = {LogForm.PAIRS: PairsFormatter, LogForm.JSON: JsonFormatter}


def log_event(log: logging.Logger, event: str, *, trace: bool = False, **fields: object) -> None:
    """Log an event of `limelatch.events` at its level; `trace` adds the current exception's traceback."""
    level = EVENTS[event].level
    if log.isEnabledFor(level):
        log.log(level, event, extra={"pairs": fields}, exc_info=trace)


class LimitedLog:
    """Limits the rate of events that outsiders can cause: at most `max_per_second` lines of each event, or of
    each of its reasons for the events in `by_reason`, whose reasons are a few fixed words.

    The next second's first line says in `left_out` how many were suppressed. `clock.now()` is in tenths of a
    millisecond.
    """

    def __init__(
        self, log: logging.Logger, clock, max_per_second: int = 5, by_reason: tuple[str, ...] = ()
    ) -> None:
        self.log, self.clock, self.max_per_second, self.by_reason = log, clock, max_per_second, by_reason
        self._second_started_at: dict[tuple[str, object], int] = {}  # by event and reason
        self._count: dict[tuple[str, object], int] = {}  # of each of them since then

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event, or only count it if there were too many in this second."""
        key = (event, fields.get("why") if event in self.by_reason else None)
        now, count = self.clock.now(), self._count.get(key, 0) + 1
        if now - self._second_started_at.get(key, 0) >= SECOND:
            left_out = (
                {"left_out": count - 1 - self.max_per_second} if count - 1 > self.max_per_second else {}
            )
            self._second_started_at[key], count, fields = now, 1, fields | left_out
        self._count[key] = count
        if count <= self.max_per_second:
            log_event(self.log, event, **fields)


def start(log: Log) -> None:
    """Log to standard error as configured; a further call applies a new configuration."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(FORMATTERS[log.form]())
    logging.basicConfig(level=log.level.value.upper(), handlers=[handler], force=True)
    for part, name in LOGGERS.items():
        level = log.parts[part].value.upper() if part in log.parts else logging.NOTSET
        logging.getLogger(name).setLevel(level)
    if "twisted" not in log.parts:
        logging.getLogger("twisted").setLevel(logging.WARNING)


def redirect_twisted_log() -> None:
    """Send Twisted's own log lines to the logging module; call this once in a process."""
    from twisted.logger import STDLibLogObserver, globalLogBeginner

    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
