"""Codec of the bench's binary protocol: frames and records from and to the types of `limelatch.interface`."""

from __future__ import annotations

import json
import struct
from dataclasses import dataclass

from limelatch import interface as li
from limelatch.configuration import to_units

# Layouts, all big-endian.
FRAME_HEADER = struct.Struct(">dII")  # clock in milliseconds, bytes behind this field and the clock, records
REPLY_HEADER = struct.Struct(">II")  # bytes, records
RECORD_HEADER = struct.Struct(">HI")  # code, bytes
HOST_LAYOUT = struct.Struct(">HB6sHfBd")
TEXT_LAYOUT = struct.Struct(">HQQdHdHHf")
OUTCOME_LAYOUT = struct.Struct(">HQB6sHdBIB")
PROBE_LAYOUT = struct.Struct(">H6sHdB")

# Codes of the records that come in.
EVENT_START = 1000
EVENT_HOST_LIST = 1010
EVENT_TEXT = 1020
EVENT_ACCEPTED = 1030
EVENT_OUTCOME = 1040
EVENT_CLIENT_LEFT = 1050
EVENT_TIMER = 1060
EVENT_PROBE_OUTCOME = 1070
EVENT_MEMO = 1080
EVENT_STOP = 1090
EVENT_HOST_TABLE = 1100

# Codes of the records that go out.
ACTION_NACK = 1040
ACTION_WAKE = 1050
ACTION_LOG = 1060
ACTION_FAULT = 1070
ACTION_SUBMIT = 1080
ACTION_PROBE = 1090
ACTION_UNDELIVERABLE = 1100
ACTION_CLOSE_IDLE = 1110
ACTION_WATCH = 1020

# By the number that an outcome carries.
RESULT_OF_STATUS = (
    li.Result.DELIVERED,
    li.Result.ERROR,
    li.Result.FULL,
    li.Result.TIMEOUT,
    li.Result.CONNECT,
    li.Result.RESET,
    li.Result.CANCELLED,
    li.Result.NOT_SENT,
)
LISTING_OF_MODE = {3: li.Listing.READY, 2: li.Listing.DRAINING, 0: li.Listing.GONE}
RESUBMITTED_BIT = 2  # of a text's flags

# What a record of the host list brings.
LIST_CACHED = 0
LIST_FAILED = 1
LIST_FULL = 3
LIST_CHANGES = 4


class MalformedFrame(Exception):
    """The bytes read are not a frame of this protocol."""


@dataclass(slots=True)
class Record:
    """One event: its code, and its fields as bytes. All but host tables begin with the relay's number."""

    code: int
    body: bytes


def unpack(layout: struct.Struct, body: bytes, offset: int = 0) -> tuple:
    """The fields at `offset` of `body`. Raises MalformedFrame if it is too short for them."""
    if len(body) < offset + layout.size:
        raise MalformedFrame(f"a record of {len(body)} bytes is too short for its fields")
    return layout.unpack_from(body, offset)


def read_relay(body: bytes) -> int:
    """The number of the relay that an event is for."""
    return unpack(struct.Struct(">H"), body)[0]


def read_frame(stream) -> tuple[float, list[Record]] | None:
    """The next frame: its clock in milliseconds and its events. None at the end of the input.

    Raises MalformedFrame, also where the input ends inside a frame."""
    head = stream.read(FRAME_HEADER.size)
    if not head:
        return None
    if len(head) < FRAME_HEADER.size:
        raise MalformedFrame("input ends inside a frame's header")
    clock, size, count = FRAME_HEADER.unpack(head)
    if size < 4:
        raise MalformedFrame(f"a frame's length of {size} is too small")
    body = stream.read(size - 4)
    if len(body) < size - 4:
        raise MalformedFrame("input ends inside a frame")
    return clock, read_records(body, count)


def read_records(body: bytes, count: int) -> list[Record]:
    """Split the body of a frame into its records."""
    records, at = [], 0
    for _ in range(count):
        code, size = unpack(RECORD_HEADER, body, at)
        at += RECORD_HEADER.size
        if at + size > len(body):
            raise MalformedFrame(f"a record of code {code} runs past its frame")
        records.append(Record(code, body[at : at + size]))
        at += size
    if at != len(body):
        raise MalformedFrame(f"{len(body) - at} bytes left over after the records")
    return records


def read_start(body: bytes) -> tuple[int, int, dict]:
    """The relay's number, its seed and its settings."""
    relay, seed, size = unpack(struct.Struct(">HQI"), body)
    raw = body[14 : 14 + size]
    try:
        settings = json.loads(raw)
    except ValueError as error:
        raise MalformedFrame(f"settings are not JSON: {error}") from None
    if len(raw) < size or not isinstance(settings, dict):
        raise MalformedFrame("settings are cut short or not an object")
    return relay, seed, settings


def read_table(body: bytes) -> tuple[int, list[li.HostEntry]]:
    """A numbered list of hosts."""
    page, count = unpack(struct.Struct(">II"), body)
    entries = []
    for index in range(count):
        zone, kind, host, owner, size, mode, _ = unpack(HOST_LAYOUT, body, 8 + index * HOST_LAYOUT.size)
        listing = LISTING_OF_MODE.get(mode, li.Listing.GONE)
        entries.append(li.HostEntry(host, owner, zone, kind, size, listing))
    return page, entries


def read_endpoints(body: bytes) -> tuple[int, int]:
    """What the record brings (LIST_...) and the number of its table."""
    _, mode, _, page = unpack(struct.Struct(">HBII"), body)
    return mode, page


def read_text(body: bytes) -> li.Text:
    """A text that a client submitted."""
    _, text, key, _, bits, until, customer, product, owner = unpack(TEXT_LAYOUT, body)
    return li.Text(text, int(owner), product, to_units(until), customer, key, bool(bits & RESUBMITTED_BIT))


def read_limit(body: bytes, at: int, count: int, fields: list[str]) -> tuple[float | None, float | None]:
    """The share of the limit that is left and the limit's rate, where a report of `count` fields has them."""
    values = unpack(struct.Struct(f">{count}f"), body, at)
    return li.limit_from_report(dict(zip(fields, values, strict=False)))


def result_from_status(status: int) -> li.Result:
    """The result of a submit; with an unknown status the text may have run."""
    return RESULT_OF_STATUS[status] if status < len(RESULT_OF_STATUS) else li.Result.ERROR


def read_outcome(body: bytes, fields: list[str]) -> li.SubmitReport:
    """The outcome of a submit."""
    _, text, _, host, status, took, finished, note, count = unpack(OUTCOME_LAYOUT, body)
    left, rate = read_limit(body, OUTCOME_LAYOUT.size, count, fields)
    result = result_from_status(status)
    wait = note * li.MS if result is li.Result.FULL else 0
    return li.SubmitReport(text, host, result, to_units(took), bool(finished), wait, left, rate)


def read_probe(body: bytes, fields: list[str]) -> li.ProbeReport:
    """The outcome of a probe."""
    _, host, status, _, count = unpack(PROBE_LAYOUT, body)
    left, rate = read_limit(body, PROBE_LAYOUT.size, count, fields)
    return li.ProbeReport(host, result_from_status(status), left, rate)


def read_text_id(body: bytes) -> int:
    """The id of the text whose client left."""
    return unpack(struct.Struct(">HQ"), body)[1]


def encode_record(code: int, layout: str, *fields) -> bytes:
    """Encode one record of a reply."""
    body = struct.pack(layout, *fields)
    return RECORD_HEADER.pack(code, len(body)) + body


def encode_line(code: int, relay: int, line: str) -> bytes:
    """Encode a record that carries a line of text, of 2000 bytes at most."""
    raw = line.encode()[:2000]
    return encode_record(code, f">HH{len(raw)}s", relay, len(raw), raw)


def encode_action(relay: int, action: li.Action) -> bytes:
    """Encode an action. Raises TypeError for one that this protocol does not have."""
    match action:
        case li.Submit(text, host, timeout):
            return encode_record(ACTION_SUBMIT, ">HQ6sd", relay, text, host, timeout / li.MS)
        case li.Nack(text, advice):
            return encode_record(ACTION_NACK, ">HQd", relay, text, advice / li.MS)
        case li.Undeliverable(text):
            return encode_record(ACTION_UNDELIVERABLE, ">HQ", relay, text)
        case li.Probe(host):
            return encode_record(ACTION_PROBE, ">H6s", relay, host)
        case li.CloseIdle(host):
            return encode_record(ACTION_CLOSE_IDLE, ">H6s", relay, host)
        case li.Watch():
            return encode_record(ACTION_WATCH, ">HB", relay, 1)
        case li.Wake(after):
            return encode_record(ACTION_WAKE, ">HQd", relay, 0, after / li.MS)
        case li.LogLine(line, host):
            return encode_line(ACTION_LOG, relay, f"host {host.hex()} {line}")
    raise TypeError(f"no record for the action {action!r}")


def encode_reply(records: list[bytes]) -> bytes:
    """Encode a reply of these records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(body) + 4, len(records)) + body
