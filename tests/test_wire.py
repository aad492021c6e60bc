"""The bench's frames, made by hand."""

import io
import json
import struct

import pytest

from limelatch.benchlink import wire
from limelatch.benchlink.__main__ import Link
from limelatch.interface import Nack, Result, Submit, Wake

HOST = bytes([10, 18, 74, 7]) + struct.pack(">H", 8003)
SETTINGS = {
    "familyInfo": {"slots": 4, "batchByKind": [1], "routesApart": [False]},
    "peersTotal": 2,
    "new": 1,
    "limits": {"maxOpen": 50, "maxAttempts": 4},
    "skus": ["a"],
    "stats": {"fields": ["x0", "x1"]},
    "classes": [{"effect": "pure", "onTime": 3000.0, "deadline": 9000.0, "credit": 1.0}],
}


def event(code, layout, *fields):
    body = struct.pack(layout, *fields)
    return wire.Record(code, body)


def start(relay):
    raw = json.dumps(SETTINGS).encode()
    return event(wire.START, f">HQI{len(raw)}s", relay, 7, len(raw), raw)


def table(page, host=HOST):
    return event(wire.TABLE, ">IIHB6sHfBd", page, 1, 0, 0, host, 57, 1.0, 3, 0.0)


def listed(relay, mode=0, page=0):
    return event(wire.ENDPOINTS, ">HBII", relay, mode, 1, page)


def incoming(relay, text):
    return event(wire.INCOMING_CODE, ">HQQdHdHHf", relay, text, 0, 0.0, 0, 10_000.0, 0, 0, 57.0)


def codes(records):
    return [wire.RECORD.unpack_from(raw)[0] for raw in records]


def test_a_frame_is_split_into_its_records():
    raw = bytes.fromhex("40c06e2000000000000000140000000104240000000a0003000000000000004d")
    assert wire.read_frame(io.BytesIO(raw)) == (8412.25, [wire.Record(wire.FIRED, raw[-10:])])


@pytest.mark.parametrize(
    "raw",
    [
        b"\0" * 5,
        struct.pack(">dII", 1, 4, 1),
        struct.pack(">dII", 1, 9, 0) + b"\0" * 5,
        struct.pack(">dII", 1, 99, 0),
        struct.pack(">dIIHI", 1, 10, 1, 1040, 9),
    ],
)
def test_malformed_frames_are_named(raw):
    with pytest.raises(wire.MalformedFrame):
        wire.read_frame(io.BytesIO(raw))


def test_an_outcome_is_read_with_and_without_a_report():
    body = struct.pack(">HQB6sHdBIB", 3, 9, 0, HOST, 2, 18.5, 0, 250, 2) + struct.pack(">ff", 0.5, 8.0)
    report = wire.read_outcome(body, ["x0", "x1"])
    assert (report.result, report.took, report.retry_after) == (Result.FULL, 185, 2500)
    assert (report.limit_left, report.limit_rate) == (0.5, 8.0)
    assert wire.read_outcome(body[:32] + b"\0", ["x0"]).limit_left is None
    none = wire.read_outcome(body[:33] + struct.pack(">ff", 0.0, 0.0), ["x0", "x1"])  # it has no limit
    assert (none.limit_left, none.limit_rate) == (None, None)


def test_actions_become_records():
    assert wire.write_action(3, Submit(9, HOST, 800)).hex() == (
        "04380000001800030000000000000009" + HOST.hex() + "4054000000000000"
    )
    assert codes([wire.write_action(3, Nack(9, 0)), wire.write_action(3, Wake(200))]) == [1040, 1050]


def test_a_text_is_placed_and_tables_are_taken_in_order():
    other = HOST[:5] + b"\0"
    link = Link()
    lists = [table(0, other), listed(3), table(0), listed(3, mode=3)]
    replies = link.answer(1.0, [start(3), *lists, incoming(3, 9)])
    assert codes(replies) == [wire.PLACE] and HOST in replies[0]


def test_a_relay_halted_and_started_in_one_batch_knows_nothing():
    link = Link()
    link.answer(1.0, [start(3), table(0), listed(3), incoming(3, 9)])
    link.answer(2.0, [event(wire.HALT, ">H", 3), start(3), listed(3)])
    assert link.relays[3].policy.texts == {}


def test_relays_share_nothing():
    link = Link()
    link.answer(1.0, [start(3), start(5), table(0), listed(3), listed(5), incoming(3, 9)])
    assert list(link.relays[3].policy.texts) == [9] and link.relays[5].policy.texts == {}


def test_an_exception_in_the_module_becomes_a_fault_that_names_it(monkeypatch):
    link = Link()
    link.answer(1.0, [start(3)])
    monkeypatch.setattr(link.relays[3].policy, "decide", lambda now: 1 // 0)
    (reply,) = link.answer(2.0, [event(wire.FIRED, ">HQ", 3, 0)])
    assert codes([reply]) == [wire.FAULT] and b"ZeroDivisionError" in reply


def test_a_failed_call_for_the_list_is_told_and_a_watch_is_asked_for():
    """The adapter once passed over failures and could not ask; nor did it tell of texts handed in again."""
    link, fired = Link(), event(wire.FIRED, ">HQ", 3, 0)
    raw = json.dumps(SETTINGS | {"discovery": "subscribe", "rules": {"askEvery": 1000}}).encode()
    link.answer(1.0, [event(wire.START, f">HQI{len(raw)}s", 3, 7, len(raw), raw), table(0), listed(3)])
    assert wire.SUBSCRIBE in codes(link.answer(1001.0, [fired]))
    link.answer(1002.0, [listed(3, mode=wire.FAILED)])
    assert wire.SUBSCRIBE in codes(link.answer(2500.0, [fired]))
    assert wire.read_text(struct.pack(">HQQdHdHHf", 3, 9, 0, 0.0, 2, 1e4, 0, 0, 57.0)).resubmitted
