"""Plays a scenario on a stage and writes its record."""

from __future__ import annotations

import asyncio
import heapq
import os
import shutil
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from limelatch import __version__
from limelatch.lab import record as rec
from limelatch.lab.scenario.model import Scenario
from limelatch.lab.stages import real
from limelatch.lab.stages.fleet import STAGE, STEP, Fleet, Subject, duration
from limelatch.lab.subjects import SUBJECTS
from limelatch.lab.world.clock import EventQueue

Progress = Callable[[float], None]


@dataclass(frozen=True)
class Played:
    """A run that is over: its record, and what it took."""

    path: str
    seed: int
    events: int
    seconds: float
    whole: bool


def head_of(
    scenario: Scenario, text: str, stage: str, seed: int, subject: str, allowances: dict[str, int]
) -> rec.Head:
    return rec.Head(
        rec.VERSION, stage, seed, msgspec.to_builtins(scenario), text, __version__, allowances, subject
    )


def play_fleet(
    scenario: Scenario,
    text: str,
    seed: int,
    target: str | Path,
    subject: str = "module",
    progress: Progress = lambda part: None,
) -> Played:
    """Play it on the fleet stage; interrupted, the record holds what has been played."""
    head = head_of(scenario, text, STAGE, seed, subject, {})
    made: Subject = SUBJECTS[subject]
    began, queue, end = time.monotonic(), EventQueue(), duration(scenario)
    with rec.Writer(target, head) as writer:
        whole = False
        try:
            fleet = Fleet(scenario, seed, queue, writer.add, made)
            fleet.begin()
            while queue.time < end and not (queue.time >= scenario.scenario.seconds and fleet.over):
                queue.run(min(end, queue.time + STEP))
                progress(min(1.0, queue.time / scenario.scenario.seconds))
            whole = True
        finally:
            writer.add(rec.RunEnded(queue.time, whole))
    return Played(str(target), seed, writer.count, time.monotonic() - began, whole)


def play_sockets(
    scenario: Scenario,
    text: str,
    seed: int,
    target: str | Path,
    folder: str | Path,
    progress: Progress = lambda part: None,
    command: list[str] | None = None,
    subject: str = "program",
) -> Played:
    """Play it on the sockets stage; relays' logs and configurations go to `folder`.

    Interrupted, no process is left, and the record holds what has been played."""
    import uvloop

    from limelatch.lab.stages.sockets import Sockets

    began, place = time.monotonic(), Path(folder)
    place.mkdir(parents=True, exist_ok=True)
    head = head_of(scenario, text, real.STAGE, seed, subject, real.ALLOWANCES)
    with tempfile.TemporaryDirectory(prefix="limelatch-lab-") as temporary:
        work, whole = Path(temporary), False
        parts = work / "stage.part", work / "load.part"

        async def run() -> None:
            nonlocal whole
            with rec.Writer(parts[0], head) as writer:
                stage = Sockets(scenario, seed, writer, work, parts[1], progress, command)
                try:
                    await stage.run()
                    whole = True
                finally:
                    writer.add(rec.RunEnded(stage.clock.now(), whole))

        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(run())
        finally:
            count = merge(target, head, parts)
            for log in work.glob("relay-*.log"):
                shutil.move(log, place / log.name)
    return Played(str(target), seed, count, time.monotonic() - began, whole)


def merge(target: str | Path, head: rec.Head, parts: tuple[Path, ...]) -> int:
    """One record of several parts, by time; parts that are missing or torn give what they have."""
    readers = [rec.Reader(part) for part in parts if part.exists() and os.path.getsize(part)]
    ends, count = [], 0
    with rec.Writer(target, head) as writer:
        for event in heapq.merge(*readers, key=lambda each: each.at):
            if isinstance(event, rec.RunEnded):
                ends.append(event)
            else:
                writer.add(event)
                count += 1
        writer.add(
            rec.RunEnded(
                max((each.at for each in ends), default=0), bool(ends) and all(each.whole for each in ends)
            )
        )
    return count
