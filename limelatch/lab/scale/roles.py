"""What docs/CAPACITY.md is worked out from: the target, arithmetic, series of results, roles and their rows.

A row's figure is an expression over names of the target's figures, of other arithmetic, and of series. A
series is called with a size, as in `memory_at_rest(destinations)`, and gives what was measured there, else
what its fit says; `same(SERIES, SIZE)` takes the figure of the last measured size for that one. Each use is
noted, so that the page tells arithmetic, measured and extrapolated apart.
"""

from __future__ import annotations

import ast
import operator
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from statistics import median
from typing import Literal

import msgspec

from limelatch.lab.scale.fit import Fit, TooFewPoints, fit
from limelatch.lab.scale.results import Point, Results, load

OPERATIONS: dict[type, Callable] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
    ast.Pow: operator.pow,
}
FUNCTIONS: dict[str, Callable] = {"min": min, "max": max}
NONE_YET = "none yet"


class NotMeasured(Exception):
    """A series has no points yet; the words say which."""


class Figure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A figure of the target, as the operators gave it."""

    name: str
    value: float
    unit: str
    about: str


class Arithmetic(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A figure that follows from others; `about` says what it is."""

    name: str
    value: str
    unit: str
    about: str


class Series(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Points of one scenario and measure; the first of `files` that has any of them holds the series."""

    name: str
    files: list[str]
    scenario: str
    measure: str
    axis: str
    unit: str


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One figure of a role at the target's size. `budget_from`: whose it is, or how it was read.

    `grows_with` names the figure that is made larger to find where the budget breaks; `carried_by`: the
    mechanism that is likely to carry it, for what is over its budget or has none yet; `aside`: why it is not
    ranked among what is missing, as a way that was weighed and is not today's."""

    quantity: str
    aspect: Literal["state", "messages", "processor", "memory", "time"]
    unit: str
    value: str
    mechanism: str = NONE_YET
    budget: str = ""
    budget_from: str = ""
    file: str = ""
    grows_with: str = ""
    carried_by: str = ""
    note: str = ""
    aside: str = ""


class Failures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What each failure of the target does to a role; {expressions} stand for their figures."""

    machine: str
    restart: str
    rack: str
    zone: str
    region_cut: str


class Role(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    about: str
    rows: list[Row]
    failures: Failures


class Compared(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One series before and after; `aim` in words, where there is one."""

    scenario: str
    measure: str
    axis: str
    about: str
    aim: str = ""


class Comparison(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Subjects side by side; the first file of `before` that has a series is held against `after`."""

    about: str
    before: list[str]
    after: str
    series: list[Compared]


class Mechanism(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A likely next mechanism and what it must carry; {expressions} stand for their figures."""

    name: str
    carries: list[str]


class Roles(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole of docs/capacity/roles.toml."""

    target: list[Figure]
    assumed: list[Figure]  # not the operators': `about` names the source, or says that none was told
    readings: list[str]
    arithmetic: list[Arithmetic]
    series: list[Series]
    roles: list[Role]
    comparison: Comparison
    mechanisms: list[Mechanism]


@dataclass(frozen=True, slots=True)
class Use:
    """A series of a file read at a size: measured there, or worked out from its fit, so many times past its
    last point.

    `same`: not from the fit, but taken to be as at the last point."""

    series: Series
    file: str
    x: float
    measured: bool
    past: float = 1.0
    same: bool = False


@dataclass(frozen=True, slots=True)
class Held:
    """A series as the results have it.

    `points` have values, sizes in `none` have none; `fit` is None where there are too few points, and `why`
    says so."""

    series: Series
    file: str
    results: Results
    points: dict[float, Point]
    none: set[float]
    fit: Fit | None
    why: str = ""

    def at(self, x: float) -> tuple[float, Use]:
        """Its value and where that is from; NotMeasured where it has neither a point there nor a fit."""
        self._check(x)
        point = self.points.get(round(x, 6))  # 1.7% of 180,000 is a little more than 3,060 in floating point
        if point is not None:
            return median(point.values), Use(self.series, self.file, x, True)
        if self.fit is None:
            raise NotMeasured(f"too few points of `{self.series.name}`: {self.why}")
        return self.fit.taken.at(x), Use(self.series, self.file, x, False, self.fit.past(x))

    def last(self, x: float) -> tuple[float, Use]:
        """Its value at the last size that has one, taken as the same at `x`, for what is counted each."""
        self._check(x)
        at = max(self.points)
        use = Use(self.series, self.file, x, x == at, max(1.0, x / at), x != at)
        return median(self.points[at].values), use

    def _check(self, x: float) -> None:
        """Guards against a figure worked out past a size at which the program no longer did it."""
        for size in sorted(self.none):
            if size <= x or not self.points:
                raise NotMeasured(f"none at {size:,.10g} {self.series.axis}, see the walls")


@dataclass(slots=True)
class Known:
    """A worked-out value and the series that it rests on."""

    value: float
    uses: list[Use] = field(default_factory=list)


def read(path: str | Path) -> Roles:
    """msgspec.ValidationError where the file is of another form."""
    return msgspec.toml.decode(Path(path).read_bytes(), type=Roles)


def results_in(folder: str | Path) -> dict[str, Results]:
    """All files of results of a folder, by name without its ending."""
    return {path.stem: load(path) for path in sorted(Path(folder).glob("*.json"))}


class Book:
    """The figures, and the results that they are worked out from."""

    def __init__(self, roles: Roles, results: Mapping[str, Results]) -> None:
        self.roles, self.results = roles, results
        self.figures: dict[str, float | str] = {
            each.name: each.value for each in [*roles.target, *roles.assumed]
        }
        self.figures |= {each.name: each.value for each in roles.arithmetic}
        self.series = {each.name: each for each in roles.series}
        self.held = {name: held for name, each in self.series.items() if (held := self._hold(each))}

    def _hold(self, series: Series) -> Held | None:
        for name in series.files:
            every = (
                [
                    each
                    for each in self.results[name].points
                    if (each.scenario, each.axis) == (series.scenario, series.axis)
                ]
                if name in self.results
                else []
            )
            points = {each.x: each for each in every if each.values and each.measure == series.measure}
            none = {each.x for each in every if not each.values and each.x not in points}
            if not points and not none:
                continue
            held = Held(series, name, self.results[name], points, none, None)
            try:
                return replace(held, fit=fit({x: each.values for x, each in points.items()}))
            except TooFewPoints as error:
                return replace(held, why=str(error))
        return None

    def work_out(self, expression: str, instead: Mapping[str, float] | None = None) -> Known:
        """An expression's value; `instead` stands for figures of these names, as in a larger fleet.

        NotMeasured where a series is missing, ValueError for a name or form that is not known."""
        uses: list[Use] = []
        value = self._value(ast.parse(expression, mode="eval").body, instead or {}, uses)
        return Known(value, uses)

    def _value(self, node: ast.expr, instead: Mapping[str, float], uses: list[Use]) -> float:
        match node:
            case ast.Constant(value=int() | float() as value):
                return float(value)
            case ast.Name(id=name) if name in instead:
                return instead[name]
            case ast.Name(id=name) if name in self.figures:
                said = self.figures[name]
                if isinstance(said, str):
                    return self._value(ast.parse(said, mode="eval").body, instead, uses)
                return said
            case ast.UnaryOp(op=ast.USub(), operand=operand):
                return -self._value(operand, instead, uses)
            case ast.BinOp(left=left, op=op, right=right) if type(op) in OPERATIONS:
                return OPERATIONS[type(op)](
                    self._value(left, instead, uses), self._value(right, instead, uses)
                )
            case ast.Call(func=ast.Name(id=name), args=args, keywords=[]) if name in FUNCTIONS:
                return FUNCTIONS[name](self._value(each, instead, uses) for each in args)
            case ast.Call(func=ast.Name(id="same"), args=[ast.Name(id=name), size], keywords=[]) if (
                name in self.series
            ):
                value, use = self._held(name).last(self._value(size, instead, uses))
                uses.append(use)
                return value
            case ast.Call(func=ast.Name(id=name), args=[size], keywords=[]) if name in self.series:
                value, use = self._held(name).at(self._value(size, instead, uses))
                uses.append(use)
                return value
        raise ValueError(f"not a figure, series or form that is known: {ast.unparse(node)}")

    def _held(self, name: str) -> Held:
        if name not in self.held:
            raise NotMeasured(f"no points of `{name}` yet")
        return self.held[name]
