"""Races and faults at narrow moments, made by stopping one side between two steps of the relay."""

import errno
import json
import os
import resource
import signal
import socket
import threading
import time
from dataclasses import replace

import pytest
from conftest import HOST, NOW, REPORT, SETTINGS, OTHER_HOST, WAIT_TIMEOUT, PolicyHarness, S
from test_parts import VALID_CONFIG, CONFIGURED_NAMES, SocketPairTransport
from twisted.internet.task import Clock as Reactor

from limelatch.configuration import Address, plan_of
from limelatch.configuration.platform_form import read_platform
from limelatch.interface import (
    SECOND,
    Health,
    MS,
    HostEntry,
    Listing,
    LogLine,
    Nack,
    TextHistory,
    Result,
    Submit,
    Text,
)
from limelatch.policy import Policy
from limelatch.relay import __main__ as entry
from limelatch.relay.clock import Anchor, Resumption
from limelatch.relay.catalog import Catalog
from limelatch.relay.client_listener import Listener
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.driver import Driver
from limelatch.relay.end_reason import EndReason
from limelatch.relay.inspection import inspect_ledger
from limelatch.relay.ledger import STANDBY_DIR, Ledger, lock
from limelatch.notice_retry import wait_before_repeat
from limelatch.relay.platform import Notifier


def wait_until(true, wait=WAIT_TIMEOUT):
    """Polls until `true()` holds; the relay shows it in no other way."""
    last = time.monotonic() + wait
    while not true():
        assert time.monotonic() < last


def ledger_in(folder):
    """Opens the ledger of a state directory."""
    return Ledger(str(folder), 100_000, 10_000_000)


def accept_text(ledger, text, **more):
    """Records an accepted text; `more` replaces some of its fields."""
    ledger.record_accepted(
        text,
        b"body",
        **{"key": "", "mark": "m", "dest": 1, "product": "notice", "customer": 0, "until": 9 * S} | more,
    )


def test_a_submit_in_flight_at_a_kill_may_have_run_though_a_later_one_is_refused(tmp_path):
    """Guards against a refusal that counts as proof for both submits: after a second kill the text then went
    to another zone."""
    before = ledger_in(tmp_path)
    accept_text(before, b"a")
    before.record_submit(b"a", 5, 1)
    before.close()  # killed with the submit in flight
    between = ledger_in(tmp_path)
    between.record_submit(b"a", 9, 1)
    between.record_submit_end(b"a", may_have_run=False)
    between.compact()
    between.close()  # killed again
    entry = ledger_in(tmp_path).entries[b"a"]
    assert (entry.submit_count, entry.in_flight, entry.first_run_at, entry.first_run_zone) == (2, False, 5, 1)


def test_after_two_kills_and_a_refusal_a_text_stays_in_the_zone_where_it_may_have_run(
    make_program, agent, make_host
):
    """The repeat window is far longer than the wait and the restarts, so that it does not end the text."""
    notice = SETTINGS["classes"][0] | {"dedupWindow": 60_000, "deadline": 60_000}
    program = make_program(settings=SETTINGS | {"classes": [notice, *SETTINGS["classes"][1:]]})
    first, other = make_host(lambda request: request.hang()), make_host()
    agent.list(first.address, zone="a")
    program.start().submit("t1", "notice", d=60_000)
    assert first.next().headers["X-Txn"] == "t1"
    program.kill()
    first.reply = lambda request: request.answer(429, Retry_After="9")
    program.start()
    assert first.next().headers["X-Txn"] == "t1"  # sent again and refused: it has not run this time
    wait_until(lambda: not inspect_ledger(str(program.state)).entries[b"t1"].in_flight)
    program.kill()
    agent.list(first.address, zone="a", status="leaving")
    agent.list(other.address, name="s-2", zone="b")
    assert program.start().submit("t2", "report") == "+OK"
    assert other.next().headers["X-Txn"] == "t2" and other.requests.empty()


def test_texts_near_the_end_of_their_validity_share_no_call_with_others(relay):
    """A call is given up as a whole when the first of its texts is out of time."""
    relay.list_hosts(b"batch1", dest=2, kind=1)
    relay.send_text(relay.accept_text(dest=2), Result.DELIVERED)
    near = [relay.accept_text(dest=2, valid=valid) for valid in (S // 2, S // 3)]
    others = [relay.accept_text(dest=2, valid=9 * S) for _ in range(2)]
    calls = {}
    for text in relay.sent_texts():
        calls.setdefault(id(relay.pending(text).call), []).append(text)
    assert sorted(sorted(call) for call in calls.values()) == [near, others]


# The watch for the host list.

ROW = {
    "name": "s-1",
    "address": "127.0.0.1:80",
    "zone": "a",
    "type": "single",
    "group": 1,
    "status": "active",
    "weight": 1.0,
    "since_ms": 0,
}


def page(index, whole=False, **row):
    return {"index": index, "snapshot": whole, "endpoints": [ROW | row]}


class RunningReactor(Reactor):
    """A test clock that also acts as a running reactor and as the relay's clock."""

    running, stopped = True, False

    def stop(self):
        self.stopped = True

    def now(self):
        return int(self.seconds() * SECOND)

    certain_from, resumption = 0, Resumption.FIRST

    def wall_ahead(self):
        return 0

    def anchor(self):
        return Anchor("", 0, 0, 0)


@pytest.fixture
def clock():
    return RunningReactor()


@pytest.fixture
def watch(clock):
    """A watch from version 41 on that has received a response head; it times out after 4.5 s."""
    listed = []
    catalog = Catalog(
        clock,
        Deadlines(clock, clock),
        None,
        CONFIGURED_NAMES,
        45_000,
        9 * SECOND,
        lambda entries, whole: listed.extend((each.host, each.listing.value) for each in entries),
    )
    catalog.load_known_list(page(41))
    catalog.note_activity()
    (watch := catalog.buildProtocol(None)).makeConnection(SocketPairTransport())
    watch.dataReceived(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    watch.listed, listed[:] = listed, []
    return watch


def send_chunk(watch, raw):
    """The catalog sends one chunk of the response."""
    watch.dataReceived(b"%x\r\n%s\r\n" % (len(raw), raw))


@pytest.mark.parametrize("form", [{"indent": 2}, {"indent": 1, "separators": (",", ":")}, {}])
@pytest.mark.parametrize("end, size", [("\n", 7), ("\r\n", 60_000), ("\n\n", 1)])
def test_a_host_list_may_be_indented_and_cut_anywhere(watch, form, end, size):
    raw = "".join(
        json.dumps(page(number, name=f"s-{number}"), **form).replace("\n", end.strip(" ")) + end
        for number in (42, 43)
    ).encode()
    for at in range(0, len(raw), size):
        send_chunk(watch, raw[at : at + size])
    assert watch.listed == [(b"s-42", "ready"), (b"s-43", "ready")] and watch.end_reason is None
    assert watch.catalog.index == 43


@pytest.mark.parametrize("piece", [b" ", b'{"index": 42,\n', b'{"index": 42,\n\n', b"\n"])
def test_a_watch_that_receives_bytes_but_no_message_times_out(watch, clock, piece):
    send_chunk(watch, piece)
    for _ in range(10):  # for five seconds
        clock.advance(0.5)
        send_chunk(watch, piece[-1:])
    assert watch.end_reason is (None if piece == b"\n" else EndReason.ANSWER_TIMEOUT)


@pytest.mark.parametrize(
    "raw", [b'{"index": 42,}\n', b"[]\n", b"}\n", b"x\n", b'{"index": 42}\n', b"[" * 99_999 + b"\n"]
)
def test_a_host_list_that_cannot_be_read_ends_the_watch(watch, raw):
    send_chunk(watch, raw)
    assert watch.end_reason is EndReason.MALFORMED and watch.listed == []


def test_changes_older_than_the_known_list_cause_a_request_for_the_whole_list(watch):
    send_chunk(watch, json.dumps(page(40, status="left")).encode() + b"\n")
    assert watch.end_reason is EndReason.MALFORMED and watch.listed == [] and watch.catalog.index is None


def test_a_whole_list_of_a_lower_version_is_accepted(watch):
    """The discovery agent has restarted its numbering."""
    send_chunk(watch, json.dumps(page(3, True)).encode() + b"\n")
    assert watch.listed == [(b"s-1", "ready")] and watch.catalog.index == 3 and watch.end_reason is None


# Notices.


class RecordingConnector:
    """A reactor that records attempts to connect."""

    running = True

    def __init__(self):
        self.attempts = []

    def connectTCP(self, host, port, factory, timeout):
        self.attempts.append((host, port))


def test_a_second_response_is_not_attributed_to_the_next_notice(clock):
    confirmed, reactor = [], RecordingConnector()
    platform = Address("127.0.0.1", 80)
    notifier = Notifier(reactor, Deadlines(clock, clock), platform, SECOND, SECOND, confirmed.append)
    request = notifier.buildProtocol(None)
    notifier.add_notice(b"a", {"result": "dead"})
    request.makeConnection(SocketPairTransport())
    notifier.add_notice(b"b", {"result": "dead"})  # while the request of the first is in flight
    request.dataReceived(b"HTTP/1.1 204 No Content\r\n\r\n" * 2)
    assert confirmed == [b"a"] and list(notifier.pending) == [b"b"]
    assert request.end_reason is EndReason.FINISHED and len(reactor.attempts) == 1
    request.connectionLost(None)
    assert notifier.in_flight == [] and len(reactor.attempts) == 1  # the next request is not disturbed


@pytest.mark.parametrize("count, wait", [(1, 0), (2, 20), (3, 40), (4, 80), (5, 100), (99, 100)])
def test_notices_are_repeated_soon_after_the_first_failures(count, wait):
    """A platform that drops some requests must not make notices late."""
    assert wait_before_repeat(count, 100 * MS) == wait * MS


# Clients.


class ListenerDriver:
    """What a listener needs of its driver."""

    def __init__(self, clock):
        self.clock, self.deadlines = clock, Deadlines(clock, clock)
        self.plan = plan_of(read_platform(VALID_CONFIG)[0])


@pytest.mark.parametrize("arrived", [b"", b"*5\r\n"])
def test_a_connection_with_an_unread_request_is_not_closed(clock, arrived):
    """Closing would reset it: the request and the last answer would be lost."""
    listener = Listener(ListenerDriver(clock), 2, 10_000)
    (client := listener.buildProtocol(None)).makeConnection(SocketPairTransport())
    client.dataReceived(b"PING\r\n")
    client.transport.peer.send(arrived)
    listener.stop()
    assert (client.end_reason is None) == bool(arrived) == listener.has_pending_requests()


@pytest.fixture
def driver(clock, tmp_path):
    """A relay that is ready, without a port."""
    driver = Driver(plan_of(read_platform(VALID_CONFIG | {"state": str(tmp_path)})[0]), clock, clock)
    driver.ready = True
    yield driver
    driver.ledger.close()


def test_a_request_read_while_the_relay_ends_is_answered(clock, driver):
    (client := driver.listener.buildProtocol(None)).makeConnection(SocketPairTransport())
    client.dataReceived(b"PING\r\n")
    client.transport.peer.send(b"x")  # a request is arriving, so the connection stays open
    driver.stop()
    client.transport.socket.recv(9)
    clock.rightNow += 0.6
    client.dataReceived(b"SUBMIT 0 t1 c=report,d=9000,dest=1 x\r\n")
    driver._exit_if_idle()  # in the same turn of the reactor
    assert not clock.stopped and driver._is_ending
    assert client.transport.value() == b"+PONG\r\n-BUSY\r\n"
    clock.advance(0)  # one turn of the reactor, in which the answer is written
    assert clock.stopped and driver.pool.calls_in_flight == len(driver.accepted) == 0


def test_a_wait_recorded_by_the_other_process_while_a_connection_comes_up_blocks_the_text(
    clock, driver, tmp_path
):
    driver.handover.start()
    driver._apply_host_list(clock.now(), [HostEntry(HOST, 1, 0, 0, 1.0, Listing.READY)])
    driver.policy.text_accepted(clock.now(), Text(b"t1", 1, 0, clock.now() + 9 * S))
    (submit,) = [each for each in driver.policy.decide(clock.now()) if isinstance(each, Submit)]
    standby = Ledger(str(tmp_path), 100_000, 10_000_000)
    clock.advance(0.3)  # the old process has noticed it
    assert driver.may_send(clock.now(), submit.text, submit.host)
    standby.record_retry_after(HOST, clock.now() + 5 * S, clock.now())
    assert not driver.may_send(clock.now(), submit.text, submit.host)
    standby.close()


def test_an_outage_found_by_one_process_reaches_the_policy_of_the_other(clock, driver, tmp_path):
    """From the policy to the ledger, and from the other process's ledger to the policy."""
    driver.handover.start()
    driver._apply_host_list(
        clock.now(), [HostEntry(each, 1, 0, 0, 1.0, Listing.READY) for each in (HOST, OTHER_HOST)]
    )
    driver.policy.log_lines.append(LogLine("sick", OTHER_HOST, Health.OUTAGE))
    standby = Ledger(str(tmp_path), 100_000, 10_000_000)
    clock.advance(0.3)  # the old process has noticed it and has had a turn
    assert driver.ledger.state.host_health[OTHER_HOST].health is Health.OUTAGE
    standby.record_health(HOST, Health.OUTAGE, clock.now())
    clock.advance(0.2)
    assert driver.policy.hosts[HOST].in_outage and driver.policy.process_count == 2
    standby.close()


def test_a_stopping_relay_waits_for_the_request_of_a_new_connection(clock, driver):
    driver.stop()
    clock.advance(0.49)
    driver.listener.buildProtocol(None).makeConnection(SocketPairTransport())
    clock.advance(0.02)
    assert driver.clock.now() > driver._earliest_stop_at and not clock.stopped
    clock.pump([0.02] * 9)
    assert clock.stopped


def test_a_full_client_table_at_a_handover_does_not_reopen_the_port(clock):
    class Port:
        closed = False

        def stopReading(self):
            pass

        def stopListening(self):
            self.closed = True

        def startReading(self):
            assert not self.closed

    listener = Listener(ListenerDriver(clock), 2, 10_000)
    listener.port = port = Port()
    clients = [listener.buildProtocol(None) for _ in range(2)]
    for client in clients:
        client.awaiting_answer = True
        client.makeConnection(SocketPairTransport())
    listener.stop(handed_over=True)
    clients[0].awaiting_answer = False
    clients[0].connectionLost(None)
    assert port.closed and listener.port is None and len(listener.connections) == 1


# The ledger.


class FullDisk:
    """Replaces `os.write`: accepts `free` bytes more, in pieces, then fails with ENOSPC."""

    def __init__(self, free):
        self.free, self.write = free, os.write

    def __call__(self, file, raw):
        if not self.free:
            raise OSError(errno.ENOSPC, "full")
        raw = raw[: min(self.free, 7)]
        self.free -= len(raw)
        return self.write(file, raw)


@pytest.mark.parametrize("free", [0, 1, 9, 60, 150])
def test_records_refused_by_a_full_disk_are_written_later_and_none_in_part(tmp_path, monkeypatch, free):
    ledger = ledger_in(tmp_path)
    accept_text(ledger, b"a")
    accept_text(ledger, b"b")
    assert ledger.record_submit(b"a", 5, 1)
    monkeypatch.setattr(os, "write", disk := FullDisk(free))
    ledger.record_submit_end(b"a", may_have_run=True)
    ledger.record_finished(b"a", 0)
    accepted = ledger.record_accepted(
        b"c", b"x" * 200, key="", mark="", dest=1, product="notice", customer=0, until=9
    )
    assert not accepted and not ledger.record_submit(b"b", 6, 1) and list(ledger.entries) == [b"b"]
    disk.free = 10_000
    assert ledger.record_submit(b"b", 7, 1)
    ledger.close()
    after = ledger_in(tmp_path)
    assert list(after.entries) == [b"b"] and after.entries[b"b"].first_run_at == 7 and not after.cut_bytes


def test_a_compaction_that_does_not_fit_the_disk_leaves_the_old_file(tmp_path, monkeypatch):
    ledger = ledger_in(tmp_path)
    accept_text(ledger, b"a")
    monkeypatch.setattr(os, "write", disk := FullDisk(20))
    assert not ledger.compact() and os.listdir(tmp_path) == ["ledger"]
    disk.free = 10_000
    assert ledger.record_submit(b"a", 5, 1)
    ledger.close()
    assert ledger_in(tmp_path).entries[b"a"].in_flight


def test_a_full_disk_leaves_both_ledgers_of_an_upgrade_unchanged(tmp_path, monkeypatch):
    old = ledger_in(tmp_path)
    accept_text(old, b"a")
    new = ledger_in(tmp_path)
    accept_text(new, b"b")
    old.close()
    monkeypatch.setattr(os, "write", disk := FullDisk(20))
    assert new.take_over() is None and list(new.entries) == [b"b"] and new.is_standby
    disk.free = 10_000
    assert new.record_submit(b"b", 5, 1) and [each.id for each in new.take_over()] == [b"a"]
    new.close()
    after = ledger_in(tmp_path)
    assert list(after.entries) == [b"a", b"b"] and after.entries[b"b"].in_flight


def test_a_relay_with_a_full_disk_refuses_texts_and_recovers(program, agent, make_host):
    host = make_host()
    agent.list(host.address)
    client = program.start()
    assert client.submit("t1") == "+OK" and host.next()
    wait_until(lambda: not inspect_ledger(str(program.state)).entries)
    pid, full = program.process.pid, os.path.getsize(program.state / "ledger") + 20
    # Space for a part of a record.
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (full, resource.RLIM_INFINITY))
    assert client.submit("t2") == "-BUSY" and client.submit("t3", "charge", key="k1") == "-BUSY"
    assert client.ask("PING") == "+PONG"
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY,) * 2)
    assert client.submit("t4", "charge", key="k1") == "+OK" and host.next().headers["X-Txn"] == "t4"
    assert host.requests.empty() and agent.notices.empty()


def test_a_successor_is_not_refused_while_the_old_process_checks_for_it(tmp_path):
    old = ledger_in(tmp_path)
    ledger_in(tmp_path).close()  # creates the standby directory
    descriptor = lock(str(tmp_path / STANDBY_DIR))  # as Ledger.has_successor does
    threading.Timer(0.05, os.close, [descriptor]).start()
    assert ledger_in(tmp_path).is_standby and not old.is_standby


# Texts that no submit was made for before a restart.


@pytest.mark.parametrize("relays, rate", [(200, 20.0), (40, 4.0), (3, 4.0)])
@pytest.mark.parametrize("late_list", [False, True])
def test_texts_without_a_submit_before_a_restart_are_sent_in_time(policy_settings, relays, rate, late_list):
    """With an even share of each limit a fifth of such texts ended without a call: 641 of 3,364 in a run with
    mass kills."""
    policy_settings = replace(policy_settings, relays=relays, rates_listed=True)
    harness = PolicyHarness(Policy(policy_settings, NOW))
    if not late_list:
        harness.list_hosts(HOST, OTHER_HOST, rate=rate)
    texts = set()
    for number in range(8):
        texts.add(text := 500 + number)
        harness.policy.text_accepted(NOW, Text(text, 1, REPORT, NOW + 8 * S), TextHistory())
    if late_list:
        harness.list_hosts(HOST, OTHER_HOST, rate=rate)
    sent = set()
    for passed in range(0, 8 * S, 200):
        for text, host in harness.sent_texts(NOW + passed).items():
            sent.add(text)
            harness.end_submit(text, Result.FULL, NOW + passed + 100, host=host)
    assert sent == texts


def test_texts_without_a_submit_before_a_restart_respect_waits_and_outages(policy_settings):
    harness = PolicyHarness(Policy(replace(policy_settings, relays=200, rates_listed=True), NOW))
    harness.list_hosts(HOST, rate=2.0)
    for number in range(3):
        harness.policy.text_accepted(NOW, Text(500 + number, 1, REPORT, NOW + 8 * S), TextHistory())
    sent = harness.sent_texts()  # the unused share of the limit
    assert len(sent) == 2
    for text, host in sent.items():
        harness.end_submit(text, Result.FULL, host=host, retry_after=9 * S)
    assert {end.text for end in harness.decide(Nack)} == {500, 501, 502} and harness.sent_texts(
        NOW + 5 * S
    ) == {}


def test_a_new_text_that_cannot_be_sent_in_time_is_still_nacked_at_once(policy_settings):
    harness = PolicyHarness(Policy(replace(policy_settings, relays=200, rates_listed=True), NOW))
    harness.list_hosts(HOST, rate=2.0)
    harness.accept_text(REPORT), harness.accept_text(REPORT)
    assert len(harness.sent_texts()) == 2  # the unused share of the limit
    text = harness.accept_text(REPORT, valid=S // 2)
    assert [end.text for end in harness.decide(Nack)] == [text]


# Signals and settings.


@pytest.fixture
def hangup():
    """The SIGHUPs that reached the handler set before; in a program its default would end the process."""
    received, before = [], signal.getsignal(signal.SIGHUP)
    signal.signal(signal.SIGHUP, lambda number, frame: received.append(number))
    yield received
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.default_int_handler if number == signal.SIGINT else signal.SIG_DFL)
    signal.signal(signal.SIGHUP, before)


def test_a_sighup_before_the_relay_runs_is_kept_for_it(monkeypatch, hangup):
    class StandIn:
        """Stands in for the driver and the reactor; the signal comes while the state directory is read."""

        failed, done, plan = False, [], None

        def __init__(self, *given):
            if given:
                os.kill(os.getpid(), signal.SIGHUP)
                self.done.append("read")

        def start(self):
            self.done.append("started")

        def reconfigure(self, plan):
            self.done.append(plan)

        def callWhenRunning(self, call):
            self.call = call

        def run(self, installSignalHandlers):
            self.call()

    monkeypatch.setattr(entry, "Driver", StandIn)
    monkeypatch.setattr(entry, "reactor", StandIn())
    monkeypatch.setattr(entry, "relay_plan", lambda *given: plan_of(read_platform(VALID_CONFIG)[0]))
    monkeypatch.setattr(entry, "reloaded_plan", lambda *given: "the file as it is now")
    monkeypatch.setattr(entry.logs, "start", lambda plan: None)
    monkeypatch.setattr(entry.logs, "redirect_twisted_log", lambda: None)
    assert entry.main() == entry.DONE and hangup == []
    assert StandIn.done == ["read", "started", "the file as it is now"]


@pytest.mark.parametrize("broken", ["", "{", '{"listen": ', "away"])
def test_a_broken_file_at_sighup_twice_and_in_a_stop_leaves_the_relay_running(
    program, agent, make_host, broken
):
    host = make_host(lambda request: None)
    agent.list(host.address)
    client, whole = program.start(), program.file.read_text()
    assert client.submit("t1", "charge", key="k1") == "+OK"
    call = host.next()
    if broken == "away":
        os.remove(program.file)
    else:
        program.file.write_text(broken)
    for _ in range(2):
        program.process.send_signal(signal.SIGHUP)
        program.wait_for_log("event=not-configured")
    program.terminate()
    program.wait_for_log("event=stopping")
    program.process.send_signal(signal.SIGHUP)
    program.wait_for_log("event=not-configured")
    program.file.write_text(whole)
    program.process.send_signal(signal.SIGHUP)
    program.wait_for_log("event=configured")
    program.terminate()  # a second time
    call.answer(200)
    assert program.process.wait(WAIT_TIMEOUT) == 0 and agent.notices.empty()


def test_a_start_waits_for_the_port_of_an_ending_process(program, agent):
    agent.list("127.0.0.1:1")
    old_socket = socket.create_server((program.address, program.port))
    program.launch()
    program.wait_for_log("event=port-taken")
    old_socket.close()
    program.wait_for_log("event=serving")
    assert program.client().ask("PING") == "+PONG"


def test_restored_texts_keep_product_and_customer_when_the_settings_reorder_them(
    make_program, agent, make_host
):
    customers = [{"name": "acme"}, {"name": "bell"}]
    program = make_program(settings=SETTINGS | {"projects": customers})
    host = make_host(lambda request: request.hang())
    agent.list(host.address, status="leaving")
    client = program.start()
    assert client.ask("SUBMIT", "k1", "t1", "c=charge,t=bell,d=9000,k=5c0f,dest=1", "x") == "+OK"
    assert client.ask("SUBMIT", "k2", "t2", "c=report,t=acme,d=9000,k=5c0f,dest=1", "y") == "+OK"
    program.kill()
    entries = inspect_ledger(str(program.state)).entries
    assert [(each.fields["customer"], each.fields["product"]) for each in entries.values()] == [
        ("bell", "charge"),
        ("acme", "report"),
    ]
    agent.list(host.address)
    settings = SETTINGS | {"projects": customers[::-1], "classes": SETTINGS["classes"][:0:-1]}
    program.file.write_text(json.dumps(json.loads(program.file.read_text()) | {"settings": settings}))
    host.reply = lambda request: (200,)
    program.start()
    assert {host.next().headers["X-Txn"] for _ in range(2)} == {"t1", "t2"}
