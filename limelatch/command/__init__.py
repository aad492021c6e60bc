"""The command `limelatch`: a file a group, each loaded when it is named; they parse, call and print.

Exit codes, the same everywhere: 0 done, 1 found wrong, 2 bad use or configuration.
"""

from __future__ import annotations

import importlib

import click

from limelatch import __version__

DONE, WRONG, BAD_USE = 0, 1, 2
GROUPS = {
    "relay": ("limelatch.command.relay", "relay"),
    "config": ("limelatch.command.config", "config"),
    "ledger": ("limelatch.command.ledger", "ledger"),
    "text": ("limelatch.command.text", "text"),
    "ping": ("limelatch.command.text", "ping"),
    "lab": ("limelatch.command.lab", "lab"),
    "demo": ("limelatch.command.demo", "demo"),
    "completion": ("limelatch.command.completion", "completion"),
}


class Wrong(click.ClickException):
    """What was looked at is not as it should be: exit 1."""

    exit_code = WRONG


class BadUse(click.ClickException):
    """The command, or a configuration that it names, can't be used: exit 2."""

    exit_code = BAD_USE


class Groups(click.Group):
    """Loads a group's module when it is asked for, so that `relay run` carries none of the others."""

    def list_commands(self, context: click.Context) -> list[str]:
        return list(GROUPS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in GROUPS:
            return None
        module, attribute = GROUPS[name]
        return getattr(importlib.import_module(module), attribute)


@click.command(cls=Groups, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(__version__, message="limelatch %(version)s")
def main() -> None:
    """A relay of texts to outside partners, through limits, outages, drains and restarts.

    \b
    Begin with     limelatch demo
    then           limelatch config check FILE
                   limelatch relay run --config FILE

    Exit codes: 0 done, 1 found wrong, 2 bad use or configuration.
    """
