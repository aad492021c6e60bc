"""Clients that send hundreds of commands at once: how many are carried out in a turn, and whose."""

import json
import selectors
import socket
import threading
import time
from types import SimpleNamespace

import pytest
from conftest import WAIT_TIMEOUT
from memory_rig import ANSWER_SECONDS, ROWS, SETTLED_MB, attack
from test_crossings import RunningReactor
from test_parts import SocketPairTransport

from limelatch.interface import SECOND
from limelatch.memory_plan import CONNECTION_SIZE
from limelatch.relay.client_listener import Listener
from limelatch.command_budget import (
    MAX_COMMANDS_IN_A_ROW,
    MAX_COMMANDS_PER_TURN,
    MAX_LINES_IN_A_ROW,
    MAX_LINES_PER_TURN,
    CommandBudget,
)
from limelatch.relay.end_reason import EndReason

BURST = 300  # commands that a client sends at once


class Turns:
    """Deadlines whose callbacks without a wait run in the next turn, when the test begins it."""

    def __init__(self, clock):
        self.clock, self.due, self.later = clock, [], []

    def after(self, wait, call):
        (self.later if wait else self.due).append(call)
        return SimpleNamespace(cancel=lambda: None)

    def at(self, when, call):
        return self.after(when - self.clock.now(), call)

    def run(self):
        """One turn of the reactor."""
        due, self.due = self.due, []
        for call in due:
            call()


@pytest.fixture
def turns():
    return Turns(RunningReactor())


@pytest.fixture
def listener(turns):
    plan = SimpleNamespace(client_idle_timeout=2 * SECOND, client_command_timeout=2 * SECOND)
    return Listener(SimpleNamespace(clock=turns.clock, deadlines=turns, plan=plan), 500, 10_000_000)


def connect(listener):
    """Return a new client's connection."""
    client = listener.buildProtocol(None)
    client.makeConnection(SocketPairTransport())
    return client


def answer_count(client) -> int:
    return client.transport.value().count(b"\n")


def test_one_client_s_commands_are_carried_out_over_several_turns_and_each_is_answered(listener, turns):
    client, counts = connect(listener), []
    client.dataReceived(b"PING\r\n" * BURST)
    while answer_count(client) < BURST:
        counts.append(answer_count(client))
        turns.run()
    assert counts[0] == MAX_COMMANDS_IN_A_ROW and len(counts) <= 2 + BURST // MAX_COMMANDS_PER_TURN
    assert client.transport.value() == b"+PONG\r\n" * BURST and not listener.budget


def test_a_turn_is_bounded_however_many_clients_send_at_once(listener, turns):
    """Guards against a turn of the reactor that grows with the clients: review, case 3."""
    connected = [connect(listener) for _ in range(32)]
    for client in connected:
        client.dataReceived(b"PING\r\n" * BURST)
    before = sum(map(answer_count, connected))
    assert before <= MAX_COMMANDS_PER_TURN
    while before < 32 * BURST:
        turns.run()
        after = sum(map(answer_count, connected))
        assert before < after <= before + MAX_COMMANDS_PER_TURN
        before = after


def test_a_client_with_one_command_waits_for_a_few_of_each_other_client_at_most(listener, turns):
    crowd = [connect(listener) for _ in range(32)]
    for client in crowd:
        client.dataReceived(b"PING\r\n" * BURST)
    usual = connect(listener)
    usual.dataReceived(b"PING\r\n")
    for _ in range(1 + 33 * MAX_COMMANDS_IN_A_ROW // MAX_COMMANDS_PER_TURN):
        turns.run()
    assert answer_count(usual) == 1 and max(map(answer_count, crowd)) <= 3 * MAX_COMMANDS_IN_A_ROW


def test_a_client_that_closes_its_sending_side_gets_the_answers_to_all_that_it_has_sent(listener, turns):
    client = connect(listener)
    client.dataReceived(b"PING\r\n" * BURST)
    client.readConnectionLost()
    for _ in range(BURST):
        turns.run()
    assert answer_count(client) == BURST and client.end_reason is EndReason.CLOSED_BY_PEER


def test_a_client_whose_commands_wait_is_not_closed_as_one_that_sends_too_little(listener, turns):
    client = connect(listener)
    client.dataReceived(b"PING\r\n" * BURST)
    turns.clock.advance(5)  # the relay stood still
    for check in list(turns.later):
        check()
    assert client.end_reason is None and listener.has_pending_requests()
    turns.run()
    assert answer_count(client) > MAX_COMMANDS_IN_A_ROW


def test_commands_that_wait_at_the_end_of_the_relay_are_answered(listener, turns):
    """They were read: with a close and no answer they would be lost."""
    client = connect(listener)
    client.dataReceived(b"PING\r\n" * BURST)
    listener.stop_reading()
    assert answer_count(client) == BURST


def test_a_connection_that_ends_while_it_waits_is_forgotten(listener, turns):
    client = connect(listener)
    client.dataReceived(b"PING\r\n" * BURST)
    assert client in listener.budget
    client.connectionLost(None)
    assert not listener.budget and listener.memory.total == 0
    turns.run()


def test_connections_go_on_in_the_order_in_which_they_began_to_wait():
    budget: CommandBudget[str] = CommandBudget()
    for _ in range(MAX_COMMANDS_PER_TURN):
        budget.count_command("a")
    assert budget.must_wait("b") and budget.must_wait("a") and budget.next_connection() is None
    budget.begin_turn()
    assert [budget.next_connection(), budget.next_connection(), budget.next_connection()] == ["b", "a", None]
    assert not budget.must_wait("a")


FLOOD_COMMANDS = b"SUBMIT 0 9b1f03aa c=nosuch,t=acme,d=8000,k=5c0f,dest=1 x\r\n" * BURST
FLOOD_CLIENTS = 32


class Flood:
    """Clients that send hundreds of commands of an unknown class at once, and again once all are answered."""

    def __init__(self, address):
        self.address, self.stopped = address, threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *error):
        self.stopped.set()
        self.thread.join(WAIT_TIMEOUT)

    def _run(self):
        selector, unanswered = selectors.DefaultSelector(), {}
        for _ in range(FLOOD_CLIENTS):
            connection = socket.create_connection(self.address, timeout=WAIT_TIMEOUT)
            connection.sendall(FLOOD_COMMANDS)
            selector.register(connection, selectors.EVENT_READ)
            unanswered[connection] = BURST
        while not self.stopped.is_set():
            for key, _ in selector.select(0.1):
                unanswered[key.fileobj] -= key.fileobj.recv(1 << 16).count(b"\n")
                if unanswered[key.fileobj] <= 0:
                    key.fileobj.sendall(FLOOD_COMMANDS)
                    unanswered[key.fileobj] = BURST
        for connection in unanswered:
            connection.close()


def test_notices_come_in_time_while_clients_send_hundreds_of_commands_at_once(make_program, agent, make_host):
    """Guards against notices that wait until a crowd's commands are answered: review, case 3."""
    host = make_host(lambda request: request.hang())
    agent.list(host.address)
    program = make_program(notice_ms=250)
    client, validity, due = program.start(), 3.0, {}
    for number in range(20):
        submitted_at = time.monotonic()
        assert client.submit(f"t{number}", "notice", d=int(validity * 1000)) == "+OK"
        due[f"t{number}"] = submitted_at + validity + 0.3
        time.sleep(0.05)
    with Flood((program.address, program.port)):
        late = {}
        while len(late) < len(due):
            text = agent.notice()["ref"]
            late.setdefault(text, time.monotonic() - due[text])
    assert max(late.values()) < 0, json.dumps(late)


def test_a_connection_whose_commands_wait_is_not_closed_to_make_room(turns):
    """Its commands were read: a close without their answers would lose them."""
    plan = SimpleNamespace(client_idle_timeout=2 * SECOND, client_command_timeout=2 * SECOND)
    listener = Listener(SimpleNamespace(clock=turns.clock, deadlines=turns, plan=plan), 3, 10_000_000)
    listener.port = SimpleNamespace(stopReading=lambda: None, startReading=lambda: None)
    waiting, idle = connect(listener), connect(listener)
    waiting.dataReceived(b"PING\r\n" * BURST)
    listener.note_activity(idle)  # so that the waiting one has been silent for longest
    connect(listener)
    assert waiting.end_reason is None and idle.end_reason is EndReason.NO_SLOT


def test_the_rest_of_a_command_behind_commands_that_waited_has_its_whole_time(listener, turns):
    client = connect(listener)
    client.dataReceived(b"PING\r\n" * BURST + b"PIN")
    turns.clock.advance(5)  # the relay stood still
    while listener.budget:
        turns.run()
    for check in list(turns.later):
        check()
    assert answer_count(client) == BURST and client.end_reason is None


def test_lines_that_are_no_command_count_towards_a_turn_too(listener, turns):
    connected = [connect(listener) for _ in range(60)]
    for client in connected:
        client.dataReceived(b"\r\n" * 4000)
    usual, unread = connect(listener), sum(len(each.inbound) for each in connected) // 2
    usual.dataReceived(b"PING\r\n")
    assert 60 * 4000 - unread <= MAX_LINES_PER_TURN
    for _ in range(1 + 61 * MAX_LINES_IN_A_ROW // MAX_LINES_PER_TURN):
        turns.run()
        before, unread = unread, sum(len(each.inbound) for each in connected) // 2
        assert before - unread <= MAX_LINES_PER_TURN
    assert answer_count(usual) == 1


@pytest.mark.parametrize("row", ["empty lines, crowd", "unknown classes, 300 clients", "pings, one client"])
def test_others_are_answered_in_time_while_clients_write_at_full_speed(make_program, agent, make_host, row):
    shape, options, _ = ROWS[row]
    host = make_host()
    agent.list(host.address)
    program = make_program()
    program.start().socket.close()
    seen = attack(program, shape, *options)
    assert seen.longest_wait <= ANSWER_SECONDS and set(seen.answers) == {"+OK"}, seen
    assert seen.peak <= seen.rest + SETTLED_MB + options[1] * CONNECTION_SIZE / 1e6, seen
