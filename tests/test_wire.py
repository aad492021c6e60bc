"""The codec and the adapter of the bench's protocol, on frames made by hand."""

import io
import json
import struct

import pytest

from limelatch.benchlink import wire
from limelatch.benchlink.__main__ import BenchLink
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


def start_event(relay):
    raw = json.dumps(SETTINGS).encode()
    return event(wire.EVENT_START, f">HQI{len(raw)}s", relay, 7, len(raw), raw)


def table_event(page, host=HOST):
    return event(wire.EVENT_HOST_TABLE, ">IIHB6sHfBd", page, 1, 0, 0, host, 57, 1.0, 3, 0.0)


def list_event(relay, mode=0, page=0):
    return event(wire.EVENT_HOST_LIST, ">HBII", relay, mode, 1, page)


def text_event(relay, text):
    return event(wire.EVENT_TEXT, ">HQQdHdHHf", relay, text, 0, 0.0, 0, 10_000.0, 0, 0, 57.0)


def codes(records):
    return [wire.RECORD_HEADER.unpack_from(raw)[0] for raw in records]


def test_a_frame_is_split_into_its_records():
    raw = bytes.fromhex("40c06e2000000000000000140000000104240000000a0003000000000000004d")
    assert wire.read_frame(io.BytesIO(raw)) == (8412.25, [wire.Record(wire.EVENT_TIMER, raw[-10:])])


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
def test_malformed_frames_raise(raw):
    with pytest.raises(wire.MalformedFrame):
        wire.read_frame(io.BytesIO(raw))


def test_an_outcome_is_read_with_and_without_a_report():
    body = struct.pack(">HQB6sHdBIB", 3, 9, 0, HOST, 2, 18.5, 0, 250, 2) + struct.pack(">ff", 0.5, 8.0)
    report = wire.read_outcome(body, ["x0", "x1"])
    assert (report.result, report.took, report.retry_after) == (Result.FULL, 185, 2500)
    assert (report.limit_left, report.limit_rate) == (0.5, 8.0)
    assert wire.read_outcome(body[:32] + b"\0", ["x0"]).limit_left is None
    none = wire.read_outcome(body[:33] + struct.pack(">ff", 0.0, 0.0), ["x0", "x1"])  # the host has no limit
    assert (none.limit_left, none.limit_rate) == (None, None)


def test_actions_become_records():
    assert wire.encode_action(3, Submit(9, HOST, 800)).hex() == (
        "04380000001800030000000000000009" + HOST.hex() + "4054000000000000"
    )
    assert codes([wire.encode_action(3, Nack(9, 0)), wire.encode_action(3, Wake(200))]) == [1040, 1050]


def test_host_tables_and_lists_are_applied_in_the_order_of_the_frame():
    other = HOST[:5] + b"\0"
    link = BenchLink()
    lists = [table_event(0, other), list_event(3), table_event(0), list_event(3, mode=3)]
    replies = link.handle_frame(1.0, [start_event(3), *lists, text_event(3, 9)])
    assert codes(replies) == [wire.ACTION_SUBMIT] and HOST in replies[0]


def test_a_relay_stopped_and_started_in_one_frame_starts_empty():
    link = BenchLink()
    link.handle_frame(1.0, [start_event(3), table_event(0), list_event(3), text_event(3, 9)])
    link.handle_frame(2.0, [event(wire.EVENT_STOP, ">H", 3), start_event(3), list_event(3)])
    assert link.relays[3].policy.texts == {}


def test_relays_share_nothing():
    link = BenchLink()
    link.handle_frame(
        1.0, [start_event(3), start_event(5), table_event(0), list_event(3), list_event(5), text_event(3, 9)]
    )
    assert list(link.relays[3].policy.texts) == [9] and link.relays[5].policy.texts == {}


def test_an_exception_in_the_module_becomes_a_fault_record_that_names_it(monkeypatch):
    link = BenchLink()
    link.handle_frame(1.0, [start_event(3)])
    monkeypatch.setattr(link.relays[3].policy, "decide", lambda now: 1 // 0)
    (reply,) = link.handle_frame(2.0, [event(wire.EVENT_TIMER, ">HQ", 3, 0)])
    assert codes([reply]) == [wire.ACTION_FAULT] and b"ZeroDivisionError" in reply


def test_a_failed_call_for_the_list_reaches_the_module_which_asks_for_a_watch():
    """Guards against an adapter that drops failed calls for the list, watches or the resubmitted flag."""
    link, timer_event = BenchLink(), event(wire.EVENT_TIMER, ">HQ", 3, 0)
    raw = json.dumps(SETTINGS | {"discovery": "subscribe", "rules": {"askEvery": 1000}}).encode()
    link.handle_frame(
        1.0, [event(wire.EVENT_START, f">HQI{len(raw)}s", 3, 7, len(raw), raw), table_event(0), list_event(3)]
    )
    assert wire.ACTION_WATCH in codes(link.handle_frame(1001.0, [timer_event]))
    link.handle_frame(1002.0, [list_event(3, mode=wire.LIST_FAILED)])
    assert wire.ACTION_WATCH in codes(link.handle_frame(2500.0, [timer_event]))
    assert wire.read_text(struct.pack(">HQQdHdHHf", 3, 9, 0, 0.0, 2, 1e4, 0, 0, 57.0)).resubmitted
