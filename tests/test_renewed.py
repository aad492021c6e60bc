"""Answers that cross their timeout, and paces that start on a wall clock's time."""

import json
from dataclasses import replace

import pytest
from conftest import HOST, REPORT, PolicyHarness, S
from test_crossings import RunningReactor
from test_parts import VALID_CONFIG, SocketPairTransport

from limelatch.configuration import plan_of
from limelatch.configuration.platform_form import read_platform
from limelatch.interface import MS, SECOND, Result
from limelatch.policy import Policy
from limelatch.relay.driver import Driver
from limelatch.relay.end_reason import EndReason


class Loop(RunningReactor):
    """A reactor whose timers and reads a test runs separately, in either order."""

    def __init__(self):
        super().__init__()
        self.rightNow, self.connections = 1_000.0, []

    def now(self):
        return round(self.rightNow * SECOND)

    def pass_to(self, when):
        """Let time pass while the reactor is busy: timers that are due are not called yet."""
        self.rightNow = when / SECOND + 1e-6

    def turn(self):
        """Call the timers that are due, and what they schedule for the next turn."""
        for _ in range(3):
            self.advance(0)

    def connectTCP(self, host, port, factory, timeout=None):
        self.callLater(0, lambda: self._up(factory, port))

    def _up(self, factory, port):
        connection = factory.buildProtocol(None)
        connection.makeConnection(SocketPairTransport())  # reports a requested close later
        if port == 8000:
            self.connections.append(connection)


@pytest.fixture
def loop():
    return Loop()


@pytest.fixture
def driver(loop, tmp_path):
    """A serving relay with a host that takes one text a call and one that takes five."""
    driver = Driver(plan_of(read_platform(VALID_CONFIG | {"state": str(tmp_path)})[0]), loop, loop)
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


def submit_texts(driver, *texts, dest=1, product="report", d=1800):
    for text in texts:
        (client := driver.listener.buildProtocol(None)).makeConnection(SocketPairTransport())
        client.dataReceived(f"SUBMIT 0 {text} c={product},d={d},dest={dest} x\r\n".encode())


def call_in_flight(driver, loop, *texts, **more):
    """Submit these texts; return the connection of their call, and the call."""
    submit_texts(driver, *texts, **more)
    loop.turn()
    assert len(loop.connections) == 1 and len(loop.connections[0].call.texts) == len(texts)
    return loop.connections[0], loop.connections[0].call


def answer(*texts, state="delivered"):
    """The bytes of a 200 response, for one text or for a batch."""
    rows = [{"id": text, "state": state} for text in texts]
    body = json.dumps(rows).encode() if len(texts) > 1 else b""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def run_reactor(connection, loop):
    """Run the reactor: a connection that was closed is lost, and the module decides."""
    if connection.transport.disconnecting:
        connection.connectionLost(None)
    loop.turn()


ALONE, BATCH = (("t1",), 1), (("t1", "t2", "t3"), 2)


# An answer and a timeout at the same moment.


@pytest.mark.parametrize("texts, dest", [ALONE, BATCH])
@pytest.mark.parametrize("first", ["answer in time", "answer, one turn", "time-out, one turn", "time-out"])
@pytest.mark.parametrize("product, word", [("report", "bounced"), ("notice", "dead"), ("charge", "dead")])
def test_a_text_whose_answer_crosses_its_deadline_has_exactly_one_end(
    driver, loop, texts, dest, first, product, word
):
    """Guards against counting a 200 read after the deadline but before its timeout as a delivery.

    The platform counted neither that delivery nor any other end of the text."""
    connection, call = call_in_flight(driver, loop, *texts, dest=dest, product=product)
    end = min(each.due_at for each in call.texts)
    if first == "answer in time":
        loop.pass_to(end - 1)
        connection.dataReceived(answer(*texts))
        loop.pass_to(end)
    elif first == "answer, one turn":  # the reactor reads before it runs its timers
        loop.pass_to(end)
        connection.dataReceived(answer(*texts))
    elif first == "time-out, one turn":
        loop.pass_to(end)
        loop.turn()
        connection.dataReceived(answer(*texts))
    else:
        loop.pass_to(end)
        loop.turn()
        connection.connectionLost(None)
        connection.dataReceived(answer(*texts))
    run_reactor(connection, loop)
    loop.pass_to(end + 200 * MS)
    loop.turn()
    assert len(loop.connections) == 1 and driver.pool.calls_in_flight == 0  # no text is sent a second time
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
def test_a_first_line_in_time_delivers_a_single_text_but_a_batch_needs_the_whole_answer(
    driver, loop, texts, dest, line_at, rest_at, delivered
):
    """`rest_at` None: the connection breaks before the rest of the answer."""
    connection, call = call_in_flight(driver, loop, *texts, dest=dest, product="charge")
    end, raw = min(each.due_at for each in call.texts), answer(*texts)
    loop.pass_to(end + line_at)
    connection.dataReceived(raw[:17])
    if rest_at is None:
        connection.connectionLost(None)
    else:
        loop.pass_to(end + rest_at)
        connection.dataReceived(raw[17:])
    run_reactor(connection, loop)
    assert (not driver.accepted) == delivered
    dead = {} if delivered else {text.encode(): {"result": "dead"} for text in texts}
    assert driver.notifier.pending == dead


def test_an_interim_response_in_time_is_no_delivery(driver, loop):
    connection, call = call_in_flight(driver, loop, "t1", product="charge")
    loop.pass_to(call.deadline.when - 1)
    connection.dataReceived(b"HTTP/1.1 102 Processing\r\n\r\n")
    loop.pass_to(call.deadline.when)
    connection.dataReceived(answer("t1"))
    run_reactor(connection, loop)
    assert driver.notifier.pending == {b"t1": {"result": "dead"}}


@pytest.mark.parametrize("texts, dest", [ALONE, BATCH])
@pytest.mark.parametrize("product, again", [("notice", True), ("report", True), ("charge", False)])
def test_an_answer_after_a_timeout_within_the_validity_ends_only_a_once_only_text(
    driver, loop, texts, dest, product, again
):
    """The others are sent again, and a host that did deliver them answers so."""
    connection, call = call_in_flight(driver, loop, *texts, dest=dest, product=product, d=14_000)
    loop.pass_to(call.deadline.when)
    assert call.deadline.when < min(driver.accepted[text.encode()].text.valid_until for text in texts)
    connection.dataReceived(answer(*texts))
    run_reactor(connection, loop)
    assert set(driver.notifier.pending) == (set() if again else {text.encode() for text in texts})
    assert set(driver.accepted) == {text.encode() for text in texts}
    if again:
        assert {pending.first_run_at for pending in driver.policy.texts.values()} == {call.sent_at}


def test_a_retry_after_that_comes_too_late_for_the_text_still_counts(driver, loop):
    connection, call = call_in_flight(driver, loop, "t1")
    loop.pass_to(call.deadline.when)
    connection.dataReceived(b"HTTP/1.1 429 No\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n")
    run_reactor(connection, loop)
    assert driver.policy.hosts[b"s-1"].route.wait_until >= loop.now() + 3 * SECOND - 1


@pytest.mark.parametrize("word", ["over", "410"])
def test_an_end_reported_too_late_is_followed_by_a_notice(driver, loop, word):
    """A notice of a finished text does no harm; without one an unfinished text would be lost."""
    texts, dest = (("t1", "t2"), 2) if word == "over" else ALONE
    connection, call = call_in_flight(driver, loop, *texts, dest=dest)
    loop.pass_to(call.deadline.when)
    connection.dataReceived(
        answer(*texts, state=word) if word == "over" else b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
    )
    run_reactor(connection, loop)
    assert set(driver.notifier.pending) == {text.encode() for text in texts}


@pytest.mark.parametrize("texts, dest", [ALONE, BATCH])
def test_no_submit_waits_past_its_text_s_deadline_however_slow_the_ledger_is(
    driver, loop, monkeypatch, texts, dest
):
    """The ledger is written between the decision and the call; each write takes 0.7 ms here."""
    taken = driver.ledger.record_accepted

    def slowly(*words, **more):
        loop.pass_to(loop.now() + 7)
        return taken(*words, **more)

    monkeypatch.setattr(driver.ledger, "record_accepted", slowly)
    connection, call = call_in_flight(driver, loop, *texts, dest=dest)
    ends = [driver.accepted[text.encode()].text.valid_until for text in texts]
    assert call.deadline.when == min(ends) and [each.due_at for each in call.texts] == ends
    assert connection.end_reason is None
    loop.pass_to(min(ends))
    loop.turn()
    assert connection.end_reason is EndReason.ANSWER_TIMEOUT


# Paces that start on a wall clock's time.

WALL = 1_796_000_000 * S  # some moment of 2026


def calls_in_each_second(policy_settings, start, reported, seconds=10):
    """Calls in each second by one relay of a large fleet at a limit of 40 calls a second, with enough texts.

    `reported`: the limit comes with each answer, else with the host list."""
    harness = PolicyHarness(Policy(policy_settings, start))
    harness.list_hosts(HOST, rate=0.0 if reported else 40.0, now=start)
    counts = [0] * seconds
    for step in range(50 * seconds):
        now = start + step * S // 50
        harness.accept_text(REPORT, now=now, valid=4 * S)
        for text in harness.sent_texts(now):
            counts[step // 50] += 1
            harness.end_submit(
                text, Result.DELIVERED, now, finished=True, limit_rate=40.0 if reported else None
            )
    return counts


@pytest.mark.parametrize("reported", [False, True])
@pytest.mark.parametrize("relays", [20, 200])
def test_a_relay_starts_at_its_even_part_of_a_limit_whatever_the_clock_says(
    policy_settings, relays, reported
):
    """Guards against counting the first growth of the pace from the clock's zero.

    On a wall clock each relay then started at the whole limit."""
    policy_settings = replace(policy_settings, relays=relays, slots=8, rates_listed=not reported)
    first = calls_in_each_second(policy_settings, 0, reported)
    assert calls_in_each_second(policy_settings, WALL, reported) == first
    saved, even_part = 2, 40 / relays  # calls saved up at the start; its even part of the limit
    assert first[0] <= saved + reported + 2 * even_part  # one more: the call whose answer reports the limit


def test_a_limit_reported_after_many_calls_starts_without_a_debt_of_credit(policy_settings):
    """Guards against counting calls from the time without a limit, which stops the next ones for minutes."""
    harness = PolicyHarness(Policy(replace(policy_settings, relays=20), WALL))
    harness.list_hosts(HOST, now=WALL)
    for _ in range(30):
        harness.send_text(harness.accept_text(REPORT, now=WALL), Result.DELIVERED, WALL, finished=True)
    harness.send_text(
        harness.accept_text(REPORT, now=WALL), Result.DELIVERED, WALL, finished=True, limit_rate=40.0
    )
    now = WALL + S // 2
    assert harness.sent_texts(now) == {} and harness.sent_texts(now) == {}
    text = harness.accept_text(REPORT, now=now)
    assert harness.sent_texts(now) == {text: HOST}


def test_a_newly_learned_pace_does_not_grow_for_the_time_without_one(policy_settings):
    harness = PolicyHarness(Policy(replace(policy_settings, relays=20), WALL))
    harness.list_hosts(HOST, now=WALL)
    route = harness.host().route
    route.limit, route.pace, route.credit, route.credit_updated_at = (
        0.0,
        0.0,
        0.0,
        WALL,
    )  # had a limit, long ago
    now = WALL + 600 * S
    harness.send_text(
        harness.accept_text(REPORT, now=now), Result.DELIVERED, now, finished=True, limit_rate=40.0
    )
    harness.decide(now=now)
    harness.accept_text(REPORT, now=now)
    harness.decide(now=now)
    assert 40 / 20 <= route.pace < 1.1 * 40 / 20 and route.credit <= 1.0
