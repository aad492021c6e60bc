"""Plays cells side by side and makes points of results from their outcomes."""

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
NOT_REACHED = -1.0


@dataclass(frozen=True, slots=True)
class Plan:
    """One cell that is wanted."""

    cell: str
    way: str
    members: int
    seed: int


def play_plan(plan: Plan) -> Outcome:
    return play(plan.cell, plan.way, plan.members, plan.seed)


def play_plans(plans: list[Plan], processes: int, on_outcome: Callable[[Outcome], None]) -> list[Outcome]:
    """All of them, in the order given; raises Broken for a run in which an invariant did not hold."""
    found = []
    with ProcessPoolExecutor(processes) as pool:
        for outcome in pool.map(play_plan, plans):
            on_outcome(outcome)
            found.append(outcome)
    return found


def points(found: Iterable[Outcome]) -> list[Point]:
    """A point for each cell, way, size and measure; its values are those of the seeds."""
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
    """The points of both, the new ones in place of old ones of the same series and size.

    Raises ValueError where they are of different commits."""
    if old.commit != new.commit:
        raise ValueError(f"{old.commit} is not {new.commit}")
    replaced = {(each.scenario, each.measure, each.x) for each in new.points}
    kept = [each for each in old.points if (each.scenario, each.measure, each.x) not in replaced]
    return msgspec.structs.replace(new, command=f"{old.command}; {new.command}", points=kept + new.points)


def memory_points(ways: Iterable[str], sizes: Iterable[int]) -> list[Point]:
    """What one member holds that knows all others."""
    sizes = list(sizes)
    return [
        Point(f"{way}: rest", "memory", "B", AXIS, size, [memory_per_member(way, size)])
        for way in ways
        for size in sizes
    ]
