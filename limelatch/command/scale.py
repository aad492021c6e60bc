"""`limelatch lab scale`: what a relay, many hollow ones and a fleet's control cost, by size."""

from __future__ import annotations

import click


@click.group()
def scale() -> None:
    """Measure the program by size, and make docs/CAPACITY.md from what was measured."""


@scale.command("page")
@click.option("--folder", default="docs/capacity", show_default=True, type=click.Path(file_okay=False),
              help="Where roles.toml and the files of results are.")
def page_of(folder: str) -> None:
    """Print docs/CAPACITY.md, made from the results of the other commands.

    Exit 2 where roles.toml or a file of results can't be read, or names what is not there."""
    import msgspec

    from limelatch.command import BadUse
    from limelatch.lab.scale.page import page

    try:
        click.echo(page(folder), nl=False)
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        raise BadUse(f"{folder}: {error}") from None
