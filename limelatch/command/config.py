"""`limelatch config`: check, show, compare and convert configurations."""

from __future__ import annotations

import json

import click

from limelatch.command import BAD_USE, WRONG

FORM = click.option(
    "--form", type=click.Choice(["toml", "json"]), help="Of the file; by default by its name."
)


@click.group()
def config() -> None:
    """Check, show, compare and convert configurations, in either form."""


def read(path: str, form: str | None = None):
    """The file as it was read; faults end the command with exit 2, a line each."""
    from limelatch.configuration import ConfigurationError, Form, load
    from limelatch.configuration.files import error_lines, form_of

    chosen = Form(form) if form else form_of(path)
    try:
        return load(path, chosen)
    except ConfigurationError as error:
        for line in error_lines(error, path, chosen):
            click.echo(line, err=True)
        raise SystemExit(BAD_USE) from None


@config.command()
@click.argument("paths", metavar="FILE...", nargs=-1, required=True)
@FORM
def check(paths: tuple[str, ...], form: str | None) -> None:
    """Tell all that is wrong with each FILE: its line, its key, what is wanted and what stood there.

    What is taken, though it can't be right, is told as a doubt. Exit 2 where a file can't be used.

    \b
    Example:  limelatch config check relay.toml
    """
    from limelatch.configuration.files import error_line

    bad = False
    for path in paths:
        try:
            found = read(path, form)
        except SystemExit:
            bad = True
            continue
        for doubt in found.warnings():
            click.echo(f"doubt: {error_line(path, doubt)}", err=True)
        click.echo(f"{path}: good ({found.form.value}, {len(found.given)} keys told)")
    if bad:
        raise SystemExit(BAD_USE)


@config.command()
@click.argument("path", metavar="FILE")
@FORM
@click.option("--secrets", is_flag=True, help="Show secrets too.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a key.")
def show(path: str, form: str | None, secrets: bool, as_json: bool) -> None:
    """Print what would be in force with FILE: every key, defaults marked, secrets hidden.

    \b
    Example:  limelatch config show relay.toml | grep -v '# default'
    """
    from limelatch.configuration.toml_form import value_rows, write_toml

    found = read(path, form)
    if as_json:
        for row in value_rows(found, secrets):
            click.echo(json.dumps(row))
    else:
        click.echo(write_toml(found.installation, found.given, whole=True, secrets=secrets), nl=False)


@config.command()
@click.option(
    "--form",
    type=click.Choice(["toml", "json"]),
    default="toml",
    show_default=True,
    help="Which form to describe.",
)
def schema(form: str) -> None:
    """Print the JSON Schema of a form, for editors.

    \b
    Example:  limelatch config schema > limelatch.schema.json
    """
    from limelatch.configuration.schema import schema_of

    click.echo(json.dumps(schema_of(form), indent=2))


@config.command()
@click.argument("before", metavar="A")
@click.argument("after", metavar="B")
@click.option("--exit-code", is_flag=True, help="Exit 1 where they differ.")
def diff(before: str, after: str, exit_code: bool) -> None:
    """Print what changes from A to B: what a relay takes at once on SIGHUP, and what waits for a restart.

    \b
    Example:  limelatch config diff /etc/limelatch/relay.toml new.toml
    """
    from limelatch.configuration.changes import changes
    from limelatch.configuration.toml_form import describe

    found = changes(read(before).installation, read(after).installation)
    for change in found:
        click.echo(describe(change))
    if not found:
        click.echo("no difference")
    if found and exit_code:
        raise SystemExit(WRONG)


@config.command()
@click.argument("path", metavar="FILE")
@click.option("--to", type=click.Choice(["toml", "json"]), help="The form wanted; by default the other one.")
@FORM
def convert(path: str, to: str | None, form: str | None) -> None:
    """Print FILE in the other form. What its form has alone is named on standard error.

    \b
    Example:  limelatch config convert relay.json > relay.toml
    """
    from limelatch.configuration.toml_form import write_toml
    from limelatch.configuration.platform_form import write_platform

    found = read(path, form)
    to = to or ("json" if found.form.value == "toml" else "toml")
    if to == "json":
        click.echo(json.dumps(write_platform(found.installation), indent=2))
        return
    if found.installation.known:
        click.echo("left out: known (the platform's JSON alone has it)", err=True)
    click.echo(write_toml(found.installation, found.given), nl=False)


@config.command(hidden=True)
def page() -> None:
    """Print docs/operators/configuration.md, which is made from the model."""
    from limelatch.configuration.page import page

    click.echo(page(), nl=False)
