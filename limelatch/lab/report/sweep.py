"""A sweep: how the figures depend on the value of one scenario key, over several seeds."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import numpy as np
from scipy import stats

from limelatch.lab.figures import Figures
from limelatch.lab.report.compare import CONFIDENCE

SHOWN_FIGURES = ("score", "service", "worst_window", "sla_share", "calls_a_text")


def interval_half_width(values: list[float]) -> float:
    """Half the width of the confidence interval of the mean; 0 for fewer than two distinct values."""
    if len(values) < 2 or np.ptp(values) == 0:
        return 0.0
    return float(stats.sem(values) * stats.t.ppf((1 + CONFIDENCE) / 2, len(values) - 1))


@dataclass
class Sweep:
    """The runs of a sweep, by the value of the key and the subject."""

    scenario: str
    key: str
    values: list[str]
    subjects: list[str]
    runs: dict[tuple[str, str], list[Figures]] = field(default_factory=dict)

    def add(self, value: str, subject: str, figures: Figures) -> None:
        """Add the figures of one run."""
        self.runs.setdefault((value, subject), []).append(figures)

    def means(self, name: str, subject: str) -> tuple[list[float], list[float]]:
        """The mean of a figure at each value, and the half width of its interval."""
        results = [
            [getattr(each, name) for each in self.runs.get((value, subject), [])] for value in self.values
        ]
        return [float(np.mean(each)) if each else float("nan") for each in results], [
            interval_half_width(each) for each in results
        ]

    def lines(self) -> Iterator[str]:
        """The lines of the table for the terminal."""
        yield (
            f"{self.key:<14} {'subject':<16}" + "".join(f"{name:>14}" for name in SHOWN_FIGURES) + "   rules"
        )
        for value in self.values:
            for subject in self.subjects:
                runs = self.runs.get((value, subject), [])
                broken = sum(not each.kept for each in runs)
                cells = "".join(
                    f"{np.mean([getattr(each, name) for each in runs]):>14.4f}" for name in SHOWN_FIGURES
                )
                yield f"{value:<14} {subject:<16}{cells}   {'kept' if not broken else f'broken in {broken}'}"

    def page(self, about: str) -> str:
        """The HTML page of the sweep."""
        from limelatch.lab.report import page, plots

        numeric = all(is_number(value) for value in self.values)
        positions = [float(value) for value in self.values] if numeric else list(range(len(self.values)))
        titled_plots = []
        for name in SHOWN_FIGURES:
            results = {subject: self.means(name, subject) for subject in self.subjects}
            titled_plots.append(
                (
                    name,
                    plots.curve(
                        self.key,
                        positions,
                        {each: results[each][0] for each in results},
                        {each: results[each][1] for each in results},
                        name,
                    ),
                )
            )
        names = [f"{name}, {subject}" for name in SHOWN_FIGURES for subject in self.subjects]
        rows = [
            (
                value,
                [
                    f"{self.means(name, subject)[0][at]:.4f}"
                    for name in SHOWN_FIGURES
                    for subject in self.subjects
                ],
            )
            for at, value in enumerate(self.values)
        ]
        return page.render(
            page.SWEEP,
            title=f"limelatch: {self.scenario}, {self.key}",
            about=about,
            plots=titled_plots,
            label=self.key,
            names=names,
            rows=rows,
        )


def is_number(text: str) -> bool:
    """Whether the text is a number."""
    try:
        float(text)
    except ValueError:
        return False
    return True
