"""The command line `limelatch`. Each group of commands has a module of its own, which is loaded when needed.

Exit codes of all commands: 0 success, 1 a check failed, 2 wrong usage or configuration.
"""

from __future__ import annotations

import importlib

import click

from limelatch import __version__

SUCCESS = 0
CHECK_FAILED = 1
USAGE_ERROR = 2
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


class CheckFailed(click.ClickException):
    """What the command examined is not as it should be: exit code 1."""

    exit_code = CHECK_FAILED


class UsageError(click.ClickException):
    """The command line, or a file that it names, can't be used: exit code 2."""

    exit_code = USAGE_ERROR


class LazyGroup(click.Group):
    """Loads a group's module on first use, so that `relay run` does not load the other groups."""

    def list_commands(self, context: click.Context) -> list[str]:
        """The names of all groups, without loading them."""
        return list(GROUPS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """The command of a name, loaded; None for an unknown name."""
        if name not in GROUPS:
            return None
        module, attribute = GROUPS[name]
        return getattr(importlib.import_module(module), attribute)


@click.command(
    cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100}
)
@click.version_option(__version__, message="limelatch %(version)s")
def main() -> None:
    """Delivers texts to outside partners through rate limits, outages, drains and restarts.

    \b
    Start with     limelatch demo
    then           limelatch config check FILE
                   limelatch relay run --config FILE

    Exit codes: 0 success, 1 a check failed, 2 wrong usage or configuration.
    """
