"""What a client's command may look like: the bounds of its arguments, and the text in a SUBMIT."""

from __future__ import annotations

import re
from dataclasses import dataclass

from limelatch.interface import MS

MAX_BODY_SIZE = 64 * 1024  # bytes
MAX_HEAD_SIZE = 4 * 1024  # bytes of all arguments but a body
MAX_COMMAND_SIZE = MAX_BODY_SIZE + MAX_HEAD_SIZE  # bytes of all arguments of a command
MAX_ARGUMENTS = 16  # of one command
MAX_NAMES = 64  # names and values of one text
SUBMIT = b"SUBMIT"
SUBMIT_ARGUMENTS = 5
IDENTIFIER = re.compile(rb"[0-9A-Za-z_.:-]{1,64}\Z")
DECIMAL = re.compile(rb"[0-9]{1,9}\Z")


class BadCommand(Exception):
    """The command can't be carried out; the message is sent to the client."""


@dataclass(slots=True)
class Submission:
    """A text as a client submits it: raw bytes of the command, and `valid_for` in tenths of a millisecond."""

    id: bytes
    key: bytes
    product: bytes
    customer: bytes
    destination: int
    valid_for: int
    idempotency_key: bytes
    body: bytes


def read_submit(arguments: list[bytes]) -> Submission:
    """Parse SUBMIT ORDER-KEY ID NAMES BODY. Raises BadCommand."""
    if len(arguments) != SUBMIT_ARGUMENTS:
        raise BadCommand("SUBMIT takes a key, an id, a list of names and values, and a body")
    _, key, text, names, body = arguments
    if len(body) > MAX_BODY_SIZE:
        raise BadCommand(f"a body holds {MAX_BODY_SIZE} bytes at most")
    if not IDENTIFIER.match(text) or not IDENTIFIER.match(key):
        raise BadCommand("the key and the id take 1 to 64 letters and digits")
    pairs = names.split(b",", MAX_NAMES)
    if len(pairs) > MAX_NAMES:
        raise BadCommand(f"a list holds {MAX_NAMES} names and values at most")
    values = dict(pair.partition(b"=")[::2] for pair in pairs)
    idempotency_key, dest, span = values.get(b"k", b""), values.get(b"dest", b""), values.get(b"d", b"")
    if idempotency_key and not IDENTIFIER.match(idempotency_key):
        raise BadCommand("k takes 1 to 64 letters and digits")
    if not DECIMAL.match(dest) or not re.fullmatch(rb"-?[0-9]{1,9}(\.[0-9]{1,6})?", span):
        raise BadCommand("dest and d are wanted as numbers")
    return Submission(
        text,
        b"" if not key.strip(b"0") else key,
        values.get(b"c", b""),
        values.get(b"t", b""),
        int(dest),
        int(float(span) * MS),
        idempotency_key,
        body,
    )


def max_argument_size(arguments: list[bytes], missing: int, size: int) -> int:
    """The bytes that the next argument may have, after `arguments` with `size` bytes, where `missing` of the
    command's arguments are still to come. Only a text's body may be large.

    Guards against arguments that no command can use, and are collected all the same."""
    is_body = missing == 1 and len(arguments) == SUBMIT_ARGUMENTS - 1 and arguments[0].upper() == SUBMIT
    return (MAX_COMMAND_SIZE if is_body else MAX_HEAD_SIZE) - size


def too_large_message(missing: int) -> str:
    """The error for an argument over its bound, where `missing` of its command are still to come."""
    if missing == 1:
        return f"a body holds {MAX_BODY_SIZE} bytes at most"
    return f"a command holds {MAX_HEAD_SIZE} bytes at most beside a body"
