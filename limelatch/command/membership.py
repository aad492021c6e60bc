"""`limelatch lab membership`: measures the membership protocol under faults, on a virtual clock."""

from __future__ import annotations

import click

from limelatch.command import CheckFailed, UsageError


def select_names(word: str, known: list[str], what: str) -> list[str]:
    """The names in a list such as `a,b`, or all known ones for `all`. Raises UsageError for others."""
    if word == "all":
        return known
    found = word.split(",")
    for name in found:
        if name not in known:
            raise UsageError(f"{name!r} is not a {what}; known are {', '.join(known)}")
    return found


@click.command()
@click.option("--cells", default="all", show_default=True, metavar="LIST", help="Faults.")
@click.option(
    "--ways",
    default="all",
    show_default=True,
    metavar="LIST",
    help="`member`, and the baselines `plain-swim` and `heartbeats`.",
)
@click.option(
    "--members", default="10", show_default=True, metavar="LIST", help="Fleet sizes, such as 10,100,700."
)
@click.option("--seeds", default="1-3", show_default=True, metavar="LIST")
@click.option("--processes", default=2, show_default=True, type=click.IntRange(1))
@click.option("--out", default="membership.json", show_default=True)
@click.option("--keep", is_flag=True, help="Keep the points of the same commit that are in the file.")
def membership(cells: str, ways: str, members: str, seeds: str, processes: int, out: str, keep: bool) -> None:
    """Measure fleets under faults: time to agree, wrong verdicts, bytes, processor time and memory.

    The fleets run on a virtual clock.

    \b
    Example:  limelatch lab membership --cells kill,halves --members 10,100 --seeds 1-10
    """
    from limelatch.command.scale import counts, save_points, seeds_in
    from limelatch.lab.membership.cells import CELLS, WAYS, Outcome
    from limelatch.lab.membership.measure import Plan, memory_points, merge_results, play_plans, points
    from limelatch.lab.scale.results import load, save

    cell_names, way_names, sizes = (
        select_names(cells, list(CELLS), "cell"),
        select_names(ways, list(WAYS), "way"),
        counts(members),
    )
    plans = [
        Plan(cell, way, size, seed)
        for size in sizes
        for cell in cell_names
        for way in way_names
        for seed in seeds_in(seeds)
    ]

    def print_outcome(outcome: Outcome) -> None:
        click.echo(
            f"{outcome.way:<11} {outcome.cell:<10} {outcome.members:>4} seed {outcome.seed:<3} "
            f"agreed {outcome.agreed:>5.1f} s  healed {outcome.healed:>5.1f} s  "
            f"wrong {outcome.wrong:>4}  {outcome.bytes_most:>6.0f} B/s at most"
        )

    measured = points(play_plans(plans, processes, print_outcome)) + memory_points(way_names, sizes)
    options = f"--cells {cells} --ways {ways} --members {members} --seeds {seeds}"
    before = load(out) if keep else None
    save_points(out, f"lab membership {options}", measured)
    if before is not None:
        try:
            save(out, merge_results(before, load(out)))
        except ValueError as error:
            raise CheckFailed(f"{out} now has only the new points: {error}") from None
