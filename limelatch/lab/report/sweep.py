"""A sweep: what a scenario's key does to the figures, over several seeds."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import numpy as np
from scipy import stats

from limelatch.lab.figures import Figures
from limelatch.lab.report.compare import CONFIDENCE

SHOWN = ("score", "service", "worst_window", "sla_share", "calls_a_text")


def interval(values: list[float]) -> float:
    """Half the width of the mean's interval."""
    if len(values) < 2 or np.ptp(values) == 0:
        return 0.0
    return float(stats.sem(values) * stats.t.ppf((1 + CONFIDENCE) / 2, len(values) - 1))


@dataclass
class Sweep:
    """Runs by the key's value and the subject."""

    scenario: str
    key: str
    values: list[str]
    subjects: list[str]
    runs: dict[tuple[str, str], list[Figures]] = field(default_factory=dict)

    def add(self, value: str, subject: str, figures: Figures) -> None:
        self.runs.setdefault((value, subject), []).append(figures)

    def means(self, name: str, subject: str) -> tuple[list[float], list[float]]:
        """The figure's mean at each value, and half its interval."""
        found = [
            [getattr(each, name) for each in self.runs.get((value, subject), [])] for value in self.values
        ]
        return [float(np.mean(each)) if each else float("nan") for each in found], [
            interval(each) for each in found
        ]

    def lines(self) -> Iterator[str]:
        """For the terminal."""
        yield f"{self.key:<14} {'subject':<16}" + "".join(f"{name:>14}" for name in SHOWN) + "   rules"
        for value in self.values:
            for subject in self.subjects:
                runs = self.runs.get((value, subject), [])
                broken = sum(not each.kept for each in runs)
                cells = "".join(f"{np.mean([getattr(each, name) for each in runs]):>14.4f}" for name in SHOWN)
                yield f"{value:<14} {subject:<16}{cells}   {'kept' if not broken else f'broken in {broken}'}"

    def page(self, about: str) -> str:
        from limelatch.lab.report import page, plots

        numeric = all(is_number(value) for value in self.values)
        along = [float(value) for value in self.values] if numeric else list(range(len(self.values)))
        drawn = []
        for name in SHOWN:
            found = {subject: self.means(name, subject) for subject in self.subjects}
            drawn.append(
                (
                    name,
                    plots.curve(
                        self.key,
                        along,
                        {each: found[each][0] for each in found},
                        {each: found[each][1] for each in found},
                        name,
                    ),
                )
            )
        names = [f"{name}, {subject}" for name in SHOWN for subject in self.subjects]
        rows = [
            (
                value,
                [f"{self.means(name, subject)[0][at]:.4f}" for name in SHOWN for subject in self.subjects],
            )
            for at, value in enumerate(self.values)
        ]
        return page.render(
            page.SWEEP,
            title=f"limelatch: {self.scenario}, {self.key}",
            about=about,
            plots=drawn,
            label=self.key,
            names=names,
            rows=rows,
        )


def is_number(word: str) -> bool:
    try:
        float(word)
    except ValueError:
        return False
    return True
