"""The timeline of a breach: events of clients, partners, signals and faults, with the relays' log lines."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path

from limelatch.configuration.units import write_span
from limelatch.interface import SECOND
from limelatch.lab import record as rec
from limelatch.lab.checker import Breach
from limelatch.lab.record import Answer, Fate

TEXT_ID = re.compile(r"\bt\d+(?:\.\d+)*\b")
LOG_LINE = re.compile(r"(\d+) (.*)")  # the stage's time in units of the interface, then the relay's line
LOG_EVENTS = ("started", "serving", "stopping", "stopped", "taken-over", "configured", "folder-failing")
TIME_BEFORE = SECOND // 2  # before the first event of the texts
TIME_AFTER = SECOND // 2  # after the breach
MAX_LINES = 120  # the last ones


def texts_of(breach: Breach) -> set[str]:
    """The texts that a breach names."""
    return set(TEXT_ID.findall(f"{breach.subject} {breach.message}"))


def timeline(breach: Breach, record: Path, logs: list[Path]) -> list[str]:
    """What happened to the texts of the breach and to their relays, ordered by the stage's time.

    `record` and `logs` are files of the same play."""
    texts = texts_of(breach)
    events = list(rec.Reader(record))
    relays = {each.relay for each in events if isinstance(each, rec.Submitted) and each.text in texts}
    calls = {each.call for each in events if isinstance(each, rec.Called) and concerns_text(each, texts)}
    begin = min((each.at for each in events if concerns_text(each, texts)), default=breach.at) - TIME_BEFORE
    end = breach.at + TIME_AFTER

    def is_relevant(event: rec.AnyEvent) -> bool:
        if isinstance(event, rec.Relay):
            return event.relay in relays
        if isinstance(event, rec.Fault):
            return True
        return concerns_text(event, texts) or getattr(event, "call", None) in calls

    entries = [(each.at, describe(each)) for each in events if begin <= each.at <= end and is_relevant(each)]
    for log in logs:
        if int(log.stem.rpartition("-")[2]) in relays:
            entries += [line for line in log_lines(log, texts) if begin <= line[0] <= end]
    entries.sort(key=lambda line: line[0])
    return [f"{write_span(at)} {description}" for at, description in entries[-MAX_LINES:]]


def concerns_text(event: rec.AnyEvent, texts: set[str]) -> bool:
    """Whether an event is about one of the texts."""
    return getattr(event, "text", None) in texts or bool(texts.intersection(getattr(event, "texts", ())))


def describe(event: rec.AnyEvent) -> str:
    """An event as readable text; its repr if it has no other form."""
    match event:
        case rec.Submitted():
            return (
                f"client submits {event.text} to relay {event.relay}, "
                f"key {event.key}, attempt {event.again + 1}"
            )
        case rec.Answered():
            return f"client of {event.text} gets: {Answer(event.answer).name.lower()}"
        case rec.Called():
            return (
                f"host {event.host}: call {event.call} of relay {event.relay} with {', '.join(event.texts)}"
            )
        case rec.Responded():
            fates = ", ".join(Fate(each).name.lower() for each in event.fates)
            return f"host answers call {event.call}: {fates}, wait {event.wait}"
        case rec.GaveUp():
            return f"call {event.call} is abandoned by its relay"
        case rec.NoticeAnswered():
            return f"platform: {event.text} {'bounced' if event.nacked else 'dead'}, by relay {event.relay}"
        case rec.Relay():
            return f"relay {event.relay}: {event.what}"
        case rec.Fault():
            return f"fault {event.number} {'begins' if event.on else 'ends'} at hosts {event.hosts}"
    return repr(event)


def log_lines(log: Path, texts: set[str]) -> Iterator[tuple[int, str]]:
    """Lines of a relay's log about the texts or about starts and ends of its processes, with their times."""
    for line in log.read_text(encoding="utf-8", errors="replace").splitlines():
        match = LOG_LINE.fullmatch(line)
        if match is None:
            continue
        relay_line = match[2]
        is_of_text = any(f'"text":"{text}"' in relay_line for text in texts)
        if is_of_text or any(f'"event":"{event}"' in relay_line for event in LOG_EVENTS):
            yield int(match[1]), f"{log.stem} logs {relay_line}"
