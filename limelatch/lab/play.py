"""Plays a scenario on a stage and writes its record."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from limelatch import __version__
from limelatch.lab import record as rec
from limelatch.lab.scenario.model import Scenario
from limelatch.lab.stages.fleet import STAGE, STEP, Fleet, Subject, duration
from limelatch.lab.subjects import SUBJECTS
from limelatch.lab.world.clock import Queue

Progress = Callable[[float], None]


@dataclass(frozen=True)
class Played:
    """A run that is over: its record, and what it took."""

    path: str
    seed: int
    events: int
    seconds: float
    whole: bool


def head_of(scenario: Scenario, text: str, stage: str, seed: int, subject: str,
            allowances: dict[str, int]) -> rec.Head:
    return rec.Head(rec.VERSION, stage, seed, msgspec.to_builtins(scenario), text, __version__, allowances,
                    subject)


def play_fleet(scenario: Scenario, text: str, seed: int, target: str | Path, subject: str = "module",
               progress: Progress = lambda part: None) -> Played:
    """Play it on the fleet stage; interrupted, the record holds what has been played."""
    head = head_of(scenario, text, STAGE, seed, subject, {})
    made: Subject = SUBJECTS[subject]
    began, queue, end = time.monotonic(), Queue(), duration(scenario)
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
            writer.add(rec.Over(queue.time, whole))
    return Played(str(target), seed, writer.count, time.monotonic() - began, whole)
