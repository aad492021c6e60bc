"""`limelatch ledger`: what a relay owes, read from its folder; nothing is ever written there."""

from __future__ import annotations

import base64
import json
import sys
from datetime import UTC, datetime

import click

from limelatch.command import BadUse, Wrong
from limelatch.interface import MS

BODY_SHOWN = 200  # bytes of a body that `show` prints
FOLDER = click.argument("folder", metavar="FOLDER")
AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object a text.")


@click.group()
def ledger() -> None:
    """Look into a relay's folder: every text whose end it owes.

    Works beside a relay that uses the folder, and on one that was torn. Nothing is ever written.
    """


def inspect_ledger(folder: str):
    from limelatch.relay.inspection import NoLedger, inspect_ledger

    try:
        return inspect_ledger(folder)
    except NoLedger as error:
        raise BadUse(str(error)) from None


def clock_of(folder: str):
    """The timeline that the folder's texts are on; a bad folder is a bad use."""
    from limelatch.relay.anchor_file import AnchorFile

    try:
        return AnchorFile(folder).load_clock()
    except OSError as error:
        raise BadUse(str(error)) from None


def wall_ahead(clock) -> int:
    """How far the wall clock is ahead of the timeline, in whole milliseconds of its units."""
    return round(clock.wall_ahead() / MS) * MS


def moment(units: int | None, wall_ahead: int) -> str | None:
    """A time of the ledger, in tenths of a millisecond, by the machine's wall clock: ISO 8601 in UTC."""
    if units is None:
        return None
    try:
        return datetime.fromtimestamp((units + wall_ahead) / 10_000, UTC).isoformat(timespec="milliseconds")
    except (ValueError, OverflowError, OSError):
        return f"{units} (no time)"


def row(entry, wall_ahead: int) -> dict:
    """A text as the commands tell it."""
    from limelatch.relay.inspection import may_have_run, text_state

    pairs = entry.fields
    return {
        "id": entry.id.decode(errors="replace"),
        "state": text_state(entry),
        "product": pairs.get("product"),
        "destination": pairs.get("dest"),
        "customer": pairs.get("customer"),
        "key": pairs.get("key") or None,
        "mark": pairs.get("mark") or None,
        "submits": entry.submit_count,
        "may_have_run": may_have_run(entry),
        "first_may_have_run_at": moment(entry.first_run_at, wall_ahead),
        "first_may_have_run_floor": entry.first_run_zone,
        "valid_until": moment(pairs.get("until"), wall_ahead),
        "notice": entry.notice,
        "body_bytes": len(entry.body),
    }


def left(until: int, now: int) -> str:
    """How long a text is still valid."""
    seconds = (until - now) / 10_000
    return f"{seconds:.1f} s" if seconds > 0 else f"over for {-seconds:.0f} s"


@ledger.command("list")
@FOLDER
@AS_JSON
@click.option("--destination", type=int, help="Only texts for this destination.")
@click.option("--product", help="Only texts of this product.")
@click.option("--may-have-run", is_flag=True, help="Only texts of which a submit may have had its effect.")
def list_texts(
    folder: str, as_json: bool, destination: int | None, product: str | None, may_have_run: bool
) -> None:
    """List the owed texts, in the order they were taken on.

    \b
    state  held   not out: it waits for a submit
           out    a submit went out and has no outcome
           ended  its final answer is given, the notice is not answered
    """
    from limelatch.relay.inspection import may_have_run as ran
    from limelatch.relay.inspection import text_state

    view, clock = inspect_ledger(folder), clock_of(folder)
    now = clock.now()
    entries = [
        each
        for each in view.entries.values()
        if (destination is None or each.fields.get("dest") == destination)
        and (product is None or each.fields.get("product") == product)
        and (not may_have_run or ran(each))
    ]
    if as_json:
        for each in entries:
            click.echo(json.dumps(row(each, wall_ahead(clock))))
        return
    form = "{:<18} {:<6} {:<16} {:>6} {:>7} {:<4} {:>14} {:>7}"
    click.echo(form.format("id", "state", "product", "dest", "submits", "ran?", "valid for", "bytes"))
    for each in entries:
        pairs = each.fields
        click.echo(
            form.format(
                each.id.decode(errors="replace"),
                text_state(each),
                pairs.get("product", "?"),
                pairs.get("dest", "?"),
                each.submit_count,
                "may" if ran(each) else "no",
                left(pairs.get("until", 0), now),
                len(each.body),
            )
        )
    click.echo(
        f"{len(entries)} owed" + (f", {view.torn_bytes} bytes torn at the end" if view.torn_bytes else "")
    )


@ledger.command()
@FOLDER
@click.argument("text", metavar="ID")
@AS_JSON
@click.option("--body", is_flag=True, help="Write the body to standard output, and nothing else.")
def show(folder: str, text: str, as_json: bool, body: bool) -> None:
    """Show one owed text; exit 1 where the ledger has none of this id."""
    entry, ahead = inspect_ledger(folder).entries.get(text.encode()), wall_ahead(clock_of(folder))
    if entry is None:
        raise Wrong(f"{text}: no owed text of this id")
    if body:
        sys.stdout.buffer.write(entry.body)
        sys.stdout.buffer.flush()
    elif as_json:
        click.echo(json.dumps(row(entry, ahead) | {"body": base64.b64encode(entry.body).decode()}))
    else:
        for name, value in row(entry, ahead).items():
            click.echo(f"{name + ':':<26} {'-' if value is None else value}")
        more = "" if len(entry.body) <= BODY_SHOWN else f" and {len(entry.body) - BODY_SHOWN} bytes more"
        click.echo(f"{'body:':<26} {entry.body[:BODY_SHOWN]!r}{more}")


@ledger.command()
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def verify(folder: str, as_json: bool) -> None:
    """Check every record; exit 1 where one is torn, changed or out of its place.

    A torn tail is what the end of a process leaves: the relay cuts it at its start, and nothing that was
    answered for is lost with it.
    """
    view = inspect_ledger(folder)
    if as_json:
        wrongs = [
            {"at": at, "id": text.decode(errors="replace"), "wrong": wrong}
            for at, text, wrong in view.problems
        ]
        click.echo(
            json.dumps(
                {
                    "path": view.path,
                    "bytes": view.size,
                    "records": view.records,
                    "kinds": dict(view.kinds),
                    "owed": len(view.entries),
                    "torn_at": view.whole_bytes,
                    "torn_bytes": view.torn_bytes,
                    "wrongs": wrongs,
                }
            )
        )
    else:
        kinds = ", ".join(f"{count} {kind}" for kind, count in sorted(view.kinds.items()))
        click.echo(
            f"{view.path}: {view.size} bytes, {view.records} records ({kinds or 'none'}), "
            f"{len(view.entries)} owed"
        )
        for at, text, wrong in view.problems:
            click.echo(f"at byte {at}, text {text.decode(errors='replace')}: {wrong}", err=True)
        if view.torn_bytes:
            click.echo(f"at byte {view.whole_bytes}: {view.torn_bytes} bytes are no whole record", err=True)
    if view.torn_bytes or view.problems:
        raise SystemExit(Wrong.exit_code)


@ledger.command()
@FOLDER
@click.option(
    "--output", type=click.File("w", atomic=True), default="-", help="A file; standard output else."
)
def export(folder: str, output) -> None:
    """Write every owed text with its body (Base64), one JSON object a line."""
    view, ahead = inspect_ledger(folder), wall_ahead(clock_of(folder))
    for entry in view.entries.values():
        body = base64.b64encode(entry.body).decode()
        output.write(json.dumps(row(entry, ahead) | {"body": body}) + "\n")
    click.echo(f"{len(view.entries)} texts", err=True)
