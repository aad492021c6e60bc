"""Comparisons over paired seeds: the difference of each figure with its confidence interval and outcome."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

from limelatch.lab.figures import Figures

CONFIDENCE = 0.95  # of all intervals
BETTER = "better"
WORSE = "worse"
SAME = "no difference seen"
# Name of the figure, whether more is better, and the smallest difference that counts.
COMPARED_FIGURES = (
    ("score", True, 0.002),
    ("service", True, 0.002),
    ("worst_window", True, 0.005),
    ("sla_share", True, 0.002),
    ("calls_a_text", False, 0.01),
    ("doubles", False, 0.5),
)


@dataclass(frozen=True)
class Row:
    """The comparison of one figure: both means, the mean difference with its interval, and the outcome."""

    name: str
    a: float
    b: float
    mean: float
    low: float
    high: float
    outcome: str


def paired(
    name: str, a: Sequence[float], b: Sequence[float], is_more_better: bool, min_difference: float
) -> Row:
    """Compare one figure over pairs of runs with the same seed.

    The outcome is BETTER or WORSE only if the mean difference is at least `min_difference` and its interval
    excludes 0."""
    difference = np.asarray(b, dtype=float) - np.asarray(a, dtype=float)
    mean = float(difference.mean())
    if len(difference) > 1 and np.ptp(difference) > 0:
        interval = stats.ttest_1samp(difference, 0.0).confidence_interval(CONFIDENCE)
        low, high = float(interval.low), float(interval.high)
    else:  # a single pair gives no interval; equal differences give one of width 0
        low, high = (mean, mean) if len(difference) > 1 else (-np.inf, np.inf)
    outcome = SAME
    if abs(mean) >= min_difference and (low > 0 or high < 0):
        outcome = BETTER if (mean > 0) == is_more_better else WORSE
    return Row(name, float(np.mean(a)), float(np.mean(b)), mean, low, high, outcome)


def compare(name: str, a: list[Figures], b: list[Figures]) -> list[Row]:
    """Compare the figures of the runs of one scenario, paired by seed.

    Raises ValueError if no seed was played on both sides."""
    b_by_seed = {each.seed: each for each in b}
    pairs = [(each, b_by_seed[each.seed]) for each in a if each.seed in b_by_seed]
    if not pairs:
        raise ValueError(f"{name}: no seed was played on both sides")
    rows = [
        paired(
            f"{name}: {figure}",
            [getattr(one, figure) for one, _ in pairs],
            [getattr(other, figure) for _, other in pairs],
            is_more_better,
            min_difference,
        )
        for figure, is_more_better, min_difference in COMPARED_FIGURES
    ]
    broken_counts = [sum(not run.kept for run in side) for side in zip(*pairs, strict=True)]
    if any(broken_counts):
        outcome = (
            SAME
            if broken_counts[0] == broken_counts[1]
            else WORSE
            if broken_counts[1] > broken_counts[0]
            else BETTER
        )
        mean = (broken_counts[1] - broken_counts[0]) / len(pairs)
        rows.append(
            Row(
                f"{name}: runs with a broken rule",
                broken_counts[0],
                broken_counts[1],
                mean,
                mean,
                mean,
                outcome,
            )
        )
    return rows


def verdict(rows: Sequence[Row]) -> str:
    """The overall result, by the score and by the number of runs that broke a rule."""
    decisive = [row for row in rows if row.name.endswith((": score", "broken rule"))]
    outcomes = {row.outcome for row in decisive}
    if outcomes == {BETTER, WORSE} or {BETTER, WORSE} <= outcomes:
        worse_scenarios = [row.name.partition(":")[0] for row in decisive if row.outcome == WORSE]
        return f"B is better on some and worse on others ({', '.join(dict.fromkeys(worse_scenarios))})"
    if WORSE in outcomes:
        return "B is worse than A"
    if BETTER in outcomes:
        return "B is better than A"
    return "no difference seen between A and B"
