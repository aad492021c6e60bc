"""`limelatch ledger`: the unfinished texts in a relay's state directory, which is only ever read."""

from __future__ import annotations

import base64
import json
import sys
from datetime import UTC, datetime

import click

from limelatch.command import CheckFailed, UsageError
from limelatch.interface import MS

MAX_BODY_SHOWN = 200  # bytes of a body that `show` prints
FOLDER = click.argument("folder", metavar="FOLDER")
AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object per text.")


@click.group()
def ledger() -> None:
    """Inspect a relay's state directory: every accepted text that is not finished.

    Works while a relay uses the directory, and after a crash. Nothing is ever written.
    """


def inspect_ledger(folder: str):
    """What the ledger in a directory holds. Raises UsageError where there is none."""
    from limelatch.relay.inspection import NoLedger, inspect_ledger

    try:
        return inspect_ledger(folder)
    except NoLedger as error:
        raise UsageError(str(error)) from None


def clock_of(folder: str):
    """The clock by which the texts' times are recorded. Raises UsageError where it can't be read."""
    from limelatch.relay.anchor_file import AnchorFile

    try:
        return AnchorFile(folder).load_clock()
    except OSError as error:
        raise UsageError(str(error)) from None


def wall_ahead(clock) -> int:
    """How far the wall clock is ahead of the recorded times, in ledger units rounded to milliseconds."""
    return round(clock.wall_ahead() / MS) * MS


def format_time(units: int | None, wall_ahead: int) -> str | None:
    """A time in the ledger (tenths of a millisecond) as ISO 8601 in UTC, by this machine's wall clock."""
    if units is None:
        return None
    try:
        return datetime.fromtimestamp((units + wall_ahead) / 10_000, UTC).isoformat(timespec="milliseconds")
    except (ValueError, OverflowError, OSError):
        return f"{units} (not a valid time)"


def text_row(entry, wall_ahead: int) -> dict:
    """A text as the commands print it."""
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
        "first_may_have_run_at": format_time(entry.first_run_at, wall_ahead),
        "first_may_have_run_floor": entry.first_run_zone,
        "valid_until": format_time(pairs.get("until"), wall_ahead),
        "notice": entry.notice,
        "body_bytes": len(entry.body),
    }


def time_left(until: int, now: int) -> str:
    """How long a text remains valid."""
    seconds = (until - now) / 10_000
    return f"{seconds:.1f} s" if seconds > 0 else f"over for {-seconds:.0f} s"


@ledger.command("list")
@FOLDER
@AS_JSON
@click.option("--destination", type=int, help="Only texts for this destination.")
@click.option("--product", help="Only texts of this product.")
@click.option("--may-have-run", is_flag=True, help="Only texts that a destination may have run.")
def list_texts(
    folder: str, as_json: bool, destination: int | None, product: str | None, may_have_run: bool
) -> None:
    """List the unfinished texts, in the order in which they were accepted.

    \b
    state  held   waits for its next submit
           out    a submit was sent and has no outcome yet
           ended  has its final answer; the notice is not acknowledged yet
    """
    from limelatch.relay.inspection import may_have_run as may_have_run_of
    from limelatch.relay.inspection import text_state

    view, clock = inspect_ledger(folder), clock_of(folder)
    now = clock.now()
    entries = [
        each
        for each in view.entries.values()
        if (destination is None or each.fields.get("dest") == destination)
        and (product is None or each.fields.get("product") == product)
        and (not may_have_run or may_have_run_of(each))
    ]
    if as_json:
        for each in entries:
            click.echo(json.dumps(text_row(each, wall_ahead(clock))))
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
                "may" if may_have_run_of(each) else "no",
                time_left(pairs.get("until", 0), now),
                len(each.body),
            )
        )
    click.echo(
        f"{len(entries)} unfinished"
        + (f", {view.torn_bytes} bytes torn at the end" if view.torn_bytes else "")
    )


@ledger.command()
@FOLDER
@click.argument("text", metavar="ID")
@AS_JSON
@click.option("--body", is_flag=True, help="Write only the body to standard output.")
def show(folder: str, text: str, as_json: bool, body: bool) -> None:
    """Show one unfinished text; exit 1 if the ledger has none with this id."""
    entry, ahead = inspect_ledger(folder).entries.get(text.encode()), wall_ahead(clock_of(folder))
    if entry is None:
        raise CheckFailed(f"{text}: no unfinished text with this id")
    if body:
        sys.stdout.buffer.write(entry.body)
        sys.stdout.buffer.flush()
    elif as_json:
        click.echo(json.dumps(text_row(entry, ahead) | {"body": base64.b64encode(entry.body).decode()}))
    else:
        for name, value in text_row(entry, ahead).items():
            click.echo(f"{name + ':':<26} {'-' if value is None else value}")
        more = (
            "" if len(entry.body) <= MAX_BODY_SHOWN else f" and {len(entry.body) - MAX_BODY_SHOWN} bytes more"
        )
        click.echo(f"{'body:':<26} {entry.body[:MAX_BODY_SHOWN]!r}{more}")


@ledger.command()
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def verify(folder: str, as_json: bool) -> None:
    """Check every record; exit 1 if one is torn, altered or out of place.

    A process that dies can leave a torn record at the end. The relay cuts it off at its next start; no text
    that was acknowledged to a client is lost with it.
    """
    view = inspect_ledger(folder)
    if as_json:
        problems = [
            {"at": at, "id": text.decode(errors="replace"), "wrong": problem}
            for at, text, problem in view.problems
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
                    "wrongs": problems,
                }
            )
        )
    else:
        kinds = ", ".join(f"{count} {kind}" for kind, count in sorted(view.kinds.items()))
        click.echo(
            f"{view.path}: {view.size} bytes, {view.records} records ({kinds or 'none'}), "
            f"{len(view.entries)} unfinished texts"
        )
        for at, text, problem in view.problems:
            click.echo(f"at byte {at}, text {text.decode(errors='replace')}: {problem}", err=True)
        if view.torn_bytes:
            click.echo(
                f"at byte {view.whole_bytes}: {view.torn_bytes} bytes are not a complete record", err=True
            )
    if view.torn_bytes or view.problems:
        raise SystemExit(CheckFailed.exit_code)


@ledger.command()
@FOLDER
@click.option(
    "--output",
    type=click.File("w", atomic=True),
    default="-",
    help="The file to write; else standard output.",
)
def export(folder: str, output) -> None:
    """Write every unfinished text with its body in Base64, one JSON object per line."""
    view, ahead = inspect_ledger(folder), wall_ahead(clock_of(folder))
    for entry in view.entries.values():
        body = base64.b64encode(entry.body).decode()
        output.write(json.dumps(text_row(entry, ahead) | {"body": body}) + "\n")
    click.echo(f"{len(view.entries)} texts", err=True)
