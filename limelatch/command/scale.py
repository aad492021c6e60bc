"""`limelatch lab scale`: what a relay, many hollow ones and a fleet's control cost, by size."""

from __future__ import annotations

import click

from limelatch.command import BadUse, Wrong


@click.group()
def scale() -> None:
    """Measure the program by size, and make docs/CAPACITY.md from what was measured."""


def counts(word: str) -> list[int]:
    """`7,40,700`; BadUse where it is no such list of whole numbers above 0."""
    found = [int(each) for each in word.split(",") if each.isdigit() and int(each)]
    if len(found) != len(word.split(",")):
        raise BadUse(f"{word!r} is no list of sizes such as 7,40,150")
    return found


def seeds_in(word: str) -> list[int]:
    """`1-3` or `1,5`; BadUse where it is no such list."""
    from limelatch.lab.experiments import seeds_of

    try:
        return seeds_of(word)
    except ValueError:
        raise BadUse(f"{word!r} is no list of seeds such as 1-3 or 1,5") from None


def save_points(out: str, command: str, points: list) -> None:
    """Write a file of results with the commit, the machine and the time."""
    from datetime import UTC, datetime

    from limelatch.lab.scale.results import Results, commit_of, machine, save

    at = datetime.now(UTC).strftime("%Y-%m-%dT%H:%MZ")
    try:
        save(out, Results("limelatch", command, commit_of(), at, machine(), points))
    except OSError as error:
        raise Wrong(f"{out}: {error.strerror}") from None
    click.echo(f"{len(points)} points in {out}")


@scale.command()
@click.option("--relays", default="7,40,150,400,700", show_default=True, metavar="LIST",
              help="Numbers of hollow relays.")
@click.option("--seeds", default="1-3", show_default=True, metavar="LIST", help="A run each.")
@click.option("--processes", type=click.IntRange(1, 16), default=2, show_default=True,
              help="Runs at once.")
@click.option("--form", type=click.Choice(["all", "short", "held", "fidelity"]), default="all",
              show_default=True, help="Texts valid for seconds; for hours; or hollow beside 7 real relays.")
@click.option("--out", default="docs/capacity/hollow.json", show_default=True, help="The file of results.")
def hollow(relays: str, seeds: str, processes: int, form: str, out: str) -> None:
    """What a down, a returning and a lowered destination get from all relays together."""
    from limelatch.lab.scale.hollow import LONG, SHORT, measure, measure_fidelity
    from limelatch.lab.stages.errors import StageError

    sizes, numbers, points = counts(relays), seeds_in(seeds), []

    def told(line: str) -> None:
        click.echo(line, err=True)

    try:
        for name, each in (("short", SHORT), ("held", LONG)):
            if form in ("all", name):
                points += measure(each, sizes, numbers, processes, told)
        if form in ("all", "fidelity"):
            points += measure_fidelity(numbers, told)
    except StageError as error:
        raise Wrong(str(error)) from None
    save_points(out, f"limelatch lab scale hollow --relays {relays} --seeds {seeds} --form {form}", points)


@scale.command()
@click.option("--watchers", default="35,100,350,700", show_default=True, metavar="LIST",
              help="Numbers of hollow watchers; cuts are made with the most.")
@click.option("--rows", default="2000,20000,60000,180000", show_default=True, metavar="LIST",
              help="Rows of the list, for starts of a rack and a zone at once.")
@click.option("--runs", type=click.IntRange(1, 20), default=3, show_default=True, help="Of each.")
@click.option("--out", default="docs/capacity/control.json", show_default=True, help="The file of results.")
def control(watchers: str, rows: str, runs: int, out: str) -> None:
    """A change's way through 5 control machines, cuts that end, starts of a rack and a zone."""
    import asyncio

    from limelatch.lab.scale.control import measure
    from limelatch.lab.stages.errors import StageError

    try:
        points = asyncio.run(measure(counts(watchers), counts(rows), runs,
                                     lambda line: click.echo(line, err=True)))
    except StageError as error:
        raise Wrong(str(error)) from None
    save_points(out, f"limelatch lab scale control --watchers {watchers} --rows {rows} --runs {runs}", points)
