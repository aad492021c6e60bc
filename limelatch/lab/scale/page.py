"""docs/CAPACITY.md, made from docs/capacity/roles.toml and the results beside it."""

from __future__ import annotations

import ast
import math
import re
import textwrap
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import median

from limelatch.lab.scale.fit import Fit, Growth, reaches, spread
from limelatch.lab.scale.results import Point
from limelatch.lab.scale.roles import (
    NONE_YET,
    Book,
    Compared,
    Held,
    Known,
    NotMeasured,
    Role,
    Row,
    read,
    results_in,
)

FOLDER, ROLES = "docs/capacity", "roles.toml"
LEAST, MOST, PAST = 1.0, 1e15, 10.0  # sizes between which a budget's end is looked for; past the last point
NOT_MEASURED, WIDTH = "not measured", 128
HEAD = """# Capacity

<!-- Made by `limelatch lab scale page > docs/CAPACITY.md` (`make pages`) from docs/capacity/roles.toml
and the files of results beside it; a test fails where it is stale. -->

What a fleet of the target's size asks of each role, and what carries it today. Every figure is worked out
by the command from the target's figures, from arithmetic on them, and from files of results that
measuring commands wrote (`limelatch lab scale --help`); a row whose measurement is not there yet says
"not measured".

How known: **arithmetic**, from the target alone; **measured**, at this very size; **fitted**, between
measured sizes; **extrapolated**, past the last measured size, so many times. "Arithmetic on" one of
these: worked out with it. Factor: over the budget, or the part of it that is used. "Budget reached at":
the size at which the budget is used up, all else as in the target; it is looked for up to ten times past
the last measured size, and what grows worse than linearly is marked. Memory and bytes are in powers of
ten; processor time is time on a whole core.
A + behind a commit: files of the program differed from it.
To measure again: the commands beside the files of results, at the end of the slopes; then `make pages`.
"""
SLOPES = """Least squares over every run's value. Residual: root mean square of what a curve misses, as a
share of the values' mean; what runs of one size differ by is in it. The line is taken unless another curve
misses less than half of that. Spread: largest less smallest of a size's runs, as a share of their median, at
the size where it is widest. A slope needs four points over a factor of 20, else it says "too few points".
"""
FIDELITY = """The same scenario with decision modules alone and with relay processes, at a size at which these
fit. Medians of the runs, least and largest in brackets.
"""
EVENTS = (
    ("machine", "a machine fails"),
    ("restart", "a machine is restarted or replaced"),
    ("rack", "a rack or switch goes"),
    ("zone", "a zone goes"),
    ("region_cut", "regions lose each other"),
)
ROLE_HEAD = (
    "quantity",
    "of",
    "at the target's size",
    "budget",
    "factor",
    "budget reached at",
    "how known",
    "worked out from",
    "mechanism",
)
SLOPE_HEAD = (
    "series",
    "what, unit",
    "range",
    "points x runs",
    "residual: line",
    "n log n",
    "n²",
    "taken",
    "spread",
    "results",
)
FILE_HEAD = ("file of results", "subject", "commit", "measured at", "machine", "command")
COMPARED_HEAD = ("what", "at", "before", "after", "unit", "after, of before", "before is of", "aim")
MISSING_HEAD = (
    "",
    "factor",
    "role: quantity",
    "at the target's size",
    "must reach",
    "today",
    "how known",
    "likely carried by",
)


@dataclass(frozen=True, slots=True)
class Worked:
    """A row with its figures; `value` None where they are not measured, and `why` says what is missing."""

    role: Role
    row: Row
    known: Known | None
    budget: float | None
    why: str = ""

    @property
    def factor(self) -> float | None:
        """Of the budget; None where there is none, or no figure."""
        return self.known.value / self.budget if self.known and self.budget else None


def page(folder: str | Path = FOLDER) -> str:
    """The whole page, in Markdown; OSError or msgspec.ValidationError where a file can't be read."""
    book = Book(read(Path(folder) / ROLES), results_in(folder))
    rows = [worked(book, role, row) for role in book.roles.roles for row in role.rows]
    parts = [HEAD, *target(book)]
    for role in book.roles.roles:
        parts += role_section(book, role, [each for each in rows if each.role is role])
    parts += [*slopes(book), *walls(book), *fidelity(book), *comparison(book), *missing(rows), *carried(book)]
    return "\n".join(parts).rstrip() + "\n"


def worked(book: Book, role: Role, row: Row) -> Worked:
    known, budget, why = None, None, []
    try:
        known = book.work_out(row.value)
    except NotMeasured as error:
        why.append(str(error))
    try:
        budget = book.work_out(row.budget).value if row.budget else None
    except NotMeasured as error:
        why.append(f"budget: {error}")
    return Worked(role, row, known, budget, "; ".join(why))


# Words of figures.


def number(value: float) -> str:
    """Three digits, whole numbers all of them, thousands apart; millions in words."""
    if abs(value) >= 1e6:
        return f"{number(value / 1e6)} million"
    if value == int(value):
        return f"{value:,.0f}"
    if abs(value) >= 100:
        return f"{round(value, 2 - math.floor(math.log10(abs(value)))):,.0f}"
    return f"{value:.3g}"


def size(value: float) -> str:
    """A size as it was measured, all digits."""
    return f"{value:,.10g}"


def with_unit(value: float, unit: str) -> str:
    per = unit.removeprefix("1")
    close = unit == "%" or per.startswith("/")
    return f"{number(value)}{per}" if close else f"{number(value)} {unit}".rstrip()


def share(value: float) -> str:
    return f"{value * 100:.2g}%" if value < 0.995 else f"{value * 100:,.0f}%"


def factor_words(factor: float | None) -> str:
    if factor is None:
        return ""
    return f"**{number(factor)} times over**" if factor > 1 else f"{number(factor)} of it"


def wrapped(words: str, first: str = "") -> str:
    """A paragraph, or an item of a list where it begins with "- "."""
    return textwrap.fill(
        first + words,
        WIDTH,
        subsequent_indent=" " * len(first),
        break_long_words=False,
        break_on_hyphens=False,
    )


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    def line(cells: Sequence[str]) -> str:
        return f"| {' | '.join(cell.replace('|', '/').replace(chr(10), ' ') for cell in cells)} |"

    return [line(head), f"|{' --- |' * len(head)}", *map(line, rows), ""]


def filled(book: Book, words: str) -> str:
    """Words with the figures of their {expressions}; of one that is not measured it says so."""

    def figure(match: re.Match) -> str:
        try:
            return number(book.work_out(match[1]).value)
        except NotMeasured:
            return f"({NOT_MEASURED})"

    return re.sub(r"\{([^}]*)\}", figure, words)


def how_known(expression: str, known: Known) -> str:
    """Arithmetic, measured, fitted or extrapolated, how far past the last point, and from which results."""
    if not known.uses:
        return "arithmetic"
    farthest = max(known.uses, key=lambda use: (not use.measured, use.past))
    files = ", ".join(f"`{name}`" for name in dict.fromkeys(use.file for use in known.uses))
    words = "measured"
    if not farthest.measured:
        words = (
            "fitted"
            if farthest.past <= 1
            else (
                f"extrapolated, {number(farthest.past)} times past the last point of `{farthest.series.name}`"
            )
        )
        words += ", taken to be the same there" if farthest.same else ""
    body = ast.parse(expression, mode="eval").body
    alone = isinstance(body, ast.Call) and body.func.id in (farthest.series.name, "same")
    return f"{words if alone else f'arithmetic on {words}'} ({files})"


# Sections.


def target(book: Book) -> Iterator[str]:
    yield "## Target\n"
    yield from table(
        ("figure", "value", "unit", "what it is"),
        [(f"`{each.name}`", size(each.value), each.unit, each.about) for each in book.roles.target],
    )
    yield "Assumed beside it, not the operators' figures:\n"
    yield from table(
        ("figure", "value", "unit", "what it is, from where"),
        [(f"`{each.name}`", size(each.value), each.unit, each.about) for each in book.roles.assumed],
    )
    yield "How it is read where it is ambiguous:\n"
    yield from (wrapped(filled(book, words), "- ") for words in book.roles.readings)
    yield "\n## What follows by arithmetic\n"
    yield from table(
        ("figure", "value", "unit", "from", "what it is"),
        [
            (
                f"`{each.name}`",
                number(book.work_out(each.name).value),
                each.unit,
                f"`{each.value}`",
                filled(book, each.about),
            )
            for each in book.roles.arithmetic
        ],
    )


def role_section(book: Book, role: Role, rows: list[Worked]) -> Iterator[str]:
    yield f"## {role.name}\n"
    yield wrapped(filled(book, role.about)) + "\n"
    yield from table(ROLE_HEAD, [role_row(book, each) for each in rows])
    if notes := [each for each in rows if each.row.note]:
        yield from (wrapped(f"{each.row.quantity}: {filled(book, each.row.note)}", "- ") for each in notes)
        yield ""
    yield from table(
        ("failure", "what happens"),
        [(words, filled(book, getattr(role.failures, name))) for name, words in EVENTS],
    )


def role_row(book: Book, each: Worked) -> tuple[str, ...]:
    row, known = each.row, each.known
    budget = budget_words(each) if row.budget else "none told"
    how = how_known(row.value, known) if known else each.why
    quantity = f"{row.quantity} ({row.aside})" if row.aside else row.quantity
    return (
        quantity,
        row.aspect,
        figure_words(each),
        budget,
        factor_words(each.factor),
        reached(book, each),
        how,
        f"`{row.value}`",
        mechanism(row),
    )


def figure_words(each: Worked) -> str:
    return with_unit(each.known.value, each.row.unit) if each.known else NOT_MEASURED


def budget_words(each: Worked) -> str:
    figure = NOT_MEASURED if each.budget is None else with_unit(each.budget, each.row.unit)
    return f"{figure} ({each.row.budget_from})"


def mechanism(row: Row) -> str:
    return f"{row.mechanism} ([{row.file}](../{row.file}))" if row.file else row.mechanism


def reached(book: Book, each: Worked) -> str:
    """At which size of what it grows with a row's budget is used up.

    A fit is not believed against a measured size: the words then tell the sizes that lie about it."""
    name = each.row.grows_with
    if not name or each.known is None or each.budget is None:
        return ""
    uses = each.known.uses
    if any(book.held[use.series.name].fit is None for use in uses if not use.same):
        return "too few points"
    here = book.work_out(name).value

    def value(x: float) -> float:
        return book.work_out(each.row.value, {name: x}).value

    # Sizes of the figure that grows at which a series it is worked out from was measured.
    measured = sorted({here / use.x * x for use in uses if use.x for x in book.held[use.series.name].points})
    over = next((x for x in measured if value(x) > each.budget), None)
    within = max((x for x in measured if over is None or x < over), default=None)
    most = measured[-1] * PAST if measured else MOST
    found = reaches(value, each.budget, LEAST, most)
    if over is not None and within is None:
        words = f"under {number(over)}"
    elif over is not None and not (found and within <= found <= over):
        words = f"{number(within)} to {number(over)}"
    elif found is None or (within is not None and found < within and over is None):
        words = f"over {number(within if found else most)}"
    else:
        words = number(found)
    worse = any((fit := book.held[use.series.name].fit) is not None and fit.worse_than_line for use in uses)
    return f"{words} `{name}`" + (", **grows worse than linearly**" if worse else "")


def slopes(book: Book) -> Iterator[str]:
    yield "## Slopes\n"
    yield SLOPES
    rows = []
    for each in book.roles.series:
        held, what = book.held.get(each.name), f"{each.scenario}: {each.measure}, {each.unit}"
        if held is None:
            rows.append((f"`{each.name}`", what, NOT_MEASURED, *[""] * 7))
            continue
        xs = sorted(held.points)
        if not xs:
            rows.append((f"`{each.name}`", what, "none, see the walls", *[""] * 6, results_words(held)))
            continue
        where = f"{size(xs[0])} to {size(xs[-1])} {each.axis}"
        measured = f"{len(xs)} x {min(len(held.points[x].values) for x in xs)}"
        found = fitted(held.fit) if held.fit else unfitted(held, xs)
        rows.append((f"`{each.name}`", what, where, measured, *found, results_words(held)))
    yield from table(SLOPE_HEAD, rows)
    yield from table(
        FILE_HEAD,
        [
            (
                f"[{name}](capacity/{name}.json)",
                each.subject,
                each.commit,
                each.at,
                each.machine,
                f"`{each.command}`",
            )
            for name, each in book.results.items()
        ],
    )


def results_words(held: Held) -> str:
    return f"{held.file}: {held.results.subject}, {held.results.commit}"


def fitted(found: Fit) -> tuple[str, ...]:
    taken = found.taken
    grown = {Growth.LINE: "n", Growth.N_LOG_N: "n log2 n", Growth.SQUARE: "n²"}[taken.growth]
    words = f"{taken.base:.3g} {'-' if taken.slope < 0 else '+'} {abs(taken.slope):.3g} {grown}"
    if not taken.slope:
        words = f"{taken.base:.3g}, flat"
    return (*(share(curve.residual) for curve in found.curves), words, spread_words(found.spread, found.runs))


def unfitted(held: Held, xs: list[float]) -> tuple[str, ...]:
    values = [held.points[x].values for x in xs]
    widest, runs = max(map(spread, values)), min(map(len, values))
    return "", "", "", f"too few points: {held.why}", spread_words(widest, runs)


def spread_words(widest: float, runs: int) -> str:
    return share(widest) if runs > 1 else "one run"


def walls(book: Book) -> Iterator[str]:
    yield "## Walls\n"
    yield "Where nothing was to be measured, and what the program did; also all points sought for a wall.\n"
    rows: dict[tuple[str, ...], list[str]] = {}  # scenarios that met the same wall at the same place
    for name, results in book.results.items():
        for point in results.points:
            if not point.values or point.scenario == "walls":
                values = f"{', '.join(map(number, point.values))} {point.unit}" if point.values else "none"
                key = (
                    f"{name}: {results.subject}",
                    point.measure,
                    f"{size(point.x)} {point.axis}",
                    values.strip(),
                    point.note,
                )
                rows.setdefault(key, []).append(point.scenario)
    yield from (
        table(
            ("results", "what", "at", "values", "note"),
            [
                (where, f"{', '.join(dict.fromkeys(scenarios))}: {measure}", *rest)
                for (where, measure, *rest), scenarios in rows.items()
            ],
        )
        if rows
        else [f"{NOT_MEASURED}\n"]
    )


def fidelity(book: Book) -> Iterator[str]:
    """Scenarios whose names end in "hollow" and "real", side by side."""
    yield "## Hollow relays beside real ones\n"
    yield FIDELITY
    rows = []
    for name, results in book.results.items():
        places = {(point.scenario, point.measure, point.axis, point.x): point for point in results.points}
        for (scenario, measure, axis, x), hollow in places.items():
            base, _, kind = scenario.rpartition(" ")
            if kind == "hollow" and (real := places.get((f"{base} real", measure, axis, x))):
                rows.append(
                    (f"{base}: {measure}", f"{size(x)} {axis}", cell(hollow), cell(real), hollow.unit, name)
                )
    if not rows:
        yield f"{NOT_MEASURED}\n"
        return
    yield from table(("what", "at", "hollow", "real", "unit", "results"), rows)


def comparison(book: Book) -> Iterator[str]:
    told = book.roles.comparison
    yield "## Before and after\n"
    yield wrapped(filled(book, told.about)) + "\n"
    sides = [name for name in [*told.before, told.after] if name in book.results]
    for name in sides:
        results = book.results[name]
        yield f"- {'after' if name == told.after else 'before'}, {name}: {results.subject}, {results.commit}"
    yield "" if sides else f"{NOT_MEASURED}\n"
    rows = []
    for each in told.series:
        every = {name: points_of(book, name, each) for name in [*told.before, told.after]}
        valued = [name for name in told.before if any(point.values for point in every[name].values())]
        first = next(iter([*valued, *(name for name in told.before if every[name])]), told.before[0])
        old, new = every[first], every[told.after]
        aim = filled(book, each.aim)
        for x in sorted(old | new):
            a, b = old.get(x), new.get(x)
            both = a is not None and b is not None and a.values and b.values and median(a.values)
            ratio = number(median(b.values) / median(a.values)) if both else ""
            rows.append(
                (
                    each.about,
                    f"{size(x)} {each.axis}",
                    cell(a),
                    cell(b),
                    next(point.unit for point in (b, a) if point),
                    ratio,
                    first,
                    aim,
                )
            )
        if not old and not new:
            rows.append((each.about, "", NOT_MEASURED, NOT_MEASURED, "", "", "", aim))
    yield from table(COMPARED_HEAD, rows)


def points_of(book: Book, name: str, each: Compared) -> dict[float, Point]:
    """A file's points of a series; those of its scenario that have no values stand where it has none."""
    results = book.results.get(name)
    every = (
        [point for point in results.points if (point.scenario, point.axis) == (each.scenario, each.axis)]
        if results
        else []
    )
    none = {point.x: point for point in every if not point.values}
    return none | {point.x: point for point in every if point.values and point.measure == each.measure}


def cell(point: Point | None) -> str:
    """The median, and the least and largest run."""
    if point is None:
        return NOT_MEASURED
    if not point.values:
        return "none, see the walls"
    values = point.values
    runs = f" ({number(min(values))} to {number(max(values))})" if len(set(values)) > 1 else ""
    return number(median(values)) + runs


def missing(rows: list[Worked]) -> Iterator[str]:
    yield "## What is missing next\n"
    yield 'By factor over the budget; "must reach" is the figure that the mechanism has to come under.\n'
    rows = [each for each in rows if not each.row.aside]
    over = sorted(
        (each for each in rows if each.factor is not None and each.factor > 1), key=lambda each: -each.factor
    )
    yield from table(
        MISSING_HEAD,
        [
            (
                str(place),
                number(each.factor),
                f"{each.role.name}: {each.row.quantity}",
                figure_words(each),
                budget_words(each),
                mechanism(each.row),
                how_known(each.row.value, each.known),
                each.row.carried_by,
            )
            for place, each in enumerate(over, 1)
        ],
    )
    if unranked := [each for each in rows if each.factor is None and each.row.mechanism == NONE_YET]:
        yield "No mechanism yet, and no factor (no budget told, or not measured):\n"
        yield from (
            f"- {each.role.name}: {each.row.quantity}, {figure_words(each)}"
            + (f"; must reach {budget_words(each)}" if each.row.budget else "")
            for each in unranked
        )
        yield ""
    if unknown := [each for each in rows if each.known is None and each.row.mechanism != NONE_YET]:
        yield "Not ranked, since not measured:\n"
        yield from (f"- {each.role.name}: {each.row.quantity} ({each.why})" for each in unknown)
        yield ""


def carried(book: Book) -> Iterator[str]:
    yield "## What the likely next mechanisms must carry\n"
    for each in book.roles.mechanisms:
        yield f"### {each.name}\n"
        yield from (wrapped(filled(book, words), "- ") for words in each.carries)
        yield ""
