"""Experiments: a scenario on several seeds, two builds against each other, a parameter over its values.

Runs on the fleet stage go side by side in processes of their own; runs on sockets go one after another,
since they need the cores. A subject is `module`, a baseline, or the path of another checkout of limelatch,
whose own code then plays.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

import msgspec
import tomlkit

from limelatch.configuration import ConfigurationError, ConfigError
from limelatch.lab import play
from limelatch.lab.figures import Figures, figures_of
from limelatch.lab.record import SUFFIX
from limelatch.lab.scenario.load import parse
from limelatch.lab.subjects import SUBJECTS

Progress = Callable[[str, float], None]


@dataclass(frozen=True)
class Plan:
    """One run that is wanted."""

    name: str
    text: str  # the scenario
    seed: int
    subject: str
    stage: str
    folder: str

    @property
    def target(self) -> Path:
        subject = Path(self.subject).name  # a checkout goes by its folder
        return Path(self.folder) / f"{self.name}-{self.stage}-{subject}-{self.seed}{SUFFIX}"


class RunFailed(Exception):
    """A run ended without a record."""


def run_one(plan: Plan, progress: Callable[[float], None] = lambda part: None) -> Figures:
    """Play it, judge it, and give its figures; the record stays in the plan's folder."""
    target = plan.target
    target.parent.mkdir(parents=True, exist_ok=True)
    scenario = parse(plan.name, plan.text)
    if plan.subject not in SUBJECTS and "/" in plan.subject:
        elsewhere(plan)
    elif plan.stage == "fleet":
        play.play_fleet(scenario, plan.text, plan.seed, target, plan.subject, progress)
    else:
        play.play_sockets(scenario, plan.text, plan.seed, target, target.with_suffix(".logs"), progress)
    found = figures_of(target)
    return msgspec.structs.replace(found, subject=plan.subject, scenario=plan.name)


def elsewhere(plan: Plan) -> None:
    """Play it with the code of another checkout."""
    source = plan.target.with_suffix(".toml")
    source.write_text(plan.text, encoding="utf-8")
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "limelatch",
            "lab",
            "run",
            str(source.resolve()),
            "--stage",
            plan.stage,
            "--seed",
            str(plan.seed),
            "--record",
            str(plan.target.resolve()),
            "--quiet",
        ],
        cwd=plan.subject,
        env=os.environ | {"PYTHONPATH": str(Path(plan.subject).resolve())},
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode not in (0, 1):  # 1: rules were broken, which its record tells
        raise RunFailed(f"{plan.subject}: {done.stderr.strip() or done.stdout.strip()}")


def run_all(plans: list[Plan], processes: int, progress: Progress) -> list[Figures]:
    """All of them, in the order given."""
    if processes <= 1 or len(plans) == 1 or any(plan.stage != "fleet" for plan in plans):
        found = []
        for number, plan in enumerate(plans):
            label = f"{plan.name} {plan.subject} {plan.seed}"
            found.append(
                run_one(plan, lambda part, at=number, words=label: progress(words, (at + part) / len(plans)))
            )
        return found
    results: dict[int, Figures] = {}
    with ProcessPoolExecutor(processes) as pool:
        waiting = {pool.submit(run_one, plan): at for at, plan in enumerate(plans)}
        for future in as_completed(waiting):
            at = waiting[future]
            results[at] = future.result()
            plan = plans[at]
            progress(f"{plan.name} {plan.subject} {plan.seed}", len(results) / len(plans))
    return [results[at] for at in range(len(plans))]


def seeds_of(words: str) -> list[int]:
    """`1`, `1,4,7` or `1-8`."""
    found: list[int] = []
    for word in words.split(","):
        first, dash, last = word.partition("-")
        if not first.isdigit() or dash and not last.isdigit():
            raise ValueError(words)
        found += range(int(first), int(last or first) + 1)
    if not found:
        raise ValueError(words)
    return found


def with_value(text: str, key: str, value: str) -> str:
    """A scenario's text with one key set: `clients.rate` or `partners[0].capacity`."""
    document = tomlkit.parse(text)
    at: object = document
    parts = [part for word in key.replace("]", "").split(".") for part in word.split("[")]
    try:
        for part in parts[:-1]:
            step = int(part) if part.isdigit() else part
            if isinstance(at, dict) and step not in at:
                at[step] = tomlkit.table()
            at = at[step]
        at[parts[-1]] = tomllib.loads(f"value = {value}")["value"]
    except (KeyError, IndexError, TypeError, tomllib.TOMLDecodeError):
        raise ConfigurationError([ConfigError(key, f"no such key, or no value of TOML: {value!r}")]) from None
    return tomlkit.dumps(document)


def pairs_in(folder: Path) -> Iterable[Path]:
    """The records of a folder, by name."""
    return sorted(folder.glob(f"*{SUFFIX}"))
