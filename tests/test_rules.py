"""The six rules, each where it could break."""

import pytest
from conftest import CHARGE, FAILURES, HOST, NOTICE, NOW, REPORT, ROUTE, OTHER_HOST, S

from limelatch.interface import Health, Listing, Nack, TextHistory, Result, Submit, Text, Undeliverable, Watch
from limelatch.key_order import QueuedText
from limelatch.policy import TOLD_JITTER


def test_a_text_that_expires_is_answered_once(relay):
    relay.list(HOST, listing=Listing.DRAINING)
    text = relay.take(valid=5 * S)
    assert relay.decide((Nack, Undeliverable), NOW + 5 * S) == [Nack(text, 2 * S)]
    assert relay.decide((Nack, Undeliverable, Submit), NOW + 6 * S) == []


def test_a_client_that_leaves_as_its_text_is_answered_is_not_answered_twice(relay):
    text = relay.take(CHARGE, key=5)
    relay.out(text, Result.TIMEOUT)
    relay.policy.text_finished(NOW, text)
    assert relay.decide((Nack, Undeliverable)) == [] and relay.policy.key_order.queues == {}


def test_the_time_out_is_cut_to_the_time_left(relay):
    relay.take(valid=1 * S)
    assert relay.decide(Submit)[0].timeout == 1 * S


@pytest.mark.parametrize("result", FAILURES)
def test_once_only_that_may_have_run_is_neither_sent_nor_nacked(relay, result):
    text = relay.take(CHARGE)
    relay.out(text, result)
    assert relay.decide((Nack, Undeliverable)) == [Undeliverable(text)]


@pytest.mark.parametrize("result", [Result.FULL, Result.CONNECT])
def test_once_only_that_never_ran_goes_again(relay, result):
    text = relay.take(CHARGE)
    relay.out(text, result)
    assert relay.sent(NOW + 20 * S) == {text: HOST}


def test_referenced_repeats_in_its_zone_and_window_only(relay):
    relay.list(OTHER_HOST, zone=1)
    text = relay.take()
    first = relay.out(text, Result.TIMEOUT, NOW)
    relay.pending(text).due = NOW
    other = OTHER_HOST if first == HOST else HOST
    assert not relay.policy._gate(NOW + S, relay.pending(text), relay.host(other))
    assert relay.policy._gate(NOW + S, relay.pending(text), relay.host(first))
    assert not relay.policy._gate(NOW + 10 * S, relay.pending(text), relay.host(first))


def test_a_refusal_after_a_time_out_counts_as_one(relay):
    text = relay.take()
    relay.out(text, Result.TIMEOUT)
    relay.pending(text).due = NOW
    relay.host().in_outage = False
    relay.out(text, Result.FULL, NOW + S // 2)
    assert relay.pending(text).ran_at == NOW and not relay.pending(text).may_nack()


def test_nothing_new_to_a_draining_or_missing_host(relay):
    relay.list(HOST, listing=Listing.DRAINING)
    text = relay.take()
    assert relay.sent() == {}
    relay.list(OTHER_HOST, whole=True)
    assert relay.sent() == {text: OTHER_HOST}


def test_a_host_listed_again_is_used_again(relay):
    relay.list(HOST, listing=Listing.GONE)
    relay.list(HOST)
    text = relay.take()
    assert relay.sent() == {text: HOST}


def test_the_outcome_from_a_host_that_is_gone_still_counts(relay):
    text = relay.take(CHARGE)
    relay.out(text)
    relay.list(OTHER_HOST, whole=True)
    relay.list(OTHER_HOST)
    relay.end(text, Result.TIMEOUT)
    assert relay.decide(Undeliverable) == [Undeliverable(text)]


def test_a_returning_host_gets_no_more_than_its_part(relay):
    host = relay.host()
    host.route.learn_limit(10.0, 3)
    host.back_at = host.warm_at = NOW
    sent = 0
    for step in range(100):  # two seconds of deciding every 20 ms with texts always held
        relay.take(REPORT)
        sent += len(relay.sent(NOW + step * 200))
    assert 1 <= sent <= 10.0 * 2 * 2.5 * (0.2 + 0.8 * 2 / 12) / 3


def test_the_warm_up_ends_after_the_cold_time(relay):
    host = relay.host()
    host.back_at = host.warm_at = NOW
    relay.take()
    assert len(relay.sent(NOW + 12 * S)) == 1 and host.back_at is None


@pytest.mark.parametrize("result", [Result.TIMEOUT, Result.MALFORMED])
def test_texts_of_a_key_go_in_turn_and_rest_after_what_may_still_run(relay, result):
    first, second = relay.take(CHARGE, key=5), relay.take(CHARGE, key=5)
    relay.host().last_ok = NOW + 1
    relay.out(first, result)
    assert relay.sent(NOW) == {} and relay.sent(NOW + 3000) == {}  # its answer is not heard yet
    relay.policy.text_finished(NOW + 3000, first)
    assert relay.sent(NOW + 3200) == {second: HOST}


def test_the_next_text_of_a_key_rests_after_an_answer_of_which_only_the_first_line_came(relay):
    """The text is delivered, but nobody knows whether its call still runs."""
    first, second = relay.take(CHARGE, key=5), relay.take(CHARGE, key=5)
    relay.out(first, Result.MALFORMED, finished=True)
    assert relay.sent(NOW + 2990) == {} and relay.sent(NOW + 3200) == {second: HOST}
    assert not relay.host().failing


def test_another_key_does_not_wait(relay):
    first, second = relay.take(CHARGE, key=5), relay.take(CHARGE, key=6)
    assert set(relay.sent()) == {first, second}


def test_a_told_wait_binds_the_whole_destination(relay):
    relay.list(OTHER_HOST)
    text = relay.take()
    relay.out(text, Result.FULL, retry_after=2 * S, limit_left=0.0)
    relay.take(REPORT)
    assert relay.sent(NOW + 2 * S - 1) == {}
    assert relay.host().route.wait_until < NOW + 2 * S + TOLD_JITTER
    assert relay.sent(NOW + 20 * S)  # the pace that the refusal leaves may hold it for longer


def test_a_told_wait_binds_only_its_route_where_routes_are_apart(relay):
    relay.list(ROUTE, OTHER_HOST, dest=2, kind=2)
    relay.host(ROUTE).route.wait_until = NOW + S
    text = relay.take(dest=2)
    assert relay.sent() == {text: OTHER_HOST}


def resume(relay, product, history, key=0):
    """A text that this relay took on before it was started anew."""
    text = relay.take(product, key=key)
    relay.policy.text_finished(NOW, text)
    relay.policy.text_accepted(NOW, Text(text, 1, product, NOW + 20 * S, 0, key), history)
    return text


def test_what_may_have_run_before_a_restart_never_goes_again_if_once_only(relay):
    text = resume(relay, CHARGE, TextHistory(1, NOW - S, 0, in_flight=True), key=5)
    assert relay.decide() == [Undeliverable(text)]


def test_a_key_rests_after_a_call_that_was_out_at_the_restart(relay):
    first = resume(relay, CHARGE, TextHistory(1, NOW - S, 0, in_flight=True), key=5)
    second = resume(relay, CHARGE, TextHistory(), key=5)
    relay.decide()
    relay.policy.text_finished(NOW, first)
    assert relay.sent(NOW + 2900) == {} and relay.sent(NOW + 3100) == {second: HOST}


def test_a_notice_owed_from_before_a_restart_keeps_its_place_in_the_key(relay):
    first = resume(relay, CHARGE, TextHistory(1, NOW - S, 0, is_answered=True), key=5)
    second = resume(relay, CHARGE, TextHistory(), key=5)
    assert relay.decide(Undeliverable) == [] and relay.sent(NOW + S) == {}
    relay.policy.text_finished(NOW + S, first)
    assert relay.sent(NOW + 2 * S) == {second: HOST}


def test_a_repeat_after_a_restart_keeps_to_window_and_group(relay):
    relay.list(OTHER_HOST, zone=1)
    text = resume(relay, NOTICE, TextHistory(1, NOW - 8 * S, 1, in_flight=True))
    assert relay.sent() == {text: OTHER_HOST}
    late = resume(relay, NOTICE, TextHistory(1, NOW - 11 * S, 1, in_flight=True))
    assert relay.decide(Undeliverable) == [Undeliverable(late)]


def test_a_relay_that_stops_sends_only_what_will_be_answered_in_time(relay):
    relay.policy.stopping(NOW + 2 * S)
    relay.take(REPORT)
    assert len(relay.sent(NOW)) == 1
    relay.take(REPORT)
    assert relay.sent(NOW + S) == {}


def test_a_drain_or_a_wait_told_while_a_connection_comes_up_holds_the_text_back(relay):
    text = relay.take(REPORT)
    host = relay.out(text)
    assert relay.policy.may_send(NOW, text, host)
    relay.host().route.wait_until = NOW + S
    assert not relay.policy.may_send(NOW, text, host) and relay.policy.may_send(NOW + S, text, host)
    relay.list(HOST, listing=Listing.DRAINING)
    assert not relay.policy.may_send(NOW + S, text, host)


def test_a_text_held_back_as_its_connection_comes_up_uses_up_no_submit_and_no_token(relay):
    """No byte of it has gone; with one submit allowed it would end without ever having been sent."""
    relay.policy.settings.max_submits = 1
    text = relay.take(REPORT)
    tokens = relay.policy.destinations[1].tokens
    relay.out(text, Result.NOT_SENT, unsent=True)
    assert relay.pending(text).submits == 0 and relay.policy.destinations[1].tokens == tokens
    assert relay.sent(NOW + S) == {text: HOST}
    relay.end(text, Result.FULL, NOW + S)
    assert relay.decide((Nack, Undeliverable), NOW + S) == [Nack(text, 2 * S)]  # that one was sent


def test_a_wait_told_beside_a_delivery_is_heeded(relay):
    first = relay.take(REPORT)
    relay.out(first, Result.DELIVERED, finished=True, retry_after=S)
    relay.take(REPORT)
    assert relay.sent(NOW + S - 1) == {}
    assert len(relay.sent(NOW + 3 * S)) == 1


def test_an_asked_list_is_asked_for_at_random_and_again_after_each_failure(fleet_relay, relay):
    """A relay that never asked was taken as told of drains, and sent to hosts that were gone."""
    now, waits = fleet_relay.policy.ask_at, set()
    assert NOW <= now < NOW + 10 * S and not fleet_relay.decide(Watch, now - 1)
    for _ in range(6):
        assert fleet_relay.decide(Watch, now) and not fleet_relay.decide(Watch, now)
        fleet_relay.policy.list_failed(now)
        waits.add(fleet_relay.policy.ask_at - now)
        now = fleet_relay.policy.ask_at
    assert 0 <= min(waits) and max(waits) < 10 * S and len(waits) > 3 and fleet_relay.sent(now) == {}
    relay.policy.list_failed(NOW)  # of a pushed one
    assert (
        not relay.decide(Watch, NOW + 100 * S)
        and fleet_relay.out(fleet_relay.take(REPORT, now=now), now=now) == HOST
    )


def test_a_text_that_its_route_cannot_take_in_time_is_answered_at_once(fleet_relay):
    """Texts were once held at a paced route until their validity ended, though none could be sent before."""
    fleet_relay.out(fleet_relay.take(REPORT, valid=90 * S), Result.FULL)
    text, later = fleet_relay.take(REPORT, valid=8 * S), fleet_relay.take(REPORT, valid=40 * S)
    assert (
        fleet_relay.decide((Nack, Undeliverable)) == [Nack(text, 2 * S)] and later in fleet_relay.policy.texts
    )


def test_a_key_open_in_the_process_before_an_upgrade_waits_and_its_text_goes_first(relay):
    later = relay.take(CHARGE, key=5)
    earlier = relay.next_id + 1
    relay.policy.key_order.set_sibling_texts([(5, QueuedText(earlier, NOW - 1))])
    assert relay.sent() == {}  # the process before holds an earlier text of the key
    relay.policy.key_order.set_sibling_texts([])
    text = Text(earlier, 1, CHARGE, NOW + 20 * S, 0, 5, received_at=NOW - 1)
    relay.policy.text_accepted(NOW, text, TextHistory(in_order=True))
    assert relay.sent() == {earlier: HOST}
    relay.end(earlier, Result.DELIVERED, finished=True)
    relay.policy.text_finished(NOW, earlier)
    assert relay.sent(NOW + 1) == {later: HOST}


def test_a_repeat_that_a_relay_held_up_would_send_past_its_window_does_not_go(relay):
    """A relay may lose 0.15 s between its clock and the last byte of a call."""
    text, first = relay.take(NOTICE), relay.take(NOTICE)
    relay.out(text, Result.ERROR)
    window_end = NOW + relay.policy.settings.products[NOTICE].retry_window
    held_up = S * 15 // 100
    assert relay.policy.may_send(window_end - held_up - 1, text, HOST)
    assert not relay.policy.may_send(window_end - held_up, text, HOST)
    assert relay.policy.may_send(window_end - 1, first, HOST)


def test_an_outage_that_the_other_process_found_is_known_here(relay):
    """In an upgrade: a returning host is not pushed over by a process that has seen nothing of its outage."""
    relay.list(OTHER_HOST)
    relay.policy.health_from_sibling(NOW, HOST, Health.OUTAGE, NOW - S)
    texts = [relay.take(REPORT) for _ in range(8)]
    assert (
        relay.host().in_outage and relay.host(OTHER_HOST).in_outage
    )  # one outage takes the hosts of a route
    assert len(relay.sent(NOW + S // 10)) <= 1  # trials alone
    relay.policy.health_from_sibling(NOW + 2 * S, HOST, Health.WARMING, NOW + 2 * S)
    assert not relay.host().in_outage and relay.host().back_at == NOW + 2 * S
    assert len(relay.sent(NOW + 2 * S + 1)) <= 2 < len(texts)


def test_what_this_process_has_seen_since_counts_more_than_the_other_s_news(relay):
    relay.out(relay.take(REPORT), Result.DELIVERED, finished=True)
    relay.policy.health_from_sibling(NOW, HOST, Health.OUTAGE, NOW - S)
    assert not relay.host().in_outage
    relay.policy.health_from_sibling(NOW, HOST, Health.WARMING, NOW - 30 * S)  # long warm again
    assert relay.host().back_at is None
    relay.policy.health_from_sibling(NOW, b"unknown", Health.OUTAGE, NOW)


def test_two_processes_together_send_a_returning_host_what_one_relay_may(relay):
    rates = []
    for processes in (1, 2):
        relay.policy.process_count = processes
        route = relay.host().route
        rates.append(relay.policy._seers(NOW, route))
    assert rates[1] == 2 * rates[0]
