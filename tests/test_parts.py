"""Unit tests of the relay's modules, without its process."""

import logging
import os
import shutil
import socket
import tempfile

import pytest
from conftest import SETTINGS
from twisted.internet.task import Clock as Reactor
from twisted.internet.testing import StringTransport

from limelatch.client.wire import Submission
from limelatch.configuration import bench_settings, plan_of
from limelatch.configuration.platform_form import read_platform
from limelatch.interface import SECOND, UNKNOWN_ZONE, Effect, Listing, Result
from limelatch.logs import LimitedLog
from limelatch.relay.catalog import BadList, Catalog
from limelatch.relay.submission import BadCommand, read_submit
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.end_reason import RESULT_BY_END_REASON, EndReason
from limelatch.relay.host_calls import Call, OutgoingText, write_call
from limelatch.relay.host_connection import Connection
from limelatch.relay.host_outcomes import Outcome, read_outcomes, read_retry_after
from limelatch.relay.hosts import HostPool
from limelatch.relay.http import HttpClientProtocol, Response
from limelatch.relay.ledger import BLOCK, DirectoryInUse, IncompatibleLedger, Ledger
from limelatch.relay.records import STATE_RESERVE, RecordKind, encode_record
from limelatch.relay.ring_buffer import RingBuffer, RingBufferFull
from limelatch.relay.slots import Slots
from limelatch.relay.zone_number import zone_number

VALID_CONFIG = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "state": "s", "settings": SETTINGS}
CONFIGURED_NAMES = plan_of(read_platform(VALID_CONFIG)[0]).names


class RecordingClient(HttpClientProtocol):
    """An HTTP client that records the responses and the end of its connection."""

    def __init__(self):
        super().__init__(1024, 256)
        self.received = []
        self.makeConnection(SocketPairTransport())
        self.send_request(b"GET / HTTP/1.1\r\n\r\n")

    def response_received(self, response, body):
        self.received.append((response.status, body, response.keep_alive))

    def connection_ended(self, ending):
        self.received.append(ending)


class SocketPairTransport(StringTransport):
    """Records what is written; has a real socket whose other end is `peer`, for unread bytes."""

    def __init__(self):
        super().__init__()
        self.socket, self.peer = socket.socketpair()
        self.socket.setblocking(False)

    def setTcpNoDelay(self, on):
        pass

    def abortConnection(self):
        self.disconnecting = True

    def loseWriteConnection(self):
        self.half_closed = True


@pytest.fixture
def ledger(tmp_path):
    return Ledger(str(tmp_path), 100_000, 10_000_000)


def accept_text(ledger, text, body=b"body", key="k1"):
    ledger.record_accepted(text, body, key=key, mark="m", dest=1, product="charge", customer=0, until=9)


def reopen(ledger):
    """The ledger as the next process finds it; a copy, because this process locks the state directory."""
    folder = tempfile.mkdtemp(dir=ledger.path.removesuffix("/ledger") + "/..")
    shutil.copy(ledger.path, folder)
    return Ledger(folder, 100_000, 10_000_000)


def test_ring_buffer_wraps_grows_and_never_exceeds_its_bound():
    ring = RingBuffer(3000)
    for start in range(0, 9000, 700):
        ring.write(bytes((start + i) % 251 for i in range(1400)))
        assert ring.read(1400) == bytes((start + i) % 251 for i in range(1400))
    ring.write(b"x" * 2990)
    with pytest.raises(RingBufferFull):
        ring.write(b"y" * 11)
    assert len(ring) == 2990 and ring.free == 10


def test_ring_buffer_finds_a_pattern_that_wraps_around():
    ring = RingBuffer(1024)
    ring.write(b"x" * 1023)
    ring.read(1020)
    ring.write(b"y\r\nz")
    assert ring.find(b"\r\n") == 4 and ring.read(6) == b"xxxy\r\n" and ring.find(b"\r\n") == -1


def test_ring_buffer_frees_the_memory_of_a_large_block_once_read():
    ring = RingBuffer(100_000)
    ring.write(bytes(90_000))
    ring.read(90_000)
    assert ring.allocated == 0


def test_warnings_caused_from_outside_are_rate_limited_and_counted(deadlines, caplog):
    limited_log = LimitedLog(logging.getLogger("x"), deadlines[1])
    for _ in range(9):
        limited_log("command-bad")
    deadlines[1].advance(1)
    limited_log("command-bad")
    assert [each.pairs for each in caplog.records] == [{}] * 5 + [{"left_out": 4}]


def test_slots_are_numbered_reused_and_bounded():
    slots = Slots(2)
    assert [slots.take("a"), slots.take("b"), slots.take("c")] == [0, 1, None]
    slots.release(0)
    assert slots.take("d") == 0 and sorted(slots) == ["b", "d"]
    slots.release(1)
    with pytest.raises(KeyError):
        slots.release(1)


@pytest.fixture
def deadlines():
    reactor = Reactor()
    reactor.now = lambda: int(reactor.seconds() * SECOND)
    return Deadlines(reactor, reactor), reactor


def test_deadlines_share_one_timer_and_fire_in_order(deadlines):
    deadlines, reactor = deadlines
    done = []
    deadlines.at(2 * SECOND, lambda: done.append("late"))
    deadlines.at(SECOND, lambda: done.append("early"))
    deadlines.at(SECOND, lambda: done.append("cancelled")).cancel()
    assert len(reactor.getDelayedCalls()) == 1
    reactor.advance(1)
    assert done == ["early"]
    reactor.advance(1)
    assert done == ["early", "late"] and reactor.getDelayedCalls() == []


def test_an_exception_in_one_deadline_does_not_stop_the_others(deadlines):
    deadlines, reactor = deadlines
    done = []
    deadlines.at(SECOND, lambda: 1 // 0)
    deadlines.at(SECOND, lambda: done.append(1))
    reactor.advance(1)
    assert done == [1]


def test_the_ledger_restores_unfinished_texts_in_the_order_of_acceptance(ledger):
    for text in (b"a", b"b", b"c", b"d"):
        accept_text(ledger, text, b"body of " + text)
    ledger.record_submit(b"a", 5, 1)
    ledger.record_submit(b"b", 6, 0)
    ledger.record_submit_end(b"b", may_have_run=True)
    ledger.record_submit(b"b", 7, 2)
    ledger.record_submit_end(b"b", may_have_run=False)
    ledger.record_notice(b"c", {"result": "dead"})
    ledger.record_finished(b"d", 0)
    a, b, c = reopen(ledger).entries.values()
    assert (a.id, a.body, a.submit_count, a.in_flight, a.first_run_at, a.first_run_zone) == (
        b"a",
        b"body of a",
        1,
        True,
        5,
        1,
    )
    assert (b.submit_count, b.in_flight, b.first_run_at, b.first_run_zone) == (2, False, 6, 0)
    assert (c.notice, c.fields["key"]) == ({"result": "dead"}, "k1")


def test_compaction_keeps_each_text_s_state_within_its_reserved_space(ledger):
    """Guards against records of each submit, up to 2 KB a text, for which other texts are refused."""
    accept_text(ledger, b"a" * 64)
    for at in range(40):
        ledger.record_submit(b"a" * 64, at, 1)
        ledger.record_submit_end(b"a" * 64, may_have_run=at > 2)
    ledger.record_submit(b"a" * 64, 99, 2)
    before = ledger.entries[b"a" * 64]
    ledger.compact()
    after, taken = reopen(ledger).entries[b"a" * 64], len(before.accepted_record)
    assert (
        after.submit_count,
        after.in_flight,
        after.may_have_run,
        after.first_run_at,
        after.first_run_zone,
    ) == (41, True, True, 3, 1)
    ledger.record_notice(b"a" * 64, {"result": "bounced", "wait_ms": 2000})
    ledger.compact()
    assert (
        reopen(ledger).entries[b"a" * 64].notice["wait_ms"] == 2000 and ledger.size - taken <= STATE_RESERVE
    )
    while ledger.has_room(10):
        accept_text(ledger, b"t%d" % len(ledger.entries), b"x" * 10)
    assert len(ledger.entries) > 60 and ledger.size <= 100_000


def test_a_submit_that_did_not_run_leaves_no_run_time(ledger):
    accept_text(ledger, b"a")
    ledger.record_submit(b"a", 5, 1)
    ledger.record_submit_end(b"a", may_have_run=False)
    assert reopen(ledger).entries[b"a"].first_run_at is None


def test_a_state_directory_admits_one_relay_and_one_successor(ledger):
    folder = ledger.path.removesuffix("/ledger")
    standby = Ledger(folder, 100_000, 10_000_000)  # an upgrade's new process
    assert standby.is_standby and ledger.has_successor()
    with pytest.raises(DirectoryInUse):
        Ledger(folder, 100_000, 10_000_000)
    assert standby.take_over() is None  # the first still locks the state directory
    ledger.close()
    assert standby.take_over() == [] and not standby.is_standby
    standby.close()
    Ledger(folder, 100_000, 10_000_000).close()


def test_records_of_another_version_are_refused_and_not_truncated(ledger):
    accept_text(ledger, b"a")
    before = ledger.size
    with open(ledger.path, "ab") as file:
        file.write(encode_record(RecordKind.STATE, b"a", {"tries": 3}))
    with pytest.raises(IncompatibleLedger):
        reopen(ledger)
    assert os.path.getsize(ledger.path) > before


@pytest.mark.parametrize("cut", range(1, 30, 7))
def test_a_torn_tail_is_truncated_and_the_ledger_continues(ledger, cut):
    accept_text(ledger, b"a")
    size_before = ledger.size
    accept_text(ledger, b"b")
    with open(ledger.path, "r+b") as file:
        file.truncate(ledger.size - cut)
    reopened = reopen(ledger)
    assert list(reopened.entries) == [b"a"] and reopened.size == size_before and reopened.cut_bytes > 0
    accept_text(reopened, b"c")
    assert list(reopen(reopened).entries) == [b"a", b"c"]


def test_a_record_with_a_changed_byte_is_rejected(ledger):
    accept_text(ledger, b"a")
    with open(ledger.path, "r+b") as file:
        file.seek(ledger.size - 1)
        file.write(b"X")
    assert list(reopen(ledger).entries) == []


def test_compaction_keeps_old_and_new_file_under_the_disk_limit(ledger, monkeypatch, tmp_path):
    peak_sizes, replace = [], os.replace

    def measured_replace(old, new):
        peak_sizes.append(sum(-(-each.stat().st_size // BLOCK) * BLOCK for each in tmp_path.iterdir()))
        replace(old, new)

    monkeypatch.setattr(os, "replace", measured_replace)
    accept_text(ledger, b"stays", b"s" * 9000)
    for number in range(300):
        text = b"t%d" % number
        accept_text(ledger, text, b"x" * 900)
        ledger.record_finished(text, 0)
    assert len(peak_sizes) > 2 and max(peak_sizes) <= 100_000 and ledger.size <= 100_000
    accept_text(ledger, b"last")
    assert list(reopen(ledger).entries) == [b"stays", b"last"]


def test_no_text_is_accepted_without_disk_space(ledger):
    assert ledger.has_room(30_000)
    accept_text(ledger, b"a", b"x" * 30_000)
    assert not ledger.has_room(30_000)
    ledger.record_finished(b"a", 0)
    assert ledger.has_room(30_000)


def test_every_end_reason_has_a_result():
    assert set(RESULT_BY_END_REASON) == set(EndReason)
    assert RESULT_BY_END_REASON[EndReason.REQUEST_INCOMPLETE] is Result.CONNECT
    assert RESULT_BY_END_REASON[EndReason.CONNECTION_LOST] is Result.RESET


@pytest.mark.parametrize(
    "raw, received",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", (200, b"hi", True)),
        (b"HTTP/1.1 204 No Content\r\n\r\n", (204, b"", True)),
        (b"HTTP/1.1 503\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", (503, b"", False)),
        (
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nhi\r\n0\r\n\r\n",
            (200, b"hi", True),
        ),
    ],
)
def test_responses_are_parsed_however_they_are_split(raw, received):
    for size in (1, 7, len(raw)):
        caller = RecordingClient()
        for at in range(0, len(raw), size):
            caller.dataReceived(raw[at : at + size])
        assert caller.received == [received]


@pytest.mark.parametrize(
    "raw",
    [
        b"SSH-2.0-x\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"x" * 9000,
        b"HTTP/1.1 503 No\r\nContent-Length: 0\r\nContent-Length: 7\r\n\r\n",
        b"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 429 No\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 503 No\r\n\x07\xff: x\r\n\r\n",
        b"HTTP/1.1 503 No\r\n" + b"a: %s\r\n" % (b"x" * 5000) * 5,
        b"HTTP/1.1 100 Go\r\n\r\n" * 2000,
    ],
)
def test_a_malformed_response_ends_the_connection(raw):
    caller = RecordingClient()
    for at in range(0, len(raw), 1000):
        caller.dataReceived(raw[at : at + 1000])
    assert caller.end_reason is EndReason.MALFORMED and caller.transport.disconnecting


def test_a_paused_transport_leaves_bytes_in_the_buffer_and_its_queue():
    caller = RecordingClient()
    caller.transport.clear()
    caller.outbound_writer.pauseProducing()
    caller.send(b"x" * 1000)
    assert (
        caller.transport.value() == b""
        and len(caller.outbound_writer.ring) == 256
        and caller.outbound_writer.pieces
    )
    caller.outbound_writer.resumeProducing()
    assert caller.transport.value() == b"x" * 1000 and caller.outbound_writer.empty


def outcomes(status, body=b"", texts=(b"a",), **headers):
    call = Call(b"s-1", [OutgoingText(text, b"", b"", 0, 0) for text in texts], 0)
    call.batched = len(texts) > 1
    encoded_headers = {name.replace("_", "-").encode(): value for name, value in headers.items()}
    return read_outcomes(call, Response(status, encoded_headers), body)


@pytest.mark.parametrize(
    "status, headers, outcome",
    [
        (200, {}, Outcome(Result.DELIVERED, True)),
        (500, {}, Outcome(Result.ERROR)),
        (429, {"retry_after": b"0.25"}, Outcome(Result.FULL, False, 2500)),
        (503, {}, Outcome(Result.FULL)),
        (503, {"x_no_slot": b"1"}, Outcome(Result.NOT_SENT)),
        (504, {}, Outcome(Result.NOT_SENT)),
        (410, {}, Outcome(Result.NOT_SENT, True)),
        (418, {}, Outcome(Result.ERROR)),
        (
            200,
            {"x_pressure": b"x0=0.4, x1=2.5e1"},
            Outcome(Result.DELIVERED, True, 0, {"x0": 0.4, "x1": 25.0}),
        ),
        (200, {"x_pressure": b"x0=0.4,x1=?"}, Outcome(Result.DELIVERED, True)),
        (200, {"x_pressure": b"x0=0.4,x1=9e99"}, Outcome(Result.DELIVERED, True)),
    ],
)
def test_a_response_determines_the_outcome_of_a_call(status, headers, outcome):
    assert outcomes(status, **headers) == [outcome]


@pytest.mark.parametrize(
    "idle, keeps, headers, result",
    [
        (0, False, {}, Result.CONNECT),
        (1, False, {}, Result.FULL),
        (0, True, {}, Result.FULL),
        (0, False, {b"x-pressure": b"x0=0,x1=9"}, Result.FULL),
    ],
)
def test_a_refused_and_closed_new_connection_means_a_full_table(idle, keeps, headers, result):
    """Guards against taking a full table for an exhausted limit, which reduced paces without need."""
    call = Call(b"s-1", [OutgoingText(b"a", b"", b"", 0, 0)], 0, idle_time=idle)
    assert read_outcomes(call, Response(503, headers, keeps), b"")[0].result is result


def test_a_batch_response_determines_the_outcome_of_each_text():
    body = b'[{"id":"b","state":"refused"},{"id":"a","state":"delivered"}]'
    assert outcomes(200, body, (b"a", b"b"), retry_after=b"1") == [
        Outcome(Result.DELIVERED, True, SECOND),
        Outcome(Result.FULL, False, SECOND),
    ]
    assert outcomes(413, b"", (b"a", b"b")) == [Outcome(Result.NOT_SENT)] * 2
    assert outcomes(410, b"", (b"a", b"b")) == [Outcome(Result.ERROR)] * 2  # 410 describes a single text
    with pytest.raises(KeyError):
        outcomes(200, body, (b"a", b"c"))


@pytest.mark.parametrize("others", [b'{"id":"c","state":"delivered"}', b'{"id":"a","state":"delivered"}'])
def test_a_batch_response_that_names_other_texts_or_one_twice_ends_none_of_them(others):
    call = Call(b"s-1", [OutgoingText(text, b"", b"", 0, 0) for text in (b"a", b"b")], 0, batched=True)
    body = b'[{"id":"b","state":"delivered"},{"id":"a","state":"refused"}]'
    assert read_outcomes(call, Response(200), body) == [Outcome(Result.FULL), Outcome(Result.DELIVERED, True)]
    with pytest.raises(ValueError):
        read_outcomes(call, Response(200), body.replace(b"]", b"," + others + b"]"))


class RecordingDriver:
    """A driver that records the outcomes of texts."""

    def __init__(self, allows_sending=True):
        self.allows_sending, self.outcomes, self.finished = allows_sending, [], []
        self.doubted, self.waits = [], []

    def may_send(self, now, text, host):
        return self.allows_sending

    def start_submit(self, call, outgoing):
        return True

    def submit_ended(self, call, outgoing, outcome):
        self.outcomes.append((outgoing.text, outcome.result))
        self.finished += [outgoing.text] if outcome.finished else []

    def submit_doubted(self, call, outgoing):
        self.doubted.append(outgoing.text)

    def host_asked_to_wait(self, host, wait):
        self.waits.append((host, wait))


def start_call(deadlines, driver, *texts):
    """A host pool and a connection, just established for a call with these texts."""
    deadlines, reactor = deadlines
    host_pool = HostPool(reactor, deadlines, reactor, driver, 4, SECOND, SECOND)
    host_pool.addresses[b"s-1"], host_pool.calls_in_flight = "127.0.0.1:80", 1
    call = Call(b"s-1", list(texts), 0)
    call.deadline = deadlines.at(min(each.due_at for each in texts), lambda: host_pool._call_timed_out(call))
    call.connection = Connection(host_pool, b"s-1", call)
    call.connection.slot = host_pool.connections.take(call.connection)
    call.connection.deadline = deadlines.at(SECOND, None)
    call.connection.makeConnection(SocketPairTransport())
    return host_pool, call.connection


def test_a_text_withdrawn_while_connecting_is_not_written(deadlines):
    driver = RecordingDriver(allows_sending=False)
    host_pool, connection = start_call(deadlines, driver, OutgoingText(b"a", b"", b"x", 9 * SECOND, SECOND))
    assert driver.outcomes == [(b"a", Result.NOT_SENT)] and connection.transport.value() == b""
    assert host_pool.idle[b"s-1"] == [connection] and host_pool.calls_in_flight == 0
    deadlines[1].advance(1)
    assert connection.end_reason is EndReason.IDLE


def test_a_whole_batch_is_abandoned_at_the_first_deadline_of_its_texts(deadlines):
    driver = RecordingDriver()
    host_pool, connection = start_call(
        deadlines,
        driver,
        OutgoingText(b"a", b"", b"x", SECOND, 0),
        OutgoingText(b"b", b"", b"y", 3 * SECOND, 0),
    )
    assert connection.transport.value().startswith(b"POST /v1/messages:batch HTTP/1.1\r\n")
    deadlines[1].advance(1)
    assert (
        connection.end_reason is EndReason.ANSWER_TIMEOUT and driver.outcomes == []
    )  # no text ends while its submit is running
    connection.connectionLost(None)
    assert (
        driver.outcomes == [(b"a", Result.TIMEOUT), (b"b", Result.TIMEOUT)] and host_pool.calls_in_flight == 0
    )


def test_a_status_line_of_200_delivers_although_the_connection_breaks(deadlines):
    driver = RecordingDriver()
    _, connection = start_call(deadlines, driver, OutgoingText(b"a", b"", b"x", SECOND, 0))
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Le")
    connection.connectionLost(None)
    assert driver.outcomes == [(b"a", Result.MALFORMED)] and driver.finished == [b"a"]


def test_an_ordered_text_does_not_end_while_its_call_is_running(deadlines):
    """Else the next text of its key would be sent at the same time."""
    driver = RecordingDriver()
    _, connection = start_call(
        deadlines,
        driver,
        OutgoingText(b"a", b"", b"x", SECOND, 0),
        OutgoingText(b"b", b"", b"y", 3 * SECOND, 0),
    )
    deadlines[1].advance(1)
    assert connection.end_reason is EndReason.ANSWER_TIMEOUT and driver.outcomes == []


@pytest.mark.parametrize(
    "line, finished", [(b"200 OK", [b"a"]), (b"503 No", []), (b"429 No", []), (b"410 No", [])]
)
def test_of_a_malformed_response_only_a_status_line_of_200_counts(deadlines, line, finished):
    driver = RecordingDriver()
    _, connection = start_call(deadlines, driver, OutgoingText(b"a", b"", b"x", SECOND, 0))
    connection.dataReceived(b"HTTP/1.1 " + line + b"\r\nContent-Length: 3000000000\r\n\r\nxx")
    connection.connectionLost(None)
    assert driver.outcomes == [(b"a", Result.MALFORMED)] and driver.finished == finished


@pytest.mark.parametrize("raw, later", [(b"no more", b""), (b"", b"HTTP/1.1 200 OK\r\n\r\n"), (b"", b"")])
def test_a_connection_with_extra_bytes_after_its_response_is_not_reused(deadlines, raw, later):
    driver = RecordingDriver()
    host_pool, connection = start_call(deadlines, driver, OutgoingText(b"a", b"", b"x", SECOND, SECOND))
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + raw)
    assert driver.outcomes == [(b"a", Result.DELIVERED)] and (connection in host_pool.idle[b"s-1"]) != bool(
        raw
    )
    connection.transport.peer.sendall(later)  # not read yet
    assert connection.is_reusable() != bool(raw or later)


@pytest.mark.parametrize("address, kept", [("127.0.0.1:80", True), ("127.0.0.1:81", False), (None, False)])
def test_a_connection_in_use_while_its_host_moves_is_not_kept(deadlines, address, kept):
    host_pool, connection = start_call(
        deadlines, RecordingDriver(), OutgoingText(b"a", b"", b"x", 9 * SECOND, SECOND)
    )
    host_pool.set_address(b"s-1", address)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert (host_pool.idle[b"s-1"] == [connection]) == kept and (connection.end_reason is None) == kept


@pytest.mark.parametrize("valid_for", [7_200_000, 0.5, 24_000, 999_999.125])
def test_the_relay_reads_any_validity_as_the_client_writes_it(valid_for):
    raw = Submission("notice", 7, valid_for, b"x").command()
    assert read_submit(raw.split(b"\r\n")[2::2][:5]).valid_for == int(valid_for * 10)


def test_a_probe_requests_the_host_s_health():
    assert write_call(Call(b"s-1", [], 0), "127.0.0.1:80", 0) == [
        b"GET /ping HTTP/1.1\r\nHost: 127.0.0.1:80\r\n\r\n"
    ]


def test_retry_after_is_rounded_up_and_a_date_is_ignored():
    assert read_retry_after({b"retry-after": b"0.00001"}) == 1
    assert read_retry_after({b"retry-after": b"Tue, 01 Dec 2026 12:00:00 GMT"}) == 0


def test_a_submit_command_is_parsed():
    names = b"c=notice,t=acme,d=80.5,k=5c,dest=7,r=1"
    submission = read_submit([b"SUBMIT", b"0000", b"9b1f", names, b"\r\n\0"])
    assert (submission.id, submission.key, submission.destination, submission.valid_for) == (
        b"9b1f",
        b"",
        7,
        805,
    )
    assert (submission.idempotency_key, submission.body) == (b"5c", b"\r\n\0")
    assert (submission.product, submission.customer) == (b"notice", b"acme")
    with pytest.raises(BadCommand):
        read_submit([b"SUBMIT", b"0", b"a\r\nX-Evil: 1", b"d=1,dest=7", b""])


CATALOG_ROW = {
    "name": "s-1",
    "address": "127.0.0.1:80",
    "zone": "b",
    "type": "apart",
    "group": 3,
    "status": "leaving",
}


def test_the_list_is_converted_to_the_policy_s_numbers(deadlines):
    deadlines, _ = deadlines
    rows, updates = [CATALOG_ROW, CATALOG_ROW | {"name": "s-2", "type": "unheard of"}], []
    catalog = Catalog(None, deadlines, None, CONFIGURED_NAMES, 9, 9, lambda *update: updates.append(update))
    catalog.load_known_list({"index": 4, "snapshot": True, "endpoints": rows})
    ((entries, whole),) = updates
    assert (catalog.index, whole, len(entries), str(catalog.host_address(b"s-1"))) == (
        4,
        True,
        1,
        "127.0.0.1:80",
    )
    assert (entries[0].zone, entries[0].kind, entries[0].listing) == (zone_number("b"), 2, Listing.DRAINING)
    assert catalog.entries(3) == entries and catalog.host_address(b"s-2") is None


def test_a_zone_s_number_is_that_of_its_name_alone():
    """Guards against a number in the ledger that means another zone to a process with other settings."""
    assert zone_number("a") == zone_number("a") != zone_number("b") and zone_number("") == UNKNOWN_ZONE
    assert 0 < zone_number("\ud800") < 1 << 48


@pytest.mark.parametrize(
    "raw",
    [
        [1],
        {"index": 1},
        {"index": 1, "snapshot": True, "endpoints": [{"name": "x"}]},
        {"index": 1, "snapshot": True, "endpoints": [CATALOG_ROW, CATALOG_ROW | {"group": "x"}]},
    ],
)
def test_an_unreadable_list_is_rejected_as_a_whole(raw, deadlines):
    deadlines, _ = deadlines
    catalog = Catalog(None, deadlines, None, CONFIGURED_NAMES, 9, 9, lambda entries, whole: None)
    with pytest.raises(BadList):
        catalog.load_known_list(raw)
    assert catalog.index is None and not catalog.directory.rows(3) and not catalog.has_list


def test_settings_get_defaults_and_unknown_effects_are_once_only():
    settings = bench_settings(1, {"classes": [{"effect": "new"}], "unknown": 1, "limits": None})
    assert settings.products[0].effect is Effect.ONCE_ONLY and (settings.slots, settings.max_texts) == (
        16,
        500,
    )


@pytest.mark.parametrize(
    "raw, key",
    [
        ({"listen": "localhost"}, "listen"),
        ({"listen": "127.0.0.1:99999"}, "listen"),
        ({"settings": []}, "settings"),
        ({"settings": {"classes": [{"deadline": -1}]}}, "settings.classes[0].deadline"),
        ({"settings": {"classes": []}}, "settings.classes"),
        ({"limits": {"sockets": "x"}}, "limits.sockets"),
        ({"log_level": "loud"}, "log_level"),
        ({"seed": "xyz"}, "seed"),
        ({"state": ""}, "state"),
        (
            {"settings": SETTINGS | {"familyInfo": {"batchByKind": ["x"]}}},
            "settings.familyInfo.batchByKind[0]",
        ),
    ],
)
def test_an_invalid_value_is_reported_by_its_key(raw, key):
    assert read_platform(VALID_CONFIG)[0].limits.slots == 8
    found, faults, _ = read_platform(VALID_CONFIG | raw)
    assert found is None and [each.path for each in faults] == [key]


@pytest.mark.parametrize(
    "known_list, request_line",
    [
        (
            {"index": 41, "snapshot": True, "endpoints": []},
            b"GET /catalog/members?stream=1&index=41 HTTP/1.1",
        ),
        ({}, b"GET /catalog/members HTTP/1.1"),
    ],
)
def test_a_start_sends_one_list_request_with_the_known_index(known_list, request_line):
    catalog = Catalog(None, None, None, CONFIGURED_NAMES, 9, 9, lambda entries, whole: None)
    catalog.load_known_list(known_list)
    (watch := catalog.buildProtocol(None)).makeConnection(SocketPairTransport())
    assert watch.transport.value().split(b"\r\n")[0] == request_line
