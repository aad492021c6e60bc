"""`limelatch relay`: one relay."""

from __future__ import annotations

import sys

import click


@click.group()
def relay() -> None:
    """Run a relay."""


@relay.command()
@click.option(
    "--config",
    "path",
    metavar="FILE",
    envvar="RELAY_CONFIG",
    show_envvar=True,
    help="The configuration, TOML or the platform's JSON.",
)
@click.option(
    "--form", type=click.Choice(["toml", "json"]), help="Its form; by default what its name ends with."
)
@click.option("--tied", is_flag=True, help="Stop, as by SIGTERM, when standard input ends.")
def run(path: str | None, form: str | None, tied: bool) -> None:
    """Run one relay in the foreground until SIGTERM; SIGHUP reads its configuration again.

    \b
    Example:  limelatch relay run --config /etc/limelatch/relay.toml
    """
    from limelatch.configuration import Form
    from limelatch.relay.__main__ import main

    sys.exit(main(path, Form(form) if form else None, tied))


@relay.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object an event.")
@click.option("--page", is_flag=True, hidden=True)
def events(as_json: bool, page: bool) -> None:
    """List the events that a relay logs, with their fields."""
    import json
    from logging import getLevelName

    from limelatch import events

    if page:
        click.echo(events.page(), nl=False)
        return
    for name, event in events.EVENTS.items():
        level = getLevelName(event.level).lower()
        if as_json:
            click.echo(
                json.dumps(
                    {
                        "event": name,
                        "part": event.part,
                        "level": level,
                        "about": event.description,
                        "fields": event.fields,
                    }
                )
            )
        else:
            click.echo(f"{name:<22} {event.part:<10} {level:<8} {event.description}")
