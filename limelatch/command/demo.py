"""`limelatch demo`: a relay at work against embedded stand-ins."""

from __future__ import annotations

import asyncio
import sys

import click

from limelatch.command import CHECK_FAILED, CheckFailed

INTERRUPTED = 130  # the exit code that shells use for an end by SIGINT


@click.command()
@click.option(
    "--seconds", type=click.FloatRange(8, 600), default=20, show_default=True, help="How long the demo lasts."
)
@click.option("--plain", is_flag=True, help="Print plain lines on a terminal too.")
def demo(seconds: float, plain: bool) -> None:
    """Show a relay at work: partners, catalog and platform on loopback ports, in a temporary folder.

    One partner refuses every third call, one goes down and returns. The demo ends by itself with a summary:
    how many texts were delivered, repeated, nacked and undeliverable, and whether each accepted text got
    exactly one final answer.
    """
    from limelatch.standin.demo import play

    try:
        succeeded = asyncio.run(play(seconds, click.echo, sys.stdout.isatty() and not plain))
    except asyncio.CancelledError:
        raise SystemExit(INTERRUPTED) from None
    except RuntimeError as error:
        raise CheckFailed(str(error)) from None
    if not succeeded:
        raise SystemExit(CHECK_FAILED)
