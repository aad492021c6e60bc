"""The order of a key, and its rest, over two processes of one relay: on real processes and sockets.

A key's rest is 3 s here, far longer than a look, a start or a take-over, so that what keeps no rest shows.
"""

from __future__ import annotations

import copy
import signal
import threading
import time
from contextlib import suppress

import pytest
from conftest import SETTINGS, WAIT_TIMEOUT
from test_crossings import wait_until

from limelatch.relay.inspection import inspect_ledger

REST = 3.0  # seconds
NOTICE, CHARGE, REPORT = SETTINGS["classes"]
RESTING = SETTINGS | {"rules": SETTINGS["rules"] | {"turnGap": int(REST * 1000)}}
KEY = "00000000000000a1"
MARGIN = 0.06  # seconds: the protocol's 50 ms, and what a stand-in's thread takes to note a time
LONG = 20_000  # milliseconds
RESTS_MOST = 20_000  # milliseconds for which a client's connection may rest, however long a start takes


class Host:
    """A host that hangs on some texts and notes when each call comes and when its connection ends."""

    def __init__(self, make_host, agent) -> None:
        self.hanging: set[str] = set()
        self.refused: dict[str, str] = {}  # texts that are turned away, with the wait that is told
        self.began: dict[str, list[float]] = {}
        self.closed: dict[str, float] = {}  # when the relay gave a hanging call up
        self.came = threading.Condition()
        self.party = make_host(self._called)
        agent.list(self.party.address)

    def _called(self, request):
        text = request.headers["X-Txn"]
        with self.came:
            self.began.setdefault(text, []).append(time.monotonic())
            self.came.notify_all()
        if text in self.refused:
            request.answer(429, Retry_After=self.refused[text])
            return None
        if text not in self.hanging:
            return (200,)
        with suppress(OSError):  # a connection may be reset
            request.handler.rfile.read(1)  # returns when the relay closes the connection
        self.closed[text] = time.monotonic()
        request.handler.close_connection = True
        return None

    def call(self, text: str, wait: float = WAIT_TIMEOUT) -> float:
        """When the first call with the text came."""
        with self.came:
            assert self.came.wait_for(lambda: text in self.began, wait), f"{text} was not sent: {self.began}"
        return self.began[text][0]

    def close_of(self, text: str) -> float:
        until = time.monotonic() + WAIT_TIMEOUT
        while text not in self.closed:
            assert time.monotonic() < until, f"the call with {text} is still out"
            time.sleep(0.005)
        return self.closed[text]


class Relay:
    """One relay whose processes come and go."""

    def __init__(self, program, agent) -> None:
        self.program, self.agent = program, agent
        self.made = [program]

    def start(self):
        """The first process; a client's connection to it, which has asked before, so that it may rest."""
        client = self.program.start()
        assert client.ask("PING") == "+PONG"
        return client

    def upgrade(self, **more):
        """A process beside those that run; its connection is made by `client_of`."""
        beside = copy.copy(self.program)
        beside.process = None
        if more:
            beside.configure_file(**more)
        self.made.append(beside)
        beside.launch()
        beside.wait_for_log("event=serving")
        return beside

    def client_of_new(self):
        """A connection to the process in the seat, while both take texts."""
        seat = self.program.state / "next" / "ledger"
        for number in range(200):
            client = self.program.client()
            text = f"look{id(self)}{number}"
            if client.submit(text, d=LONG) == "+OK" and text.encode() in seat.read_bytes():
                return client
            client.socket.close()
        raise AssertionError("no connection came to the new process")

    def end(self) -> None:
        for each in self.made:
            if each.process is not None:
                each.kill()


@pytest.fixture
def relay(make_program, agent):
    relay = Relay(
        make_program(settings=RESTING, stop_least_ms=50, client_idle_ms=RESTS_MOST, log_level="debug"), agent
    )
    yield relay
    relay.end()
    print("".join(line for each in relay.made for line in each.log_lines))


@pytest.fixture
def host(make_host, agent):
    return Host(make_host, agent)


def charge(client, text, valid=LONG):
    assert client.submit(text, "charge", key=KEY, d=valid) == "+OK"


def rested(host, later, since):
    """How long after `since` the later text went, less the rest that its key has to keep."""
    return host.call(later) - since - REST + MARGIN


def test_a_rest_that_the_old_process_began_binds_the_new_one(relay, host):
    """The text whose call timed out is over, and gone from the old one's ledger, as the rest begins."""
    host.hanging = {"t1"}
    old = relay.start()
    charge(old, "t1", valid=900)
    host.call("t1")
    relay.upgrade()
    new = relay.client_of_new()
    closed = host.close_of("t1")
    assert relay.agent.notice()["ref"] == "t1"
    charge(new, "t2")
    assert rested(host, "t2", closed) >= 0


def test_calls_that_an_old_process_cuts_as_it_ends_have_their_keys_rest(make_program, agent, host):
    """Its end closes their connections; what it still writes of them must tell the rest."""
    relay = Relay(
        make_program(settings=RESTING, stop_least_ms=50, stop_ms=400, client_idle_ms=RESTS_MOST), agent
    )
    try:
        host.hanging = {"t1"}
        charge(relay.start(), "t1")
        host.call("t1")
        relay.upgrade()
        new = relay.client_of_new()
        charge(new, "t2")
        relay.program.terminate()
        closed = host.close_of("t1")
        assert rested(host, "t2", closed) >= 0
        assert agent.notice()["ref"] == "t1"
    finally:
        relay.end()


def test_the_old_process_waits_for_a_text_of_the_key_that_is_out_at_the_new_one(relay, host):
    host.hanging = {"t1"}
    old = relay.start()
    relay.upgrade()
    charge(relay.client_of_new(), "t1", valid=900)
    host.call("t1")
    charge(old, "t2")
    assert rested(host, "t2", host.close_of("t1")) >= 0


def test_texts_of_a_key_go_as_they_were_handed_in_whichever_process_took_them(relay, host):
    """The first, at the new process, is told to wait; the second is adopted from the old one meanwhile."""
    host.refused = {"t1": "2"}
    old = relay.start()
    relay.upgrade()
    new = relay.client_of_new()
    charge(new, "t1")
    host.call("t1")
    charge(old, "t2")
    charge(new, "t3")
    relay.program.kill()
    host.refused = {}
    assert host.call("t3") and len(host.began["t1"]) == 2
    assert host.began["t1"][1] < host.began["t2"][0] < host.began["t3"][0]


def test_a_new_process_that_dies_first_leaves_its_texts_to_the_old_one(relay, host):
    """The old one goes on: what the new one took gets its end there, and the key of a call out rests."""
    host.hanging = {"t1"}
    old = relay.start()
    beside = relay.upgrade()
    new = relay.client_of_new()
    charge(new, "t1")
    host.call("t1")
    charge(new, "t2")
    charge(old, "t3")
    beside.kill()
    closed = host.close_of("t1")
    assert relay.agent.notice()["ref"] == "t1"  # it may have run, and may not run twice
    assert rested(host, "t2", closed) >= 0
    assert host.call("t3") > host.call("t2") and len(host.began["t1"]) == 1


@pytest.mark.parametrize("heard", [True, False])
def test_a_restart_within_a_rest_keeps_it(relay, host, heard):
    """`heard`: whether the notice of the text that timed out was answered before the kill."""
    host.hanging = {"t1"}
    if not heard:
        relay.agent.notice_status = 500
    charge(relay.start(), "t1", valid=500)
    closed = host.close_of("t1")
    assert relay.agent.notice()["ref"] == "t1"
    if heard:
        wait_until(lambda: b"t1" not in inspect_ledger(str(relay.program.state)).entries)
    relay.program.kill()
    relay.agent.notice_status = 204
    charge(relay.start(), "t2")
    assert rested(host, "t2", closed) >= 0


def test_a_product_that_the_new_settings_have_not_still_holds_its_key(relay, host):
    """All products in order share one space of keys."""
    host.hanging = {"t1"}
    charge(relay.start(), "t1", valid=900)
    host.call("t1")
    relay.upgrade(settings=RESTING | {"classes": [NOTICE, CHARGE | {"name": "payment"}, REPORT]})
    new = relay.client_of_new()
    assert new.submit("t2", "payment", key=KEY, d=LONG) == "+OK"
    assert rested(host, "t2", host.close_of("t1")) >= 0


def test_a_third_process_after_an_upgrade_keeps_the_rest_of_the_first(relay, host):
    """Upgrade right after upgrade: the rest passes through the second process."""
    host.hanging = {"t1"}
    charge(relay.start(), "t1", valid=700)
    host.call("t1")
    second = relay.upgrade()
    closed = host.close_of("t1")
    assert relay.agent.notice()["ref"] == "t1"
    relay.program.kill()
    second.wait_for_log("event=taken-over")
    relay.upgrade()
    charge(relay.client_of_new(), "t2")
    assert rested(host, "t2", closed) >= 0


@pytest.mark.parametrize("told", ["old", "new"])
def test_a_wait_told_to_one_process_binds_the_other(relay, host, told):
    host.refused = {"t1": "2.5"}
    old = relay.start()
    relay.upgrade()
    new = relay.client_of_new()
    first, second = (old, new) if told == "old" else (new, old)
    assert first.submit("t1", "report", d=LONG) == "+OK"
    refused = host.call("t1")
    time.sleep(0.1)  # calls that arrive within 100 ms of the answer get through
    assert second.submit("t2", "report", d=LONG) == "+OK"
    assert host.call("t2") - refused >= 2.5 - MARGIN


def test_a_process_that_is_stopped_within_an_upgrade_delays_the_other_s_texts_and_ends_none(relay, host):
    """The old one stands still, a text of the key open: the new one's waits for it, and goes after it."""
    host.hanging = {"t1"}
    old = relay.start()
    charge(old, "t1", valid=3000)
    host.call("t1")
    relay.upgrade()
    new = relay.client_of_new()
    relay.program.process.send_signal(signal.SIGSTOP)
    try:
        charge(new, "t2")
        assert new.submit("t3", "report", d=LONG) == "+OK"
        host.call("t3")
        assert "t2" not in host.began
    finally:
        relay.program.process.send_signal(signal.SIGCONT)
    assert rested(host, "t2", host.close_of("t1")) >= 0


def test_a_text_that_is_handed_in_again_to_the_other_process_is_taken_on_once(relay, host):
    """Its client lost the connection with the answer; the text goes out once, and its end is one."""
    host.hanging = {"t1"}
    charge(relay.start(), "t1")
    host.call("t1")
    relay.upgrade()
    charge(relay.client_of_new(), "t1")
    relay.program.kill()
    assert relay.agent.notice()["ref"] == "t1"
    charge(relay.program.client(), "t2")  # of the same key: it goes when the first is over and has rested
    host.call("t2")
    assert len(host.began["t1"]) == 1 and relay.agent.notices.empty()
