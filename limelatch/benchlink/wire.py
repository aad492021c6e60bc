"""Frames of the bench's wire, and their translation to and from `limelatch.interface`."""

from __future__ import annotations

import json
import struct
from dataclasses import dataclass

from limelatch import interface as li
from limelatch.configuration import to_units

HEADER = struct.Struct(">dII")
REPLY = struct.Struct(">II")
RECORD = struct.Struct(">HI")
ENTRY = struct.Struct(">HB6sHfBd")
INCOMING = struct.Struct(">HQQdHdHHf")
OUTCOME = struct.Struct(">HQB6sHdBIB")
PROBED = struct.Struct(">H6sHdB")

START, ENDPOINTS, INCOMING_CODE, ACCEPTED, OUTCOME_CODE = 1000, 1010, 1020, 1030, 1040
CLIENT_LEFT, FIRED, STATUS_BACK, MEMO, HALT, TABLE = 1050, 1060, 1070, 1080, 1090, 1100
NACK, SCHEDULE, JOURNAL, FAULT, PLACE, TEST, DROP, CLOSE = 1040, 1050, 1060, 1070, 1080, 1090, 1100, 1110
SUBSCRIBE = 1020

RESULTS = (
    li.Result.DELIVERED,
    li.Result.ERROR,
    li.Result.FULL,
    li.Result.TIMEOUT,
    li.Result.CONNECT,
    li.Result.RESET,
    li.Result.CANCELLED,
    li.Result.NOT_SENT,
)
LISTINGS = {3: li.Listing.READY, 2: li.Listing.DRAINING, 0: li.Listing.GONE}
HANDED_IN_AGAIN = 2
CACHED, FAILED, FULL_LIST, DELTA = 0, 1, 3, 4


class MalformedFrame(Exception):
    """The bytes read are no frame of this wire."""


@dataclass(slots=True)
class Record:
    """One event: its code, the relay it is for (none for a table) and its fields as bytes."""

    code: int
    body: bytes


def unpack(layout: struct.Struct, body: bytes, offset: int = 0) -> tuple:
    """Fields at the head of `body`, or MalformedFrame if they are not all there."""
    if len(body) < offset + layout.size:
        raise MalformedFrame(f"a record of {len(body)} bytes is too short for its fields")
    return layout.unpack_from(body, offset)


def relay_of(body: bytes) -> int:
    """The relay an event is for."""
    return unpack(struct.Struct(">H"), body)[0]


def read_frame(stream) -> tuple[float, list[Record]] | None:
    """The next batch: its clock in milliseconds and its events. None at a clean end of input."""
    head = stream.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise MalformedFrame("input ends inside a frame's header")
    clock, size, count = HEADER.unpack(head)
    if size < 4:
        raise MalformedFrame(f"a frame's length of {size} is too small")
    body = stream.read(size - 4)
    if len(body) < size - 4:
        raise MalformedFrame("input ends inside a frame")
    return clock, split_records(body, count)


def split_records(body: bytes, count: int) -> list[Record]:
    """The records of a frame."""
    records, at = [], 0
    for _ in range(count):
        code, size = unpack(RECORD, body, at)
        at += RECORD.size
        if at + size > len(body):
            raise MalformedFrame(f"a record of code {code} runs past its frame")
        records.append(Record(code, body[at : at + size]))
        at += size
    if at != len(body):
        raise MalformedFrame(f"{len(body) - at} bytes left over behind the records")
    return records


def read_start(body: bytes) -> tuple[int, int, dict]:
    """Relay, seed and settings."""
    relay, seed, size = unpack(struct.Struct(">HQI"), body)
    raw = body[14 : 14 + size]
    try:
        settings = json.loads(raw)
    except ValueError as error:
        raise MalformedFrame(f"settings are no JSON: {error}") from None
    if len(raw) < size or not isinstance(settings, dict):
        raise MalformedFrame("settings are cut short or no object")
    return relay, seed, settings


def read_table(body: bytes) -> tuple[int, list[li.HostEntry]]:
    """A numbered list of hosts."""
    page, count = unpack(struct.Struct(">II"), body)
    entries = []
    for index in range(count):
        zone, kind, host, owner, size, mode, _ = unpack(ENTRY, body, 8 + index * ENTRY.size)
        listing = LISTINGS.get(mode, li.Listing.GONE)
        entries.append(li.HostEntry(host, owner, zone, kind, size, listing))
    return page, entries


def read_endpoints(body: bytes) -> tuple[int, int]:
    """Mode of the news and number of its table."""
    _, mode, _, page = unpack(struct.Struct(">HBII"), body)
    return mode, page


def read_text(body: bytes) -> li.Text:
    """A text taken in."""
    _, text, key, _, bits, until, customer, product, owner = unpack(INCOMING, body)
    return li.Text(text, int(owner), product, to_units(until), customer, key, bool(bits & HANDED_IN_AGAIN))


def limit_report(body: bytes, at: int, count: int, fields: list[str]) -> tuple[float | None, float | None]:
    """Share of the limit left and the limit's rate, where a report tells them."""
    values = unpack(struct.Struct(f">{count}f"), body, at)
    return li.limit_from_report(dict(zip(fields, values, strict=False)))


def result_of(status: int) -> li.Result:
    """A submit's result; a status this wire does not name may have run."""
    return RESULTS[status] if status < len(RESULTS) else li.Result.ERROR


def read_outcome(body: bytes, fields: list[str]) -> li.SubmitReport:
    """How a submit ended."""
    _, text, _, host, status, took, finished, note, count = unpack(OUTCOME, body)
    left, rate = limit_report(body, OUTCOME.size, count, fields)
    result = result_of(status)
    wait = note * li.MS if result is li.Result.FULL else 0
    return li.SubmitReport(text, host, result, to_units(took), bool(finished), wait, left, rate)


def read_probe(body: bytes, fields: list[str]) -> li.ProbeReport:
    """How a probe ended."""
    _, host, status, _, count = unpack(PROBED, body)
    left, rate = limit_report(body, PROBED.size, count, fields)
    return li.ProbeReport(host, result_of(status), left, rate)


def read_text_id(body: bytes) -> int:
    """The text that a client left."""
    return unpack(struct.Struct(">HQ"), body)[1]


def record(code: int, layout: str, *fields) -> bytes:
    """One record of a reply."""
    body = struct.pack(layout, *fields)
    return RECORD.pack(code, len(body)) + body


def words(code: int, relay: int, line: str) -> bytes:
    """A record that carries a line of words."""
    raw = line.encode()[:2000]
    return record(code, f">HH{len(raw)}s", relay, len(raw), raw)


def write_action(relay: int, action: li.Action) -> bytes:
    """An action of the module as a record."""
    match action:
        case li.Submit(text, host, timeout):
            return record(PLACE, ">HQ6sd", relay, text, host, timeout / li.MS)
        case li.Nack(text, advice):
            return record(NACK, ">HQd", relay, text, advice / li.MS)
        case li.Undeliverable(text):
            return record(DROP, ">HQ", relay, text)
        case li.Probe(host):
            return record(TEST, ">H6s", relay, host)
        case li.CloseIdle(host):
            return record(CLOSE, ">H6s", relay, host)
        case li.Watch():
            return record(SUBSCRIBE, ">HB", relay, 1)
        case li.Wake(after):
            return record(SCHEDULE, ">HQd", relay, 0, after / li.MS)
        case li.LogLine(line, host):
            return words(JOURNAL, relay, f"host {host.hex()} {line}")
    raise TypeError(f"no record for {action!r}")


def write_frame(records: list[bytes]) -> bytes:
    """A reply."""
    body = b"".join(records)
    return REPLY.pack(len(body) + 4, len(records)) + body
