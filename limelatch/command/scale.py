"""`limelatch lab scale`: what a relay, many hollow ones and a fleet's control cost, by size."""

from __future__ import annotations

import click


@click.group()
def scale() -> None:
    """Measure the program by size, and make docs/CAPACITY.md from what was measured."""


def whole_numbers(context: click.Context, parameter: click.Parameter, word: str) -> list[int]:
    """Such as 200,2000."""
    try:
        numbers = [int(each) for each in word.split(",")]
    except ValueError:
        raise click.BadParameter("wanted are whole numbers, such as 200,2000") from None
    if min(numbers) < 40:
        raise click.BadParameter("40 destinations are the least")
    return numbers


@scale.command()
@click.option("--sizes", default="200,2000", show_default=True, metavar="LIST", callback=whole_numbers,
              help="Numbers of destinations.")
@click.option("--runs", default=1, show_default=True, type=click.IntRange(1), help="Of each scenario.")
@click.option("--scenarios", metavar="LIST", help="Some of: walls, start, rest, text, change, burst, list, "
              "wake, folder, trickle, beside, down, backlog, pair.  [default: start to folder]")
@click.option("--tree", default=".", show_default=True, type=click.Path(exists=True, file_okay=False),
              help="Folder of the program to be measured; another commit's, say.")
@click.option("--against", type=click.Path(exists=True, file_okay=False),
              help="Folder of the other program of `pair`, which gives two relays the same texts by turns.")
@click.option("--subject", default="this tree", show_default=True, help="What the results call it.")
@click.option("--out", type=click.Path(dir_okay=False), help="File of results; what is measured again takes "
              "the place of earlier points.")
@click.option("--quiet", is_flag=True, help="No progress.")
def relay(sizes: list[int], runs: int, scenarios: str | None, tree: str, against: str | None,
          subject: str, out: str | None, quiet: bool) -> None:
    """What one real relay costs by the number of its destinations, from outside.

    Starts relay processes on loopback among stand-ins of its own: memory, processor time, descriptors and
    control bytes at the start, from the folder, at rest, for a change, a burst, a new list, a trickling
    list, a thousand woken at once, texts beside shut destinations, and a backlog. `walls` looks for where
    it stops working. Exit 0 also where points have no values: these say why.
    """
    import asyncio
    from pathlib import Path

    from limelatch.command import BadUse
    from limelatch.lab.scale import one

    chosen = tuple(scenarios.split(",")) if scenarios else one.SIZED
    if unknown := set(chosen) - set(one.ALL):
        raise BadUse(f"no such scenario: {', '.join(sorted(unknown))}; there are {', '.join(one.ALL)}")
    if ("pair" in chosen) != (against is not None):
        raise BadUse("pair wants --against, and nothing else does")
    for folder in (tree, against or tree):
        if not (Path(folder) / "limelatch" / "relay").is_dir():
            raise BadUse(f"no program in {folder}")
    words = f"limelatch lab scale relay --sizes {','.join(map(str, sizes))} --runs {runs}"
    words += f" --scenarios {','.join(chosen)} --subject '{subject}'"

    def keep(points: list) -> None:
        if out:
            one.store(Path(out), subject, words, Path(tree), points)

    try:
        points = asyncio.run(one.measure(Path(tree), sizes, runs, chosen, lambda line: None if quiet
                                         else click.echo(line, err=True), keep, against and Path(against)))
    except one.OtherRun as error:
        raise BadUse(str(error)) from None
    except asyncio.CancelledError:
        raise click.Abort from None
    for each in points:
        values = " ".join(f"{value:g}" for value in each.values) or "-"
        click.echo(f"{each.scenario:8} {each.x:>8g} {each.axis:18} {each.measure:36} {values} {each.unit}"
                   f"{'   (' + each.note + ')' if each.note else ''}")
