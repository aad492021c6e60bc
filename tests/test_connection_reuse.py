"""Which connection carries a call, and what a response on it proves: the decisions, and the pool."""

from types import SimpleNamespace

import pytest
from test_parts import RecordingDriver, SocketPairTransport, deadlines, start_call

from limelatch.connection_reuse import (
    DISTRUST_TIME,
    MAX_DISTRUSTED_HOSTS,
    MAX_SILENCE,
    MIN_SILENCE,
    ConnectionReuse,
    is_certain,
)
from limelatch.interface import MS, SECOND, Result, Submit
from limelatch.relay.end_reason import EndReason
from limelatch.relay.host_calls import OutgoingText
from limelatch.relay.host_connection import Connection

__all__ = ["deadlines"]  # a fixture

NOW = 1000 * SECOND
HOST = b"s-1"
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
WAIT = b"HTTP/1.1 429 No\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def reuse():
    return ConnectionReuse()


def idle(*times):
    """Idle connections whose last responses came at these times."""
    return [SimpleNamespace(idle_since=time) for time in times]


def test_a_connection_is_used_again_only_after_a_silence_and_the_last_used_one_first(reuse):
    assert reuse.choose(NOW, idle()) is None
    assert reuse.choose(NOW, idle(NOW - MIN_SILENCE + 1)) is None
    assert reuse.choose(NOW, idle(NOW - 2 * MIN_SILENCE, NOW - MIN_SILENCE, NOW - MIN_SILENCE + 1)) == 1


@pytest.mark.parametrize("idle_count, was_own, kept", [(0, True, 9), (1, True, 0), (1, False, 9)])
def test_the_connection_of_a_call_that_shared_none_is_kept_only_where_no_other_one_is_idle(
    reuse, idle_count, was_own, kept
):
    assert reuse.idle_limit(NOW, HOST, 9 * SECOND, idle_count, was_own) == kept * SECOND


@pytest.mark.parametrize(
    "once_only, ordered, own", [(False, False, False), (True, False, True), (False, True, False)]
)
def test_without_a_surplus_response_only_once_only_texts_need_a_connection_of_their_own(
    reuse, once_only, ordered, own
):
    assert reuse.needs_own_connection(NOW, HOST, once_only, ordered) == own


def test_after_a_surplus_response_its_host_is_distrusted_and_ordered_texts_share_no_connection(reuse):
    assert reuse.surplus_received(NOW, HOST, 5 * MS)
    assert not reuse.surplus_received(NOW + 1, HOST, 5 * MS)  # it is distrusted already
    assert reuse.needs_own_connection(NOW + 1, HOST, False, False)
    assert not reuse.needs_own_connection(NOW + 1, b"s-2", False, False)
    assert reuse.needs_own_connection(NOW + 1, b"s-2", False, True)
    assert reuse.idle_limit(NOW + 1, HOST, 9 * SECOND, 3, True) == MIN_SILENCE
    assert not reuse.is_distrusted(NOW + 1 + DISTRUST_TIME, HOST)


def test_the_silence_grows_with_the_longest_lag_and_shrinks_once_no_host_is_distrusted(reuse):
    reuse.surplus_received(NOW, HOST, 300 * MS)
    reuse.surplus_received(NOW, b"s-2", 5 * MS)
    assert reuse.choose(NOW, idle(NOW - 600 * MS + 1)) is None
    assert reuse.choose(NOW, idle(NOW - 600 * MS)) == 0
    reuse.surplus_received(NOW, HOST, 9 * SECOND)
    assert reuse.choose(NOW, idle(NOW - MAX_SILENCE)) == 0
    assert not reuse.is_distrusted(NOW + DISTRUST_TIME, HOST)
    assert reuse.choose(NOW, idle(NOW - MIN_SILENCE)) == 0


def test_the_number_of_distrusted_hosts_is_bounded(reuse):
    for number in range(MAX_DISTRUSTED_HOSTS + 9):
        reuse.surplus_received(NOW, b"%d" % number, 0)
    assert not reuse.is_distrusted(NOW, b"0") and reuse.is_distrusted(NOW, b"9")
    assert len(reuse._last_surplus_at) == MAX_DISTRUSTED_HOSTS


def test_a_response_is_certain_on_a_first_request_or_without_a_surplus_one():
    assert is_certain(1, has_surplus=True) and is_certain(2, has_surplus=False)
    assert not is_certain(2, has_surplus=True)


# The pool.


def outgoing(text, **more):
    return OutgoingText(text, b"", b"x", 900 * SECOND, 300 * SECOND, **more)


@pytest.fixture
def pool(deadlines):
    """A pool with an idle connection that has carried one call, and was silent for long enough since."""
    driver = RecordingDriver()
    pool, connection = start_call(deadlines, driver, outgoing(b"a"))
    connection.connected = True
    connection.dataReceived(OK_RESPONSE)
    pool.first, pool.reactor = connection, RecordingReactor()
    deadlines[1].advance(1)
    return pool


class RecordingReactor:
    """Records attempts to connect."""

    def __init__(self):
        self.attempts = []

    def connectTCP(self, host, port, factory, timeout):
        self.attempts.append(factory.connection)


@pytest.fixture(autouse=True)
def instant_connections(monkeypatch):
    """New connections are established at once, on a pair of sockets."""
    monkeypatch.setattr("limelatch.relay.hosts.HostPool._connect", connect)


def connect(pool, call):
    """In place of the pool's own."""
    pool.counts.opened += 1
    connection = call.connection = Connection(pool, call.host, call)
    connection.slot = pool.connections.take(connection)
    connection.deadline = pool.deadlines.after(SECOND, lambda: None)
    connection.makeConnection(SocketPairTransport())


def connection_of(pool, text, **more):
    """Send a call with the text; the connection that carries it."""
    pool.send(HOST, [outgoing(text, **more)])
    return [each for each in pool.connections if each.call and each.call.texts[0].text == text][0]


def test_a_once_only_text_gets_a_connection_that_has_carried_nothing(pool):
    assert connection_of(pool, b"b", once_only=True) is not pool.first
    assert connection_of(pool, b"c") is pool.first


def test_of_two_responses_to_a_reused_connection_s_request_none_is_believed_and_a_wait_is_heeded(pool):
    connection = connection_of(pool, b"b")
    connection.dataReceived(WAIT + OK_RESPONSE)
    assert pool.driver.outcomes[1:] == [(b"b", Result.MALFORMED)] and b"b" not in pool.driver.finished
    assert connection.end_reason is EndReason.SURPLUS and pool.counts.surplus == 1
    assert connection_of(pool, b"c") is not connection
    now = pool.clock.now()  # the second response came right behind the first, so the silence is as before
    assert pool.reuse.choose(now, idle(now - MIN_SILENCE)) == 0


@pytest.mark.parametrize("first, result", [(OK_RESPONSE, Result.DELIVERED), (REFUSAL, Result.FULL)])
def test_a_copy_behind_the_response_to_a_first_request_casts_no_doubt_on_it(pool, first, result):
    connection = connection_of(pool, b"b", once_only=True)
    connection.dataReceived(first * 2)
    assert pool.driver.outcomes[1:] == [(b"b", result)] and pool.driver.doubted == []
    assert pool.reuse.is_distrusted(pool.clock.now(), HOST)


def test_a_surplus_response_on_an_idle_connection_doubts_its_last_call_and_its_wait_is_heeded(pool):
    connection = connection_of(pool, b"b")
    connection.dataReceived(REFUSAL)  # a copy, as it turns out
    connection.dataReceived(WAIT)
    assert pool.driver.doubted == [b"b"] and pool.driver.waits == [(HOST, 15 * SECOND // 10)]
    assert connection.end_reason is EndReason.SURPLUS


def test_a_surplus_response_after_a_first_call_doubts_nothing(pool):
    pool.first.dataReceived(OK_RESPONSE)
    assert pool.driver.doubted == [] and pool.first.end_reason is EndReason.SURPLUS


def test_surplus_bytes_that_are_not_read_yet_are_found_before_the_connection_is_reused(pool):
    pool.first.transport.peer.sendall(b"H")
    assert connection_of(pool, b"b") is not pool.first
    assert pool.first.end_reason is EndReason.SURPLUS and pool.counts.surplus == 1


def test_a_response_that_comes_before_its_request_is_sent_is_not_taken_and_the_text_goes_again(pool):
    connection = connection_of(pool, b"b")
    connection.transport.bytes_sent = 0  # the kernel has taken nothing yet
    connection.dataReceived(OK_RESPONSE)
    connection.connectionLost(None)
    assert pool.driver.outcomes[1:] == [(b"b", Result.NOT_SENT)] and b"b" not in pool.driver.finished


@pytest.mark.parametrize(
    "own, result, finished", [(True, Result.MALFORMED, [b"b"]), (False, Result.RESET, [])]
)
def test_a_response_cut_behind_a_status_line_of_200_counts_on_a_first_request_alone(
    pool, own, result, finished
):
    connection = connection_of(pool, b"b", once_only=own)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Le")
    connection.connectionLost(None)
    assert pool.driver.outcomes[1:] == [(b"b", result)] and pool.driver.finished[1:] == finished


def test_a_body_without_a_length_is_no_surplus_response(pool):
    connection_of(pool, b"b").dataReceived(b"HTTP/1.1 200 OK\r\n\r\nthe body, until the connection ends")
    assert pool.driver.outcomes[1:] == [(b"b", Result.DELIVERED)] and pool.counts.surplus == 0


# The policy.


@pytest.mark.parametrize("zone, sent", [(0, True), (1, False)])
def test_a_refused_text_whose_refusal_is_doubted_goes_to_hosts_of_its_first_zone_alone(relay, zone, sent):
    now = 1_000 * SECOND
    text = relay.accept_text()
    host = relay.send_text(text, Result.FULL)
    assert relay.policy.submit_doubted(now, text, host, now)
    relay.list_hosts(host, listing=relay.policy.hosts[host].listing.GONE)
    relay.list_hosts(b"other", zone=zone)
    assert (text in relay.sent_texts(now + 3 * SECOND)) == sent


def test_a_once_only_text_whose_refusal_is_doubted_is_not_sent_again(relay):
    text = relay.accept_text(product=1)
    host = relay.send_text(text, Result.FULL)
    assert relay.policy.submit_doubted(1_000 * SECOND, text, host, 1_000 * SECOND)
    actions = relay.decide(now=1_000 * SECOND)
    assert not [each for each in actions if isinstance(each, Submit)] and text not in relay.policy.texts
    assert not relay.policy.submit_doubted(1_000 * SECOND, text, host, 1_000 * SECOND)


def test_of_a_response_in_doubt_only_the_wait_is_learned(relay):
    text = relay.accept_text()
    tokens, share = relay.policy.destinations[1].tokens, relay.host().failure_share
    relay.send_text(text, Result.MALFORMED, in_doubt=True, retry_after=SECOND, limit_left=0.0, limit_rate=3.0)
    host = relay.host()
    assert host.route.wait_until == 1_001 * SECOND and host.route.limit == 0
    assert (host.failure_share, host.failing_products) == (share, {})
    assert relay.policy.destinations[1].tokens <= tokens
    assert relay.pending(text).first_run_at is not None
