"""Restarts with retry windows of one second: no effect twice, none lost, no final answer too late."""

from __future__ import annotations

import errno
import os
import time
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import pytest
from conftest import SETTINGS, WAIT_TIMEOUT, S
from test_crossings import RunningReactor, wait_until
from test_parts import VALID_CONFIG

from limelatch.configuration import plan_of
from limelatch.configuration.platform_form import read_platform
from limelatch.storage_gate import RETRY_AFTER
from limelatch.interface import MS, Result
from limelatch.relay.driver import Driver
from limelatch.relay.host_calls import Call
from limelatch.relay.host_outcomes import Outcome
from limelatch.relay.inspection import view_of_bytes

WINDOW = S  # in which hosts recognise a repeat
NOTICE, CHARGE, REPORT = SETTINGS["classes"]
SHORT = SETTINGS | {
    "classes": [
        NOTICE | {"dedupWindow": WINDOW // MS},
        CHARGE,
        REPORT,
        NOTICE | {"name": "anywhere", "group": "all", "dedupWindow": WINDOW // MS},
        NOTICE | {"name": "ordered", "oneAtATime": True},
    ]
}
RESTARTS = pytest.mark.parametrize("restart", [3 * S // 10, 9 * S // 10, 11 * S // 10, 3 * S])
KILLED_AFTER = 50 * MS  # that calls are in flight before the kill


class UnconnectedReactor(RunningReactor):
    """A reactor whose connections never come up."""

    def connectTCP(self, *arguments, **more):
        return SimpleNamespace(stopConnecting=lambda: None)


class RelayLife:
    """One process of a relay after another on one state directory, and a host that recognises repeats."""

    def __init__(self, state_dir):
        self.clock, self.state_dir, self.driver = UnconnectedReactor(), state_dir, None
        self.clock.rightNow = 1_000.0
        # Calls; first run by idempotency key and zone; effects by text.
        self.sent, self.ran, self.effects = [], {}, Counter()
        self.connect_delay = 0  # until a connection comes up

    def start(self, zones=("a",), settings=SHORT):
        """Starts a process that has the host list at once, with one host in each zone."""
        plan = plan_of(read_platform(VALID_CONFIG | {"settings": settings, "state": str(self.state_dir)})[0])
        self.driver = driver = Driver(plan, self.clock, self.clock)
        self.calls_in_flight, self.ended = [], {}
        driver.pool.send = self.send
        driver.notifier.add_notice = lambda text, notice: self.ended.setdefault(text, notice["result"])
        driver.start()
        driver.ready = True
        driver.catalog.load_known_list(
            {
                "index": 1,
                "snapshot": True,
                "endpoints": [
                    {
                        "name": zone,
                        "address": "127.0.0.1:1",
                        "zone": zone,
                        "type": plan.names.kinds[0],
                        "group": 1,
                        "status": "active",
                    }
                    for zone in zones
                ],
            }
        )
        driver.catalog.is_fresh = True
        driver.turn()
        return self

    def send(self, host, texts):
        """Stands in for the connection pool: the host runs each text as it is sent."""
        call = Call(host, texts, self.clock.now())
        self.clock.rightNow += self.connect_delay / S
        now = self.clock.now()
        for each in texts:
            if not self.driver.may_send(now, each.text, host):
                self.driver.submit_ended(call, each, Outcome(Result.NOT_SENT))
        for each in [one for one in texts if self.driver.may_send(now, one.text, host)]:
            assert self.driver.start_submit(call, each)
            self.sent.append((now, each.text, host))
            self.calls_in_flight.append((call, each))
            ran_at = self.ran.get((each.idempotency_key, host))
            if not ran_at or not each.idempotency_key or now - ran_at >= WINDOW:
                self.ran[each.idempotency_key, host] = now
                self.effects[each.text] += 1

    def submit(self, text, product, key=b""):
        """A client submits a text, which is accepted."""
        client = SimpleNamespace(answers=[])
        client.answer = client.answers.append
        submission = SimpleNamespace(
            id=text,
            destination=1,
            product=product,
            customer=b"acme",
            valid_for=8 * S,
            key=key,
            idempotency_key=b"m-" + text,
            body=b"x",
        )
        self.driver.submission_received(submission, client)
        self.driver.turn()
        assert client.answers == ["+OK"]

    def answer_calls(self, result):
        """All calls in flight get this answer."""
        for call, outgoing in self.calls_in_flight:
            self.driver.submit_ended(call, outgoing, Outcome(result, result is Result.DELIVERED))
        self.calls_in_flight = []

    def kill_and_restart(self, delay, **more):
        """The process is killed, and the next one starts on its state directory after `delay`."""
        self.driver.ledger.close()
        self.clock.rightNow += delay / S
        return self.start(**more)

    def calls(self, text):
        """The hosts that the text was sent to."""
        return [host for _, each, host in self.sent if each == text]


@pytest.fixture
def life(tmp_path):
    life = RelayLife(tmp_path).start()
    yield life
    life.driver.ledger.close()


@RESTARTS
def test_a_call_in_flight_at_a_kill_is_repeated_within_its_window_or_finished_at_once(life, restart):
    for text, product in ((b"n", b"notice"), (b"y", b"anywhere"), (b"c", b"charge"), (b"r", b"report")):
        life.submit(text, product)
    life.clock.rightNow += KILLED_AFTER / S
    life.kill_and_restart(restart)
    repeated = restart + KILLED_AFTER < WINDOW * 9 // 10  # the end of the window is kept free
    assert life.calls(b"r") == [b"a", b"a"] and life.calls(b"c") == [b"a"]
    assert len(life.calls(b"n")) == len(life.calls(b"y")) == 1 + repeated
    assert life.ended == {b"c": "dead"} | ({} if repeated else {b"n": "dead", b"y": "bounced"})
    assert all(life.effects[text] == 1 for text in (b"n", b"y", b"c"))
    life.answer_calls(Result.DELIVERED)
    assert set(life.driver.accepted) == set(life.ended)  # nothing is lost, and nothing else is open


@pytest.mark.parametrize("delay", [S // 2, 7 * S // 10])
def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_sent(life, delay):
    life.submit(b"n", b"notice")
    life.submit(b"y", b"anywhere")
    life.connect_delay = delay
    life.kill_and_restart(3 * S // 10)
    for _ in range(50):
        life.clock.rightNow += 0.01
        life.driver.turn()
    in_time = delay + 3 * S // 10 < WINDOW
    assert len(life.calls(b"n")) == 1 + in_time and life.effects[b"n"] == life.effects[b"y"] == 1
    assert life.ended.get(b"n") == (None if in_time else "dead")


@RESTARTS
def test_a_text_that_certainly_has_not_run_is_sent_after_any_restart(life, restart):
    life.submit(b"refused", b"notice")
    life.answer_calls(Result.FULL)
    life.clock.rightNow += KILLED_AFTER / S
    life.kill_and_restart(restart)
    for _ in range(200):
        life.clock.rightNow += 0.02
        life.driver.turn()
    assert life.calls(b"refused") == [b"a", b"a"] and not life.ended


@RESTARTS
def test_after_two_kills_the_window_counts_from_the_first_submit(life, restart):
    """The window begins with the first submit that may have run, whichever process made it."""
    life.submit(b"n", b"notice")
    life.clock.rightNow += KILLED_AFTER / S
    life.kill_and_restart(3 * S // 10)
    assert life.calls(b"n") == [b"a", b"a"]
    life.kill_and_restart(restart)
    again = KILLED_AFTER + 3 * S // 10 + restart < WINDOW * 9 // 10
    assert len(life.calls(b"n")) == 2 + again and (b"n" in life.ended) != again
    assert life.effects[b"n"] == 1


def restart_in_another_zone(life, restart):
    """The next process has a host in another zone alone: checks that it repeats there only what it may."""
    life.kill_and_restart(restart, zones=("b",))
    inside = restart < WINDOW * 9 // 10
    assert life.calls(b"n") == [b"a"] and len(life.calls(b"y")) == 1 + inside
    life.clock.rightNow += max(0, WINDOW - restart) / S
    life.driver.turn()
    assert life.ended[b"n"] == "dead" and life.ended.get(b"y") == (None if inside else "bounced")


@RESTARTS
def test_a_text_is_not_repeated_in_another_zone(life, restart):
    """It waits for a host in its own zone until the window ends, and no longer."""
    life.submit(b"n", b"notice")
    life.submit(b"y", b"anywhere")
    restart_in_another_zone(life, restart)


def refuse_in_doubt(life):
    """All calls in flight are refused, by responses that may have belonged to other calls."""
    calls = life.calls_in_flight
    life.answer_calls(Result.FULL)
    for call, outgoing in calls:
        life.driver.submit_doubted(call, outgoing)


@RESTARTS
def test_a_text_whose_refusal_was_in_doubt_is_not_repeated_in_another_zone_after_a_kill(life, restart):
    life.submit(b"n", b"notice")
    life.submit(b"y", b"anywhere")
    refuse_in_doubt(life)
    restart_in_another_zone(life, restart)


def test_a_doubt_s_cooldown_of_a_key_is_in_the_ledger_until_a_later_one_after_its_end(life):
    for number, text in enumerate((b"c", b"d")):
        life.submit(text, b"ordered", key=b"k%d" % number)
        refuse_in_doubt(life)
        assert b"k%d" % number in life.driver.ledger.state.cooldowns
        life.clock.rightNow += 1.0
        life.driver.turn()
        life.answer_calls(Result.DELIVERED)
    ledger = life.driver.ledger
    assert list(ledger.state.cooldowns) == [b"k1"]
    view = view_of_bytes("ledger", Path(ledger.path).read_bytes())
    assert view.problems == [] and view.entries == ledger.entries


def test_a_doubt_about_an_earlier_submit_leaves_the_present_one_in_flight(life):
    life.submit(b"n", b"notice")
    [first] = life.calls_in_flight
    life.answer_calls(Result.FULL)
    while len(life.calls(b"n")) < 2:
        life.clock.rightNow += 0.02
        life.driver.turn()
    life.driver.submit_doubted(*first)
    entry = life.driver.ledger.entries[b"n"]
    assert entry.in_flight and (entry.first_run_at, entry.submit_count) == (first[0].sent_at, 2)
    view = view_of_bytes("ledger", Path(life.driver.ledger.path).read_bytes())
    assert view.problems == [] and view.entries[b"n"] == entry


@pytest.mark.parametrize("product", ["notice", "anywhere"])
def test_a_process_killed_within_the_window_repeats_within_it_or_answers(
    make_program, agent, make_host, product
):
    """On sockets. Whether the start is quick enough depends on the machine; exactly one of both happens."""
    host, program = make_host(lambda request: request.hang()), make_program(settings=SHORT)
    agent.list(host.address)
    program.start().submit("t1", product, d=20_000)
    first = host.next()
    program.kill()
    host.reply = lambda request: (200,)
    client = program.start()
    assert client.submit("t2", "report") == "+OK"
    calls = [host.next()]
    if calls[0].headers["X-Txn"] == "t1":
        assert calls[0].at - first.at < WINDOW / S
        assert host.next().headers["X-Txn"] == "t2" and agent.notices.empty()
    else:
        assert agent.notice()["result"] == ("dead" if product == "notice" else "bounced")
        assert host.requests.empty()


@pytest.mark.parametrize("product", ["notice", "anywhere"])
def test_a_process_restarted_after_the_window_finishes_the_text_at_once(
    make_program, agent, make_host, product
):
    host, program = make_host(lambda request: request.hang()), make_program(settings=SHORT)
    agent.list(host.address)
    program.start().submit("t1", product, d=20_000)
    first = host.next()
    program.kill()
    wait_until(lambda: time.monotonic() > first.at + 1.1 * WINDOW / S)
    host.reply = lambda request: (200,)
    client = program.start()
    notice = agent.notices.get(timeout=WAIT_TIMEOUT)
    assert notice["ref"] == "t1" and notice["result"] == ("dead" if product == "notice" else "bounced")
    client.submit("t2", "report")
    assert host.next().headers["X-Txn"] == "t2" and host.requests.empty()


def end_early_unrecorded(life, monkeypatch):
    """A refused text without a retry token is finished early, while the state directory can't be written."""

    def refuse(file, raw):
        raise OSError(errno.EIO, "Input/output error")

    life.submit(b"r", b"report")
    life.driver.policy.destinations[1].tokens = 0
    monkeypatch.setattr(os, "write", refuse)
    life.answer_calls(Result.FULL)
    life.driver.turn()
    assert life.ended == {}


@pytest.mark.parametrize("recovers", [True, False])
def test_an_early_final_answer_waits_for_its_record_while_writes_fail(life, monkeypatch, recovers):
    """No retry token is left. After a kill without the record a restart would send the text after its end."""
    end_early_unrecorded(life, monkeypatch)
    if recovers:
        monkeypatch.undo()
        life.clock.advance(RETRY_AFTER / S)
    else:
        life.clock.advance((8 * S - KILLED_AFTER) / S)
        assert life.ended == {}
        life.clock.advance(KILLED_AFTER / S)
    assert life.ended == {b"r": "bounced"}


def test_a_text_open_at_a_kill_while_writes_fail_is_sent_again_and_finished_once(life, monkeypatch):
    end_early_unrecorded(life, monkeypatch)
    monkeypatch.undo()
    life.kill_and_restart(S // 2)
    assert life.calls(b"r") == [b"a", b"a"] and life.ended == {}
