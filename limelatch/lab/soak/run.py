"""Plays a seed's plan and judges it from outside: by its record, its processes' ends and their logs."""

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
from limelatch.lab.play import head_of, merge
from limelatch.lab.soak.plan import draw_plan
from limelatch.lab.soak.stage import SoakStage
from limelatch.lab.soak.timeline import timeline
from limelatch.lab.stages import real

HERE = Path(__file__).resolve().parents[3]  # this checkout
RECORD = "soak.record"
BAD_LINES = ('"event":"fault"', '"event":"not-started"', "Traceback", "Unhandled", "connection-not-served")
TIMELINES_MOST = 5  # breaches of one seed that are told with all that happened
LINES_MOST = 5  # of one relay's log that are told


class Found(msgspec.Struct, frozen=True):
    """Something wrong: the rule or `process`, and a timeline."""

    rule: str
    lines: list[str]


class Verdict(msgspec.Struct, frozen=True):
    """What one seed came to. `late_ms`: by how much the stage itself was late, at its 99th percentile."""

    seed: int
    texts: int
    calls: int
    faults: dict[str, int]
    breaches: dict[str, int]
    found: list[Found]
    late_ms: float
    seconds: float

    @property
    def kept(self) -> bool:
        return not self.found


def play_seed(seed: int, seconds: float, folder: Path, subject: Path | None = None) -> Verdict:
    """Play the seed's plan with the relays of `subject`, a checkout, or of this one. Its record and the
    relays' logs go to the folder.

    Interrupted, no process is left, and the folder holds what there was."""
    import uvloop

    plan, began = draw_plan(seed, seconds), time.monotonic()
    folder.mkdir(parents=True, exist_ok=True)
    head = head_of(plan.scenario, "", real.STAGE, seed, "program", real.ALLOWANCES)
    wrongs: list[str] = []
    with tempfile.TemporaryDirectory(prefix="limelatch-soak-") as temporary:
        work = Path(temporary)
        parts = work / "stage.part", work / "load.part"

        library = build(work) if plan.machine else None

        async def run() -> None:
            whole = False
            with rec.Writer(parts[0], head) as writer:
                stage = SoakStage(plan, library, subject or HERE, writer, work, parts[1], lambda part: None)
                try:
                    await stage.run()
                    whole = True
                finally:
                    wrongs.extend(stage.wrongs)
                    writer.add(rec.RunEnded(stage.clock.now(), whole))

        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(run())
        finally:
            merge(folder / RECORD, head, parts)
            for log in work.glob("relay-*.log"):
                shutil.move(log, folder / log.name)
    return judge(plan, folder, wrongs, time.monotonic() - began)


def judge(plan, folder: Path, wrongs: list[str], seconds: float) -> Verdict:
    """The verdict on a play whose record and logs are in the folder."""
    counts, late = {"handed": 0, "called": 0}, []

    def counted(events) -> Iterator[rec.AnyEvent]:
        for event in events:
            counts["handed"] += isinstance(event, rec.Submitted)
            counts["called"] += isinstance(event, rec.Called)
            if isinstance(event, rec.StageLate):
                late.append(event.by)
            yield event

    reader = rec.Reader(folder / RECORD)
    checker = Checker(reader.head).check_all(counted(reader))
    logs = sorted(folder.glob("relay-*.log"))
    found = [Found(breach.rule.value, list(breach.lines())) for breach in checker.breaches]
    for at, breach in enumerate(checker.breaches[:TIMELINES_MOST]):
        told = timeline(breach, folder / RECORD, logs)
        found[at] = Found(breach.rule.value, [next(breach.lines()), *(f"    {line}" for line in told)])
    found += [Found("process", [words]) for words in [*wrongs, *bad_lines(folder)]]
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


def bad_lines(folder: Path) -> Iterator[str]:
    """Lines of the relays' logs that tell of a fault of their own."""
    for log in sorted(folder.glob("relay-*.log")):
        lines = log.read_text(encoding="utf-8", errors="replace").splitlines()
        bad = [line for line in lines if any(word in line.replace('": "', '":"') for word in BAD_LINES)]
        yield from (f"{log.name}: {line[:2000]}" for line in bad[:LINES_MOST])


def is_late(verdict: Verdict) -> bool:
    """Whether the stage could not keep up, so that times in its record are not the relays'."""
    return verdict.late_ms * 10 > LATE_MOST
