"""`limelatch text` and `limelatch ping`: speak to a relay from the shell."""

from __future__ import annotations

import asyncio
import json
import sys

import click

from limelatch.command import WRONG, BadUse

SHOWN_MOST = 20  # texts whose answers are printed one by one
RELAY = click.option(
    "--relay",
    "address",
    metavar="HOST:PORT",
    default="127.0.0.1:6379",
    show_default=True,
    envvar="LIMELATCH_RELAY",
    show_envvar=True,
    help="Where the relay listens.",
)


class Span(click.ParamType):
    """`250ms`, `2s`: in milliseconds."""

    name = "span"

    def convert(self, value: object, parameter, context) -> float:
        from limelatch.configuration.units import read_span

        if not isinstance(value, str):
            return value
        try:
            return read_span(value) / 10
        except ValueError:
            self.fail(f"{value!r} is no span such as 250ms or 2s", parameter, context)


TIMEOUT = click.option(
    "--timeout", type=Span(), default="400ms", show_default=True, help="How long to wait for an answer."
)


def address_of(word: str) -> tuple[str, int]:
    host, colon, port = word.rpartition(":")
    if not colon or not port.isdigit() or int(port) > 65535:
        raise BadUse(f"{word!r} is no address such as 127.0.0.1:6379")
    return host, int(port)


@click.group()
def text() -> None:
    """Hand in texts to a relay."""


def body_of(body: str | None) -> bytes:
    if body is not None:
        return body.encode()
    if sys.stdin is None or sys.stdin.isatty():
        raise BadUse("a body is wanted: --body WORDS, or standard input")
    return sys.stdin.buffer.read()


@text.command()
@RELAY
@click.option("--product", required=True, help="As the relay's configuration names it.")
@click.option("--dest", type=click.IntRange(0, 999_999_999), required=True, help="The destination's number.")
@click.option("--customer", default="", help="As the relay's configuration names it.")
@click.option("--key", default="0", help="Of the order, for products in order.")
@click.option("--mark", help="By which a repeat is known; by default the id of each text.")
@click.option("--valid-for", type=Span(), default="24s", show_default=True, help="Its validity period.")
@click.option("--body", help="Its body; standard input else.")
@click.option(
    "--count", type=click.IntRange(1), default=1, show_default=True, help="So many, alike but for ids."
)
@click.option("--rate", type=click.FloatRange(0, min_open=True), help="So many a second; all at once else.")
@click.option(
    "--connections", type=click.IntRange(1), default=64, show_default=True, help="At once, at most."
)
@TIMEOUT
@click.option("--json", "as_json", is_flag=True, help="One JSON object a text, and one for the summary.")
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

    With --count and --rate each text goes when it is due by the clock, answered or not; a summary with
    percentiles ends it. Exit 0 if the relay took all of them on, else 1.

    \b
    Examples:  echo hello | limelatch text submit --product notice --dest 1
               limelatch text submit --product notice --dest 1 --body x --count 500 --rate 50
    """
    from limelatch.client import Answer, AnswerKind, Submission, Pool
    from limelatch.client.drive import submit_all

    host, port = address_of(address)
    content = body_of(body)

    def made(number: int) -> Submission:
        found = Submission(product, dest, valid_for, content, customer, key, mark or "")
        found.idempotency_key = found.idempotency_key or found.id
        return found

    def told(handed: Submission, answer: Answer) -> None:
        if as_json:
            click.echo(
                json.dumps(
                    {
                        "id": handed.id,
                        "ending": answer.kind.value,
                        "words": answer.message,
                        "wait_ms": answer.wait_ms,
                        "took_ms": round(answer.elapsed * 1000, 3),
                    }
                )
            )
        elif count <= SHOWN_MOST:
            wait = f", come again after {answer.wait_ms} ms" if answer.wait_ms else ""
            click.echo(
                f"{handed.id}  {answer.kind.value}{wait}  ({answer.message})  {answer.elapsed * 1000:.1f} ms"
            )

    async def run():
        async with Pool(host, port, connections, timeout / 1000) as pool:
            return await submit_all(pool, made, count, rate, told)

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
        raise SystemExit(WRONG)


@click.command()
@RELAY
@TIMEOUT
@click.option("--wait", type=Span(), default="0s", help="Try again for so long until it answers.")
def ping(address: str, timeout: float, wait: float) -> None:
    """Ask a relay whether it serves; exit 1 where it does not.

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
        raise SystemExit(WRONG)
