"""Idle clients may fill the descriptors: catalog, hosts, platform and ledger always have theirs."""

import os
import queue
import selectors
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from conftest import WAIT_TIMEOUT, Agent, Client, Program
from test_crossings import ListenerDriver, RunningReactor, wait_until
from test_parts import GOOD, Wire

from limelatch.configuration import plan_of
from limelatch.configuration.plan import RESERVED_DESCRIPTORS, MIN_SOCKETS, DescriptorShares
from limelatch.configuration.platform_form import read_platform
from limelatch.relay.clients import Listener
from limelatch.relay.operator_server import OperatorServer

TOLD_WITHIN = 6.0  # seconds after which a change counts as told
TRIES = 8  # at discovery that are refused while clients crowd the relay


def test_the_shares_of_all_parties_fit_into_the_descriptors():
    for sockets in (*range(MIN_SOCKETS, 2000), 4096, 1 << 20):
        shares = DescriptorShares.of(sockets)
        taken = (
            shares.max_clients + shares.hosts + shares.closing + 2 * shares.operators + RESERVED_DESCRIPTORS
        )
        assert taken <= sockets and shares.clients == sockets // 2 < shares.max_clients
        assert shares.hosts >= 6 and shares.closing >= 2 and shares.operators >= 1
        assert sockets < 400 or shares.hosts == sockets // 4


def test_a_burst_in_one_turn_takes_no_more_descriptors_than_clients_may_have():
    """Those that make room are closed only once the reactor has gone round."""
    listener, made = Listener(ListenerDriver(RunningReactor()), 10, 10_000, 14), []
    for _ in range(100):
        if (client := listener.buildProtocol(Peer)) is not None:
            client.makeConnection(Wire())
            made.append(client)
    assert len(made) == listener.open == 14 and sum(each.end_reason is None for each in made) == 9
    for each in made:
        if each.end_reason is not None:
            each.connectionLost(None)
    assert listener.open == 9 and listener.buildProtocol(Peer) is not None


def test_a_burst_at_the_operators_door_takes_no_more_either():
    operator_server, made = OperatorServer(ListenerDriver(RunningReactor()), None, 2), []
    for _ in range(100):
        if (caller := operator_server.buildProtocol(Peer)) is not None:
            caller.makeConnection(Wire())
            made.append(caller)
    assert len(made) == operator_server.open == 4
    for each in made[:2]:
        each.connectionLost(None)
    assert operator_server.open == 2 and operator_server.buildProtocol(Peer) is not None


class Peer:
    host = "127.0.0.1"


class Tight(Program):
    """A relay's process that may hold so many descriptors."""

    def __init__(self, folder, agent, most, sockets):
        gone = {
            "name": "s-0",
            "address": "127.0.0.1:1",
            "zone": "a",
            "type": "single",
            "group": 1,
            "status": "leaving",
            "weight": 50.0,
            "since_ms": 0,
        }  # texts are taken on, and none can go
        super().__init__(
            folder,
            agent,
            limits={"disk_mb": 3, "sockets": sockets},
            reconnect_ms=250,
            known={"index": 1, "snapshot": True, "endpoints": [gone]},
        )
        self.most, self.lines = most, []

    def launch(self):
        self.process = subprocess.Popen(
            ["sh", "-c", f"ulimit -n {self.most} && exec {sys.executable} -m limelatch.relay"],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"RELAY_CONFIG": str(self.file)},
            cwd=Path(__file__).parent.parent,
        )
        self.log = queue.Queue()
        threading.Thread(target=self._read, args=(self.process,), daemon=True).start()

    def _read(self, process):
        for line in process.stderr:
            self.lines.append(line)
            self.log.put(line)


class Crowd:
    """More idle connections than there are descriptors: half of them ask PING, and say nothing more. One that
    the relay closes comes again at once."""

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
        asks = selectors.EVENT_WRITE if self.opened % 2 else 0
        self.selector.register(one, selectors.EVENT_READ | asks)

    def _stay(self):
        while not self.over.is_set():
            for key, events in self.selector.select(0.1):
                try:
                    if events & selectors.EVENT_WRITE:
                        key.fileobj.send(b"PING\r\n")
                        self.selector.modify(key.fileobj, selectors.EVENT_READ)
                    elif not key.fileobj.recv(99):
                        raise ConnectionResetError
                except OSError:
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


class Place:
    """Discovery's address; nobody listens there yet."""

    def __init__(self):
        self.held = socket.socket()
        self.held.bind(("127.0.0.1", 0))
        self.port = self.held.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def back(self, host):
        """Discovery with this host on its list."""
        self.held.close()
        port = self.port

        class Back(Agent):
            def server_bind(self):
                self.server_address = ("127.0.0.1", port)
                self.list(host)
                super().server_bind()

        return Back()


@pytest.fixture
def tight(tmp_path):
    """Makes a relay whose discovery refuses; what a test has begun is ended with it."""
    made = []

    def make(most, sockets):
        place = Place()
        program = Tight(tmp_path, place, most, sockets)
        program.start()
        made.extend([program.kill, (crowd := Crowd(program, most + 30)).end])
        return program, place, crowd

    yield make
    for end in reversed(made):
        end()


def hand_in(program, text):
    """What a new client is answered; nothing where the relay turns its connection away."""
    try:
        client = Client((program.address, program.port))
        with client.socket:
            return client.submit(text, d=14_000)
    except OSError:
        return ""


@pytest.mark.parametrize("most, sockets", [(64, 64), (128, 128), (100, 1024)])
def test_with_idle_clients_at_the_limit_the_list_is_read_and_texts_are_delivered(
    tight, make_host, most, sockets
):
    """At a limit below the configured one clients once got it all; at the same one bursts did, for a turn."""
    host, (program, place, crowd) = make_host(), tight(most, sockets)
    answers = {text: hand_in(program, text) for text in map("d{}".format, range(12))}
    for _ in range(TRIES):
        program.wait_for_log("event=catalog-lost why=refused")
    back_at = time.monotonic()
    agent = place.back(host.address)
    try:
        assert agent.requests.get(timeout=WAIT_TIMEOUT).at - back_at < TOLD_WITHIN
        first = host.next()
        assert first.at - back_at < TOLD_WITHIN
        answers |= {text: hand_in(program, text) for text in map("b{}".format, range(12))}
        taken = {text for text, answer in answers.items() if answer == "+OK"}
        got = {first.headers["X-Txn"]}
        wait_until(
            lambda: (
                got.update(each.headers["X-Txn"] for each in iter(lambda: next_of(host), None))
                or got >= taken
            )
        )
        assert crowd.peak < most, f"{crowd.opened} connections were opened"
        assert agent.notices.empty() and set(answers.values()) <= {"+OK", "-BUSY", ""} and len(taken) >= 20
        assert not [line for line in program.lines if "EMFILE" in line or "many open files" in line]
    finally:
        agent.released.set()
        agent.shutdown()


def next_of(host):
    try:
        return host.requests.get_nowait()
    except queue.Empty:
        return None


def test_a_relay_with_too_few_descriptors_says_so_and_ends(tmp_path):
    program = Tight(tmp_path, Place(), MIN_SOCKETS - 1, 1024)
    program.launch()
    try:
        assert program.process.wait(WAIT_TIMEOUT) == 2
    finally:
        program.kill()
    wait_until(lambda: any("64 descriptors are needed" in line for line in program.lines))


def test_shares_are_those_of_the_configuration(tmp_path):
    raw = GOOD | {"state": str(tmp_path), "limits": {"sockets": 1024}}
    assert (
        plan_of(read_platform(raw)[0]).shares
        == DescriptorShares.of(1024)
        == DescriptorShares(256, 64, 16, 512, 652)
    )
