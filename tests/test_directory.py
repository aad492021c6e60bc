"""The directory of destinations: rows held compact, lists read row by row, the copy, what is forgotten."""

import json
import os
import random
from types import SimpleNamespace

import pytest
from conftest import HOST, NOW, PolicyHarness, S
from hypothesis import given, settings
from hypothesis import strategies as st
from test_crossings import RunningReactor
from test_parts import NAMES, Wire

from limelatch.interface import Forget, Listing, Result, Wake
from limelatch.policy import DESTINATION_IDLE_TIME, LEARNED_STATE_LIFETIME, TOKEN_BUCKET_SIZE, Policy
from limelatch.relay import list_copy
from limelatch.relay.catalog import Catalog, address_of
from limelatch.relay.hash_index import Chains
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.directory import GONE, MAX_REMOVED_ROWS, MAX_DESTINATION, READY, Directory, Row
from limelatch.relay.end_reason import EndReason
from limelatch.relay.ledger import Ledger
from limelatch.relay.list_copy import COPY_INTERVAL, ListCopy, read_copy


def row(name="s-1", destination=1, status=READY, address="127.0.0.1:80"):
    return Row(name, address, "a", "single", destination, status, 1.0)


def told(name="s-1", group=1, status="active", address="127.0.0.1:80", **more):
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


def page(index, rows, whole=False, **form):
    return json.dumps({"index": index, "snapshot": whole, "endpoints": rows}, **form).encode() + b"\n"


def listed(directory, destinations):
    return {each.name: each.destination for number in destinations for each in directory.rows(number)}


# Look-ups.


def test_each_row_is_found_at_any_size_and_no_addition_splits_more_than_one_bucket():
    keys, asked = [key * 7919 % 4096 for key in range(3000)], []
    chains = Chains(lambda number: asked.append(number) or keys[number])
    for number, key in enumerate(keys):
        before = len(asked)
        chains.add(number, key)
        assert len(asked) - before <= 16  # the rows of one bucket
    assert all(number in chains.rows(key) for number, key in enumerate(keys))
    for number in range(0, 3000, 2):
        chains.remove(number, keys[number])
    assert [row for row, key in enumerate(keys) if row in chains.rows(key)] == list(range(1, 3000, 2))
    with pytest.raises(KeyError):
        chains.remove(0, keys[0])


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
def test_any_run_of_changes_and_whole_lists_leaves_what_a_plain_table_would_hold(changes):
    directory, plain = Directory(), {}
    for change in changes:
        if isinstance(change, tuple):
            host, destination, status, port = change
            directory.put(row(f"s-{host}", destination, status, f"10.0.0.1:{port}"))
            plain.pop(f"s-{host}", None)
            if status != GONE:
                plain[f"s-{host}"] = destination
        else:
            directory.begin_list()
            for host, destination in change:
                directory.put(row(f"s-{host}", destination))
            directory.end_list()
            plain = {f"s-{host}": destination for host, destination in change}
            assert listed(directory, range(5)) == plain  # before the sweep too
            while directory.sweep(3):
                pass
        assert listed(directory, range(5)) == plain and len(directory) == len(plain)
        hosts = [f"s-{host}" for host in range(13)]
        assert [host for host in hosts if directory.find(host.encode())] == [h for h in hosts if h in plain]


def test_a_row_costs_what_its_line_and_its_look_ups_take_and_changes_in_place_cost_none():
    directory = Directory()
    for number in range(20_000):
        directory.put(row(f"s-{number:08x}", number, address=f"10.1.{number >> 8}.{number & 255}:6379"))
    assert directory.size / 20_000 < 90
    size = directory.size
    for number in range(0, 20_000, 2):
        directory.put(row(f"s-{number:08x}", number, "d", f"10.1.{number >> 8}.{number & 255}:6379"))
    assert directory.size == size and len(directory) == 20_000


def test_nothing_grows_with_hosts_that_are_gone_or_change_their_addresses():
    directory = Directory()
    for number in range(30_000):
        directory.put(row(f"s-{number}", 1, address=f"10.0.0.1:{number}"))
        directory.put(row("lasting", 2, address=f"10.0.0.1:{number}"))
        directory.put(row(f"s-{number}", 1, GONE))
    assert len(directory) == 1 and directory.size < 300_000
    assert directory.has_destination(1) and not directory.rows(1)  # its next host may be on its way
    for number in range(MAX_REMOVED_ROWS):
        directory.put(row(f"t-{number}", 3, GONE))
    assert not directory.has_destination(1) and directory.has_destination(2)


@pytest.mark.parametrize(
    "bad",
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
def test_a_row_beyond_the_bounds_changes_nothing(bad):
    directory = Directory()
    directory.put(row(bad.name if bad.name == "s-1" else "s-2"))
    with pytest.raises(ValueError):
        directory.put(bad)
    assert len(directory) == 1 and not directory.has_destination(MAX_DESTINATION)
    directory.put(row("edge", MAX_DESTINATION))
    assert directory.rows(MAX_DESTINATION) == [
        row("edge", MAX_DESTINATION)
    ] and not directory.has_destination(MAX_DESTINATION + 1)


def test_a_destination_has_none_or_a_hundred_hosts_and_a_row_may_come_twice():
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
def make(clock):
    """Makes a catalog whose news, and ends, are noted."""

    def make(copy=None, address=None, wanted=lambda destination: True):
        found = []
        catalog = Catalog(
            clock,
            Deadlines(clock, clock),
            address,
            NAMES,
            45_000,
            9 * S,
            lambda entries, whole: found.append((entries, whole)),
            None,
            copy,
            wanted,
        )
        catalog.found = found
        return catalog

    return make


def watch_of(catalog, asked=b""):
    watch = catalog.buildProtocol(None)
    watch.makeConnection(Wire())
    assert asked in watch.transport.value()
    watch.dataReceived(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    return watch


def say(watch, raw):
    watch.dataReceived(b"%x\r\n%s\r\n" % (len(raw), raw))


ROWS = [told(f"s-{number}", number, zone='}{"]\u20ac\\') for number in range(6)]


@pytest.mark.parametrize("form", [{}, {"indent": 1}, {"ensure_ascii": False, "separators": (",", ":")}])
def test_a_list_cut_at_any_byte_is_asked_for_again_and_leaves_no_row_wrong(make, form):
    raw = page(4, ROWS, True, **form)
    for cut in range(len(raw) - 1):
        catalog = make()
        watch = watch_of(catalog, b"GET /catalog/members HTTP")
        say(watch, raw[:cut] or b" ")
        assert watch.end_reason is None
        watch.connectionLost(None)
        assert catalog.index is None and not catalog.is_fresh
        again = watch_of(catalog, b"GET /catalog/members HTTP")
        say(again, raw)
        assert listed(catalog.directory, range(6)) == {f"s-{number}": number for number in range(6)}
        assert catalog.index == 4 and catalog.is_fresh and again.end_reason is None


def test_rows_are_told_before_a_long_list_has_ended_and_only_those_wanted(make):
    catalog = make(wanted=lambda destination: destination == 2)
    watch, raw = watch_of(catalog), page(4, ROWS, True)
    say(watch, raw[: raw.index(b'"s-4"')])
    assert [each.host for entries, _ in catalog.found for each in entries] == [
        b"s-2"
    ] and not catalog.is_fresh
    assert len(catalog.directory) == 4  # the others are held


@pytest.mark.parametrize("by_length", [False, True])
def test_a_list_of_four_megabytes_is_read_in_parts_and_no_ring_holds_it(make, by_length):
    rows = [told(f"s-{number:07}", number) for number in range(30_000)]
    raw, catalog = page(4, rows, True), make(wanted=lambda destination: False)
    assert len(raw) > 4_000_000
    watch = catalog.buildProtocol(None)
    watch.makeConnection(Wire())
    head = b"Content-Length: %d" % len(raw) if by_length else b"Transfer-Encoding: chunked"
    rest = raw if by_length else b"%x\r\n%s\r\n0\r\n\r\n" % (len(raw), raw)
    stream = b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n" + rest
    for at in range(0, len(stream), 16_000):
        watch.dataReceived(stream[at : at + 16_000])
        assert len(watch.inbound) <= 2 * 16_384
    assert len(catalog.directory) == 30_000 and catalog.index == 4
    assert b"?stream=1&index=4" in watch.transport.value()


def test_a_whole_list_takes_hosts_off_and_one_with_nothing_is_refused(make):
    catalog = make()
    say(watch_of(catalog), page(4, ROWS, True))
    say(second := watch_of(catalog, b"index=4"), page(9, ROWS[:2], True))
    assert listed(catalog.directory, range(6)) == {"s-0": 0, "s-1": 1} and second.end_reason is None
    say(third := watch_of(catalog, b"index=9"), page(10, [], True))
    assert third.end_reason is EndReason.MALFORMED and catalog.index is None
    assert listed(catalog.directory, range(6)) == {"s-0": 0, "s-1": 1}
    say(watch_of(make()), page(1, [], True))  # where none was held it may be so


def test_rows_left_out_are_cleared_a_slice_a_turn(make, clock):
    catalog = make(wanted=lambda destination: False)
    say(watch_of(catalog), page(4, [told(f"s-{number}", number) for number in range(5000)], True))
    slices, sweep = [], catalog.directory.sweep
    catalog.directory.sweep = lambda most: slices.append(most) or sweep(most)
    say(watch_of(catalog), page(5, [told()], True))
    assert slices[-1] <= 1024 and len(catalog.directory) == 1
    assert catalog.directory.find(b"s-4999") is None  # though it is not cleared yet
    clock.advance(0)
    assert slices.count(1024) >= 5 and not catalog.directory.sweep(0)
    assert listed(catalog.directory, range(5000)) == {"s-1": 1}


def test_a_host_that_moves_leaves_its_old_destination_first(make):
    catalog = make()
    say(watch := watch_of(catalog), page(4, [told("s-1", 1), told("s-2", 2)], True))
    catalog.found.clear()
    say(watch, page(5, [told("s-1", 2)]))
    ((entries, _),) = [each for each in catalog.found if each[0]]
    assert [(each.destination, each.listing) for each in entries] == [(1, Listing.GONE), (2, Listing.READY)]
    assert listed(catalog.directory, (1, 2)) == {"s-1": 2, "s-2": 2}


def test_a_row_that_can_t_be_held_is_left_out_and_logged(make, caplog):
    catalog = make()
    say(watch := watch_of(catalog), page(4, [told("s-1", MAX_DESTINATION + 1), told("s-2", 2)], True))
    assert listed(catalog.directory, range(3)) == {"s-2": 2} and watch.end_reason is None
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
def test_what_is_no_list_ends_the_watch_or_is_still_to_come(make, raw):
    catalog = make()
    say(watch := watch_of(catalog), page(4, ROWS[:1], True))
    say(watch, raw)
    assert watch.end_reason is (None if raw == b'{"index"' else EndReason.MALFORMED)
    assert catalog.directory.rows(0)[0].name == "s-0"


def test_a_long_list_that_trickles_row_by_row_is_a_sign_of_life_and_half_a_row_is_none(make, clock):
    catalog = make()
    raw = page(4, ROWS, True)
    say(watch := watch_of(catalog), raw[: raw.index(b"[") + 1])
    catalog.note_activity()
    for number in range(6):  # four seconds each
        clock.advance(4)
        start = raw.index(b'{"name": "s-%d"' % number)
        say(watch, raw[start : raw.index(b"}", raw.index(b'"since_ms"', start)) + 1] + b",")
        assert watch.end_reason is None
    clock.advance(4)
    say(watch, b'{"name":')
    clock.advance(1)
    assert watch.end_reason is EndReason.ANSWER_TIMEOUT


# The folder's copy.


@pytest.fixture
def copy(tmp_path, clock):
    return ListCopy(str(tmp_path), Deadlines(clock, clock), Ledger(str(tmp_path), 3_000_000, 64_000_000))


def write(catalog, clock):
    """A minute passes, and the turns that the copy takes."""
    clock.advance(COPY_INTERVAL / S)
    for _ in range(40):
        clock.advance(0)


def test_a_restart_begins_from_the_copy_and_asks_for_changes_since(make, copy, clock):
    catalog = make(copy, address_of(row(address="127.0.0.1:9")))
    say(watch := watch_of(catalog), page(4, ROWS, True))
    say(watch, page(5, [told("s-0", 0, "left"), told("s-1", 1, "leaving")]))
    write(catalog, clock)
    assert sorted(os.listdir(os.path.dirname(copy.path))) == ["ledger", "list"]
    after = make(copy, address_of(row(address="127.0.0.1:9")))
    after.load_copy()
    assert listed(after.directory, range(6)) == {f"s-{number}": number for number in range(1, 6)}
    assert after.entries(1)[0].listing is Listing.DRAINING and after.has_list and not after.is_fresh
    watch_of(after, b"GET /catalog/members?stream=1&index=5 ")


def test_another_catalog_s_copy_serves_without_an_index(make, copy, clock):
    catalog = make(copy, address_of(row(address="127.0.0.1:9")))
    say(watch_of(catalog), page(4, ROWS, True))
    write(catalog, clock)
    after = make(copy, address_of(row(address="127.0.0.1:8")))
    after.load_copy()
    assert len(after.directory) == 6 and after.index is None
    watch_of(after, b"GET /catalog/members HTTP")


@pytest.mark.parametrize("index, held", [(3, 6), (4, 1), (5, 1)])
def test_of_the_configuration_s_list_and_the_copy_the_later_one_is_held(make, copy, clock, index, held):
    catalog = make(copy, "a:1")
    say(watch_of(catalog), page(4, ROWS, True))
    write(catalog, clock)
    after = make(copy, "a:1")
    after.load_known_list({"index": index, "snapshot": True, "endpoints": [told()]})
    after.load_copy()
    assert len(after.directory) == held and after.index == max(index, 4)


def test_a_copy_torn_at_any_byte_changed_or_of_another_form_is_passed_over(make, copy, clock, caplog):
    catalog = make(copy, "a:1")
    say(watch_of(catalog), page(4, ROWS, True))
    write(catalog, clock)
    with open(copy.path, "rb") as file:
        raw = file.read()
    bad = [raw[:cut] for cut in range(len(raw) - 1)]
    bad += [bytes(len(raw)), raw.replace(b'"form": 1', b'"form": 2'), raw * 2]
    bad += [raw[:at] + bytes([raw[at] ^ 1]) + raw[at + 1 :] for at in range(raw.index(b"\n"), len(raw) - 1)]
    for each in bad:
        with open(copy.path, "wb") as file:
            file.write(each)
        after = make(copy, "a:1")
        after.load_copy()
        assert (after.index, len(after.directory)) == (None, 0)
    assert "copy-not-read" in caplog.text
    with open(copy.path, "wb") as file:
        file.write(raw)
    assert len(read_copy(copy.path)[2]) == 6


def test_a_kill_at_any_step_of_writing_leaves_the_copy_before(make, copy, clock, monkeypatch):
    catalog = make(copy, "a:1")
    say(watch_of(catalog), page(4, ROWS, True))
    write(catalog, clock)
    say(watch_of(catalog), page(5, [told("s-9", 9)]))
    steps = []
    for name in ("open", "write", "replace"):
        real = getattr(os, name)
        monkeypatch.setattr(
            list_copy.os,
            name,
            lambda *words, real=real: (
                steps.append((read_copy(copy.path)[1], os.path.exists(copy.path))) or real(*words)
            ),
        )
    write(catalog, clock)  # at each step the file in place is the one before, whole
    assert steps == [(4, True)] * len(steps) and len(steps) >= 5 and read_copy(copy.path)[1] == 5


def test_a_full_disk_leaves_the_copy_before_and_it_is_tried_again(make, copy, clock, monkeypatch, caplog):
    catalog = make(copy, "a:1")
    say(watch_of(catalog), page(4, ROWS, True))
    write(catalog, clock)
    real = os.write
    monkeypatch.setattr(list_copy.os, "write", lambda *words: (_ for _ in ()).throw(OSError(28, "no space")))
    say(watch_of(catalog), page(5, [told("s-9", 9)]))
    write(catalog, clock)
    assert read_copy(copy.path)[1] == 4 and "copy-not-written" in caplog.text
    assert sorted(os.listdir(os.path.dirname(copy.path))) == ["ledger", "list"]
    monkeypatch.setattr(list_copy.os, "write", real)
    say(watch_of(catalog), page(6, [told("s-8", 8)]))
    write(catalog, clock)
    assert read_copy(copy.path)[1] == 6


def test_the_ledger_goes_before_the_copy(tmp_path, clock, make, caplog):
    ledger = Ledger(str(tmp_path), 100_000, 64_000_000)
    most = ledger.max_live_bytes
    catalog = make(ListCopy(str(tmp_path), Deadlines(clock, clock), ledger), "a:1")
    say(watch_of(catalog), page(4, [told(f"s-{number}", number) for number in range(400)], True))
    write(catalog, clock)
    assert os.listdir(tmp_path) == ["ledger"] and ledger.max_live_bytes == most
    assert "copy-not-written" in caplog.text
    catalog.directory = Directory()  # fewer rows
    say(watch_of(catalog), page(5, [told()], True))
    write(catalog, clock)
    assert "list" in os.listdir(tmp_path) and ledger.max_live_bytes < most  # its room is the ledger's no more


@pytest.mark.parametrize("beside", [False, True])
def test_a_copy_for_which_the_ledger_has_no_room_left_is_read_and_taken_away(make, copy, clock, beside):
    catalog = make(copy, "a:1")
    say(watch_of(catalog), page(4, ROWS, True))
    write(catalog, clock)
    full = SimpleNamespace(is_standby=beside, reserve_disk=lambda size, at_once=False: False)
    after = make(ListCopy(os.path.dirname(copy.path), Deadlines(clock, clock), full), "a:1")
    after.load_copy()
    assert len(after.directory) == 6
    assert os.path.exists(copy.path) == beside  # in an upgrade it is the other's


class Turns:
    """Deadlines of which a test makes the calls itself, one at a time; no time passes."""

    def __init__(self):
        self.calls, self.clock = [], SimpleNamespace(now=lambda: 0)

    def after(self, wait, call):
        self.calls.append(call)
        return call


def test_a_list_that_changes_while_the_copy_is_written_is_in_it_old_or_new(make, tmp_path):
    chance, turns, index = random.Random(3), Turns(), 4
    copy = ListCopy(str(tmp_path), turns, Ledger(str(tmp_path), 9_000_000, 64_000_000))
    catalog = make(copy, "a:1", wanted=lambda destination: False)
    say(watch := watch_of(catalog), page(4, [told(f"s-{number}", number) for number in range(3000)], True))
    while turns.calls and not os.path.exists(copy.path):
        turns.calls.pop()()
        index, number = index + 1, chance.randrange(3000)
        say(watch, page(index, [told(f"s-{number}", number, status=chance.choice(["left", "leaving"]))]))
    address, at, held = read_copy(copy.path)
    assert at == 4 and index > 10 and 2980 < len(held) <= 3000  # all since 4 is told again after a restart


def test_a_copy_under_way_is_given_up_when_a_whole_list_or_another_catalog_comes(make, tmp_path):
    for comes in ("list", "catalog"):
        turns = Turns()
        copy = ListCopy(
            str(tmp_path), turns, SimpleNamespace(is_standby=False, reserve_disk=lambda size: True)
        )
        catalog = make(copy, "a:1", wanted=lambda destination: False)
        say(watch := watch_of(catalog), page(4, ROWS, True))
        turns.calls.pop()()
        if comes == "list":
            say(watch, page(2, ROWS[:1], True))
        else:
            catalog.change_address("a:2")
        while turns.calls:
            turns.calls.pop()()
        assert (read_copy(copy.path)[1] if comes == "list" else os.listdir(tmp_path)) in (2, ["list"])


def test_the_first_copy_follows_the_list_at_once_and_the_next_a_minute_later(make, copy, clock):
    catalog = make(copy, "a:1")
    say(watch := watch_of(catalog), page(4, ROWS, True))
    clock.advance(0)
    assert read_copy(copy.path)[1] == 4
    say(watch, page(5, [told("s-9", 9)]))
    clock.advance(COPY_INTERVAL / S - 1)
    assert read_copy(copy.path)[1] == 4
    clock.advance(1)
    assert read_copy(copy.path)[1] == 5


def test_in_the_seat_of_an_upgrade_no_copy_is_written(make, tmp_path):
    turns = Turns()
    copy = ListCopy(str(tmp_path), turns, SimpleNamespace(is_standby=True, reserve_disk=lambda size: True))
    say(watch_of(make(copy, "a:1")), page(4, ROWS, True))
    while turns.calls:
        turns.calls.pop()()
    assert os.listdir(tmp_path) == []


# What the module forgets.


@pytest.fixture
def on_demand(policy_settings):
    """A module that is told of destinations as it meets them."""
    policy_settings.hosts_on_demand = True
    return PolicyHarness(Policy(policy_settings, NOW))


def forgotten(relay, now):
    return [action.destination for action in relay.policy.decide(now) if isinstance(action, Forget)]


def test_a_destination_at_rest_is_forgotten_and_the_timer_sees_to_it(on_demand):
    relay = on_demand
    relay.list(HOST)
    relay.out(relay.take(), Result.DELIVERED, finished=True)
    wakes = [action.after for action in relay.policy.decide(NOW) if isinstance(action, Wake)]
    assert wakes and min(wakes) <= DESTINATION_IDLE_TIME
    assert forgotten(relay, NOW + DESTINATION_IDLE_TIME - 1) == []
    keep = relay.policy.max_idle_time  # while a connection may stand idle it is known
    assert forgotten(relay, NOW + max(DESTINATION_IDLE_TIME, keep) + 1) == [1]
    assert not relay.policy.destinations and not relay.policy.hosts and not relay.policy.idle_destinations
    relay.list(HOST, now=NOW + 99 * S)
    assert relay.out(relay.take(now=NOW + 99 * S), now=NOW + 99 * S) == HOST


def test_nothing_is_left_of_ten_thousand_destinations_met_once(on_demand):
    relay, now = on_demand, NOW
    for number in range(10_000):
        now += S // 100
        relay.list(b"s-%d" % number, dest=number, now=now)
        relay.out(relay.take(dest=number, now=now), Result.DELIVERED, now=now, finished=True)
    assert (
        len(relay.policy.destinations)
        < 2 * (DESTINATION_IDLE_TIME + relay.policy.max_idle_time) // (S // 100) + 100
    )
    for _ in range(40):
        now += 10 * S
        relay.policy.decide(now)
    policy = relay.policy
    assert not policy.destinations and not policy.hosts and not policy.idle_destinations and not policy.active


REFUSED = {"limit_left": 0.5, "limit_rate": 8.0}


@pytest.mark.parametrize(
    "result, more, until",
    [
        (Result.FULL, {"retry_after": 90 * S, "limit_left": 0.5}, 90 * S),  # a told wait is heeded to its end
        (Result.TIMEOUT, {}, LEARNED_STATE_LIFETIME),
    ],
)  # a token is spent: until the lesson is old
def test_what_the_list_does_not_say_is_kept(on_demand, result, more, until):
    relay, now = on_demand, NOW
    relay.list(HOST)
    text = relay.take(valid=2 * S)
    relay.out(text, result, **more)
    while now < NOW + until:
        now += 5 * S
        assert not [number for number in forgotten(relay, now) if now < NOW + until]
    relay.policy.texts.clear()


def test_a_sick_destination_is_known_until_it_has_delivered_again(on_demand):
    relay, now = on_demand, NOW
    relay.list(HOST)
    for _ in range(6):
        text = relay.take(now=now, valid=4 * S)
        relay.decide(now=now)
        if relay.pending(text).call:
            relay.end(text, Result.ERROR, now)
        now += 9 * S
        relay.decide(now=now)
    assert relay.host().in_outage
    for _ in range(100):
        now += 60 * S
        assert forgotten(relay, now) == []
    text = relay.take(now=now)
    assert relay.sent(now) == {text: HOST}  # one trial, and it is known as one
    relay.end(text, Result.DELIVERED, now, finished=True)
    relay.policy.destinations[1].tokens = TOKEN_BUCKET_SIZE
    for _ in range(20):
        now += 60 * S
        if forgotten(relay, now):
            break
    assert not relay.policy.destinations


def test_a_text_that_comes_as_its_destination_is_due_to_be_forgotten_keeps_it(on_demand):
    relay = on_demand
    relay.list(HOST)
    relay.out(relay.take(), Result.DELIVERED, finished=True)
    later = NOW + 99 * S
    text = relay.take(now=later)
    assert forgotten(relay, later) == [] and relay.pending(text).call.host is relay.host()


def test_a_notice_heard_after_its_destination_was_forgotten_brings_nothing_back(on_demand):
    relay = on_demand
    text = relay.take(valid=S // 2)
    relay.decide(now=NOW + S)  # ended, and its notice is still to be heard
    assert forgotten(relay, NOW + LEARNED_STATE_LIFETIME) in ([], [1])
    relay.policy.destinations.pop(1, None)
    relay.policy.text_finished(NOW + LEARNED_STATE_LIFETIME, text)
    assert not relay.policy.destinations and not relay.policy.unacknowledged


def test_a_host_that_has_moved_ends_what_is_out_at_its_old_destination(relay):
    relay.list(HOST)
    text = relay.take()
    relay.sent()
    relay.list(HOST, dest=2)
    other = relay.take(dest=2)
    assert relay.sent(NOW + S)[other] == HOST
    relay.end(text, Result.DELIVERED, NOW + S, finished=True)
    relay.end(other, Result.DELIVERED, NOW + S, finished=True)
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


def test_a_relay_without_a_list_takes_nothing_on_and_says_so(make_program, agent, make_host):
    agent.act = lambda request: (200, b'{"index": 1, "snapshot": true, "endpoints": [{"name"')
    agent.reply = agent.act
    program = make_program(list_ms=50)
    client = program.start()
    assert client.submit("t1") == "-BUSY" and "no list" in program.wait_for_log("event=no-list")


def test_a_restart_serves_from_the_folder_s_copy_while_the_catalog_is_silent(
    make_program, agent, make_host, clock
):
    host = make_host()
    program = make_program(list_ms=50)
    ledger = SimpleNamespace(is_standby=False, reserve_disk=lambda size: True)
    source = Catalog(
        clock,
        Deadlines(clock, clock),
        agent.address,
        NAMES,
        9,
        9,
        lambda entries, whole: None,
        None,
        ListCopy(str(program.state), Deadlines(clock, clock), ledger),
    )
    say(watch_of(source), page(4, [told("s-1", 70_000, address=host.address)], True))
    write(source, clock)
    agent.reply = lambda request: request.hang()
    client = program.start()
    assert client.submit("t1", dest=70_000) == "+OK" and host.next().headers["X-Txn"] == "t1"
