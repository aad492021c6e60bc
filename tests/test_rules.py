"""The rules of delivery: no text lost, no effect twice, drains, waits and the order of keys kept."""

import pytest
from conftest import CHARGE, FAILURES, HOST, NOTICE, NOW, OTHER_HOST, REPORT, ROUTE, S

from limelatch.interface import Health, Listing, Nack, Result, Submit, Text, TextHistory, Undeliverable, Watch
from limelatch.key_order import QueuedText
from limelatch.policy import RETRY_AFTER_JITTER


def test_a_text_that_expires_is_answered_once(relay):
    relay.list_hosts(HOST, listing=Listing.DRAINING)
    text = relay.accept_text(valid=5 * S)
    assert relay.decide((Nack, Undeliverable), NOW + 5 * S) == [Nack(text, 2 * S)]
    assert relay.decide((Nack, Undeliverable, Submit), NOW + 6 * S) == []


def test_a_client_that_leaves_as_its_text_is_answered_is_not_answered_twice(relay):
    text = relay.accept_text(CHARGE, key=5)
    relay.send_text(text, Result.TIMEOUT)
    relay.policy.text_finished(NOW, text)
    assert relay.decide((Nack, Undeliverable)) == [] and relay.policy.key_order.queues == {}


def test_the_timeout_is_no_longer_than_the_validity_left(relay):
    relay.accept_text(valid=1 * S)
    assert relay.decide(Submit)[0].timeout == 1 * S


@pytest.mark.parametrize("result", FAILURES)
def test_a_once_only_text_that_may_have_run_is_neither_sent_again_nor_nacked(relay, result):
    text = relay.accept_text(CHARGE)
    relay.send_text(text, result)
    assert relay.decide((Nack, Undeliverable)) == [Undeliverable(text)]


@pytest.mark.parametrize("result", [Result.FULL, Result.CONNECT])
def test_a_once_only_text_that_never_ran_is_sent_again(relay, result):
    text = relay.accept_text(CHARGE)
    relay.send_text(text, result)
    assert relay.sent_texts(NOW + 20 * S) == {text: HOST}


def test_a_referenced_text_is_repeated_only_in_its_zone_and_retry_window(relay):
    relay.list_hosts(OTHER_HOST, zone=1)
    text = relay.accept_text()
    first = relay.send_text(text, Result.TIMEOUT, NOW)
    relay.pending(text).due_at = NOW
    other = OTHER_HOST if first == HOST else HOST
    assert not relay.policy._is_send_allowed(NOW + S, relay.pending(text), relay.host(other))
    assert relay.policy._is_send_allowed(NOW + S, relay.pending(text), relay.host(first))
    assert not relay.policy._is_send_allowed(NOW + 10 * S, relay.pending(text), relay.host(first))


def test_a_refusal_after_a_timeout_leaves_the_text_as_one_that_may_have_run(relay):
    text = relay.accept_text()
    relay.send_text(text, Result.TIMEOUT)
    relay.pending(text).due_at = NOW
    relay.host().in_outage = False
    relay.send_text(text, Result.FULL, NOW + S // 2)
    assert relay.pending(text).first_run_at == NOW and not relay.pending(text).may_nack()


def test_nothing_is_sent_to_a_draining_or_missing_host(relay):
    relay.list_hosts(HOST, listing=Listing.DRAINING)
    text = relay.accept_text()
    assert relay.sent_texts() == {}
    relay.list_hosts(OTHER_HOST, whole=True)
    assert relay.sent_texts() == {text: OTHER_HOST}


def test_a_host_listed_again_is_used_again(relay):
    relay.list_hosts(HOST, listing=Listing.GONE)
    relay.list_hosts(HOST)
    text = relay.accept_text()
    assert relay.sent_texts() == {text: HOST}


def test_the_outcome_from_a_host_that_is_gone_still_counts(relay):
    text = relay.accept_text(CHARGE)
    relay.send_text(text)
    relay.list_hosts(OTHER_HOST, whole=True)
    relay.list_hosts(OTHER_HOST)
    relay.end_submit(text, Result.TIMEOUT)
    assert relay.decide(Undeliverable) == [Undeliverable(text)]


def test_a_returning_host_gets_no_more_than_the_even_part_of_a_cold_host_s_rate(relay):
    host = relay.host()
    host.route.learn_limit(10.0, 3)
    host.recovered_at = host.warm_up_updated_at = NOW
    sent = 0
    for step in range(100):  # two seconds, a decision every 20 ms, texts always waiting
        relay.accept_text(REPORT)
        sent += len(relay.sent_texts(NOW + step * 200))
    assert 1 <= sent <= 10.0 * 2 * 2.5 * (0.2 + 0.8 * 2 / 12) / 3


def test_the_warm_up_ends_after_cold_time(relay):
    host = relay.host()
    host.recovered_at = host.warm_up_updated_at = NOW
    relay.accept_text()
    assert len(relay.sent_texts(NOW + 12 * S)) == 1 and host.recovered_at is None


@pytest.mark.parametrize("result", [Result.TIMEOUT, Result.MALFORMED])
def test_texts_of_a_key_go_in_order_with_a_cooldown_after_a_call_that_may_still_run(relay, result):
    first, second = relay.accept_text(CHARGE, key=5), relay.accept_text(CHARGE, key=5)
    relay.host().last_success_at = NOW + 1
    relay.send_text(first, result)
    assert (
        relay.sent_texts(NOW) == {} and relay.sent_texts(NOW + 3000) == {}
    )  # its final answer is not acknowledged yet
    relay.policy.text_finished(NOW + 3000, first)
    assert relay.sent_texts(NOW + 3200) == {second: HOST}


def test_a_key_has_a_cooldown_after_an_answer_of_which_only_the_first_line_came(relay):
    """The text is delivered, but its call may still run."""
    first, second = relay.accept_text(CHARGE, key=5), relay.accept_text(CHARGE, key=5)
    relay.send_text(first, Result.MALFORMED, finished=True)
    assert relay.sent_texts(NOW + 2990) == {} and relay.sent_texts(NOW + 3200) == {second: HOST}
    assert not relay.host().failure_share


def test_another_key_does_not_wait(relay):
    first, second = relay.accept_text(CHARGE, key=5), relay.accept_text(CHARGE, key=6)
    assert set(relay.sent_texts()) == {first, second}


def test_a_retry_after_binds_the_whole_destination(relay):
    relay.list_hosts(OTHER_HOST)
    text = relay.accept_text()
    relay.send_text(text, Result.FULL, retry_after=2 * S, limit_left=0.0)
    relay.accept_text(REPORT)
    assert relay.sent_texts(NOW + 2 * S - 1) == {}
    assert relay.host().route.wait_until < NOW + 2 * S + RETRY_AFTER_JITTER
    assert relay.sent_texts(NOW + 20 * S)  # the pace after the refusal may delay it further


def test_a_retry_after_binds_only_its_host_where_hosts_have_limits_of_their_own(relay):
    relay.list_hosts(ROUTE, OTHER_HOST, dest=2, kind=2)
    relay.host(ROUTE).route.wait_until = NOW + S
    text = relay.accept_text(dest=2)
    assert relay.sent_texts() == {text: OTHER_HOST}


def resume(relay, product, history, key=0):
    """A text that this relay accepted before a restart."""
    text = relay.accept_text(product, key=key)
    relay.policy.text_finished(NOW, text)
    relay.policy.text_accepted(NOW, Text(text, 1, product, NOW + 20 * S, 0, key), history)
    return text


def test_a_once_only_text_that_may_have_run_before_a_restart_is_not_sent_again(relay):
    text = resume(relay, CHARGE, TextHistory(1, NOW - S, 0, in_flight=True), key=5)
    assert relay.decide() == [Undeliverable(text)]


def test_a_key_has_a_cooldown_after_a_call_that_was_in_flight_at_the_restart(relay):
    first = resume(relay, CHARGE, TextHistory(1, NOW - S, 0, in_flight=True), key=5)
    second = resume(relay, CHARGE, TextHistory(), key=5)
    relay.decide()
    relay.policy.text_finished(NOW, first)
    assert relay.sent_texts(NOW + 2900) == {} and relay.sent_texts(NOW + 3100) == {second: HOST}


def test_a_text_whose_notice_is_open_after_a_restart_keeps_its_place_in_the_key(relay):
    first = resume(relay, CHARGE, TextHistory(1, NOW - S, 0, is_answered=True), key=5)
    second = resume(relay, CHARGE, TextHistory(), key=5)
    assert relay.decide(Undeliverable) == [] and relay.sent_texts(NOW + S) == {}
    relay.policy.text_finished(NOW + S, first)
    assert relay.sent_texts(NOW + 2 * S) == {second: HOST}


def test_a_repeat_after_a_restart_keeps_to_its_window_and_zone(relay):
    relay.list_hosts(OTHER_HOST, zone=1)
    text = resume(relay, NOTICE, TextHistory(1, NOW - 8 * S, 1, in_flight=True))
    assert relay.sent_texts() == {text: OTHER_HOST}
    late = resume(relay, NOTICE, TextHistory(1, NOW - 11 * S, 1, in_flight=True))
    assert relay.decide(Undeliverable) == [Undeliverable(late)]


def test_a_stopping_relay_sends_only_what_will_be_answered_in_time(relay):
    relay.policy.stopping(NOW + 2 * S)
    relay.accept_text(REPORT)
    assert len(relay.sent_texts(NOW)) == 1
    relay.accept_text(REPORT)
    assert relay.sent_texts(NOW + S) == {}


def test_a_drain_or_a_wait_that_comes_up_during_a_connect_stops_the_submit(relay):
    text = relay.accept_text(REPORT)
    host = relay.send_text(text)
    assert relay.policy.may_send(NOW, text, host)
    relay.host().route.wait_until = NOW + S
    assert not relay.policy.may_send(NOW, text, host) and relay.policy.may_send(NOW + S, text, host)
    relay.list_hosts(HOST, listing=Listing.DRAINING)
    assert not relay.policy.may_send(NOW + S, text, host)


def test_a_submit_stopped_as_its_connection_comes_up_uses_no_attempt_and_no_token(relay):
    """No byte of it was sent. Guards against ending a text with one allowed submit that was never sent."""
    relay.policy.settings.max_submits = 1
    text = relay.accept_text(REPORT)
    tokens = relay.policy.destinations[1].tokens
    relay.send_text(text, Result.NOT_SENT, unsent=True)
    assert relay.pending(text).submit_count == 0 and relay.policy.destinations[1].tokens == tokens
    assert relay.sent_texts(NOW + S) == {text: HOST}
    relay.end_submit(text, Result.FULL, NOW + S)
    assert relay.decide((Nack, Undeliverable), NOW + S) == [Nack(text, 2 * S)]  # this submit was sent


def test_a_retry_after_in_a_call_that_delivered_a_text_is_kept(relay):
    first = relay.accept_text(REPORT)
    relay.send_text(first, Result.DELIVERED, finished=True, retry_after=S)
    relay.accept_text(REPORT)
    assert relay.sent_texts(NOW + S - 1) == {}
    assert len(relay.sent_texts(NOW + 3 * S)) == 1


def test_the_host_list_is_requested_at_a_random_time_and_again_after_each_failure(fleet_relay, relay):
    """Guards against a relay that never asks for the list and sends to hosts that are gone."""
    now, waits = fleet_relay.policy.watch_at, set()
    assert NOW <= now < NOW + 10 * S and not fleet_relay.decide(Watch, now - 1)
    for _ in range(6):
        assert fleet_relay.decide(Watch, now) and not fleet_relay.decide(Watch, now)
        fleet_relay.policy.list_failed(now)
        waits.add(fleet_relay.policy.watch_at - now)
        now = fleet_relay.policy.watch_at
    assert 0 <= min(waits) and max(waits) < 10 * S and len(waits) > 3 and fleet_relay.sent_texts(now) == {}
    relay.policy.list_failed(NOW)  # a list that is pushed is not requested
    assert (
        not relay.decide(Watch, NOW + 100 * S)
        and fleet_relay.send_text(fleet_relay.accept_text(REPORT, now=now), now=now) == HOST
    )


def test_a_text_that_its_route_cannot_send_in_time_is_answered_at_once(fleet_relay):
    """Guards against keeping a text at a slow route until its validity ends when it can't be sent before."""
    fleet_relay.send_text(fleet_relay.accept_text(REPORT, valid=90 * S), Result.FULL)
    text, later = fleet_relay.accept_text(REPORT, valid=8 * S), fleet_relay.accept_text(REPORT, valid=40 * S)
    assert (
        fleet_relay.decide((Nack, Undeliverable)) == [Nack(text, 2 * S)] and later in fleet_relay.policy.texts
    )


def test_the_old_process_of_an_upgrade_sends_its_text_of_a_key_first(relay):
    later = relay.accept_text(CHARGE, key=5)
    earlier = relay.next_id + 1
    relay.policy.key_order.set_sibling_texts([(5, QueuedText(earlier, NOW - 1))])
    assert relay.sent_texts() == {}  # the old process has an earlier text of the key
    relay.policy.key_order.set_sibling_texts([])
    text = Text(earlier, 1, CHARGE, NOW + 20 * S, 0, 5, received_at=NOW - 1)
    relay.policy.text_accepted(NOW, text, TextHistory(product=relay.policy.settings.products[CHARGE]))
    assert relay.sent_texts() == {earlier: HOST}
    relay.end_submit(earlier, Result.DELIVERED, finished=True)
    relay.policy.text_finished(NOW, earlier)
    assert relay.sent_texts(NOW + 1) == {later: HOST}


def test_a_repeat_that_a_slow_relay_could_send_past_its_window_is_not_sent(relay):
    """Between reading the clock and the last byte of a call a relay may lose 0.15 s."""
    text, first = relay.accept_text(NOTICE), relay.accept_text(NOTICE)
    relay.send_text(text, Result.ERROR)
    window_end = NOW + relay.policy.settings.products[NOTICE].retry_window
    margin = S * 15 // 100
    assert relay.policy.may_send(window_end - margin - 1, text, HOST)
    assert not relay.policy.may_send(window_end - margin, text, HOST)
    assert relay.policy.may_send(window_end - 1, first, HOST)


def test_an_outage_that_the_other_process_found_is_known_here(relay):
    """In an upgrade. Guards against overloading a returning host from a process that saw no outage."""
    relay.list_hosts(OTHER_HOST)
    relay.policy.health_from_sibling(NOW, HOST, Health.OUTAGE, NOW - S)
    texts = [relay.accept_text(REPORT) for _ in range(8)]
    # An outage affects all hosts of a route.
    assert relay.host().in_outage and relay.host(OTHER_HOST).in_outage
    assert len(relay.sent_texts(NOW + S // 10)) <= 1  # only trials
    relay.policy.health_from_sibling(NOW + 2 * S, HOST, Health.WARMING, NOW + 2 * S)
    assert not relay.host().in_outage and relay.host().recovered_at == NOW + 2 * S
    assert len(relay.sent_texts(NOW + 2 * S + 1)) <= 2 < len(texts)


def test_what_this_process_has_seen_since_counts_more_than_its_sibling_s_health_records(relay):
    relay.send_text(relay.accept_text(REPORT), Result.DELIVERED, finished=True)
    relay.policy.health_from_sibling(NOW, HOST, Health.OUTAGE, NOW - S)
    assert not relay.host().in_outage
    relay.policy.health_from_sibling(NOW, HOST, Health.WARMING, NOW - 30 * S)  # its warm-up has ended
    assert relay.host().recovered_at is None
    relay.policy.health_from_sibling(NOW, b"unknown", Health.OUTAGE, NOW)


def test_two_processes_together_send_a_returning_host_what_one_may(relay):
    rates = []
    for processes in (1, 2):
        relay.policy.process_count = processes
        route = relay.host().route
        rates.append(relay.policy._informed_relay_count(NOW, route))
    assert rates[1] == 2 * rates[0]
