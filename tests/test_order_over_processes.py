"""The order and cooldown of an ordering key over two processes of one relay, on real processes and sockets.

The cooldown is 3 s here, far longer than a poll, a start or a takeover, so a missing cooldown shows.
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

COOLDOWN = 3.0  # seconds
NOTICE, CHARGE, REPORT = SETTINGS["classes"]
COOLDOWN_SETTINGS = SETTINGS | {"rules": SETTINGS["rules"] | {"turnGap": int(COOLDOWN * 1000)}}
KEY = "00000000000000a1"
MARGIN = (
    0.06  # seconds: the protocol's 50 ms, and the time that a stand-in's thread takes to note the arrival
)
LONG = 20_000  # milliseconds of validity
MAX_IDLE = 20_000  # milliseconds that a client's connection may be idle, however long a start takes


class Host:
    """A host that hangs on some texts, and notes when each call comes and its connection ends."""

    def __init__(self, make_host, agent) -> None:
        self.hanging: set[str] = set()
        self.refused: dict[str, str] = {}  # texts that are refused, with the Retry-After
        self.began: dict[str, list[float]] = {}
        self.closed: dict[str, float] = {}  # when the relay gave up a hanging call
        self.called = threading.Condition()
        self.server = make_host(self._called)
        agent.list(self.server.address)

    def _called(self, request):
        text = request.headers["X-Txn"]
        with self.called:
            self.began.setdefault(text, []).append(time.monotonic())
            self.called.notify_all()
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
        """Waits for the first call with the text; when it came."""
        with self.called:
            assert self.called.wait_for(lambda: text in self.began, wait), (
                f"{text} was not sent: {self.began}"
            )
        return self.began[text][0]

    def close_of(self, text: str) -> float:
        """Waits until the relay gives up the hanging call with the text; when it did."""
        deadline = time.monotonic() + WAIT_TIMEOUT
        while text not in self.closed:
            assert time.monotonic() < deadline, f"the call with {text} is still in flight"
            time.sleep(0.005)
        return self.closed[text]


class Relay:
    """One relay with several processes, one after another or together."""

    def __init__(self, program, agent) -> None:
        self.program, self.agent = program, agent
        self.programs = [program]

    def start(self):
        """Starts the first process; a client's connection to it that has had an answer, so it may be idle."""
        client = self.program.start()
        assert client.ask("PING") == "+PONG"
        return client

    def upgrade(self, **more):
        """Starts a further process; `client_of_new` makes a connection to it."""
        new_program = copy.copy(self.program)
        new_program.process = None
        if more:
            new_program.configure_file(**more)
        self.programs.append(new_program)
        new_program.launch()
        new_program.wait_for_log("event=serving")
        return new_program

    def client_of_new(self):
        """A connection to the standby process, while both accept texts."""
        standby = self.program.state / "next" / "ledger"
        for number in range(200):
            client = self.program.client()
            text = f"look{id(self)}{number}"
            if client.submit(text, d=LONG) == "+OK" and text.encode() in standby.read_bytes():
                return client
            client.socket.close()
        raise AssertionError("no connection came to the new process")

    def end(self) -> None:
        for each in self.programs:
            if each.process is not None:
                each.kill()


@pytest.fixture
def relay(make_program, agent):
    relay = Relay(
        make_program(
            settings=COOLDOWN_SETTINGS, stop_least_ms=50, client_idle_ms=MAX_IDLE, log_level="debug"
        ),
        agent,
    )
    yield relay
    relay.end()
    print("".join(line for each in relay.programs for line in each.log_lines))


@pytest.fixture
def host(make_host, agent):
    return Host(make_host, agent)


def charge(client, text, valid=LONG):
    """Submits a text in order, that may run only once."""
    assert client.submit(text, "charge", key=KEY, d=valid) == "+OK"


def time_after_cooldown(host, later, since):
    """How long after the cooldown, which began at `since`, the later text was sent; negative if during it."""
    return host.call(later) - since - COOLDOWN + MARGIN


def test_a_cooldown_that_the_old_process_began_applies_to_the_new_one(relay, host):
    """The text whose call timed out is finished and out of the old ledger as the cooldown begins."""
    host.hanging = {"t1"}
    old = relay.start()
    charge(old, "t1", valid=900)
    host.call("t1")
    relay.upgrade()
    new = relay.client_of_new()
    closed = host.close_of("t1")
    assert relay.agent.notice()["ref"] == "t1"
    charge(new, "t2")
    assert time_after_cooldown(host, "t2", closed) >= 0


def test_calls_that_an_ending_process_cuts_off_begin_cooldowns(make_program, agent, host):
    """It closes their connections as it ends; its last records have to contain the cooldowns."""
    relay = Relay(
        make_program(settings=COOLDOWN_SETTINGS, stop_least_ms=50, stop_ms=400, client_idle_ms=MAX_IDLE),
        agent,
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
        assert time_after_cooldown(host, "t2", closed) >= 0
        assert agent.notice()["ref"] == "t1"
    finally:
        relay.end()


def test_the_old_process_waits_for_a_text_of_the_key_in_flight_at_the_new_one(relay, host):
    host.hanging = {"t1"}
    old = relay.start()
    relay.upgrade()
    charge(relay.client_of_new(), "t1", valid=900)
    host.call("t1")
    charge(old, "t2")
    assert time_after_cooldown(host, "t2", host.close_of("t1")) >= 0


def test_texts_of_a_key_are_sent_in_the_order_of_submission_whichever_process_accepted_them(relay, host):
    """The first, at the new process, is refused with a wait; meanwhile the second is adopted."""
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
    """The old process finishes the texts of the new one, and keeps the cooldown of a call in flight."""
    host.hanging = {"t1"}
    old = relay.start()
    new_program = relay.upgrade()
    new = relay.client_of_new()
    charge(new, "t1")
    host.call("t1")
    charge(new, "t2")
    charge(old, "t3")
    new_program.kill()
    closed = host.close_of("t1")
    assert relay.agent.notice()["ref"] == "t1"  # it may have run, and must not run twice
    assert time_after_cooldown(host, "t2", closed) >= 0
    assert host.call("t3") > host.call("t2") and len(host.began["t1"]) == 1


@pytest.mark.parametrize("is_confirmed", [True, False])
def test_a_restart_during_a_cooldown_keeps_it(relay, host, is_confirmed):
    """`is_confirmed`: whether the notice of the text that timed out was answered before the kill."""
    host.hanging = {"t1"}
    if not is_confirmed:
        relay.agent.notice_status = 500
    charge(relay.start(), "t1", valid=500)
    closed = host.close_of("t1")
    assert relay.agent.notice()["ref"] == "t1"
    if is_confirmed:
        wait_until(lambda: b"t1" not in inspect_ledger(str(relay.program.state)).entries)
    relay.program.kill()
    relay.agent.notice_status = 204
    charge(relay.start(), "t2")
    assert time_after_cooldown(host, "t2", closed) >= 0


def test_a_product_missing_in_the_new_settings_still_blocks_its_key(relay, host):
    """All products in order share one space of ordering keys."""
    host.hanging = {"t1"}
    charge(relay.start(), "t1", valid=900)
    host.call("t1")
    relay.upgrade(settings=COOLDOWN_SETTINGS | {"classes": [NOTICE, CHARGE | {"name": "payment"}, REPORT]})
    new = relay.client_of_new()
    assert new.submit("t2", "payment", key=KEY, d=LONG) == "+OK"
    assert time_after_cooldown(host, "t2", host.close_of("t1")) >= 0


def test_a_third_process_after_an_upgrade_keeps_the_cooldown_of_the_first(relay, host):
    """One upgrade right after another: the cooldown is passed on by the second process."""
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
    assert time_after_cooldown(host, "t2", closed) >= 0


@pytest.mark.parametrize("refused", ["old", "new"])
def test_a_wait_that_a_host_asked_of_one_process_applies_to_the_other(relay, host, refused):
    host.refused = {"t1": "2.5"}
    old = relay.start()
    relay.upgrade()
    new = relay.client_of_new()
    first, second = (old, new) if refused == "old" else (new, old)
    assert first.submit("t1", "report", d=LONG) == "+OK"
    refused_at = host.call("t1")
    time.sleep(0.1)  # calls that arrive within 100 ms of the answer get through
    assert second.submit("t2", "report", d=LONG) == "+OK"
    assert host.call("t2") - refused_at >= 2.5 - MARGIN


def test_a_process_paused_during_an_upgrade_delays_texts_of_the_other_and_ends_none(relay, host):
    """The old process is stopped with an open text of the key: the new one's text is sent after it."""
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
    assert time_after_cooldown(host, "t2", host.close_of("t1")) >= 0


def test_a_text_submitted_again_to_the_other_process_is_accepted_once(relay, host):
    """Its client lost the connection and the answer; the text is sent once and gets one final answer."""
    host.hanging = {"t1"}
    charge(relay.start(), "t1")
    host.call("t1")
    relay.upgrade()
    charge(relay.client_of_new(), "t1")
    relay.program.kill()
    assert relay.agent.notice()["ref"] == "t1"
    # Of the same key: sent once the first is finished and its cooldown is over.
    charge(relay.program.client(), "t2")
    host.call("t2")
    assert len(host.began["t1"]) == 1 and relay.agent.notices.empty()
