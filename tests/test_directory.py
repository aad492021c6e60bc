"""The directory of hosts, the parsing of lists, the copy of the list, and the forgetting of destinations."""

import json
import os
import random
from types import SimpleNamespace

import pytest
from conftest import HOST, NOW, PolicyHarness, S
from hypothesis import given, settings
from hypothesis import strategies as st
from test_crossings import RunningReactor
from test_parts import CONFIGURED_NAMES, SocketPairTransport

from limelatch.interface import Forget, Listing, Result, Wake
from limelatch.policy import DESTINATION_IDLE_TIME, LEARNED_STATE_LIFETIME, TOKEN_BUCKET_SIZE, Policy
from limelatch.relay import list_copy
from limelatch.relay.catalog import Catalog, address_of
from limelatch.relay.hash_index import HashIndex
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.directory import GONE, MAX_REMOVED_ROWS, MAX_DESTINATION, READY, Directory, Row
from limelatch.relay.end_reason import EndReason
from limelatch.relay.ledger import Ledger
from limelatch.list_copy_interval import COPY_RATE, MAX_INTERVAL, MIN_INTERVAL, copy_interval
from limelatch.relay.list_copy import ListCopy, read_copy


def row(name="s-1", destination=1, status=READY, address="127.0.0.1:80"):
    return Row(name, address, "a", "single", destination, status, 1.0)


def row_json(name="s-1", group=1, status="active", address="127.0.0.1:80", **more):
    return {
        "name": name,
        "address": address,
        "zone": "a",
        "type": "single",
        "group": group,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
    } | more


def list_object(index, rows, whole=False, **form):
    return json.dumps({"index": index, "snapshot": whole, "endpoints": rows}, **form).encode() + b"\n"


def listed_hosts(directory, destinations):
    return {each.name: each.destination for number in destinations for each in directory.rows(number)}


# Indexes.


def test_each_row_is_found_at_any_size_and_an_addition_splits_one_bucket_at_most():
    keys, looked_up = [key * 7919 % 4096 for key in range(3000)], []
    index = HashIndex(lambda number: looked_up.append(number) or keys[number])
    for number, key in enumerate(keys):
        before = len(looked_up)
        index.add(number, key)
        assert len(looked_up) - before <= 16  # at most the rows of one bucket
    assert all(number in index.rows(key) for number, key in enumerate(keys))
    for number in range(0, 3000, 2):
        index.remove(number, keys[number])
    assert [row for row, key in enumerate(keys) if row in index.rows(key)] == list(range(1, 3000, 2))
    with pytest.raises(KeyError):
        index.remove(0, keys[0])


CHANGES = st.lists(
    st.one_of(
        st.tuples(
            st.integers(0, 12), st.integers(0, 4), st.sampled_from([READY, "d", GONE]), st.integers(1, 99)
        ),
        st.lists(st.tuples(st.integers(0, 12), st.integers(0, 4)), max_size=8),
    ),
    max_size=40,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(CHANGES)
def test_any_sequence_of_changes_and_whole_lists_gives_the_rows_of_a_plain_dict(changes):
    directory, expected = Directory(), {}
    for change in changes:
        if isinstance(change, tuple):
            host, destination, status, port = change
            directory.put(row(f"s-{host}", destination, status, f"10.0.0.1:{port}"))
            expected.pop(f"s-{host}", None)
            if status != GONE:
                expected[f"s-{host}"] = destination
        else:
            directory.begin_list()
            for host, destination in change:
                directory.put(row(f"s-{host}", destination))
            directory.end_list()
            expected = {f"s-{host}": destination for host, destination in change}
            assert listed_hosts(directory, range(5)) == expected  # before the sweep as well
            while directory.sweep(3):
                pass
        assert listed_hosts(directory, range(5)) == expected and len(directory) == len(expected)
        hosts = [f"s-{host}" for host in range(13)]
        assert [host for host in hosts if directory.find(host.encode())] == [
            h for h in hosts if h in expected
        ]


def test_a_row_takes_the_memory_of_its_line_and_indexes_and_in_place_changes_take_none():
    directory = Directory()
    for number in range(20_000):
        directory.put(row(f"s-{number:08x}", number, address=f"10.1.{number >> 8}.{number & 255}:6379"))
    assert directory.size / 20_000 < 90
    size = directory.size
    for number in range(0, 20_000, 2):
        directory.put(row(f"s-{number:08x}", number, "d", f"10.1.{number >> 8}.{number & 255}:6379"))
    assert directory.size == size and len(directory) == 20_000


def test_memory_does_not_grow_with_removed_hosts_or_changed_addresses():
    directory = Directory()
    for number in range(30_000):
        directory.put(row(f"s-{number}", 1, address=f"10.0.0.1:{number}"))
        directory.put(row("lasting", 2, address=f"10.0.0.1:{number}"))
        directory.put(row(f"s-{number}", 1, GONE))
    assert len(directory) == 1 and directory.size < 300_000
    assert directory.has_destination(1) and not directory.rows(1)  # its next host may be about to be listed
    for number in range(MAX_REMOVED_ROWS):
        directory.put(row(f"t-{number}", 3, GONE))
    assert not directory.has_destination(1) and directory.has_destination(2)


@pytest.mark.parametrize(
    "invalid",
    [
        row(destination=-1),
        row(destination=MAX_DESTINATION + 1),
        row(destination=1 << 70),
        row(name=""),
        row(name="x" * 256),
        row(name="a\tb"),
        row(name="a\nb"),
        row(address=""),
        row(address="x" * 256),
        row()._replace(rate=float("nan")),
        row()._replace(rate=float("inf")),
        row()._replace(zone="z" * 65),
        row(name="\ud800"),
    ],
)
def test_a_row_beyond_the_limits_changes_nothing(invalid):
    directory = Directory()
    directory.put(row(invalid.name if invalid.name == "s-1" else "s-2"))
    with pytest.raises(ValueError):
        directory.put(invalid)
    assert len(directory) == 1 and not directory.has_destination(MAX_DESTINATION)
    directory.put(row("edge", MAX_DESTINATION))
    assert directory.rows(MAX_DESTINATION) == [
        row("edge", MAX_DESTINATION)
    ] and not directory.has_destination(MAX_DESTINATION + 1)


def test_a_destination_may_have_no_or_a_hundred_hosts_and_repeated_rows():
    directory = Directory()
    for _ in range(2):
        for number in range(100):
            directory.put(row(f"s-{number:02}", 7))
    assert [each.name for each in directory.rows(7)] == [f"s-{number:02}" for number in range(100)]
    assert len(directory) == 100 and directory.rows(8) == [] and not directory.has_destination(8)


# The catalog's list, row by row.


@pytest.fixture
def clock():
    return RunningReactor()


@pytest.fixture
def make_catalog(clock):
    """Makes a catalog whose updates are recorded in `updates`."""

    def make_catalog(copy=None, address=None, wanted=lambda destination: True):
        updates = []
        catalog = Catalog(
            clock,
            Deadlines(clock, clock),
            address,
            CONFIGURED_NAMES,
            45_000,
            9 * S,
            lambda entries, whole: updates.append((entries, whole)),
            None,
            copy,
            wanted,
        )
        catalog.updates = updates
        return catalog

    return make_catalog


def open_watch(catalog, expected_request=b""):
    watch = catalog.buildProtocol(None)
    watch.makeConnection(SocketPairTransport())
    assert expected_request in watch.transport.value()
    watch.dataReceived(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    return watch


def send_chunk(watch, raw):
    watch.dataReceived(b"%x\r\n%s\r\n" % (len(raw), raw))


ROWS = [row_json(f"s-{number}", number, zone='}{"]\u20ac\\') for number in range(6)]


@pytest.mark.parametrize("form", [{}, {"indent": 1}, {"ensure_ascii": False, "separators": (",", ":")}])
def test_a_list_truncated_at_any_byte_is_requested_again_and_leaves_no_wrong_row(make_catalog, form):
    raw = list_object(4, ROWS, True, **form)
    for cut in range(len(raw) - 1):
        catalog = make_catalog()
        watch = open_watch(catalog, b"GET /catalog/members HTTP")
        send_chunk(watch, raw[:cut] or b" ")
        assert watch.end_reason is None
        watch.connectionLost(None)
        assert catalog.index is None and not catalog.is_fresh
        second_watch = open_watch(catalog, b"GET /catalog/members HTTP")
        send_chunk(second_watch, raw)
        assert listed_hosts(catalog.directory, range(6)) == {f"s-{number}": number for number in range(6)}
        assert catalog.index == 4 and catalog.is_fresh and second_watch.end_reason is None


def test_rows_are_reported_before_a_long_list_has_ended_and_only_wanted_ones(make_catalog):
    catalog = make_catalog(wanted=lambda destination: destination == 2)
    watch, raw = open_watch(catalog), list_object(4, ROWS, True)
    send_chunk(watch, raw[: raw.index(b'"s-4"')])
    assert [each.host for entries, _ in catalog.updates for each in entries] == [
        b"s-2"
    ] and not catalog.is_fresh
    assert len(catalog.directory) == 4  # the others are stored all the same


@pytest.mark.parametrize("by_length", [False, True])
def test_a_list_of_four_megabytes_is_parsed_in_parts_and_not_buffered(make_catalog, by_length):
    rows = [row_json(f"s-{number:07}", number) for number in range(30_000)]
    raw, catalog = list_object(4, rows, True), make_catalog(wanted=lambda destination: False)
    assert len(raw) > 4_000_000
    watch = catalog.buildProtocol(None)
    watch.makeConnection(SocketPairTransport())
    head = b"Content-Length: %d" % len(raw) if by_length else b"Transfer-Encoding: chunked"
    rest = raw if by_length else b"%x\r\n%s\r\n0\r\n\r\n" % (len(raw), raw)
    stream = b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n" + rest
    for at in range(0, len(stream), 16_000):
        watch.dataReceived(stream[at : at + 16_000])
        assert len(watch.inbound) <= 2 * 16_384
    assert len(catalog.directory) == 30_000 and catalog.index == 4
    assert b"?stream=1&index=4" in watch.transport.value()


def test_a_whole_list_removes_hosts_and_an_empty_one_is_rejected(make_catalog):
    catalog = make_catalog()
    send_chunk(open_watch(catalog), list_object(4, ROWS, True))
    send_chunk(second := open_watch(catalog, b"index=4"), list_object(9, ROWS[:2], True))
    assert listed_hosts(catalog.directory, range(6)) == {"s-0": 0, "s-1": 1} and second.end_reason is None
    send_chunk(third := open_watch(catalog, b"index=9"), list_object(10, [], True))
    assert third.end_reason is EndReason.MALFORMED and catalog.index is None
    assert listed_hosts(catalog.directory, range(6)) == {"s-0": 0, "s-1": 1}
    send_chunk(
        open_watch(make_catalog()), list_object(1, [], True)
    )  # an empty list is accepted if there was none before


def test_rows_missing_from_a_whole_list_are_removed_in_batches(make_catalog, clock):
    catalog = make_catalog(wanted=lambda destination: False)
    send_chunk(
        open_watch(catalog), list_object(4, [row_json(f"s-{number}", number) for number in range(5000)], True)
    )
    slices, sweep = [], catalog.directory.sweep
    catalog.directory.sweep = lambda max_rows: slices.append(max_rows) or sweep(max_rows)
    send_chunk(open_watch(catalog), list_object(5, [row_json()], True))
    assert slices[-1] <= 1024 and len(catalog.directory) == 1
    assert catalog.directory.find(b"s-4999") is None  # although it is not removed yet
    clock.advance(0)
    assert slices.count(1024) >= 5 and not catalog.directory.sweep(0)
    assert listed_hosts(catalog.directory, range(5000)) == {"s-1": 1}


def test_a_moved_host_is_removed_from_its_old_destination_first(make_catalog):
    catalog = make_catalog()
    send_chunk(watch := open_watch(catalog), list_object(4, [row_json("s-1", 1), row_json("s-2", 2)], True))
    catalog.updates.clear()
    send_chunk(watch, list_object(5, [row_json("s-1", 2)]))
    ((entries, _),) = [each for each in catalog.updates if each[0]]
    assert [(each.destination, each.listing) for each in entries] == [(1, Listing.GONE), (2, Listing.READY)]
    assert listed_hosts(catalog.directory, (1, 2)) == {"s-1": 2, "s-2": 2}


def test_a_row_that_can_t_be_stored_is_left_out_and_logged(make_catalog, caplog):
    catalog = make_catalog()
    send_chunk(
        watch := open_watch(catalog),
        list_object(4, [row_json("s-1", MAX_DESTINATION + 1), row_json("s-2", 2)], True),
    )
    assert listed_hosts(catalog.directory, range(3)) == {"s-2": 2} and watch.end_reason is None
    assert "row-not-read" in caplog.text


@pytest.mark.parametrize(
    "raw",
    [
        b'{"index":5,"snapshot":true,"endpoints":[,]}',
        b'{"index":5,"snapshot":true,"endpoints":[{}]}',
        b'{"index":5,"snapshot":true,"endpoints":[1]}',
        b'{"index":5,"snapshot":true,"endpoints":[],}',
        b'{"index":5,"snapshot":true,"endpoints":[],"endpoints":[]}',
        b'{"index":"x","snapshot":true,"endpoints":[]}',
        b'{"index":1e999,"snapshot":true,"endpoints":[]}',
        b'{"snapshot":true,"endpoints":[]}',
        b'{"index":5,"snapshot":true,"endpoints":null}',
        b'{"index":5 "snapshot":true}',
        b'{"index"',
        b"{1:2}",
        b"\xff{}",
        b'{"index":' + b"9" * 70_000,
        b'{"a":' + b"[" * 40_000,
        b"{" + b",".join(b'"%d":0' % number for number in range(70)) + b"}",
    ],
)
def test_an_invalid_list_ends_the_watch_unless_it_is_merely_incomplete(make_catalog, raw):
    catalog = make_catalog()
    send_chunk(watch := open_watch(catalog), list_object(4, ROWS[:1], True))
    send_chunk(watch, raw)
    assert watch.end_reason is (None if raw == b'{"index"' else EndReason.MALFORMED)
    assert catalog.directory.rows(0)[0].name == "s-0"


def test_each_row_of_a_slow_list_counts_as_activity_and_half_a_row_does_not(make_catalog, clock):
    catalog = make_catalog()
    raw = list_object(4, ROWS, True)
    send_chunk(watch := open_watch(catalog), raw[: raw.index(b"[") + 1])
    catalog.note_activity()
    for number in range(6):  # four seconds each
        clock.advance(4)
        start = raw.index(b'{"name": "s-%d"' % number)
        send_chunk(watch, raw[start : raw.index(b"}", raw.index(b'"since_ms"', start)) + 1] + b",")
        assert watch.end_reason is None
    clock.advance(4)
    send_chunk(watch, b'{"name":')
    clock.advance(1)
    assert watch.end_reason is EndReason.ANSWER_TIMEOUT


# The copy in the state directory.


@pytest.fixture
def copy(tmp_path, clock):
    return ListCopy(str(tmp_path), Deadlines(clock, clock), Ledger(str(tmp_path), 3_000_000, 64_000_000))


def write_copy(catalog, clock):
    """Advance the clock by MAX_INTERVAL, and by the reactor turns that writing the copy takes."""
    clock.advance(MAX_INTERVAL / S)
    for _ in range(40):
        clock.advance(0)


def test_a_restart_loads_the_copy_and_requests_the_changes_since(make_catalog, copy, clock):
    catalog = make_catalog(copy, address_of(row(address="127.0.0.1:9")))
    send_chunk(watch := open_watch(catalog), list_object(4, ROWS, True))
    send_chunk(watch, list_object(5, [row_json("s-0", 0, "left"), row_json("s-1", 1, "leaving")]))
    write_copy(catalog, clock)
    assert sorted(os.listdir(os.path.dirname(copy.path))) == ["ledger", "list"]
    after = make_catalog(copy, address_of(row(address="127.0.0.1:9")))
    after.load_copy()
    assert listed_hosts(after.directory, range(6)) == {f"s-{number}": number for number in range(1, 6)}
    assert after.entries(1)[0].listing is Listing.DRAINING and after.has_list and not after.is_fresh
    open_watch(after, b"GET /catalog/members?stream=1&index=5 ")


def test_another_catalog_s_copy_is_used_without_its_index(make_catalog, copy, clock):
    catalog = make_catalog(copy, address_of(row(address="127.0.0.1:9")))
    send_chunk(open_watch(catalog), list_object(4, ROWS, True))
    write_copy(catalog, clock)
    after = make_catalog(copy, address_of(row(address="127.0.0.1:8")))
    after.load_copy()
    assert len(after.directory) == 6 and after.index is None
    open_watch(after, b"GET /catalog/members HTTP")


@pytest.mark.parametrize("index, row_count", [(3, 6), (4, 1), (5, 1)])
def test_of_the_configuration_s_list_and_the_copy_the_later_one_is_used(
    make_catalog, copy, clock, index, row_count
):
    catalog = make_catalog(copy, "a:1")
    send_chunk(open_watch(catalog), list_object(4, ROWS, True))
    write_copy(catalog, clock)
    after = make_catalog(copy, "a:1")
    after.load_known_list({"index": index, "snapshot": True, "endpoints": [row_json()]})
    after.load_copy()
    assert len(after.directory) == row_count and after.index == max(index, 4)


def test_a_copy_that_is_truncated_changed_or_of_another_form_is_ignored(make_catalog, copy, clock, caplog):
    catalog = make_catalog(copy, "a:1")
    send_chunk(open_watch(catalog), list_object(4, ROWS, True))
    write_copy(catalog, clock)
    with open(copy.path, "rb") as file:
        raw = file.read()
    invalid = [raw[:cut] for cut in range(len(raw) - 1)]
    invalid += [bytes(len(raw)), raw.replace(b'"form": 1', b'"form": 2'), raw * 2]
    invalid += [
        raw[:at] + bytes([raw[at] ^ 1]) + raw[at + 1 :] for at in range(raw.index(b"\n"), len(raw) - 1)
    ]
    for each in invalid:
        with open(copy.path, "wb") as file:
            file.write(each)
        after = make_catalog(copy, "a:1")
        after.load_copy()
        assert (after.index, len(after.directory)) == (None, 0)
    assert "copy-not-read" in caplog.text
    with open(copy.path, "wb") as file:
        file.write(raw)
    assert len(read_copy(copy.path)[2]) == 6


def test_a_kill_at_any_step_of_writing_leaves_the_previous_copy(make_catalog, copy, clock, monkeypatch):
    catalog = make_catalog(copy, "a:1")
    send_chunk(open_watch(catalog), list_object(4, ROWS, True))
    write_copy(catalog, clock)
    send_chunk(open_watch(catalog), list_object(5, [row_json("s-9", 9)]))
    steps = []
    for name in ("open", "write", "replace"):
        real = getattr(os, name)
        monkeypatch.setattr(
            list_copy.os,
            name,
            lambda *arguments, real=real: (
                steps.append((read_copy(copy.path)[1], os.path.exists(copy.path))) or real(*arguments)
            ),
        )
    write_copy(catalog, clock)  # at each step the previous file is in place, complete
    assert steps == [(4, True)] * len(steps) and len(steps) >= 5 and read_copy(copy.path)[1] == 5


def test_a_full_disk_leaves_the_previous_copy_and_writing_is_retried(
    make_catalog, copy, clock, monkeypatch, caplog
):
    catalog = make_catalog(copy, "a:1")
    send_chunk(open_watch(catalog), list_object(4, ROWS, True))
    write_copy(catalog, clock)
    real = os.write
    monkeypatch.setattr(
        list_copy.os, "write", lambda *arguments: (_ for _ in ()).throw(OSError(28, "no space"))
    )
    send_chunk(open_watch(catalog), list_object(5, [row_json("s-9", 9)]))
    write_copy(catalog, clock)
    assert read_copy(copy.path)[1] == 4 and "copy-not-written" in caplog.text
    assert sorted(os.listdir(os.path.dirname(copy.path))) == ["ledger", "list"]
    monkeypatch.setattr(list_copy.os, "write", real)
    send_chunk(open_watch(catalog), list_object(6, [row_json("s-8", 8)]))
    write_copy(catalog, clock)
    assert read_copy(copy.path)[1] == 6


def test_the_ledger_has_priority_over_the_copy(tmp_path, clock, make_catalog, caplog):
    ledger = Ledger(str(tmp_path), 100_000, 64_000_000)
    limit_before = ledger.max_live_bytes
    catalog = make_catalog(ListCopy(str(tmp_path), Deadlines(clock, clock), ledger), "a:1")
    send_chunk(
        open_watch(catalog), list_object(4, [row_json(f"s-{number}", number) for number in range(400)], True)
    )
    write_copy(catalog, clock)
    assert os.listdir(tmp_path) == ["ledger"] and ledger.max_live_bytes == limit_before
    assert "copy-not-written" in caplog.text
    catalog.directory = Directory()  # fewer rows
    send_chunk(open_watch(catalog), list_object(5, [row_json()], True))
    write_copy(catalog, clock)
    assert (
        "list" in os.listdir(tmp_path) and ledger.max_live_bytes < limit_before
    )  # its space is no longer the ledger's


@pytest.mark.parametrize("is_standby", [False, True])
def test_a_copy_for_which_the_ledger_has_no_room_is_read_and_removed(make_catalog, copy, clock, is_standby):
    catalog = make_catalog(copy, "a:1")
    send_chunk(open_watch(catalog), list_object(4, ROWS, True))
    write_copy(catalog, clock)
    full = SimpleNamespace(is_standby=is_standby, reserve_disk=lambda size, at_once=False: False)
    after = make_catalog(ListCopy(os.path.dirname(copy.path), Deadlines(clock, clock), full), "a:1")
    after.load_copy()
    assert len(after.directory) == 6
    assert os.path.exists(copy.path) == is_standby  # in an upgrade it belongs to the other process


class ManualDeadlines:
    """Deadlines whose calls a test makes itself, one at a time; the clock stands still."""

    def __init__(self):
        self.calls, self.clock = [], SimpleNamespace(now=lambda: 0)

    def after(self, wait, call):
        self.calls.append(call)
        return call


def test_rows_that_change_while_the_copy_is_written_are_in_it_old_or_new(make_catalog, tmp_path):
    rng, deadlines, index = random.Random(3), ManualDeadlines(), 4
    copy = ListCopy(str(tmp_path), deadlines, Ledger(str(tmp_path), 9_000_000, 64_000_000))
    catalog = make_catalog(copy, "a:1", wanted=lambda destination: False)
    send_chunk(
        watch := open_watch(catalog),
        list_object(4, [row_json(f"s-{number}", number) for number in range(3000)], True),
    )
    while deadlines.calls and not os.path.exists(copy.path):
        deadlines.calls.pop()()
        index, number = index + 1, rng.randrange(3000)
        send_chunk(
            watch,
            list_object(index, [row_json(f"s-{number}", number, status=rng.choice(["left", "leaving"]))]),
        )
    address, at, copied = read_copy(copy.path)
    assert (
        at == 4 and index > 10 and 2980 < len(copied) <= 3000
    )  # the changes since 4 are sent again after a restart


def test_an_unfinished_copy_is_aborted_by_a_whole_list_or_another_catalog(make_catalog, tmp_path):
    for next_event in ("list", "catalog"):
        deadlines = ManualDeadlines()
        copy = ListCopy(
            str(tmp_path), deadlines, SimpleNamespace(is_standby=False, reserve_disk=lambda size: True)
        )
        catalog = make_catalog(copy, "a:1", wanted=lambda destination: False)
        send_chunk(watch := open_watch(catalog), list_object(4, ROWS, True))
        deadlines.calls.pop()()
        if next_event == "list":
            send_chunk(watch, list_object(2, ROWS[:1], True))
        else:
            catalog.change_address("a:2")
        while deadlines.calls:
            deadlines.calls.pop()()
        assert (read_copy(copy.path)[1] if next_event == "list" else os.listdir(tmp_path)) in (2, ["list"])


def test_a_copy_follows_within_a_tenth_of_a_second_and_a_large_list_s_within_a_minute():
    assert copy_interval(3_000) == MIN_INTERVAL == S // 10
    assert copy_interval(24_000_000) == MAX_INTERVAL == copy_interval(240_000_000) == 60 * S
    for size in range(0, 30_000_000, 10_000):
        assert size * S <= copy_interval(size) * COPY_RATE + S or copy_interval(size) == MAX_INTERVAL


def test_the_first_copy_is_written_at_once_and_the_next_an_interval_later(make_catalog, copy, clock):
    catalog = make_catalog(copy, "a:1")
    send_chunk(watch := open_watch(catalog), list_object(4, ROWS, True))
    clock.advance(0)
    assert read_copy(copy.path)[1] == 4
    send_chunk(watch, list_object(5, [row_json("s-9", 9)]))
    clock.advance(MIN_INTERVAL / S - 0.01)
    assert read_copy(copy.path)[1] == 4
    clock.advance(0.01)
    assert read_copy(copy.path)[1] == 5


def test_a_standby_process_writes_no_copy(make_catalog, tmp_path):
    deadlines = ManualDeadlines()
    copy = ListCopy(
        str(tmp_path), deadlines, SimpleNamespace(is_standby=True, reserve_disk=lambda size: True)
    )
    send_chunk(open_watch(make_catalog(copy, "a:1")), list_object(4, ROWS, True))
    while deadlines.calls:
        deadlines.calls.pop()()
    assert os.listdir(tmp_path) == []


# What the policy forgets.


@pytest.fixture
def on_demand(policy_settings):
    """A policy that gets the hosts of a destination when its first text arrives."""
    policy_settings.hosts_on_demand = True
    return PolicyHarness(Policy(policy_settings, NOW))


def forgotten_destinations(relay, now):
    return [action.destination for action in relay.policy.decide(now) if isinstance(action, Forget)]


def test_an_idle_destination_is_forgotten_by_a_timer(on_demand):
    relay = on_demand
    relay.list_hosts(HOST)
    relay.send_text(relay.accept_text(), Result.DELIVERED, finished=True)
    wakes = [action.after for action in relay.policy.decide(NOW) if isinstance(action, Wake)]
    assert wakes and min(wakes) <= DESTINATION_IDLE_TIME
    assert forgotten_destinations(relay, NOW + DESTINATION_IDLE_TIME - 1) == []
    keep = relay.policy.max_idle_time  # it is kept while a connection may stay idle
    assert forgotten_destinations(relay, NOW + max(DESTINATION_IDLE_TIME, keep) + 1) == [1]
    assert not relay.policy.destinations and not relay.policy.hosts and not relay.policy.idle_destinations
    relay.list_hosts(HOST, now=NOW + 99 * S)
    assert relay.send_text(relay.accept_text(now=NOW + 99 * S), now=NOW + 99 * S) == HOST


def test_ten_thousand_destinations_used_once_are_all_forgotten(on_demand):
    relay, now = on_demand, NOW
    for number in range(10_000):
        now += S // 100
        relay.list_hosts(b"s-%d" % number, dest=number, now=now)
        relay.send_text(relay.accept_text(dest=number, now=now), Result.DELIVERED, now=now, finished=True)
    assert (
        len(relay.policy.destinations)
        < 2 * (DESTINATION_IDLE_TIME + relay.policy.max_idle_time) // (S // 100) + 100
    )
    for _ in range(40):
        now += 10 * S
        relay.policy.decide(now)
    policy = relay.policy
    assert (
        not policy.destinations
        and not policy.hosts
        and not policy.idle_destinations
        and not policy.active_destinations
    )


REFUSED = {"limit_left": 0.5, "limit_rate": 8.0}


@pytest.mark.parametrize(
    "result, more, until",
    [
        (
            Result.FULL,
            {"retry_after": 90 * S, "limit_left": 0.5},
            90 * S,
        ),  # a wait asked for is observed to its end
        (Result.TIMEOUT, {}, LEARNED_STATE_LIFETIME),
    ],
)  # a token is spent: kept until that is too old to matter
def test_a_destination_with_learned_state_is_kept(on_demand, result, more, until):
    relay, now = on_demand, NOW
    relay.list_hosts(HOST)
    text = relay.accept_text(valid=2 * S)
    relay.send_text(text, result, **more)
    while now < NOW + until:
        now += 5 * S
        assert not [number for number in forgotten_destinations(relay, now) if now < NOW + until]
    relay.policy.texts.clear()


def test_a_destination_in_an_outage_is_kept_until_it_has_delivered_again(on_demand):
    relay, now = on_demand, NOW
    relay.list_hosts(HOST)
    for _ in range(6):
        text = relay.accept_text(now=now, valid=4 * S)
        relay.decide(now=now)
        if relay.pending(text).call:
            relay.end_submit(text, Result.ERROR, now)
        now += 9 * S
        relay.decide(now=now)
    assert relay.host().in_outage
    for _ in range(100):
        now += 60 * S
        assert forgotten_destinations(relay, now) == []
    text = relay.accept_text(now=now)
    assert relay.sent_texts(now) == {text: HOST}  # one trial submit, and it is counted as one
    relay.end_submit(text, Result.DELIVERED, now, finished=True)
    relay.policy.destinations[1].tokens = TOKEN_BUCKET_SIZE
    for _ in range(20):
        now += 60 * S
        if forgotten_destinations(relay, now):
            break
    assert not relay.policy.destinations


def test_a_text_that_arrives_as_its_destination_is_due_to_be_forgotten_keeps_it(on_demand):
    relay = on_demand
    relay.list_hosts(HOST)
    relay.send_text(relay.accept_text(), Result.DELIVERED, finished=True)
    later = NOW + 99 * S
    text = relay.accept_text(now=later)
    assert forgotten_destinations(relay, later) == [] and relay.pending(text).call.host is relay.host()


def test_a_notice_acknowledged_after_its_destination_was_forgotten_restores_nothing(on_demand):
    relay = on_demand
    text = relay.accept_text(valid=S // 2)
    relay.decide(now=NOW + S)  # ended, and its notice is not acknowledged yet
    assert forgotten_destinations(relay, NOW + LEARNED_STATE_LIFETIME) in ([], [1])
    relay.policy.destinations.pop(1, None)
    relay.policy.text_finished(NOW + LEARNED_STATE_LIFETIME, text)
    assert not relay.policy.destinations and not relay.policy.unacknowledged


def test_a_moved_host_finishes_the_submits_of_its_old_destination(relay):
    relay.list_hosts(HOST)
    text = relay.accept_text()
    relay.sent_texts()
    relay.list_hosts(HOST, dest=2)
    other = relay.accept_text(dest=2)
    assert relay.sent_texts(NOW + S)[other] == HOST
    relay.end_submit(text, Result.DELIVERED, NOW + S, finished=True)
    relay.end_submit(other, Result.DELIVERED, NOW + S, finished=True)
    assert relay.policy.slots_used == 0 and not relay.policy.texts
    assert relay.policy.hosts[HOST] in relay.policy.destinations[2].hosts


# The program.


def test_numbers_over_65535_and_lists_over_a_megabyte_are_served(program, agent, make_host):
    host = make_host()
    for number in range(9000):
        agent.list("127.0.0.1:1", f"s-{number:05}", dest=number)
    agent.list(host.address, "far", dest=180_000_000)
    assert len(agent.page(list(agent.rows.values()), True)) > 1 << 20
    client = program.start()
    assert client.submit("t1", dest=180_000_000) == "+OK" and host.next().headers["X-Txn"] == "t1"
    assert client.submit("t2", dest=9001) == "-ERR unknown destination"
    assert client.ask("PING") == "+PONG"


def test_a_relay_without_a_list_accepts_nothing_and_logs_it(make_program, agent, make_host):
    agent.act = lambda request: (200, b'{"index": 1, "snapshot": true, "endpoints": [{"name"')
    agent.reply = agent.act
    program = make_program(list_ms=50)
    client = program.start()
    assert client.submit("t1") == "-BUSY" and "no list" in program.wait_for_log("event=no-list")


def test_a_restart_serves_from_the_copy_while_the_catalog_is_silent(make_program, agent, make_host, clock):
    host = make_host()
    program = make_program(list_ms=50)
    ledger = SimpleNamespace(is_standby=False, reserve_disk=lambda size: True)
    source = Catalog(
        clock,
        Deadlines(clock, clock),
        agent.address,
        CONFIGURED_NAMES,
        9,
        9,
        lambda entries, whole: None,
        None,
        ListCopy(str(program.state), Deadlines(clock, clock), ledger),
    )
    send_chunk(open_watch(source), list_object(4, [row_json("s-1", 70_000, address=host.address)], True))
    write_copy(source, clock)
    agent.reply = lambda request: request.hang()
    client = program.start()
    assert client.submit("t1", dest=70_000) == "+OK" and host.next().headers["X-Txn"] == "t1"
