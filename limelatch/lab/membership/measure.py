"""Runs cells in parallel and turns their outcomes into points of results."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import msgspec

from limelatch.lab.membership.cells import Outcome, memory_per_member, play
from limelatch.lab.scale.results import Point, Results

AXIS = "members"
MEASURES = {
    "agreed": "s",
    "healed": "s",
    "wrong": "verdicts",
    "bytes_most": "B/s",
    "bytes_mean": "B/s",
    "processor": "of a core",
}
NOT_REACHED = -1.0  # a duration that was not reached in time


@dataclass(frozen=True, slots=True)
class Plan:
    """One cell to run."""

    cell: str
    way: str
    members: int
    seed: int


def play_plan(plan: Plan) -> Outcome:
    """Run the cell of a plan. Raises InvariantError if an invariant does not hold."""
    return play(plan.cell, plan.way, plan.members, plan.seed)


def play_plans(plans: list[Plan], processes: int, on_outcome: Callable[[Outcome], None]) -> list[Outcome]:
    """Run the plans in `processes` processes; outcomes in the order of the plans.

    `on_outcome` is called with each outcome. Raises InvariantError if an invariant does not hold."""
    found = []
    with ProcessPoolExecutor(processes) as pool:
        for outcome in pool.map(play_plan, plans):
            on_outcome(outcome)
            found.append(outcome)
    return found


def points(found: Iterable[Outcome]) -> list[Point]:
    """A point for each cell, way, size and measure, with one value for each seed."""
    groups: dict[tuple[str, str, int], list[Outcome]] = {}
    for outcome in found:
        groups.setdefault((outcome.way, outcome.cell, outcome.members), []).append(outcome)
    made = []
    for (way, cell, members), group in groups.items():
        span = sum(each.simulated for each in group)
        for measure, unit in MEASURES.items():
            values = [getattr(each, measure) for each in group]
            reached = [value for value in values if value != NOT_REACHED]
            if not reached:
                continue
            note = f"{len(group)} seeds, {span:.0f} s simulated"
            if len(reached) < len(values):
                note += f"; {len(values) - len(reached)} not within 40 s"
            made.append(Point(f"{way}: {cell}", measure, unit, AXIS, members, reached, note))
    return made


def merge_results(old: Results, new: Results) -> Results:
    """Join the points of both results; new ones replace old ones of the same series and size.

    Raises ValueError if the results are of different commits."""
    if old.commit != new.commit:
        raise ValueError(f"{old.commit} is not the same commit as {new.commit}")
    replaced = {(each.scenario, each.measure, each.x) for each in new.points}
    kept = [each for each in old.points if (each.scenario, each.measure, each.x) not in replaced]
    return msgspec.structs.replace(new, command=f"{old.command}; {new.command}", points=kept + new.points)


def memory_points(ways: Iterable[str], sizes: Iterable[int]) -> list[Point]:
    """Points of the memory of one member that knows all others."""
    sizes = list(sizes)
    return [
        Point(f"{way}: rest", "memory", "B", AXIS, size, [memory_per_member(way, size)])
        for way in ways
        for size in sizes
    ]
