"""`limelatch config`: check, show, compare and convert configurations."""

from __future__ import annotations

import json

import click

from limelatch.command import CHECK_FAILED, USAGE_ERROR

FORM = click.option(
    "--form",
    type=click.Choice(["toml", "json"]),
    help="The form of the file; by default taken from its name.",
)


@click.group()
def config() -> None:
    """Check, show, compare and convert configurations in both forms, TOML and the platform's JSON."""


def read(path: str, form: str | None = None):
    """Read a file; errors are printed, one a line, and end the command with exit code 2."""
    from limelatch.configuration import ConfigurationError, Form, load
    from limelatch.configuration.files import error_lines, form_of

    chosen = Form(form) if form else form_of(path)
    try:
        return load(path, chosen)
    except ConfigurationError as error:
        for line in error_lines(error, path, chosen):
            click.echo(line, err=True)
        raise SystemExit(USAGE_ERROR) from None


@config.command()
@click.argument("paths", metavar="FILE...", nargs=-1, required=True)
@FORM
def check(paths: tuple[str, ...], form: str | None) -> None:
    """Report every error in each FILE: its line, its key, the expected value and the one found.

    A value that is accepted but is probably wrong is reported as a doubt. Exit 2 where a file can't be used.

    \b
    Example:  limelatch config check relay.toml
    """
    from limelatch.configuration.files import error_line

    any_unusable = False
    for path in paths:
        try:
            found = read(path, form)
        except SystemExit:
            any_unusable = True
            continue
        for warning in found.warnings():
            click.echo(f"doubt: {error_line(path, warning)}", err=True)
        click.echo(f"{path}: good ({found.form.value}, {len(found.given)} keys given)")
    if any_unusable:
        raise SystemExit(USAGE_ERROR)


@config.command()
@click.argument("path", metavar="FILE")
@FORM
@click.option("--secrets", is_flag=True, help="Show secret values too.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per key.")
def show(path: str, form: str | None, secrets: bool, as_json: bool) -> None:
    """Print the complete configuration that FILE gives: every key, defaults marked, secrets hidden.

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
    help="The form to describe.",
)
def schema(form: str) -> None:
    """Print the JSON Schema of a form, for use in editors.

    \b
    Example:  limelatch config schema > limelatch.schema.json
    """
    from limelatch.configuration.schema import schema_of

    click.echo(json.dumps(schema_of(form), indent=2))


@config.command()
@click.argument("before", metavar="A")
@click.argument("after", metavar="B")
@click.option("--exit-code", is_flag=True, help="Exit with 1 if they differ.")
def diff(before: str, after: str, exit_code: bool) -> None:
    """Print what changes from A to B, and whether a relay applies it on SIGHUP or only after a restart.

    Where a relay that runs with A would not apply B on SIGHUP at all, the reasons are on standard error.

    \b
    Example:  limelatch config diff /etc/limelatch/relay.toml new.toml
    """
    from limelatch.configuration.changes import changes
    from limelatch.configuration.reload import reload_errors, source_of
    from limelatch.configuration.toml_form import describe

    current, new = read(before), read(after)
    found = changes(current.installation, new.installation)
    for change in found:
        click.echo(describe(change))
    if current.form is new.form:
        for error in reload_errors(source_of(current), new):
            click.echo(f"not applied on SIGHUP: {error}", err=True)
    if not found:
        click.echo("no difference")
    if found and exit_code:
        raise SystemExit(CHECK_FAILED)


@config.command()
@click.argument("path", metavar="FILE")
@click.option(
    "--to", type=click.Choice(["toml", "json"]), help="The form to write; by default the other one."
)
@FORM
def convert(path: str, to: str | None, form: str | None) -> None:
    """Print FILE in the other form. What that form can't express is named on standard error.

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
        click.echo("left out: known (only the platform's JSON has it)", err=True)
    click.echo(write_toml(found.installation, found.given), nl=False)


@config.command(hidden=True)
def page() -> None:
    """Print docs/operators/configuration.md, which is generated from the configuration model."""
    from limelatch.configuration.page import page

    click.echo(page(), nl=False)
