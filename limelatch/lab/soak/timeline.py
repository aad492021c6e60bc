"""One timeline of the texts of a breach: clients, partners, signals, faults and the relays' own lines."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path

from limelatch.configuration.units import write_span
from limelatch.interface import SECOND
from limelatch.lab import record as rec
from limelatch.lab.checker import Breach
from limelatch.lab.record import Answer, Fate

TEXT = re.compile(r"\bt\d+(?:\.\d+)*\b")
LOG_LINE = re.compile(r"(\d+) (.*)")  # the stage's time in ticks, then the relay's line
LOG_EVENTS = ("started", "serving", "stopping", "stopped", "taken-over", "configured", "folder-failing")
BEFORE, AFTER = SECOND // 2, SECOND // 2  # of the texts' first event and of the breach
LINES_MOST = 120


def texts_of(breach: Breach) -> set[str]:
    """The texts that a breach names."""
    return set(TEXT.findall(f"{breach.subject} {breach.message}"))


def timeline(breach: Breach, record: Path, logs: list[Path]) -> list[str]:
    """What happened to the breach's texts, and to the relays that had them, by the stage's time."""
    texts = texts_of(breach)
    events = list(rec.Reader(record))
    relays = {each.relay for each in events if isinstance(each, rec.Submitted) and each.text in texts}
    calls = {each.call for each in events if isinstance(each, rec.Called) and named(each, texts)}
    begin = min((each.at for each in events if named(each, texts)), default=breach.at) - BEFORE
    end = breach.at + AFTER

    def concerned(event: rec.AnyEvent) -> bool:
        if isinstance(event, rec.Relay):
            return event.relay in relays
        if isinstance(event, rec.Fault):
            return True
        return named(event, texts) or getattr(event, "call", None) in calls

    kept = [(each.at, words_of(each)) for each in events if begin <= each.at <= end and concerned(each)]
    for log in logs:
        if int(log.stem.rpartition("-")[2]) in relays:
            kept += [line for line in log_lines(log, texts) if begin <= line[0] <= end]
    kept.sort(key=lambda line: line[0])
    return [f"{write_span(at)} {words}" for at, words in kept[-LINES_MOST:]]


def named(event: rec.AnyEvent, texts: set[str]) -> bool:
    """Whether an event is about one of the texts."""
    return getattr(event, "text", None) in texts or bool(texts.intersection(getattr(event, "texts", ())))


def words_of(event: rec.AnyEvent) -> str:
    """An event in words; its own form where it needs none."""
    match event:
        case rec.Submitted():
            return (
                f"client hands {event.text} in at relay {event.relay}, key {event.key}, try {event.again + 1}"
            )
        case rec.Answered():
            return f"client of {event.text}: {Answer(event.answer).name.lower()}"
        case rec.Called():
            return (
                f"host {event.host}: call {event.call} of relay {event.relay} with {', '.join(event.texts)}"
            )
        case rec.Responded():
            fates = ", ".join(Fate(each).name.lower() for each in event.fates)
            return f"host: call {event.call} is answered: {fates}, wait {event.wait}"
        case rec.GaveUp():
            return f"host: call {event.call} is given up by its relay"
        case rec.NoticeAnswered():
            return f"platform: {event.text} {'bounced' if event.nacked else 'dead'}, by relay {event.relay}"
        case rec.Relay():
            return f"relay {event.relay}: {event.what}"
        case rec.Fault():
            return f"fault {event.number} {'begins' if event.on else 'ends'} at hosts {event.hosts}"
    return repr(event)


def log_lines(log: Path, texts: set[str]) -> Iterator[tuple[int, str]]:
    """A relay's lines of the texts, and of its processes' starts and ends."""
    for line in log.read_text(encoding="utf-8", errors="replace").splitlines():
        match = LOG_LINE.fullmatch(line)
        if match is None:
            continue
        words = match[2]
        ours = any(f'"text":"{text}"' in words for text in texts)
        if ours or any(f'"event":"{event}"' in words for event in LOG_EVENTS):
            yield int(match[1]), f"{log.stem} says {words}"
