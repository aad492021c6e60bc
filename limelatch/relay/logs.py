"""Log lines as key=value pairs, through the logging module."""

from __future__ import annotations

import json
import logging
import sys
import time

from limelatch.interface import SECOND
from twisted.logger import STDLibLogObserver, globalLogBeginner


class PairsFormatter(logging.Formatter):
    """`time=... level=info part=hosts event="..."` and the line's own pairs."""

    def format(self, record: logging.LogRecord) -> str:
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs = {"time": f"{stamp}.{int(record.msecs):03d}Z", "level": record.levelname.lower(),
                 "part": record.name.rpartition(".")[2], "event": record.getMessage()}
        pairs.update(getattr(record, "pairs", {}))
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={self.value(each)}" for name, each in pairs.items())

    @staticmethod
    def value(each: object) -> str:
        word = each.decode(errors="replace") if isinstance(each, bytes) else str(each)
        plain = word.isprintable() and word and not any(sign in word for sign in ' ="\\')
        return word if plain else json.dumps(word)


def say(log: logging.Logger, event: str, level: int = logging.INFO, **pairs: object) -> None:
    """One line: an event and its pairs."""
    log.log(level, event, extra={"pairs": pairs})


class HeldDown:
    """Warnings that anybody outside can cause: so many a second of one event, and how many were left out."""

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
            say(self.log, event, logging.WARNING, **pairs)


def start(level: str) -> None:
    """Log to standard error from now on."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(PairsFormatter())
    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
    logging.getLogger("twisted").setLevel(logging.WARNING)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
