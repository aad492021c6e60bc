"""Idle clients that come again as soon as they are closed: room for a new one costs little, texts go on."""

import os
import resource
import selectors
import socket
import threading
from types import SimpleNamespace

import pytest
from conftest import WAIT_TIMEOUT
from test_crossings import RunningReactor, wait_until
from test_parts import Wire

from limelatch.relay import clients
from limelatch.relay.clients import (
    FULL_TABLE_CHECK_INTERVAL,
    MAX_ACCEPTS_PER_TURN,
    MAX_UNREAD_CHECKS,
    Listener,
)
from limelatch.relay.deadlines import Deadlines
from limelatch.relay.end_reason import EndReason

TABLE = 300
ASKED = b"SUBMIT 0 t1 c=report,d=9000,dest=1 x\r\n"


@pytest.fixture
def looks(monkeypatch):
    """The transports that were asked whether bytes wait, each a system call."""
    asked, waits = [], clients.waits
    monkeypatch.setattr(clients, "waits", lambda transport: asked.append(transport) or waits(transport))
    return asked


class Gate:
    """A port; whether it is read."""

    reading = True

    def stopReading(self):
        self.reading = False

    def startReading(self):
        self.reading = True


@pytest.fixture
def clock():
    return RunningReactor()


@pytest.fixture
def listener(clock):
    plan = SimpleNamespace(client_idle_timeout=20_000, client_command_timeout=20_000)
    driver = SimpleNamespace(clock=clock, deadlines=Deadlines(clock, clock), plan=plan)
    listener = Listener(driver, 40, 10_000)
    listener.port = Gate()
    return listener


def come(listener, count=1):
    made = []
    for _ in range(count):
        client = listener.buildProtocol(None)
        client.makeConnection(Wire())
        made.append(client)
    return made


def test_room_for_a_new_client_asks_few_of_the_others_whether_they_wait(listener, looks):
    """Each once asked the whole table: 1,200 idle ones were 363,000 system calls, and no text went on."""
    come(listener, 40)
    looks.clear()
    come(listener, 400)
    assert len(looks) <= 400


def test_the_one_that_was_heard_of_longest_ago_makes_room(listener, clock):
    made = come(listener, 39)
    clock.advance(0.1)
    made[0].dataReceived(b"PING")  # begun
    come(listener)
    assert [each for each in made if each.end_reason is EndReason.NO_SLOT] == [made[1]]


def test_no_connection_with_a_request_unread_makes_room_while_another_rests(listener, looks):
    made = come(listener, 39)
    for each in made[:5]:
        each.transport.peer.send(ASKED)
    come(listener, 30)
    assert not any(each.end_reason for each in made[:5])
    assert sum(each.end_reason is EndReason.NO_SLOT for each in made) == 30
    assert len(looks) <= 30 + 5


def test_where_all_have_a_request_unread_the_port_waits_until_they_are_answered(listener, clock, looks):
    """The longest silent was once closed under its request."""
    made = come(listener, 39)
    for each in made:
        each.transport.peer.send(ASKED)
    made += come(listener)
    assert (
        not listener.port.reading
        and not any(each.end_reason for each in made)
        and len(looks) == MAX_UNREAD_CHECKS
    )
    made[-1].transport.peer.send(ASKED)
    clock.pump([FULL_TABLE_CHECK_INTERVAL / 10_000] * 4)
    assert not listener.port.reading and not any(each.end_reason for each in made)
    made[7].transport.socket.recv(99)  # read and answered
    clock.pump([FULL_TABLE_CHECK_INTERVAL / 10_000] * 4)
    assert listener.port.reading and [each for each in made if each.end_reason] == [made[7]]


def test_a_client_whose_text_awaits_its_answer_gives_way_for_no_memory(listener):
    """A refusal would pass for the answer, and the client would hand in again what may be taken on."""
    handed = []
    listener.driver.submission_received = lambda text, client: handed.append(client)
    waiting, partial = come(listener, 2)
    waiting.dataReceived(ASKED + b"*5\r\n$6\r\nSUBMIT\r\n$8000\r\n" + b"x" * 7000)
    partial.dataReceived(b"*5\r\n$6\r\nSUBMIT\r\n$8000\r\n" + b"x" * 6000)
    assert handed == [waiting] and waiting.end_reason is None and partial.end_reason is EndReason.NO_SLOT
    assert b"-BUSY" not in waiting.transport.value() and b"-BUSY" in partial.transport.value()


def test_a_client_that_has_left_is_kept_by_nothing(listener, clock):
    """What closes a client that reads no more once held each for half a second after it had gone."""
    for each in come(listener, 60):
        each.connectionLost(None)
    clock.advance(0)  # the port is told what it may take in the next turn
    assert not len(listener.connections) and not listener._by_silence
    assert not any(deadline.call for _, _, deadline in listener.driver.deadlines._heap)


BACKED_OFF = 60  # seconds: what the kernel's queue had no room for is sent again after 1, 3, 7, 15 s


class Crowd:
    """Idle connections, more than the table holds; one that the relay closes comes again at once."""

    def __init__(self, program, count):
        self.address, self.descriptors = (program.address, program.port), f"/proc/{program.process.pid}/fd"
        self.over, self.selector = threading.Event(), selectors.DefaultSelector()
        self.peak = self.opened = 0
        for _ in range(count):
            self._open()
        self.threads = [threading.Thread(target=each) for each in (self._stay, self._count)]
        for each in self.threads:
            each.start()

    def _open(self):
        one = socket.socket()
        one.setblocking(False)
        one.connect_ex(self.address)
        self.opened += 1
        self.selector.register(one, selectors.EVENT_READ)

    def _stay(self):
        while not self.over.is_set():
            for key, _ in self.selector.select(0.05):
                try:
                    key.fileobj.recv(9)
                except OSError:
                    pass
                self.selector.unregister(key.fileobj)
                key.fileobj.close()
                self._open()

    def _count(self):
        while not self.over.is_set():
            self.peak = max(self.peak, len(os.listdir(self.descriptors)))

    def end(self):
        self.over.set()
        for each in self.threads:
            each.join(WAIT_TIMEOUT)
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()
        self.selector.close()


@pytest.fixture
def descriptors():
    """As many as a crowd needs on the clients' side."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_under_a_crowd_that_comes_again_texts_are_answered_and_few_connections_come_in_a_turn(
    descriptors, make_program, agent, make_host
):
    """A turn of the reactor once took 20 connections more each time, each closed only after it."""
    host, program = make_host(), make_program(limits={"disk_mb": 3, "sockets": 2 * TABLE})
    agent.list(host.address)
    program.start().socket.close()
    crowd = Crowd(program, 3 * TABLE)
    try:
        wait_until(lambda: crowd.opened > 6 * TABLE, BACKED_OFF)
        texts = [f"t{number}" for number in range(20)]
        for text in texts:
            client = program.client()
            with client.socket:
                assert client.submit(text, d=20_000) == "+OK"
        assert sorted(host.next().headers["X-Txn"] for _ in texts) == sorted(texts)
        wait_until(lambda: crowd.opened > 12 * TABLE, BACKED_OFF)
        assert crowd.peak < TABLE + 3 * MAX_ACCEPTS_PER_TURN
    finally:
        crowd.end()
    assert agent.notices.empty()
