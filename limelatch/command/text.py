"""`limelatch text` and `limelatch ping`: a client of the relay for the shell."""

from __future__ import annotations

import asyncio
import json
import sys

import click

from limelatch.command import CHECK_FAILED, UsageError

MAX_SHOWN = 20  # up to so many texts, each answer is printed
RELAY = click.option(
    "--relay",
    "address",
    metavar="HOST:PORT",
    default="127.0.0.1:6379",
    show_default=True,
    envvar="LIMELATCH_RELAY",
    show_envvar=True,
    help="The address at which the relay listens.",
)


class Duration(click.ParamType):
    """A duration such as `250ms` or `2s`, converted to milliseconds."""

    name = "span"

    def convert(self, value: object, parameter, context) -> float:
        """The milliseconds; a value that is not a duration ends the command as wrong usage."""
        from limelatch.configuration.units import read_span

        if not isinstance(value, str):
            return value
        try:
            return read_span(value) / 10
        except ValueError:
            self.fail(f"{value!r} is not a duration such as 250ms or 2s", parameter, context)


TIMEOUT = click.option(
    "--timeout", type=Duration(), default="400ms", show_default=True, help="How long to wait for an answer."
)


def address_of(word: str) -> tuple[str, int]:
    """Host and port of HOST:PORT. Raises UsageError for anything else."""
    host, colon, port = word.rpartition(":")
    if not colon or not port.isdigit() or int(port) > 65535:
        raise UsageError(f"{word!r} is not an address such as 127.0.0.1:6379")
    return host, int(port)


@click.group()
def text() -> None:
    """Hand in texts to a relay."""


def body_of(body: str | None) -> bytes:
    """The given body, else standard input. Raises UsageError where that is a terminal."""
    if body is not None:
        return body.encode()
    if sys.stdin is None or sys.stdin.isatty():
        raise UsageError("a body is required: --body TEXT, or standard input")
    return sys.stdin.buffer.read()


@text.command()
@RELAY
@click.option("--product", required=True, help="A product of the relay's configuration.")
@click.option("--dest", type=click.IntRange(0, 999_999_999), required=True, help="The destination's number.")
@click.option("--customer", default="", help="A customer of the relay's configuration.")
@click.option("--key", default="0", help="The ordering key, for products with in_order.")
@click.option("--mark", help="The idempotency key; by default the id of each text.")
@click.option("--valid-for", type=Duration(), default="24s", show_default=True, help="The validity period.")
@click.option("--body", help="The body; by default standard input.")
@click.option(
    "--count",
    type=click.IntRange(1),
    default=1,
    show_default=True,
    help="How many texts, equal but for ids.",
)
@click.option(
    "--rate", type=click.FloatRange(0, min_open=True), help="Texts a second; by default all at once."
)
@click.option(
    "--connections", type=click.IntRange(1), default=64, show_default=True, help="At most so many at once."
)
@TIMEOUT
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per text and for the summary.")
def submit(
    address: str,
    product: str,
    dest: int,
    customer: str,
    key: str,
    mark: str | None,
    valid_for: float,
    body: str | None,
    count: int,
    rate: float | None,
    connections: int,
    timeout: float,
    as_json: bool,
) -> None:
    """Hand in a text, or many, and print what the relay answered and how long it took.

    With --count and --rate each text is sent when it is due, even if earlier ones are unanswered; a summary
    with percentiles follows. Exit 0 if the relay accepted all texts, else 1.

    \b
    Examples:  echo hello | limelatch text submit --product notice --dest 1
               limelatch text submit --product notice --dest 1 --body x --count 500 --rate 50
    """
    from limelatch.client import Answer, AnswerKind, Pool, Submission
    from limelatch.client.drive import submit_all

    host, port = address_of(address)
    content = body_of(body)

    def make_text(number: int) -> Submission:
        submission = Submission(product, dest, valid_for, content, customer, key, mark or "")
        submission.idempotency_key = submission.idempotency_key or submission.id
        return submission

    def print_answer(submission: Submission, answer: Answer) -> None:
        if as_json:
            click.echo(
                json.dumps(
                    {
                        "id": submission.id,
                        "ending": answer.kind.value,
                        "words": answer.message,
                        "wait_ms": answer.wait_ms,
                        "took_ms": round(answer.elapsed * 1000, 3),
                    }
                )
            )
        elif count <= MAX_SHOWN:
            wait = f", retry after {answer.wait_ms} ms" if answer.wait_ms else ""
            click.echo(
                f"{submission.id}  {answer.kind.value}{wait}  ({answer.message})  "
                f"{answer.elapsed * 1000:.1f} ms"
            )

    async def run():
        async with Pool(host, port, connections, timeout / 1000) as pool:
            return await submit_all(pool, make_text, count, rate, print_answer)

    summary = asyncio.run(run())
    if as_json:
        click.echo(
            json.dumps(
                {
                    "texts": summary.count,
                    "endings": {each.value: number for each, number in summary.count_by_kind.items()},
                    "ms": {f"p{each:g}": ms for each, ms in summary.percentiles().items()},
                }
            )
        )
    elif count > 1:
        for line in summary.lines():
            click.echo(line)
    if summary.count_by_kind[AnswerKind.ACCEPTED] < count:
        raise SystemExit(CHECK_FAILED)


@click.command()
@RELAY
@TIMEOUT
@click.option("--wait", type=Duration(), default="0s", help="How long to retry until the relay answers.")
def ping(address: str, timeout: float, wait: float) -> None:
    """Check whether a relay serves; exit 1 if it does not.

    \b
    Example:  limelatch ping --wait 10s && echo ready
    """
    from limelatch.client import AnswerKind, Pool

    host, port = address_of(address)

    async def run():
        loop = asyncio.get_running_loop()
        until = loop.time() + wait / 1000
        async with Pool(host, port, 1, timeout / 1000) as pool:
            while (answer := await pool.ping()).kind is not AnswerKind.ACCEPTED and loop.time() < until:
                await asyncio.sleep(0.05)
            return answer

    answer = asyncio.run(run())
    click.echo(f"{address}: {answer.message} after {answer.elapsed * 1000:.1f} ms")
    if answer.kind is not AnswerKind.ACCEPTED:
        raise SystemExit(CHECK_FAILED)
