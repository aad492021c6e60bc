"""`limelatch lab scale`: measures by size a relay, fleets of simulated relays, and the control machines."""

from __future__ import annotations

import click

from limelatch.command import CheckFailed, UsageError


@click.group()
def scale() -> None:
    """Measure the program by size, and generate docs/CAPACITY.md from the results."""


@scale.command()
@click.option(
    "--relays", default=30, show_default=True, type=click.IntRange(1), help="Relay processes in all."
)
@click.option(
    "--killed",
    default=0.7,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="The share that is killed at once.",
)
@click.option("--silent", default=8.0, show_default=True, help="Seconds for which discovery is silent.")
@click.option(
    "--share",
    default=0.4,
    show_default=True,
    type=click.FloatRange(0.01),
    help="The share of a core that a relay has.",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--out", default="docs/capacity/ready.json", show_default=True)
def ready(relays: int, killed: float, silent: float, share: float, seed: int, out: str) -> None:
    """Kill relays with full ledgers while discovery is silent, and measure how long they take to serve."""
    import asyncio
    from datetime import UTC, datetime
    from pathlib import Path
    from statistics import quantiles

    from limelatch.lab.scale.ready import points, restarts
    from limelatch.lab.scale.results import Results, commit_of, machine, save

    starts = asyncio.run(restarts(relays, max(1, round(relays * killed)), silent, seed))
    found = points(starts, relays, share)
    options = f"--relays {relays} --killed {killed} --silent {silent} --share {share} --seed {seed}"
    Path(out).parent.mkdir(parents=True, exist_ok=True)
    save(
        out,
        Results(
            "program",
            f"lab scale ready {options}",
            commit_of(),
            datetime.now(UTC).isoformat(timespec="seconds"),
            machine(),
            found,
        ),
    )
    for each in found:
        parts = quantiles(each.values, n=10, method="inclusive") if len(each.values) > 1 else each.values * 9
        click.echo(
            f"{each.measure:<24} half {parts[4]:.2f} s, nine in ten {parts[8]:.2f} s,"
            f" longest {each.values[-1]:.2f} s"
        )
    click.echo(found[0].note)


def counts(word: str) -> list[int]:
    """The sizes in a list such as `7,40,700`. Raises UsageError for anything but whole numbers above 0."""
    found = [int(each) for each in word.split(",") if each.isdigit() and int(each)]
    if len(found) != len(word.split(",")):
        raise UsageError(f"{word!r} is no list of sizes such as 7,40,150")
    return found


def seeds_in(word: str) -> list[int]:
    """The seeds in a list such as `1-3` or `1,5`. Raises UsageError for an invalid list."""
    from limelatch.lab.experiments import seeds_of

    try:
        return seeds_of(word)
    except ValueError:
        raise UsageError(f"{word!r} is no list of seeds such as 1-3 or 1,5") from None


def save_points(out: str, command: str, points: list) -> None:
    """Write a file of results with the commit, the machine and the time. Raises CheckFailed on failure."""
    from datetime import UTC, datetime

    from limelatch.lab.scale.results import Results, commit_of, machine, save

    at = datetime.now(UTC).strftime("%Y-%m-%dT%H:%MZ")
    try:
        save(out, Results("limelatch", command, commit_of(), at, machine(), points))
    except OSError as error:
        raise CheckFailed(f"{out}: {error.strerror}") from None
    click.echo(f"{len(points)} points in {out}")


@scale.command()
@click.option(
    "--relays",
    default="7,40,150,400,700",
    show_default=True,
    metavar="LIST",
    help="Numbers of hollow (simulated) relays.",
)
@click.option("--seeds", default="1-3", show_default=True, metavar="LIST", help="One run for each.")
@click.option("--processes", type=click.IntRange(1, 16), default=2, show_default=True, help="Runs at once.")
@click.option(
    "--form",
    type=click.Choice(["all", "short", "held", "fidelity"]),
    default="all",
    show_default=True,
    help="Texts valid for seconds, for hours, or hollow relays compared with 7 real ones.",
)
@click.option("--out", default="docs/capacity/hollow.json", show_default=True, help="The file of results.")
def hollow(relays: str, seeds: str, processes: int, form: str, out: str) -> None:
    """Measure what all relays together send to a destination that is down, returns or has less capacity."""
    from limelatch.lab.scale.hollow import LONG, SHORT, measure, measure_fidelity
    from limelatch.lab.stages.errors import StageError

    sizes, numbers, points = counts(relays), seeds_in(seeds), []

    def print_progress(line: str) -> None:
        click.echo(line, err=True)

    try:
        for name, each in (("short", SHORT), ("held", LONG)):
            if form in ("all", name):
                points += measure(each, sizes, numbers, processes, print_progress)
        if form in ("all", "fidelity"):
            points += measure_fidelity(numbers, print_progress)
    except StageError as error:
        raise CheckFailed(str(error)) from None
    save_points(out, f"limelatch lab scale hollow --relays {relays} --seeds {seeds} --form {form}", points)


@scale.command()
@click.option(
    "--watchers",
    default="35,100,350,700",
    show_default=True,
    metavar="LIST",
    help="Numbers of hollow watchers; cuts use the largest.",
)
@click.option(
    "--rows",
    default="2000,20000,60000,180000",
    show_default=True,
    metavar="LIST",
    help="Rows in the list, for simultaneous starts of a rack and a zone.",
)
@click.option("--runs", type=click.IntRange(1, 20), default=3, show_default=True, help="Runs of each.")
@click.option("--out", default="docs/capacity/control.json", show_default=True, help="The file of results.")
def control(watchers: str, rows: str, runs: int, out: str) -> None:
    """Measure changes sent through 5 control machines, the end of cuts, and starts of a rack and a zone."""
    import asyncio

    from limelatch.lab.scale.control import measure
    from limelatch.lab.stages.errors import StageError

    try:
        points = asyncio.run(
            measure(counts(watchers), counts(rows), runs, lambda line: click.echo(line, err=True))
        )
    except StageError as error:
        raise CheckFailed(str(error)) from None
    save_points(out, f"limelatch lab scale control --watchers {watchers} --rows {rows} --runs {runs}", points)


def whole_numbers(context: click.Context, parameter: click.Parameter, word: str) -> list[int]:
    """Click callback: the sizes in a list such as 200,2000, each 40 or more."""
    try:
        numbers = [int(each) for each in word.split(",")]
    except ValueError:
        raise click.BadParameter("expected whole numbers, such as 200,2000") from None
    if min(numbers) < 40:
        raise click.BadParameter("at least 40 destinations are needed")
    return numbers


@scale.command()
@click.option(
    "--sizes",
    default="200,2000",
    show_default=True,
    metavar="LIST",
    callback=whole_numbers,
    help="Numbers of destinations.",
)
@click.option("--runs", default=1, show_default=True, type=click.IntRange(1), help="Runs of each scenario.")
@click.option(
    "--scenarios",
    metavar="LIST",
    help="Some of: walls, start, rest, text, change, burst, list, "
    "wake, folder, trickle, beside, down, backlog, pair.  [default: start to folder]",
)
@click.option(
    "--tree",
    default=".",
    show_default=True,
    type=click.Path(exists=True, file_okay=False),
    help="The directory of the program to measure, such as another commit's.",
)
@click.option(
    "--against",
    type=click.Path(exists=True, file_okay=False),
    help="The other program for `pair`, which gives two relays the same texts in turns.",
)
@click.option("--subject", default="this tree", show_default=True, help="The program's name in the results.")
@click.option(
    "--out",
    type=click.Path(dir_okay=False),
    help="The file of results; new points replace earlier ones of the same measure.",
)
@click.option("--quiet", is_flag=True, help="Show no progress.")
def relay(
    sizes: list[int],
    runs: int,
    scenarios: str | None,
    tree: str,
    against: str | None,
    subject: str,
    out: str | None,
    quiet: bool,
) -> None:
    """Measure from outside what one real relay costs by the number of its destinations.

    Starts relay processes on loopback with stand-ins of its own. It measures memory, processor time,
    descriptors and control bytes at the start, from the state directory, at rest, for a change, a burst,
    a new list, a slowly sent list, a thousand destinations woken at once, texts next to shut destinations,
    and a backlog. `walls` searches for the size at which the relay stops working. Exit 0 also if points have
    no values: these say why.
    """
    import asyncio
    from pathlib import Path

    from limelatch.command import UsageError
    from limelatch.lab.scale import one

    chosen = tuple(scenarios.split(",")) if scenarios else one.SIZED
    if unknown := set(chosen) - set(one.ALL):
        raise UsageError(f"no such scenario: {', '.join(sorted(unknown))}; there are {', '.join(one.ALL)}")
    if ("pair" in chosen) != (against is not None):
        raise UsageError("pair needs --against, and nothing else does")
    for folder in (tree, against or tree):
        if not (Path(folder) / "limelatch" / "relay").is_dir():
            raise UsageError(f"no program in {folder}")
    options = f"limelatch lab scale relay --sizes {','.join(map(str, sizes))} --runs {runs}"
    options += f" --scenarios {','.join(chosen)} --subject '{subject}'"

    def keep(points: list) -> None:
        if out:
            one.store(Path(out), subject, options, Path(tree), points)

    try:
        points = asyncio.run(
            one.measure(
                Path(tree),
                sizes,
                runs,
                chosen,
                lambda line: None if quiet else click.echo(line, err=True),
                keep,
                against and Path(against),
            )
        )
    except one.OtherRun as error:
        raise UsageError(str(error)) from None
    except asyncio.CancelledError:
        raise click.Abort from None
    for each in points:
        values = " ".join(f"{value:g}" for value in each.values) or "-"
        click.echo(
            f"{each.scenario:8} {each.x:>8g} {each.axis:18} {each.measure:36} {values} {each.unit}"
            f"{'   (' + each.note + ')' if each.note else ''}"
        )


@scale.command("page")
@click.option(
    "--folder",
    default="docs/capacity",
    show_default=True,
    type=click.Path(file_okay=False),
    help="The directory of roles.toml and the files of results.",
)
def page_of(folder: str) -> None:
    """Print docs/CAPACITY.md, which is generated from the results of the other commands.

    Exit 2 if roles.toml or a file of results can't be read, or refers to something that is missing."""
    import msgspec

    from limelatch.command import UsageError
    from limelatch.lab.scale.page import page

    try:
        click.echo(page(folder), nl=False)
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        raise UsageError(f"{folder}: {error}") from None
