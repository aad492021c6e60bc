"""Terms of the standing test as renewed: answers and time-outs in one moment, paces on a wall's clock."""

import json
from dataclasses import replace

import pytest
from conftest import HOST, REPORT, PolicyHarness, S
from test_crossings import RunningReactor
from test_parts import GOOD, Wire

from limelatch.configuration import plan_of
from limelatch.configuration.platform_form import read_platform
from limelatch.interface import MS, SECOND, Result
from limelatch.policy import Policy
from limelatch.relay.driver import Driver
from limelatch.relay.end_reason import EndReason


class Loop(RunningReactor):
    """A reactor of which a test runs the two halves of a turn, due times and reads, in either order."""

    def __init__(self):
        super().__init__()
        self.rightNow, self.lines = 1_000.0, []

    def now(self):
        return round(self.rightNow * SECOND)

    def pass_to(self, when):
        """The time passes while the reactor is at work: nothing that is due is called yet."""
        self.rightNow = when / SECOND + 1e-6

    def turn(self):
        """What is due is called, and what these calls put off till the next turn."""
        for _ in range(3):
            self.advance(0)

    def connectTCP(self, host, port, factory, timeout=None):
        self.callLater(0, lambda: self._up(factory, port))

    def _up(self, factory, port):
        line = factory.buildProtocol(None)
        line.makeConnection(Wire())  # the end that is asked of it is told later
        if port == 8000:
            self.lines.append(line)


@pytest.fixture
def loop():
    return Loop()


@pytest.fixture
def driver(loop, tmp_path):
    """A relay that serves, with a host that takes one text a call and one that takes five."""
    driver = Driver(plan_of(read_platform(GOOD | {"state": str(tmp_path)})[0]), loop, loop)
    driver.ready = True
    rows = [
        {
            "name": name,
            "address": "127.0.0.1:8000",
            "zone": "a",
            "type": kind,
            "group": group,
            "status": "active",
            "weight": 0.0,
            "since_ms": 0,
        }
        for name, kind, group in (("s-1", "single", 1), ("s-5", "batching", 2))
    ]
    driver.catalog.load_known_list({"index": 1, "snapshot": True, "endpoints": rows})
    yield driver
    driver.ledger.close()


def hand_in(driver, *texts, dest=1, product="report", d=1800):
    for text in texts:
        (client := driver.listener.buildProtocol(None)).makeConnection(Wire())
        client.dataReceived(f"SUBMIT 0 {text} c={product},d={d},dest={dest} x\r\n".encode())


def call_out(driver, loop, *texts, **more):
    """The connection on which these texts are out, and their call."""
    hand_in(driver, *texts, **more)
    loop.turn()
    assert len(loop.lines) == 1 and len(loop.lines[0].call.texts) == len(texts)
    return loop.lines[0], loop.lines[0].call


def answer(*texts, state="delivered"):
    """A 200 as it stands on the wire, for a text alone or for a batch."""
    rows = [{"id": text, "state": state} for text in texts]
    body = json.dumps(rows).encode() if len(texts) > 1 else b""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def settle(line, loop):
    """The reactor goes round: a connection that was given up is lost, and the module decides."""
    if line.transport.disconnecting:
        line.connectionLost(None)
    loop.turn()


ALONE, BATCH = (("t1",), 1), (("t1", "t2", "t3"), 2)


# An answer and a time-out in one moment.


@pytest.mark.parametrize("texts, dest", [ALONE, BATCH])
@pytest.mark.parametrize("first", ["answer in time", "answer, one turn", "time-out, one turn", "time-out"])
@pytest.mark.parametrize("product, word", [("report", "bounced"), ("notice", "dead"), ("charge", "dead")])
def test_a_text_whose_answer_crosses_its_end_has_one_end_or_the_other(
    driver, loop, texts, dest, first, product, word
):
    """At three-products a 200 read 0.8 ms after a text's end, before its time-out was called, passed for the
    delivery at the relay alone: the bench counted neither that nor any other end."""
    line, call = call_out(driver, loop, *texts, dest=dest, product=product)
    end = min(each.due_at for each in call.texts)
    if first == "answer in time":
        loop.pass_to(end - 1)
        line.dataReceived(answer(*texts))
        loop.pass_to(end)
    elif first == "answer, one turn":  # the reactor reads before it looks at what is due
        loop.pass_to(end)
        line.dataReceived(answer(*texts))
    elif first == "time-out, one turn":
        loop.pass_to(end)
        loop.turn()
        line.dataReceived(answer(*texts))
    else:
        loop.pass_to(end)
        loop.turn()
        line.connectionLost(None)
        line.dataReceived(answer(*texts))
    settle(line, loop)
    loop.pass_to(end + 200 * MS)
    loop.turn()
    assert len(loop.lines) == 1 and driver.pool.calls_in_flight == 0  # and none is sent a second time
    notices = {text: words["result"] for text, words in driver.notifier.pending.items()}
    if first == "answer in time":
        assert not driver.accepted and not notices
    else:
        assert notices == {text.encode(): word for text in texts}


@pytest.mark.parametrize(
    "texts, dest, line_at, rest_at, delivered",
    [
        (*ALONE, -1, 0, True),
        (*ALONE, -1, None, True),
        (*ALONE, 0, 0, False),
        (*ALONE, 0, None, False),
        (*BATCH, -1, 0, False),
        (*BATCH, -1, None, False),
        (*BATCH, -2, -1, True),
    ],
)
def test_a_first_line_in_time_delivers_a_text_alone_and_of_a_batch_only_the_whole_answer(
    driver, loop, texts, dest, line_at, rest_at, delivered
):
    """None: the connection breaks instead."""
    line, call = call_out(driver, loop, *texts, dest=dest, product="charge")
    end, raw = min(each.due_at for each in call.texts), answer(*texts)
    loop.pass_to(end + line_at)
    line.dataReceived(raw[:17])
    if rest_at is None:
        line.connectionLost(None)
    else:
        loop.pass_to(end + rest_at)
        line.dataReceived(raw[17:])
    settle(line, loop)
    assert (not driver.accepted) == delivered
    dead = {} if delivered else {text.encode(): {"result": "dead"} for text in texts}
    assert driver.notifier.pending == dead


def test_an_interim_line_in_time_proves_no_delivery(driver, loop):
    line, call = call_out(driver, loop, "t1", product="charge")
    loop.pass_to(call.deadline.when - 1)
    line.dataReceived(b"HTTP/1.1 102 Processing\r\n\r\n")
    loop.pass_to(call.deadline.when)
    line.dataReceived(answer("t1"))
    settle(line, loop)
    assert driver.notifier.pending == {b"t1": {"result": "dead"}}


@pytest.mark.parametrize("texts, dest", [ALONE, BATCH])
@pytest.mark.parametrize("product, again", [("notice", True), ("report", True), ("charge", False)])
def test_an_answer_after_a_time_out_shorter_than_the_validity_has_only_a_once_only_text_ended(
    driver, loop, texts, dest, product, again
):
    """The others go out again, which a host that did deliver them answers as delivered."""
    line, call = call_out(driver, loop, *texts, dest=dest, product=product, d=14_000)
    loop.pass_to(call.deadline.when)
    assert call.deadline.when < min(driver.accepted[text.encode()].text.valid_until for text in texts)
    line.dataReceived(answer(*texts))
    settle(line, loop)
    assert set(driver.notifier.pending) == (set() if again else {text.encode() for text in texts})
    assert set(driver.accepted) == {text.encode() for text in texts}
    if again:
        assert {held.ran_at for held in driver.policy.texts.values()} == {call.sent_at}


def test_a_wait_that_is_told_too_late_for_the_text_is_heeded_all_the_same(driver, loop):
    line, call = call_out(driver, loop, "t1")
    loop.pass_to(call.deadline.when)
    line.dataReceived(b"HTTP/1.1 429 No\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n")
    settle(line, loop)
    assert driver.policy.hosts[b"s-1"].route.wait_until >= loop.now() + 3 * SECOND - 1


@pytest.mark.parametrize("word", ["over", "410"])
def test_an_end_told_too_late_is_followed_by_a_notice(driver, loop, word):
    """A notice of a text that is over does no harm; none for one that is not over loses it."""
    texts, dest = (("t1", "t2"), 2) if word == "over" else ALONE
    line, call = call_out(driver, loop, *texts, dest=dest)
    loop.pass_to(call.deadline.when)
    line.dataReceived(
        answer(*texts, state=word) if word == "over" else b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
    )
    settle(line, loop)
    assert set(driver.notifier.pending) == {text.encode() for text in texts}


@pytest.mark.parametrize("texts, dest", [ALONE, BATCH])
def test_no_submit_waits_past_its_text_s_end_however_long_the_ledger_takes(
    driver, loop, monkeypatch, texts, dest
):
    """Between the decision and the call stand the ledger's writes; each takes 0.7 ms here."""
    taken = driver.ledger.record_accepted

    def slowly(*words, **more):
        loop.pass_to(loop.now() + 7)
        return taken(*words, **more)

    monkeypatch.setattr(driver.ledger, "record_accepted", slowly)
    line, call = call_out(driver, loop, *texts, dest=dest)
    ends = [driver.accepted[text.encode()].text.valid_until for text in texts]
    assert call.deadline.when == min(ends) and [each.due_at for each in call.texts] == ends
    assert line.end_reason is None
    loop.pass_to(min(ends))
    loop.turn()
    assert line.end_reason is EndReason.ANSWER_TIMEOUT


# Paces on a wall's clock.

WALL = 1_796_000_000 * S  # some moment of 2026


def sends(policy_settings, start, told, seconds=10):
    """How many calls one of many relays makes at a limit of 40 calls a second, in each second, with work
    enough; the limit is listed, or told by each answer."""
    bench = PolicyHarness(Policy(policy_settings, start))
    bench.list(HOST, rate=0.0 if told else 40.0, now=start)
    counts = [0] * seconds
    for step in range(50 * seconds):
        now = start + step * S // 50
        bench.take(REPORT, now=now, valid=4 * S)
        for text in bench.sent(now):
            counts[step // 50] += 1
            bench.end(text, Result.DELIVERED, now, finished=True, limit_rate=40.0 if told else None)
    return counts


@pytest.mark.parametrize("told", [False, True])
@pytest.mark.parametrize("relays", [20, 200])
def test_a_relay_starts_at_its_even_part_of_a_limit_whatever_the_clock_says(policy_settings, relays, told):
    """The first refill once counted from the clock's zero: on a wall's each relay began at the whole."""
    policy_settings = replace(policy_settings, relays=relays, slots=8, rates_listed=not told)
    first = sends(policy_settings, 0, told)
    assert sends(policy_settings, WALL, told) == first
    saved, even = 2, 40 / relays  # calls saved up at the start, its even part of the limit
    assert first[0] <= saved + told + 2 * even  # told: the call whose answer tells comes before


def test_a_limit_told_after_many_calls_finds_no_debt_from_the_time_without_a_pace(policy_settings):
    """Calls made while nothing was known would hold the next ones back for minutes."""
    bench = PolicyHarness(Policy(replace(policy_settings, relays=20), WALL))
    bench.list(HOST, now=WALL)
    for _ in range(30):
        bench.out(bench.take(REPORT, now=WALL), Result.DELIVERED, WALL, finished=True)
    bench.out(bench.take(REPORT, now=WALL), Result.DELIVERED, WALL, finished=True, limit_rate=40.0)
    now = WALL + S // 2
    assert bench.sent(now) == {} and bench.sent(now) == {}
    text = bench.take(REPORT, now=now)
    assert bench.sent(now) == {text: HOST}


def test_a_pace_learned_anew_does_not_grow_for_the_time_without_one(policy_settings):
    bench = PolicyHarness(Policy(replace(policy_settings, relays=20), WALL))
    bench.list(HOST, now=WALL)
    route = bench.host().route
    route.limit, route.pace, route.credit, route.credit_at = 0.0, 0.0, 0.0, WALL  # had one, long ago
    now = WALL + 600 * S
    bench.out(bench.take(REPORT, now=now), Result.DELIVERED, now, finished=True, limit_rate=40.0)
    bench.decide(now=now)
    bench.take(REPORT, now=now)
    bench.decide(now=now)
    assert 40 / 20 <= route.pace < 1.1 * 40 / 20 and route.credit <= 1.0
