"""Plays the plan of a seed and checks it from outside: by the record, exit codes and logs of the relays."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec

from limelatch.lab import record as rec
from limelatch.lab.checker import Checker
from limelatch.lab.figures import LATE_MOST
from limelatch.lab.machine.faults import build
from limelatch.lab.play import head_of, merge_records
from limelatch.lab.soak.plan import draw_plan
from limelatch.lab.soak.stage import SoakStage
from limelatch.lab.soak.timeline import timeline
from limelatch.lab.stages import real

HERE = Path(__file__).resolve().parents[3]  # this checkout
RECORD = "soak.record"
ERROR_MARKS = ('"event":"fault"', '"event":"not-started"', "Traceback", "Unhandled", "connection-not-served")
MAX_TIMELINES = 5  # breaches of one seed that are reported with a timeline
MAX_LOG_LINES = 5  # error lines of one relay's log that are reported


class Problem(msgspec.Struct, frozen=True):
    """One problem: the broken rule or `process`, and the lines that report it, with a timeline for a rule."""

    rule: str
    lines: list[str]


class Verdict(msgspec.Struct, frozen=True):
    """The result of one seed. `late_ms`: 99th percentile of the delay of the stage's own timers."""

    seed: int
    texts: int
    calls: int
    faults: dict[str, int]
    breaches: dict[str, int]
    found: list[Problem]
    late_ms: float
    seconds: float

    @property
    def kept(self) -> bool:
        """Whether no problem was found."""
        return not self.found


def play_seed(seed: int, seconds: float, folder: Path, subject: Path | None = None) -> Verdict:
    """Play the seed's plan with the relays of the checkout `subject`, or of this checkout.

    The record and the relays' logs are written to the folder. After an interruption no process is left, and
    the folder holds what was recorded until then. Raises NoCompiler if the plan has machine faults and there
    is no C compiler."""
    import uvloop

    plan, started_at = draw_plan(seed, seconds), time.monotonic()
    folder.mkdir(parents=True, exist_ok=True)
    head = head_of(plan.scenario, "", real.STAGE, seed, "program", real.ALLOWANCES)
    problems: list[str] = []
    with tempfile.TemporaryDirectory(prefix="limelatch-soak-") as temporary:
        work = Path(temporary)
        parts = work / "stage.part", work / "load.part"

        library = build(work) if plan.machine_faults else None

        async def run() -> None:
            is_complete = False
            with rec.Writer(parts[0], head) as writer:
                stage = SoakStage(plan, library, subject or HERE, writer, work, parts[1], lambda part: None)
                try:
                    await stage.run()
                    is_complete = True
                finally:
                    problems.extend(stage.problems)
                    writer.add(rec.RunEnded(stage.clock.now(), is_complete))

        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(run())
        finally:
            merge_records(folder / RECORD, head, parts)
            for log in work.glob("relay-*.log"):
                shutil.move(log, folder / log.name)
    return evaluate(plan, folder, problems, time.monotonic() - started_at)


def evaluate(plan, folder: Path, problems: list[str], seconds: float) -> Verdict:
    """The verdict on a play whose record and logs are in the folder; `problems`: those of its processes."""
    counts, late = {"handed": 0, "called": 0}, []

    def count_events(events) -> Iterator[rec.AnyEvent]:
        for event in events:
            counts["handed"] += isinstance(event, rec.Submitted)
            counts["called"] += isinstance(event, rec.Called)
            if isinstance(event, rec.StageLate):
                late.append(event.by)
            yield event

    reader = rec.Reader(folder / RECORD)
    checker = Checker(reader.head).check_all(count_events(reader))
    logs = sorted(folder.glob("relay-*.log"))
    found = [Problem(breach.rule.value, list(breach.lines())) for breach in checker.breaches]
    for index, breach in enumerate(checker.breaches[:MAX_TIMELINES]):
        timeline_lines = timeline(breach, folder / RECORD, logs)
        found[index] = Problem(
            breach.rule.value, [next(breach.lines()), *(f"    {line}" for line in timeline_lines)]
        )
    found += [Problem("process", [problem]) for problem in [*problems, *error_lines(folder)]]
    late.sort()
    late_ms = late[len(late) * 99 // 100] / 10 if late else 0.0
    return Verdict(
        seed=plan.seed,
        texts=counts["handed"],
        calls=counts["called"],
        faults=plan.count(),
        breaches={rule.value: count for rule, count in checker.counts.items() if count},
        found=found,
        late_ms=late_ms,
        seconds=round(seconds, 1),
    )


def error_lines(folder: Path) -> Iterator[str]:
    """Lines of the relays' logs that report an internal error, each with the name of its log."""
    for log in sorted(folder.glob("relay-*.log")):
        lines = log.read_text(encoding="utf-8", errors="replace").splitlines()
        matches = [line for line in lines if any(mark in line.replace('": "', '":"') for mark in ERROR_MARKS)]
        yield from (f"{log.name}: {line[:2000]}" for line in matches[:MAX_LOG_LINES])


def is_late(verdict: Verdict) -> bool:
    """Whether the stage was so late that the times in its record are not those of the relays."""
    return verdict.late_ms * 10 > LATE_MOST
