"""Runs a scenario on a stage and writes its record."""

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
    """A finished run: the path of its record, its number of events and its duration.

    `whole`: the run was not interrupted."""

    path: str
    seed: int
    events: int
    seconds: float
    whole: bool


def head_of(
    scenario: Scenario, text: str, stage: str, seed: int, subject: str, allowances: dict[str, int]
) -> rec.Head:
    """The head of a record of this build."""
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
    """Run a scenario on the fleet stage; after an interruption the record holds what happened until then."""
    head = head_of(scenario, text, STAGE, seed, subject, {})
    make_policy: Subject = SUBJECTS[subject]
    started_at, queue, end = time.monotonic(), EventQueue(), duration(scenario)
    with rec.Writer(target, head) as writer:
        is_complete = False
        try:
            fleet = Fleet(scenario, seed, queue, writer.add, make_policy)
            fleet.begin()
            while queue.time < end and not (queue.time >= scenario.scenario.seconds and fleet.over):
                queue.run(min(end, queue.time + STEP))
                progress(min(1.0, queue.time / scenario.scenario.seconds))
            is_complete = True
        finally:
            writer.add(rec.RunEnded(queue.time, is_complete))
    return Played(str(target), seed, writer.count, time.monotonic() - started_at, is_complete)


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
    """Run a scenario on the sockets stage; the logs of the relays are moved to `folder`.

    After an interruption no process is left, and the record holds what happened until then."""
    import uvloop

    from limelatch.lab.stages.sockets import Sockets

    started_at, log_folder = time.monotonic(), Path(folder)
    log_folder.mkdir(parents=True, exist_ok=True)
    head = head_of(scenario, text, real.STAGE, seed, subject, real.ALLOWANCES)
    with tempfile.TemporaryDirectory(prefix="limelatch-lab-") as temporary:
        work, is_complete = Path(temporary), False
        parts = work / "stage.part", work / "load.part"

        async def run() -> None:
            nonlocal is_complete
            with rec.Writer(parts[0], head) as writer:
                stage = Sockets(scenario, seed, writer, work, parts[1], progress, command)
                try:
                    await stage.run()
                    is_complete = True
                finally:
                    writer.add(rec.RunEnded(stage.clock.now(), is_complete))

        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(run())
        finally:
            count = merge_records(target, head, parts)
            for log in work.glob("relay-*.log"):
                shutil.move(log, log_folder / log.name)
    return Played(str(target), seed, count, time.monotonic() - started_at, is_complete)


def merge_records(target: str | Path, head: rec.Head, parts: tuple[Path, ...]) -> int:
    """Merge partial records into one, ordered by time; return its number of events.

    Missing parts are skipped, truncated ones are read as far as possible."""
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
