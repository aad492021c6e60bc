"""`limelatch lab scale`: what a relay, many hollow ones and a fleet's control cost, by size."""

from __future__ import annotations

import click


@click.group()
def scale() -> None:
    """Measure the program by size, and make docs/CAPACITY.md from what was measured."""
