"""Restarts beside windows for repeats of one second: no effect twice, none lost, no answer too late."""

from __future__ import annotations

import errno
import os
import time
from collections import Counter
from types import SimpleNamespace

import pytest
from conftest import SETTINGS, WAIT_TIMEOUT, S
from test_crossings import RunningReactor, wait_until
from test_parts import GOOD

from limelatch.configuration import plan_of
from limelatch.configuration.platform_form import read_platform
from limelatch.storage_gate import RETRY_AFTER
from limelatch.interface import MS, Result
from limelatch.relay.driver import Driver
from limelatch.relay.hosts import Call, Outcome

WINDOW = S
NOTICE, CHARGE, REPORT = SETTINGS["classes"]
SHORT = SETTINGS | {
    "classes": [
        NOTICE | {"dedupWindow": WINDOW // MS},
        CHARGE,
        REPORT,
        NOTICE | {"name": "anywhere", "group": "all", "dedupWindow": WINDOW // MS},
    ]
}
RESTARTS = pytest.mark.parametrize("restart", [3 * S // 10, 9 * S // 10, 11 * S // 10, 3 * S])
KILLED_AFTER = 50 * MS  # what was sent is out for so long


class Alone(RunningReactor):
    """A reactor whose connections never come up; nothing else listens."""

    def connectTCP(self, *arguments, **more):
        return SimpleNamespace(stopConnecting=lambda: None)


class Life:
    """One process of a relay after another on one folder, and a host that knows repeats for the window."""

    def __init__(self, folder):
        self.clock, self.folder, self.driver = Alone(), folder, None
        self.clock.rightNow = 1_000.0
        self.sent, self.ran, self.effects = [], {}, Counter()  # calls; first runs by mark and zone; effects
        self.late = 0  # how late connections come up

    def start(self, zones=("a",)):
        """The process starts, and has the list at once: a host a zone."""
        plan = plan_of(read_platform(GOOD | {"settings": SHORT, "state": str(self.folder)})[0])
        self.driver = driver = Driver(plan, self.clock, self.clock)
        self.out, self.ended = [], {}
        driver.pool.send = self.send
        driver.notifier.add_notice = lambda text, words: self.ended.setdefault(text, words["result"])
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
        """The host begins each text as it is sent."""
        call = Call(host, texts, self.clock.now())
        self.clock.rightNow += self.late / S
        now = self.clock.now()
        for each in texts:
            if not self.driver.may_send(now, each.text, host):
                self.driver.submit_ended(call, each, Outcome(Result.NOT_SENT))
        for each in [one for one in texts if self.driver.may_send(now, one.text, host)]:
            assert self.driver.start_submit(call, each)
            self.sent.append((now, each.text, host))
            self.out.append((call, each))
            known = self.ran.get((each.idempotency_key, host))
            if not known or not each.idempotency_key or now - known >= WINDOW:
                self.ran[each.idempotency_key, host] = now
                self.effects[each.text] += 1

    def hand_in(self, text, product):
        client = SimpleNamespace(answers=[])
        client.answer = client.answers.append
        submission = SimpleNamespace(
            id=text,
            destination=1,
            product=product,
            customer=b"acme",
            valid_for=8 * S,
            key=b"",
            idempotency_key=b"m-" + text,
            body=b"x",
        )
        self.driver.submission_received(submission, client)
        self.driver.turn()
        assert client.answers == ["+OK"]

    def answered(self, result):
        """All calls that are out get this answer."""
        for call, outgoing in self.out:
            self.driver.submit_ended(call, outgoing, Outcome(result, result is Result.DELIVERED))
        self.out = []

    def killed(self, restart, **more):
        """Everything but the folder is gone; the next process is up so much later."""
        self.driver.ledger.close()
        self.clock.rightNow += restart / S
        return self.start(**more)

    def calls(self, text):
        return [host for _, each, host in self.sent if each == text]


@pytest.fixture
def life(tmp_path):
    life = Life(tmp_path).start()
    yield life
    life.driver.ledger.close()


@RESTARTS
def test_a_call_out_at_a_kill_goes_again_within_its_window_or_is_answered_at_once(life, restart):
    for text, product in ((b"n", b"notice"), (b"y", b"anywhere"), (b"c", b"charge"), (b"r", b"report")):
        life.hand_in(text, product)
    life.clock.rightNow += KILLED_AFTER / S
    life.killed(restart)
    repeated = restart + KILLED_AFTER < WINDOW * 9 // 10  # a submit's last moment is kept free
    assert life.calls(b"r") == [b"a", b"a"] and life.calls(b"c") == [b"a"]
    assert len(life.calls(b"n")) == len(life.calls(b"y")) == 1 + repeated
    assert life.ended == {b"c": "dead"} | ({} if repeated else {b"n": "dead", b"y": "bounced"})
    assert all(life.effects[text] == 1 for text in (b"n", b"y", b"c"))
    life.answered(Result.DELIVERED)
    assert set(life.driver.accepted) == set(life.ended)  # nothing is lost, and nothing else owed


@pytest.mark.parametrize("late", [S // 2, 7 * S // 10])
def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_sent(life, late):
    life.hand_in(b"n", b"notice")
    life.hand_in(b"y", b"anywhere")
    life.late = late
    life.killed(3 * S // 10)
    for _ in range(50):
        life.clock.rightNow += 0.01
        life.driver.turn()
    in_time = late + 3 * S // 10 < WINDOW
    assert len(life.calls(b"n")) == 1 + in_time and life.effects[b"n"] == life.effects[b"y"] == 1
    assert life.ended.get(b"n") == (None if in_time else "dead")


@RESTARTS
def test_what_has_surely_not_run_goes_after_any_restart(life, restart):
    life.hand_in(b"refused", b"notice")
    life.answered(Result.FULL)
    life.clock.rightNow += KILLED_AFTER / S
    life.killed(restart)
    for _ in range(200):
        life.clock.rightNow += 0.02
        life.driver.turn()
    assert life.calls(b"refused") == [b"a", b"a"] and not life.ended


@RESTARTS
def test_two_kills_count_from_the_first_run(life, restart):
    """The window begins with the first submit that may have run, whichever process made it."""
    life.hand_in(b"n", b"notice")
    life.clock.rightNow += KILLED_AFTER / S
    life.killed(3 * S // 10)
    assert life.calls(b"n") == [b"a", b"a"]
    life.killed(restart)
    again = KILLED_AFTER + 3 * S // 10 + restart < WINDOW * 9 // 10
    assert len(life.calls(b"n")) == 2 + again and (b"n" in life.ended) != again
    assert life.effects[b"n"] == 1


@RESTARTS
def test_another_floor_is_no_place_for_a_repeat(life, restart):
    """Where the repeat may not go, it waits for its own floor until the window ends, and no longer."""
    life.hand_in(b"n", b"notice")
    life.hand_in(b"y", b"anywhere")
    life.killed(restart, zones=("b",))
    inside = restart < WINDOW * 9 // 10
    assert life.calls(b"n") == [b"a"] and len(life.calls(b"y")) == 1 + inside
    life.clock.rightNow += max(0, WINDOW - restart) / S
    life.driver.turn()
    assert life.ended[b"n"] == "dead" and life.ended.get(b"y") == (None if inside else "bounced")


@pytest.mark.parametrize("product", ["notice", "anywhere"])
def test_a_process_killed_within_the_window_repeats_within_it_or_answers(
    make_program, agent, make_host, product
):
    """On sockets: whether the start is quick enough is the machine's; one of both comes, and never both."""
    host, program = make_host(lambda request: request.hang()), make_program(settings=SHORT)
    agent.list(host.address)
    program.start().submit("t1", product, d=20_000)
    first = host.next()
    program.kill()
    host.reply = lambda request: (200,)
    client = program.start()
    assert client.submit("t2", "report") == "+OK"
    came = [host.next()]
    if came[0].headers["X-Txn"] == "t1":
        assert came[0].at - first.at < WINDOW / S
        assert host.next().headers["X-Txn"] == "t2" and agent.notices.empty()
    else:
        assert agent.notice()["result"] == ("dead" if product == "notice" else "bounced")
        assert host.requests.empty()


@pytest.mark.parametrize("product", ["notice", "anywhere"])
def test_a_process_back_after_the_window_answers_at_once(make_program, agent, make_host, product):
    host, program = make_host(lambda request: request.hang()), make_program(settings=SHORT)
    agent.list(host.address)
    program.start().submit("t1", product, d=20_000)
    first = host.next()
    program.kill()
    wait_until(lambda: time.monotonic() > first.at + 1.1 * WINDOW / S)
    host.reply = lambda request: (200,)
    client = program.start()
    told = agent.notices.get(timeout=WAIT_TIMEOUT)
    assert told["ref"] == "t1" and told["result"] == ("dead" if product == "notice" else "bounced")
    client.submit("t2", "report")
    assert host.next().headers["X-Txn"] == "t2" and host.requests.empty()


def end_early_unrecorded(life, monkeypatch):
    """A refused text without a token for a repeat ends with time left, and the folder takes no record."""

    def refuse(file, raw):
        raise OSError(errno.EIO, "Input/output error")

    life.hand_in(b"r", b"report")
    life.driver.policy.destinations[1].tokens = 0
    monkeypatch.setattr(os, "write", refuse)
    life.answered(Result.FULL)
    life.driver.turn()
    assert life.ended == {}


@pytest.mark.parametrize("mended", [True, False])
def test_an_early_end_waits_for_its_record_while_the_folder_fails(life, monkeypatch, mended):
    """No token is left for a repeat. A kill before the record would have a restart send it after its end."""
    end_early_unrecorded(life, monkeypatch)
    if mended:
        monkeypatch.undo()
        life.clock.advance(RETRY_AFTER / S)
    else:
        life.clock.advance((8 * S - KILLED_AFTER) / S)
        assert life.ended == {}
        life.clock.advance(KILLED_AFTER / S)
    assert life.ended == {b"r": "bounced"}


def test_a_text_open_at_a_kill_while_the_folder_fails_is_sent_again_and_ends_once(life, monkeypatch):
    end_early_unrecorded(life, monkeypatch)
    monkeypatch.undo()
    life.killed(S // 2)
    assert life.calls(b"r") == [b"a", b"a"] and life.ended == {}
