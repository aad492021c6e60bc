"""`limelatch completion`: scripts that complete the command in a shell."""

from __future__ import annotations

import click


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for a shell.

    \b
    bash:  eval "$(limelatch completion bash)"
    zsh:   eval "$(limelatch completion zsh)"
    fish:  limelatch completion fish | source
    """
    from click.shell_completion import get_completion_class

    from limelatch.command import main

    click.echo(get_completion_class(shell)(main, {}, "limelatch", "_LIMELATCH_COMPLETE").source())
