"""`limelatch demo`: the main job at once, on an embedded stand-in."""

from __future__ import annotations

import asyncio
import sys

import click

from limelatch.command import WRONG, Wrong

INTERRUPTED = 130


@click.command()
@click.option(
    "--seconds", type=click.FloatRange(8, 600), default=20, show_default=True, help="How long it lasts."
)
@click.option("--plain", is_flag=True, help="Plain lines, on a terminal too.")
def demo(seconds: float, plain: bool) -> None:
    """Show a relay at work: partners, catalog and platform on loopback ports, in a temporary folder.

    One partner refuses every third call, one dies and returns. It ends by itself with a summary: what was
    delivered, repeated, nacked and undeliverable, and whether each text got its one end.
    """
    from limelatch.standin.demo import play

    try:
        good = asyncio.run(play(seconds, click.echo, sys.stdout.isatty() and not plain))
    except asyncio.CancelledError:
        raise SystemExit(INTERRUPTED) from None
    except RuntimeError as error:
        raise Wrong(str(error)) from None
    if not good:
        raise SystemExit(WRONG)
