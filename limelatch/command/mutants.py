"""`limelatch lab mutants`: whether the soak catches a relay from which one guard was removed."""

from __future__ import annotations

import signal
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click

from limelatch.command import CHECK_FAILED, UsageError
from limelatch.command.soak import INTERRUPTED, MAX_JOBS, Soak, seeds_of


@click.command()
@click.option("--seeds", default="1-50", show_default=True, metavar="LIST", help="Such as 1-8 or 1,5,9.")
@click.option("--jobs", default=2, show_default=True, type=click.IntRange(1, MAX_JOBS), help="Plays at once.")
@click.option(
    "--seconds",
    default=30.0,
    show_default=True,
    type=click.FloatRange(10, 600),
    help="How long texts are handed in.",
)
@click.option(
    "--only",
    multiple=True,
    metavar="WORDS",
    help="Only mutants whose names have these words; may be repeated.",
)
def mutants(seeds: str, jobs: int, seconds: float, only: tuple[str, ...]) -> None:
    """Remove guards from the relay one at a time, and print the first seed of the soak that catches each.

    Exit 1 if one is not caught.
    """
    from limelatch.lab.soak.mutants import MUTANTS

    chosen = seeds_of(seeds)
    selected = [each for each in MUTANTS if not only or any(words in each.name for words in only)]
    if not selected:
        raise UsageError(f"no mutant's name contains any of {', '.join(only)}")
    soaks: list[Soak] = []
    signal.signal(signal.SIGINT, signal.default_int_handler)  # a shell may have it ignored
    with ThreadPoolExecutor(jobs) as pool:
        try:
            caught = list(pool.map(lambda mutant: first_seed(mutant, chosen, seconds, soaks), selected))
        except KeyboardInterrupt:
            pool.shutdown(wait=False, cancel_futures=True)
            for each in soaks:
                each.end()
            click.echo("interrupted", err=True)
            raise SystemExit(INTERRUPTED) from None
    click.echo(f"{sum(caught)} of {len(selected)} caught")
    if not all(caught):
        raise SystemExit(CHECK_FAILED)


def first_seed(mutant, seeds: list[int], seconds: float, soaks: list[Soak]) -> bool:
    """Play seeds until one catches the mutant; returns whether one did.

    A play whose stage was late does not count."""
    from limelatch.lab.soak.mutants import write_mutant
    from limelatch.lab.soak.run import HERE, is_late

    with tempfile.TemporaryDirectory(prefix="limelatch-mutant-") as place:
        folder = Path(place)
        write_mutant(mutant, HERE, folder / "tree")
        soak = Soak(seeds, 1, seconds, folder, folder / "tree")
        soaks.append(soak)
        for seed in seeds:
            verdict = soak.play(seed)
            if soak.interrupted:
                return False
            if verdict is None:
                click.echo(f"{mutant.name}: {soak.unplayed[-1]}")
                return True
            if not verdict.kept and not is_late(verdict):
                rules = sorted({found.rule for found in verdict.found})
                click.echo(
                    f"{mutant.name}: seed {seed}: {', '.join(rules)}: {verdict.found[0].lines[0][:200]}"
                )
                return True
    click.echo(f"{mutant.name}: not caught in {len(seeds)} seeds")
    return False
