"""`limelatch lab membership`: fleets of members under faults, measured."""

from __future__ import annotations

import click

from limelatch.command import UsageError, CheckFailed


def names(word: str, known: list[str], what: str) -> list[str]:
    """`a,b` of the known ones, or `all`; UsageError for any other."""
    if word == "all":
        return known
    found = word.split(",")
    for name in found:
        if name not in known:
            raise UsageError(f"{name!r} is no {what}; there are {', '.join(known)}")
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
@click.option("--members", default="10", show_default=True, metavar="LIST", help="Sizes, as 10,100,700.")
@click.option("--seeds", default="1-3", show_default=True, metavar="LIST")
@click.option("--processes", default=2, show_default=True, type=click.IntRange(1))
@click.option("--out", default="membership.json", show_default=True)
@click.option("--keep", is_flag=True, help="Keep the points of the same commit that the file has already.")
def membership(cells: str, ways: str, members: str, seeds: str, processes: int, out: str, keep: bool) -> None:
    """Play faults to fleets on a virtual clock: time to agree, wrong verdicts, bytes, processor, memory.

    \b
    Example:  limelatch lab membership --cells kill,halves --members 10,100 --seeds 1-10
    """
    from limelatch.command.scale import counts, save_points, seeds_in
    from limelatch.lab.membership.cells import CELLS, WAYS, Outcome
    from limelatch.lab.membership.measure import Plan, joined, memory, outcomes, points
    from limelatch.lab.scale.results import load, save

    played, found, sizes = names(cells, list(CELLS), "cell"), names(ways, list(WAYS), "way"), counts(members)
    plans = [
        Plan(cell, way, size, seed)
        for size in sizes
        for cell in played
        for way in found
        for seed in seeds_in(seeds)
    ]

    def told(outcome: Outcome) -> None:
        click.echo(
            f"{outcome.way:<11} {outcome.cell:<10} {outcome.members:>4} seed {outcome.seed:<3} "
            f"agreed {outcome.agreed:>5.1f} s  healed {outcome.healed:>5.1f} s  "
            f"wrong {outcome.wrong:>4}  {outcome.bytes_most:>6.0f} B/s at most"
        )

    made = points(outcomes(plans, processes, told)) + memory(found, sizes)
    words = f"--cells {cells} --ways {ways} --members {members} --seeds {seeds}"
    before = load(out) if keep else None
    save_points(out, f"lab membership {words}", made)
    if before is not None:
        try:
            save(out, joined(before, load(out)))
        except ValueError as error:
            raise CheckFailed(f"{out} holds the new points alone: {error}") from None
