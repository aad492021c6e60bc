"""`limelatch lab scale`: what a relay, many hollow ones and a fleet's control cost, by size."""

from __future__ import annotations

import click


@click.group()
def scale() -> None:
    """Measure the program by size, and make docs/CAPACITY.md from what was measured."""


@scale.command()
@click.option("--relays", default=30, show_default=True, type=click.IntRange(1), help="Processes in all.")
@click.option("--killed", default=0.7, show_default=True, type=click.FloatRange(0, 1),
              help="Of them, at once.")
@click.option("--silent", default=8.0, show_default=True, help="Seconds for which discovery is silent.")
@click.option("--share", default=0.4, show_default=True, type=click.FloatRange(0.01),
              help="Of a core that a relay has.")
@click.option("--seed", default=1, show_default=True)
@click.option("--out", default="docs/capacity/ready.json", show_default=True)
def ready(relays: int, killed: float, silent: float, share: float, seed: int, out: str) -> None:
    """Kill relays with full folders while discovery is silent, and time them until they serve again."""
    import asyncio
    from datetime import UTC, datetime
    from pathlib import Path
    from statistics import quantiles

    from limelatch.lab.scale.ready import points, restarts
    from limelatch.lab.scale.results import Results, commit_of, machine, save

    starts = asyncio.run(restarts(relays, max(1, round(relays * killed)), silent, seed))
    found = points(starts, relays, share)
    words = f"--relays {relays} --killed {killed} --silent {silent} --share {share} --seed {seed}"
    Path(out).parent.mkdir(parents=True, exist_ok=True)
    save(out, Results("program", f"lab scale ready {words}", commit_of(),
                      datetime.now(UTC).isoformat(timespec="seconds"), machine(), found))
    for each in found:
        parts = quantiles(each.values, n=10, method="inclusive") if len(each.values) > 1 else each.values * 9
        click.echo(f"{each.measure:<24} half {parts[4]:.2f} s, nine in ten {parts[8]:.2f} s,"
                   f" longest {each.values[-1]:.2f} s")
    click.echo(found[0].note)
