"""How a measured figure grows with size: a line, n log n and n² held against its points."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from statistics import median

import numpy as np

POINTS_LEAST, RANGE_LEAST = 4, 20.0  # sizes with values, and the largest over the smallest of them above 0
BETTER, VISIBLE = 0.5, 0.005  # of the line's residual; below it, as a share of the mean, a line is a line
SLOPING = 0.75  # of what a flat line misses; one that misses more has no slope that could be told from noise


class TooFewPoints(ValueError):
    """Fewer points, or a narrower range, than a slope may be worked out from."""


class Growth(Enum):
    LINE = "n"
    N_LOG_N = "n log n"
    SQUARE = "n²"

    def of(self, x: float) -> float:
        """Its value at a size, 0 or more."""
        match self:
            case Growth.LINE:
                return x
            case Growth.N_LOG_N:
                return x * math.log2(x) if x > 0 else 0.0
            case Growth.SQUARE:
                return x * x


@dataclass(frozen=True, slots=True)
class Curve:
    """`base` + `slope` * growth; `residual`: root mean square of what it misses, as a share of the mean."""

    growth: Growth
    base: float
    slope: float
    residual: float

    def at(self, x: float) -> float:
        """Its value at a size, in the unit of the points."""
        return self.base + self.slope * self.growth.of(x)


@dataclass(frozen=True, slots=True)
class Fit:
    """All three curves over one series, and the one that is taken."""

    curves: tuple[Curve, Curve, Curve]  # a line, n log n, n²
    taken: Curve
    sizes: tuple[float, ...]  # that have values, ascending
    runs: int  # values of the point that has fewest
    spread: float  # the widest of a point's values, largest less smallest, as a share of its median

    @property
    def worse_than_line(self) -> bool:
        return self.taken.growth is not Growth.LINE and self.taken.slope > 0

    def past(self, x: float) -> float:
        """How many times past the last point a size is; 1 within the range."""
        return max(1.0, x / self.sizes[-1])


def fit(points: Mapping[float, list[float]]) -> Fit:
    """Least squares of each curve on every run's value, by size; a size without values is left out.

    The line is taken unless another curve misses less than half of what it does. What the runs of one size
    differ by is in all residuals, so noise is no growth. A line that misses hardly less than a flat one is
    taken as flat: guards against noise that is carried far past the last point. TooFewPoints where there are
    fewer than four sizes, or they span less than a factor of 20."""
    filled = {x: values for x, values in sorted(points.items()) if values}
    sizes, positive = tuple(filled), [x for x in filled if x > 0]
    if len(sizes) < POINTS_LEAST or positive[-1] < RANGE_LEAST * positive[0]:
        span = positive[-1] / positive[0] if positive else 0.0
        raise TooFewPoints(
            f"{len(sizes)} over a factor of {span:.3g}; wanted are {POINTS_LEAST} over {RANGE_LEAST:.3g}"
        )
    xs = np.array([x for x, values in filled.items() for _ in values])
    ys = np.array([value for values in filled.values() for value in values])
    scale = float(np.mean(np.abs(ys))) or 1.0
    line, *others = curves = tuple(_least_squares(growth, xs, ys, scale) for growth in Growth)
    best = min(others, key=lambda curve: curve.residual)
    curved = best.residual < BETTER * line.residual and line.residual > VISIBLE
    flat = Curve(Growth.LINE, float(np.mean(ys)), 0.0, float(np.std(ys)) / scale)
    taken = best if curved else line if line.residual < SLOPING * flat.residual else flat
    return Fit(curves, taken, sizes, min(map(len, filled.values())), max(map(spread, filled.values())))


def _least_squares(growth: Growth, xs: np.ndarray, ys: np.ndarray, scale: float) -> Curve:
    grown = np.array([growth.of(x) for x in xs])
    top = float(grown.max())  # so that n² of large sizes loses no digits
    found = np.linalg.lstsq(np.column_stack([np.ones_like(grown), grown / top]), ys, rcond=None)[0]
    base, slope = float(found[0]), float(found[1]) / top
    missed = ys - (base + slope * grown)
    return Curve(growth, base, slope, float(np.sqrt(np.mean(missed**2))) / scale)


def spread(values: list[float]) -> float:
    """Largest less smallest, as a share of the median; 0 where that is 0."""
    middle = abs(median(values))
    return (max(values) - min(values)) / middle if middle else 0.0


def reaches(of: Callable[[float], float], budget: float, least: float, most: float) -> float | None:
    """The size from `least` to `most` from which `of` is above the budget; None: not up to `most`.

    For what grows with size; found to four digits by halving the range, in ratios."""
    if of(least) > budget:
        return least
    if of(most) <= budget:
        return None
    while most > least * 1.0001:
        middle = math.sqrt(least * most)
        least, most = (least, middle) if of(middle) > budget else (middle, most)
    return most
