"""Hundreds of bad clients at once keep a relay process within its memory limit, and others are answered."""

import copy
import gc
import signal
import socket
import threading
import time
import tracemalloc
import weakref
from contextlib import suppress
from types import SimpleNamespace

import pytest
from memory_rig import (
    ANSWER_SECONDS,
    DISK_MB,
    ROWS,
    SETTLED_MB,
    SETTLE_SECONDS,
    SOCKETS,
    Probe,
    attack,
    memory_of,
)
from test_command_budget import Turns, connect
from test_crossings import RunningReactor, wait_until
from test_parts import SocketPairTransport

from limelatch.interface import SECOND
from limelatch.relay.client_listener import Listener
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.end_reason import EndReason
from limelatch.relay.http import HttpClientProtocol
from limelatch.relay.ledger import Ledger
from limelatch.relay.submission import MAX_ARGUMENTS, MAX_BODY_SIZE, MAX_HEAD_SIZE, BadCommand, read_submit

MEMORY_MB = 64
UPGRADE_MB = 96
LEAST_MB = 32  # the least memory that the platform gives a relay
HEAVY_ROWS = [
    "stalled body",
    "short names",
    "many arguments",
    "inline words",
    "pipelined, hosts silent",
    "whole large, hosts silent",
    "unread replies",
]


@pytest.fixture
def listener():
    turns = Turns(RunningReactor())
    plan = SimpleNamespace(client_idle_timeout=2 * SECOND, client_command_timeout=2 * SECOND)
    return Listener(SimpleNamespace(clock=turns.clock, deadlines=turns, plan=plan), 500, 8_000_000)


@pytest.fixture
def start_relay(make_program, agent, make_host):
    """A function that starts a relay with a memory limit in MB, and a host that may be silent."""

    def start(memory_mb, is_silent):
        host = make_host((lambda request: request.hang()) if is_silent else lambda request: (200,))
        agent.list(host.address)
        program = make_program(limits={"memory_mb": memory_mb, "sockets": SOCKETS, "disk_mb": DISK_MB})
        program.start().socket.close()
        return program

    return start


@pytest.mark.parametrize("row", HEAVY_ROWS)
def test_bad_clients_take_no_process_over_its_memory_limit(start_relay, row):
    shape, options, is_silent = ROWS[row]
    program = start_relay(MEMORY_MB, is_silent)
    seen = attack(program, shape, *options)
    assert seen.exit_code is None and seen.peak <= MEMORY_MB, seen
    assert max(seen.lags) < ANSWER_SECONDS and seen.longest_wait <= ANSWER_SECONDS, seen
    wait_until(
        lambda: memory_of(program.process.pid).resident / 1e6 <= seen.rest + SETTLED_MB, SETTLE_SECONDS
    )


@pytest.mark.parametrize("row", ["stalled body", "inline words", "pipelined, hosts silent"])
def test_with_the_least_memory_bad_clients_add_no_more_than_is_left(start_relay, row):
    """At 32 MB the pages of the program's files have no room; what the process adds has."""
    shape, options, is_silent = ROWS[row]
    program = start_relay(LEAST_MB, is_silent)
    seen = attack(program, shape, *options)
    assert any("event=memory-short" in line for line in program.log_lines)
    assert seen.exit_code is None and seen.private_rest + (seen.peak - seen.rest) <= LEAST_MB - DISK_MB, seen
    assert any(answer == "+OK" for answer in seen.answers), seen


@pytest.mark.parametrize(
    ("command_start", "words"),
    [
        (b"*16\r\n" + b"$1\r\nx\r\n" * 14 + b"$62000\r\n", b"beside a body"),
        (b"*5\r\n$6\r\nSUBMIT\r\n$62000\r\n", b"beside a body"),
        (b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nt1\r\n$62000\r\n", b"beside a body"),
        (b"*2\r\n$62000\r\n", b"beside a body"),
        (b"*5\r\n$4\r\nPING\r\n$1\r\n0\r\n$2\r\nt1\r\n$3\r\nd=1\r\n$62000\r\n", b"a body holds"),
    ],
)
def test_an_argument_that_is_no_body_and_has_a_body_s_size_is_not_collected(listener, command_start, words):
    client = connect(listener)
    client.dataReceived(command_start)
    for _ in range(61):
        client.dataReceived(bytes(1000))
        assert listener.memory.total <= 2 * MAX_HEAD_SIZE
        listener.driver.deadlines.run()
    client.dataReceived(bytes(1000) + b"\r\n")
    listener.driver.deadlines.run()
    missing = int(command_start[1:].split(b"\r\n")[0]) - command_start.count(b"$")
    client.dataReceived(b"$1\r\nx\r\n" * missing)
    listener.driver.deadlines.run()
    assert client.transport.value().startswith(b"-ERR") and words in client.transport.value()
    listener.driver.deadlines.run()
    client.dataReceived(b"PING\r\n")
    listener.driver.deadlines.run()
    assert client.transport.value().endswith(b"+PONG\r\n") and client.end_reason is None


def test_a_list_of_very_many_names_is_refused_without_reading_them():
    names = b"c=report,d=9,dest=1" + b",x" * 100
    with pytest.raises(BadCommand, match="names and values"):
        read_submit([b"SUBMIT", b"0", b"t1", names, b""])


def test_a_line_of_very_many_words_is_not_split_into_all_of_them(listener, monkeypatch):
    client, seen = connect(listener), []
    monkeypatch.setattr(client, "_run_command", seen.append)
    client.dataReceived(b"a " * 3900 + b"\r\n")
    assert [len(words) for words in seen] == [MAX_ARGUMENTS + 1]


def test_of_what_follows_a_request_that_awaits_its_answer_one_read_is_held(listener):
    client = connect(listener)
    listener.driver.submission_received = lambda submission, client: None
    client.dataReceived(b"SUBMIT 0 t1 c=report,d=9000,dest=1 x\r\n" + bytes(2000))
    assert client.awaiting_answer and client.transport.producerState == "paused"
    assert 2000 <= listener.memory.total <= 4096
    client.answer("+OK")
    assert client.transport.producerState == "producing"


def test_large_texts_of_one_turn_count_for_the_room_before_they_are_recorded(make_program, agent, make_host):
    """The room for records is a tenth of the memory limit, or 0.4 of the disk's."""
    host, body, count = make_host(lambda request: request.hang()), bytes(60_000), 40
    agent.list(host.address)
    program = make_program(limits={"memory_mb": 192, "sockets": SOCKETS, "disk_mb": 1})
    program.start().socket.close()
    clients = [program.client() for _ in range(count)]
    program.process.send_signal(signal.SIGSTOP)  # all requests come in one turn of the reactor
    for number, client in enumerate(clients):
        client.write("SUBMIT", "0", f"t{number}", "c=report,t=acme,d=9000,dest=1", body)
    program.process.send_signal(signal.SIGCONT)
    answers = [client.lines.readline().strip() for client in clients]
    accepted = answers.count(b"+OK")
    assert set(answers) == {b"+OK", b"-BUSY"}
    assert 0 < accepted * len(body) <= 0.4 * 1_000_000, accepted
    program.kill()
    ledger = Ledger(str(program.state), 1_000_000, 192_000_000)
    assert len(ledger.entries) == accepted and ledger.state.live_bytes <= ledger.max_live_bytes


def test_a_closed_connection_s_memory_is_free_without_a_collection(listener):
    listener.driver.deadlines = Deadlines(listener.driver.clock, listener.driver.clock)
    client = connect(listener)
    client.dataReceived(b"PING\r\n")
    left = weakref.ref(client)
    client.end(EndReason.IDLE)
    gc.disable()
    try:
        client.connectionLost(None)
        del client
        assert left() is None
    finally:
        gc.enable()


@pytest.mark.parametrize("call", [b"STATUS\n", b"\n"])
def test_an_operator_s_connection_at_full_speed_that_reads_nothing_holds_little(
    make_program, agent, make_host, call
):
    agent.list(make_host().address)
    with socket.create_server(("127.0.0.1", 0)) as spare:
        operator = spare.getsockname()
    program = make_program(operator=f"127.0.0.1:{operator[1]}", limits={"memory_mb": MEMORY_MB, "disk_mb": 3})
    program.start().socket.close()
    probe, rest = Probe(program), memory_of(program.process.pid)
    thread = threading.Thread(target=probe.run)
    thread.start()
    callers = [socket.create_connection(operator) for _ in range(8)]
    until = time.monotonic() + 4
    for caller in callers:
        caller.setblocking(False)
    while time.monotonic() < until:
        for caller in callers:
            with suppress(BlockingIOError):
                caller.send(call * (1 << 13))
        time.sleep(0.001)
    probe.stopped.set()
    thread.join()
    for caller in callers:
        caller.close()
    assert memory_of(program.process.pid).peak <= rest.resident + SETTLED_MB * 1e6
    assert max(probe.waits) <= ANSWER_SECONDS and set(probe.answers) == {"+OK"}, max(probe.waits)


class HostAnswer(HttpClientProtocol):
    """A call's connection, and what it holds of the answer."""

    def __init__(self):
        super().__init__(MAX_BODY_SIZE, 256)
        self.ended = None
        self.makeConnection(SocketPairTransport())
        self.send_request(b"POST /v1/messages HTTP/1.1\r\n\r\n")

    def connection_ended(self, end_reason):
        self.ended = end_reason


def allocated_by(receive, pieces):
    """Bytes that are allocated more, at most, while pieces of input are received."""
    gc.collect()
    tracemalloc.start()
    before, most = tracemalloc.get_traced_memory()[0], 0
    for piece in pieces:
        receive(piece)
        most = max(most, tracemalloc.get_traced_memory()[0] - before)
    tracemalloc.stop()
    return most


def test_an_answer_in_very_small_chunks_takes_no_more_than_its_bytes():
    answer = HostAnswer()
    answer.dataReceived(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    pieces = [b"2\r\nxy\r\n" * 2000] * 15
    assert allocated_by(answer.dataReceived, pieces) <= 2 * MAX_BODY_SIZE and answer.end_reason is None


def test_an_answer_of_very_many_headers_is_ended():
    answer = HostAnswer()
    pieces = [b"HTTP/1.1 200 OK\r\n"] + [b"%x:\r\n" % number for number in range(2500)]
    assert allocated_by(answer.dataReceived, pieces) <= MAX_BODY_SIZE
    assert answer.end_reason is EndReason.MALFORMED


@pytest.mark.parametrize("row", ["stalled body", "whole large, hosts silent"])
def test_both_processes_of_an_upgrade_stay_within_the_limit_together(start_relay, row):
    """The sum of their peaks counts, though these need not come at once. At rest both need 58 MB."""
    shape, options, is_silent = ROWS[row]
    program = start_relay(UPGRADE_MB, is_silent)
    new = copy.copy(program)
    new.process = None
    try:
        new.launch()
        new.wait_for_log("event=serving")
        seen = attack(program, shape, *options)
        peaks = [memory_of(each.process.pid).peak / 1e6 for each in (program, new)]
        assert seen.exit_code is None and new.process.poll() is None
        assert sum(peaks) <= UPGRADE_MB, peaks
        assert seen.longest_wait <= ANSWER_SECONDS, seen
    finally:
        new.kill()


def test_a_connection_between_two_commands_holds_nothing_and_is_not_refused_for_memory(listener):
    """Guards against a refusal that a client at work takes for the answer to its next command."""
    at_work, partial = connect(listener), connect(listener)
    at_work.dataReceived(b"PING\r\n")
    assert listener.memory.total == 0 and not at_work.may_be_shed()
    listener.driver.clock.advance(5)
    listener.memory.limit = 1000
    partial.dataReceived(
        b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nt1\r\n$3\r\nd=1\r\n$60000\r\n" + bytes(2000)
    )
    assert at_work.end_reason is None and at_work.transport.value() == b"+PONG\r\n"
    assert partial.end_reason is EndReason.NO_MEMORY
