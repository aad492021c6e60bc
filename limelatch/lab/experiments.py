"""Experiments: a scenario on several seeds, comparisons of two builds, sweeps of a parameter.

Runs on the fleet stage are executed in parallel processes; runs on sockets one after another, since each
needs all cores. A subject is `module`, a baseline, or the path of another checkout of limelatch, whose code
then runs.
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
    """The parameters of one run."""

    name: str
    text: str  # of the scenario, as TOML
    seed: int
    subject: str
    stage: str
    folder: str

    @property
    def target(self) -> Path:
        """The path of the record."""
        subject = Path(self.subject).name  # a checkout is named by its folder
        return Path(self.folder) / f"{self.name}-{self.stage}-{subject}-{self.seed}{SUFFIX}"


class RunFailed(Exception):
    """A run of another checkout ended without a record."""


def run_one(plan: Plan, progress: Callable[[float], None] = lambda part: None) -> Figures:
    """Run the plan and return its figures; the record stays in the plan's folder.

    Raises ConfigurationError for an invalid scenario, RunFailed if another checkout could not run it."""
    target = plan.target
    target.parent.mkdir(parents=True, exist_ok=True)
    scenario = parse(plan.name, plan.text)
    if plan.subject not in SUBJECTS and "/" in plan.subject:
        run_in_checkout(plan)
    elif plan.stage == "fleet":
        play.play_fleet(scenario, plan.text, plan.seed, target, plan.subject, progress)
    else:
        play.play_sockets(scenario, plan.text, plan.seed, target, target.with_suffix(".logs"), progress)
    figures = figures_of(target)
    return msgspec.structs.replace(figures, subject=plan.subject, scenario=plan.name)


def run_in_checkout(plan: Plan) -> None:
    """Run the plan with the code of another checkout. Raises RunFailed."""
    source = plan.target.with_suffix(".toml")
    source.write_text(plan.text, encoding="utf-8")
    result = subprocess.run(
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
    if result.returncode not in (0, 1):  # 1: a rule was broken, as its record shows
        raise RunFailed(f"{plan.subject}: {result.stderr.strip() or result.stdout.strip()}")


def run_all(plans: list[Plan], processes: int, progress: Progress) -> list[Figures]:
    """Run all plans; the figures are in the order of the plans."""
    if processes <= 1 or len(plans) == 1 or any(plan.stage != "fleet" for plan in plans):
        figures = []
        for number, plan in enumerate(plans):
            label = f"{plan.name} {plan.subject} {plan.seed}"
            figures.append(
                run_one(plan, lambda part, at=number, words=label: progress(words, (at + part) / len(plans)))
            )
        return figures
    results: dict[int, Figures] = {}
    with ProcessPoolExecutor(processes) as pool:
        index_by_future = {pool.submit(run_one, plan): at for at, plan in enumerate(plans)}
        for future in as_completed(index_by_future):
            at = index_by_future[future]
            results[at] = future.result()
            plan = plans[at]
            progress(f"{plan.name} {plan.subject} {plan.seed}", len(results) / len(plans))
    return [results[at] for at in range(len(plans))]


def seeds_of(words: str) -> list[int]:
    """Parse a list of seeds such as `1`, `1,4,7` or `1-8`. Raises ValueError."""
    seeds: list[int] = []
    for word in words.split(","):
        first, dash, last = word.partition("-")
        if not first.isdigit() or dash and not last.isdigit():
            raise ValueError(words)
        seeds += range(int(first), int(last or first) + 1)
    if not seeds:
        raise ValueError(words)
    return seeds


def with_value(text: str, key: str, value: str) -> str:
    """The text of a scenario with one key set, such as `clients.rate` or `partners[0].capacity`.

    Raises ConfigurationError for a key that does not exist or a value that is not TOML."""
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
        raise ConfigurationError([ConfigError(key, f"no such key, or not a TOML value: {value!r}")]) from None
    return tomlkit.dumps(document)


def records_in(folder: Path) -> Iterable[Path]:
    """The records in a folder, sorted by name."""
    return sorted(folder.glob(f"*{SUFFIX}"))
