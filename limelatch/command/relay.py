"""`limelatch relay`: run one relay, and list the events that it logs."""

from __future__ import annotations

import sys

import click


@click.group()
def relay() -> None:
    """Run a relay, or list the events that it logs."""


@relay.command()
@click.option(
    "--config",
    "path",
    metavar="FILE",
    envvar="RELAY_CONFIG",
    show_envvar=True,
    help="The configuration file, in TOML or the platform's JSON.",
)
@click.option(
    "--form",
    type=click.Choice(["toml", "json"]),
    help="The form of the file; by default taken from its name.",
)
@click.option("--tied", is_flag=True, help="Stop, as on SIGTERM, when standard input ends.")
def run(path: str | None, form: str | None, tied: bool) -> None:
    """Run one relay in the foreground until SIGTERM; SIGHUP reloads its configuration.

    \b
    Example:  limelatch relay run --config /etc/limelatch/relay.toml
    """
    from limelatch.configuration import Form
    from limelatch.relay.__main__ import main

    sys.exit(main(path, Form(form) if form else None, tied))


@relay.command()
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per event.")
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
