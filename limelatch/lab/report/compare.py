"""Comparisons over paired seeds: the difference of each figure, its interval, and a plain word."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

from limelatch.lab.figures import Figures

CONFIDENCE = 0.95
BETTER, WORSE, SAME = "better", "worse", "no difference seen"
# A figure, whether more of it is better, and the least difference worth a word.
COMPARED = (
    ("score", True, 0.002),
    ("service", True, 0.002),
    ("worst_window", True, 0.005),
    ("sla_share", True, 0.002),
    ("calls_a_text", False, 0.01),
    ("doubles", False, 0.5),
)


@dataclass(frozen=True)
class Row:
    """One figure's comparison: both means, the mean difference with its interval, and the word for it."""

    name: str
    a: float
    b: float
    mean: float
    low: float
    high: float
    word: str


def paired(name: str, a: Sequence[float], b: Sequence[float], more_is_better: bool, least: float) -> Row:
    """The comparison of one figure over pairs of runs on the same seed."""
    difference = np.asarray(b, dtype=float) - np.asarray(a, dtype=float)
    mean = float(difference.mean())
    if len(difference) > 1 and np.ptp(difference) > 0:
        interval = stats.ttest_1samp(difference, 0.0).confidence_interval(CONFIDENCE)
        low, high = float(interval.low), float(interval.high)
    else:  # one pair says nothing of chance; pairs that all agree leave none
        low, high = (mean, mean) if len(difference) > 1 else (-np.inf, np.inf)
    word = SAME
    if abs(mean) >= least and (low > 0 or high < 0):
        word = BETTER if (mean > 0) == more_is_better else WORSE
    return Row(name, float(np.mean(a)), float(np.mean(b)), mean, low, high, word)


def compare(name: str, a: list[Figures], b: list[Figures]) -> list[Row]:
    """Every figure of runs of one scenario, paired by seed."""
    theirs = {each.seed: each for each in b}
    pairs = [(each, theirs[each.seed]) for each in a if each.seed in theirs]
    if not pairs:
        raise ValueError(f"{name}: no seed was played on both sides")
    rows = [
        paired(
            f"{name}: {figure}",
            [getattr(one, figure) for one, _ in pairs],
            [getattr(other, figure) for _, other in pairs],
            more,
            least,
        )
        for figure, more, least in COMPARED
    ]
    broken = [sum(not run.kept for run in side) for side in zip(*pairs, strict=True)]
    if any(broken):
        word = SAME if broken[0] == broken[1] else WORSE if broken[1] > broken[0] else BETTER
        mean = (broken[1] - broken[0]) / len(pairs)
        rows.append(Row(f"{name}: runs with a broken rule", broken[0], broken[1], mean, mean, mean, word))
    return rows


def verdict(rows: Sequence[Row]) -> str:
    """In a plain word: what the score says, or a rule that only one side breaks."""
    telling = [row for row in rows if row.name.endswith((": score", "broken rule"))]
    words = {row.word for row in telling}
    if words == {BETTER, WORSE} or {BETTER, WORSE} <= words:
        names = [row.name.partition(":")[0] for row in telling if row.word == WORSE]
        return f"B is better on some and worse on others ({', '.join(dict.fromkeys(names))})"
    if WORSE in words:
        return "B is worse than A"
    if BETTER in words:
        return "B is better than A"
    return "no difference seen between A and B"
